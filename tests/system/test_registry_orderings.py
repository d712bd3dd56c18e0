"""Every ordering of one server's calls at three machines: its state never goes back, and all converge."""

from __future__ import annotations

from unittest.mock import patch

import attrs

from cloverrouter.control import instance_table
from cloverrouter.control.instances import Instance, InstanceState, merge
from cloverrouter.explore.coordination.registry_model import Calls, RegistryWorld
from cloverrouter.explore.coordination.search import Limits, Result, search
from cloverrouter.explore.coordination.world_model import WorldModel

LONG_S = 600.0  # the bounds below end the search before this
READY_AND_GONE = Calls((InstanceState.READY, InstanceState.GONE), max_steps=0)


def explored(deviations: int, states: int = 1_000_000) -> Result:
    model = WorldModel({"all empty": lambda: RegistryWorld(READY_AND_GONE)})
    return search(model, Limits(deviations=deviations, states=states, seconds=LONG_S))


def test_gone_stays_gone_in_every_ordering() -> None:
    result = explored(deviations=0)
    assert result.trace is None, result.trace
    assert (result.ended_by, result.left) == ("bound", 0)
    assert result.states > 1000


def test_gone_stays_gone_also_after_a_restart_or_a_loss() -> None:
    """Searches only the first 2000 states with one deviation, not all of them."""
    result = explored(deviations=1, states=2000)
    assert result.trace is None, result.trace
    assert result.ended_by == "states"


def newest_wins(one: Instance, other: Instance) -> Instance:
    """A seeded fault: the state comes from the newest call instead of being the highest one seen."""
    newer = other if other.sequence >= one.sequence else one
    return attrs.evolve(merge(one, other), state=newer.state)


def test_the_search_finds_an_instance_that_comes_back() -> None:
    with patch.object(instance_table, "merge", newest_wins):
        result = explored(deviations=1)
    assert result.trace is not None
    assert result.trace.breach.partition(":")[0] in ("back", "stale", "differ", "storm")
