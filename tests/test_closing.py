"""Connections that close at a critical moment: with unread input, with the end of an answer still in the
kernel, or before anything was written.

As in `test_endings.py`, each race is forced: by a socket option, or by delaying a step of the loop.
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
from cloverrouter.proxy.node import ActiveAttempt, Node
from cloverrouter.proxy.program import Program
from cloverrouter.proxy.upstream import SETTLE_S, Connection
from tests import sockets
from tests.sockets import SETTINGS, TIMEOUT_S, Discovery, Host, ok, raw, running
from tests.test_clients import LONG_DEADLINES
from tests.test_endings import Parts, address_of, parts
from tests.test_upstream import until

Respond = Callable[[sockets.ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


async def plain_client(app: Parts, request: bytes) -> socket.socket:
    """Returns the socket of a client that has sent `request` and reads only when the test does."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, app.address)
    # Delayed acknowledgements, as real clients use them.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
    await loop.sock_sendall(sock, request)
    return sock


async def read_to_end(sock: socket.socket) -> tuple[bytes, bool]:
    """Returns what is received until the connection ends, and whether the end was orderly (no reset)."""
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


def in_two_parts(head: bytes, half: bytes, rest: bytes, go: asyncio.Event) -> Respond:
    async def respond(seen: sockets.ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(head + half)
        await go.wait()
        writer.write(rest)

    return respond


def ask(extra: str = "", version: str = "1.1") -> bytes:
    return f"POST /unsafe HTTP/{version}\r\nX-Request-ID: r\r\n{extra}Content-Length: 0\r\n\r\n".encode()


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_last_piece_of_an_answer_is_not_lost_by_a_close_over_unread_bytes() -> None:
    """Such a close is a reset, which discards what the kernel has not sent yet (Nagle's algorithm)."""

    async def scenario() -> None:
        go = asyncio.Event()
        async with parts() as app:
            host = await Host(
                "h", in_two_parts(CHUNKED, b"4\r\nhalf\r\n", b"4\r\nrest\r\n0\r\n\r\n", go)
            ).start()
            app.set_hosts(h=address_of(host))
            sock = await plain_client(app, ask("Connection: close\r\n"))
            # The first half is forwarded.
            await until(lambda: any(c._source is not None for c in app.connections()))
            (connection,) = app.connections()
            assert connection._transport is not None
            connection._transport.pause_reading()  # as in a stalled process
            sock.send(b"more than was to come")
            await until(lambda: connection.unread)
            go.set()
            await until(lambda: not app.connections())
            got, orderly = await read_to_end(sock)
            assert got.endswith(b"4\r\nhalf\r\n4\r\nrest\r\n0\r\n\r\n")
            assert not orderly  # the race did take place
            sock.close()

    asyncio.run(scenario())


def test_small_writes_to_clients_are_not_delayed() -> None:
    async def scenario() -> None:
        async with parts() as app:
            await app.client()
            await until(app.connections)
            (connection,) = app.connections()
            assert connection._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    asyncio.run(scenario())


# A connection to a server that ends before anything was sent on it


@pytest.mark.parametrize("first", [b"", b"HTTP/1.1 200 O"], ids=["closes", "half a line"])
def test_connection_that_closes_or_sends_at_once_gets_no_request(
    first: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that was never sent may be retried by the proxy and by its client, whatever its class."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        real, got = loop.create_connection, []

        async def close_at_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(first)
            if first:
                got.append(await reader.read())
            writer.close()

        async def held(*how: Any, **more: Any) -> Any:
            if "sock" in more:  # the upstream's own
                await until(lambda: has_input(more["sock"]))
            return await real(*how, **more)

        server = await asyncio.start_server(close_at_once, "127.0.0.1", 0)
        async with parts() as app:
            app.set_hosts(rude=server.sockets[0].getsockname())
            client = await app.client()
            monkeypatch.setattr(loop, "create_connection", held)
            client.send("/unsafe", timeout_ms=30_000)
            assert (await client.read()).status == 503  # refused: it has certainly not run
            await until(lambda: not app.upstream.open)
            assert not any(got)
        server.close()

    asyncio.run(scenario())


def has_input(sock: socket.socket) -> bool:
    with contextlib.suppress(BlockingIOError):
        sock.recv(1, socket.MSG_PEEK)
        return True
    return False


@pytest.mark.parametrize(("target", "status", "sent"), [("/keyed", 200, 2), ("/unsafe", 502, 1)])
def test_server_that_closes_an_idle_connection_as_a_request_is_written_may_have_run_it(
    target: str, status: int, sent: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The close comes between the check of the connection and the write. It can't be distinguished from a
    server that dies while it executes the request, so only idempotent requests are retried."""

    async def scenario() -> None:
        ends: list[Outcome] = []
        async with parts() as app:
            host = await Host("h").start()
            app.set_hosts(h=address_of(host))
            client = await app.client()
            assert (await client.ask(target)).status == 200
            (connection,) = app.upstream.connections
            await until(lambda: app.upstream.loop.time() > connection.idle_since + SETTLE_S)
            real_clean, real_ended = Connection.clean, Node.attempt_ended

            def clean(self: Connection) -> bool:
                found = real_clean(self)
                for writer in host.open.values():
                    own = socket.socket(fileno=socket.dup(writer.get_extra_info("socket").fileno()))
                    own.shutdown(socket.SHUT_RDWR)
                    own.close()
                monkeypatch.setattr(Connection, "clean", real_clean)
                return found

            def ended(self: Node, out: ActiveAttempt, outcome: Outcome, answer: Answer | None) -> None:
                ends.append(outcome)
                real_ended(self, out, outcome, answer)

            monkeypatch.setattr(Connection, "clean", clean)
            monkeypatch.setattr(Node, "attempt_ended", ended)
            assert (await client.ask(target, timeout_ms=30_000)).status == status
            assert ends[0] is Outcome.RESET and len(ends) == sent
            assert len(host.seen) == sent  # the first request, and the retry if allowed

    asyncio.run(scenario())


# Connections over the limit


def test_connection_over_the_limit_gets_503() -> None:
    """All connections are busy, so none can be evicted; the client's request waits in the queue already."""

    async def scenario() -> None:
        async with parts(max_open=1) as app:
            host = await Host("h", sockets.no_answer).start()
            app.set_hosts(h=address_of(host))
            first = await app.client()
            first.send("/unsafe", timeout_ms=30_000)
            await host.wait(lambda: len(host.seen) == 1)
            app.front.stop_accepting()
            second = await plain_client(app, ask())
            app.front._accept(app.front.listener)
            got, orderly = await read_to_end(second)
            assert got.startswith(b"HTTP/1.1 503 ") and orderly
            assert app.front.open == 1 and len(host.seen) == 1
            second.close()

    asyncio.run(scenario())


# An answer that can't be completed


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_truncated_answer_differs_from_a_complete_one(version: str) -> None:
    """For HTTP/1.0 clients the answer ends with the connection, so that end must not be orderly."""

    async def scenario() -> None:
        go = asyncio.Event()
        async with parts() as app:
            host = await Host(
                "h", in_two_parts(CHUNKED, b"4\r\nhalf\r\n", b"no chunk at all\r\n", go)
            ).start()
            app.set_hosts(h=address_of(host))
            sock = await plain_client(app, ask(version=version))
            await until(lambda: any(c._source is not None for c in app.connections()))
            go.set()
            got, orderly = await read_to_end(sock)
            assert b"half" in got and not got.endswith(b"0\r\n\r\n")
            assert not orderly or b"chunked" in got
            sock.close()

    asyncio.run(scenario())


# The end of the process


def test_rest_of_a_slowly_read_answer_is_not_truncated_by_the_end_of_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process that exits by itself must have sent its answers; only a kill may truncate them."""
    body = bytes(200_000)

    def narrow(address: Address) -> socket.socket:
        listener = bind(address)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)  # keeps the kernel's buffer small
        return listener

    monkeypatch.setattr(frontend_module, "bind", narrow)

    async def scenario() -> None:
        loop, discovery, host = asyncio.get_running_loop(), Discovery(), Host("h", raw(ok(body)))
        await host.start()
        discovery.entries["h"] = host.entry()
        await discovery.start()
        async with program(tmp_path, discovery) as (app, ended):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await loop.sock_connect(sock, app._configuration.listen)
            await loop.sock_sendall(sock, ask("Connection: close\r\n"))
            got = 0
            while not got or app._node.pending_calls:
                got += len(await loop.sock_recv(sock, 4096))
            # The answer has arrived from the host completely, but is not sent completely.
            assert [c.sending for c in app._frontend._connections] == [True]
            app.stop()
            # The client pauses for longer than a shutdown waits for new connections and incomplete requests.
            await asyncio.sleep(NEW_CONNECTIONS_S + 2 * INCOMPLETE_REQUEST_S + 0.5)
            assert not ended.done()
            rest, orderly = await read_to_end(sock)
            assert orderly and len(body) < got + len(rest) < len(body) + 1000
            async with asyncio.timeout(TIMEOUT_S):
                assert await ended == 0
            sock.close()

    asyncio.run(scenario())


@asynccontextmanager
async def program(folder: Path, discovery: Discovery) -> AsyncIterator[tuple[Program, asyncio.Task[int]]]:
    """Runs the whole program in this loop; yields it, and the task of its exit code."""
    listen = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}.7:3000"
    told = {"listen": listen, "discovery": f"127.0.0.1:{discovery.port}",
            "settings": {**SETTINGS, **LONG_DEADLINES}, "known": discovery.listing()}  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps(told))
    created = Program(config.load({"PROXY_CONFIG": str(path)}), None)
    ended = asyncio.create_task(created.run())
    await until(lambda: created._frontend._listener)
    yield created, ended
    ended.cancel()


def test_queued_connection_is_served_when_the_shutdown_gives_up_an_incomplete_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client that never completes its request does not keep the process from ending. But the process must
    not end while another connection waits in the listener's queue."""
    late_clients: list[socket.socket] = []
    real = Shutdown.next_actions

    def next_actions(self: Shutdown, now_s: float, seen: Observation) -> list[ShutdownAction]:
        actions = real(self, now_s, seen)
        if not late_clients and (self.over or ShutdownAction.ACCEPT_WAITING in actions):
            late_clients.append(socket.create_connection(programs[0]._configuration.listen))
            late_clients[0].sendall(ask())
        return actions

    programs: list[Program] = []
    monkeypatch.setattr(Shutdown, "next_actions", next_actions)

    async def scenario() -> None:
        discovery, host = Discovery(), await Host("h").start()
        discovery.entries["h"] = host.entry()
        await discovery.start()
        async with program(tmp_path, discovery) as (app, ended):
            programs.append(app)
            half = socket.create_connection(app._configuration.listen)
            half.sendall(b"POST /unsafe HTTP/1.1\r\nX-Request-ID: h\r\nContent-Length: 9\r\n\r\nhalf")
            await until(lambda: [c.request_incomplete for c in app._frontend._connections] == [True])
            app.stop()
            await until(lambda: late_clients)
            late_clients[0].setblocking(False)
            got, _ = await read_to_end(late_clients[0])
            assert got.startswith(b"HTTP/1.1 200 ")
            async with asyncio.timeout(TIMEOUT_S):
                assert await ended == 0
            half.close()
            late_clients[0].close()

    asyncio.run(scenario())


# A process that stalls


def test_drain_announced_during_a_stall_is_applied_before_requests_are_sent() -> None:
    """After a stall beyond the grace period, requests and an announced drain are pending, in this order."""

    async def scenario() -> None:
        discovery, hosts = await Discovery().start(), [await Host(name).start() for name in ("a", "b")]
        async with running(discovery, hosts, settings=LONG_DEADLINES) as proxy:
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
            await asyncio.sleep(0.6)  # longer than the grace period
            proxy.process.send_signal(signal.SIGCONT)
            for client in clients:
                assert (await client.read()).status == 200
            await discovery.wait_for_calls(calls + 1)
            assert len(hosts[0].seen) == before

    asyncio.run(scenario())


def test_stall_counts_towards_the_timeout_of_requests_that_arrived_in_it() -> None:
    """The final answer is due before the client gives up; half a second later it is lost."""

    async def scenario() -> None:
        discovery, host = await Discovery().start(), await Host("h", sockets.no_answer).start()
        async with running(discovery, [host], settings=LONG_DEADLINES) as proxy:
            client, loop = await proxy.client(), asyncio.get_running_loop()
            proxy.process.send_signal(signal.SIGSTOP)
            asked_s = loop.time()
            client.send("/unsafe", timeout_ms=4000)
            await client.writer.drain()
            await asyncio.sleep(3.0)
            proxy.process.send_signal(signal.SIGCONT)
            assert (await client.read()).status == 502
            assert loop.time() - asked_s < 5.5  # 7 s if the timeout started at the read

    asyncio.run(scenario())


# A watch that moves to another address


def test_drain_announced_by_the_old_address_counts_when_the_watch_moves(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A drain is announced in the step that handles SIGHUP, and the new address has not answered yet."""

    async def scenario() -> None:
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
            programs[0].reload()  # before the loop polls its sockets again
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        programs: list[Program] = []
        agents = [await asyncio.start_server(one, "127.0.0.1", 0) for one in (serve, silent)]
        old.port, new_port = (agent.sockets[0].getsockname()[1] for agent in agents)
        async with program(tmp_path, old) as (app, _ended):
            programs.append(app)
            await until(lambda: len(told) == 2)
            path = tmp_path / "config.json"
            moved = {**json.loads(path.read_text()), "discovery": f"127.0.0.1:{new_port}"}
            path.write_text(json.dumps(moved))
            monkeypatch.setenv("PROXY_CONFIG", str(path))
            assert set(app._node._addresses) == {"a", "b"}
            drains.set()
            await until(lambda: asked)
            await until(lambda: set(app._node._addresses) == {"b"})
        for agent in agents:
            agent.close()

    asyncio.run(scenario())
