"""How a process that was told to end ends what it has taken, within its grace period."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

END_LOOK_S = 0.05
QUIET_LOOKS = 6  # so many looks in a row without an open request end a process that was told to end
LAST_WORDS_S = 0.1  # for answers given at the very end to go out


class Requests(Protocol):
    """The requests that are under way."""

    @property
    def in_flight(self) -> int:
        """Those that are not answered yet."""
        ...

    def end_requests(self) -> None:
        """Give each the answer that is true of it now."""
        ...


async def end_what_is_open(
    requests: Requests,
    is_busy: Callable[[], bool],
    ends_at: float,
    clock: Callable[[], float],
    sleep: Callable[[float], Awaitable[None]],
) -> None:
    """Wait until nothing has been open for a while, or until `ends_at`; nothing is open after that."""
    quiet = 0
    while clock() < ends_at and quiet < QUIET_LOOKS:
        await sleep(END_LOOK_S)
        quiet = 0 if is_busy() else quiet + 1
    if requests.in_flight:
        requests.end_requests()
        await sleep(LAST_WORDS_S)
