"""One process of the system: assembles its parts, runs their clock, and starts and stops them."""

from __future__ import annotations

import asyncio
import logging
import math
import os
from random import Random

from cloverrouter.daemon import settings as settings_file
from cloverrouter.daemon.control_plane import ControlPlane
from cloverrouter.daemon.drain import drain_requests
from cloverrouter.daemon.errors import SettingsError
from cloverrouter.daemon.listening import listen_when_free
from cloverrouter.daemon.logs import Log
from cloverrouter.daemon.settings import Address, Settings
from cloverrouter.daemon.signals import PlatformSignals
from cloverrouter.daemon.traffic import Traffic
from cloverrouter.http.exchange import Exchange
from cloverrouter.http.memory import MemoryBudget, budget_bytes
from cloverrouter.http.server import Server, ServerLimits

TICK_S = 0.05
END_MARGIN_S = 0.7  # before the platform kills the process
CONTROL_CONNECTIONS = 512
READINESS_CONNECTIONS = 64
MAX_CONTROL_BODY_BYTES = 4 * 1024 * 1024

log = logging.getLogger(__name__)


def _max_client_connections(settings: Settings) -> int:
    """Returns how many connections of clients the process keeps; servers need as many descriptors."""
    return max(64, settings.file_descriptors // 2 - CONTROL_CONNECTIONS)


class Node:
    """Runs the process until `signals` reports a stop request.

    `path` is the settings file, which is read again on reload.
    """

    def __init__(self, settings: Settings, path: str, signals: PlatformSignals) -> None:
        self._settings = settings
        self._path = path
        self._signals = signals
        self._loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        self._stop_deadline = math.inf
        self._signals_polled_at = signals.handling_since_s
        self._log = Log(settings.log_level, settings.name)
        self._random = Random(int.from_bytes(os.urandom(8), "big"))
        self._traffic = Traffic(settings, self._random, self._log)
        self._control = ControlPlane(settings, self._random, self._traffic, self._log)
        connections = _max_client_connections(settings) + CONTROL_CONNECTIONS + READINESS_CONNECTIONS
        self._budget = MemoryBudget(budget_bytes(settings.memory_mb, connections))
        self._servers: list[Server] = []
        self._frontend: Server | None = None

    async def run(self) -> int:
        """Runs until stopped and drained; returns the exit code."""
        await self._control.open()
        if not self._signals.stop_requested:
            await self._listen()
        self._tick()
        self._log.change("started", ip=self._settings.ip, replica=self._settings.is_replica)
        await self._stopping.wait()
        await self._drain()
        for server in self._servers:
            server.close()
        await self._control.close()
        return 0

    def stop(self) -> None:
        """Begins to stop (SIGTERM): the process is not ready from now on. A second call has no effect.

        The platform counts the grace period from the signal, which may have arrived at any time since the
        last poll for signals: long ago if the process was frozen in between.
        """
        if self._stopping.is_set():
            return
        self._stop_deadline = self._signals_polled_at + self._settings.bounds.grace_period_s - END_MARGIN_S
        self._traffic.router.begin_shutdown(self._stop_deadline)
        self._stopping.set()

    def reload(self) -> None:
        """Reloads the settings file (SIGHUP) and applies its seeds. An invalid file is logged and ignored."""
        try:
            new_settings = settings_file.read(self._path)
        except SettingsError as error:
            self._log.error("settings-refused", findings=list(error.findings))
            return
        self._control.seeds_changed(new_settings.seeds)

    async def _listen(self) -> None:
        settings = self._settings
        max_client_connections = _max_client_connections(settings)
        if settings.readiness is not None:
            await self._serve(settings.readiness, self._readiness, READINESS_CONNECTIONS)
        if settings.control is not None:
            await self._serve(settings.control, self._control.handle_call, CONTROL_CONNECTIONS)
        if settings.frontend is not None:
            self._frontend = await self._serve(
                settings.frontend, self._traffic.router.handle, max_client_connections
            )
            self._frontend.limits.provisional = True
            self._traffic.serve_clients(self._frontend)

    async def _serve(self, address: Address, handle: object, connections: int) -> Server:
        limits = ServerLimits(max_connections=connections, body_bytes=MAX_CONTROL_BODY_BYTES)
        server = Server(handle, limits, self._budget)  # type: ignore[arg-type]
        await listen_when_free(lambda: server.listen(*address), self._address_taken, asyncio.sleep)
        self._servers.append(server)
        return server

    def _address_taken(self, error: OSError) -> None:
        self._log.error("address-taken", error=str(error))

    def _readiness(self, exchange: Exchange) -> None:
        ready = self._traffic.router.ready()
        body = b"ready\n" if ready else b"not ready\n"
        exchange.respond(200 if ready else 503, [], body)

    def _tick(self) -> None:
        try:
            now = self._loop.time()
            self._poll_signals()
            self._signals_polled_at = now  # later signals are seen by the next poll
            self._control.tick(now)
        finally:  # the loop logs an error of one tick; it must not stop the clock of all cores
            self._loop.call_later(TICK_S, self._tick)

    def _poll_signals(self) -> None:
        """Handles the signals received since the last tick."""
        if self._signals.consume_reload_request():
            self.reload()
        if self._signals.stop_requested:
            self.stop()

    async def _drain(self) -> None:
        """Finishes the accepted requests within the grace period."""
        router, frontend = self._traffic.router, self._frontend
        self._log.change("draining", in_flight=router.in_flight)
        self._control.resign()
        if frontend is not None:
            frontend.drain()
        await drain_requests(router, self._is_busy, self._stop_deadline, self._loop.time, asyncio.sleep)

    def _is_busy(self) -> bool:
        frontend = self._frontend
        has_clients = frontend is not None and (frontend.open_exchanges > 0 or frontend.connections > 0)
        return has_clients or self._control.pending_calls > 0 or not self._control.may_end
