"""Draining: a process that is asked to stop finishes its accepted requests within its grace period."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

POLL_INTERVAL_S = 0.05
QUIET_POLLS = 6  # consecutive polls without an open request that end the drain
FINAL_RESPONSE_FLUSH_S = 0.1  # time for the last answers to be sent


class Requests(Protocol):
    """The accepted requests of a process."""

    @property
    def in_flight(self) -> int:
        """The number of requests that are not answered yet."""
        ...

    def end_requests(self) -> None:
        """Answers each open request according to its present state."""
        ...


async def drain_requests(
    requests: Requests,
    is_busy: Callable[[], bool],
    deadline: float,
    clock: Callable[[], float],
    sleep: Callable[[float], Awaitable[None]],
) -> None:
    """Waits until nothing is open for several polls or `deadline` passes, then ends all open requests.

    `deadline` is in seconds on `clock`.
    """
    quiet_polls = 0
    while clock() < deadline and quiet_polls < QUIET_POLLS:
        await sleep(POLL_INTERVAL_S)
        quiet_polls = 0 if is_busy() else quiet_polls + 1
    if requests.in_flight:
        requests.end_requests()
        await sleep(FINAL_RESPONSE_FLUSH_S)
