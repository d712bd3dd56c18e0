"""Periodic polling of several subjects, each in a task of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, TypeVar

T = TypeVar("T")


class Poller(Generic[T]):
    """Calls `poll` for each subject from `start` until `stop`, pausing `pause_s` seconds after each call."""

    def __init__(self, subjects: Sequence[T], poll: Callable[[T], Awaitable[None]], pause_s: float) -> None:
        self._subjects = subjects
        self._poll = poll
        self._pause_s = pause_s
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts one polling task per subject."""
        self._tasks = [asyncio.create_task(self._poll_repeatedly(subject)) for subject in self._subjects]

    def stop(self) -> None:
        """Cancels all polling tasks."""
        for task in self._tasks:
            task.cancel()

    async def _poll_repeatedly(self, subject: T) -> None:
        while True:
            await self._poll(subject)
            await asyncio.sleep(self._pause_s)
