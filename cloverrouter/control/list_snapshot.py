"""Snapshots of the list of servers on disk, from which it is restored when the whole fleet restarts at once.

The list lives in memory, and each server announces itself again within one heartbeat interval. Until all have
done so after a restart of the whole fleet, the first ones would get all the load. So each machine with a disk
keeps a snapshot, and restores it if, shortly after its start, the list received from the others has less than
half of its servers. Restored records are merged like received ones: newer facts from a server or another
machine win, and a server that doesn't call again soon is given up (see `restored_servers`). What a snapshot
says of a server may be older than the acknowledgement of its departure: departures have a file of their own
(see `departures`).
"""

from __future__ import annotations

import struct
from collections.abc import Sequence

from cloverrouter.control.registration import is_valid_id
from cloverrouter.control.registry import Effect, Registry
from cloverrouter.control.registry_messages import InstanceList, InstanceRecord
from cloverrouter.messages import Decoder, MessageError, encode

WRITE_INTERVAL_S = 1.0
"""The shortest interval between two snapshots; a changed list is written after it."""
REFRESH_INTERVAL_S = 5.0
"""The interval after which an unchanged list is written again, so that the snapshot's time stays recent."""
MAX_AGE_S = 15.0
"""A snapshot older than this is ignored."""
RESTORE_DELAY_S = 0.15
"""If only this machine restarted, the lists of the others have arrived by then."""
MAX_BYTES = 1024 * 1024
RECORDS_PER_INTERVAL = 500
"""For a longer list the interval grows in proportion, as a snapshot takes processor time."""
_SAVED_AT = struct.Struct(">d")


def pack(records: Sequence[InstanceRecord], wall_s: float) -> bytes | None:
    """Encodes a list with the wall-clock time at which it was current; None if it exceeds `MAX_BYTES`."""
    data = _SAVED_AT.pack(wall_s) + encode(InstanceList(0, 1, tuple(records), False))
    return data if len(data) <= MAX_BYTES else None


def unpack(data: bytes, wall_s: float, max_age_s: float = MAX_AGE_S) -> tuple[InstanceRecord, ...]:
    """Decodes packed records and adds the time since then to their ages.

    Returns an empty tuple if they are too old or malformed.
    """
    if len(data) < _SAVED_AT.size:
        return ()
    age_s = wall_s - _SAVED_AT.unpack_from(data)[0]
    if not abs(age_s) <= max_age_s:  # also false for NaN
        return ()
    try:
        messages = list(Decoder(MAX_BYTES).feed(data[_SAVED_AT.size :]))
    except MessageError:
        return ()
    if len(messages) != 1 or not isinstance(messages[0], InstanceList):
        return ()
    age_ms = max(0, int(age_s * 1000))
    return tuple([_aged(each, age_ms) for each in messages[0].records])


def _aged(record: InstanceRecord, by_ms: int) -> InstanceRecord:
    return InstanceRecord(
        id=record.id,
        service=record.service,
        address=record.address,
        zone=record.zone,
        version=record.version,
        capacity=record.capacity,
        state=record.state,
        warmup_ms=max(0, record.warmup_ms - by_ms),
        sequence=record.sequence,
        phase=record.phase,
        models=record.models,
        generation=record.generation,
        lost_generation=record.lost_generation,
        age_ms=record.age_ms + by_ms,
    )


class ListSnapshot:
    """Decides when one machine's list is written and when a snapshot is restored.

    Times are seconds of the monotonic clock.
    """

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._loaded: tuple[InstanceRecord, ...] = ()
        self._restore_at = 0.0
        self._next_write = 0.0
        self._written_at = 0.0
        self._written_digest: int | None = None

    def loaded(self, now: float, records: tuple[InstanceRecord, ...]) -> None:
        """Receives the snapshot that the process read at its start.

        Earlier versions accepted ids that can't be sent to servers; such servers can't register any more.
        """
        self._loaded = tuple(record for record in records if is_valid_id(record.id))
        self._restore_at = now + RESTORE_DELAY_S
        self._next_write = now + WRITE_INTERVAL_S

    def tick(self, now: float) -> list[Effect]:
        """Restores the snapshot once it is due, if the list has less than half of its servers.

        The voters' snapshots are enough: a machine that knows that it is none of them restores nothing. It
        would not receive the heartbeats that confirm what it restored.
        """
        if not self._loaded or now < self._restore_at:
            return []
        records, self._loaded = self._loaded, ()
        if self._registry.is_known_non_voter:
            return []
        known_count = sum(record.id in self._registry for record in records)
        if 2 * known_count >= len(records):
            return []
        return self._registry.restore(now, records)

    def take_due(self, now: float) -> list[InstanceRecord] | None:
        """Returns the records to write now; None if no write is due."""
        if now < self._next_write:
            return None
        self._next_write = now + WRITE_INTERVAL_S * max(1.0, len(self._registry) / RECORDS_PER_INTERVAL)
        digest = self._registry.digest
        if digest == self._written_digest and now - self._written_at < REFRESH_INTERVAL_S:
            return None
        self._written_digest = digest
        self._written_at = now
        return self._registry.records(now)
