"""Seeded simulation of replicas: their network, disks, processes and clients on one simulated clock.

Faults: messages late, lost, duplicated or partitioned in one or both directions; disks that are slow, stall,
fill up or lose what was not synced; processes killed, frozen and restarted; disks wiped; machines replaced.
Invariants are checked at every step; see `Invariants`.
"""

from __future__ import annotations

import heapq
import json
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import attrs

from cloverrouter.coordination.effects import (
    Answer,
    Committed,
    Decision,
    Effect,
    Outcome,
    Persist,
    ReplicaConfig,
    Restored,
    StateMachine,
    ViewChanged,
)
from cloverrouter.coordination.genesis import GenesisConfig, GenesisProposer
from cloverrouter.coordination.messages import BALLOT_MESSAGES, GENESIS_MESSAGES
from cloverrouter.coordination.replica import Replica
from cloverrouter.coordination.seed_acceptor import decided
from cloverrouter.coordination.views import GENESIS_EPOCH, Member, View, encode_view
from cloverrouter.messages import Decoder, encode
from cloverrouter.messages.sending import Send
from cloverrouter.store import Meta, Record, StoredReplica
from cloverrouter.store.records import Ballot
from cloverrouter.store.replica_store import ReplicaStore

TICK_S = 0.05
DISCOVERY_S = 0.4
FILE_BYTES = 8 * 1024 * 1024
STALL_POLL_S = 0.02  # interval at which a write checks whether its disk still stalls
MAX_REMEMBERED_ORDERS = 64
MIN_EXIT_S = 0.3  # a process that was told to exit runs at least this long,
MAX_EXIT_S = 7.3  # and at most this long
ZONES = ("east", "north", "west")


class Violation(AssertionError):
    """An invariant was broken."""


class Register:
    """The state machine of the tests: a value, its version, and the versions of recent commands by id."""

    max_remembered_orders = MAX_REMEMBERED_ORDERS

    def __init__(self) -> None:
        self.version = 0
        self.value = ""
        self.orders: dict[str, int] = {}

    def decide(self, command: bytes) -> Decision:
        order = json.loads(command)
        done = self.orders.get(order["id"])
        if done is not None:
            return Decision(_reply("done", done), None)
        if order["expect"] not in (self.version, None):
            return Decision(_reply("conflict", self.version), None)
        update = {"id": order["id"], "version": self.version + 1, "value": order["value"]}
        return Decision(_reply("done", self.version + 1), json.dumps(update).encode())

    def apply(self, update: bytes) -> None:
        entry = json.loads(update)
        if entry["version"] != self.version + 1:
            raise Violation(f"update {entry['version']} applied to version {self.version}")
        self.version = entry["version"]
        self.value = entry["value"]
        self.orders[entry["id"]] = self.version
        if len(self.orders) > self.max_remembered_orders:
            del self.orders[next(iter(self.orders))]

    def snapshot(self) -> bytes:
        return json.dumps([self.version, self.value, self.orders]).encode()

    def restore(self, snapshot: bytes) -> None:
        self.version, self.value, self.orders = json.loads(snapshot)


def _reply(what: str, version: int) -> bytes:
    return json.dumps([what, version]).encode()


