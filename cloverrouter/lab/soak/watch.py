"""What a soak run sees of each machine from outside, again and again: its own word on its state."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cloverrouter.lab.fleet.asking import AskingOn
from cloverrouter.lab.fleet.wire import WireError, call
from cloverrouter.lab.soak.machines import Machine

STATUS_PATH = "/-/status"
STATUS_TIMEOUT_S = 2.0


@attrs.frozen(slots=True)
class Sight:
    """One answer of a machine on its state. Times in seconds; `pid` is of the process that answered."""

    machine: str
    asked_at: float
    answered_at: float
    pid: int
    version: int
    is_ready: bool


class Watch:
    """Asks every machine for its state, each after a pause."""

    def __init__(self, machines: list[Machine], pause_s: float, clock: Callable[[], float]) -> None:
        self.sights: list[Sight] = []
        self.newest: dict[str, Sight] = {}
        self._clock = clock
        self.asking = AskingOn(machines, self._ask, pause_s)

    async def _ask(self, machine: Machine) -> None:
        asked_at = self._clock()
        try:
            answer = await call(machine.spec.control_plane, "GET", STATUS_PATH, timeout_s=STATUS_TIMEOUT_S)
            told = answer.json()
        except (OSError, WireError, TimeoutError):
            return
        if answer.status != 200:
            return
        sight = Sight(
            machine.spec.name, asked_at, self._clock(), told["process"], told["configuration-version"],
            told["ready"],
        )  # fmt: skip
        self.sights.append(sight)
        self.newest[sight.machine] = sight
