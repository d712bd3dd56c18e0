"""Enforces the tenants' rate limits over the fleet: lends tokens to proxies. Runs on the head of the chain.

Each tenant has a token pool that fills at the tenant's rate. Proxies ask for tokens for waiting requests and
get them as short-lived credit. A proxy that has received no answer of the allocator for a while enters
standby: it admits requests on its own, at an equal share of `STANDBY_PART` of the rate. That share flows into
the pool only while the proxy is certainly not in standby: its reports acknowledge an answer, and each answer
states for how long the proxy must not enter standby. Proxies that have never sent a report count as being in
standby, up to the size of the fleet.

So a new allocator needs no state of the previous one; it only waits until the credit of that one has expired.
A previous allocator that is still running hands over what is left in its pools. An allocator that starts at
the same disk reads there what the previous one had promised not to lend (`control/quota_note.py`).

State: 1.5 MB for 670 tenants and 350 proxies. At that size a report takes 34 us and a request for credit
16 us, plus 4 to 5 us to decode and encode each message.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping

import attrs

from cloverrouter.control.quota_note import MAX_ASK_WAIT_S, QuotaNote, Reserves, WriteNote
from cloverrouter.control.quota_pool import TenantPool, pool_rate_part
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
CLOCK_MARGIN = 0.02  # the largest relative drift between the clocks of a proxy and this machine
EXPIRY_MARGIN_S = 0.01
PEER_EXPIRY_S = 30.0  # after this time in possible standby, a proxy is forgotten
MAX_TRACKED_ANSWERS = 16
MAX_PAST_INCARNATIONS = 4


@attrs.define(slots=True)
class _Peer:
    """One proxy: the process it runs, and until when it is certainly not in standby."""

    incarnation: int
    contact_until: float = 0.0  # it is certainly not in standby before this time
    silent: bool = True  # it may be in standby
    newest: int = 0  # highest report number of this incarnation
    contacts: dict[int, float] = attrs.field(factory=dict)  # report to `contact_until` once acknowledged
    past_incarnations: deque[int] = attrs.field(factory=lambda: deque(maxlen=MAX_PAST_INCARNATIONS))

    def accepts(self, report: QuotaReport) -> bool:
        """Returns False for a report that is far out of order or comes from an earlier incarnation."""
        if report.incarnation in self.past_incarnations:
            return False
        return report.incarnation != self.incarnation or report.number > self.newest - MAX_TRACKED_ANSWERS

    def start_incarnation(self, incarnation: int) -> None:
        """Handles a restart of the proxy. `contact_until` stays: the new process honours it as well."""
        self.past_incarnations.append(self.incarnation)
        self.incarnation, self.newest = incarnation, 0
        self.contacts.clear()

    def record_answer(self, report: int, contact_until: float) -> None:
        """Records an answer that keeps the proxy out of standby until then, once acknowledged.

        Of several answers to a report, the first counts: the proxy may have received that one only.
        """
        self.contacts.setdefault(report, contact_until)
        self.newest = max(self.newest, report)
        for old in [number for number in self.contacts if number <= self.newest - MAX_TRACKED_ANSWERS]:
            del self.contacts[old]

    def record_acknowledgement(self, report: int) -> None:
        """Handles the acknowledgement of the answer to that report."""
        self.contact_until = max(self.contact_until, self.contacts.get(report, 0.0))


@attrs.frozen(slots=True)
class PoolFigures:
    """One tenant's pool: its level and capacity in tokens, and the part of the rate that flows into it."""

    tokens: float
    capacity: float
    pool_rate_part: float


