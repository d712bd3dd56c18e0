"""Invalid, slow and excessive clients: each gets an error or a close in time, without harm to others."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import Any

from cloverrouter.interface import Idempotency
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.messages import Answer, Call
from tests.sockets import (
    SETTINGS,
    TIMEOUT_S,
    Client,
    Discovery,
    Host,
    Proxy,
    ReceivedRequest,
    answer_ok,
    no_answer,
    ok,
    running,
)

ID_HEADER = "X-Request-ID: 1\r\n"
MAX_ANSWER_S = 3.0  # upper bound for an error response or a close
# With deadlines this long, requests end only by what the test does.
LONG_DEADLINES = {
    "categories": [{**c, "aim_ms": 120_000, "deadline_ms": 120_000} for c in SETTINGS["categories"]]
}


async def start_fleet(*responds: Any) -> tuple[Discovery, list[Host]]:
    hosts = [await Host(f"h{i}", respond).start() for i, respond in enumerate(responds)]
    return await Discovery().start(), hosts


async def read_to_end(client: Client) -> bytes:
    """Returns what is received until the connection ends."""
    async with asyncio.timeout(TIMEOUT_S):
        try:
            return await client.reader.read()
        except ConnectionError:
            return b""


def post(target: str, head: str, body: bytes = b"") -> bytes:
    return f"POST {target} HTTP/1.1\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


CHUNKED = "Transfer-Encoding: chunked\r\n"
SMUGGLED = b"0\r\n\r\n" + post("/unsafe", "X-Request-ID: hidden\r\n")
BAD_REQUESTS: dict[str, tuple[bytes, int]] = {
    "noise": (b"\x00\xff\x13 nonsense\r\n\r\n", 400),
    "no version": (b"GET /safe\r\n\r\n", 400),
    "later version": (f"GET /safe HTTP/2.0\r\n{ID_HEADER}\r\n".encode(), 400),
    "no id": (post("/unsafe", ""), 400),
    "empty id": (post("/unsafe", "X-Request-ID: \r\n"), 400),
    "odd id": (post("/unsafe", "X-Request-ID: a b\r\n"), 400),
    "two ids": (post("/unsafe", ID_HEADER + "X-Request-ID: 2\r\n"), 400),
    "two ids alike": (post("/unsafe", ID_HEADER + ID_HEADER), 400),
    "no path": (post("unsafe", ID_HEADER), 400),
    "no class": (post("/", ID_HEADER), 404),
    "unknown class": (post("/other", ID_HEADER), 404),
    "class in another case": (post("/Unsafe", ID_HEADER), 404),
    "wrong method": (f"GET /unsafe HTTP/1.1\r\n{ID_HEADER}\r\n".encode(), 405),
    "posted safe": (post("/safe", ID_HEADER), 405),
    "body on a safe one": (f"GET /safe HTTP/1.1\r\n{ID_HEADER}Content-Length: 2\r\n\r\nab".encode(), 400),
    "keyed without a key": (post("/keyed", ID_HEADER), 400),
    "unsafe with a key": (post("/unsafe", ID_HEADER + "Idempotency-Key: k\r\n"), 400),
    "two keys": (post("/keyed", ID_HEADER + "Idempotency-Key: k\r\nIdempotency-Key: l\r\n"), 400),
    "length below zero": (f"POST /unsafe HTTP/1.1\r\n{ID_HEADER}Content-Length: -5\r\n\r\n".encode(), 400),
    "length that is no number": (
        f"POST /unsafe HTTP/1.1\r\n{ID_HEADER}Content-Length: ten\r\n\r\n".encode(),
        400,
    ),
    "length past all bounds": (
        f"POST /unsafe HTTP/1.1\r\n{ID_HEADER}Content-Length: {9**40}\r\n\r\n".encode(),
        400,
    ),
    "two lengths": (
        f"POST /unsafe HTTP/1.1\r\n{ID_HEADER}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab".encode(),
        400,
    ),
    "length too short": (
        f"POST /unsafe HTTP/1.1\r\n{ID_HEADER}Content-Length: 2\r\n\r\nabcdef\r\n".encode(),
        400,
    ),
    "length, then chunked": (
        f"POST /unsafe HTTP/1.1\r\n{ID_HEADER}Content-Length: {len(SMUGGLED)}\r\n{CHUNKED}\r\n".encode()
        + SMUGGLED,
        400,
    ),
    "chunked, then length": (
        f"POST /unsafe HTTP/1.1\r\n{ID_HEADER}{CHUNKED}Content-Length: {len(SMUGGLED)}\r\n\r\n".encode()
        + SMUGGLED,
        400,
    ),
    "other coding": (
        f"POST /unsafe HTTP/1.1\r\n{ID_HEADER}Transfer-Encoding: gzip, chunked\r\n\r\n".encode(),
        400,
    ),
    "bad chunk": (f"POST /unsafe HTTP/1.1\r\n{ID_HEADER}{CHUNKED}\r\nxyz\r\n".encode(), 400),
    "upgrade": (
        f"GET /safe HTTP/1.1\r\n{ID_HEADER}Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n".encode(),
        400,
    ),
    "large length": (f"POST /unsafe HTTP/1.1\r\n{ID_HEADER}Content-Length: 99000000\r\n\r\n".encode(), 413),
    "endless header": (b"GET /safe HTTP/1.1\r\nA: " + b"b" * 100_000, 431),
    "large head": (f"GET /safe HTTP/1.1\r\n{ID_HEADER}A: ".encode() + b"b" * 20_000 + b"\r\n\r\n", 431),
    "long head": (b"GET /safe HTTP/1.1\r\n" + b"A: b\r\n" * 20_000, 431),
    **{
        f"deadline {text[:9]!r}": (post("/unsafe", f"{ID_HEADER}X-Timeout-Ms: {text}\r\n"), 400)
        for text in ("", "soon", "nan", "inf", "1e999", "-20", "-0", "0x10", "4.5", "1_0", "9" * 400)
    },
    "two deadlines": (post("/unsafe", ID_HEADER + "X-Timeout-Ms: 500\r\nX-Timeout-Ms: 900\r\n"), 400),
}


def test_bad_request_gets_an_error_and_is_not_forwarded() -> None:
    async def scenario() -> None:
        discovery, hosts = await start_fleet(answer_ok)
        async with running(discovery, hosts) as proxy:
            for name, (data, status) in BAD_REQUESTS.items():
                begun = time.monotonic()
                client = await proxy.client()
                client.writer.write(data)
                assert (await client.read()).status == status, name
                assert await read_to_end(client) == b"", name  # the connection ends with it
                assert time.monotonic() - begun < MAX_ANSWER_S, name
                client.writer.close()
            assert not hosts[0].seen
            assert (await (await proxy.client()).ask("/unsafe")).status == 200

    asyncio.run(scenario())


def test_bad_request_byte_by_byte() -> None:
    async def scenario() -> None:
        discovery, hosts = await start_fleet(answer_ok)
        async with running(discovery, hosts) as proxy:
            for name in ("two ids", "length, then chunked", "chunked, then length", "unknown class"):
                client = await proxy.client()
                data, status = BAD_REQUESTS[name]
                for i in range(len(data)):
                    client.writer.write(data[i : i + 1])
                    await asyncio.sleep(0)
                assert (await client.read()).status == status, name
                client.writer.close()
            assert not hosts[0].seen

    asyncio.run(scenario())


def test_id_of_an_open_request_is_rejected() -> None:
    async def scenario() -> None:
        discovery, hosts = await start_fleet(no_answer)
        async with running(discovery, hosts, settings=LONG_DEADLINES) as proxy:
            first = await proxy.client()
            data = post("/unsafe", "X-Request-ID: same\r\n")
            first.writer.write(data)
            await hosts[0].wait(lambda: len(hosts[0].seen) == 1)
            for _ in range(2):
                other = await proxy.client()
                other.writer.write(data)
                assert (await other.read()).status == 409
            hosts[0].respond = answer_ok
            hosts[0].open[1].write(ok(b"for the first"))
            assert (await first.read()).body == b"for the first"
            assert len(hosts[0].seen) == 1
            again = await proxy.client()  # the id is free after the answer: a client may have to retry
            again.writer.write(data)
            assert (await again.read()).status == 200

    asyncio.run(scenario())


def test_id_of_a_waiting_request_is_rejected() -> None:
    async def scenario() -> None:
        discovery, hosts = await start_fleet(no_answer)
        async with running(discovery, hosts, settings=LONG_DEADLINES) as proxy:
            client = await proxy.client()
            client.writer.write(
                post("/unsafe", "X-Request-ID: one\r\n") + post("/unsafe", "X-Request-ID: two\r\n")
            )
            await hosts[0].wait(lambda: len(hosts[0].seen) == 1)
            other = await proxy.client()
            other.writer.write(post("/unsafe", "X-Request-ID: two\r\n"))
            assert (await other.read()).status == 409

    asyncio.run(scenario())


def test_error_behind_an_open_call_does_not_wait_for_it() -> None:
    async def scenario() -> None:
        discovery, hosts = await start_fleet(no_answer)
        async with running(discovery, hosts, settings=LONG_DEADLINES) as proxy:
            client = await proxy.client()
            client.send("/unsafe")
            await hosts[0].wait(lambda: len(hosts[0].seen) == 1)
            begun = time.monotonic()
            client.writer.write(b"\x00 noise\r\n\r\n")
            assert (await client.read()).status == 400
            assert time.monotonic() - begun < MAX_ANSWER_S
            await hosts[0].wait(lambda: not hosts[0].open)  # the call was cancelled

    asyncio.run(scenario())


def test_hundreds_of_requests_at_once_are_not_queued() -> None:
    async def scenario() -> None:
        discovery, hosts = await start_fleet(answer_ok)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.writer.write(b"".join(post("/unsafe", f"X-Request-ID: {i}\r\n") for i in range(300)))
            assert (await client.read()).status == 429
            assert await read_to_end(client) == b""
            large = await proxy.client()
            large.writer.write(
                b"".join(post("/unsafe", f"X-Request-ID: {i}\r\n", b"x" * 60_000) for i in range(9))
            )
            *_, last = (await read_to_end(large)).split(b"HTTP/1.1 ")
            assert last.startswith(b"429")

    asyncio.run(scenario())


def test_timeout_of_a_waiting_call_starts_with_its_last_byte() -> None:
    async def slow(seen: ReceivedRequest, writer: Any) -> None:
        await asyncio.sleep(0.5)
        writer.write(ok())

    async def scenario() -> None:
        discovery, hosts = await start_fleet(slow)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.send("/unsafe", timeout_ms=2000)
            client.send("/unsafe", timeout_ms=400)
            assert (await client.read()).status == 200
            assert (await client.read()).status == 503  # timed out before it was dispatched
            assert len(hosts[0].seen) == 1

    asyncio.run(scenario())


# Timeouts


def test_half_a_request_and_a_silent_connection_end_in_time() -> None:
    async def scenario() -> None:
        discovery, hosts = await start_fleet(answer_ok)
        async with running(discovery, hosts) as proxy:
            begun = time.monotonic()
            halves = [b"POST /unsafe HT", post("/unsafe", ID_HEADER, b"0123456789")[:-3]]
            clients = [await proxy.client() for _ in range(4)]
            for client, data in zip(clients, halves, strict=False):
                client.writer.write(data)
            dribbling = clients[2]
            dribbling.writer.write(b"GET /safe HTTP/1.1\r\n")
            ends = asyncio.gather(*(read_to_end(client) for client in clients))
            while not ends.done():
                try:
                    dribbling.writer.write(b"A: b\r\n")
                except ConnectionError:
                    break
                await asyncio.sleep(0.1)
            got = await ends
            assert time.monotonic() - begun < MAX_ANSWER_S
            assert [answer.split(b"\r\n")[0] for answer in got] == [b"HTTP/1.1 408 Request Timeout"] * 3 + [
                b""
            ]

    asyncio.run(scenario())


def test_connection_outlives_a_pause_between_requests() -> None:
    async def scenario() -> None:
        discovery, hosts = await start_fleet(answer_ok)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            for _ in range(2):
                assert (await client.ask("/unsafe")).status == 200
                await asyncio.sleep(3.0)
            assert (await client.ask("/unsafe")).status == 200

    asyncio.run(scenario())


def test_sixty_megabytes_are_discarded_and_the_error_stays_readable() -> None:
    async def scenario() -> None:
        discovery, hosts = await start_fleet(answer_ok)
        async with running(discovery, hosts) as proxy:
            begun = time.monotonic()
            client = await proxy.client()
            client.writer.write(
                f"POST /unsafe HTTP/1.1\r\n{ID_HEADER}Content-Length: 60000000\r\n\r\n".encode()
            )
            answer = asyncio.create_task(client.read())
            for _ in range(60):
                client.writer.write(b"x" * 1_000_000)
                await client.writer.drain()
            assert (await answer).status == 413
            assert time.monotonic() - begun < 6
            assert resident_mb(proxy) < 60

    asyncio.run(scenario())


def resident_mb(proxy: Proxy) -> float:
    with open(f"/proc/{proxy.process.pid}/statm") as file:
        return int(file.read().split()[1]) * 4096 / 1e6


def test_answers_that_are_not_read_are_bounded_and_the_connection_ends() -> None:
    async def big(seen: ReceivedRequest, writer: Any) -> None:
        writer.write(ok(b"y" * 60_000))

    async def scenario() -> None:
        discovery, hosts = await start_fleet(big)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            for i in range(1000):
                client.writer.write(post("/unsafe", f"X-Request-ID: {i}\r\n"))
                await client.writer.drain()
                if i % 8 == 7:  # not more at once than may be pipelined
                    await asyncio.sleep(0.01)
                if client.writer.transport.is_closing():
                    break
            async with asyncio.timeout(TIMEOUT_S):
                while await descriptors_of_clients(proxy):
                    await asyncio.sleep(0.1)

    asyncio.run(scenario())


async def descriptors_of_clients(proxy: Proxy) -> int:
    """Returns the number of established connections to the program's listening port."""
    host, port = proxy.address.split(":")
    at = "".join(f"{int(part):02X}" for part in reversed(host.split("."))) + f":{int(port):04X}"
    with open("/proc/net/tcp") as file:
        lines = [line.split() for line in file.readlines()[1:]]
    return sum(line[1] == at and line[3] == "01" for line in lines)


