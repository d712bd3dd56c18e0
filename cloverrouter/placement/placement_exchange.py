"""Exchanges observations among proxies: each sees few requests and answers, together they see many."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cloverrouter.placement.pick import ServicePlacement
from cloverrouter.placement.placement_messages import KindsSeen, LoadReading, PlacementNews
from cloverrouter.placement.reserved_servers import KIND_EXPIRY_S
from cloverrouter.placement.server_load import MAX_COUNT, ServerLoad
from cloverrouter.placement.servers import ServerState

MAX_READING_AGE_S = 2.0
"""Older load readings are not passed on."""
MAX_READINGS = 32
"""Maximum number of load readings in one message; the latest ones are sent."""


def outgoing_update(placements: Mapping[str, ServicePlacement], now: float) -> PlacementNews | None:
    """Returns the message for another proxy; None if there is nothing recent enough."""
    states = [one for placement in placements.values() for one in placement.servers.ready]
    loads = _latest_loads(states, now)
    kinds = tuple(
        [_kinds(name, each, now) for name, each in placements.items() if each.reserved.is_needed_at(now)]
    )
    return PlacementNews(loads, kinds) if loads or kinds else None


def apply_update(received: PlacementNews, placements: Mapping[str, ServicePlacement], now: float) -> None:
    """Applies another proxy's message to known services and servers, where it is newer."""
    for kinds in received.kinds:
        placement = placements.get(kinds.service)
        if placement is not None and min(kinds.decode_heavy_age_ms, kinds.prefill_heavy_age_ms) >= 0:
            placement.reserved.merge_last_seen(
                now - kinds.decode_heavy_age_ms / 1000, now - kinds.prefill_heavy_age_ms / 1000
            )
    states = {key: one for each in placements.values() for key, one in each.servers.states.items()}
    for reading in received.loads:
        state = states.get(reading.id)
        if state is not None and _is_valid(reading):
            load = ServerLoad(reading.running, reading.waiting, reading.slots)
            state.update_load(load, now - reading.age_ms / 1000)


def _latest_loads(states: Iterable[ServerState], now: float) -> tuple[LoadReading, ...]:
    fresh = [one for one in states if one.load is not None and now - one.load_at < MAX_READING_AGE_S]
    latest = sorted(fresh, key=lambda one: one.load_at, reverse=True)[:MAX_READINGS]
    return tuple([_reading(one, now) for one in latest])


def _reading(state: ServerState, now: float) -> LoadReading:
    load = state.load
    assert load is not None
    age_ms = max(0, int((now - state.load_at) * 1000))
    return LoadReading(state.server.id, load.running, load.waiting, load.slots, age_ms)


def _kinds(service: str, placement: ServicePlacement, now: float) -> KindsSeen:
    decode_heavy_at, prefill_heavy_at = placement.reserved.last_seen_at
    return KindsSeen(service, _milliseconds(now - decode_heavy_at), _milliseconds(now - prefill_heavy_at))


def _milliseconds(seconds: float) -> int:
    return max(0, min(int(seconds * 1000), int(KIND_EXPIRY_S * 2000)))


def _is_valid(reading: LoadReading) -> bool:
    numbers = (reading.running, reading.waiting, reading.age_ms)
    return 0 < reading.slots <= MAX_COUNT and all(0 <= number <= MAX_COUNT for number in numbers)
