"""Hands out the tenants' limits. Runs on the head of the chain, one instance an epoch.

Each tenant has a pool that fills at its rate; requests that wait at proxies are given credit out of it.
Each proxy also leases a share of the rate, with which it stands by in case this allocator falls silent.
The proxy uses it only if it has not heard an answer to its reports for `contact_s`; so while reports
come in that confirm an answer given within that time, its share is surely idle, and flows into the
pool. Otherwise it counts as used until its lease has run out here, which is later than there. Shares
never add up to more than the whole, counting for each proxy the largest that it may still have: a
smaller one counts once the proxy has confirmed it.

A new allocator takes over the shares that proxies announce. Until every older lease must have run out,
what no proxy has announced counts as used by unknown ones.

State: some 150 bytes a tenant and proxy that has asked for it of late.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

import attrs

from cloverrouter.control.quota_pool import Share, TenantPool
from cloverrouter.placement.quota_messages import (
    LEASED_UNIT,
    QuotaAsk,
    QuotaCredit,
    QuotaForgotten,
    QuotaGrant,
    QuotaReport,
    Send,
    TenantShare,
)
from cloverrouter.placement.quota_plan import QuotaRules, TenantLimit, plan_tenant

LEASE_S = 2.5
CONTACT_S = 0.35  # and `CONTACT_PER_PROXY_S` a proxy, so that reports don't grow with the square of the fleet
CONTACT_PER_PROXY_S = 0.003
LONGEST_CONTACT_S = 1.2
CREDIT_S = 0.12
CLOCK_MARGIN = 0.02  # a proxy's clock may run faster or slower than this one by this part
EXPIRY_MARGIN_S = 0.01
ALLOT_S = 0.25
CHANGE_PART = 0.15  # a share is changed once the wanted one differs by so much
RETIRED_KEPT = 4
GRANTS_KEPT = 16


@attrs.define(slots=True)
class _Peer:
    """One term of one proxy's process."""

    incarnation: int
    term: int
    until: float = 0.0  # when its lease has surely run out
    idle_until: float = 0.0  # its shares are surely not in use before
    silent: bool = True
    idle_by: dict[int, float] = attrs.field(factory=dict)  # report to what its answer makes of `idle_until`
    unconfirmed: dict[str, int] = attrs.field(factory=dict)  # tenant to serial of its last change

    def answered(self, report: int, idle_until: float) -> None:
        self.idle_by[report] = idle_until
        if len(self.idle_by) > GRANTS_KEPT:
            del self.idle_by[next(iter(self.idle_by))]


@attrs.frozen(slots=True)
class PoolFigures:
    """One tenant's pool: tokens in it, the most it may hold, and the part of the rate that flows to it."""

    tokens: float
    room: float
    idle_part: float


