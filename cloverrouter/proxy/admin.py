"""The operators' HTTP/1.1 listener, with one request per connection. Requests are executed by `Operations`.

The number of connections and the duration of each are bounded, so that clients that send nothing, or half a
request, cannot block others: when all connections are in use, a new one replaces the oldest.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from cloverrouter.http.fields import phrase
from cloverrouter.proxy.config import Address

MAX_CONNECTIONS = 24
CALL_TIMEOUT_S = 2.0  # from connecting to the request's last byte, and again from the answer to the close
MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 1024  # enough for a server's id
MAX_REQUEST_BYTES = 64 * 1024  # with the framing of the body, and a trailer
BACKLOG = 256
Reply = tuple[int, str]
log = logging.getLogger(__name__)


class Operations(Protocol):
    """The operations that operators can request."""

    def healthy(self) -> bool: ...

    def metrics_text(self) -> str: ...

    def cordon(self, endpoint: str, on: bool) -> bool:
        """Starts or ends a cordon. Returns False, and changes nothing, if the id was never listed."""
        ...

    def quiesce(self, on: bool) -> None: ...


def health(operations: Operations, body: bytes) -> Reply:
    return (200, "ready\n") if operations.healthy() else (503, "not ready\n")


def stats(operations: Operations, body: bytes) -> Reply:
    return 200, operations.metrics_text()


def cordon(operations: Operations, body: bytes) -> Reply:
    return _set_cordon(operations, body, True)


def uncordon(operations: Operations, body: bytes) -> Reply:
    return _set_cordon(operations, body, False)


def _set_cordon(operations: Operations, body: bytes, on: bool) -> Reply:
    try:
        endpoint = body.decode().strip()
    except UnicodeDecodeError:
        return 400, "the body is not a text\n"
    if not endpoint:
        return 400, "the body names no server\n"
    if not operations.cordon(endpoint, on):
        return 404, "no such server\n"
    return 200, f"{'cordoned' if on else 'uncordoned'}\n"


def quiesce(operations: Operations, body: bytes) -> Reply:
    operations.quiesce(True)
    return 200, "sending clients away\n"


def resume(operations: Operations, body: bytes) -> Reply:
    operations.quiesce(False)
    return 200, "back to work\n"


ROUTES: dict[bytes, tuple[bytes, Callable[[Operations, bytes], Reply]]] = {
    b"/admin/health": (b"GET", health),
    b"/admin/stats": (b"GET", stats),
    b"/admin/cordon": (b"POST", cordon),
    b"/admin/uncordon": (b"POST", uncordon),
    b"/admin/quiesce": (b"POST", quiesce),
    b"/admin/resume": (b"POST", resume),
}


class AdminConnection(asyncio.Protocol):
    """One connection, for one request."""

    def __init__(self, admin: Admin) -> None:
        self._admin = admin
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self.abort)
        self._target = b""
        self._body = bytearray()
        self._head_bytes = self._received_bytes = 0
        self._in_head = True
        self._length_headers = 0
        self._error_status = 0
        self._answered = self._complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._admin.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = self._parser = None
        self._timer.cancel()
        self._admin.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        if self._answered or self._parser is None:
            return
        self._received_bytes += len(data)
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._error_status = self._error_status or 400
        if self._in_head and self._head_bytes > MAX_HEAD_BYTES:
            self._error_status = self._error_status or 431
        if self._received_bytes > MAX_REQUEST_BYTES:
            self._error_status = self._error_status or 413
        if self._error_status:
            self._answer(self._error_status, phrase(self._error_status).lower() + "\n")
        elif self._complete:
            self._dispatch()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _dispatch(self) -> None:
        assert self._parser is not None
        path = self._target.partition(b"?")[0]
        if path not in ROUTES:
            self._answer(404, "no such call\n")
            return
        method, handler = ROUTES[path]
        if self._parser.get_method() != method:
            self._answer(405, f"this call is a {method.decode()}\n", f"Allow: {method.decode()}\r\n")
            return
        try:
            status, text = handler(self._admin.operations, bytes(self._body))
        except Exception:
            # A failed request must still be answered before the connection ends.
            log.exception("operator request %s failed", path.decode("latin-1"))
            status, text = 500, "the call failed\n"
        self._answer(status, text)

    def _answer(self, status: int, text: str, headers: str = "") -> None:
        if self._transport is None or self._answered:
            return
        self._answered = True
        body = text.encode("utf-8", "backslashreplace")  # names may hold halves of surrogate pairs
        head = (
            f"HTTP/1.1 {status} {phrase(status)}\r\nContent-Type: text/plain; version=0.0.4\r\n{headers}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self._transport.write(head.encode() + body)
        # Until the close, further input is read and dropped: unread input would cause a reset, which could
        # discard the answer.
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self.abort)

    # Callbacks of httptools

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self._length_headers += 1
            if self._length_headers > 1:
                self._error_status = self._error_status or 400  # the message's length would be ambiguous
        if name == b"content-length" and value.isdigit() and int(value) > MAX_BODY_BYTES:
            self._error_status = self._error_status or 413

    def on_headers_complete(self) -> None:
        self._in_head = False

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > MAX_BODY_BYTES:
            self._error_status = self._error_status or 413
        else:
            self._body += body

    def on_message_complete(self) -> None:
        self._complete = True


class Admin:
    """The listener and its connections."""

    def __init__(self, operations: Operations) -> None:
        self.operations = operations
        self._server: asyncio.Server | None = None
        self._connections: dict[AdminConnection, None] = {}  # the oldest first

    async def listen(self, address: Address) -> Address:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: AdminConnection(self), *address, backlog=BACKLOG, reuse_address=True
        )
        sock: socket.socket = self._server.sockets[0]
        host, port = sock.getsockname()[:2]
        return host, port

    def connection_opened(self, connection: AdminConnection) -> None:
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            next(iter(self._connections)).abort()

    def connection_closed(self, connection: AdminConnection) -> None:
        self._connections.pop(connection, None)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()
