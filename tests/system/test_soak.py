"""The soak test: its plans, its checks, and one short seeded run with real processes."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence

import attrs
import pytest

from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.errors import ConfigurationInvalid
from cloverrouter.control.review import review_document, review_patch
from cloverrouter.lab.fleet.judge import Judge, ObservedAnswer, Operation, Request, Run
from cloverrouter.lab.fleet.registration import Departure
from cloverrouter.lab.soak import checks
from cloverrouter.lab.soak.machines import ProcessRecord
from cloverrouter.lab.soak.orders import (
    INVALID_KINDS,
    ObservedRead,
    Operator,
    SentOrder,
    initial_document,
    soak_route,
)
from cloverrouter.lab.soak.plan import Act, plan
from cloverrouter.lab.soak.watch import Observation
from tests.command_line import run

BOUNDS = checks.Bounds(propagation_s=2.0, connectivity_s=3.0, recovery_s=12.0, grace_s=8.0)
UNDISTURBED = checks.History({"one": []}, frozenset({"one"}), BOUNDS)


@pytest.mark.parametrize("seed", range(1, 60))
def test_a_plan_is_deterministic_and_loses_no_more_disks_than_may_be_lost(seed: int) -> None:
    drawn = plan(seed, 25.0)
    assert drawn == plan(seed, 25.0)
    wiped = {fault.machine_index for fault in drawn.faults if fault.act is Act.WIPE}
    assert len(wiped) <= drawn.shape.lost_at_once
    assert all(0 <= fault.at_s < 25.0 and fault.machine_index < drawn.shape.size for fault in drawn.faults)
    assert [fault.at_s for fault in drawn.faults] == sorted(fault.at_s for fault in drawn.faults)


def test_plans_contain_all_kinds_of_faults_and_may_be_large() -> None:
    plans = [plan(seed, 25.0) for seed in range(60)]
    assert {fault.act for drawn in plans for fault in drawn.faults} == set(Act)
    assert {drawn.ends_with_kill_all for drawn in plans} == {False, True}
    assert plan(1, 25.0, 120).shape.size == 120


def document(version: int, *routes: tuple[str, str]) -> dict[str, object]:
    return {"version": version, "route-table": [soak_route(name, service) for name, service in routes]}


def confirmed_order(version: int, base: int, at: float, *routes: tuple[str, str]) -> SentOrder:
    """Returns a confirmed order."""
    whole = document(version, *routes)
    return SentOrder(version, base, whole, at, body=whole, status=200, answered_at=at + 0.1)


ORDERS = [confirmed_order(3, 0, 10.0), confirmed_order(5, 3, 20.0)]
REFUSED = {
    "invalid": [attrs.evolve(ORDERS[0], is_valid=False, description="no weight")],
    "two on one version": [*ORDERS, confirmed_order(6, 3, 20.5, ("r-soak-1", "x"))],
    "a valid one": [*ORDERS, attrs.evolve(confirmed_order(7, 5, 30.0), status=400)],
    "without a rival": [*ORDERS, attrs.evolve(confirmed_order(7, 5, 30.0), status=412)],
    "again": [*ORDERS, attrs.evolve(ORDERS[1], sent_at=30.0, status=412, description="again")],
}


@pytest.mark.parametrize("sent", REFUSED.values(), ids=REFUSED.keys())
def test_answers_to_orders_that_break_a_rule_are_found(sent: list[SentOrder]) -> None:
    assert [finding.rule for finding in checks.check_orders(sent)] == ["CONFIG"]


def test_a_race_and_an_order_without_an_answer_break_none() -> None:
    rival = attrs.evolve(confirmed_order(7, 5, 30.0), status=412)
    unclear = attrs.evolve(confirmed_order(8, 5, 29.9), status=None, answered_at=None)
    assert not list(checks.check_orders([*ORDERS, unclear, rival]))
    again = attrs.evolve(ORDERS[1], sent_at=30.0, status=412, description="again", answered_at=31.0)
    assert not list(checks.check_orders([*ORDERS, unclear, again]))


def read(version: int, sent_at: float) -> ObservedRead:
    return ObservedRead(sent_at, sent_at + 0.1, version, document(version), "one")


def test_reads_that_are_older_or_of_nothing_are_found() -> None:
    assert not list(checks.check_reads([read(3, 15.0), read(5, 25.0)], ORDERS))
    assert len(list(checks.check_reads([read(3, 25.0)], ORDERS))) == 1
    assert len(list(checks.check_reads([read(9, 25.0)], ORDERS))) == 1


def observation(version: int, at: float, pid: int = 1) -> Observation:
    return Observation("one", at, at + 0.01, pid, version, True)


@pytest.mark.parametrize(
    ("observations", "count"),
    [
        ([observation(3, 21.0), observation(5, 23.0)], 0),
        ([observation(3, 23.0)], 1),
        ([observation(5, 21.0), observation(3, 21.5)], 1),
        ([observation(5, 21.0), observation(3, 21.5, pid=2)], 0),
    ],
)
def test_machines_that_are_late_or_go_back_are_found(observations: list[Observation], count: int) -> None:
    assert len(list(checks.check_observations(observations, ORDERS, UNDISTURBED))) == count


def test_a_machine_that_was_started_just_now_is_not_late() -> None:
    started = checks.History({"one": [(20.0, 21.0)]}, frozenset({"one"}), BOUNDS)
    assert not list(checks.check_observations([observation(3, 23.0)], ORDERS, started))
    assert list(checks.check_observations([observation(3, 24.5)], ORDERS, started))
    assert not list(checks.check_observations([observation(0, 24.5)], ORDERS, started))


def process_record(code: int | None, *signals: tuple[float, str], ended_at: float = 5.0) -> ProcessRecord:
    return ProcessRecord(0.0, 1, list(signals), ended_at=ended_at, code=code)


@pytest.mark.parametrize(
    ("one", "count"),
    [
        (process_record(0, (1.0, "TERM")), 0),
        (process_record(-9, (1.0, "KILL")), 0),
        (process_record(-1, (1.0, "HUP")), 1),
        (process_record(1), 1),
        (process_record(0, (1.0, "TERM"), ended_at=9.8), 1),
        (process_record(-15, (1.0, "TERM")), 1),
        (process_record(0, (1.0, "TERM"), (6.0, "STOP"), (11.0, "CONT"), ended_at=11.4), 0),
        (process_record(0, (1.0, "TERM"), (6.0, "STOP"), (11.0, "CONT"), ended_at=11.6), 1),
        (process_record(0, (1.0, "TERM"), (6.0, "STOP"), (8.0, "CONT"), ended_at=9.6), 1),
        (ProcessRecord(0.0, 1), 0),
    ],
)
def test_unexpected_ends_of_processes_are_found(one: ProcessRecord, count: int) -> None:
    assert len(list(checks.check_processes("one", [one], 8.0))) == count


def rules_for_cut(signal: str, ended_at: float, code: int) -> list[str]:
    """Returns the rules broken by a forwarded request that its machine's process interrupted by its end."""
    judge = Judge()
    judge.operation_started("a", Operation("r", 4.0, False))
    request = Request("t", "a", "r", frozenset({"s"}), "", False, "x", 4.0, zone="one")
    judge.request_sent(request)
    judge.run_started(Run("t", "i", "s", "stamp", "", "x", 4.1))
    judge.answer_received("t", ObservedAnswer(None, ended_at=4.9, was_interrupted=True))
    processes: dict[str, Sequence[ProcessRecord]] = {
        "one": [process_record(code, (3.0 if signal == "TERM" else 4.9, signal), ended_at=ended_at)]
    }
    return [finding.rule for finding in checks.check_cuts(judge, processes, 8.0)]


