"""Randomized fault injection into a simulation of replicas. By hand:

python -m tests.system.replica_chaos --seeds 1000 --first 1 [--trace SEED]
"""

from __future__ import annotations

import argparse
import traceback
from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from cloverrouter.coordination.messages import Heartbeat, Report
from cloverrouter.messages.sending import Send
from tests.system.replica_world import BurstClients, Client, NetworkConditions, Node, Reader, Violation, World

SIZES = (
    *((1, 0), (2, 0), (2, 1), (3, 1), (3, 1), (3, 1), (3, 1)),
    *((4, 1), (5, 2), (5, 2), (6, 1), (6, 2), (8, 2)),
)
FAULTS_S = 9.0
STORM_S = 3.0
# After the last fault commands must be acknowledged again within this time.
RECOVERY_LIMIT_S = 6.0


@attrs.define
class ChaosRun:
    """One simulation with the faults injected into it."""

    world: World
    random: Random
    clients: list[Client]
    count: int
    tolerance: int
    duration_factor: float = 1.0  # factor on the duration of faults
    message_fault_share: float = 0.0  # share of messages that trigger a fault
    faults: list[Callable[[], None]] = attrs.Factory(list)  # faults enabled in this run

    def inject_fault(self) -> None:
        """Injects a random fault."""
        if not self.faults:
            self.faults = self.all_faults()
        self.random.choice(self.faults)()

    def all_faults(self) -> list[Callable[[], None]]:
        """Returns all faults; likelier ones occur more than once."""
        return [
            self.kill,
            self.kill,
            self.kill_head,
            self.kill_all,
            self.power_all,
            self.wipe,
            self.wipe,
            self.replace,
            self.freeze,
            self.freeze_head,
            self.cut_one,
            self.cut_head,
            self.cut_one_way,
            self.cut_pair,
            self.cut_in_two,
            self.join,
            self.stall,
            self.stall_head,
            self.slow,
            self.fill,
            self.resign,
        ]

    def inject_on_send(self, node: Node, effect: Send) -> float:
        """Hook for each message sent: may return a delay for it, or crash one of its ends at that moment."""
        if isinstance(effect.message, Heartbeat | Report) or self.random.random() >= self.message_fault_share:
            return 0.0
        kind = self.random.random()
        if kind < 0.6:
            return self.random.uniform(0.0, 0.4)
        ends = [other for other in self.world.nodes if other.ip == effect.ip] if kind < 0.8 else [node]
        for end in ends:
            if end.replica is not None:
                self.world.at(self.world.now, partial(self._crash, end))
        return 0.0

    def _crash(self, node: Node) -> None:
        if node.replica is not None:
            self.world.kill(node, power=True)
            self.world.start(node, self.random.uniform(0.0, 0.05))

    # -- processes --

    def _any_running(self) -> Node | None:
        running = self.world.running()
        return self.random.choice(running) if running else None

    def _restart(self, node: Node, most_s: float = 1.5) -> None:
        self.world.start(node, self.duration_factor * self.random.uniform(0.05, most_s))

    def kill(self) -> None:
        node = self._any_running()
        if node is not None:
            self.world.kill(node, power=self.random.random() < 0.5)
            self._restart(node)

    def kill_head(self) -> None:
        node = self.world.head()
        if node is not None:
            self.world.kill(node, power=self.random.random() < 0.5)
            self._restart(node)

    def kill_all(self) -> None:
        self._end_all(power=False)

    def power_all(self) -> None:
        self._end_all(power=True)

    def _end_all(self, power: bool) -> None:
        for node in self.world.nodes:
            if node.replica is not None:
                self.world.kill(node, power=power)
                self._restart(node, 1.0)

    def resign(self) -> None:
        """Tells a process to exit: it resigns, and ends a little later."""
        node = self._any_running()
        if node is None or node.replica is None:
            return
        replica, life = node.replica, node.life
        self.world.carry_out(node, replica.resign(self.world.now))

        def end() -> None:
            if node.life == life:
                self.world.kill(node)
                self._restart(node)

        self.world.at(self.world.now + self.duration_factor * self.random.uniform(0.2, 1.5), end)

    def freeze(self) -> None:
        node = self._any_running()
        if node is not None:
            self.world.freeze(node, self.duration_factor * self.random.uniform(0.1, 3.0))

    def freeze_head(self) -> None:
        node = self.world.head()
        if node is not None:
            self.world.freeze(node, self.duration_factor * self.random.uniform(0.3, 3.0))

    # -- lost disks --

    def _lost_now(self) -> int:
        """Returns the number of lost disks that are still voters in any disk's view."""
        known: set[str] = set()
        lost = {disk.stored.identity for disk in self.world.lost_disks}
        for node in self.world.nodes:
            if not node.removed:
                known |= known_voters(node)
        return len(lost & known)

    def _may_lose(self) -> bool:
        """Returns whether a further disk loss is tolerable."""
        enough = self.count >= 2 * self.tolerance + 1
        return enough and self._lost_now() < self.tolerance

    def wipe(self) -> None:
        """Loses a disk, sometimes while all others lose power."""
        node = self._any_running()
        if node is None or not self._may_lose():
            return
        if self.random.random() < 0.3:
            self.power_all()
        else:
            self.world.kill(node, power=True)
            self._restart(node)
        self.world.wipe(node)

    def replace(self) -> None:
        """Removes a machine and adds another, under the same or another name."""
        node = self._any_running()
        if node is None or not self._may_lose():
            return
        self.world.say(f"{node.name} is removed")
        self.world.remove(node)
        name = node.name if self.random.random() < 0.5 else ""

        def add() -> None:
            self.world.add_node(name=name, place=self.world.nodes.index(node))

        self.world.at(self.world.now + self.duration_factor * self.random.uniform(0.0, 1.0), add)

    # -- links --

    def cut_one(self) -> None:
        self._cut_off(self._any_running())

    def cut_head(self) -> None:
        self._cut_off(self.world.head())

    def _cut_off(self, node: Node | None) -> None:
        for other in self.world.nodes:
            if node is not None and other is not node:
                self.world.cuts |= {(node.ip, other.ip), (other.ip, node.ip)}
        self.world.say(f"{node.name if node else ''} is cut off")

    def cut_one_way(self) -> None:
        node, other = self._any_running(), self._any_running()
        if node is not None and other is not None and node is not other:
            self.world.cuts.add((node.ip, other.ip))
            self.world.say(f"cut from {node.name} to {other.name}")

    def cut_pair(self) -> None:
        node, other = self._any_running(), self._any_running()
        if node is not None and other is not None and node is not other:
            self.world.cuts |= {(node.ip, other.ip), (other.ip, node.ip)}
            self.world.say(f"cut between {node.name} and {other.name}")

    def cut_in_two(self) -> None:
        side = {node.ip for node in self.world.nodes if self.random.random() < 0.5}
        for node in self.world.nodes:
            for other in self.world.nodes:
                if (node.ip in side) != (other.ip in side):
                    self.world.cuts.add((node.ip, other.ip))
        self.world.say(f"cut in two: {sorted(side)}")

    def join(self) -> None:
        self.world.cuts.clear()
        self.world.say("all partitions end")

    # -- faulty disks --

    def stall(self) -> None:
        self._stall(self._any_running())

    def stall_head(self) -> None:
        self._stall(self.world.head())

    def _stall(self, node: Node | None) -> None:
        if node is not None:
            node.disk.stalled_until = self.world.now + self.duration_factor * self.random.uniform(0.3, 4.0)
            self.world.say(f"{node.name}'s disk stalls until {node.disk.stalled_until:.2f}")

    def slow(self) -> None:
        node = self._any_running()
        if node is not None:
            node.disk.slowness = self.random.choice([1.0, 10.0, 100.0, 300.0])
            self.world.say(f"{node.name}'s disk is slow: {node.disk.slowness}")

    def fill(self) -> None:
        node = self._any_running()
        if node is not None:
            node.disk.full = not node.disk.full
            self.world.say(f"{node.name}'s disk is {'full' if node.disk.full else 'not full'}")

    def repair_disks(self) -> None:
        for node in self.world.nodes:
            node.disk.stalled_until = 0.0
            node.disk.slowness = 1.0
            node.disk.full = False
        self.world.say("all disks are healthy")

    # -- the end --

    def end_faults(self) -> None:
        """Ends all faults."""
        self.world.say("all faults end")
        self.join()
        self.repair_disks()
        self.world.network = NetworkConditions()
        self.message_fault_share = 0.0
        for node in self.world.nodes:
            if node.frozen_until > self.world.now:
                node.frozen_until = self.world.now
                held, node.deferred_events = node.deferred_events, []
                for action in held:
                    action()


