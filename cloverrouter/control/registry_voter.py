"""The voter's part of the registry: takes news, passes them on to all, tracks heartbeats, and as head
judges silence.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cloverrouter.control.instances import from_record
from cloverrouter.control.list_exchange import in_parts
from cloverrouter.control.registry_messages import (
    Announce,
    AnnounceTaken,
    Beat,
    Compare,
    HeardAgo,
    InstanceList,
    News,
    Same,
    SilenceAnswer,
    SilenceCheck,
    SilenceReport,
    UnknownInstances,
)
from cloverrouter.control.servers_list import ListEffect, ServersList
from cloverrouter.control.silence import SilenceJudge
from cloverrouter.control.subscribers import Batch, Subscribers
from cloverrouter.messages.sending import Send

JUDGE_PERIOD = 0.5
REPORT_FOR = 10.0
LIST_KEPT = 0.3  # ages told in it are too young by so much at most
NEWS_SPACING = 0.05  # at the first start, thousands of servers have news at once: they are put together


class RegistryVoter:
    """What a machine does for the others while it is a voter."""

    def __init__(self, servers: ServersList, heartbeat_interval: float) -> None:
        self.is_head = False
        self.leads = True
        """As head: no other machine can be head now. One that is cut off takes itself for it for long, and
        hears few servers: it is not to judge them."""
        self._servers = servers
        self._subscribers = Subscribers()
        self._judge = SilenceJudge(heartbeat_interval)
        self._other_voters: tuple[str, ...] = ()
        self._next_judgement = 0.0
        self._report_until = 0.0
        self._list: tuple[InstanceList, ...] = ()
        self._list_key = (0, -1)
        self._listed_at = 0.0
        self._passed_at = -NEWS_SPACING
        self._waiting: dict[str, None] = {}  # ids of what is to be passed on next
        self._answers: list[Send] = []  # to go out after these

    def resign(self) -> None:
        """This machine is no voter any more."""
        self._subscribers.clear()
        self._waiting.clear()
        self._answers.clear()
        self.is_head = False

    def set_head(self, now: float, is_head: bool) -> None:
        """As head it judges silence, taking over the marks that it knows."""
        if is_head and not self.is_head:
            self._judge.became_head(now)
            self._report_until = now + REPORT_FOR
        self.is_head = is_head

    def voters_changed(self, others: Iterable[str]) -> None:
        """The other voters: as head it asks them before it calls a server silent."""
        self._other_voters = tuple(others)

    def check_silence(self, now: float, ip: str, message: SilenceCheck) -> list[Send]:
        """The head asks when servers were heard here."""
        liveness = self._servers.liveness
        known = [each for each in message.ids if liveness.knows(each)]
        answer = [HeardAgo(each, round(max(liveness.age(now, each), 0.0) * 1000)) for each in known]
        return [Send(ip, SilenceAnswer(tuple(answer)))]

    def silence_checked(self, now: float, ip: str, message: SilenceAnswer) -> list[Send | ListEffect]:
        """Another voter tells when it heard servers: it may have heard what this one missed."""
        if not self.is_head or ip not in self._other_voters:
            return []
        for each in message.servers:
            age = each.age_ms / 1000
            if each.id in self._servers and age >= 0:
                self._servers.liveness.heard(each.id, now - age)
                self._judge.witnessed(now, ip, each.id, age)
        return self._judge_silence(now, asks=False) if self.leads else []

    def taken(self, now: float, ip: str, message: Announce) -> list[Send]:
        """The answer to an origin whose news were merged, once they are passed on."""
        record = message.record
        newer = () if self._servers.holds(now, record) else tuple(self._servers.records(now, [record.id]))
        if not message.wants_receipt and not newer:
            return []
        fingerprint = from_record(now, record).fingerprint()
        answer = Send(ip, AnnounceTaken(record.id, fingerprint, newer))
        if record.id in self._waiting:
            self._answers.append(answer)
            return []
        return [answer]

    def take_beats(self, now: float, ip: str, beats: Iterable[Beat]) -> list[Send]:
        """Heartbeats; the origin is asked for what is not known here."""
        unknown = []
        for beat in beats:
            if self._servers.table.beat(beat.id, beat.sequence):
                self._servers.liveness.heard(beat.id, now)
            else:
                unknown.append(beat.id)
        return [Send(ip, UnknownInstances(tuple(unknown)))] if unknown else []

    def pass_on(self, now: float, ids: Iterable[str], source: str) -> list[Send]:
        """Changed records, to all subscribers but the source: at once, or, after others only just, with the
        next tick.
        """
        if now - self._passed_at < NEWS_SPACING:
            self._waiting.update(dict.fromkeys(ids))
            return []
        return self._pass_now(now, ids, source)

    def _pass_now(self, now: float, ids: Iterable[str], source: str) -> list[Send]:
        self._passed_at = now
        sends = []
        for batch, ips in self._subscribers.queue(now, ids, source):
            news = self._news(now, batch)
            sends += [Send(ip, news) for ip in ips]
        return sends

    def _pass_waiting(self, now: float) -> list[Send]:
        sends = [*self._pass_now(now, self._waiting, source=""), *self._answers]
        self._waiting.clear()
        self._answers.clear()
        return sends

    def subscribers(self) -> list[str]:
        """The machines that news are passed on to."""
        return list(self._subscribers)

    def news_taken(self, ip: str, number: int) -> None:
        """A subscriber has news."""
        self._subscribers.taken(ip, number)

    def answer_compare(self, now: float, ip: str, message: Compare) -> list[Send]:
        """A subscriber's list may differ."""
        table = self._servers.table
        agrees = message.digest == table.digest and message.count == table.live_count
        wants_list = self._subscribers.heard(now, ip, agrees=agrees, list_length=table.live_count)
        sends: list[Send] = []
        if self.is_head and self.leads and (self._servers.silent or now < self._report_until):
            sends.append(self._silence_report(ip))
        if agrees:
            sends.append(Send(ip, Same(message.digest, round(self._subscribers.compare_period * 1000))))
        elif wants_list:
            sends += [Send(ip, part) for part in self._whole_list(now)]
        return sends

    def _whole_list(self, now: float) -> tuple[InstanceList, ...]:
        """The parts of the list. The same for a moment: after a restart of many, all of them want it."""
        key = (self._servers.table.digest, self._servers.table.live_count)
        if key != self._list_key or now - self._listed_at > LIST_KEPT:
            records = self._servers.records(now, [each.id for each in self._servers])
            self._list = tuple(in_parts(records, wants_answer=True))
            self._list_key, self._listed_at = key, now
        return self._list

    def tick(self, now: float) -> list[Send | ListEffect]:
        """News not taken in time, and as head the judgement on silence."""
        if self.leads:
            self._judge.ticked(now)
        self._subscribers.expire(now)
        effects: list[Send | ListEffect] = []
        if self._waiting:
            effects += self._pass_waiting(now)
        effects += [Send(ip, self._news(now, batch)) for ip, batch in self._subscribers.to_resend(now)]
        if self.is_head and self.leads and now >= self._next_judgement:
            self._next_judgement = now + JUDGE_PERIOD
            effects += self._judge_silence(now)
        return effects

    def _judge_silence(self, now: float, asks: bool = True) -> list[Send | ListEffect]:
        servers = self._servers
        alone = not self._other_voters
        judgement = self._judge.judge(now, list(servers), servers.liveness, servers.silent, alone)
        effects: list[Send | ListEffect] = [*servers.mark(judgement.silent)]
        if effects:
            self._report_until = now + REPORT_FOR
            effects += [self._silence_report(ip) for ip in self._subscribers]
        if asks and judgement.to_check:
            effects += [Send(ip, SilenceCheck(judgement.to_check)) for ip in self._other_voters]
        lost: list[str] = []
        for instance in (servers.table.get(each) for each in judgement.given_up):
            if instance is not None:
                lost += servers.merge(now, attrs.evolve(instance, lost=instance.generation))
        if lost:
            effects += [servers.changed_effect(lost), *self.pass_on(now, lost, source="")]
        return effects

    def _news(self, now: float, batch: Batch) -> News:
        return News(batch.number, tuple(self._servers.records(now, batch.ids)))

    def _silence_report(self, ip: str) -> Send:
        return Send(ip, SilenceReport(tuple(sorted(self._servers.silent))))
