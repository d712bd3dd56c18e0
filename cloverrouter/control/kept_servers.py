"""The list of servers over a restart of everything: a copy on the disks of machines that have one.

The list lives in memory; servers announce themselves again, each within a heartbeat. Where all machines
restarted at once, the servers that are the first to do so would get all the load meanwhile. So each machine
with a disk keeps a copy, and takes it back where it finds, shortly after its start, that the others know less
than half of it. What was kept is news like any other: what a server or another machine knows better wins, and
who doesn't announce itself again is soon taken for silent.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence

from cloverrouter.control.registry import Effect, Registry
from cloverrouter.control.registry_messages import InstanceList, InstanceRecord
from cloverrouter.messages import Decoder, MessageError, encode

LOOK_S = 1.0
"""The copy is renewed at most so often where the list has changed,"""
RENEW_S = 5.0
"""and so often where it hasn't: it tells how old it is."""
OLDEST_S = 15.0
"""An older copy is of no use."""
TAKEN_BACK_AFTER_S = 0.15
"""After a start of this machine alone the others' lists are here by then."""
MOST_BYTES = 1024 * 1024
RECORDS_A_LOOK = 500
"""Longer lists are looked at less often, in proportion: copying takes processor time."""
_SAVED_AT = struct.Struct(">d")


def pack(records: Sequence[InstanceRecord], wall_s: float) -> bytes | None:
    """The copy of a list as it stands at that time of day; None if it is too large to be kept."""
    data = _SAVED_AT.pack(wall_s) + encode(InstanceList(0, 1, tuple(records), False))
    return data if len(data) <= MOST_BYTES else None


def unpack(data: bytes, wall_s: float) -> tuple[InstanceRecord, ...]:
    """The records of a copy, aged by the time since; empty where it is too old or can't be read."""
    if len(data) < _SAVED_AT.size:
        return ()
    age_s = wall_s - _SAVED_AT.unpack_from(data)[0]
    if not abs(age_s) <= OLDEST_S:  # also where it is not a number
        return ()
    try:
        messages = list(Decoder(MOST_BYTES).feed(data[_SAVED_AT.size :]))
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
        lost=record.lost,
        age_ms=record.age_ms + by_ms,
    )


class KeptServers:
    """When one machine's list is copied, and when a copy is taken back. Times on the steady clock."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._found: tuple[InstanceRecord, ...] = ()
        self._taken_back_at = 0.0
        self._next_look = 0.0
        self._renewed_at = 0.0
        self._digest: int | None = None

    def found(self, now: float, records: tuple[InstanceRecord, ...]) -> None:
        """This is the copy that the process found at its start."""
        self._found = records
        self._taken_back_at = now + TAKEN_BACK_AFTER_S
        self._next_look = now + LOOK_S

    def tick(self, now: float) -> list[Effect]:
        """Take the copy back, if it is time and the others know too little."""
        if not self._found or now < self._taken_back_at:
            return []
        found, self._found = self._found, ()
        known = sum(record.id in self._registry for record in found)
        if 2 * known >= len(found):
            return []
        return self._registry.taken_back(now, found)

    def due(self, now: float) -> list[InstanceRecord] | None:
        """The records to copy now; None if the last copy is good enough."""
        if now < self._next_look:
            return None
        self._next_look = now + LOOK_S * max(1.0, len(self._registry) / RECORDS_A_LOOK)
        digest = self._registry.digest
        if digest == self._digest and now - self._renewed_at < RENEW_S:
            return None
        self._digest = digest
        self._renewed_at = now
        return self._registry.records(now)
