"""Limits on how long a connection may have been idle and still be reused.

A server may silently drop idle connections sooner than it announces. The next request on such a connection is
reset, and the sender cannot know whether it was executed. The first such reset therefore lowers the limit for
a while.
"""

from __future__ import annotations

import math
from typing import Generic, TypeVar

import attrs

IMMEDIATE_RESET_S = 0.05
"""A reset later than this after sending comes from a server that was processing the request."""
REUSE_FRACTION = 0.5
"""Connections are reused only up to this fraction of the idle time of the one that was reset."""
LIMIT_DURATION_S = 5.0
"""How long a limit is valid at first. A reset within MAX_LIMIT_DURATION_S after its expiry sets it again for
the last duration times LIMIT_DURATION_FACTOR, at most MAX_LIMIT_DURATION_S."""
LIMIT_DURATION_FACTOR = 2.0
MAX_LIMIT_DURATION_S = 20.0
SHARED_LIMIT_WINDOW_S = 3.0
"""Resets at two servers within this time set a limit for all servers."""

K = TypeVar("K")


@attrs.define(slots=True)
class _ReuseLimit:
    """An upper bound on idle time, its expiry, and the length of its current period."""

    limit_s: float
    until_s: float
    duration_s: float


class ReuseLimits(Generic[K]):
    """The limits in force, per server and for all servers. Times are in seconds on one monotonic clock."""

    def __init__(self) -> None:
        self._server_limits: dict[K, _ReuseLimit] = {}
        self._shared_limit: _ReuseLimit | None = None
        self._last_reset: tuple[K, float] | None = None

    def record_reset(self, server: K, idle_s: float, now_s: float) -> None:
        """Records that a request on a connection to `server`, idle for `idle_s`, was reset at once."""
        self._server_limits[server] = _update_limit(self._server_limits.get(server), idle_s, now_s)
        last, self._last_reset = self._last_reset, (server, now_s)
        is_second = last is not None and last[0] != server and now_s - last[1] < SHARED_LIMIT_WINDOW_S
        is_active = self._shared_limit is not None and now_s < self._shared_limit.until_s
        if is_second or is_active:
            self._shared_limit = _update_limit(self._shared_limit, idle_s, now_s)

    def limit_s(self, server: K, now_s: float) -> float:
        """Returns the maximum idle time of a reusable connection to `server`; infinite without a limit."""
        if not self._server_limits and self._shared_limit is None:
            return math.inf
        candidates = (self._server_limits.get(server), self._shared_limit)
        limits = [
            candidate.limit_s
            for candidate in candidates
            if candidate is not None and now_s < candidate.until_s
        ]
        return min(limits, default=math.inf)

    def apply_shared_limit(self, limit_s: float, for_s: float, now_s: float) -> None:
        """Applies a limit for all servers, reported by other nodes and valid for `for_s` seconds."""
        current = self._shared_limit
        if current is not None and now_s < current.until_s:
            limit_s = min(limit_s, current.limit_s)
            for_s = max(for_s, current.until_s - now_s)
        self._shared_limit = _ReuseLimit(limit_s, now_s + for_s, for_s)

    def forget(self, server: K) -> None:
        """Removes the limit of a server that is no longer used."""
        self._server_limits.pop(server, None)


def _update_limit(current: _ReuseLimit | None, idle_s: float, now_s: float) -> _ReuseLimit:
    """Returns the limit that follows from `current` and a reset after `idle_s` of idle time."""
    limit_s = idle_s * REUSE_FRACTION
    if current is None or now_s > current.until_s + MAX_LIMIT_DURATION_S:
        return _ReuseLimit(limit_s, now_s + LIMIT_DURATION_S, LIMIT_DURATION_S)
    if now_s < current.until_s:
        limit_s = min(limit_s, current.limit_s)
        return _ReuseLimit(limit_s, current.until_s, current.duration_s)
    duration_s = min(MAX_LIMIT_DURATION_S, current.duration_s * LIMIT_DURATION_FACTOR)
    return _ReuseLimit(limit_s, now_s + duration_s, duration_s)
