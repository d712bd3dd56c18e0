"""Enforces the tenants' quotas at one proxy, with credit borrowed from the allocator's pool on demand.

Every limited tenant has one token bucket here. A request that finds too few tokens in it waits for one round
trip while credit is requested; some credit is held in advance. If the allocator is silent, the proxy goes
into standby: it then has a rate of its own, an even part of `STANDBY_PART` of each tenant's rate. The
allocator's answers to reports tell for how long the proxy must stay out of standby. The proxy counts that
time from the arrival of the answer, the allocator from its sending, so that never both use the same rate.
Standby needs no communication: it also applies to a proxy that is cut off, and to one that has just started
(once the contact of the preceding process must have expired).

The right to standby ends `STANDBY_S` after the last contact, on this process's own clock. The fleet size
known to the allocator and to other proxies counts this machine for longer than that.

Memory: about 370 bytes a limited tenant.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import attrs

from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota_account import Account, Standby
from cloverrouter.placement.quota_messages import (
    QuotaAsk,
    QuotaContact,
    QuotaCredit,
    QuotaReport,
    Wake,
)
from cloverrouter.placement.quota_plan import QuotaRules, TenantLimit, contact_s, plan_tenant

STANDBY_S = 60.0  # the fleet size must keep counting a lost machine for longer
START_MARGIN_S = 0.1
DEFAULT_REPORT_INTERVAL_S = 0.1  # until the allocator has told how long contact lasts
REPORTS_PER_CONTACT = 3.5
ASK_SPACING_S = 0.005  # requests for credit closer than this are combined
ASK_WAIT_S = 0.02  # a round trip to the allocator and its processing
ANSWER_EXPECTED_S = 0.1  # a request for credit that is unanswered for this long counts as lost
SILENT_ASK_SPACING_S = 0.2  # between requests for credit while they are lost
TICK_SLACK_S = 0.005
MAX_WAIT_S = 2.0
MIN_REFUSAL_S = 0.05

Effect = Send | Wake


@attrs.frozen(slots=True)
class HolderFigures:
    """One tenant at one proxy: available tokens, and tokens requested and run since the start."""

    tokens: float
    asked_tokens: int
    run_tokens: int


class QuotaHolder:
    """The quotas of one process. `incarnation` is drawn at random at its start."""

    def __init__(self, incarnation: int, now: float, rules: QuotaRules | None = None) -> None:
        self._incarnation = incarnation
        self._rules = rules if rules is not None else QuotaRules()
        self._now = self._started = now
        self._accounts: dict[str, Account] = {}
        self._fleet_size = 0
        self._head: str | None = None
        self._epoch = 0
        self._acknowledged = 0
        self._standby = Standby(now, now)
        self._report_interval_s = DEFAULT_REPORT_INTERVAL_S
        self._number = 0
        self._reported_at = now
        self._tenants_to_ask: set[str] = set()
        self._asks: dict[int, float] = {}  # time of sending by number
        self._asked_at = now - SILENT_ASK_SPACING_S

    def configure(self, tenants: Mapping[str, TenantLimit], fleet_size: int) -> None:
        """Sets the limits, and the maximum number of proxies (0 while it is unknown).

        To be called with a size only if it comes from a control plane that is in contact now.
        """
        self._set_fleet_size(fleet_size)
        limited = {name: limit for name, limit in tenants.items() if limit.rate > 0}
        for name in self._accounts.keys() - limited.keys():
            del self._accounts[name]
        for name, limit in limited.items():
            plan = plan_tenant(limit, self._rules, fleet_size)
            account = self._accounts.get(name)
            if account is None:
                self._accounts[name] = Account(plan, self._now)
            else:
                account.advance(self._now, self._standby)
                account.plan = plan

    def _set_fleet_size(self, size: int) -> None:
        self._fleet_size = size
        if not size:
            return
        predecessor_contact_ends = self._started + contact_s(size) + START_MARGIN_S
        since = max(self._standby.since, predecessor_contact_ends)
        self._standby = Standby(since, max(self._standby.until, self._now + STANDBY_S))

    def admit(self, tenant: str, tokens: int, now: float, *, again: bool = False) -> float:
        """Returns 0.0 if the request may run, and takes its tokens; otherwise the number of seconds after
        which to try again.

        Up to `ASK_WAIT_S`: credit is being requested. The caller calls `flush`, waits for `Wake` or for that
        time, and calls again with `again`. More than that: the request is refused.
        """
        self._now = now
        account = self._accounts.get(tenant)
        if account is None:
            return 0.0
        if not again:
            account.asked_tokens += tokens
        account.advance(now, self._standby)
        if account.consume(tokens):
            account.run_tokens += tokens
            return 0.0
        if now < account.dry_until:
            return max(account.dry_until - now, MIN_REFUSAL_S)
        if self._allocator_is_silent(now):
            return min(max(account.fill_time_s(tokens), MIN_REFUSAL_S), MAX_WAIT_S)
        if not again or (now >= account.answer_due_at and not account.pending_tokens):
            account.pending_tokens += tokens
            self._tenants_to_ask.add(tenant)
        return ASK_WAIT_S

    def refund(self, tenant: str, tokens: int) -> None:
        """Gives back the tokens of a request that certainly has not run and never will."""
        account = self._accounts.get(tenant)
        if account is not None:
            account.level += tokens  # `advance` limits it to the capacity
            account.run_tokens -= tokens

    @property
    def wants_credit(self) -> bool:
        """Whether `flush` will request credit, perhaps only after `ASK_SPACING_S`."""
        return bool(self._tenants_to_ask) and self._head is not None

    def flush(self, now: float) -> list[Effect]:
        """Requests the credit that `admit` needs; returns nothing if the last request was less than
        `ASK_SPACING_S` ago."""
        self._now = now
        if not self._tenants_to_ask or now - self._asked_at < ASK_SPACING_S:
            return []
        tokens = dict(self._collect_asks(now))
        self._tenants_to_ask.clear()
        return self._ask(now, tokens, {})

    def tick(self, now: float) -> list[Effect]:
        """Sends due reports and postponed requests for credit. To be called every 10 to 50 ms."""
        self._now = now
        effects = self.flush(now)
        if now - self._reported_at < self._report_interval_s - TICK_SLACK_S:
            return effects
        self._reported_at = now
        for account in self._accounts.values():
            account.advance(now, self._standby)
        self._asks = {number: at for number, at in self._asks.items() if now - at < MAX_WAIT_S}
        return effects + self._report() + self._ask_for_advance(now)

    def head_changed(self, ip: str | None, epoch: int) -> None:
        """Reports to the allocator at `ip` from now on, at once.

        While its address is unknown (None), requests still go to the last one: it may still be there, or come
        back.
        """
        if ip is None or epoch < self._epoch or (epoch == self._epoch and ip == self._head):
            return
        self._head = ip
        self._epoch = epoch
        self._acknowledged = 0
        self._asks.clear()
        self._reported_at = min(self._reported_at, self._now - self._report_interval_s)

    def receive(self, now: float, ip: str, message: object) -> list[Effect]:
        """Handles a datagram from the allocator."""
        self._now = now
        if not isinstance(message, QuotaContact | QuotaCredit):
            return []
        if message.incarnation != self._incarnation or message.epoch != self._epoch:
            return []
        if isinstance(message, QuotaCredit):
            return list(self._receive_credit(now, message))
        self._receive_contact(now, message)
        return []

    def stands_by(self, now: float) -> bool:
        """Whether this proxy is in standby and may use its own rate."""
        return self._fleet_size > 0 and self._standby.covers(now)

    def figures(self, now: float) -> dict[str, HolderFigures]:
        """Returns the figures for operators by tenant."""
        found = {}
        for name, account in self._accounts.items():
            account.advance(now, self._standby)
            found[name] = HolderFigures(account.available(), account.asked_tokens, account.run_tokens)
        return found

    def _allocator_is_silent(self, now: float) -> bool:
        if self._head is None:
            return True
        unanswered = any(now - at > ANSWER_EXPECTED_S for at in self._asks.values())
        return unanswered and now - self._asked_at < SILENT_ASK_SPACING_S

    def _ask(self, now: float, tokens: dict[str, int], spare: dict[str, int]) -> list[Effect]:
        if self._head is None:
            return []
        self._number += 1
        self._asked_at = now
        self._asks[self._number] = now
        return [Send(self._head, QuotaAsk(self._epoch, self._incarnation, self._number, now, tokens, spare))]

    def _ask_for_advance(self, now: float) -> list[Effect]:
        if now >= self._standby.since or self._allocator_is_silent(now):
            return []
        spare = {
            tenant: account.tokens_to_fill(now, self._standby)
            for tenant, account in self._accounts.items()
            if now >= account.dry_until and now >= account.answer_due_at
        }
        spare = {tenant: tokens for tenant, tokens in spare.items() if tokens > 0}
        return self._ask(now, {}, spare) if spare else []

    def _collect_asks(self, now: float) -> Iterator[tuple[str, int]]:
        """Yields the tokens that waiting requests need beyond the available ones, by tenant."""
        for tenant in self._tenants_to_ask:
            account = self._accounts.get(tenant)
            if account is None:
                continue
            yield tenant, int(max(account.pending_tokens - account.available(), 0.0)) + 1
            account.pending_tokens = 0.0
            account.answer_due_at = now + ANSWER_EXPECTED_S

    def _receive_credit(self, now: float, credit: QuotaCredit) -> Iterator[Effect]:
        if self._asks.pop(credit.number, None) is None:
            return
        for number in [number for number in self._asks if number < credit.number]:
            del self._asks[number]  # lost or late; a late answer is ignored
        until = credit.sent_at + credit.valid_for_s
        for tenant in credit.tokens.keys() | credit.dry_for_s.keys():
            account = self._accounts.get(tenant)
            if account is None:
                continue
            account.advance(now, self._standby)
            account.answer_due_at = now
            if now < until and tenant in credit.tokens:
                account.receive_credit(credit.tokens[tenant], until)
            account.dry_until = now + credit.dry_for_s.get(tenant, 0.0)
            yield Wake(tenant)

    def _receive_contact(self, now: float, contact: QuotaContact) -> None:
        if contact.number <= self._acknowledged:
            return
        for account in self._accounts.values():
            account.advance(now, self._standby)
        self._acknowledged = contact.number
        since = max(self._standby.since, now + contact.contact_for_s)
        self._standby = Standby(since, max(self._standby.until, now + STANDBY_S))
        self._report_interval_s = contact.contact_for_s / REPORTS_PER_CONTACT

    def _report(self) -> list[Effect]:
        if self._head is None:
            return []
        self._number += 1
        return [
            Send(self._head, QuotaReport(self._epoch, self._incarnation, self._number, self._acknowledged))
        ]
