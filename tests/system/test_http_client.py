"""The HTTP client against scripted servers: what becomes an answer, and what each other end is told as."""

from __future__ import annotations

import asyncio
import functools
import socket

import pytest

from cloverrouter.http.client import Address, Call, ConnectionPool, Failure
from tests.system.peers import Answered, Peer, Upstream, play, pool, until

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MESSAGE = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
MANY = 20_000_000


def own(number: int, status: int = 200) -> bytes:
    return b"HTTP/1.1 %d X\r\nX-Id: %d\r\nContent-Length: 2\r\n\r\nok" % (status, number)


async def ask(connections: ConnectionPool, upstream: Upstream, message: bytes = MESSAGE) -> Answered:
    answered = Answered()
    connections.send(upstream.address, message, answered)
    await answered.over.wait()
    return answered


def saying(*answers: bytes, close: bool = False) -> Upstream:
    """Answers each request with the next of `answers`, on any connection."""
    left = list(answers)

    async def script(peer: Peer) -> None:
        while left:
            await peer.head()
            peer.send(left.pop(0))
            if close:
                peer.close()
                return

    return Upstream(script)


# Answers


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
def test_answer_is_told_in_order(answer: bytes, status: int, body: bytes, length: int | None) -> None:
    async def scene() -> None:
        upstream = await saying(answer, answer).start()
        connections = pool()
        for _ in range(2):
            answered = await ask(connections, upstream)
            assert (answered.status, answered.body, answered.length) == (status, body, length)
            assert answered.told == ["written", "head"] + ["data"] * bool(body) + ["end"]
            assert (b"a", b"b") not in answered.headers
            assert (b"t", b"v") not in answered.headers  # a trailer
        assert connections.opened == 1
        connections.close()

    play(scene())


def test_fields_come_as_received() -> None:
    async def scene() -> None:
        upstream = await saying(b"HTTP/1.1 200 OK\r\nX-A:  1 \r\nx-a: 2\r\nContent-Length: 0\r\n\r\n").start()
        connections = pool()
        answered = await ask(connections, upstream)
        assert answered.headers == [(b"x-a", b"1"), (b"x-a", b"2"), (b"content-length", b"0")]
        connections.close()

    play(scene())


def test_answer_byte_by_byte() -> None:
    async def script(peer: Peer) -> None:
        await peer.head()
        for byte in CHUNKED + b"2\r\nok\r\n0\r\n\r\n":
            peer.send(bytes([byte]))
            await asyncio.sleep(0)

    async def scene() -> None:
        upstream = await Upstream(script).start()
        connections = pool()
        answered = await ask(connections, upstream)
        assert answered.body == b"ok" and answered.failure is None
        connections.close()

    play(scene())


def test_each_piece_is_told_when_it_comes() -> None:
    async def scene() -> None:
        upstream = await Upstream().start()
        connections, answered = pool(), Answered()
        connections.send(upstream.address, MESSAGE, answered)
        peer = await upstream.peer()
        peer.send(CHUNKED)
        await answered.begun.wait()
        for number in (b"0", b"1", b"2"):
            peer.send(b"1\r\n%b\r\n" % number)
            await until(functools.partial(answered.ends_with, number))
        assert not answered.over.is_set()
        peer.send(b"0\r\n\r\n")
        await answered.over.wait()
        connections.close()

    play(scene())


