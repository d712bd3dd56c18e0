"""One client connection of the HTTP server. Its requests are handled one at a time, in order."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import logging
import math
import socket
from collections.abc import Callable
from typing import Any, Protocol, cast

from cloverrouter.http.exchange import Exchange
from cloverrouter.http.fields import encode_response
from cloverrouter.http.memory import UNCHARGED_BYTES, MemoryBudget
from cloverrouter.http.request import Request, RequestReader, ServerLimits
from cloverrouter.http.sockets import hung_up, reset_at_close, unread

WRITE_HIGH_WATER_BYTES = 32 * 1024  # unsent response bytes at which the handler is asked to pause
# Limits on pipelined requests that wait behind the current one; past either of them reading pauses.
MAX_PIPELINED_REQUESTS = 8
MAX_PIPELINED_BYTES = 64 * 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
log = logging.getLogger(__name__)


class Stage(enum.IntEnum):
    """The state of a connection. The server keeps the connections of a stage in the order of entry."""

    FRESH = 0  # nothing received yet
    IDLE = 1  # between requests
    HEAD = 2  # a request head is partly received
    BODY = 3  # the head is received, the body is not complete
    BUSY = 4  # a request is being handled
    WRITE_BLOCKED = 5  # the client does not read its response, so writing is paused
    LINGERING = 6  # the last response is written; further input is read and discarded


class Host(Protocol):
    """The server that a connection belongs to.

    `buffer` is the read buffer shared by all connections, `budget` bounds the memory that they hold, and
    `reading_paused` are the connections whose reading is paused.
    """

    loop: asyncio.AbstractEventLoop
    buffer: memoryview
    limits: ServerLimits
    budget: MemoryBudget
    reading_paused: set[ServerConnection]

    @property
    def closes_after_response(self) -> bool:
        """Whether connections close after their next response."""
        ...

    @property
    def handle(self) -> Callable[[Exchange], None]:
        """The handler, called once for each complete request."""
        ...

    def add(self, connection: ServerConnection) -> None:
        """Registers a connection whose socket is connected."""
        ...

    def remove(self, connection: ServerConnection) -> None:
        """Removes a closed connection."""
        ...

    def set_stage(self, connection: ServerConnection, stage: Stage) -> None:
        """Records that a connection enters `stage`."""
        ...


class ServerConnection(asyncio.BufferedProtocol):
    """A client connection, from its acceptance until it is closed."""

    __slots__ = (
        "_answer_bytes",
        "_charge",
        "_data",
        "_exchange",
        "_pending",
        "_progress_s",
        "_reader",
        "_reading_paused",
        "_server",
        "_sock",
        "_transport",
        "_unsent_bytes",
        "paused",
        "stage",
        "stage_since_s",
        "until_close",
    )

    def __init__(self, server: Host, sock: socket.socket) -> None:
        self._server = server
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self._reader: RequestReader | None = None  # created on first input: many connections send nothing
        self._exchange: Exchange | None = None
        self._pending: list[bytes] = []  # written together at the end of this turn of the loop
        self._reading_paused = False
        self._charge = 0  # what the memory budget counts for this connection
        self._answer_bytes = 0  # of a server's answer that is buffered for the current request
        self._unsent_bytes = 0  # response bytes in the transport, at the last update of the charge
        self._progress_s = 0.0  # when the client last sent a part of a request, or read of an answer
        self._data: dict[str, Any] | None = None
        self.paused = False  # writing is paused: the client does not read its responses
        self.until_close = False  # the response is delimited by the end of the connection
        self.stage = Stage.FRESH
        self.stage_since_s = 0.0  # when the stage was entered, on the loop's clock

    # Used by the exchange: `ResponseChannel`

    @property
    def data(self) -> dict[str, Any]:
        """Storage for the handler, for the lifetime of the connection."""
        if self._data is None:
            self._data = {}
        return self._data

    @property
    def peer(self) -> tuple[str, int] | None:
        """The address and port of the client, or None once the connection is closed."""
        found = self._transport.get_extra_info("peername") if self._transport is not None else None
        return found[:2] if found else None

    def hung_up(self) -> bool:
        """Whether the client has closed or reset the connection."""
        return self._transport is None or self.stage is Stage.LINGERING or hung_up(self._sock)

    def closes_after(self, request: Request) -> bool:
        """Whether the connection closes after the response to `request`.

        During a drain, pipelined requests that have already arrived are still served: the connection closes
        after the last of them.
        """
        if not request.keep_alive:
            return True
        return self._server.closes_after_response and not (self._reader is not None and self._reader.ready)

    def write(self, data: bytes) -> None:
        """Writes to the transport at once."""
        if self._transport is not None:
            self._transport.write(data)
            if self._charge or self._transport.get_write_buffer_size() > UNCHARGED_BYTES:
                self._charge_unsent()

    def write_soon(self, data: bytes) -> None:
        """Queues data to be written at the end of this turn of the loop.

        Separate system calls for the head, each piece and the end would dominate the cost of a request.
        """
        if not self._pending:
            self._server.loop.call_soon(self.flush)
        self._pending.append(data)

    def flush(self) -> None:
        """Writes the data queued by `write_soon`."""
        pending = self._pending
        if pending and self._transport is not None:
            self._pending = []
            self._transport.write(b"".join(pending))
            if self._charge or self._transport.get_write_buffer_size() > UNCHARGED_BYTES:
                self._charge_unsent()

    def response_written(self, close: bool) -> None:
        """Called when the last byte of a response has been written."""
        self._exchange = None
        self._answer_bytes = 0
        if self._charge:
            self.update_charge()
        if self._transport is None:
            return
        if close:
            self._close_gracefully()
        elif self._reader is not None and self._reader.ready:
            self._server.loop.call_soon(self._next)
        else:
            self._await_request()

    def abort(self) -> None:
        """Closes the connection at once. Data that the kernel has not accepted yet is lost."""
        self._exchange = None
        if self._transport is None:
            return
        if self.until_close:
            reset_at_close(self._sock)
            self._pending.clear()
        self.flush()  # lets a client that resumes its stream continue from a later event
        self._set_stage(Stage.LINGERING)
        self._transport.abort()
        self._answer_bytes = 0
        self.update_charge()

    # asyncio.BufferedProtocol. All connections share one buffer, since each read is parsed at once.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._close_reader()
        self._server.remove(self)
        self._disconnect()

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
        if reader.error:
            provisional = reader.limits.provisional and reader.error in (413, 431)
            self.refuse(503 if provisional else reader.error)
            return
        if reader.begun or reader.waiting_bytes > UNCHARGED_BYTES or self._charge:
            self._progress_s = self._server.loop.time()
            if not self._charge_input():
                self._refuse_for_memory()
                return
        self._next()
        # A handler that responds at once leaves requests waiting without one in progress.
        if (self._exchange is not None or self.paused or reader.ready) and self._is_pipeline_full(reader):
            self._pause_reading()

    def eof_received(self) -> None:
        """Treats a half-closed connection as a disconnect and drops unsent data.

        By default the transport would first write out its buffer, without a time limit.
        """
        if self.stage is not Stage.LINGERING:
            self._disconnect()

    def pause_writing(self) -> None:
        self.paused = True
        self._progress_s = self._server.loop.time()
        if self.stage is Stage.BUSY:
            self._set_stage(Stage.WRITE_BLOCKED)
        if self._exchange is not None and self._exchange.on_pause is not None:
            self._exchange.on_pause()

    def resume_writing(self) -> None:
        self.paused = False
        if self._charge:
            self.update_charge()
        if self.stage is Stage.WRITE_BLOCKED:
            self._set_stage(Stage.BUSY)
        if self._exchange is not None and self._exchange.on_resume is not None:
            self._exchange.on_resume()
        if self._exchange is None:
            self._next()

    # Requests

    def _next(self) -> None:
        """Passes the next complete request to the handler, unless one is in progress.

        Never called from within the parser: the bytes that follow a request can show that its framing was
        invalid.
        """
        reader = self._reader
        if self._exchange is not None or self.paused or self.stage is Stage.LINGERING or reader is None:
            return
        if self._transport is None:
            return
        if not reader.ready:
            self._await_request()
            return
        exchange = self._exchange = Exchange(reader.take(), self)
        self._set_stage(Stage.BUSY)
        if self._reading_paused and not self._is_pipeline_full(reader):
            self._resume_reading()
        try:
            self._server.handle(exchange)
        except Exception:
            # Without a response the client would wait until its deadline, with no error logged.
            log.exception("unhandled exception in the request handler")
            if exchange.begun:
                exchange.abort()
            else:
                exchange.respond(500, close=True)

    def _await_request(self) -> None:
        """Sets the stage when no request is in progress, from what has arrived of the next one."""
        reader = self._reader
        if self.paused:
            self._set_stage(Stage.WRITE_BLOCKED)
        elif reader is None or not reader.begun:
            self._set_stage(Stage.IDLE)
        elif reader.in_head:
            self._set_stage(Stage.HEAD)
        else:
            self._set_stage(Stage.BODY)
            if reader.expects_continue:
                reader.expects_continue = False
                self.write(CONTINUE)
        if self._reading_paused:
            self._resume_reading()

    @staticmethod
    def _is_pipeline_full(reader: RequestReader) -> bool:
        """Whether the waiting requests have reached a limit at which reading pauses."""
        waiting = reader.ready
        if len(waiting) >= MAX_PIPELINED_REQUESTS:
            return True
        return reader.body_size + sum(request.body_size for request in waiting) > MAX_PIPELINED_BYTES

    def _pause_reading(self) -> None:
        if not self._reading_paused and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()
            self._server.reading_paused.add(self)

    def _resume_reading(self) -> None:
        self._reading_paused = False
        self._server.reading_paused.discard(self)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _close_reader(self) -> None:
        """Closes the parser and discards its data."""
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.close()

    def _disconnect(self) -> None:
        """Drops the current request and all unsent data, and closes the connection: the client is gone."""
        exchange, self._exchange = self._exchange, None
        self._answer_bytes = 0
        self._pending.clear()
        if self._transport is not None:
            self._set_stage(Stage.LINGERING)
            self._close_reader()
            self._transport.abort()
        self.update_charge()
        if exchange is not None:
            exchange.disconnect()

    # Memory: `memory.Holder`

    def update_charge(self) -> None:
        """Reports to the budget what the connection holds now."""
        unsent = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if unsent < self._unsent_bytes:
            self._progress_s = self._server.loop.time()
        self._unsent_bytes = unsent
        held = unsent + self._answer_bytes
        if self._exchange is not None:
            held += self._exchange.request.held_bytes
        if self._reader is not None:
            held += self._reader.held_bytes
        charge = held if held > UNCHARGED_BYTES else 0
        if charge != self._charge:
            self._charge = charge
            self._server.budget.charge(self, charge)

    @property
    def stalled_since_s(self) -> float:
        """Since when the client has made no progress; infinite while it waits for the server."""
        if self.stage in (Stage.BUSY, Stage.FRESH) or (self.stage is Stage.IDLE and not self._unsent_bytes):
            return math.inf
        return self._progress_s

    def give_way(self) -> None:
        """Refuses an incomplete request, which has not been executed; closes the connection otherwise."""
        if self.stage in (Stage.HEAD, Stage.BODY):
            self.refuse(503)
        else:
            self.drop()

    def hold_answer(self, size: int) -> None:
        """Counts this many bytes of a server's answer, which are buffered for the current request."""
        self._answer_bytes = size
        self.update_charge()

    def _charge_input(self) -> bool:
        """Counts what has arrived; returns whether there is memory for it."""
        before = self._charge
        self.update_charge()
        return self._charge <= before or self._has_memory()

    def _charge_unsent(self) -> None:
        """Counts response data that the kernel has not taken, and checks the budget soon.

        Not at once: other connections may have to close, and their handlers are called only from the loop.
        """
        before = self._charge
        self.update_charge()
        if self._charge > before and not self._server.budget.has_room(self._charge):
            self._server.loop.call_soon(self._drop_without_memory)

    def _has_memory(self) -> bool:
        """Whether the budget has room for what the connection holds, if need be after others gave way."""
        budget = self._server.budget
        if not self._charge or budget.has_room(self._charge):
            return True
        return budget.make_room(self._charge, self._server.loop.time())

    def _drop_without_memory(self) -> None:
        """Closes the connection if the budget has no room for its unsent response."""
        if self._transport is not None and self._unsent_bytes and not self._has_memory():
            self.drop()

    def _refuse_for_memory(self) -> None:
        """Ends a connection whose input exceeds the budget.

        A request that is being handled may have been executed, so its connection closes without an answer:
        503 would say the contrary.
        """
        if self._exchange is None:
            self.refuse(503)
        else:
            self.drop()

    # Closing

    def refuse(self, status: int) -> None:
        """Sends an error response and closes the connection, since the framing of further input is unknown.

        The client could not tell the response of a request in progress from the error, so that request is
        cancelled. If its response has begun, the connection is closed without an error response.
        """
        exchange, self._exchange = self._exchange, None
        if self._transport is None:
            return
        if exchange is not None and exchange.begun:
            self.abort()
        else:
            self._transport.write(encode_response(status, b"", b"", True))
            self._close_gracefully()
            self.update_charge()
        if exchange is not None:
            exchange.disconnect()

    def _close_gracefully(self) -> None:
        """Closes the write side, then reads and discards further input for a while.

        Closing with unread input would send a reset, which can discard the response before it is read.
        """
        self._set_stage(Stage.LINGERING)
        self._close_reader()
        if self._reading_paused:
            self._resume_reading()
        if self._transport is not None and self._transport.can_write_eof():
            with contextlib.suppress(OSError):  # reset by the peer, not yet reported by the loop
                self._transport.write_eof()

    def close_idle(self) -> bool:
        """Closes an idle connection; returns False if it has a request, unread input or unsent data."""
        if self.stage not in (Stage.FRESH, Stage.IDLE) or self._transport is None:
            return False
        if self.has_unsent_data or unread(self._sock):
            return False
        self._set_stage(Stage.LINGERING)
        self._transport.abort()
        return True

    @property
    def may_give_way(self) -> bool:
        """Whether the connection has no request in progress, and no input that may complete one."""
        if self.stage in (Stage.HEAD, Stage.BODY):
            return not unread(self._sock)
        return self._exchange is None

    @property
    def received_bytes(self) -> int:
        """The bytes that have arrived of an incomplete request."""
        return self._reader.received_bytes if self._reader is not None else 0

    @property
    def has_unsent_data(self) -> bool:
        """Whether the transport has unsent response data, which closing the connection would cut off."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    @property
    def has_pending_work(self) -> bool:
        """Whether the connection has a request, unread input or unsent response data."""
        if self.stage not in (Stage.FRESH, Stage.IDLE, Stage.LINGERING) or self.has_unsent_data:
            return True
        return self.stage is not Stage.LINGERING and unread(self._sock)

    def drop(self) -> None:
        """Closes the connection at once, cancelling its request."""
        if self.until_close and self.has_unsent_data:
            reset_at_close(self._sock)
        self._disconnect()

    def close_if_hung_up(self) -> None:
        """Closes the connection if its client hung up. While reading is paused the loop does not notice."""
        if hung_up(self._sock):
            self._disconnect()

    def _set_stage(self, stage: Stage) -> None:
        if self.stage is not stage:
            self._server.set_stage(self, stage)
