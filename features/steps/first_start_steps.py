"""Steps of the first start."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from tests.system.replica_world import World

WITHOUT_DISKS = ("10.9.0.1", "10.9.0.2", "10.9.0.3")


@given("{count:d} empty machines of which {tolerance:d} may be lost, with seeds {seeds}")
def step_machines(context: Any, count: int, tolerance: int, seeds: str) -> None:
    context.first_start = (count, tolerance, WITHOUT_DISKS if seeds == "without disks" else ())


@when("they start within {seconds:g} s in the order of draw {draw:d}")
def step_start(context: Any, seconds: float, draw: int) -> None:
    count, tolerance, seeds = context.first_start
    context.chain = World(draw, count, tolerance, genesis=True, seeds=seeds, start_within_s=seconds)


@when("they start, and the first of the seeds is cut off from all")
def step_cut_seed(context: Any) -> None:
    step_start(context, 0.3, 1)
    world = context.chain
    others = [*world.seeds[1:], *(node.ip for node in world.nodes)]
    world.cuts = {(world.seeds[0], ip) for ip in others} | {(ip, world.seeds[0]) for ip in others}


@when("all are killed after {seconds:g} s and are back within a second, not told that it is the first start")
def step_kill_all(context: Any, seconds: float) -> None:
    world = context.chain
    world.run(seconds)
    for node in world.nodes:
        world.kill(node)
        world.start(node, world.random.uniform(0.0, 1.0))


@then("within {seconds:g} s one view is in force, and all of them vote in it")
def step_one_view(context: Any, seconds: float) -> None:
    world = context.chain
    assert world.run_while(lambda: world.head() is None, seconds)
    world.run(1.0)
    views = {
        node.replica.view_info.epoch: node.replica.view_info
        for node in world.nodes
        if node.replica is not None and node.replica.view_info is not None
    }
    assert len(views) == 1, views
    (view,) = views.values()
    assert {member.identity for member in view.voters} == {node.member.identity for node in world.nodes}
