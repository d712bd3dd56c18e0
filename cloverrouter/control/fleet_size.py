"""How many machines there are: the largest count of the last while.

Quotas and retry budgets are divided by it, and a machine that is cut off keeps its part for `STANDBY_S` of
`placement/quota.py`; so a smaller count is believed only after longer than that.
"""

from __future__ import annotations

FLEET_SIZE_HELD = 70.0


class FleetSize:
    """Counts by time; the newest last, each smaller than those before."""

    def __init__(self) -> None:
        self._counts: list[tuple[float, int]] = []

    def note(self, now: float, size: int) -> None:
        """So many were counted."""
        larger = [(at, old) for at, old in self._counts if old > size and now - at < FLEET_SIZE_HELD]
        self._counts = [*larger, (now, size)]

    def largest(self, now: float) -> int:
        """0 if none was counted."""
        return max((size for at, size in self._counts if now - at < FLEET_SIZE_HELD), default=0)
