"""Failure detection by one proxy, the reports between proxies, and false reports."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.fleet import health_reports
from cloverrouter.fleet.failure_detector import (
    MAX_EXCLUDED_SHARE,
    OWN_ANSWER_FRESH_MS,
    SUSPICION_TIMEOUT_MS,
    Effect,
    FailureDetector,
    ReachabilityChanged,
    SendToPeers,
)
from cloverrouter.fleet.health_reports import MAX_DATAGRAM_BYTES, MAX_ENTRIES, HealthReport

NAMES = [f"b{i}" for i in range(10)]
REPORTS = st.lists(
    st.tuples(st.binary(min_size=6, max_size=6), st.booleans(), st.integers(0, 5000)), max_size=MAX_ENTRIES
)


def make_detector(seed: int = 1, instances: int = 40) -> FailureDetector:
    made = FailureDetector(instances, Random(seed))
    made.set_servers(NAMES)
    return made


def reports_in(effects: list[Effect]) -> list[HealthReport]:
    return [item for data in datagrams_in(effects) for item in health_reports.decode(data) or []]


def datagrams_in(effects: list[Effect]) -> list[bytes]:
    return [e.data for e in effects if isinstance(e, SendToPeers)]


def report(name: str, reachable: bool, age_ms: float = 10.0) -> HealthReport:
    return HealthReport(health_reports.server_key(name), reachable, age_ms)


def datagram(*reports: HealthReport) -> bytes:
    return health_reports.encode(reports)


def test_refused_connection_excludes_a_server_and_is_reported_once() -> None:
    detector = make_detector()
    effects = detector.record_refusal(1001, "b1")
    assert effects[0] == ReachabilityChanged("b1", False)
    assert reports_in(effects) == [report("b1", False, 0)]
    assert detector.record_refusal(1002, "b1") == []  # repeated at once: nothing new to report
    assert list(detector.excluded) == ["b1"]


def test_slow_server_stays_eligible_and_a_hung_one_is_excluded() -> None:
    detector = make_detector()
    detector.record_answer(1500, "b1")
    assert detector.record_timeout(2000, "b1", sent_ms=1000) == []
    assert reports_in(detector.record_timeout(3000, "b1", sent_ms=2000)) == [
        HealthReport(health_reports.server_key("b1"), False, 1000, suspected=True)
    ]
    assert detector.tick(3000 + SUSPICION_TIMEOUT_MS / 2) == []
    assert detector.tick(3000 + SUSPICION_TIMEOUT_MS) == [ReachabilityChanged("b1", False)]


def spread_suspicion(
    fleet: list[FailureDetector], suspecting: FailureDetector, now_ms: float, sent_ms: float
) -> int:
    """Lets one attempt time out and delivers the datagrams that follow; returns how many were sent."""
    pending, count = datagrams_in(suspecting.record_timeout(now_ms, "b1", sent_ms)), 0
    while pending:
        data, count = pending.pop(0), count + 1
        for detector in fleet:
            pending += (
                datagrams_in(detector.receive(now_ms, data))
                if detector is not suspecting or count > 1
                else []
            )
    return count


def test_late_answer_of_a_working_server_excludes_it_nowhere() -> None:
    """Guards against one late answer making hundreds of proxies, each with little traffic, exclude a working
    server."""
    fleet = [make_detector(seed, 200) for seed in range(200)]
    fleet[7].record_answer(1600, "b1")  # after the other's attempt was sent, but more than 500 ms ago
    assert 0 < spread_suspicion(fleet, fleet[0], now_ms=2400, sent_ms=1500) <= 3
    for at in range(2400, 5000, 50):
        assert all(detector.tick(at) == [] for detector in fleet)
    # Further timeouts of attempts sent before the refutation cause no datagram.
    assert spread_suspicion(fleet, fleet[1], now_ms=2450, sent_ms=1550) == 0


def test_server_that_answers_nobody_is_soon_excluded_by_all() -> None:
    fleet = [make_detector(seed, 200) for seed in range(200)]
    for detector in fleet:
        detector.record_answer(1000, "b1")
    assert spread_suspicion(fleet, fleet[0], now_ms=2400, sent_ms=1500) == 1
    for detector in fleet:
        assert detector.tick(2400 + SUSPICION_TIMEOUT_MS) == [ReachabilityChanged("b1", False)]
    # Tried again without an answer: excluded without another suspicion.
    again = next(at for at in range(2600, 30_000, 100) if fleet[3].tick(at))
    assert fleet[3].record_timeout(again + 900, "b1", sent_ms=again)[0] == ReachabilityChanged("b1", False)


def test_answer_in_time_ends_a_suspicion_for_all() -> None:
    fleet = [make_detector(seed, 200) for seed in range(20)]
    assert spread_suspicion(fleet, fleet[0], now_ms=2400, sent_ms=1500) == 1
    for data in datagrams_in(fleet[5].record_answer(2440, "b1")):
        for detector in fleet:
            detector.receive(2445, data)
    assert all(detector.tick(2400 + 2 * SUSPICION_TIMEOUT_MS) == [] for detector in fleet)
    assert not any(list(detector.excluded) for detector in fleet)


def test_suspicion_of_a_server_that_leaves_the_list_is_dropped() -> None:
    detector = make_detector()
    detector.record_timeout(3000, "b1", sent_ms=2000)
    detector.set_servers([name for name in NAMES if name != "b1"])
    assert detector.tick(4000) == []


def test_excluded_server_is_retried_and_readmitted_by_all_with_the_first_answer() -> None:
    detector, other = make_detector(1), make_detector(2)
    for data in datagrams_in(detector.record_refusal(1000, "b1")):
        other.receive(50_000, data)
    at = next(at for at in range(1000, 30_000, 100) if detector.tick(at))
    assert detector.exclusion_ms / 2 <= at - 1000 <= 1.5 * detector.exclusion_ms + 100
    assert list(other.excluded) == ["b1"]
    for data in datagrams_in(detector.record_answer(at + 50, "b1")):
        assert other.receive(50_000 + at, data) == [ReachabilityChanged("b1", True)]
    assert detector.record_answer(at + 60, "b1") == []


def test_reports_spare_most_proxies_a_hung_server() -> None:
    """Forty proxies, each sending to a server that hangs for a minute as soon as it may: without reports each
    loses requests on its own, with reports few do."""
    lost = {}
    for with_reports in (False, True):
        fleet = [make_detector(seed) for seed in range(40)]
        lost[with_reports] = 0
        for at in range(0, 60_000, 250):
            for number, detector in enumerate(fleet):
                detector.tick(at)
                if "b1" in detector.excluded:
                    continue
                lost[with_reports] += 1
                for data in datagrams_in(detector.record_timeout(at, "b1", sent_ms=at - 900)):
                    for other in fleet[:number] + fleet[number + 1 :]:
                        if with_reports:
                            other.receive(at, data)
    assert lost[True] < lost[False] / 4


def test_late_reports_change_nothing() -> None:
    detector = make_detector()
    detector.receive(10_000, datagram(report("b1", False, 10)))
    assert detector.receive(10_100, datagram(report("b1", True, 5))) == [ReachabilityChanged("b1", True)]
    assert (
        detector.receive(10_200, datagram(report("b1", False, 300))) == []
    )  # observed before it was up again
    assert detector.receive(10_300, datagram(report("b1", False, 60_000))) == []


def test_proxy_with_a_recent_answer_refutes() -> None:
    detector, other = make_detector(1), make_detector(2)
    detector.record_answer(1100, "b1")
    effects = detector.receive(1200, datagram(report("b1", False)))
    assert reports_in(effects) == [report("b1", True, 0)] and not list(detector.excluded)
    other.receive(1200, datagram(report("b1", False)))
    assert other.receive(1210, datagrams_in(effects)[0]) == [ReachabilityChanged("b1", True)]
    assert detector.receive(1200 + OWN_ANSWER_FRESH_MS, datagram(report("b1", False, 0))) == [
        ReachabilityChanged("b1", False)
    ]  # by then the answer is old


def test_false_reports_exclude_at_most_half_and_not_for_long() -> None:
    detector = make_detector()
    false_reports = datagram(*(report(name, False) for name in NAMES))
    verdicts = [e for e in detector.receive(5000, false_reports) if isinstance(e, ReachabilityChanged)]
    assert 1 <= len(verdicts) <= MAX_EXCLUDED_SHARE * len(NAMES)
    assert len(detector.tick(5000 + 1.5 * detector.exclusion_ms)) == len(verdicts)
    assert not list(detector.excluded)


def test_proxy_cut_off_from_all_servers_goes_on_trying_half_of_them() -> None:
    detector = make_detector()
    for name in NAMES:
        detector.record_refusal(1000, name)
    assert len(list(detector.excluded)) == MAX_EXCLUDED_SHARE * len(NAMES)


def test_reports_about_unlisted_servers_are_ignored() -> None:
    detector = make_detector()
    assert detector.receive(1000, datagram(report("stranger", False), report("other", True))) == []
    detector.receive(1000, datagram(report("b1", False)))
    detector.set_servers(NAMES[2:])
    assert list(detector.excluded) == []
    assert (
        detector.record_answer(1100, "b1")
        == detector.record_refusal(1100, "b1")
        == detector.record_timeout(1100, "b1", 0)
        == []
    )


def test_exclusion_time_grows_with_the_fleet_up_to_a_bound() -> None:
    exclusions = [make_detector(instances=n).exclusion_ms for n in (1, 5, 40, 400, 5000)]
    assert (
        exclusions == sorted(exclusions)
        and exclusions[0] == 1000
        and exclusions[-1] == exclusions[-2] == 10_000
    )


@given(st.binary(max_size=400))
def test_malformed_datagrams_are_counted_and_dropped(data: bytes) -> None:
    detector = make_detector()
    found = health_reports.decode(data)
    effects = detector.receive(1000, data)
    assert detector.malformed_datagrams == (found is None)
    assert not effects or found


@given(REPORTS)
def test_reports_survive_encoding_and_fit(items: list[tuple[bytes, bool, int]]) -> None:
    sent = [HealthReport(server, reachable, float(age_ms)) for server, reachable, age_ms in items]
    data = health_reports.encode(sent)
    assert len(data) <= MAX_DATAGRAM_BYTES and health_reports.decode(data) == sent
    assert health_reports.decode(data[:-1]) is None and health_reports.decode(data + b"x") is None
    assert health_reports.decode(bytes([data[0], data[1] + 1]) + data[2:]) is None


def test_too_many_reports_are_refused() -> None:
    with pytest.raises(ValueError, match="allowed are"):
        health_reports.encode([report("b1", True)] * (MAX_ENTRIES + 1))
