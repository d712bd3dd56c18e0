"""How much one proxy may have out over all servers together."""

from __future__ import annotations

from cloverrouter.decide.endpoint import LIMIT_GROWTH
from cloverrouter.decide.latency import GAIN
from cloverrouter.interface import Settings

# All attempts out together: what a proxy starts with is its part of this many for each unit of weight of
# the servers, about what keeps a core busy; it never falls under this part of that.
FLOW_START = 3.0
FLOW_LEAST = 0.1
# Beyond the start it grows by this part a round. Danger: traffic is unequal, and a step that does not grow
# with the limit leaves a busy proxy turning work away beside idle servers.
FLOW_GROWTH = LIMIT_GROWTH / 4
FLOW_BURST = 5.0  # pauses that may be taken ahead
# A proxy keeps to a window of the servers: of as many as give each this many proxies on average, enough
# for their unequal traffic to even out.
COVER = 12.0


def crowded(settings: Settings) -> bool:
    """Do more proxies send to each server than can have an attempt each out there at all times? Past that the
    exceptions for crowds act: the pooled limit, limits of less than one, water-filled zones."""
    return settings.proxies > COVER


class Flow:
    """How many attempts this proxy may have out over all servers together. Danger: a limit a server can't be
    less than one, and with hundreds of proxies one each is a jam. This one may be a fraction: below one, a
    pause after each attempt, as long as to keep one out for that part of the time."""

    def __init__(self, settings: Settings) -> None:
        self._proxies = settings.proxies
        self._crowded = crowded(settings)
        self.limit = 0.0  # until servers are known
        self.start = self.least = 0.0
        self.out = 0
        self.strain = 1.0
        self.closed_until_ms = 0.0
        self.due_ms = 0.0  # when what has been sent would have been, one by one
        self.bound = False  # something found no room since the last attempt ended

    def resize(self, weight: float) -> None:
        """The servers known now weigh this much together."""
        before, self.start = self.start, FLOW_START * weight / self._proxies
        self.least = FLOW_LEAST * self.start
        # Danger: with a zone gone, all proxies go on with what the servers could take before.
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
            self.strain += GAIN * (strain - self.strain)
            if self.strain > 1:
                self.limit -= min(1.0, self.limit) * (1 - 1 / self.strain)
            elif self.limit < self.start:
                self.limit = min(self.start, 2 * self.limit)
            elif bound:
                self.limit += FLOW_GROWTH * min(1.0, self.limit)
            self.limit = max(self.limit, self.least)
        if self.limit < 1:
            # Danger: traffic of a few requests a minute does not come evenly. What was not used may be, a
            # little, while nothing is strained: such proxies are many, and their bursts even out.
            pause_ms = usual_ms * (1 / self.limit - 1)
            self.due_ms = max(self.due_ms, now_ms) + pause_ms
            self.closed_until_ms = self.due_ms - (FLOW_BURST * pause_ms if self.strain <= 1 else 0.0)
