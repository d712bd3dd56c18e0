"""The operator's configuration as typed, frozen values: routes, services, limits and tenants.

The builders read items that the checks have found sound; fields that they don't know are ignored. Times end
in ``_ms`` and are milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

ROUTES = "route-table"
SERVICES = "backends"
LIMITS = "limits"
TENANTS = "tenants"
VERSION = "version"

STREAMING = "streaming"
IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
ROUTE_KINDS = (STREAMING, IDEMPOTENT, NON_IDEMPOTENT)

TOKEN_METERING = "token_metering"

DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_AIM_MS = 1_000
DEFAULT_PRIORITY = 5
DEFAULT_HEALTH_PATH = "/health"

Item = Mapping[str, Any]


@attrs.frozen(slots=True)
class Engine:
    """What the operator says of the model servers of a service."""

    capacity: int | None
    """Requests that one server runs at once."""
    kv_cache_tokens: int | None
    """Tokens that one server's memory holds."""
    stride: int | None
    """Tokens in one event of a stream."""
    kv_bytes: float | None
    bandwidth_mbps: float | None
    models: tuple[str, ...]


@attrs.frozen(slots=True)
class Service:
    """A set of servers that do the same work."""

    name: str
    health_path: str
    connection_limit: int | None
    """Connections that one server takes from all callers together; None for no limit."""
    engine: Engine | None
    """None where the servers don't run a model."""


@attrs.frozen(slots=True)
class Route:
    """Which requests go to which services, and how they are to be treated."""

    name: str
    host: str
    """Lower case, without a port."""
    prefix: str
    """Begins and ends with a slash."""
    kind: str
    """One of `ROUTE_KINDS`."""
    timeout_ms: float
    aim_ms: float
    """Time to the answer, or to the first event of a stream, within which it earns its full worth."""
    priority: int
    """0 is the highest."""
    targets: tuple[tuple[str, float], ...]
    """Services with their weights; the weights' sum is above 0, single ones may be 0."""
    attempts: int
    """Servers that one try may be sent to."""
    anonymous: bool
    affinity: bool
    resumable: bool
    gap_aim_ms: float | None
    """Longest pause between events of a stream for which it is still in time."""
    unused: str | None = None
    """A service that is named beside a split, which goes before it."""

    @property
    def may_repeat(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.kind == IDEMPOTENT or self.can_resume

    @property
    def can_resume(self) -> bool:
        """Whether answers of this route are streams that may be continued elsewhere."""
        return self.kind == STREAMING and self.resumable


@attrs.frozen(slots=True)
class Limits:
    """Bounds on what a client may send and on how long it may take or be idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


@attrs.frozen(slots=True)
class Tenant:
    """A holder of keys, with its quota over all proxies together."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    """Put before the route's priority; None for the route's own."""
    unit: str | None
    """`TOKEN_METERING` where the quota counts tokens; otherwise it counts requests."""
    uncached_tokens: float
    """What a request counts as that doesn't say its tokens."""
    rate_per_s: float | None
    """None for no limit."""
    burst_size: float

    @property
    def counts_tokens(self) -> bool:
        """Whether the quota is one of tokens, and not of requests."""
        return self.unit == TOKEN_METERING


@attrs.frozen(slots=True)
class Configuration:
    """One version of the whole configuration. Items that a change didn't touch are the same objects."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()

    def service(self, name: str) -> Service | None:
        """The service of that name."""
        return next((service for service in self.services if service.name == name), None)


def normal_host(host: str) -> str:
    """A host as routes are compared by: lower case, without port and without the root's dot."""
    is_literal = host.startswith("[") and "]" in host
    name = host[: host.index("]") + 1] if is_literal else host.partition(":")[0]
    return name.rstrip(".").lower()


def route_from(item: Item) -> Route:
    """A route from a sound item of the route table."""
    kind = _given(item, "route-type", NON_IDEMPOTENT)
    return Route(
        name=item["name"],
        host=normal_host(item["hostname"]),
        prefix=item["path-prefix"],
        kind=kind,
        timeout_ms=_given(item, "timeout-ms", DEFAULT_TIMEOUT_MS),
        aim_ms=_given(item, "target-latency-ms", DEFAULT_AIM_MS),
        priority=int(_given(item, "priority", DEFAULT_PRIORITY)),
        targets=_targets(item),
        unused=item.get("backend") if item.get("traffic-split") else None,
        attempts=int(_given(item, "attempt-limit", 1)),
        anonymous=_given(item, "anonymous-access", False),
        affinity=_given(item, "session-affinity", False),
        resumable=_given(item, "stream-resumption", False),
        gap_aim_ms=item.get("gap_aim_ms"),
    )


def _targets(item: Item) -> tuple[tuple[str, float], ...]:
    split = item.get("traffic-split")
    if not split:
        service = item.get("backend")
        return ((service, 1),) if service is not None else ()
    weights: dict[str, float] = {}
    for part in split:
        weights[part["backend"]] = weights.get(part["backend"], 0) + part["weight"]
    return tuple(weights.items())


def service_from(item: Item) -> Service:
    """A service from a sound item."""
    engine = item.get("inference-engine")
    return Service(
        name=item["name"],
        health_path=_given(item, "health-check", DEFAULT_HEALTH_PATH),
        connection_limit=_whole(item.get("connection-limit")) or None,
        engine=_engine_from(engine) if engine is not None else None,
    )


def _engine_from(item: Item) -> Engine:
    return Engine(
        capacity=_whole(item.get("capacity")),
        kv_cache_tokens=_whole(item.get("kv-cache-tokens")),
        stride=_whole(item.get("stride")),
        kv_bytes=item.get("kv-bytes"),
        bandwidth_mbps=item.get("bandwidth-mbps"),
        models=tuple(model["name"] for model in _given(item, "model-list", ())),
    )


def limits_from(item: Item | None) -> Limits:
    """The limits; those that are not given have their defaults."""
    found = item or {}
    return Limits(
        header_bytes=int(_given(found, "header-limit-bytes", Limits().header_bytes)),
        body_bytes=int(_given(found, "body-limit-bytes", Limits().body_bytes)),
        header_timeout_ms=_given(found, "header-timeout-ms", Limits().header_timeout_ms),
        idle_timeout_ms=_given(found, "idle-timeout-ms", Limits().idle_timeout_ms),
    )


def tenant_from(item: Item) -> Tenant:
    """A tenant from a sound item."""
    return Tenant(
        name=item["name"],
        keys=tuple(_given(item, "api-keys", ())),
        priority=_whole(item.get("priority")),
        unit=item.get("unit"),
        uncached_tokens=_given(item, "uncached-tokens", 0),
        rate_per_s=item.get("rate-per-s") or None,
        burst_size=_given(item, "burst-size", 0),
    )


def _given(item: Item, field: str, default: Any) -> Any:
    value = item.get(field)
    return default if value is None else value


def _whole(value: float | None) -> int | None:
    return None if value is None else int(value)
