"""The size of the fleet: the largest number of machines counted within a sliding window.

Quotas and retry budgets are divided by it, and a machine that is cut off keeps its share for `STANDBY_S` of
`placement/quota.py`; so the window is longer than that, and a smaller count takes effect only afterwards.
"""

from __future__ import annotations

COUNT_WINDOW_S = 70.0


class FleetSize:
    """A sliding-window maximum: counts in order of time, each smaller than the one before."""

    def __init__(self) -> None:
        self._counts: list[tuple[float, int]] = []

    def record_count(self, now: float, size: int) -> None:
        """Adds a count."""
        larger = [(at, old) for at, old in self._counts if old > size and now - at < COUNT_WINDOW_S]
        self._counts = [*larger, (now, size)]

    def largest(self, now: float) -> int:
        """Returns the largest count within the window; 0 if there is none."""
        return max((size for at, size in self._counts if now - at < COUNT_WINDOW_S), default=0)
