"""The HTTP/1.1 client: pools of connections to servers, one request at a time on a connection.

Nothing here sends a request twice. What could be told as "never ran" and as "may have run" is told as the
latter, unless the last byte was never handed to the kernel.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from cloverrouter.http.answer import Call, Failure, Listener
from cloverrouter.http.fields import Headers
from cloverrouter.http.idle import IdlePool, close_longest_idle
from cloverrouter.http.rest import SOON_S, RestLimits
from cloverrouter.http.sockets import READ_BYTES, notice_dead_peer, open_socket
from cloverrouter.http.upstream import AddressPool, UpstreamConnection

__all__ = ["Address", "Call", "ConnectionPool", "Failure", "Headers", "Listener"]

Address = tuple[str, int]
SWEEP_S = 0.5
SETTLE_S = 0.005
USER_TIMEOUT_S = 3.0
log = logging.getLogger(__name__)


class ServerPool(IdlePool[UpstreamConnection]):
    """The connections to one address."""

    def __init__(self, address: Address) -> None:
        super().__init__()
        self.address = address
        self.busy = 0  # requests on their way or waiting for a connection


class ConnectionPool:
    """All connections to servers, within one limit on sockets.

    `settle_s`: what a server sends behind an answer (a second copy, noise) may come in a read of its own, so
    for that long no request goes out on the connection. `user_timeout_s`: a peer that acknowledges nothing
    for so long is taken for dead.
    """

    def __init__(
        self,
        max_connections: int,
        connect_timeout_s: float,
        idle_timeout_s: float,
        settle_s: float = SETTLE_S,
        user_timeout_s: float = USER_TIMEOUT_S,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.settle_s = settle_s
        self.user_timeout_s = user_timeout_s
        self.opened = 0  # connections, so far
        self.connections: set[UpstreamConnection] = set()  # that have a socket
        self._opening: set[asyncio.Task[None]] = set()
        self._pools: dict[Address, ServerPool] = {}
        self._rests: RestLimits[Address] = RestLimits()
        self.on_forgotten: Callable[[float], None] = lambda rested_s: None
        """Called with the rest of a connection that its server had forgotten, in seconds."""
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def send(
        self,
        address: Address,
        message: bytes,
        listener: Listener,
        expected_id: bytes = b"",
        id_header: bytes = b"",
        renewed: Callable[[], bytes | None] | None = None,
    ) -> Call:
        """Start a call. Of the listener's methods only `on_written` can come before this returns.

        With `expected_id`, an answer whose field `id_header` holds anything else is `SPOILT`. `renewed` is
        asked before the first byte goes out on a connection that had to be opened: for the message as it is
        then, or None: nothing goes out, and the call ends as `NOT_SENT`.
        """
        call = Call(message, listener, expected_id, id_header, renewed)
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ServerPool(address)
        call.hold(pool)
        connection = self._take(pool)
        if connection is not None:
            call.reused = True
            connection.send(call)
        elif self.open >= self.max_connections and not close_longest_idle(self._pools.values()):
            self.loop.call_soon(call.fail, Failure.NOT_SENT)
        else:
            task = self.loop.create_task(self._connect(pool, call))
            self._opening.add(task)
            task.add_done_callback(lambda task: self._connected(task, call))
        return call

    def keep_only(self, addresses: set[Address]) -> None:
        """Where requests may still go; connections to all others end, busy ones with their answers."""
        for address in [address for address in self._pools if address not in addresses]:
            self.drop(address)

    def drop(self, address: Address) -> None:
        """End the connections to `address`, busy ones with their answers."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.drop_idle()
            self._rests.forget(address)

    def idle(self, address: Address) -> int:
        pool = self._pools.get(address)
        return len(pool.idle) if pool is not None else 0

    def busy(self, address: Address) -> int:
        """Calls on their way there, those that wait for their connection among them."""
        pool = self._pools.get(address)
        return pool.busy if pool is not None else 0

    @property
    def open(self) -> int:
        """Sockets held or being opened. Counted from what is there: a count kept by hand goes wrong by one
        for each way to end that it does not know of."""
        return len(self.connections) + len(self._opening)

    def close(self) -> None:
        """End everything at once; calls end as they would if the connections broke."""
        self._sweeper.cancel()
        for task in self._opening:
            task.cancel()
        for connection in list(self.connections):
            connection.lose()

    # Connections

    def _take(self, pool: ServerPool) -> UpstreamConnection | None:
        """An idle connection that a request may go out on."""
        now_s = self.loop.time()
        limit_s = self._rests.limit_s(pool.address, now_s)
        if limit_s < self.idle_timeout_s:
            pool.drop_idle(now_s - limit_s)
        return pool.take_settled(now_s - self.settle_s)

    def reset_unheard(self, connection: UpstreamConnection, sent_s: float) -> None:
        """A request that went out on a connection that had rested was reset without a byte of an answer."""
        now_s = self.loop.time()
        rested_s = sent_s - connection.idle_since
        if now_s - sent_s < SOON_S:
            self._rests.forgotten(connection.pool.address, rested_s, now_s)
            self.on_forgotten(rested_s)

    def rest_at_most(self, limit_s: float, for_s: float) -> None:
        """Others found that servers forget idle connections: use none that rested longer, for a while."""
        self._rests.told(limit_s, for_s, self.loop.time())

    def uses(self, pool: AddressPool) -> bool:
        return self._pools.get(pool.address) is pool

    def put(self, connection: UpstreamConnection) -> None:
        """It has nothing to do. If its server is not asked any more it only burdens it."""
        if not self.uses(connection.pool):
            connection.abort()
            return
        now_s = self.loop.time()
        connection.expires_s = now_s + connection.keep_s
        connection.pool.rest(connection, now_s)

    async def _connect(self, pool: ServerPool, call: Call) -> None:
        """Danger: once begun it goes on even if the call is given up: the server counts the connection
        anyhow, and the next request can have it."""
        try:
            sock = open_socket(pool.address)
        except OSError as error:  # no descriptor, no memory: not the server's fault
            log.error("no socket: %s", error)
            call.fail(Failure.NOT_SENT)
            return
        owned = False
        try:
            notice_dead_peer(sock, self.user_timeout_s)
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.sock_connect(sock, pool.address)
            self.opened += 1
            connection = UpstreamConnection(self, pool, sock)
            owned = True  # the transport's from here on, also if this is called off
            await self.loop.create_connection(lambda: connection, sock=sock)
            self._opening.discard(cast("asyncio.Task[None]", asyncio.current_task()))  # counted by its socket
        except OSError:  # TimeoutError among them
            call.fail(Failure.CONNECT_FAILED)
            return
        finally:
            if not owned:
                sock.close()
        if not connection.clean():
            # Danger: the server has closed it again, or said something unasked. Written to it, a request
            # would count as one that may have run.
            connection.abort()
            call.fail(Failure.CONNECT_FAILED)
        elif call.done or not call.renew():
            self.put(connection)
            call.fail(Failure.NOT_SENT)
        else:
            connection.send(call)

    def _connected(self, task: asyncio.Task[None], call: Call) -> None:
        """Comes however the task ends, also if it was called off before its first step."""
        self._opening.discard(task)
        if task.cancelled():
            call.fail(Failure.NOT_SENT)
        elif (error := task.exception()) is not None:
            # Danger: the call would hang until its time-out, and nobody would know why.
            log.error("connecting failed", exc_info=error)
            call.fail(Failure.CONNECT_FAILED)

    def _sweep(self) -> None:
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)
        now_s = self.loop.time()
        for pool in list(self._pools.values()):
            for connection in [found for found in pool.idle if found.expires_s <= now_s]:
                connection.abort()
