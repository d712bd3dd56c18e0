"""The HTTP/1.1 server: a listening socket, its connections, and what time takes from them.

Each whole request goes to one handler as an `Exchange`. What can't be valid is answered here, with an
error and the connection's end.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from cloverrouter.http.acceptor import Acceptor
from cloverrouter.http.connection import ServerConnection, Stage
from cloverrouter.http.exchange import Exchange
from cloverrouter.http.fields import Headers
from cloverrouter.http.request import Request, ServerLimits
from cloverrouter.http.sockets import READ_BYTES, bind

__all__ = ["Exchange", "Handler", "Headers", "Request", "Server", "ServerLimits"]

Handler = Callable[[Exchange], None]
SWEEP_S = 0.2
LINGER_S = 1.5  # so long a client may take to hear of our end
STUCK_S = 10.0  # and so long to read on in an answer
# While clients are sent away: so long a new connection that has said nothing yet is waited for.
FRESH_S = 0.7
SILENT_S = 0.2  # the same, once no more new ones come
# And so long one must have been quiet. Danger: a close can cross a request; a busy connection ends with its
# next answer anyhow, and on a quiet one that is unlikely.
QUIET_S = 0.1
IDLE_PART = 2  # so small a part of the connections may be idle; past it answers end theirs


class Server(Acceptor):
    """`handle` is called once for each whole request, and may answer it at once or later."""

    def __init__(self, handle: Handler, limits: ServerLimits) -> None:
        super().__init__()
        self.handle = handle
        self.limits = limits  # may be replaced: counts from the next request on
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.held_bytes = 0  # of bodies that are not whole yet
        self.deaf: set[ServerConnection] = set()  # of which nothing is read for now
        self._draining = self._closed = False
        self._stages: tuple[dict[ServerConnection, None], ...] = tuple({} for _ in Stage)
        self._sweeper: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Take connections there; the address that it became. Raises OSError."""
        listener = bind((host, port))
        self.accept_from(listener)
        if self._sweeper is None:
            self._sweep()
        own_host, own_port = listener.getsockname()[:2]
        return own_host, own_port

    def stop_listening(self) -> None:
        """Those that are open stay."""
        self.close_listener()

    def drain(self) -> None:
        """Rid this process of its clients without losing a request: from here on every connection closes
        once nothing is owed on it. New ones are served for as long as they come."""
        self._draining = True
        self._close_quiet(self.loop.time())

    def close(self) -> None:
        """End everything at once."""
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
        """Requests that wait for their answer."""
        return len(self._stages[Stage.BUSY]) + len(self._stages[Stage.STUCK])

    @property
    def connections(self) -> int:
        return sum(map(len, self._stages)) + len(self._adopting)

    @property
    def moving(self) -> bool:
        """Would an end of the process cut something off, or leave a request unheard?"""
        return any(connection.moving for connections in self._stages for connection in connections)

    @property
    def sheds(self) -> bool:
        """Do answers end their connections now? Danger: clients that ask once and keep their connection soon
        have none left for the next. An answer that ends it frees it, and no request can cross that end."""
        return self._draining or len(self._stages[Stage.IDLE]) * IDLE_PART >= self.limits.max_connections

    # New connections

    def _take(self, sock: socket.socket) -> None:
        if self.connections >= self.limits.max_connections and not self._make_room():
            self._turn_away(sock)
        else:
            self._adopt(ServerConnection(self, sock), sock)

    def _make_room(self) -> bool:
        """Close the connection that is missed least."""
        for connection in self._stages[Stage.LINGERING]:
            if not connection.sending:
                connection.drop()
                return True
        return any(
            connection.close_idle()
            for stage in (Stage.IDLE, Stage.FRESH)
            for connection in list(self._stages[stage])
        )

    # For the connections

    def add(self, connection: ServerConnection) -> None:
        connection.since_s = self.loop.time()
        self._stages[connection.stage][connection] = None
        if self._closed:  # while it was taken in
            connection.drop()

    def remove(self, connection: ServerConnection) -> None:
        self._stages[connection.stage].pop(connection, None)
        self.deaf.discard(connection)

    def move(self, connection: ServerConnection, stage: Stage) -> None:
        if self._stages[connection.stage].pop(connection, self) is self:
            return  # it has ended
        connection.stage = stage
        connection.since_s = self.loop.time()
        self._stages[stage][connection] = None

    # Time

    def _sweep(self) -> None:
        """Danger: whoever never ends a request, or its connection, holds descriptors and memory for good."""
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)
        now_s, limits = self.loop.time(), self.limits
        for connection in self._older(Stage.HEAD, now_s - limits.head_timeout_s):
            connection.refuse(408)
        for connection in self._older(Stage.BODY, now_s - limits.body_timeout_s):
            connection.refuse(408)
        for connection in self._older(Stage.STUCK, now_s - STUCK_S):
            connection.drop()
        for connection in self._older(Stage.LINGERING, now_s - LINGER_S):
            if not connection.sending or now_s - connection.since_s > STUCK_S:
                connection.drop()
        for stage in (Stage.IDLE, Stage.FRESH):
            for connection in self._older(stage, now_s - limits.idle_timeout_s):
                if not connection.close_idle() and connection.sending:
                    connection.drop()
        for connection in list(self.deaf):
            connection.notice_end()
        if self._draining:
            self._close_quiet(now_s)

    def _older(self, stage: Stage, than_s: float) -> list[ServerConnection]:
        found = []
        for connection in self._stages[stage]:
            if connection.since_s > than_s:
                break
            found.append(connection)
        return found

    def _close_quiet(self, now_s: float) -> None:
        fresh_s = FRESH_S if self._listener is not None else SILENT_S
        for connection in self._older(Stage.IDLE, now_s - QUIET_S):
            connection.close_idle()
        for connection in self._older(Stage.FRESH, now_s - fresh_s):
            connection.close_idle()