@attrs.define
class Invariants:
    """Checks the invariants of the whole simulation.

    - An update's sequence number has one content, at all replicas, for ever.
    - Nothing acknowledged is lost, and it is on enough disks when it is acknowledged.
    - Two views in force never have the same epoch and different content.
    - A replica's committed state only moves forward, without gaps, while its process runs.
    - A read returns nothing older than what was acknowledged before it started.
    - No two replicas hold a lease as head at the same time.
    """

    log: dict[int, bytes] = attrs.Factory(dict)  # committed updates by sequence number
    # command id by sequence number, also of those seen in states only
    orders: dict[int, str] = attrs.Factory(dict)
    states: dict[int, bytes] = attrs.Factory(dict)  # committed states by sequence number
    acknowledged: int = 0  # newest update acknowledged to a client
    active: dict[int, View] = attrs.Factory(dict)

    def committed(self, seq: int, update: bytes) -> None:
        known = self.log.setdefault(seq, update)
        if known != update:
            raise Violation(f"update {seq} is committed as {update!r} and as {known!r}")
        self.order(seq, self.order_of(update))

    def order_of(self, update: bytes) -> str:
        """Returns the id of an update's command."""
        return str(json.loads(update)["id"])

    def orders_of(self, state: bytes) -> dict[str, int]:
        """Returns the command ids in a state, with the sequence numbers of their updates."""
        return dict(json.loads(state)[2])

    def order(self, seq: int, order: str) -> None:
        known = self.orders.setdefault(seq, order)
        if known != order:
            raise Violation(f"update {seq} belongs to command {order} and to {known}")

    def state(self, seq: int, state: bytes) -> None:
        known = self.states.setdefault(seq, state)
        if known != state:
            raise Violation(f"state {seq} is {state!r} and {known!r}")
        for order, number in self.orders_of(state).items():
            self.order(number, order)

    def lead(self, now: float, untils: dict[str, float]) -> None:
        """Checks the leases, which are given by node name."""
        sure = [name for name, until in untils.items() if until > now]
        if len(sure) > 1:
            raise Violation(f"{' and '.join(sure)} both hold a lease as head")

    def view_in_force(self, view: Any) -> None:
        chain = tuple(member.identity for member in view.chain)
        found = View(view.epoch, view.voters, chain, ())
        if self.active.setdefault(view.epoch, found) != found:
            raise Violation(f"two views of epoch {view.epoch}")


class Disk:
    """A simulated disk: what is synced, and its faults."""

    def __init__(self, adoptable: bool, random: Random) -> None:
        self.random = random
        identity = f"{random.getrandbits(64):016x}"
        self.stored = StoredReplica(identity=identity, meta=Meta(adoptable=adoptable))
        self.stalled_until = 0.0
        self.full = False
        self.slowness = 1.0
        self.since = 0.0  # time of installation
        self.syncs = True  # False: injected fault of a store that does not sync
        self.held: dict[int, bytes] = {}  # all updates that have ever been durable here
        self.file: ReplicaStore | None = None
        self._unsynced: StoredReplica | None = None

    def sync_s(self) -> float:
        """Returns the duration of a write while the disk does not stall."""
        return self.random.uniform(0.001, 0.004) * self.slowness

    def keep_in(self, directory: Path, max_bytes: int) -> None:
        """Keeps what is stored in a real file as well, which each start reads."""
        self.file = ReplicaStore.open(directory, max_bytes)
        identity = self.file.load(self.stored.meta.adoptable).identity
        self.file.write(Record(meta=self.stored.meta))
        self.stored = attrs.evolve(self.stored, identity=identity)

    def load(self) -> StoredReplica:
        """Returns what a process finds when it starts. Raises Violation if the file differs from what was
        written."""
        if self.file is None:
            return self.stored
        self.file.close()
        found = attrs.evolve(self.file.load(), fresh=False)
        if found != self.stored:
            raise Violation("the file differs from what was written")
        return found

    def store(self, record: Record) -> None:
        """Completes a write."""
        if self.file is not None:
            self.file.write(record)
        before = self._unsynced or self.stored
        after = write_record(before, record)
        if self.syncs:
            self.stored = after
            for update in record.updates:
                self.held[update.seq] = update.data
        else:
            self._unsynced = after

    def lose_power(self) -> None:
        """Drops what was not synced."""
        self._unsynced = None

    def end_process(self) -> None:
        """Ends the process; what is in the machine's page cache survives."""
        if self._unsynced is not None:
            self.stored = self._unsynced


