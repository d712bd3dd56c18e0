"""State table of a connection that carries one exchange at a time: (state, event) to (state, action).

A connection is usable only while responses cannot be confused: bytes that arrive while no request is pending,
or after a response, would be taken for the next response. Therefore a connection is closed at the first byte
that does not belong to its exchange, at anything unreadable, and when its exchange is abandoned. It becomes
idle only after a complete response to a complete request.

A response of unknown length is held for a moment, to see whether it is short. From `PASSING` on it is being
streamed to the client; the connection then ends with the response or visibly truncates it.

    CONNECTING -> IDLE -> AWAITING -> (HOLDING ->) (PASSING ->) IDLE
    any -> CLOSED, which is final

This module knows no socket and no protocol: the code that reads the bytes reports the events.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """States of a connection."""

    CONNECTING = "connecting"
    IDLE = "idle"
    AWAITING = "awaiting"  # a request is assigned; no response has been accepted yet
    HOLDING = "holding"  # a good response of unknown length has started
    PASSING = "passing"  # a response is being streamed to the client
    CLOSED = "closed"

    @property
    def busy(self) -> bool:
        """Whether the connection carries an exchange."""
        return self in BUSY

    __hash__ = object.__hash__  # compared by identity; the hash of Enum is slow


BUSY = (State.AWAITING, State.HOLDING, State.PASSING)


class Event(Enum):
    """Events that drive a connection."""

    __hash__ = object.__hash__

    OPENED = "opened"  # the connection is established
    ASSIGNED = "assigned"  # a request is sent on it
    OPEN_ENDED = "open-ended"  # a good response has started that does not state its length
    LONG = "long"  # a good response has started that is, or turns out to be, too long to hold
    HOLD_EXPIRED = "held enough"  # the time for which a response may be held is over
    UNWANTED = "unwanted"  # nobody accepts the response that was to be streamed
    COMPLETE = "whole"  # the response is complete and the connection is reusable
    COMPLETE_LAST = "last"  # the response is complete and the connection is not reusable
    STRAY = "stray"  # bytes that belong to no exchange
    SPOILT = "spoilt"  # the incoming data can no longer become a good response
    CONNECTION_LOST = "broke"  # closed by the peer, or lost
    GIVEN_UP = "given up"  # nobody waits for its exchange any more


class ConnectionAction(Enum):
    """What the driver must do after an event."""

    NOTHING = "nothing"
    WRITE = "write"  # send the request
    HOLD = "hold"  # start the hold timer, which reports `HOLD_EXPIRED`
    STREAM = "pass on"  # stream the response to the client; report `UNWANTED` if nobody accepts it
    KEEP_OPEN = "rest"  # deliver the response and keep the connection for reuse
    DELIVER_AND_CLOSE = "give and close"  # deliver the response and close
    FAIL_AND_CLOSE = "fail and close"  # fail the exchange, truncating a response that has started, and close
    CLOSE = "close"


S, E, D = State, Event, ConnectionAction
_FAILING = {E.STRAY: D.FAIL_AND_CLOSE, E.SPOILT: D.FAIL_AND_CLOSE, E.CONNECTION_LOST: D.FAIL_AND_CLOSE}
_ENDING = {
    **{event: (S.CLOSED, do) for event, do in _FAILING.items()},
    E.GIVEN_UP: (S.CLOSED, D.CLOSE),
    E.COMPLETE_LAST: (S.CLOSED, D.DELIVER_AND_CLOSE),
    E.COMPLETE: (S.IDLE, D.KEEP_OPEN),
}

TABLE: dict[State, dict[Event, tuple[State, ConnectionAction]]] = {
    S.CONNECTING: {
        E.OPENED: (S.IDLE, D.NOTHING),
        E.CONNECTION_LOST: (S.CLOSED, D.CLOSE),
        E.GIVEN_UP: (S.CLOSED, D.CLOSE),
    },
    S.IDLE: {
        E.ASSIGNED: (S.AWAITING, D.WRITE),
        E.STRAY: (S.CLOSED, D.CLOSE),
        E.CONNECTION_LOST: (S.CLOSED, D.CLOSE),
        E.GIVEN_UP: (S.CLOSED, D.CLOSE),
    },
    S.AWAITING: {
        **_ENDING,
        E.OPEN_ENDED: (S.HOLDING, D.HOLD),
        E.LONG: (S.PASSING, D.STREAM),
    },
    S.HOLDING: {
        **_ENDING,
        E.LONG: (S.PASSING, D.STREAM),
        E.HOLD_EXPIRED: (S.PASSING, D.STREAM),
    },
    S.PASSING: {
        **_ENDING,
        E.UNWANTED: (S.CLOSED, D.FAIL_AND_CLOSE),
        E.LONG: (S.PASSING, D.NOTHING),
        E.HOLD_EXPIRED: (S.PASSING, D.NOTHING),
    },
    # Events that arrive after the close are ignored.
    S.CLOSED: {event: (S.CLOSED, D.NOTHING) for event in E if event is not E.ASSIGNED},
}


class ConnectionMachine:
    """The state of one connection."""

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = State.CONNECTING

    def on(self, event: Event) -> ConnectionAction:
        """Applies an event and returns what to do. Raises ValueError for an event that is not possible in
        this state, which is a fault of the caller."""
        entry = TABLE[self.state].get(event)
        if entry is None:
            raise ValueError(f"a connection that is {self.state.value} can't have: {event.value}")
        self.state = entry[0]
        return entry[1]
