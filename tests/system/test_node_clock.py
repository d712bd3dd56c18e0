"""The clock of a node's cores."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.daemon.node import Node


def test_an_error_in_one_tick_does_not_stop_the_clock() -> None:
    later: list[object] = []

    def fail(now: float) -> None:
        raise ValueError("of a core")

    node: Any = SimpleNamespace(
        _take_signals=lambda: None,
        _control=SimpleNamespace(tick=fail),
        _loop=SimpleNamespace(time=lambda: 1.0, call_later=lambda _, call: later.append(call)),
        _tick="the next",
    )
    with pytest.raises(ValueError, match="of a core"):
        Node._tick(node)
    assert later == ["the next"]


def test_a_process_that_was_frozen_when_told_to_end_ends_in_its_grace_period() -> None:
    """The platform counts from the signal, which came at some time since the last look."""
    times = iter([10.0, 15.0, 15.0, 15.0])
    told = SimpleNamespace(told_to_end=False, settings_changed=lambda: False)
    node: Any = Node.__new__(Node)
    node._loop = SimpleNamespace(time=lambda: next(times), call_later=lambda *_: None)
    node._control = SimpleNamespace(tick=lambda now: None)
    node._signals, node._ends_at, node._stopping = told, math.inf, asyncio.Event()
    node._settings = SimpleNamespace(bounds=SimpleNamespace(grace_period_s=8.0))
    node._traffic = SimpleNamespace(router=SimpleNamespace(leave=lambda ends_at: None))
    node._tick()
    told.told_to_end = True  # while it is frozen, just after that
    node._tick()
    assert node._ends_at <= 10.0 + 8.0
