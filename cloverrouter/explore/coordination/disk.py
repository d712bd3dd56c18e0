"""Model of a disk: its content after a write, and the orders stored on it."""

from __future__ import annotations

from typing import Any

import attrs

from cloverrouter.explore.coordination.order_log import orders_of
from cloverrouter.store import Record, StoredReplica


class GapError(AssertionError):
    """A record whose updates do not continue the sequence that is stored."""


def apply_record(stored: StoredReplica, record: Record) -> StoredReplica:
    """Returns the content of a disk after a record was written.

    Raises `GapError` if sequence numbers are missing or repeated.
    """
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
    """Returns the orders that a disk holds, each with its sequence number."""
    snapshot = stored.snapshot
    orders = orders_of(snapshot.data) if snapshot is not None else []
    numbered = list(enumerate(orders, 1))
    return frozenset(numbered + [(update.seq, update.data.decode()) for update in stored.updates])
