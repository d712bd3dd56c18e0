"""How a proxy handles servers that look good in the server list but fail: its own outcomes, and those of
other proxies."""

from __future__ import annotations

from random import Random

from cloverrouter.messages import Decoder, encode
from cloverrouter.placement.failure_reports import (
    REPEAT_INTERVAL_S,
    WARN_S,
    WINDOW_S,
    FailureAggregator,
    FailureReporter,
)
from cloverrouter.placement.pick import ServicePlacement
from cloverrouter.placement.prefix import NO_PROMPT, parse_prompt
from cloverrouter.placement.servers import OVERDUE_S, Server, ServerState
from cloverrouter.placement.trouble_messages import TroubleReport, TroubleWarning

NOW = 100.0
SUBJECT = parse_prompt("aa:800,bb:400,cc:200")


def placement(count: int) -> ServicePlacement:
    made = ServicePlacement(Random(1).random, "east", kv_tokens=50_000)
    for place in range(count):
        made.update_server(Server(f"i-{place}", "model", ("10.0.0.1", place + 1), "east", 12, ready=True))
    return made


def picked(made: ServicePlacement, now: float, no_retry: bool = False) -> set[str]:
    found = [made.pick(NO_PROMPT, (), now, no_retry) for _ in range(60)]
    return {one.server.id for one in found if one is not None}


def record_successes(state: ServerState, now: float, good: int) -> None:
    for _ in range(good):
        state.record_success(now)


def test_a_failing_server_is_avoided_and_tried_again_later() -> None:
    made = placement(4)
    grey = made.servers.states["i-0"]
    grey.record_error(NOW)
    assert "i-0" not in picked(made, NOW)
    assert "i-0" in picked(made, NOW + 20)


def test_non_retryable_requests_return_to_a_failed_server_last() -> None:
    made = placement(4)
    grey = made.servers.states["i-0"]
    grey.record_error(NOW)
    back = next(later for later in range(1, 40) if "i-0" in picked(made, NOW + later))
    assert "i-0" not in picked(made, NOW + back, no_retry=True)


def test_after_a_lost_connection_non_retryable_requests_avoid_the_server_for_longer() -> None:
    broken = placement(4).servers.states["i-0"]
    broken.record_lost_connection(NOW)
    later = broken.paused_until + 0.1
    assert not broken.should_avoid(later)
    assert broken.is_suspect(later, no_retry=True) and not broken.is_suspect(later)


def test_a_good_trial_ends_the_suspicion() -> None:
    made = placement(4)
    grey = made.servers.states["i-0"]
    grey.record_error(NOW)
    grey.record_success(NOW + 1)
    assert not grey.is_suspect(NOW + 1)
    assert "i-0" in picked(made, NOW + 6)


def test_an_outcome_without_a_time_does_no_harm() -> None:
    grey = placement(4).servers.states["i-0"]
    grey.record_error(NOW)
    grey.record_success()
    grey.record_error(NOW)
    assert grey.is_suspect(NOW) and not grey.is_suspect(NOW + 60)


def test_one_failure_among_many_good_answers_is_no_reason() -> None:
    made = placement(4)
    good = made.servers.states["i-0"]
    record_successes(good, NOW, 20)
    good.record_error(NOW)
    assert not good.is_suspect(NOW)


def test_a_server_that_turned_bad_after_many_good_answers_is_noticed_soon() -> None:
    made = placement(4)
    grey = made.servers.states["i-0"]
    record_successes(grey, NOW, 200)
    grey.record_error(NOW)
    grey.record_error(NOW)
    assert grey.is_suspect(NOW)


def test_the_home_of_a_subject_is_left_while_it_fails() -> None:
    made = placement(6)
    home = made.pick(SUBJECT, (), NOW)
    assert home is not None
    home.record_error(NOW)
    assert made.pick(SUBJECT, (), NOW) is not home
    assert made.pick(SUBJECT, (), NOW + 20) is home


def test_if_most_servers_are_suspect_only_those_that_failed_last_are_avoided() -> None:
    made = placement(6)
    for place in range(5):
        made.servers.states[f"i-{place}"].record_error(NOW + place / 100)
    usable = made.servers.usable(made.servers.ready, NOW + 0.1)
    assert [one.server.id for one in usable] == ["i-0", "i-1", "i-2", "i-5"]


def test_if_all_are_suspected_most_are_used() -> None:
    made = placement(2)
    for state in made.servers.ready:
        state.record_error(NOW)
    assert picked(made, NOW) == {"i-0", "i-1"}


def test_a_flapping_server_is_paused_for_longer_each_time() -> None:
    flapping = placement(4).servers.states["i-0"]
    pauses = []
    now = NOW
    for _ in range(4):
        for _ in range(3):
            flapping.record_lost_connection(now)
        pauses.append(flapping.paused_until - now)
        flapping.record_success(flapping.paused_until)
        now += 10
    assert pauses[-1] > pauses[0]


