"""What one proxy may run of each tenant: credit that it asks of the allocator's pool, request by request.

Every limited tenant has one bucket here, which fills slowly (the base, that no proxy ever loses). A
request that finds too little in it waits for one round trip while credit is asked. If the allocator
falls silent, the proxy stands by for it: its leased share of the tenant's rate then fills the bucket
until the lease runs out. The lease is counted from when the report that it answers was sent, on this
process's own clock, so a proxy that was frozen or cut off stops by itself. State: some 200 bytes a
limited tenant.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import attrs

from cloverrouter.placement.quota_account import Account, Standby
from cloverrouter.placement.quota_messages import (
    SHARE_UNIT,
    QuotaAsk,
    QuotaCredit,
    QuotaForgotten,
    QuotaGrant,
    QuotaReport,
    Send,
    TenantDemand,
    TenantShare,
    Wake,
)
from cloverrouter.placement.quota_plan import QuotaRules, TenantLimit, plan_tenant

REPORT_S = 0.15  # until the allocator has said how long contact lasts
REPORTS_IN_CONTACT = 3.5
ASK_SPACING_S = 0.005  # asks closer than this are put together
ASK_WAIT_S = 0.02  # a round trip to the allocator, and its turn
ANSWER_EXPECTED_S = 0.1  # an ask unanswered for so long is lost
SILENT_SPACING_S = 0.2  # between asks while they are lost
TICK_SLACK_S = 0.005
LONGEST_WAIT_S = 3.0
SHORTEST_REFUSAL_S = 0.05

Effect = Send | Wake


@attrs.frozen(slots=True)
class HolderFigures:
    """One tenant at one proxy: tokens at hand, tokens a second asked, its share, and if that is in use."""

    tokens: float
    demand: float
    share: float
    stands_by: bool


class QuotaHolder:
    """The quotas of one process. `incarnation`: drawn at random at its start."""

    def __init__(self, incarnation: int, now: float, rules: QuotaRules | None = None) -> None:
        self._incarnation = incarnation
        self._rules = rules if rules is not None else QuotaRules()
        self._now = now
        self._accounts: dict[str, Account] = {}
        self._head: str | None = None
        self._epoch = 0
        self._term = 1
        self._heard = 0
        self._applied = 0
        self._standby = Standby(now, now)
        self._leased = False
        self._report_s = REPORT_S
        self._number = 0
        self._reported_at = now
        self._wanting: set[str] = set()
        self._asks: dict[int, float] = {}  # number to when it was sent
        self._asked_at = now - SILENT_SPACING_S

    def configure(self, tenants: Mapping[str, TenantLimit], fleet_size: int) -> None:
        """Limits in force from now on, and how many proxies there may be at most (1 or more)."""
        limited = {name: limit for name, limit in tenants.items() if limit.rate > 0}
        for name in self._accounts.keys() - limited.keys():
            del self._accounts[name]
        for name, limit in limited.items():
            plan = plan_tenant(limit, self._rules, max(fleet_size, 1))
            account = self._accounts.get(name)
            if account is None:
                self._accounts[name] = Account(plan, self._now)
            else:
                account.advance(self._now, self._standby)
                account.plan = plan

    def admit(self, tenant: str, tokens: int, now: float, *, again: bool = False) -> float:
        """0.0: the request may run, and its tokens are taken. Otherwise seconds after which to come back.

        Up to `ASK_WAIT_S`: credit is on its way (call `flush`, wait for `Wake` or as long as told, call with
        `again`). More: a refusal.
        """
        self._now = now
        account = self._accounts.get(tenant)
        if account is None:
            return 0.0
        if not again:
            account.asked_tokens += tokens
        account.advance(now, self._standby)
        if account.take(tokens):
            return 0.0
        if now < account.dry_until:
            return max(account.dry_until - now, SHORTEST_REFUSAL_S)
        if self._allocator_is_silent(now):
            wait = account.filling_s(tokens, now, self._standby)
            return min(max(wait, SHORTEST_REFUSAL_S), LONGEST_WAIT_S)
        if not again or (now >= account.asking_until and not account.wanted):
            account.wanted += tokens
            self._wanting.add(tenant)
        return ASK_WAIT_S

    def refund(self, tenant: str, tokens: int) -> None:
        """Give back the tokens of a request that surely never ran and never will."""
        account = self._accounts.get(tenant)
        if account is not None:
            account.level += tokens  # `advance` keeps it within the room

    def flush(self, now: float) -> list[Effect]:
        """What `admit` wants to be asked for; empty if the last ask was a moment ago."""
        self._now = now
        if not self._wanting or now - self._asked_at < ASK_SPACING_S:
            return []
        tokens = dict(self._asked_for(now))
        self._wanting.clear()
        return self._ask(now, tokens, {})

    @property
    def wants_credit(self) -> bool:
        """Whether `flush` has something to ask for, once it may."""
        return bool(self._wanting) and self._head is not None

    def tick(self, now: float) -> list[Effect]:
        """Call each 10 to 50 ms: reports that are due, asks that were put off."""
        self._now = now
        self._end_lease(now)
        effects = self.flush(now)
        elapsed = now - self._reported_at
        if elapsed < self._report_s - TICK_SLACK_S:
            return effects
        self._reported_at = now
        for account in self._accounts.values():
            account.advance(now, self._standby)
            account.smooth(elapsed)
        self._asks = {number: at for number, at in self._asks.items() if now - at < LONGEST_WAIT_S}
        return effects + self._report(now) + self._ask_in_advance(now)

    def head_changed(self, ip: str | None, epoch: int) -> None:
        """The allocator now is at `ip`. Shares are held on, and announced to it at once.

        While it is unknown (None) the one before is asked on: it may be there still, or come back.
        """
        if ip is None or epoch < self._epoch or (epoch == self._epoch and ip == self._head):
            return
        self._head = ip
        self._asks.clear()
        if epoch > self._epoch:
            self._epoch = epoch
            self._begin_term()
        self._reported_at = min(self._reported_at, self._now - self._report_s)

    def receive(self, now: float, ip: str, message: object) -> list[Effect]:
        """A datagram of the allocator."""
        self._now = now
        if not isinstance(message, QuotaGrant | QuotaForgotten | QuotaCredit):
            return []
        if message.incarnation != self._incarnation or message.epoch != self._epoch:
            return []
        if isinstance(message, QuotaCredit):
            return list(self._take_credit(now, message))
        if message.term != self._term:
            return []
        if isinstance(message, QuotaForgotten):
            self._drop_shares(now)
        else:
            self._take_grant(now, message)
        return []

    def figures(self, now: float) -> dict[str, HolderFigures]:
        """For operators, by tenant."""
        self._now = now
        self._end_lease(now)
        stands_by = self._standby.since <= now < self._standby.until
        found = {}
        for name, account in self._accounts.items():
            account.advance(now, self._standby)
            share = account.share / SHARE_UNIT
            found[name] = HolderFigures(account.available(), account.tokens_per_s, share, stands_by)
        return found

    def _allocator_is_silent(self, now: float) -> bool:
        if self._head is None:
            return True
        unanswered = any(now - at > ANSWER_EXPECTED_S for at in self._asks.values())
        return unanswered and now - self._asked_at < SILENT_SPACING_S

    def _ask(self, now: float, tokens: dict[str, int], spare: dict[str, int]) -> list[Effect]:
        if self._head is None:
            return []
        self._number += 1
        self._asked_at = now
        self._asks[self._number] = now
        return [Send(self._head, QuotaAsk(self._epoch, self._incarnation, self._number, now, tokens, spare))]

    def _ask_in_advance(self, now: float) -> list[Effect]:
        if now >= self._standby.since or self._allocator_is_silent(now):
            return []
        spare = {
            tenant: account.to_fill(now, self._standby)
            for tenant, account in self._accounts.items()
            if account.share and now >= account.dry_until and now >= account.asking_until
        }
        spare = {tenant: tokens for tenant, tokens in spare.items() if tokens > 0}
        return self._ask(now, {}, spare) if spare else []

    def _asked_for(self, now: float) -> Iterator[tuple[str, int]]:
        """By tenant: what waits, less what is there."""
        for tenant in self._wanting:
            account = self._accounts.get(tenant)
            if account is None:
                continue
            yield tenant, int(max(account.wanted - account.available(), 0.0)) + 1
            account.wanted = 0.0
            account.asking_until = now + ANSWER_EXPECTED_S

    def _take_credit(self, now: float, credit: QuotaCredit) -> Iterator[Effect]:
        if self._asks.pop(credit.number, None) is None:
            return
        for number in [number for number in self._asks if number < credit.number]:
            del self._asks[number]  # lost, or late: then it is not used
        until = credit.sent_at + credit.valid_for_s
        for tenant in credit.tokens.keys() | credit.dry_for_s.keys():
            account = self._accounts.get(tenant)
            if account is None:
                continue
            account.advance(now, self._standby)
            account.asking_until = now
            if now < until and tenant in credit.tokens:
                account.receive_credit(credit.tokens[tenant], until)
            account.dry_until = now + credit.dry_for_s.get(tenant, 0.0)
            yield Wake(tenant)

    def _take_grant(self, now: float, grant: QuotaGrant) -> None:
        self._end_lease(now)
        until = grant.sent_at + grant.valid_for_s
        if grant.term != self._term or grant.serial < self._applied or until <= now:
            return
        for account in self._accounts.values():
            account.advance(now, self._standby)
            if account.told_number <= grant.number:
                account.told_number = 0
        for item in grant.shares:
            if item.tenant in self._accounts:
                self._accounts[item.tenant].share = item.share
        self._applied = grant.serial
        self._heard = max(self._heard, grant.number)
        self._leased = True
        self._standby = Standby(now + grant.contact_for_s, max(until, self._standby.until))
        self._report_s = grant.contact_for_s / REPORTS_IN_CONTACT

    def _end_lease(self, now: float) -> None:
        if self._leased and now >= self._standby.until:
            self._drop_shares(now)

    def _drop_shares(self, now: float) -> None:
        for account in self._accounts.values():
            account.advance(now, self._standby)
            account.share = 0
        self._leased = False
        self._standby = Standby(now, now)
        self._begin_term()

    def _begin_term(self) -> None:
        self._term += 1
        self._applied = self._heard = 0
        for account in self._accounts.values():
            account.told = account.told_number = 0

    def _report(self, now: float) -> list[Effect]:
        if self._head is None:
            return []
        self._number += 1
        report = QuotaReport(
            epoch=self._epoch,
            incarnation=self._incarnation,
            term=self._term,
            number=self._number,
            sent_at=now,
            heard=self._heard,
            applied=self._applied,
            held=tuple(self._held(now)),
            held_for_s=max(self._standby.until - now, 0.0),
            demands=tuple(self._news()),
        )
        return [Send(self._head, report)]

    def _held(self, now: float) -> Iterator[TenantShare]:
        if self._applied or now >= self._standby.until:
            return
        for tenant, account in self._accounts.items():
            if account.share:
                yield TenantShare(tenant, account.share)

    def _news(self) -> Iterator[TenantDemand]:
        for tenant, account in self._accounts.items():
            if account.has_news():
                account.told = int(account.tokens_per_s)
                account.told_number = self._number
            if account.told_number:
                yield TenantDemand(tenant, account.told)
