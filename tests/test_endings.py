"""Race conditions between an end (a disconnect, a close, a timeout, a shutdown) and work that is in progress.

Each race is forced by a barrier, a patched step or a socket option. Most tests run parts of the program in
the test's own loop, so that a step of the test can run between two of its steps; the rest run the whole
program.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import struct
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

import pytest

from cloverrouter.interface import (
    DedupScope,
    Idempotency,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestClass,
    Settings,
)
from cloverrouter.proxy import frontend as frontend_module
from cloverrouter.proxy.config import Address, HostEntry, HostList, UnixClock
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.frontend import ClientConnection, Frontend
from cloverrouter.proxy.messages import Answer, hung_up
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.upstream import SETTLE_S, Upstream
from tests.sockets import (
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
from tests.test_clients import LONG_DEADLINES
from tests.test_upstream import FakeCall, full_listener, narrow_listener, until

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def settings(window_ms: float = 60_000.0) -> Settings:
    keyed = RequestClass(
        "keyed", 20_000, 30_000, idempotency=Idempotency.KEYED, dedup_scope=DedupScope.ALL,
        dedup_window_ms=window_ms,
    )  # fmt: skip
    return Settings((keyed, RequestClass("unsafe", 20_000, 30_000)))


@dataclass
class Parts:
    """The frontend, the node and the upstream, in the test's loop."""

    front: Frontend
    node: Node
    upstream: Upstream
    address: Address
    crashes: list[BaseException]

    def set_hosts(self, **hosts: Address) -> None:
        entries = tuple(HostEntry(ListedEndpoint(name), address) for name, address in hosts.items())
        self.node.update_hosts(ListKind.FULL, HostList(1, True, entries))

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(*self.address))

    def connections(self) -> list[ClientConnection]:
        return list(self.front._connections)


@asynccontextmanager
async def parts(configured: Settings | None = None, max_open: int = 64) -> AsyncIterator[Parts]:
    crashes: list[BaseException] = []
    configured = configured or settings()
    upstream = Upstream(64, 60_000, 20_000)
    node = Node(configured, 1, upstream, lambda: None, crashes.append)
    front = Frontend(node, {cls.name: cls.idempotency for cls in configured.classes}, max_open)
    address = await front.listen(("127.0.0.1", 0))
    yield Parts(front, node, upstream, address, crashes)
    front.close()
    assert not crashes


def address_of(host: Host) -> Address:
    return "127.0.0.1", host.port


def own_socket(client: Client) -> socket.socket:
    """Returns a duplicate of the client's socket, to use it immediately instead of through the loop."""
    return socket.socket(fileno=socket.dup(client.writer.get_extra_info("socket").fileno()))


def disconnect(client: Client, how: str) -> None:
    """Ends the connection immediately: the kernel has the client's end when this returns."""
    sock = client.writer.get_extra_info("socket")
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    own = own_socket(client)
    client.writer.transport.abort()  # closes its descriptor in the loop's next iteration
    own.shutdown(socket.SHUT_WR) if how == "close" else None
    own.close()


# A client that disconnects while its request waits


async def hold_second_request(app: Parts) -> tuple[Host, Client, Client]:
    """Returns a host, the client of its active request, and the client of a second, queued request."""
    host = await Host("h", no_answer).start()
    app.set_hosts(h=address_of(host))
    first, second = await app.client(), await app.client()
    first.send("/unsafe", timeout_ms=30_000)
    await host.wait(lambda: len(host.seen) == 1)
    second.send("/unsafe", timeout_ms=30_000)
    await until(lambda: app.node.pending_calls == 2)
    assert len(host.seen) == 1
    return host, first, second


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_queued_request_is_not_sent_after_a_disconnect_that_is_not_read_yet(how: str) -> None:
    """Capacity becomes available in the step of the disconnect, before the loop has noticed that."""

    async def scenario() -> None:
        async with parts() as app:
            # `_first` keeps a reference: an unreferenced client is closed.
            host, _first, second = await hold_second_request(app)
            if how == "reset":  # the transport closes in a later iteration, not in this step
                disconnect(second, how)
                await until(lambda: app.node.pending_calls == 1)
            else:
                second.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
            (active,) = app.node._active_attempts.values()
            active.on_ended(Outcome.OK, Answer(200, b"room", b"", False, None))
            assert not app.node._active_attempts and not app.node.pending_calls  # nothing is being sent
            third = await app.client()
            host.respond = answer_ok
            assert (await third.ask("/unsafe")).status == 200
            assert len(host.seen) == 2

    asyncio.run(scenario())


