"""Limit of one proxy's requests in flight to all servers together."""

from __future__ import annotations

from cloverrouter.decide.endpoint import LIMIT_GROWTH
from cloverrouter.decide.latency import SMOOTHING_GAIN
from cloverrouter.interface import Settings

# Initial pooled limit of all proxies per unit of server weight: about what keeps a core busy. The limit never
# falls below this fraction of its initial value.
FLOW_START = 3.0
FLOW_FLOOR = 0.1
# Growth per round beyond the initial limit, relative to the limit. Traffic is unequal: with a fixed step a
# busy proxy would reject requests beside idle servers.
FLOW_GROWTH = LIMIT_GROWTH / 4
FLOW_BURST = 5.0  # attempts that may start before their pauses are over
# A proxy's window is sized so that each server has this many proxies on average, to even out their traffic.
PROXIES_PER_SERVER = 12.0


def many_proxies(settings: Settings) -> bool:
    """Returns whether there are more proxies than `PROXIES_PER_SERVER`. If so, the pooled limit, limits below
    one, and zone shares that avoid crossings apply."""
    return settings.proxies > PROXIES_PER_SERVER


class Flow:
    """Limits this proxy's requests in flight over all servers. A limit per server cannot be below one, and
    one request from each of hundreds of proxies is an overload. This limit can be a fraction: below one, a
    pause after each attempt keeps one in flight for that part of the time."""

    def __init__(self, settings: Settings) -> None:
        self._proxies = settings.proxies
        self._many_proxies = many_proxies(settings)
        self.limit = 0.0  # unset until servers are known
        self.initial_limit = self.min_limit = 0.0
        self.in_flight = 0
        self.load_ratio = 1.0  # smoothed latency relative to its target; above 1: overloaded
        self.paused_until_ms = 0.0
        self.due_ms = 0.0  # when the next attempt is due if attempts are evenly spaced
        self.limit_reached = False  # an attempt was blocked since the last one ended

    def resize(self, weight: float) -> None:
        """Adjusts the limit to the total weight of the known servers."""
        before, self.initial_limit = self.initial_limit, FLOW_START * weight / self._proxies
        self.min_limit = FLOW_FLOOR * self.initial_limit
        # After the loss of a zone the proxies must not keep the limit of all servers.
        if before and weight:
            self.limit *= min(1.0, self.initial_limit / before)
        self.limit = max(self.limit, self.min_limit) if self.limit else self.initial_limit

    def has_slot(self, now_ms: float) -> bool:
        if not self._many_proxies:
            return True
        available = self.in_flight < max(1.0, self.limit) and now_ms >= self.paused_until_ms
        self.limit_reached = self.limit_reached or not available
        return available

    def record_end(self, now_ms: float, attempt_ms: float, load_ratio: float | None) -> None:
        """Adapts the limit at the end of an attempt that usually takes `attempt_ms`."""
        limit_reached, self.limit_reached = self.limit_reached, False
        self.in_flight -= 1
        if load_ratio is not None:
            self.load_ratio += SMOOTHING_GAIN * (load_ratio - self.load_ratio)
            if self.load_ratio > 1:
                self.limit -= min(1.0, self.limit) * (1 - 1 / self.load_ratio)
            elif self.limit < self.initial_limit:
                self.limit = min(self.initial_limit, 2 * self.limit)
            elif limit_reached:
                self.limit += FLOW_GROWTH * min(1.0, self.limit)
            self.limit = max(self.limit, self.min_limit)
        if self.limit < 1:
            # A few requests a minute do not arrive evenly. Unused capacity may be used in small bursts while
            # nothing is overloaded: with many such proxies the bursts even out.
            pause_ms = attempt_ms * (1 / self.limit - 1)
            self.due_ms = max(self.due_ms, now_ms) + pause_ms
            self.paused_until_ms = self.due_ms - (FLOW_BURST * pause_ms if self.load_ratio <= 1 else 0.0)
