"""The promise of an acknowledged draining under seeded trouble: cuts, freezes, restarts and lost messages.

A machine is in touch if for the last three seconds it ran and reached every running voter that itself
reaches a majority.
"""

from __future__ import annotations

import attrs
import pytest

from cloverrouter.control.instances import InstanceState
from tests.system.lossy_world import World
from tests.system.registry_fleet import RegistryFleet

READY, DRAINING = InstanceState.READY, InstanceState.DRAINING
CONNECTIVITY = 3.0
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
    """Random trouble on a fleet, and the record of who is in touch."""

    def __init__(self, seed: int, loss: float) -> None:
        self.world = World(seed, loss=loss)
        self.random = self.world.random
        self.fleet = RegistryFleet(self.world, 9, 3)
        self.trouble_at = dict.fromkeys(self.fleet.ips, 0.0)
        self.frozen: set[str] = set()
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
                self.make_trouble()
            if self.world.now >= next_leaving:
                next_leaving = self.world.now + self.random.uniform(1, 4)
                self.add_server()
                self.leave()
            self.note_who_is_in_touch()
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
        if server.callee in self.world.cores and server.callee not in self.frozen:
            server.sequence += 1
            server.change = self.fleet.announce(
                server.callee, server.instance_id, server.sequence, state=DRAINING
            )

    def check(self, server: Leaving) -> None:
        """Nobody in touch would send to it as to one that is ready."""
        if server.acknowledged_at is None or self.world.now - server.acknowledged_at < BOUND:
            return
        for ip in self.fleet.ips:
            if self.world.now - self.trouble_at[ip] > CONNECTIVITY:
                self.checked += 1
                state = self.fleet.knows(ip).get(server.instance_id)
                assert state is not READY, (self.world.now, ip, server)

    def make_trouble(self) -> None:
        kind = self.random.choice(["cut", "cut", "freeze", "restart", "restart voter", "heal"])
        ip = self.random.choice(self.fleet.ips)
        if kind == "cut":
            cut = self.random.sample(self.fleet.ips, self.random.randint(1, 4))
            self.world.cut(cut, [other for other in self.fleet.ips if other not in cut])
        elif kind == "freeze":
            self.frozen.add(ip)
            self.world.freeze(ip)
            self.world.at(self.world.now + self.random.uniform(0.5, 6), lambda: self.thaw(ip))
        elif kind == "restart":
            self.restart(ip)
        elif kind == "restart voter":
            self.restart(self.random.choice(self.fleet.voters))
        else:
            self.world.join()

    def thaw(self, ip: str) -> None:
        self.frozen.discard(ip)
        self.world.thaw(ip)

    def restart(self, ip: str) -> None:
        self.trouble_at[ip] = self.world.now
        self.fleet.restart(ip)

    def note_who_is_in_touch(self) -> None:
        def runs(ip: str) -> bool:
            return ip in self.world.cores and ip not in self.frozen

        voters = [ip for ip in self.fleet.voters if runs(ip)]
        majority = [
            voter for voter in voters if 2 * sum(self.world.reaches(voter, other) for other in voters) > 3
        ]
        for ip in self.fleet.ips:
            if not runs(ip) or not majority or not all(self.world.reaches(ip, each) for each in majority):
                self.trouble_at[ip] = self.world.now


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_nobody_in_touch_takes_a_server_for_ready_after_its_draining_was_acknowledged(
    seed: int, loss: float
) -> None:
    chaos = Chaos(seed, loss)
    chaos.play(45)
    assert chaos.checked > 300
    assert sum(1 for server in chaos.leaving if server.acknowledged_at is not None) > 3