def test_queued_request_is_not_sent_after_a_disconnect_behind_unread_bytes() -> None:
    """The client began its next request before it disconnected, and none of that has been read."""

    async def scenario() -> None:
        async with parts() as app:
            # `_first` keeps a reference: an unreferenced client is closed.
            host, _first, second = await hold_second_request(app)
            with own_socket(second) as raw:
                assert raw.send(b"POST /unsafe HT") == 15
                raw.shutdown(socket.SHUT_WR)
            (active,) = app.node._active_attempts.values()
            active.on_ended(Outcome.OK, Answer(200, b"room", b"", False, None))
            assert not app.node._active_attempts and not app.node.pending_calls
            assert len(host.seen) == 1

    asyncio.run(scenario())


def test_connection_that_opens_as_the_client_disconnects_gets_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        up, go = asyncio.Event(), asyncio.Event()
        real = loop.create_connection

        async def held(*how: Any, **more: Any) -> Any:
            if "sock" in more:  # the upstream's: connected, but without a transport
                up.set()
                await go.wait()
            return await real(*how, **more)

        async with parts() as app:
            host = await Host("h").start()
            app.set_hosts(h=address_of(host))
            client = await app.client()
            monkeypatch.setattr(loop, "create_connection", held)
            client.send("/unsafe", timeout_ms=30_000)
            await up.wait()
            (connection,) = app.connections()
            assert connection._transport is not None
            connection._transport.pause_reading()  # as in a process that stands still
            client.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
            go.set()
            await until(lambda: not app.node.pending_calls)
            await host.wait(lambda: host.connections == 1)
            monkeypatch.undo()
            third = await app.client()
            assert (await third.ask("/unsafe")).status == 200
            assert len(host.seen) == 1

    asyncio.run(scenario())


def test_request_behind_unread_answers_is_not_sent_after_the_disconnect() -> None:
    """A half-closed connection is flushed first, however long that takes."""

    async def scenario() -> None:
        async with parts() as app:
            host = await Host("h").start()

            async def large(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
                writer.write(ok(b"x" * 60_000))

            host.respond = large
            app.set_hosts(h=address_of(host))
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, app.address)
            await until(app.connections)
            (connection,) = app.connections()
            connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            for number in range(6):
                head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: r{number}\r\nContent-Length: 0\r\n\r\n"
                await asyncio.get_running_loop().sock_sendall(sock, head.encode())
            await until(lambda: connection._paused)
            assert connection.busy  # some requests wait
            sent = len(host.seen)
            sock.shutdown(socket.SHUT_WR)
            await until(lambda: not connection.busy)
            got = 0
            while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
                got += len(data)
            assert got > 60_000  # finished answers are delivered in full
            assert len(host.seen) == sent
            sock.close()

    asyncio.run(scenario())


