"""Demo: a small fleet on this machine under load and faults; nodes are processes, the rest test doubles.

One node with a disk is killed and restarted, a model server is replaced, and the configuration is changed.
At the end the configuration is read back and all nodes are terminated.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import attrs

from cloverrouter.errors import CypresswinchError
from cloverrouter.lab.fleet import deployment
from cloverrouter.lab.fleet.client import Client
from cloverrouter.lab.fleet.exchange import ServerSpec
from cloverrouter.lab.fleet.figures import Figures, Tally
from cloverrouter.lab.fleet.judge import Judge
from cloverrouter.lab.fleet.load import LoadGenerator, RequestKind
from cloverrouter.lab.fleet.nodes import Node, stop_all
from cloverrouter.lab.fleet.operator import Operator
from cloverrouter.lab.fleet.platform import NodeEndpoint, Platform
from cloverrouter.lab.fleet.registration import Registration, start_server

READY_TIMEOUT_S = 20.0
CLIENTS_PER_ZONE = 6
MIN_SERVED_SHARE = 0.95
MIN_QUOTA_SHARE = 0.6
KILL_AT, RESTART_AT, REPLACE_AT, CHANGE_AT = 0.35, 0.55, 0.6, 0.7  # fractions of the load's duration


class FleetNotReady(CypresswinchError):
    """Not all nodes became ready in time."""


@attrs.frozen(slots=True)
class Verdict:
    """The result of the demo. `reasons` lists what failed; it is empty after a pass."""

    figures: Figures
    reasons: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Returns whether nothing failed."""
        return not self.reasons


