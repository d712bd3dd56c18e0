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

MAX_EXCHANGES = 3
NOISE = -1

PROPERTIES = {
    "mixed": "An exchange receives only data that was sent for it.",
    "once": "An exchange ends exactly once.",
    "closed": "A closed connection delivers nothing and accepts nothing.",
    "table": "No event occurs in a state for which the table has no entry.",
}


@dataclass(frozen=True, slots=True)
class ModelState:
    """One state of the connection, the network and the peer."""

    state: State = State.CONNECTING
    exchange_count: int = 0  # number of exchanges assigned to the connection
    ended_exchanges: tuple[int, ...] = ()  # exchanges that have ended, in order
    pending_answer: int | None = None  # the exchange that the peer has not fully answered yet
    answer_begun: bool = False  # the peer has sent the first piece of that answer
    in_transit: tuple[tuple[str, int], ...] = ()  # (piece, exchange it was sent for), oldest first
    unsolicited_left: int = 1  # unsolicited pieces that the peer may still send
    only_own_pieces: bool = True  # every piece read for this exchange was sent for it


@dataclass(frozen=True, slots=True)
class Violation:
    """A breach of a property, and the events that lead to it."""

    breach: str
    events: tuple[str, ...]


def explore(require_empty_network: bool = True) -> tuple[int, Violation | None]:
    """Returns the number of states and the first breach.

    With `require_empty_network` False, requests also go out on a connection with unread data: a seeded
    fault that the exploration must find.
    """
    seen: dict[ModelState, tuple[ModelState, str] | None] = {ModelState(): None}
    for model, name, after, breach in _transitions(require_empty_network):
        if breach:
            return len(seen), Violation(breach, (*_event_path(seen, model), name))
        seen.setdefault(after, (model, name))
    return len(seen), None


def _transitions(require_empty_network: bool) -> Iterator[tuple[ModelState, str, ModelState, str]]:
    """Yields each transition breadth first: state, event, next state, and the breach or an empty string."""
    left, seen = deque([ModelState()]), {ModelState()}
    while left:
        model = left.popleft()
        for name in _enabled(model, require_empty_network):
            try:
                after, breach = _apply(model, name)
            except ValueError as error:
                after, breach = model, f"table: {error}"
            yield model, name, after, breach
            if after not in seen:
                seen.add(after)
                left.append(after)


def _event_path(seen: dict[ModelState, tuple[ModelState, str] | None], model: ModelState) -> list[str]:
    names: list[str] = []
    while (before := seen[model]) is not None:
        model, name = before
        names.append(name)
    return names[::-1]


def _enabled(model: ModelState, require_empty_network: bool) -> Iterator[str]:
    if model.state is State.CONNECTING:
        yield "open"
    # The connection pool's rule: no request goes out on a connection that has unread data.
    if (
        model.state is State.IDLE
        and model.exchange_count < MAX_EXCHANGES
        and (not require_empty_network or not model.in_transit)
    ):
        yield "ask"
    if model.pending_answer is not None:
        if not model.answer_begun:
            yield from ("answer", "begin open-ended", "begin long")
        else:
            yield "end"
    if model.unsolicited_left and model.state is not State.CONNECTING and model.exchange_count:
        yield "send noise"
        if model.pending_answer is None:
            yield "send a copy"
    if model.in_transit:
        yield "read"
    if model.state is State.HOLDING:
        yield "held enough"
    yield from ("peer closes", "give up")


def _apply(model: ModelState, name: str) -> tuple[ModelState, str]:
    current = model.exchange_count - 1
    match name:
        case "open":
            return _apply_machine_event(model, Event.OPENED)
        case "ask":
            after, breach = _apply_machine_event(model, Event.ASSIGNED)
            return replace(
                after,
                exchange_count=model.exchange_count + 1,
                pending_answer=model.exchange_count,
                answer_begun=False,
                only_own_pieces=True,
            ), breach
        case "answer":
            return replace(model, pending_answer=None, in_transit=(*model.in_transit, ("whole", current))), ""
        case "begin open-ended" | "begin long":
            piece = name.removeprefix("begin ")
            return replace(model, answer_begun=True, in_transit=(*model.in_transit, (piece, current))), ""
        case "end":
            return replace(
                model,
                pending_answer=None,
                answer_begun=False,
                in_transit=(*model.in_transit, ("whole", current)),
            ), ""
        case "send noise":
            return replace(
                model,
                unsolicited_left=model.unsolicited_left - 1,
                in_transit=(*model.in_transit, ("noise", NOISE)),
            ), ""
        case "send a copy":
            return replace(
                model,
                unsolicited_left=model.unsolicited_left - 1,
                in_transit=(*model.in_transit, ("whole", current)),
            ), ""
        case "read":
            return _read(model, current)
        case "held enough":
            return _apply_machine_event(model, Event.HOLD_EXPIRED)
        case "peer closes":
            return _apply_machine_event(model, Event.CONNECTION_LOST)
        case _:
            return _apply_machine_event(model, Event.GIVEN_UP)


def _read(model: ModelState, current: int) -> tuple[ModelState, str]:
    """Reads the next piece. The reader decides by the piece and the connection state alone."""
    (piece, sent_for), rest = model.in_transit[0], model.in_transit[1:]
    model = replace(model, in_transit=rest)
    if model.state is State.CLOSED:
        return model, ""
    if not model.state.busy:
        return _apply_machine_event(model, Event.STRAY)
    event = {
        "whole": Event.COMPLETE,
        "open-ended": Event.OPEN_ENDED,
        "long": Event.LONG,
        "noise": Event.SPOILT,
    }[piece]
    if piece == "open-ended" and model.state is not State.AWAITING:
        event = Event.SPOILT  # a second response head within an answer is unreadable
    model = replace(model, only_own_pieces=model.only_own_pieces and sent_for == current)
    return _apply_machine_event(model, event)


def _apply_machine_event(model: ModelState, event: Event) -> tuple[ModelState, str]:
    machine = ConnectionMachine()
    machine.state = model.state
    action = machine.on(event)
    current, breach = model.exchange_count - 1, ""
    after = replace(model, state=machine.state)
    if model.state is State.CLOSED and action is not ConnectionAction.NOTHING:
        breach = f"closed: {action.value} on {event.value}"
    ends = action in (
        ConnectionAction.KEEP_OPEN,
        ConnectionAction.DELIVER_AND_CLOSE,
        ConnectionAction.FAIL_AND_CLOSE,
    ) or (action is ConnectionAction.CLOSE and model.state.busy)
    if ends:
        if current in model.ended_exchanges:
            breach = f"once: exchange {current} ends a second time"
        after = replace(after, ended_exchanges=(*model.ended_exchanges, current))
    if (
        action in (ConnectionAction.KEEP_OPEN, ConnectionAction.DELIVER_AND_CLOSE)
        and not model.only_own_pieces
    ):
        breach = f"mixed: exchange {current} receives data that was not sent for it"
    return after, breach


def unreachable() -> list[str]:
    """Returns the table entries that no event order reaches, each as `state: event`."""
    reached: set[tuple[State, Event]] = set()
    for model, _, after, _ in _transitions(require_empty_network=True):
        if after.state is not model.state:
            entries_of_state = TABLE[model.state].items()
            reached |= {
                (model.state, event) for event, (state, _) in entries_of_state if state is after.state
            }
    return [
        f"{state.value}: {event.value}"
        for state, entries in TABLE.items()
        for event, (after, _) in entries.items()
        if after is not state and (state, event) not in reached
    ]
