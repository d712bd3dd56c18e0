"""One request at an emulated server with its answer, and the description of a server."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from enum import Enum
from urllib.parse import unquote

import attrs

from cloverrouter.lab.fleet.contract import subject_of
from cloverrouter.lab.fleet.engine import EngineShape
from cloverrouter.lab.fleet.judge import Judge, Run
from cloverrouter.lab.fleet.wire import Head, render

NOT_EXECUTED = ("Cypresswinch-Not-Executed", "1")
FULL = "503 Service Unavailable"
NO_DEADLINE_MS = "60000"


class State(Enum):
    """The lifecycle state of an emulated server."""

    READY = "ready"
    DRAINING = "draining"


@attrs.frozen(slots=True)
class ServerSpec:
    """One server of a service. `engine` is None for a plain application."""

    instance_id: str
    backend: str
    address: str
    zone: str
    capacity: int
    connection_limit: int
    engine: EngineShape | None = None
    tokens_per_event: int = 10
    work_ms: float = 20.0
    queue_limit: int = 8
    body_bytes: int = 800
    software: str = "v1"
    model: str = "m"
    model_version: int = 1
    early_every: int = 0
    """It answers each so-manieth long request before it has read the body; 0: none."""


@attrs.define(slots=True)
class Exchange:
    """A request, and the connection for its answer. `body` is None if it is answered before that is read."""

    head: Head
    body: bytes | None
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    keeps_alive: bool  # whether the connection stays open after the answer

    @property
    def attempt_id(self) -> str:
        """Returns the attempt id of the request."""
        return self.head.get("Cypresswinch-Attempt-Id")

    @property
    def deadline_s(self) -> float:
        """Returns how long the client will wait, from the request's arrival."""
        return float(self.head.get("Cypresswinch-Deadline-Ms", NO_DEADLINE_MS)) / 1000

    @property
    def caller_disconnected(self) -> bool:
        """Returns whether the caller closed the connection."""
        return self.reader.at_eof() or self.writer.transport.is_closing()

    def connection_header(self) -> list[tuple[str, str]]:
        """Returns the header that announces the end of the connection, if any."""
        return [] if self.keeps_alive else [("Connection", "close")]

    async def reply(self, status: str, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        """Sends a complete answer with a Content-Length."""
        lines = [*headers, ("Content-Length", str(len(body))), *self.connection_header()]
        self.writer.write(render(f"HTTP/1.1 {status}", lines, body))
        await self.writer.drain()

    async def refuse(self, status: str) -> None:
        """Sends an answer that says that the request was not executed."""
        await self.reply(status, [("Cypresswinch-Attempt-Id", self.attempt_id), NOT_EXECUTED])


class RunRecorder:
    """Creates a server's runs, each with a unique signature, and reports them to the judge.

    `clock` returns seconds.
    """

    def __init__(self, spec: ServerSpec, judge: Judge, clock: Callable[[], float], seed: int) -> None:
        self.spec = spec
        self.clock = clock
        self.random = random.Random(f"{seed} {spec.instance_id}")
        self._judge = judge
        self._count = 0

    def start_run(self, exchange: Exchange, total_events: int = 0) -> Run:
        """Records the start of a run of this request."""
        self._count += 1
        method, path, _ = exchange.head.first
        run = Run(
            attempt_id=exchange.attempt_id,
            instance=self.spec.instance_id,
            backend=self.spec.backend,
            signature=f"{self.spec.instance_id}.{self._count:x}.{self.random.getrandbits(32):08x}",
            tenant=unquote(exchange.head.get("Cypresswinch-Tenant")),
            subject="" if exchange.body is None else subject_of(method, path, exchange.body),
            started_at=self.clock(),
            carried_api_key=exchange.head.has("Authorization"),
            total_events=total_events,
        )
        self._judge.run_started(run)
        return run

    def check_late_body(self, exchange: Exchange, body: bytes) -> None:
        """Reports the body that was read after the answer."""
        method, path, _ = exchange.head.first
        subject = subject_of(method, path, body)
        self._judge.body_read_late(exchange.attempt_id, self.spec.instance_id, subject)

    def headers(self, run: Run) -> list[tuple[str, str]]:
        """Returns the headers of this run's answer."""
        return [
            ("Cypresswinch-Attempt-Id", run.attempt_id),
            ("Cypresswinch-Server-Signature", run.signature),
            ("Versions", str(self.spec.model_version)),
        ]
