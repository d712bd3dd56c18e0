"""Parses the requests of one connection from bytes that may be split anywhere.

An invalid request sets the status code of the error response, and no part of it is delivered: a request is
delivered only when its last byte has arrived.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs
import httptools

from cloverrouter.http.body import Blocks, BodyBuffer, join
from cloverrouter.http.fields import Headers, first
from cloverrouter.http.memory import FIELD_BYTES, REQUEST_BYTES

VERSIONS = ("1.1", "1.0")


@attrs.define(slots=True)
class ServerLimits:
    """Limits on the size of requests, on the time to receive them and on idle connections."""

    head_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0  # from the first byte of a request to the end of its head
    body_timeout_s: float = 10.0  # from the end of the head to the end of the body; more while it flows
    idle_timeout_s: float = 15.0  # between requests
    max_connections: int = 3000
    provisional: bool = False  # defaults until the configuration is known: 413 and 431 become 503


def _blocks_of(body: bytes | Blocks) -> Blocks:
    """Returns a body as blocks."""
    if isinstance(body, tuple):
        return body
    return (body,) if body else ()


@attrs.define(slots=True)
class Request:
    """A complete request."""

    method: bytes
    target: bytes  # path and query, exactly as received
    headers: Headers
    body_blocks: Blocks = attrs.field(converter=_blocks_of, eq=join)  # decoded, without chunk framing
    arrived_s: float  # when its first byte was read, in seconds on the loop's clock
    http_1_0: bool = False
    keep_alive: bool = True  # the client asks to keep the connection open
    held_bytes: int = attrs.field(default=0, eq=False)  # memory that it takes

    @property
    def body(self) -> bytes:
        """The body in one piece, which is a copy if it has several blocks."""
        return join(self.body_blocks)

    @property
    def body_size(self) -> int:
        """The length of the body."""
        return sum(map(len, self.body_blocks))

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of the first field with this lower-case name, or None."""
        return first(self.headers, name)

    def count(self, name: bytes) -> int:
        """Returns the number of fields with this lower-case name."""
        return sum(field_name == name for field_name, _ in self.headers)


class RequestReader:
    """Incremental request parser.

    Complete requests are appended to `ready`. On an invalid request `error` becomes the status code to
    respond with, and nothing more may be fed.
    """

    __slots__ = (
        "_arrived_s",
        "_body",
        "_bytes_since_body",
        "_clock",
        "_head_size",
        "_headers",
        "_parser",
        "_target",
        "_unparsed_head_bytes",
        "begun",
        "error",
        "expects_continue",
        "in_head",
        "is_last",
        "limits",
        "ready",
        "received_bytes",
        "waiting_bytes",
    )

    def __init__(self, limits: ServerLimits, clock: Callable[[], float]) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._clock = clock
        self.limits = limits
        self.ready: deque[Request] = deque()
        self.waiting_bytes = 0  # memory that those requests take
        self.error = 0
        self.begun = False  # a part of an incomplete request has arrived
        self.is_last = False  # the latest request ends the connection
        self.on_message_begin()
        self.begun = False

    def feed(self, data: memoryview) -> None:
        """Parses the next bytes of the connection."""
        assert self._parser is not None
        before = len(self.ready)
        was_in_head = self.in_head
        self.received_bytes += len(data)
        self._bytes_since_body += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.is_last:
                self.error = self.error or 400
        if self.is_last:
            return
        if self.in_head and was_in_head and len(self.ready) == before:
            self.begun = True
            # The parser reports an unterminated field only when it ends, so its bytes are counted here.
            self._unparsed_head_bytes += len(data)
            if self._unparsed_head_bytes > self.limits.head_bytes:
                self.error = self.error or 431
        elif not self.in_head and not was_in_head and self._bytes_since_body > self.limits.head_bytes:
            self.error = self.error or 431  # the parser collects a trailer field without reporting it

    def take(self) -> Request:
        """Removes and returns the first complete request."""
        request = self.ready.popleft()
        self.waiting_bytes -= request.held_bytes
        return request

    @property
    def body_size(self) -> int:
        """The bytes of the incomplete body that have arrived."""
        return self._body.size if self._body is not None else 0

    @property
    def held_bytes(self) -> int:
        """The memory that the incomplete request and the complete ones that wait here take."""
        if not self.begun:
            return self.waiting_bytes
        return self.waiting_bytes + self._unparsed_head_bytes + self._held_bytes()

    def _held_bytes(self) -> int:
        """The memory that the current request takes."""
        held = REQUEST_BYTES + self._head_size + len(self._headers) * FIELD_BYTES
        if not self.in_head:
            held += self._bytes_since_body  # the parser may hold them as a part of a trailer
        if self._body is not None:
            held += self._body.allocated_bytes
        return held

    def close(self) -> None:
        """Breaks the reference cycle with the parser, which would wait for the garbage collector."""
        self._parser = None

    # Callbacks of the httptools parser

    def on_message_begin(self) -> None:
        self._headers: Headers = []
        self._target = b""
        self._body: BodyBuffer | None = None
        self._head_size = self._unparsed_head_bytes = self._bytes_since_body = self.received_bytes = 0
        self._arrived_s = self._clock()
        self.begun = self.in_head = True
        self.expects_continue = False

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._head_size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # a trailer field must not override the head
        self._head_size += len(name) + len(value)
        if self._head_size > self.limits.head_bytes:
            self.error = self.error or 431
        else:
            self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        self.in_head = False
        self._bytes_since_body = 0
        if parser.should_upgrade() or parser.get_http_version() not in VERSIONS:
            self.error = self.error or 400  # the data that follows would use another framing
        elif not self._target.startswith(b"/"):
            self.error = self.error or 400
        self._check_framing()

    def _check_framing(self) -> None:
        """Rejects ambiguous framing and bodies over the limit."""
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
                self.expects_continue = value.lower() == b"100-continue"
        if framing > 1 or hosts > 1:
            self.error = self.error or 400  # prevents request smuggling

    def on_body(self, body: bytes) -> None:
        self._bytes_since_body = 0
        buffer = self._body
        if buffer is None:
            buffer = self._body = BodyBuffer()
        if buffer.size + len(body) > self.limits.body_bytes:
            self.error = self.error or 413
        elif not self.error:
            buffer.append(body)

    def on_message_complete(self) -> None:
        self.begun, self.in_head, self.expects_continue = False, True, False
        if self.error:
            return
        parser = self._parser
        assert parser is not None
        keep_alive = parser.should_keep_alive()
        self.is_last = not keep_alive
        self._bytes_since_body = 0
        request = Request(
            parser.get_method(),
            self._target,
            self._headers,
            self._body.blocks() if self._body is not None else (),
            self._arrived_s,
            parser.get_http_version() == "1.0",
            keep_alive,
            self._held_bytes(),
        )
        self._headers, self._body = [], None
        self._head_size = self._unparsed_head_bytes = 0
        self.ready.append(request)
        self.waiting_bytes += request.held_bytes
