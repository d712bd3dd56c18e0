"""The sends of one request so far, and whether it may be sent again."""

from __future__ import annotations

from random import Random

import attrs

from cloverrouter.control.configuration import Route
from cloverrouter.decide.budget import BACKOFF_BASE_MS, DEADLINE_MARGIN_MS, backoff_ms
from cloverrouter.router.ports import Budget
from cloverrouter.router.verdict import Answer, End

BACKOFF_SCALE = 0.1
"""Scales the backoff of `decide.budget`, since latency objectives here are tenths of a second."""


@attrs.define(slots=True)
class RetryState:
    """The sends of one request on a route to a service."""

    route: Route
    service: str
    budget: Budget
    tried_servers: set[str] = attrs.field(factory=set)
    """Ids of the servers that the request was sent to."""
    sends: int = 0
    arrivals: int = 0
    """Sends that reached a server."""
    runs: int = 0
    """Sends that are over and may have run."""
    may_have_run: bool = False
    failure: Answer | None = None
    """The server's own error answer to the last send that may have run, if it sent one."""
    _charged: bool = False
    _charged_ahead: bool = False
    _previous_backoff_ms: float = BACKOFF_BASE_MS

    def record_sent(self, instance_id: str) -> None:
        """Records a send to that server."""
        self.sends += 1
        self.tried_servers.add(instance_id)

    def record_end(self, end: End, answer: Answer | None) -> None:
        """Records the end of the latest send; `answer` is the server's own error answer, if it sent one."""
        if end.arrived:
            self.arrivals += 1
            self._charged, self._charged_ahead = self._charged_ahead, False
        if end.may_have_run:
            self.may_have_run = True
            self.runs += 1
            self.failure = answer

    def charge_budget(self) -> bool:
        """Charges the retry budget for the next arrival, unless it is the first. A charge stays valid
        until a send arrives. Returns False if the budget is exhausted."""
        if self.arrivals and not self._charged:
            self._charged = self.budget.spend(self.service)
            return self._charged
        return True

    def charge_budget_ahead(self) -> bool:
        """Charges the retry budget for the arrival after the current send, which is about to be cancelled.
        Returns False if the budget is exhausted."""
        self._charged_ahead = self.budget.spend(self.service)
        return self._charged_ahead

    @property
    def may_run_again(self) -> bool:
        """Whether another server may run the request after the current one."""
        return self.route.may_repeat and self.runs + 1 < self.route.attempts

    @property
    def no_rerun(self) -> bool:
        """Whether the request must not be sent again once it may have run."""
        return not self.route.may_repeat or self.route.attempts < 2

    def may_retry(self, extra_sends: int) -> bool:
        """Returns whether the request may be sent again. `extra_sends` sends beyond the route's attempts
        are allowed for attempts that did not run."""
        if self.may_have_run and not self.route.may_repeat:
            return False
        attempts = max(1, self.route.attempts)
        return self.runs < attempts and self.sends < attempts + extra_sends

    def next_backoff_ms(self, left_ms: float, random: Random) -> float:
        """Returns the backoff before the next send, by decorrelated jitter; 0 or less if no time is left."""
        self._previous_backoff_ms = backoff_ms(self._previous_backoff_ms, random)
        return min(self._previous_backoff_ms * BACKOFF_SCALE, left_ms - DEADLINE_MARGIN_MS)
