"""Departures of servers: what their acknowledgement promises after a kill of everything, and waits for."""

from __future__ import annotations

from itertools import product

import pytest

from cloverrouter.control.announcements import Failed
from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.control.registry import Registry
from cloverrouter.control.registry_messages import Same
from tests.system.departure_fleet import CONFIRM_WITHIN_S, CONNECTIVITY_S, DepartureFleet, Disk
from tests.system.lossy_world import World

READY, DRAINING, GONE = InstanceState.READY, InstanceState.DRAINING, InstanceState.GONE
STAYING = tuple("bcdefghijk")
RESTART_S = 0.7
NEVER_S = 1e9


def fleet(size: int = 5, voters: int = 3, seed: int = 1, confirm_within_s: float = NEVER_S) -> DepartureFleet:
    """Returns a fleet that knows server `a` and those of `STAYING`, which go on sending heartbeats.

    By default a restored server needs no confirmation, so that departures on the disks are all that counts.
    """
    made = DepartureFleet(World(seed), size, voters, confirm_within_s)
    made.world.run(1)
    made.acknowledge(made.ips[-1], "a", READY)
    made.beat(STAYING, made.ips)
    made.world.run(made.world.now + 3)
    made.save_snapshots()
    return made


def check_gone_after_restart(made: DepartureFleet) -> None:
    """Checks that no machine offers `a` once it is in touch, and that all offer the servers that stayed."""
    made.world.run(made.world.now + RESTART_S + CONNECTIVITY_S)
    for _ in range(40):
        assert made.offered_at("a") == []
        made.world.run(made.world.now + 0.1)
    up = [ip for ip in made.ips if ip in made.world.cores]
    for each in STAYING:
        assert made.offered_at(each) == up, each


@pytest.mark.parametrize("origin", [0, 1, 4])
@pytest.mark.parametrize("calls", [(DRAINING,), (GONE,), (DRAINING, GONE)])
def test_a_kill_of_everything_right_after_an_acknowledgement(
    origin: int, calls: tuple[InstanceState, ...]
) -> None:
    """Guards against a server that is offered again after its acknowledged departure (`DRAIN`)."""
    made = fleet()
    for state in calls:
        made.acknowledge(made.ips[origin], "a", state)
    made.kill_all()
    check_gone_after_restart(made)


@pytest.mark.parametrize(("origin", "lost"), list(product([0, 4], [0, 1, 2])))
def test_the_disk_of_one_voter_is_lost_with_the_processes(origin: int, lost: int) -> None:
    made = fleet()
    made.acknowledge(made.ips[origin], "a", GONE)
    made.kill_all(loses_disk=[made.voters[lost]])
    check_gone_after_restart(made)


@pytest.mark.parametrize(("origin", "down"), list(product([0, 4], [0, 1, 2])))
def test_one_voter_stays_down_after_the_kill(origin: int, down: int) -> None:
    made = fleet()
    made.acknowledge(made.ips[origin], "a", GONE)
    made.kill_all(stays_down=[made.voters[down]])
    check_gone_after_restart(made)


@pytest.mark.parametrize(("down", "lost"), [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)])
def test_losses_beyond_the_tolerance_show_no_older_state(down: int, lost: int) -> None:
    """Guards against a list of a disk that is offered though no disk with the departure is there."""
    made = fleet(confirm_within_s=CONFIRM_WITHIN_S)
    made.disks[made.voters[2]].sync_s = float("inf")  # has the departure in memory only
    made.acknowledge(made.ips[4], "a", GONE)
    made.kill_all(stays_down=[made.voters[down]], loses_disk=[made.voters[lost]])
    check_gone_after_restart(made)


def test_five_voters_lose_two_disks() -> None:
    for seed in range(4):
        made = fleet(size=8, voters=5, seed=seed)
        made.acknowledge(made.ips[seed], "a", GONE)
        made.kill_all(loses_disk=made.world.random.sample(made.voters, 2))
        check_gone_after_restart(made)


def test_an_acknowledgement_waits_for_a_majority_of_disks() -> None:
    made = fleet()
    for ip in made.voters:
        made.disks[ip].sync_s = 0.2
    took = made.acknowledge(made.ips[4], "a", GONE)
    assert 0.2 <= took < 0.25
    holders = [ip for ip in made.voters if any(each.id == "a" for each in made.disks[ip].departures)]
    assert len(holders) >= 2


@pytest.mark.parametrize("state", [DRAINING, GONE])
@pytest.mark.parametrize("origin", [0, 2, 4])
def test_one_stalled_disk_delays_an_acknowledgement_only_as_an_absent_voter_does(
    origin: int, state: InstanceState
) -> None:
    made = fleet()
    made.disks[made.voters[2]].sync_s = float("inf")
    assert made.acknowledge(made.ips[origin], "a", state) < 0.6
    assert made.acknowledge(made.ips[origin], "b", state) < 0.6


@pytest.mark.parametrize("origin", [0, 2, 4])
def test_a_full_disk_is_not_waited_for(origin: int) -> None:
    made = fleet()
    made.disks[made.voters[2]].is_full = True
    assert made.acknowledge(made.ips[origin], "a", GONE) < 0.05
    made.kill_all()
    check_gone_after_restart(made)