def known_voters(node: Node) -> set[str]:
    """Returns the identities of the voters, old ones included, in the view on a node's disk."""
    from cloverrouter.coordination.views import decode_view

    view = decode_view(node.disk.stored.meta.view)
    if view is None:
        return set()
    return {member.identity for member in view.electorate(node.disk.stored.meta.settled)}


def play(seed: int, trace: Callable[[str], None] | None = None, storm: bool = False) -> World:
    """Runs the simulation of a seed. Raises Violation."""
    return run_storm(seed, trace) if storm else run_day(seed, trace)


def run_storm(seed: int, trace: Callable[[str], None] | None = None) -> World:
    """Runs a simulation with frequent faults and view changes, and with timeouts too short for correctness to
    rest on timing alone. Raises Violation."""
    random = Random(f"storm {seed}")
    count, tolerance = random.choice(SIZES)
    failure_timeout_s = random.choice([0.06, 0.15, 0.3])
    config = {
        "heartbeat_s": failure_timeout_s / 4,
        "failure_timeout_s": failure_timeout_s,
        "sticky_s": random.choice([0.0, failure_timeout_s / 2]),
        "rank_delay_s": random.choice([0.0, 0.05]),
        "jitter_s": random.choice([0.02, 0.1]),
        "start_delay_s": random.choice([0.0, 0.1]),
        "retry_s": random.choice([0.03, 0.1]),
        "collect_s": random.choice([0.0, 0.03]),
        "lost_quorum_s": random.choice([0.3, 5.0]),
        "replace_after_s": random.choice([0.1, 0.4]),
        "rejoin_s": 0.05,
        "disk_retry_s": 0.05,
        "lazy_write_s": random.choice([0.01, 0.3, 100.0]),
        "compact_bytes": random.choice([100, 1000, 256 * 1024]),
    }
    network = NetworkConditions(
        most_delay_s=random.choice([0.002, 0.002, 0.01, 0.05]),
        loss=random.choice([0.0, 0.0, 0.02, 0.1]),
        late=random.choice([0.0, 0.0, 0.02, 0.1]),
        twice=random.choice([0.0, 0.1]),
    )
    if seed % 3 == 0:  # every state counts as large: it is sent in chunks to members that are about to join
        config["catch_up_bytes"] = 0
    world = World(seed, count, tolerance, network, config=config, tick_s=0.01)
    world.trace = trace
    client_pause_s = random.choice([0.03, 0.3])
    clients = [
        Client(
            world, f"client{number}", client_pause_s, patience_s=0.2, read_share=0.4, random_node_share=0.4
        )
        for number in range(random.choice([1, 3]))
    ]
    chaos = ChaosRun(world, random, clients, count, tolerance, duration_factor=0.2)
    burst_clients = BurstClients(world, random.choice([0.02, 0.1, 10.0, 10.0]), random.choice([1, 6]))
    readers = [Reader(world, node) for node in world.nodes]
    chaos.message_fault_share = random.choice([0.0, 0.01, 0.03, 0.1])
    # Only a few kinds of fault per run, so that rare combinations, and faults that others would undo, occur.
    chaos.faults = [*random.sample(chaos.all_faults(), random.randint(2, 6)), chaos.join, chaos.repair_disks]
    pause_s = random.choice([0.1, 0.3, 0.6])
    world.nemesis = chaos.inject_on_send
    end = world.now + STORM_S
    while world.now < end:
        world.run(random.expovariate(1 / pause_s))
        chaos.inject_fault()
    burst_clients.stopped = True
    for reader in readers:
        reader.stopped = True
    chaos.end_faults()
    check_healed(world, clients)
    return world


