"""Heartbeats of a server at a partitioned machine: the server must notice and switch to another machine."""

from __future__ import annotations

from tests.system.lossy_world import World
from tests.system.registry_fleet import RegistryFleet

LONG_CUT_S = 5.0  # longer than heartbeats may be missing


def fleet() -> RegistryFleet:
    """Returns eleven machines, of which the first three vote, with one server registered everywhere."""
    world = World(1)
    made = RegistryFleet(world, 11, 3)
    world.run(1)
    made.announce(made.ips[7], "a", 1)
    world.run(world.now + 3)
    return made


def test_a_machine_cut_off_from_all_voters_does_not_acknowledge_a_heartbeat() -> None:
    """If the heartbeat were acknowledged, the server would stay with this machine while all others consider
    it silent."""
    made = fleet()
    made.world.cut([made.ips[7]], made.voters)
    made.world.run(made.world.now + LONG_CUT_S)
    change = made.announce(made.ips[7], "a", 2)
    made.world.run(made.world.now + 4)
    assert not made.was_acknowledged(made.ips[7], change)
    assert made.has_failed(made.ips[7], change)


def test_a_machine_that_is_heard_acknowledges_it() -> None:
    made = fleet()
    made.world.run(made.world.now + LONG_CUT_S)
    change = made.announce(made.ips[7], "a", 2)
    made.world.run(made.world.now + 4)
    assert made.was_acknowledged(made.ips[7], change)
