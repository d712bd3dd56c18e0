"""The operator of a soak run: valid, invalid, concurrent and repeated orders, and their results.

An order is a call that changes the configuration.
"""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import attrs

from cloverrouter.lab.fleet import deployment
from cloverrouter.lab.fleet.control_calls import ControlCaller, NoDefinitiveAnswer
from cloverrouter.lab.fleet.operator import PATH, apply_patch
from cloverrouter.lab.fleet.wire import Answer, WireError

Document = dict[str, Any]

BRANCH_SERVICE = "branch-desk"
SOAK_ROUTE_COUNT = 6
ORDER_TIMEOUT_S = 15.0
VERSION_CONFLICT = 412
CHANGE_KINDS = ("add", "move", "remove", "split", "timeout", "key", "whole", "large")
LARGE_ROUTE_COUNT = 1500  # about half a megabyte
INVALID_KINDS = (
    "cut short", "unknown service", "same place", "no weight", "no timeout", "old version", "same version",
    "shared key",
)  # fmt: skip


@attrs.define(slots=True)
class SentOrder:
    """One order and its result; `status` is None without a definitive answer. Times in seconds."""

    version: int
    base: int
    document: Document  # the whole configuration with this order applied
    sent_at: float
    method: str = "PUT"
    body: Any = None
    is_valid: bool = True
    description: str = ""
    status: int | None = None
    answered_at: float | None = None

    @property
    def is_acknowledged(self) -> bool:
        """Returns whether it was confirmed."""
        return self.status is not None and self.status < 300

    @property
    def may_be_in_force(self) -> bool:
        """Returns whether it is valid and was confirmed or has no definitive answer."""
        return self.is_valid and (self.status is None or self.status < 300)


@attrs.frozen(slots=True)
class ObservedRead:
    """A successful read of the configuration. Times in seconds."""

    sent_at: float
    answered_at: float
    version: int
    document: Document
    address: str


