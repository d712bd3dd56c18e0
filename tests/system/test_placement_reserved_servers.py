"""How many servers are reserved: a quarter, more while answers begin late there, and fewer again
afterwards."""

from __future__ import annotations

from itertools import pairwise

import attrs

from cloverrouter.placement.prefix import parse_prompt
from cloverrouter.placement.reserved_servers import (
    GROW_INTERVAL_S,
    KIND_EXPIRY_S,
    SHRINK_AFTER_S,
    ReservedServers,
)
from cloverrouter.placement.servers import Server, ServerState

NOW = 100.0
MEAN_TTFT_MS = 40.0


def states(count: int) -> list[ServerState]:
    return [
        ServerState(
            Server(f"i-{place}", "model", ("10.0.0.1", place + 1), "east", 12, ready=True), payoff=1.0
        )
        for place in range(count)
    ]


def reserved_of(ready: list[ServerState]) -> ReservedServers:
    reserved = ReservedServers()
    reserved.servers_changed(ready)
    return reserved


def make_late(servers: set[ServerState], now: float, ms: float = 2000.0) -> None:
    for one in servers:
        one.record_delay(ms, now)


def test_a_quarter_is_reserved_and_all_proxies_agree_on_which() -> None:
    ready = states(12)
    assert len(reserved_of(ready).members) == 3
    assert reserved_of(ready).members == reserved_of(ready[::-1]).members


def test_each_zone_has_its_share_of_the_reserved_servers() -> None:
    zones = (
        "east",
        "east",
        "east",
        "east",
        "west",
        "west",
        "west",
        "west",
        "north",
        "north",
        "north",
        "north",
    )
    ready = states(12)
    for state, zone in zip(ready, zones, strict=True):
        state.server = attrs.evolve(state.server, zone=zone)
    assert {one.server.zone for one in reserved_of(ready).members} == {"east", "west", "north"}


def test_a_service_of_three_servers_reserves_none() -> None:
    reserved = reserved_of(states(3))
    assert not reserved.members
    assert not reserved.adapt(NOW, MEAN_TTFT_MS)


def test_more_are_reserved_while_answers_begin_late_there() -> None:
    reserved = reserved_of(states(10))
    before = set(reserved.members)
    make_late(reserved.members, NOW)
    assert reserved.adapt(NOW, MEAN_TTFT_MS)
    assert len(reserved.members) == 3
    assert before < reserved.members
    assert not reserved.adapt(NOW + GROW_INTERVAL_S / 2, MEAN_TTFT_MS)


def test_never_more_than_half_are_reserved() -> None:
    reserved = reserved_of(states(10))
    now = NOW
    for _ in range(20):
        make_late(reserved.members, now)
        reserved.adapt(now, MEAN_TTFT_MS)
        now += 2 * GROW_INTERVAL_S
    assert len(reserved.members) == 5


def test_a_request_that_waits_counts_before_its_answer_begins() -> None:
    reserved = reserved_of(states(8))
    for key, one in enumerate(reserved.members):
        one.record_sent(key, NOW)
    assert not reserved.adapt(NOW + 0.05, MEAN_TTFT_MS)
    assert reserved.adapt(NOW + 0.2, MEAN_TTFT_MS)


def test_fewer_are_reserved_again_once_nothing_is_late() -> None:
    reserved = reserved_of(states(10))
    make_late(reserved.members, NOW, 200.0)
    assert reserved.adapt(NOW, MEAN_TTFT_MS)
    sizes = []
    for step in range(1, 40):
        reserved.adapt(NOW + 0.5 * step, MEAN_TTFT_MS)
        sizes.append(len(reserved.members))
    assert all(before - after <= 1 for before, after in pairwise(sizes))
    assert sizes[int(SHRINK_AFTER_S)] >= 3
    assert sizes[-1] == 2


def test_one_late_server_of_several_is_not_enough() -> None:
    reserved = reserved_of(states(16))
    first = next(iter(reserved.members))
    first.record_delay(MEAN_TTFT_MS * 5, NOW)  # smoothed: 1.5 mean TTFTs, 0.4 on average over the four
    assert not reserved.adapt(NOW, MEAN_TTFT_MS)


def test_reservation_is_needed_while_both_kinds_come() -> None:
    reserved = ReservedServers()
    prefill_heavy = parse_prompt("aa:2500,bb:3800,cc:2900", "m", 60)
    decode_heavy = parse_prompt("aa:50,bb:30,cc:140", "m", 4000)
    reserved.record_request(prefill_heavy, NOW)
    assert not reserved.is_needed
    reserved.record_request(decode_heavy, NOW + 1)
    assert reserved.is_needed
    reserved.record_request(decode_heavy, NOW + KIND_EXPIRY_S + 1)
    assert not reserved.is_needed


def test_more_are_reserved_once_all_proxies_together_fill_them() -> None:
    reserved = reserved_of(states(8))
    reserved.fleet_size = 10
    first, second = reserved.members
    for key in range(2):
        first.record_sent(key, NOW)
        second.record_sent(key, NOW)
        first.record_first_byte(key, NOW)
        second.record_first_byte(key, NOW)
        assert reserved.adapt(NOW + 1, MEAN_TTFT_MS) is (key == 1)
    assert len(reserved.members) == 3
    assert not reserved.adapt(NOW + 2, MEAN_TTFT_MS)  # 40 in flight on 36 slots: not 1.2 times


def test_a_small_fleet_does_not_fill_them_with_few_requests() -> None:
    reserved = reserved_of(states(8))
    reserved.fleet_size = 3
    for key, one in enumerate(list(reserved.members) * 4):
        one.record_sent(key, NOW)
        one.record_first_byte(key, NOW)
    assert not reserved.adapt(NOW + 1, MEAN_TTFT_MS)


def test_late_answers_at_servers_with_many_free_places_call_for_no_more_of_them() -> None:
    reserved = reserved_of(states(8))
    reserved.fleet_size = 10
    make_late(reserved.members, NOW)
    assert not reserved.adapt(NOW, MEAN_TTFT_MS)
    for key in range(2):
        for one in reserved.members:
            one.record_sent(key, NOW)
            one.record_first_byte(key, NOW)
    assert reserved.adapt(NOW, MEAN_TTFT_MS)
