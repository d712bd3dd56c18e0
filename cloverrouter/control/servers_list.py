"""The list of servers with their liveness, shared by the voter's and the origin's side of the registry."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

import attrs

from cloverrouter.control.instance_table import InstanceTable, effective
from cloverrouter.control.instances import Instance, InstanceState, from_record
from cloverrouter.control.registry_messages import InstanceRecord
from cloverrouter.control.silence import Liveness

MAX_NEW_RECORD_AGE_S = 55.0
"""A record of a live instance that was last confirmed longer ago does not add the instance."""
DROP_UNCONFIRMED_AFTER_S = 60.0
"""An instance that was last confirmed longer ago, and that a voter lacks, is dropped."""


@attrs.frozen(slots=True)
class InstancesChanged:
    """These instances are new, changed or gone; one whose address a newer instance has is shown as gone."""

    instances: tuple[Instance, ...]


@attrs.frozen(slots=True)
class InstancesSilent:
    """These servers have missed heartbeats; they are marked as silent but stay in the list."""

    ids: tuple[str, ...]


@attrs.frozen(slots=True)
class InstancesRecovered:
    """These servers lost their mark as silent because their heartbeats resumed."""

    ids: tuple[str, ...]


ListEffect = InstancesChanged | InstancesSilent | InstancesRecovered


class ServersList:
    """The table of instances, when each was last known to be alive, and which are marked as silent."""

    def __init__(self) -> None:
        self.table = InstanceTable()
        self.liveness = Liveness()
        self.silent: frozenset[str] = frozenset()

    def __iter__(self) -> Iterator[Instance]:
        return iter(self.table)

    def __contains__(self, instance_id: object) -> bool:
        return instance_id in self.table

    def merge(self, now: float, instance: Instance, age: float = 0.0) -> tuple[str, ...]:
        """Merges an instance whose facts are `age` seconds old.

        Returns the ids of all instances that the data plane may see differently now: this one, and others at
        its old or new address.
        """
        before = self.table.get(instance.id)
        merged = self.table.merge(now, instance, age)
        if merged.instance.is_live:
            self.liveness.record_alive(instance.id, now - age)
        if not merged.changed:
            return ()
        if not merged.instance.is_live:
            self.forget(instance.id)
        changed = dict.fromkeys([instance.id])
        for each in (merged.instance, before):
            if each is not None:
                changed.update(dict.fromkeys(other.id for other in self.table.address_conflicts(each)))
        return tuple(changed)

    def merge_records(self, now: float, records: Iterable[InstanceRecord]) -> tuple[str, ...]:
        """Merges received records, and returns the ids as `merge` does.

        A record last confirmed more than `MAX_NEW_RECORD_AGE_S` ago does not add an instance.
        """
        changed: dict[str, None] = {}
        for record in records:
            instance, age = from_record(now, record), record.age_ms / 1000
            if instance.id not in self.table and instance.is_live and age > MAX_NEW_RECORD_AGE_S:
                continue
            changed.update(dict.fromkeys(self.merge(now, instance, age)))
        return tuple(changed)

    def record(self, now: float, instance_id: str) -> InstanceRecord | None:
        """Returns the record of an instance to send; None if it isn't in the list."""
        instance = self.table.get(instance_id)
        if instance is None:
            return None
        since_end_s = self.table.since_end_s(now, instance_id)
        age = self.liveness.age(now, instance_id) if since_end_s is None else since_end_s
        return instance.to_record(now, 0.0 if math.isinf(age) else age)

    def records(self, now: float, ids: Iterable[str]) -> list[InstanceRecord]:
        """Returns the records to send of those instances that are in the list."""
        return [record for record in (self.record(now, each) for each in ids) if record is not None]

    def holds(self, now: float, record: InstanceRecord) -> bool:
        """Returns whether the list has exactly the state of the record."""
        received = from_record(now, record)
        return record.id in self.table and self.table.fingerprint(record.id) == received.fingerprint()

    def changed_effect(self, ids: Iterable[str]) -> InstancesChanged:
        """Returns the effect that shows the instances with these ids as the data plane sees them."""
        found = (self.table.get(each) for each in ids)
        return InstancesChanged(tuple(effective(self.table, each) for each in found if each is not None))

    def is_outdated(self, now: float, instance_id: str) -> bool:
        """Returns whether the instance is live here but no call or voter has confirmed it for too long."""
        since_end_s = self.table.since_end_s(now, instance_id)
        return since_end_s is None and self.liveness.age(now, instance_id) > DROP_UNCONFIRMED_AFTER_S

    def drop(self, ids: Iterable[str]) -> list[ListEffect]:
        """Removes instances from the list without leaving tombstones."""
        dropped = []
        for instance_id in ids:
            instance = self.table.get(instance_id)
            if instance is not None:
                dropped.append(attrs.evolve(instance, state=InstanceState.GONE))
                self.table.remove(instance_id)
                self.forget(instance_id)
        return [InstancesChanged(tuple(dropped))] if dropped else []

    def forget(self, instance_id: str) -> None:
        """Drops the liveness and the silence mark of an instance that has ended."""
        self.liveness.forget(instance_id)
        self.silent -= {instance_id}

    def set_silent(self, silent: frozenset[str]) -> list[ListEffect]:
        """Replaces the set of silent servers; returns the effects of the differences."""
        newly, recovered = silent - self.silent, self.silent - silent
        self.silent = silent
        effects: list[ListEffect] = []
        if newly:
            effects.append(InstancesSilent(tuple(sorted(newly))))
        if recovered:
            effects.append(InstancesRecovered(tuple(sorted(recovered))))
        return effects
