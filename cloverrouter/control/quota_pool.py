"""A tenant's token pool at the allocator."""

from __future__ import annotations

from collections import deque

import attrs

from cloverrouter.placement.quota_plan import STANDBY_CAPACITY_PART, STANDBY_PART, TenantPlan

RESERVED_FOR_WAITING_PART = 0.5  # of the capacity: kept for waiting requests, not lent as spare tokens
MIN_DRY_S = 0.03
STARTUP_LENDING_S = 2.0


def pool_rate_part(in_contact_part: float) -> float:
    """Returns the part of a rate that flows into the pool: no proxy may be using it in standby."""
    return 1 - STANDBY_PART * (1 - in_contact_part)


@attrs.define(slots=True)
class TenantPool:
    """A token bucket that fills at the tenant's rate, less what proxies in standby may be admitting.

    It starts with the largest debt that the pool of an earlier allocator may have had. Credit that was lent
    and may not have been used yet counts against the capacity.
    """

    plan: TenantPlan
    updated_at: float
    level: float = attrs.field(default=attrs.Factory(lambda self: -self.plan.debt, takes_self=True))
    startup_until: float = attrs.field(
        default=attrs.Factory(lambda self: self.updated_at + STARTUP_LENDING_S, takes_self=True)
    )
    _deferred_tokens: float = 0.0
    _credits: deque[tuple[float, float]] = attrs.field(factory=deque)  # (until, tokens)
    _outstanding_credit: float = 0.0

    def advance(self, now: float, in_contact_part: float) -> None:
        """Fills the pool up to `now`. Since the last call, `in_contact_part` of the proxies certainly was not
        in standby.
        """
        elapsed = now - self.updated_at
        if elapsed > 0:
            self.level += elapsed * self.plan.rate * pool_rate_part(in_contact_part)
            self.updated_at = now
            standby_storage = elapsed * self.plan.rate * STANDBY_PART * (1 - in_contact_part)
            self._deferred_tokens = max(self._deferred_tokens - standby_storage, 0.0)
        while self._credits and self._credits[0][0] <= now:
            self._outstanding_credit -= self._credits.popleft()[1]
        room = self.plan.capacity * (1 - STANDBY_CAPACITY_PART * (1 - in_contact_part))
        admitted = max(min(self._deferred_tokens, room - self._outstanding_credit - self.level), 0.0)
        self._deferred_tokens -= admitted
        self.level = min(self.level + admitted, room - self._outstanding_credit)

    def lend(self, wanted: int, until: float, reserved: int = 0) -> int:
        """Lends tokens until a time; returns how many.

        Requests of any size are served while the level is above zero, so that large ones wait no longer than
        small ones. In the first `STARTUP_LENDING_S` only, a request that fits is served although the initial
        debt has not been filled yet. `reserved`: tokens of `left` that must not be lent.
        """
        most = max(int(self.level + self.plan.debt) - reserved, 0)
        is_startup_loan = self.updated_at < self.startup_until and wanted <= most
        if self.level <= 0 and not is_startup_loan:
            return 0
        return self._lend(min(wanted, most), until)

    def lend_spare(self, wanted: int, until: float) -> int:
        """Lends tokens that no request waits for: only those above `RESERVED_FOR_WAITING_PART`."""
        beyond = int(self.level - self.plan.capacity * RESERVED_FOR_WAITING_PART)
        return self._lend(min(wanted, beyond), until) if beyond > 0 else 0

    def _lend(self, tokens: int, until: float) -> int:
        self.level -= tokens
        self._credits.append((until, tokens))
        self._outstanding_credit += tokens
        return tokens

    def left(self) -> int:
        """Returns the tokens that another allocator may add to its initial ones if this one lends no more."""
        return max(int(self.level + self.plan.debt), 0)

    def max_initial_tokens(self) -> int:
        """Returns the most tokens, counted as in `left`, that an allocator may start with as long as it does
        not know which proxies are in standby.

        All proxies may have been in standby for any time, and so may have used up their standby capacity.
        """
        return int(self.plan.debt + self.plan.capacity * (1 - STANDBY_CAPACITY_PART))

    def set_initial_tokens(self, tokens: int) -> None:
        """Starts with tokens that an earlier allocator certainly has not lent. Call it on a new pool only."""
        self.level = min(max(tokens, 0), self.max_initial_tokens()) - self.plan.debt

    def add_handover(self, tokens: float) -> None:
        """Adds tokens that another allocator had left. Call it before `advance`.

        While this allocator counts proxies as being in standby that the other one knew not to be, there is no
        room for all tokens. Those that wait for room decrease by what these proxies may have stored since.
        """
        self._deferred_tokens += tokens

    def dry_s(self) -> float:
        """Returns the least time in seconds until the pool may lend again; more if proxies are in standby."""
        return max(-self.level / self.plan.rate, MIN_DRY_S)
