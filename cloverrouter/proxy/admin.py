"""The operators' listener: HTTP/1.1, one call a connection. It carries calls out through `Operations`.

Callers that send nothing, or half a call, hold one of a bounded number of connections for a bounded time;
when all are taken the one that has waited longest makes room, so none of them can block the next call.
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

MOST_CALLERS = 24
CALL_S = 2.0  # from connecting to the call's last byte, and again to the end of the connection
MOST_HEAD = 8 * 1024
MOST_BODY = 1024  # a server's id is a short word
BACKLOG = 256
Reply = tuple[int, str]
log = logging.getLogger(__name__)


class Operations(Protocol):
    """What operators can ask for."""

    def healthy(self) -> bool: ...

    def figures(self) -> str: ...

    def cordon(self, endpoint: str, on: bool) -> bool:
        """False: no such id was ever listed, and nothing has changed."""
        ...

    def quiesce(self, on: bool) -> None: ...


def health(operations: Operations, body: bytes) -> Reply:
    return (200, "ready\n") if operations.healthy() else (503, "not ready\n")


def stats(operations: Operations, body: bytes) -> Reply:
    return 200, operations.figures()


def cordon(operations: Operations, body: bytes) -> Reply:
    return _ban(operations, body, True)


def uncordon(operations: Operations, body: bytes) -> Reply:
    return _ban(operations, body, False)


def _ban(operations: Operations, body: bytes, on: bool) -> Reply:
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


CALLS: dict[bytes, tuple[bytes, Callable[[Operations, bytes], Reply]]] = {
    b"/admin/health": (b"GET", health),
    b"/admin/stats": (b"GET", stats),
    b"/admin/cordon": (b"POST", cordon),
    b"/admin/uncordon": (b"POST", uncordon),
    b"/admin/quiesce": (b"POST", quiesce),
    b"/admin/resume": (b"POST", resume),
}


class Caller(asyncio.Protocol):
    """One connection, for one call."""

    def __init__(self, admin: Admin) -> None:
        self._admin = admin
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer = asyncio.get_running_loop().call_later(CALL_S, self.end)
        self._target = b""
        self._body = bytearray()
        self._head = 0
        self._in_head = True
        self._framed = 0
        self._error = 0
        self._answered = self._complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._admin.came(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = self._parser = None
        self._timer.cancel()
        self._admin.left(self)

    def data_received(self, data: bytes) -> None:
        if self._answered or self._parser is None:
            return
        if self._in_head:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._error = self._error or 400
        if self._in_head and self._head > MOST_HEAD:
            self._error = self._error or 431
        if self._error:
            self._answer(self._error, phrase(self._error).lower() + "\n")
        elif self._complete:
            self._carry_out()

    def end(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _carry_out(self) -> None:
        assert self._parser is not None
        path = self._target.partition(b"?")[0]
        if path not in CALLS:
            self._answer(404, "no such call\n")
            return
        method, call = CALLS[path]
        if self._parser.get_method() != method:
            self._answer(405, f"this call is a {method.decode()}\n", f"Allow: {method.decode()}\r\n")
            return
        try:
            status, text = call(self._admin.operations, bytes(self._body))
        except Exception:
            # Danger: one call that fails must not end the caller's connection without an answer.
            log.exception("the call %s failed", path.decode("latin-1"))
            status, text = 500, "the call failed\n"
        self._answer(status, text)

    def _answer(self, status: int, text: str, headers: str = "") -> None:
        if self._transport is None or self._answered:
            return
        self._answered = True
        body = text.encode()
        head = (
            f"HTTP/1.1 {status} {phrase(status)}\r\nContent-Type: text/plain; version=0.0.4\r\n{headers}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self._transport.write(head.encode() + body)
        # What still comes is read and dropped until then, or a reset would overtake the answer.
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(CALL_S, self.end)

    # httptools

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self._framed += 1
            if self._framed > 1:
                self._error = self._error or 400  # which of them counts is anybody's guess
        if name == b"content-length" and value.isdigit() and int(value) > MOST_BODY:
            self._error = self._error or 413

    def on_headers_complete(self) -> None:
        self._in_head = False

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > MOST_BODY:
            self._error = self._error or 413
        else:
            self._body += body

    def on_message_complete(self) -> None:
        self._complete = True


class Admin:
    """The listener and those who call there."""

    def __init__(self, operations: Operations) -> None:
        self.operations = operations
        self._server: asyncio.Server | None = None
        self._callers: dict[Caller, None] = {}  # the longest there first

    async def listen(self, address: Address) -> Address:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Caller(self), *address, backlog=BACKLOG, reuse_address=True
        )
        sock: socket.socket = self._server.sockets[0]
        host, port = sock.getsockname()[:2]
        return host, port

    def came(self, caller: Caller) -> None:
        self._callers[caller] = None
        if len(self._callers) > MOST_CALLERS:
            next(iter(self._callers)).end()

    def left(self, caller: Caller) -> None:
        self._callers.pop(caller, None)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for caller in list(self._callers):
            caller.end()
