"""The model of the replicas: the possible actions in a state, and the state after each."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from cloverrouter.coordination.messages import GENESIS_MESSAGES
from cloverrouter.explore.coordination import clients, deviations
from cloverrouter.explore.coordination.canon import Baseline, Template, TemplateCache
from cloverrouter.explore.coordination.cores import CoreStates
from cloverrouter.explore.coordination.describe import text_of
from cloverrouter.explore.coordination.deviations import Bounds
from cloverrouter.explore.coordination.effects import check_certain_heads, play, play_proposer, store
from cloverrouter.explore.coordination.replica_state import Delivery, Item, State, ip_of
from cloverrouter.explore.coordination.search import Action


@dataclass(frozen=True, slots=True)
class Situation:
    """A named state from which a search starts."""

    name: str
    make: Callable[[ReplicaModel], State]


class InvariantBrokenError(Exception):
    """An invariant is broken before a situation is reached."""

    def __init__(self, state: State) -> None:
        super().__init__(state.violations[0])
        self.state = state


class ReplicaModel:
    """Replicas, their disks and their network.

    In the prompt schedule, messages arrive and writes complete in the order in which they were issued; when
    nothing is in flight, time advances by one step for all. A deviation is to hold back or duplicate the next
    item, or a fault: a power loss, a disk loss or a network partition.
    """

    def __init__(self, situations: Sequence[Situation], bounds: Bounds, orders: Sequence[str]) -> None:
        self.cores = CoreStates()
        self.bounds = bounds
        self.orders = tuple(orders)
        self._situations = tuple(situations)
        self._template_cache = TemplateCache(self.cores)

    # -- the model --

    def initial(self) -> Iterable[tuple[str, State]]:
        """Returns the start states by name."""
        for situation in self._situations:
            try:
                state = situation.make(self)
            except InvariantBrokenError as error:
                state = error.state
            state.start_step = state.step
            state.remaining_faults = dict(self.bounds.max_faults)
            yield situation.name, state

    def actions(self, state: State) -> Sequence[Action]:
        """Returns the possible actions, those of the prompt schedule first."""
        found = list(self._prompt(state))
        if state.step - state.start_step < self.bounds.window_steps:
            found += deviations.actions(state, self.bounds)
        return found

    def _prompt(self, state: State) -> Iterator[Action]:
        if state.queue:
            yield Action(text_of(state.queue[0]), event=("next",))
            return
        yield Action("time passes", event=("time",))
        labels: dict[str, int] = {}
        for position, entry in enumerate(state.delayed):
            label = f"late: {text_of(entry.item)}"
            count = labels[label] = labels.get(label, 0) + 1
            yield Action(label if count == 1 else f"{label} ({count})", event=("late", position))

    def apply(self, state: State, action: Action) -> State:
        """Returns the state after an action."""
        after = state.copy()
        event: Any = action.event
        if event[0] == "next":
            self.take(after, after.queue.pop(0))
        elif event[0] == "time":
            self.pass_time(after)
        elif event[0] == "late":
            self.take(after, after.delayed.pop(event[1]).item)
        else:
            deviations.apply_deviation(after, event)
        return after

    def age(self, state: State) -> int:
        """Returns the time steps since the search started."""
        return state.step - state.start_step

    @staticmethod
    def breaches(state: State) -> Sequence[str]:
        """Returns the violated invariants."""
        return state.violations

    # -- events --

    def take(self, state: State, item: Item) -> None:
        """Delivers a message or completes a write."""
        if not isinstance(item, Delivery):
            store(state, item.position, item.record)
            play(self.cores, state, item.position, ("persisted", item.token))
            return
        if state.partition is not None and (item.source, item.target) in state.partition.links:
            state.notes.append("lost in the cut")
            return
        event = ("receive", ip_of(item.source), item.message)
        if isinstance(item.message, GENESIS_MESSAGES):
            play_proposer(self.cores, state, item.target, event)
        else:
            play(self.cores, state, item.target, event)

    def pass_time(self, state: State, orders: int | None = None) -> None:
        """Advances time by one step: timers, restarts of machines, then the clients.

        Clients send the first `orders` orders; None: all.
        """
        state.step += 1
        if state.partition is not None and state.partition.until <= state.step:
            state.partition = None
        oldest_step = state.step - self.bounds.max_delay_steps
        state.delayed = [entry for entry in state.delayed if entry.since > oldest_step]
        self._tick(state)
        for machine in state.machines:
            if machine.restart_at is not None and machine.restart_at <= state.step:
                deviations.start_process(self.cores, state, machine.position, self.bounds.seeds)
        check_certain_heads(self.cores, state)
        clients.call(self.cores, state, self.orders[:orders])

    def _tick(self, state: State) -> None:
        cut_links = state.partition.links if state.partition is not None else frozenset()
        running = [machine for machine in state.machines if machine.core is not None]
        for machine in running:
            seen = tuple(
                other.member
                for other in running
                if not {(machine.position, other.position), (other.position, machine.position)} & cut_links
            )
            play_proposer(self.cores, state, machine.position, ("time", seen), elapsed=1)
            play(self.cores, state, machine.position, ("time", seen), elapsed=1)

    # -- keys: which states count as the same --

    def key(self, state: State) -> Hashable:
        """Returns the canonical form between two time steps, and the plain state within a step.

        Within a step the search rarely reaches the same state twice, so the canonical form does not pay off.
        """
        if state.queue:
            return self._plain(state)
        return self._canonical(state)

    def _plain(self, state: State) -> Hashable:
        return hash(
            (
                state.step,
                state.start_step,
                state.partition,
                state.orders_from_step,
                state.newest_only,
                tuple(state.remaining_faults.items()),
                tuple(state.acknowledged.items()),
                tuple(
                    (
                        machine.core,
                        machine.proposer,
                        self.cores.interned.number(machine.disk),
                        machine.restart_at,
                        machine.last_read,
                    )
                    for machine in state.machines
                ),
                tuple(self._item(item) for item in state.queue),
                tuple((self._item(entry.item), entry.since) for entry in state.delayed),
                tuple(state.tickets),
            )
        )

    def _item(self, item: Item) -> Hashable:
        if isinstance(item, Delivery):
            return item.source, item.target, self.cores.interned.number(item.message)
        return item.position, self.cores.interned.number(item.record)

    def _canonical(self, state: State) -> Hashable:
        tickets = {ticket.number: (ticket.position, ticket.order, ticket.min_seq) for ticket in state.tickets}
        parts: list[Template] = []
        rest: list[Any] = []
        for machine in state.machines:
            parts.append(self._template_cache.interned(machine.disk))
            cores = machine.core, machine.proposer
            parts += [self._template_cache.core(core) for core in cores if core is not None]
            back_in = machine.restart_at - state.step if machine.restart_at is not None else None
            alive = machine.core is not None, machine.proposer is not None
            rest.append(
                (alive, back_in, machine.committed, machine.last_read, sorted(machine.durable_orders))
            )
        for entry in state.delayed:
            item = entry.item
            where: tuple[int, ...]
            if isinstance(item, Delivery):
                parts.append(self._template_cache.interned(item.message))
                where = item.source, item.target
            else:
                parts.append(self._template_cache.interned(item.record))
                where = (item.position,)
            rest.append((where, state.step - entry.since))
        if state.partition is not None:
            rest.append((sorted(state.partition.links), state.partition.until - state.step))
        steps_left = self.bounds.window_steps - (state.step - state.start_step)
        rest += [
            sorted(tickets.values()), sorted(state.known_orders.items()), sorted(state.acknowledged.items()),
            max(0, state.orders_from_step - state.step), state.newest_only,
            sorted(state.remaining_faults.items()), [sorted(orders) for orders in state.lost_disk_orders],
            state.first_voters and sorted(state.first_voters), max(0, steps_left),
        ]  # fmt: skip
        base = Baseline(parts, tickets.get)
        return hash((tuple(base.resolve(part) for part in parts), repr(rest)))
