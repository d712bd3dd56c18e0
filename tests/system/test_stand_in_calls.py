"""Calls of the test doubles to a fleet: failover, redirects, heartbeat endpoints, choice of a frontend."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from cloverrouter.lab.fleet import deployment, registration
from cloverrouter.lab.fleet.control_calls import ControlCaller, NoDefinitiveAnswer
from cloverrouter.lab.fleet.judge import Judge
from cloverrouter.lab.fleet.model_server import ModelServer
from cloverrouter.lab.fleet.platform import NodeEndpoint, Platform
from cloverrouter.lab.fleet.registration import Registration
from cloverrouter.lab.fleet.wire import (
    ConnectionCut,
    EventParser,
    WireError,
    read_body,
    read_head,
    render,
)

Reply = tuple[int, list[tuple[str, str]]]


class ScriptedNode:
    """Answers each call with the next reply of its script, and with 200 after the last."""

    def __init__(self, *script: Reply) -> None:
        self.script = list(script)
        self.bodies: list[Any] = []
        self.address = ""

    async def __aenter__(self) -> ScriptedNode:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await read_head(reader)
        assert head is not None
        body = await read_body(reader, head, is_answer=False)
        self.bodies.append(json.loads(body) if body else None)
        status, headers = self.script.pop(0) if self.script else (200, [])
        raw = b"{}"
        for name, value in headers:
            raw = value.encode() if name == "body" else raw
        lines = [(name, value) for name, value in headers if name != "body"]
        writer.write(render(f"HTTP/1.1 {status} X", [*lines, ("Content-Length", str(len(raw)))], raw))
        writer.close()


def run_scenario(scenario: Callable[..., Awaitable[None]], *nodes: ScriptedNode) -> None:
    async def go() -> None:
        async with contextlib.AsyncExitStack() as stack:
            for node in nodes:
                await stack.enter_async_context(node)
            await scenario(*nodes)

    asyncio.run(go())


def test_an_order_is_retried_until_a_definitive_answer() -> None:
    async def scenario(one: ScriptedNode, other: ScriptedNode) -> None:
        caller = ControlCaller([one.address, other.address], 1)
        answer = await caller.call_until_definitive("PUT", "/-/configuration", {"version": 1})
        assert answer.status == 200
        assert sorted((len(one.bodies), len(other.bodies))) == [2, 3]  # four retryable answers, alternating
        assert {json.dumps(body) for body in (*one.bodies, *other.bodies)} == {'{"version": 1}'}

    run_scenario(scenario, ScriptedNode((503, []), (500, [])), ScriptedNode((429, []), (408, [])))


@pytest.mark.parametrize(("status", "calls"), [(400, 1), (409, 1), (412, 1), (413, 1), (422, 1), (404, 3)])
def test_what_ends_an_order(status: int, calls: int) -> None:
    async def scenario(node: ScriptedNode) -> None:
        answer = await ControlCaller([node.address], 1).call_until_definitive("PUT", "/x", {})
        assert answer.status == status and len(node.bodies) == calls

    run_scenario(scenario, ScriptedNode(*[(status, [])] * 5))


def test_two_redirects_are_followed() -> None:
    async def scenario(one: ScriptedNode, other: ScriptedNode) -> None:
        one.script = [(307, [("Location", f"http://{other.address}/y")])] * 2
        other.script = [(307, [("Location", f"http://{other.address}/z")])]
        answer = await ControlCaller([one.address], 1).call_until_definitive("PUT", "/x", {"a": 1})
        assert answer.status == 200 and other.bodies == [{"a": 1}] * 2

    run_scenario(scenario, ScriptedNode(), ScriptedNode())


def test_a_missing_definitive_answer_reports_the_last_failure() -> None:
    async def scenario(node: ScriptedNode) -> None:
        with pytest.raises(NoDefinitiveAnswer, match=r"no definitive answer within 0\.2 s; last: .* 503"):
            await ControlCaller([node.address], 1).call_until_definitive("GET", "/x", within_s=0.2)

    run_scenario(scenario, ScriptedNode(*[(503, [])] * 99))


def test_heartbeats_keep_to_the_endpoint_until_it_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(registration, "RETRY_PAUSE_S", 0.0)

    async def scenario(one: ScriptedNode, other: ScriptedNode) -> None:
        one.script = [(200, [("body", json.dumps({"heartbeat-endpoint": other.address}))])]
        other.script = [(200, [("body", json.dumps({"heartbeat-endpoint": other.address}))]), (503, [])]
        server = ModelServer(deployment.server(deployment.DESK_SERVICE, 9, "127.31.9"), Judge(), float, 1)
        announcer = Registration(server, [one.address], 1.0, Judge(), 1)
        for _ in range(3):
            assert await announcer._announce(within_s=5)
        assert [body["sequence-number"] for body in one.bodies] == [1, 3]
        assert [body["sequence-number"] for body in other.bodies] == [2, 3]
        assert one.bodies[0]["lifecycle-state"] == "ready" and one.bodies[0]["capacity"] == 6

    run_scenario(scenario, ScriptedNode(), ScriptedNode())


def platform_with(*inside: bool) -> Platform:
    zones = ["a", "a", "a", "b"]
    made = [
        NodeEndpoint(f"n{n}", zones[n], f"f{n}", f"r{n}", is_ready=is_ready)
        for n, is_ready in enumerate(inside)
    ]
    return Platform(made, 1)


@pytest.mark.parametrize(
    ("inside", "wanted"),
    [
        ((True, True, False, True), {"f0", "f1"}),
        ((False, True, False, True), {"f0", "f1", "f2"}),  # fewer than half of the zone are ready
        (
            (False, False, False, True),
            {"f0", "f1", "f2", "f3"},
        ),  # none in the zone, fewer than half of all
        ((False, False, False, False), {"f0", "f1", "f2", "f3"}),
    ],
)
def test_choice_of_the_frontend(inside: tuple[bool, ...], wanted: set[str]) -> None:
    platform = platform_with(*inside)
    assert {platform.frontend("a") for _ in range(99)} == wanted


def test_events_split_anywhere() -> None:
    raw = b"id: 1\ndata: x y\n\nversions: 2\nid: 2\ndata: z\n\n"
    for cut in range(len(raw) + 1):
        parser = EventParser()
        events = [*parser.feed(raw[:cut]), *parser.feed(raw[cut:])]
        assert [(event.event_id, event.data) for event in events] == [(1, "x y"), (2, "z")]
        assert not parser.has_partial_event
    with pytest.raises(WireError, match="no event"):
        EventParser().feed(b"data: x\n\n")


@pytest.mark.parametrize(
    ("raw", "error"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nhell", ConnectionCut),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", ConnectionCut),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", ConnectionCut),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", WireError),
        (b"nonsense\r\n\r\n", WireError),
    ],
)
def test_a_truncated_message_is_an_error(raw: bytes, error: type[WireError]) -> None:
    async def go() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(raw)
        reader.feed_eof()
        head = await read_head(reader)
        assert head is not None
        await read_body(reader, head, is_answer=True)

    with pytest.raises(error):
        asyncio.run(go())


@pytest.mark.parametrize("how", list(registration.Departure))
def test_a_server_that_departs_serves_on(how: registration.Departure) -> None:
    async def go() -> None:
        judge = Judge()
        async with ScriptedNode((503, []), (200, [])) as node:
            spec = deployment.server(deployment.DESK_SERVICE, 1, "127.31.238")
            server = ModelServer(spec, judge, lambda: 7.0, 1)
            await server.start()
            leaving = Registration(server, [node.address], 1.0, judge, 1)
            assert await leaving.depart(how, within_s=2.0)
            states = [body and body["lifecycle-state"] for body in node.bodies]
            assert states == ["draining"] * 2 if how is registration.Departure.DRAIN else [None] * 2
            assert judge.drained == {spec.instance_id: 7.0}
            server.abort()

    asyncio.run(go())
