"""A fleet of registries in the simulated lossy network, for tests and scenarios."""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.control.announcements import Acknowledged, Failed
from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.control.registry import Effect, Registry
from tests.system.lossy_world import World

HEARTBEAT_INTERVAL_S = 1.2


class Machine:
    """A machine with a registry that knows the voters from its start."""

    def __init__(self, fleet: RegistryFleet, ip: str) -> None:
        self.fleet = fleet
        self.ip = ip
        self.registry = Registry(ip, HEARTBEAT_INTERVAL_S)
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
    """`size` machines, the first `voters` of them voters and the first one the head, and their servers."""

    def __init__(self, world: World, size: int, voters: int = 3) -> None:
        self.world = world
        self.ips = [f"10.0.{number // 250}.{number % 250 + 1}" for number in range(size)]
        self.voters = self.ips[:voters]
        self.head = self.ips[0]
        self.sends_heartbeats: dict[str, bool] = {}
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
        """The server calls the machine at `ip` with its state; returns the number of the change."""
        instance = Instance(
            instance_id,
            service,
            address or f"{instance_id}:80",
            capacity=8,
            state=state,
            sequence=sequence,
            warm_at=warm_at,
        )
        change, effects = self.registry(ip).register(self.world.now, instance)
        self.world.take(ip, effects)
        return change

    def withdraw(self, ip: str, instance_id: str) -> int:
        """The server tells the machine at `ip` that it has ended; returns the number of the change."""
        change, effects = self.registry(ip).deregister(self.world.now, instance_id)
        self.world.take(ip, effects)
        return change

    def start_heartbeats(
        self, instance_id: str, ips: Iterable[str], *, service: str = "svc", address: str = ""
    ) -> None:
        """The server sends heartbeats to these machines in turn, until `stop_heartbeats`."""
        callees = list(ips)
        self.sends_heartbeats[instance_id] = True
        sequence = 0

        def call() -> None:
            nonlocal sequence
            if not self.sends_heartbeats[instance_id]:
                return
            sequence += 1
            ip = callees[sequence % len(callees)]
            if ip in self.world.cores:
                self.announce(ip, instance_id, sequence, service=service, address=address)
            self.world.at(self.world.now + HEARTBEAT_INTERVAL_S, call)

        self.world.at(self.world.now + self.world.random.uniform(0, HEARTBEAT_INTERVAL_S), call)

    def announce_head(self, ips: Iterable[str]) -> None:
        """Tells these machines who is the head."""
        for ip in ips:
            if ip in self.world.cores:
                self.registry(ip).set_head(self.world.now, self.head)

    def stop_heartbeats(self, instance_id: str) -> None:
        """Stops the server's heartbeats without removing it from the list."""
        self.sends_heartbeats[instance_id] = False

    def restart(self, ip: str) -> None:
        """Replaces the machine's process by a new one with an empty list; its links come up again."""
        self.world.stop(ip)
        self.world.add(ip, Machine(self, ip), after=0.1)
        for other in self.ips:
            if other != ip and other in self.world.cores:
                self.world.at(self.world.now + 0.12, lambda other=other: self._link_up(other, ip))  # type: ignore[misc]

    def usable_states(self, ip: str, service: str = "svc") -> dict[str, InstanceState]:
        """Returns the states of the servers that the machine would send requests to."""
        return {each.id: each.state for each in self.registry(ip).instances(service)}

    def all_have(self, expected: dict[str, InstanceState], ips: Iterable[str] | None = None) -> bool:
        """Returns whether all machines that are up (or those of `ips`) have exactly this list."""
        chosen = [ip for ip in (self.ips if ips is None else ips) if ip in self.world.cores]
        return all(self.usable_states(ip) == expected for ip in chosen)

    def was_acknowledged(self, ip: str, change: int) -> bool:
        """Returns whether the change was acknowledged to its server (answered 200)."""
        return Acknowledged(change) in self._effects_since_start(ip)

    def has_failed(self, ip: str, change: int) -> bool:
        """Returns whether the change failed (answered 503)."""
        return Failed(change) in self._effects_since_start(ip)

    def _effects_since_start(self, ip: str) -> list[object]:
        machine = self.world.cores.get(ip)
        if not isinstance(machine, Machine):
            return []
        return [each for at, where, each in self.world.effects if where == ip and at >= machine.started_at]

    def _link_up(self, ip: str, peer: str) -> None:
        if ip in self.world.cores:
            self.world.take(ip, self.registry(ip).link_up(self.world.now, peer))
