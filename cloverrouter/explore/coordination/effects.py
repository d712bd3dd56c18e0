"""Carries out the effects of events on the cores, and checks the invariants on what the cores report."""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.coordination.effects import (
    Answer,
    Committed,
    Effect,
    Outcome,
    Persist,
    Restored,
)
from cloverrouter.coordination.messages import Promise, Report, Stored
from cloverrouter.coordination.views import GENESIS_EPOCH, decode_view
from cloverrouter.explore.coordination.cores import CoreStates, Event
from cloverrouter.explore.coordination.describe import epoch_name, message_text
from cloverrouter.explore.coordination.disk import apply_record, orders_on
from cloverrouter.explore.coordination.order_log import orders_of
from cloverrouter.explore.coordination.replica_state import (
    Delivery,
    State,
    Ticket,
    Write,
    disk_name,
    position_of,
)
from cloverrouter.explore.coordination.timing import TOLERANCE
from cloverrouter.messages.sending import Send
from cloverrouter.store import Record

INVARIANTS = {
    "order": "All replicas, answers and reads have the same order under a sequence number.",
    "durable": "A confirmed order is on more disks than may be lost.",
    "lost": "The head of a view in force has all confirmed orders.",
    "sure": "At no time are two replicas certain to be the only head.",
    "told": "What a message reports as stored is on the sender's disk.",
    "back": "The committed sequence of a process only advances, and without gaps.",
    "view": "Two views in force with the same epoch have the same chain; there is only one first view.",
    "read": "A read returns everything that was confirmed before it was sent.",
    "again": "A confirmed order that is sent again is confirmed under the same sequence number.",
    "crash": "The cores raise no exception in any ordering of events.",
}


def play(cores: CoreStates, state: State, position: int, event: Event, elapsed: int = 0) -> None:
    """Passes an event to a replica and carries out its effects.

    `elapsed` is the number of time steps since the replica's last event.
    """
    machine = state.machines[position]
    if machine.core is None:
        return
    before = machine.core
    step = cores.step(machine.core, state.step, elapsed, event)
    state.machines[position] = machine._replace(core=step.core)
    carry_out(state, position, step.effects)
    if step.core != before:
        _check_head(cores, state, position)


def play_proposer(cores: CoreStates, state: State, position: int, event: Event, elapsed: int = 0) -> None:
    """Passes an event to a seed's genesis proposer and carries out its effects."""
    machine = state.machines[position]
    if machine.proposer is None:
        return
    step = cores.step(machine.proposer, state.step, elapsed, event)
    state.machines[position] = machine._replace(proposer=step.core)
    carry_out(state, position, step.effects)


def carry_out(state: State, position: int, effects: Iterable[Effect]) -> None:
    """Carries out the effects of a core: sends, writes, answers and commits."""
    for effect in effects:
        if isinstance(effect, Send):
            _check_on_disk(state, position, effect.message)
            state.queue.append(Delivery(position, position_of(effect.ip), effect.message))
        elif isinstance(effect, Persist):
            state.queue.append(Write(position, effect.token, effect.record))
        elif isinstance(effect, Answer):
            _on_answer(state, effect)
        elif isinstance(effect, Committed):
            _on_committed(state, position, effect)
        elif isinstance(effect, Restored):
            _on_restored(state, position, effect)


def _check_on_disk(state: State, position: int, message: object) -> None:
    """Checks that what a promise, a report or an acknowledgement relies on is on the sender's disk."""
    if not isinstance(message, Promise | Report | Stored):
        return
    machine = state.machines[position]
    disk = machine.disk
    seq = disk.updates[-1].seq if disk.updates else disk.snapshot.seq if disk.snapshot is not None else 0
    promised = message.epoch if isinstance(message, Promise) else 0
    synced = 0 if isinstance(message, Stored) else message.synced
    if message.seq > seq or promised > disk.meta.promised or synced > disk.meta.synced:
        text = f"{type(message).__name__} {message_text(message)}"
        state.violations.append(
            f"told: {disk_name(disk.identity)} reports {text!r}, which is not on its disk"
        )


def store(state: State, position: int, record: Record) -> None:
    """Completes a disk write."""
    machine = state.machines[position]
    disk = apply_record(machine.disk, record)
    state.machines[position] = machine._replace(
        disk=disk, durable_orders=machine.durable_orders | orders_on(disk)
    )
    if record.meta is not None and record.meta.view_epoch == GENESIS_EPOCH:
        _check_first_view(state, record.meta.view)


def _check_first_view(state: State, encoded: bytes) -> None:
    view = decode_view(encoded)
    voters = frozenset(member.identity for member in view.voters) if view is not None else frozenset()
    if state.first_voters is None:
        state.first_voters = voters
    elif state.first_voters != voters:
        names = [" ".join(sorted(map(disk_name, group))) for group in (state.first_voters, voters)]
        state.violations.append(f"view: two first views, of {names[0]} and of {names[1]}")


