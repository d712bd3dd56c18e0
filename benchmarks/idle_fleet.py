"""What a fleet costs that has nothing to do: real nodes on loopback with servers that beat, but no clients.

    python -m benchmarks.idle_fleet [--nodes 8] [--seconds 10] [--settle 4] [--profile FOLDER]

Prints, for each node: processor time from its start until it was ready, milliseconds of it a second when
settled, resident size, bytes and messages a second to peers, and which kinds these are. `--profile` writes a
cProfile file for each node.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs

from cloverrouter.lab.fleet import deployment
from cloverrouter.lab.fleet.judge import Judge
from cloverrouter.lab.fleet.model_server import ModelServer
from cloverrouter.lab.fleet.nodes import Node, NodeSpec, settings, toml
from cloverrouter.lab.fleet.operator import Operator
from cloverrouter.lab.fleet.platform import NodeEndpoint, Platform
from cloverrouter.lab.fleet.registration import Registration
from cloverrouter.lab.fleet.wire import call

READY_WITHIN_S = 30.0
CPU, MEMORY = "cpu_s", "resident_mb"


def cpu_s(pid: int) -> float:
    """Processor time that a process has taken."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Its resident size."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Fleet:
    """The nodes, their servers and an operator."""

    def __init__(self, folder: Path, count: int, profile: Path | None) -> None:
        self.folder, self.profile = folder, profile
        self.prefix = f"127.{os.getpid() % 200 + 20}.7"
        self.specs = [self._spec(number) for number in range(1, count + 1)]
        self.fleet = attrs.evolve(deployment.fleet_settings(tuple(self.specs)), log_level="errors")
        self.judge = Judge()
        self.operator = Operator([spec.control_plane for spec in self.specs], self.judge, 1)
        endpoints = [NodeEndpoint(spec.name, spec.zone, spec.frontend, spec.readiness) for spec in self.specs]
        self.platform = Platform(endpoints, 1, check_interval_s=0.2)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ready_cpu: dict[str, float] = {}

    def _spec(self, number: int) -> NodeSpec:
        zone = deployment.ZONES[number % len(deployment.ZONES)]
        return NodeSpec(f"edge-{number}", f"{self.prefix}.{number}", zone, number <= len(deployment.ZONES))

    def start(self, spec: NodeSpec) -> None:
        node = Node(spec, self.fleet, self.folder)
        (node.settings_path.parent / "disk").mkdir(parents=True)
        node.settings_path.write_text(toml(settings(spec, self.fleet, self.folder, True)))
        command = [sys.executable]
        if self.profile is not None:
            command += ["-m", "cProfile", "-o", str(self.profile / f"{spec.name}.prof")]
        self.processes[spec.name] = subprocess.Popen(
            [*command, "-m", "cloverrouter.daemon"],
            env={**os.environ, "CYPRESSWINCH_BOOT": str(node.settings_path)},
            stdout=node.log_path.open("wb"),
        )

    async def bring_up(self) -> None:
        for spec in self.specs:
            self.start(spec)
        for server_spec in deployment.initial_servers(self.prefix):
            server = ModelServer(server_spec, self.judge, time.monotonic, 1)
            await server.start()
            controls = [spec.control_plane for spec in self.specs]
            Registration(server, controls, deployment.HEARTBEAT_MS / 1000, self.judge, 1).start()
        self.platform.start()
        await self.operator.put(deployment.first_configuration(), within_s=READY_WITHIN_S)
        until = time.monotonic() + READY_WITHIN_S
        while len(self.ready_cpu) < len(self.specs):
            assert time.monotonic() < until, "not all nodes are ready"
            for endpoint in self.platform.endpoints:
                if endpoint.is_ready and endpoint.name not in self.ready_cpu:
                    self.ready_cpu[endpoint.name] = cpu_s(self.processes[endpoint.name].pid)
            await asyncio.sleep(0.05)
        self.platform.stop()

    async def figures(self, spec: NodeSpec) -> dict[str, float]:
        """The counters that a node tells of itself."""
        answer = await call(spec.control_plane, "GET", "/-/metrics", timeout_s=3.0)
        lines = [line for line in answer.body.decode().splitlines() if not line.startswith("#")]
        found = {line.rpartition(" ")[0]: float(line.rpartition(" ")[2]) for line in lines}
        pid = self.processes[spec.name].pid
        return {**found, CPU: cpu_s(pid), MEMORY: resident_mb(pid)}

    def end(self) -> None:
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            process.wait(15)


async def measured(fleet: Fleet, settle: float, seconds: float) -> list[dict[str, Any]]:
    """A row for each node."""
    await fleet.bring_up()
    await asyncio.sleep(settle)
    before = {spec.name: await fleet.figures(spec) for spec in fleet.specs}
    began = time.monotonic()
    await asyncio.sleep(seconds)
    span = time.monotonic() - began
    rows = []
    for spec in fleet.specs:
        now, then = await fleet.figures(spec), before[spec.name]
        rates = {name: (value - then.get(name, 0.0)) / span for name, value in now.items()}
        rows.append({
            "node": spec.name,
            "disk": spec.has_disk,
            "start_ms": fleet.ready_cpu[spec.name] * 1000,
            "idle_ms_s": rates[CPU] * 1000,
            "mb": now[MEMORY],
            "sent_b_s": rates["cypresswinch_peer_sent_bytes_total"],
            "received_b_s": rates["cypresswinch_peer_received_bytes_total"],
            "writes_s": rates.get("cypresswinch_peer_writes_total", 0.0),
            "kinds": {
                name: (round(rates[name], 2), round(rates[name.replace("messages", "kind_bytes", 1)]))
                for name in rates
                if name.startswith("cypresswinch_peer_sent_messages_total")
            },
        })  # fmt: skip
    return rows


async def main() -> None:
    told = argparse.ArgumentParser()
    told.add_argument("--nodes", type=int, default=8)
    told.add_argument("--seconds", type=float, default=10.0)
    told.add_argument("--settle", type=float, default=4.0, help="peer sampling slows down after 30 s")
    told.add_argument("--profile", type=Path)
    args = told.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), args.nodes, args.profile)
        try:
            rows = await measured(fleet, args.settle, args.seconds)
        finally:
            fleet.end()
    print(f"{'':10}{'start ms':>10}{'ms/s':>8}{'MB':>8}{'sent B/s':>10}{'recv B/s':>10}{'writes/s':>10}")
    for row in rows:
        print(
            f"{row['node']:10}{row['start_ms']:10.0f}{row['idle_ms_s']:8.1f}{row['mb']:8.1f}"
            f"{row['sent_b_s']:10.0f}{row['received_b_s']:10.0f}{row['writes_s']:10.1f}"
            f"{'  disk' if row['disk'] else ''}"
        )
    busiest = max(rows, key=lambda row: row["sent_b_s"])
    for row in (busiest, rows[-1]):
        print(row["node"], "messages and bytes a second:")
        for name, (messages, size) in row["kinds"].items():
            print(f"  {name.partition(chr(123))[2].strip(chr(125)):52}{messages:8.2f}{size:8d}")
    print(json.dumps(rows))


if __name__ == "__main__":
    asyncio.run(main())
