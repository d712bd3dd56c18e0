"""One HTTP call to a server, and the listener interface that reports its progress."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

from cloverrouter.http.body import Blocks
from cloverrouter.http.fields import Headers


class Failure(enum.Enum):
    """Why a call ended without a complete response."""

    CONNECT_FAILED = "connect failed"  # nothing of the request was sent
    NOT_SENT = "not sent"  # no local socket available, or withdrawn before any byte was sent
    BROKEN = "broken"  # the connection ended; the request may have been executed
    SPOILT = "spoilt"  # invalid HTTP, or a response to another request; the request may have been executed


class CallListener(Protocol):
    """Receives the events of a call.

    Exactly one of `on_end` and `on_failure` is called, once and as the last event. After `Call.cancel`
    nothing is called.
    """

    def on_written(self) -> None:
        """The last byte of the request was handed to the kernel.

        It may be executed before: see `Call.begun`.
        """
        ...

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """The head of the response arrived and belongs to this call.

        `length` is the Content-Length of the body, or None if the server sent none.
        """
        ...

    def on_data(self, data: bytes) -> None:
        """A part of the response body arrived."""
        ...

    def on_end(self) -> None:
        """The response is complete."""
        ...

    def on_failure(self, failure: Failure) -> None:
        """The call ended without a complete response."""
        ...


class CallConnection(Protocol):
    """The connection that carries a call."""

    def abort(self) -> None:
        """Closes the connection at once, without notifying the listener."""
        ...

    def pause(self) -> None:
        """Stops reading from the connection."""
        ...

    def resume(self) -> None:
        """Resumes reading."""
        ...


class CallCounter(Protocol):
    """Counts the calls in flight to one address."""

    busy: int


class Call:
    """A request in flight. Once it is `done`, its methods do nothing.

    `expected_id` and `id_header` identify the response, see `ConnectionPool.send`.
    """

    __slots__ = ("_connection", "_pool", "begun", "body", "done", "expected_id", "id_header", "listener",
                 "message", "refresh", "reused", "written")  # fmt: skip

    def __init__(
        self,
        message: bytes,
        listener: CallListener,
        expected_id: bytes,
        id_header: bytes,
        refresh: Callable[[], bytes | None] | None = None,
        body: Blocks = (),
    ) -> None:
        self.message = message
        self.body = body  # what follows the message
        self.listener = listener
        self.expected_id = expected_id
        self.id_header = id_header
        self.refresh = refresh
        self.begun = False  # a part was handed to the kernel: a server may execute a request before its end
        self.written = False  # the last byte was handed to the kernel
        self.reused = False  # sent on a connection that had served an earlier call
        self.done = False
        self._connection: CallConnection | None = None
        self._pool: CallCounter | None = None

    def cancel(self) -> None:
        """Abandons the call. If any of the request was sent, its connection is closed; otherwise it is never
        sent."""
        connection = self._connection
        self.finish()
        if connection is not None:
            connection.abort()

    def pause(self) -> None:
        """Stops reading the response. Data that was already read is still delivered."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Resumes reading after `pause`."""
        if self._connection is not None:
            self._connection.resume()

    # Used by the pool and its connections

    def count_in(self, pool: CallCounter) -> None:
        """Counts the call as in flight in `pool` until it finishes."""
        self._pool = pool
        pool.busy += 1

    def attach(self, connection: CallConnection) -> None:
        """Records the connection that the call is sent on."""
        self._connection = connection

    def refresh_message(self) -> bool:
        """Updates the message for a newly opened connection; False if it must not be sent any more."""
        if self.refresh is None:
            return True
        message = self.refresh()
        if message is not None:
            self.message = message
        return message is not None

    def finish(self) -> None:
        """Marks the call as done and releases its connection and its place in the pool."""
        self.done, self._connection = True, None
        pool, self._pool = self._pool, None
        if pool is not None:
            pool.busy -= 1

    def fail(self, failure: Failure) -> None:
        """Finishes the call with a failure."""
        if not self.done:
            self.finish()
            self.listener.on_failure(failure)

    def end(self) -> None:
        """Finishes the call after a complete response."""
        if not self.done:
            self.finish()
            self.listener.on_end()
