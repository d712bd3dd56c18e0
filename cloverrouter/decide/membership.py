"""Index of the servers, in which changes are cheap and a draw does not read all servers."""

from __future__ import annotations

from collections import defaultdict
from heapq import heappop, heappush
from math import ceil

from cloverrouter import indexes
from cloverrouter.decide.endpoint import Endpoint
from cloverrouter.decide.flow import many_proxies
from cloverrouter.interface import (
    DedupScope,
    EndpointEstimates,
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
    Settings,
)

# From this price of a zone crossing on, draws use the zone shares that avoid crossings; below it, a mix of
# those and shares by weight, in proportion to the price.
HIGH_PRICE = 0.05
MAX_REMEMBERED_NAMES = 50_000  # of listed servers; tells a server that has left from a mistyped name
MAX_SCANNED = 32  # maximum number of servers checked one by one when draws found none


Ring = indexes.Ring[Endpoint]
# (ring, first index of the window, number of servers in it, share of this proxy's requests)
Span = tuple[Ring, int, int, float]


class Membership:
    """The servers as known to this proxy."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.endpoints: dict[str, Endpoint] = {}
        self.all_means = indexes.PairMean()
        self.all = Ring()
        self.ready = self.all.members  # updated in place
        self.rings: dict[str, Ring] = defaultdict(indexes.Ring)  # the ready servers by zone; none is empty
        self.cells: dict[tuple[str, int], Ring] = defaultdict(indexes.Ring)  # and by cell
        self.unused: dict[str, Endpoint] = {}  # sent nothing since the end of a cordon
        self.cold: dict[str, Endpoint] = {}
        self._warming: list[tuple[float, str]] = []  # a heap of (time when warm, name)
        self.shares: dict[str, float] = {}  # share of this proxy's requests by zone
        self.weight = 0.0  # of all ready servers
        self._spans: list[Span] = []
        self._spans_size = -1.0  # the window size for which the spans were computed
        self.cordons: dict[str, None] = {}  # outlive lists: a server that leaves and returns stays cordoned
        self.names: dict[str, None] = {}  # ever listed, the latest last
        self.back_ms: dict[str, float] = {}  # when cordons ended
        self.restored_estimates: dict[str, EndpointEstimates] = {}  # of endpoints not listed yet

    def update(self, event: EndpointsListed) -> None:
        """Applies a list from discovery."""
        if event.kind is ListKind.FAILED:
            return  # keeps the old list
        if event.kind is not ListKind.DELTA:
            listed = {entry.name for entry in event.endpoints}
            for name in [name for name in self.endpoints if name not in listed]:
                self._drop(name)
        for entry in event.endpoints:
            endpoint = self.endpoints.get(entry.name)
            self.names.pop(entry.name, None)
            self.names[entry.name] = None
            if entry.state is EndpointState.GONE:
                self._drop(entry.name)
            elif endpoint is None:
                endpoint = self.endpoints[entry.name] = Endpoint(entry, self.all_means, self.settings.safety)
                endpoint.cordoned, endpoint.back_ms = entry.name in self.cordons, self.back_ms.get(entry.name)
                endpoint.update_listing(entry)
                self._restore(endpoint)
                self._index(endpoint)
            elif endpoint.listed != entry:
                self._unindex(endpoint)
                endpoint.update_listing(entry)
                self._index(endpoint)
        while len(self.names) > MAX_REMEMBERED_NAMES:
            self.names.pop(next(iter(self.names)))
        self._assign_zone_shares()

    def _drop(self, name: str) -> None:
        endpoint = self.endpoints.pop(name, None)
        if endpoint is None:
            return
        self._unindex(endpoint)
        if endpoint.learned_ms is not None:
            self.all_means.add(endpoint.earned, endpoint.slowness, -1)
            endpoint.all_means, endpoint.learned_ms = indexes.PairMean(), None  # ignores late outcomes

    def _rings(self, endpoint: Endpoint) -> tuple[Ring, Ring, Ring]:
        """Returns the rings that contain the endpoint while it is ready."""
        listed = endpoint.listed
        return self.all, self.rings[listed.zone], self.cells[listed.zone, listed.cell]

    def _index(self, endpoint: Endpoint) -> None:
        if endpoint.listed.state is EndpointState.READY and not endpoint.cordoned:
            for ring in self._rings(endpoint):
                ring.add(endpoint.listed.name, endpoint.weight, endpoint)
            if endpoint.unused:
                self.unused[endpoint.listed.name] = endpoint
            if endpoint.cold_until_ms > float("-inf"):
                self.cold[endpoint.listed.name] = endpoint
                heappush(self._warming, (endpoint.cold_until_ms, endpoint.listed.name))

    def _unindex(self, endpoint: Endpoint) -> None:
        for ring in self._rings(endpoint):
            ring.discard(endpoint.listed.name)
        self.unused.pop(endpoint.listed.name, None)
        self.cold.pop(endpoint.listed.name, None)
        listed = endpoint.listed
        if not self.rings[listed.zone].members:
            del self.rings[listed.zone]
        if not self.cells[listed.zone, listed.cell].members:
            del self.cells[listed.zone, listed.cell]

    def cold_share(self, now_ms: float) -> float:
        """Returns the share of the ready servers that is not warm yet."""
        while self._warming and self._warming[0][0] <= now_ms:
            _, name = heappop(self._warming)
            endpoint = self.cold.get(name)
            if endpoint is not None and endpoint.cold_until_ms <= now_ms:
                del self.cold[name]
        return len(self.cold) / len(self.ready) if self.ready else 0.0

    def _restore(self, endpoint: Endpoint) -> None:
        """Restores what the previous balancer learned, if the server is still the same process."""
        estimates = self.restored_estimates.pop(endpoint.listed.name, None)
        if estimates is None or not estimates.is_same_process(endpoint.listed.started_ms):
            return
        endpoint.earned, endpoint.slowness = estimates.earned, estimates.slowness
        endpoint.limit, endpoint.latency_ms = estimates.limit, estimates.latency_ms
        endpoint.restored_credit = estimates.cold_credit

    def cordon(self, now_ms: float, name: str, on: bool) -> bool:
        """Sets or ends a cordon; False if the endpoint was never listed. It may be restarted meanwhile, which
        lists report late or never, so it counts as cold when the cordon ends."""
        if name not in self.names and name not in self.cordons:
            return False
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            self._unindex(endpoint)
        if on:
            self.cordons[name] = None
        elif name in self.cordons:
            del self.cordons[name]
            cold_ms = self.settings.safety.cold_ms
            self.back_ms = {n: at for n, at in self.back_ms.items() if now_ms - at < cold_ms}
            self.back_ms[name] = now_ms
            if endpoint is not None:
                endpoint.end_cordon(now_ms)
        if endpoint is not None:
            endpoint.cordoned = on
            self._index(endpoint)
        self._assign_zone_shares()
        return True

    def _assign_zone_shares(self) -> None:
        """Computes which share of this zone's requests each zone gets.

        If crossings cost and each proxy used only its own zone, a zone with few servers would be overloaded
        while others idle. Zones are assumed to have equal traffic: what exceeds the capacity of a zone's
        servers goes to zones with spare capacity, in proportion to it; nothing else crosses.
        """
        weights = {self.settings.zone: 0.0, **{zone: ring.weight for zone, ring in self.rings.items()}}
        total, even, home = sum(weights.values()), 1 / len(weights), self.settings.zone
        self.weight = total
        self.shares, self._spans_size = {}, -1.0
        if total <= 0:
            return
        spare = {zone: max(0.0, weight / total - even) for zone, weight in weights.items()}
        home_share = min(1.0, weights[home] / total / even)
        total_spare = max(sum(spare.values()), 1e-9)
        bias = min(1.0, self.settings.prices.cross_zone / HIGH_PRICE) if many_proxies(self.settings) else 0.0
        for zone, weight in weights.items():
            filled = home_share if zone == home else (1 - home_share) * spare[zone] / total_spare
            self.shares[zone] = bias * filled + (1 - bias) * weight / total

    def spans(self, size: float, position: float) -> list[Span]:
        """Returns this proxy's servers: about `size`, by zone, from `position` (0 to 1) of each ring on."""
        if self._spans_size == size:
            return self._spans
        self._spans_size, self._spans = size, []
        for zone, share in self.shares.items():
            ring = self.rings.get(zone)
            if ring is not None and share > 1e-9:
                wanted = min(len(ring.members), ceil(size * share - 1e-9))
                self._spans.append((ring, int(position * len(ring.members)), wanted, share))
        return self._spans

    @staticmethod
    def window(now_ms: float, spans: list[Span]) -> list[Endpoint]:
        """Returns servers with a free slot, by zone; the next on the ring replace those without."""
        found: list[Endpoint] = []
        for ring, start, wanted, share in spans:
            size, weight, mine = len(ring.members), 0.0, []
            for i in range(start, start + min(size, wanted + MAX_SCANNED)):
                e = ring.members[i if i < size else i - size]
                if e.has_slot(now_ms):
                    mine.append(e)
                    weight += e.weight
                    if len(mine) == wanted:
                        break
            for e in mine:
                e.share = share * e.weight / weight if weight else share / len(mine)
            found += mine
        return found

    def group(self, scope: DedupScope, home: ListedEndpoint) -> Ring:
        """Returns the ready servers that deduplicate with `home`."""
        if scope is DedupScope.ALL:
            return self.all
        if scope is DedupScope.ZONE:
            return self.rings.get(home.zone, Ring())
        return self.cells.get((home.zone, home.cell), Ring())
