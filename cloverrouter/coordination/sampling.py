"""Peer sampling: machines that start with a few seeds discover one another and stay a connected overlay.

Follows CYCLON: each machine keeps a partial view of up to 16 other machines and shuffles parts of it with
the one whose record is oldest, in a larger fleet mostly with the oldest in its own zone. Each shuffle also
carries all disk members (the machines whose disks count for the quorum, which are few) and the newest
membership view of the chain. The passive list is taken from HyParView: it holds machines that stopped
answering, which are probed from time to time.

A new membership view is pushed to six other machines at once, and so reaches nearly all in a few hops.

Cost in steady state at 350 machines: two shuffles and two answers a second for each machine, 1.5 KB each with
22 disk members, so 50 kbit/s in each direction, whatever the number of machines. With hundreds of disk
members, their map would have to be split and sent in parts.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random
from zlib import crc32

import attrs

from cloverrouter.coordination.disk_members import DiskMember, DiskMembers
from cloverrouter.coordination.partial_view import PartialView
from cloverrouter.coordination.sampling_messages import AgedRecord, PeerRecord, Shuffle, ViewSummary
from cloverrouter.messages.sending import Send

VIEW_CAPACITY = 16
SHUFFLE_LENGTH = 8  # entries in one shuffle
VIEW_FANOUT = 6  # machines to which a new membership view is pushed
CROSS_ZONE_EVERY = 5
"""With a full partial view, one shuffle in this many may leave the zone: traffic between zones is slower and
costs more. With tens of machines in a zone that is still many such shuffles a second."""
PASSIVE_CAPACITY = 32
FAST_PERIOD_S = 0.1  # between shuffles while joining, and for `FAST_FOR_S` after a change
STARTUP_PERIOD_S = 0.4  # between shuffles in the first `STARTUP_S`
SETTLED_PERIOD_S = 0.5
ISOLATED_PERIOD_S = 0.5  # with an empty view; in the first `ISOLATED_FAST_FOR_S` it is `FAST_PERIOD_S`
STARTUP_S = 30.0
FAST_FOR_S = 1.0
ISOLATED_FAST_FOR_S = 3.0
ROUNDS_WITHOUT_GROWTH = 5  # after these, a view that is not full counts as joined: the fleet is small
PROBE_PERIOD_S = 2.0
PROBE_SILENCE_S = 8.0  # disk members that were seen more recently are not probed
ANSWERED_PROBE_PERIOD_S = 60.0  # a seed that answered is not probed again for this long
ANSWER_TIMEOUT_S = 2.0
FREEZE_GAP_S = 1.5  # a longer time between two ticks means that the process was frozen
NO_EXPIRY_AFTER_FREEZE_S = 3.0


@attrs.frozen(slots=True)
class ViewLearned:
    """Effect: this machine has learned of a newer membership view of the chain."""

    summary: ViewSummary


@attrs.frozen(slots=True)
class DiskMemberLearned:
    """Effect: this machine has learned of a disk member that was unknown or had expired."""

    record: PeerRecord


Effect = Send | ViewLearned | DiskMemberLearned


@attrs.frozen(slots=True)
class _PendingShuffle:
    """A shuffle whose answer is outstanding."""

    sent_at: float
    sent_ips: tuple[str, ...]


class PeerSampler:
    """Peer sampling of one machine, without I/O: it handles events with their time and returns effects."""

    def __init__(self, me: PeerRecord, seeds: Sequence[str], random: Random) -> None:
        self._me = me
        self._seeds = [ip for ip in seeds if ip != me.ip]
        self._random = random
        self._view = PartialView(me.ip, VIEW_CAPACITY, random)
        self._disk_members = DiskMembers()
        self._summary: ViewSummary | None = None
        self._pending_shuffles: dict[str, _PendingShuffle] = {}
        self._passive: dict[str, None] = {}  # addresses that stopped answering, oldest first
        self._probe_answered_at: dict[str, float] = {}
        self._started_at = 0.0
        self._fast_until = 0.0
        self._next_shuffle = 0.0
        self._next_probe = 0.0
        self._last_tick = 0.0
        self._no_expiry_until = 0.0
        self._largest_view = 0
        self._rounds_without_growth = 0
        self._rounds = crc32(me.ip.encode())  # machines shuffle across zones at different times

    @property
    def next_due_at(self) -> float:
        """The time from which the next tick has something to do."""
        return min(self._next_shuffle, self._next_probe)

    @property
    def summary(self) -> ViewSummary | None:
        """The newest membership view that this machine has learned of."""
        return self._summary

    def peers(self) -> list[PeerRecord]:
        """Returns the machines of the partial view."""
        return list(self._view)

    def disk_members(self, now: float) -> list[DiskMember]:
        """Returns all known disk members, including this machine if it is one."""
        return self._disk_members.members(now)

    def start(self, now: float) -> list[Effect]:
        """Starts peer sampling with a shuffle to every seed."""
        self._started_at = self._last_tick = now
        self._fast_until = now + FAST_FOR_S
        self._next_shuffle = now + FAST_PERIOD_S
        self._next_probe = now + PROBE_PERIOD_S
        self._advance_heartbeat(now)
        return [self._send_shuffle(now, ip) for ip in self._seeds]

    def seeds_changed(self, now: float, seeds: Sequence[str]) -> list[Effect]:
        """Replaces the seeds, and sends a shuffle to each new one at once."""
        self._probe_answered_at.clear()
        new = [ip for ip in seeds if ip != self._me.ip and ip not in self._seeds]
        self._seeds = [ip for ip in seeds if ip != self._me.ip]
        return [self._send_shuffle(now, ip) for ip in new if ip not in self._view]

    def set_own_disk(self, now: float, *, identity: str, counts_for_quorum: bool) -> None:
        """Sets this machine's disk where it became known, or changed, after the start."""
        self._me = self._me.with_disk(identity, counts_for_quorum)
        self._advance_heartbeat(now)
        self._speed_up(now)

    def view_changed(self, now: float, summary: ViewSummary) -> list[Effect]:
        """Sets the chain's view as this machine knows it. A new one is pushed to a few machines at once."""
        return self._adopt_view(now, summary, source=self._me.ip)

    def tick(self, now: float) -> list[Effect]:
        """Handles timeouts, and sends the shuffles and probes that are due."""
        self._detect_freeze(now)
        self._expire_pending_shuffles(now)
        if now >= self._no_expiry_until:
            self._disk_members.expire_silent(now)
        effects: list[Effect] = []
        if now >= self._next_shuffle:
            effects += self._shuffle(now)
            self._next_shuffle = now + self._shuffle_period_s(now)
        if now >= self._next_probe:
            effects += self._probe(now)
            self._next_probe = now + PROBE_PERIOD_S * self._random.uniform(0.75, 1.25)
        return effects

    def receive(self, now: float, sender_ip: str, message: object) -> list[Effect]:
        """Handles a message of another machine's sampler."""
        if not isinstance(message, Shuffle) or message.sender.ip == self._me.ip:
            return []
        effects = self._learn_records(now, message)
        pending = self._pending_shuffles.pop(message.sender.ip, None) if message.is_answer else None
        if message.sender.ip in self._seeds and message.is_answer:
            self._probe_answered_at[message.sender.ip] = now
        sent_ips = pending.sent_ips if pending else ()
        if not message.is_answer:
            answer = self._make_shuffle(now, message.sender.ip, is_answer=True)
            sent_ips = tuple(aged.record.ip for aged in answer.entries)
            effects.append(Send(sender_ip, answer))
        self._merge(now, message, sent_ips)
        return effects

    def _merge(self, now: float, message: Shuffle, sent_ips: tuple[str, ...]) -> None:
        self._view.merge(now, message.entries, sent_ips)
        self._view.insert(now, message.sender)
        self._passive.pop(message.sender.ip, None)
        if len(self._view) > self._largest_view:
            self._largest_view = len(self._view)
            self._rounds_without_growth = 0

    def _learn_records(self, now: float, message: Shuffle) -> list[Effect]:
        effects: list[Effect] = []
        for aged in (*message.entries, *message.disks):
            self._outrank_predecessor(now, aged.record)
        for aged in (AgedRecord(message.sender, 0), *message.disks):
            if self._disk_members.learn(now, aged.record, aged.age_ms / 1000):
                effects.append(DiskMemberLearned(aged.record))
                self._speed_up(now)
        if message.view is not None and self._is_newer_view(message.view):
            effects.append(ViewLearned(message.view))
            effects += self._adopt_view(now, message.view, source=message.sender.ip)
        return effects

    def _adopt_view(self, now: float, summary: ViewSummary, source: str) -> list[Effect]:
        known = self._summary
        if known is not None and summary.order() <= known.order():
            return []
        self._summary = summary
        if known is not None and summary.is_same_view(known):
            return []
        self._speed_up(now)
        others = sorted(record.ip for record in self._view if record.ip != source)
        targets = self._random.sample(others, min(VIEW_FANOUT, len(others)))
        return [self._send_shuffle(now, ip) for ip in targets]

    def _is_newer_view(self, summary: ViewSummary) -> bool:
        return self._summary is None or summary.order() > self._summary.order()

    def _outrank_predecessor(self, now: float, record: PeerRecord) -> None:
        """Raises the own incarnation above that of an earlier process at the same address.

        The incarnation is the wall clock time of the start, so a clock that was set back makes this process
        look older than its predecessor.
        """
        if record.ip == self._me.ip and record.incarnation >= self._me.incarnation:
            is_predecessor = record.identity != self._me.identity or record.is_newer_than(self._me)
            if is_predecessor:
                self._me = self._me.with_incarnation(record.incarnation + 1)
                self._advance_heartbeat(now)

    def _advance_heartbeat(self, now: float) -> None:
        self._me = self._me.with_next_heartbeat()
        self._disk_members.learn(now, self._me, 0.0)

    def _speed_up(self, now: float) -> None:
        """Shuffles fast for a while, after a change."""
        self._fast_until = max(self._fast_until, now + FAST_FOR_S)
        self._next_shuffle = min(self._next_shuffle, now + FAST_PERIOD_S)

    def _shuffle_period_s(self, now: float) -> float:
        if not len(self._view):
            self._largest_view = 0
            is_new = now - self._started_at < ISOLATED_FAST_FOR_S
            return FAST_PERIOD_S if is_new else ISOLATED_PERIOD_S
        is_joined = (
            self._largest_view >= VIEW_CAPACITY or self._rounds_without_growth >= ROUNDS_WITHOUT_GROWTH
        )
        if now < self._fast_until or not is_joined:
            return FAST_PERIOD_S
        return STARTUP_PERIOD_S if now - self._started_at < STARTUP_S else SETTLED_PERIOD_S

    def _shuffle(self, now: float) -> list[Effect]:
        self._advance_heartbeat(now)
        self._rounds_without_growth += 1
        partner = self._choose_partner(now)
        if partner is None:
            return self._probe(now)
        return [self._send_shuffle(now, partner.ip)]

    def _choose_partner(self, now: float) -> PeerRecord | None:
        self._rounds += 1
        stays_in_zone = self._view.is_full() and self._rounds % CROSS_ZONE_EVERY != 0
        return self._view.pop_oldest(now, self._me.zone if stays_in_zone else None)

    def _probe(self, now: float) -> list[Effect]:
        """Sends a shuffle to a random machine outside the view.

        Candidates are the seeds, remembered disk members and machines that stopped answering.
        """
        known = {*self._seeds, *self._disk_members.remembered_ips(), *self._passive}
        known -= {self._me.ip, *self._disk_members.recently_seen_ips(now, PROBE_SILENCE_S)}
        candidates = sorted(ip for ip in known if self._should_probe(now, ip))
        return [self._send_shuffle(now, self._random.choice(candidates))] if candidates else []

    def _should_probe(self, now: float, ip: str) -> bool:
        if ip in self._view or self._is_awaiting_answer(ip):
            return False
        return now - self._probe_answered_at.get(ip, -math.inf) > ANSWERED_PROBE_PERIOD_S

    def _is_awaiting_answer(self, ip: str) -> bool:
        """Returns whether a shuffle to `ip` is outstanding.

        Always false with an empty view, so that an isolated machine retries without waiting: the machines
        that it contacted may not have been listening yet.
        """
        return ip in self._pending_shuffles and len(self._view) > 0

    def _send_shuffle(self, now: float, ip: str) -> Send:
        shuffle = self._make_shuffle(now, ip, is_answer=False)
        self._pending_shuffles[ip] = _PendingShuffle(now, tuple(aged.record.ip for aged in shuffle.entries))
        return Send(ip, shuffle)

    def _make_shuffle(self, now: float, to_ip: str, *, is_answer: bool) -> Shuffle:
        entries = self._view.sample(now, SHUFFLE_LENGTH, to_ip)
        return Shuffle(self._me, entries, self._disk_members.records_to_send(now), self._summary, is_answer)

    def _expire_pending_shuffles(self, now: float) -> None:
        expired = [
            ip for ip, pending in self._pending_shuffles.items() if now - pending.sent_at > ANSWER_TIMEOUT_S
        ]
        for ip in expired:
            del self._pending_shuffles[ip]
            self._remember_passive(ip)

    def _remember_passive(self, ip: str) -> None:
        self._passive.pop(ip, None)
        self._passive[ip] = None
        while len(self._passive) > PASSIVE_CAPACITY:
            del self._passive[next(iter(self._passive))]

    def _detect_freeze(self, now: float) -> None:
        """Suspends expiry after a freeze.

        Every record looks old then, so no member is dropped until there was time to receive new ones.
        """
        if now - self._last_tick > FREEZE_GAP_S:
            self._no_expiry_until = now + NO_EXPIRY_AFTER_FREEZE_S
            self._next_shuffle = now
        self._last_tick = now
