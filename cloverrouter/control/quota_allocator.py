"""Hands out the tenants' limits. Runs on the head of the chain.

Each tenant has a pool that fills at its rate; requests that wait at proxies are given credit out of it.
Proxies that have not heard an answer of the allocator for a while stand by for it: each has an even
part of `STANDBY_PART` of the rate. That part flows into the pool only while the proxy surely doesn't
stand by: its reports confirm an answer, and each answer says for how long it binds. A proxy that was
never heard counts as standing by, up to the size of the fleet.

So an allocator needs to know nothing of the one before, except that its credit has run out. One that is
still there hands over what is left of its pools; one that began again at the same disk finds there what the
one before had promised not to lend (`control/quota_note.py`).

State: 1.5 MB for 670 tenants and 350 proxies. A report takes it 34 us there, an ask 16 us, besides 4 to
5 us for the decoding and encoding of each message.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping

import attrs

from cloverrouter.control.quota_note import MAX_ASK_WAIT_S, KeepNote, QuotaNote, Reserves
from cloverrouter.control.quota_pool import TenantPool, idle_part
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota_messages import (
    QuotaAsk,
    QuotaContact,
    QuotaCredit,
    QuotaHandover,
    QuotaReport,
)
from cloverrouter.placement.quota_plan import (
    QuotaRules,
    TenantLimit,
    contact_s,
    plan_tenant,
)

CREDIT_S = 0.12
CLOCK_MARGIN = 0.02  # a proxy's clock may run faster or slower than this one by this part
EXPIRY_MARGIN_S = 0.01
PEER_EXPIRY_S = 30.0  # a proxy silent for so long
MAX_TRACKED_ANSWERS = 16
MAX_PAST_INCARNATIONS = 4


@attrs.define(slots=True)
class _Peer:
    """One proxy."""

    incarnation: int
    idle_until: float = 0.0  # it surely does not stand by before
    silent: bool = True
    newest: int = 0  # report of this incarnation
    idle_by: dict[int, float] = attrs.field(factory=dict)  # report to what its answer makes of `idle_until`
    past_incarnations: deque[int] = attrs.field(factory=lambda: deque(maxlen=MAX_PAST_INCARNATIONS))

    def accepts(self, report: QuotaReport) -> bool:
        """False for a report that is late, by far or of a process that has ended."""
        if report.incarnation in self.past_incarnations:
            return False
        return report.incarnation != self.incarnation or report.number > self.newest - MAX_TRACKED_ANSWERS

    def start_incarnation(self, incarnation: int) -> None:
        """Another process, which keeps to what the one before was told."""
        self.past_incarnations.append(self.incarnation)
        self.incarnation, self.newest = incarnation, 0
        self.idle_by.clear()

    def answered(self, report: int, idle_until: float) -> None:
        """An answer goes out that binds the proxy until then, if it is the first to arrive for the report."""
        self.idle_by.setdefault(report, idle_until)
        self.newest = max(self.newest, report)
        for old in [number for number in self.idle_by if number <= self.newest - MAX_TRACKED_ANSWERS]:
            del self.idle_by[old]

    def confirmed(self, report: int) -> None:
        """An answer to that report has arrived."""
        self.idle_until = max(self.idle_until, self.idle_by.get(report, 0.0))


@attrs.frozen(slots=True)
class PoolFigures:
    """One tenant's pool: tokens in it, the most it may hold, and the part of the rate that flows to it."""

    tokens: float
    capacity: float
    idle_part: float