def test_disconnect_behind_unread_bytes_is_detected_before_a_large_body_is_sent() -> None:
    async def scenario() -> None:
        async with parts() as app:
            host = await Host("h", no_answer).start()
            app.set_hosts(h=address_of(host))
            first = await app.client()
            first.send("/unsafe", timeout_ms=30_000)
            await host.wait(lambda: len(host.seen) == 1)
            large = await app.client()
            head = b"POST /unsafe HTTP/1.1\r\nX-Request-ID: big\r\nContent-Length: 3000000\r\n\r\n"
            large.writer.write(head)
            large.writer.write(b"y" * 180_000)
            await until(lambda: any(c._reading_paused_since_s is not None for c in app.connections()))
            await until(lambda: not large.writer.transport.get_write_buffer_size())
            raw = own_socket(large)
            raw.setblocking(False)
            assert raw.send(b"y" * 2_000) == 2_000  # not read for now, and followed by the end
            raw.shutdown(socket.SHUT_WR)
            raw.close()
            (connection,) = (c for c in app.connections() if c._reading_paused_since_s is not None)
            await until(lambda: hung_up(connection._sock))  # the end has arrived
            assert connection._sock.recv(1, socket.MSG_PEEK) == b"y"  # behind these bytes
            (active,) = app.node._active_attempts.values()
            active.on_ended(Outcome.OK, Answer(200, b"room", b"", False, None))
            assert not app.node._active_attempts and not app.node.pending_calls

    asyncio.run(scenario())


def test_disconnect_between_attempts_ends_the_request() -> None:
    async def scenario() -> None:
        async with parts() as app:
            hosts = [await Host(name, no_answer).start() for name in ("h0", "h1")]
            app.set_hosts(h0=address_of(hosts[0]), h1=address_of(hosts[1]))
            client = await app.client()
            client.send("/keyed", timeout_ms=30_000)
            await until(lambda: sum(len(host.seen) for host in hosts) == 1)
            (active,) = app.node._active_attempts.values()
            active.on_ended(Outcome.RESET, None)
            assert app.node.pending_calls and not app.node._active_attempts  # backoff before the next attempt
            client.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
            await until(lambda: not app.node.pending_calls)
            for call in list(app.node._balancer.timers.values()):
                call()  # the retry timer still fires
            assert not app.node._active_attempts
            assert sum(len(host.seen) for host in hosts) == 1

    asyncio.run(scenario())


def test_disconnect_cancels_requests_that_wait_behind_the_open_one() -> None:
    async def scenario() -> None:
        async with parts() as app:
            host = await Host("h", no_answer).start()
            app.set_hosts(h=address_of(host))
            client = await app.client()
            client.send("/unsafe", timeout_ms=30_000)
            client.send("/unsafe", timeout_ms=30_000)
            client.writer.write(b"POST /unsafe HTTP/1.1\r\nX-Request")  # and a part of a third
            await host.wait(lambda: len(host.seen) == 1)
            disconnect(client, "close")
            await until(lambda: not app.node.pending_calls and not app.front.waiting)
            host.respond = answer_ok
            assert (await (await app.client()).ask("/unsafe")).status == 200
            assert len(host.seen) == 2

    asyncio.run(scenario())


def test_request_of_a_client_that_disconnects_before_the_accept_is_not_sent() -> None:
    """Its connection waits in the listener's queue: the request comes in one read, the end in the next."""

    async def scenario() -> None:
        async with parts() as app:
            host = await Host("h").start()
            app.set_hosts(h=address_of(host))
            first = await app.client()
            assert (await first.ask("/unsafe")).status == 200
            (connection,) = app.upstream.connections
            # It is idle and has settled: the next request would be sent at once.
            await until(lambda: app.upstream.loop.time() > connection.idle_since + SETTLE_S)
            app.front.stop_accepting()
            with socket.create_connection(app.address) as gone:
                gone.sendall(b"POST /unsafe HTTP/1.1\r\nX-Request-ID: gone\r\nContent-Length: 0\r\n\r\n")
            app.front._accept(app.front.listener)
            assert app.front.open == 2
            await until(lambda: app.front.open == 1 and not app.node.pending_calls)
            assert (await first.ask("/unsafe")).status == 200
            assert [seen.message.headers["x-request-id"] for seen in host.seen].count("gone") == 0

    asyncio.run(scenario())


