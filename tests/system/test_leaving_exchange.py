"""Votes move to spares from voters that leave, are silent or have a stalled disk."""

from __future__ import annotations

import pytest

from tests.system.replica_scenarios import LEAVES_WITHIN_S, TAKES_PART_AFTER_S, leader, order, run_to, settle
from tests.system.replica_world import Node, World

STALLED_S = 30.0
EXCHANGE_S = 2.0  # an exchange, after the head's silence or a busy disk


def started_chain(voters: int = 3, tolerance: int = 1) -> tuple[World, Node, list[Node]]:
    """Returns a chain that accepts orders: its world, its head and its other nodes."""
    world = World(1, voters, tolerance)
    world.run(2.0)
    head = leader(world)
    run_to(world, order(world, head, "first"), 2.0, "an order")
    return world, head, [node for node in world.nodes if node is not head]


def voters_of(world: World) -> set[str]:
    """Returns the identities of the voters of the active view, as its head knows them."""
    head = world.head()
    view = head.replica.view_info if head is not None and head.replica is not None else None
    return {member.identity for member in view.voters} if view is not None and view.active else set()


def spare(world: World, place: int, name: str = "") -> Node:
    node = world.add_node(place=place, name=name)
    world.run(0.1)
    return node


@pytest.mark.parametrize("stalls", ["before", "as the exchange begins"])
def test_a_leaver_whose_successor_stalls_gets_another_spare_at_once(stalls: str) -> None:
    world, _, others = started_chain()
    leaver = others[0]
    successor = spare(world, world.nodes.index(leaver), name=leaver.name)
    other = spare(world, world.nodes.index(others[1]))
    world.run(TAKES_PART_AFTER_S)
    if stalls == "before":
        successor.disk.stalled_until = world.now + STALLED_S
        world.run(1.0)
    world.leave(leaver)
    if stalls != "before":
        world.run(0.03)
        successor.disk.stalled_until = world.now + STALLED_S
    run_to(world, lambda: leaver.replica is None, LEAVES_WITHIN_S, "the leaver's end")
    run_to(world, lambda: other.member.identity in voters_of(world), LEAVES_WITHIN_S, "the other's vote")
    assert leaver.member.identity not in voters_of(world)
    settle(world)


def test_a_voter_whose_disk_takes_nothing_gives_way_to_a_spare() -> None:
    """A voter with a stalled disk promises nothing: if another disk were lost, no majority would be left."""
    world, _, others = started_chain()
    stalled, lost = others
    newcomer = spare(world, world.nodes.index(stalled))
    world.run(TAKES_PART_AFTER_S)
    stalled.disk.stalled_until = world.now + STALLED_S
    order(world, leader(world), "writes")
    world.run(EXCHANGE_S + 0.7)
    assert newcomer.member.identity in voters_of(world)
    assert stalled.member.identity not in voters_of(world)
    world.kill(lost, power=True)
    world.wipe(lost)
    world.run(1.0)
    run_to(world, order(world, leader(world), "after"), EXCHANGE_S, "an order after the loss")


def test_a_voter_that_is_taken_away_gives_way_within_a_second() -> None:
    world, _, others = started_chain()
    newcomer = spare(world, world.nodes.index(others[0]))
    world.run(TAKES_PART_AFTER_S)
    world.remove(others[0])
    run_to(world, lambda: newcomer.member.identity in voters_of(world), 1.0, "the newcomer's vote")


@pytest.mark.parametrize("lost", [0, 1])
def test_a_head_that_leaves_while_another_is_lost_hands_its_vote_on(lost: int) -> None:
    """The head plans no exchange itself. Any voter that could promise one can become head and exchange it."""
    world, head, others = started_chain()
    newcomer = spare(world, world.nodes.index(head))
    world.run(TAKES_PART_AFTER_S)
    world.leave(head)
    world.kill(others[lost], power=True)
    world.wipe(others[lost])
    world.start(others[lost], 1.0)
    run_to(world, lambda: head.replica is None, LEAVES_WITHIN_S, "the head's end")
    world.remove(head)
    run_to(world, lambda: newcomer.member.identity in voters_of(world), EXCHANGE_S, "the newcomer's vote")
    run_to(world, order(world, leader(world), "after"), EXCHANGE_S, "an order")
