"""Quota holder and allocator, driven by single messages on a fake clock."""

from __future__ import annotations

from typing import TypeVar

import pytest

from cloverrouter.control.quota_allocator import CREDIT_S, QuotaAllocator
from cloverrouter.messages import Decoder, encode
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota import ASK_WAIT_S, STANDBY_S, Effect, QuotaHolder
from cloverrouter.placement.quota_messages import (
    QuotaAsk,
    QuotaContact,
    QuotaCredit,
    QuotaHandover,
    QuotaReport,
    Wake,
)
from cloverrouter.placement.quota_plan import (
    STANDBY_PART,
    QuotaRules,
    TenantLimit,
    contact_s,
    plan_tenant,
)

HEAD = "10.0.0.9"
LIMITS = {"a": TenantLimit(100_000, 100_000), "free": TenantLimit(0, 0)}
FLEET = 4
PLAN = plan_tenant(LIMITS["a"], QuotaRules(), FLEET)
BIG = 30_000

START = 1.0

T = TypeVar("T")


def holder(now: float = 0.0) -> QuotaHolder:
    made = QuotaHolder(7, now)
    made.configure(LIMITS, FLEET)
    made.head_changed(HEAD, 3)
    return made


def holder_in_contact() -> QuotaHolder:
    """Returns a holder that must stay out of standby from now until START + 1, with its tokens used up."""
    one = holder()
    one.receive(START, HEAD, contact(sent(one.tick(START - 0.1), QuotaReport), lasts_s=1.0))
    one.admit("a", int(one.figures(START)["a"].tokens), START)
    return one


def sent(effects: list[Effect], kind: type[T]) -> T:
    """Returns the only message of this type among the effects."""
    (found,) = [
        effect.message for effect in effects if isinstance(effect, Send) and isinstance(effect.message, kind)
    ]
    return found


def contact(report: QuotaReport, lasts_s: float = 0.5, **fields: int) -> QuotaContact:
    return QuotaContact(
        epoch=fields.get("epoch", report.epoch),
        incarnation=fields.get("incarnation", report.incarnation),
        number=fields.get("number", report.number),
        contact_for_s=lasts_s,
    )


def credit(ask: QuotaAsk, tokens: int, dry_s: float = 0.0) -> QuotaCredit:
    dry = {"a": dry_s} if dry_s else {}
    return QuotaCredit(3, 7, ask.number, ask.sent_at, 0.12, {"a": tokens} if tokens else {}, dry)


