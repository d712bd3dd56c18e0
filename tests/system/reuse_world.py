"""A router on real `UpstreamConnection` objects that are reused, with fake sockets, a fake clock and scripted
servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from cloverrouter.http.body import Blocks
from cloverrouter.http.client import Address, Call, CallListener
from cloverrouter.http.upstream import UpstreamConnection
from tests.system.router_world import FakeClock, ScriptedExchange, World

STAMP = b"stamp-1"
ROUTE_OF = {"call": "twice", "repeatable call": "again", "stream": "talk", "resumable stream": "resume"}
"""The route of each kind of request in the feature files."""


class FakeSocket:
    """A socket whose unread data is what the test sets."""

    def __init__(self) -> None:
        self.unread = b""

    def recv(self, size: int, flags: int) -> bytes:
        if not self.unread:
            raise BlockingIOError
        return self.unread[:size]


class FakeTransport:
    """Records what is written. While it is `blocked`, the last byte counts as unsent."""

    def __init__(self) -> None:
        self.written = b""
        self.blocked = False
        self.aborted = False

    def set_write_buffer_limits(self, high: int) -> None: ...

    def write(self, data: bytes) -> None:
        assert not self.aborted, "a request goes out on a connection that has ended"
        self.written += data

    def get_write_buffer_size(self) -> int:
        return int(self.blocked)

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...


class FakeLoop:
    """The event loop, reduced to its clock."""

    def __init__(self, clock: FakeClock) -> None:
        self.time = clock


class Wire:
    """One connection, driven from the server side."""

    def __init__(self, pool: ReusingPool, address: Address) -> None:
        self.address = address
        self.socket = FakeSocket()
        self.transport = FakeTransport()
        self._pool = pool
        self.connection = UpstreamConnection(cast(Any, pool), cast(Any, self), cast(Any, self.socket))
        self.connection.connection_made(cast(Any, self.transport))

    # Used by the connection: `AddressPool`

    def add_idle(self, connection: UpstreamConnection, now_s: float) -> None: ...

    def forget(self, connection: UpstreamConnection) -> None:
        self._pool.forget(self)

    # Actions of the server

    @property
    def requests(self) -> list[bytes]:
        """The ids of the requests received on this connection."""
        lines = self.transport.written.lower().split(b"\r\n")
        name = b"cypresswinch-attempt-id: "
        return [line[len(name) :] for line in lines if line.startswith(name)]

    def send_bytes(self, data: bytes) -> None:
        """Sends bytes to the client."""
        if not self.transport.aborted:
            self._pool.buffer[: len(data)] = data
            self.connection.buffer_updated(len(data))

    def finish_request(self) -> None:
        """Lets the last byte of the request be sent."""
        self.transport.blocked = False
        self.connection.resume_writing()

    def close(self) -> None:
        """Closes the connection in an orderly way."""
        if not self.transport.aborted:
            self.connection.eof_received()
        self.connection.connection_lost(None)

    def reset(self) -> None:
        """Resets the connection."""
        self.connection.connection_lost(ConnectionResetError())


class ReusingPool:
    """A simplified connection pool: reuses an idle connection if it is clean."""

    idle_timeout_s = 60.0

    def __init__(self, clock: FakeClock) -> None:
        self.loop = FakeLoop(clock)
        self.buffer = memoryview(bytearray(64 * 1024))
        self.connections: set[object] = set()
        self.wires: list[Wire] = []
        self.opened = 0
        self.blocked = False
        """Whether the last byte of new requests stays unsent."""
        self._idle: dict[Address, list[Wire]] = {}
        self.last: Wire | None = None
        """The connection of the latest request."""
        self.sent: list[Wire] = []
        """The connection of each request, in order."""

    def send(
        self,
        address: Address,
        message: bytes,
        listener: CallListener,
        expected_id: bytes = b"",
        id_header: bytes = b"",
        refresh: Callable[[], bytes | None] | None = None,
        body: Blocks = (),
    ) -> Call:
        call = Call(message, listener, expected_id, id_header, refresh, body)
        wire = self._take_clean(address) or self._open(address)
        wire.transport.blocked = self.blocked
        self.last = wire
        self.sent.append(wire)
        wire.connection.send(call)
        return call

    def _take_clean(self, address: Address) -> Wire | None:
        for wire in self._idle.pop(address, []):
            if wire.connection.clean():
                return wire
            wire.connection.abort()
        return None

    def _open(self, address: Address) -> Wire:
        self.opened += 1
        wire = Wire(self, address)
        self.wires.append(wire)
        return wire

    def keep_only(self, addresses: set[Address]) -> None: ...

    # Used by the connections: `Owner`

    def put(self, connection: UpstreamConnection) -> None:
        connection.expires_s = self.loop.time() + connection.max_idle_s
        wire = cast(Wire, connection.pool)
        self._idle.setdefault(wire.address, []).append(wire)

    def forget(self, wire: Wire) -> None:
        if wire in self._idle.get(wire.address, []):
            self._idle[wire.address].remove(wire)

    def on_early_reset(self, connection: UpstreamConnection, sent_s: float) -> None: ...


class ReuseWorld:
    """A router with two servers of each service and a reusable idle connection to each server."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.pool = ReusingPool(self.clock)
        self.world = World(clock=self.clock, pool=cast(Any, self.pool)).set_up(servers=2)
        self.exchange: ScriptedExchange | None = None
        for path in ("/once/x", "/talk/x"):
            self._warm_up(path)
        self.opened_before = self.pool.opened

    def _warm_up(self, path: str) -> None:
        """Sends requests until both servers have one, then answers all; the connections become idle."""
        pending: list[tuple[Wire, bytes]] = []
        while len({wire.address for wire, _ in pending}) < 2:
            self.ask(path)
            assert self.pool.last is not None
            pending.append((self.pool.last, self.pool.last.requests[-1]))
        for wire, request in pending:
            wire.send_bytes(answer(request))

    def ask(self, path: str) -> ScriptedExchange:
        self.exchange = self.world.ask(path)
        return self.exchange

    def ask_kind(self, kind: str) -> ScriptedExchange:
        return self.ask(f"/{ROUTE_OF[kind]}/x")

    def exchange_is_done(self) -> bool:
        return self.exchange is None or self.exchange.done

    @property
    def wire(self) -> Wire:
        assert self.pool.last is not None
        return self.pool.last

    @property
    def request(self) -> bytes:
        """The id of the latest request sent."""
        return self.wire.requests[-1]


def answer(
    request: bytes, body: bytes = b"body", status: int = 200, *fields: bytes, length: bool = True
) -> bytes:
    """Encodes a server's response to a request."""
    lines = [
        b"HTTP/1.1 %d X" % status,
        b"Cypresswinch-Attempt-Id: " + request,
        b"Cypresswinch-Server-Signature: " + STAMP,
        *fields,
    ]
    if length:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body])


def refusal(request: bytes) -> bytes:
    """Encodes a response that says that the request was not executed."""
    return (
        b"HTTP/1.1 503 X\r\nCypresswinch-Attempt-Id: %b\r\nCypresswinch-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n" % request
    )


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream_head(request: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 X\r\nCypresswinch-Attempt-Id: %b\r\nCypresswinch-Server-Signature: %b\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" % (request, STAMP)
    )
