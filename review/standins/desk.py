"""A plain application server as PROTOCOL.md describes one: it registers, runs requests, and leaves.

It runs only requests whose `Cypresswinch-Expected-Instance` is its own id or absent, and answers others with
421.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections.abc import Callable

from standins import http
from standins.nodes import HEARTBEAT_MS

Address = tuple[str, int]
LONG_BYTES = 1_000_000
PIECE_BYTES = 64 * 1024
SMALL_BUFFER_BYTES = 4096
READ_ON_AFTER_S = 0.2
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
        self.early_every = 0
        self.small_buffers = False
        self._long_requests = 0
        self.runs: list[tuple[float, str]] = []
        self._controls = controls
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        listener = socket.socket()
        if self.small_buffers:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        listener.bind((self.address[0], 0))
        limit = SMALL_BUFFER_BYTES if self.small_buffers else PIECE_BYTES
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=limit)
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
            while (head := await http.read_head(reader)) is not None:
                unread = 0
                if self._answers_early(head[1]):
                    unread = int(head[1]["content-length"])
                else:
                    await http.read_body(reader, head[1])
                writer.write(await self._answer(*head))
                await writer.drain()
                if unread:
                    self.note(
                        "answered-early", attempt=head[1].get("cypresswinch-attempt-id", ""), unread=unread
                    )
                    await self._read_on(reader, unread)
        self._writers.discard(writer)
        writer.close()

    def _answers_early(self, headers: dict[str, str]) -> bool:
        """Returns whether to answer this request before the rest of its body is in: one in `early_every`."""
        if not self.early_every or int(headers.get("content-length", "0")) < LONG_BYTES:
            return False
        self._long_requests += 1
        return self._long_requests % self.early_every == self.early_every // 2

    async def _read_on(self, reader: asyncio.StreamReader, unread: int) -> None:
        """Reads the rest of a body after its answer, and keeps the connection."""
        await asyncio.sleep(READ_ON_AFTER_S)
        while unread:
            data = await reader.read(min(unread, PIECE_BYTES))
            if not data:
                raise http.BrokenOff("inside a body")
            unread -= len(data)

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
        return http.message(
            "HTTP/1.1 200 OK", {**reply, "Cypresswinch-Server-Signature": f"s-{attempt}"}, b"done"
        )
