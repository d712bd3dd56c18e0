"""A router whose calls go over real connections' code, used again and again: fake sockets, a fake clock, and
servers that say whatever a test wants."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from cloverrouter.http.client import Address, Call, Listener
from cloverrouter.http.upstream import UpstreamConnection
from tests.system.router_world import FakeClock, ScriptedExchange, World

STAMP = b"stamp-1"
ROUTE_OF = {"call": "twice", "repeatable call": "again", "stream": "talk", "resumable stream": "resume"}
"""The route of each kind of request."""


class FakeSocket:
    """Nothing lies unread on it but what a test puts there."""

    def __init__(self) -> None:
        self.unread = b""

    def recv(self, size: int, flags: int) -> bytes:
        if not self.unread:
            raise BlockingIOError
        return self.unread[:size]


class FakeTransport:
    """Keeps what is written, and holds the last byte back while it is `blocked`."""

    def __init__(self) -> None:
        self.written = b""
        self.blocked = False
        self.ended = False

    def set_write_buffer_limits(self, high: int) -> None: ...

    def write(self, data: bytes) -> None:
        assert not self.ended, "a request goes out on a connection that has ended"
        self.written += data

    def get_write_buffer_size(self) -> int:
        return int(self.blocked)

    def abort(self) -> None:
        self.ended = True

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...


class FakeLoop:
    """The clock, as connections see it."""

    def __init__(self, clock: FakeClock) -> None:
        self.time = clock


class Wire:
    """One connection, seen from its server."""

    def __init__(self, pool: ReusingPool, address: Address) -> None:
        self.address = address
        self.socket = FakeSocket()
        self.transport = FakeTransport()
        self._pool = pool
        self.connection = UpstreamConnection(cast(Any, pool), cast(Any, self), cast(Any, self.socket))
        self.connection.connection_made(cast(Any, self.transport))

    # For the connection: its pool

    def rest(self, connection: UpstreamConnection, now_s: float) -> None: ...

    def forget(self, connection: UpstreamConnection) -> None:
        self._pool.forget(self)

    # What the server does

    @property
    def requests(self) -> list[bytes]:
        """The ids of those that came on it."""
        lines = self.transport.written.lower().split(b"\r\n")
        name = b"cypresswinch-attempt-id: "
        return [line[len(name) :] for line in lines if line.startswith(name)]

    def says(self, data: bytes) -> None:
        """Bytes come."""
        if not self.transport.ended:
            self._pool.buffer[: len(data)] = data
            self.connection.buffer_updated(len(data))

    def takes_the_rest(self) -> None:
        """The last byte of the request goes out."""
        self.transport.blocked = False
        self.connection.resume_writing()

    def closes(self) -> None:
        """Its end, in an orderly way."""
        if not self.transport.ended:
            self.connection.eof_received()
        self.connection.connection_lost(None)

    def resets(self) -> None:
        """Its end, by a reset."""
        self.connection.connection_lost(ConnectionResetError())


class ReusingPool:
    """The pool's rules in short: an idle connection is used if nothing speaks against it."""

    idle_timeout_s = 60.0

    def __init__(self, clock: FakeClock) -> None:
        self.loop = FakeLoop(clock)
        self.buffer = memoryview(bytearray(64 * 1024))
        self.connections: set[object] = set()
        self.wires: list[Wire] = []
        self.opened = 0
        self.blocked = False
        """New requests keep their last byte."""
        self._idle: dict[Address, list[Wire]] = {}
        self.last: Wire | None = None
        """Where the latest request went."""
        self.sent: list[Wire] = []
        """Where each request went."""

    def send(
        self,
        address: Address,
        message: bytes,
        listener: Listener,
        expected_id: bytes = b"",
        id_header: bytes = b"",
        renewed: Callable[[], bytes | None] | None = None,
    ) -> Call:
        call = Call(message, listener, expected_id, id_header, renewed)
        wire = self._clean(address) or self._open(address)
        wire.transport.blocked = self.blocked
        self.last = wire
        self.sent.append(wire)
        wire.connection.send(call)
        return call

    def _clean(self, address: Address) -> Wire | None:
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

    # For connections

    def put(self, connection: UpstreamConnection) -> None:
        connection.expires_s = self.loop.time() + connection.keep_s
        wire = cast(Wire, connection.pool)
        self._idle.setdefault(wire.address, []).append(wire)

    def forget(self, wire: Wire) -> None:
        if wire in self._idle.get(wire.address, []):
            self._idle[wire.address].remove(wire)

    def reset_unheard(self, connection: UpstreamConnection, sent_s: float) -> None: ...


class ReuseWorld:
    """A router with two servers of each service, to each of which a used connection waits."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.pool = ReusingPool(self.clock)
        self.world = World(clock=self.clock, pool=cast(Any, self.pool)).set_up(servers=2)
        self.exchange: ScriptedExchange | None = None
        for path in ("/once/x", "/talk/x"):
            self._warm_up(path)
        self.opened_before = self.pool.opened

    def _warm_up(self, path: str) -> None:
        """Two requests at once go to both servers; both connections rest then."""
        held: list[tuple[Wire, bytes]] = []
        while len({wire.address for wire, _ in held}) < 2:
            self.ask(path)
            assert self.pool.last is not None
            held.append((self.pool.last, self.pool.last.requests[-1]))
        for wire, request in held:
            wire.says(answer(request))

    def ask(self, path: str) -> ScriptedExchange:
        self.exchange = self.world.ask(path)
        return self.exchange

    def ask_kind(self, kind: str) -> ScriptedExchange:
        return self.ask(f"/{ROUTE_OF[kind]}/x")

    def exchange_is_over(self) -> bool:
        return self.exchange is None or self.exchange.done

    @property
    def wire(self) -> Wire:
        assert self.pool.last is not None
        return self.pool.last

    @property
    def request(self) -> bytes:
        """The id of the latest request that went out."""
        return self.wire.requests[-1]


def answer(
    request: bytes, body: bytes = b"body", status: int = 200, *fields: bytes, length: bool = True
) -> bytes:
    """A server's own answer to a request."""
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
    """The server's word that it has not run a request."""
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
