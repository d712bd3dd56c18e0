"""One request and its answer, as whoever handles requests sees them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from cloverrouter.http.fields import CLOSE, Headers, encode_answer, encode_fields, status_line
from cloverrouter.http.request import Request

KEEP_ALIVE = b"Connection: keep-alive\r\n"  # what an HTTP/1.0 client must be told
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"
BODILESS = frozenset((204, 304))


class AnswerChannel(Protocol):
    """The connection that an exchange's answer goes out on."""

    paused: bool
    until_close: bool

    @property
    def data(self) -> dict[str, Any]:
        """For the handler, as long as the connection lives."""
        ...

    @property
    def peer(self) -> tuple[str, int] | None:
        """The client's address."""
        ...

    def hung_up(self) -> bool:
        """Has the client left?"""
        ...

    def ends_with(self, request: Request) -> bool:
        """Does the connection end with the answer to `request`?"""
        ...

    def write(self, data: bytes) -> None:
        """Send at once."""
        ...

    def write_soon(self, data: bytes) -> None:
        """Send with what else comes in this turn of the loop."""
        ...

    def flush(self) -> None:
        """Send what `write_soon` has kept."""
        ...

    def answered(self, close: bool) -> None:
        """The last byte of the answer has been written."""
        ...

    def abort(self) -> None:
        """End the connection at once."""
        ...


class Exchange:
    """Answer it once: by `respond`, or by `begin`, any number of `write`, and `end` or `abort`.

    Once its client has gone, all of these do nothing. The three callbacks come from the loop, never from
    within a call made here.
    """

    __slots__ = (
        "_begun",
        "_bodiless",
        "_chunked",
        "_close",
        "_connection",
        "_left",
        "on_gone",
        "on_pause",
        "on_resume",
        "request",
    )

    def __init__(self, request: Request, connection: AnswerChannel) -> None:
        self.request = request
        self.on_gone: Callable[[], None] | None = None  # its client left before the answer's end
        self.on_pause: Callable[[], None] | None = None  # its client does not take up what is written
        self.on_resume: Callable[[], None] | None = None
        self._connection: AnswerChannel | None = connection
        self._begun = self._bodiless = self._chunked = self._close = False
        self._left: int | None = None  # of a body of known length

    @property
    def done(self) -> bool:
        """It has been answered, or nobody waits for an answer any more."""
        return self._connection is None

    @property
    def begun(self) -> bool:
        """The head of an answer that comes in pieces has been written."""
        return self._begun

    @property
    def paused(self) -> bool:
        """No more should be written for now; `on_resume` will tell when."""
        return self._connection is not None and self._connection.paused

    @property
    def data(self) -> dict[str, Any]:
        """For the handler, as long as the connection lives."""
        return self._connection.data if self._connection is not None else {}

    @property
    def peer(self) -> tuple[str, int] | None:
        return self._connection.peer if self._connection is not None else None

    def gone(self) -> bool:
        """Has the client left? Looks at the socket, before the loop has come to tell it."""
        return self._connection is None or self._connection.hung_up()

    def respond(self, status: int, headers: Headers = [], body: bytes = b"", close: bool = False) -> None:  # noqa: B006
        """The whole answer. `headers` go out as they are, so none of them may concern the framing."""
        connection = self._connection
        if connection is None or self._begun:
            return
        close = close or connection.ends_with(self.request)
        fields = encode_fields(headers)
        if self.request.http_1_0 and not close:
            fields += KEEP_ALIVE
        answer = encode_answer(status, body, fields, close)
        if body and self.request.method == b"HEAD":
            answer = answer[: -len(body)]
        connection.write(answer)
        self._finish(close)

    def begin(self, status: int, headers: Headers, length: int | None) -> None:
        """The head of an answer whose body comes in pieces: `length` bytes, or None if nobody knows."""
        connection = self._connection
        if connection is None or self._begun:
            return
        self._begun = True
        self._close = connection.ends_with(self.request)
        self._bodiless = status in BODILESS or self.request.method == b"HEAD"
        fields = encode_fields(headers)
        if length is not None:
            self._left = 0 if self._bodiless else length
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
        """A piece of the body."""
        connection = self._connection
        if connection is None or not self._begun or self._bodiless or not data:
            return
        if self._left is not None:
            self._left -= len(data)
            if self._left < 0:  # danger: what is too much would be taken for the next answer
                self.abort()
                return
        connection.write_soon(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def end(self) -> None:
        """The body is whole."""
        connection = self._connection
        if connection is None or not self._begun:
            return
        if self._left:
            self.abort()
            return
        if self._chunked:
            connection.write_soon(LAST_CHUNK)
        connection.flush()
        self._finish(self._close)

    def abort(self) -> None:
        """The answer can't be finished. The connection ends so that no client takes it for whole."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def _finish(self, close: bool) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.answered(close)

    def lose(self) -> None:
        """For the connection: the client has gone."""
        if self._connection is not None:
            self._connection = None
            if self.on_gone is not None:
                self.on_gone()
