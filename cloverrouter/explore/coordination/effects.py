"""What follows from an event: messages and writes get under way, and what is told is checked."""

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
from cloverrouter.explore.coordination.cores import Cores, Event
from cloverrouter.explore.coordination.describe import epoch_name, message_text
from cloverrouter.explore.coordination.disk import orders_on, write
from cloverrouter.explore.coordination.figures import TOLERANCE
from cloverrouter.explore.coordination.register import orders_of
from cloverrouter.explore.coordination.world import Delivery, State, Ticket, Write, name_of, place_of
from cloverrouter.messages.sending import Send
from cloverrouter.store import Record

INVARIANTS = {
    "order": "One number, one content: all replicas, answers and reads name the same order under a number.",
    "durable": "What is confirmed is on more disks than may be lost.",
    "lost": "Whoever leads a view in force has all that was confirmed.",
    "sure": "No two replicas are sure at one time that no other is head.",
    "told": "What a message says to be on the sender's disk is there.",
    "back": "What a replica tells as committed goes forward, without gaps, as long as its process lives.",
    "view": "Two views in force of one epoch have the same chain; there is one first view.",
    "read": "A read tells all that was confirmed before it was asked.",
    "again": "An order that was confirmed is confirmed again under the same number.",
    "crash": "The cores take every order of events.",
}


def play(cores: Cores, state: State, place: int, event: Event, elapsed: int = 0) -> None:
    """Let a replica take an event, and carry out what it asks for. `elapsed`: steps since its last."""
    machine = state.machines[place]
    if machine.core is None:
        return
    before = machine.core
    step = cores.step(machine.core, state.step, elapsed, event)
    state.machines[place] = machine._replace(core=step.core)
    carry_out(state, place, step.effects)
    if step.core != before:
        _look(cores, state, place)


def play_proposer(cores: Cores, state: State, place: int, event: Event, elapsed: int = 0) -> None:
    """Let a seed take an event of the first start."""
    machine = state.machines[place]
    if machine.proposer is None:
        return
    step = cores.step(machine.proposer, state.step, elapsed, event)
    state.machines[place] = machine._replace(proposer=step.core)
    carry_out(state, place, step.effects)


def carry_out(state: State, place: int, effects: Iterable[Effect]) -> None:
    """Carry out what a core asks for."""
    for effect in effects:
        if isinstance(effect, Send):
            _told(state, place, effect.message)
            state.queue.append(Delivery(place, place_of(effect.ip), effect.message))
        elif isinstance(effect, Persist):
            state.queue.append(Write(place, effect.token, effect.record))
        elif isinstance(effect, Answer):
            _answer(state, effect)
        elif isinstance(effect, Committed):
            _committed(state, place, effect)
        elif isinstance(effect, Restored):
            _restored(state, place, effect)


def _told(state: State, place: int, message: object) -> None:
    """What a promise, a report or an acknowledgement rests on is on the disk."""
    if not isinstance(message, Promise | Report | Stored):
        return
    machine = state.machines[place]
    disk = machine.disk
    seq = disk.updates[-1].seq if disk.updates else disk.snapshot.seq if disk.snapshot is not None else 0
    promised = message.epoch if isinstance(message, Promise) else 0
    synced = 0 if isinstance(message, Stored) else message.synced
    if message.seq > seq or promised > disk.meta.promised or synced > disk.meta.synced:
        text = f"{type(message).__name__} {message_text(message)}"
        state.wrong.append(f"told: {name_of(disk.identity)} says {text!r}, and its disk does not hold it")


def store(state: State, place: int, record: Record) -> None:
    """A write is done."""
    machine = state.machines[place]
    disk = write(machine.disk, record)
    state.machines[place] = machine._replace(disk=disk, held=machine.held | orders_on(disk))
    if record.meta is not None and record.meta.view_epoch == GENESIS_EPOCH:
        _first_view(state, record.meta.view)


def _first_view(state: State, encoded: bytes) -> None:
    view = decode_view(encoded)
    voters = frozenset(member.identity for member in view.voters) if view is not None else frozenset()
    if state.first_voters is None:
        state.first_voters = voters
    elif state.first_voters != voters:
        names = [" ".join(sorted(map(name_of, group))) for group in (state.first_voters, voters)]
        state.wrong.append(f"view: two first views, of {names[0]} and of {names[1]}")


def _name(state: State, number: int, order: str, who: str) -> None:
    """A number's content was told."""
    known = state.log.get(number)
    if known is None:
        state.log = {**state.log, number: order}
    elif known != order:
        state.wrong.append(f"order: {who} has {order!r} as number {number}, which was {known!r}")


