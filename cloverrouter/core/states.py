"""States of a call and of its attempts, the events that change them, and the resulting effects.

The driver of the lifecycle numbers the calls; attempts are numbered from 0 in sending order. Events from
clients and discovery use the types of `cloverrouter.interface`: `RequestArrived`, `RequestCompleted`,
`ClientDisconnected`, `TimerFired`, `Cordon` and `ShareAssigned`. This module defines the events that the
decision module does not see in this form.

None of these objects is modified after its creation. They are not frozen, because several are created per
request and a frozen dataclass takes three times as long to create.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from enum import Enum

from cloverrouter.interface import (
    ClientDisconnected,
    Cordon,
    CordonResult,
    EndpointsListed,
    Event,
    Outcome,
    ProbeEnded,
    RequestArrived,
    RequestCompleted,
    SetTimer,
    ShareAssigned,
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
class TargetsListed:
    """A list arrived; `targets` maps each endpoint that may get requests from now on to its target."""

    event: EndpointsListed
    targets: Mapping[str, Target]


@dataclass(slots=True)
class BodyConsumed:
    """Part of a call's body was sent and not kept: the call cannot be sent to another server."""

    call: int


@dataclass(slots=True)
class RequestWritten:
    """The last byte of an attempt was sent: from here on it may have run."""

    call: int
    attempt: int


@dataclass(slots=True)
class ResponseHeld:
    """A good response of unknown length has started and is held for a moment."""

    call: int
    attempt: int


@dataclass(slots=True)
class ResponseStarted:
    """A response is ready to be streamed. It is accepted only if `StartStreaming` follows."""

    call: int
    attempt: int


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended by itself. `answer` is delivered to the client unchanged, if it is still
    needed."""

    call: int
    attempt: int
    outcome: Outcome
    answer: object | None = None
    report: tuple[float, ...] | None = None


@dataclass(slots=True)
class AttemptTimedOut:
    """The timeout of an attempt has expired."""

    call: int
    attempt: int


@dataclass(slots=True)
class SendWindowExpired:
    """The time within which an attempt had to be sent has expired."""

    call: int
    attempt: int


@dataclass(slots=True)
class ProcessHalted:
    """The process exits: pending calls are answered as failed, and new ones are refused."""


LifecycleEvent = (
    RequestArrived
    | RequestCompleted
    | ClientDisconnected
    | TargetsListed
    | BodyConsumed
    | RequestWritten
    | ResponseHeld
    | ResponseStarted
    | AttemptFinished
    | AttemptTimedOut
    | SendWindowExpired
    | ProcessHalted
    | TimerFired
    | Cordon
    | ShareAssigned
    | ProbeEnded
)


# Effects.


@dataclass(slots=True)
class NotifyBalancer:
    """Pass this event to the decision module."""

    event: Event


@dataclass(slots=True)
class StartAttempt:
    """Send a call to an endpoint.

    `AttemptTimedOut` is due after `timeout_ms`; None: no timeout yet, as the call is uploading.
    `SendWindowExpired` is due after `send_within_ms`; nothing may be sent after that, even if the
    event is still pending.
    """

    call: int
    attempt: int
    endpoint: str
    target: Target
    timeout_ms: float | None
    send_within_ms: float = float("inf")


@dataclass(slots=True)
class SetAttemptTimeout:
    """Replace the timeout of an attempt: `AttemptTimedOut` is due this long from now."""

    call: int
    attempt: int
    timeout_ms: float


@dataclass(slots=True)
class StreamHeldResponse:
    """Stream the held response of this attempt from now on; answered by `ResponseStarted`."""

    call: int
    attempt: int


@dataclass(slots=True)
class AbortAttempt:
    """Abort this attempt: unsent bytes are never sent, and no `AttemptFinished` follows."""

    call: int
    attempt: int


@dataclass(slots=True)
class StartStreaming:
    """Stream the response of this attempt to the client; its timeout no longer applies."""

    call: int
    attempt: int


@dataclass(slots=True)
class DeliverResponse:
    """Final answer: this complete response."""

    call: int
    answer: object


@dataclass(slots=True)
class DeliverRefusal:
    """Final answer: refused. A retry is safe, preferably after this delay."""

    call: int
    retry_after_ms: float


@dataclass(slots=True)
class DeliverFailure:
    """Final answer: failed."""

    call: int


@dataclass(slots=True)
class ReleaseCall:
    """The call needs no answer and has no attempt in flight: its number is no longer valid."""

    call: int


@dataclass(slots=True)
class QueryDiscovery:
    """Request the list and all later changes from discovery."""


@dataclass(slots=True)
class WriteLog:
    """Write a line to the log."""

    text: str


Effect = (
    NotifyBalancer
    | StartAttempt
    | SetAttemptTimeout
    | StreamHeldResponse
    | AbortAttempt
    | StartStreaming
    | DeliverResponse
    | DeliverRefusal
    | DeliverFailure
    | ReleaseCall
    | QueryDiscovery
    | WriteLog
    | SetTimer
    | CordonResult
)
