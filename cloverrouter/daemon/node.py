"""One process of the system: its parts put together, its clock, and how it comes and goes."""

from __future__ import annotations

import asyncio
import logging
import math
import os
from random import Random

from cloverrouter.daemon import settings as settings_file
from cloverrouter.daemon.control_plane import ControlPlane
from cloverrouter.daemon.drain import end_what_is_open
from cloverrouter.daemon.errors import SettingsError
from cloverrouter.daemon.listening import when_free
from cloverrouter.daemon.logs import Log
from cloverrouter.daemon.settings import Address, Settings
from cloverrouter.daemon.signals import PlatformSignals
from cloverrouter.daemon.traffic import Traffic
from cloverrouter.http.exchange import Exchange
from cloverrouter.http.server import Server, ServerLimits

TICK_S = 0.05
END_MARGIN_S = 0.7  # before the platform would kill the process
CONTROL_CONNECTIONS = 512
READINESS_CONNECTIONS = 64
MAX_CONTROL_BODY_BYTES = 4 * 1024 * 1024

log = logging.getLogger(__name__)


class Node:
    """Runs until it is told to stop. `signals` says when."""

    def __init__(self, settings: Settings, path: str, signals: PlatformSignals) -> None:
        self._settings = settings
        self._path = path
        self._signals = signals
        self._loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        self._ends_at = math.inf
        self._looked_at = signals.taken_since
        self._log = Log(settings.log_level, settings.name)
        self._random = Random(int.from_bytes(os.urandom(8), "big"))
        self._traffic = Traffic(settings, self._random, self._log)
        self._control = ControlPlane(settings, self._random, self._traffic, self._log)
        self._servers: list[Server] = []
        self._frontend: Server | None = None

    async def run(self) -> int:
        """The exit code."""
        await self._control.open()
        if not self._signals.told_to_end:
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
        """SIGTERM: not ready from now on. A second one doesn't lengthen the time that is left.

        The platform counts the grace period from the signal, which may have come at any time since the last
        look for signals: long ago where the process was frozen meanwhile.
        """
        if self._stopping.is_set():
            return
        self._ends_at = self._looked_at + self._settings.bounds.grace_period_s - END_MARGIN_S
        self._traffic.router.begin_shutdown(self._ends_at)
        self._stopping.set()

    def reload(self) -> None:
        """SIGHUP: the settings file has changed. Danger: a bad file must not cost what works."""
        try:
            found = settings_file.read(self._path)
        except SettingsError as error:
            self._log.error("settings-refused", findings=list(error.findings))
            return
        self._control.seeds_changed(found.seeds)

    async def _listen(self) -> None:
        settings = self._settings
        most = max(64, settings.file_descriptors // 2 - CONTROL_CONNECTIONS)
        if settings.readiness is not None:
            await self._serve(settings.readiness, self._readiness, READINESS_CONNECTIONS)
        if settings.control is not None:
            await self._serve(settings.control, self._control.called, CONTROL_CONNECTIONS)
        if settings.frontend is not None:
            self._frontend = await self._serve(settings.frontend, self._traffic.router.handle, most)
            self._frontend.limits.provisional = True
            self._traffic.serve_clients(self._frontend)

    async def _serve(self, address: Address, handle: object, connections: int) -> Server:
        limits = ServerLimits(max_connections=connections, body_bytes=MAX_CONTROL_BODY_BYTES)
        server = Server(handle, limits)  # type: ignore[arg-type]
        await when_free(lambda: server.listen(*address), self._address_taken, asyncio.sleep)
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
            self._take_signals()
            self._looked_at = now  # signals that came later than that are seen at the next look
            self._control.tick(now)
        finally:  # an error of one tick, which the loop logs, does not stop the clock of all cores
            self._loop.call_later(TICK_S, self._tick)

    def _take_signals(self) -> None:
        """What the platform has told since the last tick."""
        if self._signals.settings_changed():
            self.reload()
        if self._signals.told_to_end:
            self.stop()

    async def _drain(self) -> None:
        """Leave without losing what was taken, within the grace period."""
        router, frontend = self._traffic.router, self._frontend
        self._log.change("draining", in_flight=router.in_flight)
        self._control.resign()
        if frontend is not None:
            frontend.drain()
        await end_what_is_open(router, self._is_busy, self._ends_at, self._loop.time, asyncio.sleep)

    def _is_busy(self) -> bool:
        frontend = self._frontend
        has_clients = frontend is not None and (frontend.open_exchanges > 0 or frontend.connections > 0)
        return has_clients or self._control.calls_under_way > 0 or not self._control.may_end