def write_record(stored: StoredReplica, record: Record) -> StoredReplica:
    """Returns what a disk holds after a record. Raises Violation if its updates are not consecutive."""
    changes: dict[str, Any] = {}
    if record.meta is not None:
        changes["meta"] = record.meta
    if record.peers is not None:
        changes["peers"] = record.peers
    updates = stored.updates
    if record.snapshot is not None:
        changes["snapshot"] = record.snapshot
        updates = ()
    changes["updates"] = updates + record.updates
    result = attrs.evolve(stored, **changes)
    expected = result.snapshot.seq if result.snapshot is not None else 0
    for update in result.updates:
        expected += 1
        if update.seq != expected:
            raise Violation(f"update {update.seq} is written after {expected - 1}")
    return result


@attrs.define(eq=False)
class Node:
    """One machine with a disk."""

    ip: str
    name: str
    zone: str
    disk: Disk
    replica: Replica | None = None
    life: int = 0  # incremented with each start or end of its process
    frozen_until: float = 0.0
    committed: int = 0  # newest committed update in the current process
    deferred_events: list[Callable[[], None]] = attrs.Factory(list)  # events that arrived while it was frozen
    removed: bool = False

    @property
    def member(self) -> Member:
        return Member(self.disk.stored.identity, self.ip, self.name, self.zone)


@attrs.define(eq=False)
class Call:
    """A client's pending call at one node."""

    ticket: int
    node: Node
    done: Callable[[Answer], None]


@attrs.frozen
class NetworkConditions:
    """Delays and fault rates of the network."""

    least_delay_s: float = 0.0008
    most_delay_s: float = 0.0015
    loss: float = 0.0
    late: float = 0.0  # share of messages that arrive about a third of a second late
    twice: float = 0.0  # share of messages that arrive twice


