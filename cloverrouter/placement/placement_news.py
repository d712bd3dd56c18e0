"""What proxies share of what they see: each meets few requests and answers, together they meet many."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cloverrouter.placement.calm import KIND_MEMORY_S
from cloverrouter.placement.pick import ServicePlacement
from cloverrouter.placement.placement_messages import KindsSeen, LoadReading, PlacementNews
from cloverrouter.placement.server_load import MOST_REQUESTS, ServerLoad
from cloverrouter.placement.servers import Standing

TOLD_S = 2.0
"""Older readings are not passed on."""
MOST_TOLD = 32
"""Readings in one message, the latest ones."""


def news(placements: Mapping[str, ServicePlacement], now: float) -> PlacementNews | None:
    """What to tell another proxy; None if there is nothing new enough."""
    standings = [one for placement in placements.values() for one in placement.servers.ready]
    loads = _latest_loads(standings, now)
    kinds = tuple([_kinds(name, each, now) for name, each in placements.items() if each.calm.wanted_at(now)])
    return PlacementNews(loads, kinds) if loads or kinds else None


def take(told: PlacementNews, placements: Mapping[str, ServicePlacement], now: float) -> None:
    """Take over what another proxy tells of known services and servers, where it is newer."""
    for kinds in told.kinds:
        placement = placements.get(kinds.service)
        if placement is not None and min(kinds.talking_ms, kinds.reading_ms) >= 0:
            placement.calm.told(now - kinds.talking_ms / 1000, now - kinds.reading_ms / 1000)
    standings = {key: one for each in placements.values() for key, one in each.servers.standings.items()}
    for reading in told.loads:
        standing = standings.get(reading.id)
        if standing is not None and _is_sound(reading):
            load = ServerLoad(reading.running, reading.waiting, reading.slots)
            standing.load_told(load, now - reading.age_ms / 1000)


def _latest_loads(standings: Iterable[Standing], now: float) -> tuple[LoadReading, ...]:
    fresh = [one for one in standings if one.load is not None and now - one.load_at < TOLD_S]
    latest = sorted(fresh, key=lambda one: one.load_at, reverse=True)[:MOST_TOLD]
    return tuple([_reading(one, now) for one in latest])


def _reading(standing: Standing, now: float) -> LoadReading:
    load = standing.load
    assert load is not None
    age_ms = max(0, int((now - standing.load_at) * 1000))
    return LoadReading(standing.server.id, load.running, load.waiting, load.slots, age_ms)


def _kinds(service: str, placement: ServicePlacement, now: float) -> KindsSeen:
    talked_at, read_at = placement.calm.seen_at
    return KindsSeen(service, _milliseconds(now - talked_at), _milliseconds(now - read_at))


def _milliseconds(seconds: float) -> int:
    return max(0, min(int(seconds * 1000), int(KIND_MEMORY_S * 2000)))


def _is_sound(reading: LoadReading) -> bool:
    numbers = (reading.running, reading.waiting, reading.age_ms)
    return 0 < reading.slots <= MOST_REQUESTS and all(0 <= number <= MOST_REQUESTS for number in numbers)
