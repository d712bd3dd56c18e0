"""A proxy fleet in a single process that uses none of the fleet's own code, for tests of the lab's clients
and servers.

It keeps a configuration and a list of servers in memory and forwards each request to a random ready server of
its route. `faults` make it break a rule on purpose.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from typing import Any
from urllib.parse import quote

from cloverrouter.lab.fleet.operator import apply_patch
from cloverrouter.lab.fleet.wire import (
    HEAD_LIMIT_BYTES,
    Head,
    WireError,
    body_parts,
    connect,
    read_body,
    read_head,
    render,
    render_chunk,
)

HOP_HEADERS = {"connection", "transfer-encoding", "content-length", "authorization", "keep-alive"}
OWN_HEADERS = {"cypresswinch-tenant", "cypresswinch-expected-instance"}


class PlainProxy:
    def __init__(self, host: str, wanted_instances: int, faults: frozenset[str] = frozenset()) -> None:
        self.host = host
        self.wanted_instances = wanted_instances
        self.faults = faults
        self.configuration: dict[str, Any] = {"version": 0}
        self.instances: dict[str, dict[str, Any]] = {}
        self._servers: list[asyncio.Server] = []
        self._random = random.Random(1)

    async def start(self, frontend: int, readiness: int, control: int) -> None:
        for port, handler in ((frontend, self._forward), (readiness, self._ready), (control, self._control)):
            serve = self._serving(handler)
            server = await asyncio.start_server(serve, self.host, port, limit=HEAD_LIMIT_BYTES)
            self._servers.append(server)

    def close(self) -> None:
        for server in self._servers:
            server.close()

    def _serving(self, handler: Any) -> Any:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(WireError, OSError):
                while (head := await read_head(reader)) is not None:
                    body = await read_body(reader, head, is_answer=False)
                    await handler(head, body, writer)
                    if head.closes:
                        break
            writer.close()

        return serve

    async def _ready(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        knows_all = self.configuration["version"] and len(self.instances) >= self.wanted_instances
        _reply(writer, "200 OK" if knows_all else "503 Service Unavailable")

    async def _control(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        method, path, _ = head.first
        if path.startswith("/-/instances/"):
            self._register(method, path.rpartition("/")[2], body)
            _reply(writer, "200 OK", b"{}")
        elif method == "GET":
            _reply(writer, "200 OK", json.dumps(self.configuration).encode())
        elif int(head.get("If-Match")) != self.configuration["version"]:
            _reply(writer, "412 Precondition Failed", b"{}")
        else:
            document = json.loads(body)
            if "forgets" not in self.faults:
                self.configuration = (
                    document if method == "PUT" else apply_patch(self.configuration, document)
                )
            _reply(writer, "200 OK", b"{}")

    def _register(self, method: str, name: str, body: bytes) -> None:
        document = json.loads(body) if body else {}
        if method == "DELETE" or document.get("lifecycle-state") == "draining":
            self.instances.pop(name, None)
        else:
            self.instances[name] = document

    async def _forward(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        path, host = head.first[1], head.get("Host")
        routes = [r for r in self.configuration["route-table"] if r["hostname"] == host]
        found = max(
            (r for r in routes if path.startswith(r["path-prefix"])), key=lambda r: len(r["path-prefix"])
        )
        key = head.get("Authorization").removeprefix("Bearer ")
        tenants = [t["name"] for t in self.configuration["tenants"] if key in t["api-keys"]]
        if not tenants:
            _reply(writer, "401 Unauthorized")
            return
        backend = found["backend"]
        if "wrong-service" in self.faults:
            backend = next(b["name"] for b in self.configuration["backends"] if b["name"] != backend)
        ready = [(name, i["address"]) for name, i in self.instances.items() if i["backend"] == backend]
        times = 2 if "twice" in self.faults else 1
        for number in range(times):
            await self._send(head, body, writer, self._random.choice(ready), tenants[0], number + 1 == times)

    async def _send(
        self,
        head: Head,
        body: bytes,
        writer: asyncio.StreamWriter,
        target: tuple[str, str],
        tenant: str,
        is_last: bool,
    ) -> None:
        reader, upstream = await connect(target[1])
        headers = [(n, v) for n, v in head.headers if n.lower() not in HOP_HEADERS | OWN_HEADERS]
        headers.append(("Content-Length", str(len(body))))
        headers.append(("Cypresswinch-Expected-Instance", target[0]))
        headers.append(("Cypresswinch-Tenant", quote(tenant)))
        if "tells-key" in self.faults:
            headers.append(("Authorization", head.get("Authorization")))
        upstream.write(render(" ".join(head.first), headers, body))
        try:
            answer = await read_head(reader)
            assert answer is not None
            if is_last:
                await self._relay(answer, reader, writer)
            else:
                await read_body(reader, answer, is_answer=True)
        finally:
            upstream.close()

    async def _relay(self, answer: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        headers = [(n, v) for n, v in answer.headers if n.lower() not in HOP_HEADERS]
        headers.append(("Transfer-Encoding", "chunked"))
        if "lies" in self.faults:
            writer.write(render("HTTP/1.1 503 Busy", [("Content-Length", "0")]))
            return
        writer.write(render(" ".join(answer.first), headers))
        number = 0
        async for part in body_parts(reader, answer, is_answer=True):
            number += 1
            if "skips" not in self.faults or number != 2:
                writer.write(render_chunk(part))
                await writer.drain()
        writer.write(render_chunk(b""))


def _reply(writer: asyncio.StreamWriter, status: str, body: bytes = b"") -> None:
    writer.write(render(f"HTTP/1.1 {status}", [("Content-Length", str(len(body)))], body))
