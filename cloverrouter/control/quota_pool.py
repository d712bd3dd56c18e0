"""One tenant's pool at the allocator."""

from __future__ import annotations

from collections import deque

import attrs

from cloverrouter.placement.quota_plan import STANDBY_PART, STANDBY_ROOM_PART, TenantPlan

KEPT_PART = 0.5  # of the room: for requests that wait, not for holding in advance
SHORTEST_DRY_S = 0.03


def idle_part(talking_part: float) -> float:
    """The part of a rate that no proxy may be using by itself."""
    return 1 - STANDBY_PART * (1 - talking_part)


@attrs.define(slots=True)
class TenantPool:
    """Fills at the tenant's rate, less what proxies may be running by themselves.

    Credit that was given and may not have been run yet is counted in its room.
    """

    plan: TenantPlan
    updated_at: float
    level: float = 0.0  # negative: owed
    _credits: deque[tuple[float, float]] = attrs.field(factory=deque)  # (until, tokens)
    _credit_out: float = 0.0

    def advance(self, now: float, talking_part: float) -> None:
        """Fill up to `now`. `talking_part` of the proxies surely did not stand by since the last call."""
        elapsed = now - self.updated_at
        if elapsed > 0:
            self.level += elapsed * self.plan.rate * idle_part(talking_part)
            self.updated_at = now
        while self._credits and self._credits[0][0] <= now:
            self._credit_out -= self._credits.popleft()[1]
        room = self.plan.room * (1 - STANDBY_ROOM_PART * (1 - talking_part))
        self.level = min(self.level, room - self._credit_out)

    def lend(self, wanted: int, until: float) -> int:
        """Any size is served while there is anything: large requests wait no longer than small ones."""
        if self.level <= 0:
            return 0
        return self._lend(min(wanted, int(self.level + self.plan.debt)), until)

    def lend_spare(self, wanted: int, until: float) -> int:
        """What no request waits for: only out of what the pool has beyond `KEPT_PART`."""
        beyond = int(self.level - self.plan.room * KEPT_PART)
        return self._lend(min(wanted, beyond), until) if beyond > 0 else 0

    def _lend(self, tokens: int, until: float) -> int:
        self.level -= tokens
        self._credits.append((until, tokens))
        self._credit_out += tokens
        return tokens

    def dry_s(self) -> float:
        """How long until the pool may hold something again; longer if proxies stand by then."""
        return max(-self.level / self.plan.rate, SHORTEST_DRY_S)
