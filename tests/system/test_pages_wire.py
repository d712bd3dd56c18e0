"""The documented rules for connections, with real sockets: clients that leave, early answers, and answers
without a length."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

import pytest

from tests.system.peers import Peer, run_scenario, until
from tests.system.wire_world import WireWorld, head, request

MAX_DELAY_S = 0.5
EVENT = b"id: 1\ndata: word\n\n"
EVENTS_HEAD = head(200, b"t1", b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked")
LARGE_BODY = b"x" * 20_000_000
LEAVING = [Peer.close, Peer.reset, Peer.half_close]


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def assert_ends_soon(peer: Peer) -> None:
    """Checks that the server sees its connection end in time, with no more data on it."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    with suppress(ConnectionResetError):
        assert await peer.read_to_close() == b""
    assert loop.time() - started_at < MAX_DELAY_S


async def read_to_end(peer: Peer) -> bytes:
    """Reads until the connection ends, whether by a close or by a reset."""
    parts = []
    with suppress(ConnectionResetError):
        while data := await peer.reader.read(1 << 20):
            parts.append(data)
    return b"".join(parts)


# Clients that leave


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("path", ["/once/x", "/again/x", "/talk/x"])
def test_the_server_connection_ends_when_the_client_leaves(path: str, leave: Callable[[Peer], None]) -> None:
    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request(path, b"t1"))
        server = await world.upstream.peer()
        await server.head()
        leave(client)
        await assert_ends_soon(server)
        assert world.router.in_flight == 0 and len(world.upstream.peers) == 1
        world.close()

    run_scenario(scene())


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("path", ["/talk/x", "/resume/x"])
def test_a_stream_is_cancelled_when_the_client_leaves(path: str, leave: Callable[[Peer], None]) -> None:
    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request(path, b"t1"))
        server = await world.upstream.peer()
        await server.head()
        server.send(EVENTS_HEAD + chunk(EVENT))
        await client.reader.readuntil(EVENT)
        leave(client)
        await assert_ends_soon(server)
        assert world.router.in_flight == 0 and len(world.upstream.peers) == 1
        world.close()

    run_scenario(scene())


@pytest.mark.parametrize("leave", LEAVING)
def test_a_client_that_leaves_with_pipelined_requests_is_noticed(leave: Callable[[Peer], None]) -> None:
    """There are so many that the proxy reads no more from the client while the first is in progress."""

    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(b"".join(request("/again/x", b"t%d" % number) for number in range(1, 30)))
        server = await world.upstream.peer()
        await server.head()
        await until(lambda: world.server.reading_paused)
        leave(client)
        await assert_ends_soon(server)
        await until(lambda: world.server.connections == 0)
        assert len(world.upstream.peers) == 1 and world.router.in_flight == 0
        world.close()

    run_scenario(scene())


@pytest.mark.parametrize("leave", LEAVING)
def test_a_client_that_leaves_without_reading_its_answer_is_noticed(leave: Callable[[Peer], None]) -> None:
    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request("/talk/x", b"t1"))
        server = await world.upstream.peer()
        await server.head()
        server.send(EVENTS_HEAD + chunk(LARGE_BODY))
        await until(lambda: world.has_blocked_client)
        leave(client)
        await assert_ends_soon(server)
        assert world.router.in_flight == 0
        world.close()

    run_scenario(scene())


# Servers that answer before they have read a long body, and keep reading


def test_behind_an_early_answer_the_rest_of_the_body_goes_on_or_the_connection_ends() -> None:
    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request("/once/x", b"t1", LARGE_BODY))
        server = await world.upstream.peer()
        read = await server.head()
        server.send(head(503, b"t1", b"Cypresswinch-Not-Executed: 1", b"Content-Length: 0"))
        assert (await client.answer())[0] == 503
        client.send(request("/once/x", b"t2"))
        other = await world.upstream.peer(1)
        assert b"cypresswinch-attempt-id: t2\r\n" in await other.head()
        rest = await read_to_end(server)
        assert read.startswith(b"POST /once/x HTTP/1.1\r\n") and LARGE_BODY.startswith(rest)
        assert len(rest) < len(LARGE_BODY)  # otherwise the body was not cut off
        world.close()

    run_scenario(scene())


def test_behind_an_early_answer_the_next_request_follows_the_whole_body() -> None:
    """A body that was already written to the kernel is sent in any case, so the connection can be reused."""

    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        body = bytes(range(256)) * 200
        client.send(request("/once/x", b"t1", body))
        server = await world.upstream.peer()
        await server.head()
        server.send(head(404, b"t1", b"Content-Length: 0"))
        assert (await client.answer())[0] == 404
        client.send(request("/once/x", b"t2", b"next"))
        assert await server.reader.readexactly(len(body)) == body
        next_head = await server.head()
        assert b"cypresswinch-attempt-id: t2\r\n" in next_head
        assert await server.reader.readexactly(4) == b"next"
        world.close()

    run_scenario(scene())


# Answers without a length


@pytest.mark.parametrize("path", ["/once/x", "/talk/x"])
@pytest.mark.parametrize("size", [10, 400_000])
def test_an_answer_that_ends_with_its_connection_is_whole_after_a_close(path: str, size: int) -> None:
    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request(path, b"t1", close=True))
        server = await world.upstream.peer()
        await server.head()
        server.send(head(200, b"t1", b"Connection: close") + b"z" * size)
        server.close()
        received = await read_to_end(client)
        assert received.startswith(b"HTTP/1.1 200 ") and received.count(b"z") == size
        assert received.endswith(b"0\r\n\r\n") or b"Content-Length: %d\r\n" % size in received
        world.close()

    run_scenario(scene())


@pytest.mark.parametrize("path", ["/once/x", "/talk/x"])
@pytest.mark.parametrize("events", [False, True])
@pytest.mark.parametrize("size", [10, 400_000])
def test_an_answer_that_is_reset_on_the_way_is_never_whole(path: str, events: bool, size: int) -> None:
    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request(path, b"t1", close=True))
        server = await world.upstream.peer()
        await server.head()
        kind = [b"Content-Type: text/event-stream"] if events else []
        body = EVENT * (size // len(EVENT) + 1) if events else b"z" * size
        server.send(head(200, b"t1", b"Connection: close", *kind) + body)
        if events or size > 200_000:
            await client.reader.readexactly(1)
        else:
            await until(lambda: world.has_answer_data)
        server.reset()
        received = await read_to_end(client)
        assert not received.endswith(b"0\r\n\r\n") and not received.startswith(b"HTTP/1.1 200")
        world.close()

    run_scenario(scene())


@pytest.mark.parametrize("path", ["/talk/x", "/resume/x"])
@pytest.mark.parametrize("sent_bytes", [0, 1, 9, len(EVENT) - 1, len(EVENT), len(EVENT) + 5, 2 * len(EVENT)])
def test_events_that_end_with_their_connection_are_whole_only_behind_a_whole_event(
    path: str, sent_bytes: int
) -> None:
    """A server that breaks off inside an event may close its connection cleanly."""

    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request(path, b"t1", close=True))
        server = await world.upstream.peer()
        await server.head()
        body = (EVENT + EVENT.replace(b"1", b"2"))[:sent_bytes]
        server.send(head(200, b"t1", b"Connection: close", b"Content-Type: text/event-stream") + body)
        server.close()
        received = await read_to_end(client)
        is_whole = sent_bytes in (len(EVENT), 2 * len(EVENT))
        assert received.endswith(b"0\r\n\r\n") == is_whole
        assert is_whole or path == "/talk/x" or received.count(b"data:") == received.count(b"word\n\n")
        world.close()

    run_scenario(scene())
