"""The control plane of one process: drives its cores with ticks and with messages from other machines.

Modules that only replicas need are imported by replicas only, to keep the start of the others cheap: most
machines have no disk.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from random import Random
from typing import TYPE_CHECKING, Any

import attrs

from cloverrouter.control import distribution_messages, registry_messages
from cloverrouter.control.announcements import Acknowledged, Failed
from cloverrouter.control.departures import StoreDepartures
from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.forwarding import (
    CallKind,
    Finished,
    Forwarder,
    HeadAnswer,
    HeadCall,
    SendCall,
    first_ticket,
)
from cloverrouter.control.registry import Effect as RegistryEffect
from cloverrouter.control.registry import Registry
from cloverrouter.control.servers_list import InstancesChanged, InstancesRecovered, InstancesSilent
from cloverrouter.control.subscriber import Effect as SubscriberEffect
from cloverrouter.control.subscriber import Subscriber
from cloverrouter.control.voter_choice import VoterAddress
from cloverrouter.coordination import sampling_messages, views
from cloverrouter.coordination.sampling import DiskMemberLearned, PeerSampler, ViewLearned
from cloverrouter.coordination.sampling import Effect as SamplerEffect
from cloverrouter.coordination.sampling_messages import PeerRecord, ViewSummary
from cloverrouter.coordination.views import Member
from cloverrouter.daemon.configuration_feed import ConfigurationFeed
from cloverrouter.daemon.control_calls import ControlCalls
from cloverrouter.daemon.listening import listen_when_free
from cloverrouter.daemon.logs import Log
from cloverrouter.daemon.settings import Settings
from cloverrouter.daemon.traffic import Traffic
from cloverrouter.daemon.transport import Transport
from cloverrouter.daemon.trouble_relay import TroubleRelay
from cloverrouter.daemon.view_notice import ViewNotice
from cloverrouter.messages import message_classes_in
from cloverrouter.messages.sending import Send
from cloverrouter.placement import placement_messages, quota_messages, trouble_messages
from cloverrouter.store.records import Ballot

if TYPE_CHECKING:
    from cloverrouter.control.api import ControlApi, ControlExchange
    from cloverrouter.coordination.genesis import GenesisProposer
    from cloverrouter.daemon.departure_file import DepartureFile
    from cloverrouter.daemon.quota_service import QuotaService
    from cloverrouter.daemon.replica_role import ReplicaRole
    from cloverrouter.daemon.server_list_file import ServerListFile

FRESH_MEMBER_S = 2.5  # disk members that were seen within this time count as alive
REVOCATION_MARGIN_S = 0.5  # covers updates in flight when a voter reported its state
SPREAD_MARGIN_S = 0.5  # a change has reached all machines by then
DISCOVERY_INTERVAL_S = 0.2  # between passing on what peer sampling has discovered

Handler = Callable[[float, str, object], None]


class ControlPlane:
    """All cores of the control plane in this process."""

    def __init__(self, settings: Settings, random: Random, traffic: Traffic, log: Log) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._random = random
        self.traffic = traffic
        self._log = log
        self.transport = Transport(
            settings.ip, settings.internal_ports[0], self._receive, self._on_link, self._on_peer_error
        )
        traffic.set_sender(self.transport.send)
        incarnation = int(time.time() * 1000)
        self._record = PeerRecord(settings.ip, settings.name, settings.zone, incarnation=incarnation)
        self.sampler = PeerSampler(self._record, settings.seeds, random)
        self.registry = Registry(
            settings.ip,
            settings.heartbeat_s,
            has_disk=settings.is_replica,
            confirm_within_s=max(settings.bounds.connectivity_s - SPREAD_MARGIN_S, 0.0),
        )
        self.subscriber = Subscriber(settings.ip, settings.zone, random)
        self.feed = ConfigurationFeed(self._on_configuration, log.error)
        self._forwarder = Forwarder(self.transport.unsent_bytes)
        self.role: ReplicaRole | None = None
        self._opening: asyncio.Task[None] | None = None
        self._server_list_file: ServerListFile | None = None
        self._departure_file: DepartureFile | None = None
        self._genesis: GenesisProposer | None = None
        self._ballot = Ballot()
        self._quotas: QuotaService | None = None
        self._trouble_relay = self._make_trouble_relay()
        self.summary: ViewSummary | None = None
        self._calls = ControlCalls(self, self._loop, first_ticket(random))
        self._api: ControlApi | None = None
        self._handlers = self._handler_table()
        self._next_discovery = 0.0
        if settings.is_replica:
            self._quotas = self._make_quota_service()
            self._departure_file = self._make_departure_file()
        if settings.bootstrap and settings.ip in settings.seeds:
            self._genesis = self._make_genesis_proposer()

    def _make_quota_service(self) -> QuotaService:
        from cloverrouter.control.quota_duty import QuotaDuty
        from cloverrouter.daemon.quota_service import QuotaService

        duty = QuotaDuty(self._settings.ip, self.traffic.quota_rules, self._loop.time())
        log, clock = self._log.change, self._loop.time
        return QuotaService(duty, lambda: self.role, self.transport.send, log, clock)

    def _make_departure_file(self) -> DepartureFile:
        from cloverrouter.daemon.departure_file import DepartureFile

        directory = self._settings.data_directory
        assert directory is not None
        return DepartureFile(directory, self.registry, self._apply_registry_effects, self._log.error)

    @property
    def quota_notes_refused(self) -> int:
        """The number of quota notes on this machine's disk that were rejected."""
        return self._quotas.notes_refused if self._quotas is not None else 0

    def _make_genesis_proposer(self) -> GenesisProposer:
        from cloverrouter.coordination.genesis import GenesisConfig, GenesisProposer

        self._add_coordination_handlers()
        settings = self._settings
        return GenesisProposer(settings.ip, settings.seeds, GenesisConfig(settings.tolerated_machines))

    def _add_coordination_handlers(self) -> None:
        from cloverrouter.coordination import messages as coordination_messages

        self._handlers.update(
            dict.fromkeys(message_classes_in(coordination_messages.__name__), self._on_coordination)
        )
        self._handlers.update(dict.fromkeys(coordination_messages.GENESIS_MESSAGES, self._on_genesis))
        if not self._settings.is_replica:
            self._handlers.update(dict.fromkeys(coordination_messages.BALLOT_MESSAGES, self._on_ballot))

    def _make_trouble_relay(self) -> TroubleRelay:
        relay = TroubleRelay(
            self._settings.ip,
            self.traffic,
            self.transport.send,
            lambda: self.summary.head if self.summary is not None else None,
            self._lease_until,
            self.registry.subscribers,
            self._log,
        )
        self.traffic.on_report_due = lambda: relay.report(self._loop.time())
        return relay

    # Start and stop

    async def open(self) -> None:
        """Starts listening and peer discovery, and opens the replica in the background."""
        await listen_when_free(self.transport.listen, self._address_taken, asyncio.sleep)
        now = self._loop.time()
        if self._settings.is_replica:
            self._opening = self._loop.create_task(self._open_role())
        self._apply_sampler_effects(now, self.sampler.start(now))
        self._apply_registry_effects(self.registry.start(now))
        self._apply_subscriber_effects(self.subscriber.start(now))
        if self._genesis is not None:
            self._send_all(self._genesis.start(now))

    def _address_taken(self, error: OSError) -> None:
        self._log.error("address-taken", error=str(error))

    async def _open_role(self) -> None:
        from cloverrouter.daemon.replica_role import ReplicaRole, RolePorts

        self._add_coordination_handlers()
        if self._departure_file is not None:
            await self._departure_file.load()
        await self._load_server_list()
        on_note = self._quotas.note_stored if self._quotas is not None else lambda _: None
        ports = RolePorts(self.transport.send, self._on_own_view, self._log.error, self._log.change, on_note)
        role = await ReplicaRole.open(self._settings, ports, self._random)
        now = self._loop.time()
        self.sampler.set_own_disk(now, identity=role.identity, counts_for_quorum=True)
        self.role = role
        role.start(now)
        if role.replica.adoptable and self._genesis is None and self._settings.ip in self._settings.seeds:
            # The process was killed during the first bootstrap: only the disk records that it is unfinished.
            self._genesis = self._make_genesis_proposer()
            self._send_all(self._genesis.start(now))

    async def _load_server_list(self) -> None:
        from cloverrouter.daemon.server_list_file import ServerListFile

        directory = self._settings.data_directory
        assert directory is not None
        server_list_file = ServerListFile(directory, self.registry, self._log.error)
        await server_list_file.load()
        self._server_list_file = server_list_file

    def seeds_changed(self, seeds: tuple[str, ...]) -> None:
        """Applies the seeds of a reloaded settings file."""
        now = self._loop.time()
        self._apply_sampler_effects(now, self.sampler.seeds_changed(now, seeds))

    def resign(self) -> None:
        """Gives up this machine's roles before the process stops."""
        if self.role is not None:
            self.role.resign(self._loop.time())

    @property
    def may_end(self) -> bool:
        """Whether no other machine depends on this one's vote: see `Replica.may_end`."""
        return self.role is None or self.role.replica.may_end

    def handle_call(self, exchange: ControlExchange) -> None:
        """Handles a call of an operator or a server. The first call loads the API and bottle."""
        if self._api is None:
            from cloverrouter.control.api import ControlApi

            self._api = ControlApi(self._calls)
        self._api.handle(exchange)

    @property
    def disk_identity(self) -> str | None:
        """The identity of this machine's disk, or None if it is not a replica."""
        return self.role.identity if self.role is not None else None

    def catch_up_progress(self) -> dict[str, Any]:
        """Returns the progress of a state transfer that this head sends in parts; empty if none."""
        progress = self.role.replica.catch_up if self.role is not None else None
        return attrs.asdict(progress) if progress is not None else {}

    @property
    def pending_calls(self) -> int:
        """The number of calls of operators and servers that wait for an answer."""
        return self._calls.pending_count

    async def close(self) -> None:
        """Closes the replica, the files of servers and all connections."""
        if self._opening is not None:
            self._opening.cancel()
        if self.role is not None:
            self.role.close()
        if self._server_list_file is not None:
            self._server_list_file.close()
        if self._departure_file is not None:
            self._departure_file.close()
        await self.transport.close()

    # Time

    def tick(self, now: float) -> None:
        """Advances all cores to `now`; called every 50 ms."""
        with self.transport.batch():
            self._tick(now)

    def _tick(self, now: float) -> None:
        if self.role is not None:
            self.role.tick(now)
        self._apply_sampler_effects(now, self.sampler.tick(now))
        if now >= self._next_discovery:
            self._next_discovery = now + DISCOVERY_INTERVAL_S
            self.traffic.router.report_overdue()
            self._share_discoveries(now)
        if self._genesis is not None:
            self._send_all(self._genesis.tick(now))
            if self._genesis.is_over:
                self._genesis = None
        lease_until = self._lease_until()
        self.registry.set_sole_head(lease_until is not None and now < lease_until)
        has_quorum_contact = self.subscriber.is_current(now)
        self.registry.set_in_touch(has_quorum_contact)
        self._forwarder.set_quorum_contact(has_quorum_contact)
        is_behind = self.subscriber.behind_s(now) > self._settings.bounds.propagation_s
        self.traffic.router.is_behind = has_quorum_contact and is_behind
        self._update_key_validity()
        self._apply_registry_effects(self.registry.tick(now))
        if self._server_list_file is not None:
            self._apply_registry_effects(self._server_list_file.tick(now))
        self._apply_subscriber_effects(self.subscriber.tick(now))
        self._apply_forwarder_effects(self._forwarder.tick(now))
        self.traffic.quota.carry_out(self.traffic.quota.holder.tick(now))
        if self._quotas is not None:
            self._quotas.tick(now)
        self._trouble_relay.report(now)

    def _update_key_validity(self) -> None:
        """Limits how long API keys are accepted without contact to the voters.

        A key is accepted only until a revocation that this machine has not received could be older than the
        bound `revocation_s`.
        """
        bounds = self._settings.bounds
        if bounds.enforces_revocation:
            valid_until_s = self.subscriber.complete_as_of() + bounds.revocation_s
            self.traffic.router.keys_valid_until = valid_until_s - REVOCATION_MARGIN_S

    def _share_discoveries(self, now: float) -> None:
        """Passes on the discovered disk members and the number of proxies."""
        members = [
            Member(disk.record.identity, disk.record.ip, disk.record.name, disk.record.zone)
            for disk in self.sampler.disk_members(now)
            if disk.silent_for_s < FRESH_MEMBER_S
        ]
        if self.role is not None:
            self.role.discovered(now, members)
        if self._genesis is not None:
            self._send_all(self._genesis.discovered(now, members))
        size = self.subscriber.fleet_size()
        if size and size != self.traffic.fleet_size:
            self.traffic.fleet_changed(size)
            if self._quotas is not None:
                self._quotas.configure(self.traffic.limits, size)

    # Messages

    def _handler_table(self) -> dict[type, Handler]:
        table: dict[type, Handler] = {
            HeadCall: self._on_head_call,
            HeadAnswer: self._on_head_answer,
            ViewNotice: self._on_view_notice,
        }
        for module, handler in (
            (sampling_messages, self._on_sampling),
            (registry_messages, self._on_registry),
            (distribution_messages, self._on_distribution),
            (quota_messages, self._on_quota),
            (trouble_messages, self._on_trouble),
            (placement_messages, self._on_placement),
            (views, self._on_coordination),
        ):
            table.update(dict.fromkeys(message_classes_in(module.__name__), handler))
        return table

    def _receive(self, ip: str, message: object) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(self._loop.time(), ip, message)

    def _on_link(self, ip: str, up: bool) -> None:
        now = self._loop.time()
        if up:
            self._apply_registry_effects(self.registry.link_up(now, ip))
            self._apply_subscriber_effects(self.subscriber.link_up(now, ip))
        else:
            self._apply_registry_effects(self.registry.link_down(now, ip))

    def _on_peer_error(self, ip: str, error: Exception) -> None:
        self._log.error("peer-malformed", peer=ip, error=str(error))

    def _send_all(self, effects: Iterable[Send]) -> None:
        for effect in effects:
            self.transport.send(effect.ip, effect.message)

    def _on_sampling(self, now: float, ip: str, message: object) -> None:
        self._apply_sampler_effects(now, self.sampler.receive(now, ip, message))
        if isinstance(message, sampling_messages.Shuffle) and message.sender.zone == self._settings.zone:
            self._send_placement_update(ip)

    def _send_placement_update(self, ip: str) -> None:
        """Sends a proxy of the same zone what this one knows about servers and requests."""
        update = self.traffic.router.outgoing_placement_update()
        if update is not None:
            self.transport.send(ip, update)

    def _on_placement(self, now: float, ip: str, message: object) -> None:
        assert isinstance(message, placement_messages.PlacementNews)
        self.traffic.router.apply_placement_update(message)

    def _on_registry(self, now: float, ip: str, message: object) -> None:
        self._apply_registry_effects(self.registry.receive(now, ip, message))

    def _on_distribution(self, now: float, ip: str, message: object) -> None:
        if self.role is not None:
            self.role.receive_from_subscriber(now, ip, message)
        self._apply_subscriber_effects(self.subscriber.receive(now, ip, message))

    def _on_coordination(self, now: float, ip: str, message: object) -> None:
        if self.role is not None:
            self.role.receive(now, ip, message)

    def _on_genesis(self, now: float, ip: str, message: object) -> None:
        if self._genesis is not None:
            self._send_all(self._genesis.receive(now, ip, message))

    def _on_ballot(self, now: float, ip: str, message: object) -> None:
        """Answers a ballot on a seed without a disk: a promise holds only while the first process runs."""
        from cloverrouter.coordination import messages as coordination_messages
        from cloverrouter.coordination.seed_acceptor import handle_ballot

        if self._genesis is not None:
            assert isinstance(message, coordination_messages.BALLOT_MESSAGES)
            self._ballot, answer = handle_ballot(self._ballot, message)
            self.transport.send(ip, answer)

    def _on_head_call(self, now: float, ip: str, message: object) -> None:
        assert isinstance(message, HeadCall)
        if self.role is not None:
            self.role.handle_call(now, ip, message)
        else:
            self.transport.send(ip, HeadAnswer(message.ticket, False, b""))

    def _on_head_answer(self, now: float, ip: str, message: object) -> None:
        assert isinstance(message, HeadAnswer)
        self._apply_forwarder_effects(self._forwarder.handle_answer(now, message))

    def _on_view_notice(self, now: float, ip: str, message: object) -> None:
        assert isinstance(message, ViewNotice)
        self._apply_sampler_effects(now, self.sampler.view_changed(now, message.summary))
        self._view_learned(now, message.summary)

    def _on_quota(self, now: float, ip: str, message: object) -> None:
        if not isinstance(message, quota_messages.QuotaContact | quota_messages.QuotaCredit):
            if self._quotas is not None:
                self._quotas.receive(now, ip, message)
        else:
            self.traffic.quota.carry_out(self.traffic.quota.holder.receive(now, ip, message))

    def _on_trouble(self, now: float, ip: str, message: object) -> None:
        self._trouble_relay.receive(now, ip, message)

    # Effects of the cores

    def _apply_sampler_effects(self, now: float, effects: Iterable[SamplerEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.transport.send(effect.ip, effect.message)
            elif isinstance(effect, ViewLearned):
                self._view_learned(now, effect.summary)
            elif isinstance(effect, DiskMemberLearned):
                self._next_discovery = 0.0

    def _apply_registry_effects(self, effects: Iterable[RegistryEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.transport.send(effect.ip, effect.message)
            elif isinstance(effect, Acknowledged | Failed):
                self._calls.complete_change(effect.change, isinstance(effect, Acknowledged))
            elif isinstance(effect, StoreDepartures):
                assert self._departure_file is not None
                self._departure_file.store(effect.records)
            elif isinstance(effect, InstancesChanged):
                self.traffic.instances_changed(effect.instances, self.registry.is_silent)
            elif isinstance(effect, InstancesSilent | InstancesRecovered):
                found = (self.registry.find(instance_id) for instance_id in effect.ids)
                instances = [instance for instance in found if instance is not None]
                self.traffic.instances_changed(instances, self.registry.is_silent)

    def _apply_subscriber_effects(self, effects: Iterable[SubscriberEffect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.transport.send(effect.ip, effect.message)
            elif self.feed.apply(effect):
                self.subscriber.applied()
            else:
                self.subscriber.refetch_snapshot(self._loop.time())

    def _apply_forwarder_effects(self, effects: Iterable[SendCall | Finished]) -> None:
        for effect in effects:
            if isinstance(effect, SendCall):
                self.transport.send(effect.ip, effect.call)
            else:
                self._calls.complete_call(effect)

    def ask_head(self, ticket: int, kind: CallKind, command: bytes) -> None:
        """Forwards a call to the head; `ControlCalls.complete_call` receives the result."""
        self._apply_forwarder_effects(self._forwarder.submit(self._loop.time(), ticket, kind, command))

    def apply_registry_effects(self, effects: Iterable[RegistryEffect]) -> None:
        """Applies effects that a call of the registry returned."""
        self._apply_registry_effects(effects)

    # The view

    def _on_own_view(self, summary: ViewSummary) -> None:
        now = self._loop.time()
        self._apply_sampler_effects(now, self.sampler.view_changed(now, summary))
        self._view_learned(now, summary)

    def _view_learned(self, now: float, summary: ViewSummary) -> None:
        before = self.summary
        if before is not None and summary.order() < before.order():
            return
        self.summary = summary
        ips = [place.ip for place in summary.voters]
        if before is None or [place.ip for place in before.voters] != ips:
            addresses = [VoterAddress(place.ip, place.zone) for place in summary.voters]
            for ip in ips:
                self.transport.open(ip)
            self._apply_registry_effects(self.registry.voters_changed(now, ips))
            self._apply_subscriber_effects(self.subscriber.voters_changed(now, addresses))
        head = summary.head if summary.active else None
        self._apply_forwarder_effects(self._forwarder.head_changed(now, head))
        self.registry.set_head(now, head)
        self.traffic.quota.holder.head_changed(head, summary.epoch)
        if self._quotas is not None:
            self._quotas.view_changed(now, summary.epoch, head)

    def _lease_until(self) -> float | None:
        """Returns until when no other machine can become head, or None if this one is not head."""
        return self.role.replica.lease_until if self.role is not None else None

    def _on_configuration(self, state: ConfigurationState) -> None:
        self._log.change("configuration", version=state.version)
        self.traffic.configure(state.configuration())
        if self._quotas is not None:
            self._quotas.configure(self.traffic.limits, self.traffic.fleet_size)
