"""Scripted peers on loopback for tests of the HTTP server and client."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from cloverrouter.http.client import Address, ConnectionPool, Failure, Headers
from cloverrouter.http.server import Exchange, Server, ServerLimits

TEST_TIMEOUT_S = 20.0  # timeout of a test
RESET = struct.pack("ii", 1, 0)


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Runs the coroutine of a test in a new event loop, with a timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario

    asyncio.run(bounded())


async def until(condition: Callable[[], object]) -> None:
    """Polls until the condition is true, for conditions without an event to wait for."""
    while not condition():
        await asyncio.sleep(0.002)


class Peer:
    """One end of a connection, driven by a test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @staticmethod
    async def connect(address: Address) -> Peer:
        return Peer(*await asyncio.open_connection(*address))

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def head(self) -> bytes:
        """Reads to the end of a message head."""
        return await self.reader.readuntil(b"\r\n\r\n")

    async def answer(self) -> tuple[int, bytes, bytes]:
        """Reads a response with Content-Length, or without a body; returns its status, head and body."""
        head = await self.head()
        fields = [line.partition(b":") for line in head.lower().split(b"\r\n")]
        length = next((int(value) for name, _, value in fields if name == b"content-length"), 0)
        return int(head.split()[1]), head, await self.reader.readexactly(length)

    async def read_to_close(self) -> bytes:
        """Reads until an orderly close. Raises ConnectionResetError at a reset."""
        return await self.reader.read()

    def half_close(self) -> None:
        self.writer.write_eof()

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        """Closes the connection with a reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.writer.transport.abort()


class Handler:
    """A request handler that records its exchanges and events, and calls `on_exchange` if given."""

    def __init__(self, on_exchange: Callable[[Exchange], None] | None = None) -> None:
        self.on_exchange = on_exchange
        self.exchanges: list[Exchange] = []
        self.events: list[str] = []
        self._changed = asyncio.Condition()

    def __call__(self, exchange: Exchange) -> None:
        self.exchanges.append(exchange)
        exchange.on_disconnect = lambda: self.events.append("gone")
        exchange.on_pause = lambda: self.events.append("pause")
        exchange.on_resume = lambda: self.events.append("resume")
        if self.on_exchange is not None:
            self.on_exchange(exchange)

    async def request(self, number: int = 0) -> Exchange:
        """Waits for the exchange with this number, from 0."""
        await until(lambda: len(self.exchanges) > number)
        return self.exchanges[number]

    async def wait_for_events(self, *what: str) -> None:
        """Waits until the events are exactly these."""
        await until(lambda: self.events == list(what))


async def serve(
    on_exchange: Callable[[Exchange], None] | None = None, **limits: Any
) -> tuple[Server, Handler, Address]:
    """Starts a server on a free port of loopback."""
    handler = Handler(on_exchange)
    server = Server(handler, ServerLimits(**limits))
    return server, handler, await server.listen("127.0.0.1", 0)


class RecordingListener:
    """A call listener that records its events and the response."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.length: int | None = None
        self.body = b""
        self.events: list[str] = []
        self.failure: Failure | None = None
        self.finished = asyncio.Event()
        self.written = asyncio.Event()
        self.head_received = asyncio.Event()

    def on_written(self) -> None:
        self.events.append("written")
        self.written.set()

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        self.status, self.headers, self.length = status, headers, length
        self.events.append("head")
        self.head_received.set()

    def on_data(self, data: bytes) -> None:
        self.body += data
        if self.events[-1] != "data":
            self.events.append("data")

    def body_ends_with(self, data: bytes) -> bool:
        return self.body.endswith(data)

    def on_end(self) -> None:
        self.events.append("end")
        self.finished.set()

    def on_failure(self, failure: Failure) -> None:
        self.failure = failure
        self.events.append("failure")
        self.finished.set()


class Upstream:
    """A server whose connections are driven by a script or by the test itself."""

    def __init__(self, script: Callable[[Peer], Awaitable[None]] | None = None) -> None:
        self.script = script
        self.peers: list[Peer] = []

    async def start(self) -> Upstream:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address: Address = self.server.sockets[0].getsockname()[:2]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        self.peers.append(peer)
        if self.script is not None:
            try:
                await self.script(peer)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

    async def peer(self, number: int = 0) -> Peer:
        """Waits for the connection with this number, from 0."""
        await until(lambda: len(self.peers) > number)
        return self.peers[number]


def pool(**how: Any) -> ConnectionPool:
    """Returns a connection pool that reuses connections at once; `how` overrides its settings."""
    settings: dict[str, Any] = {"max_connections": 8, "connect_timeout_s": 5.0, "idle_timeout_s": 60.0}
    return ConnectionPool(**{**settings, "settle_s": 0.0, **how})
