"""The token bucket of one limited tenant at one proxy."""

from __future__ import annotations

import attrs

from cloverrouter.placement.quota_plan import TenantPlan

REFILL_BELOW_SHARE = 0.7  # of the capacity: below it, more credit is requested in advance


@attrs.frozen(slots=True)
class Standby:
    """The period in which the proxy has its own rate: from the end of contact until its right to standby
    ends."""

    since: float
    until: float

    def covers(self, moment: float) -> bool:
        """Returns whether the proxy is in standby at that moment."""
        return self.since <= moment < self.until


@attrs.define(slots=True)
class Account:
    """Holds credit in advance; during standby it fills at the proxy's own rate.

    Credit that is left when it expires stays in the bucket, up to its capacity.
    """

    plan: TenantPlan
    updated_at: float
    level: float = 0.0
    credit: float = 0.0
    credit_until: float = 0.0
    dry_until: float = 0.0
    pending_tokens: float = 0.0  # tokens of waiting requests that have not been requested yet
    answer_due_at: float = 0.0  # an answer to the last request for credit is expected until then
    asked_tokens: int = 0  # of all requests, admitted or not
    run_tokens: int = 0

    def advance(self, now: float, standby: Standby) -> None:
        """Fills the bucket up to `now`."""
        if self.credit and now >= self.credit_until:
            self._fill_until(self.credit_until, standby)
            self.level = min(self.level + self.credit, self.capacity(self.credit_until, standby))
            self.credit = 0.0
        self._fill_until(now, standby)

    def _fill_until(self, now: float, standby: Standby) -> None:
        since, until = max(self.updated_at, standby.since), min(now, standby.until)
        if since < until:
            filled = self.level + (until - since) * self.plan.own_rate
            self.level = min(filled, self.plan.base_capacity + self.plan.own_capacity)
        self.level = min(self.level, self.capacity(now, standby))
        self.updated_at = max(now, self.updated_at)

    def capacity(self, now: float, standby: Standby) -> float:
        """Returns how many tokens the bucket may hold."""
        if now >= standby.until:
            return 0.0
        return self.plan.base_capacity + (self.plan.own_capacity if now >= standby.since else 0.0)

    def available(self) -> float:
        """Returns the number of tokens that can be taken now."""
        return self.level + self.credit

    def consume(self, tokens: float) -> bool:
        """Takes tokens if there are enough; uses credit first, as it expires sooner."""
        if tokens > self.available():
            return False
        from_credit = min(tokens, self.credit)
        self.credit -= from_credit
        self.level -= tokens - from_credit
        return True

    def receive_credit(self, tokens: float, until: float) -> None:
        """Adds credit that is valid until then."""
        self.credit_until = min(until, self.credit_until) if self.credit else until
        self.credit += tokens

    def tokens_to_fill(self, now: float, standby: Standby) -> int:
        """Returns the number of tokens to request in advance; 0 while there are enough."""
        capacity = self.capacity(now, standby)
        return int(capacity - self.available()) if self.available() < capacity * REFILL_BELOW_SHARE else 0

    def fill_time_s(self, tokens: float) -> float:
        """Returns the time until a proxy in standby has this many tokens; infinity if it can never hold
        them."""
        if tokens > self.plan.base_capacity + self.plan.own_capacity or not self.plan.own_rate:
            return float("inf")
        return (tokens - self.available()) / self.plan.own_rate
