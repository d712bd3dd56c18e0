"""Explores every event order on one connection, with the real transition table of `core.connection`.

The peer answers each request in one or several pieces, and may send unsolicited data: a second copy of an
answer, or noise. Each piece in transit carries the number of the exchange that it was sent for. Only the
checks use this number; the reader under test never sees it.

One assumption is made, because such a connection has no way to detect its violation: whatever a peer sends
after an answer has left the peer before the next request goes out. The upstream waits `SETTLE_S` for that.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from cloverrouter.core.connection import TABLE, ConnectionAction, ConnectionMachine, Event, State

EXCHANGES = 3
NOISE = -1

PROPERTIES = {
    "mixed": "An exchange receives only data that was sent for it.",
    "once": "An exchange ends exactly once.",
    "closed": "A closed connection delivers nothing and accepts nothing.",
    "table": "No event occurs in a state for which the table has no entry.",
}


@dataclass(frozen=True, slots=True)
class Wire:
    """One state of the connection, the network and the peer."""

    state: State = State.CONNECTING
    asked: int = 0  # number of exchanges assigned to the connection
    ended: tuple[int, ...] = ()  # exchanges that have ended, in order
    owes: int | None = None  # the exchange that the peer has not fully answered yet
    begun: bool = False  # the peer has sent the first piece of that answer
    network: tuple[tuple[str, int], ...] = ()  # (piece, exchange it was sent for), oldest first
    extra: int = 1  # unsolicited pieces that the peer may still send
    whole_so_far: bool = True  # every piece read for this exchange was sent for it


@dataclass(frozen=True, slots=True)
class Found:
    """A breach of a property, and the events that lead to it."""

    breach: str
    events: tuple[str, ...]


def explore(settles: bool = True) -> tuple[int, Found | None]:
    """Returns the number of states and the first breach.

    With `settles` False, requests also go out on a connection with unread data: a seeded fault that the
    exploration must find.
    """
    seen: dict[Wire, tuple[Wire, str] | None] = {Wire(): None}
    for wire, name, after, breach in _transitions(settles):
        if breach:
            return len(seen), Found(breach, (*_path(seen, wire), name))
        seen.setdefault(after, (wire, name))
    return len(seen), None


def _transitions(settles: bool) -> Iterator[tuple[Wire, str, Wire, str]]:
    """Yields each transition breadth first: state, event, next state, and the breach or an empty string."""
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
    # The connection pool's rule: no request goes out on a connection that has unread data.
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
    """Reads the next piece. The reader decides by the piece and the connection state alone."""
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
        event = Event.SPOILT  # a second response head within an answer is unreadable
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
        breach = f"mixed: exchange {current} receives data that was not sent for it"
    return after, breach


def unreachable() -> list[str]:
    """Returns the table entries that no event order reaches, each as `state: event`."""
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