# Descriptors


def test_silent_connections_are_evicted() -> None:
    """The limit is 256 descriptors: more connections than that must not keep a client out."""

    async def scenario() -> None:
        discovery, hosts = await start_fleet(answer_ok)
        async with running(discovery, hosts) as proxy:
            active = await proxy.client()
            assert (await active.ask("/unsafe")).status == 200
            silent = [await proxy.client() for _ in range(400)]
            client = await proxy.client()
            assert (await client.ask("/unsafe")).status == 200
            assert await descriptors_of_clients(proxy) <= 128
            # The oldest silent ones were evicted, not those that have sent a request.
            assert (await active.ask("/unsafe")).status == 200
            assert await read_to_end(silent[0]) == b""
            for one in silent:
                one.writer.close()

    asyncio.run(scenario())


class UnansweringHandler:
    """A handler that never answers."""

    def __init__(self) -> None:
        self.calls: list[Call] = []

    def call_arrived(self, call: Call) -> None:
        self.calls.append(call)

    def call_completed(self, call: Call) -> None:
        """Ignored."""

    def client_disconnected(self, call: Call) -> None:
        self.calls.remove(call)

    def is_open(self, request_id: bytes) -> bool:
        return any(call.request_id == request_id for call in self.calls)

    def ready(self) -> bool:
        return True


