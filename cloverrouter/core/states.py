"""States of a call and of its attempts, the events that change them, and the resulting effects.

The driver of the lifecycle numbers the calls; attempts are numbered from 0 in sending order. Events from
clients and discovery use the types of `cloverrouter.interface`: `RequestArrived`, `RequestCompleted`,
`RequestGone`, `TimerFired`, `Cordon` and `PartTaken`. This module defines the events that the
decision module does not see in this form.

None of these objects is modified after its creation. They are not frozen, because several are created per
request and a frozen dataclass takes three times as long to create.
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
"""How an endpoint is reached, such as an address: compared, never parsed."""


class CallState(Enum):
    """State of a call, by what its client still needs."""

    UPLOADING = "uploading"  # the request is still arriving; its time has not started
    OPEN = "open"  # a final answer is pending
    STREAMING = "streaming"  # a response has started; it can only be finished or visibly truncated
    ANSWERED = "answered"  # answered with a response, a refusal or a failure
    CUT = "cut"  # truncated: the response had started and could not be finished
    LEFT = "left"  # the client disconnected; no answer is needed

    @property
    def final(self) -> bool:
        """Whether the client needs nothing more. Attempts in flight then end without effect on the client."""
        return self in FINAL


FINAL = (CallState.ANSWERED, CallState.CUT, CallState.LEFT)


class AttemptState(Enum):
    """Progress of an attempt. Up to `WRITING` it has certainly not run."""

    CONNECTING = "connecting"  # no byte was sent
    WRITING = "writing"  # some bytes were sent, but not the last
    WRITTEN = "written"  # the whole request was sent: it may have run
    HELD = "held"  # a response has started and is held for a moment, to see whether it is short
    STREAMING = "streaming"  # its response is being streamed
    ENDED = "ended"

    @property
    def unsent(self) -> bool:
        """Whether it has certainly not run, because its last byte was not sent."""
        return self in UNSENT


UNSENT = (AttemptState.CONNECTING, AttemptState.WRITING)


# Events, in addition to those of the interface.


@dataclass(slots=True)
class Listed:
    """A list arrived; `targets` maps each endpoint that may get requests from now on to its target."""

    event: EndpointsListed
    targets: Mapping[str, Target]


@dataclass(slots=True)
class BodyTaken:
    """Part of a call's body was sent and not kept: the call cannot be sent to another server."""

    call: int


@dataclass(slots=True)
class Written:
    """The last byte of an attempt was sent: from here on it may have run."""

    call: int
    attempt: int


@dataclass(slots=True)
class AnswerHeld:
    """A good response of unknown length has started and is held for a moment."""

    call: int
    attempt: int


@dataclass(slots=True)
class AnswerBegun:
    """A response is ready to be streamed. It is accepted only if `Begin` follows."""

    call: int
    attempt: int


@dataclass(slots=True)
class Ended:
    """An attempt has ended by itself. `answer` is delivered to the client unchanged, if it is still
    needed."""

    call: int
    attempt: int
    outcome: Outcome
    answer: object | None = None
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class TimeUp:
    """The timeout of an attempt has expired."""

    call: int
    attempt: int


@dataclass(slots=True)
class TooLate:
    """The time within which an attempt had to be sent has expired."""

    call: int
    attempt: int


@dataclass(slots=True)
class Halted:
    """The process exits: pending calls are answered as failed, and new ones are refused."""


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


# Effects.


@dataclass(slots=True)
class Tell:
    """Pass this event to the decision module."""

    event: Event


@dataclass(slots=True)
class Start:
    """Send a call to an endpoint.

    `TimeUp` is due after `timeout_ms`; None: no timeout yet, as the call is uploading.
    `TooLate` is due after `out_within_ms`; nothing may be sent after that, even if the
    event is still pending.
    """

    call: int
    attempt: int
    endpoint: str
    target: Target
    timeout_ms: float | None
    out_within_ms: float = float("inf")


@dataclass(slots=True)
class SetDue:
    """Replace the timeout of an attempt: `TimeUp` is due this long from now."""

    call: int
    attempt: int
    timeout_ms: float


@dataclass(slots=True)
class PassOn:
    """Stream the held response of this attempt from now on; answered by `AnswerBegun`."""

    call: int
    attempt: int


@dataclass(slots=True)
class Abandon:
    """Abort this attempt: unsent bytes are never sent, and no `Ended` follows."""

    call: int
    attempt: int


@dataclass(slots=True)
class Begin:
    """Stream the response of this attempt to the client; its timeout no longer applies."""

    call: int
    attempt: int


@dataclass(slots=True)
class Serve:
    """Final answer: this complete response."""

    call: int
    answer: object


@dataclass(slots=True)
class GiveRefusal:
    """Final answer: refused. A retry is safe, preferably after this delay."""

    call: int
    retry_after_ms: float


@dataclass(slots=True)
class GiveFailure:
    """Final answer: failed."""

    call: int


@dataclass(slots=True)
class Forget:
    """The call needs no answer and has no attempt in flight: its number is no longer valid."""

    call: int


@dataclass(slots=True)
class AskDiscovery:
    """Request the list and all later changes from discovery."""


@dataclass(slots=True)
class Note:
    """Write a line to the log."""

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
