"""The design's choice: the better of two random draws by payoff / (1 + own in flight)."""

from __future__ import annotations

from collections.abc import Callable

from cloverrouter.placement.first_token import FirstTokenModel
from cloverrouter.placement.options import PlacementOptions
from cloverrouter.placement.room import Room
from cloverrouter.placement.servers import Standing

LOCAL_ZONE_SHARE = 0.75
"""Servers of the own zone are preferred where they are at least this part of an even share of all zones."""
MAX_OCCUPANCY = 0.8
"""A long answer goes elsewhere while a server tells that more of its places are taken than this."""
OCCUPANCY_WEIGHT = 4.0
"""How many requests under way a server counts for long answers that tells that all its places are taken."""

Random = Callable[[], float]
"""A number from 0 up to 1."""


class Draws:
    """Draws among the servers of one service, from a proxy in `zone`."""

    def __init__(
        self,
        random: Random,
        zone: str,
        first_token: FirstTokenModel,
        load_bound: Room,
        options: PlacementOptions,
    ) -> None:
        self._random = random
        self._zone = zone
        self._first_token = first_token
        self._load_bound = load_bound
        self._options = options

    def better(self, among: list[Standing], now: float) -> Standing:
        """The better of two draws; of equals, the one in the proxy's own zone."""
        first, second = self._draw_two(among)
        value, other_value = self._value(first, now), self._value(second, now)
        if value == other_value:
            return second if self._is_in_own_zone(second) and not self._is_in_own_zone(first) else first
        return second if other_value > value else first

    def less_loaded(self, among: list[Standing], now: float) -> Standing:
        """For a long answer: the better of two draws, where what the servers tell of their load counts."""
        first, second = self._draw_two(among)
        value = self._value(first, now, OCCUPANCY_WEIGHT)
        return second if self._value(second, now, OCCUPANCY_WEIGHT) > value else first

    def with_free_slots(self, among: list[Standing], now: float) -> list[Standing]:
        """Those that long answers may go to, by what they tell of their load."""
        return [one for one in among if self._occupancy(one, now) < MAX_OCCUPANCY]

    def in_own_zone(self, among: list[Standing]) -> list[Standing]:
        """Those in the own zone, if they are two at least and no fewer than a zone's share; else all."""
        in_own_zone = [one for one in among if self._is_in_own_zone(one)]
        zones = len({one.server.zone for one in among})
        is_enough = len(in_own_zone) >= 2 and len(in_own_zone) * zones >= LOCAL_ZONE_SHARE * len(among)
        return in_own_zone if is_enough else among

    def _draw_two(self, among: list[Standing]) -> tuple[Standing, Standing]:
        first = self._draw_one(among)
        others = [one for one in among if one is not first]
        return first, self._draw_one(others) if others else first

    def _draw_one(self, among: list[Standing]) -> Standing:
        return among[int(self._random() * len(among))]

    def _is_in_own_zone(self, state: Standing) -> bool:
        return state.server.zone == self._zone

    def _occupancy(self, state: Standing, now: float) -> float:
        return state.occupancy(now) if self._options.reported_loads else 0.0

    def _value(self, state: Standing, now: float, occupancy_weight: float = 0.0) -> float:
        usual_ms = self._first_token.usual_ms
        delay_ms = max(0.0, self._load_bound.delay_ms(state, now) - usual_ms)
        load = 1.0 + state.in_flight + delay_ms / usual_ms + occupancy_weight * self._occupancy(state, now)
        return round(state.expected_payoff(now) / load, 2)
