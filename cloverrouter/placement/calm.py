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

MIN_RESERVED_SHARE = 0.25
"""This part of the servers is kept calm at least,"""
MAX_RESERVED_SHARE = 0.5
"""and this at most."""
ADMITTED_SHARE = 0.2
"""Part of the other requests' subjects that may go to calm servers all the same: calm ones have time left."""
KIND_EXPIRY_S = 20.0
"""So long a kind of request is expected to come again."""
GROW_DELAY_FACTOR = 1.0
"""One more is kept calm when answers begin later at the calm servers, by so many usual times to the first
token in the mean;"""
GROW_INTERVAL_S = 0.3
"""at most one in this time."""
MIN_GROW_OCCUPANCY = 0.6
"""But not while they are less taken than this: what is late then waits for no place there."""
GROW_OCCUPANCY = 1.2
"""One more as well when the requests under way there, taken to be alike at all proxies, fill the calm servers
so many times over;"""
MIN_IN_FLIGHT = 4
"""with fewer of its own a proxy can't tell chance from load."""
SHRINK_DELAY_FACTOR = 0.5
"""One less when they have not been later than this"""
SHRINK_AFTER_S = 1.5
"""for so long."""
_RANKING = 0x9E3779B97F4A7C15


def _rank(state: Standing) -> int:
    return mix(_RANKING ^ state.seed)


def _interleave_zones(ranked: list[Standing]) -> list[Standing]:
    """The same servers so that each zone has its turn: the first of all zones, then the second of each."""
    places: Counter[str] = Counter()
    turns: list[tuple[int, Standing]] = []
    for state in ranked:
        turns.append((places[state.server.zone], state))
        places[state.server.zone] += 1
    return [state for _, state in sorted(turns, key=lambda turn: turn[0])]


class ReservedServers:
    """Which servers of one service are calm, and whether there is a need for it."""

    def __init__(self) -> None:
        self.members: set[Standing] = set()
        self._ranked: list[Standing] = []
        self._extra = 0
        self._grew_at = self._late_at = 0.0
        self._decode_heavy_at = self._prefill_heavy_at = -KIND_EXPIRY_S
        self.fleet_size = 1
        """Proxies that send to the same servers."""

    def __contains__(self, state: Standing) -> bool:
        return state in self.members

    @property
    def is_needed(self) -> bool:
        """Whether requests of both kinds came lately."""
        return abs(self._decode_heavy_at - self._prefill_heavy_at) <= KIND_EXPIRY_S

    def servers_changed(self, ready: list[Standing]) -> None:
        """These are the ready servers now."""
        self._ranked = _interleave_zones(sorted(ready, key=_rank, reverse=True))
        self._choose()

    def record_request(self, prompt: Prompt, now: float) -> None:
        """A request came."""
        if prompt.is_decode_heavy:
            self._decode_heavy_at = now
        elif prompt.tokens_out:
            self._prefill_heavy_at = now

    @property
    def last_seen_at(self) -> tuple[float, float]:
        """When requests that talk, and others, came last, here or at other proxies."""
        return self._decode_heavy_at, self._prefill_heavy_at

    def is_needed_at(self, now: float) -> bool:
        """Whether requests of both kinds came lately, seen from now."""
        return self.is_needed and now - min(self.last_seen_at) <= KIND_EXPIRY_S

    def merge_last_seen(self, decode_heavy_at: float, prefill_heavy_at: float) -> None:
        """Another proxy knows of requests that came at these times."""
        self._decode_heavy_at = max(self._decode_heavy_at, decode_heavy_at)
        self._prefill_heavy_at = max(self._prefill_heavy_at, prefill_heavy_at)

    def is_avoided_by(self, prompt: Prompt) -> bool:
        """Whether a request that doesn't talk leaves the calm servers alone."""
        subject = prompt.subject
        return subject is None or subject.key % 1000 >= ADMITTED_SHARE * 1000

    def adapt(self, now: float, usual_ms: float) -> bool:
        """Keep one more or one less of them calm, by how late their answers begin. Whether that changed."""
        if not self.members:
            return False
        delay = (
            sum([one.expected_delay_ms(now, usual_ms) for one in self.members]) / len(self.members) / usual_ms
        )
        occupancy = self._occupancy()
        full = occupancy > GROW_OCCUPANCY and self._in_flight() >= MIN_IN_FLIGHT
        if delay > SHRINK_DELAY_FACTOR or full:
            self._late_at = now
        late = delay > GROW_DELAY_FACTOR and (occupancy > MIN_GROW_OCCUPANCY or self.fleet_size == 1)
        if (late or full) and now - self._grew_at > GROW_INTERVAL_S:
            self._grew_at = now
            return self._resize(1)
        if self._extra and now - self._late_at > SHRINK_AFTER_S:
            self._late_at = now
            return self._resize(-1)
        return False

    def _in_flight(self) -> int:
        return sum([one.in_flight for one in self.members])

    def _occupancy(self) -> float:
        """Part of the calm servers' places that is taken, if all proxies send them as much as this one."""
        capacity = sum([one.server.capacity for one in self.members])
        return self._in_flight() * self.fleet_size / capacity if capacity > 0 else 0.0

    def _resize(self, by: int) -> bool:
        before = len(self.members)
        self._extra += by
        self._choose()
        return len(self.members) != before

    def _choose(self) -> None:
        ready = len(self._ranked)
        least, most = int(ready * MIN_RESERVED_SHARE), int(ready * MAX_RESERVED_SHARE)
        self._extra = max(0, min(self._extra, most - least))
        self.members = set(self._ranked[: least + self._extra])
