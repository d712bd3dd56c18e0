"""The head's side of forwarded calls: each under way once, answered to whoever asked."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

from cloverrouter.control.forwarding import HeadAnswer, HeadCall, Kind
from cloverrouter.control.orders import OrderReply
from cloverrouter.coordination.effects import Answer, Effect, Outcome
from cloverrouter.coordination.replica import Replica
from cloverrouter.messages import encode

TOO_LARGE = OrderReply(413, b'{"error-message":"the configuration would outgrow the disks"}', 0)


class HeadDesk:
    """Calls that this machine's replica was asked by proxies. A call that is sent again joins the first."""

    def __init__(self, replica: Replica, send: Callable[[str, object], None]) -> None:
        self._replica = replica
        self._send = send
        self._tickets = itertools.count(1)
        self._asked: dict[int, tuple[str, int]] = {}
        self._under_way: set[tuple[str, int]] = set()

    def called(self, now: float, ip: str, call: HeadCall) -> Iterable[Effect]:
        """A proxy's call; gives the replica's effects."""
        key = (ip, call.ticket)
        if key in self._under_way:
            return ()
        ticket = next(self._tickets)
        self._asked[ticket] = key
        self._under_way.add(key)
        if call.kind == Kind.READ.value:
            return self._replica.read(now, ticket)
        return self._replica.submit(now, ticket, call.command)

    def answered(self, answer: Answer) -> None:
        """The replica's answer goes to whoever asked."""
        key = self._asked.pop(answer.ticket, None)
        if key is None:
            return
        self._under_way.discard(key)
        ip, ticket = key
        if answer.outcome is Outcome.DONE:
            self._send(ip, HeadAnswer(ticket, True, answer.reply))
        elif answer.outcome is Outcome.TOO_LARGE:
            self._send(ip, HeadAnswer(ticket, True, encode(TOO_LARGE)))
        else:
            self._send(ip, HeadAnswer(ticket, False, b""))
