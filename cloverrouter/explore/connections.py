"""Every ordering of what can happen on one connection, against the real table of `core.connection`.

The peer answers what it is asked, in one piece or in several, and may send more than belongs to it: a second
copy of an answer, or noise. What it sends waits in the network, each piece with a mark that says which
exchange it was made for; the marks are what the checks go by, and the reader under test never sees them.

One thing is assumed, since nothing on such a connection could tell otherwise: what a peer sends behind an
answer has left it before the next request goes out. The upstream waits `SETTLE_S` for that.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from cloverrouter.core.connection import TABLE, ConnectionAction, ConnectionMachine, Event, State

EXCHANGES = 3
NOISE = -1

PROPERTIES = {
    "mixed": "An exchange is given only what was sent for it.",
    "once": "An exchange ends once.",
    "closed": "A closed connection gives nothing and takes nothing.",
    "table": "No event comes in a state for which the table has no entry.",
}


@dataclass(frozen=True, slots=True)
class Wire:
    """One state of connection, network and peer."""

    state: State = State.CONNECTING
    asked: int = 0  # exchanges that have been put on it
    ended: tuple[int, ...] = ()
    owes: int | None = None  # what the peer is to answer
    begun: bool = False  # and has begun to
    network: tuple[tuple[str, int], ...] = ()  # (piece, the exchange it was made for), the oldest first
    extra: int = 1  # how often the peer may still send what is not asked for
    whole_so_far: bool = True  # every piece read for this exchange was its own


@dataclass(frozen=True, slots=True)
class Found:
    """A breach, and the events that lead to it."""

    breach: str
    events: tuple[str, ...]


def explore(settles: bool = True) -> tuple[int, Found | None]:
    """All states, and the first breach. `settles` False: requests go out on a connection on which bytes
    still wait, which is the fault that this is to find."""
    seen: dict[Wire, tuple[Wire, str] | None] = {Wire(): None}
    for wire, name, after, breach in _transitions(settles):
        if breach:
            return len(seen), Found(breach, (*_path(seen, wire), name))
        seen.setdefault(after, (wire, name))
    return len(seen), None


def _transitions(settles: bool) -> Iterator[tuple[Wire, str, Wire, str]]:
    """Breadth first: each state, each event in it, the state after it, and what it breaks, if anything."""
    left, seen = deque([Wire()]), {Wire()}
    while left:
        wire = left.popleft()
        for name in _enabled(wire, settles):
            try:
                after, breach = _apply(wire, name)
            except ValueError as error:
                after, breach = wire, f"table: {error}"
            yield wire, name, after, breach
            if after not in seen:
                seen.add(after)
                left.append(after)


def _path(seen: dict[Wire, tuple[Wire, str] | None], wire: Wire) -> list[str]:
    names: list[str] = []
    while (before := seen[wire]) is not None:
        wire, name = before
        names.append(name)
    return names[::-1]


def _enabled(wire: Wire, settles: bool) -> Iterator[str]:
    if wire.state is State.CONNECTING:
        yield "open"
    # The pool's rule: nothing goes out on a connection on which something waits to be read.
    if wire.state is State.IDLE and wire.asked < EXCHANGES and (not settles or not wire.network):
        yield "ask"
    if wire.owes is not None:
        if not wire.begun:
            yield from ("answer", "begin open-ended", "begin long")
        else:
            yield "end"
    if wire.extra and wire.state is not State.CONNECTING and wire.asked:
        yield "send noise"
        if wire.owes is None:
            yield "send a copy"
    if wire.network:
        yield "read"
    if wire.state is State.HOLDING:
        yield "held enough"
    yield from ("peer closes", "give up")


def _apply(wire: Wire, name: str) -> tuple[Wire, str]:
    current = wire.asked - 1
    match name:
        case "open":
            return _on(wire, Event.OPENED)
        case "ask":
            after, breach = _on(wire, Event.ASSIGNED)
            return replace(
                after, asked=wire.asked + 1, owes=wire.asked, begun=False, whole_so_far=True
            ), breach
        case "answer":
            return replace(wire, owes=None, network=(*wire.network, ("whole", current))), ""
        case "begin open-ended" | "begin long":
            piece = name.removeprefix("begin ")
            return replace(wire, begun=True, network=(*wire.network, (piece, current))), ""
        case "end":
            return replace(wire, owes=None, begun=False, network=(*wire.network, ("whole", current))), ""
        case "send noise":
            return replace(wire, extra=wire.extra - 1, network=(*wire.network, ("noise", NOISE))), ""
        case "send a copy":
            return replace(wire, extra=wire.extra - 1, network=(*wire.network, ("whole", current))), ""
        case "read":
            return _read(wire, current)
        case "held enough":
            return _on(wire, Event.HOLD_EXPIRED)
        case "peer closes":
            return _on(wire, Event.CONNECTION_LOST)
        case _:
            return _on(wire, Event.GIVEN_UP)


def _read(wire: Wire, current: int) -> tuple[Wire, str]:
    """What the reader makes of the next piece: it goes by the piece and its own state alone."""
    (piece, made_for), rest = wire.network[0], wire.network[1:]
    wire = replace(wire, network=rest)
    if wire.state is State.CLOSED:
        return wire, ""
    if not wire.state.busy:
        return _on(wire, Event.STRAY)
    event = {
        "whole": Event.COMPLETE,
        "open-ended": Event.OPEN_ENDED,
        "long": Event.LONG,
        "noise": Event.SPOILT,
    }[piece]
    if piece == "open-ended" and wire.state is not State.AWAITING:
        event = Event.SPOILT  # a second head in the middle of an answer can't be read
    wire = replace(wire, whole_so_far=wire.whole_so_far and made_for == current)
    return _on(wire, event)


def _on(wire: Wire, event: Event) -> tuple[Wire, str]:
    machine = ConnectionMachine()
    machine.state = wire.state
    do = machine.on(event)
    current, breach = wire.asked - 1, ""
    after = replace(wire, state=machine.state)
    if wire.state is State.CLOSED and do is not ConnectionAction.NOTHING:
        breach = f"closed: {do.value} on {event.value}"
    ends = do in (
        ConnectionAction.KEEP_OPEN,
        ConnectionAction.DELIVER_AND_CLOSE,
        ConnectionAction.FAIL_AND_CLOSE,
    ) or (do is ConnectionAction.CLOSE and wire.state.busy)
    if ends:
        if current in wire.ended:
            breach = f"once: exchange {current} ends a second time"
        after = replace(after, ended=(*wire.ended, current))
    if do in (ConnectionAction.KEEP_OPEN, ConnectionAction.DELIVER_AND_CLOSE) and not wire.whole_so_far:
        breach = f"mixed: exchange {current} is given what was not sent for it"
    return after, breach


def unreachable() -> list[str]:
    """Entries of the table that no history reaches, as `state: event`."""
    reached: set[tuple[State, Event]] = set()
    for wire, _, after, _ in _transitions(settles=True):
        if after.state is not wire.state:
            ways = TABLE[wire.state].items()
            reached |= {(wire.state, event) for event, (state, _) in ways if state is after.state}
    return [
        f"{state.value}: {event.value}"
        for state, entries in TABLE.items()
        for event, (after, _) in entries.items()
        if after is not state and (state, event) not in reached
    ]
