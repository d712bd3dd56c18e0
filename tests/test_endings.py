"""Endings: the instant at which something ends, forced to cross what is still owed at that instant.

Each crossing is brought about by a barrier, a patched step or a socket option. Parts of the program run in
the test's own loop, so that a step of it can be taken between two others; the rest plays the whole program.
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
from tests.test_clients import PATIENT
from tests.test_upstream import FakeCall, full_listener, narrow_listener, until

LINGER_OFF = struct.pack("ii", 1, 0)


def settings(window_ms: float = 60_000.0) -> Settings:
    keyed = RequestClass(
        "keyed", 20_000, 30_000, idempotency=Idempotency.KEYED, dedup_scope=DedupScope.ALL,
        dedup_window_ms=window_ms,
    )  # fmt: skip
    return Settings((keyed, RequestClass("unsafe", 20_000, 30_000)))


@dataclass
class Parts:
    """The frontend, the node and the upstream in this loop."""

    front: Frontend
    node: Node
    upstream: Upstream
    address: Address
    crashes: list[BaseException]

    def told_of(self, **hosts: Address) -> None:
        entries = tuple(HostEntry(ListedEndpoint(name), address) for name, address in hosts.items())
        self.node.listed(ListKind.FULL, HostList(1, True, entries))

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(*self.address))

    def connections(self) -> list[ClientConnection]:
        return list(self.front._connections)


@asynccontextmanager
async def parts(told: Settings | None = None, most_open: int = 64) -> AsyncIterator[Parts]:
    crashes: list[BaseException] = []
    told = told or settings()
    upstream = Upstream(64, 60_000, 20_000)
    node = Node(told, 1, upstream, lambda: None, crashes.append)
    front = Frontend(node, {cls.name: cls.idempotency for cls in told.classes}, most_open)
    address = await front.listen(("127.0.0.1", 0))
    yield Parts(front, node, upstream, address, crashes)
    front.close()
    assert not crashes


def at(host: Host) -> Address:
    return "127.0.0.1", host.port


def own_socket(client: Client) -> socket.socket:
    """The client's socket once more: what is done on it is done at once, not by the loop."""
    return socket.socket(fileno=socket.dup(client.writer.get_extra_info("socket").fileno()))


def leave(client: Client, how: str) -> None:
    """At once: the system has the client's end when this returns."""
    sock = client.writer.get_extra_info("socket")
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
    own = own_socket(client)
    client.writer.transport.abort()  # closes its descriptor in the loop's next round
    own.shutdown(socket.SHUT_WR) if how == "close" else None
    own.close()


# A client that leaves while its request waits


async def one_held(it: Parts) -> tuple[Host, Client, Client]:
    """A host, the client of the one request that is out there, and of a second, which is held for room."""
    host = await Host("h", no_answer).start()
    it.told_of(h=at(host))
    first, second = await it.client(), await it.client()
    first.send("/unsafe", timeout_ms=30_000)
    await host.wait(lambda: len(host.seen) == 1)
    second.send("/unsafe", timeout_ms=30_000)
    await until(lambda: it.node.owed == 2)
    assert len(host.seen) == 1
    return host, first, second


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_held_request_of_a_client_that_left_is_not_sent_even_before_that_is_read(how: str) -> None:
    """Room comes in the very step in which the client leaves: nothing has told the loop of it yet."""

    async def scene() -> None:
        async with parts() as it:
            host, _first, second = await one_held(it)  # danger: a client that nobody holds is closed
            if how == "reset":  # the transport closes in a round of its own: not in this step
                leave(second, how)
                await until(lambda: it.node.owed == 1)
            else:
                second.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
            (out,) = it.node._out.values()
            out.ended(Outcome.OK, Answer(200, b"room", b"", False, None))
            assert not it.node._out and not it.node.owed  # nothing is on its way
            third = await it.client()
            host.respond = answer_ok
            assert (await third.ask("/unsafe")).status == 200
            assert len(host.seen) == 2

    asyncio.run(scene())


