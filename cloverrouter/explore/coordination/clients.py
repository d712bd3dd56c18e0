"""The clients: operators whose orders race at all replicas that take themselves for the head, and readers."""

from __future__ import annotations

from collections.abc import Sequence

from cloverrouter.explore.coordination.cores import Cores
from cloverrouter.explore.coordination.effects import play
from cloverrouter.explore.coordination.world import Machine, State, Ticket


def call(cores: Cores, state: State, orders: Sequence[str]) -> None:
    """What clients do in a step of time. All orders that aren't confirmed go to each head that has not been
    asked, the last first at every second machine; a head is read that has not told all that was confirmed,
    and all are while several take themselves for the head."""
    heads = [m for m in state.machines if m.core is not None and cores.facts(m.core).leads]
    if state.step >= state.orders_from:
        newest = max((cores.facts(m.core).leads for m in heads if m.core is not None), default=0)
        for machine in heads:
            if state.newest_only and machine.core is not None and cores.facts(machine.core).leads < newest:
                continue
            _order(cores, state, machine, orders)
    for machine in heads:
        is_behind = machine.read < state.newest_acknowledged
        if state.acknowledged and (is_behind or len(heads) > 1) and not _is_asked(state, machine, ""):
            play(cores, state, machine.place, ("read", _ticket(state, machine, "")))


def _order(cores: Cores, state: State, machine: Machine, orders: Sequence[str]) -> None:
    for order in orders if machine.place % 2 == 0 else reversed(orders):
        if order not in state.acknowledged and not _is_asked(state, machine, order):
            event = "submit", _ticket(state, machine, order), order.encode()
            play(cores, state, machine.place, event)


def _is_asked(state: State, machine: Machine, order: str) -> bool:
    return any(ticket.place == machine.place and ticket.order == order for ticket in state.tickets)


def _ticket(state: State, machine: Machine, order: str) -> int:
    number = state.next_ticket
    state.next_ticket += 1
    state.tickets.append(Ticket(number, machine.place, order, state.newest_acknowledged))
    return number
