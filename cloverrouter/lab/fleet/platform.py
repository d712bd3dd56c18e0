"""The platform's load balancer: probes the readiness of each node, and assigns clients' connections."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Sequence

import attrs

from cloverrouter.lab.fleet.asking import Poller
from cloverrouter.lab.fleet.wire import WireError, call

CHECK_INTERVAL_S = 1.0
FAILED_CHECKS_LIMIT = 2


@attrs.define(slots=True)
class Door:
    """One node as seen by the platform."""

    name: str
    zone: str
    frontend: str
    readiness: str
    is_in: bool = False
    failed_checks: int = 0


class Platform:
    """Selects a ready node for each new connection."""

    def __init__(self, doors: Sequence[Door], seed: int, ask_every_s: float = CHECK_INTERVAL_S) -> None:
        self.doors = list(doors)
        self._changed = asyncio.Event()
        self._random = random.Random(seed)
        self._poller = Poller(self.doors, self._check_readiness, ask_every_s)

    def begin(self) -> None:
        """Starts the readiness checks."""
        self._poller.start()

    def stop(self) -> None:
        """Stops the readiness checks."""
        self._poller.stop()

    @property
    def ready_count(self) -> int:
        """Returns the number of ready nodes."""
        return sum(door.is_in for door in self.doors)

    async def wait_until_ready(self, count: int) -> None:
        """Waits until at least `count` nodes are ready."""
        while self.ready_count < count:
            self._changed.clear()
            await self._changed.wait()

    def frontend(self, zone: str) -> str:
        """Returns the frontend for a new connection from this zone."""
        own = [door for door in self.doors if door.zone == zone]
        choice = self._eligible(own) or self._eligible(self.doors) or self.doors
        return self._random.choice(choice).frontend

    @staticmethod
    def _eligible(doors: Sequence[Door]) -> list[Door]:
        """Returns the ready nodes; all nodes if fewer than half are ready; none if none is ready."""
        ready_endpoints = [door for door in doors if door.is_in]
        return list(doors) if ready_endpoints and 2 * len(ready_endpoints) < len(doors) else ready_endpoints

    async def _check_readiness(self, door: Door) -> None:
        ok = False
        with contextlib.suppress(OSError, WireError, TimeoutError):
            ok = (await call(door.readiness, "GET", "/-/readiness", timeout_s=CHECK_INTERVAL_S)).status == 200
        door.failed_checks = 0 if ok else door.failed_checks + 1
        self._changed.set()
        if ok:
            door.is_in = True
        elif door.failed_checks >= FAILED_CHECKS_LIMIT:
            door.is_in = False