# Eviction of a connection on which the rest of a request has just arrived


def test_connection_is_not_evicted_if_the_last_byte_of_its_request_has_just_arrived() -> None:
    async def scenario() -> None:
        async with parts(max_open=2) as app:
            host = await Host("h").start()
            app.set_hosts(h=address_of(host))
            clients = [await app.client(), await app.client()]
            for number, client in enumerate(clients):
                head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: h{number}\r\nContent-Length: 4\r\n\r\nha"
                client.writer.write(head.encode())
            await until(lambda: [c.request_incomplete for c in app.connections()] == [True, True])
            waiting = socket.create_connection(app.address)
            for client in clients:
                with own_socket(client) as raw:
                    raw.send(b"lf")
            assert app.front._listener is not None
            app.front._accept(app.front._listener)  # before either has been read
            for client in clients:
                assert (await client.read()).status == 200
            waiting.close()

    asyncio.run(scenario())


# Attempts


def test_retry_on_a_slow_connection_is_not_sent_after_its_window() -> None:
    async def scenario() -> None:
        listener, fillers = full_listener()
        async with parts(settings(window_ms=400.0)) as app:
            host = await Host("h", no_answer).start()
            app.set_hosts(h=address_of(host))
            client = await app.client()
            client.send("/keyed", timeout_ms=30_000)
            await host.wait(lambda: len(host.seen) == 1)
            entry = HostEntry(ListedEndpoint("slow"), listener.getsockname())
            app.node.update_hosts(ListKind.DELTA, HostList(2, False, (entry,)))
            (active,) = app.node._active_attempts.values()
            active.on_ended(Outcome.RESET, None)
            await until(lambda: [active.host for active in app.node._active_attempts.values()] == ["slow"])
            await asyncio.sleep(0.45)  # the window is over; the deadline is far
            for filler in fillers:
                filler.close()
            listener.setblocking(False)
            got = b""
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.5):  # the connection is established by the next SYN
                    while True:
                        peer, _ = await asyncio.get_running_loop().sock_accept(listener)
                        with contextlib.suppress(ConnectionError):
                            got += await asyncio.get_running_loop().sock_recv(peer, 100)
            assert got == b""
            assert (await client.read()).status == 502
        listener.close()

    asyncio.run(scenario())


def test_answer_before_the_end_of_the_request_is_not_served() -> None:
    """A stray answer while the request is still being written can't belong to this request."""

    async def scenario() -> None:
        listener = narrow_listener()
        ends: list[Outcome] = []
        upstream = Upstream(8, 60_000, 1000)
        call = FakeCall(b"x" * 32_000_000)  # more than the socket buffers of both sides hold
        upstream.send(("h", listener.getsockname()), call, 2000, lambda outcome, _: ends.append(outcome))
        peer, _ = await asyncio.get_running_loop().sock_accept(listener)
        await asyncio.get_running_loop().sock_sendall(peer, ok(b"another's"))
        await until(lambda: ends)
        assert ends == [Outcome.CONNECT_FAILED]
        peer.close()
        listener.close()

    asyncio.run(scenario())


# Discovery watches that fail


class Agent:
    """A discovery agent with scripted answers."""

    def __init__(self, *answers: bytes | None) -> None:
        self.answers = list(answers)  # None: silence; b"": a reset; past the last: silence
        self.calls: list[tuple[str, float]] = []

    async def start(self) -> Agent:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.calls.append((head.split()[1], time.monotonic()))
                answer = self.answers.pop(0) if self.answers else None
                if answer == b"":
                    writer.transport.abort()
                elif answer is not None:
                    writer.write(answer)
                if answer == HALF_ANSWER:
                    break
        writer.close()


class HighestRandom(random.Random):
    """Always draws the highest value, for the longest pauses."""

    def random(self) -> float:
        return 0.999


ENTRY = '{"id":"h","addr":"127.0.0.1:9","state":"active"}'


