"""What a fleet costs that has nothing to do: real nodes on loopback with servers that beat, but no clients.

    python -m benchmarks.idle_fleet [--nodes 8] [--seconds 10] [--profile FOLDER] [--load REQUESTS_A_SECOND]

Prints, for each node: processor time from its start until it was ready, milliseconds of it a second when
settled, resident size, bytes and messages a second to peers. `--profile` writes a cProfile file for each node.
`--load` adds clients, for a look at a request's path.
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
from cloverrouter.lab.fleet.client import Client
from cloverrouter.lab.fleet.judge import Judge
from cloverrouter.lab.fleet.load import Draws
from cloverrouter.lab.fleet.model_server import ModelServer
from cloverrouter.lab.fleet.nodes import Node, NodeSpec, settings, toml
from cloverrouter.lab.fleet.operator import Operator
from cloverrouter.lab.fleet.platform import Door, Platform
from cloverrouter.lab.fleet.registration import Registration
from cloverrouter.lab.fleet.wire import call

READY_WITHIN_S = 30.0
SETTLE_S = 4.0


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
        doors = [Door(spec.name, spec.zone, spec.frontend, spec.readiness) for spec in self.specs]
        self.platform = Platform(doors, 1, ask_every_s=0.2)
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
        for server_spec in deployment.services_at_start(self.prefix):
            server = ModelServer(server_spec, self.judge, time.monotonic, 1)
            await server.start()
            controls = [spec.control_plane for spec in self.specs]
            Registration(server, controls, deployment.HEARTBEAT_MS / 1000, self.judge, 1).begin()
        self.platform.begin()
        await self.operator.put(deployment.first_configuration(), within_s=READY_WITHIN_S)
        until = time.monotonic() + READY_WITHIN_S
        while len(self.ready_cpu) < len(self.specs):
            assert time.monotonic() < until, "not all nodes are ready"
            for door in self.platform.doors:
                if door.is_in and door.name not in self.ready_cpu:
                    self.ready_cpu[door.name] = cpu_s(self.processes[door.name].pid)
            await asyncio.sleep(0.05)
        self.platform.stop()

    async def figures(self, spec: NodeSpec) -> dict[str, float]:
        """The counters that a node tells of itself."""
        answer = await call(spec.control_plane, "GET", "/-/metrics", timeout_s=3.0)
        lines = [line for line in answer.body.decode().splitlines() if not line.startswith("#")]
        return {line.rpartition(" ")[0]: float(line.rpartition(" ")[2]) for line in lines}

    def end(self) -> None:
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            process.wait(15)


async def ask(client: Client, draws: Draws, rate: float) -> None:
    """Requests of the cheapest kind, at random times."""
    kind = next(kind for kind in deployment.KINDS if kind.name == "lookup")
    asked: set[asyncio.Task[None]] = set()
    while True:
        await asyncio.sleep(draws.pause_s(rate))
        task = asyncio.create_task(client.ask(kind))
        asked.add(task)
        task.add_done_callback(asked.discard)


async def measured(fleet: Fleet, seconds: float, load: float) -> list[dict[str, Any]]:
    """A row for each node."""
    await fleet.bring_up()
    clients = []
    if load:
        draws = Draws(deployment.TENANTS, 1)
        for _ in range(8):
            client = Client(deployment.ZONES[0], fleet.platform, draws, fleet.judge, time.monotonic)
            clients.append(asyncio.create_task(ask(client, draws, load / 8)))
    await asyncio.sleep(SETTLE_S)
    before = {spec.name: (cpu_s(fleet.processes[spec.name].pid), await fleet.figures(spec)) for spec in fleet.specs}
    began = time.monotonic()
    await asyncio.sleep(seconds)
    rows = []
    for spec in fleet.specs:
        pid = fleet.processes[spec.name].pid
        took, span = cpu_s(pid) - before[spec.name][0], time.monotonic() - began
        now, then = await fleet.figures(spec), before[spec.name][1]
        sent = now["cypresswinch_peer_sent_bytes_total"] - then["cypresswinch_peer_sent_bytes_total"]
        received = now["cypresswinch_peer_received_bytes_total"] - then["cypresswinch_peer_received_bytes_total"]
        rows.append({
            "node": spec.name, "disk": spec.has_disk, "start_ms": fleet.ready_cpu[spec.name] * 1000,
            "idle_ms_s": took / span * 1000, "mb": resident_mb(pid),
            "sent_b_s": sent / span, "received_b_s": received / span,
        })  # fmt: skip
    for task in clients:
        task.cancel()
    return rows


async def main() -> None:
    told = argparse.ArgumentParser()
    told.add_argument("--nodes", type=int, default=8)
    told.add_argument("--seconds", type=float, default=10.0)
    told.add_argument("--profile", type=Path)
    told.add_argument("--load", type=float, default=0.0)
    args = told.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), args.nodes, args.profile)
        try:
            rows = await measured(fleet, args.seconds, args.load)
        finally:
            fleet.end()
    print(f"{'':10}{'start ms':>10}{'ms/s':>8}{'MB':>8}{'sent B/s':>10}{'recv B/s':>10}")
    for row in rows:
        print(f"{row['node']:10}{row['start_ms']:10.0f}{row['idle_ms_s']:8.1f}{row['mb']:8.1f}"
              f"{row['sent_b_s']:10.0f}{row['received_b_s']:10.0f}{'  disk' if row['disk'] else ''}")  # fmt: skip
    print(json.dumps(rows))


if __name__ == "__main__":
    asyncio.run(main())
