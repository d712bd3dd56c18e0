"""Limit of one proxy's requests in flight to all servers together."""

from __future__ import annotations

from cloverrouter.decide.endpoint import LIMIT_GROWTH
from cloverrouter.decide.latency import SMOOTHING_GAIN
from cloverrouter.interface import Settings

# Pooled limit per unit of weight of the servers, shared between the proxies, at the start: about what keeps a
# core busy; the limit never falls below this fraction of its start.
FLOW_START = 3.0
FLOW_FLOOR = 0.1
# Growth per round beyond the start, relative to the limit. Traffic is unequal, and a fixed step would leave a
# busy proxy rejecting requests beside idle servers.
FLOW_GROWTH = LIMIT_GROWTH / 4
FLOW_BURST = 5.0  # pauses that may be skipped in advance
# A proxy uses a window of the servers, sized so that each server has this many proxies on average, enough to
# even out unequal traffic.
PROXIES_PER_SERVER = 12.0


def crowded(settings: Settings) -> bool:
    """Returns whether servers have more proxies than COVER. If so, the pooled limit, limits below one, and
    zone shares filled by capacity apply."""
    return settings.proxies > PROXIES_PER_SERVER


class Flow:
    """Limits this proxy's requests in flight over all servers. A limit per server cannot be below one, and
    one request from each of hundreds of proxies is an overload. This limit can be a fraction: below one, a
    pause after each attempt keeps one in flight for that part of the time."""

    def __init__(self, settings: Settings) -> None:
        self._proxies = settings.proxies
        self._crowded = crowded(settings)
        self.limit = 0.0  # unset until servers are known
        self.start = self.least = 0.0
        self.out = 0
        self.strain = 1.0
        self.closed_until_ms = 0.0
        self.due_ms = 0.0  # when the attempts so far would have been due at an even rate
        self.bound = False  # an attempt was blocked since the last one ended

    def resize(self, weight: float) -> None:
        """Adjusts the limit to the total weight of the known servers."""
        before, self.start = self.start, FLOW_START * weight / self._proxies
        self.least = FLOW_FLOOR * self.start
        # After the loss of a zone the proxies must not keep the limit of all servers.
        if before and weight:
            self.limit *= min(1.0, self.start / before)
        self.limit = max(self.limit, self.least) if self.limit else self.start

    def has_room(self, now_ms: float) -> bool:
        if not self._crowded:
            return True
        room = self.out < max(1.0, self.limit) and now_ms >= self.closed_until_ms
        self.bound = self.bound or not room
        return room

    def ended(self, now_ms: float, usual_ms: float, strain: float | None) -> None:
        bound, self.bound = self.bound, False
        self.out -= 1
        if strain is not None:
            self.strain += SMOOTHING_GAIN * (strain - self.strain)
            if self.strain > 1:
                self.limit -= min(1.0, self.limit) * (1 - 1 / self.strain)
            elif self.limit < self.start:
                self.limit = min(self.start, 2 * self.limit)
            elif bound:
                self.limit += FLOW_GROWTH * min(1.0, self.limit)
            self.limit = max(self.limit, self.least)
        if self.limit < 1:
            # A few requests a minute do not arrive evenly. Unused capacity may be used in small bursts while
            # nothing is overloaded: with many such proxies the bursts even out.
            pause_ms = usual_ms * (1 / self.limit - 1)
            self.due_ms = max(self.due_ms, now_ms) + pause_ms
            self.closed_until_ms = self.due_ms - (FLOW_BURST * pause_ms if self.strain <= 1 else 0.0)
