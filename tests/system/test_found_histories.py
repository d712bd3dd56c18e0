"""Replays histories of fixed bugs that the explorer found: none may violate an invariant any more."""

from __future__ import annotations

from pathlib import Path

import pytest

from cloverrouter.explore import model_trace
from cloverrouter.explore.coordination.search import play
from cloverrouter.explore.models import MODELS

HISTORIES = Path(__file__).parent / "histories"


@pytest.mark.parametrize("name", ["two-first-views"])
def test_a_history_that_was_found_breaks_nothing(name: str) -> None:
    found = model_trace.read(HISTORIES / f"{name}.json")
    played = play(MODELS[found.scope].model(), found.start, found.steps)
    # None: a step of the history is no longer possible.
    assert played is None or not played.breaches, played.breaches
