"""The HTTP/1.1 client: pools of connections to servers, with one request at a time on a connection.

The client never sends a request twice. A failed request is reported as "may have been executed" unless
nothing of it was handed to the kernel.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from cloverrouter.http.body import Blocks
from cloverrouter.http.call import Call, CallListener, Failure
from cloverrouter.http.fields import Headers
from cloverrouter.http.idle import IdlePool, close_longest_idle
from cloverrouter.http.reuse import IMMEDIATE_RESET_S, ReuseLimits
from cloverrouter.http.sockets import READ_BYTES, open_socket, set_user_timeout
from cloverrouter.http.upstream import AddressPool, UpstreamConnection

__all__ = ["Address", "Call", "CallListener", "ConnectionPool", "Failure", "Headers"]

Address = tuple[str, int]
SWEEP_INTERVAL_S = 0.5  # between two checks for expired idle connections
SETTLE_S = 0.005
USER_TIMEOUT_S = 3.0
log = logging.getLogger(__name__)


class ServerPool(IdlePool[UpstreamConnection]):
    """The connections to one address."""

    def __init__(self, address: Address) -> None:
        super().__init__()
        self.address = address
        self.busy = 0  # calls in flight, including those that wait for a connection


class ConnectionPool:
    """All connections to servers, within one limit on sockets.

    `settle_s`: a connection is not reused until it has been idle for this long, because surplus data after a
    response (a second copy, noise) may arrive in a separate read. `user_timeout_s`: the connection breaks if
    the peer acknowledges no data for this long (TCP_USER_TIMEOUT).
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
        self.opened = 0  # connections established so far
        self.connections: set[UpstreamConnection] = set()  # those with an open socket
        self._opening: set[asyncio.Task[None]] = set()
        self._pools: dict[Address, ServerPool] = {}
        self._reuse_limits: ReuseLimits[Address] = ReuseLimits()
        self.on_idle_reset: Callable[[float], None] = lambda idle_s: None
        """Called when a reused connection was reset at once, with the seconds that it had been idle."""
        self._sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def send(
        self,
        address: Address,
        message: bytes,
        listener: CallListener,
        expected_id: bytes = b"",
        id_header: bytes = b"",
        refresh: Callable[[], bytes | None] | None = None,
        body: Blocks = (),
    ) -> Call:
        """Starts a call that sends `message` and then `body`.

        Of the listener's methods only `on_written` can be called before this returns.

        With `expected_id`, a response whose header `id_header` has another value, or none, fails the call
        with `SPOILT`. `refresh` is called when a newly opened connection is established, before the first
        byte is sent. It returns the current message; if it returns None, nothing is sent and the call fails
        with `NOT_SENT`.
        """
        call = Call(message, listener, expected_id, id_header, refresh, body)
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ServerPool(address)
        call.count_in(pool)
        connection = self._take_idle(pool)
        if connection is not None:
            call.reused = True
            connection.send(call)
        elif self.open >= self.max_connections and not close_longest_idle(self._pools.values()):
            self.loop.call_soon(call.fail, Failure.NOT_SENT)
        else:
            task = self.loop.create_task(self._connect(pool, call))
            self._opening.add(task)
            task.add_done_callback(lambda task: self._connect_finished(task, call))
        return call

    def keep_only(self, addresses: set[Address]) -> None:
        """Drops all addresses that are not in `addresses`, as `drop` does."""
        for address in [address for address in self._pools if address not in addresses]:
            self.drop(address)

    def drop(self, address: Address) -> None:
        """Closes the idle connections to `address`; busy ones are closed after their responses."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.drop_idle()
            self._reuse_limits.forget(address)

    def idle(self, address: Address) -> int:
        """The number of idle connections to `address`."""
        pool = self._pools.get(address)
        return len(pool.idle) if pool is not None else 0

    def busy(self, address: Address) -> int:
        """The number of calls in flight to `address`, including those that wait for a connection."""
        pool = self._pools.get(address)
        return pool.busy if pool is not None else 0

    @property
    def open(self) -> int:
        """The number of sockets open or being opened.

        Derived from the collections: a separate counter would drift with each way to end a connection that
        fails to update it.
        """
        return len(self.connections) + len(self._opening)

    def close(self) -> None:
        """Closes all connections at once; calls end as if their connections had broken."""
        self._sweeper.cancel()
        for task in self._opening:
            task.cancel()
        for connection in list(self.connections):
            connection.close_with_failure()

    # Connections

    def _take_idle(self, pool: ServerPool) -> UpstreamConnection | None:
        """Returns an idle connection that may be reused, if there is one."""
        now_s = self.loop.time()
        limit_s = self._reuse_limits.limit_s(pool.address, now_s)
        if limit_s < self.idle_timeout_s:
            pool.drop_idle(now_s - limit_s)
        return pool.take_settled(now_s - self.settle_s)

    def on_early_reset(self, connection: UpstreamConnection, sent_s: float) -> None:
        """Handles the reset of a reused connection before any byte of the response.

        A reset within `IMMEDIATE_RESET_S` of sending at `sent_s` means that the server had dropped the idle
        connection.
        """
        now_s = self.loop.time()
        idle_s = sent_s - connection.idle_since
        if now_s - sent_s < IMMEDIATE_RESET_S:
            self._reuse_limits.record_reset(connection.pool.address, idle_s, now_s)
            self.on_idle_reset(idle_s)

    def limit_reuse(self, limit_s: float, for_s: float) -> None:
        """Limits the idle time of reused connections to `limit_s` for `for_s`, as found by other nodes."""
        self._reuse_limits.apply_shared_limit(limit_s, for_s, self.loop.time())

    def is_current(self, pool: AddressPool) -> bool:
        """Whether `pool` still serves its address, that is, has not been dropped."""
        return self._pools.get(pool.address) is pool

    def put(self, connection: UpstreamConnection) -> None:
        """Makes a connection available for reuse, or closes it if its address was dropped."""
        if not self.is_current(connection.pool):
            connection.abort()
            return
        now_s = self.loop.time()
        connection.expires_s = now_s + connection.max_idle_s
        connection.pool.add_idle(connection, now_s)

    async def _connect(self, pool: ServerPool, call: Call) -> None:
        """Opens a connection and sends the call on it.

        Connecting continues when the call is cancelled: the server has to accept the connection in any case,
        and the next request can use it.
        """
        try:
            sock = open_socket(pool.address)
        except OSError as error:  # a local shortage of descriptors or memory, not a server failure
            log.error("cannot create a socket: %s", error)
            call.fail(Failure.NOT_SENT)
            return
        owned = False
        try:
            set_user_timeout(sock, self.user_timeout_s)
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.sock_connect(sock, pool.address)
            self.opened += 1
            connection = UpstreamConnection(self, pool, sock)
            owned = True  # by the transport from here on, even if this task is cancelled
            await self.loop.create_connection(lambda: connection, sock=sock)
            # The connection is counted in `connections` from here on.
            self._opening.discard(cast("asyncio.Task[None]", asyncio.current_task()))
        except OSError:  # includes TimeoutError
            call.fail(Failure.CONNECT_FAILED)
            return
        finally:
            if not owned:
                sock.close()
        if not connection.clean():
            # The server has already closed the connection or sent unsolicited data. A request written to it
            # would have to count as possibly executed.
            connection.abort()
            call.fail(Failure.CONNECT_FAILED)
        elif call.done or not call.refresh_message():
            self.put(connection)
            call.fail(Failure.NOT_SENT)
        else:
            connection.send(call)

    def _connect_finished(self, task: asyncio.Task[None], call: Call) -> None:
        """Cleans up after a connect task, also one that was cancelled before it first ran."""
        self._opening.discard(task)
        if task.cancelled():
            call.fail(Failure.NOT_SENT)
        elif (error := task.exception()) is not None:
            # Without this the call would hang until its timeout, with no error logged.
            log.error("unexpected error while connecting to a server", exc_info=error)
            call.fail(Failure.BROKEN if call.begun else Failure.CONNECT_FAILED)

    def _sweep(self) -> None:
        """Closes expired idle connections, every `SWEEP_INTERVAL_S` seconds."""
        self._sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now_s = self.loop.time()
        for pool in list(self._pools.values()):
            for connection in [found for found in pool.idle if found.expires_s <= now_s]:
                connection.abort()
