"""A small fleet at work on this machine: nodes as real processes, stand-ins for all else, and some trouble.

Under load one node with a disk is killed and later started again; a model server is replaced; the
configuration is changed. In the end it is read back, and all nodes are told to end.
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
from cloverrouter.lab.fleet.load import Draws, Kind
from cloverrouter.lab.fleet.nodes import Node, stop_all
from cloverrouter.lab.fleet.operator import Operator
from cloverrouter.lab.fleet.platform import Door, Platform
from cloverrouter.lab.fleet.registration import Registration, start_server

READY_WITHIN_S = 20.0
CLIENTS_A_ZONE = 6
LEAST_SERVED = 0.95
LEAST_OF_QUOTA = 0.6
KILL_AT, RESTART_AT, REPLACE_AT, CHANGE_AT = 0.35, 0.55, 0.6, 0.7  # parts of the load's time


class FleetNotReady(CypresswinchError):
    """The fleet did not come up."""


@attrs.frozen(slots=True)
class Verdict:
    """How the demo ended. `reasons` says what is wrong, empty if nothing is."""

    figures: Figures
    reasons: tuple[str, ...]

    @property
    def passed(self) -> bool:
        return not self.reasons


class Demo:
    """One play. `say` is handed each line of progress."""

    def __init__(
        self, folder: Path, seconds: float, seed: int, say: Callable[[str], None], log_level: str
    ) -> None:
        self._say = say
        self._seconds = seconds
        self._seed = seed
        self._clock = time.monotonic
        self._prefix = deployment.drawn_prefix(seed, folder)
        specs = deployment.nodes(self._prefix)
        fleet = deployment.fleet_settings(specs, log_level)
        self.nodes = [Node(spec, fleet, folder) for spec in specs]
        self.judge = Judge()
        self.judge.quota = deployment.quota_rule()
        self.judge.drain_grace_s = 2 * deployment.DRAIN_TIMEOUT_MS / 1000
        self.tally = Tally(self.judge)
        controls = [spec.control_plane for spec in specs]
        self.operator = Operator(controls, self.judge, seed)
        doors = [Door(spec.name, spec.zone, spec.frontend, spec.readiness) for spec in specs]
        self.platform = Platform(doors, seed)
        self._controls = controls
        self._draws = Draws(deployment.TENANTS, seed)
        self._registrations: dict[str, Registration] = {}
        self._asks: set[asyncio.Task[None]] = set()
        self._began_at = 0.0

    async def play(self) -> Verdict:
        """Raises FleetNotReady, NodeEnded, or what the operator was told, if it does not even begin."""
        clients: list[Client] = []
        try:
            await self._bring_up()
            clients = self._clients()
            await self._load(clients)
            await self.operator.read_back()
            everyone_ready = self.platform.ready == len(self.nodes)
        finally:
            self.platform.stop()
            for client in clients:
                client.close()
            codes = await asyncio.to_thread(stop_all, self.nodes)
            for registration in self._registrations.values():
                registration.stop()
                registration.server.end()
        self.judge.finish()
        return self._verdict(everyone_ready, codes)

    async def _bring_up(self) -> None:
        for node in self.nodes:
            node.start(bootstrap=True)
        for spec in deployment.services_at_start(self._prefix):
            await self._start_server(spec)
        self.platform.begin()
        begun = self._clock()
        await self.operator.put(deployment.first_configuration(), within_s=READY_WITHIN_S)
        version = self.operator.current["version"]
        self._say(f"configuration {version} is acknowledged after {self._clock() - begun:.1f} s")
        while self.platform.ready < len(self.nodes):
            for node in self.nodes:
                node.check()
            if self._clock() - begun > READY_WITHIN_S:
                waiting = [door.name for door in self.platform.doors if not door.is_in]
                raise FleetNotReady(f"not ready within {READY_WITHIN_S:g} s: {', '.join(waiting)}")
            await asyncio.sleep(0.1)
        self._say(f"all {len(self.nodes)} nodes are ready after {self._clock() - begun:.1f} s")

    async def _start_server(self, spec: ServerSpec) -> None:
        heartbeat_s = deployment.HEARTBEAT_MS / 1000
        self._registrations[spec.instance_id] = await start_server(
            spec, self._controls, heartbeat_s, self.judge, self._clock, self._seed
        )

    # The load

    def _clients(self) -> list[Client]:
        return [
            Client(zone, self.platform, self._draws, self.judge, self._clock)
            for zone in deployment.ZONES
            for _ in range(CLIENTS_A_ZONE)
        ]

    async def _load(self, clients: list[Client]) -> None:
        self._began_at = self._clock()
        kinds = (*deployment.KINDS, deployment.RUSH_KIND)
        tasks = [asyncio.create_task(self._ask_on(kind, clients)) for kind in kinds]
        tasks.append(asyncio.create_task(self._tell_on()))
        trouble = asyncio.create_task(self._trouble(clients, tasks))
        try:
            await asyncio.sleep(self._seconds)
            await asyncio.wait_for(trouble, READY_WITHIN_S)
        finally:
            trouble.cancel()
            for task in tasks:
                task.cancel()
        if self._asks:
            await asyncio.wait(self._asks, timeout=max(kind.deadline_ms for kind in deployment.KINDS) / 1000)

    async def _ask_on(self, kind: Kind, clients: list[Client]) -> None:
        """Requests of one kind at random times, whatever becomes of those before."""
        while True:
            await asyncio.sleep(self._draws.pause_s(kind.rate_per_s))
            client = random.choice(clients)
            task = asyncio.create_task(client.ask(kind))
            self._asks.add(task)
            task.add_done_callback(self._asks.discard)

    async def _tell_on(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            running = sum(node.is_running for node in self.nodes)
            line = self.tally.line()
            self._say(f"{self._at():5.1f} s  {line}  nodes {running} running, {self.platform.ready} ready")

    def _at(self) -> float:
        return self._clock() - self._began_at

    # The trouble

    async def _trouble(self, clients: list[Client], tasks: list[asyncio.Task[None]]) -> None:
        with_disk = [node for node in self.nodes if node.spec.has_disk]
        victim = with_disk[self._seed % len(with_disk)]
        await self._at_part(KILL_AT, f"{victim.spec.name} is killed (it has a disk)", victim.kill)
        await self._at_part(RESTART_AT, f"{victim.spec.name} is started again", victim.start)
        await self._until(REPLACE_AT)
        await self._replace_server()
        await self._until(CHANGE_AT)
        await self._change(clients, tasks)

    async def _until(self, part: float) -> None:
        await asyncio.sleep(max(0.0, part * self._seconds - self._at()))

    async def _at_part(self, part: float, text: str, do: Callable[[], None]) -> None:
        await self._until(part)
        do()
        self._say(f"{self._at():5.1f} s  {text}")

    async def _replace_server(self) -> None:
        """A new model server comes, and an old one leaves in an orderly way."""
        await self._start_server(deployment.server(deployment.MODEL_SERVICE, 8, self._prefix))
        old = self._registrations[f"i-{deployment.MODEL_SERVICE}-1"]
        self._say(f"{self._at():5.1f} s  {old.server.spec.instance_id} leaves, a new one has come")
        self._spawn(old.leave(deployment.DRAIN_TIMEOUT_MS / 1000))

    async def _change(self, clients: list[Client], tasks: list[asyncio.Task[None]]) -> None:
        version = self.operator.current["version"] + 2
        await self.operator.patch(deployment.added_route(version))
        self._say(f"{self._at():5.1f} s  configuration {version}, with one more route, is acknowledged")
        await asyncio.sleep(float(deployment.BOUNDS["propagation-ms"]) / 1000)
        tasks.append(asyncio.create_task(self._ask_on(deployment.ADDED_KIND, clients)))

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._asks.add(task)
        task.add_done_callback(self._asks.discard)

    # The end

    def _starved(self) -> list[str]:
        """Tenants that asked for more than their quota and got far less than it."""
        reasons = []
        for tenant, (rate, _) in deployment.quota_rule().limits.items():
            got = sum(tokens for _, tokens in self.judge.runs_of(tenant)) / self._seconds
            if got < LEAST_OF_QUOTA * rate:
                reasons.append(f"{tenant} ran {got:.0f} tokens a second, its quota is {rate:.0f}")
        return reasons

    def _verdict(self, everyone_ready: bool, codes: dict[str, int | None]) -> Verdict:
        figures = self.tally.figures()
        reasons = [f"{rule} broken {count} times" for rule, count in sorted(self.judge.broken.items())]
        reasons += [f"  {finding.rule}: {finding.text}" for finding in self.judge.findings[:8]]
        if figures.served_share < LEAST_SERVED:
            reasons.append(f"served {figures.served_share:.1%} of what is owed, wanted {LEAST_SERVED:.0%}")
        reasons += self._starved()
        if not everyone_ready:
            out = [door.name for door in self.platform.doors if not door.is_in]
            reasons.append(f"not ready at the end: {', '.join(out)}")
        reasons += [f"{name} ended with {code}" for name, code in codes.items() if code != 0]
        return Verdict(figures, tuple(reasons))
