"""A scenario in real time, on loopback sockets, with the real client proxy in processes of its own.

Each bridge server listens at one address for each proxy, so that whoever watches knows who sent what. Each
proxy has a discovery of its own, which tells it late. Clients send when they are meant to, whatever became of
the requests before; if they come to it too late themselves, the run is void, and no proxy is blamed.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import httptools

from cloverrouter.interface import EndpointState, ListedEndpoint
from cloverrouter.lab import load, log
from cloverrouter.lab.bridge import Job, Verdict
from cloverrouter.lab.result import Result
from cloverrouter.lab.scenario import Scenario
from cloverrouter.lab.world import START_MS, Server, World

HOST = "127.0.0.1"
READY_S = 30.0
LATE_MS = 25.0  # a client that sends so much later than it is meant to was held up here
LATE_SHARE = 0.02  # of such sends voids the run
EFFECTS = {"never": "fragile", "keyed": "dedup", "always": "retryable"}
STATES = {EndpointState.READY: "active", EndpointState.DRAINING: "leaving", EndpointState.GONE: "left"}
READ_BYTES = 16 * 1024  # at a time, by a client that reads slowly
ANSWERS = {
    Verdict.TAKEN: b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    Verdict.DROPPED: b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
    Verdict.FULL: b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
    Verdict.ERROR: b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
}


SPOILT = b"HTTP/1.1 200 OK\r\nContent-Length: \x00\r\n\r\nnonsense"


class WallClock:
    """Milliseconds of the loop's clock since it was made."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._since_s = self._loop.time()
        self._unix_ms = time.time() * 1000

    @property
    def now_ms(self) -> float:
        return (self._loop.time() - self._since_s) * 1000

    def unix_ms(self, at_ms: float) -> float:
        return self._unix_ms + at_ms

    def at(self, at_ms: float, call: Callable[..., None], *args: Any) -> None:
        self._loop.call_at(self._since_s + at_ms / 1000, call, *args)

    def after(self, span_ms: float, call: Callable[..., None], *args: Any) -> None:
        self._loop.call_later(span_ms / 1000, call, *args)

    async def sleep_until(self, at_ms: float) -> None:
        await asyncio.sleep(max(0.0, at_ms - self.now_ms) / 1000)


