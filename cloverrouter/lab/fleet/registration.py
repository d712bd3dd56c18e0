"""Registration of an emulated server: heartbeats to any node, and deregistration."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any

from cloverrouter.lab.fleet.exchange import ServerSpec, State
from cloverrouter.lab.fleet.judge import Judge
from cloverrouter.lab.fleet.model_server import ModelServer, models
from cloverrouter.lab.fleet.wire import WireError, call

CALL_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.1


async def start_server(
    spec: ServerSpec,
    control_planes: Sequence[str],
    heartbeat_s: float,
    judge: Judge,
    clock: Callable[[], float],
    seed: int,
) -> Registration:
    """Starts an emulated server and its registration. Raises OSError if its address is taken."""
    server = ModelServer(spec, judge, clock, seed)
    await server.start()
    registration = Registration(server, control_planes, heartbeat_s, judge, seed)
    registration.start()
    return registration


class Departure(Enum):
    """How a server says that it leaves."""

    DRAIN = "draining"
    DELETE = "DELETE"  # at once, without having said that it is draining


class Registration:
    """Sends the heartbeats of one server, from `start` until `leave` or `stop`."""

    def __init__(
        self, server: ModelServer, control_planes: Sequence[str], heartbeat_s: float, judge: Judge, seed: int
    ) -> None:
        self.server = server
        self._control_planes = list(control_planes)
        self._heartbeat_s = heartbeat_s
        self._judge = judge
        self._random = random.Random(f"{seed} {server.spec.instance_id}")
        self._sequence = 0
        self._endpoint: str | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the heartbeats."""
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    def stop(self) -> None:
        """Stops the heartbeats without deregistration, as in a crash."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()

    async def leave(self, drain_timeout_s: float) -> bool:
        """Drains the server, serves on for a while and deregisters it.

        Returns whether the drain was acknowledged.
        """
        acknowledged = await self.depart(Departure.DRAIN, within_s=2 * drain_timeout_s)
        await asyncio.sleep(drain_timeout_s * self._random.uniform(1.1, 1.4))
        await self._send("DELETE", self._path, None, within_s=drain_timeout_s)
        self.server.abort()
        return acknowledged

    async def depart(self, how: Departure, within_s: float) -> bool:
        """Says that the server leaves, and lets it serve on. Returns whether that was acknowledged."""
        self.stop()
        if how is Departure.DELETE:
            acknowledged = await self._send("DELETE", self._path, None, within_s)
        else:
            self.server.drain()
            acknowledged = await self._announce(within_s)
        if acknowledged:
            self._judge.draining_acknowledged(self.server.spec.instance_id, self.server.clock())
        return acknowledged

    @property
    def _path(self) -> str:
        return f"/-/instances/{self.server.spec.instance_id}"

    def announcement(self) -> dict[str, Any]:
        """Returns the body of the next heartbeat."""
        self._sequence += 1
        spec = self.server.spec
        return {
            "backend": spec.backend,
            "address": spec.address,
            "availability-zone": spec.zone,
            "version": spec.software,
            "capacity": spec.capacity,
            "lifecycle-state": "draining" if self.server.state is State.DRAINING else "ready",
            "warmup-remaining-ms": 0,
            "phase": "bidirectional",
            "model-list": models(spec),
            "sequence-number": self._sequence,
        }

    async def _send_heartbeats(self) -> None:
        while True:
            await self._announce(within_s=self._heartbeat_s)
            await asyncio.sleep(self._heartbeat_s * self._random.uniform(0.9, 1.1))

    async def _announce(self, within_s: float) -> bool:
        return await self._send("PUT", self._path, self.announcement(), within_s)

    async def _send(self, method: str, path: str, body: Any, within_s: float) -> bool:
        """Repeats a call at one node after the other until one acknowledges it or the time is up."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within_s
        while True:
            address = self._endpoint or self._random.choice(self._control_planes)
            self._endpoint = None
            with contextlib.suppress(OSError, WireError, TimeoutError):
                answer = await call(address, method, path, body, timeout_s=CALL_TIMEOUT_S)
                if 200 <= answer.status < 300:
                    self._endpoint = _endpoint(answer.body and answer.json())
                    return True
            if loop.time() >= deadline:
                return False
            await asyncio.sleep(RETRY_PAUSE_S)


def _endpoint(answer_body: Any) -> str | None:
    endpoint = answer_body.get("heartbeat-endpoint") if isinstance(answer_body, dict) else None
    return endpoint if isinstance(endpoint, str) and ":" in endpoint else None