@pytest.mark.parametrize("disk", [Disk(is_full=True), Disk(sync_s=float("inf"))], ids=["full", "stalled"])
@pytest.mark.parametrize("origin", [0, 2, 4])
def test_without_a_majority_of_disks_a_departure_is_refused_within_a_second(origin: int, disk: Disk) -> None:
    """Guards against a call that waits for an acknowledgement that can't come: a server waits one second."""
    made = fleet()
    for ip in made.voters[1:]:
        made.disks[ip].sync_s, made.disks[ip].is_full = disk.sync_s, disk.is_full
    ip = made.ips[origin]
    change = made.call(ip, "a", GONE)
    made.world.run_until(lambda: made.has_effect(ip, Failed(change)), limit=0.95)
    assert made.offered_at("a") == []  # it is not acknowledged, but it is heeded


def test_a_disk_that_works_again_is_used_again() -> None:
    made = fleet()
    for ip in made.voters[1:]:
        made.disks[ip].is_full = True
    first = made.call(made.ips[4], "a", GONE)
    made.world.run_until(lambda: made.has_effect(made.ips[4], Failed(first)), limit=0.95)
    for ip in made.voters[1:]:
        made.disks[ip].is_full = False
    made.world.run(made.world.now + 1)
    assert made.acknowledge(made.ips[4], "a", GONE) < 0.05
    made.kill_all()
    check_gone_after_restart(made)


def test_heartbeats_and_registrations_wait_for_no_disk() -> None:
    made = fleet()
    for disk in made.disks.values():
        disk.sync_s = float("inf")
    assert made.acknowledge(made.ips[4], "new", READY) < 0.05
    made.world.run(made.world.now + 3)
    assert all(disk.writes == 0 for disk in made.disks.values())


def test_departures_that_come_together_are_written_together() -> None:
    made = fleet()
    for ip in made.voters:
        made.disks[ip].sync_s = 0.05
    names = [f"s{number}" for number in range(100)]
    changes = [made.call(made.ips[4], name, GONE) for name in names]
    made.world.run(made.world.now + 0.5)
    assert all(not made.has_effect(made.ips[4], Failed(change)) for change in changes)
    assert all(len(made.disks[ip].departures) == len(names) for ip in made.voters)
    assert all(made.disks[ip].writes <= 4 for ip in made.voters)


def test_repeated_heartbeats_of_a_draining_server_cost_one_write() -> None:
    made = fleet()
    made.acknowledge(made.ips[4], "a", DRAINING)
    for ip in made.ips:
        made.acknowledge(ip, "a", DRAINING)
    made.acknowledge(made.ips[3], "a", GONE)
    assert all(made.disks[ip].writes == 1 for ip in made.voters)


def test_a_server_that_missed_its_time_to_call_is_listed_again_when_it_calls() -> None:
    """A restored server that is not confirmed in time is given up, not banned."""
    made = fleet(confirm_within_s=CONFIRM_WITHIN_S)
    made.kill_all()
    made.world.run(made.world.now + RESTART_S + CONNECTIVITY_S)
    assert made.offered_at("a") == []
    made.acknowledge(made.ips[4], "a", READY)
    made.world.run(made.world.now + 0.2)
    assert made.offered_at("a") == made.ips


def test_restored_servers_are_offered_until_their_calls_are_due() -> None:
    made = fleet()
    made.kill_all()
    made.world.run(made.world.now + RESTART_S + 0.4)
    assert all(made.offered_at(each) == made.ips for each in ("a", *STAYING))


def test_a_voter_without_contact_gives_up_no_server() -> None:
    """It can't know of the calls that other machines receive."""
    made = fleet(confirm_within_s=CONFIRM_WITHIN_S)
    alone = made.voters[2]
    made.kill_all()
    made.world.cut([alone], [ip for ip in made.ips if ip != alone])
    made.world.run(made.world.now + RESTART_S + CONNECTIVITY_S + 1)
    assert all(made.is_offered(alone, each) for each in STAYING)
    made.world.join()
    for _ in range(40):
        made.world.run(made.world.now + 0.1)
        assert all(made.offered_at(each) == made.ips for each in STAYING)


def test_a_spare_disk_restores_nothing() -> None:
    """Guards against a machine that takes all servers for unconfirmed as it receives no heartbeats."""
    made = DepartureFleet(World(1), size=6, voters=3, spares=1)
    spare = made.ips[3]
    made.world.run(1)
    made.beat(STAYING, made.ips)
    made.world.run(made.world.now + 3)
    made.save_snapshots()
    made.kill_all(loses_disk=made.voters, stays_down=made.voters)
    made.world.run(made.world.now + RESTART_S + 0.4)
    assert len(made.machine(spare).registry) < len(STAYING) / 2


def test_a_machine_that_is_no_voter_after_all_gives_up_no_server() -> None:
    """Guards against the same where the voters became known only after the snapshot was restored."""
    before = Registry("10.0.0.9", 1.2)
    before.register(1.0, Instance("a", "desk", "10.1.0.1:80", sequence=4))
    voters = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
    spare = Registry("10.0.0.9", 1.2, has_disk=True, confirm_within_s=CONFIRM_WITHIN_S)
    spare.restore(10.0, before.records(1.0))
    spare.voters_changed(10.3, voters)
    for step in range(100):
        now = 10.3 + step * 0.1
        for ip in voters:
            spare.receive(now, ip, Same(0, 1000))
        spare.tick(now)
    assert [each.id for each in spare.instances("desk")] == ["a"]
