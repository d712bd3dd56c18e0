"""A disk of the model: what it holds after a record, and which orders these are."""

from __future__ import annotations

from typing import Any

import attrs

from cloverrouter.explore.coordination.register import orders_of
from cloverrouter.store import Record, StoredReplica


class GapError(AssertionError):
    """A record that does not fit what is there."""


def write(stored: StoredReplica, record: Record) -> StoredReplica:
    """What a disk holds after a record."""
    changes: dict[str, Any] = {}
    if record.meta is not None:
        changes["meta"] = record.meta
    updates = stored.updates
    if record.snapshot is not None:
        changes["snapshot"] = record.snapshot
        updates = ()
    changes["updates"] = updates + record.updates
    result = attrs.evolve(stored, **changes)
    expected = result.snapshot.seq if result.snapshot is not None else 0
    for update in result.updates:
        expected += 1
        if update.seq != expected:
            raise GapError(f"update {update.seq} is written after {expected - 1}")
    return result


def orders_on(stored: StoredReplica) -> frozenset[tuple[int, str]]:
    """The orders that a disk holds, by their numbers."""
    snapshot = stored.snapshot
    orders = orders_of(snapshot.data) if snapshot is not None else []
    numbered = list(enumerate(orders, 1))
    return frozenset(numbered + [(update.seq, update.data.decode()) for update in stored.updates])
