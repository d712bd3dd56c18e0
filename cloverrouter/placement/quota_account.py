"""One limited tenant's bucket at one proxy."""

from __future__ import annotations

import attrs

from cloverrouter.placement.quota_messages import LEASED_UNIT, SHARE_UNIT
from cloverrouter.placement.quota_plan import TenantPlan

DEMAND_MEMORY_S = 8.0
FILLED_PART = 0.7  # of the room: more is asked for in advance when there is less
DEMAND_NEWS_PART = 0.2  # a demand is told again once it has changed by so much


@attrs.frozen(slots=True)
class Standby:
    """When the share fills the bucket: after contact with the allocator has ended, until the lease has."""

    since: float
    until: float


@attrs.define(slots=True)
class Account:
    """Fills at the base rate, and while standing by at the share's; holds as much as their rooms.

    What is left of credit when it runs out stays, as far as there is room for it: more by its share.
    """

    plan: TenantPlan
    updated_at: float
    share: int = 0
    level: float = 0.0
    credit: float = 0.0
    credit_until: float = 0.0
    dry_until: float = 0.0
    wanted: float = 0.0  # tokens of requests that wait and have not been asked for
    asking_until: float = 0.0  # an answer is expected until then
    asked_tokens: float = 0.0  # since the last report
    tokens_per_s: float = 0.0  # smoothed
    told: int = 0  # the demand that was told last
    told_number: int = 0  # the report that told it first; 0 once it was acknowledged

    def advance(self, now: float, standby: Standby) -> None:
        """Fill up to `now`."""
        if self.credit and now >= self.credit_until:
            self._fill_to(self.credit_until, standby)
            self.level = min(self.level + self.credit, self.room(self.credit_until, standby))
            self.credit = 0.0
        self._fill_to(now, standby)

    def _fill_to(self, now: float, standby: Standby) -> None:
        for moment in (standby.since, standby.until):
            if self.share and self.updated_at < moment < now:
                self._fill(moment, standby)
        self._fill(now, standby)
        self.level = min(self.level, self.room(now, standby))

    def _fill(self, until: float, standby: Standby) -> None:
        """Over a span in which the rate is the same."""
        elapsed = until - self.updated_at
        if elapsed <= 0:
            return
        room = self.room(self.updated_at, standby)
        self.level = min(self.level + elapsed * self._rate(self.updated_at, standby), room)
        self.updated_at = until

    def _rate(self, now: float, standby: Standby) -> float:
        if not self.share or not standby.since <= now < standby.until:
            return self.plan.base_rate
        return self.plan.base_rate + self.plan.rate * self.share / SHARE_UNIT

    def room(self, now: float, standby: Standby) -> float:
        """How much the bucket may hold."""
        if not self.share or now >= standby.until:
            return self.plan.base_room
        room = self.plan.base_room + self.plan.line_room * self.share / LEASED_UNIT
        if now >= standby.since:
            room += self.plan.room * self.share / SHARE_UNIT
        return room

    def available(self) -> float:
        return self.level + self.credit

    def take(self, tokens: float) -> bool:
        """Credit first, as it spoils sooner."""
        if tokens > self.available():
            return False
        from_credit = min(tokens, self.credit)
        self.credit -= from_credit
        self.level -= tokens - from_credit
        return True

    def receive_credit(self, tokens: float, until: float) -> None:
        self.credit_until = min(until, self.credit_until) if self.credit else until
        self.credit += tokens

    def to_fill(self, now: float, standby: Standby) -> int:
        """Tokens to ask for in advance; 0 while there are enough."""
        room = self.room(now, standby)
        return int(room - self.available()) if self.available() < room * FILLED_PART else 0

    def filling_s(self, tokens: float, now: float, standby: Standby) -> float:
        """How long until the bucket alone holds so many tokens, as it fills now."""
        return (tokens - self.available()) / self._rate(now, standby)

    def smooth(self, interval: float) -> None:
        """Take the last interval into the demand."""
        kept = max(0.0, 1 - interval / DEMAND_MEMORY_S)
        self.tokens_per_s = self.tokens_per_s * kept + self.asked_tokens / interval * (1 - kept)
        self.asked_tokens = 0.0

    def has_news(self) -> bool:
        change = abs(self.tokens_per_s - self.told)
        return change > max(self.told * DEMAND_NEWS_PART, self.plan.base_rate)
