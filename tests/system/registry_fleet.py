"""A fleet of registries in the small lossy world, for tests and scenarios."""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.control.announcements import Acknowledged, Failed
from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.control.registry import Effect, Registry
from tests.system.lossy_world import World

INTERVAL = 1.2


class Machine:
    """A registry that knows the voters from its start."""

    def __init__(self, fleet: RegistryFleet, ip: str) -> None:
        self.fleet = fleet
        self.ip = ip
        self.registry = Registry(ip, INTERVAL)
        self.started_at = 0.0

    def start(self, now: float) -> list[Effect]:
        self.started_at = now
        effects = self.registry.voters_changed(now, self.fleet.voters)
        self.registry.set_head(now, self.fleet.head)
        return effects

    def tick(self, now: float) -> list[Effect]:
        return self.registry.tick(now)

    def receive(self, now: float, sender_ip: str, message: object) -> list[Effect]:
        return self.registry.receive(now, sender_ip, message)


class RegistryFleet:
    """`size` machines, the first of them voters, the very first the head; and servers that call them."""

    def __init__(self, world: World, size: int, voters: int = 3) -> None:
        self.world = world
        self.ips = [f"10.0.{number // 250}.{number % 250 + 1}" for number in range(size)]
        self.voters = self.ips[:voters]
        self.head = self.ips[0]
        self.beating: dict[str, bool] = {}
        for ip in self.ips:
            world.add(ip, Machine(self, ip))

    def registry(self, ip: str) -> Registry:
        machine = self.world.cores[ip]
        assert isinstance(machine, Machine)
        return machine.registry

    def announce(
        self,
        ip: str,
        instance_id: str,
        sequence: int,
        *,
        service: str = "svc",
        address: str = "",
        state: InstanceState = InstanceState.READY,
        warm_at: float = 0.0,
    ) -> int:
        """The server calls the machine at `ip`; returns the number of the change."""
        instance = Instance(
            instance_id,
            service,
            address or f"{instance_id}:80",
            capacity=8,
            state=state,
            sequence=sequence,
            warm_at=warm_at,
        )
        change, effects = self.registry(ip).announced(self.world.now, instance)
        self.world.take(ip, effects)
        return change

    def withdraw(self, ip: str, instance_id: str) -> int:
        """The server calls that it has ended."""
        change, effects = self.registry(ip).withdrawn(self.world.now, instance_id)
        self.world.take(ip, effects)
        return change

    def beat(self, instance_id: str, ips: Iterable[str], *, service: str = "svc", address: str = "") -> None:
        """From now on the server calls these machines in turn, until `hush`."""
        callees = list(ips)
        self.beating[instance_id] = True
        sequence = 0

        def call() -> None:
            nonlocal sequence
            if not self.beating[instance_id]:
                return
            sequence += 1
            ip = callees[sequence % len(callees)]
            if ip in self.world.cores:
                self.announce(ip, instance_id, sequence, service=service, address=address)
            self.world.at(self.world.now + INTERVAL, call)

        self.world.at(self.world.now + self.world.random.uniform(0, INTERVAL), call)

    def told_head(self, ips: Iterable[str]) -> None:
        """These machines learn who is the head."""
        for ip in ips:
            if ip in self.world.cores:
                self.registry(ip).set_head(self.world.now, self.head)

    def hush(self, instance_id: str) -> None:
        """The server dies without a word."""
        self.beating[instance_id] = False

    def restart(self, ip: str) -> None:
        """The machine's process is new and empty; its links come up again."""
        self.world.stop(ip)
        self.world.add(ip, Machine(self, ip), after=0.1)
        for other in self.ips:
            if other != ip and other in self.world.cores:
                self.world.at(self.world.now + 0.12, lambda other=other: self._link_up(other, ip))  # type: ignore[misc]

    def knows(self, ip: str, service: str = "svc") -> dict[str, InstanceState]:
        """What the machine would send to."""
        return {each.id: each.state for each in self.registry(ip).instances(service)}

    def all_know(self, expected: dict[str, InstanceState], ips: Iterable[str] | None = None) -> bool:
        """True if all machines (or those named) that are up have exactly this list."""
        chosen = [ip for ip in (self.ips if ips is None else ips) if ip in self.world.cores]
        return all(self.knows(ip) == expected for ip in chosen)

    def was_acknowledged(self, ip: str, change: int) -> bool:
        """True if the change's server may be answered 200."""
        return Acknowledged(change) in self._of_this_life(ip)

    def has_failed(self, ip: str, change: int) -> bool:
        """True if the change's server is to be answered 503."""
        return Failed(change) in self._of_this_life(ip)

    def _of_this_life(self, ip: str) -> list[object]:
        machine = self.world.cores.get(ip)
        if not isinstance(machine, Machine):
            return []
        return [each for at, where, each in self.world.effects if where == ip and at >= machine.started_at]

    def _link_up(self, ip: str, peer: str) -> None:
        if ip in self.world.cores:
            self.world.take(ip, self.registry(ip).link_up(self.world.now, peer))
