"""Periodic status reads from each machine of a soak run."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cloverrouter.lab.fleet.polling import Poller
from cloverrouter.lab.fleet.wire import WireError, call
from cloverrouter.lab.soak.machines import Machine

STATUS_PATH = "/-/status"
STATUS_TIMEOUT_S = 2.0


@attrs.frozen(slots=True)
class Observation:
    """One status answer of a machine. Times in seconds; `pid` is the process that answered."""

    machine: str
    asked_at: float
    answered_at: float
    pid: int
    version: int
    is_ready: bool


class Watch:
    """Reads the status of every machine, with a pause after each read."""

    def __init__(self, machines: list[Machine], pause_s: float, clock: Callable[[], float]) -> None:
        self.observations: list[Observation] = []
        self.newest: dict[str, Observation] = {}
        self._clock = clock
        self.poller = Poller(machines, self._read_status, pause_s)

    async def _read_status(self, machine: Machine) -> None:
        asked_at = self._clock()
        try:
            answer = await call(machine.spec.control_plane, "GET", STATUS_PATH, timeout_s=STATUS_TIMEOUT_S)
            status = answer.json()
        except (OSError, WireError, TimeoutError):
            return
        if answer.status != 200:
            return
        observation = Observation(
            machine.spec.name, asked_at, self._clock(), status["process"], status["configuration-version"],
            status["ready"],
        )  # fmt: skip
        self.observations.append(observation)
        self.newest[observation.machine] = observation
