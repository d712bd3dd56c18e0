"""CPU that `cloverrouter.http` takes to relay a request, beside bare relays, in alternating rounds.

    python benchmarks/http_relay.py [--rounds N] [--requests N] [--against FOLDER] [--profile FILE]

Closed loop: so many clients ask again as soon as they are answered. Counted is the CPU time of the
relaying process alone, read from /proc, for four loads: `kept`, small answers on connections that are kept;
`new`, the same with a new connection for each request; `events`, answers of 20 events in chunks, one at a
time; `pairs`, the same of 2 events. `bytes` is a relay of protocols that copies bytes and knows nothing of
them; `streams` is the same on asyncio's streams; `http` is the server and the client of this project with
nothing between them; `against` is the latter of another checkout. Prints a table, and one JSON line.
`--profile` writes where `http` spends its time instead.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

HERE = Path(__file__).resolve().parent.parent
CLIENTS = 8
WARM = 50  # requests of each client that are not counted
EVENT_S = 0.0005  # between two events
EVENT = b"id: 12\ndata: " + b"x" * 120 + b"\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
SMALL = HEAD + b"Content-Length: 64\r\n\r\n" + b"x" * 64
STREAM = HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
LAST = b"0\r\n\r\n"
LOADS = {
    "kept": (b"/small", False),
    "new": (b"/small", True),
    "events": (b"/20", False),
    "pairs": (b"/2", False),
}


class Stub(asyncio.Protocol):
    """A server that answers each request as its path says."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        path = data.split(b" ", 2)[1]
        request_id = data.partition(b"X-Id: ")[2].partition(b"\r")[0]
        if path == b"/small":
            self.transport.write(SMALL % request_id)
        else:
            self.transport.write(STREAM % request_id)
            self.event(int(path[1:]))

    def event(self, left: int) -> None:
        self.transport.write(CHUNK if left > 1 else CHUNK + LAST)
        if left > 1:
            asyncio.get_running_loop().call_later(EVENT_S, self.event, left - 1)


# The relays


class Pipe(asyncio.Protocol):
    """One side of the relay that copies bytes."""

    def __init__(self, to: Pipe | None, address: tuple[str, int]) -> None:
        self.to, self.address = to, address
        self.waiting: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.to is None:
            loop = asyncio.get_running_loop()
            self.connecting = loop.create_task(
                loop.create_connection(lambda: Pipe(self, self.address), *self.address)
            )
        else:
            self.to.to = self
            for data in self.to.waiting:
                transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.to is None or self.to.transport is None:
            self.waiting.append(data)
        else:
            self.to.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.to is not None and self.to.transport is not None:
            self.to.transport.close()


async def relay_bytes(host: str, port: int, to: int) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Pipe(None, ("127.0.0.1", to)), host, port)
    await server.serve_forever()


async def relay_streams(host: str, port: int, to: int) -> None:
    async def pipe(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            writer.write(data)
        writer.close()

    async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        to_reader, to_writer = await asyncio.open_connection("127.0.0.1", to)
        await asyncio.gather(pipe(reader, to_writer), pipe(to_reader, writer))

    await (await asyncio.start_server(client, host, port)).serve_forever()


async def relay_http(host: str, port: int, to: int) -> None:
    from cloverrouter.http.client import ConnectionPool, Failure, Headers
    from cloverrouter.http.fields import end_to_end
    from cloverrouter.http.server import Exchange, Server, ServerLimits

    address = ("127.0.0.1", to)

    class Relay:
        def __init__(self, exchange: Exchange) -> None:
            self.exchange = exchange
            request = exchange.request
            request_id = request.header(b"x-id") or b""
            lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
            lines += [b"%b: %b" % field for field in end_to_end(request.headers)]
            lines.append(b"X-Id: %b\r\nContent-Length: %d\r\n\r\n" % (request_id, len(request.body)))
            message = b"\r\n".join(lines) + request.body
            self.call = pool.send(address, message, self, request_id, b"x-id")
            exchange.on_disconnect = self.call.cancel
            exchange.on_pause, exchange.on_resume = self.call.pause, self.call.resume

        def on_written(self) -> None:
            pass

        def on_head(self, status: int, headers: Headers, length: int | None) -> None:
            self.exchange.begin(status, end_to_end(headers), length)

        def on_data(self, data: bytes) -> None:
            self.exchange.write(data)

        def on_end(self) -> None:
            self.exchange.end()

        def on_failure(self, failure: Failure) -> None:
            self.exchange.respond(502)

    pool = ConnectionPool(64, 1.0, 60.0, settle_s=0.0)
    server = Server(lambda exchange: Relay(exchange) and None, ServerLimits())
    await server.listen(host, port)
    await asyncio.Event().wait()


RELAYS: dict[str, Callable[[str, int, int], Awaitable[None]]] = {
    "bytes": relay_bytes,
    "streams": relay_streams,
    "http": relay_http,
    "against": relay_http,
}


def profiled(relay: Awaitable[None], path: str) -> None:
    import cProfile
    import pstats
    import signal

    profile = cProfile.Profile()

    async def until_told() -> None:
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(relay)
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        await asyncio.gather(task, return_exceptions=True)

    profile.runcall(asyncio.run, until_told())
    with open(path, "w") as out:
        pstats.Stats(profile, stream=out).sort_stats("tottime").print_stats(40)


# Load and figures


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path: bytes, name: bytes) -> None:
    writer.write(
        b"POST %b HTTP/1.1\r\nHost: ficu95.example\r\nX-Id: %b\r\nX-Model: m\r\nX-Deadline-Ms: 2000\r\n"
        b"X-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nContent-Length: 200\r\n\r\n%b"
        % (path, name, b"y" * 200)
    )
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    assert b"x-id: " + name in head, head
    if b"chunked" in head:
        await reader.readuntil(LAST)
    else:
        await reader.readexactly(int(head.partition(b"content-length: ")[2].partition(b"\r")[0]))