class World:
    """The simulation. `run_until` advances its clock."""

    def __init__(
        self,
        seed: int,
        count: int,
        tolerance: int,
        network: NetworkConditions = NetworkConditions(),
        genesis: bool = False,
        config: dict[str, Any] | None = None,
        replica_class: type[Replica] = Replica,
        wire: bool = False,
        tick_s: float = TICK_S,
        seeds: Iterable[str] = (),
        start_within_s: float = 0.0,
        directory: Path | None = None,
    ) -> None:
        """`genesis`: bootstraps from empty disks; otherwise the initial view is already on the disks. `wire`:
        messages are encoded and decoded. `seeds`: addresses, if not those of the first three machines; seeds
        without a disk take part as well. `directory`: the first disks are backed by files in it."""
        self.random = Random(seed)
        self.now = 100.0
        self.tolerance = tolerance
        self.network = network
        self.config = ReplicaConfig(tolerance=tolerance, **(config or {}))
        self.replica_class = replica_class
        self.wire = wire
        self.tick_s = tick_s
        self.invariants = self.new_invariants()
        self.nodes: list[Node] = []
        self.lost_disks: list[Disk] = []
        self.cuts: set[tuple[str, str]] = set()
        self.proposers: dict[str, GenesisProposer] = {}
        self.ballots: dict[str, Ballot] = {}  # acceptors of seeds without a disk
        self.messages = 0
        # time from the last fault until commands and reads worked, in seconds
        self.recovery_s: float | None = None
        self.messages_by_type: dict[str, int] = {}
        self.trace: Callable[[str], None] | None = None
        # hook for each message: returns an extra delay, and may inject faults
        self.nemesis: Callable[[Node, Send], float] | None = None
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._tickets = 0
        self._calls: dict[int, Call] = {}
        for place in range(count):
            self.add_node(adoptable=genesis, start=False, place=place)
        if directory is not None:
            for node in self.nodes:
                node.disk.keep_in(directory / node.name, FILE_BYTES)
        self.seeds = list(seeds) or [node.ip for node in self.nodes[:3]]
        if not genesis:
            self._give_first_view()
        for node in self.nodes:
            self.start(node, self.random.uniform(0.0, start_within_s))
        if genesis:
            for ip in set(self.seeds) - {node.ip for node in self.nodes}:
                self.ballots[ip] = Ballot()
                self.at(
                    self.now + self.random.uniform(0.0, start_within_s), partial(self._start_proposer, ip)
                )
        self.at(self.now + DISCOVERY_S / 4, self._discover)

    # -- set-up --

    def add_node(
        self, adoptable: bool = False, start: bool = True, place: int | None = None, name: str = ""
    ) -> Node:
        number = len(self.nodes)
        zone = ZONES[(number if place is None else place) % len(ZONES)]
        ip = f"10.{1 + ZONES.index(zone)}.0.{10 + number}"
        node = Node(ip, name or f"node-{number}", zone, Disk(adoptable, self.random))
        node.disk.since = self.now
        self.nodes.append(node)
        if start:
            self.start(node)
        return node

    def _give_first_view(self) -> None:
        view = View(GENESIS_EPOCH, tuple(node.member for node in self.nodes), (), ())
        for node in self.nodes:
            meta = Meta(view=encode_view(view), view_epoch=GENESIS_EPOCH, settled=True)
            node.disk.store(Record(meta=meta))

    def _start_proposer(self, ip: str) -> None:
        proposer = GenesisProposer(ip, self.seeds, GenesisConfig(self.tolerance))
        self.proposers[ip] = proposer

        def tick() -> None:
            if self.proposers.get(ip) is proposer and not proposer.over:
                self._send_all(ip, proposer.tick(self.now))
                self.at(self.now + TICK_S, tick)

        self._send_all(ip, proposer.start(self.now))
        self.at(self.now + TICK_S, tick)

    def _send_all(self, ip: str, effects: Iterable[Send]) -> None:
        for effect in effects:
            self._send(ip, effect)

    # -- clock --

    def at(self, when: float, action: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (when, self._order, action))

    def run_until(self, when: float) -> None:
        while self._queue and self._queue[0][0] <= when:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = when

    def run(self, seconds: float) -> None:
        self.run_until(self.now + seconds)

    def run_while(self, condition: Callable[[], bool], most_s: float) -> bool:
        """Runs until the condition is false; returns whether that happened in time."""
        end = self.now + most_s
        while condition():
            if not self._queue or self._queue[0][0] > end:
                self.now = end
                return False
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return True

    def say(self, text: str) -> None:
        if self.trace is not None:
            self.trace(f"{self.now:9.4f} {text}")

    # -- processes --

    def new_invariants(self) -> Invariants:
        """Returns the invariant checks for this world's state machine."""
        return Invariants()

    def new_machine(self) -> StateMachine:
        """Returns the state machine for a new process."""
        return Register()

    def start(self, node: Node, delay_s: float = 0.0) -> None:
        """Starts a node's process."""
        node.life += 1
        life = node.life
        node.committed = 0
        node.frozen_until = 0.0
        node.deferred_events = []

        def begin() -> None:
            if node.life != life or node.removed:
                return
            self.say(f"{node.name} starts as {node.disk.stored.identity[:4]}")
            node.replica = self.replica_class(
                node.member, node.disk.load(), self.new_machine(), self.config, Random(self.random.random())
            )
            self.carry_out(node, node.replica.start(self.now))
            if node.ip in self.seeds and node.replica.adoptable:
                self._start_proposer(node.ip)
            self.at(self.now + self.random.uniform(0, self.tick_s), lambda: self._tick(node, life))

        self.at(self.now + delay_s + self.random.uniform(0, 0.01), begin)

    def _tick(self, node: Node, life: int) -> None:
        if node.life != life or node.replica is None:
            return
        replica = node.replica
        self._when_awake(node, lambda: replica.tick(self.now))
        if replica.lease_until is not None:
            self.check_lead()
        wait = max(self.tick_s, node.frozen_until - self.now)
        self.at(self.now + wait, lambda: self._tick(node, life))

    def _when_awake(self, node: Node, event: Callable[[], list[Effect]]) -> None:
        """Passes an event to the node's process, once it is not frozen."""
        life = node.life

        def take() -> None:
            if node.life == life and node.replica is not None:
                self.carry_out(node, event())

        if self.now < node.frozen_until:
            node.deferred_events.append(take)
        else:
            take()

    def kill(self, node: Node, power: bool = False) -> None:
        """Kills a node's process, or cuts the machine's power."""
        self.say(f"{node.name} is killed{' (power)' if power else ''}")
        node.life += 1
        node.replica = None
        if power:
            node.disk.lose_power()
        else:
            node.disk.end_process()
        self.proposers.pop(node.ip, None)
        for ticket in [ticket for ticket, call in self._calls.items() if call.node is node]:
            del self._calls[ticket]

    def wipe(self, node: Node) -> None:
        """Replaces a node's disk by an empty one. Its process must have ended."""
        assert node.replica is None
        self.say(f"{node.name} is wiped")
        self.lost_disks.append(node.disk)
        node.disk = Disk(False, self.random)
        node.disk.since = self.now

    def remove(self, node: Node) -> None:
        """Removes a machine for good."""
        if node.replica is not None:
            self.kill(node, power=True)
        node.removed = True
        self.lost_disks.append(node.disk)

    def leave(self, node: Node) -> None:
        """Tells a node's process to exit (SIGTERM): it resigns, then ends once allowed, as `Node._drain`."""
        replica, life = node.replica, node.life
        assert replica is not None
        self.say(f"{node.name} is told to exit")
        self.carry_out(node, replica.resign(self.now))
        begun = self.now

        def look() -> None:
            if node.life != life:
                return
            if self.now - begun >= MAX_EXIT_S or replica.may_end:
                self.kill(node)
                return
            self.at(self.now + self.tick_s, look)

        self.at(self.now + MIN_EXIT_S, look)

    def freeze(self, node: Node, seconds: float) -> None:
        """Freezes a process for a while; events that arrive meanwhile wait."""
        self.say(f"{node.name} freezes for {seconds:.2f}")
        node.frozen_until = self.now + seconds
        life = node.life

        def wake() -> None:
            if node.life != life or self.now < node.frozen_until:
                return
            held, node.deferred_events = node.deferred_events, []
            self.random.shuffle(held)
            for action in held:
                action()

        self.at(node.frozen_until, wake)

    def _discover(self) -> None:
        for node in self.running():
            members = [other.member for other in self.running() if self._is_joined(node, other)]
            replica = node.replica
            assert replica is not None
            self.carry_out(node, replica.discovered(self.now, members))
        for ip, proposer in self.proposers.items():
            members = [
                node.member for node in self.running() if not {(ip, node.ip), (node.ip, ip)} & self.cuts
            ]
            self._send_all(ip, proposer.discovered(self.now, members))
        self.at(self.now + DISCOVERY_S, self._discover)

    def _is_joined(self, one: Node, other: Node) -> bool:
        return (one.ip, other.ip) not in self.cuts and (other.ip, one.ip) not in self.cuts

    def running(self) -> list[Node]:
        """Returns the nodes whose process runs and is not frozen."""
        return [node for node in self.nodes if node.replica is not None and self.now >= node.frozen_until]

    # -- effects --

    def carry_out(self, node: Node, effects: Iterable[Effect]) -> None:
        """Carries out a replica's effects."""
        for effect in effects:
            if isinstance(effect, Send):
                self._send(node.ip, effect, self.nemesis(node, effect) if self.nemesis is not None else 0.0)
            elif isinstance(effect, Persist):
                self._persist(node, effect)
            elif isinstance(effect, Answer):
                self._answer(effect)
            elif isinstance(effect, Committed):
                self._on_committed(node, effect)
            elif isinstance(effect, Restored):
                self._on_restored(node, effect)
            elif isinstance(effect, ViewChanged):
                self._on_view(node, effect)

    def _send(self, from_ip: str, effect: Send, held_s: float = 0.0) -> None:
        self.messages += 1
        kind = type(effect.message).__name__
        self.messages_by_type[kind] = self.messages_by_type.get(kind, 0) + 1
        network = self.network
        if (from_ip, effect.ip) in self.cuts or self.random.random() < network.loss:
            return
        delay = held_s + self.random.uniform(network.least_delay_s, network.most_delay_s)
        if network.late and self.random.random() < network.late:
            delay += self.random.expovariate(3.0)
        message = effect.message
        if self.wire:
            (message,) = Decoder().feed(encode(message))
        self.at(self.now + delay, lambda: self._deliver(from_ip, effect.ip, message))
        if network.twice and self.random.random() < network.twice:
            again = delay + self.random.expovariate(5.0)
            self.at(self.now + again, lambda: self._deliver(from_ip, effect.ip, message))

    def _deliver(self, from_ip: str, to_ip: str, message: object) -> None:
        if (from_ip, to_ip) in self.cuts:
            return
        if isinstance(message, GENESIS_MESSAGES):
            proposer = self.proposers.get(to_ip)
            if proposer is not None and not proposer.over:
                self._send_all(to_ip, proposer.receive(self.now, from_ip, message))
            return
        if isinstance(message, BALLOT_MESSAGES) and to_ip in self.ballots:
            self.ballots[to_ip], answer = decided(self.ballots[to_ip], message)
            self._send(to_ip, Send(from_ip, answer))
            return
        for node in self.nodes:
            if node.ip == to_ip and node.replica is not None:
                self._receive(node, node.replica, from_ip, message)

    def _receive(self, node: Node, replica: Replica, from_ip: str, message: object) -> None:
        self._when_awake(node, lambda: replica.receive(self.now, from_ip, message))

    def _persist(self, node: Node, effect: Persist) -> None:
        life, disk, replica = node.life, node.disk, node.replica
        assert replica is not None

        def write() -> None:
            if node.disk is not disk or node.life != life:
                return  # the process ended before its write completed
            if self.now < disk.stalled_until:
                self.at(self.now + STALL_POLL_S, write)
                return
            error = "no space left" if disk.full else None
            if error is None:
                disk.store(effect.record)
            self._when_awake(node, lambda: replica.persisted(self.now, effect.token, error))

        self.at(self.now + disk.sync_s(), write)

    def _on_committed(self, node: Node, effect: Committed) -> None:
        if effect.seq != node.committed + 1:
            raise Violation(f"{node.name} commits {effect.seq} after {node.committed}")
        node.committed = effect.seq
        self.invariants.committed(effect.seq, effect.update)

    def _on_restored(self, node: Node, effect: Restored) -> None:
        if effect.seq <= node.committed:
            raise Violation(f"{node.name} goes back from {node.committed} to {effect.seq}")
        node.committed = effect.seq
        self.invariants.state(effect.seq, effect.snapshot)

    def _on_view(self, node: Node, effect: ViewChanged) -> None:
        view = effect.view
        chain = " ".join(member.identity[:4] for member in view.chain)
        force = "in force" if view.active else ""
        self.say(f"{node.name} view {view.epoch:x} [{chain}] of {len(view.voters)} {force}")
        if view.active and view.head == node.member:
            self.invariants.view_in_force(view)
            self.check_lead()

    def check_lead(self) -> None:
        """Checks that no two replicas hold a lease as head."""
        untils: dict[str, float] = {}
        for node in self.nodes:
            until = node.replica.lease_until if node.replica is not None else None
            if until is not None:
                untils[node.name] = until
        self.invariants.lead(self.now, untils)

    # -- clients --

    def submit(self, node: Node, command: bytes, done: Callable[[Answer], None]) -> None:
        """Sends a command to a node. If its process ends, no answer arrives."""
        replica = node.replica
        if replica is None:
            return
        self._tickets += 1
        ticket = self._tickets
        self._calls[ticket] = Call(ticket, node, done)
        self._when_awake(node, lambda: replica.submit(self.now, ticket, command))

    def read(self, node: Node, done: Callable[[Answer], None]) -> None:
        """Requests the committed state from a node."""
        replica = node.replica
        if replica is None:
            return
        self._tickets += 1
        ticket = self._tickets
        self._calls[ticket] = Call(ticket, node, done)
        self._when_awake(node, lambda: replica.read(self.now, ticket))

    def _answer(self, answer: Answer) -> None:
        call = self._calls.pop(answer.ticket, None)
        if call is not None:
            call.done(answer)

    def check_acknowledged(self, seq: int, order: str) -> None:
        """Checks an acknowledgement to a client: its command was executed as update `seq`."""
        if seq not in self.invariants.orders:
            raise Violation(f"update {seq} is acknowledged but not committed")
        self.invariants.order(seq, order)
        disks = [node.disk for node in self.nodes] + self.lost_disks
        holders = sum(1 for disk in disks if self._has_update(disk, seq, order))
        if holders < self.tolerance + 1:
            raise Violation(f"update {seq} is acknowledged but only on {holders} disks")
        self.invariants.acknowledged = max(self.invariants.acknowledged, seq)

    def _has_update(self, disk: Disk, seq: int, order: str) -> bool:
        held = disk.held.get(seq)
        if held is not None and self.invariants.order_of(held) == order:
            return True
        snapshot = disk.stored.snapshot
        return snapshot is not None and self.invariants.orders_of(snapshot.data).get(order) == seq

    def check_read(self, answer: Answer, least: int) -> None:
        """Checks a read by a client; `least` was acknowledged before the read started."""
        if answer.seq < least:
            raise Violation(f"a read returns state {answer.seq}, but {least} was acknowledged before")
        self.invariants.state(answer.seq, answer.reply)

    def head(self) -> Node | None:
        """Returns the head of the highest epoch in force."""
        heads = []
        for node in self.running():
            view = node.replica.view_info if node.replica is not None else None
            if view is not None and view.active and view.head == node.member:
                heads.append((view.epoch, node))
        return max(heads, key=lambda pair: pair[0])[1] if heads else None


