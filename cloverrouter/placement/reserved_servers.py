"""Reserves some servers for decode-heavy requests while a service gets both decode-heavy and prefill-heavy
ones.

A request is decode-heavy if its answer is longer than its prompt. Long prompts that are prefilled next to
such a stream lengthen the pauses between its events, so prefill-heavy requests mostly avoid some of the ready
servers. Which servers these are follows from a ranking that is the same at all proxies and needs no
communication. How many they are follows from what all proxies observe alike: whether answers at the reserved
servers begin late.
"""

from __future__ import annotations

from collections import Counter

from cloverrouter.placement.prefix import Prompt, mix
from cloverrouter.placement.servers import ServerState

MIN_RESERVED_SHARE = 0.25
"""At least this share of the ready servers is reserved."""
MAX_RESERVED_SHARE = 0.5
"""At most this share of the ready servers is reserved."""
ADMITTED_SHARE = 0.2
"""Share of the affinity keys of prefill-heavy requests that may use reserved servers all the same, since
these have spare capacity."""
KIND_EXPIRY_S = 20.0
"""A kind of request that came within this time is expected to come again."""
GROW_DELAY_FACTOR = 1.0
"""One more server is reserved when answers begin late at the reserved servers, by more than this many mean
times to the first token on average."""
GROW_INTERVAL_S = 0.3
"""Minimum time between two increases."""
MIN_GROW_OCCUPANCY = 0.6
"""Late answers add no server while the reserved servers are less occupied than this: the delay then doesn't
come from a lack of slots."""
GROW_OCCUPANCY = 1.2
"""One more server is also reserved when the requests in flight at the reserved servers exceed their capacity
by this factor, assuming that every proxy sends them as many as this one."""
MIN_IN_FLIGHT = 4
"""With fewer own requests in flight than this, a proxy cannot tell chance from load."""
SHRINK_DELAY_FACTOR = 0.5
"""One server fewer is reserved once the delay has stayed below this many mean times to the first token for
`SHRINK_AFTER_S`."""
SHRINK_AFTER_S = 1.5
"""How long the delay must have stayed low before the number shrinks; at most one server fewer in this
time."""
_RANKING = 0x9E3779B97F4A7C15


def _rank(state: ServerState) -> int:
    return mix(_RANKING ^ state.seed)


def _interleave_zones(ranked: list[ServerState]) -> list[ServerState]:
    """Returns the servers interleaved by zone: the first of each zone, then the second of each, and so on."""
    places: Counter[str] = Counter()
    turns: list[tuple[int, ServerState]] = []
    for state in ranked:
        turns.append((places[state.server.zone], state))
        places[state.server.zone] += 1
    return [state for _, state in sorted(turns, key=lambda turn: turn[0])]


class ReservedServers:
    """The reserved servers of one service."""

    def __init__(self) -> None:
        self.members: set[ServerState] = set()
        self._ranked: list[ServerState] = []
        self._extra = 0
        self._grew_at = self._late_at = 0.0
        self._decode_heavy_at = self._prefill_heavy_at = -KIND_EXPIRY_S
        self.fleet_size = 1
        """Number of proxies that send to the same servers."""

    def __contains__(self, state: ServerState) -> bool:
        return state in self.members

    @property
    def is_needed(self) -> bool:
        """Whether both kinds of request came within `KIND_EXPIRY_S` of each other."""
        return abs(self._decode_heavy_at - self._prefill_heavy_at) <= KIND_EXPIRY_S

    def servers_changed(self, ready: list[ServerState]) -> None:
        """Recomputes the ranking for the servers that are ready now."""
        self._ranked = _interleave_zones(sorted(ready, key=_rank, reverse=True))
        self._choose()

    def record_request(self, prompt: Prompt, now: float) -> None:
        """Records the arrival of a request."""
        if prompt.is_decode_heavy:
            self._decode_heavy_at = now
        elif prompt.tokens_out:
            self._prefill_heavy_at = now

    @property
    def last_seen_at(self) -> tuple[float, float]:
        """Times of the last decode-heavy and the last prefill-heavy request, here or at another proxy."""
        return self._decode_heavy_at, self._prefill_heavy_at

    def is_needed_at(self, now: float) -> bool:
        """Whether both kinds of request came within `KIND_EXPIRY_S` before `now`."""
        return self.is_needed and now - min(self.last_seen_at) <= KIND_EXPIRY_S

    def merge_last_seen(self, decode_heavy_at: float, prefill_heavy_at: float) -> None:
        """Merges the arrival times that another proxy knows of."""
        self._decode_heavy_at = max(self._decode_heavy_at, decode_heavy_at)
        self._prefill_heavy_at = max(self._prefill_heavy_at, prefill_heavy_at)

    def is_avoided_by(self, prompt: Prompt) -> bool:
        """Whether a prefill-heavy request avoids the reserved servers."""
        affinity_part = prompt.affinity_part
        return affinity_part is None or affinity_part.key % 1000 >= ADMITTED_SHARE * 1000

    def adapt(self, now: float, mean_ttft_ms: float) -> bool:
        """Reserves one server more or one fewer, depending on how late answers begin at the reserved servers.
        Returns whether the number changed."""
        if not self.members:
            return False
        delay = (
            sum([one.expected_delay_ms(now, mean_ttft_ms) for one in self.members])
            / len(self.members)
            / mean_ttft_ms
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
        """Share of the reserved servers' capacity that is in use if every proxy sends them as many requests
        as this one."""
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
