"""Messages between the proxies' processes over long-lived TCP connections.

For its callers, `send` works like a datagram socket: a message is dropped if there is no connection or the
peer does not read. Each process opens a connection to each peer that it sends to, from its own address,
because peers identify each other by IP. The kernel closes a connection whose data stays unacknowledged
(`TCP_USER_TIMEOUT`).
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
RETRY_BACKOFF_S = 0.1  # after a failed connect
MAX_RETRY_BACKOFF_S = 0.4  # after several connects without an answer
STALE_CONNECT_S = 0.05  # a connect pending this long may have lost its first packet
MAX_QUEUED_BYTES = 8 * 1024 * 1024  # per peer
READ_BYTES = 64 * 1024
LARGE_MESSAGE_BYTES = 4096  # frames of this size and more are cached for a while
MAX_CACHED_FRAMES = 32
FRAME_CACHE_S = 0.5

OnMessage = Callable[[str, object], None]


def _tune(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Incoming(asyncio.BufferedProtocol):
    """An incoming connection: receives a peer's messages."""

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
        self._owner.peer_connected(self._ip)

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
    """An outgoing connection: sends messages to a peer. Data received on it is ignored."""

    def __init__(self, link: Link) -> None:
        self._link = link

    def connection_lost(self, exc: Exception | None) -> None:
        self._link.lost()


class ConnectBackoff:
    """The backoff between attempts to connect to one peer, in seconds.

    A machine that refuses a connection is up, and its process may listen soon: it is retried after a constant
    short delay. Without an answer, the delay grows.
    """

    def __init__(self) -> None:
        self._backoff_s = RETRY_BACKOFF_S
        self._not_before_s = 0.0

    def may_try(self, now_s: float) -> bool:
        """Returns whether the backoff has elapsed."""
        return now_s >= self._not_before_s

    def failed(self, now_s: float, *, refused: bool) -> None:
        """Records a failed attempt. `refused`: the machine answered and refused the connection."""
        if refused:
            self._backoff_s = RETRY_BACKOFF_S
        self._not_before_s = now_s + self._backoff_s
        if not refused:
            self._backoff_s = min(MAX_RETRY_BACKOFF_S, 2 * self._backoff_s)

    def reset(self) -> None:
        """Ends the backoff: the peer is reachable."""
        self._backoff_s = RETRY_BACKOFF_S
        self._not_before_s = 0.0


class Link:
    """The outgoing messages and connection to one peer."""

    def __init__(self, owner: Transport, ip: str) -> None:
        self._owner = owner
        self.ip = ip
        self._transport: asyncio.Transport | None = None
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._connecting: asyncio.Task[None] | None = None
        self._connecting_since_s = 0.0
        self._backoff = ConnectBackoff()

    @property
    def connected(self) -> bool:
        return self._transport is not None

    def send(self, frame: bytes) -> None:
        """Sends a frame now, at the end of the batch, or once there is a connection."""
        if self._transport is None:
            self.open()
        if self._transport is None and self._connecting is None:
            return
        if self._queued_bytes < MAX_QUEUED_BYTES:
            self._queue.append(frame)
            self._queued_bytes += len(frame)
        if self._transport is not None and not self._owner.defer_flush(self):
            self.flush()

    def flush(self) -> None:
        """Writes all queued frames at once if there is a connection."""
        if self._transport is None or not self._queue:
            return
        if self._transport.get_write_buffer_size() < MAX_QUEUED_BYTES:
            self._owner.bytes_sent += self._queued_bytes
            self._owner.writes += 1
            self._transport.write(b"".join(self._queue) if len(self._queue) > 1 else self._queue[0])
        self._drop_queue()

    def open(self) -> None:
        """Begins to connect unless connected, connecting or in backoff."""
        loop = self._owner.loop
        if self._transport is None and self._connecting is None and self._backoff.may_try(loop.time()):
            self._connecting = loop.create_task(self._connect())
            self._connecting_since_s = loop.time()

    def peer_connected(self) -> None:
        """Handles a new connection from the peer, which shows that it is reachable.

        A connect that began while the peer was unreachable would wait for its timeout; it is restarted and
        keeps the queued frames.
        """
        if self._transport is not None:
            return
        self._backoff.reset()
        is_stale = self._owner.loop.time() - self._connecting_since_s >= STALE_CONNECT_S
        if self._connecting is not None and is_stale:
            self._connecting.cancel()
            self._connecting = None
            self.open()

    async def _connect(self) -> None:
        loop, owner = self._owner.loop, self._owner
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, _ = await loop.create_connection(
                    lambda: _Outgoing(self), self.ip, owner.port, local_addr=(owner.ip, 0)
                )
        except (OSError, TimeoutError) as error:
            self._backoff.failed(loop.time(), refused=isinstance(error, ConnectionRefusedError))
            self._drop_queue()
            return
        finally:
            if self._connecting is asyncio.current_task():
                self._connecting = None
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _tune(sock)
        self._transport = transport
        self._backoff.reset()
        owner.on_link(self.ip, True)
        self.flush()

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes queued here or in the connection's write buffer."""
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
        if self._connecting is not None:
            self._connecting.cancel()
        if self._transport is not None:
            self._transport.abort()


