"""Interned states of the shipped cores: states are stored as pickles, and each event on a state runs once.

Many orderings deliver the same events to a core, so the resulting state and effects are cached. Times in a
pickle are relative to the core's last event, so that the same state at another time has the same pickle.
Immutable values (messages, views, members) are interned outside of the pickles. Equal states may still have
different numbers, as pickles contain irrelevant details; the canonical form of the whole world merges them.
"""

from __future__ import annotations

import io
import pickle
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Any

from cloverrouter.coordination import messages
from cloverrouter.coordination.disk import Durable
from cloverrouter.coordination.effects import Effect, ReplicaConfig, ViewInfo
from cloverrouter.coordination.genesis import GenesisConfig, GenesisProposer
from cloverrouter.coordination.replica import Replica
from cloverrouter.coordination.views import Member, View
from cloverrouter.explore.coordination.order_log import OrderLog, orders_of
from cloverrouter.explore.coordination.timing import GENESIS, LONG_AGO_S, REPLICA, MinimumRandom, seconds
from cloverrouter.store import Meta, Record, Snapshot, StoredReplica, Update

MAX_CACHED_STEPS = 1_000_000  # when the cache is full it is cleared, and events run again
MIN_TIME_S = 50.0  # larger floats are points in time, smaller ones durations
IMMUTABLE_TYPES: frozenset[type] = frozenset(
    [kind for kind in vars(messages).values() if isinstance(kind, type)]
    + [Durable, GenesisConfig, Member, Meta, Record, ReplicaConfig, Snapshot, StoredReplica, Update]
    + [MinimumRandom, View, ViewInfo]
)  # types with immutable values


@dataclass(frozen=True, slots=True)
class Facts:
    """The observable state of a replica. `lease_remaining_s` counts from its last event."""

    lease_remaining_s: float | None
    head_epoch: int  # epoch of the view in force that it claims to lead; 0: none
    chain: tuple[str, ...]  # identities of the chain of that view
    newest_orders: tuple[str, ...]  # orders in the newest state of a head; empty otherwise
    adoptable: bool


@dataclass(frozen=True, slots=True)
class Step:
    """The result of an event: the number of the new core state, and the effects."""

    core: int
    effects: tuple[Effect, ...]


Event = tuple[Hashable, ...]  # method name and its arguments, without the time


class InternedValues:
    """Interned immutable values by number; equal values have the same number."""

    def __init__(self) -> None:
        self.values: list[object] = []
        self._by_value: dict[tuple[type, object], int] = {}
        self._by_address: dict[int, int] = {}
        self._references: list[object] = []

    def number(self, value: object) -> int:
        """Returns the number of a value."""
        found = self._by_address.get(id(value))
        if found is None:
            found = self._by_value.setdefault((type(value), value), len(self.values))
            if found == len(self.values):
                self.values.append(value)
            self._by_address[id(value)] = found
            self._references.append(value)  # keeps the object alive, so that its address is not reused
        return found


class _Pickler(pickle.Pickler):
    def __init__(self, file: io.BytesIO, interned: InternedValues, now: float) -> None:
        super().__init__(file, pickle.HIGHEST_PROTOCOL)
        self._interned = interned
        self._now = now

    def persistent_id(self, value: Any) -> Any:
        kind = type(value)
        if kind is float:
            return max(value - self._now, -LONG_AGO_S) if value > MIN_TIME_S else None
        return self._interned.number(value) if kind in IMMUTABLE_TYPES else None


class _Unpickler(pickle.Unpickler):
    def __init__(self, file: io.BytesIO, interned: InternedValues, now: float) -> None:
        super().__init__(file)
        self._interned = interned
        self._now = now

    def persistent_load(self, key: Any) -> Any:
        return self._now + key if type(key) is float else self._interned.values[key]


class CoreStates:
    """All core states that were reached, by number."""

    def __init__(self) -> None:
        self.interned = InternedValues()
        self.pickles: list[bytes] = []
        self._numbers: dict[bytes, int] = {}
        self._steps: dict[tuple[int, int, Event], Step] = {}
        self._facts: dict[int, Facts] = {}

    def intern(self, core: Replica | GenesisProposer, now: float) -> int:
        """Stores the state of a core after an event at `now`, and returns its number."""
        if isinstance(core, Replica):
            core._handlers = {}  # bound methods; `load` creates them again
        file = io.BytesIO()
        _Pickler(file, self.interned, now).dump(core)
        pickled = file.getvalue()
        number = self._numbers.get(pickled)
        if number is None:
            number = self._numbers[pickled] = len(self.pickles)
            self.pickles.append(pickled)
            if isinstance(core, Replica):
                self._facts[number] = facts_of(core, now)
        return number

    def load(self, number: int, now: float) -> Any:
        """Returns a core in that state, as if its last event had been at `now`."""
        core = _Unpickler(io.BytesIO(self.pickles[number]), self.interned, now).load()
        if isinstance(core, Replica):
            core._handlers = core._handler_table()
        return core

    def step(self, number: int, now: int, elapsed: int, event: Event) -> Step:
        """Runs an event on a core state, `elapsed` time steps after its last event."""
        key = (number, elapsed, event)
        found = self._steps.get(key)
        if found is None:
            if len(self._steps) >= MAX_CACHED_STEPS:
                self._steps.clear()
            core = self.load(number, seconds(now - elapsed))
            effects = _effects_of(core, seconds(now), event)
            found = self._steps[key] = Step(self.intern(core, seconds(now)), effects)
        return found

    def facts(self, number: int) -> Facts:
        """Returns the observable state of a replica by its state number."""
        return self._facts[number]


def _effects_of(core: Any, now: float, event: Event) -> tuple[Effect, ...]:
    if event[0] == "time":
        return (*core.discovered(now, event[1]), *core.tick(now))
    return tuple(getattr(core, str(event[0]))(now, *event[1:]))


def facts_of(replica: Replica, now: float) -> Facts:
    """Returns the observable state of a replica."""
    info = replica.view_info
    is_head = replica._head is not None and replica._head.active
    until = replica.lease_until
    return Facts(
        lease_remaining_s=until - now if until is not None else None,
        head_epoch=info.epoch if info is not None and is_head else 0,
        chain=tuple(member.identity for member in info.chain) if info is not None and is_head else (),
        newest_orders=tuple(orders_of(replica._context.history.snapshot().data)) if is_head else (),
        adoptable=replica.adoptable,
    )


def new_replica(member: Member, stored: StoredReplica) -> Replica:
    """Returns a replica that has not started yet."""
    return Replica(member, stored, OrderLog(), REPLICA, MinimumRandom())


def new_proposer(ip: str, seeds: Iterable[str]) -> GenesisProposer:
    """Returns a genesis proposer that has not started yet."""
    return GenesisProposer(ip, seeds, GENESIS)
