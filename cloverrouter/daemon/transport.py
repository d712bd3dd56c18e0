"""Messages between the proxies' processes over long-lived TCP connections.

`send` is a datagram to the callers: a message is dropped where no connection can be had, or its peer does not
read. Each process connects to those that it sends to, from its own address: a peer is known by its IP. A
connection whose bytes stay unacknowledged is given up by the kernel (`TCP_USER_TIMEOUT`).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator

import attrs

from cloverrouter.messages import Decoder, MessageError, encode

CONNECT_TIMEOUT_S = 0.5
USER_TIMEOUT_MS = 1500
RETRY_PAUSE_S = 0.1  # after a failed connect
MAX_RETRY_PAUSE_S = 0.4  # where nothing answers, after several
LATE_CONNECT_S = 0.05  # under way for so long: what it began with may have been lost
MAX_QUEUED_BYTES = 8 * 1024 * 1024  # for one peer
READ_BYTES = 64 * 1024
LARGE_BYTES = 4096
MAX_LARGE = 32
LARGE_KEPT_S = 0.5

OnMessage = Callable[[str, object], None]


def _tune(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Incoming(asyncio.BufferedProtocol):
    """A connection from a peer: messages in."""

    def __init__(self, owner: Transport) -> None:
        self._owner = owner
        self._decoder = Decoder()
        self._transport: asyncio.BaseTransport | None = None
        self._ip = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._ip = transport.get_extra_info("peername")[0]
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _tune(sock)
        self._owner.incoming.add(transport)
        self._owner.peer_is_up(self._ip)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._transport is not None:
            self._owner.incoming.discard(self._transport)
        self._transport = None

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._owner.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._owner.bytes_received += nbytes
        data = bytes(self._owner.buffer[:nbytes])
        try:
            with self._owner.batch():
                for message in self._decoder.feed(data):
                    self._owner.deliver(self._ip, message)
            self._owner.messages_skipped += self._decoder.skipped_frames
            self._decoder.skipped_frames = 0
        except MessageError as error:
            self._owner.on_error(self._ip, error)
            if self._transport is not None:
                self._transport.close()


class _Outgoing(asyncio.Protocol):
    """A connection to a peer: messages out. What the peer says on it is not expected, and ignored."""

    def __init__(self, link: Link) -> None:
        self._link = link

    def connection_lost(self, exc: Exception | None) -> None:
        self._link.lost()


class ConnectPause:
    """How long a link waits until it tries to connect once more.

    A machine that refuses is up, and its process may be just about to listen: it is asked again soon. Where
    nothing answers, the waits grow.
    """

    def __init__(self) -> None:
        self._pause_s = RETRY_PAUSE_S
        self._not_before_s = 0.0

    def may_try(self, now_s: float) -> bool:
        """Whether the wait is over."""
        return now_s >= self._not_before_s

    def failed(self, now_s: float, *, refused: bool) -> None:
        """There was no connection. `refused`: the machine itself said so."""
        if refused:
            self._pause_s = RETRY_PAUSE_S
        self._not_before_s = now_s + self._pause_s
        if not refused:
            self._pause_s = min(MAX_RETRY_PAUSE_S, 2 * self._pause_s)

    def over(self) -> None:
        """The peer is there: nothing is waited for."""
        self._pause_s = RETRY_PAUSE_S
        self._not_before_s = 0.0


class Link:
    """Everything that goes to one peer."""

    def __init__(self, owner: Transport, ip: str) -> None:
        self._owner = owner
        self.ip = ip
        self._transport: asyncio.Transport | None = None
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._opening: asyncio.Task[None] | None = None
        self._opening_since_s = 0.0
        self._pause = ConnectPause()

    @property
    def connected(self) -> bool:
        return self._transport is not None

    def send(self, frame: bytes) -> None:
        """Goes out now, or at the end of the batch, or once there is a connection."""
        if self._transport is None:
            self.open()
        if self._transport is None and self._opening is None:
            return
        if self._queued_bytes < MAX_QUEUED_BYTES:
            self._queue.append(frame)
            self._queued_bytes += len(frame)
        if self._transport is not None and not self._owner.hold(self):
            self.flush()

    def flush(self) -> None:
        """Writes what is queued, in one go, if there is a connection."""
        if self._transport is None or not self._queue:
            return
        if self._transport.get_write_buffer_size() < MAX_QUEUED_BYTES:
            self._owner.bytes_sent += self._queued_bytes
            self._owner.writes += 1
            self._transport.write(b"".join(self._queue) if len(self._queue) > 1 else self._queue[0])
        self._drop_queue()

    def open(self) -> None:
        """Begin to connect, unless that is under way, done, or was tried just now."""
        loop = self._owner.loop
        if self._transport is None and self._opening is None and self._pause.may_try(loop.time()):
            self._opening = loop.create_task(self._connect())
            self._opening_since_s = loop.time()

    def peer_is_up(self) -> None:
        """The peer has just connected to here. A connect that was begun while it was away would wait for
        its time-out; it is begun anew, with all that is queued for it.
        """
        if self._transport is not None:
            return
        self._pause.over()
        is_late = self._owner.loop.time() - self._opening_since_s >= LATE_CONNECT_S
        if self._opening is not None and is_late:
            self._opening.cancel()
            self._opening = None
            self.open()

    async def _connect(self) -> None:
        loop, owner = self._owner.loop, self._owner
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, _ = await loop.create_connection(
                    lambda: _Outgoing(self), self.ip, owner.port, local_addr=(owner.ip, 0)
                )
        except (OSError, TimeoutError) as error:
            self._pause.failed(loop.time(), refused=isinstance(error, ConnectionRefusedError))
            self._drop_queue()
            return
        finally:
            if self._opening is asyncio.current_task():
                self._opening = None
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _tune(sock)
        self._transport = transport
        self._pause.over()
        owner.on_link(self.ip, True)
        self.flush()

    @property
    def unsent_bytes(self) -> int:
        """What waits here for the connection, or for the system to take it."""
        buffered = self._transport.get_write_buffer_size() if self._transport is not None else 0
        return self._queued_bytes + buffered

    def _drop_queue(self) -> None:
        self._queue.clear()
        self._queued_bytes = 0

    def lost(self) -> None:
        if self._transport is not None:
            self._transport = None
            self._drop_queue()
            self._owner.on_link(self.ip, False)

    def close(self) -> None:
        if self._opening is not None:
            self._opening.cancel()
        if self._transport is not None:
            self._transport.abort()


@attrs.define(slots=True)
class KindCount:
    """Messages of one kind that went to peers."""

    messages: int = 0
    bytes: int = 0


class Transport:
    """All links of this process, and the listener for those of others."""

    def __init__(
        self,
        ip: str,
        port: int,
        on_message: OnMessage,
        on_link: Callable[[str, bool], None],
        on_error: Callable[[str, Exception], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.ip = ip
        self.port = port
        self.on_link = on_link
        self.on_error = on_error
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.incoming: set[asyncio.BaseTransport] = set()
        self.bytes_sent = self.bytes_received = 0
        self.messages_sent = self.messages_received = 0
        self.messages_skipped = 0  # of kinds, or of a version of the protocol, that are not known here
        self.writes = 0
        self.sent: dict[type, KindCount] = {}
        self._encoded: tuple[object, bytes] = (None, b"")
        self._large: dict[int, tuple[object, bytes]] = {}  # by id; the message is held so that this stays its
        self._batches = 0
        self._held: dict[Link, None] = {}
        self._on_message = on_message
        self._links: dict[str, Link] = {}
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Raises OSError if the port is taken."""
        self._server = await self.loop.create_server(
            lambda: Incoming(self), self.ip, self.port, reuse_address=True, backlog=256
        )

    def send(self, ip: str, message: object) -> None:
        """Send, or drop. To oneself: delivered in the loop's next turn.

        The very same message to one after the other is encoded once; so is a large one within half a second.
        """
        self.messages_sent += 1
        if ip == self.ip:
            self.loop.call_soon(self.deliver, ip, message)
            return
        frame = self._frame(message)
        self._count(message, frame)
        self._link(ip).send(frame)

    def send_to_all(self, ips: list[str], message: object) -> None:
        """The same message to several, encoded once."""
        frame = encode(message)
        for ip in ips:
            self.messages_sent += 1
            if ip == self.ip:
                self.loop.call_soon(self.deliver, ip, message)
            else:
                self._count(message, frame)
                self._link(ip).send(frame)

    @contextlib.contextmanager
    def batch(self) -> Iterator[None]:
        """What is sent meanwhile goes to each peer in one write at the end."""
        self._batches += 1
        try:
            yield
        finally:
            self._batches -= 1
            if not self._batches:
                self._flush_held()
                self._encoded = (None, b"")

    def _frame(self, message: object) -> bytes:
        if message is self._encoded[0]:
            return self._encoded[1]
        large = self._large.get(id(message))
        frame = encode(message) if large is None else large[1]
        self._encoded = message, frame
        if large is None and len(frame) >= LARGE_BYTES and len(self._large) < MAX_LARGE:
            if not self._large:
                self.loop.call_later(LARGE_KEPT_S, self._large.clear)
            self._large[id(message)] = message, frame
        return frame

    def hold(self, link: Link) -> bool:
        """Whether the link is to wait for the end of a batch."""
        if self._batches:
            self._held[link] = None
        return self._batches > 0

    def _flush_held(self) -> None:
        links = list(self._held)
        self._held.clear()
        for link in links:
            link.flush()

    def _count(self, message: object, frame: bytes) -> None:
        count = self.sent.get(type(message))
        if count is None:
            count = self.sent[type(message)] = KindCount()
        count.messages += 1
        count.bytes += len(frame)

    def open(self, ip: str) -> None:
        """Have a connection there, for messages to come."""
        if ip != self.ip:
            self._link(ip).open()

    def peer_is_up(self, ip: str) -> None:
        """A peer has connected to here."""
        link = self._links.get(ip)
        if link is not None:
            link.peer_is_up()

    def connected(self, ip: str) -> bool:
        link = self._links.get(ip)
        return ip == self.ip or (link is not None and link.connected)

    def unsent_bytes(self, ip: str) -> int:
        """What waits for the link to a peer."""
        link = self._links.get(ip)
        return link.unsent_bytes if link is not None else 0

    def deliver(self, ip: str, message: object) -> None:
        self.messages_received += 1
        self._on_message(ip, message)

    def _link(self, ip: str) -> Link:
        link = self._links.get(ip)
        if link is None:
            link = self._links[ip] = Link(self, ip)
        return link

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for link in self._links.values():
            link.close()
        for transport in list(self.incoming):
            with contextlib.suppress(Exception):
                transport.close()
