"""Stores the list of servers on the disk and loads it after a start (see `control/list_snapshot.py`)."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from cloverrouter.control.list_snapshot import ListSnapshot, pack, unpack
from cloverrouter.control.registry import Effect, Registry
from cloverrouter.control.registry_messages import InstanceRecord
from cloverrouter.store.atomic_file import AtomicFile
from cloverrouter.store.errors import StoreError

FILE_NAME = "servers.copy"


class ServerListFile:
    """The stored list of one machine. A thread reads and writes it, because the disk may be slow or stall."""

    def __init__(self, directory: Path, registry: Registry, log_error: Callable[..., None]) -> None:
        self._file = AtomicFile(directory / FILE_NAME)
        self._snapshot = ListSnapshot(registry)
        self._log_error = log_error
        self._loop = asyncio.get_running_loop()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="servers-copy")
        self._write_task: asyncio.Task[None] | None = None
        self._failed = False

    async def load(self) -> None:
        """Loads the list that the previous process stored."""
        data = await self._loop.run_in_executor(self._executor, self._file.read)
        records = unpack(data, time.time()) if data is not None else ()
        self._snapshot.loaded(self._loop.time(), records)

    def tick(self, now: float) -> list[Effect]:
        """Stores the list if that is due; returns the registry's effects if the loaded list is restored."""
        if self._write_task is None:
            records = self._snapshot.take_due(now)
            if records:
                self._write_task = self._loop.create_task(self._write(records))
        return self._snapshot.tick(now)

    async def _write(self, records: list[InstanceRecord]) -> None:
        try:
            await self._loop.run_in_executor(self._executor, self._replace, records, time.time())
            self._failed = False
        except StoreError as error:
            if not self._failed:
                self._log_error("servers-not-copied", error=str(error))
            self._failed = True
        finally:
            self._write_task = None

    def _replace(self, records: list[InstanceRecord], wall_s: float) -> None:
        data = pack(records, wall_s)
        if data is not None:
            self._file.write(data)

    def close(self) -> None:
        """Stops writing, without waiting for a write in progress on a slow disk."""
        self._executor.shutdown(wait=False, cancel_futures=True)
