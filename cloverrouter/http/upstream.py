"""One connection to a server, and the answers on it.

What the parser finds in one read is told to the call's listener after that read: a listener may give the
call up at any time, and then hears no more.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Protocol, cast

import httptools

from cloverrouter.http.answer import Call, Failure
from cloverrouter.http.fields import Headers
from cloverrouter.http.sockets import unread

MOST_HEAD_BYTES = 64 * 1024
KEEP_SHARE = 0.8  # of the time after which the server says that it closes an idle connection
KEEP_MARGIN_S = 0.2
log = logging.getLogger(__name__)


class Owner(Protocol):
    """Who opens connections, and keeps those that may be used again."""

    loop: asyncio.AbstractEventLoop
    buffer: memoryview
    idle_timeout_s: float
    connections: set[UpstreamConnection]

    def put(self, connection: UpstreamConnection) -> None:
        """It has nothing to do."""
        ...

    def reset_unheard(self, connection: UpstreamConnection, sent_s: float) -> None:
        """A request that went out on a connection that had rested was reset without a byte of an answer."""
        ...


class AddressPool(Protocol):
    """The connections to one address."""

    address: tuple[str, int]

    def rest(self, connection: UpstreamConnection, now_s: float) -> None:
        """It waits for the next call."""
        ...

    def forget(self, connection: UpstreamConnection) -> None:
        """It is of no further use."""
        ...


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection to a server: one call at a time."""

    __slots__ = (
        "_call",
        "_complete",
        "_fault",
        "_framed",
        "_head_bytes",
        "_headers",
        "_in_head",
        "_keep",
        "_length",
        "_owner",
        "_parser",
        "_paused",
        "_pieces",
        "_says_close",
        "_sent_s",
        "_sock",
        "_status",
        "_surplus",
        "_told_head",
        "_transport",
        "_until_end",
        "expires_s",
        "idle_since",
        "keep_s",
        "pool",
    )

    def __init__(self, owner: Owner, pool: AddressPool, sock: socket.socket) -> None:
        self._owner = owner
        self.pool = pool
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._call: Call | None = None
        self._paused = False
        self.idle_since = self._sent_s = 0.0
        self.expires_s = float("inf")  # when it is idle: the server may close it then
        self.keep_s = owner.idle_timeout_s  # how long it may be idle
        self._begin()

    def _begin(self) -> None:
        self._headers: Headers = []
        self._pieces: list[bytes] = []  # of the body, in the bytes read just now
        self._head_bytes = 0
        self._status = 0
        self._length: int | None = None
        self._fault = ""  # why what comes can't be the call's answer
        self._in_head = True
        self._framed = self._says_close = self._until_end = False
        self._told_head = self._complete = self._surplus = self._keep = False

    def clean(self) -> bool:
        """May a request go out here? Danger: what came late would be taken for its answer."""
        if self._transport is None or self.expires_s <= self._owner.loop.time():
            return False
        return not unread(self._sock)

    def send(self, call: Call) -> None:
        """The connection has just been found clean."""
        assert self._call is None and self._transport is not None
        self._begin()
        self._call = call
        if call.reused:
            self._sent_s = self._owner.loop.time()
        call.assign(self)
        self._transport.write(call.message)
        if not self._transport.get_write_buffer_size():
            self._wrote(call)

    def _wrote(self, call: Call) -> None:
        call.written = True
        call.listener.on_written()

    def pause(self) -> None:
        if self._transport is not None and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        if self._transport is not None and self._paused:
            self._paused = False
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close it, whatever is on it: nothing is told of that."""
        self._call = None
        self.pool.forget(self)
        if self._transport is not None:
            self._transport.abort()

    def lose(self, fault: str = "") -> None:
        """It is of no further use, nor is what came on it."""
        call, told = self._call, self._told_head
        self.abort()
        if call is None:
            return
        if not call.written and not told:
            # Only what a server has had whole can it have run.
            call.fail(Failure.CONNECT_FAILED)
        elif fault:
            log.warning("spoilt answer from %s:%d: %s", *self.pool.address, fault)
            call.fail(Failure.SPOILT)
        else:
            if call.reused and not self._head_bytes:
                self._owner.reset_unheard(self, self._sent_s)
            call.fail(Failure.BROKEN)

    # asyncio.BufferedProtocol: one buffer for all, since each read is used up at once

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._owner.buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        # With no high-water mark, `resume_writing` tells when the last byte has gone to the kernel.
        self._transport.set_write_buffer_limits(high=0)
        self._owner.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._parser = None  # danger: the two hold each other, and would wait for the cycle collector
        self._owner.connections.discard(self)
        self.lose()

    def resume_writing(self) -> None:
        if self._call is not None and not self._call.written:
            self._wrote(self._call)

    def eof_received(self) -> None:
        call = self._call
        if call is not None and call.written and self._until_end and not self._fault and not self._in_head:
            self._end()
        else:
            self.lose()

    def buffer_updated(self, nbytes: int) -> None:
        if self._call is None:
            self.abort()  # nobody has asked for anything
            return
        if self._parser is None:
            self._parser = httptools.HttpResponseParser(self)
        if self._in_head:
            self._head_bytes += nbytes
        try:
            self._parser.feed_data(self._owner.buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._complete:
                self._surplus = True
            else:
                self._fault = self._fault or str(error)
        if self._in_head and self._head_bytes > MOST_HEAD_BYTES:
            self._fault = self._fault or "a head without end"
        self._tell(self._call)

    def _tell(self, call: Call) -> None:
        """What has come in this read."""
        if self._fault and not self._told_head:
            self.lose(self._fault)
            return
        if not self._in_head and not self._told_head:
            self._told_head = True
            call.listener.on_head(self._status, self._headers, self._length)
        if self._pieces and self._call is call:
            pieces, self._pieces = self._pieces, []
            call.listener.on_data(pieces[0] if len(pieces) == 1 else b"".join(pieces))
        if self._call is not call:
            return
        if self._complete:
            self._end()
        elif self._fault:
            self.lose(self._fault)

    def _end(self) -> None:
        """The answer is whole."""
        call, self._call = self._call, None
        assert call is not None
        self.resume()
        if self._surplus or not self._keep or not call.written or self.keep_s <= 0:
            self.abort()
        else:
            self._owner.put(self)
        self._headers = []  # an idle connection holds no answer
        call.end()

    # httptools

    def on_message_begin(self) -> None:
        if self._complete:
            self._surplus = True  # more than was asked for: not to be taken for the next answer

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete or not self._in_head:
            return  # danger: a trailer behind the body would change what the head has said
        name, value = name.lower(), value.strip()
        self._headers.append((name, value))
        match name:
            case b"content-length":
                self._framed, self._length = True, int(value)
            case b"transfer-encoding":
                self._framed = True
                if value.lower() != b"chunked":
                    self._fault = self._fault or "unknown transfer encoding"
            case b"connection":
                self._says_close = self._says_close or b"close" in value.lower()
            case b"keep-alive":
                self._keep_alive(value)

    def _keep_alive(self, value: bytes) -> None:
        for part in value.lower().split(b","):
            name, _, figure = part.strip().partition(b"=")
            if name == b"timeout" and figure.isdigit():
                self.keep_s = int(figure) * KEEP_SHARE - KEEP_MARGIN_S

    def on_headers_complete(self) -> None:
        parser, call = self._parser, self._call
        if self._complete or parser is None or call is None:
            return
        self._status = parser.get_status_code()
        if self._status < 200:
            return
        self._in_head = False
        if parser.get_http_version() not in ("1.1", "1.0"):
            self._fault = self._fault or "unknown version"
        elif call.expected_id and not self._is_answer_to(call):
            self._fault = self._fault or "an answer to another request"
        elif not call.written and self._status < 300:
            self._fault = self._fault or "an answer before the request"
        if call.message.startswith(b"HEAD "):
            # The parser waits for a body that does not come: nothing more can be read with it.
            self._complete = True
        elif not self._framed and self._status not in (204, 304):
            # Danger: framed by nothing but the connection's end, a part can be taken for the whole. So the
            # server must have said that it will end it, and must end it in an orderly way.
            if not self._says_close:
                self._fault = self._fault or "no length"
            self._until_end = True

    def _is_answer_to(self, call: Call) -> bool:
        ids = [value for name, value in self._headers if name == call.id_header]
        return ids == [call.expected_id]

    def on_body(self, body: bytes) -> None:
        if not self._complete and not self._fault:
            self._pieces.append(body)

    def on_message_complete(self) -> None:
        if self._complete or self._fault:
            return
        if self._in_head:  # an interim answer: the real one follows
            self._headers = []
            self._length, self._framed = None, False
            return
        assert self._parser is not None
        self._keep = self._parser.should_keep_alive()
        self._complete = True
