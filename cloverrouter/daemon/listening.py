"""Beginning to listen where the address may not be free yet: a predecessor is just about to go."""

from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

T = TypeVar("T")

PATIENCE_S = 10.0
PAUSE_S = 0.1
PASSING = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})


async def when_free(
    listen: Callable[[], Awaitable[T]],
    on_wait: Callable[[OSError], None],
    sleep: Callable[[float], Awaitable[None]],
) -> T:
    """What `listen` gives, tried again while its address is taken or not there yet. `on_wait` hears of the
    first time. Raises OSError: any other one, or that after `PATIENCE_S`.
    """
    waited_s = 0.0
    while True:
        try:
            return await listen()
        except OSError as error:
            if error.errno not in PASSING or waited_s >= PATIENCE_S:
                raise
            if not waited_s:
                on_wait(error)
        await sleep(PAUSE_S)
        waited_s += PAUSE_S