def test_held_request_is_not_sent_for_a_client_whose_end_stands_behind_other_bytes() -> None:
    """It has begun its next request before it left, and none of that has been read."""

    async def scene() -> None:
        async with parts() as it:
            host, _first, second = await one_held(it)  # danger: a client that nobody holds is closed
            with own_socket(second) as raw:
                assert raw.send(b"POST /unsafe HT") == 15
                raw.shutdown(socket.SHUT_WR)
            (out,) = it.node._out.values()
            out.ended(Outcome.OK, Answer(200, b"room", b"", False, None))
            assert not it.node._out and not it.node.owed
            assert len(host.seen) == 1

    asyncio.run(scene())


def test_connection_that_comes_up_as_the_client_leaves_gets_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        up, go = asyncio.Event(), asyncio.Event()
        real = loop.create_connection

        async def held(*how: Any, **more: Any) -> Any:
            if "sock" in more:  # the upstream's: its connection is there, its transport not yet
                up.set()
                await go.wait()
            return await real(*how, **more)

        async with parts() as it:
            host = await Host("h").start()
            it.told_of(h=at(host))
            client = await it.client()
            monkeypatch.setattr(loop, "create_connection", held)
            client.send("/unsafe", timeout_ms=30_000)
            await up.wait()
            (connection,) = it.connections()
            assert connection._transport is not None
            connection._transport.pause_reading()  # as in a process that stands still
            client.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
            go.set()
            await until(lambda: not it.node.owed)
            await host.wait(lambda: host.connections == 1)
            monkeypatch.undo()
            third = await it.client()
            assert (await third.ask("/unsafe")).status == 200
            assert len(host.seen) == 1

    asyncio.run(scene())


def test_request_behind_answers_that_nobody_reads_does_not_go_out_after_the_client_left() -> None:
    """A half-closed connection is first flushed, for as long as that takes."""

    async def scene() -> None:
        async with parts() as it:
            host = await Host("h").start()

            async def large(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
                writer.write(ok(b"x" * 60_000))

            host.respond = large
            it.told_of(h=at(host))
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, it.address)
            await until(it.connections)
            (connection,) = it.connections()
            connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            for number in range(6):
                head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: r{number}\r\nContent-Length: 0\r\n\r\n"
                await asyncio.get_running_loop().sock_sendall(sock, head.encode())
            await until(lambda: connection._paused)
            assert connection.busy  # some wait behind
            sent = len(host.seen)
            sock.shutdown(socket.SHUT_WR)
            await until(lambda: not connection.busy)
            got = 0
            while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
                got += len(data)
            assert got > 60_000  # what was answered is given in full
            assert len(host.seen) == sent
            sock.close()

    asyncio.run(scene())


def test_leaving_behind_bytes_that_are_not_read_is_seen_before_a_large_body_goes_out() -> None:
    async def scene() -> None:
        async with parts() as it:
            host = await Host("h", no_answer).start()
            it.told_of(h=at(host))
            first = await it.client()
            first.send("/unsafe", timeout_ms=30_000)
            await host.wait(lambda: len(host.seen) == 1)
            large = await it.client()
            head = b"POST /unsafe HTTP/1.1\r\nX-Request-ID: big\r\nContent-Length: 3000000\r\n\r\n"
            large.writer.write(head)
            large.writer.write(b"y" * 180_000)
            await until(lambda: any(c._still_since_s is not None for c in it.connections()))
            await until(lambda: not large.writer.transport.get_write_buffer_size())
            raw = own_socket(large)
            raw.setblocking(False)
            assert raw.send(b"y" * 2_000) == 2_000  # these nobody reads for now, and the end is behind them
            raw.shutdown(socket.SHUT_WR)
            raw.close()
            (connection,) = (c for c in it.connections() if c._still_since_s is not None)
            await until(lambda: hung_up(connection._sock))  # it has arrived
            assert connection._sock.recv(1, socket.MSG_PEEK) == b"y"  # and stands behind these
            (out,) = it.node._out.values()
            out.ended(Outcome.OK, Answer(200, b"room", b"", False, None))
            assert not it.node._out and not it.node.owed

    asyncio.run(scene())


