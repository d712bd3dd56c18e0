"""What the pages say of connections, with real ones: clients that leave, early answers, unframed ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

import pytest

from tests.system.peers import Peer, run_scenario, until
from tests.system.wire_world import WireWorld, head, request

AT_MOST_S = 0.5
EVENT = b"id: 1\ndata: word\n\n"
EVENTS_HEAD = head(200, b"t1", b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked")
LARGE = b"x" * 20_000_000
LEAVING = [Peer.close, Peer.reset, Peer.half_close]


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def ends_soon(peer: Peer) -> None:
    """The server sees its connection end in time, and nothing more comes on it."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    with suppress(ConnectionResetError):
        assert await peer.read_to_close() == b""
    assert loop.time() - began < AT_MOST_S


async def all_that_comes(peer: Peer) -> bytes:
    """Until its end, orderly or not."""
    found = []
    with suppress(ConnectionResetError):
        while data := await peer.reader.read(1 << 20):
            found.append(data)
    return b"".join(found)


# GONE


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("path", ["/once/x", "/again/x", "/talk/x"])
def test_a_server_at_work_is_let_go_when_the_client_leaves(path: str, leave: Callable[[Peer], None]) -> None:
    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request(path, b"t1"))
        server = await world.upstream.peer()
        await server.head()
        leave(client)
        await ends_soon(server)
        assert world.router.in_flight == 0 and len(world.upstream.peers) == 1
        world.close()

    run_scenario(scene())


@pytest.mark.parametrize("leave", LEAVING)
@pytest.mark.parametrize("path", ["/talk/x", "/resume/x"])
def test_a_stream_is_called_off_when_the_client_leaves(path: str, leave: Callable[[Peer], None]) -> None:
    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request(path, b"t1"))
        server = await world.upstream.peer()
        await server.head()
        server.send(EVENTS_HEAD + chunk(EVENT))
        await client.reader.readuntil(EVENT)
        leave(client)
        await ends_soon(server)
        assert world.router.in_flight == 0 and len(world.upstream.peers) == 1
        world.close()

    run_scenario(scene())


@pytest.mark.parametrize("leave", LEAVING)
def test_a_client_that_leaves_with_more_requests_behind_is_seen_to(leave: Callable[[Peer], None]) -> None:
    """So many that nothing more is read of it while the first is at work."""

    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(b"".join(request("/again/x", b"t%d" % number) for number in range(1, 30)))
        server = await world.upstream.peer()
        await server.head()
        await until(lambda: world.server.reading_paused)
        leave(client)
        await ends_soon(server)
        await until(lambda: world.server.connections == 0)
        assert len(world.upstream.peers) == 1 and world.router.in_flight == 0
        world.close()

    run_scenario(scene())


@pytest.mark.parametrize("leave", LEAVING)
def test_a_client_that_leaves_without_reading_its_answer_is_seen_to(leave: Callable[[Peer], None]) -> None:
    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request("/talk/x", b"t1"))
        server = await world.upstream.peer()
        await server.head()
        server.send(EVENTS_HEAD + chunk(LARGE))
        await until(lambda: world.stuck)
        leave(client)
        await ends_soon(server)
        assert world.router.in_flight == 0
        world.close()

    run_scenario(scene())


# UNASKED: a server that answers before it has read a long body, and reads on


def test_behind_an_early_answer_the_rest_of_the_body_goes_on_or_the_connection_ends() -> None:
    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request("/once/x", b"t1", LARGE))
        server = await world.upstream.peer()
        read = await server.head()
        server.send(head(503, b"t1", b"Cypresswinch-Not-Executed: 1", b"Content-Length: 0"))
        assert (await client.answer())[0] == 503
        client.send(request("/once/x", b"t2"))
        other = await world.upstream.peer(1)
        assert b"cypresswinch-attempt-id: t2\r\n" in await other.head()
        rest = await all_that_comes(server)
        assert read.startswith(b"POST /once/x HTTP/1.1\r\n") and LARGE.startswith(rest)
        assert len(rest) < len(LARGE)  # else this has shown nothing
        world.close()

    run_scenario(scene())


def test_behind_an_early_answer_the_next_request_follows_the_whole_body() -> None:
    """A body that has left this process goes on by itself: the connection may be used again."""

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
        again = await server.head()
        assert b"cypresswinch-attempt-id: t2\r\n" in again
        assert await server.reader.readexactly(4) == b"next"
        world.close()

    run_scenario(scene())


# MIXED: answers without a length


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
        came = await all_that_comes(client)
        assert came.startswith(b"HTTP/1.1 200 ") and came.count(b"z") == size
        assert came.endswith(b"0\r\n\r\n") or b"Content-Length: %d\r\n" % size in came
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
            await until(lambda: world.heard)
        server.reset()
        came = await all_that_comes(client)
        assert not came.endswith(b"0\r\n\r\n") and not came.startswith(b"HTTP/1.1 200")
        world.close()

    run_scenario(scene())


@pytest.mark.parametrize("path", ["/talk/x", "/resume/x"])
@pytest.mark.parametrize("kept", [0, 1, 9, len(EVENT) - 1, len(EVENT), len(EVENT) + 5, 2 * len(EVENT)])
def test_events_that_end_with_their_connection_are_whole_only_behind_a_whole_event(
    path: str, kept: int
) -> None:
    """A server that breaks off inside an event may do so by an orderly end."""

    async def scene() -> None:
        world = await WireWorld().start()
        client = await world.client()
        client.send(request(path, b"t1", close=True))
        server = await world.upstream.peer()
        await server.head()
        body = (EVENT + EVENT.replace(b"1", b"2"))[:kept]
        server.send(head(200, b"t1", b"Connection: close", b"Content-Type: text/event-stream") + body)
        server.close()
        came = await all_that_comes(client)
        is_whole = kept in (len(EVENT), 2 * len(EVENT))
        assert came.endswith(b"0\r\n\r\n") == is_whole
        assert is_whole or path == "/talk/x" or came.count(b"data:") == came.count(b"word\n\n")
        world.close()

    run_scenario(scene())
