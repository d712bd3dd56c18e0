"""Deviations from the prompt schedule: delays, duplicates, power loss, disk loss and partitions."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import combinations
from typing import Any

from cloverrouter.explore.coordination.cores import CoreStates, new_proposer, new_replica
from cloverrouter.explore.coordination.describe import text_of
from cloverrouter.explore.coordination.effects import play, play_proposer, store
from cloverrouter.explore.coordination.replica_state import (
    NAMES,
    DelayedItem,
    Delivery,
    Partition,
    State,
    Write,
    disk_name,
    ip_of,
)
from cloverrouter.explore.coordination.replica_state import (
    identity_of as identity_of,
)
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.timing import seconds
from cloverrouter.store import StoredReplica

CRASH, WIPE, CUT, HOLD, TWICE = "crash", "wipe", "cut", "hold", "twice"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Which deviations may occur, how often and when."""

    max_faults: Mapping[str, int] = field(default_factory=lambda: {CRASH: 1, WIPE: 1, CUT: 1})
    may_delay: bool = True  # whether single messages and writes may be held back
    may_duplicate: bool = False  # whether messages may be delivered twice, at the end of this or a later step
    window_steps: int = 12  # deviations start within this number of time steps
    max_delay_steps: int = 8  # items that are held back longer are lost
    downtime_steps: tuple[int, ...] = (1, 8)  # possible numbers of steps until a process restarts
    partition_steps: tuple[int, ...] = (10,)  # possible durations of a partition, in steps
    seeds: tuple[int, ...] = ()  # positions of the machines that take part in the first start


def actions(state: State, bounds: Bounds) -> Iterator[Action]:
    """Yields the possible deviations.

    A machine fails only right before an event on it: an earlier failure has the same result.
    """
    if not state.queue:
        for machine in state.machines:
            if machine.core is not None:
                yield from _process_ends(state, bounds, machine.position)
        return
    item = state.queue[0]
    if bounds.may_delay:
        yield Action(f"held back: {text_of(item)}", 1, (HOLD,))
    if isinstance(item, Write):
        yield from _process_ends(state, bounds, item.position)
        yield from _process_ends(state, bounds, item.position, is_write_done=True)
        return
    if bounds.may_duplicate:
        yield Action(f"comes twice: {text_of(item)}", 1, (TWICE,))
    if state.machines[item.target].core is not None:
        yield from _process_ends(state, bounds, item.target)
        if state.partition is None and state.remaining_faults.get(CUT):
            yield from _partitions(state, bounds, item)


def _process_ends(
    state: State, bounds: Bounds, position: int, is_write_done: bool = False
) -> Iterator[Action]:
    name = disk_name(state.machines[position].disk.identity)
    when = " as its write is done" if is_write_done else ""
    for steps in bounds.downtime_steps:
        if state.remaining_faults.get(CRASH):
            label = f"{name} loses power{when}, back in {steps}"
            yield Action(label, 1, (CRASH, position, steps, is_write_done))
        if state.remaining_faults.get(WIPE) and not is_write_done:
            yield Action(f"{name} loses its disk, back in {steps}", 1, (WIPE, position, steps, is_write_done))


def _partitions(state: State, bounds: Bounds, item: Delivery) -> Iterator[Action]:
    """Yields all partitions that lose this message.

    These are the link in one or both directions, all sending or all receiving of a machine, and every split
    of the machines into two groups.
    """
    one, other = item.source, item.target
    positions = range(len(state.machines))
    kinds = {
        f"{NAMES[one]} reaches {NAMES[other]} no more": frozenset({(one, other)}),
        f"{NAMES[one]} and {NAMES[other]} are cut from each other": frozenset({(one, other), (other, one)}),
        f"{NAMES[one]} reaches nobody": frozenset(
            (one, position) for position in positions if position != one
        ),
        f"{NAMES[other]} hears nobody": frozenset(
            (position, other) for position in positions if position != other
        ),
    }
    rest = [position for position in positions if position not in (one, other)]
    for count in range(len(rest) + 1):
        for friends in combinations(rest, count):
            near = (one, *friends)
            far = [position for position in positions if position not in near]
            text = " and ".join(NAMES[position] for position in near) + " are cut from the others"
            kinds[text] = frozenset(pair for a in near for b in far for pair in ((a, b), (b, a)))
    for steps in bounds.partition_steps:
        for text, pairs in kinds.items():
            yield Action(f"{text}, for {steps}", 1, (CUT, pairs, steps, text))


def apply_deviation(state: State, event: Any) -> None:
    """Applies a deviation to a state."""
    kind = event[0]
    if kind == HOLD:
        state.delayed.append(DelayedItem(state.queue.pop(0), state.step))
        return
    if kind == TWICE:
        state.delayed.append(DelayedItem(state.queue[0], state.step))
        return
    state.remaining_faults = {**state.remaining_faults, kind: state.remaining_faults[kind] - 1}
    if kind == CUT:
        state.partition = Partition(event[1], state.step + event[2], event[3])
    else:
        _, position, steps, is_write_done = event
        if is_write_done:
            item = state.queue.pop(0)
            assert isinstance(item, Write)
            store(state, position, item.record)
        end_process(state, position, state.step + steps)
        if kind == WIPE:
            lose_disk(state, position)


def end_process(state: State, position: int, restart_at: int | None) -> None:
    """Ends a process; its pending writes and client calls are dropped."""
    state.machines[position] = state.machines[position]._replace(
        core=None, proposer=None, restart_at=restart_at, committed=0, last_read=0
    )
    state.queue = [
        item for item in state.queue if not (isinstance(item, Write) and item.position == position)
    ]
    state.delayed = [
        entry
        for entry in state.delayed
        if not (isinstance(entry.item, Write) and entry.item.position == position)
    ]
    state.tickets = [ticket for ticket in state.tickets if ticket.position != position]


def lose_disk(state: State, position: int) -> None:
    """Replaces a machine's disk by an empty one, which has a new identity and so is another member."""
    machine = state.machines[position]
    state.lost_disk_orders = [*state.lost_disk_orders, machine.durable_orders]
    disk = StoredReplica(identity=identity_of(position, machine.lost_disks + 1))
    state.machines[position] = machine._replace(
        disk=disk, lost_disks=machine.lost_disks + 1, durable_orders=frozenset()
    )


def start_process(cores: CoreStates, state: State, position: int, seeds: Collection[int]) -> None:
    """Starts a process. `seeds`: positions of the machines that take part in the first start."""
    machine = state.machines[position]
    now = seconds(state.step)
    core = cores.intern(new_replica(machine.member, machine.disk), now)
    state.machines[position] = machine._replace(core=core, restart_at=None)
    play(cores, state, position, ("start",))
    core_now = state.machines[position].core
    if position in seeds and core_now is not None and cores.facts(core_now).adoptable:
        addresses = [ip_of(seed) for seed in seeds]
        proposer = cores.intern(new_proposer(ip_of(position), addresses), now)
        state.machines[position] = state.machines[position]._replace(proposer=proposer)
        play_proposer(cores, state, position, ("start",))
    state.notes.append(f"{disk_name(machine.disk.identity)} starts")
