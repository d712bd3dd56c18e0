"""The list of servers that one machine holds, with a digest to compare it by, and what has ended kept for a
while.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from cloverrouter.control.instances import Instance, InstanceState, differs, merge

ENDED_KEPT_FOR = 150.0
MAX_ENDED = 10_000


@attrs.define(slots=True)
class _Entry:
    instance: Instance
    fingerprint: int
    ended_at: float | None


@attrs.frozen(slots=True)
class Merged:
    """What came of a piece of news: whether it changed the list, and whether the list knew more than it."""

    instance: Instance
    changed: bool
    knew_more: bool


class InstanceTable:
    """Instances by id. What has ended (gone or given up) stays for `ENDED_KEPT_FOR`, so that old news of it
    do not bring it back; the digest covers the live ones only.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._ended: dict[str, float] = {}
        self._at_address: dict[str, set[str]] = {}
        self._of_service: dict[str, tuple[Instance, ...]] | None = None
        self.digest = 0
        self.live_count = 0

    def __contains__(self, instance_id: object) -> bool:
        return instance_id in self._entries

    def __iter__(self) -> Iterator[Instance]:
        return (entry.instance for entry in self._entries.values())

    def get(self, instance_id: str) -> Instance | None:
        """The instance, ended or not."""
        entry = self._entries.get(instance_id)
        return entry.instance if entry else None

    def fingerprint(self, instance_id: str) -> int:
        """The fingerprint of a known instance."""
        return self._entries[instance_id].fingerprint

    def ended_for(self, now: float, instance_id: str) -> float | None:
        """How long ago it became known that the instance has ended; None while it is live."""
        ended_at = self._entries[instance_id].ended_at
        return None if ended_at is None else now - ended_at

    def usable(self, service: str) -> tuple[Instance, ...]:
        """The live instances of a service whose addresses nobody newer has."""
        if self._of_service is None:
            self._of_service = self._by_service()
        return self._of_service.get(service, ())

    def services(self) -> list[str]:
        """The services that have usable instances."""
        self.usable("")
        return list(self._of_service or ())

    def is_superseded(self, instance: Instance) -> bool:
        """True if a newer instance is at its address."""
        return any(other.generation > instance.generation for other in self.rivals(instance))

    def rivals(self, instance: Instance) -> list[Instance]:
        """The other live instances that announced the same address."""
        ids = self._at_address.get(instance.address, set()) - {instance.id}
        return [self._entries[other].instance for other in ids]

    def merge(self, now: float, instance: Instance, ended_for: float = 0.0) -> Merged:
        """Takes in news of an instance that, if it has ended, ended `ended_for` seconds ago."""
        entry = self._entries.get(instance.id)
        if entry is None:
            if not instance.is_live and ended_for >= ENDED_KEPT_FOR:
                return Merged(instance, changed=False, knew_more=False)
            self._put(now, instance, instance.fingerprint(), ended_for)
            return Merged(instance, changed=True, knew_more=False)
        before = entry.instance
        merged = merge(before, instance)
        if not differs(now, before, merged):
            entry.instance = attrs.evolve(merged, warm_at=before.warm_at)
            return Merged(entry.instance, changed=False, knew_more=differs(now, instance, merged))
        self._take_out(entry)
        self._put(now, merged, merged.fingerprint(), ended_for)
        return Merged(merged, changed=True, knew_more=differs(now, instance, merged))

    def beat(self, instance_id: str, sequence: int) -> bool:
        """A heartbeat without news; returns whether it is of a live instance."""
        entry = self._entries.get(instance_id)
        if entry is None or entry.ended_at is not None:
            return False
        if sequence > entry.instance.sequence:
            entry.instance = attrs.evolve(entry.instance, sequence=sequence)
        return True

    def remove(self, instance_id: str) -> None:
        """Forgets the instance altogether."""
        entry = self._entries.pop(instance_id)
        self._take_out(entry)
        self._ended.pop(instance_id, None)

    def forget_ended(self, now: float) -> list[str]:
        """Forgets what ended long ago, and the oldest of what ended where that is too much. Returns their
        ids.
        """
        forgotten = []
        while self._ended:
            oldest = next(iter(self._ended))
            if now - self._ended[oldest] < ENDED_KEPT_FOR and len(self._ended) <= MAX_ENDED:
                break
            self.remove(oldest)
            forgotten.append(oldest)
        return forgotten

    def _put(self, now: float, instance: Instance, fingerprint: int, ended_for: float) -> None:
        self._of_service = None
        if not instance.is_live:
            ended_at = self._ended.setdefault(instance.id, now - ended_for)
            self._entries[instance.id] = _Entry(instance, fingerprint, ended_at)
            return
        self._ended.pop(instance.id, None)
        self._entries[instance.id] = _Entry(instance, fingerprint, None)
        self.digest ^= fingerprint
        self.live_count += 1
        self._at_address.setdefault(instance.address, set()).add(instance.id)

    def _take_out(self, entry: _Entry) -> None:
        self._of_service = None
        if entry.ended_at is not None:
            return
        self.digest ^= entry.fingerprint
        self.live_count -= 1
        address, instance_id = entry.instance.address, entry.instance.id
        self._at_address[address].discard(instance_id)
        if not self._at_address[address]:
            del self._at_address[address]

    def _by_service(self) -> dict[str, tuple[Instance, ...]]:
        found: dict[str, list[Instance]] = {}
        for entry in self._entries.values():
            if entry.ended_at is None and not self.is_superseded(entry.instance):
                found.setdefault(entry.instance.service, []).append(entry.instance)
        return {service: tuple(instances) for service, instances in found.items()}


def effective(table: InstanceTable, instance: Instance) -> Instance:
    """The instance as the data plane is to see it: gone, if it was given up or its address is another's
    now.
    """
    if instance.is_live and not table.is_superseded(instance):
        return instance
    return attrs.evolve(instance, state=InstanceState.GONE)
