"""The origin's part of the registry: news of servers that wait for a majority of the voters."""

from __future__ import annotations

from collections.abc import Collection

import attrs

RESEND_AFTER = 0.25
FAIL_AFTER = 3.5
WAIT_FOR_ALL = 0.5


@attrs.frozen(slots=True)
class Acknowledged:
    """The change is with a majority of the voters and on its way to every machine: answer the server 200."""

    change: int


@attrs.frozen(slots=True)
class Failed:
    """The change found no majority in time: answer the server 503, it will call another machine."""

    change: int


@attrs.define(slots=True)
class Pending:
    """News of one instance under way to the voters, with the changes (calls of the server) that wait for
    it.
    """

    instance_id: str
    fingerprint: int
    is_leaving: bool
    started_at: float
    sent_at: float = float("-inf")
    waiting: dict[int, float] = attrs.field(factory=dict)
    taken_by: set[str] = attrs.field(factory=set)

    def untaken(self, voters: Collection[str]) -> list[str]:
        """The voters that have not taken it yet."""
        return [ip for ip in voters if ip not in self.taken_by]


class Announcements:
    """All news under way from this machine, and what is known to be with a majority."""

    def __init__(self) -> None:
        self._pending: dict[str, Pending] = {}
        self._confirmed: dict[str, int] = {}

    def __contains__(self, instance_id: object) -> bool:
        return instance_id in self._pending

    def is_confirmed(self, instance_id: str, fingerprint: int) -> bool:
        """True if a majority of the voters is known to have exactly this."""
        return instance_id not in self._pending and self._confirmed.get(instance_id) == fingerprint

    def confirm(self, instance_id: str, fingerprint: int) -> None:
        """Known from elsewhere: a voter has passed it on."""
        self._confirmed[instance_id] = fingerprint

    def forget(self, instance_id: str) -> None:
        """The instance is no longer in the list."""
        self._confirmed.pop(instance_id, None)

    def add(self, now: float, change: int, instance_id: str, fingerprint: int, is_leaving: bool) -> None:
        """News to send. What waited for older news of the same instance waits for these."""
        old = self._pending.get(instance_id)
        if old is not None and old.fingerprint == fingerprint:
            old.waiting[change] = now
            return
        pending = Pending(instance_id, fingerprint, is_leaving, now)
        if old is not None:
            pending.waiting.update(old.waiting)
        pending.waiting[change] = now
        self._pending[instance_id] = pending

    def taken(self, voter: str, instance_id: str, fingerprint: int, newest: int | None) -> None:
        """A voter has taken a record of the instance: the one that is pending, or the newest, which tells
        more.
        """
        pending = self._pending.get(instance_id)
        if pending is not None and fingerprint in (pending.fingerprint, newest):
            pending.taken_by.add(voter)

    def to_send(self, now: float) -> list[Pending]:
        """What is due to be sent (again); counts as sent from now on."""
        due = [pending for pending in self._pending.values() if now - pending.sent_at >= RESEND_AFTER]
        for pending in due:
            pending.sent_at = now
        return due

    def settle(
        self, now: float, voters: Collection[str], live: Collection[str]
    ) -> list[Acknowledged | Failed]:
        """What a majority has by now, and what has waited too long. `live`: the voters with a live link."""
        effects: list[Acknowledged | Failed] = []
        for pending in list(self._pending.values()):
            if _is_done(now, pending, voters, live):
                del self._pending[pending.instance_id]
                self._confirmed[pending.instance_id] = pending.fingerprint
                effects += [Acknowledged(change) for change in pending.waiting]
                continue
            late = [change for change, since in pending.waiting.items() if now - since >= FAIL_AFTER]
            for change in late:
                del pending.waiting[change]
                effects.append(Failed(change))
            if not pending.waiting:
                del self._pending[pending.instance_id]
        return effects


def _is_done(now: float, pending: Pending, voters: Collection[str], live: Collection[str]) -> bool:
    taken = sum(1 for ip in voters if ip in pending.taken_by)
    if not voters or taken <= len(voters) // 2:
        return False
    if not pending.is_leaving or now - pending.started_at >= WAIT_FOR_ALL:
        return True
    return all(ip in pending.taken_by for ip in live)
