"""Asking each of several subjects again and again, each on its own and with a pause between."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Generic, TypeVar

T = TypeVar("T")


class AskingOn(Generic[T]):
    """Calls `ask` for each subject, and `pause_s` seconds after its end again, from `begin` until `stop`."""

    def __init__(self, subjects: Sequence[T], ask: Callable[[T], Awaitable[None]], pause_s: float) -> None:
        self._subjects = subjects
        self._ask = ask
        self._pause_s = pause_s
        self._tasks: list[asyncio.Task[None]] = []

    def begin(self) -> None:
        """Asks from now on."""
        self._tasks = [asyncio.create_task(self._ask_on(subject)) for subject in self._subjects]

    def stop(self) -> None:
        """Asks no more."""
        for task in self._tasks:
            task.cancel()

    async def _ask_on(self, subject: T) -> None:
        while True:
            await self._ask(subject)
            await asyncio.sleep(self._pause_s)
