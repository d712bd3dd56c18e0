"""Whether a request may be sent again: by its route, by whether it may have run, and by the retry budget."""

from __future__ import annotations

from random import Random

from cloverrouter.router.retry_state import RetryState
from cloverrouter.router.verdict import End
from tests.system.router_world import FakeBudget, route


def retry_state(**changes: object) -> tuple[RetryState, FakeBudget]:
    budget = FakeBudget()
    return RetryState(route("x", **changes), "desk", budget), budget


def test_the_first_arrival_is_free_and_each_further_one_is_paid() -> None:
    state, budget = retry_state(kind="idempotent", attempts=3)
    assert state.charge_budget() and budget.spent == 0
    state.record_end(End.LOST, None)
    assert state.charge_budget() and budget.spent == 1


def test_what_was_paid_and_did_not_arrive_stays_paid() -> None:
    state, budget = retry_state(kind="idempotent", attempts=3)
    state.record_end(End.REJECTED, None)
    for _ in range(2):
        assert state.charge_budget()
        state.record_end(End.UNREACHED, None)
    assert budget.spent == 1


def test_what_was_paid_before_a_send_is_given_up_pays_for_the_next() -> None:
    state, budget = retry_state(kind="idempotent", attempts=3)
    assert state.charge_budget_ahead()
    state.record_end(End.LOST, None)
    assert state.charge_budget() and budget.spent == 1
    budget.left = 0
    assert not state.charge_budget_ahead()


def test_what_may_have_run_ends_a_request_that_may_not_repeat() -> None:
    state, _ = retry_state(attempts=3)
    state.record_sent("a")
    state.record_end(End.REJECTED, None)
    assert state.may_retry(2) and state.no_rerun
    state.record_end(End.LOST, None)
    assert not state.may_retry(2)


def test_sends_that_never_ran_are_bounded_too() -> None:
    state, _ = retry_state(kind="idempotent", attempts=2)
    for place in range(4):
        assert state.may_retry(2)
        state.record_sent(f"s-{place}")
        state.record_end(End.UNREACHED, None)
    assert not state.may_retry(2)
    assert state.tried_servers == {"s-0", "s-1", "s-2", "s-3"} and not state.may_have_run


def test_waits_stay_within_the_time_left() -> None:
    state, _ = retry_state()
    random = Random(1)
    waits = [state.next_backoff_ms(1000.0, random) for _ in range(20)]
    assert all(0 < wait < 1000 for wait in waits)
    assert state.next_backoff_ms(0.0, random) <= 0
