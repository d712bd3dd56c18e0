"""The fleet's processes on one machine: settings files, start and stop.

Each node has a loopback address of its own; all use the same ports, as on separate machines.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, BinaryIO

import attrs

import cloverrouter
from cloverrouter.errors import CypresswinchError

FRONTEND_PORT, READINESS_PORT, CONTROL_PORT = 8662, 8663, 8665
INTERNAL_PORTS = (7680, 7695)
DAEMON = ("-m", "cloverrouter.daemon")
PASSED_ENVIRONMENT_VARIABLES = (
    "PATH",
    "HOME",
    "LANG",
)  # the only variables of the caller that a node inherits
STOP_TIMEOUT_S = 10.0


class NodeEnded(CypresswinchError):
    """A node's process exited unexpectedly."""


@attrs.frozen(slots=True)
class NodeSpec:
    """One machine of the fleet."""

    name: str
    ip: str
    zone: str
    has_disk: bool

    @property
    def frontend(self) -> str:
        """Returns the address for clients."""
        return f"{self.ip}:{FRONTEND_PORT}"

    @property
    def readiness(self) -> str:
        """Returns the address of the readiness check."""
        return f"{self.ip}:{READINESS_PORT}"

    @property
    def control_plane(self) -> str:
        """Returns the address of the control plane."""
        return f"{self.ip}:{CONTROL_PORT}"


@attrs.frozen(slots=True)
class FleetSettings:
    """The settings that all nodes share. `timing_bounds` uses the keys of the settings file."""

    region: str
    zones: tuple[str, ...]
    seeds: tuple[str, ...]
    heartbeat_ms: int
    machines_lost_at_once: int
    timing_bounds: Mapping[str, float | bool]
    log_level: str


def settings(spec: NodeSpec, fleet: FleetSettings, folder: Path, bootstrap: bool) -> dict[str, Any]:
    """Returns the settings file of a node as a table; `folder` contains its disk, if it has one."""
    table: dict[str, Any] = {
        "node-name": spec.name,
        "role": "router",
        "machine-class": "edge",
        "serves": ["edge", "control_plane"],
        "ip-address": spec.ip,
        "availability-zone": spec.zone,
        "region": fleet.region,
        "internal-port-range": list(INTERNAL_PORTS),
        "seed-nodes": list(fleet.seeds),
        "bootstrap": bootstrap,
        "counts-for-quorum": spec.has_disk,
        "service-discovery": "self_registration",
        "ingress": "virtual_ip",
        "heartbeat-interval-ms": fleet.heartbeat_ms,
        "invariants": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"],
    }
    if spec.has_disk:
        table["data-directory"] = str(folder / spec.name / "disk")
    return {
        **table,
        "zones": dict.fromkeys(fleet.zones, fleet.region),
        "listen-addresses": {
            "frontend": spec.frontend,
            "readiness": spec.readiness,
            "control-plane": spec.control_plane,
        },
        "limits": {
            "cpu-quota": 1.0,
            "cpu-cores": 1,
            "memory-mb": 300,
            "file-descriptors": 4100,
            "bandwidth-mbps": 1000.0,
            **({"disk-mb": 64} if spec.has_disk else {}),
        },
        "fault-tolerance": {"machines": fleet.machines_lost_at_once, "zones": 0, "regions": 0},
        "timing-bounds": dict(fleet.timing_bounds),
        "logging": {"level": fleet.log_level},
    }


def toml(table: Mapping[str, Any]) -> str:
    """Returns a table as TOML: values first, then its subtables. Supports one level of nesting."""
    values = [
        f"{key} = {_toml_value(value)}" for key, value in table.items() if not isinstance(value, Mapping)
    ]
    tables = []
    for key, inner in table.items():
        if isinstance(inner, Mapping):
            tables.append(f"\n[{key}]")
            tables.extend(f"{name} = {_toml_value(value)}" for name, value in inner.items())
    return "\n".join([*values, *tables]) + "\n"


def _toml_value(value: Any) -> str:
    # JSON strings, numbers, booleans and lists of them are valid TOML.
    return json.dumps(value)


class Node:
    """One node's process; it can be killed and restarted."""

    def __init__(self, spec: NodeSpec, fleet: FleetSettings, folder: Path) -> None:
        self.spec = spec
        self._fleet = fleet
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._output: BinaryIO | None = None

    @property
    def log_path(self) -> Path:
        """Returns the path of its log, which all its processes append to."""
        return self._folder / self.spec.name / "log"

    @property
    def settings_path(self) -> Path:
        """Returns the path of its settings file."""
        return self._folder / self.spec.name / "node.toml"

    @property
    def is_running(self) -> bool:
        """Returns whether its process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int | None:
        """Returns the id of its process, if it was started."""
        return self._process.pid if self._process is not None else None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to its process, if it is running."""
        if self.is_running and self._process is not None:
            self._process.send_signal(number)

    def start(self, bootstrap: bool = False) -> None:
        """Writes its settings file and starts its process."""
        node_folder = self._folder / self.spec.name
        (node_folder / "disk" if self.spec.has_disk else node_folder).mkdir(parents=True, exist_ok=True)
        self.write_settings(bootstrap)
        environment = {name: os.environ[name] for name in PASSED_ENVIRONMENT_VARIABLES if name in os.environ}
        environment["CYPRESSWINCH_BOOT"] = str(self.settings_path)
        if self._output is None:
            self._output = self.log_path.open("ab")
        self._process = subprocess.Popen(
            [sys.executable, *DAEMON],
            env=environment,
            cwd=Path(cloverrouter.__file__).parent.parent,
            stdin=subprocess.DEVNULL,
            stdout=self._output,
            stderr=subprocess.STDOUT,
        )

    def write_settings(self, bootstrap: bool = False, seeds: Sequence[str] = ()) -> None:
        """Overwrites its settings file; `seeds` replace the fleet's seeds."""
        fleet = attrs.evolve(self._fleet, seeds=tuple(seeds)) if seeds else self._fleet
        self.settings_path.write_text(toml(settings(self.spec, fleet, self._folder, bootstrap)))

    def check(self) -> None:
        """Raises NodeEnded with the end of its log, if its process exited unexpectedly."""
        if self._process is not None and self._process.poll() is not None:
            raise NodeEnded(f"{self.spec.name} ended with {self._process.returncode}\n{self.log_tail()}")

    def log_tail(self, lines: int = 12) -> str:
        """Returns the last lines of its log."""
        text = self.log_path.read_text(errors="replace") if self.log_path.exists() else ""
        return "\n".join(text.splitlines()[-lines:])

    def kill(self) -> None:
        """Sends SIGKILL and waits for the end of the process."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None

    def terminate(self) -> None:
        """Sends SIGTERM; `wait` waits for the end."""
        self.signal(signal.SIGTERM)

    def wait(self) -> int | None:
        """Returns its exit code, after SIGKILL if it does not exit in time; None if it was not running."""
        if self._process is None:
            return None
        try:
            code = self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            code = self._process.wait()
        self._process = None
        return code

    def close(self) -> None:
        """Kills its process if it still runs, and closes its log."""
        self.kill()
        if self._output is not None:
            self._output.close()
            self._output = None


def stop_all(nodes: Sequence[Node]) -> dict[str, int | None]:
    """Sends SIGTERM to all nodes at once, and returns the exit code of each."""
    for node in nodes:
        node.terminate()
    codes = {node.spec.name: node.wait() for node in nodes}
    for node in nodes:
        node.close()
    return codes
