"""Peer sampling on a simulated lossy network: which machines learn of which others, and how soon."""

from __future__ import annotations

from random import Random

import pytest

from cloverrouter.coordination.sampling import PeerSampler, ViewLearned
from cloverrouter.coordination.sampling_messages import PeerRecord, Shuffle, ViewSummary, VoterAddress
from tests.system.lossy_world import World


def ip_of(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250 + 1}"


def sampler(
    world: World, ip: str, seeds: list[str], *, disk: bool, incarnation: int = 1, zone: str = "zone"
) -> PeerSampler:
    identity = f"disk-{ip}-{incarnation}" if disk else ""
    me = PeerRecord(ip, f"machine-{ip}", zone, identity, disk, incarnation)
    return PeerSampler(me, seeds, Random(world.random.random()))


def fleet(world: World, size: int, disks: int, seeds: list[str] | None = None) -> list[str]:
    """Adds machines that start within 0.3 s. The first `disks` have disks; three of these are the seeds."""
    ips = [ip_of(number) for number in range(size)]
    seeds = seeds if seeds is not None else world.random.sample(ips[:disks], min(3, disks))
    for number, ip in enumerate(ips):
        world.add(ip, sampler(world, ip, seeds, disk=number < disks), after=world.random.uniform(0, 0.3))
    return ips


def knows_all_disks(world: World, ips: list[str], disks: set[str]) -> bool:
    for ip in ips:
        core = world.cores.get(ip)
        if not isinstance(core, PeerSampler):
            return False
        if {member.record.ip for member in core.disk_members(world.now)} != disks:
            return False
    return True


def time_to_learn_disks(world: World, size: int, disks: int) -> float:
    ips = fleet(world, size, disks)
    return world.run_until(lambda: knows_all_disks(world, ips, set(ips[:disks])), limit=3)


def peers_of(world: World, ip: str) -> set[str]:
    core = world.cores[ip]
    assert isinstance(core, PeerSampler)
    return {record.ip for record in core.peers()}


def components(world: World) -> int:
    """Returns the number of connected components of the undirected graph of all partial views."""
    left = set(world.cores)
    neighbours: dict[str, set[str]] = {ip: set() for ip in left}
    for ip in left:
        for peer in peers_of(world, ip) & left:
            neighbours[ip].add(peer)
            neighbours[peer].add(ip)
    parts = 0
    while left:
        parts += 1
        reached = [left.pop()]
        while reached:
            for ip in neighbours[reached.pop()] & left:
                left.discard(ip)
                reached.append(ip)
    return parts


@pytest.mark.parametrize(("size", "disks"), [(11, 3), (30, 8), (100, 22)])
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_all_machines_learn_all_disk_members_within_a_second_of_the_first_start(
    size: int, disks: int, loss: float
) -> None:
    for seed in range(3):
        seconds = time_to_learn_disks(World(seed, loss=loss), size, disks)
        assert seconds < 1.1 + (0.4 if loss else 0.0), f"seed {seed}: {seconds}"


def test_the_fleet_stays_connected() -> None:
    world = World(4, loss=0.02)
    fleet(world, 60, 6)
    for _ in range(12):
        world.run(world.now + 5)
        assert components(world) == 1


def test_a_small_fleet_knows_all_of_itself() -> None:
    world = World(5)
    ips = fleet(world, 11, 3)
    world.run(30)
    for ip in ips:
        assert len(peers_of(world, ip)) >= 9


def test_messages_are_bounded_whatever_the_size() -> None:
    world = World(6)
    ips = fleet(world, 100, 7)
    world.run(40)
    before = world.messages.copy()
    world.run(50)
    for ip in ips:
        assert world.messages[ip] - before[ip] <= 80


def test_a_seed_that_is_down_does_not_keep_the_others_from_meeting() -> None:
    world = World(7)
    ips = fleet(world, 11, 4, seeds=["10.9.9.1", "10.9.9.2", ip_of(0)])
    seconds = world.run_until(lambda: knows_all_disks(world, ips, set(ips[:4])), limit=3)
    assert seconds < 1.1


def test_a_machine_whose_seeds_come_up_late_finds_them() -> None:
    world = World(8)
    seed = ip_of(0)
    world.add(ip_of(1), sampler(world, ip_of(1), [seed], disk=True))
    world.run(20)
    world.add(seed, sampler(world, seed, [seed], disk=True))
    seconds = world.run_until(
        lambda: knows_all_disks(world, [ip_of(0), ip_of(1)], {ip_of(0), ip_of(1)}), limit=3
    )
    assert seconds < 1.0


def test_partitioned_halves_join_again() -> None:
    world = World(9)
    ips = fleet(world, 40, 6)
    world.run(10)
    world.cut(ips[::2], ips[1::2])
    world.run(100)
    left, right = set(ips[::2]), set(ips[1::2])
    assert knows_all_disks(world, ips[::2], set(ips[:6]) & left)
    assert not any(peers_of(world, ip) & right for ip in left)
    world.join()
    seconds = world.run_until(lambda: knows_all_disks(world, ips, set(ips[:6])), limit=20)
    assert seconds < 6
    world.run(world.now + 20)
    assert components(world) == 1


def test_a_lost_machine_is_forgotten_after_its_silence_and_not_brought_back() -> None:
    world = World(10)
    ips = fleet(world, 30, 5)
    world.run(10)
    world.stop(ips[0])
    world.run(30)
    assert knows_all_disks(world, ips[1:], set(ips[:5]))
    world.run(45)
    for _ in range(10):
        world.run(world.now + 1)
        assert knows_all_disks(world, ips[1:], set(ips[1:5]))