def test_client_that_leaves_between_attempts_ends_the_request() -> None:
    async def scene() -> None:
        async with parts() as it:
            hosts = [await Host(name, no_answer).start() for name in ("h0", "h1")]
            it.told_of(h0=at(hosts[0]), h1=at(hosts[1]))
            client = await it.client()
            client.send("/keyed", timeout_ms=30_000)
            await until(lambda: sum(len(host.seen) for host in hosts) == 1)
            (out,) = it.node._out.values()
            out.ended(Outcome.RESET, None)
            assert it.node.owed and not it.node._out  # it sleeps before its next attempt
            client.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
            await until(lambda: not it.node.owed)
            for call in list(it.node._balancer.timers.values()):
                call()  # the timer that had been set fires all the same
            assert not it.node._out
            assert sum(len(host.seen) for host in hosts) == 1

    asyncio.run(scene())


def test_client_that_leaves_takes_along_what_waits_behind_its_open_request() -> None:
    async def scene() -> None:
        async with parts() as it:
            host = await Host("h", no_answer).start()
            it.told_of(h=at(host))
            client = await it.client()
            client.send("/unsafe", timeout_ms=30_000)
            client.send("/unsafe", timeout_ms=30_000)
            client.writer.write(b"POST /unsafe HTTP/1.1\r\nX-Request")  # and a part of a third
            await host.wait(lambda: len(host.seen) == 1)
            leave(client, "close")
            await until(lambda: not it.node.owed and not it.front.waiting)
            host.respond = answer_ok
            assert (await (await it.client()).ask("/unsafe")).status == 200
            assert len(host.seen) == 2

    asyncio.run(scene())


def test_client_that_leaves_before_its_connection_is_taken_in_asks_for_nothing() -> None:
    """Its request and its end lie in the queue of the listener: they come in one read, and in the next."""

    async def scene() -> None:
        async with parts() as it:
            host = await Host("h").start()
            it.told_of(h=at(host))
            first = await it.client()
            assert (await first.ask("/unsafe")).status == 200
            (connection,) = it.upstream.connections
            # It rests, and has settled: the next request would go out at once.
            await until(lambda: it.upstream.loop.time() > connection.idle_since + SETTLE_S)
            it.front.accept_no_more()
            with socket.create_connection(it.address) as gone:
                gone.sendall(b"POST /unsafe HTTP/1.1\r\nX-Request-ID: gone\r\nContent-Length: 0\r\n\r\n")
            it.front._accept(it.front.listener)
            assert it.front.open == 2
            await until(lambda: it.front.open == 1 and not it.node.owed)
            assert (await first.ask("/unsafe")).status == 200
            assert [seen.message.headers["x-request-id"] for seen in host.seen].count("gone") == 0

    asyncio.run(scene())


# Room, made by closing a connection on which the rest of a request has just come


def test_room_is_not_made_of_a_request_whose_last_byte_has_just_come() -> None:
    async def scene() -> None:
        async with parts(most_open=2) as it:
            host = await Host("h").start()
            it.told_of(h=at(host))
            clients = [await it.client(), await it.client()]
            for number, client in enumerate(clients):
                head = f"POST /unsafe HTTP/1.1\r\nX-Request-ID: h{number}\r\nContent-Length: 4\r\n\r\nha"
                client.writer.write(head.encode())
            await until(lambda: [c.half_sent for c in it.connections()] == [True, True])
            waiting = socket.create_connection(it.address)
            for client in clients:
                with own_socket(client) as raw:
                    raw.send(b"lf")
            assert it.front._listener is not None
            it.front._accept(it.front._listener)  # before either has been read
            for client in clients:
                assert (await client.read()).status == 200
            waiting.close()

    asyncio.run(scene())


# Attempts


