"""Departures: servers that said that they are draining or have ended, and which of them are on this disk.

The acknowledgement of a departure promises that the server gets no more requests, for good: a server that has
ended never calls again. So it must outlive the processes, and a voter acknowledges a departure only once its
own disk has it. Other calls of servers promise nothing that the next heartbeat doesn't say again, and don't
wait for a disk.

At most one write is in progress; departures that arrive meanwhile are written together by the next one. While
the disk fails or stalls, acknowledgements are refused, so that no call waits for one that cannot come.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cloverrouter.control.registry_messages import InstanceRecord

WRITE_RETRY_S = 0.5
STALLED_AFTER_S = 0.5
"""A write that takes longer counts as one that may never end."""
MAX_BATCH = 500
"""The most departures in one write."""


@attrs.frozen(slots=True)
class StoreDepartures:
    """Requests that these records be stored durably; `Registry.departures_stored` or
    `Registry.departures_not_stored` receives the result."""

    records: tuple[InstanceRecord, ...]


class Departures:
    """The departures that this machine's disk has, and those that it is to store. Without I/O.

    `has_disk`: a machine without one can only keep departures in memory, so all count as stored.
    """

    def __init__(self, has_disk: bool) -> None:
        self._has_disk = has_disk
        self._stored: set[str] = set()
        self._queued: dict[str, None] = {}
        self._in_flight: tuple[str, ...] = ()
        self._write_started_at = 0.0
        self._is_failing = False
        self._retry_at = float("-inf")

    def is_stored(self, instance_id: str) -> bool:
        """Returns whether the departure outlives this process."""
        return not self._has_disk or instance_id in self._stored

    def refuses(self, now: float) -> bool:
        """Returns whether the disk takes nothing now: it failed the last write, or takes too long for one."""
        return self._is_failing or (bool(self._in_flight) and now - self._write_started_at > STALLED_AFTER_S)

    def add(self, instance_id: str) -> None:
        """Queues a departure, unless it is stored."""
        if not self.is_stored(instance_id) and instance_id not in self._in_flight:
            self._queued[instance_id] = None

    def restored(self, instance_ids: Iterable[str]) -> None:
        """Records the departures that the disk had when this process started."""
        self._stored.update(instance_ids)

    def forget(self, instance_id: str) -> None:
        """Drops a departure that is remembered no longer."""
        self._stored.discard(instance_id)
        self._queued.pop(instance_id, None)

    def next_write(self, now: float) -> tuple[str, ...]:
        """Returns the departures to write now; none while a write is in progress or none is due."""
        if not self._queued or self._in_flight or now < self._retry_at:
            return ()
        self._in_flight = tuple(self._queued)[:MAX_BATCH]
        for instance_id in self._in_flight:
            del self._queued[instance_id]
        self._write_started_at = now
        return self._in_flight

    def written(self) -> tuple[str, ...]:
        """Handles the end of the write in progress; returns the departures that are stored now."""
        stored, self._in_flight = self._in_flight, ()
        self._stored.update(stored)
        self._is_failing = False
        return stored

    def not_written(self, now: float) -> None:
        """Handles the failure of the write in progress, which is repeated later."""
        self._queued = dict.fromkeys((*self._in_flight, *self._queued))
        self._in_flight = ()
        self._is_failing = True
        self._retry_at = now + WRITE_RETRY_S