class TestHolder:
    def test_tenants_without_a_limit_run_at_once(self) -> None:
        one = holder()
        assert one.admit("free", 10**9, 1.0) == 0.0
        assert one.admit("unheard of", 10**9, 1.0) == 0.0

    def test_a_fresh_process_has_nothing(self) -> None:
        assert holder().admit("a", 200, 0.0) > 0

    def test_a_request_waits_for_credit(self) -> None:
        one = holder_in_contact()
        assert one.admit("a", BIG, 1.0) == ASK_WAIT_S
        ask = sent(one.flush(1.0), QuotaAsk)
        assert BIG <= ask.tokens["a"] <= BIG + 1
        assert one.receive(1.004, HEAD, credit(ask, BIG)) == [Wake("a")]
        assert one.admit("a", BIG, 1.004, again=True) == 0.0
        assert one.admit("a", BIG, 1.005) > 0

    def test_requests_that_wait_are_asked_for_together(self) -> None:
        one = holder_in_contact()
        for _ in range(3):
            one.admit("a", BIG, 1.0)
        assert sent(one.flush(1.0), QuotaAsk).tokens["a"] > 2.5 * BIG
        assert one.flush(1.0) == []

    def test_an_ask_a_moment_after_another_is_put_off(self) -> None:
        one = holder_in_contact()
        one.admit("a", BIG, 1.0)
        one.flush(1.0)
        one.admit("a", BIG, 1.001)
        assert one.flush(1.001) == []
        assert one.wants_credit
        assert sent(one.tick(1.02), QuotaAsk)

    def test_credit_that_comes_twice_counts_once(self) -> None:
        one = holder_in_contact()
        one.admit("a", BIG, 1.0)
        ask = sent(one.flush(1.0), QuotaAsk)
        one.receive(1.004, HEAD, credit(ask, BIG))
        one.receive(1.005, HEAD, credit(ask, BIG))
        assert one.admit("a", BIG, 1.006, again=True) == 0.0
        assert one.admit("a", BIG, 1.006, again=True) > 0

    def test_credit_runs_out(self) -> None:
        one = holder_in_contact()
        one.admit("a", BIG, 1.0)
        ask = sent(one.flush(1.0), QuotaAsk)
        one.receive(1.004, HEAD, credit(ask, BIG))
        assert one.admit("a", BIG, 1.0 + CREDIT_S + 0.001, again=True) > 0

    def test_credit_that_comes_late_is_not_used(self) -> None:
        one = holder_in_contact()
        one.admit("a", BIG, 1.0)
        ask = sent(one.flush(1.0), QuotaAsk)
        one.receive(1.2, HEAD, credit(ask, BIG))
        assert one.admit("a", BIG, 1.2, again=True) > 0

    def test_what_is_left_of_credit_stays_within_the_room(self) -> None:
        one = holder_in_contact()
        one.admit("a", BIG, 1.0)
        ask = sent(one.flush(1.0), QuotaAsk)
        one.receive(1.004, HEAD, credit(ask, BIG))
        one.admit("a", 1_000, 1.005)
        assert one.figures(1.13)["a"].tokens == pytest.approx(PLAN.base_capacity)

    def test_a_dry_pool_refuses_until_it_is_said_to_fill(self) -> None:
        one = holder_in_contact()
        one.admit("a", BIG, 1.0)
        ask = sent(one.flush(1.0), QuotaAsk)
        one.receive(1.004, HEAD, credit(ask, 0, dry_s=0.7))
        assert one.admit("a", BIG, 1.104) == pytest.approx(0.6)
        assert one.flush(1.104) == []
        assert one.admit("a", BIG, 1.71) == ASK_WAIT_S

    def test_a_silent_allocator_is_not_waited_for(self) -> None:
        one = holder()
        one.admit("a", BIG, 1.0)
        one.flush(1.0)
        assert one.admit("a", BIG, 1.15) > ASK_WAIT_S

    def test_tokens_of_a_request_that_never_ran_come_back(self) -> None:
        one = holder_in_contact()
        one.admit("a", BIG, 1.0)
        ask = sent(one.flush(1.0), QuotaAsk)
        one.receive(1.004, HEAD, credit(ask, BIG))
        one.admit("a", BIG, 1.005, again=True)
        one.refund("a", 1_000)
        assert one.admit("a", 1_000, 1.006) == 0.0

    def test_it_stands_by_when_contact_is_over(self) -> None:
        one = holder()
        one.receive(2.0, HEAD, contact(sent(one.tick(1.9), QuotaReport)))
        assert not one.stands_by(2.49)
        before = one.figures(2.49)["a"].tokens
        assert one.stands_by(2.5)
        assert one.figures(3.5)["a"].tokens - before == pytest.approx(PLAN.own_rate)

    def test_back_in_contact_it_keeps_no_more_than_it_may_hold_in_advance(self) -> None:
        one = holder()
        assert one.figures(50.0)["a"].tokens == pytest.approx(PLAN.base_capacity + PLAN.own_capacity)
        one.receive(50.1, HEAD, contact(sent(one.tick(50.0), QuotaReport)))
        assert one.figures(50.1)["a"].tokens == pytest.approx(PLAN.base_capacity)

    def test_a_process_that_starts_does_not_stand_by_at_once(self) -> None:
        """The preceding process at this address may still have to stay out of standby."""
        one = holder()
        assert not one.stands_by(contact_s(FLEET))
        assert one.stands_by(contact_s(FLEET) + 0.2)

    def test_where_the_fleet_is_unknown_nobody_stands_by(self) -> None:
        one = QuotaHolder(7, 0.0)
        one.configure(LIMITS, 0)
        assert not one.stands_by(10.0)
        assert one.admit("a", 200, 10.0) > 0

    def test_a_proxy_cut_off_for_long_has_no_rate_any_more(self) -> None:
        one = holder()
        assert one.stands_by(STANDBY_S - 0.1)
        assert not one.stands_by(STANDBY_S)
        assert one.figures(STANDBY_S)["a"].tokens == 0

    def test_a_proxy_that_wakes_has_not_more_than_its_room(self) -> None:
        one = holder()
        one.receive(2.0, HEAD, contact(sent(one.tick(1.9), QuotaReport)))
        assert one.admit("a", int(PLAN.base_capacity + PLAN.own_capacity) + 1, 40.0) > 0

    @pytest.mark.parametrize("fields", [{"epoch": 2}, {"incarnation": 8}])
    def test_contact_for_another_life_changes_nothing(self, fields: dict[str, int]) -> None:
        one = holder()
        one.receive(2.0, HEAD, contact(sent(one.tick(1.9), QuotaReport), **fields))
        assert one.stands_by(2.0)

    def test_a_late_answer_to_an_older_report_binds_no_longer(self) -> None:
        one = holder()
        older = sent(one.tick(1.9), QuotaReport)
        newer = sent(one.tick(2.1), QuotaReport)
        one.receive(2.2, HEAD, contact(newer))
        one.receive(2.6, HEAD, contact(older))
        assert sent(one.tick(2.6), QuotaReport).acknowledged == newer.number
        assert one.stands_by(2.8)

    def test_a_new_head_is_reported_to_at_once(self) -> None:
        one = holder()
        one.receive(2.0, HEAD, contact(sent(one.tick(1.9), QuotaReport)))
        one.head_changed("10.0.0.8", 4)
        report = sent(one.tick(2.01), QuotaReport)
        assert (report.epoch, report.acknowledged) == (4, 0)

    def test_an_unknown_head_is_asked_at_its_last_address(self) -> None:
        one = holder()
        one.head_changed(None, 4)
        one.admit("a", BIG, 1.0)
        assert sent(one.flush(1.0), QuotaAsk).epoch == 3

    def test_credit_is_asked_for_in_advance(self) -> None:
        one = holder()
        one.receive(0.2, HEAD, contact(sent(one.tick(0.15), QuotaReport)))
        ask = sent(one.tick(0.4), QuotaAsk)
        assert ask.tokens == {}
        assert ask.spare["a"] == pytest.approx(PLAN.base_capacity, abs=1)

    def test_tenants_come_and_go(self) -> None:
        one = holder()
        one.configure({"b": TenantLimit(10, 10)}, FLEET)
        assert one.admit("a", BIG, 1.0) == 0.0
        assert one.admit("b", BIG, 1.0) > 0

    def test_a_lower_limit_lowers_what_is_at_hand(self) -> None:
        one = holder()
        one.figures(50.0)
        one.configure({"a": TenantLimit(1_000, 1_000)}, FLEET)
        lower = plan_tenant(TenantLimit(1_000, 1_000), QuotaRules(), FLEET)
        assert one.figures(50.0)["a"].tokens == pytest.approx(lower.base_capacity + lower.own_capacity)


