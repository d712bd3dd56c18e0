"""Forwarding of calls that only the head of the chain can answer, with retries and timeouts.

Any proxy may receive such a call. This is a pure core without I/O: each call has a ticket chosen by the
caller, and the answer carries the same ticket. The head may change while a call is pending. Sending an order
twice is harmless, because the head recognizes orders that it has already accepted.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from random import Random

import attrs

from cloverrouter.messages import message

RESEND_S = 0.35  # interval between retries of a call without an answer
TICKET_RANDOM_BITS = 42
TICKET_COUNTER_BITS = 20  # a process forwards fewer than 2 ** 20 calls
FORWARD_TIMEOUT_S = 3.6  # an order must be acknowledged within 4 s; clients retry a read themselves
NO_QUORUM_TIMEOUT_S = 1.0  # timeout while no majority of the voters is reachable
MIN_LINK_BYTES_PER_S = 250_000  # minimum throughput of a link; a call still in transfer is not resent


def first_ticket(random: Random) -> int:
    """Returns the first ticket of a process. It differs from those of earlier processes at its address.

    A head may still hold a call of an earlier process at the same address. If a new call had the same ticket,
    the head would treat it as a retry of that call, and its caller would get the answer to the other call.
    """
    return random.getrandbits(TICKET_RANDOM_BITS) << TICKET_COUNTER_BITS


class CallKind(Enum):
    """The kind of a call."""

    ORDER = 0
    READ = 1


@message(330)
class HeadCall:
    """A call for the head. `ticket`: see `first_ticket`; `kind`: a value of `CallKind`; `command`: the
    encoded order, empty for a read."""

    ticket: int
    kind: int
    command: bytes


@message(331)
class HeadAnswer:
    """The answer to a `HeadCall`. `done` is false if the sender is not the head or can't decide now; the call
    is then to be retried."""

    ticket: int
    done: bool
    reply: bytes


@attrs.frozen(slots=True)
class SendCall:
    """The call is to be sent to the machine `ip`."""

    ip: str
    call: HeadCall


@attrs.frozen(slots=True)
class Finished:
    """The call is finished. `reply` is None if it timed out. `was_sent`: it was sent to some head, which may
    have accepted it."""

    ticket: int
    reply: bytes | None
    was_sent: bool = True


@attrs.define(slots=True)
class _Pending:
    call: HeadCall
    submitted_at: float
    send_at: float
    was_sent: bool = False
    unsent_bytes: int = 0  # in the send buffer of the link to the head
    progress_at: float = 0.0  # when `unsent_bytes` last decreased

    @property
    def transfer_s(self) -> float:
        """The longest transfer time of the call, once all of it has left the send buffer."""
        return len(self.call.command) / MIN_LINK_BYTES_PER_S

    def record_progress(self, now: float, unsent_bytes: int) -> None:
        """Records the number of bytes in the send buffer."""
        if unsent_bytes < self.unsent_bytes:
            self.progress_at = now
        self.unsent_bytes = unsent_bytes

    def has_timed_out(self, now: float, timeout_s: float) -> bool:
        """Returns whether `timeout_s` has passed since the submission and since the last progress."""
        return now - max(self.submitted_at, self.progress_at) >= timeout_s


class Forwarder:
    """The calls of one proxy that wait for the head's answer."""

    def __init__(self, unsent_bytes: Callable[[str], int] = lambda ip: 0) -> None:
        """`unsent_bytes`: returns the number of bytes in the send buffer of the link to a machine."""
        self._unsent_bytes = unsent_bytes
        self._head: str | None = None
        self._has_quorum = True
        self._pending: dict[int, _Pending] = {}

    def head_changed(self, now: float, head: str | None) -> list[SendCall | Finished]:
        """Records that another machine is the head, or that none is known. Resends pending calls at once."""
        if head == self._head:
            return []
        self._head = head
        for pending in self._pending.values():
            pending.send_at = now
        return self.tick(now)

    def set_quorum_contact(self, has_quorum: bool) -> None:
        """Sets whether a majority of the voters was heard from lately. Without it no head can answer."""
        self._has_quorum = has_quorum

    def submit(self, now: float, ticket: int, kind: CallKind, command: bytes) -> list[SendCall | Finished]:
        """Submits a call. It is sent once a head is known."""
        call = HeadCall(ticket, kind.value, command)
        self._pending[ticket] = _Pending(call, now, now)
        return self.tick(now)

    def handle_answer(self, now: float, answer: HeadAnswer) -> list[SendCall | Finished]:
        """Handles an answer: finishes the call, or schedules a retry if the answer is not `done`."""
        pending = self._pending.get(answer.ticket)
        if pending is None:
            return []
        if not answer.done:
            pending.send_at = min(pending.send_at, now + RESEND_S / 3)
            return []
        del self._pending[answer.ticket]
        return [Finished(answer.ticket, answer.reply)]

    def tick(self, now: float) -> list[SendCall | Finished]:
        """Resends calls without an answer and finishes those that have timed out. Called periodically."""
        effects: list[SendCall | Finished] = []
        unsent_bytes = self._unsent_bytes(self._head) if self._head is not None else 0
        for ticket, pending in list(self._pending.items()):
            pending.record_progress(now, unsent_bytes)
            timeout_s = FORWARD_TIMEOUT_S + pending.transfer_s if self._has_quorum else NO_QUORUM_TIMEOUT_S
            if pending.has_timed_out(now, timeout_s):
                del self._pending[ticket]
                effects.append(Finished(ticket, None, pending.was_sent))
            elif self._head is not None and now >= pending.send_at:
                pending.send_at = now + max(RESEND_S, pending.transfer_s)
                pending.was_sent = True
                effects.append(SendCall(self._head, pending.call))
        return effects