def _committed(state: State, place: int, effect: Committed) -> None:
    machine = state.machines[place]
    who = name_of(machine.disk.identity)
    if effect.seq != machine.committed + 1:
        state.wrong.append(f"back: {who} commits {effect.seq} after {machine.committed}")
    state.machines[place] = machine._replace(committed=effect.seq)
    _name(state, effect.seq, effect.update.decode(), who)
    state.spoken.append(f"{who}: {effect.update.decode()!r} is committed as {effect.seq}")


def _restored(state: State, place: int, effect: Restored) -> None:
    machine = state.machines[place]
    who = name_of(machine.disk.identity)
    if effect.seq <= machine.committed:
        state.wrong.append(f"back: {who} goes back from {machine.committed} to {effect.seq}")
    state.machines[place] = machine._replace(committed=effect.seq)
    _same_state(state, effect.seq, effect.snapshot, who)
    state.spoken.append(f"{who}: state {effect.seq} is committed")


def _same_state(state: State, seq: int, snapshot: bytes, who: str) -> None:
    orders = orders_of(snapshot)
    if len(orders) != seq:
        state.wrong.append(f"order: {who} has {len(orders)} orders as the state {seq}")
    for number, order in enumerate(orders, 1):
        _name(state, number, order, who)


def _answer(state: State, answer: Answer) -> None:
    ticket = next((ticket for ticket in state.tickets if ticket.number == answer.ticket), None)
    if ticket is None:
        return
    state.tickets.remove(ticket)
    who = name_of(state.machines[ticket.place].disk.identity)
    what = repr(ticket.order) if ticket.order else "a read"
    state.spoken.append(f"{who} answers {what}: {answer.outcome.value} {answer.reply.decode()}")
    if answer.outcome is not Outcome.DONE:
        return
    if ticket.order:
        _confirmed(state, ticket, int(answer.reply), who)
    else:
        _read(state, ticket, answer, who)


def _confirmed(state: State, ticket: Ticket, number: int, who: str) -> None:
    known = state.acknowledged.get(ticket.order)
    if known is not None and known != number:
        state.wrong.append(f"again: {ticket.order!r} was confirmed as {known}, and now as {number}")
    if number not in state.log:
        state.wrong.append(f"lost: {who} confirms {ticket.order!r} as {number}, and nobody has committed it")
    _name(state, number, ticket.order, who)
    disks = [machine.held for machine in state.machines] + state.buried
    holders = sum((number, ticket.order) in held for held in disks)
    if holders < TOLERANCE + 1:
        state.wrong.append(f"durable: {ticket.order!r} is confirmed, and on {holders} disks")
    state.acknowledged = {**state.acknowledged, ticket.order: number}


def _read(state: State, ticket: Ticket, answer: Answer, who: str) -> None:
    if answer.seq < ticket.least:
        state.wrong.append(f"read: {who} tells {answer.seq}, and {ticket.least} was confirmed before")
    _same_state(state, answer.seq, answer.reply, who)
    machine = state.machines[ticket.place]
    state.machines[ticket.place] = machine._replace(read=answer.seq)


def _look(cores: Cores, state: State, place: int) -> None:
    """What is to be seen of a replica that has changed."""
    machine = state.machines[place]
    if machine.core is None:
        return
    facts = cores.facts(machine.core)
    if not facts.leads:
        return
    who = name_of(machine.disk.identity)
    known = state.views.get(facts.leads)
    if known is None:
        state.views = {**state.views, facts.leads: facts.chain}
        chain = " ".join(map(name_of, facts.chain))
        state.spoken.append(f"{who} leads epoch {epoch_name(facts.leads)} in force, chain {chain}")
    elif known != facts.chain:
        state.wrong.append(f"view: two chains in force in epoch {epoch_name(facts.leads)}")
    for order, number in state.acknowledged.items():
        if facts.newest[number - 1 : number] != (order,) and facts.leads == max(state.views):
            state.wrong.append(f"lost: {who} leads without {order!r}, which was confirmed as {number}")
    check_sure(cores, state)


def check_sure(cores: Cores, state: State) -> None:
    """No two are sure to be the only head. All have had an event in this step of time."""
    sure = []
    for machine in state.machines:
        lead_for_s = cores.facts(machine.core).lead_for_s if machine.core is not None else None
        if lead_for_s is not None and lead_for_s > 0:
            sure.append(machine)
    if len(sure) > 1:
        names = " and ".join(name_of(machine.disk.identity) for machine in sure)
        state.wrong.append(f"sure: {names} are both sure to be the only head")
