"""The clock that drives a node's cores, and when the node polls signals."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.daemon.node import Node


def test_an_error_in_one_tick_does_not_stop_the_clock() -> None:
    scheduled: list[object] = []

    def fail(now: float) -> None:
        raise ValueError("of a core")

    node: Any = SimpleNamespace(
        _poll_signals=lambda: None,
        _control=SimpleNamespace(tick=fail),
        _loop=SimpleNamespace(time=lambda: 1.0, call_later=lambda _, call: scheduled.append(call)),
        _tick="the next",
    )
    with pytest.raises(ValueError, match="of a core"):
        Node._tick(node)
    assert scheduled == ["the next"]


def test_a_process_that_was_frozen_when_told_to_end_ends_in_its_grace_period() -> None:
    """The platform counts from the signal, which arrived at some time since the last poll."""
    times = iter([10.0, 15.0, 15.0, 15.0])
    signals = SimpleNamespace(stop_requested=False, consume_reload_request=lambda: False)
    node: Any = Node.__new__(Node)
    node._loop = SimpleNamespace(time=lambda: next(times), call_later=lambda *_: None)
    node._control = SimpleNamespace(tick=lambda now: None)
    node._signals, node._stop_deadline, node._stopping = signals, math.inf, asyncio.Event()
    node._settings = SimpleNamespace(bounds=SimpleNamespace(grace_period_s=8.0))
    node._traffic = SimpleNamespace(router=SimpleNamespace(begin_shutdown=lambda ends_at: None))
    node._tick()
    signals.stop_requested = True  # the signal arrives just after the tick, while the process is frozen
    node._tick()
    assert node._stop_deadline <= 10.0 + 8.0
