"""The real cores as values: a core's state is kept pickled, and each event on it is played once.

Many orderings bring one core the same events, so what an event makes of a state, and what it asks for, is
kept. In a pickle times count from the core's last event, so that the same state at another time is the same
value; what never changes (messages, views, members) is kept once, beside. Two equal states of a core may
still have two numbers (pickles tell more than matters); the canonical form of the whole world makes them one.
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
from cloverrouter.explore.coordination.figures import GENESIS, LONG_AGO_S, REPLICA, NoDraws, seconds
from cloverrouter.explore.coordination.register import Register, orders_of
from cloverrouter.store import Meta, Record, Snapshot, StoredReplica, Update

MOST_KEPT = 1_000_000  # played events; beyond that all are forgotten, and played again where needed
TIMES_FROM_S = 50.0  # floats above are times, those below durations
FROZEN: frozenset[type] = frozenset(
    [kind for kind in vars(messages).values() if isinstance(kind, type)]
    + [Durable, GenesisConfig, Member, Meta, Record, ReplicaConfig, Snapshot, StoredReplica, Update]
    + [NoDraws, View, ViewInfo]
)  # types whose values never change


@dataclass(frozen=True, slots=True)
class Facts:
    """What is to be seen of a replica from outside, `lead_for_s` as from its last event."""

    lead_for_s: float | None
    leads: int  # the epoch that it leads in force, as it thinks; 0: none
    chain: tuple[str, ...]  # of that view
    newest: tuple[str, ...]  # orders in its newest state, of a leader only
    adoptable: bool


@dataclass(frozen=True, slots=True)
class Step:
    """What an event made of a core."""

    core: int
    effects: tuple[Effect, ...]


Event = tuple[Hashable, ...]  # name of the method, and its arguments after the time


class Frozen:
    """Values that never change, by number: equal ones are one."""

    def __init__(self) -> None:
        self.values: list[object] = []
        self._by_value: dict[tuple[type, object], int] = {}
        self._by_address: dict[int, int] = {}
        self._alive: list[object] = []

    def number(self, value: object) -> int:
        """The number of a value."""
        found = self._by_address.get(id(value))
        if found is None:
            found = self._by_value.setdefault((type(value), value), len(self.values))
            if found == len(self.values):
                self.values.append(value)
            self._by_address[id(value)] = found
            self._alive.append(value)  # so that no other gets its address
        return found


class _Pickler(pickle.Pickler):
    def __init__(self, file: io.BytesIO, frozen: Frozen, now: float) -> None:
        super().__init__(file, pickle.HIGHEST_PROTOCOL)
        self._frozen = frozen
        self._now = now

    def persistent_id(self, value: Any) -> Any:
        kind = type(value)
        if kind is float:
            return max(value - self._now, -LONG_AGO_S) if value > TIMES_FROM_S else None
        return self._frozen.number(value) if kind in FROZEN else None


class _Unpickler(pickle.Unpickler):
    def __init__(self, file: io.BytesIO, frozen: Frozen, now: float) -> None:
        super().__init__(file)
        self._frozen = frozen
        self._now = now

    def persistent_load(self, key: Any) -> Any:
        return self._now + key if type(key) is float else self._frozen.values[key]


class Cores:
    """All states of cores that were met, by number."""

    def __init__(self) -> None:
        self.frozen = Frozen()
        self.pickles: list[bytes] = []
        self._numbers: dict[bytes, int] = {}
        self._steps: dict[tuple[int, int, Event], Step] = {}
        self._facts: dict[int, Facts] = {}

    def keep(self, core: Replica | GenesisProposer, now: float) -> int:
        """The number of a core's state after an event at `now`."""
        if isinstance(core, Replica):
            core._handlers = {}  # methods, made again when it is loaded
        file = io.BytesIO()
        _Pickler(file, self.frozen, now).dump(core)
        pickled = file.getvalue()
        number = self._numbers.get(pickled)
        if number is None:
            number = self._numbers[pickled] = len(self.pickles)
            self.pickles.append(pickled)
            if isinstance(core, Replica):
                self._facts[number] = facts_of(core, now)
        return number

    def load(self, number: int, now: float) -> Any:
        """The core in that state, as if its last event had been at `now`."""
        core = _Unpickler(io.BytesIO(self.pickles[number]), self.frozen, now).load()
        if isinstance(core, Replica):
            core._handlers = core._handler_table()
        return core

    def step(self, number: int, now: int, elapsed: int, event: Event) -> Step:
        """Play an event, so many steps of time after the last."""
        key = (number, elapsed, event)
        found = self._steps.get(key)
        if found is None:
            if len(self._steps) >= MOST_KEPT:
                self._steps.clear()
            core = self.load(number, seconds(now - elapsed))
            effects = _effects_of(core, seconds(now), event)
            found = self._steps[key] = Step(self.keep(core, seconds(now)), effects)
        return found

    def facts(self, number: int) -> Facts:
        """What is to be seen of a replica."""
        return self._facts[number]


def _effects_of(core: Any, now: float, event: Event) -> tuple[Effect, ...]:
    if event[0] == "time":
        return (*core.discovered(now, event[1]), *core.tick(now))
    return tuple(getattr(core, str(event[0]))(now, *event[1:]))


def facts_of(replica: Replica, now: float) -> Facts:
    """What is to be seen of a replica."""
    info = replica.view_info
    is_head = replica._head is not None and replica._head.active
    until = replica.lease_until
    return Facts(
        lead_for_s=until - now if until is not None else None,
        leads=info.epoch if info is not None and is_head else 0,
        chain=tuple(member.identity for member in info.chain) if info is not None and is_head else (),
        newest=tuple(orders_of(replica._context.history.snapshot().data)) if is_head else (),
        adoptable=replica.adoptable,
    )


def new_replica(member: Member, stored: StoredReplica) -> Replica:
    """A replica's process before its start."""
    return Replica(member, stored, Register(), REPLICA, NoDraws())


def new_proposer(ip: str, seeds: Iterable[str]) -> GenesisProposer:
    """A seed's part in the first start, before its start."""
    return GenesisProposer(ip, seeds, GENESIS)
