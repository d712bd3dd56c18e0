"""The head's side of forwarded calls: which caller gets which answer, also after a proxy restarts."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any, cast

from cloverrouter.control.forwarding import CallKind, Finished, HeadAnswer, HeadCall, first_ticket
from cloverrouter.control.orders import OrderReply
from cloverrouter.coordination.effects import Answer, Effect, Outcome
from cloverrouter.coordination.replica import Replica
from cloverrouter.daemon.control_calls import ControlCalls
from cloverrouter.daemon.head_calls import MAX_REMEMBERED_ANSWERS, HeadCalls
from cloverrouter.daemon.plane_port import PlanePort
from cloverrouter.messages import Decoder, encode

PROXY = "10.0.0.9"


class HoldingReplica:
    """Records commands and never answers them by itself."""

    def __init__(self) -> None:
        self.commands: dict[int, bytes] = {}

    def submit(self, now: float, ticket: int, command: bytes) -> list[Effect]:
        self.commands[ticket] = command
        return []

    def read(self, now: float, ticket: int) -> list[Effect]:
        return self.submit(now, ticket, b"read")


class ScriptedPlane:
    """Passes a process's calls to the head's call handler."""

    def __init__(self, handler: HeadCalls) -> None:
        self._handler = handler
        self.tickets: list[int] = []

    def ask_head(self, ticket: int, kind: CallKind, command: bytes) -> None:
        self.tickets.append(ticket)
        self._handler.handle_call(0.0, PROXY, HeadCall(ticket, kind.value, command))


def reply_to(body: bytes) -> bytes:
    return encode(OrderReply(200, body, 1))


def test_a_process_started_again_gets_no_answer_to_a_call_of_the_one_before() -> None:
    replica = HoldingReplica()
    sent: list[HeadAnswer] = []
    handler = HeadCalls(cast(Replica, replica), lambda ip, message: sent.append(cast(HeadAnswer, message)))

    async def run_calls() -> tuple[OrderReply, set[int], set[int]]:
        loop = asyncio.get_running_loop()
        first, second = ScriptedPlane(handler), ScriptedPlane(handler)
        first_calls = ControlCalls(cast(PlanePort, first), loop, first_ticket(Random(1)))
        first_order = asyncio.ensure_future(first_calls.order("PUT", "0", b"of the first life"))
        await asyncio.sleep(0)
        second_calls = ControlCalls(cast(PlanePort, second), loop, first_ticket(Random(2)))
        second_order = asyncio.ensure_future(second_calls.order("PUT", "1", b"of the second life"))
        await asyncio.sleep(0)
        for ticket, command in list(replica.commands.items()):
            which = b"first" if b"of the first life" in command else b"second"
            handler.deliver_answer(Answer(ticket, Outcome.DONE, reply_to(which)))
        for answer in sent:
            second_calls.complete_call(Finished(answer.ticket, answer.reply))
        reply = await asyncio.wait_for(second_order, 1.0)
        first_order.cancel()
        return reply, set(first.tickets), set(second.tickets)

    reply, first_tickets, second_tickets = asyncio.run(run_calls())
    assert reply.body == b"second"
    assert not first_tickets & second_tickets


def test_a_call_that_is_sent_again_joins_the_first_and_is_answered_once() -> None:
    replica = HoldingReplica()
    sent: list[Any] = []
    handler = HeadCalls(cast(Replica, replica), lambda ip, message: sent.append((ip, message)))
    call = HeadCall(first_ticket(Random(3)), CallKind.ORDER.value, b"order")
    handler.handle_call(0.0, PROXY, call)
    handler.handle_call(0.4, PROXY, call)
    assert len(replica.commands) == 1
    (ticket,) = replica.commands
    handler.deliver_answer(Answer(ticket, Outcome.DONE, b"reply"))
    assert sent == [(PROXY, HeadAnswer(call.ticket, True, b"reply"))]


def test_a_copy_of_an_answered_order_gets_the_same_answer_and_is_not_decided_again() -> None:
    """The order names a later version and is rejected; that version exists when the copy arrives."""
    replica = HoldingReplica()
    sent: list[Any] = []
    handler = HeadCalls(cast(Replica, replica), lambda ip, message: sent.append(message))
    call = HeadCall(first_ticket(Random(3)), CallKind.ORDER.value, b"order on version 8")
    handler.handle_call(0.0, PROXY, call)
    (ticket,) = replica.commands
    handler.deliver_answer(Answer(ticket, Outcome.DONE, encode(OrderReply(412, b"", 7))))
    handler.handle_call(0.4, PROXY, call)
    assert len(replica.commands) == 1
    assert [answer.reply for answer in sent] == [encode(OrderReply(412, b"", 7))] * 2


def test_an_unclear_answer_is_no_answer_and_reads_are_always_made_anew() -> None:
    replica = HoldingReplica()
    handler = HeadCalls(cast(Replica, replica), lambda ip, message: None)
    order = HeadCall(first_ticket(Random(3)), CallKind.ORDER.value, b"order")
    read = HeadCall(order.ticket + 1, CallKind.READ.value, b"")
    for call, outcome in ((order, Outcome.UNAVAILABLE), (read, Outcome.DONE)):
        before = len(replica.commands)
        handler.handle_call(0.0, PROXY, call)
        handler.deliver_answer(Answer(max(replica.commands), outcome, b"state"))
        handler.handle_call(0.4, PROXY, call)
        assert len(replica.commands) == before + 2


def test_answers_are_kept_for_a_bounded_number_of_orders() -> None:
    replica = HoldingReplica()
    handler = HeadCalls(cast(Replica, replica), lambda ip, message: None)
    for number in range(4 * MAX_REMEMBERED_ANSWERS):
        handler.handle_call(0.0, PROXY, HeadCall(number, CallKind.ORDER.value, b"order"))
        handler.deliver_answer(Answer(max(replica.commands), Outcome.DONE, b"x" * 5))
    assert len(handler._recent_answers) == MAX_REMEMBERED_ANSWERS
    assert not handler._pending_orders and not handler._pending


def test_tickets_of_many_lives_never_meet_and_fit_their_field() -> None:
    firsts = [first_ticket(Random(seed)) for seed in range(2000)]
    assert len({first >> 20 for first in firsts}) == len(firsts)
    largest = HeadCall(max(firsts) + 2**20 - 1, CallKind.READ.value, b"")
    assert list(Decoder().feed(encode(largest))) == [largest]
