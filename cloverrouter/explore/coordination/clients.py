"""Model of the clients: they send competing orders and reads to each replica that claims to be head."""

from __future__ import annotations

from collections.abc import Sequence

from cloverrouter.explore.coordination.cores import CoreStates
from cloverrouter.explore.coordination.effects import play
from cloverrouter.explore.coordination.replica_state import Machine, State, Ticket


def call(cores: CoreStates, state: State, orders: Sequence[str]) -> None:
    """Makes the client calls of one time step.

    Each unconfirmed order goes to each head at which no call for it is pending; every second machine gets
    them in reverse order. A head is read if its last read is older than what was confirmed; all heads are
    read while there are several.
    """
    heads = [m for m in state.machines if m.core is not None and cores.facts(m.core).head_epoch]
    if state.step >= state.orders_from_step:
        newest = max((cores.facts(m.core).head_epoch for m in heads if m.core is not None), default=0)
        for machine in heads:
            if (
                state.newest_only
                and machine.core is not None
                and cores.facts(machine.core).head_epoch < newest
            ):
                continue
            _order(cores, state, machine, orders)
    for machine in heads:
        is_behind = machine.last_read < state.newest_acknowledged
        if state.acknowledged and (is_behind or len(heads) > 1) and not _is_asked(state, machine, ""):
            play(cores, state, machine.position, ("read", _ticket(state, machine, "")))


def _order(cores: CoreStates, state: State, machine: Machine, orders: Sequence[str]) -> None:
    for order in orders if machine.position % 2 == 0 else reversed(orders):
        if order not in state.acknowledged and not _is_asked(state, machine, order):
            event = "submit", _ticket(state, machine, order), order.encode()
            play(cores, state, machine.position, event)


def _is_asked(state: State, machine: Machine, order: str) -> bool:
    return any(ticket.position == machine.position and ticket.order == order for ticket in state.tickets)


def _ticket(state: State, machine: Machine, order: str) -> int:
    number = state.next_ticket
    state.next_ticket += 1
    state.tickets.append(Ticket(number, machine.position, order, state.newest_acknowledged))
    return number
