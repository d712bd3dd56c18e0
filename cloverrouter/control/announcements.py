"""The origin's side of the registry: changes that await acknowledgement by a majority of the voters."""

from __future__ import annotations

from collections.abc import Collection, Iterator

import attrs

RESEND_AFTER_S = 0.25
MAJORITY_TIMEOUT_S = 3.5
"""A change that no majority has acknowledged by then fails."""
ALL_VOTERS_WAIT_S = 0.5
"""A draining or ended instance waits so long for all reachable voters that can store it, then for a majority
only."""


@attrs.frozen(slots=True)
class Acknowledged:
    """A majority of the voters has the change and is sending it to every machine: answer the server 200.

    They have it on their disks, if the server is draining or has ended.
    """

    change: int


@attrs.frozen(slots=True)
class Failed:
    """No majority acknowledged the change in time, or can do so now: answer the server 503; it then calls
    another machine."""

    change: int


@attrs.define(slots=True)
class Pending:
    """An instance's state that is being sent to the voters, and the changes that wait for it.

    `waiting_since` maps the number of each change (a call of the server) to the time of the call.
    `acknowledged_by` holds the voters that have acknowledged the state, `refused_by` those whose disks take
    nothing.
    """

    instance_id: str
    fingerprint: int
    is_leaving: bool
    started_at: float
    sent_at: float = float("-inf")
    waiting_since: dict[int, float] = attrs.field(factory=dict)
    acknowledged_by: set[str] = attrs.field(factory=set)
    refused_by: set[str] = attrs.field(factory=set)

    def can_reach_majority(self, voters: Collection[str]) -> bool:
        """Returns whether a majority has acknowledged it or still may."""
        possible = sum(ip in self.acknowledged_by or ip not in self.refused_by for ip in voters)
        return not voters or 2 * possible > len(voters)

    def unacknowledged_voters(self, voters: Collection[str]) -> list[str]:
        """Returns the voters that have not acknowledged it yet."""
        return [ip for ip in voters if ip not in self.acknowledged_by]


class Announcements:
    """The changes on their way from this machine to the voters, and the states that a majority has."""

    def __init__(self) -> None:
        self._pending: dict[str, Pending] = {}
        self._confirmed: dict[str, int] = {}

    def __contains__(self, instance_id: object) -> bool:
        return instance_id in self._pending

    def is_confirmed(self, instance_id: str, fingerprint: int) -> bool:
        """Returns whether a majority of the voters is known to have exactly this state."""
        return instance_id not in self._pending and self._confirmed.get(instance_id) == fingerprint

    def confirm(self, instance_id: str, fingerprint: int) -> None:
        """Records a state as confirmed because a voter has sent it to this machine."""
        self._confirmed[instance_id] = fingerprint

    def forget(self, instance_id: str) -> None:
        """Drops the confirmation of an instance that has left the list."""
        self._confirmed.pop(instance_id, None)

    def add(self, now: float, change: int, instance_id: str, fingerprint: int, is_leaving: bool) -> None:
        """Adds a change to send. Changes that wait for an older state of the instance wait for this one."""
        old = self._pending.get(instance_id)
        if old is not None and old.fingerprint == fingerprint:
            old.waiting_since[change] = now
            return
        pending = Pending(instance_id, fingerprint, is_leaving, now)
        if old is not None:
            pending.waiting_since.update(old.waiting_since)
        pending.waiting_since[change] = now
        self._pending[instance_id] = pending

    def record_acknowledgement(
        self, voter: str, instance_id: str, fingerprint: int, newest: int | None
    ) -> None:
        """Records a voter's acknowledgement of the pending state, or of the newest one, which includes it.

        Acknowledgements of any other state are ignored.
        """
        pending = self._pending.get(instance_id)
        if pending is not None and fingerprint in (pending.fingerprint, newest):
            pending.acknowledged_by.add(voter)
            pending.refused_by.discard(voter)

    def record_refusal(self, voter: str, instance_id: str, fingerprint: int) -> None:
        """Records that a voter cannot store the pending state now."""
        pending = self._pending.get(instance_id)
        if (
            pending is not None
            and fingerprint == pending.fingerprint
            and voter not in pending.acknowledged_by
        ):
            pending.refused_by.add(voter)

    def __iter__(self) -> Iterator[Pending]:
        return iter(list(self._pending.values()))

    def take_due(self, now: float) -> list[Pending]:
        """Returns what is due to be sent or resent, and marks it as sent."""
        due = [pending for pending in self._pending.values() if now - pending.sent_at >= RESEND_AFTER_S]
        for pending in due:
            pending.sent_at = now
        return due

    def settle(
        self, now: float, voters: Collection[str], live: Collection[str]
    ) -> list[Acknowledged | Failed]:
        """Returns the outcomes of changes that are acknowledged, refused or timed out, and drops them.

        `live`: the voters with a live link.
        """
        effects: list[Acknowledged | Failed] = []
        for pending in list(self._pending.values()):
            if _is_done(now, pending, voters, live):
                del self._pending[pending.instance_id]
                self._confirmed[pending.instance_id] = pending.fingerprint
                effects += [Acknowledged(change) for change in pending.waiting_since]
                continue
            timed_out = [
                change
                for change, since in pending.waiting_since.items()
                if now - since >= MAJORITY_TIMEOUT_S or not pending.can_reach_majority(voters)
            ]
            for change in timed_out:
                del pending.waiting_since[change]
                effects.append(Failed(change))
            if not pending.waiting_since:
                del self._pending[pending.instance_id]
        return effects


def _is_done(now: float, pending: Pending, voters: Collection[str], live: Collection[str]) -> bool:
    acknowledgements = sum(1 for ip in voters if ip in pending.acknowledged_by)
    if not voters or acknowledgements <= len(voters) // 2:
        return False
    if not pending.is_leaving or now - pending.started_at >= ALL_VOTERS_WAIT_S:
        return True
    return all(ip in pending.acknowledged_by or ip in pending.refused_by for ip in live)
