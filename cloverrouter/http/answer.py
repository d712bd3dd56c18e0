"""One call to a server: what its starter is told, and may do about it."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

from cloverrouter.http.fields import Headers


class Failure(enum.Enum):
    """How a call ends that has no whole answer."""

    CONNECT_FAILED = "connect failed"  # no whole request reached a server
    NOT_SENT = "not sent"  # our own lack of sockets, or called off before a byte went out
    BROKEN = "broken"  # the connection ended: it may have run
    SPOILT = "spoilt"  # what came is not the call's answer, or none of the protocol: it may have run


class Listener(Protocol):
    """Who waits for an answer. Exactly one of `on_end` and `on_failure` comes, once, and nothing after it;
    nothing comes after `Call.cancel`."""

    def on_written(self) -> None:
        """The request's last byte was handed to the kernel: from here on it may run."""
        ...

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """The answer begins, and is the call's own. `length` of its body: None if the server did not say."""
        ...

    def on_data(self, data: bytes) -> None: ...

    def on_end(self) -> None:
        """The answer was whole, and ended in an orderly way."""
        ...

    def on_failure(self, failure: Failure) -> None: ...


class Carrier(Protocol):
    """The connection that a call is on."""

    def abort(self) -> None:
        """Close it, whatever is on it: nothing is told of that."""
        ...

    def pause(self) -> None:
        """Read no more for now."""
        ...

    def resume(self) -> None:
        """Read on."""
        ...


class BusyCounter(Protocol):
    """Counts the calls on their way to one address."""

    busy: int


class Call:
    """A request on its way. Once it is `done` all methods do nothing."""

    __slots__ = ("_connection", "_pool", "done", "expected_id", "id_header", "listener", "message", "renewed",
                 "reused", "written")  # fmt: skip

    def __init__(
        self,
        message: bytes,
        listener: Listener,
        expected_id: bytes,
        id_header: bytes,
        renewed: Callable[[], bytes | None] | None = None,
    ) -> None:
        self.message = message
        self.listener = listener
        self.expected_id = expected_id
        self.id_header = id_header
        self.renewed = renewed
        self.written = False  # its last byte was handed to the kernel
        self.reused = False  # it went out on a connection that had served another
        self.done = False
        self._connection: Carrier | None = None
        self._pool: BusyCounter | None = None

    def cancel(self) -> None:
        """Give it up: the connection that anything of it went out on closes, and if it has not gone out it
        never will."""
        connection = self._connection
        self.finish()
        if connection is not None:
            connection.abort()

    def pause(self) -> None:
        """Read no more of the answer for now. What has been read already still comes."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        if self._connection is not None:
            self._connection.resume()

    # For the pool and its connections

    def hold(self, pool: BusyCounter) -> None:
        self._pool = pool
        pool.busy += 1

    def assign(self, connection: Carrier) -> None:
        self._connection = connection

    def renew(self) -> bool:
        """Its connection has come up, after a while: what is to go out on it now. False: nothing any more."""
        if self.renewed is None:
            return True
        message = self.renewed()
        if message is not None:
            self.message = message
        return message is not None

    def finish(self) -> None:
        self.done, self._connection = True, None
        pool, self._pool = self._pool, None
        if pool is not None:
            pool.busy -= 1

    def fail(self, failure: Failure) -> None:
        if not self.done:
            self.finish()
            self.listener.on_failure(failure)

    def end(self) -> None:
        if not self.done:
            self.finish()
            self.listener.on_end()
