"""The first start of the system, in any order and with anything going wrong in the midst of it."""

from __future__ import annotations

from random import Random

import pytest

from cloverrouter.coordination.messages import (
    SeedAccept,
    SeedAccepted,
    SeedPrepare,
    SeedPrepared,
    SeedRefused,
)
from cloverrouter.coordination.seed_acceptor import decided
from cloverrouter.coordination.views import GENESIS_EPOCH, decode_view
from cloverrouter.messages.sending import Send
from cloverrouter.store.records import Ballot
from tests.system.replica_chaos import check_healed
from tests.system.replica_world import NetworkConditions, Node, World

DISKLESS = ("10.9.0.1", "10.9.0.2", "10.9.0.3")


def voters_of_first_view(world: World) -> set[tuple[str, ...]]:
    """The first voters, as each disk that has adopted them says."""
    found = set()
    for node in world.nodes:
        view = decode_view(node.disk.stored.meta.view)
        if view is not None and view.epoch == GENESIS_EPOCH:
            found.add(tuple(member.identity for member in view.voters))
    return found


def in_force(world: World) -> bool:
    return world.head() is not None


def count_of_voters(world: World) -> int:
    head = world.head()
    assert head is not None and head.replica is not None
    view = head.replica.view_info
    assert view is not None
    return len(view.voters)


@pytest.mark.parametrize("seed", range(1, 9))
@pytest.mark.parametrize(("count", "tolerance"), [(1, 0), (3, 1), (5, 2), (6, 1), (8, 2)])
def test_machines_start_in_any_order(count: int, tolerance: int, seed: int) -> None:
    world = World(seed, count, tolerance, genesis=True, start_within_s=0.3)
    begun = world.now
    assert world.run_while(lambda: not in_force(world), 5.0)
    assert world.now - begun < 2.0
    assert len(voters_of_first_view(world)) <= 1
    assert count_of_voters(world) == count
    check_healed(world, [])


@pytest.mark.parametrize("seed", range(1, 4))
def test_seeds_need_no_disk(seed: int) -> None:
    world = World(seed, 3, 1, genesis=True, start_within_s=0.3, seeds=DISKLESS)
    assert world.run_while(lambda: not in_force(world), 3.0)
    check_healed(world, [])


def test_the_next_seed_goes_on_when_the_first_is_not_there() -> None:
    world = World(1, 3, 1, genesis=True, seeds=DISKLESS)
    world.cuts = {(DISKLESS[0], other) for other in DISKLESS[1:]}
    world.cuts |= {(node.ip, DISKLESS[0]) for node in world.nodes}
    assert world.run_while(lambda: not in_force(world), 8.0)
    check_healed(world, [])


def test_seeds_that_are_cut_from_most_others_choose_nothing() -> None:
    world = World(1, 6, 1, genesis=True, seeds=DISKLESS)
    one, *rest = DISKLESS
    left = {one, *(node.ip for node in world.nodes[:3])}
    right = {*rest, *(node.ip for node in world.nodes[3:])}
    world.cuts = {(a, b) for a in left for b in right} | {(b, a) for a in left for b in right}
    world.run(7.0)
    firsts = voters_of_first_view(world)
    assert firsts <= {tuple(sorted(node.member.identity for node in world.nodes[3:]))}
    heads = [
        node for node in world.running() if node.replica is not None and node.replica.view_info is not None
    ]
    assert {node.ip for node in heads} <= right
    check_healed(world, [])


@pytest.mark.parametrize("power", [False, True])
@pytest.mark.parametrize("tenth", range(8, 24))
def test_all_are_killed_in_the_midst_of_it(tenth: int, power: bool) -> None:
    """Nobody has `bootstrap` afterwards; what was adopted is on the disks, and a disk that adopted nothing
    still knows that it is one of the first start."""
    world = World(tenth, 3, 1, genesis=True, start_within_s=0.3)
    world.run(tenth / 10)
    for node in world.nodes:
        if node.replica is not None:
            world.kill(node, power=power)
            world.start(node, world.random.uniform(0.0, 1.0))
    assert world.run_while(lambda: not in_force(world), 8.0)
    assert len(voters_of_first_view(world)) <= 1
    check_healed(world, [])


