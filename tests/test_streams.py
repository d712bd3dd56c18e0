"""Large bodies and answers: whole, in any pieces, without being held, and never sent twice."""

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
from cloverrouter.proxy.streams import HIGH, LEAST_BUDGET, Budget, Sink, Source, StreamHead, Upload
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
from tests.test_clients import Patient
from tests.test_upstream import FakeCall, until

MB = 1024 * 1024
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def made(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(size)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
    pairs = (line.partition(":") for line in lines[1:])
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Raises IncompleteReadError for one that is cut."""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = bytearray()
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    while (await reader.readuntil(b"\r\n")) != b"\r\n":
        """A trailer."""
    return bytes(body)


class Host(SmallHost):
    """A host that reads bodies of any size and framing."""

    async def read(self, reader: asyncio.StreamReader) -> Message:
        start, headers = await read_head(reader)
        return Message(start, headers, await read_body(reader, headers))


async def asked(proxy: Proxy, framing: str, body: bytes, pieces: int, target: str = "/keyed") -> Streams:
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
    async def scene() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        body = made(size)
        async with running(discovery, [host]) as proxy, asyncio.timeout(TIMEOUT_S):
            reader, writer = await asked(proxy, framing, body, pieces)
            start, headers = await read_head(reader)
            assert start.split()[1] == "200"
            assert await read_body(reader, headers) == b"done"
            assert hashlib.sha256(host.seen[0].message.body).digest() == hashlib.sha256(body).digest()
            assert len(host.seen) == 1
            # The connection is of further use.
            client = Client(reader, writer)
            assert (await client.ask("/unsafe")).status == 200

    asyncio.run(scene())


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
def test_answer_comes_as_the_host_gave_it(framing: str, size: int, pieces: int) -> None:
    async def scene() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        body = made(size)
        host.respond = answer(framing, body, pieces)
        async with running(discovery, [host]) as proxy, asyncio.timeout(TIMEOUT_S):
            for _ in range(2):
                reader, writer = await asked(proxy, "length", b"x", 0)
                start, headers = await read_head(reader)
                assert start.split()[1] == "200"
                got = await read_body(reader, headers)
                assert hashlib.sha256(got).digest() == hashlib.sha256(body).digest()
                host.respond = answer_ok
                assert (await Client(reader, writer).ask("/unsafe")).body == b"done"
                host.respond = answer(framing, body, pieces)

    asyncio.run(scene())


def resident_mb(proxy: Proxy) -> float:
    return proxy.memory_mb("VmHWM")


def test_many_large_ones_at_once_are_never_held() -> None:
    """Twelve answers of 20 MB to clients that do not read yet, and four bodies to a host that does not."""

    async def scene() -> None:
        whole = made(20 * MB)
        hosts = [await Host(f"h{i}", answer("length", whole, 4 * MB)).start() for i in range(3)]
        discovery = await Discovery().start()
        async with running(discovery, hosts) as proxy, asyncio.timeout(2 * TIMEOUT_S):
            before_mb = resident_mb(proxy)
            clients = [await asked(proxy, "length", b"x", 0) for _ in range(12)]
            readers = [reader for reader, _ in clients]
            begun = [await read_head(reader) for reader in readers]
            assert [start.split()[1] for start, _ in begun] == ["200"] * 12, proxy.log()
            uploads = [
                asyncio.ensure_future(asked(proxy, "chunked", made(8 * MB, i), 100_000)) for i in range(4)
            ]
            held = [-1]
            while held != (held := [len(reader._buffer) for reader in readers]):  # type: ignore[attr-defined]
                await asyncio.sleep(0.2)  # until nothing moves any more
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
            assert resident_mb(proxy) - before_mb < 40  # of 272 MB that have gone through

    asyncio.run(scene())


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
def test_cut_answer_can_be_told(framing: str) -> None:
    async def half(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = {"length": b"Content-Length: 1000000\r\n", "chunked": b"Transfer-Encoding: chunked\r\n"}
        writer.write(b"HTTP/1.1 200 OK\r\n" + head.get(framing, b"Connection: close\r\n") + b"\r\n")
        writer.write(b"%x\r\n" % 1_000_000 if framing == "chunked" else b"")
        writer.write(b"z" * 300_000)
        await writer.drain()
        await release.wait()
        # As of a process that dies: a reset, no orderly end.
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    release = asyncio.Event()

    async def scene() -> None:
        host, discovery = await Host("h", half).start(), await Discovery().start()
        async with running(discovery, [host]) as proxy, asyncio.timeout(TIMEOUT_S):
            reader, _writer = await asked(proxy, "length", b"x", 0)
            start, headers = await read_head(reader)  # the beginning does not wait for the end
            assert start.split()[1] == "200"
            release.set()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_body(reader, headers)
            assert len(host.seen) == 1
            text = (await proxy.call("GET", "/admin/stats")).body.decode()
            assert 'proxy_transactions_total{group="keyed",state="errored"} 1' in text

    asyncio.run(scene())


def test_body_that_is_partly_gone_is_sent_once() -> None:
    async def scene() -> None:
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
            assert await reader.read() == b""  # what comes of the body is no next request
            assert begun == 1

    asyncio.run(scene())


def test_body_that_turns_out_unreadable_is_an_error_and_counted() -> None:
    async def scene() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        async with running(discovery, [host]) as proxy, asyncio.timeout(TIMEOUT_S):
            address, port = proxy.address.split(":")
            reader, writer = await asyncio.open_connection(address, int(port))
            head = b"POST /unsafe HTTP/1.1\r\nX-Request-ID: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"30d40\r\n" + b"z" * 200_000 + b"\r\n")
            while not host.open:  # it is on its way
                await asyncio.sleep(0.01)
            writer.write(b"no chunk\r\n")
            start, _headers = await read_head(reader)
            assert start.split()[1] == "400"
            await host.wait(lambda: not host.open)
            assert host.seen == []
            text = (await proxy.call("GET", "/admin/stats")).body.decode()
            assert 'proxy_transactions_total{group="unsafe",state="errored"} 1' in text
            assert "proxy_current 0" in text

    asyncio.run(scene())


def test_body_that_is_whole_goes_to_another_host() -> None:
    async def scene() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        gone = await Host("gone").start()
        gone.server.close()
        await gone.server.wait_closed()
        body = made(3 * MAX_BUFFERED_BODY_BYTES)
        async with running(discovery, [gone, host]) as proxy, asyncio.timeout(TIMEOUT_S):
            for _ in range(6):
                reader, _writer = await asked(proxy, "length", body, 0)
                start, _headers = await read_head(reader)
                assert start.split()[1] == "200"
            assert [seen.message.body == body for seen in host.seen] == [True] * 6

    asyncio.run(scene())


def test_slow_clients_have_their_time() -> None:
    """A head over more than a second, and a body at 64 kB a second that is longer than the deadline."""

    async def scene() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        body = made(3 * 65_536)
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

    asyncio.run(scene())


def test_head_may_be_asked_of_health() -> None:
    async def scene() -> None:
        host, discovery = await Host("h").start(), await Discovery().start()
        async with running(discovery, [host]) as proxy:
            client = await proxy.client()
            client.writer.write(b"HEAD /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.read()).status == 200
            assert (await client.ask("/unsafe")).status == 200

    asyncio.run(scene())


# Its parts


def test_budget_bounds_what_streams_hold() -> None:
    budget, resumed = Budget(0), []
    uploads = [Upload(budget, None, lambda: resumed.append(1)) for _ in range(100)]
    assert budget.limit == LEAST_BUDGET
    for _ in range(20):
        for upload in uploads:
            if not upload.full:
                upload.feed(b"z" * 32_768)
    # Over the budget each holds one piece at the most, beyond what it held before.
    assert budget.held <= LEAST_BUDGET + 100 * 32_768
    assert all(upload.full for upload in uploads)
    held = budget.held
    assert len(uploads[0].take() or b"") == 32_768
    assert budget.held == held - 32_768
    for upload in uploads:
        upload.drop()
    assert budget.held == 0
    assert not budget.full_for(HIGH - 1)


def test_upload_is_spent_with_its_first_piece() -> None:
    upload = Upload(Budget(0), 10, lambda: None)
    upload.feed(b"01234")
    assert not upload.spent
    assert upload.take() == b"01234"
    assert upload.spent
    upload.ended = True
    assert upload.drained


# What the module makes of it


def uploading(driver: Driver, class_name: str = "keyed") -> list[Any]:
    return driver.tell(RequestArrived(900, class_name, None, uploading=True))


def test_time_begins_with_the_last_byte() -> None:
    driver = Driver()
    (send,) = uploading(driver)
    assert isinstance(send, Send)
    assert send.timeout_ms == 0
    assert driver.balancer.membership.endpoints[send.endpoint].in_flight == 0
    assert driver.wait(60_000) == []  # a slow upload is no slow server
    assert not driver.balancer.membership.endpoints[send.endpoint].silent(driver.now_ms)
    (limit,) = driver.tell(RequestCompleted(900, driver.now_ms + 400))
    assert limit == SetTimeout(900, 0, 400)
    assert driver.balancer.membership.endpoints[send.endpoint].in_flight == 1
    driver.tell(AttemptEnded(900, 0, Outcome.OK, 50.0, True))
    assert driver.balancer.membership.endpoints[send.endpoint].in_flight == 0
    assert 900 not in driver.balancer.requests


@pytest.mark.parametrize("class_name", ["safe", "keyed", "unsafe"])
@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_spent_request_gets_its_final_answer_at_once(class_name: str, outcome: Outcome) -> None:
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
    assert server.in_flight == 0  # it has done its work
    assert driver.wait(60_000) == []  # no deadline any more
    assert driver.tell(AttemptEnded(request_id, 0, Outcome.RESET, 60_000.0, answered=True)) == []
    assert driver.sent[request_id] == ["s1"]
    assert server.in_flight == 0
    assert server.failures == 0


def test_client_that_leaves_in_an_upload_leaves_nothing_behind() -> None:
    async def scene() -> None:
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
                await host.wait(lambda: not host.open)  # the attempt has ended, too
            text = (await proxy.call("GET", "/admin/stats")).body.decode()
            assert "proxy_current 0" in text
            assert "proxy_sends_total 0" in text
            assert host.seen == []
            assert (await (await proxy.client()).ask("/unsafe")).status == 200

    asyncio.run(scene())


# An answer that begins just before its attempt's time is up. The hold of an answer of unknown length is ten
# times the usual here, so that it spans the end of that time whatever the machine is busy with.

HOLD_S = 0.5
DEADLINE_S = 1.2
DEADLINED = RequestClass("unsafe", DEADLINE_S * 1000, DEADLINE_S * 1000, idempotency=Idempotency.UNSAFE)


class StreamedCall(FakeCall):
    """A call whose answer may come whole or piece by piece."""

    def __init__(self) -> None:
        super().__init__(timeout_ms=DEADLINE_S * 1000)
        self.begun_s = 0.0

    def start_stream(self, head: StreamHead, source: Source) -> Sink:
        self.begun_s = time.monotonic()
        self.given.append("begun")
        self.body = b""
        return self

    def piece(self, data: bytes) -> None:
        self.body += data

    def finish(self) -> None:
        self.given.append("whole")

    def cut(self) -> None:
        self.given.append("cut")


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
def test_answer_that_begins_in_time_is_never_cut(
    before_s: float, framing: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_module, "UNHURRIED_S", HOLD_S)

    async def scene() -> None:
        ends: list[str] = []
        body = made(160 * 1024)
        host = await SmallHost("h", late_answer(DEADLINE_S - before_s, framing, body, ends)).start()
        upstream = Upstream(8, 60_000, 1000)
        node = Node(Settings((DEADLINED,)), 1, upstream, lambda: None, lambda error: pytest.fail(repr(error)))
        address = "127.0.0.1", host.port
        node.listed(ListKind.FULL, HostList(1, True, (HostEntry(ListedEndpoint("h"), address),)))
        call, asked_s = StreamedCall(), time.monotonic()
        node.arrived(call)
        await until(lambda: ends and not node.owed)
        assert (call.given, ends, call.body == body) == (["begun", "whole"], ["given"], True)
        # The first bytes came in time, and were still in time when they were passed on.
        assert call.begun_s - asked_s < DEADLINE_S + before_s

    asyncio.run(scene())


def test_answer_that_begins_too_late_has_failed() -> None:
    async def scene() -> None:
        ends: list[str] = []
        chunked = b"Transfer-Encoding: chunked\r\n"
        body = made(160 * 1024)
        host = await SmallHost("h", late_answer(DEADLINE_S + 0.4, chunked, body, ends)).start()
        upstream = Upstream(8, 60_000, 1000)
        node = Node(Settings((DEADLINED,)), 1, upstream, lambda: None, lambda error: pytest.fail(repr(error)))
        address = "127.0.0.1", host.port
        node.listed(ListKind.FULL, HostList(1, True, (HostEntry(ListedEndpoint("h"), address),)))
        call = StreamedCall()
        node.arrived(call)
        await until(lambda: not node.owed)
        assert call.given == ["failed"]

    asyncio.run(scene())


# The end of a long answer, on its way to a client that reads slowly


class Streaming(Patient):
    """A handler whose answers are passed on at once, whole, as pieces."""

    def __init__(self, body: bytes) -> None:
        super().__init__()
        self.body = body

    def arrived(self, call: Call) -> None:
        sink = call.start_stream(StreamHead(len(self.body), b""), NoSource())
        for i in range(0, len(self.body), 10_000):
            sink.piece(self.body[i : i + 10_000])
        sink.finish()


class NoSource:
    def pause(self) -> None: ...

    def resume(self) -> None: ...


@pytest.mark.parametrize("ends", ["with its answer", "when idle", "to make room", "in a quiesce"])
def test_end_of_a_long_answer_is_never_cut(ends: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The answer is all in the program, and its client takes up the last of it slowly: whatever would
    close the connection has to wait. All times are nought here, so that each sweep would close it."""
    for name in ("LINGER_S", "IDLE_S", "IDLE_WITH_ROOM_S", "QUIET_S"):
        monkeypatch.setattr(frontend_module, name, 0.0)

    async def scene() -> None:
        body = made(200_000)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # little of it is in the kernel
        listener.setblocking(False)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        frontend = Frontend(Streaming(body), {"unsafe": Idempotency.UNSAFE}, 1)
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
                frontend.send_away()
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

    asyncio.run(scene())
