"""How much of its time a request has spent before it came, by the deadlines that clients tell.

A client tells how long it will still wait. On its first try that is all of its time, on later ones less. All
of its time is told nowhere: it is the longest that clients of the route told lately.
"""

from __future__ import annotations

GENERATION = 256
"""The longest time told is remembered over so many requests at least, and over twice as many at most."""
LEAST_KNOWN = 8
"""Before so many requests have come, clients are taken to give a request all that its route allows."""
ALIKE_PART = 0.9
"""Who tells this part of the longest time, or more, is taken to be on the first try."""
ALIKE_WEIGHT = 0.02
LEAST_ALIKE = 0.5
"""Where fewer are alike, clients differ in their patience: nothing can be told of what one has spent."""


class ToldDeadlines:
    """The deadlines told on one route. Times in milliseconds."""

    def __init__(self) -> None:
        self._longest_ms = 0.0
        self._longest_before_ms = 0.0
        self._seen = 0
        self._alike = 1.0

    def spent_ms(self, told_ms: float, timeout_ms: float) -> float:
        """What a request that tells so much has spent, as far as can be known; the route allows
        `timeout_ms`."""
        self._note(told_ms)
        full_ms = max(self._longest_ms, self._longest_before_ms)
        if self._seen < LEAST_KNOWN:
            full_ms = max(full_ms, timeout_ms)
        is_alike = told_ms >= ALIKE_PART * full_ms
        self._alike += ALIKE_WEIGHT * (is_alike - self._alike)
        return full_ms - told_ms if self._alike > LEAST_ALIKE else 0.0

    def _note(self, told_ms: float) -> None:
        self._seen += 1
        if self._seen % GENERATION == 0:
            self._longest_before_ms, self._longest_ms = self._longest_ms, 0.0
        self._longest_ms = max(self._longest_ms, told_ms)
