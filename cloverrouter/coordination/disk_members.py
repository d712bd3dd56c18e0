"""The disk members: the machines whose disks count for the quorum.

Unlike the partial view, this map is complete, as there are few such machines.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cloverrouter.coordination.sampling_messages import AgedRecord, PeerRecord

FORGET_AFTER_S = 30.0
MAX_REMEMBERED = 64  # members, expired ones included
MAX_SENT = 32  # members in one shuffle


@attrs.frozen(slots=True)
class DiskMember:
    """A disk member, and the seconds since it is known to have been alive."""

    record: PeerRecord
    silent_for_s: float


@attrs.define(slots=True)
class _TrackedMember:
    record: PeerRecord
    last_seen_at: float  # when the member created its newest record, at the latest
    is_present: bool = True


class DiskMembers:
    """The disk members that this machine has learned of, by identity.

    Only a record with a higher incarnation or heartbeat counter than the stored one refreshes a member. A
    member silent for `FORGET_AFTER_S` is no longer reported or sent to others, but its counters are kept, so
    that outdated records that are still in circulation do not bring it back.
    """

    def __init__(self) -> None:
        self._members: dict[str, _TrackedMember] = {}

    def learn(self, now: float, record: PeerRecord, age_s: float) -> bool:
        """Merges a record that is `age_s` seconds old. Returns whether the member has become present."""
        if not record.counts_for_quorum or not record.identity or age_s >= FORGET_AFTER_S:
            return False
        member = self._members.get(record.identity)
        if member is None:
            return self._add(now, record, age_s)
        if not record.is_newer_than(member.record):
            return False
        was_present = member.is_present
        member.record = record
        member.last_seen_at = max(member.last_seen_at, now - age_s)
        member.is_present = self._is_latest_at_address(record)
        return member.is_present and not was_present

    def expire_silent(self, now: float) -> None:
        """Marks members silent for `FORGET_AFTER_S` as absent; removes the oldest above `MAX_REMEMBERED`."""
        for member in self._members.values():
            if now - member.last_seen_at >= FORGET_AFTER_S:
                member.is_present = False
        while len(self._members) > MAX_REMEMBERED:
            oldest = min(self._members, key=lambda identity: self._members[identity].last_seen_at)
            del self._members[oldest]

    def members(self, now: float) -> list[DiskMember]:
        """Returns the members that are present, the most recently seen first."""
        present = [member for member in self._members.values() if member.is_present]
        present.sort(key=lambda member: -member.last_seen_at)
        return [DiskMember(member.record, max(0.0, now - member.last_seen_at)) for member in present]

    def records_to_send(self, now: float) -> tuple[AgedRecord, ...]:
        """Returns the records that a shuffle carries: those of the `MAX_SENT` most recently seen members."""
        return tuple(
            AgedRecord(member.record, int(member.silent_for_s * 1000))
            for member in self.members(now)[:MAX_SENT]
        )

    def remembered_ips(self) -> Iterable[str]:
        """Returns the addresses of all remembered members, present or not."""
        return {member.record.ip for member in self._members.values()}

    def recently_seen_ips(self, now: float, max_silence_s: float) -> Iterable[str]:
        """Returns the addresses of the present members seen within the last `max_silence_s` seconds.

        The gossip of these members reaches this machine, so they need no probe.
        """
        return {
            member.record.ip
            for member in self._members.values()
            if member.is_present and now - member.last_seen_at < max_silence_s
        }

    def _add(self, now: float, record: PeerRecord, age_s: float) -> bool:
        is_present = self._is_latest_at_address(record)
        self._members[record.identity] = _TrackedMember(record, now - age_s, is_present)
        return is_present

    def _is_latest_at_address(self, record: PeerRecord) -> bool:
        """Returns whether no newer incarnation is known at this address, and marks older ones as absent.

        A machine that lost its disk is a new member at its old address; its former identity is obsolete.
        """
        for identity, member in self._members.items():
            if identity == record.identity or member.record.ip != record.ip:
                continue
            if member.record.incarnation > record.incarnation:
                return False
            member.is_present = False
        return True
