"""Control-plane calls of the operator: any node may answer; a failed call is retried at the next node."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlsplit

from cloverrouter.errors import CypresswinchError
from cloverrouter.lab.fleet.wire import Answer, WireError, call

MAX_REDIRECTS = 2
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})
MAX_OTHER_REFUSALS = 3  # a call ends at this many other 4xx answers


class NoDefinitiveAnswer(CypresswinchError):
    """No node gave a definitive answer in time."""


class ControlCaller:
    """Calls nodes by their control-plane addresses, in a random order."""

    def __init__(self, addresses: Sequence[str], seed: int) -> None:
        self.addresses = list(addresses)
        self._random = random.Random(seed)

    async def call_once(
        self, address: str, method: str, path: str, body: Any, headers: Mapping[str, str], timeout_s: float
    ) -> Answer:
        """Makes one call and follows up to two redirects. Raises OSError, WireError or TimeoutError."""
        for _ in range(MAX_REDIRECTS + 1):
            answer = await call(address, method, path, body, headers, timeout_s)
            if answer.status != 307:
                return answer
            target = urlsplit(answer.head.get("Location"))
            address, path = target.netloc, target.path
        return answer

    async def call_until_definitive(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        within_s: float = 20.0,
        timeout_s: float = 1.0,
    ) -> Answer:
        """Retries with backoff until a definitive answer: a 2xx or a final refusal.

        Raises NoDefinitiveAnswer after `within_s` seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within_s
        backoff_s, refusals, last_failure = INITIAL_BACKOFF_S, 0, "no call was made"
        order = self._random.sample(self.addresses, len(self.addresses))
        while loop.time() < deadline:
            address = order[0]
            order = [*order[1:], address]
            try:
                answer = await self.call_once(address, method, path, body, headers or {}, timeout_s)
            except (OSError, WireError, TimeoutError) as error:
                last_failure = f"{address}: {type(error).__name__} {error}"
            else:
                refusals += 400 <= answer.status < 500 and answer.status not in (408, 429)
                if answer.status < 300 or answer.status in FINAL_STATUSES or refusals >= MAX_OTHER_REFUSALS:
                    return answer
                last_failure = f"{address}: {answer.status} {answer.body[:200]!r}"
            await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
        raise NoDefinitiveAnswer(
            f"{method} {path}: no definitive answer within {within_s:g} s; last: {last_failure}"
        )
