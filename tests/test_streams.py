"""Streaming of large bodies and answers: complete, with bounded memory, and never sent twice."""

from __future__ import annotations

import asyncio
import hashlib
import random
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from cloverrouter.interface import (
    AttemptEnded,
    Fail,
    Idempotency,
    ListedEndpoint,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestCompleted,
    Send,
    SetTimeout,
    Settings,
    StreamStarted,
)
from cloverrouter.proxy import frontend as frontend_module
from cloverrouter.proxy import upstream as upstream_module
from cloverrouter.proxy.config import HostEntry, HostList
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.messages import MAX_BUFFERED_BODY_BYTES, Call
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.streams import (
    MIN_BUDGET_BYTES,
    STREAM_HIGH_WATER_BYTES,
    Budget,
    Sink,
    Source,
    StreamHead,
    Upload,
)
from cloverrouter.proxy.upstream import Upstream
from tests.driver import Driver, endpoint
from tests.sockets import (
    TIMEOUT_S,
    Client,
    Discovery,
    Message,
    Proxy,
    ReceivedRequest,
    Respond,
    answer_ok,
    running,
)
from tests.sockets import Host as SmallHost
from tests.test_clients import UnansweringHandler
from tests.test_upstream import FakeCall, until

MB = 1024 * 1024
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def random_bytes(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(size)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
    pairs = (line.partition(":") for line in lines[1:])
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Returns the body; raises IncompleteReadError for a truncated one."""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = bytearray()
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    while (await reader.readuntil(b"\r\n")) != b"\r\n":
        """Skips a trailer."""
    return bytes(body)


class Host(SmallHost):
    """A host that reads bodies of any size and framing."""

    async def read(self, reader: asyncio.StreamReader) -> Message:
        start, headers = await read_head(reader)
        return Message(start, headers, await read_body(reader, headers))


async def send_request(
    proxy: Proxy, framing: str, body: bytes, pieces: int, target: str = "/keyed"
) -> Streams:
    host, port = proxy.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST {target} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id(writer):x}\r\nX-Timeout-Ms: 2500\r\n"
    if target == "/keyed":
        head += f"Idempotency-Key: k{id(writer):x}\r\n"
    if framing == "chunked":
        chunk = 50_000
        parts = [body[i : i + chunk] for i in range(0, len(body), chunk)]
        sent = b"".join(b"%x;ext=1\r\n%b\r\n" % (len(part), part) for part in parts)
        data = head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + sent + b"0\r\nX-Trailer: 1\r\n\r\n"
    else:
        data = head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chance = random.Random(pieces)
    while data:
        size = chance.randrange(1, pieces) if pieces else len(data)
        writer.write(data[:size])
        data = data[size:]
        await writer.drain()
    return reader, writer


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize(
    ("size", "pieces"),
    [(MAX_BUFFERED_BODY_BYTES - 1, 5000), (MAX_BUFFERED_BODY_BYTES + 1, 5000), (5 * MB, 300_000)],
)
def test_body_arrives_as_it_was_sent(framing: str, size: int, pieces: int) -> None:
    async def scenario() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        body = random_bytes(size)
        async with running(discovery, [host]) as proxy, asyncio.timeout(TIMEOUT_S):
            reader, writer = await send_request(proxy, framing, body, pieces)
            start, headers = await read_head(reader)
            assert start.split()[1] == "200"
            assert await read_body(reader, headers) == b"done"
            assert hashlib.sha256(host.seen[0].message.body).digest() == hashlib.sha256(body).digest()
            assert len(host.seen) == 1
            # The connection can be reused.
            client = Client(reader, writer)
            assert (await client.ask("/unsafe")).status == 200

    asyncio.run(scenario())


def answer(
    framing: str, body: bytes, pieces: int
) -> Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]:
    async def respond(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        data = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n"
        match framing:
            case "length":
                data += b"Content-Length: %d\r\n\r\n" % len(body) + body
            case "chunked":
                data += b"Transfer-Encoding: chunked\r\n\r\n"
                for i in range(0, len(body), 70_000):
                    part = body[i : i + 70_000]
                    data += b"%x\r\n%b\r\n" % (len(part), part)
                data += b"0\r\n\r\n"
            case "close":
                data += b"Connection: close\r\n\r\n" + body
        chance = random.Random(pieces)
        while data:
            size = chance.randrange(1, pieces)
            writer.write(data[:size])
            data = data[size:]
            await writer.drain()
        if framing == "close":
            writer.close()

    return respond


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize(
    ("size", "pieces"), [(0, 10), (1000, 10), (MAX_BUFFERED_BODY_BYTES + 1, 5000), (5 * MB, 300_000)]
)
def test_answer_arrives_as_the_host_sent_it(framing: str, size: int, pieces: int) -> None:
    async def scenario() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        body = random_bytes(size)
        host.respond = answer(framing, body, pieces)
        async with running(discovery, [host]) as proxy, asyncio.timeout(TIMEOUT_S):
            for _ in range(2):
                reader, writer = await send_request(proxy, "length", b"x", 0)
                start, headers = await read_head(reader)
                assert start.split()[1] == "200"
                got = await read_body(reader, headers)
                assert hashlib.sha256(got).digest() == hashlib.sha256(body).digest()
                host.respond = answer_ok
                assert (await Client(reader, writer).ask("/unsafe")).body == b"done"
                host.respond = answer(framing, body, pieces)

    asyncio.run(scenario())


def resident_mb(proxy: Proxy) -> float:
    return proxy.memory_mb("VmHWM")


def test_many_concurrent_streams_are_never_buffered_whole() -> None:
    """Twelve answers of 20 MB to clients that do not read yet, and four uploads of 8 MB."""

    async def scenario() -> None:
        whole = random_bytes(20 * MB)
        hosts = [await Host(f"h{i}", answer("length", whole, 4 * MB)).start() for i in range(3)]
        discovery = await Discovery().start()
        async with running(discovery, hosts) as proxy, asyncio.timeout(2 * TIMEOUT_S):
            before_mb = resident_mb(proxy)
            clients = [await send_request(proxy, "length", b"x", 0) for _ in range(12)]
            readers = [reader for reader, _ in clients]
            begun = [await read_head(reader) for reader in readers]
            assert [start.split()[1] for start, _ in begun] == ["200"] * 12, proxy.log()
            uploads = [
                asyncio.ensure_future(send_request(proxy, "chunked", random_bytes(8 * MB, i), 100_000))
                for i in range(4)
            ]
            held = [-1]
            while held != (held := [len(reader._buffer) for reader in readers]):  # type: ignore[attr-defined]
                await asyncio.sleep(0.2)  # until there is no progress any more
            bodies = await asyncio.gather(
                *(read_body(reader, headers) for reader, (_, headers) in zip(readers, begun, strict=True))
            )
            assert all(len(body) == len(whole) for body in bodies)
            for upload in uploads:
                reader, writer = await upload
                start, headers = await read_head(reader)
                assert start.split()[1] == "200"
                assert len(await read_body(reader, headers)) == len(whole)
                writer.close()
            assert resident_mb(proxy) - before_mb < 40  # of 272 MB transferred

    asyncio.run(scenario())


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
def test_truncated_answer_can_be_recognized(framing: str) -> None:
    async def half(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = {"length": b"Content-Length: 1000000\r\n", "chunked": b"Transfer-Encoding: chunked\r\n"}
        writer.write(b"HTTP/1.1 200 OK\r\n" + head.get(framing, b"Connection: close\r\n") + b"\r\n")
        writer.write(b"%x\r\n" % 1_000_000 if framing == "chunked" else b"")
        writer.write(b"z" * 300_000)
        await writer.drain()
        await release.wait()
        # A reset instead of an orderly end, as from a process that dies.
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    release = asyncio.Event()

    async def scenario() -> None:
        host, discovery = await Host("h", half).start(), await Discovery().start()
        async with running(discovery, [host]) as proxy, asyncio.timeout(TIMEOUT_S):
            reader, _writer = await send_request(proxy, "length", b"x", 0)
            start, headers = await read_head(reader)  # streaming starts before the end
            assert start.split()[1] == "200"
            release.set()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_body(reader, headers)
            assert len(host.seen) == 1
            text = (await proxy.call("GET", "/admin/stats")).body.decode()
            assert 'proxy_transactions_total{group="keyed",state="errored"} 1' in text

    asyncio.run(scenario())


def test_partly_sent_body_is_sent_once() -> None:
    async def scenario() -> None:
        begun = 0

        async def broken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal begun
            await read_head(reader)
            begun += 1
            await reader.readexactly(MAX_BUFFERED_BODY_BYTES + 1)
            writer.transport.abort()

        discovery = await Discovery().start()
        hosts: list[SmallHost] = []
        for i in range(3):
            host = SmallHost(f"h{i}")
            host.server = await asyncio.start_server(broken, "127.0.0.1", 0)
            host.port = host.server.sockets[0].getsockname()[1]
            hosts.append(host)
        async with running(discovery, hosts) as proxy, asyncio.timeout(TIMEOUT_S):
            address, port = proxy.address.split(":")
            reader, writer = await asyncio.open_connection(address, int(port))
            head = b"POST /keyed HTTP/1.1\r\nX-Request-ID: a\r\nIdempotency-Key: b\r\n"
            writer.write(head + b"Content-Length: 900000\r\n\r\n" + b"z" * 300_000)
            start, _ = await read_head(reader)
            assert int(start.split()[1]) >= 500
            assert await reader.read() == b""  # the rest of the body is not parsed as a request
            assert begun == 1

    asyncio.run(scenario())


def test_malformed_body_is_an_error_and_counted() -> None:
    async def scenario() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        async with running(discovery, [host]) as proxy, asyncio.timeout(TIMEOUT_S):
            address, port = proxy.address.split(":")
            reader, writer = await asyncio.open_connection(address, int(port))
            head = b"POST /unsafe HTTP/1.1\r\nX-Request-ID: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"30d40\r\n" + b"z" * 200_000 + b"\r\n")
            while not host.open:  # the upload has begun
                await asyncio.sleep(0.01)
            writer.write(b"no chunk\r\n")
            start, _headers = await read_head(reader)
            assert start.split()[1] == "400"
            await host.wait(lambda: not host.open)
            assert host.seen == []
            text = (await proxy.call("GET", "/admin/stats")).body.decode()
            assert 'proxy_transactions_total{group="unsafe",state="errored"} 1' in text
            assert "proxy_current 0" in text

    asyncio.run(scenario())


def test_unsent_body_goes_to_another_host() -> None:
    async def scenario() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        gone = await Host("gone").start()
        gone.server.close()
        await gone.server.wait_closed()
        body = random_bytes(3 * MAX_BUFFERED_BODY_BYTES)
        async with running(discovery, [gone, host]) as proxy, asyncio.timeout(TIMEOUT_S):
            for _ in range(6):
                reader, _writer = await send_request(proxy, "length", body, 0)
                start, _headers = await read_head(reader)
                assert start.split()[1] == "200"
            assert [seen.message.body == body for seen in host.seen] == [True] * 6

    asyncio.run(scenario())


def test_slow_clients_do_not_time_out() -> None:
    """A head takes more than a second, and a body at 64 kB/s takes longer than the deadline."""

    async def scenario() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        body = random_bytes(3 * 65_536)
        async with running(discovery, [host]) as proxy, asyncio.timeout(TIMEOUT_S):
            address, port = proxy.address.split(":")
            reader, writer = await asyncio.open_connection(address, int(port))
            head = (
                b"POST /unsafe HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout-Ms: 700\r\nContent-Length: %d\r\n\r\n"
            )
            for data, size, every_s in ((head % len(body), 12, 0.15), (body, 6554, 0.1)):
                for i in range(0, len(data), size):
                    writer.write(data[i : i + size])
                    await asyncio.sleep(every_s)
            start, _ = await read_head(reader)
            assert start.split()[1] == "200"
            assert host.seen[0].message.body == body

    asyncio.run(scenario())


def test_health_check_with_the_head_method() -> None:
    async def scenario() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        async with running(discovery, [host]) as proxy:
            client = await proxy.client()
            client.writer.write(b"HEAD /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.read()).status == 200
            assert (await client.ask("/unsafe")).status == 200

    asyncio.run(scenario())


# Parts


def test_budget_limits_what_streams_buffer() -> None:
    budget, resumed = Budget(0), []
    uploads = [Upload(budget, None, lambda: resumed.append(1)) for _ in range(100)]
    assert budget.limit_bytes == MIN_BUDGET_BYTES
    for _ in range(20):
        for upload in uploads:
            if not upload.full:
                upload.feed(b"z" * 32_768)
    # Beyond the budget, each stream buffers at most one more piece.
    assert budget.held_bytes <= MIN_BUDGET_BYTES + 100 * 32_768
    assert all(upload.full for upload in uploads)
    held = budget.held_bytes
    assert len(uploads[0].take() or b"") == 32_768
    assert budget.held_bytes == held - 32_768
    for upload in uploads:
        upload.drop()
    assert budget.held_bytes == 0
    assert not budget.is_full_for(STREAM_HIGH_WATER_BYTES - 1)


def test_upload_is_consumed_with_its_first_piece() -> None:
    upload = Upload(Budget(0), 10, lambda: None)
    upload.feed(b"01234")
    assert not upload.consumed
    assert upload.take() == b"01234"
    assert upload.consumed
    upload.ended = True
    assert upload.exhausted


# Balancer


def uploading(driver: Driver, class_name: str = "keyed") -> list[Any]:
    return driver.tell(RequestArrived(900, class_name, None, uploading=True))


def test_timeout_starts_with_the_last_byte() -> None:
    driver = Driver()
    (send,) = uploading(driver)
    assert isinstance(send, Send)
    assert send.timeout_ms == 0
    assert driver.balancer.membership.endpoints[send.endpoint].in_flight == 0
    assert driver.wait(60_000) == []  # a slow upload does not make the server slow
    assert not driver.balancer.membership.endpoints[send.endpoint].silent(driver.now_ms)
    (limit,) = driver.tell(RequestCompleted(900, driver.now_ms + 400))
    assert limit == SetTimeout(900, 0, 400)
    assert driver.balancer.membership.endpoints[send.endpoint].in_flight == 1
    driver.tell(AttemptEnded(900, 0, Outcome.OK, 50.0, True))
    assert driver.balancer.membership.endpoints[send.endpoint].in_flight == 0
    assert 900 not in driver.balancer.requests


@pytest.mark.parametrize("class_name", ["safe", "keyed", "unsafe"])
@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_request_with_a_consumed_body_gets_its_final_answer_at_once(
    class_name: str, outcome: Outcome
) -> None:
    driver = Driver()
    uploading(driver, class_name)
    (final,) = driver.tell(AttemptEnded(900, 0, outcome, 50.0, body_consumed=True))
    assert isinstance(final, Fail if outcome is Outcome.ERROR else Refuse)
    assert driver.wait(5000) == []


def test_answer_that_has_begun_is_final() -> None:
    driver = Driver(endpoints=[endpoint("s1")])
    request_id, _ = driver.request("safe")
    driver.tell(StreamStarted(request_id, 0, 40.0))
    server = driver.balancer.membership.endpoints["s1"]
    assert server.in_flight == 0  # the server has finished its work
    assert driver.wait(60_000) == []  # the deadline does not apply any more
    assert driver.tell(AttemptEnded(request_id, 0, Outcome.RESET, 60_000.0, answered=True)) == []
    assert driver.sent[request_id] == ["s1"]
    assert server.in_flight == 0
    assert server.failures == 0


def test_disconnect_during_an_upload_leaves_no_state() -> None:
    async def scenario() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        async with running(discovery, [host]) as proxy, asyncio.timeout(TIMEOUT_S):
            address, port = proxy.address.split(":")
            for i in range(5):
                _reader, writer = await asyncio.open_connection(address, int(port))
                head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: {i}\r\nContent-Length: 900000\r\n\r\n"
                writer.write(head.encode() + b"z" * 200_000)
                while not host.open:
                    await asyncio.sleep(0.01)
                writer.transport.abort()
                await host.wait(lambda: not host.open)  # the attempt has ended as well
            text = (await proxy.call("GET", "/admin/stats")).body.decode()
            assert "proxy_current 0" in text
            assert "proxy_sends_total 0" in text
            assert host.seen == []
            assert (await (await proxy.client()).ask("/unsafe")).status == 200

    asyncio.run(scenario())


# An answer that begins just before its attempt's timeout. The hold time for an answer of unknown length is
# ten times the default here, so that it spans the timeout also on a busy machine.

HOLD_S = 0.5
DEADLINE_S = 1.2
DEADLINE_CLASS = RequestClass("unsafe", DEADLINE_S * 1000, DEADLINE_S * 1000, idempotency=Idempotency.UNSAFE)


class StreamedCall(FakeCall):
    """A call whose answer may be buffered or streamed."""

    def __init__(self) -> None:
        super().__init__(timeout_ms=DEADLINE_S * 1000)
        self.begun_s = 0.0

    def start_stream(self, head: StreamHead, source: Source) -> Sink:
        self.begun_s = time.monotonic()
        self.answers.append("begun")
        self.body = b""
        return self

    def write_piece(self, data: bytes) -> None:
        self.body += data

    def finish(self) -> None:
        self.answers.append("whole")

    def abort_answer(self) -> None:
        self.answers.append("cut")


def late_answer(head_after_s: float, framing: bytes, body: bytes, ends: list[str]) -> Respond:
    async def respond(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(head_after_s)
        step = len(body) // 8
        parts = [body[i : i + step] for i in range(0, len(body), step)]
        chunked = framing.startswith(b"Transfer")
        try:
            writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % framing)
            for part in parts:
                writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
                await writer.drain()
                await asyncio.sleep(0.1)
            writer.write(b"0\r\n\r\n" if chunked else b"")
            await writer.drain()
            ends.append("given")
            if not chunked:
                writer.close()
        except ConnectionError:
            ends.append("cut off")

    return respond


@pytest.mark.parametrize("before_s", [0.6, 0.3, 0.2])
@pytest.mark.parametrize("framing", [b"Transfer-Encoding: chunked\r\n", b"Connection: close\r\n"])
def test_answer_that_begins_in_time_is_never_truncated(
    before_s: float, framing: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_module, "ANSWER_HOLD_S", HOLD_S)

    async def scenario() -> None:
        ends: list[str] = []
        body = random_bytes(160 * 1024)
        host = await SmallHost("h", late_answer(DEADLINE_S - before_s, framing, body, ends)).start()
        upstream = Upstream(8, 60_000, 1000)
        node = Node(
            Settings((DEADLINE_CLASS,)), 1, upstream, lambda: None, lambda error: pytest.fail(repr(error))
        )
        address = "127.0.0.1", host.port
        node.update_hosts(ListKind.FULL, HostList(1, True, (HostEntry(ListedEndpoint("h"), address),)))
        call, asked_s = StreamedCall(), time.monotonic()
        node.call_arrived(call)
        await until(lambda: ends and not node.pending_calls)
        assert (call.answers, ends, call.body == body) == (["begun", "whole"], ["given"], True)
        # The first bytes arrived in time, and were forwarded in time.
        assert call.begun_s - asked_s < DEADLINE_S + before_s

    asyncio.run(scenario())


def test_answer_that_begins_too_late_has_failed() -> None:
    async def scenario() -> None:
        ends: list[str] = []
        chunked = b"Transfer-Encoding: chunked\r\n"
        body = random_bytes(160 * 1024)
        host = await SmallHost("h", late_answer(DEADLINE_S + 0.4, chunked, body, ends)).start()
        upstream = Upstream(8, 60_000, 1000)
        node = Node(
            Settings((DEADLINE_CLASS,)), 1, upstream, lambda: None, lambda error: pytest.fail(repr(error))
        )
        address = "127.0.0.1", host.port
        node.update_hosts(ListKind.FULL, HostList(1, True, (HostEntry(ListedEndpoint("h"), address),)))
        call = StreamedCall()
        node.call_arrived(call)
        await until(lambda: not node.pending_calls)
        assert call.answers == ["failed"]

    asyncio.run(scenario())


# The end of a streamed answer to a client that reads slowly


class StreamingHandler(UnansweringHandler):
    """A handler that streams a complete answer at once."""

    def __init__(self, body: bytes) -> None:
        super().__init__()
        self.body = body

    def call_arrived(self, call: Call) -> None:
        sink = call.start_stream(StreamHead(len(self.body), b""), NullSource())
        for i in range(0, len(self.body), 10_000):
            sink.write_piece(self.body[i : i + 10_000])
        sink.finish()


class NullSource:
    def pause(self) -> None: ...

    def resume(self) -> None: ...


@pytest.mark.parametrize("ends", ["with its answer", "when idle", "to make room", "in a quiesce"])
def test_end_of_a_streamed_answer_is_never_truncated(ends: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The rest of the answer is in the write buffer and its client reads slowly: whatever would close the
    connection has to wait. All timeouts are 0 here, so that each sweep would close it."""
    for name in ("LINGER_S", "IDLE_TIMEOUT_S", "IDLE_TIMEOUT_WITH_ROOM_S", "MIN_QUIET_S"):
        monkeypatch.setattr(frontend_module, name, 0.0)

    async def scenario() -> None:
        body = random_bytes(200_000)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # keeps the kernel's buffer small
        listener.setblocking(False)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        frontend = Frontend(StreamingHandler(body), {"unsafe": Idempotency.UNSAFE}, 1)
        address = await frontend.listen(("127.0.0.1", 0), listener)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(address)
        sock.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
        close = "Connection: close\r\n" if ends == "with its answer" else ""
        writer.write(
            f"POST /unsafe HTTP/1.1\r\nX-Request-ID: a\r\n{close}Content-Length: 1\r\n\r\nx".encode()
        )
        async with asyncio.timeout(TIMEOUT_S):
            _, headers = await read_head(reader)
            if ends == "in a quiesce":
                frontend.start_draining()
            got = b""
            while len(got) < int(headers["content-length"]):
                data = await reader.read(2048)
                assert data, f"cut after {len(got)} bytes"
                got += data
                if len(got) > len(body) - 40_000:
                    await asyncio.sleep(0.02)
                if ends == "to make room":
                    (await asyncio.open_connection(*address))[1].close()
            assert got == body
        frontend.close()

    asyncio.run(scenario())
