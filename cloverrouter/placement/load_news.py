"""Servers' loads shared among proxies: each hears single answers of a server, together they hear many."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cloverrouter.placement.load_messages import LoadNews, LoadReading
from cloverrouter.placement.server_load import MOST_REQUESTS, ServerLoad
from cloverrouter.placement.servers import Standing

TOLD_S = 2.0
"""Older readings are not passed on."""
MOST_TOLD = 32
"""Readings in one message, the latest ones."""


def news(standings: Iterable[Standing], now: float) -> LoadNews | None:
    """What to tell another proxy; None if there is nothing new enough."""
    fresh = [one for one in standings if one.load is not None and now - one.load_at < TOLD_S]
    if not fresh:
        return None
    latest = sorted(fresh, key=lambda one: one.load_at, reverse=True)[:MOST_TOLD]
    return LoadNews(tuple([_reading(one, now) for one in latest]))


def _reading(standing: Standing, now: float) -> LoadReading:
    load = standing.load
    assert load is not None
    age_ms = max(0, int((now - standing.load_at) * 1000))
    return LoadReading(standing.server.id, load.running, load.waiting, load.slots, age_ms)


def take(told: LoadNews, standings: Mapping[str, Standing], now: float) -> None:
    """Take over what another proxy tells of known servers, where it is newer."""
    for reading in told.readings:
        standing = standings.get(reading.id)
        if standing is not None and _is_sound(reading):
            load = ServerLoad(reading.running, reading.waiting, reading.slots)
            standing.load_told(load, now - reading.age_ms / 1000)


def _is_sound(reading: LoadReading) -> bool:
    numbers = (reading.running, reading.waiting, reading.age_ms)
    return 0 < reading.slots <= MOST_REQUESTS and all(0 <= number <= MOST_REQUESTS for number in numbers)
