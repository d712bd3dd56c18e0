"""Server selection: agreement between proxies, affinity and its load bound, and the effect of failures."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import pytest

from cloverrouter.placement.admission import has_time, no_servers_retry_after_s, retry_after_s
from cloverrouter.placement.first_token import FirstTokenModel
from cloverrouter.placement.pick import HOME_MISSING_SHARE, ServicePlacement
from cloverrouter.placement.prefix import NO_PROMPT, Prompt, parse_prompt
from cloverrouter.placement.servers import UNRESPONSIVE_S, Server, ServerState

NOW = 100.0


def placement(count: int = 6, seed: int = 1, zone: str = "east", **changes: Any) -> ServicePlacement:
    made = ServicePlacement(Random(seed).random, zone, kv_tokens=50_000)
    for place in range(count):
        made.update_server(server(place, **changes))
    return made


def server(place: int, **changes: Any) -> Server:
    plain: dict[str, Any] = {
        "id": f"i-{place}",
        "service": "model",
        "address": ("10.0.0.1", place + 1),
        "zone": ("east", "west", "north")[place % 3],
        "capacity": 12,
        "ready": True,
    }
    return Server(**(plain | changes))


def subject(number: int) -> Prompt:
    return parse_prompt(f"aa:800,{number + 4096:x}:400,{number + 90000:x}:200")


def pick(made: ServicePlacement, prompt: Prompt = NO_PROMPT, now: float = NOW) -> ServerState:
    found = made.pick(prompt, (), now)
    assert found is not None
    return found


def test_proxies_agree_on_the_home_of_a_subject() -> None:
    one, other = placement(seed=1), placement(seed=2)
    homes: Counter[str] = Counter()
    for number in range(300):
        home = pick(one, subject(number)).server.id
        assert home == pick(other, subject(number)).server.id
        homes[home] += 1
    assert len(homes) == 6
    assert max(homes.values()) < 2 * min(homes.values())


def test_the_home_does_not_depend_on_the_request_s_own_part() -> None:
    made = placement()
    homes = {pick(made, parse_prompt(f"aa:8,bb:4,{own:x}:2")).server.id for own in range(1, 20)}
    assert len(homes) == 1


def test_few_subjects_move_when_a_server_goes() -> None:
    made = placement()
    before = {number: pick(made, subject(number)).server.id for number in range(200)}
    made.update_server(server(2, ready=False))
    for number, home in before.items():
        found = pick(made, subject(number)).server.id
        assert found != "i-2"
        assert found == home or home == "i-2"


def test_a_home_above_its_load_bound_overflows_to_the_next_server() -> None:
    made = placement()
    home = pick(made, subject(1))
    for key in range(8):
        home.record_sent(key, NOW)
        home.record_first_byte(key, NOW)
    assert pick(made, subject(1)) is not home


def test_a_slightly_busier_home_keeps_a_subject_with_a_long_prefill() -> None:
    made = placement()
    long = parse_prompt("aa:2520,bb:3780,cc:100")
    home = pick(made, long)
    made.record_sent(home, long)
    home.record_sent(1, NOW)
    assert pick(made, long) is home


def test_a_busier_home_loses_a_subject_with_a_short_prefill() -> None:
    made = placement()
    short = parse_prompt("aa:20,bb:30,cc:10")
    home = pick(made, short)
    made.record_sent(home, short)
    home.record_sent(1, NOW)
    home.record_sent(2, NOW)
    assert pick(made, short) is not home


def test_a_home_where_a_request_has_been_waiting_loses_its_subject() -> None:
    made = placement()
    long = parse_prompt("aa:2520,bb:3780,cc:100")
    home = pick(made, long)
    made.record_sent(home, long)
    home.record_sent(1, NOW - UNRESPONSIVE_S / 2)
    assert pick(made, long) is not home


def test_a_slow_home_loses_its_subject_for_a_while() -> None:
    made = placement()
    home = pick(made, subject(1))
    for _ in range(10):
        home.record_delay(800.0, NOW)
    assert pick(made, subject(1)) is not home
    assert pick(made, subject(1), NOW + 20) is home


def test_an_unreachable_server_pauses_for_a_growing_while() -> None:
    made = placement()
    home = pick(made, subject(1))
    home.record_lost_connection(NOW)
    first = home.paused_until - NOW
    assert pick(made, subject(1)) is not home
    home.record_lost_connection(NOW)
    assert home.paused_until - NOW > first
    assert pick(made, subject(1), home.paused_until + 1) is home
    home.record_success()
    assert not home.should_avoid(NOW)


def test_a_server_that_sends_nothing_is_unresponsive_while_a_request_waits() -> None:
    made = placement()
    home = pick(made, subject(1))
    home.record_sent(1, NOW)
    assert not home.is_unresponsive(NOW + UNRESPONSIVE_S / 2)
    assert home.is_unresponsive(NOW + UNRESPONSIVE_S * 2)
    home.record_first_byte(1, NOW + UNRESPONSIVE_S * 2)
    assert not home.is_unresponsive(NOW + UNRESPONSIVE_S * 3)


def test_a_server_that_sends_other_answers_is_responsive() -> None:
    made = placement()
    home = pick(made, subject(1))
    home.record_sent(1, NOW)
    home.record_bytes(NOW + 1)
    assert not home.is_unresponsive(NOW + 1 + UNRESPONSIVE_S / 2)
    assert home.is_unresponsive(NOW + 1 + UNRESPONSIVE_S * 2)


def test_if_all_are_to_be_avoided_one_is_picked_all_the_same() -> None:
    made = placement(2, silent=True)
    assert pick(made, subject(1))
    assert pick(made)


def test_none_is_picked_twice_for_a_request() -> None:
    made = placement(3)
    tried: set[str] = set()
    for _ in range(3):
        found = made.pick(subject(1), tried, NOW)
        assert found is not None
        tried.add(found.server.id)
    assert len(tried) == 3
    assert made.pick(subject(1), tried, NOW) is None
    assert made.pick(NO_PROMPT, tried, NOW) is None


def test_without_a_prompt_the_less_loaded_of_two_is_picked() -> None:
    made = placement(2)
    busy, idle = made.servers.ready
    busy.record_sent(1, NOW)
    assert all(pick(made) is idle for _ in range(20))


def test_of_equals_the_own_zone_is_preferred() -> None:
    made = placement(3)
    found = Counter(pick(made).server.zone for _ in range(300))
    assert found["east"] > found["west"] + found["north"]


def test_a_server_that_warms_up_gets_less() -> None:
    made = placement(2)
    cold = made.servers.ready[0]
    made.update_server(server(0, warm_at=NOW + 5))
    assert all(pick(made) is not cold for _ in range(20))
    assert all(pick(made, now=NOW + 6) is cold for _ in range(20))  # it is in the proxy's own zone


def test_a_new_server_begins_at_the_mean_of_the_others() -> None:
    made = placement(2)
    for one in made.servers.ready:
        for _ in range(3):
            one.reduce_payoff()
    made.update_server(server(5))
    assert made.servers.states["i-5"].payoff == pytest.approx(0.8**3)


def test_a_displaced_instance_never_comes_back() -> None:
    made = placement(2)
    removed = made.servers.ready[0]
    made.servers.remove_displaced(removed)
    for _ in range(3):
        made.update_server(server(0))
        made.prune()
    assert [one.server.id for one in made.servers.ready] == ["i-1"]


def test_cached_parts_are_not_missing() -> None:
    made = placement()
    home = pick(made, subject(1))
    other = next(one for one in made.servers.ready if one is not home)
    assert made.missing_tokens(other, subject(1)) == 1400
    assert made.missing_tokens(home, subject(1)) == 200 + HOME_MISSING_SHARE * 1200  # others sent the rest
    made.record_sent(home, subject(1))
    assert made.missing_tokens(home, subject(1)) == 0
    assert made.missing_tokens(home, parse_prompt("aa:800,1001:400,ff:77")) == 77


def test_the_time_to_the_first_token_is_learnt() -> None:
    model = FirstTokenModel()
    for step in range(100):
        tokens = (step % 10) * 1000
        model.learn(tokens, 8.0 + tokens * 0.003)
    assert model.ms_per_token == pytest.approx(0.003)
    assert model.expected_ms(2000) == pytest.approx(14.0)


def test_the_time_to_the_first_token_is_learnt_from_equal_prompts_too() -> None:
    model = FirstTokenModel()
    for _ in range(50):
        model.learn(100, 12.0)
    assert model.expected_ms(100) == pytest.approx(12.0)
    assert model.mean_ttft_ms == pytest.approx(12.0)


def test_the_retry_after_is_within_the_remaining_time() -> None:
    assert 0.01 <= retry_after_s(20, 600, 0.5) <= 0.2
    assert retry_after_s(20, -5, 0.5) == pytest.approx(0.01)
    assert retry_after_s(20, 5000, 0.0) < retry_after_s(400, 5000, 0.0)
    assert (
        retry_after_s(20, 5000, 0.0)
        < no_servers_retry_after_s(5000, 0.0)
        < no_servers_retry_after_s(5000, 1.0)
    )
    assert no_servers_retry_after_s(600, 1.0) < 0.2
    assert not has_time(0)
    assert has_time(100)


def prefill_heavy(number: int) -> Prompt:
    """Returns a prefill-heavy prompt: long, with a short answer."""
    return parse_prompt(f"aa:2500,{number + 4096:x}:3800,{number + 90000:x}:2900", "m", 60)


def decode_heavy(number: int) -> Prompt:
    """Returns a decode-heavy prompt: short, with a long answer."""
    return parse_prompt(f"bb:50,{number + 8192:x}:30,{number + 90000:x}:140", "m", 4000)


def homes(made: ServicePlacement, prompts: list[Prompt], now: float = NOW) -> Counter[str]:
    return Counter(pick(made, prompt, now).server.id for prompt in prompts)


def test_decode_heavy_requests_are_kept_apart_from_long_prompts() -> None:
    made = placement(8)
    pick(made, prefill_heavy(0))
    decode_heavy_homes = homes(made, [decode_heavy(number) for number in range(200)])
    prefill_heavy_homes = homes(made, [prefill_heavy(number) for number in range(200)])
    assert len(decode_heavy_homes) == 2
    assert len(prefill_heavy_homes) == 8
    assert sum(prefill_heavy_homes[one] for one in decode_heavy_homes) < 200 * 2 / 8 / 2


def test_a_single_kind_of_request_may_use_all_servers() -> None:
    made = placement(8)
    assert len(homes(made, [prefill_heavy(number) for number in range(200)])) == 8
    pick(made, decode_heavy(0))
    assert len(homes(made, [decode_heavy(number) for number in range(200)])) == 2
    assert len(homes(made, [prefill_heavy(number) for number in range(200)], NOW + 60)) == 8


def test_long_answers_with_a_small_shared_prefix_stay_in_the_zone() -> None:
    """All servers of the zone are used, even for a single affinity key."""
    for zone in ("east", "west", "north"):
        made = placement(9, zone=zone)
        expected = {f"i-{place}" for place in range(9) if server(place).zone == zone}
        assert set(homes(made, [decode_heavy(7)] * 200)) == expected


def test_long_answers_leave_a_zone_with_few_servers() -> None:
    made = placement(0)
    for place in range(12):
        made.update_server(server(place, zone="east" if place < 2 else "west"))
    assert len(homes(made, [decode_heavy(number) for number in range(400)])) == 12


def test_long_answers_leave_a_zone_whose_servers_have_no_room() -> None:
    made = placement(9)
    for state in made.servers.ready:
        if state.server.zone == "east":
            state.record_delay(3_000.0, NOW)
    assert {made.servers.states[one].server.zone for one in homes(made, [decode_heavy(7)] * 50)} == {
        "west",
        "north",
    }


def test_a_long_answer_with_a_large_shared_prefix_keeps_its_home() -> None:
    made = placement(9)
    chat = parse_prompt("bb:500,cc:1500,dd:140", "m", 4000)
    assert len(homes(made, [chat] * 50)) == 1


def test_requests_without_token_counts_may_use_all_servers() -> None:
    made = placement(8)
    pick(made, prefill_heavy(0))
    pick(made, decode_heavy(0))
    assert len(homes(made, [subject(number) for number in range(200)])) == 8


def test_decode_heavy_requests_overflow_when_the_reserved_servers_have_no_room() -> None:
    made = placement(8)
    pick(made, prefill_heavy(0))
    reserved = pick(made, decode_heavy(1))
    for key in range(6):
        reserved.record_sent(key, NOW)
        reserved.record_first_byte(key, NOW)
    second = pick(made, decode_heavy(1))
    for key in range(10, 16):
        second.record_sent(key, NOW)
        second.record_first_byte(key, NOW)
    third = pick(made, decode_heavy(1))
    assert len({reserved.server.id, second.server.id, third.server.id}) == 3


def test_decode_heavy_requests_overflow_when_the_reserved_servers_are_late() -> None:
    made = placement(8)
    pick(made, prefill_heavy(0))
    reserved = []
    for _ in range(2):
        reserved.append(pick(made, decode_heavy(1)))
        for _ in range(10):
            reserved[-1].record_delay(300.0, NOW)
    assert reserved[0] is not reserved[1]
    assert pick(made, decode_heavy(1)) not in reserved
    assert pick(made, decode_heavy(1), NOW + 15) in reserved


def test_the_load_bound_grows_with_the_capacity() -> None:
    made = placement(8, capacity=48)
    pick(made, prefill_heavy(0))
    reserved = set(homes(made, [decode_heavy(number) for number in range(50)]))
    for key in range(6):
        for one in reserved:
            made.servers.states[one].record_sent(key, NOW)
            made.servers.states[one].record_first_byte(key, NOW)
    assert set(homes(made, [decode_heavy(number) for number in range(50)])) == reserved
    for key in range(6, 12):
        for one in reserved:
            made.servers.states[one].record_sent(key, NOW)
            made.servers.states[one].record_first_byte(key, NOW)
    assert not reserved & set(homes(made, [decode_heavy(number) for number in range(50)]))


def test_in_a_larger_fleet_the_load_bound_is_divided_among_all_proxies() -> None:
    made = placement(8, capacity=48)
    made.fleet_changed(12)
    pick(made, prefill_heavy(0))
    reserved = set(homes(made, [decode_heavy(number) for number in range(50)]))
    for key in range(4):
        for one in reserved:
            made.servers.states[one].record_sent(key, NOW)
            made.servers.states[one].record_first_byte(key, NOW)
    assert set(homes(made, [decode_heavy(number) for number in range(50)])) == reserved
    for one in reserved:
        made.servers.states[one].record_sent(4, NOW)
        made.servers.states[one].record_first_byte(4, NOW)
    assert not reserved & set(homes(made, [decode_heavy(number) for number in range(50)]))