async def client(address: tuple[str, int], load: str, name: int, requests: int) -> None:
    path, anew = LOADS[load]
    reader, writer = await asyncio.open_connection(*address)
    for number in range(requests):
        if anew and number:
            writer.close()
            reader, writer = await asyncio.open_connection(*address)
        await ask(reader, writer, path, b"%d-%d" % (name, number))
    writer.close()


async def measured(relay: str, folder: Path, load: str, port: int, requests: int, profile: str = "") -> float:
    """Microseconds of CPU a request."""
    address = ("127.92.0.2", 3000)
    command = [sys.executable, str(Path(__file__).resolve()), "--relay", relay, str(port)]
    environ = {**os.environ, "PYTHONPATH": str(folder)}
    process = subprocess.Popen([*command, "--profile", profile], cwd=folder, env=environ)
    try:
        until = time.monotonic() + 20
        while True:
            try:
                (await asyncio.open_connection(*address))[1].close()
                break
            except OSError:
                assert process.poll() is None and time.monotonic() < until, "it did not start"
                await asyncio.sleep(0.05)
        await asyncio.gather(*(client(address, load, i, WARM) for i in range(CLIENTS)))
        before = cpu_s(process.pid)
        await asyncio.gather(*(client(address, load, 100 + i, requests // CLIENTS) for i in range(CLIENTS)))
        return (cpu_s(process.pid) - before) / requests * 1e6
    finally:
        process.terminate()
        process.wait()


async def main(args: argparse.Namespace) -> None:
    loop = asyncio.get_running_loop()
    stub = await loop.create_server(Stub, "127.0.0.1", 0)
    port = stub.sockets[0].getsockname()[1]
    loads = args.loads.split(",") if args.loads else list(LOADS)
    if args.profile:
        for load in loads:
            await measured("http", HERE, load, port, args.requests, f"{args.profile}.{load}")
        return
    folders = {"bytes": HERE, "streams": HERE, "http": HERE}
    if args.against:
        folders["against"] = args.against.resolve()
    taken: dict[str, dict[str, list[float]]] = {load: {name: [] for name in folders} for load in loads}
    for _ in range(args.rounds):
        for load in loads:
            for name, folder in folders.items():
                requests = args.requests // (4 if load == "events" else 1)
                taken[load][name].append(await measured(name, folder, load, port, requests))
    print(f"{'':18}{'median':>10}{'least':>10}{'most':>10}   us of CPU a request; times `bytes`")
    for load, figures in taken.items():
        base = statistics.median(figures["bytes"])
        for name, values in figures.items():
            median = statistics.median(values)
            line = (
                f"{load:8}{name:10}{median:10.0f}{min(values):10.0f}{max(values):10.0f}   {median / base:.2f}"
            )
            print(line)
    print(json.dumps({"requests": args.requests, "us": taken}))


if __name__ == "__main__":
    told = argparse.ArgumentParser()
    told.add_argument("--rounds", type=int, default=5)
    told.add_argument("--requests", type=int, default=8000)
    told.add_argument("--loads", default="", help="some of them, split by commas")
    told.add_argument("--against", type=Path, help="another checkout")
    told.add_argument("--profile", default="", help="where to write the profile")
    told.add_argument("--relay", nargs=2, metavar=("NAME", "PORT"), help=argparse.SUPPRESS)
    args = told.parse_args()
    if args.relay:
        relay = RELAYS[args.relay[0]]("127.92.0.2", 3000, int(args.relay[1]))
        if args.profile:
            profiled(relay, args.profile)
        else:
            asyncio.run(relay)
    else:
        asyncio.run(main(args))
