"""A process follows the newest membership view that it knows, and ignores older ones from any sender."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.coordination.sampling_messages import ViewSummary, VoterAddress
from cloverrouter.daemon.control_plane import ControlPlane


def summary(epoch: int, active: bool, head: str) -> ViewSummary:
    return ViewSummary(epoch, active, head, (VoterAddress(head, f"disk-{head}", "a"),), 0)


def plane(known: ViewSummary) -> Any:
    """A stub of the control plane that knows a view. Following another one raises AttributeError."""
    return SimpleNamespace(summary=known, _settings=SimpleNamespace(ip="10.0.0.9"))


def test_an_older_view_is_not_followed() -> None:
    known = summary(7, True, "10.0.0.1")
    for older in (summary(6, True, "10.0.0.2"), summary(7, False, "10.0.0.1"), summary(0, True, "10.0.0.3")):
        process = plane(known)
        try:
            ControlPlane._view_learned(process, 1.0, older)
        except AttributeError as error:
            raise AssertionError("an older view is followed") from error
        assert process.summary is known


def test_a_newer_view_is_followed() -> None:
    process = plane(summary(7, True, "10.0.0.1"))
    with pytest.raises(AttributeError):
        ControlPlane._view_learned(process, 1.0, summary(8, True, "10.0.0.2"))
    assert process.summary.epoch == 8
