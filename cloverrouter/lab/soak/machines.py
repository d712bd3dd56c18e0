"""The machines of a soak run: their processes, and their supervision with restarts."""

from __future__ import annotations

import asyncio
import re
import shutil
import signal
import time
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from random import Random
from typing import Any

import attrs

from cloverrouter.lab.fleet.nodes import FleetSettings, Node, NodeSpec
from cloverrouter.lab.soak.plan import Act, Fault

POLL_INTERVAL_S = 0.02
SEED_COUNT = 3


@attrs.define(slots=True)
class ProcessRecord:
    """One process of a machine. Times in seconds; `signals` are the signals sent to it."""

    started_at: float
    pid: int
    signals: list[tuple[float, str]] = attrs.field(factory=list)
    early_signals: int = 0  # signals before the program could handle them
    ended_at: float | None = None
    code: int | None = None

    def was_sent(self, name: str) -> bool:
        """Returns whether that signal was sent."""
        return any(sent == name for _, sent in self.signals)

    def first_sent_at(self, name: str) -> float | None:
        """Returns when that signal was first sent, or None."""
        return next((at for at, sent in self.signals if sent == name), None)


class Machine:
    """One machine: a node's process, which is restarted whenever it ends."""

    def __init__(
        self,
        spec: NodeSpec,
        fleet: FleetSettings,
        folder: Path,
        pause_s: float,
        clock: Callable[[], float],
        controls: Sequence[str],
    ) -> None:
        """`controls`: the control-plane addresses of all machines, from which seeds are drawn."""
        self.spec = spec
        self.node = Node(spec, fleet, folder)
        self.processes: list[ProcessRecord] = []
        self.frozen: list[tuple[float, float]] = []
        self._folder = folder
        self._pause_s = pause_s
        self._clock = clock
        self._controls = list(controls)
        self._random = Random(spec.name)
        self._is_stopping = False
        self._loses_disk_at_restart = False
        self._hup_after_s: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, bootstrap: bool = False) -> None:
        """Starts and records a process."""
        self.node.start(bootstrap)
        assert self.node.pid is not None
        self.processes.append(ProcessRecord(self._clock(), self.node.pid))

    @property
    def process(self) -> ProcessRecord:
        """Returns the current process, or the last one."""
        return self.processes[-1]

    @property
    def is_up(self) -> bool:
        """Returns whether its process is running."""
        return self.process.ended_at is None

    async def supervise(self) -> None:
        """Restarts the process whenever it ends, as the platform does."""
        while not self._is_stopping:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._record_end()
            if self.process.ended_at is not None and not self._is_stopping:
                await asyncio.sleep(self._pause_s)
                self._restart()

    def _record_end(self) -> None:
        if self.process.ended_at is None and not self.node.is_running:
            self.process.ended_at = self._clock()
            self.process.code = self.node.wait()

    def _restart(self) -> None:
        if self._is_stopping:
            return
        if self._loses_disk_at_restart:
            self._loses_disk_at_restart = False
            shutil.rmtree(self._folder / self.spec.name / "disk", ignore_errors=True)
        self.start()
        if self._hup_after_s is not None:
            self._start_task(self._send_hup_after(self._hup_after_s))
            self._hup_after_s = None

    def inject(self, fault: Fault) -> None:
        """Injects a fault into its process, if it is running."""
        self._record_end()
        if not self.is_up:
            return
        if fault.act is Act.HUP:
            self.node.write_settings(seeds=self._other_seeds())
            self._send_signal("HUP")
        elif fault.act is Act.TERM:
            self._send_signal("TERM")
        elif fault.act is Act.FREEZE:
            self._start_task(self._freeze(fault.amount))
        else:
            self._loses_disk_at_restart = self._loses_disk_at_restart or (
                fault.act is Act.WIPE and self.spec.has_disk
            )
            if fault.act is Act.RESTART_HUP:
                self._hup_after_s = fault.amount
            self._send_signal("KILL")

    def _other_seeds(self) -> list[str]:
        return self._random.sample(self._controls, min(SEED_COUNT, len(self._controls)))

    def _send_signal(self, name: str) -> None:
        """Sends a signal, except a SIGHUP that would come too early.

        SIGHUP and SIGTERM end an interpreter that has not yet started the program, before the program can
        install handlers. An early SIGHUP is therefore counted and not sent; an early SIGTERM is counted and
        sent, because ending is its purpose.
        """
        if name in ("HUP", "TERM") and not _handles(self.process.pid, signal.SIGHUP):
            self.process.early_signals += 1
            if name == "HUP":
                return
        self.process.signals.append((self._clock(), name))
        self.node.signal(signal.Signals[f"SIG{name}"])

    async def _send_hup_after(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if self.is_up:
            self._send_signal("HUP")

    async def _freeze(self, for_s: float) -> None:
        process, started_at = self.process, self._clock()
        self._send_signal("STOP")
        await asyncio.sleep(for_s)
        if self.is_up and self.process is process:
            self._send_signal("CONT")
        self.frozen.append((started_at, self._clock()))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def disturbances(self) -> list[tuple[float, float]]:
        """Returns the spans in which its process was stopped, ending or restarting."""
        found = list(self.frozen)
        for process, following in zip(self.processes, self.processes[1:], strict=False):
            sigterm_at = process.first_sent_at("TERM")
            ended_at = process.ended_at if process.ended_at is not None else following.started_at
            found.append((min(sigterm_at or ended_at, ended_at), following.started_at))
        found.append((self.processes[0].started_at, self.processes[0].started_at))
        return found

    def stop(self) -> None:
        """Ends the restarts and sends SIGTERM. `wait_stopped` waits for the end."""
        self._is_stopping = True
        for task in self._tasks:
            task.cancel()
        self._record_end()
        if self.is_up:
            self._send_signal("CONT")
            self._send_signal("TERM")

    def wait_stopped(self) -> None:
        """Waits for the end of the process, and kills it after a timeout."""
        if self.is_up:
            self.process.code = self.node.wait()
            self.process.ended_at = self._clock()
        self.node.close()


def _handles(pid: int, number: signal.Signals) -> bool:
    """Returns whether a process handles or ignores a signal."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return True
    masks = re.findall(r"^Sig(?:Cgt|Ign):\s*(\w+)", status, re.MULTILINE)
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)


def now() -> float:
    """Returns the run's clock, in seconds."""
    return time.monotonic()
