"""Servers that a machine knows only from its own disk, since a restart of the whole fleet.

A list read from a disk says who was there when it was written, and may be older than the acknowledgement of a
departure that other disks have. So it stands in for the servers' heartbeats only until these are due: a
server that has not called by then is given up, and is listed again at its next call.
"""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.control.instance_table import InstanceTable
from cloverrouter.control.instances import Instance, InstanceState

SETTLED_CONTACT_S = 1.0
"""How long a machine has had contact to a majority before the calls that the others got are surely known."""


class RestoredServers:
    """Restored servers and the sequence numbers of their last known calls. Without I/O."""

    def __init__(self, confirm_within_s: float) -> None:
        self._confirm_within_s = confirm_within_s
        self._sequences: dict[str, int] = {}
        self._confirm_until = 0.0
        self._contact_since: float | None = None

    def __bool__(self) -> bool:
        return bool(self._sequences)

    def add(self, now: float, instances: Iterable[Instance]) -> None:
        """Adds ready servers that were restored from the disk."""
        self._sequences.update((each.id, each.sequence) for each in instances)
        self._confirm_until = now + self._confirm_within_s

    def take_unconfirmed(self, now: float, has_contact: bool, table: InstanceTable) -> list[Instance]:
        """Returns the servers that have not called since they were restored, once their time is up.

        `has_contact`: whether this machine has contact to a majority of the voters. Without it, it can't know
        of the calls that others received.
        """
        if not has_contact:
            self._contact_since = None
            return []
        if self._contact_since is None:
            self._contact_since = now
        if now < max(self._confirm_until, self._contact_since + SETTLED_CONTACT_S):
            return []
        sequences, self._sequences = self._sequences, {}
        found = [table.get(instance_id) for instance_id in sequences]
        return [each for each in found if each is not None and _is_unconfirmed(each, sequences[each.id])]


def _is_unconfirmed(instance: Instance, sequence: int) -> bool:
    is_ready = instance.is_live and instance.state is InstanceState.READY
    return is_ready and instance.sequence <= sequence
