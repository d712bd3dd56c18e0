"""Whether a request is worth sending, and when a client that is refused should come back."""

from __future__ import annotations

LEAST_TIME_MS = 8.0
"""A request with less time left cannot be answered in time by anyone."""
RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 2.0


def has_time(left_ms: float) -> bool:
    """Whether a request with that much time left may still be sent."""
    return left_ms >= LEAST_TIME_MS


def retry_after_s(usual_ms: float, left_ms: float, draw: float) -> float:
    """When a place is likely free: after about two usual answers, spread by `draw` (0 to 1) so that those who
    are refused together don't come back together, and within a third of the time that the client has left."""
    wait = usual_ms / 1000 * (1.0 + 2.0 * draw)
    wait = min(max(wait, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    return max(0.01, min(wait, left_ms / 1000 / 3))