def listing(version: int = 2, entries: str = ENTRY, full: str = "true") -> bytes:
    return ok(f'{{"version":{version},"full":{full},"servers":[{entries}]}}'.encode())


@asynccontextmanager
async def watching(
    agent: Agent, grace_ms: float = 500.0, version: int | None = 1
) -> AsyncIterator[list[HostList]]:
    lists: list[HostList] = []
    await agent.start()
    watch = Watch(agent.address, UnixClock(), True, lists.append, lambda: None, HighestRandom(), grace_ms)
    watch.version = version
    watch.start()
    yield lists
    watch.stop()


@pytest.mark.parametrize("grace_ms", [500.0, 250.0])
def test_pauses_of_a_watch_that_fails_stay_within_the_grace_of_drains(grace_ms: float) -> None:
    """A drain counts as announced once the agent knows it, whether a call is open or not."""

    async def scenario() -> None:
        async with watching(agent := Agent(*[b""] * 12, listing()), grace_ms) as lists:
            await until(lambda: lists)
            times = [at_s for _, at_s in agent.calls]
        # The shortest of each three consecutive pauses: stalls of a busy machine must not count.
        gaps = [later - sooner for sooner, later in pairwise(times[2:])]
        shortest = [min(gaps[i : i + 3]) for i in range(len(gaps) - 2)]
        assert max(shortest) * 1000 < grace_ms

    asyncio.run(scenario())


def test_established_watch_that_breaks_is_reopened_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        slept: list[float] = []
        real = asyncio.sleep

        async def record_sleep(delay: float, *more: Any) -> Any:
            slept.append(delay)
            return await real(0)

        async with watching(agent := Agent(listing(2), b"", listing(3))) as lists:
            monkeypatch.setattr("cloverrouter.proxy.discovery.asyncio.sleep", record_sleep)
            async with asyncio.timeout(TIMEOUT_S):
                while len(lists) < 2:
                    await real(0.01)
            monkeypatch.undo()
            assert len(agent.calls) >= 3 and not [s for s in slept if s not in (0.01,)]

    asyncio.run(scenario())


def test_change_missed_by_a_silent_watch_is_known_within_six_seconds() -> None:
    """The agent may fall silent just after a call has begun; changes must be known 6 s after that."""

    async def scenario() -> None:
        # The first call, without a wait, is answered; the next is not; the third returns the change.
        async with watching(agent := Agent(listing(2), None, listing(3))) as lists:
            await until(lambda: len(agent.calls) == 2)
            silent_s = agent.calls[1][1]
            await until(lambda: len(lists) == 2)
            assert agent.calls[2][1] - silent_s < 6.0
            assert agent.calls[2][0] == "/v1/servers?from=2&hold_ms=3000"

    asyncio.run(scenario())


def test_start_reads_the_first_answer_even_if_its_wait_time_has_passed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The clock jumps over the whole wait time between the call and its answer."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        real, clock_jump_s = loop.time, 0.0
        monkeypatch.setattr(loop, "time", lambda: real() + clock_jump_s)
        agent = await Agent(listing(2)).start()
        lists: list[HostList] = []
        watch = Watch(agent.address, UnixClock(), True, lists.append, lambda: None)
        watch.version = 1
        sent = Watch._get

        async def get_after_clock_jump(self: Watch, target: str) -> tuple[int, bytes]:
            nonlocal clock_jump_s
            clock_jump_s += 0.9  # in the step that sends the call; the call's own timeout is longer
            return await sent(self, target)

        monkeypatch.setattr(Watch, "_get", get_after_clock_jump)
        watch.start()
        await watch.wait_for_first_answer()
        assert [found.version for found in lists] == [2]
        watch.stop()

    asyncio.run(scenario())


