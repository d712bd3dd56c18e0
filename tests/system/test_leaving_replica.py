"""A process that was told to exit keeps running while its vote is needed."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.daemon.control_plane import ControlPlane
from cloverrouter.daemon.node import Node


@pytest.mark.parametrize("may_end", [True, False])
def test_a_process_whose_vote_is_waited_for_is_busy(may_end: bool) -> None:
    role: Any = SimpleNamespace(replica=SimpleNamespace(may_end=may_end))
    plane: Any = SimpleNamespace(role=role)
    control: Any = SimpleNamespace(pending_calls=0, may_end=ControlPlane.may_end.fget(plane))  # type: ignore[attr-defined]
    node: Any = SimpleNamespace(_frontend=None, _control=control)
    assert Node._is_busy(node) is not may_end


def test_a_machine_without_a_disk_holds_up_nothing() -> None:
    plane: Any = SimpleNamespace(role=None)
    assert ControlPlane.may_end.fget(plane)  # type: ignore[attr-defined]
