"""The guarantee of an acknowledged draining under seeded faults: cuts, freezes, restarts and message loss."""

from __future__ import annotations

import attrs
import pytest

from cloverrouter.control.instances import InstanceState
from tests.system.lossy_world import World
from tests.system.registry_fleet import RegistryFleet
from tests.system.trouble import Trouble

READY, DRAINING = InstanceState.READY, InstanceState.DRAINING
ANSWER_TIMEOUT_S = 1.0
STEP_S = 0.05
PROPAGATION_S = 0.5  # the contract allows two seconds and more


@attrs.define
class DrainingServer:
    """A draining server that calls one machine after the other until its draining is acknowledged."""

    instance_id: str
    sequence: int = 1000
    callee: str = ""
    change: int = 0
    called_at: float = 0.0
    acknowledged_at: float | None = None


class Chaos:
    """Servers start and drain while faults occur."""

    def __init__(self, seed: int, loss: float) -> None:
        self.world = World(seed, loss=loss)
        self.random = self.world.random
        self.fleet = RegistryFleet(self.world, 9, 3)
        self.trouble = Trouble(self.world, self.fleet.ips, self.fleet.voters, self.fleet.restart)
        self.draining_servers: list[DrainingServer] = []
        self.servers = 0
        self.checked = 0

    def run(self, seconds: float) -> None:
        self.world.run(2)
        for _ in range(4):
            self.add_server()
        end = self.world.now + seconds
        next_fault, next_drain = 4.0, 6.0
        while self.world.now < end:
            self.world.run(self.world.now + STEP_S)
            if self.world.now >= next_fault:
                next_fault = self.world.now + self.random.uniform(1, 7)
                self.trouble.make()
            if self.world.now >= next_drain:
                next_drain = self.world.now + self.random.uniform(1, 4)
                self.add_server()
                self.drain_one()
            self.trouble.note()
            for server in self.draining_servers:
                self.call_again(server)
                self.check(server)

    def add_server(self) -> None:
        name = f"s{self.servers}"
        self.servers += 1
        self.fleet.start_heartbeats(name, self.random.sample(self.fleet.ips, 3))

    def drain_one(self) -> None:
        staying = [name for name, beats in self.fleet.sends_heartbeats.items() if beats]
        name = self.random.choice(staying[:-1])
        self.fleet.stop_heartbeats(name)
        self.draining_servers.append(DrainingServer(name))

    def call_again(self, server: DrainingServer) -> None:
        now = self.world.now
        if server.acknowledged_at is not None:
            return
        if server.change and self.fleet.was_acknowledged(server.callee, server.change):
            server.acknowledged_at = now
            return
        if server.change and now - server.called_at < ANSWER_TIMEOUT_S:
            return
        server.callee = self.random.choice(self.fleet.ips)
        server.change, server.called_at = 0, now
        if self.trouble.runs(server.callee):
            server.sequence += 1
            server.change = self.fleet.announce(
                server.callee, server.instance_id, server.sequence, state=DRAINING
            )

    def check(self, server: DrainingServer) -> None:
        """Checks that no machine in touch with the voters takes the server for ready."""
        if server.acknowledged_at is None or self.world.now - server.acknowledged_at < PROPAGATION_S:
            return
        for ip in self.fleet.ips:
            if self.trouble.is_in_touch(ip):
                self.checked += 1
                state = self.fleet.usable_states(ip).get(server.instance_id)
                assert state is not READY, (self.world.now, ip, server)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_no_machine_in_touch_takes_a_server_for_ready_after_its_draining_was_acknowledged(
    seed: int, loss: float
) -> None:
    chaos = Chaos(seed, loss)
    chaos.run(45)
    assert chaos.checked > 300
    assert sum(1 for server in chaos.draining_servers if server.acknowledged_at is not None) > 3