def allocator(now: float = 0.0, fleet: int = FLEET) -> QuotaAllocator:
    made = QuotaAllocator(3, now)
    made.configure(LIMITS, fleet)
    return made


def report(number: int, acknowledged: int = 0, incarnation: int = 7) -> QuotaReport:
    return QuotaReport(3, incarnation, number, acknowledged)


def ask(number: int, tokens: int, epoch: int = 3) -> QuotaAsk:
    return QuotaAsk(epoch, 7, number, 55.5, {"a": tokens}, {})


def lent(one: QuotaAllocator, now: float, tokens: int) -> int:
    (effect,) = one.receive(now, "10.0.0.1", ask(1, tokens))
    assert isinstance(effect.message, QuotaCredit)
    return effect.message.tokens.get("a", 0)


def idle(one: QuotaAllocator, now: float) -> float:
    return one.figures(now)["a"].pool_rate_part


def exchange_reports(one: QuotaAllocator, now: float, proxies: int = FLEET) -> None:
    """Makes these proxies report, and acknowledge the answer 10 ms later."""
    number = round(now * 20)
    for index in range(proxies):
        one.receive(now, f"10.0.0.{index}", report(number))
        one.receive(now + 0.01, f"10.0.0.{index}", report(number + 1, acknowledged=number))


def in_contact(now: float) -> QuotaAllocator:
    one = allocator(now - 20)
    for moment in range(100):
        exchange_reports(one, now - 10 + moment / 10)
    return one


