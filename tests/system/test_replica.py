"""The chain of replicas in a calm world, and through the seeds of a troubled one."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.system.replica_chaos import play
from tests.system.replica_faults import whole_states
from tests.system.replica_scenarios import SCENARIOS
from tests.system.replica_world import Client, World

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


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scripted_races(scenario: Callable[[int], None], seed: int) -> None:
    scenario(seed)
    with whole_states():
        scenario(seed)