class Operator:
    """Sends orders one after the other, some of them in concurrent pairs."""

    def __init__(self, addresses: Sequence[str], seed: int, clock: Callable[[], float]) -> None:
        self.sent: list[SentOrder] = []
        self.reads: list[ObservedRead] = []
        self._caller = ControlCaller(addresses, seed)
        self._addresses = list(addresses)
        self._random = Random(f"orders {seed}")
        self._clock = clock
        self._version = 3
        self.current: Document = {"version": 0}

    async def submit_initial(self, document: Document, within_s: float) -> None:
        """Submits the first configuration and records its result."""
        await self._submit(
            SentOrder(document["version"], 0, document, self._clock(), "PUT", document), within_s
        )

    async def run(self, gap_s: float) -> None:
        """Performs random steps until it is cancelled; `gap_s` is the mean pause."""
        while True:
            await asyncio.sleep(self._random.expovariate(1 / gap_s))
            await self.step()

    async def step(self) -> None:
        """Performs one random step: a change, a race, an invalid or repeated order, or a read."""
        draw = self._random.random()
        if draw < 0.45:
            await self.change()
        elif draw < 0.60:
            await self._send_race()
        elif draw < 0.75:
            await self._send_invalid()
        elif draw < 0.87:
            await self._repeat_newest()
        else:
            await self.read()

    async def change(self, kind: str = "") -> SentOrder:
        """Sends one valid change on the newest known version."""
        order = self._draw_valid(kind or self._random.choice(CHANGE_KINDS))
        await self._submit(order)
        return order

    async def _send_race(self) -> None:
        one, other = (self._draw_valid(self._random.choice(CHANGE_KINDS)) for _ in range(2))
        await asyncio.gather(self._submit(one), self._submit(other))

    async def _repeat_newest(self) -> None:
        """Repeats the newest confirmed order if nothing changed since; it must be confirmed again."""
        newest = max((sent for sent in self.sent if sent.is_acknowledged), key=lambda sent: sent.version)
        if newest.version != self.current["version"]:
            return
        repeat = attrs.evolve(
            newest, sent_at=self._clock(), status=None, answered_at=None, description="again"
        )
        await self._submit(repeat)

    async def _send_invalid(self) -> None:
        await self._submit(self._draw_invalid(self._random.choice(INVALID_KINDS)))

    async def read(self, within_s: float = 5.0) -> ObservedRead | None:
        """Reads the configuration from a random machine; None if that fails."""
        address = self._random.choice(self._addresses)
        sent_at = self._clock()
        try:
            answer = await self._caller.call_once(address, "GET", PATH, None, {}, within_s)
            if answer.status != 200:
                return None
            document = answer.json()
        except (OSError, WireError, TimeoutError):
            return None
        found = ObservedRead(sent_at, self._clock(), document["version"], document, address)
        self.reads.append(found)
        return found

    async def _submit(self, sent: SentOrder, within_s: float = ORDER_TIMEOUT_S) -> None:
        self.sent.append(sent)
        headers = {"If-Match": str(sent.base)}
        try:
            answer: Answer = await self._caller.call_until_definitive(
                sent.method, PATH, sent.body, headers, within_s
            )
        except NoDefinitiveAnswer:
            await self.refresh()
            return
        sent.answered_at = self._clock()
        sent.status = answer.status
        if sent.is_acknowledged and sent.is_valid and sent.version > self.current["version"]:
            self.current = sent.document
        elif answer.status == VERSION_CONFLICT:
            await self.refresh()

    async def refresh(self) -> None:
        """Reads the configuration in force, after an unclear answer or a version conflict."""
        for _ in range(40):
            found = await self.read(1.0)
            if found is not None:
                if found.version >= self.current["version"]:
                    self.current = found.document
                return
            await asyncio.sleep(0.2)

    # Generation of orders

    def _next_version(self) -> int:
        self._version = max(self._version, self.current["version"]) + self._random.randint(1, 3)
        return self._version

    def _patch(self, change: Document, description: str) -> SentOrder:
        version = self._next_version()
        body = {"version": version, **change}
        whole = apply_patch(self.current, body)
        return SentOrder(
            version, self.current["version"], whole, self._clock(), "PATCH", body, description=description
        )

    def _draw_valid(self, kind: str) -> SentOrder:
        present = [item["name"] for item in self.current["route-table"] if item["name"].startswith("r-soak-")]
        absent = [name for name in map(route_name, range(SOAK_ROUTE_COUNT)) if name not in present]
        if kind == "add" and absent:
            return self._upsert_route(self._random.choice(absent), kind)
        if kind in ("move", "split") and present:
            return self._upsert_route(self._random.choice(present), kind)
        if kind == "remove" and len(present) > 1:
            return self._patch({"delete": {"route-table": [self._random.choice(present)]}}, kind)
        if kind == "key":
            return self._change_keys()
        if kind in ("whole", "large"):
            document = {**copy.deepcopy(self.current), "version": self._next_version()}
            other_routes = [
                item for item in document["route-table"] if not item["name"].startswith("r-many-")
            ]
            many_routes = [
                soak_route(f"r-many-{number}", BRANCH_SERVICE) for number in range(LARGE_ROUTE_COUNT)
            ]
            document["route-table"] = other_routes + (many_routes if kind == "large" else [])
            base = self.current["version"]
            return SentOrder(
                document["version"], base, document, self._clock(), "PUT", document, description=kind
            )
        lookup = next(item for item in self.current["route-table"] if item["name"] == "r-lookup")
        timeout_ms = self._random.randint(1200, 1800)
        return self._patch({"upsert": {"route-table": [{**lookup, "timeout-ms": timeout_ms}]}}, "timeout")

    def _upsert_route(self, name: str, kind: str) -> SentOrder:
        item = soak_route(name, self._random.choice((deployment.DESK_SERVICE, BRANCH_SERVICE)))
        if kind == "split":
            weight = self._random.choice((0, 10, 50))
            parts = ((deployment.DESK_SERVICE, weight), (BRANCH_SERVICE, 100 - weight))
            del item["backend"]
            item["traffic-split"] = [{"backend": service, "weight": share} for service, share in parts]
        return self._patch({"upsert": {"route-table": [item]}}, kind)

    def _change_keys(self) -> SentOrder:
        tenant = next(item for item in self.current["tenants"] if item["name"] == deployment.TENANTS[0].name)
        keys = [*deployment.TENANTS[0].keys, f"k-extra-{self._random.getrandbits(32):08x}"]
        return self._patch({"upsert": {"tenants": [{**tenant, "api-keys": keys}]}}, "key")

    def _draw_invalid(self, kind: str) -> SentOrder:
        whole: Any = copy.deepcopy(self.current)
        base = self.current["version"]
        version = whole["version"] = self._next_version()
        routes, tenants = whole["route-table"], whole["tenants"]
        if kind == "unknown service":
            routes[0] = {**routes[0], "backend": "nobody"}
        elif kind == "same place":
            routes.append({**routes[0], "name": "r-other", "hostname": routes[0]["hostname"].upper()})
        elif kind == "no weight":
            routes[0] = {
                **routes[0],
                "traffic-split": [{"backend": deployment.DESK_SERVICE, "weight": 0}],
            }
        elif kind == "no timeout":
            routes[0] = {**routes[0], "timeout-ms": 0}
        elif kind == "old version":
            version = whole["version"] = max(1, base - 1)
        elif kind == "same version":
            version = whole["version"] = base
        elif kind == "shared key":
            tenants[1] = {**tenants[1], "api-keys": [*tenants[1]["api-keys"], tenants[0]["api-keys"][0]]}
        body = json.dumps(whole).encode()[:-20] if kind == "cut short" else whole
        return SentOrder(version, base, whole, self._clock(), "PUT", body, is_valid=False, description=kind)


def route_name(number: int) -> str:
    """Returns the name of a route that the operator adds and removes."""
    return f"r-soak-{number}"


def soak_route(name: str, service: str) -> Document:
    """Returns a route to this service that the operator adds and removes."""
    return {
        "name": name,
        "hostname": deployment.HOST,
        "path-prefix": f"/{name}/",
        "route-type": "idempotent",
        "timeout-ms": 1500,
        "target-latency-ms": 150,
        "priority": 1,
        "backend": service,
        "attempt-limit": 2,
        "anonymous-access": False,
        "session-affinity": False,
        "stream-resumption": False,
    }


def initial_document() -> Document:
    """Returns the first configuration: the demo's, with one more service and one soak route."""
    document = deployment.first_configuration()
    branch = {**document["backends"][-1], "name": BRANCH_SERVICE}
    document["backends"].append(branch)
    document["route-table"].append(soak_route(route_name(0), deployment.DESK_SERVICE))
    return document