class QuotaAllocator:
    """The allocator of one head. The caller feeds it only while this machine surely is the only one.

    `first`: no allocator has ever been before. Otherwise the last one's leases may be valid still at proxies.
    """

    def __init__(
        self, epoch: int, now: float, rules: QuotaRules | None = None, *, first: bool = False
    ) -> None:
        self._epochs = range(epoch, epoch + 1)
        self._now = now
        self._rules = rules if rules is not None else QuotaRules()
        self._opens_at = now if first else now + _surely_over(CREDIT_S)
        self._settled_at = now if first else now + _surely_over(LEASE_S)
        self._pools: dict[str, TenantPool] = {}
        self._peers: dict[str, _Peer] = {}
        self._newest: dict[str, int] = {}  # incarnation by address
        self._retired: dict[str, deque[int]] = {}
        self._serial = 1
        self._allotted_at = now
        self._contact_s = CONTACT_S
        self._next_silent_at = float("inf")

    def configure(self, tenants: Mapping[str, TenantLimit], fleet_size: int) -> None:
        """Limits in force from now on, and how many proxies there may be. Call before the first `receive`."""
        self._contact_s = min(CONTACT_S + CONTACT_PER_PROXY_S * fleet_size, LONGEST_CONTACT_S)
        limited = {name: limit for name, limit in tenants.items() if limit.rate > 0}
        for name in self._pools.keys() - limited.keys():
            del self._pools[name]
        for name, limit in limited.items():
            plan = plan_tenant(limit, self._rules, max(fleet_size, 1))
            pool = self._pools.get(name)
            if pool is None:
                unknown = 0 if self._now >= self._settled_at else LEASED_UNIT
                self._pools[name] = TenantPool(plan, max(self._now, self._opens_at), unknown=unknown)
            else:
                pool.advance(self._now)
                pool.plan = plan

    def next_epoch(self, epoch: int) -> None:
        """The view has changed, but this machine has been the only head all the time."""
        self._epochs = range(self._epochs.start, epoch + 1)

    def receive(self, now: float, ip: str, message: object) -> list[Send]:
        """A datagram of a proxy; the answer to it, if any."""
        self._now = now
        if now < self._opens_at:
            return []
        self._mark_silent()
        if isinstance(message, QuotaAsk) and message.epoch in self._epochs:
            return [Send(ip, self._credit(message))]
        if isinstance(message, QuotaReport) and message.epoch in self._epochs:
            return [Send(ip, answer) for answer in self._answer_report(ip, message)]
        return []

    def tick(self, now: float) -> list[Send]:
        """Call every 50 ms to `ALLOT_S`: silent proxies, leases that ran out, shares after demand."""
        self._now = now
        self._mark_silent()
        for ip in [ip for ip, peer in self._peers.items() if peer.until <= now]:
            self._drop_peer(ip)
        if now - self._allotted_at >= ALLOT_S and now >= self._settled_at:
            self._allotted_at = now
            for name, pool in self._pools.items():
                pool.advance(now)
                pool.settle()
                self._allot(name, pool)
        return []

    def figures(self, now: float) -> dict[str, PoolFigures]:
        """For operators, by tenant."""
        self._now = now
        if now >= self._opens_at:
            self._mark_silent()
        return {
            name: PoolFigures(pool.level, pool.plan.room, pool.idle_part() if now >= self._opens_at else 0.0)
            for name, pool in self._pools.items()
        }

    def _credit(self, ask: QuotaAsk) -> QuotaCredit:
        tokens: dict[str, int] = {}
        dry: dict[str, float] = {}
        until = self._now + _surely_over(CREDIT_S)
        for name, wanted in ask.tokens.items():
            pool = self._pools.get(name)
            if pool is None or wanted <= 0:
                continue
            pool.advance(self._now)
            lent = pool.lend(wanted, until)
            if lent:
                tokens[name] = lent
            if lent < wanted:
                dry[name] = pool.dry_s()
        for name, wanted in ask.spare.items():
            pool = self._pools.get(name)
            if pool is None or wanted <= 0:
                continue
            pool.advance(self._now)
            lent = pool.lend_spare(wanted, until)
            if lent:
                tokens[name] = tokens.get(name, 0) + lent
        return QuotaCredit(ask.epoch, ask.incarnation, ask.number, ask.sent_at, CREDIT_S, tokens, dry)

    def _answer_report(self, ip: str, report: QuotaReport) -> list[object]:
        peer = self._peers.get(ip)
        if peer is None or (peer.incarnation, peer.term) != (report.incarnation, report.term):
            if not self._begins_term(ip, peer, report):
                return []
            if report.applied:  # its lease has run out here
                return [QuotaForgotten(report.epoch, report.incarnation, report.term)]
            peer = self._begin_term(ip, report)
        self._confirm(ip, peer, report)
        for item in report.demands:
            if item.tenant in self._pools:
                self._pools[item.tenant].demands[ip] = item.tokens_per_s
        peer.until = self._now + _surely_over(LEASE_S)
        peer.answered(report.number, self._now + self._contact_s * (1 - CLOCK_MARGIN))
        return [self._grant(ip, peer, report)]

    def _begins_term(self, ip: str, peer: _Peer | None, report: QuotaReport) -> bool:
        """Whether the report is of a term later than all known of the address, and may be answered."""
        if report.incarnation in self._retired.get(ip, ()):
            return False
        if peer is not None and peer.incarnation == report.incarnation and report.term < peer.term:
            return False
        return all(self._may_hold(ip, peer, report, item) for item in report.held)

    def _may_hold(self, ip: str, peer: _Peer | None, report: QuotaReport, item: TenantShare) -> bool:
        """Whether an announced share is one that was leased here, or by an earlier allocator."""
        pool = self._pools.get(item.tenant)
        if pool is None:
            return True
        if peer is not None and peer.incarnation == report.incarnation:
            leased = pool.shares.get(ip)
            return leased is not None and item.share <= leased.bound
        return self._now < self._settled_at and item.share <= pool.unknown

    def _begin_term(self, ip: str, report: QuotaReport) -> _Peer:
        """The process itself has given up the shares of its earlier terms that it does not announce."""
        before = self._peers.get(ip)
        self._drop_peer(ip)
        newest = self._newest.get(ip, report.incarnation)
        if newest != report.incarnation:
            self._retired.setdefault(ip, deque(maxlen=RETIRED_KEPT)).append(newest)
        self._newest[ip] = report.incarnation
        peer = self._peers[ip] = _Peer(report.incarnation, report.term)
        known = before is not None and before.incarnation == report.incarnation
        if before is not None and known:
            peer.idle_until, peer.silent = before.idle_until, before.silent
        for item in report.held:
            if item.tenant in self._pools:
                pool = self._pools[item.tenant]
                pool.advance(self._now)
                pool.take_over(ip, item.share, unknown=not known, silent=peer.silent)
        return peer

    def _drop_peer(self, ip: str) -> None:
        peer = self._peers.pop(ip, None)
        if peer is None:
            return
        for pool in self._pools.values():
            pool.advance(self._now)
            pool.remove(ip, peer.silent)

    def _confirm(self, ip: str, peer: _Peer, report: QuotaReport) -> None:
        for name in [name for name, serial in peer.unconfirmed.items() if serial <= report.applied]:
            del peer.unconfirmed[name]
            pool = self._pools.get(name)
            if pool is not None and ip in pool.shares:
                pool.advance(self._now)
                pool.confirm(ip, peer.silent)
        peer.idle_until = max(peer.idle_until, peer.idle_by.get(report.heard, 0.0))
        if peer.idle_until > self._now:
            self._next_silent_at = min(self._next_silent_at, peer.idle_until)
            self._set_silent(ip, peer, False, self._now)

    def _mark_silent(self) -> None:
        """Count the shares of proxies that may be standing by since some moment up to now."""
        if self._now < self._next_silent_at:
            return
        talking = sorted((peer.idle_until, ip) for ip, peer in self._peers.items() if not peer.silent)
        self._next_silent_at = float("inf")
        for idle_until, ip in talking:
            if idle_until > self._now:
                self._next_silent_at = idle_until
                return
            self._set_silent(ip, self._peers[ip], True, idle_until)

    def _set_silent(self, ip: str, peer: _Peer, silent: bool, since: float) -> None:
        if peer.silent == silent:
            return
        peer.silent = silent
        for pool in self._pools.values():
            if ip in pool.shares:
                pool.advance(since)
                pool.set_silent(ip, silent)

    def _grant(self, ip: str, peer: _Peer, report: QuotaReport) -> QuotaGrant:
        shares = []
        for name in peer.unconfirmed:
            pool = self._pools.get(name)
            share = pool.shares.get(ip) if pool is not None else None
            shares.append(TenantShare(name, share.offered if share is not None else 0))
        return QuotaGrant(
            report.epoch,
            report.incarnation,
            report.term,
            report.number,
            report.sent_at,
            LEASE_S,
            self._contact_s,
            self._serial,
            tuple(shares),
        )

    def _allot(self, name: str, pool: TenantPool) -> None:
        """Smaller shares first; larger ones only out of what no proxy may still have."""
        raises: dict[str, int] = {}
        for ip, wanted in pool.wanted_shares(LEASED_UNIT).items():
            share = pool.shares.get(ip) or Share()
            if wanted < share.offered * (1 - CHANGE_PART):
                self._offer(name, pool, ip, wanted)
            elif wanted > max(share.offered, share.bound) and wanted > share.offered * (1 + CHANGE_PART):
                raises[ip] = wanted - share.bound
        free = LEASED_UNIT - pool.held
        needed = sum(raises.values())
        for ip, extra in raises.items():
            bound = pool.shares[ip].bound if ip in pool.shares else 0
            self._offer(name, pool, ip, bound + extra * min(free, needed) // needed)

    def _offer(self, name: str, pool: TenantPool, ip: str, offered: int) -> None:
        peer = self._peers.get(ip)
        if peer is None:
            return
        self._serial += 1
        peer.unconfirmed[name] = self._serial
        pool.offer(ip, offered, peer.silent)


def _surely_over(seconds: float) -> float:
    """A span after which one of so many seconds on a slower clock, begun earlier, is over."""
    return seconds * (1 + CLOCK_MARGIN) + EXPIRY_MARGIN_S
