"""How many requests go on to a server more than 0.3 s after their client has left, by what they waited for.

    python -m benchmarks.leavers [--cases 1000] [--only SITUATION ...]

The program runs as `run` starts it; servers, discovery and clients are stand-ins on loopback that keep the
times at which a client left and at which a request's last byte arrived. Prints a table and a JSON line; exits
1 if any went on.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from tests.sockets import (
    SETTINGS,
    Client,
    Discovery,
    Host,
    Proxy,
    ReceivedRequest,
    no_answer,
    ok,
    raw,
    reset,
    running,
)
from tests.test_endings import leave, own_socket
from tests.test_upstream import full_listener

LATE_S = 0.3
WAIT_S = 0.35  # from the leaving to the moment at which a server may take it again
BATCH = 40
HOWS = ("close", "half-close", "reset")
PATIENT = {"aim_ms": 120_000, "deadline_ms": 120_000, "window_ms": 120_000}
CLASSES = [{**told, **PATIENT} for told in SETTINGS["categories"]]
BOUNDS = {**SETTINGS["bounds"], "connect_timeout_ms": 60_000.0}
LONG = ok(b"x" * 8_000_000)  # more than the buffers between take
TOLD = {"categories": CLASSES, "bounds": BOUNDS}


@dataclass
class Count:
    """What the stand-ins have seen."""

    left: dict[str, float] = field(default_factory=dict)
    arrived: dict[str, float] = field(default_factory=dict)

    def note(self, seen: ReceivedRequest) -> None:
        self.arrived[seen.message.headers["x-request-id"]] = time.monotonic()

    def late(self) -> int:
        return sum(self.arrived.get(name, 0.0) > at_s + LATE_S for name, at_s in self.left.items())


class Server(Host):
    """A stand-in that notes what it gets."""

    def __init__(self, name: str, count: Count, discovery: Discovery) -> None:
        async def noted(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            count.note(seen)
            await self.then(seen, writer)

        self.then: Any = no_answer
        self.discovery = discovery
        super().__init__(name, noted)

    def release(self) -> None:
        """Whatever it holds is answered, and what comes is answered at once."""
        self.then = raw(ok())
        for writer in list(self.open.values()):
            writer.write(ok())


KEPT: list[Client] = []  # a request's id holds its client's, which must not be another's later


def asks(client: Client, count: int = 1, target: str = "/unsafe") -> list[str]:
    """The ids of the requests sent."""
    KEPT.append(client)
    names = []
    for _ in range(count):
        client.send(target, timeout_ms=100_000)
        names.append(f"{id(client):x}-{client.count}")
    return names


def head_of(name: str, size: int) -> bytes:
    own = f"X-Request-ID: {name}\r\nX-Timeout-Ms: 100000\r\nContent-Length: {size}\r\n"
    return f"POST /unsafe HTTP/1.1\r\n{own}\r\n".encode()


def goes(count: Count, client: Client, names: list[str], number: int, hows: tuple[str, ...] = HOWS) -> None:
    leave(client, hows[number % len(hows)])
    for name in names:
        count.left[name] = time.monotonic()


async def settled(proxy: Proxy) -> None:
    """The program has done all it had to do before this came to it."""
    for _ in range(3):
        await proxy.health()


async def all_ask(proxy: Proxy, server: Server) -> list[tuple[Client, list[str]]]:
    """More than the server, which answers none, may be sent: clients, and the ids of what they ask for."""
    server.then = no_answer
    clients = [await proxy.client() for _ in range(BATCH + 10)]
    names = [asks(client) for client in clients]
    await settled(proxy)
    await asyncio.sleep(0.1)
    return list(zip(clients, names, strict=True))


async def held(proxy: Proxy, server: Server, count: Count) -> int:
    """Held for a server: all that there are have no room."""
    asked, cases = await all_ask(proxy, server), 0
    for number, (client, own) in enumerate(asked):
        if own[0] not in count.arrived:
            goes(count, client, own, number)
            cases += 1
    await asyncio.sleep(WAIT_S)
    server.release()
    await asyncio.sleep(0.1)
    for client, _ in asked:
        client.writer.close()
    return cases


async def standing(proxy: Proxy, server: Server, count: Count) -> int:
    """Held, in a process that stands still while the server answers and they leave, two of three behind the
    start of another request: it finds all that at once, the room first, when it goes on."""
    asked, cases = await all_ask(proxy, server), 0
    proxy.process.send_signal(signal.SIGSTOP)
    server.release()
    for number, (client, own) in enumerate(asked):
        if own[0] not in count.arrived:
            if number % 3:
                with own_socket(client) as sock:
                    sock.send(b"POST /unsafe HTTP/1.1\r\nX-Requ")
            goes(count, client, own, number, ("close", "half-close"))
            cases += 1
    await asyncio.sleep(WAIT_S)
    proxy.process.send_signal(signal.SIGCONT)
    await settled(proxy)
    await asyncio.sleep(0.1)
    for client, _ in asked:
        client.writer.close()
    return cases


async def behind(proxy: Proxy, server: Server, count: Count) -> int:
    """Behind another request on its connection, with a part of a third after it."""
    server.then = no_answer
    clients = [await proxy.client() for _ in range(BATCH)]
    names = [asks(client, 2) for client in clients]
    for client in clients:
        client.writer.write(b"POST /unsafe HTTP/1.1\r\nX-Requ")
    await settled(proxy)
    await asyncio.sleep(0.1)
    for number, (client, own) in enumerate(zip(clients, names, strict=True)):
        goes(count, client, own[1:], number)
    await asyncio.sleep(WAIT_S)
    server.release()
    await asyncio.sleep(0.1)
    return BATCH


async def between(proxy: Proxy, server: Server, count: Count) -> int:
    """Between attempts: the first was reset, and the next waits for its time."""
    server.then = reset
    clients = [await proxy.client() for _ in range(BATCH)]
    names = [asks(client, target="/keyed") for client in clients]
    await settled(proxy)
    cases = 0
    for number, (client, own) in enumerate(zip(clients, names, strict=True)):
        goes(count, client, own, number)
        count.arrived.pop(own[0], None)  # its first attempt
        cases += 1
    server.then = raw(ok())
    await asyncio.sleep(1.0)
    return cases


async def connecting(proxy: Proxy, server: Server, count: Count) -> int:
    """While the connection to the server comes up: it is a full listener, drained after the leaving."""
    listener, fillers = full_listener()
    listener.setblocking(False)
    port = listener.getsockname()[1]
    discovery = server.discovery
    names = [f"slow{number}-{port}" for number in range(BATCH)]
    entry = {**server.entry(), "addr": f"127.0.0.1:{port}"}
    await discovery.change(server.entry("left"), *({**entry, "id": name} for name in names))
    await asyncio.sleep(0.2)
    clients = [await proxy.client() for _ in range(BATCH)]
    own = [asks(client) for client in clients]
    await settled(proxy)
    for number, (client, ids) in enumerate(zip(clients, own, strict=True)):
        goes(count, client, ids, number)
    await asyncio.sleep(WAIT_S)
    got = b""
    for filler in fillers:
        filler.close()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(1.2):
            while True:
                peer, _ = await asyncio.get_running_loop().sock_accept(listener)
                with contextlib.suppress(ConnectionError):
                    got += await asyncio.get_running_loop().sock_recv(peer, 65536)
    for ids in own:
        if ids[0].encode() in got:
            count.arrived[ids[0]] = time.monotonic()
    listener.close()
    await discovery.change(server.entry(), *({**entry, "id": name, "state": "left"} for name in names))
    await asyncio.sleep(0.2)
    return BATCH


async def large(proxy: Proxy, server: Server, count: Count) -> int:
    """Held, with a body so large that its connection is not read on."""
    server.then = no_answer
    blockers = [await proxy.client() for _ in range(10)]
    for client in blockers:
        asks(client)
    await settled(proxy)
    clients = [await proxy.client() for _ in range(BATCH // 2)]
    names = []
    KEPT.extend(clients)
    for client in clients:
        name = f"{id(client):x}-large"
        client.writer.write(head_of(name, 900_000) + b"y" * 400_000)
        names.append(name)
    await settled(proxy)
    await asyncio.sleep(0.1)
    for number, (client, name) in enumerate(zip(clients, names, strict=True)):
        goes(count, client, [name], number, ("half-close", "reset"))
    await asyncio.sleep(WAIT_S)
    server.release()
    await asyncio.sleep(0.2)
    for client in blockers:
        client.writer.close()
    return len(clients)


async def unread(proxy: Proxy, server: Server, count: Count) -> int:
    """Behind answers that the client does not read; it ends its side, and reads then."""
    server.then = raw(LONG)
    loop, host_port = asyncio.get_running_loop(), proxy.address.split(":")
    socks, cases = [], 0
    for number in range(BATCH // 4):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await loop.sock_connect(sock, (host_port[0], int(host_port[1])))
        for each in range(14):
            name = f"unread-{id(count):x}-{time.monotonic_ns()}-{number}-{each}"
            await loop.sock_sendall(sock, head_of(name, 0))
            count.left[name] = float("inf")
        socks.append(sock)
    await settled(proxy)
    await asyncio.sleep(0.2)
    for sock in socks:
        sock.shutdown(socket.SHUT_WR)
    for name, at_s in count.left.items():
        if at_s == float("inf"):
            count.left[name] = time.monotonic()
            cases += name not in count.arrived
    await asyncio.sleep(WAIT_S)

    async def read_all(sock: socket.socket) -> None:
        with contextlib.suppress(ConnectionError):
            while await loop.sock_recv(sock, 65536):
                pass
        sock.close()

    async with asyncio.timeout(10):
        await asyncio.gather(*(read_all(sock) for sock in socks))
    return cases


Situation = Callable[[Proxy, Server, Count], Awaitable[int]]
SITUATIONS: dict[str, Situation] = {
    "held": held,
    "standing": standing,
    "behind": behind,
    "between": between,
    "connecting": connecting,
    "large": large,
    "unread": unread,
}


async def measure(name: str, wanted: int) -> dict[str, Any]:
    count, cases = Count(), 0
    discovery = await Discovery().start()
    server = Server("s", count, discovery)
    await server.start()
    told = {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}}
    async with running(discovery, [server], settings=TOLD, configuration=told) as proxy:
        while cases < wanted:
            more = await SITUATIONS[name](proxy, server, count)
            if not more:
                raise RuntimeError(f"{name}: no case came about")
            cases += more
    return {"situation": name, "cases": cases, "late": count.late()}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cases", type=int, default=1000)
    parser.add_argument("--only", nargs="*", choices=SITUATIONS, default=list(SITUATIONS))
    told = parser.parse_args()
    rows = [asyncio.run(measure(name, told.cases)) for name in told.only]
    for row in rows:
        print(f"{row['situation']:12} {row['cases']:6} cases, sent on more than 0.3 s after: {row['late']}")
    print(json.dumps({"leavers": rows}))
    return int(any(row["late"] for row in rows))


if __name__ == "__main__":
    sys.exit(main())
