"""One node with low limits and a server behind it, for crowds of clients that do not behave."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from cloverrouter.lab.fleet import deployment, nodes, wire
from tests.crowd_members import (
    SETTLED_CHECKS,
    Address,
    Crowd,
    allow_descriptors,
    descriptors,
    peak_kib,
    settle,
)

MEMORY_MB = 96
DESCRIPTORS = 1400
BODY_LIMIT_BYTES = 4 * 1024 * 1024
HOST = "crowd.example"
SERVICE, EMPTY_SERVICE = "desk", "empty"
KEYED_PATH, EMPTY_PATH = "/keyed/", "/empty/"
READY_WITHIN_S = 30.0
ANSWERED_WITHIN_S = 60.0
EVENT = b"id: 1\ndata: " + b"x" * 16_000 + b"\n\n"


class StandIn:
    """A server that answers by path: `/size/N` with N bytes, `/stream` without end, `/wait` never."""

    def __init__(self, address: str, control: str, zone: str) -> None:
        self._address, self._control, self._zone = address, control, zone
        self._tasks: list[asyncio.Task[None]] = []
        self._connections: set[asyncio.StreamWriter] = set()
        self.received_bytes = 0  # of the latest request's body

    async def start(self) -> None:
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._tasks.append(asyncio.create_task(self._register()))

    async def _register(self) -> None:
        for number in itertools.count(1):
            body = {
                "backend": SERVICE,
                "address": self._address,
                "availability-zone": self._zone,
                "version": "v1",
                "capacity": 2000,
                "lifecycle-state": "ready",
                "warmup-remaining-ms": 0,
                "sequence-number": number,
            }
            with contextlib.suppress(OSError, wire.WireError, TimeoutError):
                await wire.call(self._control, "PUT", "/-/instances/i-desk", body)
            await asyncio.sleep(0.3)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        with contextlib.suppress(OSError, wire.WireError, asyncio.CancelledError):
            while (head := await wire.read_head(reader)) is not None:
                size = 0
                async for part in wire.body_parts(reader, head, is_answer=False):
                    size += len(part)
                self.received_bytes = size
                await self._answer(head, writer)
        self._connections.discard(writer)
        writer.close()

    async def _answer(self, head: wire.Head, writer: asyncio.StreamWriter) -> None:
        attempt, path = head.get("Cypresswinch-Attempt-Id"), head.first[1]
        fields = [("Cypresswinch-Attempt-Id", attempt), ("Cypresswinch-Server-Signature", "s")]
        if path.startswith("/wait"):
            await asyncio.sleep(ANSWERED_WITHIN_S)
        if path.startswith("/stream"):
            fields += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
            writer.write(wire.render("HTTP/1.1 200 OK", fields))
            while True:
                writer.write(wire.render_chunk(EVENT))
                await writer.drain()
        body = b"x" * int(path.split("/")[2]) if path.startswith("/size/") else b"done"
        fields.append(("Content-Length", str(len(body))))
        writer.write(wire.render("HTTP/1.1 200 OK", fields, body))
        await writer.drain()

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()


class LowNode(nodes.Node):
    """A node whose settings have low limits."""

    limits: dict[str, float] = {}  # noqa: RUF012

    def write_settings(self, bootstrap: bool = False, seeds: Any = ()) -> None:
        table = nodes.settings(self.spec, self._fleet, self._folder, bootstrap)
        table["limits"] = {**table["limits"], **self.limits}
        self.settings_path.write_text(nodes.toml(table))


class CrowdNode:
    """The node under test, and what must hold of it."""

    def __init__(self, node: LowNode, stand_in: StandIn, memory_mb: int) -> None:
        self.node, self.stand_in = node, stand_in
        self.max_kib = memory_mb * 1_000_000 // 1024
        self.frontend = address_of(node.spec.frontend)
        self.readiness = address_of(node.spec.readiness)
        self.control = address_of(node.spec.control_plane)

    async def ask(self, path: str = "/ordinary", body: bytes = b"{}", **fields: str) -> int:
        """Sends one request on a connection of its own; returns the status."""
        head = request_head("POST", path, **({"Content-Length": str(len(body))} | fields))
        return await self.send(head + body)

    async def send(self, message: bytes) -> int:
        """Sends the bytes of one request; returns the status of its answer."""
        reader, writer = await wire.connect(self.node.spec.frontend)
        try:
            writer.write(message)
            head = await wire.read_head(reader)
            if head is None:
                raise wire.ConnectionCut("no answer")
            await wire.read_body(reader, head, is_answer=True)
            return head.status
        finally:
            writer.transport.abort()

    async def ask_until_answered(self) -> int:
        """Sends one ordinary request as callers do: again after 503, or after a closed connection."""
        status = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWERED_WITHIN_S):
                while status != 200:
                    with contextlib.suppress(OSError, wire.WireError):
                        status = await self.ask()
                    await asyncio.sleep(0.05)
        return status

    async def face(self, *crowds: Crowd, settled_checks: int = SETTLED_CHECKS) -> None:
        """Lets the crowds send at once; checks the process, its bounds, and that it serves a request."""
        sending = asyncio.gather(*(crowd.send() for crowd in crowds))
        most_descriptors = 0
        while not sending.done():
            most_descriptors = max(most_descriptors, descriptors(self.node.pid or 0))
            self.node.check()
            await asyncio.sleep(0.1)
        await sending
        await settle(self.node.pid or 0, settled_checks)
        status = await self.ask_until_answered()
        self.node.check()
        peak = peak_kib(self.node.pid or 0)
        for crowd in crowds:
            await crowd.close()
        print(f"peak {peak} KiB of {self.max_kib}, {most_descriptors} descriptors")
        assert peak <= self.max_kib, f"{peak} KiB"
        assert most_descriptors <= DESCRIPTORS
        assert status == 200


def address_of(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def request_head(method: str, path: str, **fields: str) -> bytes:
    """Returns the head of a request; underscores in the names of fields stand for hyphens."""
    all_fields = {"Host": HOST, "Cypresswinch-Attempt-Id": "a-1", **fields}
    lines = [(name.replace("_", "-"), value) for name, value in all_fields.items()]
    return wire.render(f"{method} {path} HTTP/1.1", lines)


def configuration(body_limit_bytes: int, extra_routes: int) -> dict[str, Any]:
    """A route for all paths, one that needs a key, one without a server, and more to make it large."""
    route = {
        "name": "r",
        "hostname": HOST,
        "path-prefix": "/",
        "route-type": "non_idempotent",
        "timeout-ms": 15_000,
        "target-latency-ms": 500,
        "priority": 1,
        "backend": SERVICE,
        "attempt-limit": 1,
        "anonymous-access": True,
        "session-affinity": False,
        "stream-resumption": False,
    }
    keyed = {**route, "name": "r-keyed", "path-prefix": KEYED_PATH, "anonymous-access": False}
    empty = {**route, "name": "r-empty", "path-prefix": EMPTY_PATH, "backend": EMPTY_SERVICE}
    routes = [route, keyed, empty]
    routes += [
        {**route, "name": f"r-{n}", "path-prefix": f"/{n}-" + "p" * 200 + "/"} for n in range(extra_routes)
    ]
    backend = {
        "name": SERVICE,
        "health-check": "/health",
        "connection-limit": 2000,
        "protocol": "h1",
        "transport-security": False,
    }
    limits = {
        "header-limit-bytes": 16384,
        "body-limit-bytes": body_limit_bytes,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15_000,
    }
    backends = [backend, {**backend, "name": EMPTY_SERVICE}]
    tenant = {"name": "t", "api-keys": ["k-1"], "priority": 1, "rate-per-s": 0, "burst-size": 0}
    document = {"version": 1, "route-table": routes, "backends": backends, "limits": limits}
    return {**document, "tenants": [tenant]}


@asynccontextmanager
async def crowd_node(
    folder: Path,
    memory_mb: int = MEMORY_MB,
    body_limit_bytes: int = BODY_LIMIT_BYTES,
    extra_routes: int = 0,
    descriptors: int = DESCRIPTORS,
) -> AsyncIterator[CrowdNode]:
    """Starts a node and a server; yields them once an ordinary request is answered."""
    allow_descriptors()
    prefix = deployment.choose_loopback_prefix(1, folder)
    spec = nodes.NodeSpec("edge-1", f"{prefix}.1", deployment.ZONES[0], has_disk=True)
    fleet = nodes.FleetSettings(
        deployment.REGION,
        deployment.ZONES,
        (spec.control_plane,),
        deployment.HEARTBEAT_MS,
        0,
        deployment.BOUNDS,
        "errors",
    )
    node = LowNode(spec, fleet, folder)
    node.limits = {"memory-mb": memory_mb, "file-descriptors": descriptors}
    stand_in = StandIn(f"{prefix}.101:9000", spec.control_plane, spec.zone)
    node.start(bootstrap=True)
    try:
        await stand_in.start()
        document = json.dumps(configuration(body_limit_bytes, extra_routes)).encode()
        status = 0
        async with asyncio.timeout(READY_WITHIN_S):
            while status != 200:
                node.check()
                with contextlib.suppress(OSError, wire.WireError, TimeoutError):
                    answer = await wire.call(
                        spec.control_plane, "PUT", "/-/configuration", document, {"If-Match": "0"}, 5.0
                    )
                    status = answer.status
                    assert status != 400, answer.body
                await asyncio.sleep(0.1)
        found = CrowdNode(node, stand_in, memory_mb)
        assert await found.ask_until_answered() == 200, node.log_tail()
        yield found
    finally:
        stand_in.close()
        node.close()