class Demo:
    """One demo run. `write_line` receives each line of progress."""

    def __init__(
        self, folder: Path, seconds: float, seed: int, write_line: Callable[[str], None], log_level: str
    ) -> None:
        self._write_line = write_line
        self._seconds = seconds
        self._seed = seed
        self._clock = time.monotonic
        self._prefix = deployment.choose_loopback_prefix(seed, folder)
        specs = deployment.nodes(self._prefix)
        fleet = deployment.fleet_settings(specs, log_level)
        self.nodes = [Node(spec, fleet, folder) for spec in specs]
        self.judge = Judge()
        self.judge.quota = deployment.quota_rule()
        self.judge.drain_grace_s = 2 * deployment.DRAIN_TIMEOUT_MS / 1000
        self.tally = Tally(self.judge)
        controls = [spec.control_plane for spec in specs]
        self.operator = Operator(controls, self.judge, seed)
        endpoints = [NodeEndpoint(spec.name, spec.zone, spec.frontend, spec.readiness) for spec in specs]
        self.platform = Platform(endpoints, seed)
        self._controls = controls
        self._generator = LoadGenerator(deployment.TENANTS, seed)
        self._registrations: dict[str, Registration] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._load_started_at = 0.0

    async def run(self) -> Verdict:
        """Runs the demo. Raises FleetNotReady, NodeEnded, or an operator's error if the start fails."""
        clients: list[Client] = []
        try:
            await self._bring_up()
            clients = self._clients()
            await self._load(clients)
            await self.operator.read_back()
            everyone_ready = self.platform.ready_count == len(self.nodes)
        finally:
            self.platform.stop()
            for client in clients:
                client.close()
            codes = await asyncio.to_thread(stop_all, self.nodes)
            for registration in self._registrations.values():
                registration.stop()
                registration.server.abort()
        self.judge.finish()
        return self._verdict(everyone_ready, codes)

    async def _bring_up(self) -> None:
        for node in self.nodes:
            node.start(bootstrap=True)
        for spec in deployment.initial_servers(self._prefix):
            await self._start_server(spec)
        self.platform.start()
        started_at = self._clock()
        await self.operator.put(deployment.first_configuration(), within_s=READY_TIMEOUT_S)
        version = self.operator.current["version"]
        self._write_line(f"configuration {version} is acknowledged after {self._clock() - started_at:.1f} s")
        while self.platform.ready_count < len(self.nodes):
            for node in self.nodes:
                node.check()
            if self._clock() - started_at > READY_TIMEOUT_S:
                waiting = [endpoint.name for endpoint in self.platform.endpoints if not endpoint.is_ready]
                raise FleetNotReady(f"not ready within {READY_TIMEOUT_S:g} s: {', '.join(waiting)}")
            await asyncio.sleep(0.1)
        self._write_line(f"all {len(self.nodes)} nodes are ready after {self._clock() - started_at:.1f} s")

    async def _start_server(self, spec: ServerSpec) -> None:
        heartbeat_s = deployment.HEARTBEAT_MS / 1000
        self._registrations[spec.instance_id] = await start_server(
            spec, self._controls, heartbeat_s, self.judge, self._clock, self._seed
        )

    # The load

    def _clients(self) -> list[Client]:
        return [
            Client(zone, self.platform, self._generator, self.judge, self._clock)
            for zone in deployment.ZONES
            for _ in range(CLIENTS_PER_ZONE)
        ]

    async def _load(self, clients: list[Client]) -> None:
        self._load_started_at = self._clock()
        kinds = (*deployment.KINDS, deployment.OVER_QUOTA_KIND)
        tasks = [asyncio.create_task(self._generate_load(kind, clients)) for kind in kinds]
        tasks.append(asyncio.create_task(self._report_progress()))
        faults = asyncio.create_task(self._inject_faults(clients, tasks))
        try:
            await asyncio.sleep(self._seconds)
            await asyncio.wait_for(faults, READY_TIMEOUT_S)
        finally:
            faults.cancel()
            for task in tasks:
                task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=max(kind.deadline_ms for kind in deployment.KINDS) / 1000)

    async def _generate_load(self, kind: RequestKind, clients: list[Client]) -> None:
        """Sends requests of one kind as a Poisson process, without waiting for earlier ones."""
        while True:
            await asyncio.sleep(self._generator.pause_s(kind.rate_per_s))
            client = random.choice(clients)
            task = asyncio.create_task(client.perform(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _report_progress(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            running = sum(node.is_running for node in self.nodes)
            progress_line = self.tally.progress_line()
            self._write_line(
                f"{self._elapsed_s():5.1f} s  {progress_line}  "
                f"nodes {running} running, {self.platform.ready_count} ready"
            )

    def _elapsed_s(self) -> float:
        return self._clock() - self._load_started_at

    # Faults

    async def _inject_faults(self, clients: list[Client], tasks: list[asyncio.Task[None]]) -> None:
        with_disk = [node for node in self.nodes if node.spec.has_disk]
        victim = with_disk[self._seed % len(with_disk)]
        await self._run_at(KILL_AT, f"{victim.spec.name} is killed (it has a disk)", victim.kill)
        await self._run_at(RESTART_AT, f"{victim.spec.name} is started again", victim.start)
        await self._sleep_until(REPLACE_AT)
        await self._replace_server()
        await self._sleep_until(CHANGE_AT)
        await self._change(clients, tasks)

    async def _sleep_until(self, fraction: float) -> None:
        await asyncio.sleep(max(0.0, fraction * self._seconds - self._elapsed_s()))

    async def _run_at(self, fraction: float, text: str, action: Callable[[], None]) -> None:
        await self._sleep_until(fraction)
        action()
        self._write_line(f"{self._elapsed_s():5.1f} s  {text}")

    async def _replace_server(self) -> None:
        """Starts a new model server and drains an old one."""
        await self._start_server(deployment.server(deployment.MODEL_SERVICE, 8, self._prefix))
        old = self._registrations[f"i-{deployment.MODEL_SERVICE}-1"]
        self._write_line(
            f"{self._elapsed_s():5.1f} s  {old.server.spec.instance_id} is draining, a new one has started"
        )
        self._start_task(old.leave(deployment.DRAIN_TIMEOUT_MS / 1000))

    async def _change(self, clients: list[Client], tasks: list[asyncio.Task[None]]) -> None:
        version = self.operator.current["version"] + 2
        await self.operator.patch(deployment.added_route(version))
        self._write_line(
            f"{self._elapsed_s():5.1f} s  configuration {version}, with one more route, is acknowledged"
        )
        await asyncio.sleep(float(deployment.BOUNDS["propagation-ms"]) / 1000)
        tasks.append(asyncio.create_task(self._generate_load(deployment.ADDED_KIND, clients)))

    def _start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Verdict

    def _underserved_tenants(self) -> list[str]:
        """Returns tenants that sent more than their quota and were served far less than it."""
        reasons = []
        for tenant, (rate, _) in deployment.quota_rule().limits.items():
            used = sum(tokens for _, tokens in self.judge.runs_of(tenant)) / self._seconds
            if used < MIN_QUOTA_SHARE * rate:
                reasons.append(f"{tenant} ran {used:.0f} tokens a second, its quota is {rate:.0f}")
        return reasons

    def _verdict(self, everyone_ready: bool, codes: dict[str, int | None]) -> Verdict:
        figures = self.tally.figures()
        reasons = [
            f"{rule} broken {count} times" for rule, count in sorted(self.judge.violation_counts.items())
        ]
        reasons += [f"  {finding.rule}: {finding.text}" for finding in self.judge.findings[:8]]
        if figures.served_share < MIN_SERVED_SHARE:
            reasons.append(
                f"served {figures.served_share:.1%} of the requests within quota, "
                f"required {MIN_SERVED_SHARE:.0%}"
            )
        reasons += self._underserved_tenants()
        if not everyone_ready:
            not_ready = [endpoint.name for endpoint in self.platform.endpoints if not endpoint.is_ready]
            reasons.append(f"not ready at the end: {', '.join(not_ready)}")
        reasons += [f"{name} ended with {code}" for name, code in codes.items() if code != 0]
        return Verdict(figures, tuple(reasons))
