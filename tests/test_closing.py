"""Connections that close at the wrong instant: over bytes that nobody has read, over an answer whose last
piece is still in the system, before anything could be written.

As in `test_endings.py`, each crossing is forced: by a socket option, or by a step of the loop that is held.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from cloverrouter.core.shutdown import (
    INCOMPLETE_REQUEST_S,
    NEW_CONNECTIONS_S,
    Observation,
    Shutdown,
    ShutdownAction,
)
from cloverrouter.interface import Outcome
from cloverrouter.proxy import config
from cloverrouter.proxy import frontend as frontend_module
from cloverrouter.proxy.config import Address
from cloverrouter.proxy.frontend import bind
from cloverrouter.proxy.messages import Answer
from cloverrouter.proxy.node import Node, Out
from cloverrouter.proxy.program import Program
from cloverrouter.proxy.upstream import SETTLE_S, Connection
from tests import sockets
from tests.sockets import SETTINGS, TIMEOUT_S, Discovery, Host, ok, raw, running
from tests.test_clients import PATIENT
from tests.test_endings import Parts, at, parts
from tests.test_upstream import until

Respond = Callable[[sockets.ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


async def plain_client(it: Parts, request: bytes) -> socket.socket:
    """A client that asks, and reads nothing by itself."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, it.address)
    # Danger of a real one: it acknowledges late what it has not answered to.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
    await loop.sock_sendall(sock, request)
    return sock


async def all_of(sock: socket.socket) -> tuple[bytes, bool]:
    """What comes until the connection's end, and whether that was an orderly one."""
    got = b""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            try:
                data = await asyncio.get_running_loop().sock_recv(sock, 65536)
            except ConnectionResetError:
                return got, False
            if not data:
                return got, True
            got += data


