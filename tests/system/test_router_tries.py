"""What a request may still do: by its route, by what may have run, and by what was paid."""

from __future__ import annotations

from random import Random

from cloverrouter.router.tries import Tries
from cloverrouter.router.verdict import End
from tests.system.router_world import FakeBudget, route


def tries(**changes: object) -> tuple[Tries, FakeBudget]:
    budget = FakeBudget()
    return Tries(route("x", **changes), "desk", budget), budget


def test_the_first_arrival_is_free_and_each_further_one_is_paid() -> None:
    made, budget = tries(kind="idempotent", attempts=3)
    assert made.pay() and budget.spent == 0
    made.ended(End.LOST, None)
    assert made.pay() and budget.spent == 1


def test_what_was_paid_and_did_not_arrive_stays_paid() -> None:
    made, budget = tries(kind="idempotent", attempts=3)
    made.ended(End.REJECTED, None)
    for _ in range(2):
        assert made.pay()
        made.ended(End.UNREACHED, None)
    assert budget.spent == 1


def test_what_was_paid_before_a_send_is_given_up_pays_for_the_next() -> None:
    made, budget = tries(kind="idempotent", attempts=3)
    assert made.prepay()
    made.ended(End.LOST, None)
    assert made.pay() and budget.spent == 1
    budget.left = 0
    assert not made.prepay()


def test_what_may_have_run_ends_a_request_that_may_not_repeat() -> None:
    made, _ = tries(attempts=3)
    made.sent("a")
    made.ended(End.REJECTED, None)
    assert made.may_go_on(2) and made.fragile
    made.ended(End.LOST, None)
    assert not made.may_go_on(2)


def test_sends_that_never_ran_are_bounded_too() -> None:
    made, _ = tries(kind="idempotent", attempts=2)
    for place in range(4):
        assert made.may_go_on(2)
        made.sent(f"s-{place}")
        made.ended(End.UNREACHED, None)
    assert not made.may_go_on(2)
    assert made.servers == {"s-0", "s-1", "s-2", "s-3"} and not made.may_have_run


def test_waits_stay_within_the_time_left() -> None:
    made, _ = tries()
    random = Random(1)
    waits = [made.next_wait_ms(1000.0, random) for _ in range(20)]
    assert all(0 < wait < 1000 for wait in waits)
    assert made.next_wait_ms(0.0, random) <= 0
