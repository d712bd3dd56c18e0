"""Stores departures of servers on the disk and loads them after a start (see `control/departures.py`)."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

from cloverrouter.control.instance_table import ENDED_RETENTION_S
from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.control.list_snapshot import pack, unpack
from cloverrouter.control.registry import Effect, Registry
from cloverrouter.control.registry_messages import InstanceRecord
from cloverrouter.store.append_log import AppendLog
from cloverrouter.store.errors import StoreError

FILE_NAME = "departures.log"
READ_RETRY_S = 0.5
COMPACT_BYTES = 256 * 1024
"""A longer file is replaced by the departures that are still remembered."""


class DepartureFile:
    """The departures on one machine's disk.

    A thread reads and writes them, because the disk may be slow or stall. There is one write at a time.
    """

    def __init__(
        self,
        directory: Path,
        registry: Registry,
        apply_effects: Callable[[Iterable[Effect]], None],
        log_error: Callable[..., None],
    ) -> None:
        self._log = AppendLog(directory / FILE_NAME)
        self._registry = registry
        self._apply_effects = apply_effects
        self._log_error = log_error
        self._loop = asyncio.get_running_loop()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="departures")
        self._write_task: asyncio.Task[None] | None = None
        self._compact_at = COMPACT_BYTES
        self._failed = False

    async def load(self) -> None:
        """Loads the departures that earlier processes stored, as soon as the disk lets it."""
        while (stored := await self._read()) is None:
            await asyncio.sleep(READ_RETRY_S)
        wall_s = time.time()
        records = [record for data in stored for record in unpack(data, wall_s, ENDED_RETENTION_S)]
        self._apply_effects(self._registry.restore_departures(self._loop.time(), records))

    async def _read(self) -> list[bytes] | None:
        """Returns what the file has; None if the disk fails."""
        try:
            return await self._loop.run_in_executor(self._executor, self._log.read)
        except StoreError as error:
            self._report_failure("departures-not-read", error)
            return None

    def _report_failure(self, event: str, error: StoreError) -> None:
        """Logs the first of several failures in a row."""
        if not self._failed:
            self._log_error(event, error=str(error))
        self._failed = True

    def store(self, records: Sequence[InstanceRecord]) -> None:
        """Stores the records of a `StoreDepartures`, and tells the registry when they are on the disk."""
        write = partial(self._log.append, _pack(records))
        if self._log.size_bytes > self._compact_at:
            write = partial(self._compact, _pack(self._registry.departure_records(self._loop.time())))
        self._write_task = self._loop.create_task(self._write(write))

    def _compact(self, remembered: Sequence[bytes]) -> None:
        self._log.replace(remembered)
        self._compact_at = max(COMPACT_BYTES, 2 * self._log.size_bytes)

    async def _write(self, write: Callable[[], None]) -> None:
        try:
            await self._loop.run_in_executor(self._executor, write)
        except StoreError as error:
            self._report_failure("departures-not-stored", error)
            self._apply_effects(self._registry.departures_not_stored(self._loop.time()))
        else:
            self._failed = False
            self._apply_effects(self._registry.departures_stored(self._loop.time()))

    def close(self) -> None:
        """Stops writing, without waiting for a write in progress on a slow disk."""
        self._executor.shutdown(wait=False, cancel_futures=True)


def _pack(records: Iterable[InstanceRecord]) -> list[bytes]:
    wall_s = time.time()
    return [pack([each], wall_s) or _pack_without_facts(each, wall_s) for each in records]


def _pack_without_facts(record: InstanceRecord, wall_s: float) -> bytes:
    """Packs a record that is too long without what its server announced: only its state matters then."""
    bare = Instance(
        id=record.id,
        service="",
        address="",
        state=InstanceState(record.state),
        sequence=record.sequence,
        generation=record.generation,
        lost_generation=record.lost_generation,
    )
    data = pack([bare.to_record(0.0, record.age_ms / 1000)], wall_s)
    assert data is not None  # ids are short
    return data
