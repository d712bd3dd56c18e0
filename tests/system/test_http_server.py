"""The HTTP server over sockets: accepted and rejected requests, timeouts, responses and disconnects."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cloverrouter.http.connection import Stage
from cloverrouter.http.server import Exchange, ServerLimits
from tests.system.peers import Peer, run_scenario, serve, until

GET = b"GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE_BODY_BYTES = 10_000_000


def post(body: bytes, head: bytes = b"") -> bytes:
    return b"POST /a HTTP/1.1\r\nHost: x\r\n%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)


def echo(exchange: Exchange) -> None:
    exchange.respond(200, [(b"x-target", exchange.request.target)], exchange.request.body)


# Requests


def test_whole_request_is_handed_over_and_answered() -> None:
    async def scenario() -> None:
        server, handler, address = await serve(echo)
        peer = await Peer.connect(address)
        peer.send(post(b"body", b"X-One:  1 \r\nx-one: 2\r\n"))
        status, head, body = await peer.answer()
        assert (status, body) == (200, b"body")
        assert b"x-target: /a\r\n" in head and b"Connection" not in head
        request = handler.exchanges[0].request
        assert request.method == b"POST" and request.target == b"/a" and not request.http_1_0
        assert request.headers[:3] == [(b"host", b"x"), (b"x-one", b"1"), (b"x-one", b"2")]
        assert request.header(b"x-one") == b"1" and request.count(b"x-one") == 2
        assert request.header(b"x-two") is None
        assert request.arrived_s <= server.loop.time()
        assert handler.exchanges[0].done
        server.close()

    run_scenario(scenario())


def test_target_is_as_received() -> None:
    async def scenario() -> None:
        server, handler, address = await serve(echo)
        peer = await Peer.connect(address)
        peer.send(b"GET /%7Ea//b/../c?d=%20&e?f HTTP/1.1\r\nHost: x\r\n\r\n")
        await peer.answer()
        assert handler.exchanges[0].request.target == b"/%7Ea//b/../c?d=%20&e?f"
        server.close()

    run_scenario(scenario())


@pytest.mark.parametrize(
    "message", [post(b"hello"), CHUNKED + b"2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: v\r\n\r\n"]
)
def test_bytes_may_be_split_anywhere(message: bytes) -> None:
    async def scenario() -> None:
        server, handler, address = await serve(echo)
        for at in range(1, len(message)):
            peer = await Peer.connect(address)
            sock = peer.writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            peer.send(message[:at])
            await until(lambda: server.connections == 1)
            peer.send(message[at:])
            assert (await peer.answer())[2] == b"hello"
            peer.close()
            await until(lambda: server.connections == 0)
        assert all(exchange.request.body == b"hello" for exchange in handler.exchanges)
        assert all(exchange.request.header(b"t") is None for exchange in handler.exchanges)  # a trailer
        server.close()

    run_scenario(scenario())


def test_byte_by_byte() -> None:
    async def scenario() -> None:
        server, _, address = await serve(echo)
        peer = await Peer.connect(address)
        for byte in CHUNKED + b"5\r\nhello\r\n0\r\n\r\n":
            peer.send(bytes([byte]))
            await asyncio.sleep(0)
        assert (await peer.answer())[2] == b"hello"
        server.close()

    run_scenario(scenario())


def test_pipelined_requests_are_handed_over_one_at_a_time() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(post(b"1") + post(b"2") + post(b"3"))
        first = await handler.request()
        assert len(handler.exchanges) == 1 and server.open_exchanges == 1
        for number in range(3):
            exchange = await handler.request(number)
            assert exchange.request.body == b"%d" % (number + 1)
            assert len(handler.exchanges) == number + 1
            exchange.respond(200, [], exchange.request.body)
            assert (await peer.answer())[2] == b"%d" % (number + 1)
        assert first.done and server.open_exchanges == 0
        server.close()

    run_scenario(scenario())


def test_pipelined_requests_past_the_bound_wait_in_the_kernel() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        body = b"x" * 60_000
        for _ in range(200):
            peer.send(post(body))
        await handler.request()
        await until(lambda: server.reading_paused)
        (connection,) = server.reading_paused
        reader = connection._reader
        assert reader is not None
        assert sum(len(request.body) for request in reader.ready) < 4 * len(body)
        handler.on_exchange = echo
        handler.exchanges[0].respond(200)
        for _ in range(200):
            await peer.answer()
        assert len(handler.exchanges) == 200
        server.close()

    run_scenario(scenario())


def test_disconnect_while_reading_is_paused_is_noticed() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET * 1000)
        await until(lambda: server.reading_paused)
        peer.close()
        await handler.wait_for_events("gone")
        assert len(handler.exchanges) == 1
        await until(lambda: server.connections == 0)
        server.close()

    run_scenario(scenario())


def test_expected_continue_is_sent_before_the_body() -> None:
    async def scenario() -> None:
        server, _, address = await serve(echo)
        peer = await Peer.connect(address)
        peer.send(b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        assert await peer.head() == b"HTTP/1.1 100 Continue\r\n\r\n"
        peer.send(b"ok")
        assert (await peer.answer())[2] == b"ok"
        server.close()

    run_scenario(scenario())


def test_expected_continue_waits_for_the_answer_before() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        peer.send(GET + head)
        (await handler.request()).respond(200, [], b"first")
        assert (await peer.answer())[2] == b"first"
        assert await peer.head() == b"HTTP/1.1 100 Continue\r\n\r\n"
        server.close()

    run_scenario(scenario())


# Invalid requests

FRAMINGS = b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"
INVALID = {
    "noise": (b"\x00\xff nonsense\r\n\r\n", 400),
    "tls": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    "no version": (b"GET /a\r\n\r\n", 400),
    "later version": (b"GET /a HTTP/2.0\r\nHost: x\r\n\r\n", 400),
    "preface of HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
    "unknown method": (b"FROB /a HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    "no path": (b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    "tunnel": (b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    "upgrade": (b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
    "folded field": (b"GET /a HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", 400),
    "bare line feeds": (b"GET /a HTTP/1.1\nHost: x\n\n", 400),
    "space before the colon": (b"GET /a HTTP/1.1\r\nHost : x\r\n\r\n", 400),
    "zero byte in a field": (b"GET /a HTTP/1.1\r\nHost: x\r\nA: b\x00c\r\n\r\n", 400),
    "two hosts": (b"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400),
    "two framings": (b"POST /a HTTP/1.1\r\nHost: x\r\n" + FRAMINGS + b"\r\n0\r\n\r\n", 400),
    "two lengths": (post(b"ab", b"Content-Length: 3\r\n"), 400),
    "the same length twice": (post(b"ab", b"Content-Length: 2\r\n"), 400),
    "list of lengths": (b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2, 2\r\n\r\nab", 400),
    "signed length": (b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +2\r\n\r\nab", 400),
    "unknown coding": (b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400),
    "chunked twice": (b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, chunked\r\n\r\n", 400),
    "chunked not last": (b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, gzip\r\n\r\n", 400),
    "bad chunk size": (CHUNKED + b"xyz\r\nhello\r\n0\r\n\r\n", 400),
    "chunk longer than said": (CHUNKED + b"5\r\nhello!\r\n0\r\n\r\n", 400),
    "chunk size past all bounds": (CHUNKED + b"fffffffffffffffff\r\nhello\r\n", 400),
    "noise behind a request": (GET + b"\x00\x01\x02", 400),
    "head over the limit": (b"GET /a HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 2000 + b"\r\n\r\n", 431),
    "target over the limit": (b"GET /" + b"a" * 2000 + b" HTTP/1.1\r\nHost: x\r\n\r\n", 431),
    "field without end": (b"GET /a HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 2000, 431),
    "announced body over the limit": (b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3001\r\n\r\n", 413),
    "chunked body over the limit": (CHUNKED + b"bb9\r\n" + b"a" * 3001, 413),
    "announced body past all bounds": (b"POST /a HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", 413),
    "body over the limit that waits": (
        b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3001\r\n\r\n",
        413,
    ),
}


@pytest.mark.parametrize("name", INVALID)
def test_invalid_request_gets_an_error_and_a_close(name: str) -> None:
    message, expected = INVALID[name]

    async def scenario() -> None:
        server, handler, address = await serve(echo, head_bytes=1000, body_bytes=3000)
        peer = await Peer.connect(address)
        peer.send(message)
        status, head, _ = await peer.answer()
        assert status == expected and b"Connection: close\r\n" in head
        assert await peer.read_to_close() == b""
        assert handler.exchanges == []
        peer.close()
        await until(lambda: server.connections == 0)
        server.close()

    run_scenario(scenario())


def test_request_at_the_limits_is_accepted() -> None:
    async def scenario() -> None:
        server, handler, address = await serve(echo, head_bytes=1000, body_bytes=3000)
        peer = await Peer.connect(address)
        peer.send(post(b"a" * 3000, b"A: %b\r\n" % (b"a" * 900)))
        assert len((await peer.answer())[2]) == 3000
        assert handler.exchanges[0].request.header(b"a") == b"a" * 900
        server.close()

    run_scenario(scenario())


def test_limits_are_replaceable() -> None:
    async def scenario() -> None:
        server, _, address = await serve(echo, body_bytes=10)
        peer = await Peer.connect(address)
        peer.send(post(b"a" * 10))
        assert (await peer.answer())[0] == 200
        server.limits = ServerLimits(body_bytes=5)
        peer.send(post(b"a" * 10))
        assert (await peer.answer())[0] == 413
        server.close()

    run_scenario(scenario())


def test_error_reaches_a_client_that_is_still_sending() -> None:
    """Closing with unread input would send a reset, which can discard the error response."""

    async def scenario() -> None:
        server, _, address = await serve(echo, body_bytes=10)
        peer = await Peer.connect(address)
        peer.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % LARGE_BODY_BYTES)
        assert (await peer.answer())[0] == 413
        for _ in range(20):
            peer.send(b"a" * (LARGE_BODY_BYTES // 20))
            await peer.writer.drain()
        assert await peer.read_to_close() == b""
        server.close()

    run_scenario(scenario())


def test_error_behind_an_open_request_cancels_it() -> None:
    """The client could not tell the response from the error, so the request is cancelled."""

    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET)
        exchange = await handler.request()
        peer.send(b"\x00\x01")
        assert (await peer.answer())[0] == 400
        assert handler.events == ["gone"] and exchange.done
        exchange.respond(200)
        assert await peer.read_to_close() == b""
        server.close()

    run_scenario(scenario())


def test_no_error_is_written_after_a_partial_answer() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET)
        exchange = await handler.request()
        exchange.begin(200, [], None)
        exchange.write(b"part")
        await peer.head()
        peer.send(b"\x00\x01")
        await handler.wait_for_events("gone")
        assert b"HTTP" not in await peer.read_to_close()
        server.close()

    run_scenario(scenario())


def test_bytes_after_the_last_request_are_ignored() -> None:
    async def scenario() -> None:
        server, handler, address = await serve(echo)
        peer = await Peer.connect(address)
        peer.send(post(b"last", b"Connection: close\r\n") + GET + b"\x00")
        status, head, body = await peer.answer()
        assert (status, body) == (200, b"last") and b"Connection: close\r\n" in head
        assert await peer.read_to_close() == b""
        assert len(handler.exchanges) == 1
        server.close()

    run_scenario(scenario())


def test_unfinished_bodies_are_bounded_together() -> None:
    """A body beyond the budget of all gets 503 while another one makes progress; that one is served."""

    async def scenario() -> None:
        server, handler, address = await serve(echo)
        server.budget.limit_bytes = 150_000
        first, second = await Peer.connect(address), await Peer.connect(address)
        message = post(b"a" * 80_000)
        first.send(message[:-1])
        await until(lambda: server.budget.held_bytes > 79_999)
        held = server.budget.held_bytes
        second.send(message[:-1])
        assert (await second.answer())[0] == 503
        assert server.budget.held_bytes == held
        first.send(message[-1:])
        assert (await first.answer())[0] == 200
        assert server.budget.held_bytes == 0 and len(handler.exchanges) == 1
        server.close()

    run_scenario(scenario())


# Timeouts


def test_slow_head_ends_with_408() -> None:
    async def scenario() -> None:
        server, handler, address = await serve(echo, head_timeout_s=0.01)
        peer = await Peer.connect(address)
        peer.send(GET[:-2])
        status, head, _ = await peer.answer()
        assert status == 408 and b"Connection: close\r\n" in head
        assert await peer.read_to_close() == b"" and handler.exchanges == []
        server.close()

    run_scenario(scenario())


def test_slow_head_of_a_later_request_ends_with_408() -> None:
    async def scenario() -> None:
        server, _, address = await serve(echo, head_timeout_s=0.01)
        peer = await Peer.connect(address)
        peer.send(GET + GET[:5])
        assert (await peer.answer())[0] == 200
        assert (await peer.answer())[0] == 408
        server.close()

    run_scenario(scenario())


def test_slow_body_ends_with_408() -> None:
    async def scenario() -> None:
        server, handler, address = await serve(echo, body_timeout_s=0.01)
        peer = await Peer.connect(address)
        peer.send(post(b"body")[:-1])
        assert (await peer.answer())[0] == 408
        assert await peer.read_to_close() == b"" and handler.exchanges == []
        server.close()

    run_scenario(scenario())


def test_idle_connections_are_closed_without_a_response() -> None:
    async def scenario() -> None:
        server, _, address = await serve(echo, idle_timeout_s=0.01)
        silent, asked = await Peer.connect(address), await Peer.connect(address)
        asked.send(GET)
        assert (await asked.answer())[0] == 200
        assert await asked.read_to_close() == b"" and await silent.read_to_close() == b""
        await until(lambda: server.connections == 0)
        server.close()

    run_scenario(scenario())


def test_open_request_has_no_timeout_in_the_server() -> None:
    async def scenario() -> None:
        server, handler, address = await serve(
            None, idle_timeout_s=0.01, head_timeout_s=0.01, body_timeout_s=0.01
        )
        peer, silent = await Peer.connect(address), await Peer.connect(address)
        peer.send(GET)
        exchange = await handler.request()
        assert await silent.read_to_close() == b""  # the server has enforced its timeouts
        exchange.respond(200)
        assert (await peer.answer())[0] == 200
        server.close()

    run_scenario(scenario())


# Responses


def test_answer_of_known_length_in_pieces() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET)
        exchange = await handler.request()
        exchange.begin(200, [(b"x-a", b"b")], 4)
        exchange.write(b"ab")
        exchange.write(b"cd")
        exchange.end()
        status, head, body = await peer.answer()
        assert (status, body) == (200, b"abcd") and b"x-a: b\r\n" in head and b"chunked" not in head
        peer.send(GET)
        (await handler.request(1)).respond(204)
        assert (await peer.answer())[0] == 204
        server.close()

    run_scenario(scenario())


def test_answer_of_unknown_length_comes_in_chunks() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET)
        exchange = await handler.request()
        exchange.begin(200, [], None)
        assert b"Transfer-Encoding: chunked\r\n" in await peer.head()  # sent before there is a body
        exchange.write(b"one")
        assert await peer.reader.readexactly(8) == b"3\r\none\r\n"
        exchange.write(b"")  # an empty chunk would end the body
        exchange.write(b"x" * 26)
        exchange.end()
        assert await peer.reader.readexactly(37) == b"1a\r\n" + b"x" * 26 + b"\r\n0\r\n\r\n"
        peer.send(GET)
        (await handler.request(1)).respond(200)
        assert (await peer.answer())[0] == 200
        server.close()

    run_scenario(scenario())


def test_answer_of_unknown_length_to_an_old_client_ends_with_the_connection() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(b"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        exchange = await handler.request()
        assert exchange.request.http_1_0
        exchange.begin(200, [], None)
        exchange.write(b"one")
        exchange.end()
        assert b"Connection: close\r\n" in await peer.head()
        assert await peer.read_to_close() == b"one"
        server.close()

    run_scenario(scenario())


def test_half_an_answer_to_an_old_client_ends_with_a_reset() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(b"GET /a HTTP/1.0\r\n\r\n")
        exchange = await handler.request()
        exchange.begin(200, [], None)
        exchange.write(b"one")
        await peer.head()
        assert await peer.reader.readexactly(3) == b"one"
        exchange.abort()
        with pytest.raises(ConnectionResetError):
            await peer.read_to_close()
        assert handler.events == []  # the handler that aborts is not notified
        server.close()

    run_scenario(scenario())


def test_half_an_answer_in_chunks_has_no_last_chunk() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET)
        exchange = await handler.request()
        exchange.begin(200, [], None)
        exchange.write(b"one")
        await peer.head()
        exchange.write(b"two")
        exchange.abort()
        exchange.end()
        assert await peer.read_to_close() == b"3\r\none\r\n3\r\ntwo\r\n"
        server.close()

    run_scenario(scenario())


@pytest.mark.parametrize("pieces", [[b"abc"], [b"abcd", b"e"]])
def test_answer_of_another_length_than_announced_is_cut(pieces: list[bytes]) -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET + GET)
        exchange = await handler.request()
        exchange.begin(200, [], 4)
        for piece in pieces:
            exchange.write(piece)
        exchange.end()
        head, _, body = (await peer.read_to_close()).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert b"abcd".startswith(body)  # the client would read any excess as the next response
        assert exchange.done and len(handler.exchanges) == 1
        server.close()

    run_scenario(scenario())


def test_http_1_0_keep_alive_is_confirmed() -> None:
    async def scenario() -> None:
        server, _, address = await serve(echo)
        peer = await Peer.connect(address)
        for _ in range(2):
            peer.send(b"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
            assert b"Connection: keep-alive\r\n" in (await peer.answer())[1]
        peer.send(b"GET /a HTTP/1.0\r\n\r\n")
        assert b"Connection: close\r\n" in (await peer.answer())[1]
        assert await peer.read_to_close() == b""
        server.close()

    run_scenario(scenario())


def test_no_body_where_none_may_come() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        head = b"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n"
        peer.send(head * 3 + GET)
        (await handler.request(0)).respond(200, [], b"body")
        assert b"Content-Length: 4\r\n" in await peer.head()
        exchange = await handler.request(1)
        exchange.begin(200, [], 4)
        exchange.write(b"body")
        exchange.end()
        assert b"Content-Length: 4\r\n" in await peer.head()
        exchange = await handler.request(2)
        exchange.begin(200, [], None)
        exchange.write(b"body")
        exchange.end()
        assert b"chunked" not in await peer.head()
        exchange = await handler.request(3)
        exchange.begin(204, [], None)
        exchange.end()
        assert b"204" in await peer.head()
        server.close()

    run_scenario(scenario())


def test_only_one_answer_goes_out() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET)
        exchange = await handler.request()
        exchange.respond(200, [], b"one", close=True)
        exchange.respond(500)
        exchange.begin(500, [], None)
        exchange.write(b"x")
        exchange.end()
        assert (await peer.answer())[2] == b"one"
        assert await peer.read_to_close() == b""
        server.close()

    run_scenario(scenario())


def test_no_answer_goes_out_within_another() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET)
        exchange = await handler.request()
        exchange.begin(200, [], 4)
        exchange.write(b"ab")
        exchange.respond(500, [], b"no")
        exchange.begin(500, [], None)
        exchange.write(b"cd")
        exchange.end()
        assert (await peer.answer())[2] == b"abcd"
        server.close()

    run_scenario(scenario())


def test_handler_that_fails_is_a_500() -> None:
    def fail(exchange: Exchange) -> None:
        raise RuntimeError("handler failed")

    async def scenario() -> None:
        server, _, address = await serve(fail)
        peer = await Peer.connect(address)
        peer.send(GET)
        assert (await peer.answer())[0] == 500
        assert await peer.read_to_close() == b""
        server.close()

    run_scenario(scenario())


def test_handler_that_fails_in_an_answer_cuts_it() -> None:
    def fail(exchange: Exchange) -> None:
        exchange.begin(200, [], 10)
        raise RuntimeError("handler failed")

    async def scenario() -> None:
        server, _, address = await serve(fail)
        peer = await Peer.connect(address)
        peer.send(GET)
        assert b"500" not in await peer.read_to_close()
        server.close()

    run_scenario(scenario())


def test_back_pressure_of_the_client_is_reported() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET)
        exchange = await handler.request()
        exchange.begin(200, [], LARGE_BODY_BYTES)
        exchange.write(b"a" * (LARGE_BODY_BYTES - 1))
        await until(lambda: exchange.paused)
        assert handler.events == ["pause"]
        assert server.open_exchanges == 1
        await peer.head()
        assert len(await peer.reader.readexactly(LARGE_BODY_BYTES - 1)) == LARGE_BODY_BYTES - 1
        await handler.wait_for_events("pause", "resume")
        assert not exchange.paused
        exchange.write(b"a")
        exchange.end()
        assert await peer.reader.readexactly(1) == b"a"
        server.close()

    run_scenario(scenario())


def test_next_request_waits_until_the_answer_is_taken_up() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET)
        (await handler.request()).respond(200, [], b"a" * LARGE_BODY_BYTES)
        peer.send(GET)
        await until(lambda: server.open_exchanges == 1)
        assert len(handler.exchanges) == 1
        assert len((await peer.answer())[2]) == LARGE_BODY_BYTES
        (await handler.request(1)).respond(200)
        assert (await peer.answer())[0] == 200
        server.close()

    run_scenario(scenario())


# Disconnecting clients


@pytest.mark.parametrize("leave", [Peer.close, Peer.reset, Peer.half_close])
@pytest.mark.parametrize("begun", [False, True])
def test_disconnect_is_reported_once(leave: object, begun: bool) -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET + GET)
        exchange = await handler.request()
        if begun:
            exchange.begin(200, [], None)
            await peer.head()
        assert not exchange.client_gone()
        leave(peer)  # type: ignore[operator]
        await handler.wait_for_events("gone")
        assert exchange.client_gone() and exchange.done
        exchange.write(b"x")
        exchange.end()
        exchange.respond(200)
        exchange.abort()
        await until(lambda: server.connections == 0)
        assert handler.events == ["gone"] and len(handler.exchanges) == 1 and server.open_exchanges == 0
        server.close()

    run_scenario(scenario())


def test_disconnect_is_seen_before_the_loop_reports_it() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        with socket.create_connection(address) as client:
            client.sendall(GET)
            exchange = await handler.request()
            assert not exchange.client_gone()
            client.sendall(b"G")  # the end of input follows unread bytes
            client.shutdown(socket.SHUT_WR)
            assert exchange.client_gone() and handler.events == []
            await handler.wait_for_events("gone")
        server.close()

    run_scenario(scenario())


def test_disconnect_after_the_answer_is_not_reported() -> None:
    async def scenario() -> None:
        server, handler, address = await serve(echo)
        peer = await Peer.connect(address)
        peer.send(GET)
        await peer.answer()
        peer.close()
        await until(lambda: server.connections == 0)
        assert handler.events == []
        server.close()

    run_scenario(scenario())


def test_data_of_a_connection_stays_with_it() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET + GET)
        exchange = await handler.request()
        exchange.data["key"] = "value"
        own = peer.writer.get_extra_info("sockname")
        assert exchange.peer == own[:2]
        exchange.respond(200)
        assert (await handler.request(1)).data == {"key": "value"}
        server.close()

    run_scenario(scenario())


# Shutdown and connection limit


def test_server_reports_pending_work() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer, half = await Peer.connect(address), await Peer.connect(address)
        await until(lambda: server.connections == 2)
        assert not server.has_pending_work
        peer.send(GET)
        exchange = await handler.request()
        assert server.has_pending_work and server.open_exchanges == 1
        exchange.respond(200, [], b"a" * LARGE_BODY_BYTES)
        assert server.has_pending_work  # a part of the response is not sent yet
        await peer.answer()
        await until(lambda: not server.has_pending_work)
        half.send(GET[:5])
        await until(lambda: server.has_pending_work)
        assert server.open_exchanges == 0
        server.close()

    run_scenario(scenario())


def test_drain_ends_connections_with_their_answers() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        busy, half, idle = [await Peer.connect(address) for _ in range(3)]
        busy.send(GET)
        exchange = await handler.request()
        half.send(GET[:20])
        idle.send(GET)
        (await handler.request(1)).respond(200)
        assert b"Connection" not in (await idle.answer())[1]
        server.drain()
        assert await idle.read_to_close() == b""
        exchange.respond(200)
        assert b"Connection: close\r\n" in (await busy.answer())[1]
        assert await busy.read_to_close() == b""
        half.send(GET[20:])
        (await handler.request(2)).respond(200)
        assert b"Connection: close\r\n" in (await half.answer())[1]
        late = await Peer.connect(address)  # new connections are served as long as they arrive
        late.send(GET)
        (await handler.request(3)).respond(200)
        assert b"Connection: close\r\n" in (await late.answer())[1]
        server.stop_listening()
        with pytest.raises(ConnectionRefusedError):
            await Peer.connect(address)
        for peer in (busy, half, late):
            peer.close()
        await until(lambda: server.connections == 0)
        server.close()

    run_scenario(scenario())


def test_drain_ends_a_connection_with_the_last_of_what_waits_on_it() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer = await Peer.connect(address)
        peer.send(GET + GET)
        exchange = await handler.request()
        server.drain()
        exchange.respond(200)
        assert b"Connection" not in (await peer.answer())[1]
        (await handler.request(1)).respond(200)
        assert b"Connection: close\r\n" in (await peer.answer())[1]
        assert await peer.read_to_close() == b""
        server.close()

    run_scenario(scenario())


def test_drain_closes_connections_without_a_request() -> None:
    async def scenario() -> None:
        server, _, address = await serve()
        peer = await Peer.connect(address)
        await until(lambda: server.connections == 1)
        server.drain()
        assert await peer.read_to_close() == b""
        server.close()

    run_scenario(scenario())


def test_close_ends_everything_at_once() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        peer, silent = await Peer.connect(address), await Peer.connect(address)
        peer.send(GET)
        await handler.request()
        await until(lambda: server.connections == 2)
        server.close()
        assert await peer.read_to_close() == b"" and await silent.read_to_close() == b""
        assert handler.events == ["gone"] and server.connections == 0

    run_scenario(scenario())


def test_idle_connection_makes_room_for_a_new_one() -> None:
    async def scenario() -> None:
        server, _, address = await serve(echo, max_connections=2)
        idle, other = await Peer.connect(address), await Peer.connect(address)
        idle.send(GET)
        await idle.answer()
        await until(lambda: server.connections == 2)
        new = await Peer.connect(address)
        new.send(GET)
        assert (await new.answer())[0] == 200
        assert await idle.read_to_close() == b""
        other.send(GET)
        assert (await other.answer())[0] == 200
        server.close()

    run_scenario(scenario())


def test_connection_over_the_limit_gets_503() -> None:
    async def scenario() -> None:
        server, handler, address = await serve(max_connections=1)
        busy = await Peer.connect(address)
        busy.send(GET)
        exchange = await handler.request()
        turned_away = await Peer.connect(address)
        status, head, _ = await turned_away.answer()
        assert status == 503 and b"Connection: close\r\n" in head
        exchange.respond(200)
        assert (await busy.answer())[0] == 200
        server.close()

    run_scenario(scenario())


def test_many_idle_connections_end_with_their_answers() -> None:
    async def scenario() -> None:
        server, _, address = await serve(echo, max_connections=4)
        peers = [await Peer.connect(address) for _ in range(3)]
        heads = []
        for peer in peers:
            peer.send(GET)
            heads.append((await peer.answer())[1])
        assert [b"Connection: close" in head for head in heads] == [False, False, True]
        server.close()

    run_scenario(scenario())


def test_connections_without_input_have_no_parser() -> None:
    async def scenario() -> None:
        server, _, address = await serve()
        peer = await Peer.connect(address)
        await until(lambda: server._stages[Stage.FRESH])
        (connection,) = server._stages[Stage.FRESH]
        assert connection._reader is None
        peer.close()
        server.close()

    run_scenario(scenario())
