"""Which servers have room, by what this proxy has under way there and by how late answers begin."""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.placement.first_token import FirstTokenModel
from cloverrouter.placement.options import PlacementOptions
from cloverrouter.placement.servers import ServiceServers, Standing

ROOM_BASE = 2
ROOM_FACTOR = 1.5
"""A server has room while fewer than ``ROOM_BASE + ROOM_FACTOR * mean`` own requests are under way there,"""
ROOM_PART = 0.17
"""or less than this part of what it runs at once, other proxies send there too;"""
ROOM_SHARE = 1.2
"""or, in larger fleets, less than so many times this proxy's even share of that,"""
SILENT_PART = 0.5
"""A server that the head takes for silent has so much of the room of another one."""
LATE_FACTOR = 3.0
"""and while its answers begin less than so many usual times later than their work explains."""


class Room:
    """The bound on load of one service's servers."""

    def __init__(
        self, servers: ServiceServers, first_token: FirstTokenModel, options: PlacementOptions
    ) -> None:
        self._servers = servers
        self._first_token = first_token
        self._options = options
        self._part = ROOM_PART

    def fleet_changed(self, size: int) -> None:
        """So many proxies send to the servers."""
        self._part = min(ROOM_PART, ROOM_SHARE / max(1, size))

    def having(self, among: Iterable[Standing], now: float) -> list[Standing]:
        """Those that have room."""
        if not self._options.room_rule:
            return list(among)
        most = ROOM_BASE + ROOM_FACTOR * self._servers.total_in_flight() / len(self._servers.ready)
        latest_ms = LATE_FACTOR * self._first_token.usual_ms
        return [
            one
            for one in among
            if one.in_flight < self._room(one, most)
            and self.delay_ms(one, now) < latest_ms
        ]

    def _room(self, standing: Standing, most: float) -> float:
        """How many own requests may be under way there."""
        room = max(most, standing.server.capacity * self._part)
        return room * SILENT_PART if standing.server.silent else room

    def delay_ms(self, standing: Standing, now: float) -> float:
        """How much later than its work explains an answer is expected to begin there."""
        if not self._options.learnt_delays:
            return 0.0
        return standing.late_ms(now, self._first_token.usual_ms)
