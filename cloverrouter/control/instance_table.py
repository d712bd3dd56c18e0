"""One machine's table of instances, with a digest of the live ones and tombstones of ended ones."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from cloverrouter.control.instances import Instance, InstanceState, differs, merge

ENDED_RETENTION_S = 150.0
"""How long the tombstone of an ended instance is kept."""
MAX_ENDED_INSTANCES = 10_000


@attrs.define(slots=True)
class _Entry:
    """An instance in the table. `ended_at`: when it was found to have ended; None while it is live."""

    instance: Instance
    fingerprint: int
    ended_at: float | None


@attrs.frozen(slots=True)
class MergeResult:
    """The result of a merge: whether it changed the table, and whether the table had newer facts."""

    instance: Instance
    changed: bool
    had_newer_facts: bool


class InstanceTable:
    """Instances by id.

    Instances that have ended (gone or given up) stay as tombstones for `ENDED_RETENTION_S`, so that a late
    record does not bring them back. The digest covers live instances only.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._ended: dict[str, float] = {}
        self._live_ids_by_address: dict[str, set[str]] = {}
        self._usable_by_service: dict[str, tuple[Instance, ...]] | None = None
        self.digest = 0
        self.live_count = 0

    def __contains__(self, instance_id: object) -> bool:
        return instance_id in self._entries

    def __iter__(self) -> Iterator[Instance]:
        return (entry.instance for entry in self._entries.values())

    def get(self, instance_id: str) -> Instance | None:
        """Returns the instance, live or ended; None if it is unknown."""
        entry = self._entries.get(instance_id)
        return entry.instance if entry else None

    def fingerprint(self, instance_id: str) -> int:
        """Returns the fingerprint of an instance in the table. Raises `KeyError` for others."""
        return self._entries[instance_id].fingerprint

    def since_end_s(self, now: float, instance_id: str) -> float | None:
        """Returns how many seconds ago the instance was found to have ended; None while it is live."""
        ended_at = self._entries[instance_id].ended_at
        return None if ended_at is None else now - ended_at

    def usable(self, service: str) -> tuple[Instance, ...]:
        """Returns the live instances of a service, without those whose address a newer instance has taken."""
        if self._usable_by_service is None:
            self._usable_by_service = self._group_usable()
        return self._usable_by_service.get(service, ())

    def services(self) -> list[str]:
        """Returns the services that have usable instances."""
        self.usable("")
        return list(self._usable_by_service or ())

    def is_superseded(self, instance: Instance) -> bool:
        """Returns whether a newer instance has its address."""
        return any(other.generation > instance.generation for other in self.address_conflicts(instance))

    def address_conflicts(self, instance: Instance) -> list[Instance]:
        """Returns the other live instances that announced the same address."""
        ids = self._live_ids_by_address.get(instance.address, set()) - {instance.id}
        return [self._entries[other].instance for other in ids]

    def merge(self, now: float, instance: Instance, since_end_s: float = 0.0) -> MergeResult:
        """Merges an instance; if it has ended, it did so `since_end_s` seconds ago."""
        entry = self._entries.get(instance.id)
        if entry is None:
            if not instance.is_live and since_end_s >= ENDED_RETENTION_S:
                return MergeResult(instance, changed=False, had_newer_facts=False)
            self._insert(now, instance, instance.fingerprint(), since_end_s)
            return MergeResult(instance, changed=True, had_newer_facts=False)
        before = entry.instance
        merged = merge(before, instance)
        if not differs(now, before, merged):
            entry.instance = attrs.evolve(merged, warm_at=before.warm_at)
            return MergeResult(entry.instance, changed=False, had_newer_facts=differs(now, instance, merged))
        self._remove_from_indexes(entry)
        self._insert(now, merged, merged.fingerprint(), since_end_s)
        return MergeResult(merged, changed=True, had_newer_facts=differs(now, instance, merged))

    def record_heartbeat(self, instance_id: str, sequence: int) -> bool:
        """Records a heartbeat that changes nothing else; returns whether its instance is live here."""
        entry = self._entries.get(instance_id)
        if entry is None or entry.ended_at is not None:
            return False
        if sequence > entry.instance.sequence:
            entry.instance = attrs.evolve(entry.instance, sequence=sequence)
        return True

    def remove(self, instance_id: str) -> None:
        """Removes the instance without leaving a tombstone."""
        entry = self._entries.pop(instance_id)
        self._remove_from_indexes(entry)
        self._ended.pop(instance_id, None)

    def forget_ended(self, now: float) -> list[str]:
        """Removes expired tombstones, and the oldest ones beyond `MAX_ENDED_INSTANCES`. Returns their ids."""
        forgotten = []
        while self._ended:
            oldest = next(iter(self._ended))
            if now - self._ended[oldest] < ENDED_RETENTION_S and len(self._ended) <= MAX_ENDED_INSTANCES:
                break
            self.remove(oldest)
            forgotten.append(oldest)
        return forgotten

    def _insert(self, now: float, instance: Instance, fingerprint: int, since_end_s: float) -> None:
        self._usable_by_service = None
        if not instance.is_live:
            ended_at = self._ended.setdefault(instance.id, now - since_end_s)
            self._entries[instance.id] = _Entry(instance, fingerprint, ended_at)
            return
        self._ended.pop(instance.id, None)
        self._entries[instance.id] = _Entry(instance, fingerprint, None)
        self.digest ^= fingerprint
        self.live_count += 1
        self._live_ids_by_address.setdefault(instance.address, set()).add(instance.id)

    def _remove_from_indexes(self, entry: _Entry) -> None:
        self._usable_by_service = None
        if entry.ended_at is not None:
            return
        self.digest ^= entry.fingerprint
        self.live_count -= 1
        address, instance_id = entry.instance.address, entry.instance.id
        self._live_ids_by_address[address].discard(instance_id)
        if not self._live_ids_by_address[address]:
            del self._live_ids_by_address[address]

    def _group_usable(self) -> dict[str, tuple[Instance, ...]]:
        found: dict[str, list[Instance]] = {}
        for entry in self._entries.values():
            if entry.ended_at is None and not self.is_superseded(entry.instance):
                found.setdefault(entry.instance.service, []).append(entry.instance)
        return {service: tuple(instances) for service, instances in found.items()}


def effective(table: InstanceTable, instance: Instance) -> Instance:
    """Returns the instance as the data plane sees it: gone if given up, or if a newer one has its address."""
    if instance.is_live and not table.is_superseded(instance):
        return instance
    return attrs.evolve(instance, state=InstanceState.GONE)
