"""Carries out a replica's effects: messages, answers, and disk writes on a separate thread."""

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
    """The callbacks that receive a replica's effects."""

    send: Callable[[str, object], None]
    on_answer: Callable[[Answer], None]
    on_committed: Callable[[Committed], None]
    on_restored: Callable[[Restored], None]
    on_view: Callable[[ViewChanged], None]
    on_note: Callable[[NoteStored], None] = lambda _: None


class ReplicaDriver:
    """One replica and its disk. Writes run on a thread of their own because lmdb blocks on the disk."""

    def __init__(self, replica: Replica, store: ReplicaStore, listener: ReplicaListener) -> None:
        self.replica = replica
        self._store = store
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._writes: set[asyncio.Task[None]] = set()

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carries out effects that a call of the replica returned."""
        for effect in effects:
            self._carry_out_one(effect)

    def _carry_out_one(self, effect: Effect) -> None:
        listener = self._listener
        if isinstance(effect, Send):
            listener.send(effect.ip, effect.message)
        elif isinstance(effect, Persist):
            task = self._loop.create_task(self._write(effect))
            self._writes.add(task)
            task.add_done_callback(self._writes.discard)
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
        """Stops writing, without waiting for a write in progress on a slow disk."""
        self._executor.shutdown(wait=False, cancel_futures=True)
