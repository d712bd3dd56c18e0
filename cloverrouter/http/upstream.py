"""One connection to a server, and the responses on it.

The call's listener is notified after each read, not from within the parser: a listener may cancel the call at
any time and then receives no further events.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Iterator
from typing import Protocol, cast

import httptools

from cloverrouter.http.call import Call, Failure
from cloverrouter.http.fields import Headers
from cloverrouter.http.sockets import unread

MAX_HEAD_BYTES = 64 * 1024
MAX_JOINED_BYTES = 16 * 1024  # a first block of a body up to this size is written together with the head
KEEP_ALIVE_FRACTION = 0.8  # of the Keep-Alive timeout that the server announces
KEEP_ALIVE_MARGIN_S = 0.2
log = logging.getLogger(__name__)


class Owner(Protocol):
    """The pool that opens connections and keeps those that can be reused."""

    loop: asyncio.AbstractEventLoop
    buffer: memoryview
    idle_timeout_s: float
    connections: set[UpstreamConnection]

    def put(self, connection: UpstreamConnection) -> None:
        """Takes back a connection whose response is complete."""
        ...

    def on_early_reset(self, connection: UpstreamConnection, sent_s: float) -> None:
        """Handles the reset of a reused connection before any byte of the response."""
        ...


class AddressPool(Protocol):
    """The connections to one address."""

    address: tuple[str, int]

    def add_idle(self, connection: UpstreamConnection, now_s: float) -> None:
        """Adds a connection that has become idle."""
        ...

    def forget(self, connection: UpstreamConnection) -> None:
        """Removes a connection that is being closed."""
        ...


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection to a server that carries one call at a time."""

    __slots__ = (
        "_body_pieces",
        "_call",
        "_close_announced",
        "_complete",
        "_ends_with_connection",
        "_fault",
        "_has_framing",
        "_has_surplus",
        "_head_bytes",
        "_head_delivered",
        "_headers",
        "_in_head",
        "_length",
        "_owner",
        "_parser",
        "_paused",
        "_reusable",
        "_sent_s",
        "_sock",
        "_status",
        "_transport",
        "_unwritten",
        "expires_s",
        "idle_since",
        "max_idle_s",
        "pool",
    )

    def __init__(self, owner: Owner, pool: AddressPool, sock: socket.socket) -> None:
        self._owner = owner
        self.pool = pool
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._call: Call | None = None
        self._unwritten: Iterator[bytes | bytearray] = iter(())  # rest of the request's body
        self._paused = False
        self.idle_since = self._sent_s = 0.0
        self.expires_s = float("inf")  # on the loop's clock; the server may close an idle connection then
        self.max_idle_s = owner.idle_timeout_s
        self._reset_response()

    def _reset_response(self) -> None:
        """Resets the state of the response."""
        self._headers: Headers = []
        self._body_pieces: list[bytes] = []  # body data of the current read
        self._head_bytes = 0
        self._status = 0
        self._length: int | None = None
        self._fault = ""  # why the response is invalid
        self._in_head = True
        self._has_framing = self._close_announced = self._ends_with_connection = False
        self._head_delivered = self._complete = self._has_surplus = self._reusable = False

    def clean(self) -> bool:
        """Whether a request may be sent: unread data would be taken for its response."""
        if self._transport is None or self.expires_s <= self._owner.loop.time():
            return False
        return not unread(self._sock)

    def send(self, call: Call) -> None:
        """Sends a call; the caller has just checked `clean`."""
        assert self._call is None and self._transport is not None
        self._reset_response()
        self._call = call
        if call.reused:
            self._sent_s = self._owner.loop.time()
        call.attach(self)
        call.begun = True
        body = call.body
        if body and len(body[0]) <= MAX_JOINED_BYTES:
            self._transport.write(call.message + body[0])
            self._unwritten = iter(body[1:])
        else:
            self._transport.write(call.message)
            self._unwritten = iter(body)
        self._write_on(call)

    def _write_on(self, call: Call) -> None:
        """Writes the body block by block, so that the transport never copies more than one of them."""
        transport = self._transport
        while transport is not None and not transport.is_closing() and not transport.get_write_buffer_size():
            block = next(self._unwritten, None)
            if block is None:
                call.written = True
                call.listener.on_written()
                return
            transport.write(block)

    def pause(self) -> None:
        """Stops reading from the connection."""
        if self._transport is not None and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resumes reading."""
        if self._transport is not None and self._paused:
            self._paused = False
            self._transport.resume_reading()

    def abort(self) -> None:
        """Closes the connection at once, without notifying the listener."""
        self._call = None
        self._unwritten = iter(())
        self.pool.forget(self)
        if self._transport is not None:
            self._transport.abort()

    def close_with_failure(self, fault: str = "") -> None:
        """Closes the connection and fails its call; `fault` says why the response is invalid.

        The request may have been executed even if its last byte was not sent: a server may begin, and answer,
        before it has read the whole body.
        """
        call = self._call
        self.abort()
        if call is None:
            return
        if fault:
            log.warning("invalid response from %s:%d: %s", *self.pool.address, fault)
            call.fail(Failure.SPOILT)
        else:
            if call.reused and not self._head_bytes:
                self._owner.on_early_reset(self, self._sent_s)
            call.fail(Failure.BROKEN)

    # asyncio.BufferedProtocol. All connections share one buffer, since each read is parsed at once.

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._owner.buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        # With a high-water mark of 0, `resume_writing` is called when the last byte was handed to the kernel.
        self._transport.set_write_buffer_limits(high=0)
        self._owner.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._parser = None  # breaks a reference cycle, which would wait for the garbage collector
        self._owner.connections.discard(self)
        self.close_with_failure()

    def resume_writing(self) -> None:
        if self._call is not None and not self._call.written:
            self._write_on(self._call)

    def eof_received(self) -> None:
        call = self._call
        if call is not None and self._ends_with_connection and not self._fault and not self._in_head:
            self._finish_call()
        else:
            self.close_with_failure()

    def buffer_updated(self, nbytes: int) -> None:
        if self._call is None:
            self.abort()  # unsolicited data
            return
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        if self._in_head:
            self._head_bytes += nbytes
        try:
            self._parser.feed_data(self._owner.buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._complete:
                self._has_surplus = True
            else:
                self._fault = self._fault or str(error)
        if self._in_head and self._head_bytes > MAX_HEAD_BYTES:
            self._fault = self._fault or "response head too large"
        self._notify_listener(self._call)

    def _notify_listener(self, call: Call) -> None:
        """Notifies the listener of what the last read contained."""
        if self._fault and not self._head_delivered:
            self.close_with_failure(self._fault)
            return
        if not self._in_head and not self._head_delivered:
            self._head_delivered = True
            call.listener.on_head(self._status, self._headers, self._length)
        if self._body_pieces and self._call is call:
            pieces, self._body_pieces = self._body_pieces, []
            call.listener.on_data(pieces[0] if len(pieces) == 1 else b"".join(pieces))
        if self._call is not call:
            return
        if self._complete:
            self._finish_call()
        elif self._fault:
            self.close_with_failure(self._fault)

    def _finish_call(self) -> None:
        """Completes the call and returns the connection to the pool if it can be reused."""
        call, self._call = self._call, None
        assert call is not None
        self.resume()
        if self._has_surplus or not self._reusable or not call.written or self.max_idle_s <= 0:
            self.abort()
        else:
            self._owner.put(self)
        self._headers = []  # an idle connection keeps no response in memory
        call.end()

    # Callbacks of the httptools parser

    def on_message_begin(self) -> None:
        if self._complete:
            self._has_surplus = True  # must not be taken for the response to the next request

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete or not self._in_head:
            return  # a trailer field must not override the head
        name, value = name.lower(), value.strip()
        self._headers.append((name, value))
        match name:
            case b"content-length":
                self._has_framing, self._length = True, int(value)
            case b"transfer-encoding":
                self._has_framing = True
                if value.lower() != b"chunked":
                    self._fault = self._fault or "unknown transfer encoding"
            case b"connection":
                self._close_announced = self._close_announced or b"close" in value.lower()
            case b"keep-alive":
                self._parse_keep_alive(value)

    def _parse_keep_alive(self, value: bytes) -> None:
        """Derives the maximum idle time from a Keep-Alive header."""
        for part in value.lower().split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name == b"timeout" and seconds.isdigit():
                self.max_idle_s = int(seconds) * KEEP_ALIVE_FRACTION - KEEP_ALIVE_MARGIN_S

    def on_headers_complete(self) -> None:
        parser, call = self._parser, self._call
        if self._complete or parser is None or call is None:
            return
        self._status = parser.get_status_code()
        if self._status < 200:
            return
        self._in_head = False
        if parser.get_http_version() not in ("1.1", "1.0"):
            self._fault = self._fault or "unsupported HTTP version"
        elif call.expected_id and not self._is_answer_to(call):
            self._fault = self._fault or "response to another request"
        elif not call.written and not call.expected_id and self._status < 300:
            # It may belong to an earlier request on this connection: no id tells.
            self._fault = self._fault or "success response without an id before the complete request was sent"
        if call.message.startswith(b"HEAD "):
            # The parser expects a body that a response to HEAD does not have, so it cannot be used any more.
            self._complete = True
        elif not self._has_framing and self._status not in (204, 304):
            # A body delimited only by the end of the connection can be cut off unnoticed. So the server must
            # have announced the close, and must close in an orderly way.
            if not self._close_announced:
                self._fault = self._fault or "neither body length nor Connection: close"
            self._ends_with_connection = True

    def _is_answer_to(self, call: Call) -> bool:
        """Whether the response has the id that the call expects, exactly once."""
        ids = [value for name, value in self._headers if name == call.id_header]
        return ids == [call.expected_id]

    def on_body(self, body: bytes) -> None:
        if not self._complete and not self._fault:
            self._body_pieces.append(body)

    def on_message_complete(self) -> None:
        if self._complete or self._fault:
            return
        if self._in_head:  # an interim (1xx) response; the final one follows
            self._headers = []
            self._length, self._has_framing = None, False
            return
        assert self._parser is not None
        self._reusable = self._parser.should_keep_alive()
        self._complete = True
