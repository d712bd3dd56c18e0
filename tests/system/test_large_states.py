"""States near the room of the disk: replaced for ever, handed over whole, never refused wrongly."""

from __future__ import annotations

import json
from pathlib import Path

from cloverrouter.coordination.effects import Answer, Outcome
from cloverrouter.store.replica_store import ReplicaStore
from tests.system.replica_scenarios import cut, leader
from tests.system.replica_world import Node, World
from tests.system.slow_links import SlowWorld

FILE_BYTES = 8 * 1024 * 1024  # an eighth of a disk of 64 MB


def put(world: World, name: str, size: int, node: Node | None = None) -> list[Answer]:
    """Send an order whose state has that size; gives where its answer comes."""
    answers: list[Answer] = []
    command = json.dumps({"id": name, "expect": None, "value": name + "-" * size}).encode()
    world.submit(node or leader(world), command, answers.append)
    return answers


def outcome(world: World, name: str, size: int) -> Outcome:
    """Send an order and wait for its answer."""
    answers = put(world, name, size)
    assert world.run_while(lambda: not answers, 3.0)
    return answers[0].outcome


def test_large_states_replace_each_other_for_ever() -> None:
    world = World(1, 3, 1, config={"max_state_bytes": 90_000, "compact_bytes": 1_000})
    world.run(2.0)
    assert [outcome(world, f"order-{number}", 35_000) for number in range(20)] == [Outcome.DONE] * 20


def test_large_states_of_falling_size_replace_each_other() -> None:
    world = World(2, 3, 1, config={"max_state_bytes": 90_000, "compact_bytes": 1_000})
    world.run(2.0)
    found = [outcome(world, f"order-{number}", 40_000 - 100 * number) for number in range(20)]
    assert found == [Outcome.DONE] * 20


def test_a_state_that_outgrows_the_disk_is_refused_and_the_next_one_taken() -> None:
    world = World(3, 3, 1, config={"max_state_bytes": 90_000, "compact_bytes": 1_000})
    world.run(2.0)
    assert outcome(world, "first", 40_000) is Outcome.DONE
    assert outcome(world, "vast", 90_000) is Outcome.TOO_LARGE
    assert outcome(world, "next", 40_000) is Outcome.DONE


def test_a_head_that_is_none_any_more_does_not_say_that_an_order_is_too_large() -> None:
    """It was taken by another head meanwhile, for which there was room."""
    world = World(4, 3, 1, config={"max_state_bytes": 90_000, "compact_bytes": 1_000})
    world.run(2.0)
    assert outcome(world, "large", 60_000) is Outcome.DONE
    old = leader(world)
    world.freeze(old, 3.0)
    cut(world, [old], [node for node in world.nodes if node is not old])
    world.run(2.0)
    assert leader(world) is not old
    assert outcome(world, "small", 1_000) is Outcome.DONE
    assert outcome(world, "order", 50_000) is Outcome.DONE
    again = put(world, "order", 50_000, old)
    world.run(3.0)
    assert [answer.outcome for answer in again if answer.outcome is Outcome.TOO_LARGE] == []


def test_disks_hold_many_states_near_their_room(tmp_path: Path) -> None:
    """On real files: compaction, and a member that was away and is handed a whole state."""
    room = ReplicaStore.open(tmp_path / "any", FILE_BYTES).state_room
    world = World(5, 3, 1, config={"max_state_bytes": room}, directory=tmp_path)
    world.run(2.0)
    size = int(room * 0.48)
    for number in range(40):
        assert outcome(world, f"order-{number}", size - number * 50) is Outcome.DONE
    away = next(node for node in world.nodes if node is not leader(world))
    cut(world, [away], [node for node in world.nodes if node is not away])
    world.run(1.5)
    for number in range(40, 60):
        assert outcome(world, f"order-{number}", size - number * 50) is Outcome.DONE
    world.cuts.clear()
    assert world.run_while(lambda: len(chain_of(world)) < 3, 5.0)
    assert outcome(world, "last", size) is Outcome.DONE


def chain_of(world: World) -> tuple[object, ...]:
    head = world.head()
    view = head.replica.view_info if head is not None and head.replica is not None else None
    return view.chain if view is not None else ()


def test_a_state_that_is_asked_for_is_not_sent_again_and_again() -> None:
    """On a link on which it takes longer than a silent head is waited for."""
    world = SlowWorld(6, 3, 1, state_s=1.5)
    world.run(8.0)
    away = next(node for node in world.nodes if node is not leader(world))
    world.kill(away, power=True)
    world.run(3.0)
    assert put_one(world, "order")
    world.messages_by_type.clear()
    world.kill(leader(world), power=True)
    world.start(away)
    begun = world.now
    assert put_one(world, "after")
    assert world.now - begun < 5.0
    assert world.messages_by_type["State"] <= 2


def put_one(world: SlowWorld, name: str) -> bool:
    """Whether an order is taken within a while."""
    taken: list[bool] = []
    world.put(name, taken.append)
    return world.run_while(lambda: not taken, 15.0)
