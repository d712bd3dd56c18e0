"""The promise of an acknowledged draining under seeded trouble: cuts, freezes, restarts and lost messages."""

from __future__ import annotations

import attrs
import pytest

from cloverrouter.control.instances import InstanceState
from tests.system.lossy_world import World
from tests.system.registry_fleet import RegistryFleet
from tests.system.trouble import Trouble

READY, DRAINING = InstanceState.READY, InstanceState.DRAINING
ANSWER_WAIT = 1.0
STEP = 0.05
BOUND = 0.5  # the contract allows two seconds and more


@attrs.define
class Leaving:
    """A server that wants to leave, and calls one machine after the other until it is answered."""

    instance_id: str
    sequence: int = 1000
    callee: str = ""
    change: int = 0
    called_at: float = 0.0
    acknowledged_at: float | None = None


class Chaos:
    """Servers come and leave while there is trouble."""

    def __init__(self, seed: int, loss: float) -> None:
        self.world = World(seed, loss=loss)
        self.random = self.world.random
        self.fleet = RegistryFleet(self.world, 9, 3)
        self.trouble = Trouble(self.world, self.fleet.ips, self.fleet.voters, self.fleet.restart)
        self.leaving: list[Leaving] = []
        self.servers = 0
        self.checked = 0

    def play(self, seconds: float) -> None:
        self.world.run(2)
        for _ in range(4):
            self.add_server()
        end = self.world.now + seconds
        next_trouble, next_leaving = 4.0, 6.0
        while self.world.now < end:
            self.world.run(self.world.now + STEP)
            if self.world.now >= next_trouble:
                next_trouble = self.world.now + self.random.uniform(1, 7)
                self.trouble.make()
            if self.world.now >= next_leaving:
                next_leaving = self.world.now + self.random.uniform(1, 4)
                self.add_server()
                self.leave()
            self.trouble.note()
            for server in self.leaving:
                self.go_on(server)
                self.check(server)

    def add_server(self) -> None:
        name = f"s{self.servers}"
        self.servers += 1
        self.fleet.beat(name, self.random.sample(self.fleet.ips, 3))

    def leave(self) -> None:
        staying = [name for name, beats in self.fleet.beating.items() if beats]
        name = self.random.choice(staying[:-1])
        self.fleet.hush(name)
        self.leaving.append(Leaving(name))

    def go_on(self, server: Leaving) -> None:
        now = self.world.now
        if server.acknowledged_at is not None:
            return
        if server.change and self.fleet.was_acknowledged(server.callee, server.change):
            server.acknowledged_at = now
            return
        if server.change and now - server.called_at < ANSWER_WAIT:
            return
        server.callee = self.random.choice(self.fleet.ips)
        server.change, server.called_at = 0, now
        if self.trouble.runs(server.callee):
            server.sequence += 1
            server.change = self.fleet.announce(
                server.callee, server.instance_id, server.sequence, state=DRAINING
            )

    def check(self, server: Leaving) -> None:
        """Nobody in touch would send to it as to one that is ready."""
        if server.acknowledged_at is None or self.world.now - server.acknowledged_at < BOUND:
            return
        for ip in self.fleet.ips:
            if self.trouble.is_in_touch(ip):
                self.checked += 1
                state = self.fleet.knows(ip).get(server.instance_id)
                assert state is not READY, (self.world.now, ip, server)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_nobody_in_touch_takes_a_server_for_ready_after_its_draining_was_acknowledged(
    seed: int, loss: float
) -> None:
    chaos = Chaos(seed, loss)
    chaos.play(45)
    assert chaos.checked > 300
    assert sum(1 for server in chaos.leaving if server.acknowledged_at is not None) > 3
