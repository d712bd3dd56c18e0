"""One tenant's pool at the allocator."""

from __future__ import annotations

from collections import deque

import attrs

from cloverrouter.placement.quota_plan import STANDBY_CAPACITY_PART, STANDBY_PART, TenantPlan

RESERVED_FOR_WAITING_PART = 0.5  # of the room: for requests that wait, not for holding in advance
MIN_DRY_S = 0.03
STARTUP_LENDING_S = 2.0


def idle_part(in_contact_part: float) -> float:
    """The part of a rate that no proxy may be using by itself."""
    return 1 - STANDBY_PART * (1 - in_contact_part)


@attrs.define(slots=True)
class TenantPool:
    """Fills at the tenant's rate, less what proxies may be running by themselves.

    It begins with what the pool of an earlier allocator may have owed. Credit that was given and may not have
    been run yet is counted in its room.
    """

    plan: TenantPlan
    updated_at: float
    level: float = attrs.field(default=attrs.Factory(lambda self: -self.plan.debt, takes_self=True))
    startup_until: float = attrs.field(
        default=attrs.Factory(lambda self: self.updated_at + STARTUP_LENDING_S, takes_self=True)
    )
    _parked: float = 0.0
    _credits: deque[tuple[float, float]] = attrs.field(factory=deque)  # (until, tokens)
    _credit_out: float = 0.0

    def advance(self, now: float, in_contact_part: float) -> None:
        """Fill up to `now`. `in_contact_part` of the proxies surely did not stand by since the last call."""
        elapsed = now - self.updated_at
        if elapsed > 0:
            self.level += elapsed * self.plan.rate * idle_part(in_contact_part)
            self.updated_at = now
            standby_storage = elapsed * self.plan.rate * STANDBY_PART * (1 - in_contact_part)
            self._parked = max(self._parked - standby_storage, 0.0)
        while self._credits and self._credits[0][0] <= now:
            self._credit_out -= self._credits.popleft()[1]
        room = self.plan.capacity * (1 - STANDBY_CAPACITY_PART * (1 - in_contact_part))
        admitted = max(min(self._parked, room - self._credit_out - self.level), 0.0)
        self._parked -= admitted
        self.level = min(self.level + admitted, room - self._credit_out)

    def lend(self, wanted: int, until: float, reserved: int = 0) -> int:
        """Any size is served while there is anything: large requests wait no longer than small ones.

        Only at first, small ones are served before the debt that the pool begins with is paid. `reserved`:
        tokens of `left` that are not to be lent.
        """
        most = max(int(self.level + self.plan.debt) - reserved, 0)
        is_startup_loan = self.updated_at < self.startup_until and wanted <= most
        if self.level <= 0 and not is_startup_loan:
            return 0
        return self._lend(min(wanted, most), until)

    def lend_spare(self, wanted: int, until: float) -> int:
        """What no request waits for: only out of what the pool has beyond `RESERVED_FOR_WAITING_PART`."""
        beyond = int(self.level - self.plan.capacity * RESERVED_FOR_WAITING_PART)
        return self._lend(min(wanted, beyond), until) if beyond > 0 else 0

    def _lend(self, tokens: int, until: float) -> int:
        self.level -= tokens
        self._credits.append((until, tokens))
        self._credit_out += tokens
        return tokens

    def left(self) -> int:
        """What another allocator may give beyond what it begins with, if this one gives nothing any more."""
        return max(int(self.level + self.plan.debt), 0)

    def max_initial_tokens(self) -> int:
        """The most of `left` that an allocator may begin with that knows of no proxy whether it stands by.

        Proxies may have run all that they can store by themselves, since nobody knows for how long they did.
        """
        return int(self.plan.debt + self.plan.capacity * (1 - STANDBY_CAPACITY_PART))

    def begin_with(self, tokens: int) -> None:
        """An earlier allocator at this disk has surely not lent so many. Call right after it was made."""
        self.level = min(max(tokens, 0), self.max_initial_tokens()) - self.plan.debt

    def take_over(self, tokens: float) -> None:
        """What another allocator had left. Call before `advance`.

        While this one counts proxies as standing by, for which the other knew better, there is no room
        for all. What waits for room is less by all that those proxies may have stored since.
        """
        self._parked += tokens

    def dry_s(self) -> float:
        """How long until the pool may hold something again; longer if proxies stand by then."""
        return max(-self.level / self.plan.rate, MIN_DRY_S)