def _record_order(state: State, number: int, order: str, who: str) -> None:
    """Records the order that was reported under a sequence number, and checks that it is always the same."""
    known = state.known_orders.get(number)
    if known is None:
        state.known_orders = {**state.known_orders, number: order}
    elif known != order:
        state.violations.append(f"order: {who} has {order!r} as number {number}, which was {known!r}")


def _on_committed(state: State, position: int, effect: Committed) -> None:
    machine = state.machines[position]
    who = disk_name(machine.disk.identity)
    if effect.seq != machine.committed + 1:
        state.violations.append(f"back: {who} commits {effect.seq} after {machine.committed}")
    state.machines[position] = machine._replace(committed=effect.seq)
    _record_order(state, effect.seq, effect.update.decode(), who)
    state.notes.append(f"{who}: {effect.update.decode()!r} is committed as {effect.seq}")


def _on_restored(state: State, position: int, effect: Restored) -> None:
    machine = state.machines[position]
    who = disk_name(machine.disk.identity)
    if effect.seq <= machine.committed:
        state.violations.append(f"back: {who} goes back from {machine.committed} to {effect.seq}")
    state.machines[position] = machine._replace(committed=effect.seq)
    _check_snapshot(state, effect.seq, effect.snapshot, who)
    state.notes.append(f"{who}: state {effect.seq} is committed")


def _check_snapshot(state: State, seq: int, snapshot: bytes, who: str) -> None:
    orders = orders_of(snapshot)
    if len(orders) != seq:
        state.violations.append(f"order: {who} has {len(orders)} orders in the state {seq}")
    for number, order in enumerate(orders, 1):
        _record_order(state, number, order, who)


def _on_answer(state: State, answer: Answer) -> None:
    ticket = next((ticket for ticket in state.tickets if ticket.number == answer.ticket), None)
    if ticket is None:
        return
    state.tickets.remove(ticket)
    who = disk_name(state.machines[ticket.position].disk.identity)
    what = repr(ticket.order) if ticket.order else "a read"
    state.notes.append(f"{who} answers {what}: {answer.outcome.value} {answer.reply.decode()}")
    if answer.outcome is not Outcome.DONE:
        return
    if ticket.order:
        _check_confirmation(state, ticket, int(answer.reply), who)
    else:
        _check_read(state, ticket, answer, who)


def _check_confirmation(state: State, ticket: Ticket, number: int, who: str) -> None:
    known = state.acknowledged.get(ticket.order)
    if known is not None and known != number:
        state.violations.append(f"again: {ticket.order!r} was confirmed as {known}, and now as {number}")
    if number not in state.known_orders:
        state.violations.append(
            f"lost: {who} confirms {ticket.order!r} as {number}, which no replica has committed"
        )
    _record_order(state, number, ticket.order, who)
    disks = [machine.durable_orders for machine in state.machines] + state.lost_disk_orders
    holders = sum((number, ticket.order) in durable_orders for durable_orders in disks)
    if holders < TOLERANCE + 1:
        state.violations.append(f"durable: {ticket.order!r} is confirmed, but only on {holders} disks")
    state.acknowledged = {**state.acknowledged, ticket.order: number}


def _check_read(state: State, ticket: Ticket, answer: Answer, who: str) -> None:
    if answer.seq < ticket.min_seq:
        state.violations.append(
            f"read: {who} returns {answer.seq}, but {ticket.min_seq} was confirmed before"
        )
    _check_snapshot(state, answer.seq, answer.reply, who)
    machine = state.machines[ticket.position]
    state.machines[ticket.position] = machine._replace(last_read=answer.seq)


def _check_head(cores: CoreStates, state: State, position: int) -> None:
    """Checks the view and the orders of a replica that considers itself head, after its state changed."""
    machine = state.machines[position]
    if machine.core is None:
        return
    facts = cores.facts(machine.core)
    if not facts.head_epoch:
        return
    who = disk_name(machine.disk.identity)
    known = state.views.get(facts.head_epoch)
    if known is None:
        state.views = {**state.views, facts.head_epoch: facts.chain}
        chain = " ".join(map(disk_name, facts.chain))
        state.notes.append(f"{who} leads epoch {epoch_name(facts.head_epoch)} in force, chain {chain}")
    elif known != facts.chain:
        state.violations.append(f"view: two chains in force in epoch {epoch_name(facts.head_epoch)}")
    for order, number in state.acknowledged.items():
        if facts.newest_orders[number - 1 : number] != (order,) and facts.head_epoch == max(state.views):
            state.violations.append(f"lost: {who} leads without {order!r}, which was confirmed as {number}")
    check_certain_heads(cores, state)


def check_certain_heads(cores: CoreStates, state: State) -> None:
    """Checks that at most one head holds a valid lease.

    Every replica must have had an event in the current time step, as leases count from its last event.
    """
    certain = []
    for machine in state.machines:
        lease_remaining_s = cores.facts(machine.core).lease_remaining_s if machine.core is not None else None
        if lease_remaining_s is not None and lease_remaining_s > 0:
            certain.append(machine)
    if len(certain) > 1:
        names = " and ".join(disk_name(machine.disk.identity) for machine in certain)
        state.violations.append(f"sure: {names} are both certain to be the only head")
