"""The voter's side of the registry: forwards changes to all machines, tracks heartbeats and, as the head,
detects silent servers.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from cloverrouter.control.departures import Departures
from cloverrouter.control.instances import InstanceState, from_record
from cloverrouter.control.list_exchange import split_into_parts
from cloverrouter.control.registry_messages import (
    Announce,
    AnnounceAcknowledged,
    AnnounceRefused,
    Compare,
    InstanceHeartbeat,
    InstanceList,
    InstanceUpdates,
    LivenessAge,
    Same,
    SilenceAnswer,
    SilenceCheck,
    SilenceReport,
    UnknownInstances,
)
from cloverrouter.control.servers_list import ListEffect, ServersList
from cloverrouter.control.silence import SilenceDetector
from cloverrouter.control.subscribers import Batch, Subscribers
from cloverrouter.messages.sending import Send

DETECTION_PERIOD_S = 0.5
REPORT_REPEAT_S = 10.0  # how long after a change an empty set of silent servers is reported, too
LIST_CACHE_S = 0.3  # the ages in a cached list are too low by at most this much
FORWARD_INTERVAL_S = 0.05  # at the first start thousands of servers register at once: batches their updates


class RegistryVoter:
    """The duties of a machine while it is a voter."""

    def __init__(self, servers: ServersList, departures: Departures, heartbeat_interval_s: float) -> None:
        self.is_head = False
        self.is_sole_head = True
        """Whether no other machine can be the head now. A head that is cut off goes on as head for long but
        receives few heartbeats, so it must not mark servers as silent."""
        self._servers = servers
        self._departures = departures
        self._subscribers = Subscribers()
        self._detector = SilenceDetector(heartbeat_interval_s)
        self._other_voters: tuple[str, ...] = ()
        self._next_detection = 0.0
        self._report_until = 0.0
        self._cached_list: tuple[InstanceList, ...] = ()
        self._cached_list_key = (0, -1)
        self._cached_list_at = 0.0
        self._forwarded_at = -FORWARD_INTERVAL_S
        # Ids to forward with the next tick, in order, and the acknowledgements that follow them.
        self._waiting_ids: dict[str, None] = {}
        self._deferred_acknowledgements: list[Send] = []
        # Acknowledgements of departures that are not on the disk yet, by the server's id and the origin.
        self._unstored_acknowledgements: dict[str, dict[str, AnnounceAcknowledged]] = {}

    def resign(self) -> None:
        """Handles that this machine is no longer a voter."""
        self._subscribers.clear()
        self._waiting_ids.clear()
        self._deferred_acknowledgements.clear()
        self._unstored_acknowledgements.clear()
        self.is_head = False

    def set_head(self, now: float, is_head: bool) -> None:
        """Sets whether this machine is the head; a new one keeps the silence marks that it received."""
        if is_head and not self.is_head:
            self._detector.became_head(now)
            self._report_until = now + REPORT_REPEAT_S
        self.is_head = is_head

    def voters_changed(self, others: Iterable[str]) -> None:
        """Sets the other voters, which the head asks before it marks a server as silent."""
        self._other_voters = tuple(others)

    def check_silence(self, now: float, ip: str, message: SilenceCheck) -> list[Send]:
        """Answers the head's question when servers were last heard from here."""
        liveness = self._servers.liveness
        ids = [each for each in message.ids if liveness.knows(each)]
        answer = [LivenessAge(each, round(max(liveness.age(now, each), 0.0) * 1000)) for each in ids]
        return [Send(ip, SilenceAnswer(tuple(answer)))]

    def silence_checked(self, now: float, ip: str, message: SilenceAnswer) -> list[Send | ListEffect]:
        """Merges another voter's answer, as it may have received heartbeats that this one missed."""
        if not self.is_head or ip not in self._other_voters:
            return []
        for each in message.servers:
            age = each.age_ms / 1000
            if each.id in self._servers and age >= 0:
                self._servers.liveness.record_alive(each.id, now - age)
                self._detector.record_voter_answer(now, ip, each.id, age)
        return self._detect_silence(now, ask_voters=False) if self.is_sole_head else []

    def acknowledge(self, now: float, ip: str, message: Announce) -> list[Send]:
        """Returns the acknowledgement of a merged record, or defers it until the record is forwarded.

        That of a departure waits until the record is on the disk, too.
        """
        record = message.record
        newer = () if self._servers.holds(now, record) else tuple(self._servers.records(now, [record.id]))
        if not message.wants_acknowledgement and not newer:
            return []
        fingerprint = from_record(now, record).fingerprint()
        answer = AnnounceAcknowledged(record.id, fingerprint, newer)
        if self._is_unstored_departure(record.id):
            self._departures.add(record.id)
            self._unstored_acknowledgements.setdefault(record.id, {})[ip] = answer
            return self._refuse_unstored(now)
        return self._send_when_forwarded(ip, answer)

    def _is_unstored_departure(self, instance_id: str) -> bool:
        instance = self._servers.table.get(instance_id)
        is_leaving = instance is not None and instance.state is not InstanceState.READY
        return is_leaving and not self._departures.is_stored(instance_id)

    def _send_when_forwarded(self, ip: str, answer: AnnounceAcknowledged) -> list[Send]:
        if answer.id in self._waiting_ids:
            self._deferred_acknowledgements.append(Send(ip, answer))
            return []
        return [Send(ip, answer)]

    def departures_stored(self, ids: Iterable[str]) -> list[Send]:
        """Returns the acknowledgements of departures that are on the disk now."""
        sends: list[Send] = []
        for instance_id in ids:
            for ip, answer in self._unstored_acknowledgements.pop(instance_id, {}).items():
                sends += self._send_when_forwarded(ip, answer)
        return sends

    def _refuse_unstored(self, now: float) -> list[Send]:
        """Refuses the acknowledgements that wait for the disk, if it takes nothing now."""
        if not self._unstored_acknowledgements or not self._departures.refuses(now):
            return []
        waiting, self._unstored_acknowledgements = self._unstored_acknowledgements, {}
        return [
            Send(ip, AnnounceRefused(answer.id, answer.fingerprint))
            for answers in waiting.values()
            for ip, answer in answers.items()
        ]

    def record_heartbeats(self, now: float, ip: str, heartbeats: Iterable[InstanceHeartbeat]) -> list[Send]:
        """Records heartbeats, and asks the origin for the records of servers unknown here."""
        unknown = []
        for beat in heartbeats:
            if self._servers.table.record_heartbeat(beat.id, beat.sequence):
                self._servers.liveness.record_alive(beat.id, now)
            else:
                unknown.append(beat.id)
        return [Send(ip, UnknownInstances(tuple(unknown)))] if unknown else []

    def forward(self, now: float, ids: Iterable[str], source: str) -> list[Send]:
        """Sends changed records to all subscribers but the source.

        If others were sent within `FORWARD_INTERVAL_S`, they wait for the next tick.
        """
        if now - self._forwarded_at < FORWARD_INTERVAL_S:
            self._waiting_ids.update(dict.fromkeys(ids))
            return []
        return self._forward_now(now, ids, source)

    def _forward_now(self, now: float, ids: Iterable[str], source: str) -> list[Send]:
        self._forwarded_at = now
        sends = []
        for batch, ips in self._subscribers.queue(now, ids, source):
            message = self._updates_message(now, batch)
            sends += [Send(ip, message) for ip in ips]
        return sends

    def _forward_waiting(self, now: float) -> list[Send]:
        sends = [*self._forward_now(now, self._waiting_ids, source=""), *self._deferred_acknowledgements]
        self._waiting_ids.clear()
        self._deferred_acknowledgements.clear()
        return sends

    def subscribers(self) -> list[str]:
        """Returns the machines that updates are sent to."""
        return list(self._subscribers)

    def updates_acknowledged(self, ip: str, number: int) -> None:
        """Records a subscriber's acknowledgement of a batch."""
        self._subscribers.acknowledged(ip, number)

    def answer_compare(self, now: float, ip: str, message: Compare) -> list[Send]:
        """Answers a subscriber's comparison, with the whole list if theirs differs repeatedly."""
        table = self._servers.table
        agrees = message.digest == table.digest and message.count == table.live_count
        wants_list = self._subscribers.compared(now, ip, agrees=agrees, list_length=table.live_count)
        sends: list[Send] = []
        if self.is_head and self.is_sole_head and (self._servers.silent or now < self._report_until):
            sends.append(self._silence_report(ip))
        if agrees:
            sends.append(Send(ip, Same(message.digest, round(self._subscribers.compare_period * 1000))))
        elif wants_list:
            sends += [Send(ip, part) for part in self._whole_list(now)]
        return sends

    def _whole_list(self, now: float) -> tuple[InstanceList, ...]:
        """Returns the list in parts, cached briefly: after a restart of many machines all of them need it."""
        key = (self._servers.table.digest, self._servers.table.live_count)
        if key != self._cached_list_key or now - self._cached_list_at > LIST_CACHE_S:
            records = self._servers.records(now, [each.id for each in self._servers])
            self._cached_list = tuple(split_into_parts(records, wants_answer=True))
            self._cached_list_key, self._cached_list_at = key, now
        return self._cached_list

    def tick(self, now: float) -> list[Send | ListEffect]:
        """Sends waiting and unacknowledged updates; as the head, also detects silent servers."""
        if self.is_sole_head:
            self._detector.tick(now)
        self._subscribers.expire(now)
        effects: list[Send | ListEffect] = [*self._refuse_unstored(now)]
        if self._waiting_ids:
            effects += self._forward_waiting(now)
        effects += [
            Send(ip, self._updates_message(now, batch)) for ip, batch in self._subscribers.to_resend(now)
        ]
        if self.is_head and self.is_sole_head and now >= self._next_detection:
            self._next_detection = now + DETECTION_PERIOD_S
            effects += self._detect_silence(now)
        return effects

    def _detect_silence(self, now: float, ask_voters: bool = True) -> list[Send | ListEffect]:
        servers = self._servers
        is_only_voter = not self._other_voters
        result = self._detector.detect(now, list(servers), servers.liveness, servers.silent, is_only_voter)
        effects: list[Send | ListEffect] = [*servers.set_silent(result.silent)]
        if effects:
            self._report_until = now + REPORT_REPEAT_S
            effects += [self._silence_report(ip) for ip in self._subscribers]
        if ask_voters and result.to_check:
            effects += [Send(ip, SilenceCheck(result.to_check)) for ip in self._other_voters]
        changed: list[str] = []
        for instance in (servers.table.get(each) for each in result.given_up):
            if instance is not None:
                changed += servers.merge(now, attrs.evolve(instance, lost_generation=instance.generation))
        if changed:
            effects += [servers.changed_effect(changed), *self.forward(now, changed, source="")]
        return effects

    def _updates_message(self, now: float, batch: Batch) -> InstanceUpdates:
        return InstanceUpdates(batch.number, tuple(self._servers.records(now, batch.ids)))

    def _silence_report(self, ip: str) -> Send:
        return Send(ip, SilenceReport(tuple(sorted(self._servers.silent))))
