"""The HTTP client against scripted servers: which responses it accepts, and which failure it reports."""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import Callable

import pytest

from cloverrouter.http.client import Address, Call, ConnectionPool, Failure
from tests.system.peers import Peer, RecordingListener, Upstream, pool, run_scenario, until

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MESSAGE = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
LARGE_BODY_BYTES = 20_000_000


def response_with_id(number: int, status: int = 200) -> bytes:
    """Encodes a response with the id of a request."""
    return b"HTTP/1.1 %d X\r\nX-Id: %d\r\nContent-Length: 2\r\n\r\nok" % (status, number)


async def send_request(
    connections: ConnectionPool, upstream: Upstream, message: bytes = MESSAGE
) -> RecordingListener:
    recorder = RecordingListener()
    connections.send(upstream.address, message, recorder)
    await recorder.finished.wait()
    return recorder


def responding_with(*answers: bytes, close: bool = False) -> Upstream:
    """Returns a server that answers each request with the next of `answers`, on any connection."""
    remaining = list(answers)

    async def script(peer: Peer) -> None:
        while remaining:
            await peer.head()
            peer.send(remaining.pop(0))
            if close:
                peer.close()
                return

    return Upstream(script)


# Responses


@pytest.mark.parametrize(
    ("answer", "status", "body", "length"),
    [
        (OK, 200, b"ok", 2),
        (CHUNKED + b"2\r\nok\r\n1;x=y\r\n!\r\n0\r\nT: v\r\n\r\n", 200, b"ok!", None),
        (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", 503, b"", 0),
        (b"HTTP/1.1 204 None\r\n\r\n", 204, b"", None),
        (b"HTTP/1.1 304 Same\r\n\r\n", 304, b"", None),
        (b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + OK, 200, b"ok", 2),
    ],
)
def test_answer_is_reported_in_order(answer: bytes, status: int, body: bytes, length: int | None) -> None:
    async def scenario() -> None:
        upstream = await responding_with(answer, answer).start()
        connections = pool()
        for _ in range(2):
            recorder = await send_request(connections, upstream)
            assert (recorder.status, recorder.body, recorder.length) == (status, body, length)
            assert recorder.events == ["written", "head"] + ["data"] * bool(body) + ["end"]
            assert (b"a", b"b") not in recorder.headers
            assert (b"t", b"v") not in recorder.headers  # a trailer
        assert connections.opened == 1
        connections.close()

    run_scenario(scenario())


def test_fields_come_as_received() -> None:
    async def scenario() -> None:
        upstream = await responding_with(
            b"HTTP/1.1 200 OK\r\nX-A:  1 \r\nx-a: 2\r\nContent-Length: 0\r\n\r\n"
        ).start()
        connections = pool()
        recorder = await send_request(connections, upstream)
        assert recorder.headers == [(b"x-a", b"1"), (b"x-a", b"2"), (b"content-length", b"0")]
        connections.close()

    run_scenario(scenario())


def test_answer_byte_by_byte() -> None:
    async def script(peer: Peer) -> None:
        await peer.head()
        for byte in CHUNKED + b"2\r\nok\r\n0\r\n\r\n":
            peer.send(bytes([byte]))
            await asyncio.sleep(0)

    async def scenario() -> None:
        upstream = await Upstream(script).start()
        connections = pool()
        recorder = await send_request(connections, upstream)
        assert recorder.body == b"ok" and recorder.failure is None
        connections.close()

    run_scenario(scenario())


def test_each_piece_is_delivered_when_it_arrives() -> None:
    async def scenario() -> None:
        upstream = await Upstream().start()
        connections, recorder = pool(), RecordingListener()
        connections.send(upstream.address, MESSAGE, recorder)
        peer = await upstream.peer()
        peer.send(CHUNKED)
        await recorder.head_received.wait()
        for number in (b"0", b"1", b"2"):
            peer.send(b"1\r\n%b\r\n" % number)
            await until(functools.partial(recorder.body_ends_with, number))
        assert not recorder.finished.is_set()
        peer.send(b"0\r\n\r\n")
        await recorder.finished.wait()
        connections.close()

    run_scenario(scenario())


def test_answer_to_head_has_no_body() -> None:
    async def scenario() -> None:
        upstream = await responding_with(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", OK).start()
        connections = pool()
        recorder = await send_request(connections, upstream, b"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n")
        assert recorder.events == ["written", "head", "end"] and recorder.length == 2
        assert (await send_request(connections, upstream)).body == b"ok"
        connections.close()

    run_scenario(scenario())


def test_answer_that_ends_with_the_connection() -> None:
    async def scenario() -> None:
        upstream = await responding_with(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody", close=True
        ).start()
        connections = pool()
        recorder = await send_request(connections, upstream)
        assert recorder.events == ["written", "head", "data", "end"] and recorder.body == b"body"
        assert connections.idle(upstream.address) == 0
        connections.close()

    run_scenario(scenario())


def test_answer_that_ends_with_the_connection_is_not_whole_after_a_reset() -> None:
    async def scenario() -> None:
        upstream = await Upstream().start()
        connections, recorder = pool(), RecordingListener()
        connections.send(upstream.address, MESSAGE, recorder)
        peer = await upstream.peer()
        peer.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody")
        await until(lambda: recorder.body == b"body")
        peer.reset()
        await recorder.finished.wait()
        assert recorder.events == ["written", "head", "data", "failure"]
        assert recorder.failure is Failure.BROKEN
        connections.close()

    run_scenario(scenario())


SPOILT = {
    "noise": b"\x00\x01\x02\r\n\r\n",
    "text": b"hello\r\n\r\n",
    "another protocol": b"SSH-2.0-x\r\n",
    "later version": b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nok",
    "bad length": b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    "two framings": CHUNKED[:-2] + b"Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "unknown coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nConnection: close\r\n\r\nok",
    "folded field": b"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 2\r\n\r\nok",
    "upgrade": b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    "status out of range": b"HTTP/1.1 99 X\r\nContent-Length: 2\r\n\r\nok",
    "head without end": b"HTTP/1.1 200 OK\r\nA: " + b"a" * 70_000,
    "interim answers without end": b"HTTP/1.1 100 Go\r\n\r\n" * 5000,
}


@pytest.mark.parametrize("name", SPOILT)
def test_invalid_answer_fails_as_spoilt_and_is_not_delivered(name: str) -> None:
    async def scenario() -> None:
        upstream = await responding_with(SPOILT[name]).start()
        connections = pool()
        recorder = await send_request(connections, upstream)
        assert recorder.events == ["written", "failure"] and recorder.failure is Failure.SPOILT
        await until(lambda: connections.open == 0)
        connections.close()

    run_scenario(scenario())


def test_bad_chunk_spoils_an_answer_that_has_begun() -> None:
    async def scenario() -> None:
        upstream = await Upstream().start()
        connections, recorder = pool(), RecordingListener()
        connections.send(upstream.address, MESSAGE, recorder)
        peer = await upstream.peer()
        peer.send(CHUNKED + b"2\r\nok\r\n")
        await recorder.head_received.wait()
        peer.send(b"1\r\n!\r\nxyz\r\n")
        await recorder.finished.wait()
        assert recorder.events == ["written", "head", "data", "failure"]
        assert recorder.failure is Failure.SPOILT
        connections.close()

    run_scenario(scenario())


def test_nothing_is_delivered_after_a_bad_chunk_in_the_first_read() -> None:
    async def scenario() -> None:
        upstream = await responding_with(CHUNKED + b"2\r\nok\r\nxyz\r\n").start()
        connections = pool()
        recorder = await send_request(connections, upstream)
        assert recorder.events == ["written", "failure"] and recorder.failure is Failure.SPOILT
        connections.close()

    run_scenario(scenario())


# Responses to other requests


@pytest.mark.parametrize(
    "answer", [response_with_id(2), OK, b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n"]
)
def test_answer_to_another_request_fails_as_spoilt_and_is_not_delivered(answer: bytes) -> None:
    async def scenario() -> None:
        upstream = await responding_with(answer).start()
        connections, recorder = pool(), RecordingListener()
        connections.send(upstream.address, MESSAGE, recorder, b"1", b"x-id")
        await recorder.finished.wait()
        assert recorder.events == ["written", "failure"] and recorder.failure is Failure.SPOILT
        await until(lambda: connections.open == 0)
        connections.close()

    run_scenario(scenario())


def test_answer_with_the_expected_id_is_accepted() -> None:
    async def scenario() -> None:
        upstream = await responding_with(response_with_id(1), response_with_id(2, 500)).start()
        connections = pool()
        for number, status in ((1, 200), (2, 500)):
            recorder = RecordingListener()
            connections.send(upstream.address, MESSAGE, recorder, b"%d" % number, b"x-id")
            await recorder.finished.wait()
            assert recorder.status == status
        assert connections.opened == 1
        connections.close()

    run_scenario(scenario())


def test_extra_answer_that_arrives_with_the_next_request_is_not_delivered() -> None:
    """The surplus response can arrive after the connection was found clean, before the next response."""

    async def scenario() -> None:
        upstream = await Upstream().start()
        connections, first, second = pool(), RecordingListener(), RecordingListener()
        connections.send(upstream.address, MESSAGE, first, b"1", b"x-id")
        peer = await upstream.peer()
        await peer.head()
        peer.send(response_with_id(1))
        await first.finished.wait()
        connections.send(upstream.address, MESSAGE, second, b"2", b"x-id")
        peer.send(response_with_id(1) + response_with_id(2))
        await second.finished.wait()
        assert second.events == ["written", "failure"] and second.failure is Failure.SPOILT
        connections.close()

    run_scenario(scenario())


@pytest.mark.parametrize("surplus", [OK, b"\x00", b"x" * 5000])
def test_surplus_behind_a_whole_answer_ends_the_connection_only(surplus: bytes) -> None:
    async def scenario() -> None:
        upstream = await responding_with(OK + surplus, OK).start()
        connections = pool()
        for _ in range(2):
            recorder = await send_request(connections, upstream)
            assert recorder.events == ["written", "head", "data", "end"] and recorder.body == b"ok"
        assert connections.opened == 2
        connections.close()

    run_scenario(scenario())


def test_unasked_bytes_on_an_idle_connection_end_it() -> None:
    async def scenario() -> None:
        upstream = await responding_with(OK).start()
        connections = pool()
        await send_request(connections, upstream)
        assert connections.idle(upstream.address) == 1
        upstream.peers[0].send(OK)
        await until(lambda: connections.open == 0)
        assert connections.idle(upstream.address) == 0
        connections.close()

    run_scenario(scenario())


def test_idle_connection_is_checked_before_it_is_reused() -> None:
    """The loop has not reported the late bytes yet when the next request is sent."""

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            connections, first, second = pool(), RecordingListener(), RecordingListener()
            loop = asyncio.get_running_loop()
            address = listener.getsockname()
            listener.setblocking(False)
            connections.send(address, MESSAGE, first)
            server, _ = await loop.sock_accept(listener)
            await loop.sock_recv(server, 1000)
            await loop.sock_sendall(server, OK)
            await first.finished.wait()
            server.send(b"late")
            call = connections.send(address, MESSAGE, second)
            assert not call.reused
            other, _ = await loop.sock_accept(listener)
            assert await loop.sock_recv(other, 1000) == MESSAGE
            await loop.sock_sendall(other, OK)
            await second.finished.wait()
            assert second.body == b"ok"
            connections.close()
            server.close()
            other.close()

    run_scenario(scenario())


@pytest.mark.parametrize("server_data", [OK, b"noise", b""])
def test_server_that_sends_or_closes_before_the_request_counts_as_not_connected(
    server_data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """On a newly established connection: no request is sent, and no response is accepted from it."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        connect, server_sockets = loop.sock_connect, []
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)

            async def connect_and_send(sock: socket.socket, address: Address) -> None:
                await connect(sock, address)
                server, _ = await loop.sock_accept(listener)
                server_sockets.append(server)
                if server_data:
                    server.send(server_data)
                else:
                    server.close()

            monkeypatch.setattr(loop, "sock_connect", connect_and_send)
            connections, recorder = pool(), RecordingListener()
            connections.send(listener.getsockname(), MESSAGE, recorder)
            await recorder.finished.wait()
            assert recorder.events == ["failure"]
            assert recorder.failure is Failure.CONNECT_FAILED
            assert connections.idle(listener.getsockname()) == 0
            connections.close()
            for server in server_sockets:
                server.close()

    run_scenario(scenario())


def test_connection_is_not_used_until_it_has_settled() -> None:
    async def scenario() -> None:
        upstream = await responding_with(OK, OK).start()
        connections = pool(settle_s=60.0)
        await send_request(connections, upstream)
        await send_request(connections, upstream)
        assert connections.opened == 2
        connections.close()

    run_scenario(scenario())


# Reuse and close of connections


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nConnection: X, Close\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
    ],
)
def test_server_that_will_close_is_not_asked_again(answer: bytes) -> None:
    async def scenario() -> None:
        upstream = await responding_with(answer, answer).start()
        connections = pool()
        await send_request(connections, upstream)
        assert connections.idle(upstream.address) == 0
        await send_request(connections, upstream)
        assert connections.opened == 2
        connections.close()

    run_scenario(scenario())


def test_idle_connections_end_before_the_server_ends_them() -> None:
    answer = b"HTTP/1.1 200 OK\r\nKeep-Alive: max=5, timeout=10\r\nContent-Length: 2\r\n\r\nok"

    async def scenario() -> None:
        upstream = await responding_with(answer, OK).start()
        connections = pool()
        await send_request(connections, upstream)
        (connection,) = connections.connections
        assert connection.expires_s - connection.idle_since == pytest.approx(7.8)
        connection.expires_s = connections.loop.time()
        await send_request(connections, upstream)
        assert connections.opened == 2
        (connection,) = connections.connections
        assert connection.expires_s - connection.idle_since == pytest.approx(60)
        connections.close()

    run_scenario(scenario())


def test_expired_idle_connections_are_closed() -> None:
    async def scenario() -> None:
        upstream = await responding_with(OK).start()
        connections = pool(idle_timeout_s=0.01)
        await send_request(connections, upstream)
        await until(lambda: connections.open == 0)
        assert await upstream.peers[0].read_to_close() == b""
        connections.close()

    run_scenario(scenario())


def test_server_that_closes_an_idle_connection_is_asked_on_a_new_one() -> None:
    async def scenario() -> None:
        upstream = await responding_with(OK, OK).start()
        connections = pool()
        await send_request(connections, upstream)
        upstream.peers[0].close()
        await until(lambda: connections.open == 0)
        assert (await send_request(connections, upstream)).body == b"ok"
        assert connections.opened == 2
        connections.close()

    run_scenario(scenario())


def test_latest_used_is_used_first() -> None:
    async def scenario() -> None:
        upstream = await Upstream().start()
        connections = pool()
        listeners = [RecordingListener() for _ in range(3)]
        for number, recorder in enumerate(listeners):
            connections.send(upstream.address, MESSAGE, recorder)
            await upstream.peer(number)
        assert connections.busy(upstream.address) == 3
        for peer, recorder in zip(upstream.peers, listeners, strict=True):
            peer.send(OK)
            await recorder.finished.wait()
        assert connections.idle(upstream.address) == 3 and connections.busy(upstream.address) == 0
        for peer in upstream.peers:
            await peer.head()
        call = connections.send(upstream.address, MESSAGE, RecordingListener())
        assert call.reused and call.written
        assert await upstream.peers[2].head() == MESSAGE
        connections.close()

    run_scenario(scenario())


def test_dropped_address_keeps_its_calls_and_loses_its_idle_connections() -> None:
    async def scenario() -> None:
        upstream, kept = await Upstream().start(), await responding_with(OK).start()
        connections, first, second = pool(), RecordingListener(), RecordingListener()
        await send_request(connections, kept)
        connections.send(upstream.address, MESSAGE, first)
        peer = await upstream.peer()
        peer.send(OK)
        await first.finished.wait()
        connections.send(upstream.address, MESSAGE, second)
        connections.keep_only({kept.address})
        peer.send(OK)
        await second.finished.wait()
        assert second.body == b"ok"
        assert connections.idle(upstream.address) == 0 and connections.idle(kept.address) == 1
        await until(lambda: connections.open == 1)
        connections.drop(kept.address)
        await until(lambda: connections.open == 0)
        connections.close()

    run_scenario(scenario())


def test_longest_idle_makes_room() -> None:
    async def scenario() -> None:
        first, second, third = (
            await responding_with(OK).start(),
            await responding_with(OK).start(),
            await responding_with(OK).start(),
        )
        connections = pool(max_connections=2)
        for upstream in (first, second, third):
            assert (await send_request(connections, upstream)).body == b"ok"
        assert [connections.idle(upstream.address) for upstream in (first, second, third)] == [0, 1, 1]
        connections.close()

    run_scenario(scenario())


# Failures


def test_connection_refused() -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
        connections, recorder = pool(), RecordingListener()
        connections.send(address, MESSAGE, recorder)
        await recorder.finished.wait()
        assert recorder.events == ["failure"] and recorder.failure is Failure.CONNECT_FAILED
        assert connections.opened == 0 and connections.busy(address) == 0
        connections.close()

    run_scenario(scenario())


def full_listener() -> tuple[socket.socket, list[socket.socket]]:
    """Returns a listener whose accept queue is full, so that connecting to it never completes."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    return listener, fillers


def test_connect_timeout() -> None:
    async def scenario() -> None:
        listener, fillers = full_listener()
        connections, recorder = pool(connect_timeout_s=0.05), RecordingListener()
        call = connections.send(listener.getsockname(), MESSAGE, recorder)
        await recorder.finished.wait()
        assert recorder.events == ["failure"] and recorder.failure is Failure.CONNECT_FAILED
        assert not call.written
        await until(lambda: connections.open == 0)
        for sock in (listener, *fillers):
            sock.close()
        connections.close()

    run_scenario(scenario())


def test_no_socket_left() -> None:
    async def scenario() -> None:
        upstream = await Upstream().start()
        connections, recorder = pool(max_connections=1), RecordingListener()
        connections.send(upstream.address, MESSAGE, RecordingListener())
        await upstream.peer()
        connections.send(upstream.address, MESSAGE, recorder)
        assert recorder.events == []  # the listener is never called from within `send`
        await recorder.finished.wait()
        assert recorder.events == ["failure"] and recorder.failure is Failure.NOT_SENT
        connections.close()

    run_scenario(scenario())


def test_request_that_is_not_wanted_any_more_does_not_go_out() -> None:
    async def scenario() -> None:
        upstream = await responding_with(OK).start()
        connections, recorder = pool(), RecordingListener()
        connections.send(upstream.address, MESSAGE, recorder, refresh=lambda: None)
        await recorder.finished.wait()
        assert recorder.events == ["failure"] and recorder.failure is Failure.NOT_SENT
        assert connections.idle(upstream.address) == 1
        assert (await send_request(connections, upstream)).body == b"ok"  # the connection is reused
        assert connections.opened == 1
        connections.close()

    run_scenario(scenario())


def test_request_is_renewed_for_a_connection_that_had_to_be_opened() -> None:
    async def scenario() -> None:
        heads = []

        async def script(peer: Peer) -> None:
            while True:
                heads.append(await peer.head())
                peer.send(OK)

        upstream = await Upstream(script).start()
        connections = pool()
        for first in (b"GET /old HTTP/1.1\r\n\r\n", b"GET /at-once HTTP/1.1\r\n\r\n"):
            recorder = RecordingListener()
            refresh = lambda: b"GET /new HTTP/1.1\r\n\r\n"  # noqa: E731
            connections.send(upstream.address, first, recorder, refresh=refresh)
            await recorder.finished.wait()
        assert [head.split()[1] for head in heads] == [b"/new", b"/at-once"]
        connections.close()

    run_scenario(scenario())


@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 200", OK[:-1], CHUNKED + b"2\r\nok\r\n"])
@pytest.mark.parametrize("end", [Peer.close, Peer.reset])
def test_connection_that_ends_before_the_answer_does_may_have_run_it(part: bytes, end: object) -> None:
    async def scenario() -> None:
        upstream = await Upstream().start()
        connections, recorder = pool(), RecordingListener()
        connections.send(upstream.address, MESSAGE, recorder)
        peer = await upstream.peer()
        await peer.head()
        if part:
            peer.send(part)
        end(peer)  # type: ignore[operator]
        await recorder.finished.wait()
        assert recorder.failure is Failure.BROKEN and recorder.events[-1] == "failure"
        await until(lambda: connections.open == 0)
        assert len(upstream.peers) == 1  # the client does not retry
        connections.close()

    run_scenario(scenario())


def test_reset_of_a_used_connection_may_have_run_it() -> None:
    async def scenario() -> None:
        upstream = await Upstream().start()
        connections, first, second = pool(), RecordingListener(), RecordingListener()
        connections.send(upstream.address, MESSAGE, first)
        peer = await upstream.peer()
        await peer.head()
        peer.send(OK)
        await first.finished.wait()
        call = connections.send(upstream.address, MESSAGE, second)
        assert call.reused and call.written
        peer.reset()
        await second.finished.wait()
        assert second.failure is Failure.BROKEN and len(upstream.peers) == 1
        connections.close()

    run_scenario(scenario())


def test_server_that_closes_a_new_connection_at_once_has_not_run_it() -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            connections, recorder = pool(), RecordingListener()

            def accept_and_reset() -> None:
                sock, _ = listener.accept()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                sock.close()

            loop = asyncio.get_running_loop()
            loop.add_reader(listener, accept_and_reset)
            connections.send(listener.getsockname(), MESSAGE, recorder)
            await recorder.finished.wait()
            loop.remove_reader(listener)
            assert recorder.events == ["failure"] and recorder.failure is Failure.CONNECT_FAILED
            connections.close()

    run_scenario(scenario())


def narrow_listener() -> socket.socket:
    """Returns a listener with a small receive buffer, so that a large request cannot be sent completely."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen(4)
    listener.setblocking(False)
    return listener


LARGE = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (
    LARGE_BODY_BYTES,
    b"a" * LARGE_BODY_BYTES,
)


async def half_sent(
    recorder: RecordingListener, expected_id: bytes = b""
) -> tuple[ConnectionPool, Call, Peer]:
    """Starts a large request of which only a part can be sent."""
    listener = narrow_listener()
    connections = pool()
    call = connections.send(listener.getsockname(), LARGE, recorder, expected_id, b"x-id")
    sock, _ = await asyncio.get_running_loop().sock_accept(listener)
    peer = Peer(*await asyncio.open_connection(sock=sock))
    await peer.head()
    listener.close()
    assert not call.written
    return connections, call, peer


@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 100 Go\r\n\r\n", b"HTTP/1.1 200 OK\r\n"])
@pytest.mark.parametrize("end", [Peer.close, Peer.reset])
def test_half_a_request_may_have_run(part: bytes, end: Callable[[Peer], None]) -> None:
    """A server may begin before it has read the whole body: a connection that breaks then proves nothing."""

    async def scenario() -> None:
        recorder = RecordingListener()
        connections, call, peer = await half_sent(recorder)
        if part:
            peer.send(part)
        end(peer)
        await recorder.finished.wait()
        assert recorder.events == ["failure"] and recorder.failure is Failure.BROKEN
        assert call.begun and not call.written
        connections.close()

    run_scenario(scenario())


def test_last_byte_of_a_large_request_is_reported() -> None:
    async def scenario() -> None:
        recorder = RecordingListener()
        connections, call, peer = await half_sent(recorder)
        assert len(await peer.reader.readexactly(LARGE_BODY_BYTES)) == LARGE_BODY_BYTES
        await recorder.written.wait()
        assert call.written
        peer.send(OK)
        await recorder.finished.wait()
        assert recorder.events == ["written", "head", "data", "end"]
        connections.close()

    run_scenario(scenario())


def test_refusal_before_the_whole_request_counts_and_ends_the_connection() -> None:
    async def scenario() -> None:
        recorder = RecordingListener()
        connections, _, peer = await half_sent(recorder)
        peer.send(b"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n")
        await recorder.finished.wait()
        assert recorder.events == ["head", "end"] and recorder.status == 413
        await until(lambda: connections.open == 0)
        connections.close()

    run_scenario(scenario())


def test_refusal_that_has_begun_before_the_whole_request_is_no_lack_of_a_connection() -> None:
    async def scenario() -> None:
        recorder = RecordingListener()
        connections, _, peer = await half_sent(recorder)
        peer.send(b"HTTP/1.1 413 Large\r\nContent-Length: 10\r\n\r\n")
        await recorder.head_received.wait()
        peer.reset()
        await recorder.finished.wait()
        assert recorder.events == ["head", "failure"] and recorder.failure is Failure.BROKEN
        connections.close()

    run_scenario(scenario())


def test_success_before_the_whole_request_is_its_answer_and_ends_the_connection() -> None:
    """Guards against reporting a request that a server answered early as not executed."""

    async def scenario() -> None:
        recorder = RecordingListener()
        connections, call, peer = await half_sent(recorder, b"7")
        peer.send(response_with_id(7))
        await recorder.finished.wait()
        assert recorder.events == ["head", "data", "end"]
        assert (recorder.status, recorder.body) == (200, b"ok") and not call.written
        await until(lambda: connections.open == 0)  # the server gets no other bytes in place of the rest
        connections.close()

    run_scenario(scenario())


def test_success_before_the_whole_request_that_ends_with_the_connection() -> None:
    async def scenario() -> None:
        recorder = RecordingListener()
        connections, _, peer = await half_sent(recorder, b"7")
        peer.send(b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\nok")
        await recorder.head_received.wait()
        peer.half_close()
        await recorder.finished.wait()
        assert recorder.body == b"ok" and recorder.failure is None
        connections.close()

    run_scenario(scenario())


@pytest.mark.parametrize(("expected_id", "answer"), [(b"", OK), (b"7", OK), (b"7", response_with_id(6))])
def test_success_before_the_whole_request_that_does_not_name_it_is_rejected(
    expected_id: bytes, answer: bytes
) -> None:
    """It may be an extra answer to an earlier request. This one may have run all the same."""

    async def scenario() -> None:
        recorder = RecordingListener()
        connections, _, peer = await half_sent(recorder, expected_id)
        peer.send(answer)
        await recorder.finished.wait()
        assert recorder.events == ["failure"] and recorder.failure is Failure.SPOILT
        connections.close()

    run_scenario(scenario())


def test_error_after_the_request_was_sent_is_not_a_failed_connect() -> None:
    """An exception in the task that opens a connection counts by what the task had sent until then."""

    async def scenario() -> None:
        upstream = await Upstream().start()
        connections, recorder = pool(), RecordingListener()

        def fail() -> None:
            raise RuntimeError("a listener that fails")

        recorder.on_written = fail  # type: ignore[method-assign]
        connections.send(upstream.address, MESSAGE, recorder)
        await recorder.finished.wait()
        assert recorder.failure is Failure.BROKEN
        connections.close()

    run_scenario(scenario())


def test_connection_has_a_user_timeout() -> None:
    async def scenario() -> None:
        upstream = await Upstream().start()
        connections = pool(user_timeout_s=3.0)
        connections.send(upstream.address, MESSAGE, RecordingListener())
        await upstream.peer()
        await until(lambda: connections.connections)
        (connection,) = connections.connections
        timeout = connection._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert timeout == 3000
        assert connection._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        connections.close()

    run_scenario(scenario())


def test_close_fails_the_calls_in_flight() -> None:
    async def scenario() -> None:
        listener, fillers = full_listener()
        upstream = await Upstream().start()
        connections, sent, waiting = pool(), RecordingListener(), RecordingListener()
        connections.send(upstream.address, MESSAGE, sent)
        connections.send(listener.getsockname(), MESSAGE, waiting)
        await sent.written.wait()
        connections.close()
        await waiting.finished.wait()
        assert sent.failure is Failure.BROKEN and waiting.failure is Failure.NOT_SENT
        await until(lambda: connections.open == 0)
        for sock in (listener, *fillers):
            sock.close()

    run_scenario(scenario())


# Cancellation and backpressure


def test_cancel_while_waiting_for_the_answer_closes_the_connection() -> None:
    async def scenario() -> None:
        upstream = await Upstream().start()
        connections, recorder = pool(), RecordingListener()
        call = connections.send(upstream.address, MESSAGE, recorder)
        peer = await upstream.peer()
        assert await peer.head() == MESSAGE
        call.cancel()
        assert await peer.read_to_close() == b""
        await until(lambda: connections.open == 0)
        assert recorder.events == ["written"] and call.done
        assert connections.busy(upstream.address) == 0
        call.cancel()
        call.pause()
        call.resume()
        connections.close()

    run_scenario(scenario())


def test_cancel_while_connecting_sends_nothing_and_keeps_the_connection() -> None:
    async def scenario() -> None:
        upstream = await responding_with(OK).start()
        connections, recorder = pool(), RecordingListener()
        connections.send(upstream.address, MESSAGE, recorder).cancel()
        assert connections.busy(upstream.address) == 0
        await until(lambda: connections.idle(upstream.address) == 1)
        assert (await send_request(connections, upstream)).body == b"ok"
        assert connections.opened == 1 and recorder.events == []
        connections.close()

    run_scenario(scenario())


@pytest.mark.parametrize("at", ["head", "data"])
def test_cancel_from_within_a_callback_ends_the_events(at: str) -> None:
    class CancellingListener(RecordingListener):
        call: Call

        def on_head(self, *what: object) -> None:
            self.events.append("head")
            if at == "head":
                self.call.cancel()
                self.finished.set()

        def on_data(self, data: bytes) -> None:
            self.events.append("data")
            self.call.cancel()
            self.finished.set()

    async def scenario() -> None:
        upstream = await responding_with(OK).start()
        connections, canceller = pool(), CancellingListener()
        canceller.call = connections.send(upstream.address, MESSAGE, canceller)
        await canceller.finished.wait()
        await until(lambda: connections.open == 0)
        assert canceller.events[-1] == at and len(canceller.events) == (2 if at == "head" else 3)
        connections.close()

    run_scenario(scenario())


def test_call_started_in_on_end_reuses_the_connection() -> None:
    async def scenario() -> None:
        upstream = await responding_with(OK, OK).start()
        connections, second = pool(), RecordingListener()
        calls = []

        class ResendingListener(RecordingListener):
            def on_end(self) -> None:
                calls.append(connections.send(upstream.address, MESSAGE, second))

        connections.send(upstream.address, MESSAGE, ResendingListener())
        await second.finished.wait()
        assert calls[0].reused and second.body == b"ok" and connections.opened == 1
        connections.close()

    run_scenario(scenario())


def test_back_pressure_reaches_the_server() -> None:
    async def scenario() -> None:
        upstream = await Upstream().start()
        connections, recorder = pool(), RecordingListener()
        call = connections.send(upstream.address, MESSAGE, recorder)
        peer = await upstream.peer()
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BODY_BYTES)
        await recorder.head_received.wait()
        call.pause()
        call.pause()
        peer.send(b"a" * LARGE_BODY_BYTES)
        drained = asyncio.ensure_future(peer.writer.drain())
        await asyncio.sleep(0)
        assert not drained.done() and len(recorder.body) < LARGE_BODY_BYTES
        call.resume()
        await recorder.finished.wait()
        assert len(recorder.body) == LARGE_BODY_BYTES and recorder.events[-1] == "end"
        peer.send(b"late")  # shows that reading has resumed
        await until(lambda: connections.open == 0)
        await drained
        connections.close()

    run_scenario(scenario())