def test_repeat_whose_connection_is_slow_does_not_go_out_after_its_window() -> None:
    async def scene() -> None:
        listener, fillers = full_listener()
        async with parts(settings(window_ms=400.0)) as it:
            host = await Host("h", no_answer).start()
            it.told_of(h=at(host))
            client = await it.client()
            client.send("/keyed", timeout_ms=30_000)
            await host.wait(lambda: len(host.seen) == 1)
            entry = HostEntry(ListedEndpoint("slow"), listener.getsockname())
            it.node.listed(ListKind.DELTA, HostList(2, False, (entry,)))
            (out,) = it.node._out.values()
            out.ended(Outcome.RESET, None)
            await until(lambda: [out.host for out in it.node._out.values()] == ["slow"])
            await asyncio.sleep(0.45)  # the window has passed; the deadline is far
            for filler in fillers:
                filler.close()
            listener.setblocking(False)
            got = b""
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.5):  # the connection comes up with its next SYN
                    while True:
                        peer, _ = await asyncio.get_running_loop().sock_accept(listener)
                        with contextlib.suppress(ConnectionError):
                            got += await asyncio.get_running_loop().sock_recv(peer, 100)
            assert got == b""
            assert (await client.read()).status == 502
        listener.close()

    asyncio.run(scene())


def test_answer_before_the_request_is_out_is_not_served() -> None:
    """A stray answer, while the request is still being written: no server can have made it for that."""

    async def scene() -> None:
        listener = narrow_listener()
        ends: list[Outcome] = []
        upstream = Upstream(8, 60_000, 1000)
        call = FakeCall(b"x" * 32_000_000)  # more than the buffers of both sides take
        upstream.send(("h", listener.getsockname()), call, 2000, lambda outcome, _: ends.append(outcome))
        peer, _ = await asyncio.get_running_loop().sock_accept(listener)
        await asyncio.get_running_loop().sock_sendall(peer, ok(b"another's"))
        await until(lambda: ends)
        assert ends == [Outcome.CONNECT_FAILED]
        peer.close()
        listener.close()

    asyncio.run(scene())


# Watches that die


class Agent:
    """A discovery agent whose every answer, or silence, the test decides."""

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
                if answer == HALF:
                    break
        writer.close()


class Longest(random.Random):
    """Draws as high as can be: the longest pauses."""

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
    watch = Watch(agent.address, UnixClock(), True, lists.append, lambda: None, Longest(), grace_ms)
    watch.version = version
    watch.start()
    yield lists
    watch.stop()


@pytest.mark.parametrize("grace_ms", [500.0, 250.0])
def test_pauses_of_a_watch_that_fails_stay_within_the_grace_of_drains(grace_ms: float) -> None:
    """What the agent has counts as told whether a call is out or not."""

    async def scene() -> None:
        async with watching(agent := Agent(*[b""] * 12, listing()), grace_ms) as lists:
            await until(lambda: lists)
            times = [at_s for _, at_s in agent.calls]
        # The shortest of each three in a row: a busy machine's stalls are not the watch's pauses.
        gaps = [later - sooner for sooner, later in pairwise(times[2:])]
        shortest = [min(gaps[i : i + 3]) for i in range(len(gaps) - 2)]
        assert max(shortest) * 1000 < grace_ms

    asyncio.run(scene())


def test_watch_that_was_there_and_breaks_is_opened_anew_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene() -> None:
        slept: list[float] = []
        real = asyncio.sleep

        async def noted(delay: float, *more: Any) -> Any:
            slept.append(delay)
            return await real(0)

        async with watching(agent := Agent(listing(2), b"", listing(3))) as lists:
            monkeypatch.setattr("cloverrouter.proxy.discovery.asyncio.sleep", noted)
            async with asyncio.timeout(TIMEOUT_S):
                while len(lists) < 2:
                    await real(0.01)
            monkeypatch.undo()
            assert len(agent.calls) >= 3 and not [s for s in slept if s not in (0.01,)]

    asyncio.run(scene())


