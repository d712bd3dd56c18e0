"""The chain of replicas in simulation: without faults, with random faults, and in scripted races."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from tests.system.replica_chaos import check_healed, play
from tests.system.replica_faults import SCENARIO_SEEDS, whole_states
from tests.system.replica_scenarios import SCENARIOS, leave_and_lose
from tests.system.replica_world import Client, Reader, World

SIZES = [(1, 0), (2, 0), (3, 1), (5, 2), (6, 1), (8, 2)]


@pytest.mark.parametrize("genesis", [False, True])
@pytest.mark.parametrize(("count", "tolerance"), SIZES)
def test_a_calm_world_takes_orders_and_reads(count: int, tolerance: int, genesis: bool) -> None:
    world = World(1, count, tolerance, genesis=genesis, wire=True)
    client = Client(world, "operator")
    world.run(8)
    assert len(client.done) >= 10
    assert client.reads >= 1
    assert max(seconds for _, seconds in client.done) < 2.0
    head = world.head()
    assert head is not None and head.replica is not None
    view = head.replica.view_info
    assert view is not None and len(view.chain) == len(view.voters) == count


DAYS = 120
STORMS = 100


def test_troubled_days_keep_what_was_promised() -> None:
    for seed in range(1, DAYS + 1):
        play(seed)


def test_storms_keep_what_was_promised() -> None:
    for seed in range(1, STORMS + 1):
        play(seed, storm=True)


@pytest.mark.parametrize("seed", SCENARIO_SEEDS)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scripted_races(scenario: Callable[[int], None], seed: int) -> None:
    scenario(seed)
    with whole_states():
        scenario(seed)


@pytest.mark.parametrize("lost_after_s", [0.0, 0.1, 0.2, 0.4, 0.8])
@pytest.mark.parametrize("head_leaves", [True, False])
@pytest.mark.parametrize(("count", "tolerance"), [(3, 1), (5, 2), (8, 2)])
def test_the_oldest_disks_are_lost_while_replaced_voters_leave(
    count: int, tolerance: int, head_leaves: bool, lost_after_s: float
) -> None:
    for seed in (1, 2, 6):
        world = World(seed, count, tolerance)
        leave_and_lose(world, tolerance, head_leaves, lost_after_s, same_name=seed % 2 == 1)


def test_real_files_hold_what_the_replicas_wrote(tmp_path: Path) -> None:
    """Kills and restarts, each restart from lmdb's file; updates are compacted many times."""
    world = World(5, 3, 1, config={"compact_bytes": 500}, directory=tmp_path)
    clients = [Client(world, f"client{number}", pause_s=0.02) for number in range(2)]
    for number in range(12):
        world.run(1.0)
        node = world.nodes[number % 3]
        world.kill(node, power=number % 2 == 0)
        world.start(node, 0.2)
    check_healed(world, clients)
    assert sum(len(client.done) for client in clients) > 100


@pytest.mark.parametrize("seed", range(5))
def test_after_all_lost_power_the_head_of_before_leads_at_once(seed: int) -> None:
    """Restarted voters withhold promises for a while, but not from the one replica whose lease may rest on
    their promise: it must lead at once."""
    world = World(seed, 3, 1, genesis=True, wire=True)
    assert world.run_while(lambda: world.head() is None, 5)
    before = world.head()
    assert before is not None
    for node in world.nodes:
        world.kill(node, power=True)
        world.start(node, 0.2)
    assert world.run_while(lambda: world.head() is None, 0.55)
    after = world.head()
    assert after is not None and after.ip == before.ip


@pytest.mark.parametrize("readers", [1, 5, 20])
def test_busy_readers_and_orders_do_not_keep_each_other_waiting(readers: int) -> None:
    world = World(3, 3, 1)
    world.run(2.0)
    head = world.head()
    assert head is not None
    for _ in range(readers):
        Reader(world, head, pause_s=0.0005)
    sender = Client(world, "sender", pause_s=0.01, read_share=0.0)
    reader = Client(world, "reader", pause_s=0.01, read_share=1.0)
    world.run(5.0)
    assert len(sender.done) > 100
    assert max(took_s for _, took_s in sender.done) < 0.5
    assert reader.reads > 100
