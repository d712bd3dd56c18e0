"""The list of servers with what is known of their lives: what both the voter's and the origin's part work
on.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

import attrs

from cloverrouter.control.instance_table import InstanceTable, effective
from cloverrouter.control.instances import Instance, InstanceState, from_record
from cloverrouter.control.registry_messages import InstanceRecord
from cloverrouter.control.silence import Liveness

VOUCHED_FOR = 55.0
UNVOUCHED_DROPPED_AFTER = 60.0


@attrs.frozen(slots=True)
class InstancesChanged:
    """These instances are new, changed, or gone; what is superseded at its address shows as gone."""

    instances: tuple[Instance, ...]


@attrs.frozen(slots=True)
class InstancesSilent:
    """These servers have missed their heartbeats: marked, not removed."""

    ids: tuple[str, ...]


@attrs.frozen(slots=True)
class InstancesHeard:
    """These servers, marked as silent before, are heard again."""

    ids: tuple[str, ...]


ListEffect = InstancesChanged | InstancesSilent | InstancesHeard


class ServersList:
    """The table of instances, when each was heard of, and which are marked as silent."""

    def __init__(self) -> None:
        self.table = InstanceTable()
        self.liveness = Liveness()
        self.silent: frozenset[str] = frozenset()

    def __iter__(self) -> Iterator[Instance]:
        return iter(self.table)

    def __contains__(self, instance_id: object) -> bool:
        return instance_id in self.table

    def merge(self, now: float, instance: Instance, age: float = 0.0) -> tuple[str, ...]:
        """Takes in news that are `age` seconds old; returns the ids of all instances that look different
        now.
        """
        before = self.table.get(instance.id)
        merged = self.table.merge(now, instance, age)
        if merged.instance.is_live:
            self.liveness.heard(instance.id, now - age)
        if not merged.changed:
            return ()
        if not merged.instance.is_live:
            self.forget(instance.id)
        changed = dict.fromkeys([instance.id])
        for each in (merged.instance, before):
            if each is not None:
                changed.update(dict.fromkeys(rival.id for rival in self.table.rivals(each)))
        return tuple(changed)

    def merge_records(self, now: float, records: Iterable[InstanceRecord]) -> tuple[str, ...]:
        """Takes in received records. One that nobody has vouched for in a long time brings nothing back."""
        changed: dict[str, None] = {}
        for record in records:
            instance, age = from_record(now, record), record.age_ms / 1000
            if instance.id not in self.table and instance.is_live and age > VOUCHED_FOR:
                continue
            changed.update(dict.fromkeys(self.merge(now, instance, age)))
        return tuple(changed)

    def record(self, now: float, instance_id: str) -> InstanceRecord | None:
        """The record to send of an instance; None if it isn't in the list."""
        instance = self.table.get(instance_id)
        if instance is None:
            return None
        ended_for = self.table.ended_for(now, instance_id)
        age = self.liveness.age(now, instance_id) if ended_for is None else ended_for
        return instance.to_record(now, 0.0 if math.isinf(age) else age)

    def records(self, now: float, ids: Iterable[str]) -> list[InstanceRecord]:
        """The records to send of those of the instances that are in the list."""
        return [record for record in (self.record(now, each) for each in ids) if record is not None]

    def holds(self, now: float, record: InstanceRecord) -> bool:
        """True if the list has exactly what the record tells."""
        told = from_record(now, record)
        return record.id in self.table and self.table.fingerprint(record.id) == told.fingerprint()

    def changed_effect(self, ids: Iterable[str]) -> InstancesChanged:
        """The effect that tells of the instances with these ids as the data plane is to see them."""
        found = (self.table.get(each) for each in ids)
        return InstancesChanged(tuple(effective(self.table, each) for each in found if each is not None))

    def is_outdated(self, now: float, instance_id: str) -> bool:
        """True for a live instance of which neither a server's call nor a voter told in a long time."""
        ended_for = self.table.ended_for(now, instance_id)
        return ended_for is None and self.liveness.age(now, instance_id) > UNVOUCHED_DROPPED_AFTER

    def drop(self, ids: Iterable[str]) -> list[ListEffect]:
        """Takes instances out of the list without a trace."""
        gone = []
        for instance_id in ids:
            instance = self.table.get(instance_id)
            if instance is not None:
                gone.append(attrs.evolve(instance, state=InstanceState.GONE))
                self.table.remove(instance_id)
                self.forget(instance_id)
        return [InstancesChanged(tuple(gone))] if gone else []

    def forget(self, instance_id: str) -> None:
        """The instance has ended: its life is of no more interest."""
        self.liveness.forget(instance_id)
        self.silent -= {instance_id}

    def mark(self, silent: frozenset[str]) -> list[ListEffect]:
        """Exactly these are silent."""
        newly, heard = silent - self.silent, self.silent - silent
        self.silent = silent
        effects: list[ListEffect] = []
        if newly:
            effects.append(InstancesSilent(tuple(sorted(newly))))
        if heard:
            effects.append(InstancesHeard(tuple(sorted(heard))))
        return effects
