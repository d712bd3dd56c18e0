"""Which servers have room, by what this proxy has under way there and by how late answers begin."""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.placement.first_token import FirstTokenModel
from cloverrouter.placement.options import PlacementOptions
from cloverrouter.placement.servers import ServiceServers, Standing

BOUND_BASE = 2
BOUND_MEAN_FACTOR = 1.5
"""A server has room while fewer than ``BOUND_BASE + BOUND_MEAN_FACTOR * mean`` own requests are under way there,"""
BOUND_CAPACITY_SHARE = 0.17
"""or less than this part of what it runs at once, other proxies send there too;"""
BOUND_FLEET_FACTOR = 1.2
"""or, in larger fleets, less than so many times this proxy's even share of that,"""
SILENT_BOUND_FACTOR = 0.5
"""A server that the head takes for silent has so much of the room of another one."""
MAX_DELAY_FACTOR = 3.0
"""and while its answers begin less than so many usual times later than their work explains."""


class Room:
    """The bound on load of one service's servers."""

    def __init__(
        self, servers: ServiceServers, first_token: FirstTokenModel, options: PlacementOptions
    ) -> None:
        self._servers = servers
        self._first_token = first_token
        self._options = options
        self._capacity_share = BOUND_CAPACITY_SHARE

    def fleet_changed(self, size: int) -> None:
        """So many proxies send to the servers."""
        self._capacity_share = min(BOUND_CAPACITY_SHARE, BOUND_FLEET_FACTOR / max(1, size))

    def having(self, among: Iterable[Standing], now: float) -> list[Standing]:
        """Those that have room."""
        if not self._options.load_bound:
            return list(among)
        mean_bound = BOUND_BASE + BOUND_MEAN_FACTOR * self._servers.total_in_flight() / len(self._servers.ready)
        max_delay_ms = MAX_DELAY_FACTOR * self._first_token.usual_ms
        return [
            one
            for one in among
            if one.in_flight < self._bound(one, mean_bound)
            and self.delay_ms(one, now) < max_delay_ms
        ]

    def _bound(self, state: Standing, mean_bound: float) -> float:
        """How many own requests may be under way there."""
        bound = max(mean_bound, state.server.capacity * self._capacity_share)
        return bound * SILENT_BOUND_FACTOR if state.server.silent else bound

    def delay_ms(self, state: Standing, now: float) -> float:
        """How much later than its work explains an answer is expected to begin there."""
        if not self._options.learnt_delays:
            return 0.0
        return state.expected_delay_ms(now, self._first_token.usual_ms)
