"""One connection of a client: its requests are handed over one after the other."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import logging
import socket
from collections.abc import Callable
from typing import Any, Protocol, cast

from cloverrouter.http.exchange import Exchange
from cloverrouter.http.fields import encode_answer
from cloverrouter.http.request import Request, RequestReader, ServerLimits
from cloverrouter.http.sockets import hung_up, reset_at_close, unread

WRITE_HIGH = 32 * 1024  # bytes that its client has not taken up, at which the handler is told to pause
# Requests that wait behind an open one, and their bytes: past this nothing more is read.
MOST_WAITING = 8
MOST_WAITING_BYTES = 64 * 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
log = logging.getLogger(__name__)


class Stage(enum.IntEnum):
    """What a connection is at. The server keeps the connections of each in the order of their coming."""

    FRESH = 0  # nothing has come yet
    IDLE = 1  # between two requests
    HEAD = 2  # a part of a request's head has come
    BODY = 3  # its head, and a part of its body
    BUSY = 4  # a request is being handled
    STUCK = 5  # the same, and the client does not read its answer
    LINGERING = 6  # the last answer is out: what still comes is read and dropped


class Host(Protocol):
    """The server that a connection belongs to."""

    loop: asyncio.AbstractEventLoop
    buffer: memoryview
    limits: ServerLimits
    held_bytes: int
    deaf: set[ServerConnection]

    @property
    def sheds(self) -> bool:
        """Do answers end their connections now?"""
        ...

    @property
    def handle(self) -> Callable[[Exchange], None]:
        """Called once for each whole request."""
        ...

    def add(self, connection: ServerConnection) -> None:
        """It has a socket."""
        ...

    def remove(self, connection: ServerConnection) -> None:
        """It has ended."""
        ...

    def move(self, connection: ServerConnection, stage: Stage) -> None:
        """It is at another stage."""
        ...


class ServerConnection(asyncio.BufferedProtocol):
    """A client's connection, from its acceptance to its end."""

    __slots__ = (
        "_data",
        "_exchange",
        "_held",
        "_pending",
        "_reader",
        "_reading_paused",
        "_server",
        "_sock",
        "_transport",
        "paused",
        "since_s",
        "stage",
        "until_close",
    )

    def __init__(self, server: Host, sock: socket.socket) -> None:
        self._server = server
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._reader: RequestReader | None = None  # many connections never say a word
        self._exchange: Exchange | None = None
        self._pending: list[bytes] = []  # goes out together at the end of this turn of the loop
        self._reading_paused = False
        self._held = 0  # bytes of a body that is not whole yet
        self._data: dict[str, Any] | None = None
        self.paused = False  # the client does not read its answers
        self.until_close = False  # the connection's end is the answer's
        self.stage = Stage.FRESH
        self.since_s = 0.0

    # For the exchange

    @property
    def data(self) -> dict[str, Any]:
        if self._data is None:
            self._data = {}
        return self._data

    @property
    def peer(self) -> tuple[str, int] | None:
        found = self._transport.get_extra_info("peername") if self._transport is not None else None
        return found[:2] if found else None

    def hung_up(self) -> bool:
        return self._transport is None or self.stage is Stage.LINGERING or hung_up(self._sock)

    def ends_with(self, request: Request) -> bool:
        """Does the connection end with the answer to `request`? In a drain what waits has been taken, too:
        the connection ends with the last of it."""
        if not request.keep_alive:
            return True
        return self._server.sheds and not (self._reader is not None and self._reader.ready)

    def write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def write_soon(self, data: bytes) -> None:
        """Danger to the processor only: a system call for the head, one for each piece and one for the end
        would cost more than all else."""
        if not self._pending:
            self._server.loop.call_soon(self.flush)
        self._pending.append(data)

    def flush(self) -> None:
        pending = self._pending
        if pending and self._transport is not None:
            self._pending = []
            self._transport.write(b"".join(pending))

    def answered(self, close: bool) -> None:
        """The last byte of an answer has been written."""
        self._exchange = None
        if self._transport is None:
            return
        if close:
            self._see_off()
        elif self._reader is not None and self._reader.ready:
            self._server.loop.call_soon(self._next)
        else:
            self._settle()

    def abort(self) -> None:
        """End it at once: what the kernel has not taken yet is dropped."""
        self._exchange = None
        if self._transport is None:
            return
        if self.until_close:
            reset_at_close(self._sock)
            self._pending.clear()
        self.flush()  # a client that can resume a stream has the more of it
        self._move(Stage.LINGERING)
        self._transport.abort()

    # asyncio.BufferedProtocol: one buffer for all, since each read is used up at once

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH)
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._drop_reader()
        self._server.remove(self)
        self._lose_exchange()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.stage is Stage.LINGERING or self._transport is None:
            return
        reader = self._reader
        if reader is None:
            reader = self._reader = RequestReader(self._server.limits, self._server.loop.time)
        if not reader.begun:
            reader.limits = self._server.limits
        reader.feed(self._server.buffer[:nbytes])
        if reader.body_size != self._held:
            self._hold(reader.body_size)
        if reader.error:
            provisional = reader.limits.provisional and reader.error in (413, 431)
            self.refuse(503 if provisional else reader.error)
            return
        self._next()
        if (self._exchange is not None or self.paused) and self._overfull(reader):
            self._pause_reading()

    def eof_received(self) -> None:
        """A client that ends its side has gone away. What is still to be written is dropped with it.

        Danger: left alone, the transport first writes that out, for as long as that takes.
        """
        if self.stage is not Stage.LINGERING:
            self._lose_exchange()

    def pause_writing(self) -> None:
        self.paused = True
        if self.stage is Stage.BUSY:
            self._move(Stage.STUCK)
        if self._exchange is not None and self._exchange.on_pause is not None:
            self._exchange.on_pause()

    def resume_writing(self) -> None:
        self.paused = False
        if self.stage is Stage.STUCK:
            self._move(Stage.BUSY)
        if self._exchange is not None and self._exchange.on_resume is not None:
            self._exchange.on_resume()
        if self._exchange is None:
            self._next()

    # Requests

    def _next(self) -> None:
        """Hand over the next request, if none is open. Nothing is handed over within the parser's calls: the
        bytes behind a request can show that its length was wrong."""
        reader = self._reader
        if self._exchange is not None or self.paused or self.stage is Stage.LINGERING or reader is None:
            return
        if self._transport is None:
            return
        if not reader.ready:
            self._settle()
            return
        exchange = self._exchange = Exchange(reader.ready.popleft(), self)
        self._move(Stage.BUSY)
        if self._reading_paused and not self._overfull(reader):
            self._resume_reading()
        try:
            self._server.handle(exchange)
        except Exception:
            # Danger: the client would wait for its whole deadline, and nobody would know why.
            log.exception("a request could not be handled")
            if exchange.begun:
                exchange.abort()
            else:
                exchange.respond(500, close=True)

    def _settle(self) -> None:
        """No request is open: the stage follows from what has come of the next."""
        reader = self._reader
        if self.paused:
            self._move(Stage.STUCK)
        elif reader is None or not reader.begun:
            self._move(Stage.IDLE)
        elif reader.in_head:
            self._move(Stage.HEAD)
        else:
            self._move(Stage.BODY)
            if reader.wants_continue:
                reader.wants_continue = False
                self.write(CONTINUE)
        if self._reading_paused:
            self._resume_reading()

    @staticmethod
    def _overfull(reader: RequestReader) -> bool:
        waiting = reader.ready
        size = reader.body_size + sum(len(request.body) for request in waiting)
        return len(waiting) >= MOST_WAITING or size > MOST_WAITING_BYTES

    def _pause_reading(self) -> None:
        if not self._reading_paused and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()
            self._server.deaf.add(self)

    def _resume_reading(self) -> None:
        self._reading_paused = False
        self._server.deaf.discard(self)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _drop_reader(self) -> None:
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.close()
        self._hold(0)

    def _hold(self, size: int) -> None:
        """Danger: many large bodies at once, none of them whole, would take all memory."""
        server = self._server
        server.held_bytes += size - self._held
        grows, self._held = size > self._held, size
        if grows and server.held_bytes > server.limits.held_bytes and self._reader is not None:
            self._reader.error = self._reader.error or 503

    def _lose_exchange(self) -> None:
        """The client has gone: nothing is owed to it any more."""
        exchange, self._exchange = self._exchange, None
        self._pending.clear()
        if self._transport is not None:
            self._move(Stage.LINGERING)
            self._transport.abort()
        if exchange is not None:
            exchange.lose()

    # Its end

    def refuse(self, status: int) -> None:
        """An error, and the end of the connection: what can't be read leaves nothing on it to be trusted.

        Danger: an open request's answer could no longer be told from the error's; it is withdrawn, and where
        its answer has begun nothing is written behind that.
        """
        exchange, self._exchange = self._exchange, None
        if self._transport is None:
            return
        if exchange is not None and exchange.begun:
            self.abort()
        else:
            self._transport.write(encode_answer(status, b"", b"", True))
            self._see_off()
        if exchange is not None:
            exchange.lose()

    def _see_off(self) -> None:
        """Our end of the connection ends; what still comes is read and dropped for a while. Danger: an end
        over unread bytes is a reset, which overtakes the answer."""
        self._move(Stage.LINGERING)
        self._drop_reader()
        if self._reading_paused:
            self._resume_reading()
        if self._transport is not None and self._transport.can_write_eof():
            with contextlib.suppress(OSError):  # the peer has reset it: not noticed yet
                self._transport.write_eof()

    def close_idle(self) -> bool:
        """Close it if nothing is on it; False if a request is, which may not have been read yet, or the rest
        of an answer."""
        if self.stage not in (Stage.FRESH, Stage.IDLE) or self._transport is None:
            return False
        if self.sending or unread(self._sock):
            return False
        self._move(Stage.LINGERING)
        self._transport.abort()
        return True

    @property
    def sending(self) -> bool:
        """Is a part of an answer still on its way out? Danger: a connection ended now would cut it off."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    @property
    def moving(self) -> bool:
        if self.stage not in (Stage.FRESH, Stage.IDLE, Stage.LINGERING) or self.sending:
            return True
        return self.stage is not Stage.LINGERING and unread(self._sock)

    def drop(self) -> None:
        """End it whatever is on it."""
        if self.until_close and self.sending:
            reset_at_close(self._sock)
        self._lose_exchange()

    def notice_end(self) -> None:
        """While nothing is read, the client's end is not told by the loop."""
        if hung_up(self._sock):
            self._lose_exchange()

    def _move(self, stage: Stage) -> None:
        if self.stage is not stage:
            self._server.move(self, stage)
