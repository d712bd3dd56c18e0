"""Which machine runs the quota allocator when the view changes."""

from __future__ import annotations

from cloverrouter.control.quota_duty import QuotaDuty
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota_messages import QuotaAsk, QuotaCredit, QuotaHandover
from cloverrouter.placement.quota_plan import QuotaRules, TenantLimit

ME, OTHER = "10.0.0.1", "10.0.0.2"


def make_duty() -> QuotaDuty:
    duty = QuotaDuty(ME, QuotaRules())
    duty.configure({"a": TenantLimit(100_000, 100_000)}, 4)
    duty.view_changed(0.0, 3, ME)
    return duty


def ask(epoch: int) -> QuotaAsk:
    return QuotaAsk(epoch, 7, 1, 55.5, {"a": 500}, {})


def test_the_head_answers_while_it_is_sure() -> None:
    duty = make_duty()
    duty.tick(19.9, 20.3)
    assert duty.receive(20.0, 20.3, OTHER, ask(3))
    assert duty.receive(20.4, 20.3, OTHER, ask(3)) == []
    assert duty.receive(20.4, None, OTHER, ask(3)) == []


def test_a_machine_stops_answering_once_another_is_head() -> None:
    duty = make_duty()
    duty.view_changed(5.0, 4, OTHER)
    assert duty.receive(20.0, 20.3, OTHER, ask(3)) == []
    assert duty.receive(20.0, 20.3, OTHER, ask(4)) == []


def test_the_last_head_hands_over_what_is_left() -> None:
    last, following = make_duty(), QuotaDuty(OTHER, QuotaRules())
    following.configure({"a": TenantLimit(100_000, 100_000)}, 4)
    last.tick(20.0, 20.4)
    (handover,) = last.view_changed(30.0, 4, OTHER)
    assert handover.ip == OTHER and isinstance(handover.message, QuotaHandover)
    following.view_changed(30.0, 4, OTHER)
    assert following.receive(30.0, None, ME, handover.message) == []
    assert following.receive(30.0, None, ME, handover.message) == []
    (effect,) = following.receive(30.2, 30.5, ME, QuotaAsk(4, 7, 1, 55.5, {"a": 60_000}, {}))
    assert isinstance(effect, Send) and isinstance(effect.message, QuotaCredit)
    assert effect.message.tokens == {"a": 60_000}
    left = handover.message.tokens["a"]
    (effect,) = following.receive(30.2, 30.5, ME, QuotaAsk(4, 7, 2, 55.5, {"a": 10**9}, {}))
    assert isinstance(effect, Send) and isinstance(effect.message, QuotaCredit)
    assert 60_000 + effect.message.tokens.get("a", 0) <= left + 0.1 * 110_000


def test_what_a_head_has_left_does_not_grow_after_it_was_head() -> None:
    duty, other_duty = make_duty(), make_duty()
    duty.tick(20.0, 20.4)
    other_duty.tick(20.0, 20.4)
    duty.receive(20.1, 20.4, OTHER, ask(3))
    other_duty.receive(20.1, 20.4, OTHER, ask(3))
    (early,) = duty.view_changed(20.5, 4, OTHER)
    (late,) = other_duty.view_changed(90.0, 4, OTHER)
    assert early == late


def test_a_head_that_was_sure_all_the_time_goes_on() -> None:
    duty = make_duty()
    duty.tick(20.0, 20.4)
    duty.view_changed(20.1, 4, None)
    duty.view_changed(20.2, 4, ME)
    assert duty.receive(20.2, 20.6, OTHER, ask(3))
    assert duty.receive(20.2, 20.6, OTHER, ask(4))


def test_a_head_without_continuous_leadership_begins_anew() -> None:
    duty = make_duty()
    duty.tick(20.0, 20.4)
    duty.view_changed(20.5, 4, ME)
    assert duty.receive(20.5, 20.9, OTHER, ask(4)) == []
    assert duty.receive(20.7, 20.9, OTHER, ask(4))
    assert duty.receive(20.7, 20.9, OTHER, ask(3)) == []


def test_a_machine_that_never_was_head_is_silent() -> None:
    duty = QuotaDuty(OTHER, QuotaRules())
    duty.view_changed(0.0, 3, ME)
    assert duty.receive(1.0, 1.4, ME, ask(3)) == []
    assert duty.tick(1.0, 1.4) == []