class ServerConnection(asyncio.Protocol):
    """A proxy's connection to a bridge server."""

    def __init__(self, world: RealWorld, server: Server, proxy: int) -> None:
        self.world, self.server, self.proxy = world, server, proxy
        self.transport: asyncio.Transport | None = None
        self.job: int | None = None
        self.answer_bytes = 0  # of what is asked for on it now
        self.counted = False
        self._parser = httptools.HttpRequestParser(self)
        self._id = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.counted = self.world.connected(self)
        if not self.counted and not self.server.cut_off:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.world.disconnected(self)

    def data_received(self, data: bytes) -> None:
        if self.server.cut_off:
            return  # silence
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-request-id":
            self._id = value

    def on_message_complete(self) -> None:
        number = self._id[1:]
        self.world.reached(self, int(number) if number.isdigit() else 0)

    def answer(self, verdict: Verdict) -> None:
        self.job = None
        data = ANSWERS[verdict]
        report = self.world.report_of(self.server)
        if verdict is Verdict.TAKEN and self.world.spoils_answer(self.server):
            data, report = SPOILT, None  # nothing in it can be read, a report neither
        elif verdict is Verdict.TAKEN and self.answer_bytes:
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.answer_bytes
            data += bytes(self.answer_bytes)
        if report is not None:
            pairs = zip(self.world.scenario.fleet.reports, report, strict=True)
            line = ",".join(f"{name}={value:.3f}" for name, value in pairs)
            status, _, rest = data.partition(b"\r\n")
            data = b"%b\r\nX-Server-Load: %b\r\n%b" % (status, line.encode(), rest)
        if self.server.delay_ms:
            self.world.clock.after(self.server.delay_ms, self._write, data)
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.server.cut_off:
            self.transport.write(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Discovery:
    """What one proxy is told of the list: the whole, and then each change when it comes."""

    def __init__(self) -> None:
        self._version = 1
        self._entries: dict[str, dict[str, Any]] = {}
        self._changed: dict[str, int] = {}
        self._news = asyncio.Condition()
        self._watches: set[asyncio.StreamWriter] = set()
        self.out = False  # nobody gets an answer
        self.spoilt = False  # or one that can't be read

    def cut(self) -> None:
        """Close what watches."""
        for writer in list(self._watches):
            writer.transport.abort()

    def put(self, entry: dict[str, Any]) -> None:
        """Say this from now on."""
        self._version += 1
        self._entries[entry["id"]], self._changed[entry["id"]] = entry, self._version

    async def tell(self) -> None:
        async with self._news:
            self._news.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._watches.add(writer)
        try:
            while not self.out or self.spoilt:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = head.split()[1].partition("?")[2]
                asked = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
                body = b'{"version": "new", "servers": [' if self.out else b""
                body = body or json.dumps(await self._answer(asked)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the proxy has gone, or the run is over
        finally:
            self._watches.discard(writer)
            writer.close()

    async def _answer(self, asked: dict[str, str]) -> dict[str, Any]:
        if "from" not in asked:
            servers = [e for e in self._entries.values() if e["state"] != "left"]
            return {"version": self._version, "full": True, "servers": servers}
        since = int(asked["from"])
        try:
            async with asyncio.timeout(float(asked.get("hold_ms", 20_000)) / 1000), self._news:
                await self._news.wait_for(lambda: self._version > since)
        except TimeoutError:
            pass
        servers = [self._entries[name] for name, version in self._changed.items() if version > since]
        return {"version": self._version, "full": False, "servers": servers}


class RealWorld(World):
    """Servers, discovery and clients on sockets; proxies as processes."""

    clock: WallClock

    def __init__(self, told: Scenario, seed: int) -> None:
        super().__init__(told, seed)
        self.clock = WallClock()
        self.addresses: dict[tuple[int, str], str] = {}  # of a server, for a proxy
        self.discoveries = [Discovery() for _ in range(told.proxies)]
        self.discovery_ports: list[int] = []
        self._listeners: list[asyncio.Server] = []
        self._of_server: dict[str, list[asyncio.Server]] = {}  # these of its present address
        self._connections: set[ServerConnection] = set()
        self._working: dict[int, ServerConnection] = {}  # by job
        self._asks: dict[int, load.Ask] = {}  # by request
        self._idle: list[list[Streams]] = [[] for _ in range(told.proxies)]
        self._open: set[asyncio.Task[None]] = set()
        self._late = self._sends = 0

    async def listen(self) -> None:
        """Have all servers and discoveries there."""
        for server in self.servers.values():
            await self._listen_for(server)
        for proxy in range(self.scenario.proxies):
            for name in self.servers:
                self.discoveries[proxy].put(self._listed(proxy, self.entry(name)))
            spoken = await asyncio.start_server(self.discoveries[proxy].serve, HOST, 0)
            self._listeners.append(spoken)
            self.discovery_ports.append(spoken.sockets[0].getsockname()[1])

    async def _listen_for(self, server: Server) -> None:
        """Have it at an address of its own for each proxy, instead of those that it had."""
        loop, name = asyncio.get_running_loop(), server.bridge.name
        old, self._of_server[name] = self._of_server.get(name, []), []
        for proxy in range(self.scenario.proxies):
            made = await loop.create_server(partial(ServerConnection, self, server, proxy), HOST, 0)
            self._listeners.append(made)
            self._of_server[name].append(made)
            self.addresses[proxy, name] = f"{HOST}:{made.sockets[0].getsockname()[1]}"
        for listener in old:
            listener.close()

    def _listed(self, proxy: int, entry: ListedEndpoint) -> dict[str, Any]:
        started = entry.started_ms
        return {
            "id": entry.name,
            "addr": self.addresses[proxy, entry.name],
            "zone": entry.zone,
            "cell": entry.cell,
            "state": STATES[entry.state],
            "weight": entry.weight,
            "started_ms": 0 if started is None else int(self.clock.unix_ms(started)),
        }

    def table(self) -> dict[str, list[str]]:
        """Each server's addresses, in the order of the proxies that they are for."""
        return {
            name: [self.addresses[i, name] for i in range(self.scenario.proxies)] for name in self.servers
        }

    def close(self) -> None:
        for listener in self._listeners:
            listener.close()
        for connection in list(self._connections):
            connection.abort()

    # Servers

    def connected(self, connection: ServerConnection) -> bool:
        server = connection.server
        self._look(server)
        good = not server.cut_off and server.bridge.connect(self.clock.now_ms)
        self.most_connections = max(self.most_connections, server.bridge.connections)
        self._connections.add(connection)
        self._schedule(server)
        return good

    def disconnected(self, connection: ServerConnection) -> None:
        self._connections.discard(connection)
        bridge = connection.server.bridge
        if connection.counted and bridge.up:
            bridge.connections = max(0, bridge.connections - 1)
        if connection.job is not None:
            self._working.pop(connection.job, None)
            self._look(connection.server)
            bridge.cancel(connection.job)

    def reached(self, connection: ServerConnection, request: int) -> None:
        server, ask = connection.server, self._asks.get(request)
        self._look(server)
        if ask is None:  # nobody here has asked for it: made by hand, and answered at once
            connection.answer_bytes = 0
            connection.answer(Verdict.TAKEN)
            return
        job = Job(self.next_job(), ask.work, ask.key)
        connection.answer_bytes = ask.answer_bytes
        verdict = self._offer(server, connection.proxy, request, ask, job)
        if verdict is Verdict.TAKEN:
            connection.job = job.id
            self._working[job.id] = connection
            self._schedule(server)
        elif verdict is Verdict.DOWN:
            connection.abort()
        else:
            connection.answer(verdict)

    def _look(self, server: Server) -> None:
        for job in server.bridge.advance(max(self.clock.now_ms, server.bridge.at_ms)):
            connection = self._working.pop(job.id, None)
            if connection is not None:
                connection.answer(Verdict.TAKEN)

    def _move(self, server: Server) -> None:
        gone = [c for c in self._connections if c.server is server]
        self._keep(self._listen_for(server))
        for connection in gone:
            connection.abort()  # `disconnected` calls off what is on it

    def _keep(self, doing: Coroutine[Any, Any, None]) -> None:
        """Have it go on, and waited for at the end."""
        task = asyncio.get_running_loop().create_task(doing)
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    def _lost(self, server: Server) -> None:
        server.bridge.stop()
        server.wake += 1
        for connection in [c for c in self._connections if c.server is server]:
            if connection.job is not None:
                self._working.pop(connection.job, None)
                connection.job = None
            connection.abort()

    def _tell(self, proxy: int, entry: ListedEndpoint, address: int) -> None:
        banned = entry.state is not EndpointState.READY
        self.discoveries[proxy].put(self._listed(proxy, entry))
        self.judge.told(proxy, entry.name, banned, self.clock.now_ms)
        self._keep(self.discoveries[proxy].tell())

    def _silence_lists(self, spoilt: bool) -> None:
        for discovery in self.discoveries:
            discovery.out, discovery.spoilt = True, spoilt
            discovery.cut()
        self.clock.at(self.outage_until_ms, self._lists_are_back)

    def _lists_are_back(self) -> None:
        for discovery in self.discoveries:
            discovery.out = False

    # Clients

    async def ask_all(self, addresses: list[tuple[str, int]], per_ms: float) -> None:
        """Send everything when it is meant to be sent; ends when all has been answered or given up."""
        for ask in load.asks(self.scenario, self.draws, per_ms):
            at_ms = START_MS + ask.at_ms
            if at_ms - self.clock.now_ms > 1:
                await self.clock.sleep_until(at_ms)
            self._wants(ask)
            self._sends += 1
            self._late += self.clock.now_ms > at_ms + LATE_MS
            self._keep(self._client(ask, addresses[ask.proxy]))
        while self._open:
            await asyncio.wait(list(self._open))

    @property
    def late_share(self) -> float:
        return self._late / self._sends if self._sends else 0.0

    async def _client(self, ask: load.Ask, address: tuple[str, int]) -> None:
        retries = self.scenario.load.clients.retries
        for number in range(retries + 1):
            if number:
                await asyncio.sleep(self._clients.uniform(*self.scenario.load.clients.wait_ms) / 1000)
            if await self._try(ask, address, number > 0):
                return

    async def _try(self, ask: load.Ask, address: tuple[str, int], again: bool) -> bool:
        """Was it served, or has its client gone?"""
        self._last_request += 1
        request, self._asks[self._last_request] = self._last_request, ask
        cls = self._classes[ask.cls]
        method = b"GET" if cls.repeats == "always" else b"POST"
        head = b"%b /%b?obj=%b HTTP/1.1\r\nHost: backend.local\r\n" % (
            method, ask.cls.encode(), ask.key.encode())  # fmt: skip
        head += b"X-Request-ID: r%d\r\nX-Tenant-Id: %b\r\n" % (request, ask.member.encode())
        if cls.repeats == "keyed":
            head += b"Idempotency-Key: i%d\r\n" % request
        if again:
            head += b"X-Retried: 1\r\n"
        if method == b"POST":
            head += b"Content-Length: 1\r\n"
        head += b"X-Timeout-Ms: %d\r\n\r\n" % ask.patience_ms + (b"x" if method == b"POST" else b"")
        self.judge.sent(request, ask.number, self.clock.now_ms, ask.patience_ms)
        wait_ms = ask.patience_ms if ask.leaves_ms is None or again else ask.leaves_ms
        try:
            async with asyncio.timeout(wait_ms / 1000):
                what, streams, answer = await self._exchange(head, address, self._idle[ask.proxy])
        except TimeoutError:
            if wait_ms < ask.patience_ms:
                self.judge.left(request, self.clock.now_ms)
            return wait_ms < ask.patience_ms
        self.judge.answered(request, what, self.clock.now_ms)
        if streams is not None and answer is not None and not await self._rest(ask, streams, answer):
            what = "cut"
        if what == "cut":
            self.judge.cut(request)
        return what == "served"

    async def _rest(self, ask: load.Ask, streams: Streams, answer: Answer) -> bool:
        """Read the body, as fast as this client does; False if it is cut short."""
        whole = False
        try:
            await streams.body(answer.length, ask.reads_kb_s if answer.status == 200 else None)
            whole = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        if whole and answer.keep:
            self._idle[ask.proxy].append(streams)
        else:
            streams.writer.transport.abort()
        return whole

    async def _exchange(
        self, head: bytes, address: tuple[str, int], idle: list[Streams]
    ) -> tuple[str, Streams | None, Answer | None]:
        """What became of it, and what is left to read. A request that crosses the end of a kept connection
        goes out once more."""
        while True:
            kept = bool(idle)
            try:
                streams = idle.pop() if kept else Streams(*await asyncio.open_connection(*address))
            except OSError:
                return "unreachable", None, None
            answer = None
            try:
                streams.writer.write(head)
                answer = await streams.head()
            except (OSError, asyncio.IncompleteReadError) as error:
                if kept and not getattr(error, "partial", b""):
                    continue
                return "cut", None, None
            finally:
                if answer is None:
                    streams.writer.transport.abort()
            what = {200: "served", 429: "refused", 503: "refused"}.get(answer.status, "failed")
            return what, streams, answer


@dataclass(frozen=True, slots=True)
class Answer:
    """The head of one."""

    status: int
    length: int
    keep: bool  # the connection may be used again


@dataclass(slots=True)
class Streams:
    """A client's connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def head(self) -> Answer:
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = int(head.partition(b"content-length:")[2].partition(b"\r")[0] or 0)
        return Answer(int(head.split(None, 2)[1]), length, b"connection: close" not in head)

    async def body(self, length: int, kb_s: float | None = None) -> None:
        """Read it all, so fast at most. Raises IncompleteReadError if it is cut short."""
        while length > 0:
            part = min(length, READ_BYTES if kb_s is not None else length)
            await self.reader.readexactly(part)
            length -= part
            if kb_s is not None:
                await asyncio.sleep(part / 1024 / kb_s)


def config_of(told: Scenario, world: RealWorld, proxy: int, listen: str) -> dict[str, Any]:
    """What proxy `proxy` is told, in the form of its configuration file."""
    fleet = told.fleet
    classes = [
        {
            "name": c.name, "aim_ms": c.aim_ms, "deadline_ms": c.deadline_ms, "worth": c.worth,
            "effect": EFFECTS[c.repeats], "group": "cell", "window_ms": fleet.bay_window_ms,
        }
        for c in told.load.classes
    ]  # fmt: skip
    return {
        "name": f"n{proxy}",
        "listen": listen,
        "discovery": f"{HOST}:{world.discovery_ports[proxy]}",
        "seed": f"{world.draws.stream(f'proxy {proxy}').getrandbits(64):x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "balancers": told.proxies,
            "ordinal": proxy,
            "zone": fleet.zones[proxy % len(fleet.zones)],
            "reporting": {"fields": list(fleet.reports), "how": "inline"},
            "bounds": {
                "max_attempts": told.max_attempts, "connect_timeout_ms": 250.0, "conn_idle_ms": 60000.0,
            },
            "categories": classes,
            "safety": {
                "cold_ms": fleet.cold_ms, "cold_share": fleet.cold_share, "fall_ms": fleet.fall_ms,
                "fall_multiple": fleet.fall_multiple, "must_ask_in_ms": 10_000.0,
            },
        },
    }  # fmt: skip


class Proxies:
    """The client proxies, each a process; those that end on their own are noted."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.processes: list[subprocess.Popen[bytes]] = []
        self.addresses: list[tuple[str, int]] = []

    def start(self, told: Scenario, world: RealWorld, checkout: Path | None = None) -> None:
        """Start them; those of another checkout of the project, if one is named."""
        for proxy in range(told.proxies):
            with socket.socket() as free:  # a port that nobody has now
                free.bind((HOST, 0))
                address = free.getsockname()
            own = self._folder / f"n{proxy}"
            own.mkdir()
            path = own / "config.json"
            path.write_text(json.dumps(config_of(told, world, proxy, f"{HOST}:{address[1]}")))
            with (own / "log").open("wb") as log:
                environ = {**os.environ, "PROXY_CONFIG": str(path), "TMPDIR": str(own)}
                command = [sys.executable, "-m", "cloverrouter.proxy"]
                if checkout is not None:
                    environ["PYTHONPATH"] = str(checkout)
                self.processes.append(subprocess.Popen(command, env=environ, stderr=log, cwd=checkout))
            self.addresses.append(address)

    async def ready(self) -> None:
        """Raises RuntimeError for one that does not come up."""
        until_s = time.monotonic() + READY_S
        for number, address in enumerate(self.addresses):
            while not await healthy(address):
                if self.processes[number].poll() is not None or time.monotonic() > until_s:
                    raise RuntimeError(f"n{number} does not come up:\n{self.log(number)}")
                await asyncio.sleep(0.05)

    def log(self, number: int) -> str:
        return (self._folder / f"n{number}" / "log").read_text()[-2000:]

    def died(self) -> list[str]:
        return [
            f"n{i} ended with {p.returncode}" for i, p in enumerate(self.processes) if p.poll() is not None
        ]

    def cpu_s(self) -> float:
        """That they have taken so far."""
        ticks = 0
        for process in self.processes:
            try:
                fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
                ticks += int(fields[11]) + int(fields[12])
            except (OSError, IndexError):
                continue  # it has ended
        return ticks / os.sysconf("SC_CLK_TCK")

    def stop(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
        for process in self.processes:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


async def healthy(address: tuple[str, int]) -> bool:
    try:
        streams = Streams(*await asyncio.open_connection(*address))
        streams.writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = await streams.head()
        await streams.body(answer.length)
        streams.writer.close()
        return answer.status == 200
    except (OSError, asyncio.IncompleteReadError):
        return False


async def _watched(world: RealWorld, watch: Callable[[RealWorld], None]) -> None:
    while True:
        await asyncio.sleep(1.0)
        watch(world)


async def play(
    told: Scenario,
    seed: int,
    watch: Callable[[RealWorld], None] = lambda world: None,
    build: str = "ours",
) -> Result:
    """One run with the proxies of a build that the scenario names; `watch` is called each second.

    Raises RuntimeError if a proxy does not come up, or if the build is no checkout.
    """
    checkout = Path(told.builds[build]).resolve() if build in told.builds else None
    if checkout is not None and not (checkout / "cloverrouter" / "proxy").is_dir():
        raise RuntimeError(f"build {build}: {checkout} is no checkout of the proxy")
    world = RealWorld(told, seed)
    await world.listen()
    with tempfile.TemporaryDirectory(prefix="cypresswinch-lab-") as folder:
        proxies = Proxies(Path(folder))
        try:
            proxies.start(told, world, checkout)
            await proxies.ready()
            log.get().info("proxies are ready", processes=[p.pid for p in proxies.processes])
            world.clock = WallClock()
            for server in world.servers.values():
                server.bridge.restart_clock()
            world.plan_faults()
            world.sample()
            own_s, proxies_s, begun_s = time.process_time(), proxies.cpu_s(), time.monotonic()
            watching = asyncio.create_task(_watched(world, watch))
            await world.ask_all(proxies.addresses, load.per_ms(told, world.capacity()))
            watching.cancel()
            took_s = time.monotonic() - begun_s
            died = proxies.died()
            cpu_s = proxies.cpu_s() - proxies_s
            verdict = world.judge.verdict(START_MS + told.warm_s * 1000, world.clock.now_ms)
            played = world.result(build, verdict, simulated_s=took_s, took_s=took_s, decided_s=cpu_s)
            played.late_share, played.died = world.late_share, died
            played.lab_cpu = (time.process_time() - own_s) / took_s
            for text in died:
                log.get().error("a proxy has ended", proxy=text)
            if played.late_share > LATE_SHARE:
                played.void = (
                    f"{played.late_share:.1%} of the requests were sent late: the lab had too little CPU"
                )
            return played
        finally:
            proxies.stop()
            world.close()
