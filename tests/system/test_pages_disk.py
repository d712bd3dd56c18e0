"""What the pages say of disks and of losses: a full disk refuses every write; many processes go at once."""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast

import pytest

from cloverrouter.coordination.effects import Answer, Outcome, Persist
from cloverrouter.daemon.replica_driver import ReplicaDriver, ReplicaListener
from cloverrouter.store.errors import StoreFull
from cloverrouter.store.records import Record
from tests.system.replica_scenarios import leader, order, run_to, settle
from tests.system.replica_world import Client, Node, World

SIZES = [(3, 1), (5, 2)]


def fill(*nodes: Node) -> None:
    for node in nodes:
        node.disk.full = True


def reads(world: World, node: Node) -> list[Answer]:
    answers: list[Answer] = []
    world.read(node, answers.append)
    return answers


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("count, tolerance", SIZES)
def test_with_every_disk_full_nothing_is_acknowledged_or_refused_until_there_is_room(
    count: int, tolerance: int, seed: int
) -> None:
    """Without an answer of the head, the proxy that was asked says 503 in the end."""
    world = World(seed, count, tolerance)
    world.run(3)
    run_to(world, order(world, leader(world), "before"), 3, "an order")
    fill(*world.nodes)
    heard: list[Answer] = []
    command = json.dumps({"id": "full", "expect": None, "value": "full"}).encode()
    world.submit(leader(world), command, heard.append)
    world.run(8)
    assert all(answer.outcome not in (Outcome.DONE, Outcome.TOO_LARGE) for answer in heard)
    for node in world.nodes:
        node.disk.full = False
    world.run(4)
    run_to(world, order(world, leader(world), "full"), 4, "the order again")
    settle(world)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("count, tolerance", SIZES)
def test_while_few_disks_are_full_the_others_take_orders_and_reads_go_on(
    count: int, tolerance: int, seed: int
) -> None:
    """The head's among them: another leads. Who comes back with room takes part again."""
    world = World(seed, count, tolerance)
    world.run(3)
    head = leader(world)
    fill(*[head, *[node for node in world.nodes if node is not head]][:tolerance])
    operator = Client(world, "op")
    acknowledged = world.invariants.acknowledged
    world.run(6)
    assert world.invariants.acknowledged > acknowledged + 3
    asked = reads(world, leader(world))
    run_to(world, lambda: any(answer.outcome is Outcome.DONE for answer in asked), 2, "a read")
    operator.stopped = True
    for node in world.nodes:
        node.disk.full = False
    settle(world)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("power", [False, True])
@pytest.mark.parametrize("count, tolerance", SIZES)
def test_all_replicas_gone_in_the_same_moment_come_back_with_all_that_was_acknowledged(
    count: int, tolerance: int, power: bool, seed: int
) -> None:
    world = World(seed, count, tolerance)
    world.run(3)
    run_to(world, order(world, leader(world), "kept"), 3, "an order")
    for node in world.nodes:
        world.kill(node, power=power)
    for node in world.nodes:
        world.start(node, 0.3)
    world.run(3)
    run_to(world, order(world, leader(world), "next"), 3, "an order after it")
    settle(world)


# The driver of a replica: what the disk refuses is told, and ends nothing


class FullStore:
    def write(self, record: Record) -> None:
        raise StoreFull("no room")


class HearingReplica:
    def __init__(self) -> None:
        self.heard: list[tuple[int, str | None]] = []

    def persisted(self, now: float, token: int, error: str | None) -> list[Any]:
        self.heard.append((token, error))
        return []


def no_listener() -> ReplicaListener:
    def ignore(*_: object) -> None: ...

    return ReplicaListener(ignore, ignore, ignore, ignore, ignore)


def test_a_write_that_the_disk_refuses_is_told_to_the_replica() -> None:
    async def scene() -> None:
        replica = HearingReplica()
        driver = ReplicaDriver(cast(Any, replica), cast(Any, FullStore()), no_listener())
        driver.carry_out([Persist(7, Record(None, None, ()))])
        async with asyncio.timeout(20):
            while not replica.heard:
                await asyncio.sleep(0)
        assert replica.heard == [(7, "no room")]
        driver.close()

    asyncio.run(scene())
