"""Decides whether a request has enough time left, and computes the `Retry-After` of a refused request."""

from __future__ import annotations

MIN_TIME_LEFT_MS = 8.0
"""A request with less time left before its deadline cannot be answered in time by any server."""
RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 2.0
NO_SERVERS_RETRY_S = 0.4
"""Base delay while a service has no servers: a new server takes a while to start."""
TYPICAL_STARTUP_S = 1.3
"""By this time after its start a process usually has a configuration and servers."""
UNCONFIGURED_RETRY_S = 0.3
"""Base delay for a process that is older than `TYPICAL_STARTUP_S` and still has no configuration; it may get
one at any moment."""
STARTUP_JITTER_S = 0.3
MAX_WAIT_SHARE = 0.3


def has_time(left_ms: float) -> bool:
    """Returns whether a request with this much time left may still be sent."""
    return left_ms >= MIN_TIME_LEFT_MS


def retry_after_s(mean_ttft_ms: float, left_ms: float, draw: float) -> float:
    """Returns when a slot is likely free at servers that are full, in seconds: after one to three mean times
    to the first token. `draw` (0 to 1) spreads the clients so that those refused together don't retry
    together."""
    wait = mean_ttft_ms / 1000 * (1.0 + 2.0 * draw)
    return _capped(min(max(wait, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S), left_ms)


def no_servers_retry_after_s(left_ms: float, draw: float) -> float:
    """Returns when a server may be available again while none can be reached, in seconds."""
    return _capped(NO_SERVERS_RETRY_S * (1.0 + draw), left_ms)


def unconfigured_retry_after_s(up_s: float, draw: float) -> float:
    """Returns when a process that has been up for `up_s` and has no configuration yet is likely to have one,
    in seconds. Clients with little time left retry earlier."""
    return max(UNCONFIGURED_RETRY_S, TYPICAL_STARTUP_S - up_s) + STARTUP_JITTER_S * draw


def _capped(wait_s: float, left_ms: float) -> float:
    """Caps the wait at `MAX_WAIT_SHARE` of the time that the request has left."""
    return max(0.01, min(wait_s, left_ms / 1000 * MAX_WAIT_SHARE))
