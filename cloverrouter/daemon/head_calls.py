"""The head's side of forwarded calls: runs each call once and answers its caller."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterable

from cloverrouter.control.forwarding import CallKind, HeadAnswer, HeadCall
from cloverrouter.control.orders import OrderReply
from cloverrouter.coordination.effects import Answer, Effect, Outcome
from cloverrouter.coordination.replica import Replica
from cloverrouter.messages import encode

MAX_REMEMBERED_ANSWERS = 64
MAX_REMEMBERED_BYTES = 16 * 1024
TOO_LARGE = OrderReply(413, b'{"error-message":"the configuration would outgrow the disks"}', 0)


class HeadCalls:
    """Passes the proxies' calls to this machine's replica, and its answers back to them.

    A retransmitted call joins the pending one. A retransmitted order that has been answered gets the same
    answer: were it decided again, an order that was rejected because it names a later version could be
    accepted once that version exists.
    """

    def __init__(self, replica: Replica, send: Callable[[str, object], None]) -> None:
        self._replica = replica
        self._send = send
        self._tickets = itertools.count(1)
        self._callers: dict[int, tuple[str, int]] = {}
        self._pending: set[tuple[str, int]] = set()
        self._pending_orders: set[tuple[str, int]] = set()  # the pending calls that are orders
        self._recent_answers: OrderedDict[tuple[str, int], HeadAnswer] = OrderedDict()  # of orders only

    def handle_call(self, now: float, ip: str, call: HeadCall) -> Iterable[Effect]:
        """Handles a proxy's call and returns the replica's effects."""
        key = (ip, call.ticket)
        if key in self._pending:
            return ()
        previous = self._recent_answers.get(key)
        if previous is not None:
            self._send(ip, previous)
            return ()
        ticket = next(self._tickets)
        self._callers[ticket] = key
        self._pending.add(key)
        if call.kind == CallKind.READ.value:
            return self._replica.read(now, ticket)
        self._pending_orders.add(key)
        return self._replica.submit(now, ticket, call.command)

    def deliver_answer(self, answer: Answer) -> None:
        """Sends the replica's answer to the caller."""
        key = self._callers.pop(answer.ticket, None)
        if key is None:
            return
        self._pending.discard(key)
        ip, ticket = key
        if answer.outcome is Outcome.DONE:
            reply = HeadAnswer(ticket, True, answer.reply)
        elif answer.outcome is Outcome.TOO_LARGE:
            reply = HeadAnswer(ticket, True, encode(TOO_LARGE))
        else:
            reply = HeadAnswer(ticket, False, b"")
        if key in self._pending_orders:
            self._pending_orders.discard(key)
            self._remember(key, reply)
        self._send(ip, reply)

    def _remember(self, key: tuple[str, int], reply: HeadAnswer) -> None:
        """Remembers a definite answer to an order, for retransmitted copies that are still in flight."""
        if not reply.done or len(reply.reply) > MAX_REMEMBERED_BYTES:
            return
        self._recent_answers[key] = reply
        if len(self._recent_answers) > MAX_REMEMBERED_ANSWERS:
            self._recent_answers.popitem(last=False)
