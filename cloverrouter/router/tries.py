"""What has been tried for one request: where, how often, at whose cost, and whether it may have run."""

from __future__ import annotations

from random import Random

import attrs

from cloverrouter.control.configuration import Route
from cloverrouter.decide.budget import BACKOFF_BASE_MS, DEADLINE_MARGIN_MS, backoff_ms
from cloverrouter.router.ports import Budget
from cloverrouter.router.verdict import Answer, End

BACKOFF_SCALE = 0.1
"""Aims here are tenths of a second: the paper's waits are shortened by this."""


@attrs.define(slots=True)
class Tries:
    """The sends of one request on a route to a service, and what more is allowed."""

    route: Route
    service: str
    budget: Budget
    servers: set[str] = attrs.field(factory=set)
    """Ids of those that it was sent to."""
    sends: int = 0
    arrivals: int = 0
    """Sends that reached a server."""
    runs: int = 0
    """Sends that may have run and are over."""
    may_have_run: bool = False
    failure: Answer | None = None
    """The last server's own failure, if it gave one."""
    _paid: bool = False
    _prepaid: bool = False
    _previous_ms: float = BACKOFF_BASE_MS

    def sent(self, instance_id: str) -> None:
        """It goes to that server now."""
        self.sends += 1
        self.servers.add(instance_id)

    def ended(self, end: End, answer: Answer | None) -> None:
        """The latest send is over, with the server's own failure if it gave one."""
        if end.arrived:
            self.arrivals += 1
            self._paid, self._prepaid = self._prepaid, False
        if end.may_have_run:
            self.may_have_run = True
            self.runs += 1
            self.failure = answer

    def pay(self) -> bool:
        """Pay for the next arrival, if it is one beyond the first. What was paid for and didn't arrive stays
        paid."""
        if self.arrivals and not self._paid:
            self._paid = self.budget.spend(self.service)
            return self._paid
        return True

    def prepay(self) -> bool:
        """Pay for the arrival after the present send, which is to be given up."""
        self._prepaid = self.budget.spend(self.service)
        return self._prepaid

    @property
    def may_run_once_more(self) -> bool:
        """Whether another server may run it after the present one."""
        return self.route.may_repeat and self.runs + 1 < self.route.attempts

    @property
    def fragile(self) -> bool:
        """Whether a send that may have run is its last."""
        return not self.route.may_repeat or self.route.attempts < 2

    def may_go_on(self, extra_sends: int) -> bool:
        """Whether it may be sent again; `extra_sends` beyond the route's attempts are for those that never
        ran."""
        if self.may_have_run and not self.route.may_repeat:
            return False
        attempts = max(1, self.route.attempts)
        return self.runs < attempts and self.sends < attempts + extra_sends

    def next_wait_ms(self, left_ms: float, random: Random) -> float:
        """How long to wait before the next send, by decorrelated jitter; not above 0 if no time is left."""
        self._previous_ms = backoff_ms(self._previous_ms, random)
        return min(self._previous_ms * BACKOFF_SCALE, left_ms - DEADLINE_MARGIN_MS)