def test_what_a_silent_watch_misses_is_known_within_six_seconds() -> None:
    """The page's clock: told 6 s after it fell silent, which it may do just after a call has begun."""

    async def scene() -> None:
        # The first call, without a wait, is answered; the next meets silence; its successor brings the news.
        async with watching(agent := Agent(listing(2), None, listing(3))) as lists:
            await until(lambda: len(agent.calls) == 2)
            silent_s = agent.calls[1][1]
            await until(lambda: len(lists) == 2)
            assert agent.calls[2][1] - silent_s < 6.0
            assert agent.calls[2][0] == "/v1/servers?from=2&hold_ms=3000"

    asyncio.run(scene())


def test_start_that_is_given_no_time_still_reads_the_answer_before_it_serves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The clock leaps over the whole wait between the call and its answer."""

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        real, leapt_s = loop.time, 0.0
        monkeypatch.setattr(loop, "time", lambda: real() + leapt_s)
        agent = await Agent(listing(2)).start()
        lists: list[HostList] = []
        watch = Watch(agent.address, UnixClock(), True, lists.append, lambda: None)
        watch.version = 1
        sent = Watch._get

        async def leaps(self: Watch, target: str) -> tuple[int, bytes]:
            nonlocal leapt_s
            leapt_s += 0.9  # in the step in which the call goes out; its own time-out is longer
            return await sent(self, target)

        monkeypatch.setattr(Watch, "_get", leaps)
        watch.start()
        await watch.wait_for_first_answer()
        assert [found.version for found in lists] == [2]
        watch.stop()

    asyncio.run(scene())


INDENTED = b'{\n  "version": 2,\n  "full": true,\n  "servers": [\n    {"id": "h", "addr": "127.0.0.1:9",\n "state": "leaving"}\n  ]\n}\n'  # noqa: E501
HALF = ok(INDENTED)[:40]  # and then the connection's end
SPOILT_ENTRY = '{"id":"bad","addr":5,"state":"active"}'


@pytest.mark.parametrize(
    ("answers", "names"),
    [
        ([ok(INDENTED)], ["h"]),
        ([listing(entries=SPOILT_ENTRY), listing()], ["h"]),
        ([listing(entries=f"{ENTRY},{SPOILT_ENTRY}")] * 2, ["h"]),
        ([listing(0, full="false"), listing()], ["h"]),
        ([HALF, b"", listing()], ["h"]),
        ([listing(entries="")], []),
    ],
    ids=["indented", "all spoilt", "one spoilt among good ones", "an older version", "half an answer",
         "empty"],
)  # fmt: skip
def test_list_that_comes_in_a_strange_way(answers: list[bytes], names: list[str]) -> None:
    async def scene() -> None:
        async with watching(Agent(*answers)) as lists:
            await until(lambda: lists)
            assert [entry.listed.name for entry in lists[0].entries] == names
            assert lists[0].full

    asyncio.run(scene())


def test_trickled_answer_is_given_up_with_its_call() -> None:
    async def scene() -> None:
        calls: list[str] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                calls.append((await reader.readuntil(b"\r\n\r\n")).decode())
                if len(calls) > 1:
                    writer.write(listing(3))
                    await reader.read()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
                while not writer.is_closing():
                    writer.write(b" ")  # always something, never all of it
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

    asyncio.run(scene())


def test_spoilt_entries_hide_no_drain_of_the_others() -> None:
    async def scene() -> None:
        leaving = ENTRY.replace("active", "leaving")
        bad = listing(3, f"{leaving},{SPOILT_ENTRY}", "false")
        async with watching(agent := Agent(bad, listing(3, f"{leaving},{SPOILT_ENTRY}"))) as lists:
            await until(lambda: lists)
            assert [call for call, _ in agent.calls][:2] == ["/v1/servers?from=1&hold_ms=0", "/v1/servers"]
            assert [e.listed.state.value for e in lists[0].entries] == ["draining"]

    asyncio.run(scene())


# The end of the process


async def slow_end(proxy: Proxy, host: Host) -> Client:
    """A client whose request the host does not answer yet."""
    client = await proxy.client()
    seen = len(host.seen)
    client.send("/unsafe", timeout_ms=120_000)
    await host.wait(lambda: len(host.seen) == seen + 1)
    return client


def test_a_request_that_crosses_a_late_close_has_a_place_to_come_again_to() -> None:
    """The listener is the last thing that ends: long after new connections have stopped coming, too."""

    async def scene() -> None:
        discovery, hosts = (
            await Discovery().start(),
            [await Host(f"h{i}", no_answer).start() for i in range(4)],
        )
        async with running(discovery, hosts, settings=PATIENT) as proxy:
            client = await proxy.client()
            client.send("/unsafe", timeout_ms=120_000)
            await until(lambda: sum(len(host.seen) for host in hosts) == 1)
            proxy.process.send_signal(signal.SIGTERM)
            await proxy.wait_health(503)
            await asyncio.sleep(1.0)  # twice the time in which connections are said to come
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

    asyncio.run(scene())


def test_what_is_owed_at_the_end_is_answered_before_the_kill() -> None:
    async def scene() -> None:
        discovery, host = await Discovery().start(), await Host("h", no_answer).start()
        async with running(discovery, [host], settings=PATIENT) as proxy:
            out, held = await slow_end(proxy, host), await proxy.client()
            held.send("/unsafe", timeout_ms=120_000)
            proxy.process.send_signal(signal.SIGTERM)
            for client in (out, held):  # with 120 s to go, only the end can be the reason
                got = await client.read()
                assert (got.status, got.headers.get("connection")) == (502, "close")
            assert await proxy.ended() == 0
            assert len(host.seen) == 1

    asyncio.run(scene())


def test_half_a_request_is_told_of_the_end() -> None:
    async def scene() -> None:
        discovery, host = await Discovery().start(), await Host("h").start()
        async with running(discovery, [host], settings=PATIENT) as proxy:
            client = await proxy.client()
            client.writer.write(b"POST /keyed HTTP/1.1\r\nX-Request-ID: 1\r\nContent-Length: 9\r\n\r\nhalf")
            assert await proxy.health() == 200  # by now the half has been read
            proxy.process.send_signal(signal.SIGTERM)
            got = await client.read()
            assert (got.status, got.headers.get("connection")) == (503, "close")
            assert await client.reader.read() == b""  # an orderly end
            assert await proxy.ended() == 0

    asyncio.run(scene())


@pytest.mark.parametrize("signals", [[signal.SIGTERM] * 3, [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM]])
def test_told_more_than_once_nothing_is_lost(signals: list[signal.Signals]) -> None:
    async def scene() -> None:
        discovery, host = await Discovery().start(), await Host("h", no_answer).start()
        async with running(discovery, [host], settings=PATIENT) as proxy:
            client = await slow_end(proxy, host)
            for number in signals:
                proxy.process.send_signal(number)
            await proxy.wait_health(503)
            (writer,) = host.open.values()
            writer.write(ok(b"kept"))
            assert (await client.read()).body == b"kept"
            assert await proxy.ended() == 0

    asyncio.run(scene())


def test_told_to_end_before_the_first_list_it_ends() -> None:
    async def scene() -> None:
        discovery = await Discovery().start()
        silent = asyncio.Condition()
        async with silent:  # discovery takes calls and says nothing, while this is held
            discovery.changed = silent
            async with running(discovery, [], known=False, ready=(503,)) as proxy:
                proxy.process.send_signal(signal.SIGTERM)
                assert await proxy.ended() == 0

    asyncio.run(scene())


# Paths that name a class


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
    ],
)
def test_class_is_what_the_path_names(path: bytes, name: str) -> None:
    classes = dict.fromkeys(("plain", "a", "a/b", "gate.open:x@y+z", "call up"), Idempotency.SAFE)
    assert frontend_module.class_of(path.partition(b"?")[0], classes) == name