class TestAllocator:
    def test_it_lends_nothing_before_older_credit_has_run_out(self) -> None:
        one = allocator(10.0)
        assert one.receive(10.1, "10.0.0.1", ask(1, 200)) == []
        assert one.receive(10.2, "10.0.0.1", ask(1, 200)) != []

    def test_the_pool_lends_what_it_holds_and_some_debt(self) -> None:
        one = in_contact(30.0)
        total = sum(lent(one, 30.0, BIG) for _ in range(100))
        assert PLAN.capacity < total <= PLAN.capacity + PLAN.debt

    def test_a_new_pool_owes_what_one_before_may_owe(self) -> None:
        one = allocator(10.0)
        total = sum(lent(one, 10.14, 1_000) for _ in range(100))
        assert total < 0.01 * PLAN.rate

    def test_a_new_pool_serves_small_requests_before_it_is_out_of_debt(self) -> None:
        one = allocator(10.0)
        assert lent(one, 10.25, 1_000) == 1_000
        assert lent(one, 10.25, BIG) == 0

    def test_what_is_handed_over_waits_until_the_proxies_talk(self) -> None:
        one = allocator(10.0)
        one.receive(10.0, "10.0.0.1", QuotaHandover(3, 2, {"a": int(PLAN.capacity + PLAN.debt)}))
        assert one.figures(10.2)["a"].tokens < 0.25 * PLAN.capacity
        exchange_reports(one, 10.3)
        assert one.figures(10.32)["a"].tokens > 0.8 * PLAN.capacity

    def test_what_is_handed_over_is_lent_once(self) -> None:
        one = in_contact(30.0)
        sum(lent(one, 30.0, BIG) for _ in range(100))
        handover = QuotaHandover(3, 2, {"a": 50_000, "unheard of": 5})
        one.receive(30.0, "10.0.0.1", handover)
        one.receive(30.0, "10.0.0.1", handover)
        one.receive(30.0, "10.0.0.1", QuotaHandover(7, 1, {"a": 50_000}))
        assert sum(lent(one, 30.0, 1_000) for _ in range(100)) <= 50_000 + PLAN.debt

    def test_what_is_handed_over_counts_once_however_often_it_comes(self) -> None:
        once, thrice = in_contact(30.0), in_contact(30.0)
        for one, times in ((once, 1), (thrice, 3)):
            sum(lent(one, 30.0, BIG) for _ in range(100))
            for _ in range(times):
                one.receive(30.0, "10.0.0.1", QuotaHandover(3, 2, {"a": 5_000}))
        once.receive(30.0, "10.0.0.1", QuotaHandover(3, 1, {"a": 5_000}))  # another allocator's
        later = 30.0 + 2 * CREDIT_S  # the credit that fills the pool's capacity has expired
        more = once.figures(later)["a"].tokens - thrice.figures(later)["a"].tokens
        assert more == pytest.approx(5_000)

    def test_a_dry_pool_says_until_when(self) -> None:
        one = in_contact(30.0)
        for _ in range(100):
            (effect,) = one.receive(30.0, "10.0.0.1", ask(1, BIG))
        assert isinstance(effect.message, QuotaCredit)
        assert 0 < effect.message.dry_for_s["a"] <= PLAN.debt / PLAN.rate

    def test_a_pool_that_nothing_flows_to_is_not_said_to_be_dry_for_long(self) -> None:
        one = allocator(10.0)
        lent(one, 10.14, BIG)
        (effect,) = one.receive(10.14, "10.0.0.1", ask(1, BIG))
        assert isinstance(effect.message, QuotaCredit)
        assert effect.message.dry_for_s["a"] < 0.5

    def test_credit_in_advance_leaves_half_of_the_pool(self) -> None:
        one = in_contact(30.0)
        (effect,) = one.receive(30.0, "10.0.0.1", QuotaAsk(3, 7, 1, 55.5, {}, {"a": 10**9}))
        assert isinstance(effect.message, QuotaCredit)
        assert effect.message.tokens["a"] == pytest.approx(PLAN.capacity / 2, abs=1)
        assert effect.message.dry_for_s == {}

    def test_a_message_of_an_epoch_that_it_does_not_lead_is_not_answered(self) -> None:
        one = allocator()
        assert one.receive(30.0, "10.0.0.1", ask(1, BIG, epoch=2)) == []
        assert one.receive(30.0, "10.0.0.1", ask(1, BIG, epoch=4)) == []
        one.next_epoch(4)
        for epoch in (3, 4):
            (effect,) = one.receive(30.0, "10.0.0.1", ask(1, BIG, epoch))
            assert isinstance(effect.message, QuotaCredit)
            assert effect.message.epoch == epoch

    def test_all_flows_to_the_pool_while_all_proxies_talk(self) -> None:
        one = allocator(10.0)
        assert idle(one, 11.0) == 1 - STANDBY_PART
        exchange_reports(one, 11.0)
        assert idle(one, 11.01) == 1

    def test_the_part_of_a_proxy_that_fell_silent_does_not(self) -> None:
        one = allocator(10.0)
        exchange_reports(one, 11.0)
        for index in range(FLEET - 1):
            one.receive(11.2, f"10.0.0.{index}", report(222, acknowledged=221))
            one.receive(11.4, f"10.0.0.{index}", report(223, acknowledged=222))
        assert idle(one, 11.4) == pytest.approx(1 - STANDBY_PART / FLEET)

    def test_contact_that_is_not_confirmed_is_none(self) -> None:
        """Reports arrive, but none acknowledges an answer."""
        one = allocator(10.0)
        for number in range(1, 20):
            one.receive(11 + number / 10, "10.0.0.1", report(number))
        assert idle(one, 13.0) == 1 - STANDBY_PART

    def test_contact_lasts_from_when_the_confirmed_answer_was_sent(self) -> None:
        one = allocator(10.0)
        one.receive(11.0, "10.0.0.1", report(1))
        one.receive(11.3, "10.0.0.1", report(2, acknowledged=1))
        assert idle(one, 11.3) > 1 - STANDBY_PART
        assert idle(one, 11.0 + contact_s(FLEET)) == 1 - STANDBY_PART

    def test_an_allocator_that_was_frozen_counts_the_silent_from_when_they_may_have_been(self) -> None:
        one = in_contact(30.0)
        lent(one, 30.0, 10**9)
        before = one.figures(30.0)["a"].tokens
        gained = one.figures(32.0)["a"].tokens - before
        assert gained < contact_s(FLEET) * PLAN.rate + 2.0 * PLAN.rate * (1 - STANDBY_PART)

    def test_a_restarted_proxy_is_bound_by_what_the_process_before_was_told(self) -> None:
        one = allocator(10.0)
        exchange_reports(one, 11.0)
        one.receive(11.1, "10.0.0.0", report(1, incarnation=8))
        assert idle(one, 11.1) == 1

    def test_answers_to_the_process_before_confirm_nothing_of_the_next(self) -> None:
        one = allocator(10.0)
        one.receive(11.0, "10.0.0.1", report(1))
        one.receive(11.1, "10.0.0.1", report(2, acknowledged=1, incarnation=8))
        assert idle(one, 11.1) == 1 - STANDBY_PART

    def test_a_report_that_comes_again_later_binds_its_proxy_no_longer(self) -> None:
        """The proxy applies only the first answer."""
        one = allocator(10.0)
        one.receive(11.0, "10.0.0.1", report(1))
        one.receive(11.3, "10.0.0.1", report(1))
        one.receive(11.31, "10.0.0.1", report(2, acknowledged=1))
        assert idle(one, 11.0 + contact_s(FLEET)) == 1 - STANDBY_PART

    def test_late_reports_of_a_process_that_has_ended_are_not_answered(self) -> None:
        one = allocator(10.0)
        one.receive(11.0, "10.0.0.1", report(5))
        one.receive(11.1, "10.0.0.1", report(1, incarnation=8))
        assert one.receive(11.2, "10.0.0.1", report(6)) == []

    def test_where_the_fleet_is_unknown_half_flows(self) -> None:
        one = allocator(10.0, fleet=0)
        exchange_reports(one, 11.0)
        assert idle(one, 11.01) == 1 - STANDBY_PART

    def test_more_proxies_than_there_should_be_add_nothing(self) -> None:
        one = allocator(10.0)
        exchange_reports(one, 11.0, FLEET + 3)
        assert idle(one, 11.01) == 1

    def test_a_proxy_silent_for_long_is_forgotten_and_may_come_back(self) -> None:
        one = allocator(10.0)
        exchange_reports(one, 11.0)
        one.tick(60.0)
        assert idle(one, 60.0) == 1 - STANDBY_PART
        exchange_reports(one, 60.0)
        assert idle(one, 60.01) == 1


@pytest.mark.parametrize(
    "message",
    [QuotaHandover(4, 3, {"a": 5}), report(1, 5), contact(report(1)), ask(3, 5), credit(ask(3, 5), 5, 0.5)],
    ids=lambda message: type(message).__name__,
)
def test_messages_travel(message: object) -> None:
    assert list(Decoder().feed(encode(message))) == [message]
