"""The head's side of forwarded calls: each under way once, answered to whoever asked."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterable

from cloverrouter.control.forwarding import CallKind, HeadAnswer, HeadCall
from cloverrouter.control.orders import OrderReply
from cloverrouter.coordination.effects import Answer, Effect, Outcome
from cloverrouter.coordination.replica import Replica
from cloverrouter.messages import encode

ANSWERS_KEPT = 64
MAX_KEPT_BYTES = 16 * 1024
TOO_LARGE = OrderReply(413, b'{"error-message":"the configuration would outgrow the disks"}', 0)


class HeadDesk:
    """Calls that this machine's replica was asked by proxies. A call that is sent again joins the first.

    One that comes again after its answer gets the same answer. Danger: decided a second time, an order that
    was refused for building on a version to come could be taken, once that version is there.
    """

    def __init__(self, replica: Replica, send: Callable[[str, object], None]) -> None:
        self._replica = replica
        self._send = send
        self._tickets = itertools.count(1)
        self._asked: dict[int, tuple[str, int]] = {}
        self._under_way: set[tuple[str, int]] = set()
        self._orders: set[tuple[str, int]] = set()  # those of them that are orders
        self._answered: OrderedDict[tuple[str, int], HeadAnswer] = OrderedDict()  # orders, lately

    def called(self, now: float, ip: str, call: HeadCall) -> Iterable[Effect]:
        """A proxy's call; gives the replica's effects."""
        key = (ip, call.ticket)
        if key in self._under_way:
            return ()
        known = self._answered.get(key)
        if known is not None:
            self._send(ip, known)
            return ()
        ticket = next(self._tickets)
        self._asked[ticket] = key
        self._under_way.add(key)
        if call.kind == CallKind.READ.value:
            return self._replica.read(now, ticket)
        self._orders.add(key)
        return self._replica.submit(now, ticket, call.command)

    def answered(self, answer: Answer) -> None:
        """The replica's answer goes to whoever asked."""
        key = self._asked.pop(answer.ticket, None)
        if key is None:
            return
        self._under_way.discard(key)
        ip, ticket = key
        if answer.outcome is Outcome.DONE:
            reply = HeadAnswer(ticket, True, answer.reply)
        elif answer.outcome is Outcome.TOO_LARGE:
            reply = HeadAnswer(ticket, True, encode(TOO_LARGE))
        else:
            reply = HeadAnswer(ticket, False, b"")
        if key in self._orders:
            self._orders.discard(key)
            self._keep(key, reply)
        self._send(ip, reply)

    def _keep(self, key: tuple[str, int], reply: HeadAnswer) -> None:
        """A clear answer to an order holds for copies of it that are still on their way."""
        if not reply.done or len(reply.reply) > MAX_KEPT_BYTES:
            return
        self._answered[key] = reply
        if len(self._answered) > ANSWERS_KEPT:
            self._answered.popitem(last=False)
