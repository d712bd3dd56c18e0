"""States of a call and of its attempts; what happens to them; what is to be done about it.

Calls are numbered by whoever drives the lifecycle, attempts from 0 in the order of their sends. What
comes from clients and from sources of servers is told in the vocabulary of `cloverrouter.interface`
(`RequestArrived`, `RequestCompleted`, `RequestGone`, `TimerFired`, `Cordon`, `PartTaken`); here stand the
happenings that the decision module never sees in this form.

None of these is changed once it is made. They are not frozen, since several are made for each request and a
frozen one takes three times as long to make.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from enum import Enum

from cloverrouter.interface import (
    Cordon,
    Cordoned,
    EndpointsListed,
    Event,
    Outcome,
    PartTaken,
    ProbeEnded,
    RequestArrived,
    RequestCompleted,
    RequestGone,
    SetTimer,
    TimerFired,
)

Target = Hashable
"""Where an endpoint is reached, such as an address: compared, never read."""


class CallState(Enum):
    """What is owed to a client."""

    UPLOADING = "uploading"  # its request is still coming; its time has not begun
    OPEN = "open"  # a final answer is owed
    STREAMING = "streaming"  # an answer has begun: what is left to do is to end it, or visibly cut it
    ANSWERED = "answered"  # served, refused or failed
    CUT = "cut"  # its answer had begun and could not be finished
    LEFT = "left"  # the client has gone: nobody wants an answer

    @property
    def final(self) -> bool:
        """Is nothing owed any more? What is still out ends without an effect on the client."""
        return self in FINAL


FINAL = (CallState.ANSWERED, CallState.CUT, CallState.LEFT)


class AttemptState(Enum):
    """How far an attempt has come. Up to `WRITING` it has surely not run."""

    CONNECTING = "connecting"  # no byte has gone out
    WRITING = "writing"  # some have, but not the last
    WRITTEN = "written"  # all of it is out: it may have run
    HELD = "held"  # an answer has begun that is held for a moment, to see whether it is short
    STREAMING = "streaming"  # its answer is passed on while it comes
    ENDED = "ended"

    @property
    def unsent(self) -> bool:
        """Has it surely not run, since its last byte never went out?"""
        return self in UNSENT


UNSENT = (AttemptState.CONNECTING, AttemptState.WRITING)


# What happens, beside what clients and sources tell in the vocabulary of the interface.


@dataclass(slots=True)
class Listed:
    """A list came; `targets` is where requests may go from now on, by endpoint."""

    event: EndpointsListed
    targets: Mapping[str, Target]


@dataclass(slots=True)
class BodyTaken:
    """A piece of a call's body has gone out and is not kept: it can't be sent to another server."""

    call: int


@dataclass(slots=True)
class Written:
    """The last byte of an attempt has been handed over: from here on it may have run."""

    call: int
    attempt: int


@dataclass(slots=True)
class AnswerHeld:
    """A good answer of unknown length has begun, and is held for a moment."""

    call: int
    attempt: int


@dataclass(slots=True)
class AnswerBegun:
    """An answer is ready to be passed on while it comes. Wanted only if `Begin` follows."""

    call: int
    attempt: int


@dataclass(slots=True)
class Ended:
    """An attempt has ended by itself. `answer` goes to the client as it is, if it is wanted."""

    call: int
    attempt: int
    outcome: Outcome
    answer: object | None = None
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class TimeUp:
    """The time given to an attempt is over."""

    call: int
    attempt: int


@dataclass(slots=True)
class TooLate:
    """The time is over within which an attempt had to go out."""

    call: int
    attempt: int


@dataclass(slots=True)
class Halted:
    """The process ends now: what is owed is answered as failed, and what still comes is refused."""


Happening = (
    RequestArrived
    | RequestCompleted
    | RequestGone
    | Listed
    | BodyTaken
    | Written
    | AnswerHeld
    | AnswerBegun
    | Ended
    | TimeUp
    | TooLate
    | Halted
    | TimerFired
    | Cordon
    | PartTaken
    | ProbeEnded
)


# What is to be done.


@dataclass(slots=True)
class Tell:
    """Hand this to the decision module."""

    event: Event


@dataclass(slots=True)
class Start:
    """Send a call to an endpoint; `TimeUp` is due after `timeout_ms`, None: not yet, while it uploads.
    `TooLate` is due after `out_within_ms`, and nothing goes out then, whether it has been told or not."""

    call: int
    attempt: int
    endpoint: str
    target: Target
    timeout_ms: float | None
    out_within_ms: float = float("inf")


@dataclass(slots=True)
class SetDue:
    """`TimeUp` is due so long from now, in place of what was said before."""

    call: int
    attempt: int
    timeout_ms: float


@dataclass(slots=True)
class PassOn:
    """Pass the held answer of this attempt on from now; `AnswerBegun` is the reply."""

    call: int
    attempt: int


@dataclass(slots=True)
class Abandon:
    """Stop this attempt from our side: what has not gone out never will, and no `Ended` follows."""

    call: int
    attempt: int


@dataclass(slots=True)
class Begin:
    """The answer of this attempt goes to the client while it comes; its time is no longer watched."""

    call: int
    attempt: int


@dataclass(slots=True)
class Serve:
    """Final: this answer, whole."""

    call: int
    answer: object


@dataclass(slots=True)
class GiveRefusal:
    """Final: refused; coming again is harmless, best after this long."""

    call: int
    retry_after_ms: float


@dataclass(slots=True)
class GiveFailure:
    """Final: failed."""

    call: int


@dataclass(slots=True)
class Forget:
    """Nothing is owed to the call and nothing of it is out: its number means nothing any more."""

    call: int


@dataclass(slots=True)
class AskDiscovery:
    """The list, and what changes from now on, is to be asked for."""


@dataclass(slots=True)
class Note:
    """A line for the log."""

    text: str


Effect = (
    Tell
    | Start
    | SetDue
    | PassOn
    | Abandon
    | Begin
    | Serve
    | GiveRefusal
    | GiveFailure
    | Forget
    | AskDiscovery
    | Note
    | SetTimer
    | Cordoned
)
