"""CPU that the proxy takes for a request, beside a bare asyncio relay, in alternating rounds of one run.

    python benchmarks/cpu_per_request.py [--rounds N] [--requests N] [--against FOLDER]

Closed loop: so many clients, each with one connection, ask again as soon as they are answered; stub servers
answer at once. Counted is the CPU time of the proxy's process alone, read from /proc. The relay copies bytes
between a client's connection and one server and knows nothing of them. `--against` plays another checkout of
the project in the same rounds. Prints a table, and one JSON line.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent.parent
SERVERS = 12
CLIENTS = 8
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n" + b"x" * 64
SETTINGS = {
    "balancers": 3, "ordinal": 0, "discovery": "subscribe",
    "bounds": {"max_attempts": 3, "connect_timeout_ms": 250.0, "conn_idle_ms": 60000.0},
    "categories": [{"name": "unsafe", "aim_ms": 1500, "deadline_ms": 3000, "effect": "fragile", "worth": 1}],
    "safety": {"cold_ms": 0, "cold_share": 1.0, "fall_ms": 2000, "fall_multiple": 3, "must_ask_in_ms": 400},
}  # fmt: skip
RELAY = """
import asyncio, sys
host, port, to_port = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
async def pipe(reader, writer):
    while data := await reader.read(65536):
        writer.write(data)
    writer.close()
async def client(reader, writer):
    to = await asyncio.open_connection("127.0.0.1", to_port)
    await asyncio.gather(pipe(reader, to[1]), pipe(to[0], writer))
async def main():
    await (await asyncio.start_server(client, host, port)).serve_forever()
asyncio.run(main())
"""


class Stub(asyncio.Protocol):
    """A server that answers each request at once, whatever it says."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        assert isinstance(self.transport, asyncio.Transport)
        self.transport.write(ANSWER)


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def client(host: str, name: int, requests: int) -> None:
    reader, writer = await asyncio.open_connection(host, 3000)
    for i in range(requests):
        head = f"POST /unsafe HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}-{i}\r\nX-Timeout-Ms: 2500\r\n"
        writer.write(head.encode() + b"Content-Length: 200\r\n\r\n" + b"y" * 200)
        answer = await reader.readexactly(len(ANSWER)) if host == RELAYED else await read(reader)
        assert answer.startswith(b"HTTP/1.1 200"), answer
    writer.close()


async def read(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0])
    return head + await reader.readexactly(length)


RELAYED = "127.91.0.2"


async def measured(
    command: list[str], folder: Path, environ: dict[str, str], host: str, requests: int
) -> float:
    """Microseconds of CPU a request."""
    process = subprocess.Popen(command, cwd=folder, env={**os.environ, **environ}, stderr=subprocess.DEVNULL)
    try:
        until = time.monotonic() + 20
        while True:
            try:
                (await asyncio.open_connection(host, 3000))[1].close()
                break
            except OSError:
                assert process.poll() is None and time.monotonic() < until, "it did not start"
                await asyncio.sleep(0.05)
        await asyncio.gather(*(client(host, i, 100) for i in range(CLIENTS)))  # warm
        before = cpu_s(process.pid)
        await asyncio.gather(*(client(host, 100 + i, requests // CLIENTS) for i in range(CLIENTS)))
        return (cpu_s(process.pid) - before) / requests * 1e6
    finally:
        process.kill()
        process.wait()


async def main() -> None:
    told = argparse.ArgumentParser()
    told.add_argument("--rounds", type=int, default=5)
    told.add_argument("--requests", type=int, default=8000)
    told.add_argument("--against", type=Path, help="another checkout")
    args = told.parse_args()
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Stub, "127.0.0.1", 0) for _ in range(SERVERS)]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    listed = [{"id": f"s{i}", "addr": f"127.0.0.1:{port}", "zone": "a", "cell": 0, "state": "active",
               "weight": 1.0, "started_ms": 0} for i, port in enumerate(ports)]  # fmt: skip
    folders = {"proxy": HERE, **({"against": args.against.resolve()} if args.against else {})}
    taken: dict[str, list[float]] = {name: [] for name in [*folders, "relay"]}
    for _ in range(args.rounds):
        for name, folder in folders.items():
            host = f"127.91.{random.randrange(1, 255)}.{random.randrange(3, 255)}"
            config = {"name": "n0", "listen": f"{host}:3000", "discovery": "127.0.0.1:9", "seed": "8c1f",
                      "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": SETTINGS,
                      "known": {"version": 1, "full": True, "servers": listed}}  # fmt: skip
            with tempfile.TemporaryDirectory() as temp:
                path = Path(temp, "config.json")
                path.write_text(json.dumps(config))
                environ = {"PROXY_CONFIG": str(path), "TMPDIR": temp}
                command = [sys.executable, "-m", "cloverrouter.proxy"]
                taken[name].append(await measured(command, folder, environ, host, args.requests))
        relay = [sys.executable, "-c", RELAY, RELAYED, "3000", str(ports[0])]
        taken["relay"].append(await measured(relay, HERE, {}, RELAYED, args.requests))
    relay_us = statistics.median(taken["relay"])
    print(f"{'':10}{'median':>10}{'least':>10}{'most':>10}   us of CPU a request; times the relay")
    for name, figures in taken.items():
        median = statistics.median(figures)
        print(f"{name:10}{median:10.0f}{min(figures):10.0f}{max(figures):10.0f}   {median / relay_us:.1f}")
    print(json.dumps({"requests": args.requests, "servers": SERVERS, "us": taken}))


if __name__ == "__main__":
    asyncio.run(main())
