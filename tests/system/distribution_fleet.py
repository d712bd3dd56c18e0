"""Publishers and subscribers in a simulated network that loses messages, for tests and scenarios."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from cloverrouter.control.distribution import (
    Apply,
    Publisher,
    Replace,
    SnapshotWanted,
    Subscriber,
    VoterAddress,
)
from cloverrouter.control.distribution_messages import Delta, Offer, Part
from cloverrouter.messages.sending import Send
from tests.system.lossy_world import World

ZONES = ("a", "b", "c")


class Machine:
    """A subscriber and, on a voter, a publisher, with the state that the subscriber has applied."""

    def __init__(self, fleet: DistributionFleet, ip: str) -> None:
        self.fleet = fleet
        self.subscriber = Subscriber(ip, fleet.zone(ip), Random(fleet.world.random.random()))
        self.publisher = Publisher() if ip in fleet.voters else None
        self.in_force: bytes = b""
        self.versions: list[int] = []

    def start(self, now: float) -> list[object]:
        effects: list[object] = []
        if self.publisher is not None:
            effects += self.publisher.start(now)
            effects += self.publisher.load_snapshot(now, self.fleet.sequence, self.fleet.state)
        voters = [VoterAddress(ip, self.fleet.zone(ip)) for ip in self.fleet.voters]
        return effects + self._put_in_force(self.subscriber.voters_changed(now, voters))

    def tick(self, now: float) -> list[object]:
        effects: list[object] = self._put_in_force(self.subscriber.tick(now))
        if self.publisher is not None:
            effects += self._serve(now, self.publisher.tick(now))
        return effects

    def receive(self, now: float, sender_ip: str, message: object) -> list[object]:
        if isinstance(message, Offer | Delta | Part):
            return self._put_in_force(self.subscriber.receive(now, sender_ip, message))
        if self.publisher is None:
            return []
        return self._serve(now, self.publisher.receive(now, sender_ip, message))

    def commit(self, now: float, sequence: int, update: bytes) -> list[object]:
        assert self.publisher is not None
        return self._serve(now, self.publisher.add_committed_update(now, sequence, update))

    def _serve(self, now: float, effects: Iterable[object]) -> list[object]:
        """Provides the replica's state when the publisher requests a snapshot."""
        assert self.publisher is not None
        served: list[object] = []
        for effect in effects:
            if isinstance(effect, SnapshotWanted):
                served += self.publisher.load_snapshot(now, self.fleet.sequence, self.fleet.state)
            else:
                served.append(effect)
        return served

    def _put_in_force(self, effects: Iterable[object]) -> list[object]:
        for effect in effects:
            if isinstance(effect, Apply):
                self.in_force += b"".join(effect.updates)
                self.versions.append(effect.sequence)
            elif isinstance(effect, Replace):
                self.in_force = effect.snapshot
                self.versions.append(effect.sequence)
        return list(effects)


class DistributionFleet:
    """`size` machines in three zones, the first of which are voters. The state is the concatenation of the
    updates.
    """

    def __init__(self, world: World, size: int, voters: int = 3, state: bytes = b"0;") -> None:
        self.world = world
        self.ips = [f"10.0.{number // 250}.{number % 250 + 1}" for number in range(size)]
        self.voters = self.ips[:voters]
        self.sequence = 0
        self.state = state
        for ip in self.ips:
            world.add(ip, Machine(self, ip))

    def zone(self, ip: str) -> str:
        return ZONES[self.ips.index(ip) % len(ZONES)]

    def machine(self, ip: str) -> Machine:
        machine = self.world.cores[ip]
        assert isinstance(machine, Machine)
        return machine

    def commit(self, update: bytes) -> None:
        """Commits a change: the voters that are up learn of it within a few milliseconds."""
        self.sequence += 1
        self.state += update
        sequence = self.sequence
        for number, ip in enumerate(self.voters):
            self.world.at(
                self.world.now + 0.001 * number,
                lambda ip=ip: self._committed(ip, sequence, update),  # type: ignore[misc]
            )

    def _committed(self, ip: str, sequence: int, update: bytes) -> None:
        if ip in self.world.cores:
            self.world.take(ip, self.machine(ip).commit(self.world.now, sequence, update))

    def all_have(self, ips: Iterable[str] | None = None) -> bool:
        """Returns whether all machines that are up, or those of `ips`, have applied the newest state."""
        chosen = [ip for ip in (self.ips if ips is None else ips) if ip in self.world.cores]
        return all(self.machine(ip).in_force == self.state for ip in chosen)

    def restart(self, ip: str) -> None:
        """Restarts the machine's process; a voter reads its state from its disk."""
        self.world.stop(ip)
        self.world.add(ip, Machine(self, ip), after=0.1)

    def link_up(self, ip: str) -> None:
        """Reconnects the machine to all voters."""
        for voter in self.voters:
            self.world.take(ip, self.machine(ip).subscriber.link_up(self.world.now, voter))


def sends(effects: Iterable[object], kind: type) -> list[Send]:
    """Returns the effects that send a message of that class."""
    return [each for each in effects if isinstance(each, Send) and isinstance(each.message, kind)]