class Client:
    """An operator that sends commands based on the version it knows, retries them, and reads back."""

    def __init__(
        self,
        world: World,
        name: str,
        pause_s: float = 0.3,
        patience_s: float = 0.6,
        read_share: float = 0.25,
        random_node_share: float = 0.1,
        skips_frozen: bool = False,
    ) -> None:
        """`random_node_share`: share of calls to a random node, not the head.
        `skips_frozen`: frozen nodes are not called."""
        self.world = world
        self.name = name
        self.version = 0
        self.sent = 0
        self.done: list[tuple[str, float]] = []  # acknowledged commands and their latencies in seconds
        self.reads = 0
        self.stopped = False
        self._pause_s = pause_s
        self._patience_s = patience_s
        self._read_share = read_share
        self._random_node_share = random_node_share
        self._skips_frozen = skips_frozen
        self._order: dict[str, Any] | None = None
        self._begun = 0.0
        self._least = 0  # acknowledged before the last attempt
        self._try = 0
        world.at(world.now + world.random.uniform(0, pause_s), self._next)

    def _next(self) -> None:
        if self.stopped:
            return
        if self.world.random.random() < self._read_share:
            self._read()
            return
        self.sent += 1
        value = f"{self.name}-{self.sent}"
        self._order = {"id": value, "expect": self.version, "value": value}
        self._begun = self.world.now
        self._send()

    def _send(self) -> None:
        world = self.world
        self._try += 1
        number = self._try
        order = self._order
        self._least = world.invariants.acknowledged
        node = self._choose()
        if node is not None:
            command = json.dumps(order).encode()
            world.submit(node, command, lambda answer: self._on_answer(number, answer))
        world.at(world.now + self._patience_s, lambda: self._on_silence(number))

    def _choose(self) -> Node | None:
        running = [node for node in self.world.nodes if node.replica is not None]
        if self._skips_frozen:
            running = self.world.running()
        if not running:
            return None
        node = self.world.random.choice(running)
        view = node.replica.view_info if node.replica is not None else None
        if view is not None and self.world.random.random() >= self._random_node_share:
            for other in running:
                if other.ip == view.head_ip:
                    return other
        return node

    def _on_silence(self, number: int) -> None:
        if number == self._try and self._order is not None:
            self._send()

    def _on_answer(self, number: int, answer: Answer) -> None:
        if number != self._try or self._order is None:
            if answer.outcome is Outcome.DONE and json.loads(answer.reply)[0] == "done":
                self._note_late(answer)
            return
        if answer.outcome is not Outcome.DONE:
            self._try += 1
            number = self._try
            self.world.at(self.world.now + 0.03, lambda: self._on_silence(number))
            return
        what, version = json.loads(answer.reply)
        if what == "done":
            self.world.check_acknowledged(version, self._order["id"])
            self.done.append((self._order["id"], self.world.now - self._begun))
        elif version < self._least:
            raise Violation(
                f"a command is refused at version {version}, but {self._least} was acknowledged before"
            )
        self.version = max(self.version, version)
        self._finish()

    def _note_late(self, answer: Answer) -> None:
        """Checks an answer to an earlier attempt, which must be as correct as one to the last."""
        version = json.loads(answer.reply)[1]
        if version not in self.world.invariants.orders:
            raise Violation(f"update {version} is acknowledged but not committed")

    def _finish(self) -> None:
        self._order = None
        self._try += 1
        pause = self.world.random.expovariate(1 / self._pause_s)
        self.world.at(self.world.now + pause, self._next)

    def _read(self) -> None:
        world = self.world
        least = world.invariants.acknowledged
        self._try += 1
        number = self._try
        node = self._choose()

        def on_answer(answer: Answer) -> None:
            if answer.outcome is Outcome.DONE:
                world.check_read(answer, least)
                self.version = max(self.version, answer.seq)
                self.reads += 1
            if number == self._try:
                self._finish()

        def on_silence() -> None:
            if number == self._try:
                self._finish()

        if node is not None:
            world.read(node, on_answer)
        world.at(world.now + self._patience_s, on_silence)


