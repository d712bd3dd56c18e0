"""The load that servers report: its parsing, its exchange among proxies, and its effect on placement."""

from __future__ import annotations

from collections import Counter

import pytest

from cloverrouter.messages import Decoder, encode
from cloverrouter.placement import placement_exchange
from cloverrouter.placement.options import PlacementOptions
from cloverrouter.placement.pick import ServicePlacement
from cloverrouter.placement.placement_exchange import MAX_READING_AGE_S, MAX_READINGS
from cloverrouter.placement.placement_messages import KindsSeen, LoadReading, PlacementNews
from cloverrouter.placement.prefix import parse_prompt
from cloverrouter.placement.server_load import EXPIRY_S, FULL_WEIGHT_S, ServerLoad, parse_load
from cloverrouter.placement.servers import Server
from tests.system.router_world import SIGNED, World

NOW = 100.0
FULL = ServerLoad(12, 3, 12)
EMPTY = ServerLoad(0, 0, 12)


def placement(options: PlacementOptions | None = None, count: int = 6) -> ServicePlacement:
    draws = iter(range(10**9))
    made = ServicePlacement(
        lambda: (next(draws) * 0.618) % 1.0, "east", 50_000, options or PlacementOptions()
    )
    for place in range(count):
        made.update_server(Server(f"i-{place}", "model", ("10.0.0.1", place + 1), "east", 12, ready=True))
    return made


def decode_heavy(number: int = 7) -> str:
    return f"bb:50,{number:x}:30,{number + 9000:x}:140"


def picks(made: ServicePlacement, count: int = 60, now: float = NOW) -> Counter[str]:
    found = [made.pick(parse_prompt(decode_heavy(each), "m", 4000), (), now) for each in range(count)]
    return Counter(one.server.id for one in found if one is not None)


def test_a_load_is_parsed() -> None:
    assert parse_load([b"7,2,12"]) == ServerLoad(7, 2, 12)
    assert parse_load([b" 7 , 2 , 12 "]) == ServerLoad(7, 2, 12)


@pytest.mark.parametrize(
    "values",
    [
        [],
        [b""],
        [b"7,2"],
        [b"7,2,12,1"],
        [b"-1,2,12"],
        [b"7,2,0"],
        [b"NaN,0,12"],
        [b"7.5,0,12"],
        [b"1e9,0,12"],
        [b"99999999999999999999,0,12"],
        [b"9999999,0,12"],
        [b"7,2,12", b"0,0,12"],
        [b"\xb2,0,12"],
    ],
)
def test_an_invalid_load_is_ignored(values: list[bytes]) -> None:
    assert parse_load(values) is None


def test_the_weight_of_a_reading_decays() -> None:
    state = placement().servers.ready[0]
    state.update_load(FULL, NOW)
    assert state.occupancy(NOW) == state.occupancy(NOW + FULL_WEIGHT_S) == 1.25
    assert 0 < state.occupancy(NOW + 2) < 1.25
    assert state.occupancy(NOW + EXPIRY_S) == 0.0
    assert state.is_full(NOW)
    assert not state.is_full(NOW + FULL_WEIGHT_S)


def test_an_older_reading_does_not_replace_a_newer_one() -> None:
    state = placement().servers.ready[0]
    state.update_load(EMPTY, NOW)
    state.update_load(FULL, NOW - 0.5)
    assert state.load == EMPTY


def test_long_answers_go_to_servers_with_free_slots() -> None:
    made = placement()
    for state in made.servers.ready[:4]:
        state.update_load(FULL, NOW)
    assert set(picks(made)) == {"i-4", "i-5"}
    assert len(picks(made, now=NOW + EXPIRY_S)) == 6


def test_of_two_servers_the_less_occupied_gets_a_long_answer() -> None:
    made = placement()
    for place, state in enumerate(made.servers.ready):
        state.update_load(ServerLoad(place, 0, 12), NOW)
    found = picks(made, 300)
    assert found["i-0"] > found["i-2"] > found["i-4"]


def test_servers_without_reported_loads_are_placed_by_observation_alone() -> None:
    assert picks(placement()) == picks(placement(PlacementOptions(reported_loads=False)))


def test_if_all_are_full_one_is_picked_all_the_same() -> None:
    made = placement()
    for state in made.servers.ready:
        state.update_load(FULL, NOW)
    assert sum(picks(made).values()) == 60


