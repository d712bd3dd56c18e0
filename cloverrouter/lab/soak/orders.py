"""The operator of a soak run: valid and invalid changes, races, orders sent again, and what came of them."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import attrs

from cloverrouter.lab.fleet import deployment
from cloverrouter.lab.fleet.control_calls import ControlCaller, NoAnswer
from cloverrouter.lab.fleet.operator import PATH, patched
from cloverrouter.lab.fleet.wire import Answer, WireError

Document = dict[str, Any]

BRANCH_SERVICE = "branch-desk"
ROUTES = 6
ORDER_WITHIN_S = 15.0
OTHER_VERSION = 412
CHANGES = ("add", "move", "remove", "split", "timeout", "key", "whole", "large")
LARGE_ROUTES = 1500  # about half a megabyte
INVALID = (
    "cut short", "unknown service", "same place", "no weight", "no timeout", "old version", "same version",
    "shared key",
)  # fmt: skip


@attrs.define(slots=True)
class Sent:
    """One order and what came of it: `status` None while, or if never, there was a clear answer."""

    version: int
    base: int
    document: Document  # whole, as it would be in force
    sent_at: float
    method: str = "PUT"
    body: Any = None
    is_valid: bool = True
    what: str = ""
    status: int | None = None
    answered_at: float | None = None

    @property
    def is_acknowledged(self) -> bool:
        """Whether it was confirmed."""
        return self.status is not None and self.status < 300

    @property
    def may_be_in_force(self) -> bool:
        """Whether it was confirmed, or has no clear answer."""
        return self.is_valid and (self.status is None or self.status < 300)


@attrs.frozen(slots=True)
class ReadBack:
    """An answered read of the configuration."""

    sent_at: float
    answered_at: float
    version: int
    document: Document
    address: str


class Operator:
    """Sends orders one after the other, some of them in pairs."""

    def __init__(self, addresses: Sequence[str], seed: int, clock: Callable[[], float]) -> None:
        self.sent: list[Sent] = []
        self.reads: list[ReadBack] = []
        self._caller = ControlCaller(addresses, seed)
        self._addresses = list(addresses)
        self._random = Random(f"orders {seed}")
        self._clock = clock
        self._version = 3
        self.current: Document = {"version": 0}

    async def first(self, document: Document, within_s: float) -> None:
        """Brings the first configuration. Raises NoAnswer."""
        await self._order(Sent(document["version"], 0, document, self._clock(), "PUT", document), within_s)

    async def go_on(self, gap_s: float) -> None:
        """Changes and reads until it is cancelled."""
        while True:
            await asyncio.sleep(self._random.expovariate(1 / gap_s))
            await self.step()

    async def step(self) -> None:
        """The next thing that the operator does."""
        draw = self._random.random()
        if draw < 0.45:
            await self.change()
        elif draw < 0.60:
            await self._race()
        elif draw < 0.75:
            await self._send_invalid()
        elif draw < 0.87:
            await self._send_again()
        else:
            await self.read()

    async def change(self, kind: str = "") -> Sent:
        """One valid change on the newest version that is known."""
        order = self._valid(kind or self._random.choice(CHANGES))
        await self._order(order)
        return order

    async def _race(self) -> None:
        one, other = (self._valid(self._random.choice(CHANGES)) for _ in range(2))
        await asyncio.gather(self._order(one), self._order(other))

    async def _send_again(self) -> None:
        """The newest confirmed order once more, when nothing was changed since: it is confirmed again."""
        newest = max((sent for sent in self.sent if sent.is_acknowledged), key=lambda sent: sent.version)
        if newest.version != self.current["version"]:
            return
        again = attrs.evolve(newest, sent_at=self._clock(), status=None, answered_at=None, what="again")
        await self._order(again)

    async def _send_invalid(self) -> None:
        await self._order(self._invalid(self._random.choice(INVALID)))

    async def read(self, within_s: float = 5.0) -> ReadBack | None:
        """The newest configuration from any machine, or None."""
        address = self._random.choice(self._addresses)
        sent_at = self._clock()
        try:
            answer = await self._caller.once(address, "GET", PATH, None, {}, within_s)
            if answer.status != 200:
                return None
            document = answer.json()
        except (OSError, WireError, TimeoutError):
            return None
        found = ReadBack(sent_at, self._clock(), document["version"], document, address)
        self.reads.append(found)
        return found

    async def _order(self, sent: Sent, within_s: float = ORDER_WITHIN_S) -> None:
        self.sent.append(sent)
        headers = {"If-Match": str(sent.base)}
        try:
            answer: Answer = await self._caller.until_clear(sent.method, PATH, sent.body, headers, within_s)
        except NoAnswer:
            await self.find_out()
            return
        sent.answered_at = self._clock()
        sent.status = answer.status
        if sent.is_acknowledged and sent.is_valid and sent.version > self.current["version"]:
            self.current = sent.document
        elif answer.status == OTHER_VERSION:
            await self.find_out()

    async def find_out(self) -> None:
        """What is in force, after an order without a clear answer or one that came too late."""
        for _ in range(40):
            found = await self.read(1.0)
            if found is not None:
                if found.version >= self.current["version"]:
                    self.current = found.document
                return
            await asyncio.sleep(0.2)

    # What is ordered

    def _next_version(self) -> int:
        self._version = max(self._version, self.current["version"]) + self._random.randint(1, 3)
        return self._version

    def _patch(self, change: Document, what: str) -> Sent:
        version = self._next_version()
        body = {"version": version, **change}
        whole = patched(self.current, body)
        return Sent(version, self.current["version"], whole, self._clock(), "PATCH", body, what=what)

    def _valid(self, kind: str) -> Sent:
        held = [item["name"] for item in self.current["route-table"] if item["name"].startswith("r-soak-")]
        absent = [name for name in map(route_name, range(ROUTES)) if name not in held]
        if kind == "add" and absent:
            return self._upsert_route(self._random.choice(absent), kind)
        if kind in ("move", "split") and held:
            return self._upsert_route(self._random.choice(held), kind)
        if kind == "remove" and len(held) > 1:
            return self._patch({"delete": {"route-table": [self._random.choice(held)]}}, kind)
        if kind == "key":
            return self._change_keys()
        if kind in ("whole", "large"):
            document = {**copy.deepcopy(self.current), "version": self._next_version()}
            kept = [item for item in document["route-table"] if not item["name"].startswith("r-many-")]
            many = [soak_route(f"r-many-{number}", BRANCH_SERVICE) for number in range(LARGE_ROUTES)]
            document["route-table"] = kept + (many if kind == "large" else [])
            base = self.current["version"]
            return Sent(document["version"], base, document, self._clock(), "PUT", document, what=kind)
        lookup = next(item for item in self.current["route-table"] if item["name"] == "r-lookup")
        timeout_ms = self._random.randint(1200, 1800)
        return self._patch({"upsert": {"route-table": [{**lookup, "timeout-ms": timeout_ms}]}}, "timeout")

    def _upsert_route(self, name: str, kind: str) -> Sent:
        item = soak_route(name, self._random.choice((deployment.DESK_SERVICE, BRANCH_SERVICE)))
        if kind == "split":
            weight = self._random.choice((0, 10, 50))
            parts = ((deployment.DESK_SERVICE, weight), (BRANCH_SERVICE, 100 - weight))
            del item["backend"]
            item["traffic-split"] = [{"backend": service, "weight": share} for service, share in parts]
        return self._patch({"upsert": {"route-table": [item]}}, kind)

    def _change_keys(self) -> Sent:
        tenant = next(item for item in self.current["tenants"] if item["name"] == deployment.TENANTS[0].name)
        keys = [*deployment.TENANTS[0].keys, f"k-extra-{self._random.getrandbits(32):08x}"]
        return self._patch({"upsert": {"tenants": [{**tenant, "api-keys": keys}]}}, "key")

    def _invalid(self, kind: str) -> Sent:
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
        return Sent(version, base, whole, self._clock(), "PUT", body, is_valid=False, what=kind)


def route_name(number: int) -> str:
    """Of a route that comes and goes."""
    return f"r-soak-{number}"


def soak_route(name: str, service: str) -> Document:
    """A route that comes and goes, to this service."""
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


def first_document() -> Document:
    """The first configuration: that of the demo, with one more service and one route of these."""
    document = deployment.first_configuration()
    branch = {**document["backends"][-1], "name": BRANCH_SERVICE}
    document["backends"].append(branch)
    document["route-table"].append(soak_route(route_name(0), deployment.DESK_SERVICE))
    return document
