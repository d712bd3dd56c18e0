"""Forwarding of calls to the head of the chain: retries, a change of the head, and timeouts."""

from __future__ import annotations

from random import Random

from cloverrouter.control.forwarding import (
    FORWARD_TIMEOUT_S,
    MIN_LINK_BYTES_PER_S,
    NO_QUORUM_TIMEOUT_S,
    RESEND_S,
    CallKind,
    Finished,
    Forwarder,
    HeadAnswer,
    HeadCall,
    SendCall,
    first_ticket,
)
from cloverrouter.messages import Decoder, encode

CALL = HeadCall(1, CallKind.ORDER.value, b"order")


def test_a_call_waits_for_a_head_to_be_known() -> None:
    forwarder = Forwarder()
    assert forwarder.submit(0.0, 1, CallKind.ORDER, b"order") == []
    assert forwarder.head_changed(0.2, "10.0.0.1") == [SendCall("10.0.0.1", CALL)]
    assert forwarder.handle_answer(0.3, HeadAnswer(1, True, b"reply")) == [Finished(1, b"reply")]
    assert forwarder.tick(10.0) == []


def test_a_call_without_an_answer_is_sent_again_and_to_a_new_head_at_once() -> None:
    forwarder = Forwarder()
    forwarder.head_changed(0.0, "10.0.0.1")
    assert forwarder.submit(0.0, 1, CallKind.ORDER, b"order") == [SendCall("10.0.0.1", CALL)]
    assert forwarder.tick(RESEND_S / 2) == []
    assert forwarder.tick(RESEND_S) == [SendCall("10.0.0.1", CALL)]
    assert forwarder.head_changed(RESEND_S + 0.01, "10.0.0.2") == [SendCall("10.0.0.2", CALL)]


def test_one_who_is_not_the_head_is_asked_again_after_a_pause() -> None:
    forwarder = Forwarder()
    forwarder.head_changed(0.0, "10.0.0.1")
    forwarder.submit(0.0, 1, CallKind.ORDER, b"order")
    assert forwarder.handle_answer(0.01, HeadAnswer(1, False, b"")) == []
    assert forwarder.tick(0.02) == []
    assert forwarder.tick(0.01 + RESEND_S / 3) == [SendCall("10.0.0.1", CALL)]


def test_a_call_is_given_up_once() -> None:
    forwarder = Forwarder()
    forwarder.submit(0.0, 1, CallKind.READ, b"")
    assert forwarder.tick(FORWARD_TIMEOUT_S) == [Finished(1, None, was_sent=False)]
    assert forwarder.tick(FORWARD_TIMEOUT_S + 1) == []
    assert forwarder.handle_answer(FORWARD_TIMEOUT_S + 1, HeadAnswer(1, True, b"late")) == []


def test_a_machine_that_knows_that_it_is_out_of_touch_answers_sooner() -> None:
    forwarder = Forwarder()
    forwarder.head_changed(0.0, "10.0.0.1")
    forwarder.submit(0.0, 1, CallKind.ORDER, b"order")
    assert not any(isinstance(each, Finished) for each in forwarder.tick(NO_QUORUM_TIMEOUT_S + 0.1))
    forwarder.set_quorum_contact(False)
    assert forwarder.tick(NO_QUORUM_TIMEOUT_S + 0.15) == [Finished(1, None, was_sent=True)]
    forwarder.submit(5.0, 2, CallKind.ORDER, b"order")
    assert not any(isinstance(each, Finished) for each in forwarder.tick(5.0 + NO_QUORUM_TIMEOUT_S / 2))
    assert Finished(2, None, was_sent=True) in forwarder.tick(5.0 + NO_QUORUM_TIMEOUT_S)


def test_what_was_sent_to_a_head_is_never_told_as_not_passed_on() -> None:
    forwarder = Forwarder()
    forwarder.set_quorum_contact(False)
    forwarder.submit(0.0, 1, CallKind.ORDER, b"order")
    forwarder.head_changed(0.1, "10.0.0.1")
    forwarder.head_changed(0.2, None)
    assert forwarder.tick(NO_QUORUM_TIMEOUT_S) == [Finished(1, None, was_sent=True)]


def test_a_long_order_is_waited_for_while_the_link_takes_it() -> None:
    """After the link has taken it, the timeout includes its transfer time. Without progress it times out."""
    waiting = 2_000_000
    forwarder = Forwarder(lambda ip: waiting)
    forwarder.head_changed(0.0, "10.0.0.1")
    order = b"x" * 2_000_000
    forwarder.submit(0.0, 1, CallKind.ORDER, order)
    now, ended = 0.0, False
    while waiting:
        now += 0.05
        waiting = max(0, waiting - 5_000)
        ended = ended or any(isinstance(each, Finished) for each in forwarder.tick(now))
    assert now > 15 and not ended
    allowed_s = FORWARD_TIMEOUT_S + len(order) / MIN_LINK_BYTES_PER_S
    assert not any(isinstance(each, Finished) for each in forwarder.tick(now + allowed_s - 0.1))
    assert Finished(1, None, was_sent=True) in forwarder.tick(now + allowed_s + 0.1)


def test_tickets_travel() -> None:
    for seed in range(100):
        call = HeadCall(first_ticket(Random(seed)), CallKind.READ.value, b"")
        assert list(Decoder().feed(encode(call))) == [call]


def test_a_large_order_is_not_sent_again_while_it_is_on_its_way() -> None:
    forwarder = Forwarder()
    forwarder.head_changed(0.0, "10.0.0.1")
    order = b"x" * 1_000_000
    sent = [SendCall("10.0.0.1", HeadCall(1, CallKind.ORDER.value, order))]
    assert forwarder.submit(0.0, 1, CallKind.ORDER, order) == sent
    assert [effect for tick in range(1, 70) for effect in forwarder.tick(tick * 0.05)] == []
    assert forwarder.head_changed(3.5, "10.0.0.2") == [SendCall("10.0.0.2", sent[0].call)]