INDENTED = b'{\n  "version": 2,\n  "full": true,\n  "servers": [\n    {"id": "h", "addr": "127.0.0.1:9",\n "state": "leaving"}\n  ]\n}\n'  # noqa: E501
HALF_ANSWER = ok(INDENTED)[:40]  # followed by the end of the connection
SPOILT_ENTRY = '{"id":"bad","addr":5,"state":"active"}'


@pytest.mark.parametrize(
    ("answers", "names"),
    [
        ([ok(INDENTED)], ["h"]),
        ([listing(entries=SPOILT_ENTRY), listing()], ["h"]),
        ([listing(entries=f"{ENTRY},{SPOILT_ENTRY}")] * 2, ["h"]),
        ([listing(0, full="false"), listing()], ["h"]),
        ([HALF_ANSWER, b"", listing()], ["h"]),
        ([listing(entries="")], []),
    ],
    ids=["indented", "all spoilt", "one spoilt among good ones", "an older version", "half an answer",
         "empty"],
)  # fmt: skip
def test_unusual_and_malformed_lists(answers: list[bytes], names: list[str]) -> None:
    async def scenario() -> None:
        async with watching(Agent(*answers)) as lists:
            await until(lambda: lists)
            assert [entry.listed.name for entry in lists[0].entries] == names
            assert lists[0].full

    asyncio.run(scenario())


def test_trickling_answer_times_out() -> None:
    async def scenario() -> None:
        calls: list[str] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                calls.append((await reader.readuntil(b"\r\n\r\n")).decode())
                if len(calls) > 1:
                    writer.write(listing(3))
                    await reader.read()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
                while not writer.is_closing():
                    writer.write(b" ")  # progress, but never the end
                    await asyncio.sleep(0.02)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        lists: list[HostList] = []
        watch = Watch(server.sockets[0].getsockname(), UnixClock(), True, lists.append, lambda: None)
        watch.version, watch.response_margin_s = 1, 0.3
        watch.start()
        await until(lambda: lists)
        assert lists[0].version == 3 and len(calls) == 2
        watch.stop()
        server.close()

    asyncio.run(scenario())


def test_malformed_entries_do_not_hide_drains_of_other_servers() -> None:
    async def scenario() -> None:
        leaving = ENTRY.replace("active", "leaving")
        bad = listing(3, f"{leaving},{SPOILT_ENTRY}", "false")
        async with watching(agent := Agent(bad, listing(3, f"{leaving},{SPOILT_ENTRY}"))) as lists:
            await until(lambda: lists)
            assert [call for call, _ in agent.calls][:2] == ["/v1/servers?from=1&hold_ms=0", "/v1/servers"]
            assert [e.listed.state.value for e in lists[0].entries] == ["draining"]

    asyncio.run(scenario())


# The end of the process


async def send_unanswered(proxy: Proxy, host: Host) -> Client:
    """Returns a client whose request has reached the host and is not answered yet."""
    client = await proxy.client()
    seen = len(host.seen)
    client.send("/unsafe", timeout_ms=120_000)
    await host.wait(lambda: len(host.seen) == seen + 1)
    return client


def test_listener_accepts_until_the_end_of_a_shutdown() -> None:
    """A client whose request crosses a late close must be able to reconnect, so the listener closes last."""

    async def scenario() -> None:
        discovery, hosts = (
            await Discovery().start(),
            [await Host(f"h{i}", no_answer).start() for i in range(4)],
        )
        async with running(discovery, hosts, settings=LONG_DEADLINES) as proxy:
            client = await proxy.client()
            client.send("/unsafe", timeout_ms=120_000)
            await until(lambda: sum(len(host.seen) for host in hosts) == 1)
            proxy.process.send_signal(signal.SIGTERM)
            await proxy.wait_health(503)
            await asyncio.sleep(1.0)  # twice the time in which new connections are expected
            for host in hosts:
                host.respond = answer_ok
            again = await proxy.client()
            assert (await again.ask("/unsafe")).status == 200
            (busy,) = [host for host in hosts if host.open and host.seen][:1]
            for host in hosts:
                for writer in host.open.values():
                    writer.write(ok(b"kept"))
            assert (await client.read()).body == b"kept"
            assert await proxy.ended() == 0
            assert busy.seen

    asyncio.run(scenario())


