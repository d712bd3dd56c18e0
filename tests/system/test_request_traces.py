"""Traces and logs of requests: each attempt, how it ended, and the answer to the client."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import eliot
import pytest

from cloverrouter.cli import logtree
from cloverrouter.daemon import logs, request_traces
from cloverrouter.daemon.logs import Log
from cloverrouter.daemon.request_traces import RequestTraces
from cloverrouter.http.client import Failure
from tests.system.router_world import SIGNED, ScriptedExchange, World, event


def traced_world(level: str = "errors") -> tuple[World, RequestTraces]:
    world = World().set_up()
    traces = RequestTraces(world.clock, Log(level, "edge-1"))
    world.router.recorder = traces
    return world, traces


def id_of(exchange: ScriptedExchange) -> str:
    name = exchange.request.header(b"cypresswinch-attempt-id")
    assert name is not None
    return name.decode()


def steps(traces: RequestTraces, exchange: ScriptedExchange) -> list[tuple[str, Any]]:
    trace = traces.find(id_of(exchange))
    assert trace is not None
    return [(step["step"], step["detail"]) for step in trace["steps"]]


def test_an_answered_request() -> None:
    world, traces = traced_world()
    exchange = world.ask("/once/x")
    instance = world.last.instance
    world.clock.pass_ms(250)
    world.last.answer(200, SIGNED, body=b"x")
    assert steps(traces, exchange) == [
        ("sent", instance),
        ("attempt-ended", "answered"),
        ("ended", 200),
    ]
    trace = traces.find(id_of(exchange))
    assert trace is not None and trace["tenant"] == "a"
    assert [step["at-ms"] for step in trace["steps"]] == [0, 250, 250]


def test_a_request_that_was_sent_twice() -> None:
    world, traces = traced_world()
    exchange = world.ask("/again/x")
    world.last.fail(Failure.CONNECT_FAILED)
    world.last.answer(200, SIGNED, body=b"x")
    recorded_steps = steps(traces, exchange)
    assert [step for step, _ in recorded_steps] == ["sent", "attempt-ended", "sent", "attempt-ended", "ended"]
    assert recorded_steps[1][1] == "unreached" and recorded_steps[0][1] != recorded_steps[2][1]


def test_a_client_that_left() -> None:
    world, traces = traced_world()
    exchange = world.ask("/once/x")
    exchange.leave()
    assert steps(traces, exchange)[1:] == [("attempt-ended", "given up"), ("ended", "client left, no answer")]


def test_a_stream() -> None:
    world, traces = traced_world()
    exchange = world.ask("/talk/x")
    world.last.stream(event(1))
    world.last.end()
    assert [step for step, _ in steps(traces, exchange)] == ["sent", "flowing", "attempt-ended", "ended"]


def test_only_the_newest_are_remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_traces, "MAX_TRACES", 2)
    world, traces = traced_world()
    exchanges = [world.ask("/once/x") for _ in range(3)]
    assert [traces.find(id_of(exchange)) is not None for exchange in exchanges] == [False, True, True]
    assert traces.find("never") is None


@pytest.fixture
def written(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[dict[str, Any]]]:
    messages: list[dict[str, Any]] = []
    monkeypatch.setattr(logs, "_loaded", [eliot])
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


def test_below_the_level_nothing_is_written(written: list[dict[str, Any]]) -> None:
    world, _ = traced_world("changes")
    world.ask("/once/x")
    world.last.answer(200, SIGNED, body=b"x")
    assert written == []


def test_at_the_level_a_request_is_one_tree(written: list[dict[str, Any]]) -> None:
    world, _ = traced_world("requests")
    exchange, other = world.ask("/again/x"), world.ask("/nowhere")
    world.calls[0].fail(Failure.CONNECT_FAILED)
    world.last.answer(200, SIGNED, body=b"x")
    records = [logtree.Record(m["task_uuid"], tuple(m["task_level"]), m["timestamp"], m) for m in written]
    (task,) = logtree.tasks(records, id_of(exchange))
    _, request, first, second = logtree.tree(task)
    assert "request" in request and "succeeded" in request and "status=200" in request
    assert "how=unreached" in first and "how=answered" in second
    (task,) = logtree.tasks(records, id_of(other))
    assert "turned-away" in logtree.tree(task)[1] and "status=404" in logtree.tree(task)[1]


IDS = ["ल".encode(), "स".encode(), b"\xe9", "é".encode(), b"\xff", b"\xfe", b"?"]


def test_ids_in_any_bytes_are_told_apart() -> None:
    """Ids outside Latin-1 were looked up as question marks, and others under another spelling."""
    world, traces = traced_world()
    for request_id in IDS:
        world.ask("/once/x", attempt_id=request_id)
        world.clock.pass_ms(1000)
    found = [traces.find(request_id.decode("utf-8", "surrogateescape")) for request_id in IDS]
    assert [trace and trace["age-s"] for trace in found] == list(range(len(IDS), 0, -1))
    assert traces.find("ह") is None


def test_the_log_has_ids_as_clients_wrote_them(written: list[dict[str, Any]]) -> None:
    _, traces = traced_world("requests")
    for request_id in IDS:
        traces.turned_away(request_id, 404)
    assert [each["attempt_id"] for each in written] == ["ल", "स", "\\xe9", "é", "\\xff", "\\xfe", "?"]
