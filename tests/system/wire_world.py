"""A router between real sockets on the loopback interface, with scripted clients and scripted servers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from cloverrouter.control.configuration import Configuration, Service
from cloverrouter.http.client import Address, ConnectionPool
from cloverrouter.http.connection import Stage
from cloverrouter.http.memory import MemoryBudget
from cloverrouter.http.server import Server, ServerLimits
from cloverrouter.placement.servers import Server as ListedServer
from cloverrouter.router.bounds import RouterBounds
from cloverrouter.router.router import Router
from tests.system.peers import Peer, Upstream, pool
from tests.system.router_world import FakeBudget, FakeQuota, route

SIGNED_LINE = b"Cypresswinch-Server-Signature: stamp-1\r\n"
ROUTES = (
    route("once", timeout_ms=10_000),
    route("again", kind="idempotent", attempts=3, timeout_ms=10_000),
    route("talk", kind="streaming", timeout_ms=10_000),
    route("resume", kind="streaming", resumable=True, attempts=3, timeout_ms=10_000),
)
LARGEST_BODY_BYTES = 64_000_000


class WireWorld:
    """A router whose requests all go to one scripted server. `start` must be called within an event loop."""

    def __init__(self, script: Callable[[Peer], Awaitable[None]] | None = None) -> None:
        self.upstream = Upstream(script)

    async def start(self) -> WireWorld:
        loop = asyncio.get_running_loop()
        await self.upstream.start()
        self.pool: ConnectionPool = pool()
        self.router = Router(
            loop.time,
            loop.call_later,
            Random(7),
            self.pool,
            "east",
            RouterBounds(),
            FakeQuota(),
            FakeBudget(),
        )
        self.router.configure(Configuration(1, ROUTES, (Service("desk", "/health", None, None),)))
        listed = ListedServer("desk-0", "desk", self.upstream.address, "east", 12, True)
        self.router.servers_changed([listed])
        self.server = Server(
            self.router.handle,
            ServerLimits(body_bytes=LARGEST_BODY_BYTES),
            MemoryBudget(2 * LARGEST_BODY_BYTES),
        )
        self.address: Address = await self.server.listen("127.0.0.1", 0)
        return self

    def close(self) -> None:
        self.server.close()
        self.pool.close()

    @property
    def has_blocked_client(self) -> bool:
        """Whether a client doesn't read its answer."""
        return any(connection.paused for connection in self.server._stages[Stage.WRITE_BLOCKED])

    @property
    def has_answer_data(self) -> bool:
        """Whether a part of an answer has arrived from a server."""
        return any(connection._status for connection in self.pool.connections)

    async def client(self) -> Peer:
        return await Peer.connect(self.address)


def request(path: str, attempt_id: bytes, body: bytes = b"", close: bool = False) -> bytes:
    lines = [
        b"POST %b HTTP/1.1" % path.encode(),
        b"Host: front.example",
        b"Cypresswinch-Attempt-Id: " + attempt_id,
        b"Content-Length: %d" % len(body),
        b"Connection: " + (b"close" if close else b"keep-alive"),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def head(status: int, attempt_id: bytes, *lines: bytes) -> bytes:
    """The head of a server's own answer."""
    fields = b"".join(line + b"\r\n" for line in lines)
    own = b"Cypresswinch-Attempt-Id: %b\r\n%b" % (attempt_id, SIGNED_LINE)
    return b"HTTP/1.1 %d X\r\n%b%b\r\n" % (status, own, fields)