class QuotaAllocator:
    """The allocator of one head. The caller feeds it only while this machine surely is the only one."""

    def __init__(
        self,
        epoch: int,
        now: float,
        rules: QuotaRules | None = None,
        initial_tokens: Mapping[str, int] | None = None,
        reserves: Reserves | None = None,
        lent_until: float | None = None,
    ) -> None:
        """`initial_tokens`: what an earlier allocator at this disk has surely not lent (`NoteRead.left`).
        `reserves`: where notes can be kept; without, none are. `lent_until`: since when surely nobody has
        lent anything, if that was earlier than `now`."""
        self._initial_tokens = dict(initial_tokens or {})
        self._reserves = reserves
        self._waiting_asks: list[
            tuple[float, str, QuotaAsk]
        ] = []  # asks that wait for a note, and since when
        self._epochs = range(epoch, epoch + 1)
        self._now = now
        self._rules = rules if rules is not None else QuotaRules()
        last_credit_at = now if lent_until is None else min(now, lent_until)
        self._lends_from = last_credit_at + CREDIT_S * (1 + CLOCK_MARGIN) + EXPIRY_MARGIN_S
        self._fleet_size = 0
        self._pools: dict[str, TenantPool] = {}
        self._peers: dict[str, _Peer] = {}
        self._in_contact_count = 0  # peers that surely don't stand by
        self._next_silent_at = float("inf")
        self._taken_over: set[int] = set()

    def configure(self, tenants: Mapping[str, TenantLimit], fleet_size: int) -> None:
        """Limits in force from now on, and how many proxies there may be; 0 while unknown."""
        self._advance_all(self._now)
        self._fleet_size = fleet_size
        limited = {name: limit for name, limit in tenants.items() if limit.rate > 0}
        for name in self._pools.keys() - limited.keys():
            del self._pools[name]
        for name, limit in limited.items():
            plan = plan_tenant(limit, self._rules, fleet_size)
            if name in self._pools:
                self._pools[name].plan = plan
            else:
                pool = self._pools[name] = TenantPool(plan, max(self._now, self._lends_from))
                pool.begin_with(self._initial_tokens.pop(name, 0))

    def next_epoch(self, epoch: int) -> None:
        """The view has changed, but this machine has been the only head all the time."""
        self._epochs = range(self._epochs.start, epoch + 1)

    def hand_over(self, now: float, ip: str, epoch: int) -> Send:
        """The last thing that it does: tell the new head what is left."""
        self._now = now
        self._mark_silent()
        self._advance_all(now)
        tokens = {name: pool.left() for name, pool in self._pools.items()}
        return Send(ip, QuotaHandover(epoch, self._epochs.start, tokens))

    def receive(self, now: float, ip: str, message: object) -> list[Send]:
        """A datagram of a proxy; the answer to it, if any."""
        self._now = now
        self._mark_silent()
        if isinstance(message, QuotaHandover) and message.epoch in self._epochs:
            self._take_over(message)
        if now < self._lends_from:
            return []
        if isinstance(message, QuotaAsk) and message.epoch in self._epochs:
            return self._handle_ask(ip, message)
        if isinstance(message, QuotaReport) and message.epoch in self._epochs:
            return [Send(ip, answer) for answer in self._handle_report(ip, message)]
        return []

    def note_due(self, now: float) -> KeepNote | None:
        """A note to be written, if one is due. Ask after each call."""
        if self._reserves is None or now < self._lends_from or not self._reserves.is_check_due(now):
            return None
        self._now = now
        self._mark_silent()
        self._advance_all(now)
        return self._reserves.due_note(now, self._epochs[-1], self._pools)

    def noted(self, now: float, note: QuotaNote, answers: bool = True) -> list[Send]:
        """A note is on the disk: what has waited for it is answered, if it still may be."""
        self._now = now
        if self._reserves is None or not self._reserves.noted(note) or not answers:
            return []
        waiting, self._waiting_asks = self._waiting_asks, []
        found: list[Send] = []
        for since, ip, ask in waiting:
            if now - since < MAX_ASK_WAIT_S:
                found += self._handle_ask(ip, ask, since)
        return found

    def tick(self, now: float) -> list[Send]:
        """Call each 50 ms or so."""
        self._now = now
        self._waiting_asks = [entry for entry in self._waiting_asks if now - entry[0] < MAX_ASK_WAIT_S]
        self._mark_silent()
        forgotten = [
            ip for ip, peer in self._peers.items() if peer.silent and now > peer.idle_until + PEER_EXPIRY_S
        ]
        for ip in forgotten:
            del self._peers[ip]
        return []

    def figures(self, now: float) -> dict[str, PoolFigures]:
        """For operators, by tenant."""
        self._now = now
        self._mark_silent()
        self._advance_all(now)
        part = idle_part(self._in_contact_part()) if now >= self._lends_from else 0.0
        return {name: PoolFigures(pool.level, pool.plan.capacity, part) for name, pool in self._pools.items()}

    def _in_contact_part(self) -> float:
        """Of the proxies, as far as they are known."""
        return min(self._in_contact_count / self._fleet_size, 1.0) if self._fleet_size else 0.0

    def _advance_all(self, now: float) -> None:
        in_contact_part = self._in_contact_part()
        for pool in self._pools.values():
            pool.advance(now, in_contact_part)

    def _handle_ask(self, ip: str, ask: QuotaAsk, since: float | None = None) -> list[Send]:
        """The answer to an ask; none yet if it wants what a note on the disk promises not to lend."""
        blocked = list(self._blocked_tenants(ask))
        if not blocked or self._reserves is None:
            return [Send(ip, self._make_credit(ask))]
        for name in blocked:
            self._reserves.request_release(name)
        self._waiting_asks.append((self._now if since is None else since, ip, ask))
        return []

    def _blocked_tenants(self, ask: QuotaAsk) -> Iterator[str]:
        """The tenants that have as many tokens as are wanted, were some of them not promised."""
        in_contact_part = self._in_contact_part()
        for name, wanted in ask.tokens.items():
            pool, reserved = self._pools.get(name), self._reserved(name)
            if pool is None or wanted <= 0 or not reserved:
                continue
            pool.advance(self._now, in_contact_part)
            if wanted > pool.left() - reserved:
                yield name

    def _reserved(self, name: str) -> int:
        return self._reserves.of(name) if self._reserves is not None else 0

    def _make_credit(self, ask: QuotaAsk) -> QuotaCredit:
        tokens: dict[str, int] = {}
        dry: dict[str, float] = {}
        in_contact_part = self._in_contact_part()
        until = self._now + CREDIT_S * (1 + CLOCK_MARGIN) + EXPIRY_MARGIN_S
        for wishes, spare in ((ask.tokens, False), (ask.spare, True)):
            for name, wanted in wishes.items():
                pool = self._pools.get(name)
                if pool is None or wanted <= 0:
                    continue
                pool.advance(self._now, in_contact_part)
                if spare:
                    lent = pool.lend_spare(wanted, until)
                else:
                    lent = pool.lend(wanted, until, self._reserved(name))
                if lent:
                    tokens[name] = tokens.get(name, 0) + lent
                if lent < wanted and not spare:
                    dry[name] = pool.dry_s()
        return QuotaCredit(ask.epoch, ask.incarnation, ask.number, ask.sent_at, CREDIT_S, tokens, dry)

    def _take_over(self, message: QuotaHandover) -> None:
        """What another allocator has left, each once."""
        if message.from_epoch in self._taken_over:
            return
        self._taken_over.add(message.from_epoch)
        self._advance_all(self._now)
        for name, tokens in message.tokens.items():
            if name in self._pools:
                self._pools[name].take_over(tokens)
        self._advance_all(self._now)

    def _handle_report(self, ip: str, report: QuotaReport) -> list[QuotaContact]:
        peer = self._peers.get(ip)
        if peer is None:
            peer = self._peers[ip] = _Peer(report.incarnation, self._now)
        if not peer.accepts(report):
            return []
        if peer.incarnation != report.incarnation:
            peer.start_incarnation(report.incarnation)
        peer.confirmed(report.acknowledged)
        if peer.silent and peer.idle_until > self._now:
            self._set_in_contact(peer, in_contact=True, since=self._now)
        if not peer.silent:
            self._next_silent_at = min(self._next_silent_at, peer.idle_until)
        contact_for_s = contact_s(self._fleet_size)
        peer.answered(report.number, self._now + contact_for_s * (1 - CLOCK_MARGIN))
        return [QuotaContact(report.epoch, report.incarnation, report.number, contact_for_s)]

    def _mark_silent(self) -> None:
        """Count proxies as standing by since the moment from which they may have been, up to now."""
        if self._now < self._next_silent_at:
            return
        in_contact = sorted((p.idle_until, ip) for ip, p in self._peers.items() if not p.silent)
        self._next_silent_at = float("inf")
        for idle_until, ip in in_contact:
            if idle_until > self._now:
                self._next_silent_at = idle_until
                return
            self._set_in_contact(self._peers[ip], in_contact=False, since=idle_until)

    def _set_in_contact(self, peer: _Peer, in_contact: bool, since: float) -> None:
        self._advance_all(since)
        peer.silent = not in_contact
        self._in_contact_count += 1 if in_contact else -1
