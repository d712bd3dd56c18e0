"""Requests out of the bytes of one connection, which may be split anywhere.

What can't be valid is noted as the status of the error that it earns, and nothing of it gets out: a
request is handed on only with its last byte.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs
import httptools

from cloverrouter.http.fields import Headers, first

VERSIONS = ("1.1", "1.0")


@attrs.define(slots=True)
class ServerLimits:
    """What a client may send, and how long it may take or remain idle."""

    head_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0  # from the first byte of a request to the end of its head
    body_timeout_s: float = 10.0  # from there to the end of its body
    idle_timeout_s: float = 15.0  # with nothing asked
    max_connections: int = 3000
    held_bytes: int = 48 * 1024 * 1024  # of all bodies together that are not whole yet
    provisional: bool = False  # the right ones are not known yet: what is too large is to come back later


@attrs.define(slots=True)
class Request:
    """A whole request."""

    method: bytes
    target: bytes  # path and query, exactly as received
    headers: Headers
    body: bytes  # without the marks of chunks
    arrived_s: float  # when its first byte was read, on the loop's clock: its client has waited since then
    http_1_0: bool = False
    keep_alive: bool = True  # its client would like to go on with this connection

    def header(self, name: bytes) -> bytes | None:
        """The value of the first field of that name, in lower case."""
        return first(self.headers, name)

    def count(self, name: bytes) -> int:
        return sum(own == name for own, _ in self.headers)


class RequestReader:
    """Feed it bytes; whole requests come out in `ready`, or `error` is set and nothing more may be fed."""

    __slots__ = (
        "_arrived_s",
        "_body",
        "_clock",
        "_head_size",
        "_headers",
        "_parser",
        "_target",
        "_unended",
        "begun",
        "body_size",
        "error",
        "in_head",
        "last",
        "limits",
        "ready",
        "wants_continue",
    )

    def __init__(self, limits: ServerLimits, clock: Callable[[], float]) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._clock = clock
        self.limits = limits
        self.ready: deque[Request] = deque()
        self.error = 0
        self.begun = False  # bytes of an unfinished request have come
        self.last = False  # no request can follow the latest
        self.on_message_begin()
        self.begun = False

    def feed(self, data: memoryview) -> None:
        assert self._parser is not None
        before = len(self.ready)
        was_in_head = self.in_head
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.last:
                self.error = self.error or 400
        if self.last:
            return
        if self.in_head and was_in_head and len(self.ready) == before:
            self.begun = True
            self._unended += len(data)  # danger: a field without end, of which the parser tells nothing
            if self._unended > self.limits.head_bytes:
                self.error = self.error or 431

    def close(self) -> None:
        """Danger: the two hold each other, and would wait for the cycle collector."""
        self._parser = None

    # httptools

    def on_message_begin(self) -> None:
        self._headers: Headers = []
        self._target = b""
        self._body: list[bytes] = []
        self._head_size = self._unended = self.body_size = 0
        self._arrived_s = self._clock()
        self.begun = self.in_head = True
        self.wants_continue = False

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._head_size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # danger: a trailer behind the body would change what the head has said
        self._head_size += len(name) + len(value)
        if self._head_size > self.limits.head_bytes:
            self.error = self.error or 431
        else:
            self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        self.in_head = False
        if parser.should_upgrade() or parser.get_http_version() not in VERSIONS:
            self.error = self.error or 400  # danger: what follows is framed in another way
        elif not self._target.startswith(b"/"):
            self.error = self.error or 400
        self._check_framing()

    def _check_framing(self) -> None:
        framing = hosts = 0
        for name, value in self._headers:
            if name == b"content-length":
                framing += 1
                if not value.isdigit():
                    self.error = self.error or 400
                elif int(value) > self.limits.body_bytes:
                    self.error = self.error or 413
            elif name == b"transfer-encoding":
                framing += 1
                if value.lower() != b"chunked":
                    self.error = self.error or 400
            elif name == b"host":
                hosts += 1
            elif name == b"expect":
                self.wants_continue = value.lower() == b"100-continue"
        if framing > 1 or hosts > 1:
            self.error = self.error or 400  # danger: another request may hide in the body

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > self.limits.body_bytes:
            self.error = self.error or 413
        elif not self.error:
            self._body.append(body)

    def on_message_complete(self) -> None:
        self.begun, self.in_head, self.wants_continue = False, True, False
        if self.error:
            return
        parser = self._parser
        assert parser is not None
        keep_alive = parser.should_keep_alive()
        self.last = not keep_alive
        request = Request(
            parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._arrived_s,
            parser.get_http_version() == "1.0",
            keep_alive,
        )
        self._headers, self._body = [], []
        self._unended = self.body_size = 0
        self.ready.append(request)
