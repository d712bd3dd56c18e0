"""Limits what one proxy of a fleet may spend on retries, and computes how long a retry waits.

The rule: over all proxies, in each sliding window, the arrivals at a service beyond the first of each request
are at most ratio x requests + allowance. The requests counted are those of the window, of the one before or
of the one half-way between, whichever are most. The proxies don't communicate about it. Each has a token
bucket: an answer earns half the ratio, a retry costs one whole token. Its capacity is what it earned in the
last window plus its part of `FLOOR_PART` of the allowance. So what N proxies spend in a window is at most
what they stored (FLOOR_PART x allowance + ratio/2 x answers of the window before) plus what they earn
(ratio/2 x answers of the window); a restart adds `START_PART` of a floor. The rest of the allowance covers
restarts, and answers that come a window after their requests.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

import attrs

from cloverrouter.decide.budget import (
    BACKOFF_BASE_MS,
    BACKOFF_CAP_MS,
    DEADLINE_MARGIN_MS,
    RetryBudget,
    backoff_ms,
)

FLOOR_PART = 0.5  # of the allowance: what all proxies together may store beyond recent earnings
START_PART = 0.2  # of its floor: what a proxy has at its start
EARNED_PART = 0.5  # of the rule's ratio: what an answer earns
SLOTS = 10  # number of slots of a window: resolution at which earned tokens are tracked


class FleetRetryBudget:
    """The retry budget of one service at one proxy of at most `fleet_size`. `ratio` and `window_s` are those
    of the rule.

    A bucket that holds less than one retry is emptied for a proportional chance of one, so that proxies with
    few requests together retry as often as they may.
    """

    def __init__(
        self, allowance: float, ratio: float, window_s: float, fleet_size: int, now: float, random: Random
    ) -> None:
        self._random = random
        self._slot_s = window_s / SLOTS
        self._slots: deque[int] = deque([0] * SLOTS, maxlen=SLOTS)  # answers, newest last
        self._slot_ends = now + self._slot_s
        earned = max(ratio * EARNED_PART, 1e-9)
        self._bucket = RetryBudget(0.0, earned)
        self.resize(allowance, fleet_size)
        self._bucket.tokens = self._floor * START_PART

    def resize(self, allowance: float, fleet_size: int) -> None:
        """Adapts the floor to a changed fleet size."""
        self._floor = allowance * FLOOR_PART / max(fleet_size, 1) * self._bucket.cost
        self._set_capacity()

    def earn(self, now: float) -> None:
        """Records that a request of the service was answered."""
        self._advance(now)
        self._slots[-1] += 1
        self._set_capacity()
        self._bucket.earn()

    def spend(self, now: float) -> bool:
        """Pays for one arrival beyond a request's first. Returns False if it may not be made."""
        self._advance(now)
        if self._bucket.spend():
            return True
        chance = self._bucket.tokens / self._bucket.cost
        self._bucket.tokens = 0.0
        return self._random.random() < chance

    def available_retries(self, now: float) -> float:
        """Returns the number of retries that can be paid for now."""
        self._advance(now)
        return self._bucket.tokens / self._bucket.cost

    def _advance(self, now: float) -> None:
        if now < self._slot_ends:
            return
        passed = int((now - self._slot_ends) / self._slot_s) + 1
        self._slots.extend([0] * min(passed, SLOTS))
        self._slot_ends += passed * self._slot_s
        self._set_capacity()

    def _set_capacity(self) -> None:
        self._bucket.capacity = self._floor + sum(self._slots)
        self._bucket.tokens = min(self._bucket.tokens, self._bucket.capacity)


@attrs.define(slots=True)
class RetryBudgets:
    """The retry budgets of all services at one proxy, created on first use."""

    allowance: float
    ratio: float
    window_s: float
    fleet_size: int
    clock: Callable[[], float]
    random: Random
    _by_service: dict[str, FleetRetryBudget] = attrs.field(factory=dict)

    def earn(self, service: str) -> None:
        """Records that a request was answered."""
        self._of(service).earn(self.clock())

    def spend(self, service: str) -> bool:
        """Pays for one more arrival of a request. Returns False if the budget doesn't cover it."""
        return self._of(service).spend(self.clock())

    def resize(self, fleet_size: int) -> None:
        """Sets the maximum number of proxies."""
        if fleet_size == self.fleet_size:
            return
        self.fleet_size = fleet_size
        for budget in self._by_service.values():
            budget.resize(self.allowance, fleet_size)

    def keep_only(self, services: set[str]) -> None:
        """Drops the budgets of services that are no longer configured."""
        for name in self._by_service.keys() - services:
            del self._by_service[name]

    def _of(self, service: str) -> FleetRetryBudget:
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = FleetRetryBudget(
                self.allowance, self.ratio, self.window_s, self.fleet_size, self.clock(), self.random
            )
        return budget


@attrs.define(slots=True)
class Backoff:
    """The backoff of one request's retries, in milliseconds: decorrelated jitter within its deadline."""

    deadline_ms: float
    base_ms: float = BACKOFF_BASE_MS
    cap_ms: float = BACKOFF_CAP_MS
    previous_ms: float = attrs.field(default=attrs.Factory(lambda self: self.base_ms, takes_self=True))

    def next_ms(self, now_ms: float, random: Random) -> float | None:
        """Returns how long to wait before the next attempt; None if too little time is left."""
        remaining = self.deadline_ms - now_ms - DEADLINE_MARGIN_MS
        if remaining <= 0:
            return None
        scale = self.base_ms / BACKOFF_BASE_MS
        wait = min(backoff_ms(self.previous_ms / scale, random) * scale, self.cap_ms)
        self.previous_ms = wait
        return min(wait, remaining)
