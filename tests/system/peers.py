"""Scripted peers on loopback for the HTTP server and client: bytes out, bytes in, and events to wait for."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from cloverrouter.http.client import Address, ConnectionPool, Failure, Headers
from cloverrouter.http.server import Exchange, Server, ServerLimits

LONG_S = 20.0  # for what surely comes; a test that waits this long has failed
RESET = struct.pack("ii", 1, 0)


def play(scene: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(LONG_S):
            await scene

    asyncio.run(bounded())


async def until(condition: Callable[[], object]) -> None:
    """For what no event tells."""
    while not condition():
        await asyncio.sleep(0.002)


class Peer:
    """One end of a connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @staticmethod
    async def connect(address: Address) -> Peer:
        return Peer(*await asyncio.open_connection(*address))

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def head(self) -> bytes:
        return await self.reader.readuntil(b"\r\n\r\n")

    async def answer(self) -> tuple[int, bytes, bytes]:
        """Status, head and body of an answer that tells its length."""
        head = await self.head()
        fields = [line.partition(b":") for line in head.lower().split(b"\r\n")]
        length = next((int(value) for name, _, value in fields if name == b"content-length"), 0)
        return int(head.split()[1]), head, await self.reader.readexactly(length)

    async def rest(self) -> bytes:
        """All that comes until an orderly end. Raises ConnectionResetError at a reset."""
        return await self.reader.read()

    def half_close(self) -> None:
        self.writer.write_eof()

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.writer.transport.abort()


class Handler:
    """Keeps the requests that a server hands over, and answers them with `act`, if there is one."""

    def __init__(self, act: Callable[[Exchange], None] | None = None) -> None:
        self.act = act
        self.seen: list[Exchange] = []
        self.told: list[str] = []
        self._changed = asyncio.Condition()

    def __call__(self, exchange: Exchange) -> None:
        self.seen.append(exchange)
        exchange.on_gone = lambda: self.told.append("gone")
        exchange.on_pause = lambda: self.told.append("pause")
        exchange.on_resume = lambda: self.told.append("resume")
        if self.act is not None:
            self.act(exchange)

    async def request(self, number: int = 0) -> Exchange:
        await until(lambda: len(self.seen) > number)
        return self.seen[number]

    async def tells(self, *what: str) -> None:
        await until(lambda: self.told == list(what))


async def serve(
    act: Callable[[Exchange], None] | None = None, **limits: Any
) -> tuple[Server, Handler, Address]:
    handler = Handler(act)
    server = Server(handler, ServerLimits(**limits))
    return server, handler, await server.listen("127.0.0.1", 0)


class Answered:
    """A listener that notes what it is told."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.length: int | None = None
        self.body = b""
        self.told: list[str] = []
        self.failure: Failure | None = None
        self.over = asyncio.Event()
        self.written = asyncio.Event()
        self.begun = asyncio.Event()

    def on_written(self) -> None:
        self.told.append("written")
        self.written.set()

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        self.status, self.headers, self.length = status, headers, length
        self.told.append("head")
        self.begun.set()

    def on_data(self, data: bytes) -> None:
        self.body += data
        if self.told[-1] != "data":
            self.told.append("data")

    def ends_with(self, data: bytes) -> bool:
        return self.body.endswith(data)

    def on_end(self) -> None:
        self.told.append("end")
        self.over.set()

    def on_failure(self, failure: Failure) -> None:
        self.failure = failure
        self.told.append("failure")
        self.over.set()


class Upstream:
    """A server whose connections a test plays by hand."""

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
        await until(lambda: len(self.peers) > number)
        return self.peers[number]


def pool(**how: Any) -> ConnectionPool:
    settings: dict[str, Any] = {"max_connections": 8, "connect_timeout_s": 5.0, "idle_timeout_s": 60.0}
    return ConnectionPool(**{**settings, "settle_s": 0.0, **how})
