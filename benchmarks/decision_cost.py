"""What a decision costs by the size of the fleet: CPU a request inside the decision module, and of its lists.

    python benchmarks/decision_cost.py [--sizes 10,100,1000,5000] [--proxies N] [--full] [--against FOLDER]

One balancer of several is played in simulated time against servers that answer after a while; its part of the
load grows with the fleet, so that each server gets the same. With `--full` it gets half as much again as the
servers bear, and requests are held. `--against` plays another checkout in the same rounds. Prints a table and
one JSON line; figures of one run on one machine are to be compared as ratios.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from heapq import heappop, heappush
from pathlib import Path
from random import Random
from statistics import median

HERE = Path(__file__).resolve().parent.parent
LATENCY_MS = 100.0
BEARS = 8  # requests in work a server, above which its answers take longer
MOST_S = 6.0  # of CPU for one figure


def play(size: int, proxies: int, full: bool) -> dict[str, float]:
    from cloverrouter.decide import Balancer
    from cloverrouter.interface import (
        AttemptEnded,
        EndpointsListed,
        EndpointState,
        ListedEndpoint,
        ListKind,
        Outcome,
        RequestArrived,
        RequestClass,
        Send,
        SetTimer,
        Settings,
        TimerFired,
    )

    random = Random(size)
    cls = RequestClass("join", 600.0, 2000.0, worth=5.0)
    balancer = Balancer(Settings((cls,), zone="z0", proxies=proxies, proxy_index=0), 1)

    def entry(i: int, state: EndpointState = EndpointState.READY) -> ListedEndpoint:
        return ListedEndpoint(f"s{i}", f"z{i % 3}", 0, state=state)

    def taken_ms(event: EndpointsListed) -> float:
        begun = time.perf_counter()
        balancer.handle(now_ms, [event])
        return (time.perf_counter() - begun) * 1000

    now_ms = 0.0
    full_list_ms = taken_ms(EndpointsListed(ListKind.FULL, tuple(entry(i) for i in range(size))))
    due: list[tuple[float, int, object]] = []
    on_server = dict.fromkeys((f"s{i}" for i in range(size)), 0)
    per_ms = size * (1.5 * BEARS if full else BEARS / 4) / LATENCY_MS / proxies
    usual = per_ms * LATENCY_MS * proxies / size
    order, request, spent, since, spent_then = 0, 0, 0.0, 0, 0.0
    warm = min(3000, max(500, int(per_ms * 4000)))  # windows and limits have found their sizes by then
    asked_ms = 0.0
    sends = answered = 0
    while spent - spent_then < MOST_S and request < warm + 4000:
        if due and due[0][0] <= asked_ms:
            now_ms, _, event = heappop(due)
            if isinstance(event, tuple):
                number, attempt, server, took_ms = event
                on_server[server] -= 1
                answered += 1
                event = AttemptEnded(number, attempt, Outcome.OK, took_ms, True)
        else:
            now_ms = asked_ms
            asked_ms += random.expovariate(per_ms)
            request += 1
            if request == warm:
                since, spent_then = request, spent
            event = RequestArrived(request, "join", now_ms + 2000.0)
        begun = time.perf_counter()
        actions = balancer.handle(now_ms, [event])  # type: ignore[list-item]
        spent += time.perf_counter() - begun
        for action in actions:
            order += 1
            if isinstance(action, Send):
                sends += 1
                on_server[action.endpoint] += 1
                # Many proxies can't all be taken to do as this one does: they send what they should.
                others = (proxies - 1) * on_server[action.endpoint] if proxies <= 12 else usual
                crowd = max(1.0, (on_server[action.endpoint] + others) / BEARS)
                took_ms = random.uniform(0.5, 1.5) * LATENCY_MS * crowd
                heappush(due, (now_ms + took_ms, order, (action.request_id, 0, action.endpoint, took_ms)))
            elif isinstance(action, SetTimer):
                heappush(due, (now_ms + action.delay_ms, order, TimerFired(action.token)))
    changes = []
    for i in range(30):
        for state in (EndpointState.DRAINING, EndpointState.READY):
            changes.append(taken_ms(EndpointsListed(ListKind.DELTA, (entry(i % size, state),))))
    again_ms = taken_ms(EndpointsListed(ListKind.FULL, tuple(entry(i) for i in range(size))))
    return {
        "us": (spent - spent_then) / max(1, request - since) * 1e6,
        "full_list_ms": max(full_list_ms, again_ms),
        "change_ms": median(changes),
        "held": float(len(balancer.requests) - sum(on_server.values())),
        "sent": sends / request,
    }


def measured(folder: Path, size: int, proxies: int, full: bool) -> dict[str, float]:
    command = [sys.executable, __file__, "--play", str(size), "--proxies", str(proxies)]
    command += ["--full"] if full else []
    environ = {**os.environ, "PYTHONPATH": str(folder), "PYTHONHASHSEED": "0"}
    done = subprocess.run(command, env=environ, capture_output=True, text=True, check=True, cwd=folder)
    found: dict[str, float] = json.loads(done.stdout)
    return found


def main() -> None:
    told = argparse.ArgumentParser()
    told.add_argument("--sizes", default="10,100,1000,5000")
    told.add_argument("--proxies", type=int, default=4)
    told.add_argument("--rounds", type=int, default=3)
    told.add_argument("--full", action="store_true")
    told.add_argument("--against", type=Path, help="another checkout")
    told.add_argument("--play", type=int, help=argparse.SUPPRESS)
    args = told.parse_args()
    if args.play:
        print(json.dumps(play(args.play, args.proxies, args.full)))
        return
    folders = {"this": HERE, **({"against": args.against.resolve()} if args.against else {})}
    sizes = [int(text) for text in args.sizes.split(",")]
    heads = f"{'us/request':>12}{'change ms':>11}{'full list ms':>14}{'held':>8}{'sent':>7}"
    print(f"{'':8}{'servers':>9}{heads}")
    lines: list[dict[str, object]] = []
    for size in sizes:
        rounds: dict[str, list[dict[str, float]]] = {name: [] for name in folders}
        for _ in range(args.rounds):
            for name, folder in folders.items():
                rounds[name].append(measured(folder, size, args.proxies, args.full))
        for name, of in rounds.items():
            row = {key: median(one[key] for one in of) for key in of[0]}
            print(f"{name:8}{size:9}{row['us']:12.0f}{row['change_ms']:11.2f}{row['full_list_ms']:14.1f}"
                  f"{row['held']:8.0f}{row['sent']:7.2f}")  # fmt: skip
            lines.append({"which": name, "servers": size, **row})
    print(json.dumps({"proxies": args.proxies, "full": args.full, "figures": lines}))


if __name__ == "__main__":
    main()
