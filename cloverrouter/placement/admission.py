"""Whether a request is worth sending, and when a client that is refused should come back."""

from __future__ import annotations

LEAST_TIME_MS = 8.0
"""A request with less time left cannot be answered in time by anyone."""
RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 2.0
NO_SERVERS_RETRY_S = 0.4
"""A service without servers gets some again when one starts, which takes a while."""
TYPICAL_STARTUP_S = 1.3
"""A process that has been up for so long usually has a configuration and servers."""
UNCONFIGURED_RETRY_S = 0.3
"""One that still has none may get them any moment."""
STARTUP_JITTER_S = 0.3
MAX_WAIT_SHARE = 0.3


def has_time(left_ms: float) -> bool:
    """Whether a request with that much time left may still be sent."""
    return left_ms >= LEAST_TIME_MS


def retry_after_s(usual_ms: float, left_ms: float, draw: float) -> float:
    """When a place is likely free at servers that are full: after about two usual answers, spread by `draw`
    (0 to 1) so that those who are refused together don't come back together."""
    wait = usual_ms / 1000 * (1.0 + 2.0 * draw)
    return _capped(min(max(wait, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S), left_ms)


def absent_retry_after_s(left_ms: float, draw: float) -> float:
    """When a server may be there again, with none that can be reached now."""
    return _capped(NO_SERVERS_RETRY_S * (1.0 + draw), left_ms)


def unconfigured_retry_after_s(up_s: float, draw: float) -> float:
    """When a process that has been up for so long, and has no configuration yet, will have one. Clients come
    earlier where they have less time."""
    return max(UNCONFIGURED_RETRY_S, TYPICAL_STARTUP_S - up_s) + STARTUP_JITTER_S * draw


def _capped(wait_s: float, left_ms: float) -> float:
    """Clients wait up to a third of the time that they have left."""
    return max(0.01, min(wait_s, left_ms / 1000 * MAX_WAIT_SHARE))
