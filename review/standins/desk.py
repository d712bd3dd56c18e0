"""A plain application server as PROTOCOL.md describes one: it registers, runs requests, and leaves.

It runs only requests whose `Cypresswinch-Expected-Instance` is its own id or absent, and answers others with
421.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from standins import http
from standins.nodes import HEARTBEAT_MS

Address = tuple[str, int]
Note = Callable[..., None]


class Desk:
    """One start of a server. `note` writes a line to the record."""

    def __init__(
        self, instance: str, service: str, ip: str, zone: str, controls: list[Address], note: Note
    ) -> None:
        self.instance, self.service, self.zone, self.note = instance, service, zone, note
        self.address: Address = (ip, 0)
        self.work_s = 0.015
        self.capacity = 6
        self.finished: set[str] = set()
        self.runs: list[tuple[float, str]] = []
        self._controls = controls
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.address[0], 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        self._beats = asyncio.create_task(self._beat())

    async def leave_by_delete(self) -> float | None:
        """Sends DELETE until it is acknowledged, without having said `draining`; returns when that was."""
        assert self._beats is not None
        self._beats.cancel()
        self._sequence += 1
        for _ in range(5):
            if await self._call("DELETE", None):
                return time.monotonic()
        return None

    def end(self) -> None:
        """Ends the server: it no longer listens, and its connections close."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _beat(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(HEARTBEAT_MS / 1000 * random.uniform(0.95, 1.05))

    async def _announce(self) -> bool:
        self._sequence += 1
        body = {
            "backend": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "availability-zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "lifecycle-state": "ready",
            "warmup-remaining-ms": 0,
            "sequence-number": self._sequence,
        }
        return await self._call("PUT", body) or await self._call("PUT", body)

    async def _call(self, method: str, body: object) -> bool:
        address = random.choice(self._controls)
        with contextlib.suppress(OSError, http.BrokenOff, TimeoutError):
            status, _ = await http.call(address, method, f"/-/instances/{self.instance}", body)
            return 200 <= status < 300
        return False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, http.BrokenOff, asyncio.CancelledError):
            while (request := await http.read_message(reader)) is not None:
                first, headers = request[0], request[1]
                del request  # its body may be large
                writer.write(await self._answer(first, headers))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, first: str, headers: dict[str, str]) -> bytes:
        attempt = headers.get("cypresswinch-attempt-id", "")
        if first.startswith("GET /health"):
            return http.message("HTTP/1.1 200 OK", {"Cypresswinch-Instance-Id": self.instance})
        reply = {"Cypresswinch-Attempt-Id": attempt}
        if headers.get("cypresswinch-expected-instance", self.instance) != self.instance:
            return http.message(
                "HTTP/1.1 421 Misdirected Request", {**reply, "Cypresswinch-Not-Executed": "1"}
            )
        self.runs.append((time.monotonic(), attempt))
        self.note("run", attempt=attempt, instance=self.instance)
        if not first.split()[1].startswith("/quick/"):
            await asyncio.sleep(self.work_s)
        self.finished.add(attempt)
        return http.message(
            "HTTP/1.1 200 OK", {**reply, "Cypresswinch-Server-Signature": f"s-{attempt}"}, b"done"
        )
