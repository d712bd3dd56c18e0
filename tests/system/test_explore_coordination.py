"""Explorer of the replica models: shipped cores pass, seeded faults are found, and histories replay."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import pytest

from cloverrouter.coordination.messages import Heartbeat
from cloverrouter.explore import model_trace
from cloverrouter.explore.coordination.canon import Baseline, TemplateCache
from cloverrouter.explore.coordination.cores import CoreStates
from cloverrouter.explore.coordination.deviations import Bounds
from cloverrouter.explore.coordination.effects import INVARIANTS
from cloverrouter.explore.coordination.faults import FAULTS
from cloverrouter.explore.coordination.model import ReplicaModel
from cloverrouter.explore.coordination.scopes import SCOPES
from cloverrouter.explore.coordination.search import Action, Limits, Result, play, search
from cloverrouter.explore.coordination.situations import SITUATIONS, named
from cloverrouter.explore.model_trace import FORM, SavedTrace
from cloverrouter.explore.models import MODELS
from tests import command_line

LONG_S = 600.0  # bounded searches end before this limit
QUICK_FAULTS = (
    "promise-before-disk",
    "identity-kept-by-an-empty-disk",
    "number-of-the-state-wrong",
    "epoch-stored-before-the-state",
    "chain-of-one",
    "acknowledged-before-disk",
    "committed-without-the-tail",
    "sure-for-too-long",
    "the-proposer-keeps-its-own-state",
)


def search_scope(scope: str) -> Result:
    found = SCOPES[scope]
    return search(found.model(), replace(found.limits, seconds=LONG_S))


@pytest.mark.parametrize(("scope", "least"), [("coordination-small", 5_000), ("coordination-loss", 1_500)])
def test_the_shipped_replicas_are_clean(scope: str, least: int) -> None:
    result = search_scope(scope)
    assert result.trace is None, result.trace
    assert result.ended_by == "bound" and result.left == 0
    assert result.deviations == SCOPES[scope].limits.deviations
    assert result.states >= least


@pytest.mark.parametrize("name", QUICK_FAULTS)
def test_a_seeded_fault_is_found_saved_and_replayed(name: str, tmp_path: Path) -> None:
    fault = FAULTS[name]
    with fault.seeded():
        trace = search_scope(fault.scope).trace
    assert trace is not None
    assert trace.breach.partition(":")[0] in fault.shows
    path = tmp_path / "found.json"
    model_trace.write(SavedTrace(FORM, fault.scope, name, trace.breach, trace.start, trace.steps), path)
    saved = model_trace.read(path)
    with fault.seeded():
        again = play(MODELS[saved.scope].model(), saved.start, saved.steps)
    assert again is not None and trace.breach in again.breaches and again.steps == len(saved.steps)
    # In the shipped code the same history is impossible or violates no invariant.
    clean = play(MODELS[saved.scope].model(), saved.start, saved.steps)
    assert clean is None or not clean.breaches


def test_the_command_line_saves_and_replays(tmp_path: Path) -> None:
    path = tmp_path / "found.json"
    code, output = command_line.run("explore", "--fault", "acknowledged-before-disk", "--save", str(path))
    assert code == 1
    assert "BROKEN  told:" in output and "the invariant:" in output
    code, output = command_line.run("explore", "--replay", str(path))
    assert code == 1
    assert "BROKEN  told:" in output


def test_a_fault_belongs_to_its_scopes() -> None:
    code, output = command_line.run("explore", "--scope", "small", "--fault", "chain-of-one")
    assert code == 2
    assert "chain-of-one" in output


def test_faults_and_scopes_are_described() -> None:
    assert len(FAULTS) >= 8
    assert all(fault.text and set(fault.shows) <= set(INVARIANTS) for fault in FAULTS.values())
    assert all(fault.scope in SCOPES for fault in FAULTS.values())
    assert all(scope.text for scope in SCOPES.values())


@pytest.mark.parametrize("name", SITUATIONS)
def test_each_situation_is_reached_and_becomes_stable(name: str) -> None:
    """Without deviations no invariant breaks, and the world becomes stable: its states repeat."""
    model = ReplicaModel(named(name), Bounds(seeds=(0, 1, 2)), ("x", "y", "z"))
    result = search(model, Limits(deviations=0, age=200, seconds=LONG_S))
    assert result.trace is None, result.trace
    assert result.ended_by == "bound" and result.states < 1_000


def test_two_searches_return_the_same_result() -> None:
    one, other = (search_scope("coordination-loss") for _ in range(2))
    one.seconds = other.seconds = 0.0
    assert one == other


def test_time_bounds_a_search() -> None:
    ticks = iter(range(1_000_000))
    scope = SCOPES["coordination-small"]
    result = search(scope.model(), replace(scope.limits, seconds=3.0), clock=lambda: float(next(ticks)))
    assert result.ended_by == "time" and result.left > 0 and result.deviations < 1


def test_a_state_reached_with_a_lower_age_is_expanded_again() -> None:
    """Two paths lead to the same state; only the one with the lower age stays in bounds up to the breach."""

    class TwoPaths:
        def initial(self) -> Sequence[tuple[str, tuple[str, int]]]:
            return [("start", ("start", 0))]

        def actions(self, state: tuple[str, int]) -> Sequence[Action]:
            return {
                "start": [Action("slow"), Action("quick", 1)],
                "met": [Action("on")],
                "end": [],
            }[state[0]]

        def apply(self, state: tuple[str, int], action: Action) -> tuple[str, int]:
            age = state[1]
            return {"slow": ("met", 5), "quick": ("met", 1), "on": ("end", age + 2)}[action.label]

        def key(self, state: tuple[str, int]) -> str:
            return state[0]

        def age(self, state: tuple[str, int]) -> int:
            return state[1]

        def breaches(self, state: tuple[str, int]) -> list[str]:
            return ["end: it is reached"] if state == ("end", 3) else []

    result = search(TwoPaths(), Limits(deviations=1, age=5))
    assert result.trace is not None and result.trace.steps == ("quick", "on")
    assert search(TwoPaths(), Limits(deviations=0, age=5)).trace is None


def test_relative_numbers_one_apart_have_different_keys() -> None:
    """-1 and -2 have the same hash in Python, so no relative number may be negative."""
    cores = CoreStates()
    cache = TemplateCache(cores)
    beats = [Heartbeat("a", "b", 5 << 16, number, True, 0, 0, False) for number in (7, 8, 9)]
    templates = [cache.interned(beat) for beat in beats]
    base = Baseline(templates, lambda ticket: None)
    assert len({hash(base.resolve(one)) for one in templates}) == len(beats)