class BurstClients:
    """Clients that send several commands at once without an expected version, and never retry."""

    def __init__(self, world: World, pause_s: float, most: int) -> None:
        self.world = world
        self.stopped = False
        self._pause_s = pause_s
        self._max_burst = most
        self._sent = 0
        self._next()

    def _next(self) -> None:
        world = self.world
        if self.stopped:
            return
        running = world.running()
        if running:
            node = world.random.choice(running)
            for _ in range(world.random.randint(1, self._max_burst)):
                self._send(node)
        world.at(world.now + world.random.expovariate(1 / self._pause_s), self._next)

    def _send(self, node: Node) -> None:
        self._sent += 1
        order = f"crowd-{self._sent}"
        command = json.dumps({"id": order, "expect": None, "value": order}).encode()

        def on_answer(answer: Answer) -> None:
            if answer.outcome is Outcome.DONE:
                self.world.check_acknowledged(json.loads(answer.reply)[1], order)

        self.world.submit(node, command, on_answer)


class Reader:
    """Reads the committed state from one node again and again, whether or not it is the head."""

    def __init__(self, world: World, node: Node, pause_s: float = 0.05) -> None:
        self.world = world
        self.node = node
        self.stopped = False
        self._pause_s = pause_s
        self._next()

    def _next(self) -> None:
        if self.stopped:
            return
        world = self.world
        least = world.invariants.acknowledged

        def on_answer(answer: Answer) -> None:
            if answer.outcome is Outcome.DONE:
                world.check_read(answer, least)

        world.read(self.node, on_answer)
        world.at(world.now + world.random.expovariate(1 / self._pause_s), self._next)