def in_two(head: bytes, half: bytes, rest: bytes, go: asyncio.Event) -> Respond:
    async def respond(seen: sockets.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(head + half)
        await go.wait()
        writer.write(rest)

    return respond


def ask(extra: str = "", version: str = "1.1") -> bytes:
    return f"POST /unsafe HTTP/{version}\r\nX-Request-ID: r\r\n{extra}Content-Length: 0\r\n\r\n".encode()


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_last_piece_of_an_answer_outlives_a_close_over_unread_bytes() -> None:
    """The end of the connection is a reset then, which takes along what the system has held back."""

    async def scene() -> None:
        go = asyncio.Event()
        async with parts() as it:
            host = await Host("h", in_two(CHUNKED, b"4\r\nhalf\r\n", b"4\r\nrest\r\n0\r\n\r\n", go)).start()
            it.told_of(h=at(host))
            sock = await plain_client(it, ask("Connection: close\r\n"))
            await until(lambda: any(c._source is not None for c in it.connections()))  # the half is passed on
            (connection,) = it.connections()
            assert connection._transport is not None
            connection._transport.pause_reading()  # as in a process that stands still
            sock.send(b"more than was to come")
            await until(lambda: connection.unread)
            go.set()
            await until(lambda: not it.connections())
            got, orderly = await all_of(sock)
            assert got.endswith(b"4\r\nhalf\r\n4\r\nrest\r\n0\r\n\r\n")
            assert not orderly  # the crossing did take place
            sock.close()

    asyncio.run(scene())


def test_small_writes_to_clients_are_not_held_back() -> None:
    async def scene() -> None:
        async with parts() as it:
            await it.client()
            await until(it.connections)
            (connection,) = it.connections()
            assert connection._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    asyncio.run(scene())


# A connection to a server that is over before anything went out on it


@pytest.mark.parametrize("first", [b"", b"HTTP/1.1 200 O"], ids=["closes", "half a line"])
def test_connection_that_is_closed_or_spoken_on_at_once_gets_no_request(
    first: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What has never gone out may be tried again, by us and by its client, whatever its class."""

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        real, got = loop.create_connection, []

        async def rude(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(first)
            if first:
                got.append(await reader.read())
            writer.close()

        async def held(*how: Any, **more: Any) -> Any:
            if "sock" in more:  # the upstream's own
                await until(lambda: heard(more["sock"]))
            return await real(*how, **more)

        server = await asyncio.start_server(rude, "127.0.0.1", 0)
        async with parts() as it:
            it.told_of(rude=server.sockets[0].getsockname())
            client = await it.client()
            monkeypatch.setattr(loop, "create_connection", held)
            client.send("/unsafe", timeout_ms=30_000)
            assert (await client.read()).status == 503  # refused: it has surely not run
            await until(lambda: not it.upstream.open)
            assert not any(got)
        server.close()

    asyncio.run(scene())


def heard(sock: socket.socket) -> bool:
    with contextlib.suppress(BlockingIOError):
        sock.recv(1, socket.MSG_PEEK)
        return True
    return False


@pytest.mark.parametrize(("target", "status", "sent"), [("/keyed", 200, 2), ("/unsafe", 502, 1)])
def test_server_that_closes_a_resting_connection_as_a_request_is_written_may_have_run_it(
    target: str, status: int, sent: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The close comes between the look at the connection and the write: nothing can tell it apart from a
    server that dies at work, so only what may be repeated is."""

    async def scene() -> None:
        ends: list[Outcome] = []
        async with parts() as it:
            host = await Host("h").start()
            it.told_of(h=at(host))
            client = await it.client()
            assert (await client.ask(target)).status == 200
            (connection,) = it.upstream.connections
            await until(lambda: it.upstream.loop.time() > connection.idle_since + SETTLE_S)
            looked, told = Connection.clean, Node.ended

            def clean(self: Connection) -> bool:
                found = looked(self)
                for writer in host.open.values():
                    own = socket.socket(fileno=socket.dup(writer.get_extra_info("socket").fileno()))
                    own.shutdown(socket.SHUT_RDWR)
                    own.close()
                monkeypatch.setattr(Connection, "clean", looked)
                return found

            def ended(self: Node, out: Out, outcome: Outcome, answer: Answer | None) -> None:
                ends.append(outcome)
                told(self, out, outcome, answer)

            monkeypatch.setattr(Connection, "clean", clean)
            monkeypatch.setattr(Node, "ended", ended)
            assert (await client.ask(target, timeout_ms=30_000)).status == status
            assert ends[0] is Outcome.RESET and len(ends) == sent
            assert len(host.seen) == sent  # the first request, and a repeat where one may be

    asyncio.run(scene())


# A connection that is one too many


def test_who_can_not_be_taken_in_is_told_so() -> None:
    """All connections are busy: nothing can make room for its request, which waits in the queue already."""

    async def scene() -> None:
        async with parts(most_open=1) as it:
            host = await Host("h", sockets.no_answer).start()
            it.told_of(h=at(host))
            first = await it.client()
            first.send("/unsafe", timeout_ms=30_000)
            await host.wait(lambda: len(host.seen) == 1)
            it.front.accept_no_more()
            second = await plain_client(it, ask())
            it.front._accept(it.front.listener)
            got, orderly = await all_of(second)
            assert got.startswith(b"HTTP/1.1 503 ") and orderly
            assert it.front.open == 1 and len(host.seen) == 1
            second.close()

    asyncio.run(scene())


# An answer that can't be finished


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_answer_that_is_cut_can_be_told_from_a_whole_one(version: str) -> None:
    """To a client of HTTP/1.0 the connection's end is the answer's: it must not be an orderly one."""

    async def scene() -> None:
        go = asyncio.Event()
        async with parts() as it:
            host = await Host("h", in_two(CHUNKED, b"4\r\nhalf\r\n", b"no chunk at all\r\n", go)).start()
            it.told_of(h=at(host))
            sock = await plain_client(it, ask(version=version))
            await until(lambda: any(c._source is not None for c in it.connections()))
            go.set()
            got, orderly = await all_of(sock)
            assert b"half" in got and not got.endswith(b"0\r\n\r\n")
            assert not orderly or b"chunked" in got
            sock.close()

    asyncio.run(scene())


# The end of the process


def test_rest_of_an_answer_that_is_read_slowly_is_not_cut_off_by_the_end_of_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What ends by itself loses what it had; what a kill finds under way is not held against it."""
    body = bytes(200_000)

    def narrow(address: Address) -> socket.socket:
        listener = bind(address)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # little of it is in the system
        return listener

    monkeypatch.setattr(frontend_module, "bind", narrow)

    async def scene() -> None:
        loop, discovery, host = asyncio.get_running_loop(), Discovery(), Host("h", raw(ok(body)))
        await host.start()
        discovery.entries["h"] = host.entry()
        await discovery.start()
        async with program(tmp_path, discovery) as (it, ended):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await loop.sock_connect(sock, it._configuration.listen)
            await loop.sock_sendall(sock, ask("Connection: close\r\n"))
            got = 0
            while not got or it._node.owed:
                got += len(await loop.sock_recv(sock, 4096))
            # All of it has come from the host; not all of it has gone out.
            assert [c.sending for c in it._frontend._connections] == [True]
            it.stop()
            # Nobody reads, for longer than last bytes were waited for before.
            await asyncio.sleep(NEW_CONNECTIONS_S + 2 * INCOMPLETE_REQUEST_S + 0.5)
            assert not ended.done()
            rest, orderly = await all_of(sock)
            assert orderly and len(body) < got + len(rest) < len(body) + 1000
            async with asyncio.timeout(TIMEOUT_S):
                assert await ended == 0
            sock.close()

    asyncio.run(scene())


@asynccontextmanager
async def program(folder: Path, discovery: Discovery) -> AsyncIterator[tuple[Program, asyncio.Task[int]]]:
    """The whole program in this loop, serving."""
    listen = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}.7:3000"
    told = {"listen": listen, "discovery": f"127.0.0.1:{discovery.port}", "settings": {**SETTINGS, **PATIENT},
            "known": discovery.listing()}  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps(told))
    made = Program(config.load({"PROXY_CONFIG": str(path)}), None)
    ended = asyncio.create_task(made.run())
    await until(lambda: made._frontend._listener)
    yield made, ended
    ended.cancel()


def test_who_connects_as_the_process_gives_up_on_half_a_request_is_taken_in(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client that never ends its request keeps a connection open up to the end; the end comes without it,
    but not in a look at which somebody else waits in the listener's queue."""
    came: list[socket.socket] = []
    real = Shutdown.next_actions

    def next_actions(self: Shutdown, now_s: float, seen: Observation) -> list[ShutdownAction]:
        do = real(self, now_s, seen)
        if not came and (self.over or ShutdownAction.ACCEPT_WAITING in do):
            came.append(socket.create_connection(made[0]._configuration.listen))
            came[0].sendall(ask())
        return do

    made: list[Program] = []
    monkeypatch.setattr(Shutdown, "next_actions", next_actions)

    async def scene() -> None:
        discovery, host = Discovery(), await Host("h").start()
        discovery.entries["h"] = host.entry()
        await discovery.start()
        async with program(tmp_path, discovery) as (it, ended):
            made.append(it)
            half = socket.create_connection(it._configuration.listen)
            half.sendall(b"POST /unsafe HTTP/1.1\r\nX-Request-ID: h\r\nContent-Length: 9\r\n\r\nhalf")
            await until(lambda: [c.half_sent for c in it._frontend._connections] == [True])
            it.stop()
            await until(lambda: came)
            came[0].setblocking(False)
            got, _ = await all_of(came[0])
            assert got.startswith(b"HTTP/1.1 200 ")
            async with asyncio.timeout(TIMEOUT_S):
                assert await ended == 0
            half.close()
            came[0].close()

    asyncio.run(scene())


# A process that stands still


def test_what_was_told_while_the_process_stood_still_counts_before_what_is_sent() -> None:
    """Requests and the news of a drain lie there, the requests first, when it goes on after the grace."""

    async def scene() -> None:
        discovery, hosts = await Discovery().start(), [await Host(name).start() for name in ("a", "b")]
        async with running(discovery, hosts, settings=PATIENT) as proxy:
            clients = [await proxy.client() for _ in range(12)]
            for client in clients:
                assert (await client.ask("/keyed")).status == 200
            calls = len(discovery.calls)
            assert discovery.calls[-1].endswith("hold_ms=3000")  # a watch is open
            before = len(hosts[0].seen)
            proxy.process.send_signal(signal.SIGSTOP)
            for client in clients:
                client.send("/keyed", timeout_ms=30_000)
                await client.writer.drain()
            await discovery.change(hosts[0].entry("leaving"))
            await asyncio.sleep(0.6)  # longer than the grace
            proxy.process.send_signal(signal.SIGCONT)
            for client in clients:
                assert (await client.read()).status == 200
            await discovery.wait_for_calls(calls + 1)
            assert len(hosts[0].seen) == before

    asyncio.run(scene())


def test_time_in_which_the_process_stood_still_counts_for_what_came_in_it() -> None:
    """A final answer is due before the client gives up; half a second after that it is lost."""

    async def scene() -> None:
        discovery, host = await Discovery().start(), await Host("h", sockets.no_answer).start()
        async with running(discovery, [host], settings=PATIENT) as proxy:
            client, loop = await proxy.client(), asyncio.get_running_loop()
            proxy.process.send_signal(signal.SIGSTOP)
            asked_s = loop.time()
            client.send("/unsafe", timeout_ms=4000)
            await client.writer.drain()
            await asyncio.sleep(3.0)
            proxy.process.send_signal(signal.SIGCONT)
            assert (await client.read()).status == 502
            assert loop.time() - asked_s < 5.5  # counted from its reading it would be seven

    asyncio.run(scene())


# A watch that moves


def test_what_the_old_address_has_told_counts_when_the_watch_moves(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A drain is written in the very step in which SIGHUP is taken, and the new address says nothing yet."""

    async def scene() -> None:
        hosts, drains, asked = [await Host(name).start() for name in ("a", "b")], asyncio.Event(), []
        old, told = Discovery(), []
        old.entries.update({host.name: host.entry() for host in hosts})

        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(await reader.readuntil(b"\r\n\r\n"))
            await reader.read()
            writer.close()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for answer in ([], [hosts[0].entry("leaving")]):
                told.append(await reader.readuntil(b"\r\n\r\n"))
                if answer:
                    await drains.wait()
                changes = {"version": 1 + len(answer), "full": False, "servers": answer}
                writer.write(ok(json.dumps(changes).encode()))
            made[0].reload()  # before the loop has looked at any socket again
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        made: list[Program] = []
        agents = [await asyncio.start_server(one, "127.0.0.1", 0) for one in (serve, silent)]
        old.port, new_port = (agent.sockets[0].getsockname()[1] for agent in agents)
        async with program(tmp_path, old) as (it, _ended):
            made.append(it)
            await until(lambda: len(told) == 2)
            path = tmp_path / "config.json"
            moved = {**json.loads(path.read_text()), "discovery": f"127.0.0.1:{new_port}"}
            path.write_text(json.dumps(moved))
            monkeypatch.setenv("PROXY_CONFIG", str(path))
            assert set(it._node._addresses) == {"a", "b"}
            drains.set()
            await until(lambda: asked)
            await until(lambda: set(it._node._addresses) == {"b"})
        for agent in agents:
            agent.close()

    asyncio.run(scene())
