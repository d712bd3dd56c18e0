"""What the pages say of a whole process that is told to end: it is not ready from then on."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from cloverrouter.daemon.node import Node
from cloverrouter.daemon.settings import Settings, settings_of
from tests.system.peers import LONG_S, Peer, play, until
from tests.system.router_world import CONFIGURATION
from tests.system.router_world import World as RouterWorld


def free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def settings(ip: str, **changes: Any) -> Settings:
    told: dict[str, Any] = {
        "node-name": "edge-a-1",
        "serves": ["edge", "control_plane"],
        "ip-address": ip,
        "availability-zone": "a",
        "internal-port-range": [free_port(ip)] * 2,
        "seed-nodes": [f"{ip}:1"],
        "bootstrap": False,
        "counts-for-quorum": False,
        "heartbeat-interval-ms": 1200,
        "listen-addresses": {
            name: f"{ip}:{free_port(ip)}" for name in ("frontend", "readiness", "control-plane")
        },
        "timing-bounds": {"grace-period-s": 1.0},
    }
    return settings_of({**told, **changes})


async def readiness(told: Settings) -> int:
    assert told.readiness is not None
    peer = await Peer.connect(told.readiness)
    peer.send(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
    status, _, _ = await peer.answer()
    peer.close()
    return status


@pytest.mark.parametrize("was_ready", [False, True])
def test_after_a_sigterm_a_process_is_not_ready_and_ends(was_ready: bool) -> None:
    """Of all at once, too: each goes by itself alone, whether it was ready or not."""

    async def scene() -> None:
        told = settings("127.77.1.1" if was_ready else "127.77.1.2")
        node = Node(told, "none.toml")
        running = asyncio.create_task(node.run())
        await until(lambda: node._frontend is not None)
        if was_ready:
            router = node._traffic.router
            router.configure(CONFIGURATION)
            listed = RouterWorld().server
            router.servers_changed([listed("desk", 0), listed("model", 0)])
        assert await readiness(told) == (200 if was_ready else 503)
        node.stop()
        assert await readiness(told) == 503
        assert await readiness(told) == 503
        assert await asyncio.wait_for(running, LONG_S) == 0

    play(scene())
