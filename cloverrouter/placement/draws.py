"""Power of two choices: draws two servers at random and takes the one with the higher payoff / (1 + own
requests in flight)."""

from __future__ import annotations

from collections.abc import Callable

from cloverrouter.placement.first_token import FirstTokenModel
from cloverrouter.placement.load_bound import LoadBound
from cloverrouter.placement.options import PlacementOptions
from cloverrouter.placement.servers import ServerState

LOCAL_ZONE_SHARE = 0.75
"""The proxy's own zone is preferred if it has at least this part of an even share of the servers of all
zones."""
MAX_OCCUPANCY = 0.8
"""A long answer avoids servers that report a higher occupancy than this."""
OCCUPANCY_WEIGHT = 4.0
"""Number of requests in flight as which a fully occupied server is counted for long answers."""

Random = Callable[[], float]
"""Returns a number from 0 up to, but not including, 1."""


class Draws:
    """Draws among the servers of one service for a proxy in `zone`."""

    def __init__(
        self,
        random: Random,
        zone: str,
        first_token: FirstTokenModel,
        load_bound: LoadBound,
        options: PlacementOptions,
    ) -> None:
        self._random = random
        self._zone = zone
        self._first_token = first_token
        self._load_bound = load_bound
        self._options = options

    def better(self, among: list[ServerState], now: float) -> ServerState:
        """Returns the better of two random servers; of equals, the one in the proxy's own zone."""
        first, second = self._draw_two(among)
        value, other_value = self._value(first, now), self._value(second, now)
        if value == other_value:
            return second if self._is_in_own_zone(second) and not self._is_in_own_zone(first) else first
        return second if other_value > value else first

    def less_loaded(self, among: list[ServerState], now: float) -> ServerState:
        """Returns the better of two random servers for a long answer, also counting the load that the servers
        report."""
        first, second = self._draw_two(among)
        value = self._value(first, now, OCCUPANCY_WEIGHT)
        return second if self._value(second, now, OCCUPANCY_WEIGHT) > value else first

    def with_free_slots(self, among: list[ServerState], now: float) -> list[ServerState]:
        """Returns the servers whose reported occupancy is low enough for a long answer."""
        return [one for one in among if self._occupancy(one, now) < MAX_OCCUPANCY]

    def in_own_zone(self, among: list[ServerState]) -> list[ServerState]:
        """Returns the servers in the proxy's own zone if there are at least two and about as many as a zone's
        share; otherwise all."""
        in_own_zone = [one for one in among if self._is_in_own_zone(one)]
        zones = len({one.server.zone for one in among})
        is_enough = len(in_own_zone) >= 2 and len(in_own_zone) * zones >= LOCAL_ZONE_SHARE * len(among)
        return in_own_zone if is_enough else among

    def _draw_two(self, among: list[ServerState]) -> tuple[ServerState, ServerState]:
        first = self._draw_one(among)
        others = [one for one in among if one is not first]
        return first, self._draw_one(others) if others else first

    def _draw_one(self, among: list[ServerState]) -> ServerState:
        return among[int(self._random() * len(among))]

    def _is_in_own_zone(self, state: ServerState) -> bool:
        return state.server.zone == self._zone

    def _occupancy(self, state: ServerState, now: float) -> float:
        return state.occupancy(now) if self._options.reported_loads else 0.0

    def _value(self, state: ServerState, now: float, occupancy_weight: float = 0.0) -> float:
        mean_ttft_ms = self._first_token.mean_ttft_ms
        delay_ms = max(0.0, self._load_bound.delay_ms(state, now) - mean_ttft_ms)
        load = (
            1.0 + state.in_flight + delay_ms / mean_ttft_ms + occupancy_weight * self._occupancy(state, now)
        )
        return round(state.expected_payoff(now) / load, 2)
