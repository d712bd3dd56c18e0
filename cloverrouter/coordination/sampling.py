"""Peer sampling: how machines that know only a few seeds come to know one another, and stay joined.

After CYCLON: each machine holds a partial view of up to 16 others with ages, and shuffles parts of it with
the oldest of them, in a larger fleet mostly with the oldest of the own zone. Beside it each shuffle carries
all machines whose disks count for the quorum (there are few), and the newest membership view of the chain.
From HyParView comes the passive list: machines that no longer answered, tried now and then.

A new membership view goes to six others at once, and so to nearly all machines in a few hops.

Cost at 350 machines, settled: two shuffles and two answers a second for each machine, 1.5 KB each with 22
disk members, so 50 kbit/s each way, whatever the number of machines. If there were hundreds of disk
members, their map would have to be cut into parts sent in turn.
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
SHUFFLE_LENGTH = 8
RUMOUR_FANOUT = 6
DISTANT_EVERY = 5
"""Where a machine knows many others, one shuffle in so many may leave its zone: what moves between zones is
slower, and costs more. With tens of machines in a zone that is many a second."""
PASSIVE_CAPACITY = 32
JOINING_PERIOD = 0.1
STARTING_PERIOD = 0.4
SETTLED_PERIOD = 0.5
ISOLATED_PERIOD = 0.5
STARTING_FOR = 30.0
JOINING_FOR = 1.0
ISOLATED_HURRY_FOR = 3.0
ROUNDS_WITHOUT_GROWTH = 5
PROBE_PERIOD = 2.0
PROBE_SILENCE = 8.0
ANSWERED_PROBE_PERIOD = 60.0
ANSWER_TIMEOUT = 2.0
FROZEN_GAP = 1.5
BLIND_AFTER_FREEZE = 3.0


@attrs.frozen(slots=True)
class ViewLearned:
    """A newer membership view of the chain was heard of."""

    summary: ViewSummary


@attrs.frozen(slots=True)
class DiskMemberLearned:
    """A machine with a disk that counts was heard of that was not known before, or not any more."""

    record: PeerRecord


Effect = Send | ViewLearned | DiskMemberLearned


@attrs.frozen(slots=True)
class _Asked:
    """A shuffle that waits for its answer."""

    at: float
    sent: tuple[str, ...]


class PeerSampler:
    """The pure core of one machine's peer sampling: events with the time in, effects out."""

    def __init__(self, me: PeerRecord, seeds: Sequence[str], random: Random) -> None:
        self._me = me
        self._seeds = [ip for ip in seeds if ip != me.ip]
        self._random = random
        self._view = PartialView(me.ip, VIEW_CAPACITY, random)
        self._disks = DiskMembers()
        self._summary: ViewSummary | None = None
        self._asked: dict[str, _Asked] = {}
        self._passive: dict[str, None] = {}
        self._probe_answered: dict[str, float] = {}
        self._started_at = 0.0
        self._hurry_until = 0.0
        self._next_shuffle = 0.0
        self._next_probe = 0.0
        self._last_tick = 0.0
        self._blind_until = 0.0
        self._largest_view = 0
        self._rounds_without_growth = 0
        self._rounds = crc32(me.ip.encode())  # neighbours leave their zone at different times

    @property
    def due(self) -> float:
        """When the next tick has something to do."""
        return min(self._next_shuffle, self._next_probe)

    @property
    def summary(self) -> ViewSummary | None:
        """The newest membership view heard of."""
        return self._summary

    def peers(self) -> list[PeerRecord]:
        """The machines of the partial view."""
        return list(self._view)

    def discovered(self, now: float) -> list[DiskMember]:
        """All disk members known (this machine too, if it is one), and how long ago each was heard of."""
        return self._disks.members(now)

    def start(self, now: float) -> list[Effect]:
        """The first shuffles, with all seeds at once."""
        self._started_at = self._last_tick = now
        self._hurry_until = now + JOINING_FOR
        self._next_shuffle = now + JOINING_PERIOD
        self._next_probe = now + PROBE_PERIOD
        self._beat(now)
        return [self._ask(now, ip) for ip in self._seeds]

    def seeds_changed(self, now: float, seeds: Sequence[str]) -> list[Effect]:
        """Other seeds: those that are new are asked at once."""
        self._probe_answered.clear()
        new = [ip for ip in seeds if ip != self._me.ip and ip not in self._seeds]
        self._seeds = [ip for ip in seeds if ip != self._me.ip]
        return [self._ask(now, ip) for ip in new if ip not in self._view]

    def describe(self, now: float, *, identity: str, counts: bool) -> None:
        """What this machine's disk is, where that became known or changed after the start."""
        self._me = self._me.with_disk(identity, counts)
        self._beat(now)
        self._hurry(now)

    def view_changed(self, now: float, summary: ViewSummary) -> list[Effect]:
        """The chain's view as this machine itself knows it; a new one is told to a few others at once."""
        return self._take_view(now, summary, source=self._me.ip)

    def tick(self, now: float) -> list[Effect]:
        """Whatever is due by the clock."""
        self._notice_freeze(now)
        self._give_up_unanswered(now)
        if now >= self._blind_until:
            self._disks.forget_silent(now)
        effects: list[Effect] = []
        if now >= self._next_shuffle:
            effects += self._shuffle(now)
            self._next_shuffle = now + self._period(now)
        if now >= self._next_probe:
            effects += self._probe(now)
            self._next_probe = now + PROBE_PERIOD * self._random.uniform(0.75, 1.25)
        return effects

    def receive(self, now: float, sender_ip: str, message: object) -> list[Effect]:
        """A message of another machine's sampler."""
        if not isinstance(message, Shuffle) or message.sender.ip == self._me.ip:
            return []
        effects = self._learn(now, message)
        asked = self._asked.pop(message.sender.ip, None) if message.is_answer else None
        if message.sender.ip in self._seeds and message.is_answer:
            self._probe_answered[message.sender.ip] = now
        sent = asked.sent if asked else ()
        if not message.is_answer:
            answer = self._message(now, message.sender.ip, is_answer=True)
            sent = tuple(aged.record.ip for aged in answer.entries)
            effects.append(Send(sender_ip, answer))
        self._merge(now, message, sent)
        return effects

    def _merge(self, now: float, message: Shuffle, sent: tuple[str, ...]) -> None:
        self._view.merge(now, message.entries, sent)
        self._view.insert(now, message.sender)
        self._passive.pop(message.sender.ip, None)
        if len(self._view) > self._largest_view:
            self._largest_view = len(self._view)
            self._rounds_without_growth = 0

    def _learn(self, now: float, message: Shuffle) -> list[Effect]:
        effects: list[Effect] = []
        for aged in (*message.entries, *message.disks):
            self._defend(now, aged.record)
        for aged in (AgedRecord(message.sender, 0), *message.disks):
            if self._disks.learn(now, aged.record, aged.age_ms / 1000):
                effects.append(DiskMemberLearned(aged.record))
                self._hurry(now)
        if message.view is not None and self._is_newer_view(message.view):
            effects.append(ViewLearned(message.view))
            effects += self._take_view(now, message.view, source=message.sender.ip)
        return effects

    def _take_view(self, now: float, summary: ViewSummary, source: str) -> list[Effect]:
        known = self._summary
        if known is not None and summary.order() <= known.order():
            return []
        self._summary = summary
        if known is not None and summary.is_same_view(known):
            return []
        self._hurry(now)
        others = sorted(record.ip for record in self._view if record.ip != source)
        told = self._random.sample(others, min(RUMOUR_FANOUT, len(others)))
        return [self._ask(now, ip) for ip in told]

    def _is_newer_view(self, summary: ViewSummary) -> bool:
        return self._summary is None or summary.order() > self._summary.order()

    def _defend(self, now: float, record: PeerRecord) -> None:
        """Another start at this machine's address seems newer than this one: its clock went back, so
        overtake it.
        """
        if record.ip == self._me.ip and record.incarnation >= self._me.incarnation:
            is_older_start = record.identity != self._me.identity or record.is_newer_than(self._me)
            if is_older_start:
                self._me = self._me.with_incarnation(record.incarnation + 1)
                self._beat(now)

    def _beat(self, now: float) -> None:
        self._me = self._me.told_again()
        self._disks.learn(now, self._me, 0.0)

    def _hurry(self, now: float) -> None:
        """There is news: shuffle fast for a while."""
        self._hurry_until = max(self._hurry_until, now + JOINING_FOR)
        self._next_shuffle = min(self._next_shuffle, now + JOINING_PERIOD)

    def _period(self, now: float) -> float:
        if not len(self._view):
            self._largest_view = 0
            is_new = now - self._started_at < ISOLATED_HURRY_FOR
            return JOINING_PERIOD if is_new else ISOLATED_PERIOD
        is_joined = (
            self._largest_view >= VIEW_CAPACITY or self._rounds_without_growth >= ROUNDS_WITHOUT_GROWTH
        )
        if now < self._hurry_until or not is_joined:
            return JOINING_PERIOD
        return STARTING_PERIOD if now - self._started_at < STARTING_FOR else SETTLED_PERIOD

    def _shuffle(self, now: float) -> list[Effect]:
        self._beat(now)
        self._rounds_without_growth += 1
        partner = self._partner(now)
        if partner is None:
            return self._probe(now)
        return [self._ask(now, partner.ip)]

    def _partner(self, now: float) -> PeerRecord | None:
        self._rounds += 1
        stays = self._view.is_full() and self._rounds % DISTANT_EVERY != 0
        return self._view.take_oldest(now, self._me.zone if stays else None)

    def _probe(self, now: float) -> list[Effect]:
        """One machine that is not in the view: a seed, a disk member once known, or one that no longer
        answered.
        """
        known = {*self._seeds, *self._disks.remembered_ips(), *self._passive}
        known -= {self._me.ip, *self._disks.fresh_ips(now, PROBE_SILENCE)}
        candidates = sorted(ip for ip in known if self._is_worth_a_probe(now, ip))
        return [self._ask(now, self._random.choice(candidates))] if candidates else []

    def _is_worth_a_probe(self, now: float, ip: str) -> bool:
        if ip in self._view or self._is_waiting_for(ip):
            return False
        return now - self._probe_answered.get(ip, -math.inf) > ANSWERED_PROBE_PERIOD

    def _is_waiting_for(self, ip: str) -> bool:
        """A lonely machine asks again without waiting: none of those it asked may have been listening yet."""
        return ip in self._asked and len(self._view) > 0

    def _ask(self, now: float, ip: str) -> Send:
        shuffle = self._message(now, ip, is_answer=False)
        self._asked[ip] = _Asked(now, tuple(aged.record.ip for aged in shuffle.entries))
        return Send(ip, shuffle)

    def _message(self, now: float, to: str, *, is_answer: bool) -> Shuffle:
        entries = self._view.sample(now, SHUFFLE_LENGTH, to)
        return Shuffle(self._me, entries, self._disks.told(now), self._summary, is_answer)

    def _give_up_unanswered(self, now: float) -> None:
        late = [ip for ip, asked in self._asked.items() if now - asked.at > ANSWER_TIMEOUT]
        for ip in late:
            del self._asked[ip]
            self._remember_passive(ip)

    def _remember_passive(self, ip: str) -> None:
        self._passive.pop(ip, None)
        self._passive[ip] = None
        while len(self._passive) > PASSIVE_CAPACITY:
            del self._passive[next(iter(self._passive))]

    def _notice_freeze(self, now: float) -> None:
        """After a freeze all news look old: nobody is forgotten until there was time to hear."""
        if now - self._last_tick > FROZEN_GAP:
            self._blind_until = now + BLIND_AFTER_FREEZE
            self._next_shuffle = now
        self._last_tick = now