def test_answer_to_a_finished_call_does_not_reach_the_next_one() -> None:
    async def scenario() -> None:
        handler = UnansweringHandler()
        frontend = Frontend(handler, {"unsafe": Idempotency.UNSAFE}, 10)
        client = Client(*await asyncio.open_connection(*await frontend.listen(("127.0.0.1", 0))))
        for number in range(2):
            client.send("/unsafe")
            async with asyncio.timeout(TIMEOUT_S):
                while len(handler.calls) <= number:
                    await asyncio.sleep(0)
            if not number:
                handler.calls[0].send_answer(Answer(200, b"first", b"", False, None))
                assert (await client.read()).body == b"first"
        handler.calls[0].send_answer(Answer(200, b"first", b"", False, None))
        handler.calls[1].send_answer(Answer(200, b"second", b"", False, None))
        assert (await client.read()).body == b"second"
        frontend.close()

    asyncio.run(scenario())


def test_connections_beyond_the_limit_end_at_once() -> None:
    async def scenario() -> None:
        handler = UnansweringHandler()
        frontend = Frontend(handler, {"unsafe": Idempotency.UNSAFE}, 10)
        address = await frontend.listen(("127.0.0.1", 0))
        clients: list[Client] = []
        for i in range(10):
            clients.append(Client(*await asyncio.open_connection(*address)))
            clients[-1].send("/unsafe")
            async with asyncio.timeout(TIMEOUT_S):
                while len(handler.calls) <= i:
                    await asyncio.sleep(0)
        begun = time.monotonic()
        for _ in range(20):  # all are busy: none may be evicted
            received = await read_to_end(Client(*await asyncio.open_connection(*address)))
            assert received == (
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
        assert time.monotonic() - begun < MAX_ANSWER_S
        assert len(handler.calls) == 10
        frontend.close()

    asyncio.run(scenario())


def test_idle_connections_of_single_requests_are_closed_with_their_answers() -> None:
    async def scenario() -> None:
        discovery, hosts = await start_fleet(answer_ok)
        async with running(discovery, hosts) as proxy:
            stay, ended = [], 0
            for _ in range(60):
                client = await proxy.client()
                got = await client.ask("/unsafe")
                assert got.status == 200
                if got.headers.get("connection") == "close":
                    assert await read_to_end(client) == b""
                    ended += 1
                stay.append(client)
            assert ended > 30
            assert await descriptors_of_clients(proxy) < 30

    asyncio.run(scenario())


def test_sigterm_answers_what_waits_on_a_connection() -> None:
    async def slow(seen: ReceivedRequest, writer: Any) -> None:
        await asyncio.sleep(0.3)
        writer.write(ok(seen.message.body))

    async def scenario() -> None:
        discovery, hosts = await start_fleet(slow)
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            for i in range(3):
                client.send("/unsafe", body=b"%d" % i)
            await hosts[0].wait(lambda: len(hosts[0].seen) == 1)
            proxy.process.send_signal(signal.SIGTERM)
            assert [(await client.read()).body for _ in range(3)] == [b"0", b"1", b"2"]
            assert await read_to_end(client) == b""
            assert await proxy.ended() == 0

    asyncio.run(scenario())
