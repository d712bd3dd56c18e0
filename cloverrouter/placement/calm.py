"""Servers kept calm for requests that talk, while there are requests of both kinds.

Long prompts read in a row beside a stream stretch the pauses between its events. So some of the ready
servers are kept for requests whose answers are longer than their prompts. Which ones is a ranking on which
all proxies agree without talking; how many follows from what all proxies see alike: whether answers at the
calm servers begin late.
"""

from __future__ import annotations

from collections import Counter

from cloverrouter.placement.prefix import Prompt, mix
from cloverrouter.placement.servers import Standing

LEAST_CALM = 0.25
"""This part of the servers is kept calm at least,"""
MOST_CALM = 0.5
"""and this at most."""
CALM_SHARE = 0.2
"""Part of the other requests' subjects that may go to calm servers all the same: calm ones have time left."""
KIND_MEMORY_S = 20.0
"""So long a kind of request is expected to come again."""
GROW_DELAY = 1.0
"""One more is kept calm when answers begin later at the calm servers, by so many usual times to the first
token in the mean;"""
GROW_EVERY_S = 0.3
"""at most one in this time."""
BUSY = 0.6
"""But not while they are less taken than this: what is late then waits for no place there."""
FULL = 1.2
"""One more as well when the requests under way there, taken to be alike at all proxies, fill the calm servers
so many times over;"""
LEAST_UNDER_WAY = 4
"""with fewer of its own a proxy can't tell chance from load."""
EASED_DELAY = 0.5
"""One less when they have not been later than this"""
SHRINK_AFTER_S = 1.5
"""for so long."""
_RANKING = 0x9E3779B97F4A7C15


def _rank(standing: Standing) -> int:
    return mix(_RANKING ^ standing.seed)


def _by_turns_of_zones(ranked: list[Standing]) -> list[Standing]:
    """The same servers so that each zone has its turn: the first of all zones, then the second of each."""
    places: Counter[str] = Counter()
    turns: list[tuple[int, Standing]] = []
    for standing in ranked:
        turns.append((places[standing.server.zone], standing))
        places[standing.server.zone] += 1
    return [standing for _, standing in sorted(turns, key=lambda turn: turn[0])]


class CalmServers:
    """Which servers of one service are calm, and whether there is a need for it."""

    def __init__(self) -> None:
        self.members: set[Standing] = set()
        self._ranked: list[Standing] = []
        self._extra = 0
        self._grew_at = self._late_at = 0.0
        self._talked_at = self._read_at = -KIND_MEMORY_S
        self.fleet_size = 1
        """Proxies that send to the same servers."""

    def __contains__(self, standing: Standing) -> bool:
        return standing in self.members

    @property
    def wanted(self) -> bool:
        """Whether requests of both kinds came lately."""
        return abs(self._talked_at - self._read_at) <= KIND_MEMORY_S

    def servers_changed(self, ready: list[Standing]) -> None:
        """These are the ready servers now."""
        self._ranked = _by_turns_of_zones(sorted(ready, key=_rank, reverse=True))
        self._choose()

    def note(self, prompt: Prompt, now: float) -> None:
        """A request came."""
        if prompt.talks:
            self._talked_at = now
        elif prompt.tokens_out:
            self._read_at = now

    @property
    def seen_at(self) -> tuple[float, float]:
        """When requests that talk, and others, came last, here or at other proxies."""
        return self._talked_at, self._read_at

    def wanted_at(self, now: float) -> bool:
        """Whether requests of both kinds came lately, seen from now."""
        return self.wanted and now - min(self.seen_at) <= KIND_MEMORY_S

    def told(self, talked_at: float, read_at: float) -> None:
        """Another proxy knows of requests that came at these times."""
        self._talked_at = max(self._talked_at, talked_at)
        self._read_at = max(self._read_at, read_at)

    def spared_by(self, prompt: Prompt) -> bool:
        """Whether a request that doesn't talk leaves the calm servers alone."""
        subject = prompt.subject
        return subject is None or subject.key % 1000 >= CALM_SHARE * 1000

    def adapt(self, now: float, usual_ms: float) -> bool:
        """Keep one more or one less of them calm, by how late their answers begin. Whether that changed."""
        if not self.members:
            return False
        delay = sum([one.late_ms(now, usual_ms) for one in self.members]) / len(self.members) / usual_ms
        taken = self._taken()
        full = taken > FULL and self._under_way() >= LEAST_UNDER_WAY
        if delay > EASED_DELAY or full:
            self._late_at = now
        late = delay > GROW_DELAY and (taken > BUSY or self.fleet_size == 1)
        if (late or full) and now - self._grew_at > GROW_EVERY_S:
            self._grew_at = now
            return self._resize(1)
        if self._extra and now - self._late_at > SHRINK_AFTER_S:
            self._late_at = now
            return self._resize(-1)
        return False

    def _under_way(self) -> int:
        return sum([one.in_flight for one in self.members])

    def _taken(self) -> float:
        """Part of the calm servers' places that is taken, if all proxies send them as much as this one."""
        capacity = sum([one.server.capacity for one in self.members])
        return self._under_way() * self.fleet_size / capacity if capacity > 0 else 0.0

    def _resize(self, by: int) -> bool:
        before = len(self.members)
        self._extra += by
        self._choose()
        return len(self.members) != before

    def _choose(self) -> None:
        ready = len(self._ranked)
        least, most = int(ready * LEAST_CALM), int(ready * MOST_CALM)
        self._extra = max(0, min(self._extra, most - least))
        self.members = set(self._ranked[: least + self._extra])
