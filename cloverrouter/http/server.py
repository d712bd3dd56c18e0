"""The HTTP/1.1 server: a listening socket, its connections, and their timeouts.

Each complete request goes to one handler as an `Exchange`. An invalid request is answered here with an error
response, and its connection is closed.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from operator import attrgetter

from cloverrouter.http.acceptor import Acceptor
from cloverrouter.http.connection import ServerConnection, Stage
from cloverrouter.http.exchange import Exchange
from cloverrouter.http.fields import Headers
from cloverrouter.http.memory import STALL_S, MemoryBudget
from cloverrouter.http.request import Request, ServerLimits
from cloverrouter.http.sockets import READ_BYTES, bind

__all__ = ["Exchange", "Handler", "Headers", "Request", "Server", "ServerLimits"]

Handler = Callable[[Exchange], None]
SWEEP_INTERVAL_S = 0.2  # between two checks of the timeouts
LINGER_TIMEOUT_S = 1.5  # for a client to close its side after the server has closed its own
WRITE_TIMEOUT_S = 10.0  # for a client to resume reading its response
# During a drain: how long a new connection may stay open without a request.
DRAIN_FRESH_S = 0.7
DRAIN_FRESH_NOT_LISTENING_S = 0.2  # the same, once the listener is closed
# During a drain: how long a connection must have been idle before it is closed. The close can cross a request
# on its way. A busy connection closes with its next response in any case, and on an idle one a request is
# unlikely.
DRAIN_IDLE_S = 0.1
# A body that keeps coming at this rate does not time out.
MIN_BODY_BYTES_PER_S = 40_000
DEFAULT_BUDGET_BYTES = 48 * 1024 * 1024
# Once 1/IDLE_LIMIT_DIVISOR of the allowed connections is idle, connections close after their responses.
IDLE_LIMIT_DIVISOR = 2


class Server(Acceptor):
    """An HTTP server. `handle` is called once for each complete request and may respond at once or later."""

    def __init__(self, handle: Handler, limits: ServerLimits, budget: MemoryBudget | None = None) -> None:
        """`budget` bounds what the connections hold; several servers may share it."""
        super().__init__()
        self.budget = budget if budget is not None else MemoryBudget(DEFAULT_BUDGET_BYTES)
        self.handle = handle
        self.limits = limits  # may be replaced; applies from the next request on
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.reading_paused: set[ServerConnection] = set()  # those whose reading is paused
        self._draining = self._closed = False
        self._stages: tuple[dict[ServerConnection, None], ...] = tuple({} for _ in Stage)
        self._sweeper: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Starts to accept connections; returns the bound address. Raises OSError if it cannot be bound."""
        listener = bind((host, port))
        self.start_accepting(listener)
        if self._sweeper is None:
            self._sweep()
        own_host, own_port = listener.getsockname()[:2]
        return own_host, own_port

    def stop_listening(self) -> None:
        """Closes the listening socket; open connections stay open."""
        self.close_listener()

    def drain(self) -> None:
        """Starts to close all connections without losing a request.

        Each one closes once it has no request left. New connections are served as long as they arrive.
        """
        self._draining = True
        self._close_drainable(self.loop.time())

    def close(self) -> None:
        """Closes the listener and all connections at once."""
        self._closed = True
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None
        for connections in self._stages:
            for connection in list(connections):
                connection.drop()

    @property
    def open_exchanges(self) -> int:
        """The number of requests without a complete response."""
        return len(self._stages[Stage.BUSY]) + len(self._stages[Stage.WRITE_BLOCKED])

    @property
    def connections(self) -> int:
        """The number of open connections, including those just accepted."""
        return sum(map(len, self._stages)) + len(self._adopting)

    @property
    def has_pending_work(self) -> bool:
        """Whether ending the process now would cut off a response or lose a request."""
        return any(connection.has_pending_work for connections in self._stages for connection in connections)

    @property
    def closes_after_response(self) -> bool:
        """Whether connections close after their next response: during a drain, or with too many idle ones.

        Clients that send one request and keep their connection open would use up the connection limit.
        Closing with the response is safe: no request can cross it.
        """
        return (
            self._draining
            or len(self._stages[Stage.IDLE]) * IDLE_LIMIT_DIVISOR >= self.limits.max_connections
        )

    # New connections

    def _handle_accepted(self, sock: socket.socket) -> None:
        if self.connections >= self.limits.max_connections and not self._make_room():
            self._reject(sock)
        else:
            self._adopt(ServerConnection(self, sock), sock)

    def _make_room(self) -> bool:
        """Closes a lingering connection, else an idle one, else one whose client has stalled.

        Returns False if there is none.
        """
        for connection in self._stages[Stage.LINGERING]:
            if not connection.has_unsent_data:
                connection.drop()
                return True
        closed_idle = any(
            connection.close_idle()
            for stage in (Stage.IDLE, Stage.FRESH)
            for connection in list(self._stages[stage])
        )
        return closed_idle or self._end_stalled()

    def _end_stalled(self) -> bool:
        """Closes the connection that has stalled longest, of those that have no request in progress.

        Returns False if there is none.
        """
        stalled_before_s = self.loop.time() - STALL_S
        stalled = [
            connection
            for stage in (Stage.HEAD, Stage.BODY, Stage.WRITE_BLOCKED)
            for connection in self._stages[stage]
            if connection.stalled_since_s <= stalled_before_s
        ]
        for connection in sorted(stalled, key=attrgetter("stalled_since_s")):
            if connection.may_give_way:
                connection.give_way()
                connection.drop()
                return True
        return False

    # Used by the connections

    def add(self, connection: ServerConnection) -> None:
        """Registers a connection whose socket is connected."""
        connection.stage_since_s = self.loop.time()
        self._stages[connection.stage][connection] = None
        if self._closed:  # closed while this connection was being set up
            connection.drop()

    def remove(self, connection: ServerConnection) -> None:
        """Removes a closed connection."""
        self._stages[connection.stage].pop(connection, None)
        self.reading_paused.discard(connection)

    def set_stage(self, connection: ServerConnection, stage: Stage) -> None:
        """Records that a connection enters `stage`."""
        if self._stages[connection.stage].pop(connection, self) is self:
            return  # already removed
        connection.stage = stage
        connection.stage_since_s = self.loop.time()
        self._stages[stage][connection] = None

    # Timeouts

    def _sweep(self) -> None:
        """Enforces the timeouts, since slow or silent clients would otherwise hold resources forever."""
        self._sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now_s, limits = self.loop.time(), self.limits
        for connection in self._in_stage_since(Stage.HEAD, now_s - limits.head_timeout_s):
            connection.refuse(408)
        for connection in self._in_stage_since(Stage.BODY, now_s - limits.body_timeout_s):
            overdue_s = now_s - connection.stage_since_s - limits.body_timeout_s
            if connection.received_bytes < overdue_s * MIN_BODY_BYTES_PER_S:
                connection.refuse(408)
        for connection in self._in_stage_since(Stage.WRITE_BLOCKED, now_s - WRITE_TIMEOUT_S):
            connection.drop()
        for connection in self._in_stage_since(Stage.LINGERING, now_s - LINGER_TIMEOUT_S):
            if not connection.has_unsent_data or now_s - connection.stage_since_s > WRITE_TIMEOUT_S:
                connection.drop()
        for stage in (Stage.IDLE, Stage.FRESH):
            for connection in self._in_stage_since(stage, now_s - limits.idle_timeout_s):
                if not connection.close_idle() and connection.has_unsent_data:
                    connection.drop()
        for connection in list(self.reading_paused):
            connection.close_if_hung_up()
        self.budget.refresh()
        if self._draining:
            self._close_drainable(now_s)

    def _in_stage_since(self, stage: Stage, since_s: float) -> list[ServerConnection]:
        """Returns the connections that have been in `stage` since `since_s` or before."""
        found = []
        for connection in self._stages[stage]:
            if connection.stage_since_s > since_s:
                break
            found.append(connection)
        return found

    def _close_drainable(self, now_s: float) -> None:
        """Closes the connections that have been idle, or new without a request, for long enough."""
        fresh_s = DRAIN_FRESH_S if self._listener is not None else DRAIN_FRESH_NOT_LISTENING_S
        for connection in self._in_stage_since(Stage.IDLE, now_s - DRAIN_IDLE_S):
            connection.close_idle()
        for connection in self._in_stage_since(Stage.FRESH, now_s - fresh_s):
            connection.close_idle()