def test_requests_that_are_cut_off_by_an_orderly_end_are_found() -> None:
    assert rules_for_cut("TERM", 4.9, 0) == ["LOST"]
    assert not rules_for_cut("KILL", 4.9, -9)


def late_runs(started_at: float, sent_at: float, *disturbances: tuple[float, float]) -> list[str]:
    """Returns the rules broken by a run at a server whose departure was acknowledged at 10 s."""
    judge = Judge()
    judge.drain_grace_s = float("inf")
    judge.draining_acknowledged("i", 10.0)
    judge.operation_started("a", Operation("r", sent_at, False))
    judge.request_sent(Request("t", "a", "r", frozenset({"s"}), "", False, "x", sent_at, zone="one"))
    judge.run_started(Run("t", "i", "s", "stamp", "", "x", started_at))
    history = checks.History({"one": list(disturbances)}, frozenset({"one"}), BOUNDS)
    assert not judge.findings
    return [finding.rule for finding in checks.check_departures(judge, history, 1.0)]


def test_requests_at_a_server_that_left_are_found() -> None:
    assert late_runs(11.1, 11.0) == ["DRAIN"]
    assert not late_runs(10.9, 10.8)  # within the drain timeout
    assert not late_runs(16.9, 16.8, (10.1, 11.0))  # not in touch for long enough after a kill of everything
    assert late_runs(17.2, 17.1, (10.1, 11.0)) == ["DRAIN"]


def test_departures_are_drawn_beside_the_faults() -> None:
    plans = [plan(seed, 25.0) for seed in range(60)]
    assert {how for drawn in plans for _, how in drawn.departures} == set(Departure)
    assert {drawn.last_departure for drawn in plans} == set(Departure)


def test_errors_that_were_not_handled_are_found_in_logs() -> None:
    text = "a line\nTraceback (most recent call last):\n  File x\nValueError: y\n"
    assert len(list(checks.check_log("one", text))) == 1
    assert not list(checks.check_log("one", "a line\n"))


@pytest.mark.parametrize("kind", INVALID_KINDS)
def test_the_operators_invalid_orders_are_invalid_and_his_changes_are_not(kind: str) -> None:
    operator = Operator(["127.0.0.1:1"], 1, lambda: 0.0)
    operator.current = initial_document()
    _, state = review_document(json.dumps(operator.current).encode(), ConfigurationState())
    body = operator._draw_invalid(kind).body
    with pytest.raises(ConfigurationInvalid):
        review_document(body if isinstance(body, bytes) else json.dumps(body).encode(), state)
    for change in ("add", "move", "split", "timeout", "key", "whole", "large"):
        sent = operator._draw_valid(change)
        review: Callable[..., object] = review_document if sent.method == "PUT" else review_patch
        review(json.dumps(sent.body).encode(), state)


def test_a_short_soak_finds_nothing() -> None:
    """Runs real processes. The output contains the seed and all findings."""
    code, text = run("soak", "--seed", "7", "--seconds", "15")
    assert code == 0, text
