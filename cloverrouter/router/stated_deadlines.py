"""Estimates how much of its time a request has spent before it arrived, from the deadlines that clients
state.

A client states how long it will still wait. That is its full timeout on the first try, and less on each
retry. The full timeout is not stated anywhere; it is estimated as the longest time that clients of the route
stated lately.
"""

from __future__ import annotations

GENERATION_REQUESTS = 256
"""The longest stated time is remembered for at least this many requests, and for twice as many at most."""
MIN_REQUESTS = 8
"""Until this many requests have arrived, clients are assumed to use the full timeout of the route."""
FIRST_TRY_SHARE = 0.9
"""A request that states at least this share of the longest time is assumed to be a first try."""
FIRST_TRY_EWMA_WEIGHT = 0.02
"""Weight of one request in the moving average of the share of first tries."""
MIN_FIRST_TRY_RATE = 0.5
"""If the share of first tries is smaller, clients use different timeouts, and the time spent is unknown."""


class StatedDeadlines:
    """The deadlines that clients stated on one route, in milliseconds."""

    def __init__(self) -> None:
        self._longest_ms = 0.0
        self._previous_longest_ms = 0.0
        self._requests_seen = 0
        self._first_try_rate = 1.0

    def spent_ms(self, stated_ms: float, timeout_ms: float) -> float:
        """Returns the estimate of the time that a request has spent, given the deadline that it states and
        the timeout of the route; 0.0 if it is unknown."""
        self._record(stated_ms)
        full_ms = max(self._longest_ms, self._previous_longest_ms)
        if self._requests_seen < MIN_REQUESTS:
            full_ms = max(full_ms, timeout_ms)
        is_first_try = stated_ms >= FIRST_TRY_SHARE * full_ms
        self._first_try_rate += FIRST_TRY_EWMA_WEIGHT * (is_first_try - self._first_try_rate)
        return full_ms - stated_ms if self._first_try_rate > MIN_FIRST_TRY_RATE else 0.0

    def _record(self, stated_ms: float) -> None:
        self._requests_seen += 1
        if self._requests_seen % GENERATION_REQUESTS == 0:
            self._previous_longest_ms, self._longest_ms = self._longest_ms, 0.0
        self._longest_ms = max(self._longest_ms, stated_ms)
