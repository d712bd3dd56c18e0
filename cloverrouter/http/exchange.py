"""One request and its response, as seen by a request handler."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from cloverrouter.http.fields import CLOSE, Headers, encode_fields, encode_response, status_line
from cloverrouter.http.request import Request

KEEP_ALIVE = b"Connection: keep-alive\r\n"  # HTTP/1.0 connections close unless the server sends this
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"
BODILESS = frozenset((204, 304))  # status codes of responses without a body


class ResponseChannel(Protocol):
    """The connection that an exchange writes its response to.

    `paused` is true while the client does not read; `until_close` is set for a response that is delimited by
    the end of the connection.
    """

    paused: bool
    until_close: bool

    @property
    def data(self) -> dict[str, Any]:
        """Storage for the handler, for the lifetime of the connection."""
        ...

    @property
    def peer(self) -> tuple[str, int] | None:
        """The address and port of the client, or None if unknown."""
        ...

    def hung_up(self) -> bool:
        """Whether the client has closed or reset the connection."""
        ...

    def closes_after(self, request: Request) -> bool:
        """Whether the connection closes after the response to `request`."""
        ...

    def write(self, data: bytes) -> None:
        """Writes at once."""
        ...

    def write_soon(self, data: bytes) -> None:
        """Queues data to be written at the end of this turn of the loop."""
        ...

    def flush(self) -> None:
        """Writes the data queued by `write_soon`."""
        ...

    def response_written(self, close: bool) -> None:
        """Called when the last byte of the response has been written; `close` ends the connection."""
        ...

    def abort(self) -> None:
        """Closes the connection at once."""
        ...

    def hold_answer(self, size: int) -> None:
        """Called when this many bytes of an answer are buffered outside the connection."""
        ...


class Exchange:
    """A request to be answered once.

    The handler calls `respond`, or `begin`, any number of `write`, and then `end` or `abort`.
    Once the client has disconnected, these methods do nothing. The three callbacks are called from the event
    loop, never from within a method of this class.
    """

    __slots__ = (
        "_begun",
        "_bodiless",
        "_chunked",
        "_close",
        "_connection",
        "_remaining_bytes",
        "on_disconnect",
        "on_pause",
        "on_resume",
        "request",
    )

    def __init__(self, request: Request, connection: ResponseChannel) -> None:
        self.request = request
        self.on_disconnect: Callable[[], None] | None = None  # the client left before the response ended
        self.on_pause: Callable[[], None] | None = None  # the client reads too slowly: stop writing
        self.on_resume: Callable[[], None] | None = None  # writing may continue
        self._connection: ResponseChannel | None = connection
        self._begun = self._bodiless = self._chunked = self._close = False
        self._remaining_bytes: int | None = None  # bytes left of a body with Content-Length

    @property
    def done(self) -> bool:
        """Whether the response is complete or aborted, or the client has disconnected."""
        return self._connection is None

    @property
    def begun(self) -> bool:
        """Whether `begin` has written the response head."""
        return self._begun

    @property
    def paused(self) -> bool:
        """Whether writing should stop until `on_resume` is called."""
        return self._connection is not None and self._connection.paused

    @property
    def data(self) -> dict[str, Any]:
        """Storage for the handler, for the lifetime of the connection."""
        return self._connection.data if self._connection is not None else {}

    @property
    def peer(self) -> tuple[str, int] | None:
        """The address and port of the client, or None if unknown."""
        return self._connection.peer if self._connection is not None else None

    def client_gone(self) -> bool:
        """Whether the client has disconnected. Checks the socket itself, as the loop may report it later."""
        return self._connection is None or self._connection.hung_up()

    def hold_answer(self, size: int) -> None:
        """Counts this many bytes of a server's answer, which are buffered for this request, as its memory."""
        if self._connection is not None:
            self._connection.hold_answer(size)

    def respond(self, status: int, headers: Headers = [], body: bytes = b"", close: bool = False) -> None:  # noqa: B006
        """Sends a complete response. `headers` are sent unchanged and must not include framing headers."""
        connection = self._connection
        if connection is None or self._begun:
            return
        close = close or connection.closes_after(self.request)
        fields = encode_fields(headers)
        if self.request.http_1_0 and not close:
            fields += KEEP_ALIVE
        answer = encode_response(status, body, fields, close)
        if body and self.request.method == b"HEAD":
            answer = answer[: -len(body)]
        connection.write(answer)
        self._finish(close)

    def begin(self, status: int, headers: Headers, length: int | None) -> None:
        """Sends the head of a response whose body follows in pieces: `length` bytes, or None if unknown."""
        connection = self._connection
        if connection is None or self._begun:
            return
        self._begun = True
        self._close = connection.closes_after(self.request)
        self._bodiless = status in BODILESS or self.request.method == b"HEAD"
        fields = encode_fields(headers)
        if length is not None:
            self._remaining_bytes = 0 if self._bodiless else length
            if status not in BODILESS:
                fields += b"Content-Length: %d\r\n" % length
        elif not self._bodiless:
            if self.request.http_1_0:
                self._close = connection.until_close = True
            else:
                self._chunked = True
                fields += CHUNKED
        if self._close:
            fields += CLOSE
        elif self.request.http_1_0:
            fields += KEEP_ALIVE
        connection.write_soon(status_line(status) + fields + b"\r\n")

    def write(self, data: bytes) -> None:
        """Sends a piece of the body. Aborts if the body becomes longer than announced."""
        connection = self._connection
        if connection is None or not self._begun or self._bodiless or not data:
            return
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(data)
            if self._remaining_bytes < 0:  # the client would read the excess as the next response
                self.abort()
                return
        connection.write_soon(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def end(self) -> None:
        """Completes the response. Aborts if the body is shorter than announced."""
        connection = self._connection
        if connection is None or not self._begun:
            return
        if self._remaining_bytes:
            self.abort()
            return
        if self._chunked:
            connection.write_soon(LAST_CHUNK)
        connection.flush()
        self._finish(self._close)

    def abort(self) -> None:
        """Gives up the response and closes the connection, so that the client sees it as incomplete."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def _finish(self, close: bool) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.response_written(close)

    def disconnect(self) -> None:
        """Called by the connection when the client has disconnected."""
        if self._connection is not None:
            self._connection = None
            if self.on_disconnect is not None:
                self.on_disconnect()
