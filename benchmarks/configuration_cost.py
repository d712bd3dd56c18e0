"""Processor time of orders on a configuration of many routes: check, apply and look-ups.

python -m benchmarks.configuration_cost [ROUTES]
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import Any

from cloverrouter.control.orders import ConfigurationMachine, Order
from cloverrouter.control.routing import RoutingTable
from cloverrouter.control.updates import apply_frame
from cloverrouter.messages.codec import encode
from tests.system.configurations import document, route, send


def milliseconds(work: Callable[[], Any]) -> float:
    began = time.process_time()
    work()
    return (time.process_time() - began) * 1000


def best(work: Callable[[], Any], times: int = 20) -> float:
    return min(milliseconds(work) for _ in range(times))


def main() -> None:
    routes = int(sys.argv[1]) if len(sys.argv) > 1 else 2000
    small, machine = ConfigurationMachine(), ConfigurationMachine()
    send(small, "PUT", "0", document(1, 1))
    whole = encode(Order("PUT", "1", json.dumps(document(2, routes)).encode()))
    print(f"PUT of {routes} new routes, decided: {best(lambda: small.decide(whole), 5):.2f} ms")

    send(machine, "PUT", "0", document(1, routes))
    again = encode(Order("PUT", "1", json.dumps(document(2, routes + 1)).encode()))
    print(f"PUT with 1 new route of {routes + 1}, decided: {best(lambda: machine.decide(again), 5):.2f} ms")
    update = machine.decide(again).update or b""
    empty = ConfigurationMachine().state
    print(f"  applied by a proxy that has nothing: {best(lambda: apply_frame(empty, update), 5):.2f} ms")

    patch = {"version": 2, "upsert": {"route-table": [route("r7", priority=4)]}}
    order = encode(Order("PATCH", "1", json.dumps(patch).encode()))
    print(f"PATCH of one route, decided: {best(lambda: machine.decide(order)):.2f} ms")
    delta = machine.decide(order).update or b""
    state = machine.state
    print(f"  applied by a proxy: {best(lambda: apply_frame(state, delta)):.3f} ms, {len(delta)} bytes")
    configuration = state.configuration()
    print(f"  typed configuration: {best(state.configuration):.3f} ms")
    print(f"  routing table: {best(lambda: RoutingTable(configuration)):.2f} ms")
    print(f"GET: {best(state.json):.2f} ms, {len(state.json())} bytes")
    table = RoutingTable(configuration)
    cost = best(lambda: [table.match(b"one.example", b"/r7/2f/3") for _ in range(10000)]) / 10
    print(f"match: {cost:.2f} us")


if __name__ == "__main__":
    main()
