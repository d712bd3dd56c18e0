"""Steps of repeated losses, in the seeded world of replicas."""

from __future__ import annotations

from functools import partial
from typing import Any

from behave import given, then, when

from features.steps.chain_steps import Order, new_order, read, view_of
from tests.system.replica_scenarios import TAKES_PART_AFTER_S
from tests.system.replica_world import Client, Node, World

BACK_AFTER_S = 1.0
MOST_WAIT_S = 10.0


def in_place(world: World) -> list[Node]:
    return [node for node in world.nodes if not node.removed]


def oldest(world: World, many: int) -> list[Node]:
    """The machines whose disks have lasted longest."""
    return sorted(in_place(world), key=lambda node: node.disk.since)[:many]


def copies(world: World) -> int:
    """On how many disks in place the newest acknowledged order is."""
    newest = world.invariants.acknowledged
    order = world.invariants.orders[newest]
    return sum(world._has_update(node.disk, newest, order) for node in in_place(world))


def wipe(world: World, nodes: list[Node]) -> None:
    for node in nodes:
        if node.replica is not None:
            world.kill(node, power=True)
        world.wipe(node)
        world.start(node, BACK_AFTER_S)


def come_back_empty(world: World, nodes: list[Node]) -> None:
    wipe(world, nodes)
    world.run(BACK_AFTER_S)


def come_back_empty_in_the_dark(world: World, nodes: list[Node]) -> None:
    for node in in_place(world):
        if node not in nodes and node.replica is not None:
            world.kill(node, power=True)
            world.start(node, BACK_AFTER_S)
    come_back_empty(world, nodes)


def newcomers_for(world: World, nodes: list[Node]) -> None:
    for node in nodes:
        world.add_node(place=world.nodes.index(node))


def taken_away(world: World, nodes: list[Node]) -> None:
    for node in nodes:
        world.remove(node)
    world.run(BACK_AFTER_S)
    newcomers_for(world, nodes)


def planned(world: World, nodes: list[Node]) -> None:
    newcomers_for(world, nodes)
    world.run(TAKES_PART_AFTER_S)
    tell_to_end(world, nodes)


def planned_at_once(world: World, nodes: list[Node]) -> None:
    newcomers_for(world, nodes)
    tell_to_end(world, nodes)


def tell_to_end(world: World, nodes: list[Node]) -> None:
    for node in nodes:
        world.leave(node)
    assert world.run_while(lambda: any(node.replica for node in nodes), MOST_WAIT_S)
    for node in nodes:
        world.remove(node)


WAYS = {
    "they come back empty": come_back_empty,
    "they come back empty, and all others lose power": come_back_empty_in_the_dark,
    "their machines are taken away, empty ones come 1 s later": taken_away,
    "empty machines come 4 s before theirs are told to end": planned,
    "empty machines come while theirs are told to end": planned_at_once,
}


@when("the {many:d} oldest disks are lost again and again: {how}")
def step_again_and_again(context: Any, many: int, how: str) -> None:
    world: World = context.chain
    client = Client(world, "operator", pause_s=0.05)
    context.copies, context.gaps = [], []
    losses = -(-2 * len(world.nodes) // many)
    for _ in range(losses):
        context.copies.append(copies(world))
        order = new_order(context)
        nodes = oldest(world, many)
        context.lost += [node.disk.stored.identity for node in nodes]
        world.at(world.now + 0.001, partial(note_gap, context, order, world.now))
        WAYS[how](world, nodes)
        world.run(TAKES_PART_AFTER_S)
    client.stopped = True
    context.copies.append(copies(world))
    assert len(context.gaps) == losses, "an order was not confirmed before the next loss"


def note_gap(context: Any, order: Order, begun: float) -> None:
    """Send an order again until it is confirmed, and note how long that took."""
    if order.result is None:
        order.send()
        context.chain.at(context.chain.now + 0.05, lambda: note_gap(context, order, begun))
    else:
        context.gaps.append(context.chain.now - begun)


@then("each time all that was acknowledged was on more disks in place than may be lost")
def step_copies(context: Any) -> None:
    assert min(context.copies) > context.chain.tolerance, context.copies


@then("each time an order was confirmed within {seconds:g} s")
def step_gaps(context: Any, seconds: float) -> None:
    assert max(context.gaps) <= seconds, context.gaps


@given("all but {least:d} of them are out of the chain while an order is acknowledged")
def step_short_chain(context: Any, least: int) -> None:
    world: World = context.chain
    members = [
        next(node for node in world.nodes if node.member == member) for member in view_of(context).chain
    ]
    context.short, context.out = members[:least], members[least:]
    for node in context.out:
        node.disk.stalled_until = world.now + 1000.0
    assert new_order(context).insist(5.0)
    assert len(view_of(context).chain) == least
    assert new_order(context).insist(1.0)


@when("{many:d} disks of the chain are lost right after it")
def step_lose_of_chain(context: Any, many: int) -> None:
    wipe(context.chain, context.short[:many])


@when("the others are well again")
def step_others_well(context: Any) -> None:
    for node in context.out:
        node.disk.stalled_until = 0.0


@then("what was acknowledged is read within {seconds:g} s")
def step_read_within(context: Any, seconds: float) -> None:
    world: World = context.chain
    end = world.now + seconds
    while world.now < end:
        answer = read(context)
        if answer is not None:
            assert answer.seq >= world.invariants.acknowledged
            return
    raise AssertionError("nothing is read")
