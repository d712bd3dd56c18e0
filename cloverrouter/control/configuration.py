"""The operator's configuration as typed, immutable values: routes, services, limits and tenants.

The `*_from` functions build them from validated items and ignore unknown fields. Names that end in ``_ms``
are times in milliseconds.
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
DEFAULT_TARGET_LATENCY_MS = 1_000
DEFAULT_PRIORITY = 5
DEFAULT_HEALTH_PATH = "/health"

Item = Mapping[str, Any]


@attrs.frozen(slots=True)
class Engine:
    """The operator's description of the model servers of a service."""

    capacity: int | None
    """Requests that one server runs concurrently."""
    kv_cache_tokens: int | None
    """Tokens that fit into one server's KV cache."""
    stride: int | None
    """Tokens per event of a stream."""
    kv_bytes: float | None
    bandwidth_mbps: float | None
    models: tuple[str, ...]


@attrs.frozen(slots=True)
class Service:
    """A set of interchangeable servers."""

    name: str
    health_path: str
    connection_limit: int | None
    """Connections that one server accepts from all proxies together; None for no limit."""
    engine: Engine | None
    """None if the servers don't run a model."""


@attrs.frozen(slots=True)
class Route:
    """Maps requests to services, and sets how they are handled."""

    name: str
    host: str
    """Lower case, without a port."""
    prefix: str
    """Begins and ends with a slash."""
    kind: str
    """One of `ROUTE_KINDS`."""
    timeout_ms: float
    target_latency_ms: float
    """Target latency: time to the response, or to the first event of a stream, for full value."""
    priority: int
    """0 is the highest."""
    targets: tuple[tuple[str, float], ...]
    """Services with their weights. Single weights may be 0, but their sum is above 0."""
    attempts: int
    """The maximum number of servers that may execute a request, one after another."""
    anonymous: bool
    affinity: bool
    resumable: bool
    gap_aim_ms: float | None
    """Target for the longest pause between two events of a stream; None for no target."""
    overridden_backend: str | None = None
    """The `backend` of a route that also has a traffic split. The split takes precedence."""

    @property
    def may_repeat(self) -> bool:
        """Whether a request of this route may be executed more than once."""
        return self.kind == IDEMPOTENT or self.can_resume

    @property
    def can_resume(self) -> bool:
        """Whether responses of this route are streams that another server may continue."""
        return self.kind == STREAMING and self.resumable


@attrs.frozen(slots=True)
class Limits:
    """Limits on the size of a client's requests, and on how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


@attrs.frozen(slots=True)
class Tenant:
    """An owner of API keys, with a quota that all proxies share."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    """Overrides the route's priority; None to keep the route's."""
    unit: str | None
    """`TOKEN_METERING` if the quota counts tokens; otherwise it counts requests."""
    uncached_tokens: float
    """The tokens that a request counts as if it doesn't state its token usage."""
    rate_per_s: float | None
    """The rate of the quota; None for no limit."""
    burst_size: float

    @property
    def counts_tokens(self) -> bool:
        """Whether the quota counts tokens rather than requests."""
        return self.unit == TOKEN_METERING


@attrs.frozen(slots=True)
class Configuration:
    """One version of the configuration. Unchanged items are shared with the previous version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()

    def service(self, name: str) -> Service | None:
        """Returns the service of that name, or None."""
        return next((service for service in self.services if service.name == name), None)


def normalize_host(host: str) -> str:
    """Returns the normalized form of a host: lower case, without the port and without a trailing dot."""
    is_literal = host.startswith("[") and "]" in host
    name = host[: host.index("]") + 1] if is_literal else host.partition(":")[0]
    return name.rstrip(".").lower()


def route_from(item: Item) -> Route:
    """Returns the route for a validated item of the route table."""
    kind = _value_or_default(item, "route-type", NON_IDEMPOTENT)
    return Route(
        name=item["name"],
        host=normalize_host(item["hostname"]),
        prefix=item["path-prefix"],
        kind=kind,
        timeout_ms=_value_or_default(item, "timeout-ms", DEFAULT_TIMEOUT_MS),
        target_latency_ms=_value_or_default(item, "target-latency-ms", DEFAULT_TARGET_LATENCY_MS),
        priority=int(_value_or_default(item, "priority", DEFAULT_PRIORITY)),
        targets=_targets(item),
        overridden_backend=item.get("backend") if item.get("traffic-split") else None,
        attempts=int(_value_or_default(item, "attempt-limit", 1)),
        anonymous=_value_or_default(item, "anonymous-access", False),
        affinity=_value_or_default(item, "session-affinity", False),
        resumable=_value_or_default(item, "stream-resumption", False),
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
    """Returns the service for a validated item."""
    engine = item.get("inference-engine")
    return Service(
        name=item["name"],
        health_path=_value_or_default(item, "health-check", DEFAULT_HEALTH_PATH),
        connection_limit=_optional_int(item.get("connection-limit")) or None,
        engine=_engine_from(engine) if engine is not None else None,
    )


def _engine_from(item: Item) -> Engine:
    return Engine(
        capacity=_optional_int(item.get("capacity")),
        kv_cache_tokens=_optional_int(item.get("kv-cache-tokens")),
        stride=_optional_int(item.get("stride")),
        kv_bytes=item.get("kv-bytes"),
        bandwidth_mbps=item.get("bandwidth-mbps"),
        models=tuple(model["name"] for model in _value_or_default(item, "model-list", ())),
    )


def limits_from(item: Item | None) -> Limits:
    """Returns the limits. Missing ones have their defaults."""
    found = item or {}
    return Limits(
        header_bytes=int(_value_or_default(found, "header-limit-bytes", Limits().header_bytes)),
        body_bytes=int(_value_or_default(found, "body-limit-bytes", Limits().body_bytes)),
        header_timeout_ms=_value_or_default(found, "header-timeout-ms", Limits().header_timeout_ms),
        idle_timeout_ms=_value_or_default(found, "idle-timeout-ms", Limits().idle_timeout_ms),
    )


def tenant_from(item: Item) -> Tenant:
    """Returns the tenant for a validated item."""
    return Tenant(
        name=item["name"],
        keys=tuple(_value_or_default(item, "api-keys", ())),
        priority=_optional_int(item.get("priority")),
        unit=item.get("unit"),
        uncached_tokens=_value_or_default(item, "uncached-tokens", 0),
        rate_per_s=item.get("rate-per-s") or None,
        burst_size=_value_or_default(item, "burst-size", 0),
    )


def _value_or_default(item: Item, field: str, default: Any) -> Any:
    value = item.get(field)
    return default if value is None else value


def _optional_int(value: float | None) -> int | None:
    return None if value is None else int(value)
