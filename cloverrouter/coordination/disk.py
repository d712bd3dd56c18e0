"""Queue of writes to the replica's disk: what is pending, what is durable, and whether the disk works.

At most one record is being written; changes that arrive meanwhile are combined into the next record (group
commit). A failed record is retried together with the changes since, so nothing is written out of order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from cloverrouter.store import Meta, Record, Snapshot, StoredReplica, Update

# A refused write counts as a write that has been busy for this long.
FAILING_S = 60.0


@attrs.frozen(slots=True)
class Durable:
    """What is durable on the disk."""

    meta: Meta
    seq: int


class DiskQueue:
    """The write queue of one replica."""

    def __init__(
        self,
        stored: StoredReplica,
        newest: Callable[[], Snapshot],
        retry_s: float,
        slow_s: float,
        compact_bytes: int,
    ) -> None:
        """`newest` returns the newest state, with all appended updates. A disk that refused a write, or whose
        last write took `slow_s` or more, is retried every `retry_s`."""
        self.meta = stored.meta
        seq = stored.snapshot.seq if stored.snapshot is not None else 0
        self.seq = stored.updates[-1].seq if stored.updates else seq
        self.durable = Durable(self.meta, self.seq)
        self._newest = newest
        self._retry_s = retry_s
        self._slow_s = slow_s
        self._last_write_s = 0.0  # duration of the last write
        self._compact_bytes = compact_bytes
        self._snapshot: Snapshot | None = None
        self._updates: list[Update] = []
        self._dirty = False
        self._lazy_since: float | None = None
        self._in_flight: tuple[Record, Durable] | None = None
        self._token = 0
        self._write_started_at = 0.0  # start time of the write in progress
        self._failing_since: float | None = None
        self._retry_at = 0.0
        self._snapshot_bytes = len(stored.snapshot.data) if stored.snapshot is not None else 0
        self._update_bytes = sum(len(update.data) for update in stored.updates)

    @property
    def state_bytes(self) -> int:
        """Approximate size of the state: the last snapshot and the updates since."""
        return self._snapshot_bytes + self._update_bytes

    def set_meta(self, **facts: Any) -> None:
        """Changes fields of `Meta`; written as soon as possible."""
        self.meta = attrs.evolve(self.meta, **facts)
        self._dirty = True

    def set_meta_later(self, now: float, **facts: Any) -> None:
        """Changes fields of `Meta`; written with the next record, or after a delay (see `next_record`)."""
        self.meta = attrs.evolve(self.meta, **facts)
        if self._lazy_since is None:
            self._lazy_since = now

    def append(self, seq: int, update: bytes) -> None:
        """Queues the next update."""
        self._updates.append(Update(seq, update))
        self._update_bytes += len(update)
        self.seq = seq
        self._dirty = True

    def replace(self, seq: int, snapshot: bytes) -> None:
        """Queues a snapshot that replaces everything stored."""
        self._snapshot = Snapshot(seq, snapshot)
        self._updates.clear()
        self._snapshot_bytes, self._update_bytes = len(snapshot), 0
        self.seq = seq
        self._dirty = True

    def trouble_s(self, now: float) -> float:
        """Returns for how long the disk has been busy with one record, or `FAILING_S` and more while it
        refuses writes. For an idle disk: the duration of its last write, if that was slow."""
        if self._failing_since is not None:
            return FAILING_S + now - self._failing_since
        busy_s = now - self._write_started_at if self._in_flight is not None else 0.0
        return max(busy_s, self._last_write_s) if self._last_write_s >= self._slow_s else busy_s

    @property
    def _needs_probe(self) -> bool:
        return self._failing_since is not None or self._last_write_s >= self._slow_s

    def reset_timeouts(self, now: float) -> None:
        """Restarts the timing of the write in progress after a freeze of this process."""
        self._write_started_at = now

    def next_record(self, now: float, lazy_s: float) -> tuple[int, Record] | None:
        """Returns the record to write now with its token, if any. Changes that are not urgent wait for
        `lazy_s`."""
        if self._in_flight is not None or now < self._retry_at:
            return None
        lazy_due = self._lazy_since is not None and now - self._lazy_since >= lazy_s
        if not self._dirty and not lazy_due and not self._needs_probe:
            return None
        self._compact_if_large()
        record = Record(meta=self.meta, snapshot=self._snapshot, updates=tuple(self._updates))
        self._in_flight = (record, Durable(self.meta, self.seq))
        self._snapshot, self._updates = None, []
        self._dirty, self._lazy_since = False, None
        self._write_started_at = now
        self._token += 1
        return self._token, record

    def on_written(self, now: float, token: int, error: str | None) -> None:
        """Handles the end of the write in progress; `error` is set if it was refused."""
        if self._in_flight is None or token != self._token:
            return
        (record, durable), self._in_flight = self._in_flight, None
        self._last_write_s = now - self._write_started_at
        if error is None:
            self.durable = durable
            self._failing_since = None
            if self._needs_probe and not self._dirty:
                self._retry_at = now + self._retry_s
            return
        if self._failing_since is None:
            self._failing_since = now
        self._retry_at = now + self._retry_s
        self._dirty = True
        if self._snapshot is None:
            self._snapshot = record.snapshot
            self._updates[:0] = record.updates

    def compact(self) -> None:
        """Replaces the stored snapshot and updates by one snapshot of the newest state."""
        if self._update_bytes:
            newest = self._newest()
            self.replace(newest.seq, newest.data)

    def _compact_if_large(self) -> None:
        """Compacts the updates when they take more space than the snapshot."""
        if self._update_bytes > max(self._compact_bytes, self._snapshot_bytes):
            self.compact()
