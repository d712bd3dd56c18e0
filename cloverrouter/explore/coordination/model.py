"""The model of the replicas: what may happen in a world, and the world after it."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from cloverrouter.coordination.messages import GENESIS_MESSAGES
from cloverrouter.explore.coordination import clients, troubles
from cloverrouter.explore.coordination.canon import Base, Canon, Template
from cloverrouter.explore.coordination.cores import Cores
from cloverrouter.explore.coordination.describe import text_of
from cloverrouter.explore.coordination.effects import check_sure, play, play_proposer, store
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.troubles import Bounds
from cloverrouter.explore.coordination.world import Delivery, Item, State, ip_of


@dataclass(frozen=True, slots=True)
class Situation:
    """A world in which a search begins, and how far from there."""

    name: str
    make: Callable[[ReplicaModel], State]


class BrokenError(Exception):
    """Something is wrong before a situation is reached."""

    def __init__(self, state: State) -> None:
        super().__init__(state.wrong[0])
        self.state = state


class ReplicaModel:
    """Replicas, their disks and their network.

    The prompt schedule: what is under way arrives in the order in which it was sent, writes among it; when
    nothing is under way, time moves on by a step for all. A deviation is to hold back what is next, or
    trouble."""

    def __init__(self, situations: Sequence[Situation], bounds: Bounds, orders: Sequence[str]) -> None:
        self.cores = Cores()
        self.bounds = bounds
        self.orders = tuple(orders)
        self._situations = tuple(situations)
        self._canon = Canon(self.cores)

    # -- the model --

    def initial(self) -> Iterable[tuple[str, State]]:
        """The situations."""
        for situation in self._situations:
            try:
                state = situation.make(self)
            except BrokenError as error:
                state = error.state
            state.start = state.step
            state.left = dict(self.bounds.most)
            yield situation.name, state

    def actions(self, state: State) -> Sequence[Action]:
        """What may happen: the next of the prompt schedule first."""
        found = list(self._prompt(state))
        if state.step - state.start < self.bounds.window:
            found += troubles.actions(state, self.bounds)
        return found

    def _prompt(self, state: State) -> Iterator[Action]:
        if state.queue:
            yield Action(text_of(state.queue[0]), event=("next",))
            return
        yield Action("time passes", event=("time",))
        labels: dict[str, int] = {}
        for place, held in enumerate(state.held):
            label = f"late: {text_of(held.item)}"
            count = labels[label] = labels.get(label, 0) + 1
            yield Action(label if count == 1 else f"{label} ({count})", event=("late", place))

    def apply(self, state: State, action: Action) -> State:
        """The state after it."""
        after = state.copy()
        event: Any = action.event
        if event[0] == "next":
            self.take(after, after.queue.pop(0))
        elif event[0] == "time":
            self.pass_time(after)
        elif event[0] == "late":
            self.take(after, after.held.pop(event[1]).item)
        else:
            troubles.strike(after, event)
        return after

    def age(self, state: State) -> int:
        """Steps of time since the situation."""
        return state.step - state.start

    @staticmethod
    def breaches(state: State) -> Sequence[str]:
        """What is wrong."""
        return state.wrong

    # -- what happens --

    def take(self, state: State, item: Item) -> None:
        """A message arrives, or a write is done."""
        if not isinstance(item, Delivery):
            store(state, item.place, item.record)
            play(self.cores, state, item.place, ("persisted", item.token))
            return
        if state.cut is not None and (item.source, item.target) in state.cut.pairs:
            state.spoken.append("lost in the cut")
            return
        event = ("receive", ip_of(item.source), item.message)
        if isinstance(item.message, GENESIS_MESSAGES):
            play_proposer(self.cores, state, item.target, event)
        else:
            play(self.cores, state, item.target, event)

    def pass_time(self, state: State, orders: int | None = None) -> None:
        """A step of time for all: timers, machines that are back, clients (`orders`: the first so
        many, None: all)."""
        state.step += 1
        if state.cut is not None and state.cut.until <= state.step:
            state.cut = None
        kept = state.step - self.bounds.patience
        state.held = [held for held in state.held if held.since > kept]
        self._tick(state)
        for machine in state.machines:
            if machine.back_at is not None and machine.back_at <= state.step:
                troubles.start(self.cores, state, machine.place, self.bounds.seeds)
        check_sure(self.cores, state)
        clients.call(self.cores, state, self.orders[:orders])

    def _tick(self, state: State) -> None:
        pairs = state.cut.pairs if state.cut is not None else frozenset()
        running = [machine for machine in state.machines if machine.core is not None]
        for machine in running:
            seen = tuple(
                other.member
                for other in running
                if not {(machine.place, other.place), (other.place, machine.place)} & pairs
            )
            play_proposer(self.cores, state, machine.place, ("time", seen), elapsed=1)
            play(self.cores, state, machine.place, ("time", seen), elapsed=1)

    # -- when two worlds are the same --

    def key(self, state: State) -> Hashable:
        """Between two steps of time the canonical form; within a step, where the search hardly ever meets the
        same world by two ways, what is there as it is."""
        if state.queue:
            return self._plain(state)
        return self._canonical(state)

    def _plain(self, state: State) -> Hashable:
        return hash(
            (
                state.step,
                state.start,
                state.cut,
                state.orders_from,
                state.newest_only,
                tuple(state.left.items()),
                tuple(state.acknowledged.items()),
                tuple(
                    (
                        machine.core,
                        machine.proposer,
                        self.cores.frozen.number(machine.disk),
                        machine.back_at,
                        machine.read,
                    )
                    for machine in state.machines
                ),
                tuple(self._item(item) for item in state.queue),
                tuple((self._item(held.item), held.since) for held in state.held),
                tuple(state.tickets),
            )
        )

    def _item(self, item: Item) -> Hashable:
        if isinstance(item, Delivery):
            return item.source, item.target, self.cores.frozen.number(item.message)
        return item.place, self.cores.frozen.number(item.record)

    def _canonical(self, state: State) -> Hashable:
        tickets = {ticket.number: (ticket.place, ticket.order, ticket.least) for ticket in state.tickets}
        parts: list[Template] = []
        rest: list[Any] = []
        for machine in state.machines:
            parts.append(self._canon.frozen(machine.disk))
            cores = machine.core, machine.proposer
            parts += [self._canon.core(core) for core in cores if core is not None]
            back_in = machine.back_at - state.step if machine.back_at is not None else None
            alive = machine.core is not None, machine.proposer is not None
            rest.append((alive, back_in, machine.committed, machine.read, sorted(machine.held)))
        for held in state.held:
            item = held.item
            where: tuple[int, ...]
            if isinstance(item, Delivery):
                parts.append(self._canon.frozen(item.message))
                where = item.source, item.target
            else:
                parts.append(self._canon.frozen(item.record))
                where = (item.place,)
            rest.append((where, state.step - held.since))
        if state.cut is not None:
            rest.append((sorted(state.cut.pairs), state.cut.until - state.step))
        may_strike = self.bounds.window - (state.step - state.start)
        rest += [
            sorted(tickets.values()), sorted(state.log.items()), sorted(state.acknowledged.items()),
            max(0, state.orders_from - state.step), state.newest_only, sorted(state.left.items()),
            [sorted(held) for held in state.buried], state.first_voters and sorted(state.first_voters),
            max(0, may_strike),
        ]  # fmt: skip
        base = Base(parts, tickets.get)
        return hash((tuple(base.resolve(part) for part in parts), repr(rest)))
