"""The platform's load balancer: probes the readiness of each node, and assigns clients' connections."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Sequence

import attrs

from cloverrouter.lab.fleet.polling import Poller
from cloverrouter.lab.fleet.wire import WireError, call

CHECK_INTERVAL_S = 1.0
FAILED_CHECKS_LIMIT = 2


@attrs.define(slots=True)
class NodeEndpoint:
    """One node as seen by the platform."""

    name: str
    zone: str
    frontend: str
    readiness: str
    is_ready: bool = False
    failed_checks: int = 0


class Platform:
    """Selects a ready node for each new connection."""

    def __init__(
        self, endpoints: Sequence[NodeEndpoint], seed: int, check_interval_s: float = CHECK_INTERVAL_S
    ) -> None:
        self.endpoints = list(endpoints)
        self._changed = asyncio.Event()
        self._random = random.Random(seed)
        self._poller = Poller(self.endpoints, self._check_readiness, check_interval_s)

    def start(self) -> None:
        """Starts the readiness checks."""
        self._poller.start()

    def stop(self) -> None:
        """Stops the readiness checks."""
        self._poller.stop()

    @property
    def ready_count(self) -> int:
        """Returns the number of ready nodes."""
        return sum(endpoint.is_ready for endpoint in self.endpoints)

    async def wait_until_ready(self, count: int) -> None:
        """Waits until at least `count` nodes are ready."""
        while self.ready_count < count:
            self._changed.clear()
            await self._changed.wait()

    def frontend(self, zone: str) -> str:
        """Returns the frontend for a new connection from this zone."""
        own = [endpoint for endpoint in self.endpoints if endpoint.zone == zone]
        choice = self._eligible(own) or self._eligible(self.endpoints) or self.endpoints
        return self._random.choice(choice).frontend

    @staticmethod
    def _eligible(endpoints: Sequence[NodeEndpoint]) -> list[NodeEndpoint]:
        """Returns the ready nodes; all nodes if fewer than half are ready; none if none is ready."""
        ready_endpoints = [endpoint for endpoint in endpoints if endpoint.is_ready]
        return (
            list(endpoints)
            if ready_endpoints and 2 * len(ready_endpoints) < len(endpoints)
            else ready_endpoints
        )

    async def _check_readiness(self, endpoint: NodeEndpoint) -> None:
        ok = False
        with contextlib.suppress(OSError, WireError, TimeoutError):
            ok = (
                await call(endpoint.readiness, "GET", "/-/readiness", timeout_s=CHECK_INTERVAL_S)
            ).status == 200
        endpoint.failed_checks = 0 if ok else endpoint.failed_checks + 1
        self._changed.set()
        if ok:
            endpoint.is_ready = True
        elif endpoint.failed_checks >= FAILED_CHECKS_LIMIT:
            endpoint.is_ready = False
