"""Histories that the explorer found, played again on the shipped cores: none may break anything any more."""

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
    # None: it can't happen any more.
    assert played is None or not played.breaches, played.breaches
