"""An emulated server that implements the server's side of the contract on a loopback address."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Callable

from cloverrouter.lab.fleet.exchange import Exchange, RunRecorder, ServerSpec, State
from cloverrouter.lab.fleet.judge import Judge
from cloverrouter.lab.fleet.wire import HEAD_LIMIT_BYTES, Head, WireError, read_body, read_head
from cloverrouter.lab.fleet.work import Application, Generation

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
LONG_REQUEST_BYTES = 1_000_000
SMALL_RECEIVE_BUFFER_BYTES = 4096
"""Of a server that answers early: so a part of a long request is unsent when its answer comes."""
EARLY_READ_DELAY_S = 0.2


class ModelServer:
    """One incarnation of a server. Reports each run to the judge; `clock` returns seconds."""

    def __init__(self, spec: ServerSpec, judge: Judge, clock: Callable[[], float], seed: int) -> None:
        self.spec = spec
        self.clock = clock
        self.state = State.READY
        self._recorder = RunRecorder(spec, judge, clock, seed)
        self._work: Application | Generation = (
            Application(self._recorder) if spec.engine is None else Generation(self._recorder, spec.engine)
        )
        self._connections: set[asyncio.StreamWriter] = set()
        self._long_requests = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening. Raises OSError if the address is taken."""
        host, _, port = self.spec.address.rpartition(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.spec.early_every:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        try:
            listener.bind((host, int(port)))
            self._server = await asyncio.start_server(self._serve, sock=listener, limit=HEAD_LIMIT_BYTES)
        except OSError:
            listener.close()
            raise

    def drain(self) -> None:
        """Starts draining: answers carry `Connection: close`, and the health check returns 503."""
        self.state = State.DRAINING

    def abort(self) -> None:
        """Stops at once: closes the listener and resets all connections."""
        if self._server is not None:
            self._server.close()
        if isinstance(self._work, Generation):
            self._work.stop()
        for writer in list(self._connections):
            _reset(writer)

    @property
    def active_requests(self) -> int:
        """Returns the number of requests in progress."""
        return self._work.request_count if isinstance(self._work, Application) else self._work.engine.active

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= self.spec.connection_limit:
            _reset(writer)
            return
        self._connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                is_early = self._is_answered_early(head)
                body = None if is_early else await read_body(reader, head, is_answer=False)
                keeps_alive = not head.closes and self.state is State.READY
                exchange = Exchange(head, body, reader, writer, keeps_alive)
                await self._answer(exchange)
                if is_early:
                    await self._read_late(exchange)
                if not keeps_alive:
                    break
        except (WireError, OSError):
            pass  # the peer closed the connection, or does not speak HTTP
        finally:
            self._connections.discard(writer)
            writer.close()

    def _is_answered_early(self, head: Head) -> bool:
        if not self.spec.early_every or int(head.get("Content-Length", "0")) < LONG_REQUEST_BYTES:
            return False
        self._long_requests += 1
        return self._long_requests % self.spec.early_every == 0

    async def _read_late(self, exchange: Exchange) -> None:
        """Reads the body of a request that was answered before; raises WireError if the connection ends."""
        await asyncio.sleep(EARLY_READ_DELAY_S)
        body = await read_body(exchange.reader, exchange.head, is_answer=False)
        self._recorder.check_late_body(exchange, body)

    async def _answer(self, exchange: Exchange) -> None:
        method, path, _ = exchange.head.first
        if method == "GET" and path == "/health":
            await self._send_health(exchange)
        elif method == "GET" and path == "/-/report":
            await self._send_report(exchange)
        elif (refusal := self._refusal(exchange.head)) is not None:
            await exchange.refuse(refusal)
        else:
            await self._work.serve(exchange)

    def _refusal(self, head: Head) -> str | None:
        """Returns the status line of a request that must not be executed, or None."""
        if not head.get("Cypresswinch-Attempt-Id"):
            return "400 Bad Request"
        if head.get("Cypresswinch-Expected-Instance", self.spec.instance_id) != self.spec.instance_id:
            return "421 Misdirected Request"
        if head.get("Expect-Version", str(self.spec.model_version)) != str(self.spec.model_version):
            return "421 Misdirected Request"
        return None

    async def _send_health(self, exchange: Exchange) -> None:
        status = "200 OK" if self.state is State.READY else "503 Service Unavailable"
        await exchange.reply(status, [("Cypresswinch-Instance-Id", self.spec.instance_id)])

    async def _send_report(self, exchange: Exchange) -> None:
        engine = self._work.engine if isinstance(self._work, Generation) else None
        report = {
            "phase": "bidirectional",
            "model-list": models(self.spec),
            "utilization": False,
            "sequence-number": 0,
            "queued-requests": engine.queued if engine is not None else 0,
            "active-requests": self.active_requests,
            "kv-cache-used": engine.pinned_tokens if engine is not None else 0,
            "kv-cache-capacity": engine.shape.kv_cache_tokens if engine is not None else 0,
            "cache-handles": 0,
        }
        await exchange.reply("200 OK", [("Content-Type", "application/json")], json.dumps(report).encode())


def models(spec: ServerSpec) -> list[dict[str, object]]:
    """Returns the loaded models, as in reports and registrations."""
    if spec.engine is None:
        return []
    return [{"name": spec.model, "version": spec.model_version, "lora-adapters": []}]


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
