"""Times the calls of servers at a small fleet of real processes: registrations, heartbeats and departures.

Run as `python -m benchmarks.server_calls [CALLS] [AT_ONCE]`, on a machine that does little else.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from cloverrouter.lab.fleet import deployment
from cloverrouter.lab.fleet.nodes import Node
from cloverrouter.lab.fleet.wire import WireError, call

CALL_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 20.0


def body(number: int, sequence: int, state: str = "ready") -> dict[str, Any]:
    """Returns the body of a server's call."""
    return {
        "backend": "desk",
        "address": f"127.0.1.{number % 250}:{9000 + number // 250}",
        "availability-zone": deployment.ZONES[0],
        "version": "v1",
        "capacity": 6,
        "lifecycle-state": state,
        "warmup-remaining-ms": 0,
        "sequence-number": sequence,
    }


class Timing:
    """Sends calls to the nodes in turn, a few at once, and collects how long they take."""

    def __init__(self, nodes: list[Node], at_once: int) -> None:
        self._nodes = nodes
        self._limit = asyncio.Semaphore(at_once)

    async def one(self, number: int, method: str, content: Any) -> float:
        """Sends one call; returns its milliseconds. Raises WireError if it is not acknowledged."""
        node = self._nodes[number % len(self._nodes)]
        async with self._limit:
            started_at = time.perf_counter()
            path = f"/-/instances/i-{number}"
            answer = await call(node.spec.control_plane, method, path, content, timeout_s=CALL_TIMEOUT_S)
            if not 200 <= answer.status < 300:
                raise WireError(f"{method} was answered {answer.status}")
            return (time.perf_counter() - started_at) * 1000

    async def all(self, name: str, count: int, method: str, sequence: int, state: str = "ready") -> None:
        """Sends the same call for each server, and prints the median and the 95th percentile."""
        contents = [body(n, sequence, state) if method == "PUT" else None for n in range(count)]
        times = await asyncio.gather(*(self.one(n, method, contents[n]) for n in range(count)))
        high = statistics.quantiles(times, n=20)[-1]
        print(f"{name:14} median {statistics.median(times):6.2f} ms   95 % {high:6.2f} ms   of {count}")


async def _wait_until_ready(nodes: list[Node]) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        for node in nodes:
            while True:
                try:
                    await Timing([node], 1).one(0, "PUT", body(0, 1))
                    break
                except (OSError, WireError, TimeoutError):
                    await asyncio.sleep(0.1)


async def _run(nodes: list[Node], count: int, at_once: int) -> None:
    for node in nodes:
        node.start(bootstrap=True)
    await _wait_until_ready(nodes)
    timing = Timing(nodes, at_once)
    await timing.all("registration", count, "PUT", 10)
    await asyncio.sleep(2.0)
    await timing.all("heartbeat", count, "PUT", 11)
    await timing.all("draining", count, "PUT", 12, "draining")
    await timing.all("DELETE", count, "DELETE", 13)
    await timing.all("new, DELETE", 2 * count, "DELETE", 13)


def main() -> None:
    """Runs the fleet in a temporary folder."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    at_once = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        specs = deployment.nodes(deployment.choose_loopback_prefix(1, folder))
        settings = deployment.fleet_settings(specs)
        nodes = [Node(spec, settings, folder) for spec in specs]
        try:
            asyncio.run(_run(nodes, count, at_once))
        finally:
            for node in nodes:
                node.close()


if __name__ == "__main__":
    main()
