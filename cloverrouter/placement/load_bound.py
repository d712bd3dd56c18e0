"""Bounds the load of each server by this proxy's requests in flight there and by how late answers begin."""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.placement.first_token import FirstTokenModel
from cloverrouter.placement.options import PlacementOptions
from cloverrouter.placement.servers import ServerState, ServiceServers

BOUND_BASE = 2
BOUND_MEAN_FACTOR = 1.5
"""A server may always have fewer own requests in flight than ``BOUND_BASE + BOUND_MEAN_FACTOR * mean``, where
the mean is over the ready servers."""
BOUND_CAPACITY_SHARE = 0.17
"""A server may also have fewer own requests in flight than this share of its capacity; other proxies send
there too."""
BOUND_FLEET_FACTOR = 1.2
"""In larger fleets that share is this many times the proxy's even share of the capacity, if that is less."""
SILENT_BOUND_FACTOR = 0.5
"""Factor on the bound of a server that the head considers silent."""
MAX_DELAY_FACTOR = 3.0
"""A server is above its bound if its answers begin later than their work explains by this many mean times to
the first token."""


class LoadBound:
    """The load bounds of one service's servers."""

    def __init__(
        self, servers: ServiceServers, first_token: FirstTokenModel, options: PlacementOptions
    ) -> None:
        self._servers = servers
        self._first_token = first_token
        self._options = options
        self._capacity_share = BOUND_CAPACITY_SHARE

    def fleet_changed(self, size: int) -> None:
        """Sets the number of proxies that send to the same servers."""
        self._capacity_share = min(BOUND_CAPACITY_SHARE, BOUND_FLEET_FACTOR / max(1, size))

    def below_bound(self, among: Iterable[ServerState], now: float) -> list[ServerState]:
        """Returns the servers that are below their bound."""
        if not self._options.load_bound:
            return list(among)
        limit = BOUND_BASE + BOUND_MEAN_FACTOR * self._servers.total_in_flight() / len(self._servers.ready)
        max_delay_ms = MAX_DELAY_FACTOR * self._first_token.mean_ttft_ms
        return [
            one
            for one in among
            if one.in_flight < self._bound(one, limit) and self.delay_ms(one, now) < max_delay_ms
        ]

    def _bound(self, state: ServerState, mean_bound: float) -> float:
        """Returns how many own requests may be in flight at the server."""
        bound = max(mean_bound, state.server.capacity * self._capacity_share)
        return bound * SILENT_BOUND_FACTOR if state.server.silent else bound

    def delay_ms(self, state: ServerState, now: float) -> float:
        """Returns how much later than its work explains an answer is expected to begin there, in
        milliseconds."""
        if not self._options.learnt_delays:
            return 0.0
        return state.expected_delay_ms(now, self._first_token.mean_ttft_ms)
