"""All machines whose disks count for the quorum: a complete map, unlike the partial view, since there are
few.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cloverrouter.coordination.sampling_messages import AgedRecord, PeerRecord

FORGET_AFTER = 30.0
MAX_REMEMBERED = 64
MAX_TOLD = 32


@attrs.frozen(slots=True)
class DiskMember:
    """A machine with a disk that counts, and how many seconds ago it is known to have lived."""

    record: PeerRecord
    silent_for: float


@attrs.define(slots=True)
class _Known:
    record: PeerRecord
    heard_at: float
    present: bool = True


class DiskMembers:
    """The disk members heard of, by identity.

    How old the news of a member is, is judged by its own heartbeat counter: only a higher one is news. A
    member silent for `FORGET_AFTER` is no longer told of, but its counter is remembered, so that old news
    don't bring it back.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def learn(self, now: float, record: PeerRecord, age: float) -> bool:
        """Takes in a record told `age` seconds ago; returns whether the member was not present before."""
        if not record.counts or not record.identity or age >= FORGET_AFTER:
            return False
        known = self._known.get(record.identity)
        if known is None:
            return self._learn_new(now, record, age)
        if not record.is_newer_than(known.record):
            return False
        was_present = known.present
        known.record = record
        known.heard_at = max(known.heard_at, now - age)
        known.present = self._is_latest_at_address(record)
        return known.present and not was_present

    def forget_silent(self, now: float) -> None:
        """Drops those that have been silent for `FORGET_AFTER` from what is told, and the oldest from
        memory.
        """
        for known in self._known.values():
            if now - known.heard_at >= FORGET_AFTER:
                known.present = False
        while len(self._known) > MAX_REMEMBERED:
            oldest = min(self._known, key=lambda identity: self._known[identity].heard_at)
            del self._known[oldest]

    def members(self, now: float) -> list[DiskMember]:
        """Those present, the freshest first."""
        present = [known for known in self._known.values() if known.present]
        present.sort(key=lambda known: -known.heard_at)
        return [DiskMember(known.record, max(0.0, now - known.heard_at)) for known in present]

    def told(self, now: float) -> tuple[AgedRecord, ...]:
        """What a shuffle carries of them: the freshest `MAX_TOLD`."""
        return tuple(
            AgedRecord(member.record, int(member.silent_for * 1000))
            for member in self.members(now)[:MAX_TOLD]
        )

    def remembered_ips(self) -> Iterable[str]:
        """The addresses of all that are or were here."""
        return {known.record.ip for known in self._known.values()}

    def fresh_ips(self, now: float, silence: float) -> Iterable[str]:
        """The addresses of those heard of within the last `silence` seconds: the machine is joined with
        them.
        """
        return {k.record.ip for k in self._known.values() if k.present and now - k.heard_at < silence}

    def _learn_new(self, now: float, record: PeerRecord, age: float) -> bool:
        present = self._is_latest_at_address(record)
        self._known[record.identity] = _Known(record, now - age, present)
        return present

    def _is_latest_at_address(self, record: PeerRecord) -> bool:
        """A machine that lost its disk is a new member at its old address: the older identity there has
        ended.
        """
        for identity, known in self._known.items():
            if identity == record.identity or known.record.ip != record.ip:
                continue
            if known.record.incarnation > record.incarnation:
                return False
            known.present = False
        return True