def test_a_wiped_machine_is_a_new_member_at_its_old_address_also_when_its_clock_went_back() -> None:
    for incarnation in (2, 0):
        world = World(11)
        ips = fleet(world, 20, 5)
        world.run(5)
        world.add(ips[0], sampler(world, ips[0], ips[:3], disk=True, incarnation=incarnation))
        world.run(8)
        for ip in ips:
            core = world.cores[ip]
            assert isinstance(core, PeerSampler)
            identities = {m.record.identity for m in core.disk_members(world.now) if m.record.ip == ips[0]}
            assert identities == {f"disk-{ips[0]}-{incarnation}"}


def test_new_seeds_are_contacted_and_the_old_ones_are_not_needed() -> None:
    world = World(12)
    ips = fleet(world, 20, 4)
    world.run(5)
    for ip in ips[:4]:
        world.stop(ip)
    new = [ip_of(100 + number) for number in range(3)]
    for ip in new:
        world.add(ip, sampler(world, ip, new, disk=True))
    for ip in ips[4:]:
        core = world.cores[ip]
        assert isinstance(core, PeerSampler)
        world.take(ip, core.seeds_changed(world.now, new))
    everyone = ips[4:] + new
    world.run(7)
    for ip in everyone:
        core = world.cores[ip]
        assert isinstance(core, PeerSampler)
        fresh = {m.record.ip for m in core.disk_members(world.now) if m.silent_for_s < 2}
        assert fresh == set(new)


def zoned_fleet(world: World, size: int, disks: int) -> dict[str, str]:
    """Adds a fleet in three zones and returns the zone of each machine."""
    zones = {ip_of(number): ("east", "west", "north")[number % 3] for number in range(size)}
    seeds = list(zones)[:3]
    for number, (ip, zone) in enumerate(zones.items()):
        core = sampler(world, ip, seeds, disk=number < disks, zone=zone)
        world.add(ip, core, after=world.random.uniform(0, 0.3))
    return zones


def test_in_a_large_fleet_most_shuffles_stay_in_their_zone() -> None:
    world = World(21)
    zones = zoned_fleet(world, 60, 6)
    world.run(5)
    world.messages_between.clear()
    world.run(15)
    crossed = sum(
        count for (one, other), count in world.messages_between.items() if zones[one] != zones[other]
    )
    assert 0.1 < crossed / world.messages_between.total() < 0.35  # 0.66 if zones were ignored


def test_zones_know_one_another_s_disks_though_most_shuffles_stay_in_their_zone() -> None:
    world = World(22)
    zones = zoned_fleet(world, 60, 6)
    world.run(10)
    for ip in zones:
        core = world.cores[ip]
        assert isinstance(core, PeerSampler)
        assert all(member.silent_for_s < 2.5 for member in core.disk_members(world.now))
        assert len(core.disk_members(world.now)) == 6
    assert components(world) == 1


def summary(epoch: int, committed: int = 0) -> ViewSummary:
    return ViewSummary(epoch, True, ip_of(0), (VoterAddress(ip_of(0), "d0", "zone"),), committed)


def test_the_newest_view_reaches_all_and_an_older_one_does_not_come_back() -> None:
    world = World(13)
    ips = fleet(world, 30, 5)
    world.run(5)
    for epoch in (3, 2):
        core = world.cores[ips[epoch]]
        assert isinstance(core, PeerSampler)
        world.take(ips[epoch], core.view_changed(world.now, summary(epoch)))
    world.run(7)
    for ip in ips:
        core = world.cores[ip]
        assert isinstance(core, PeerSampler)
        assert core.summary == summary(3)
        epochs = [learned.summary.epoch for learned in world.seen(ip, ViewLearned)]
        assert epochs == sorted(epochs)


def count_knowing_view(world: World, ips: list[str]) -> int:
    cores = [core for core in (world.cores[ip] for ip in ips) if isinstance(core, PeerSampler)]
    return sum(1 for core in cores if core.summary == summary(4))


def test_a_new_view_reaches_all_in_a_few_hops() -> None:
    for seed in range(3):
        world = World(seed)
        ips = fleet(world, 100, 7)
        world.run(60)
        core = world.cores[ips[0]]
        assert isinstance(core, PeerSampler)
        world.take(ips[0], core.view_changed(world.now, summary(4)))
        world.run(60.05)
        assert count_knowing_view(world, ips) >= 95
        world.run(61)
        assert count_knowing_view(world, ips) == 100


def test_a_frozen_machine_forgets_nobody_when_it_wakes() -> None:
    world = World(14)
    ips = fleet(world, 11, 4)
    world.run(5)
    world.freeze(ips[7])
    world.run(60)
    world.thaw(ips[7])
    core = world.cores[ips[7]]
    assert isinstance(core, PeerSampler)
    for _ in range(20):
        world.run(world.now + 0.1)
        assert {m.record.ip for m in core.disk_members(world.now)} == set(ips[:4])


def test_a_shuffle_is_bounded() -> None:
    world = World(15)
    fleet(world, 100, 22)
    world.run(10)
    core = world.cores[ip_of(50)]
    sends = [effect for effect in core.tick(world.now + 10) if hasattr(effect, "message")]
    for send in sends:
        assert isinstance(send.message, Shuffle)
        assert len(send.message.entries) <= 8
        assert len(send.message.disks) <= 32
