"""Resident size of one client proxy over a long run, by quarters: of what has gone, nothing may be kept.

    python -m benchmarks.resident [--minutes 8] [--callers 16]

The program runs as `run` starts it. All that could be kept is new all the time: connections, request ids,
keys, idempotency keys and tenants; and a server is replaced by one of a new id every half second. Prints a
table and a JSON line; exits 1 if the last quarter's median is more than 2 MB over the second's.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import time
from typing import Any

from tests.sockets import SETTINGS, Client, Discovery, Host, Proxy, running

GROWTH_MB = 2.0
CLASSES = ("/keyed", "/unsafe")


async def call(proxy: Proxy, chance: random.Random, end_s: float, tally: dict[int, int]) -> None:
    """One caller: a new connection for every few requests, of a client that is never seen again."""
    while time.monotonic() < end_s:
        client: Client = await proxy.client()
        for _ in range(chance.randrange(1, 6)):
            key, tenant = chance.getrandbits(64), chance.randrange(50)
            target = f"{chance.choice(CLASSES)}?obj={key:016x}"
            client.send(target, extra=f"X-Tenant-Id: t{tenant}\r\n")
            got = await client.read()
            tally[got.status] = tally.get(got.status, 0) + 1
            if got.headers.get("connection") == "close":
                break
        client.writer.close()


async def replace(discovery: Discovery, hosts: list[Host], end_s: float) -> int:
    """The oldest server goes and a new one comes, at the same stand-in: only its id is new."""
    count = 0
    while time.monotonic() < end_s:
        await asyncio.sleep(0.5)
        gone = hosts.pop(0)
        left = gone.entry("left")
        count += 1
        gone.name = f"s{count}"
        hosts.append(gone)
        await discovery.change(left, gone.entry())
    return count


async def measure(minutes: float, callers: int) -> dict[str, Any]:
    discovery, hosts = await Discovery().start(), [await Host(f"h{i}").start() for i in range(8)]
    tally: dict[int, int] = {}
    seen: list[tuple[float, float]] = []
    async with running(discovery, list(hosts), settings={**SETTINGS, "balancers": 8}) as proxy:
        began_s = time.monotonic()
        end_s = began_s + 60 * minutes
        work = [asyncio.create_task(call(proxy, random.Random(n), end_s, tally)) for n in range(callers)]
        changes = asyncio.create_task(replace(discovery, hosts, end_s))
        while time.monotonic() < end_s:
            await asyncio.sleep(0.5)
            seen.append((time.monotonic() - began_s, proxy.memory_mb("VmRSS")))
            for host in hosts:
                host.seen.clear()
        await asyncio.gather(*work)
        replaced = await changes
    quarters = [
        statistics.median(mb for at_s, mb in seen if q <= 4 * at_s / (60 * minutes) < q + 1) for q in range(4)
    ]
    return {"minutes": minutes, "answers": tally, "servers_replaced": replaced, "mb_by_quarter": quarters}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=8.0)
    parser.add_argument("--callers", type=int, default=16)
    told = parser.parse_args()
    row = asyncio.run(measure(told.minutes, told.callers))
    print(f"{sum(row['answers'].values())} answers, {row['servers_replaced']} servers replaced")
    for number, mb in enumerate(row["mb_by_quarter"], 1):
        print(f"quarter {number}: {mb:.1f} MB")
    print(json.dumps({"resident": row}))
    return int(row["mb_by_quarter"][3] > row["mb_by_quarter"][1] + GROWTH_MB)


if __name__ == "__main__":
    sys.exit(main())