def test_a_server_without_a_model_that_turned_slow_gets_less() -> None:
    made = placement(2)
    slow = made.servers.states["i-0"]
    for _ in range(20):
        made.first_token.learn(0, 30.0)
        slow.record_delay(200.0, NOW)
    assert picked(made, NOW) == {"i-1"}


def test_a_server_where_a_request_waits_far_too_long_is_suspected_though_it_answers_others() -> None:
    made = placement(4)
    mute = made.servers.states["i-0"]
    mute.record_sent(1, NOW)
    mute.record_bytes(NOW + OVERDUE_S)
    late = NOW + OVERDUE_S * 1.1
    assert not mute.should_avoid(late)
    assert "i-0" not in picked(made, late)
    assert made.overdue(late) == ["i-0"]
    mute.record_first_byte(1, late)
    mute.record_end(1)
    assert "i-0" in picked(made, late)


def test_where_requests_wait_at_many_servers_it_is_load() -> None:
    made = placement(8)
    for place in range(3):
        made.servers.states[f"i-{place}"].record_sent(place, NOW)
        made.servers.states[f"i-{place}"].record_bytes(NOW + OVERDUE_S)
    late = NOW + OVERDUE_S * 1.1
    assert made.overdue(late) == []
    assert len(made.servers.usable(made.servers.ready, late)) == 8


def test_a_request_that_was_never_answered_is_a_failure() -> None:
    made = placement(4)
    mute = made.servers.states["i-0"]
    mute.record_no_answer(NOW)
    assert "i-0" not in picked(made, NOW + 2)


def test_a_warning_holds_for_about_its_time() -> None:
    made = placement(4)
    made.apply_warning(["i-0", "unknown"], 2.0, NOW)
    assert "i-0" not in picked(made, NOW + 1)
    assert "i-0" in picked(made, NOW + 3)


def test_a_proxy_reports_a_failing_server_once_in_a_while() -> None:
    reporter = FailureReporter("east")
    assert reporter.flush(NOW) is None
    reporter.record_failure("i-0")
    reporter.record_failure("i-0")
    assert reporter.flush(NOW) == TroubleReport("east", ("i-0",))
    reporter.record_failure("i-0")
    assert reporter.flush(NOW + REPEAT_INTERVAL_S / 2) is None
    reporter.record_failure("i-0")
    assert reporter.flush(NOW + REPEAT_INTERVAL_S * 2) is not None


def aggregator(fleet_size: int = 80) -> FailureAggregator:
    return FailureAggregator(lambda: fleet_size)


def receive_reports(
    one: FailureAggregator, now: float, proxies: range, zone: str = ""
) -> list[TroubleWarning]:
    warnings = []
    for place in proxies:
        report = TroubleReport(zone or ("east", "west")[place % 2], ("i-0",))
        warnings += one.receive(now, f"10.0.0.{place}", report)
    return warnings


def test_all_are_warned_of_what_several_proxies_found() -> None:
    assert receive_reports(aggregator(), NOW, range(3)) == []
    assert receive_reports(aggregator(), NOW, range(4)) == [TroubleWarning("", ("i-0",), int(WARN_S * 1000))]
    assert len(receive_reports(aggregator(6), NOW, range(2))) == 1


def test_one_proxy_s_own_trouble_warns_nobody() -> None:
    one = aggregator()
    for later in range(20):
        assert receive_reports(one, NOW + later / 10, range(1)) == []


def test_lost_answers_here_and_there_warn_nobody() -> None:
    one = aggregator()
    for place in range(20):
        assert receive_reports(one, NOW + place * WINDOW_S / 2, range(place, place + 1)) == []


def test_what_only_one_zone_finds_concerns_that_zone() -> None:
    assert [each.zone for each in receive_reports(aggregator(), NOW, range(5), "west")] == ["west"]


def test_warnings_grow_while_the_trials_fail() -> None:
    one = aggregator()
    first = receive_reports(one, NOW, range(10))
    again = receive_reports(one, NOW + WARN_S + 0.5, range(10))
    much_later = receive_reports(one, NOW + 60, range(10))
    assert len(first) == len(again) == 1
    assert again[0].for_ms > first[0].for_ms == much_later[0].for_ms


def test_two_failed_trials_are_enough_for_the_next_warning() -> None:
    one = aggregator()
    receive_reports(one, NOW, range(4))
    assert receive_reports(one, NOW + WARN_S + 0.2, range(1)) == []
    assert len(receive_reports(one, NOW + WARN_S + 0.3, range(1, 2))) == 1


def test_reports_and_warnings_are_messages() -> None:
    for message in (TroubleReport("east", ("i-0", "i-1")), TroubleWarning("", ("i-0",), 2000)):
        assert list(Decoder().feed(encode(message))) == [message]