def test_open_requests_are_answered_before_the_kill() -> None:
    async def scenario() -> None:
        discovery, host = await Discovery().start(), await Host("h", no_answer).start()
        async with running(discovery, [host], settings=LONG_DEADLINES) as proxy:
            out, held = await send_unanswered(proxy, host), await proxy.client()
            held.send("/unsafe", timeout_ms=120_000)
            proxy.process.send_signal(signal.SIGTERM)
            for client in (out, held):  # 120 s before the deadline: only the shutdown can be the reason
                got = await client.read()
                assert (got.status, got.headers.get("connection")) == (502, "close")
            assert await proxy.ended() == 0
            assert len(host.seen) == 1

    asyncio.run(scenario())


def test_incomplete_request_gets_503_at_shutdown() -> None:
    async def scenario() -> None:
        discovery, host = await Discovery().start(), await Host("h").start()
        async with running(discovery, [host], settings=LONG_DEADLINES) as proxy:
            client = await proxy.client()
            client.writer.write(b"POST /keyed HTTP/1.1\r\nX-Request-ID: 1\r\nContent-Length: 9\r\n\r\nhalf")
            assert await proxy.health() == 200  # the partial request has been read by now
            proxy.process.send_signal(signal.SIGTERM)
            got = await client.read()
            assert (got.status, got.headers.get("connection")) == (503, "close")
            assert await client.reader.read() == b""  # an orderly end
            assert await proxy.ended() == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("signals", [[signal.SIGTERM] * 3, [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM]])
def test_repeated_signals_lose_no_request(signals: list[signal.Signals]) -> None:
    async def scenario() -> None:
        discovery, host = await Discovery().start(), await Host("h", no_answer).start()
        async with running(discovery, [host], settings=LONG_DEADLINES) as proxy:
            client = await send_unanswered(proxy, host)
            for number in signals:
                proxy.process.send_signal(number)
            await proxy.wait_health(503)
            (writer,) = host.open.values()
            writer.write(ok(b"kept"))
            assert (await client.read()).body == b"kept"
            assert await proxy.ended() == 0

    asyncio.run(scenario())


def test_sigterm_before_the_first_list_ends_the_process() -> None:
    async def scenario() -> None:
        discovery = await Discovery().start()
        silent = asyncio.Condition()
        async with silent:  # discovery accepts calls and does not answer, while this is held
            discovery.changed = silent
            async with running(discovery, [], known=False, ready=(503,)) as proxy:
                proxy.process.send_signal(signal.SIGTERM)
                assert await proxy.ended() == 0

    asyncio.run(scenario())


# Class names in paths


@pytest.mark.parametrize(
    ("path", "name"),
    [
        (b"/plain", "plain"),
        (b"/plain/more?obj=1", "plain"),
        (b"/a/b", "a/b"),
        (b"/a/b/c", "a/b"),
        (b"/a%2Fb", "a/b"),
        (b"/a", "a"),
        (b"/a/bc", "a"),
        (b"/gate.open:x@y+z", "gate.open:x@y+z"),
        (b"/call%20up", "call up"),
        (b"/nobody/b", "nobody"),
        ("/ल/b".encode(), "ल"),
        (b"/%E0%A4%B2/b", "ल"),
        (b"/\xe9", "é"),
        (b"/%E9", "é"),
    ],
)
def test_class_of_a_path(path: bytes, name: str) -> None:
    classes = dict.fromkeys(("plain", "a", "a/b", "gate.open:x@y+z", "call up", "ल", "é"), Idempotency.SAFE)
    assert frontend_module.class_of(path.partition(b"?")[0], classes) == name