class QuotaAllocator:
    """The allocator of one head. The caller must use it only while no other machine can be head."""

    def __init__(
        self,
        epoch: int,
        now: float,
        rules: QuotaRules | None = None,
        initial_tokens: Mapping[str, int] | None = None,
        reserves: Reserves | None = None,
        lent_until: float | None = None,
    ) -> None:
        """Creates the allocator for the view of that epoch.

        `initial_tokens`: tokens by tenant that an earlier allocator at this disk certainly has not lent
        (`NoteRead.left`). `reserves`: tracks the notes; None if they cannot be stored. `lent_until`: no other
        allocator has lent anything since then; None: since `now`.
        """
        self._initial_tokens = dict(initial_tokens or {})
        self._reserves = reserves
        self._waiting_asks: list[
            tuple[float, str, QuotaAsk]
        ] = []  # since when, proxy, ask that waits for a note
        self._epochs = range(epoch, epoch + 1)
        self._now = now
        self._rules = rules if rules is not None else QuotaRules()
        last_credit_at = now if lent_until is None else min(now, lent_until)
        self._lends_from = last_credit_at + CREDIT_S * (1 + CLOCK_MARGIN) + EXPIRY_MARGIN_S
        self._fleet_size = 0
        self._pools: dict[str, TenantPool] = {}
        self._peers: dict[str, _Peer] = {}
        self._in_contact_count = 0  # peers that are certainly not in standby
        self._next_contact_end = float("inf")
        self._accepted_handovers: set[int] = set()

    def configure(self, tenants: Mapping[str, TenantLimit], fleet_size: int) -> None:
        """Sets the tenants' limits, and the largest possible number of proxies; 0 while unknown."""
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
                pool.set_initial_tokens(self._initial_tokens.pop(name, 0))

    def next_epoch(self, epoch: int) -> None:
        """Accepts a new epoch, too: the view changed, but this machine was the only head throughout."""
        self._epochs = range(self._epochs.start, epoch + 1)

    def hand_over(self, now: float, ip: str, epoch: int) -> Send:
        """Tells the new head what is left in the pools. The allocator must not be used after that."""
        self._now = now
        self._update_contacts()
        self._advance_all(now)
        tokens = {name: pool.left() for name, pool in self._pools.items()}
        return Send(ip, QuotaHandover(epoch, self._epochs.start, tokens))

    def receive(self, now: float, ip: str, message: object) -> list[Send]:
        """Handles a datagram of a proxy or of an earlier head; returns the answer, if any."""
        self._now = now
        self._update_contacts()
        if isinstance(message, QuotaHandover) and message.epoch in self._epochs:
            self._accept_handover(message)
        if now < self._lends_from:
            return []
        if isinstance(message, QuotaAsk) and message.epoch in self._epochs:
            return self._handle_ask(ip, message)
        if isinstance(message, QuotaReport) and message.epoch in self._epochs:
            return [Send(ip, answer) for answer in self._handle_report(ip, message)]
        return []

    def note_due(self, now: float) -> WriteNote | None:
        """Returns the note to write now, if one is due. Call it after each other call."""
        if self._reserves is None or now < self._lends_from or not self._reserves.is_check_due(now):
            return None
        self._now = now
        self._update_contacts()
        self._advance_all(now)
        return self._reserves.due_note(now, self._epochs[-1], self._pools)

    def note_written(self, now: float, note: QuotaNote, answers: bool = True) -> list[Send]:
        """Handles that a note is on the disk: answers the asks that waited for it and have not expired.

        `answers`: whether this machine may still answer.
        """
        self._now = now
        if self._reserves is None or not self._reserves.note_written(note) or not answers:
            return []
        waiting, self._waiting_asks = self._waiting_asks, []
        found: list[Send] = []
        for since, ip, ask in waiting:
            if now - since < MAX_ASK_WAIT_S:
                found += self._handle_ask(ip, ask, since)
        return found

    def tick(self, now: float) -> list[Send]:
        """Drops expired asks and proxies. Call it about every 50 ms."""
        self._now = now
        self._waiting_asks = [entry for entry in self._waiting_asks if now - entry[0] < MAX_ASK_WAIT_S]
        self._update_contacts()
        forgotten = [
            ip for ip, peer in self._peers.items() if peer.silent and now > peer.contact_until + PEER_EXPIRY_S
        ]
        for ip in forgotten:
            del self._peers[ip]
        return []

    def figures(self, now: float) -> dict[str, PoolFigures]:
        """Returns the state of the pools by tenant, for operators."""
        self._now = now
        self._update_contacts()
        self._advance_all(now)
        part = pool_rate_part(self._in_contact_part()) if now >= self._lends_from else 0.0
        return {name: PoolFigures(pool.level, pool.plan.capacity, part) for name, pool in self._pools.items()}

    def _in_contact_part(self) -> float:
        """Returns the part of the fleet that is certainly not in standby, 0 to 1."""
        return min(self._in_contact_count / self._fleet_size, 1.0) if self._fleet_size else 0.0

    def _advance_all(self, now: float) -> None:
        in_contact_part = self._in_contact_part()
        for pool in self._pools.values():
            pool.advance(now, in_contact_part)

    def _handle_ask(self, ip: str, ask: QuotaAsk, since: float | None = None) -> list[Send]:
        """Answers a request for credit; defers the answer if it needs tokens that a stored note reserves."""
        blocked = list(self._blocked_tenants(ask))
        if not blocked or self._reserves is None:
            return [Send(ip, self._make_credit(ask))]
        for name in blocked:
            self._reserves.request_release(name)
        self._waiting_asks.append((self._now if since is None else since, ip, ask))
        return []

    def _blocked_tenants(self, ask: QuotaAsk) -> Iterator[str]:
        """Yields the tenants with reserved tokens whose other tokens are fewer than the ask wants."""
        in_contact_part = self._in_contact_part()
        for name, wanted in ask.tokens.items():
            pool, reserved = self._pools.get(name), self._reserved(name)
            if pool is None or wanted <= 0 or not reserved:
                continue
            pool.advance(self._now, in_contact_part)
            if wanted > pool.left() - reserved:
                yield name

    def _reserved(self, name: str) -> int:
        return self._reserves.reserved_tokens(name) if self._reserves is not None else 0

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

    def _accept_handover(self, message: QuotaHandover) -> None:
        """Adds the tokens left by another allocator, once for each."""
        if message.from_epoch in self._accepted_handovers:
            return
        self._accepted_handovers.add(message.from_epoch)
        self._advance_all(self._now)
        for name, tokens in message.tokens.items():
            if name in self._pools:
                self._pools[name].add_handover(tokens)
        self._advance_all(self._now)

    def _handle_report(self, ip: str, report: QuotaReport) -> list[QuotaContact]:
        peer = self._peers.get(ip)
        if peer is None:
            peer = self._peers[ip] = _Peer(report.incarnation, self._now)
        if not peer.accepts(report):
            return []
        if peer.incarnation != report.incarnation:
            peer.start_incarnation(report.incarnation)
        peer.record_acknowledgement(report.acknowledged)
        if peer.silent and peer.contact_until > self._now:
            self._set_in_contact(peer, in_contact=True, since=self._now)
        if not peer.silent:
            self._next_contact_end = min(self._next_contact_end, peer.contact_until)
        contact_for_s = contact_s(self._fleet_size)
        peer.record_answer(report.number, self._now + contact_for_s * (1 - CLOCK_MARGIN))
        return [QuotaContact(report.epoch, report.incarnation, report.number, contact_for_s)]

    def _update_contacts(self) -> None:
        """Counts proxies as being in standby from the moment since which that is possible, up to now."""
        if self._now < self._next_contact_end:
            return
        in_contact = sorted((p.contact_until, ip) for ip, p in self._peers.items() if not p.silent)
        self._next_contact_end = float("inf")
        for contact_until, ip in in_contact:
            if contact_until > self._now:
                self._next_contact_end = contact_until
                return
            self._set_in_contact(self._peers[ip], in_contact=False, since=contact_until)

    def _set_in_contact(self, peer: _Peer, in_contact: bool, since: float) -> None:
        self._advance_all(since)
        peer.silent = not in_contact
        self._in_contact_count += 1 if in_contact else -1