def run_day(seed: int, trace: Callable[[str], None] | None = None) -> World:
    """Runs a simulation with the default configuration and occasional faults. Raises Violation."""
    random = Random(f"day {seed}")
    count, tolerance = random.choice(SIZES)
    loss = random.choice([0.0, 0.0, 0.01, 0.1])
    network = NetworkConditions(loss=loss, late=random.choice([0.0, 0.0, 0.02]))
    genesis = random.random() < 0.15 and count >= 2 * tolerance + 1
    world = World(seed, count, tolerance, network, genesis, wire=seed % 16 == 0)
    world.trace = trace
    clients = [Client(world, f"client{number}") for number in range(random.choice([1, 2, 3]))]
    chaos = ChaosRun(world, random, clients, count, tolerance)
    if genesis:
        world.run(2.5)
    end = world.now + FAULTS_S
    pause_s = random.choice([0.3, 0.8, 1.5])
    while world.now < end:
        world.run(random.expovariate(1 / pause_s))
        chaos.inject_fault()
    chaos.end_faults()
    check_healed(world, clients)
    return world


def check_healed(world: World, clients: list[Client]) -> None:
    """Checks that commands are acknowledged again, everything acknowledged is read, and all voters are back
    in the chain. Raises Violation."""
    for client in clients:
        client.stopped = True
    healed_at = world.now
    probe = Client(world, "probe", pause_s=0.05)
    if not world.run_while(lambda: not probe.done, RECOVERY_LIMIT_S):
        raise Violation(f"no command is acknowledged within {RECOVERY_LIMIT_S} s after the last fault")
    if not world.run_while(lambda: not probe.reads, RECOVERY_LIMIT_S):
        raise Violation("no read is answered after the last fault")
    world.recovery_s = world.now - healed_at
    probe.stopped = True
    world.run(4.0)
    head = world.head()
    if head is None or head.replica is None:
        raise Violation("there is no head after the last fault")
    view = head.replica.view_info
    assert view is not None
    if len(view.chain) != len(view.voters):
        missing = {member.name for member in view.voters} - {member.name for member in view.chain}
        raise Violation(f"{missing} did not come back into the chain")
    lost_disks = {disk.stored.identity for disk in world.lost_disks}
    if lost_disks & {member.identity for member in view.voters}:
        raise Violation("a lost disk is still a voter")


def main() -> None:
    parser = argparse.ArgumentParser(description="Runs simulations with random faults.")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--trace", type=int)
    parser.add_argument("--storm", action="store_true")
    arguments = parser.parse_args()
    if arguments.trace is not None:
        play(arguments.trace, print, arguments.storm)
        return
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        try:
            play(seed, storm=arguments.storm)
        except Exception as error:
            failed += 1
            place = traceback.extract_tb(error.__traceback__)[-1]
            print(f"seed {seed}: {type(error).__name__}: {error} ({place.name}:{place.lineno})", flush=True)
    print(f"{arguments.seeds} runs, {failed} failed")


if __name__ == "__main__":
    main()
