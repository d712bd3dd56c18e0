"""How long an idle connection may have rested and still be used.

A server may forget idle connections sooner than it says, without a word: what is sent on one next is reset,
and might have run for all that the sender can know. So the first such loss shortens the rest for a while.
"""

from __future__ import annotations

import math
from typing import Generic, TypeVar

import attrs

SOON_S = 0.05
"""A reset that comes later after the request was sent is that of a server that worked on it."""
SHORTENED = 0.5
"""A connection is used again only if it has rested for less than this part of what was lost."""
LEARNT_FOR_S = 5.0
"""What was learnt holds for so long, and for longer each time that it is confirmed soon after."""
LEARNT_GROWTH = 2.0
LEARNT_MOST_S = 20.0
COMMON_WITHIN_S = 3.0
"""Two servers that forget within this span: others are expected to do so too."""

K = TypeVar("K")


@attrs.define(slots=True)
class _Lesson:
    limit_s: float
    until: float
    held_s: float


class RestLimits(Generic[K]):
    """What was learnt, by server and for all of them. Times in seconds on one steady clock."""

    def __init__(self) -> None:
        self._lessons: dict[K, _Lesson] = {}
        self._common: _Lesson | None = None
        self._last: tuple[K, float] | None = None

    def forgotten(self, server: K, rested_s: float, now: float) -> None:
        """A request on a connection to `server` that had rested so long was reset at once."""
        self._lessons[server] = _learn(self._lessons.get(server), rested_s, now)
        last, self._last = self._last, (server, now)
        is_second = last is not None and last[0] != server and now - last[1] < COMMON_WITHIN_S
        is_held = self._common is not None and now < self._common.until
        if is_second or is_held:
            self._common = _learn(self._common, rested_s, now)

    def limit_s(self, server: K, now: float) -> float:
        """How long a connection to `server` may have rested; infinite if nothing speaks against any."""
        if not self._lessons and self._common is None:
            return math.inf
        lessons = (self._lessons.get(server), self._common)
        limits = [found.limit_s for found in lessons if found is not None and now < found.until]
        return min(limits, default=math.inf)

    def told(self, limit_s: float, for_s: float, now: float) -> None:
        """Others learnt it, for all servers."""
        known = self._common
        if known is not None and now < known.until:
            limit_s = min(limit_s, known.limit_s)
            for_s = max(for_s, known.until - now)
        self._common = _Lesson(limit_s, now + for_s, for_s)

    def forget(self, server: K) -> None:
        """The server is not used any more."""
        self._lessons.pop(server, None)


def _learn(known: _Lesson | None, rested_s: float, now: float) -> _Lesson:
    limit_s = rested_s * SHORTENED
    if known is None or now > known.until + LEARNT_MOST_S:
        return _Lesson(limit_s, now + LEARNT_FOR_S, LEARNT_FOR_S)
    if now < known.until:
        limit_s = min(limit_s, known.limit_s)
        return _Lesson(limit_s, known.until, known.held_s)
    held_s = min(LEARNT_MOST_S, known.held_s * LEARNT_GROWTH)
    return _Lesson(limit_s, now + held_s, held_s)