@pytest.mark.parametrize("seed", range(1, 31))
def test_a_bad_start_never_gives_two_first_views(seed: int) -> None:
    random = Random(seed)
    network = NetworkConditions(most_delay_s=0.05, loss=random.choice([0.0, 0.1, 0.3]), late=0.1, twice=0.1)
    world = World(
        seed, random.choice([3, 5, 6]), 1, network, genesis=True, start_within_s=random.choice([0.3, 3.0])
    )
    for _ in range(6):
        world.run(random.uniform(0.1, 0.8))
        side = {node.ip for node in world.nodes if random.random() < 0.5}
        ips = [node.ip for node in world.nodes]
        world.cuts = {
            (a, b) for a in ips for b in ips if (a in side) != (b in side) and random.random() < 0.7
        }
        if random.random() < 0.5:
            node = random.choice(world.nodes)
            if node.replica is not None:
                world.kill(node, power=random.random() < 0.5)
                world.start(node, random.uniform(0.0, 0.5))
        assert len(voters_of_first_view(world)) <= 1
    world.network = NetworkConditions()
    world.cuts.clear()
    assert world.run_while(lambda: not in_force(world), 15.0)
    assert len(voters_of_first_view(world)) <= 1
    world.run(3.0)
    check_healed(world, [])


def test_a_disk_that_comes_late_and_knows_nothing_is_no_voter() -> None:
    world = World(1, 3, 1, genesis=True)
    assert world.run_while(lambda: not in_force(world), 3.0)
    world.add_node(adoptable=True)
    world.add_node(adoptable=False)
    world.run(5.0)
    assert count_of_voters(world) == 3


def listen(world: World) -> list[object]:
    """All messages from now on, as they are sent."""
    heard: list[object] = []

    def note(node: Node, effect: Send) -> float:
        heard.append(effect.message)
        return 0.0

    world.nemesis = note
    return heard


def test_a_seeds_word_outlasts_its_process() -> None:
    """Its disk has accepted voters; started again, it tells them to whoever asks next."""
    world = World(1, 3, 1, genesis=True)
    seed, *others = (node for node in world.nodes)
    voters = tuple(node.member for node in world.nodes)
    assert world.run_while(lambda: seed.replica is None, 1.0)
    world._deliver(others[0].ip, seed.ip, SeedPrepare(300))
    world._deliver(others[0].ip, seed.ip, SeedAccept(300, voters))
    world.run(0.2)
    assert seed.disk.stored.meta.ballot.accepted == 300
    world.kill(seed, power=True)
    world.start(seed)
    heard = listen(world)
    world.run(0.1)
    world._deliver(others[1].ip, seed.ip, SeedPrepare(301))
    world.run(0.3)
    assert SeedPrepared(301, 300, voters) in heard
    assert not any(isinstance(each, SeedPrepared) and not each.voters for each in heard)


def test_a_seed_answers_only_what_its_disk_holds() -> None:
    world = World(1, 3, 1, genesis=True)
    seed, other, _ = world.nodes
    assert world.run_while(lambda: seed.replica is None, 1.0)
    seed.disk.stalled_until = world.now + 0.5
    heard = listen(world)
    world._deliver(other.ip, seed.ip, SeedPrepare(300))
    world.run(0.4)
    assert not any(isinstance(each, SeedPrepared) and each.ballot == 300 for each in heard)
    world.run(0.4)
    assert SeedPrepared(300, 0, ()) in heard


def test_a_ballot_is_promised_once_only() -> None:
    """A seed that was started again begins at its old numbers: they are not taken for the new ones."""
    ballot, answer = decided(Ballot(), SeedPrepare(3))
    assert answer == SeedPrepared(3, 0, ())
    assert decided(ballot, SeedPrepare(3))[1] == SeedRefused(3, 3)
    accepted, answer = decided(ballot, SeedAccept(3, ()))
    assert answer == SeedAccepted(3) and accepted.accepted == 3
    assert decided(accepted, SeedAccept(2, ()))[1] == SeedRefused(2, 3)