def test_answer_to_head_has_no_body() -> None:
    async def scene() -> None:
        upstream = await saying(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", OK).start()
        connections = pool()
        answered = await ask(connections, upstream, b"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n")
        assert answered.told == ["written", "head", "end"] and answered.length == 2
        assert (await ask(connections, upstream)).body == b"ok"
        connections.close()

    play(scene())


def test_answer_that_ends_with_the_connection() -> None:
    async def scene() -> None:
        upstream = await saying(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody", close=True).start()
        connections = pool()
        answered = await ask(connections, upstream)
        assert answered.told == ["written", "head", "data", "end"] and answered.body == b"body"
        assert connections.idle(upstream.address) == 0
        connections.close()

    play(scene())


def test_answer_that_ends_with_the_connection_is_not_whole_after_a_reset() -> None:
    async def scene() -> None:
        upstream = await Upstream().start()
        connections, answered = pool(), Answered()
        connections.send(upstream.address, MESSAGE, answered)
        peer = await upstream.peer()
        peer.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody")
        await until(lambda: answered.body == b"body")
        peer.reset()
        await answered.over.wait()
        assert answered.told == ["written", "head", "data", "failure"]
        assert answered.failure is Failure.BROKEN
        connections.close()

    play(scene())


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
def test_what_is_no_answer_is_spoilt_and_nothing_of_it_told(name: str) -> None:
    async def scene() -> None:
        upstream = await saying(SPOILT[name]).start()
        connections = pool()
        answered = await ask(connections, upstream)
        assert answered.told == ["written", "failure"] and answered.failure is Failure.SPOILT
        await until(lambda: connections.open == 0)
        connections.close()

    play(scene())


def test_bad_chunk_spoils_an_answer_that_has_begun() -> None:
    async def scene() -> None:
        upstream = await Upstream().start()
        connections, answered = pool(), Answered()
        connections.send(upstream.address, MESSAGE, answered)
        peer = await upstream.peer()
        peer.send(CHUNKED + b"2\r\nok\r\n")
        await answered.begun.wait()
        peer.send(b"1\r\n!\r\nxyz\r\n")
        await answered.over.wait()
        assert answered.told == ["written", "head", "data", "failure"]
        assert answered.failure is Failure.SPOILT
        connections.close()

    play(scene())


def test_bad_chunk_in_the_first_read_leaves_nothing_to_tell() -> None:
    async def scene() -> None:
        upstream = await saying(CHUNKED + b"2\r\nok\r\nxyz\r\n").start()
        connections = pool()
        answered = await ask(connections, upstream)
        assert answered.told == ["written", "failure"] and answered.failure is Failure.SPOILT
        connections.close()

    play(scene())


# Answers to other requests


@pytest.mark.parametrize(
    "answer", [own(2), OK, b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n"]
)
def test_answer_to_another_request_is_spoilt_and_nothing_of_it_told(answer: bytes) -> None:
    async def scene() -> None:
        upstream = await saying(answer).start()
        connections, answered = pool(), Answered()
        connections.send(upstream.address, MESSAGE, answered, b"1", b"x-id")
        await answered.over.wait()
        assert answered.told == ["written", "failure"] and answered.failure is Failure.SPOILT
        await until(lambda: connections.open == 0)
        connections.close()

    play(scene())


def test_own_answer_with_its_id_is_taken() -> None:
    async def scene() -> None:
        upstream = await saying(own(1), own(2, 500)).start()
        connections = pool()
        for number, status in ((1, 200), (2, 500)):
            answered = Answered()
            connections.send(upstream.address, MESSAGE, answered, b"%d" % number, b"x-id")
            await answered.over.wait()
            assert answered.status == status
        assert connections.opened == 1
        connections.close()

    play(scene())


def test_extra_answer_that_comes_with_the_next_request_reaches_nobody() -> None:
    """It may come after the connection was found clean, before the next answer."""

    async def scene() -> None:
        upstream = await Upstream().start()
        connections, first, second = pool(), Answered(), Answered()
        connections.send(upstream.address, MESSAGE, first, b"1", b"x-id")
        peer = await upstream.peer()
        await peer.head()
        peer.send(own(1))
        await first.over.wait()
        connections.send(upstream.address, MESSAGE, second, b"2", b"x-id")
        peer.send(own(1) + own(2))
        await second.over.wait()
        assert second.told == ["written", "failure"] and second.failure is Failure.SPOILT
        connections.close()

    play(scene())


@pytest.mark.parametrize("surplus", [OK, b"\x00", b"x" * 5000])
def test_surplus_behind_a_whole_answer_ends_the_connection_only(surplus: bytes) -> None:
    async def scene() -> None:
        upstream = await saying(OK + surplus, OK).start()
        connections = pool()
        for _ in range(2):
            answered = await ask(connections, upstream)
            assert answered.told == ["written", "head", "data", "end"] and answered.body == b"ok"
        assert connections.opened == 2
        connections.close()

    play(scene())


def test_unasked_bytes_on_an_idle_connection_end_it() -> None:
    async def scene() -> None:
        upstream = await saying(OK).start()
        connections = pool()
        await ask(connections, upstream)
        assert connections.idle(upstream.address) == 1
        upstream.peers[0].send(OK)
        await until(lambda: connections.open == 0)
        assert connections.idle(upstream.address) == 0
        connections.close()

    play(scene())


def test_idle_connection_is_looked_at_before_it_is_used() -> None:
    """The loop has not told of these bytes when the next request goes out."""

    async def scene() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            connections, first, second = pool(), Answered(), Answered()
            loop = asyncio.get_running_loop()
            address = listener.getsockname()
            listener.setblocking(False)
            connections.send(address, MESSAGE, first)
            server, _ = await loop.sock_accept(listener)
            await loop.sock_recv(server, 1000)
            await loop.sock_sendall(server, OK)
            await first.over.wait()
            server.send(b"late")
            call = connections.send(address, MESSAGE, second)
            assert not call.reused
            other, _ = await loop.sock_accept(listener)
            assert await loop.sock_recv(other, 1000) == MESSAGE
            await loop.sock_sendall(other, OK)
            await second.over.wait()
            assert second.body == b"ok"
            connections.close()
            server.close()
            other.close()

    play(scene())


@pytest.mark.parametrize("said", [OK, b"noise", b""])
def test_server_that_speaks_or_closes_before_it_is_asked_has_not_been_asked(
    said: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """On a connection that has just come up: nothing goes out there, and no answer is taken from it."""

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        connect, held = loop.sock_connect, []
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)

            async def connect_and_hear(sock: socket.socket, address: Address) -> None:
                await connect(sock, address)
                server, _ = await loop.sock_accept(listener)
                held.append(server)
                if said:
                    server.send(said)
                else:
                    server.close()

            monkeypatch.setattr(loop, "sock_connect", connect_and_hear)
            connections, answered = pool(), Answered()
            connections.send(listener.getsockname(), MESSAGE, answered)
            await answered.over.wait()
            assert answered.told == ["failure"]
            assert answered.failure is Failure.CONNECT_FAILED
            assert connections.idle(listener.getsockname()) == 0
            connections.close()
            for server in held:
                server.close()

    play(scene())


def test_connection_is_not_used_until_it_has_settled() -> None:
    async def scene() -> None:
        upstream = await saying(OK, OK).start()
        connections = pool(settle_s=60.0)
        await ask(connections, upstream)
        await ask(connections, upstream)
        assert connections.opened == 2
        connections.close()

    play(scene())


# Connections that go on and that don't


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
    async def scene() -> None:
        upstream = await saying(answer, answer).start()
        connections = pool()
        await ask(connections, upstream)
        assert connections.idle(upstream.address) == 0
        await ask(connections, upstream)
        assert connections.opened == 2
        connections.close()

    play(scene())


def test_idle_connections_end_before_the_server_ends_them() -> None:
    answer = b"HTTP/1.1 200 OK\r\nKeep-Alive: max=5, timeout=10\r\nContent-Length: 2\r\n\r\nok"

    async def scene() -> None:
        upstream = await saying(answer, OK).start()
        connections = pool()
        await ask(connections, upstream)
        (connection,) = connections.connections
        assert connection.expires_s - connection.idle_since == pytest.approx(7.8)
        connection.expires_s = connections.loop.time()
        await ask(connections, upstream)
        assert connections.opened == 2
        (connection,) = connections.connections
        assert connection.expires_s - connection.idle_since == pytest.approx(60)
        connections.close()

    play(scene())


def test_idle_connections_are_swept_away() -> None:
    async def scene() -> None:
        upstream = await saying(OK).start()
        connections = pool(idle_timeout_s=0.01)
        await ask(connections, upstream)
        await until(lambda: connections.open == 0)
        assert await upstream.peers[0].rest() == b""
        connections.close()

    play(scene())


def test_server_that_closes_an_idle_connection_is_asked_on_a_new_one() -> None:
    async def scene() -> None:
        upstream = await saying(OK, OK).start()
        connections = pool()
        await ask(connections, upstream)
        upstream.peers[0].close()
        await until(lambda: connections.open == 0)
        assert (await ask(connections, upstream)).body == b"ok"
        assert connections.opened == 2
        connections.close()

    play(scene())


def test_latest_used_is_used_first() -> None:
    async def scene() -> None:
        upstream = await Upstream().start()
        connections = pool()
        listeners = [Answered() for _ in range(3)]
        for number, answered in enumerate(listeners):
            connections.send(upstream.address, MESSAGE, answered)
            await upstream.peer(number)
        assert connections.busy(upstream.address) == 3
        for peer, answered in zip(upstream.peers, listeners, strict=True):
            peer.send(OK)
            await answered.over.wait()
        assert connections.idle(upstream.address) == 3 and connections.busy(upstream.address) == 0
        for peer in upstream.peers:
            await peer.head()
        call = connections.send(upstream.address, MESSAGE, Answered())
        assert call.reused and call.written
        assert await upstream.peers[2].head() == MESSAGE
        connections.close()

    play(scene())


def test_dropped_address_keeps_its_calls_and_loses_its_idle_connections() -> None:
    async def scene() -> None:
        upstream, kept = await Upstream().start(), await saying(OK).start()
        connections, first, second = pool(), Answered(), Answered()
        await ask(connections, kept)
        connections.send(upstream.address, MESSAGE, first)
        peer = await upstream.peer()
        peer.send(OK)
        await first.over.wait()
        connections.send(upstream.address, MESSAGE, second)
        connections.keep_only({kept.address})
        peer.send(OK)
        await second.over.wait()
        assert second.body == b"ok"
        assert connections.idle(upstream.address) == 0 and connections.idle(kept.address) == 1
        await until(lambda: connections.open == 1)
        connections.drop(kept.address)
        await until(lambda: connections.open == 0)
        connections.close()

    play(scene())


def test_longest_idle_makes_room() -> None:
    async def scene() -> None:
        first, second, third = await saying(OK).start(), await saying(OK).start(), await saying(OK).start()
        connections = pool(max_connections=2)
        for upstream in (first, second, third):
            assert (await ask(connections, upstream)).body == b"ok"
        assert [connections.idle(upstream.address) for upstream in (first, second, third)] == [0, 1, 1]
        connections.close()

    play(scene())


# Failures


def test_nobody_listens() -> None:
    async def scene() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
        connections, answered = pool(), Answered()
        connections.send(address, MESSAGE, answered)
        await answered.over.wait()
        assert answered.told == ["failure"] and answered.failure is Failure.CONNECT_FAILED
        assert connections.opened == 0 and connections.busy(address) == 0
        connections.close()

    play(scene())


def full_listener() -> tuple[socket.socket, list[socket.socket]]:
    """A listener whose queue is full: connecting to it never comes up."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    return listener, fillers


def test_connection_that_never_comes_up() -> None:
    async def scene() -> None:
        listener, fillers = full_listener()
        connections, answered = pool(connect_timeout_s=0.05), Answered()
        call = connections.send(listener.getsockname(), MESSAGE, answered)
        await answered.over.wait()
        assert answered.told == ["failure"] and answered.failure is Failure.CONNECT_FAILED
        assert not call.written
        await until(lambda: connections.open == 0)
        for sock in (listener, *fillers):
            sock.close()
        connections.close()

    play(scene())


def test_no_socket_left() -> None:
    async def scene() -> None:
        upstream = await Upstream().start()
        connections, answered = pool(max_connections=1), Answered()
        connections.send(upstream.address, MESSAGE, Answered())
        await upstream.peer()
        connections.send(upstream.address, MESSAGE, answered)
        assert answered.told == []  # never from within the call
        await answered.over.wait()
        assert answered.told == ["failure"] and answered.failure is Failure.NOT_SENT
        connections.close()

    play(scene())


def test_request_that_is_not_wanted_any_more_does_not_go_out() -> None:
    async def scene() -> None:
        upstream = await saying(OK).start()
        connections, answered = pool(), Answered()
        connections.send(upstream.address, MESSAGE, answered, renewed=lambda: None)
        await answered.over.wait()
        assert answered.told == ["failure"] and answered.failure is Failure.NOT_SENT
        assert connections.idle(upstream.address) == 1
        assert (await ask(connections, upstream)).body == b"ok"  # the connection serves the next
        assert connections.opened == 1
        connections.close()

    play(scene())


def test_request_is_renewed_for_a_connection_that_had_to_be_opened() -> None:
    async def scene() -> None:
        seen = []

        async def script(peer: Peer) -> None:
            while True:
                seen.append(await peer.head())
                peer.send(OK)

        upstream = await Upstream(script).start()
        connections = pool()
        for first in (b"GET /old HTTP/1.1\r\n\r\n", b"GET /at-once HTTP/1.1\r\n\r\n"):
            answered = Answered()
            renewed = lambda: b"GET /new HTTP/1.1\r\n\r\n"  # noqa: E731
            connections.send(upstream.address, first, answered, renewed=renewed)
            await answered.over.wait()
        assert [head.split()[1] for head in seen] == [b"/new", b"/at-once"]
        connections.close()

    play(scene())


@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 200", OK[:-1], CHUNKED + b"2\r\nok\r\n"])
@pytest.mark.parametrize("end", [Peer.close, Peer.reset])
def test_connection_that_ends_before_the_answer_does_may_have_run_it(part: bytes, end: object) -> None:
    async def scene() -> None:
        upstream = await Upstream().start()
        connections, answered = pool(), Answered()
        connections.send(upstream.address, MESSAGE, answered)
        peer = await upstream.peer()
        await peer.head()
        if part:
            peer.send(part)
        end(peer)  # type: ignore[operator]
        await answered.over.wait()
        assert answered.failure is Failure.BROKEN and answered.told[-1] == "failure"
        await until(lambda: connections.open == 0)
        assert len(upstream.peers) == 1  # and is not sent again here
        connections.close()

    play(scene())


def test_reset_of_a_used_connection_may_have_run_it() -> None:
    async def scene() -> None:
        upstream = await Upstream().start()
        connections, first, second = pool(), Answered(), Answered()
        connections.send(upstream.address, MESSAGE, first)
        peer = await upstream.peer()
        await peer.head()
        peer.send(OK)
        await first.over.wait()
        call = connections.send(upstream.address, MESSAGE, second)
        assert call.reused and call.written
        peer.reset()
        await second.over.wait()
        assert second.failure is Failure.BROKEN and len(upstream.peers) == 1
        connections.close()

    play(scene())


def test_server_that_closes_a_new_connection_at_once_has_not_run_it() -> None:
    async def scene() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            connections, answered = pool(), Answered()

            def accept_and_reset() -> None:
                sock, _ = listener.accept()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                sock.close()

            loop = asyncio.get_running_loop()
            loop.add_reader(listener, accept_and_reset)
            connections.send(listener.getsockname(), MESSAGE, answered)
            await answered.over.wait()
            loop.remove_reader(listener)
            assert answered.told == ["failure"] and answered.failure is Failure.CONNECT_FAILED
            connections.close()

    play(scene())


def narrow_listener() -> socket.socket:
    """A listener whose connections take in little: a large request to it does not get out whole."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen(4)
    listener.setblocking(False)
    return listener


LARGE = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (MANY, b"a" * MANY)


async def half_sent(answered: Answered) -> tuple[ConnectionPool, Call, Peer]:
    listener = narrow_listener()
    connections = pool()
    call = connections.send(listener.getsockname(), LARGE, answered)
    sock, _ = await asyncio.get_running_loop().sock_accept(listener)
    peer = Peer(*await asyncio.open_connection(sock=sock))
    await peer.head()
    listener.close()
    assert not call.written
    return connections, call, peer


def test_half_a_request_has_not_run() -> None:
    async def scene() -> None:
        answered = Answered()
        connections, call, peer = await half_sent(answered)
        peer.reset()
        await answered.over.wait()
        assert answered.told == ["failure"] and answered.failure is Failure.CONNECT_FAILED
        assert not call.written
        connections.close()

    play(scene())


def test_last_byte_of_a_large_request_is_told() -> None:
    async def scene() -> None:
        answered = Answered()
        connections, call, peer = await half_sent(answered)
        assert len(await peer.reader.readexactly(MANY)) == MANY
        await answered.written.wait()
        assert call.written
        peer.send(OK)
        await answered.over.wait()
        assert answered.told == ["written", "head", "data", "end"]
        connections.close()

    play(scene())


def test_refusal_before_the_whole_request_counts_and_ends_the_connection() -> None:
    async def scene() -> None:
        answered = Answered()
        connections, _, peer = await half_sent(answered)
        peer.send(b"HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n")
        await answered.over.wait()
        assert answered.told == ["head", "end"] and answered.status == 413
        await until(lambda: connections.open == 0)
        connections.close()

    play(scene())


def test_refusal_that_has_begun_before_the_whole_request_is_no_lack_of_a_connection() -> None:
    async def scene() -> None:
        answered = Answered()
        connections, _, peer = await half_sent(answered)
        peer.send(b"HTTP/1.1 413 Large\r\nContent-Length: 10\r\n\r\n")
        await answered.begun.wait()
        peer.reset()
        await answered.over.wait()
        assert answered.told == ["head", "failure"] and answered.failure is Failure.BROKEN
        connections.close()

    play(scene())


def test_success_before_the_whole_request_is_none() -> None:
    async def scene() -> None:
        answered = Answered()
        connections, _, peer = await half_sent(answered)
        peer.send(OK)
        await answered.over.wait()
        assert answered.told == ["failure"]
        connections.close()

    play(scene())


def test_peer_that_is_dead_is_not_waited_for_without_end() -> None:
    async def scene() -> None:
        upstream = await Upstream().start()
        connections = pool(user_timeout_s=3.0)
        connections.send(upstream.address, MESSAGE, Answered())
        await upstream.peer()
        await until(lambda: connections.connections)
        (connection,) = connections.connections
        timeout = connection._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert timeout == 3000
        assert connection._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        connections.close()

    play(scene())


def test_close_breaks_what_is_under_way() -> None:
    async def scene() -> None:
        listener, fillers = full_listener()
        upstream = await Upstream().start()
        connections, sent, waiting = pool(), Answered(), Answered()
        connections.send(upstream.address, MESSAGE, sent)
        connections.send(listener.getsockname(), MESSAGE, waiting)
        await sent.written.wait()
        connections.close()
        await waiting.over.wait()
        assert sent.failure is Failure.BROKEN and waiting.failure is Failure.NOT_SENT
        await until(lambda: connections.open == 0)
        for sock in (listener, *fillers):
            sock.close()

    play(scene())


# Giving up, and back pressure


def test_given_up_while_it_waits_for_its_answer_the_connection_closes() -> None:
    async def scene() -> None:
        upstream = await Upstream().start()
        connections, answered = pool(), Answered()
        call = connections.send(upstream.address, MESSAGE, answered)
        peer = await upstream.peer()
        assert await peer.head() == MESSAGE
        call.cancel()
        assert await peer.rest() == b""
        await until(lambda: connections.open == 0)
        assert answered.told == ["written"] and call.done
        assert connections.busy(upstream.address) == 0
        call.cancel()
        call.pause()
        call.resume()
        connections.close()

    play(scene())


def test_given_up_while_connecting_nothing_goes_out_and_the_connection_is_kept() -> None:
    async def scene() -> None:
        upstream = await saying(OK).start()
        connections, answered = pool(), Answered()
        connections.send(upstream.address, MESSAGE, answered).cancel()
        assert connections.busy(upstream.address) == 0
        await until(lambda: connections.idle(upstream.address) == 1)
        assert (await ask(connections, upstream)).body == b"ok"
        assert connections.opened == 1 and answered.told == []
        connections.close()

    play(scene())


@pytest.mark.parametrize("at", ["head", "data"])
def test_given_up_from_within_it_hears_no_more(at: str) -> None:
    class Leaver(Answered):
        call: Call

        def on_head(self, *what: object) -> None:
            self.told.append("head")
            if at == "head":
                self.call.cancel()
                self.over.set()

        def on_data(self, data: bytes) -> None:
            self.told.append("data")
            self.call.cancel()
            self.over.set()

    async def scene() -> None:
        upstream = await saying(OK).start()
        connections, leaver = pool(), Leaver()
        leaver.call = connections.send(upstream.address, MESSAGE, leaver)
        await leaver.over.wait()
        await until(lambda: connections.open == 0)
        assert leaver.told[-1] == at and len(leaver.told) == (2 if at == "head" else 3)
        connections.close()

    play(scene())


def test_next_call_from_within_the_end_of_one_has_its_connection() -> None:
    async def scene() -> None:
        upstream = await saying(OK, OK).start()
        connections, second = pool(), Answered()
        calls = []

        class Again(Answered):
            def on_end(self) -> None:
                calls.append(connections.send(upstream.address, MESSAGE, second))

        connections.send(upstream.address, MESSAGE, Again())
        await second.over.wait()
        assert calls[0].reused and second.body == b"ok" and connections.opened == 1
        connections.close()

    play(scene())


def test_back_pressure_reaches_the_server() -> None:
    async def scene() -> None:
        upstream = await Upstream().start()
        connections, answered = pool(), Answered()
        call = connections.send(upstream.address, MESSAGE, answered)
        peer = await upstream.peer()
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MANY)
        await answered.begun.wait()
        call.pause()
        call.pause()
        peer.send(b"a" * MANY)
        drained = asyncio.ensure_future(peer.writer.drain())
        await asyncio.sleep(0)
        assert not drained.done() and len(answered.body) < MANY
        call.resume()
        await answered.over.wait()
        assert len(answered.body) == MANY and answered.told[-1] == "end"
        peer.send(b"late")  # and the connection is read again
        await until(lambda: connections.open == 0)
        await drained
        connections.close()

    play(scene())
