"""The servers' list on every machine, kept alike by merging.

A server calls any machine (the origin of its news). The origin sends news to all voters at once; each voter
merges them, passes them on to all machines, and then tells the origin; with a majority the server is
answered. What has no news is a heartbeat, answered at once and batched to the voters; a machine that has
not heard a majority of them lately treats it as news, so that it is answered only if it gets there. The
head among the voters tells who has fallen silent. Lists are compared by digest every few seconds and
whenever a link comes up; a voter that lost its list is filled again by the lists of the others, and nobody
empties his meanwhile.

Cost at 350 machines, 3 voters, 500 servers with a heartbeat every 1.2 s: a change is 3 x 350 news of about
180 B and as many receipts of 12 B (210 KB altogether); heartbeats 417 a second in batches, 1,170 messages a
second of 40 B into each voter at most (machines without heartbeats send none); comparisons 100 a second at
each voter, 30 B and 25 B. For thousands of machines the news would go down a tree (voters to some, these to
others), and heartbeats to one voter by the hash of the id.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from cloverrouter.control.announcements import Acknowledged, Announcements, Failed, Pending
from cloverrouter.control.instance_table import effective
from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.control.list_exchange import ListExchange, VoterList, in_parts
from cloverrouter.control.registry_messages import (
    Announce,
    AnnounceTaken,
    Beat,
    Beats,
    Compare,
    InstanceList,
    InstanceRecord,
    News,
    NewsTaken,
    Same,
    SilenceAnswer,
    SilenceCheck,
    SilenceReport,
    UnknownInstances,
)
from cloverrouter.control.registry_voter import RegistryVoter
from cloverrouter.control.servers_list import ListEffect, ServersList
from cloverrouter.messages.sending import Send

BEAT_PERIOD = 0.3
HOUSEKEEPING_PERIOD = 1.0

Effect = Send | Acknowledged | Failed | ListEffect


class Registry:
    """The pure core of one machine's list of servers: events with the time in, effects out."""

    def __init__(self, own_ip: str, heartbeat_interval: float) -> None:
        self._own_ip = own_ip
        self._voters: tuple[str, ...] = ()
        self._head: str | None = None
        self._servers = ServersList()
        self._announcements = Announcements()
        self._exchange = ListExchange()
        self._voter = RegistryVoter(self._servers, heartbeat_interval)
        self._beats: dict[str, int] = {}
        self._changes = 0
        self._in_touch = True
        self._next_flush = 0.0
        self._next_housekeeping = 0.0

    @property
    def is_voter(self) -> bool:
        """True if this machine is a voter."""
        return self._own_ip in self._voters

    @property
    def digest(self) -> int:
        """The digest of the live servers' list: alike on machines with the same list."""
        return self._servers.table.digest

    def instances(self, service: str) -> tuple[Instance, ...]:
        """The service's servers that are ready or draining."""
        return self._servers.table.usable(service)

    def services(self) -> list[str]:
        """The services that have servers."""
        return self._servers.table.services()

    def find(self, instance_id: str) -> Instance | None:
        """The instance as the data plane is to see it, also if it has ended a short while ago."""
        found = self._servers.table.get(instance_id)
        return effective(self._servers.table, found) if found else None

    def __contains__(self, instance_id: object) -> bool:
        return instance_id in self._servers

    def records(self, now: float) -> list[InstanceRecord]:
        """All that is known, as it would be told to another machine."""
        return self._servers.records(now, [instance.id for instance in self._servers])

    def taken_back(self, now: float, records: Iterable[InstanceRecord]) -> list[Effect]:
        """What an earlier process of this machine knew is news again; nobody else is taken to hold it."""
        return self._merge_records(now, records, "")

    def __len__(self) -> int:
        return self._servers.table.live_count

    def subscribers(self) -> list[str]:
        """The machines that get this voter's news; none if it is no voter."""
        return self._voter.subscribers()

    def is_silent(self, instance_id: str) -> bool:
        """True if the head has marked the server as silent."""
        return instance_id in self._servers.silent

    def start(self, now: float) -> list[Effect]:
        """Nothing is due before the voters are known."""
        return self.tick(now)

    def voters_changed(self, now: float, ips: Collection[str]) -> list[Effect]:
        """The voters of the chain's view, as far as this machine knows."""
        self._voters = tuple(ips)
        others = [ip for ip in ips if ip != self._own_ip]
        self._exchange.voters_changed(now, others)
        self._voter.voters_changed(others)
        if not self.is_voter:
            self._voter.resign()
        return self.tick(now)

    def set_head(self, now: float, head: str | None) -> None:
        """Which machine is the head of the chain, which judges silence; None while none is known."""
        self._head = head
        self._voter.set_head(now, head == self._own_ip)

    def lead_confirmed(self, confirmed: bool) -> None:
        """Whether this machine, as far as it is the head, is the only one for sure."""
        self._voter.leads = confirmed

    def in_touch(self, confirmed: bool) -> None:
        """Whether this machine has heard a majority of the voters lately, as far as its owner knows."""
        self._in_touch = confirmed

    def link_up(self, now: float, ip: str) -> list[Effect]:
        """The link to a machine is up (again)."""
        self._exchange.link_up(now, ip)
        return self._compare(now)

    def link_down(self, now: float, ip: str) -> list[Effect]:
        """The link to a machine is down."""
        self._exchange.link_down(ip)
        return []

    def announced(self, now: float, instance: Instance) -> tuple[int, list[Effect]]:
        """A server's own call. Returns the number by which `Acknowledged` or `Failed` will tell of the
        change.
        """
        self._changes += 1
        change = self._changes
        table = self._servers.table
        effects: list[Effect] = [*self._servers.mark(self._servers.silent - {instance.id})]
        changed = self._servers.merge(now, self._placed(instance))
        effects += self._pass_on(now, changed, self._own_ip)
        merged = table.get(instance.id)
        if merged is None:
            return change, [*effects, Acknowledged(change)]
        fingerprint = table.fingerprint(instance.id)
        is_known = not changed and self._announcements.is_confirmed(instance.id, fingerprint)
        if is_known and self._hears_majority(now):
            self._beats[instance.id] = merged.sequence
            return change, [*effects, Acknowledged(change)]
        is_leaving = merged.state is not InstanceState.READY
        self._announcements.add(now, change, instance.id, fingerprint, is_leaving)
        return change, effects + self._send_pending(now)

    def _hears_majority(self, now: float) -> bool:
        """Whether a heartbeat that is acknowledged here will be passed on.

        Danger: a server whose heartbeats are acknowledged stays here, while a head that doesn't hear of them
        takes it for silent.
        """
        live = len(self._exchange.live(now)) + self.is_voter
        return self._in_touch and 2 * live > len(self._voters)

    def withdrawn(self, now: float, instance_id: str) -> tuple[int, list[Effect]]:
        """A server's own call that it has ended."""
        known = self._servers.table.get(instance_id) or Instance(instance_id, "", "", sequence=-1)
        return self.announced(now, attrs.evolve(known, state=InstanceState.GONE))

    def tick(self, now: float) -> list[Effect]:
        """Whatever is due by the clock."""
        effects = self._send_pending(now)
        if now >= self._next_flush:
            self._next_flush = now + BEAT_PERIOD
            effects += self._flush_beats()
        effects += self._compare(now)
        if self.is_voter:
            effects += self._voter.tick(now)
        if now >= self._next_housekeeping:
            self._next_housekeeping = now + HOUSEKEEPING_PERIOD
            for instance_id in self._servers.table.forget_ended(now):
                self._announcements.forget(instance_id)
        return effects

    def receive(self, now: float, ip: str, message: object) -> list[Effect]:
        """A message of another machine's registry."""
        self._exchange.heard(now, ip)
        match message:
            case Announce():
                effects = self._merge_records(now, (message.record,), ip)
                return [*effects, *self._voter.taken(now, ip, message)] if self.is_voter else effects
            case AnnounceTaken():
                return self._announce_taken(now, ip, message)
            case Beats():
                return [*self._voter.take_beats(now, ip, message.beats)]
            case UnknownInstances():
                return [Send(ip, Announce(each, False)) for each in self._servers.records(now, message.ids)]
            case News():
                effects = self._merge_records(now, message.records, ip)
                return [Send(ip, NewsTaken(message.number)), *effects]
            case NewsTaken():
                self._voter.news_taken(ip, message.number)
            case Compare():
                return [*self._voter.answer_compare(now, ip, message)] if self.is_voter else []
            case Same():
                self._agreed(now, ip, message)
            case InstanceList():
                return self._take_list(now, ip, message)
            case SilenceCheck() if ip == self._head and self.is_voter:
                return [*self._voter.check_silence(now, ip, message)]
            case SilenceAnswer():
                return [*self._voter.silence_checked(now, ip, message)]
            case SilenceReport() if ip == self._head:
                return [*self._servers.mark(frozenset(message.ids))]
        return []

    def _placed(self, instance: Instance) -> Instance:
        """The instance with a generation that gives it its address, and its life back if it was given up.

        A late call (with a sequence number already overtaken) claims nothing.
        """
        known = self._servers.table.get(instance.id)
        if known is None:
            generation, lost = instance.generation, 0
        elif instance.sequence > known.sequence:
            generation, lost = known.generation, known.lost
        else:
            return attrs.evolve(instance, generation=known.generation)
        rivals = [rival.generation for rival in self._servers.table.rivals(instance)]
        if generation <= max([lost, *rivals]):
            generation = max([lost, *rivals]) + 1
        return attrs.evolve(instance, generation=generation)

    def _send_pending(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for pending in self._announcements.to_send(now):
            effects += self._send_announce(now, pending)
        return effects + self._settle(now)

    def _send_announce(self, now: float, pending: Pending) -> list[Effect]:
        if self.is_voter:
            pending.taken_by.add(self._own_ip)
        record = self._servers.record(now, pending.instance_id)
        if record is None:
            return []
        announce = Announce(record, True)
        return [Send(ip, announce) for ip in pending.untaken(self._voters)]

    def _announce_taken(self, now: float, ip: str, message: AnnounceTaken) -> list[Effect]:
        newest = self._servers.table.fingerprint(message.id) if message.id in self._servers else None
        self._announcements.taken(ip, message.id, message.fingerprint, newest)
        effects = self._merge_records(now, message.newer, ip)
        return [*effects, *self._settle(now)]

    def _settle(self, now: float) -> list[Effect]:
        live = [ip for ip in self._exchange.live(now) if ip in self._voters]
        return [*self._announcements.settle(now, self._voters, live)]

    def _flush_beats(self) -> list[Effect]:
        if not self._beats:
            return []
        beats = Beats(tuple(Beat(instance_id, sequence) for instance_id, sequence in self._beats.items()))
        self._beats.clear()
        return [Send(ip, beats) for ip in self._voters if ip != self._own_ip]

    def _compare(self, now: float) -> list[Effect]:
        table = self._servers.table
        compare = Compare(table.digest, table.live_count)
        return [Send(ip, compare) for ip in self._exchange.to_compare(now)]

    def _agreed(self, now: float, ip: str, message: Same) -> None:
        self._exchange.agreed(now, ip, message.next_ms)
        if message.digest != self._servers.table.digest:
            return
        if not self.is_voter:
            self._servers.liveness.all_heard(now)
        for instance in self._servers:
            self._confirm_ready(instance)

    def _take_list(self, now: float, ip: str, message: InstanceList) -> list[Effect]:
        effects = self._merge_records(now, message.records, ip)
        if not message.wants_answer:
            return effects
        held = [record.id for record in message.records if self._servers.holds(now, record)]
        told = [record.id for record in message.records]
        whole = self._exchange.part_received(ip, message, held, told)
        return effects if whole is None else effects + self._answer_list(now, ip, whole)

    def _answer_list(self, now: float, ip: str, theirs: VoterList) -> list[Effect]:
        """Sends the voter what its list lacks; what nobody has vouched for in a long time is dropped
        instead.
        """
        lacking = [each.id for each in self._servers if each.id not in theirs.held]
        outdated = [
            each for each in lacking if each not in theirs.told and self._servers.is_outdated(now, each)
        ]
        effects: list[Effect] = [*self._servers.drop(outdated)]
        records = self._servers.records(now, lacking)
        if records:
            effects += [Send(ip, part) for part in in_parts(records, wants_answer=False)]
        return effects

    def _merge_records(self, now: float, records: Iterable[InstanceRecord], ip: str) -> list[Effect]:
        changed = self._servers.merge_records(now, records)
        if ip in self._voters:
            for record in records:
                held = self._servers.table.get(record.id)
                if held is not None and self._servers.holds(now, record):
                    self._confirm_ready(held)
        return self._pass_on(now, changed, ip)

    def _pass_on(self, now: float, changed: tuple[str, ...], source: str) -> list[Effect]:
        if not changed:
            return []
        effects: list[Effect] = [self._servers.changed_effect(changed)]
        return [*effects, *self._voter.pass_on(now, changed, source)] if self.is_voter else effects

    def _confirm_ready(self, instance: Instance) -> None:
        """A voter holds it: enough for what is ready. What leaves is confirmed by this machine's own count
        only.
        """
        if instance.state is InstanceState.READY and instance.id not in self._announcements:
            self._announcements.confirm(instance.id, self._servers.table.fingerprint(instance.id))
