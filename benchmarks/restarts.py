"""Restarts under load: SIGTERM with requests held, in flight, and arriving on open and on new connections.

    python -m benchmarks.restarts [--times 200] [--beside 8]

The program runs as `run` starts it. Clients do what the page says: one request at a time on a connection
that is kept; new connections for a while after SIGTERM; on every connection that stays open, for as long as
it does; a request that crosses the close of its connection once more on a new one. Counted at the clients:
requests taken and left without a whole answer. Prints a table and a JSON line; exits 1 if any was lost,
found nobody when it came again, or a process ended badly.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
from dataclasses import dataclass, field
from typing import Any

from tests.sockets import SETTINGS, Client, Discovery, Host, Message, Proxy, ReceivedRequest, ok, running

# Deadlines of three kinds; the page counts the longest, up to 3 s, towards the kill.
CLASSES = [
    {**told, "aim_ms": aim_ms, "deadline_ms": deadline_ms}
    for told, (aim_ms, deadline_ms) in zip(
        SETTINGS["categories"], ((600, 1000), (250, 400), (900, 1500)), strict=True
    )
]
COMING_S = 0.3  # after SIGTERM new connections keep coming for so long
KILLED_S = 1.5 + 0.7


@dataclass
class Tally:
    asked: int = 0
    answered: int = 0
    again: int = 0  # crossed the close of their connection, and came again
    no_place: int = 0  # could not come again, as nobody listened any more
    lost: list[str] = field(default_factory=list)
    codes: list[int] = field(default_factory=list)


class Caller:
    """One client's connections, one after the other."""

    def __init__(self, proxy: Proxy, tally: Tally, chance: random.Random, stopped: asyncio.Event) -> None:
        self.proxy, self.tally, self.chance, self.stopped = proxy, tally, chance, stopped
        self.coming_until = float("inf")

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.stopped.is_set() or loop.time() < self.coming_until:
            try:
                client = await self.proxy.client()
            except OSError:
                return
            await self.use(client)
            client.writer.close()

    async def use(self, client: Client) -> None:
        """Until the connection ends."""
        first = True
        while True:
            if not first or self.chance.random() < 0.3:  # some connect and speak a little later
                await asyncio.sleep(self.chance.choice((0.0, 0.001, 0.02, 0.15, 0.4)))
            if client.reader.at_eof():
                return
            target = self.chance.choice(("/keyed", "/safe", "/unsafe"))
            got = await self.ask(client, target)
            if got is None:  # the close crossed it
                self.tally.again += 1
                try:
                    other = await self.proxy.client()
                except OSError:
                    self.tally.no_place += 1
                    return
                got = await self.ask(other, target)
                other.writer.close()
                if got is None:
                    self.tally.lost.append(f"{target}, twice")
                return
            if got.headers.get("connection") == "close":
                return
            first = False

    async def ask(self, client: Client, target: str) -> Message | None:
        """None: the connection ended without a byte of an answer."""
        self.tally.asked += 1
        timeout_ms = {"/keyed": 1000, "/safe": 400, "/unsafe": 1500}[target]
        if target == "/safe":
            client.count += 1
            name = f"{id(client):x}-{client.count}"
            head = f"GET /safe HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: {timeout_ms}\r\n\r\n"
            client.writer.write(head.encode())
        else:
            client.send(target, timeout_ms=timeout_ms)
        try:
            got = await asyncio.wait_for(client.read(), timeout_ms / 1000 + 3)
        except asyncio.IncompleteReadError as error:
            if error.partial:
                self.tally.lost.append(f"{target}, cut after {len(error.partial)} bytes")
                return Message("HTTP/1.1 0", {"connection": "close"}, b"")
            return None
        except ConnectionError:
            return None
        except TimeoutError:
            self.tally.lost.append(f"{target}, never answered")
            return Message("HTTP/1.1 0", {"connection": "close"}, b"")
        self.tally.answered += 1
        return got


async def restart(seed: int, tally: Tally) -> None:
    chance = random.Random(seed)

    async def respond(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(chance.choice((0.0, 0.01, 0.05, 0.3, 0.8, 5.0)))
        writer.write(ok())

    discovery = await Discovery().start()
    hosts = [await Host(f"h{number}", respond).start() for number in range(4)]
    more: dict[str, Any] = {"limits": {"cores": 1.0, "memory_mb": 96, "sockets": 512}}
    async with running(discovery, hosts, settings={"categories": CLASSES}, configuration=more) as proxy:
        stopped = asyncio.Event()
        callers = [Caller(proxy, tally, chance, stopped) for _ in range(16)]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(0.4 + chance.random() * 0.4)
        loop = asyncio.get_running_loop()
        for caller in callers:
            caller.coming_until = loop.time() + COMING_S
        stopped.set()
        proxy.process.send_signal(signal.SIGTERM)
        ended = asyncio.create_task(proxy.ended())
        await asyncio.wait({ended}, timeout=KILLED_S + 0.05)
        if not ended.done():
            proxy.process.kill()
        tally.codes.append(await ended)
        await asyncio.gather(*tasks)


async def measure(times: int, beside: int) -> Tally:
    tally, seeds = Tally(), iter(range(times))

    async def some() -> None:
        for seed in seeds:
            await restart(seed, tally)

    await asyncio.gather(*(some() for _ in range(beside)))
    return tally


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--times", type=int, default=200)
    parser.add_argument("--beside", type=int, default=8, help="restarts at a time")
    told = parser.parse_args()
    tally = asyncio.run(measure(told.times, told.beside))
    bad = [code for code in tally.codes if code != 0]
    print(f"{len(tally.codes)} restarts, {len(bad)} not ended by themselves before the kill: {bad[:5]}")
    print(f"{tally.asked} requests, {tally.answered} answered whole, {tally.again} crossed a close,")
    print(f"came again, and {tally.no_place} of those found nobody; {len(tally.lost)} lost: {tally.lost[:5]}")
    row = {"restarts": len(tally.codes), "bad": len(bad), "asked": tally.asked, "answered": tally.answered,
           "again": tally.again, "no_place": tally.no_place, "lost": len(tally.lost)}  # fmt: skip
    print(json.dumps({"restarts": row}))
    return int(bool(bad or tally.lost or tally.no_place))


if __name__ == "__main__":
    sys.exit(main())
