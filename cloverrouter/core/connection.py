"""One connection that carries one exchange at a time, as a table: (state, event) to (state, what to do).

The theory, before the table. A connection is of use only while nothing on it can be mistaken: what a peer
sends while nothing is asked, or behind an answer, would be taken for the next answer. So it ends with the
first byte that does not belong to the exchange it carries, with anything that can't be read, and with
everything that is given up on it; and it goes back to rest only after a whole answer to a whole request.

An answer of which it is not known yet whether it is short is held for a moment. From `PASSING` on it is the
client's, and the connection ends with it or cuts it off visibly.

    CONNECTING -> IDLE -> AWAITING -> (HOLDING ->) (PASSING ->) IDLE
    any -> CLOSED, which nothing leaves

Nothing here knows a socket or a protocol: whoever reads the bytes says which of the events they are.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    CONNECTING = "connecting"
    IDLE = "idle"
    AWAITING = "awaiting"  # an exchange is on it, of whose answer nothing counts yet
    HOLDING = "holding"  # a good answer of unknown length has begun
    PASSING = "passing"  # an answer is passed on while it comes
    CLOSED = "closed"

    @property
    def busy(self) -> bool:
        return self in BUSY

    __hash__ = object.__hash__  # each is one object; the enum's own hash is slow


BUSY = (State.AWAITING, State.HOLDING, State.PASSING)


class Event(Enum):
    __hash__ = object.__hash__

    OPENED = "opened"  # it is there
    ASSIGNED = "assigned"  # an exchange goes out on it
    OPEN_ENDED = "open-ended"  # a good answer has begun that does not say how long it is
    LONG = "long"  # a good answer has begun that is too long to be held, or turns out to be
    HELD_ENOUGH = "held enough"  # the moment for which an answer may be held is over
    UNWANTED = "unwanted"  # nobody takes the answer that was to be passed on
    WHOLE = "whole"  # the answer is whole, and the connection of further use
    LAST = "last"  # the answer is whole, and the connection is not
    STRAY = "stray"  # bytes that belong to no exchange
    SPOILT = "spoilt"  # what comes can't become a good answer any more
    BROKE = "broke"  # the peer has ended it, or it was lost
    GIVEN_UP = "given up"  # nobody waits for what is on it


class Do(Enum):
    NOTHING = "nothing"
    WRITE = "write"  # send the request
    HOLD = "hold"  # wait a moment, then say HELD_ENOUGH
    PASS_ON = "pass on"  # the answer goes to the client from here on; UNWANTED if nobody takes it
    REST = "rest"  # give the answer; the connection may be used again
    GIVE_AND_CLOSE = "give and close"  # give the answer; close
    FAIL_AND_CLOSE = "fail and close"  # the exchange has failed, and an answer begun is cut; close
    CLOSE = "close"


S, E, D = State, Event, Do
_FAILING = {E.STRAY: D.FAIL_AND_CLOSE, E.SPOILT: D.FAIL_AND_CLOSE, E.BROKE: D.FAIL_AND_CLOSE}
_ENDING = {
    **{event: (S.CLOSED, do) for event, do in _FAILING.items()},
    E.GIVEN_UP: (S.CLOSED, D.CLOSE),
    E.LAST: (S.CLOSED, D.GIVE_AND_CLOSE),
    E.WHOLE: (S.IDLE, D.REST),
}

TABLE: dict[State, dict[Event, tuple[State, Do]]] = {
    S.CONNECTING: {
        E.OPENED: (S.IDLE, D.NOTHING),
        E.BROKE: (S.CLOSED, D.CLOSE),
        E.GIVEN_UP: (S.CLOSED, D.CLOSE),
    },
    S.IDLE: {
        E.ASSIGNED: (S.AWAITING, D.WRITE),
        E.STRAY: (S.CLOSED, D.CLOSE),
        E.BROKE: (S.CLOSED, D.CLOSE),
        E.GIVEN_UP: (S.CLOSED, D.CLOSE),
    },
    S.AWAITING: {
        **_ENDING,
        E.OPEN_ENDED: (S.HOLDING, D.HOLD),
        E.LONG: (S.PASSING, D.PASS_ON),
    },
    S.HOLDING: {
        **_ENDING,
        E.LONG: (S.PASSING, D.PASS_ON),
        E.HELD_ENOUGH: (S.PASSING, D.PASS_ON),
    },
    S.PASSING: {
        **_ENDING,
        E.UNWANTED: (S.CLOSED, D.FAIL_AND_CLOSE),
        E.LONG: (S.PASSING, D.NOTHING),
        E.HELD_ENOUGH: (S.PASSING, D.NOTHING),
    },
    # Whatever crosses its end is of no account.
    S.CLOSED: {event: (S.CLOSED, D.NOTHING) for event in E if event is not E.ASSIGNED},
}


class Machine:
    """One connection's state."""

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = State.CONNECTING

    def on(self, event: Event) -> Do:
        """What is to be done. Raises ValueError for an event that can't be in this state, which is a mistake
        of whoever drives it."""
        entry = TABLE[self.state].get(event)
        if entry is None:
            raise ValueError(f"a connection that is {self.state.value} can't have: {event.value}")
        self.state = entry[0]
        return entry[1]
