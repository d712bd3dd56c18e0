"""The platform before the fleet: asks each node for its readiness, and hands out clients' connections."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Sequence

import attrs

from cloverrouter.lab.fleet.asking import AskingOn
from cloverrouter.lab.fleet.wire import WireError, call

ASK_EVERY_S = 1.0
MISSES = 2


@attrs.define(slots=True)
class Door:
    """One node as the platform sees it."""

    name: str
    zone: str
    frontend: str
    readiness: str
    is_in: bool = False
    misses: int = 0


class Platform:
    """Chooses, for each new connection, a node that takes clients."""

    def __init__(self, doors: Sequence[Door], seed: int, ask_every_s: float = ASK_EVERY_S) -> None:
        self.doors = list(doors)
        self._changed = asyncio.Event()
        self._random = random.Random(seed)
        self._asking = AskingOn(self.doors, self._ask, ask_every_s)

    def begin(self) -> None:
        self._asking.begin()

    def stop(self) -> None:
        self._asking.stop()

    @property
    def ready(self) -> int:
        """How many nodes are in."""
        return sum(door.is_in for door in self.doors)

    async def until_ready(self, count: int) -> None:
        """Returns when at least so many nodes are in."""
        while self.ready < count:
            self._changed.clear()
            await self._changed.wait()

    def frontend(self, zone: str) -> str:
        """Where a new connection from this zone goes."""
        own = [door for door in self.doors if door.zone == zone]
        choice = self._of(own) or self._of(self.doors) or self.doors
        return self._random.choice(choice).frontend

    @staticmethod
    def _of(doors: Sequence[Door]) -> list[Door]:
        """Those that are in; all if it is fewer than half of them; none if none is in."""
        inside = [door for door in doors if door.is_in]
        return list(doors) if inside and 2 * len(inside) < len(doors) else inside

    async def _ask(self, door: Door) -> None:
        ok = False
        with contextlib.suppress(OSError, WireError, TimeoutError):
            ok = (await call(door.readiness, "GET", "/-/readiness", timeout_s=ASK_EVERY_S)).status == 200
        door.misses = 0 if ok else door.misses + 1
        self._changed.set()
        if ok:
            door.is_in = True
        elif door.misses >= MISSES:
            door.is_in = False
