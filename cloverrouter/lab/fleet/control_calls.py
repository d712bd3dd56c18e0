"""Calls of the operator to any node that serves control, with moves to the next after a failure."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlsplit

from cloverrouter.errors import CypresswinchError
from cloverrouter.lab.fleet.wire import Answer, WireError, call

REDIRECTS = 2
FIRST_PAUSE_S = 0.05
MOST_PAUSE_S = 1.0
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})
OTHER_REFUSALS = 3  # any other 4xx ends a call at so many


class NoAnswer(CypresswinchError):
    """No node has given a clear answer in time."""


class ControlCaller:
    """Chooses among the control-plane addresses that it was told."""

    def __init__(self, addresses: Sequence[str], seed: int) -> None:
        self.addresses = list(addresses)
        self._random = random.Random(seed)

    async def once(
        self, address: str, method: str, path: str, body: Any, headers: Mapping[str, str], timeout_s: float
    ) -> Answer:
        """One call, followed over redirects. Raises OSError, WireError or TimeoutError."""
        for _ in range(REDIRECTS + 1):
            answer = await call(address, method, path, body, headers, timeout_s)
            if answer.status != 307:
                return answer
            target = urlsplit(answer.head.get("Location"))
            address, path = target.netloc, target.path
        return answer

    async def until_clear(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        within_s: float = 20.0,
        timeout_s: float = 1.0,
    ) -> Answer:
        """The first clear answer: a 2xx, or a refusal that counts. Raises NoAnswer."""
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        pause, refusals, last = FIRST_PAUSE_S, 0, "no call was made"
        order = self._random.sample(self.addresses, len(self.addresses))
        while loop.time() < until:
            address = order[0]
            order = [*order[1:], address]
            try:
                answer = await self.once(address, method, path, body, headers or {}, timeout_s)
            except (OSError, WireError, TimeoutError) as error:
                last = f"{address}: {type(error).__name__} {error}"
            else:
                refusals += 400 <= answer.status < 500 and answer.status not in (408, 429)
                if answer.status < 300 or answer.status in FINAL_STATUSES or refusals >= OTHER_REFUSALS:
                    return answer
                last = f"{address}: {answer.status} {answer.body[:200]!r}"
            await asyncio.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(MOST_PAUSE_S, 2 * pause)
        raise NoAnswer(f"{method} {path}: no clear answer within {within_s:g} s; last: {last}")
