"""The registry: the list of servers, replicated on every machine by merging records.

A server calls any machine, which is the origin of the change. The origin sends the change to all voters at
once; each voter merges it, forwards it to all machines and acknowledges it to the origin. With a majority of
acknowledgements the origin answers the server. A voter acknowledges a departure (a server that is draining or
has ended) once it is on its disk. A call that changes nothing is a heartbeat: it is answered at
once and sent to the voters in a batch. A machine that has not heard from a majority of the voters lately
treats heartbeats as changes, so that they are answered only if a majority receives them. The head of the
voters decides which servers are silent. Machines compare their lists with the voters' by digest every few
seconds and whenever a link comes up. A voter that lost its list gets it back from the other machines, which
do not drop anything from their lists meanwhile.

Cost at 350 machines, 3 voters and 500 servers with a heartbeat every 1.2 s: a change takes 3 x 350 updates of
about 180 B and as many acknowledgements of 12 B (210 KB altogether). The 417 heartbeats a second are batched,
at most 1,170 messages a second of 40 B into each voter (machines without heartbeats send none). Each voter
handles 100 comparisons a second, of 30 B with answers of 25 B. With thousands of machines, updates would have
to be forwarded along a tree, and each heartbeat sent to a single voter chosen by the hash of the id.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from cloverrouter.control.announcements import Acknowledged, Announcements, Failed, Pending
from cloverrouter.control.departures import Departures, StoreDepartures
from cloverrouter.control.instance_table import effective
from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.control.list_exchange import ListExchange, VoterList, split_into_parts
from cloverrouter.control.registry_messages import (
    Announce,
    AnnounceAcknowledged,
    AnnounceRefused,
    Compare,
    HeartbeatBatch,
    InstanceHeartbeat,
    InstanceList,
    InstanceRecord,
    InstanceUpdates,
    InstanceUpdatesAcknowledged,
    Same,
    SilenceAnswer,
    SilenceCheck,
    SilenceReport,
    UnknownInstances,
)
from cloverrouter.control.registry_voter import RegistryVoter
from cloverrouter.control.restored_servers import RestoredServers
from cloverrouter.control.servers_list import ListEffect, ServersList
from cloverrouter.messages.sending import Send

HEARTBEAT_FLUSH_PERIOD_S = 0.3
HOUSEKEEPING_PERIOD_S = 1.0
RESTORED_CONFIRM_S = 2.5

Effect = Send | Acknowledged | Failed | ListEffect | StoreDepartures


class Registry:
    """One machine's list of servers, without I/O: methods take events with the time, and return effects.

    Times are seconds of the local monotonic clock.
    """

    def __init__(
        self,
        own_ip: str,
        heartbeat_interval_s: float,
        *,
        has_disk: bool = False,
        confirm_within_s: float = RESTORED_CONFIRM_S,
    ) -> None:
        """`has_disk`: `StoreDepartures` is carried out. `confirm_within_s`: servers that `restore` added are
        given up if they have not called by then."""
        self._own_ip = own_ip
        self._voters: tuple[str, ...] = ()
        self._head: str | None = None
        self._servers = ServersList()
        self._announcements = Announcements()
        self._exchange = ListExchange()
        self._departures = Departures(has_disk)
        self._restored = RestoredServers(confirm_within_s)
        self._voter = RegistryVoter(self._servers, self._departures, heartbeat_interval_s)
        self._unsent_heartbeats: dict[str, int] = {}
        self._changes = 0
        self._is_in_touch = True
        self._next_flush = 0.0
        self._next_housekeeping = 0.0

    @property
    def is_voter(self) -> bool:
        """Whether this machine is a voter."""
        return self._own_ip in self._voters

    @property
    def is_known_non_voter(self) -> bool:
        """Whether this machine knows the voters and is none of them."""
        return bool(self._voters) and not self.is_voter

    @property
    def digest(self) -> int:
        """The digest of the list of live servers; equal on machines with equal lists."""
        return self._servers.table.digest

    def instances(self, service: str) -> tuple[Instance, ...]:
        """Returns the service's servers that are ready or draining."""
        return self._servers.table.usable(service)

    def services(self) -> list[str]:
        """Returns the services that have servers."""
        return self._servers.table.services()

    def find(self, instance_id: str) -> Instance | None:
        """Returns the instance as the data plane sees it, even if it ended recently; None if unknown."""
        found = self._servers.table.get(instance_id)
        return effective(self._servers.table, found) if found else None

    def __contains__(self, instance_id: object) -> bool:
        return instance_id in self._servers

    def records(self, now: float) -> list[InstanceRecord]:
        """Returns the records of all instances, including ended ones, as another machine would get them."""
        return self._servers.records(now, [instance.id for instance in self._servers])

    def restore(self, now: float, records: Iterable[InstanceRecord]) -> list[Effect]:
        """Merges records saved by an earlier process of this machine; none counts as confirmed by a voter.

        Ready servers that this machine did not know are given up if they don't call soon.
        """
        unknown = [record.id for record in records if record.id not in self._servers]
        effects = self._merge_records(now, records, "")
        restored = (self._servers.table.get(each) for each in unknown)
        self._restored.add(now, [each for each in restored if each is not None])
        return effects

    def restore_departures(self, now: float, records: Iterable[InstanceRecord]) -> list[Effect]:
        """Merges the departures that are on this machine's disk."""
        records = list(records)
        self._departures.restored(record.id for record in records)
        return self._merge_records(now, records, "")

    def departure_records(self, now: float) -> list[InstanceRecord]:
        """Returns the records of all departures that are remembered."""
        leaving = [each.id for each in self._servers if each.state is not InstanceState.READY]
        return self._servers.records(now, leaving)

    def departures_stored(self, now: float) -> list[Effect]:
        """Handles that the records of the last `StoreDepartures` are on the disk."""
        stored = self._departures.written()
        for pending in self._announcements:
            if self.is_voter and pending.instance_id in stored:
                pending.acknowledged_by.add(self._own_ip)
        return [*self._voter.departures_stored(stored), *self._settle(now), *self._store_departures(now)]

    def departures_not_stored(self, now: float) -> list[Effect]:
        """Handles that the records of the last `StoreDepartures` could not be stored."""
        self._departures.not_written(now)
        return self.tick(now)

    def _store_departures(self, now: float) -> list[Effect]:
        records = self._servers.records(now, self._departures.next_write(now))
        return [StoreDepartures(tuple(records))] if records else []

    def __len__(self) -> int:
        return self._servers.table.live_count

    def subscribers(self) -> list[str]:
        """Returns the machines that this voter sends updates to; none if it is not a voter."""
        return self._voter.subscribers()

    def is_silent(self, instance_id: str) -> bool:
        """Returns whether the head has marked the server as silent."""
        return instance_id in self._servers.silent

    def start(self, now: float) -> list[Effect]:
        """Starts the registry; nothing is sent before the voters are known."""
        return self.tick(now)

    def voters_changed(self, now: float, ips: Collection[str]) -> list[Effect]:
        """Sets the voters, from the newest view that this machine knows."""
        self._voters = tuple(ips)
        others = [ip for ip in ips if ip != self._own_ip]
        self._exchange.voters_changed(now, others)
        self._voter.voters_changed(others)
        if not self.is_voter:
            self._voter.resign()
        return self.tick(now)

    def set_head(self, now: float, head: str | None) -> None:
        """Sets the head of the chain, which detects silent servers; None while it is unknown."""
        self._head = head
        self._voter.set_head(now, head == self._own_ip)

    def set_sole_head(self, confirmed: bool) -> None:
        """Sets whether this machine, if it is the head, is certainly the only head."""
        self._voter.is_sole_head = confirmed

    def set_in_touch(self, confirmed: bool) -> None:
        """Sets whether the control plane has heard from a majority of the voters lately."""
        self._is_in_touch = confirmed

    def link_up(self, now: float, ip: str) -> list[Effect]:
        """Handles a link that came up, for the first time or again."""
        self._exchange.link_up(now, ip)
        return self._compare(now)

    def link_down(self, now: float, ip: str) -> list[Effect]:
        """Handles a link that went down."""
        self._exchange.link_down(ip)
        return []

    def register(self, now: float, instance: Instance) -> tuple[int, list[Effect]]:
        """Handles a server's call that registers it or is its heartbeat.

        Returns the number of the change, which a later `Acknowledged` or `Failed` carries, and the effects.
        """
        self._changes += 1
        change = self._changes
        table = self._servers.table
        effects: list[Effect] = [*self._servers.set_silent(self._servers.silent - {instance.id})]
        changed = self._servers.merge(now, self._with_generation(instance))
        effects += self._forward(now, changed, self._own_ip)
        merged = table.get(instance.id)
        if merged is None:
            return change, [*effects, Acknowledged(change)]
        fingerprint = table.fingerprint(instance.id)
        is_known = not changed and self._announcements.is_confirmed(instance.id, fingerprint)
        if is_known and self._can_reach_majority(now):
            self._unsent_heartbeats[instance.id] = merged.sequence
            return change, [*effects, Acknowledged(change)]
        is_leaving = merged.state is not InstanceState.READY
        if is_leaving:
            self._departures.add(instance.id)
        self._announcements.add(now, change, instance.id, fingerprint, is_leaving)
        return change, [*effects, *self._send_pending(now), *self._store_departures(now)]

    def _can_reach_majority(self, now: float) -> bool:
        """Returns whether a heartbeat acknowledged here can reach a majority of the voters.

        If it could not, the server would keep calling this machine, as its heartbeats are acknowledged, while
        the head, which does not receive them, marks it as silent.
        """
        live = len(self._exchange.live_voters(now)) + self.is_voter
        return self._is_in_touch and 2 * live > len(self._voters)

    def deregister(self, now: float, instance_id: str) -> tuple[int, list[Effect]]:
        """Handles a server's call that it has ended. Returns the same as `register`."""
        known = self._servers.table.get(instance_id) or Instance(instance_id, "", "", sequence=-1)
        return self.register(now, attrs.evolve(known, state=InstanceState.GONE))

    def tick(self, now: float) -> list[Effect]:
        """Returns the effects of all that is due by the clock."""
        effects = self._send_pending(now)
        if now >= self._next_flush:
            self._next_flush = now + HEARTBEAT_FLUSH_PERIOD_S
            effects += self._flush_heartbeats()
        effects += self._compare(now)
        if self.is_voter:
            effects += self._voter.tick(now)
        if now >= self._next_housekeeping:
            self._next_housekeeping = now + HOUSEKEEPING_PERIOD_S
            for instance_id in self._servers.table.forget_ended(now):
                self._announcements.forget(instance_id)
                self._departures.forget(instance_id)
        effects += self._give_up_unconfirmed(now)
        return [*effects, *self._store_departures(now)]

    def _give_up_unconfirmed(self, now: float) -> list[Effect]:
        """Gives up the restored servers that did not call in time.

        Only voters receive all heartbeats.
        """
        if not self._restored or not self.is_voter:
            return []
        heard = len(self._exchange.heard_voters(now)) + 1
        has_contact = self._is_in_touch and 2 * heard > len(self._voters)
        unconfirmed = self._restored.take_unconfirmed(now, has_contact, self._servers.table)
        changed: dict[str, None] = {}
        for each in unconfirmed:
            given_up = attrs.evolve(each, lost_generation=each.generation)
            changed.update(dict.fromkeys(self._servers.merge(now, given_up)))
        return self._forward(now, tuple(changed), "")

    def receive(self, now: float, ip: str, message: object) -> list[Effect]:
        """Handles a message from another machine's registry."""
        self._exchange.message_received(now, ip)
        return [*self._handle(now, ip, message), *self._store_departures(now)]

    def _handle(self, now: float, ip: str, message: object) -> list[Effect]:
        match message:
            case Announce():
                effects = self._merge_records(now, (message.record,), ip)
                return [*effects, *self._voter.acknowledge(now, ip, message)] if self.is_voter else effects
            case AnnounceAcknowledged():
                return self._announce_acknowledged(now, ip, message)
            case AnnounceRefused():
                self._announcements.record_refusal(ip, message.id, message.fingerprint)
                return self._settle(now)
            case HeartbeatBatch():
                return [*self._voter.record_heartbeats(now, ip, message.heartbeats)]
            case UnknownInstances():
                return [Send(ip, Announce(each, False)) for each in self._servers.records(now, message.ids)]
            case InstanceUpdates():
                effects = self._merge_records(now, message.records, ip)
                return [Send(ip, InstanceUpdatesAcknowledged(message.number)), *effects]
            case InstanceUpdatesAcknowledged():
                self._voter.updates_acknowledged(ip, message.number)
            case Compare():
                return [*self._voter.answer_compare(now, ip, message)] if self.is_voter else []
            case Same():
                self._lists_agree(now, ip, message)
            case InstanceList():
                return self._receive_list(now, ip, message)
            case SilenceCheck() if ip == self._head and self.is_voter:
                return [*self._voter.check_silence(now, ip, message)]
            case SilenceAnswer():
                return [*self._voter.silence_checked(now, ip, message)]
            case SilenceReport() if ip == self._head:
                return [*self._servers.set_silent(frozenset(message.ids))]
        return []

    def _with_generation(self, instance: Instance) -> Instance:
        """Returns the instance with a generation above its lost one and those of others at its address.

        A late call, whose sequence number is not above the known one, keeps the known generation.
        """
        known = self._servers.table.get(instance.id)
        if known is None:
            generation, lost_generation = instance.generation, 0
        elif instance.sequence > known.sequence:
            generation, lost_generation = known.generation, known.lost_generation
        else:
            return attrs.evolve(instance, generation=known.generation)
        conflicting = [other.generation for other in self._servers.table.address_conflicts(instance)]
        if generation <= max([lost_generation, *conflicting]):
            generation = max([lost_generation, *conflicting]) + 1
        return attrs.evolve(instance, generation=generation)

    def _send_pending(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for pending in self._announcements.take_due(now):
            effects += self._send_announce(now, pending)
        return effects + self._settle(now)

    def _send_announce(self, now: float, pending: Pending) -> list[Effect]:
        if self.is_voter:
            self._count_own_vote(now, pending)
        record = self._servers.record(now, pending.instance_id)
        if record is None:
            return []
        announce = Announce(record, True)
        return [Send(ip, announce) for ip in pending.unacknowledged_voters(self._voters)]

    def _count_own_vote(self, now: float, pending: Pending) -> None:
        if not pending.is_leaving or self._departures.is_stored(pending.instance_id):
            pending.acknowledged_by.add(self._own_ip)
        elif self._departures.refuses(now):
            pending.refused_by.add(self._own_ip)

    def _announce_acknowledged(self, now: float, ip: str, message: AnnounceAcknowledged) -> list[Effect]:
        newest = self._servers.table.fingerprint(message.id) if message.id in self._servers else None
        self._announcements.record_acknowledgement(ip, message.id, message.fingerprint, newest)
        effects = self._merge_records(now, message.newer, ip)
        return [*effects, *self._settle(now)]

    def _settle(self, now: float) -> list[Effect]:
        live = [ip for ip in self._exchange.live_voters(now) if ip in self._voters]
        return [*self._announcements.settle(now, self._voters, live)]

    def _flush_heartbeats(self) -> list[Effect]:
        if not self._unsent_heartbeats:
            return []
        heartbeats = HeartbeatBatch(
            tuple(
                InstanceHeartbeat(instance_id, sequence)
                for instance_id, sequence in self._unsent_heartbeats.items()
            )
        )
        self._unsent_heartbeats.clear()
        return [Send(ip, heartbeats) for ip in self._voters if ip != self._own_ip]

    def _compare(self, now: float) -> list[Effect]:
        table = self._servers.table
        compare = Compare(table.digest, table.live_count)
        return [Send(ip, compare) for ip in self._exchange.take_due_voters(now)]

    def _lists_agree(self, now: float, ip: str, message: Same) -> None:
        self._exchange.lists_agree(now, ip, message.next_ms)
        if message.digest != self._servers.table.digest:
            return
        if not self.is_voter:
            self._servers.liveness.record_all_alive(now)
        for instance in self._servers:
            self._confirm_ready(instance)

    def _receive_list(self, now: float, ip: str, message: InstanceList) -> list[Effect]:
        effects = self._merge_records(now, message.records, ip)
        if not message.wants_answer:
            return effects
        matching = [record.id for record in message.records if self._servers.holds(now, record)]
        listed = [record.id for record in message.records]
        whole = self._exchange.part_received(ip, message, matching, listed)
        return effects if whole is None else effects + self._answer_list(now, ip, whole)

    def _answer_list(self, now: float, ip: str, theirs: VoterList) -> list[Effect]:
        """Sends the voter what its list lacks; instances unconfirmed for too long are dropped instead."""
        missing = [each.id for each in self._servers if each.id not in theirs.matching]
        outdated = [
            each for each in missing if each not in theirs.listed and self._servers.is_outdated(now, each)
        ]
        effects: list[Effect] = [*self._servers.drop(outdated)]
        for instance_id in outdated:
            self._departures.forget(instance_id)
        records = self._servers.records(now, missing)
        if records:
            effects += [Send(ip, part) for part in split_into_parts(records, wants_answer=False)]
        return effects

    def _merge_records(self, now: float, records: Iterable[InstanceRecord], ip: str) -> list[Effect]:
        changed = self._servers.merge_records(now, records)
        if ip in self._voters:
            for record in records:
                instance = self._servers.table.get(record.id)
                if instance is not None and self._servers.holds(now, record):
                    self._confirm_ready(instance)
        return self._forward(now, changed, ip)

    def _forward(self, now: float, changed: tuple[str, ...], source: str) -> list[Effect]:
        if not changed:
            return []
        for instance_id in changed:
            instance = self._servers.table.get(instance_id)
            if instance is not None and instance.state is not InstanceState.READY:
                self._departures.add(instance_id)
        effects: list[Effect] = [self._servers.changed_effect(changed)]
        return [*effects, *self._voter.forward(now, changed, source)] if self.is_voter else effects

    def _confirm_ready(self, instance: Instance) -> None:
        """Confirms a ready instance that a voter has.

        A draining or gone instance is confirmed only by the acknowledgements that this machine has counted.
        """
        if instance.state is InstanceState.READY and instance.id not in self._announcements:
            self._announcements.confirm(instance.id, self._servers.table.fingerprint(instance.id))
