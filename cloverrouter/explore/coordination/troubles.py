"""Deviations from the prompt schedule: what is late, and the troubles that strike, each so often at most."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import combinations
from typing import Any

from cloverrouter.explore.coordination.cores import Cores, new_proposer, new_replica
from cloverrouter.explore.coordination.describe import text_of
from cloverrouter.explore.coordination.effects import play, play_proposer, store
from cloverrouter.explore.coordination.figures import seconds
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.world import (
    NAMES,
    Cut,
    Delivery,
    Held,
    State,
    Write,
    ip_of,
    name_of,
)
from cloverrouter.explore.coordination.world import (
    identity_of as identity_of,
)
from cloverrouter.store import StoredReplica

CRASH, WIPE, CUT, HOLD, TWICE = "crash", "wipe", "cut", "hold", "twice"


@dataclass(frozen=True, slots=True)
class Bounds:
    """What may strike, and when."""

    most: Mapping[str, int] = field(default_factory=lambda: {CRASH: 1, WIPE: 1, CUT: 1})
    holds: bool = True  # whether single messages and writes may be late
    doubles: bool = False  # whether single messages may come again, at the end of this step or of a later one
    window: int = 12  # deviations begin within so many steps of time
    patience: int = 8  # what is held back longer is lost
    away: tuple[int, ...] = (1, 8)  # steps until a process is back
    cut_for: tuple[int, ...] = (10,)  # steps
    seeds: tuple[int, ...] = ()  # places of the machines that take part in the first start


def actions(state: State, bounds: Bounds) -> Iterator[Action]:
    """The deviations that are possible. A trouble of a machine strikes right before something happens to it,
    as it makes no difference how long before."""
    if not state.queue:
        for machine in state.machines:
            if machine.core is not None:
                yield from _deaths(state, bounds, machine.place)
        return
    item = state.queue[0]
    if bounds.holds:
        yield Action(f"held back: {text_of(item)}", 1, (HOLD,))
    if isinstance(item, Write):
        yield from _deaths(state, bounds, item.place)
        yield from _deaths(state, bounds, item.place, written=True)
        return
    if bounds.doubles:
        yield Action(f"comes twice: {text_of(item)}", 1, (TWICE,))
    if state.machines[item.target].core is not None:
        yield from _deaths(state, bounds, item.target)
        if state.cut is None and state.left.get(CUT):
            yield from _cuts(state, bounds, item)


def _deaths(state: State, bounds: Bounds, place: int, written: bool = False) -> Iterator[Action]:
    name = name_of(state.machines[place].disk.identity)
    when = " as its write is done" if written else ""
    for steps in bounds.away:
        if state.left.get(CRASH):
            label = f"{name} loses power{when}, back in {steps}"
            yield Action(label, 1, (CRASH, place, steps, written))
        if state.left.get(WIPE) and not written:
            yield Action(f"{name} loses its disk, back in {steps}", 1, (WIPE, place, steps, written))


def _cuts(state: State, bounds: Bounds, item: Delivery) -> Iterator[Action]:
    """All that would lose this message: a link, one way or both, a machine's sending or hearing, and every
    division of the machines into two."""
    one, other = item.source, item.target
    places = range(len(state.machines))
    kinds = {
        f"{NAMES[one]} reaches {NAMES[other]} no more": frozenset({(one, other)}),
        f"{NAMES[one]} and {NAMES[other]} are cut from each other": frozenset({(one, other), (other, one)}),
        f"{NAMES[one]} reaches nobody": frozenset((one, place) for place in places if place != one),
        f"{NAMES[other]} hears nobody": frozenset((place, other) for place in places if place != other),
    }
    rest = [place for place in places if place not in (one, other)]
    for count in range(len(rest) + 1):
        for friends in combinations(rest, count):
            near = (one, *friends)
            far = [place for place in places if place not in near]
            text = " and ".join(NAMES[place] for place in near) + " are cut from the others"
            kinds[text] = frozenset(pair for a in near for b in far for pair in ((a, b), (b, a)))
    for steps in bounds.cut_for:
        for text, pairs in kinds.items():
            yield Action(f"{text}, for {steps}", 1, (CUT, pairs, steps, text))


def strike(state: State, event: Any) -> None:
    """Let a deviation happen."""
    kind = event[0]
    if kind == HOLD:
        state.held.append(Held(state.queue.pop(0), state.step))
        return
    if kind == TWICE:
        state.held.append(Held(state.queue[0], state.step))
        return
    state.left = {**state.left, kind: state.left[kind] - 1}
    if kind == CUT:
        state.cut = Cut(event[1], state.step + event[2], event[3])
    else:
        _, place, steps, written = event
        if written:
            item = state.queue.pop(0)
            assert isinstance(item, Write)
            store(state, place, item.record)
        end(state, place, state.step + steps)
        if kind == WIPE:
            lose_disk(state, place)


def end(state: State, place: int, back_at: int | None) -> None:
    """A process ends, with its writes and its calls."""
    state.machines[place] = state.machines[place]._replace(
        core=None, proposer=None, back_at=back_at, committed=0, read=0
    )
    state.queue = [item for item in state.queue if not (isinstance(item, Write) and item.place == place)]
    state.held = [
        held for held in state.held if not (isinstance(held.item, Write) and held.item.place == place)
    ]
    state.tickets = [ticket for ticket in state.tickets if ticket.place != place]


def lose_disk(state: State, place: int) -> None:
    """An empty disk is in the place of the one that was there: another member."""
    machine = state.machines[place]
    state.buried = [*state.buried, machine.held]
    disk = StoredReplica(identity=identity_of(place, machine.disks + 1))
    state.machines[place] = machine._replace(disk=disk, disks=machine.disks + 1, held=frozenset())


def start(cores: Cores, state: State, place: int, seeds: Collection[int]) -> None:
    """A process starts; `seeds`: the places of the machines that take part in the first start."""
    machine = state.machines[place]
    now = seconds(state.step)
    core = cores.keep(new_replica(machine.member, machine.disk), now)
    state.machines[place] = machine._replace(core=core, back_at=None)
    play(cores, state, place, ("start",))
    core_now = state.machines[place].core
    if place in seeds and core_now is not None and cores.facts(core_now).adoptable:
        addresses = [ip_of(seed) for seed in seeds]
        proposer = cores.keep(new_proposer(ip_of(place), addresses), now)
        state.machines[place] = state.machines[place]._replace(proposer=proposer)
        play_proposer(cores, state, place, ("start",))
    state.spoken.append(f"{name_of(machine.disk.identity)} starts")
