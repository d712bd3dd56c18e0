"""Copies the list of servers to the disk, and finds the copy after a start (`control/list_snapshot.py`)."""

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


class ServersCopy:
    """One machine's copy. The disk may be slow, or stand still: it is waited for on a thread."""

    def __init__(self, directory: Path, registry: Registry, log_error: Callable[..., None]) -> None:
        self._file = AtomicFile(directory / FILE_NAME)
        self._kept = ListSnapshot(registry)
        self._log_error = log_error
        self._loop = asyncio.get_running_loop()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="servers-copy")
        self._writing: asyncio.Task[None] | None = None
        self._failed = False

    async def find(self) -> None:
        """Look for the copy of the process before."""
        data = await self._loop.run_in_executor(self._executor, self._file.read)
        records = unpack(data, time.time()) if data is not None else ()
        self._kept.loaded(self._loop.time(), records)

    def tick(self, now: float) -> list[Effect]:
        """Copy the list if it is time; effects of the registry if an earlier copy is taken back."""
        if self._writing is None:
            records = self._kept.take_due(now)
            if records:
                self._writing = self._loop.create_task(self._write(records))
        return self._kept.tick(now)

    async def _write(self, records: list[InstanceRecord]) -> None:
        try:
            await self._loop.run_in_executor(self._executor, self._replace, records, time.time())
            self._failed = False
        except StoreError as error:
            if not self._failed:
                self._log_error("servers-not-copied", error=str(error))
            self._failed = True
        finally:
            self._writing = None

    def _replace(self, records: list[InstanceRecord], wall_s: float) -> None:
        data = pack(records, wall_s)
        if data is not None:
            self._file.write(data)

    def close(self) -> None:
        """No more copies; one that is under way on a slow disk is not waited for."""
        self._executor.shutdown(wait=False, cancel_futures=True)