@attrs.define(slots=True)
class KindCount:
    """The messages of one class sent to peers: number and bytes."""

    messages: int = 0
    bytes: int = 0


class Transport:
    """All outgoing links of this process, and the listener for its peers' connections."""

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
        self.messages_skipped = 0  # of an unknown type or protocol version
        self.writes = 0
        self.sent: dict[type, KindCount] = {}
        self._last_frame: tuple[object, bytes] = (None, b"")
        # By id(message); holds the message so that its id is not reused.
        self._frame_cache: dict[int, tuple[object, bytes]] = {}
        self._batch_depth = 0
        self._deferred: dict[Link, None] = {}
        self._on_message = on_message
        self._links: dict[str, Link] = {}
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Starts listening. Raises OSError if the address is in use or not available."""
        self._server = await self.loop.create_server(
            lambda: Incoming(self), self.ip, self.port, reuse_address=True, backlog=256
        )

    def send(self, ip: str, message: object) -> None:
        """Sends a message or drops it. A message to the own address arrives in the loop's next iteration.

        The same message object sent to several peers in a row is encoded once, and so is a large one sent
        within half a second.
        """
        self.messages_sent += 1
        if ip == self.ip:
            self.loop.call_soon(self.deliver, ip, message)
            return
        frame = self._frame(message)
        self._count(message, frame)
        self._link(ip).send(frame)

    def send_to_all(self, ips: list[str], message: object) -> None:
        """Sends a message to several peers, encoded once."""
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
        """Batches the messages sent in this context into one write per peer at its end."""
        self._batch_depth += 1
        try:
            yield
        finally:
            self._batch_depth -= 1
            if not self._batch_depth:
                self._flush_deferred()
                self._last_frame = (None, b"")

    def _frame(self, message: object) -> bytes:
        if message is self._last_frame[0]:
            return self._last_frame[1]
        large = self._frame_cache.get(id(message))
        frame = encode(message) if large is None else large[1]
        self._last_frame = message, frame
        if large is None and len(frame) >= LARGE_MESSAGE_BYTES and len(self._frame_cache) < MAX_CACHED_FRAMES:
            if not self._frame_cache:
                self.loop.call_later(FRAME_CACHE_S, self._frame_cache.clear)
            self._frame_cache[id(message)] = message, frame
        return frame

    def defer_flush(self, link: Link) -> bool:
        """Returns whether a batch is open; if so, the link is flushed at its end."""
        if self._batch_depth:
            self._deferred[link] = None
        return self._batch_depth > 0

    def _flush_deferred(self) -> None:
        links = list(self._deferred)
        self._deferred.clear()
        for link in links:
            link.flush()

    def _count(self, message: object, frame: bytes) -> None:
        count = self.sent.get(type(message))
        if count is None:
            count = self.sent[type(message)] = KindCount()
        count.messages += 1
        count.bytes += len(frame)

    def open(self, ip: str) -> None:
        """Opens a connection to a peer ahead of messages."""
        if ip != self.ip:
            self._link(ip).open()

    def peer_connected(self, ip: str) -> None:
        """Handles a new connection from a peer."""
        link = self._links.get(ip)
        if link is not None:
            link.peer_connected()

    def connected(self, ip: str) -> bool:
        link = self._links.get(ip)
        return ip == self.ip or (link is not None and link.connected)

    def unsent_bytes(self, ip: str) -> int:
        """Returns the number of bytes that wait to be sent to a peer."""
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
