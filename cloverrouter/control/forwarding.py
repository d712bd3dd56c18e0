"""Calls that only the head of the chain can answer, from whichever proxy took them: sent, resent, given up.

A pure core: calls come with a ticket of the caller's choosing, answers go back by it. The head may change
while a call is under way; sending an order twice is harmless, as the head knows orders that it has taken.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from random import Random

import attrs

from cloverrouter.messages import message

RESEND_S = 0.35
LIFE_BITS = 42
CALL_BITS = 20  # a process takes fewer calls than 2 ** 20 in its life
GIVE_UP_S = 3.6  # an order wants its acknowledgement within 4 s; a read is asked again by its caller
OUT_OF_TOUCH_S = 1.0  # where no majority of the voters is heard, an answer is waited for only for so long
SLOWEST_BYTES_A_SECOND = 250_000  # that a link surely carries: what is still on its way is not sent again


def first_ticket(random: Random) -> int:
    """Where a process begins to number its calls, apart from all processes that had its address before.

    Danger: a head may still hold a call of an earlier process at the same address. Numbered alike, a new call
    would be taken for that one sent again, and its caller would get the answer to the other."""
    return random.getrandbits(LIFE_BITS) << CALL_BITS


class Kind(Enum):
    ORDER = 0
    READ = 1


@message(330)
class HeadCall:
    """A call for the head. `ticket`: see `first_ticket`; `kind`: see `Kind`; `command`: of an order, empty
    for a read."""

    ticket: int
    kind: int
    command: bytes


@message(331)
class HeadAnswer:
    """The head's answer. Where `done` is false it is not the head, or can't tell now: ask again later."""

    ticket: int
    done: bool
    reply: bytes


@attrs.frozen(slots=True)
class SendCall:
    ip: str
    call: HeadCall


@attrs.frozen(slots=True)
class Finished:
    """The call has its answer; `reply` is None if it was given up. `was_sent`: it went out to some head,
    which may have taken it."""

    ticket: int
    reply: bytes | None
    was_sent: bool = True


@attrs.define(slots=True)
class _Pending:
    call: HeadCall
    asked_at: float
    send_at: float
    was_sent: bool = False
    unsent: int = 0  # bytes that wait for the link to the head
    progress_at: float = 0.0  # when they were last fewer

    @property
    def on_its_way_s(self) -> float:
        """For how long the call may be on its way once the link has taken all of it."""
        return len(self.call.command) / SLOWEST_BYTES_A_SECOND

    def notice_progress(self, now: float, unsent: int) -> None:
        """So many bytes wait for the link now."""
        if unsent < self.unsent:
            self.progress_at = now
        self.unsent = unsent

    def is_late(self, now: float, patience_s: float) -> bool:
        """Whether it has waited too long since it was asked, or since the link took a part of it."""
        return now - max(self.asked_at, self.progress_at) >= patience_s


class Forwarder:
    """The calls of one proxy that wait for the head's answer."""

    def __init__(self, unsent: Callable[[str], int] = lambda ip: 0) -> None:
        """`unsent`: how many bytes wait for the link to a machine."""
        self._unsent = unsent
        self._head: str | None = None
        self._is_in_touch = True
        self._pending: dict[int, _Pending] = {}

    def head_changed(self, now: float, head: str | None) -> list[SendCall | Finished]:
        """Another machine is head now, or none is known."""
        if head == self._head:
            return []
        self._head = head
        for pending in self._pending.values():
            pending.send_at = now
        return self.tick(now)

    def in_touch(self, confirmed: bool) -> None:
        """Whether this machine has heard a majority of the voters lately: else no head can answer it."""
        self._is_in_touch = confirmed

    def ask(self, now: float, ticket: int, kind: Kind, command: bytes) -> list[SendCall | Finished]:
        call = HeadCall(ticket, kind.value, command)
        self._pending[ticket] = _Pending(call, now, now)
        return self.tick(now)

    def answered(self, now: float, answer: HeadAnswer) -> list[SendCall | Finished]:
        pending = self._pending.get(answer.ticket)
        if pending is None:
            return []
        if not answer.done:
            pending.send_at = min(pending.send_at, now + RESEND_S / 3)
            return []
        del self._pending[answer.ticket]
        return [Finished(answer.ticket, answer.reply)]

    def tick(self, now: float) -> list[SendCall | Finished]:
        effects: list[SendCall | Finished] = []
        unsent = self._unsent(self._head) if self._head is not None else 0
        for ticket, pending in list(self._pending.items()):
            pending.notice_progress(now, unsent)
            patience_s = GIVE_UP_S + pending.on_its_way_s if self._is_in_touch else OUT_OF_TOUCH_S
            if pending.is_late(now, patience_s):
                del self._pending[ticket]
                effects.append(Finished(ticket, None, pending.was_sent))
            elif self._head is not None and now >= pending.send_at:
                pending.send_at = now + max(RESEND_S, pending.on_its_way_s)
                pending.was_sent = True
                effects.append(SendCall(self._head, pending.call))
        return effects
