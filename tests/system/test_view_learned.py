"""A process follows the newest view that it has heard of, whoever tells it an older one."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.coordination.sampling_messages import ViewSummary, VoterPlace
from cloverrouter.daemon.control_plane import ControlPlane


def summary(epoch: int, active: bool, head: str) -> ViewSummary:
    return ViewSummary(epoch, active, head, (VoterPlace(head, f"disk-{head}", "a"),), 0)


def plane(known: ViewSummary) -> Any:
    """A process that knows a view; whatever it would do with another one fails."""
    return SimpleNamespace(summary=known, _settings=SimpleNamespace(ip="10.0.0.9"))


def test_an_older_view_is_not_taken() -> None:
    known = summary(7, True, "10.0.0.1")
    for older in (summary(6, True, "10.0.0.2"), summary(7, False, "10.0.0.1"), summary(0, True, "10.0.0.3")):
        found = plane(known)
        try:
            ControlPlane._view_learned(found, 1.0, older)
        except AttributeError as error:
            raise AssertionError("an older view is followed") from error
        assert found.summary is known


def test_a_newer_view_is_taken() -> None:
    found = plane(summary(7, True, "10.0.0.1"))
    with pytest.raises(AttributeError):
        ControlPlane._view_learned(found, 1.0, summary(8, True, "10.0.0.2"))
    assert found.summary.epoch == 8
