"""Starts to listen on an address that the previous process may not have released yet."""

from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

T = TypeVar("T")

LISTEN_TIMEOUT_S = 10.0
RETRY_INTERVAL_S = 0.1
TRANSIENT_ERRNOS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})


async def listen_when_free(
    listen: Callable[[], Awaitable[T]],
    on_wait: Callable[[OSError], None],
    sleep: Callable[[float], Awaitable[None]],
) -> T:
    """Returns the result of `listen`, which is retried while its address is in use or not available yet.

    `on_wait` is called with the first such error. Raises OSError: any other one, or such an error after
    `LISTEN_TIMEOUT_S`.
    """
    waited_s = 0.0
    while True:
        try:
            return await listen()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS or waited_s >= LISTEN_TIMEOUT_S:
                raise
            if not waited_s:
                on_wait(error)
        await sleep(RETRY_INTERVAL_S)
        waited_s += RETRY_INTERVAL_S
