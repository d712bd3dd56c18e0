"""Carries out what a replica asks for: messages, writes to its disk on a thread of their own, answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

import attrs

from cloverrouter.coordination.effects import (
    Answer,
    Committed,
    Effect,
    NoteStored,
    Persist,
    Restored,
    ViewChanged,
)
from cloverrouter.coordination.replica import Replica
from cloverrouter.messages.sending import Send
from cloverrouter.store.errors import StoreError
from cloverrouter.store.replica_store import ReplicaStore


@attrs.frozen(slots=True)
class ReplicaListener:
    """Who hears of what."""

    send: Callable[[str, object], None]
    on_answer: Callable[[Answer], None]
    on_committed: Callable[[Committed], None]
    on_restored: Callable[[Restored], None]
    on_view: Callable[[ViewChanged], None]
    on_note: Callable[[NoteStored], None] = lambda _: None


class ReplicaDriver:
    """One replica with its disk. Danger: lmdb waits on the disk, so writes never run on the loop's thread."""

    def __init__(self, replica: Replica, store: ReplicaStore, listener: ReplicaListener) -> None:
        self.replica = replica
        self._store = store
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._writing: set[asyncio.Task[None]] = set()

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """What a call of the replica gave."""
        for effect in effects:
            self._one(effect)

    def _one(self, effect: Effect) -> None:
        listener = self._listener
        if isinstance(effect, Send):
            listener.send(effect.ip, effect.message)
        elif isinstance(effect, Persist):
            task = self._loop.create_task(self._write(effect))
            self._writing.add(task)
            task.add_done_callback(self._writing.discard)
        elif isinstance(effect, Answer):
            listener.on_answer(effect)
        elif isinstance(effect, Committed):
            listener.on_committed(effect)
        elif isinstance(effect, Restored):
            listener.on_restored(effect)
        elif isinstance(effect, NoteStored):
            listener.on_note(effect)
        else:
            listener.on_view(effect)

    async def _write(self, effect: Persist) -> None:
        error: str | None = None
        try:
            await self._loop.run_in_executor(self._executor, self._store.write, effect.record)
        except StoreError as failure:
            error = str(failure) or type(failure).__name__
        self.carry_out(self.replica.persisted(self._loop.time(), effect.token, error))

    def close(self) -> None:
        """No more writes; one that is under way on a slow disk is not waited for."""
        self._executor.shutdown(wait=False, cancel_futures=True)