def test_a_full_home_overflows_to_a_server_with_free_slots() -> None:
    made = placement()
    prompt = parse_prompt("aa:2500,bb:3800,cc:2900", "m", 60)
    home, second, third, *_ = made.order(prompt)
    assert made.pick(prompt, (), NOW) is home
    home.update_load(FULL, NOW)
    assert made.pick(prompt, (), NOW) is home
    second.update_load(FULL, NOW)
    third.update_load(EMPTY, NOW)
    assert made.pick(prompt, (), NOW) is third
    assert made.pick(prompt, (), NOW + FULL_WEIGHT_S) is home


def test_if_all_servers_are_full_the_home_is_kept() -> None:
    made = placement()
    prompt = parse_prompt("aa:2500,bb:3800,cc:2900", "m", 60)
    for state in made.servers.ready:
        state.update_load(FULL, NOW)
    assert made.pick(prompt, (), NOW) is made.order(prompt)[0]


def test_proxies_share_load_readings() -> None:
    one, other = placement(), placement()
    one.servers.states["i-1"].update_load(FULL, NOW - 0.4)
    update = placement_exchange.outgoing_update({"model": one}, NOW)
    assert update is not None
    [sent] = Decoder().feed(encode(update))
    assert sent == update
    placement_exchange.apply_update(update, {"model": other}, NOW)
    state = other.servers.states["i-1"]
    assert state.load == FULL
    assert state.load_at == pytest.approx(NOW - 0.4, abs=0.002)


def test_old_readings_are_not_sent() -> None:
    made = placement()
    assert placement_exchange.outgoing_update({"model": made}, NOW) is None
    made.servers.ready[0].update_load(FULL, NOW - MAX_READING_AGE_S)
    assert placement_exchange.outgoing_update({"model": made}, NOW) is None


def test_a_message_is_bounded() -> None:
    made = placement(count=100)
    for place, state in enumerate(made.servers.ready):
        state.update_load(FULL, NOW - place / 100)
    update = placement_exchange.outgoing_update({"model": made}, NOW)
    assert update is not None
    assert [reading.id for reading in update.loads] == [f"i-{place}" for place in range(MAX_READINGS)]


@pytest.mark.parametrize(
    "reading",
    [
        LoadReading("i-1", 1, 0, 0, 10),
        LoadReading("i-1", -1, 0, 12, 10),
        LoadReading("i-1", 1, 0, 12, -500),
        LoadReading("i-1", 10**9, 0, 12, 10),
        LoadReading("unknown", 1, 0, 12, 10),
    ],
)
def test_invalid_readings_are_ignored(reading: LoadReading) -> None:
    made = placement()
    placement_exchange.apply_update(PlacementNews((reading,), ()), {"model": made}, NOW)
    assert all(state.load is None for state in made.servers.ready)


def test_a_proxy_learns_of_the_other_kind_of_request_from_its_peers() -> None:
    one, other = placement(), placement()
    reading = parse_prompt("aa:2500,bb:3800,cc:2900", "m", 60)
    one.pick(parse_prompt(decode_heavy(), "m", 4000), (), NOW - 3)
    one.pick(reading, (), NOW - 1)
    other.pick(reading, (), NOW)
    assert not other.reserved.is_needed
    update = placement_exchange.outgoing_update({"model": one}, NOW)
    assert update == PlacementNews((), (KindsSeen("model", 3000, 1000),))
    placement_exchange.apply_update(update, {"model": other}, NOW)
    assert other.reserved.is_needed
    assert placement_exchange.outgoing_update({"model": other}, NOW) == PlacementNews(
        (), (KindsSeen("model", 3000, 0),)
    )
    assert placement_exchange.outgoing_update({"model": other}, NOW + 30) is None


def test_request_kinds_of_an_unknown_service_or_from_the_future_are_ignored() -> None:
    made = placement()
    update = PlacementNews((), (KindsSeen("other", 0, 0), KindsSeen("model", -5000, 0)))
    placement_exchange.apply_update(update, {"model": made}, NOW)
    assert not made.reserved.is_needed_at(NOW)


@pytest.mark.parametrize("value", [b"3,0,12", b"-3,nonsense"])
def test_the_load_field_is_forwarded_unchanged(value: bytes) -> None:
    world = World().set_up()
    exchange = world.ask("/once/x")
    server_id = world.last.field(b"cypresswinch-expected-instance")
    world.last.answer(200, SIGNED, (b"cypresswinch-server-load", value))
    assert (b"cypresswinch-server-load", value) in exchange.headers
    assert server_id is not None
    state = world.router.placement("desk").servers.states[server_id.decode()]
    assert state.load == (ServerLoad(3, 0, 12) if value[:1] == b"3" else None)
