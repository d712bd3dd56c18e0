"""States near the maximum size: they can be replaced and transferred, and are rejected only if too large."""

from __future__ import annotations

import json
from pathlib import Path

from cloverrouter.coordination.effects import Answer, Outcome
from cloverrouter.store.replica_store import ReplicaStore
from tests.system.replica_scenarios import cut, leader
from tests.system.replica_world import Node, World
from tests.system.slow_links import SlowWorld

FILE_BYTES = 8 * 1024 * 1024  # an eighth of a 64 MB disk


def submit_order(world: World, name: str, size: int, node: Node | None = None) -> list[Answer]:
    """Submits an order whose state has about `size` bytes; returns the list that its answer is added to."""
    answers: list[Answer] = []
    command = json.dumps({"id": name, "expect": None, "value": name + "-" * size}).encode()
    world.submit(node or leader(world), command, answers.append)
    return answers


def order_outcome(world: World, name: str, size: int) -> Outcome:
    """Submits an order and returns the outcome in its answer."""
    answers = submit_order(world, name, size)
    assert world.run_while(lambda: not answers, 3.0)
    return answers[0].outcome


def test_large_states_replace_each_other_for_ever() -> None:
    world = World(1, 3, 1, config={"max_state_bytes": 90_000, "compact_bytes": 1_000})
    world.run(2.0)
    assert [order_outcome(world, f"order-{number}", 35_000) for number in range(20)] == [Outcome.DONE] * 20


def test_large_states_of_falling_size_replace_each_other() -> None:
    world = World(2, 3, 1, config={"max_state_bytes": 90_000, "compact_bytes": 1_000})
    world.run(2.0)
    outcomes = [order_outcome(world, f"order-{number}", 40_000 - 100 * number) for number in range(20)]
    assert outcomes == [Outcome.DONE] * 20


def test_a_state_that_outgrows_the_disk_is_refused_and_the_next_one_taken() -> None:
    world = World(3, 3, 1, config={"max_state_bytes": 90_000, "compact_bytes": 1_000})
    world.run(2.0)
    assert order_outcome(world, "first", 40_000) is Outcome.DONE
    assert order_outcome(world, "vast", 90_000) is Outcome.TOO_LARGE
    assert order_outcome(world, "next", 40_000) is Outcome.DONE


def test_a_head_that_is_none_any_more_does_not_say_that_an_order_is_too_large() -> None:
    """It still has a large state, with which the order does not fit; its successor has accepted the order."""
    world = World(4, 3, 1, config={"max_state_bytes": 90_000, "compact_bytes": 1_000})
    world.run(2.0)
    assert order_outcome(world, "large", 60_000) is Outcome.DONE
    former_head = leader(world)
    world.freeze(former_head, 3.0)
    cut(world, [former_head], [node for node in world.nodes if node is not former_head])
    world.run(2.0)
    assert leader(world) is not former_head
    assert order_outcome(world, "small", 1_000) is Outcome.DONE
    assert order_outcome(world, "order", 50_000) is Outcome.DONE
    repeated_answers = submit_order(world, "order", 50_000, former_head)
    world.run(3.0)
    assert [answer.outcome for answer in repeated_answers if answer.outcome is Outcome.TOO_LARGE] == []


def test_disks_hold_many_states_near_their_room(tmp_path: Path) -> None:
    """On real files: compaction, and a whole state sent to a member that was disconnected."""
    room = ReplicaStore.open(tmp_path / "any", FILE_BYTES).max_state_bytes
    world = World(5, 3, 1, config={"max_state_bytes": room}, directory=tmp_path)
    world.run(2.0)
    size = int(room * 0.48)
    for number in range(40):
        assert order_outcome(world, f"order-{number}", size - number * 50) is Outcome.DONE
    absent = next(node for node in world.nodes if node is not leader(world))
    cut(world, [absent], [node for node in world.nodes if node is not absent])
    world.run(1.5)
    for number in range(40, 60):
        assert order_outcome(world, f"order-{number}", size - number * 50) is Outcome.DONE
    world.cuts.clear()
    assert world.run_while(lambda: len(chain_of(world)) < 3, 5.0)
    assert order_outcome(world, "last", size) is Outcome.DONE


def chain_of(world: World) -> tuple[object, ...]:
    head = world.head()
    view = head.replica.view_info if head is not None and head.replica is not None else None
    return view.chain if view is not None else ()


def test_a_state_that_is_asked_for_is_not_sent_again_and_again() -> None:
    """On a link on which the transfer takes longer than the timeout for a silent head."""
    world = SlowWorld(6, 3, 1, state_s=1.5)
    world.run(8.0)
    absent = next(node for node in world.nodes if node is not leader(world))
    world.kill(absent, power=True)
    world.run(3.0)
    assert accepts_order(world, "order")
    world.messages_by_type.clear()
    world.kill(leader(world), power=True)
    world.start(absent)
    start_s = world.now
    assert accepts_order(world, "after")
    assert world.now - start_s < 5.0
    assert world.messages_by_type["State"] <= 2


def accepts_order(world: SlowWorld, name: str) -> bool:
    """Returns whether an order is answered within 15 s."""
    results: list[bool] = []
    world.put(name, results.append)
    return world.run_while(lambda: not results, 15.0)
