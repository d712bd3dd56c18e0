"""The generated load: kinds of requests, tenants, prompts and routes."""

from __future__ import annotations

import random

import attrs


@attrs.frozen(slots=True)
class RequestKind:
    """One kind of request. `rate_per_s` is over all clients."""

    name: str
    route: str
    host: str
    path: str
    backends: frozenset[str]
    rate_per_s: float
    deadline_ms: int
    target_ms: float
    idempotent: bool = False
    streaming: bool = False
    is_resumable: bool = False
    retries: int = 1
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    body_bytes: int = 200
    tenant: str = ""  # the only tenant that sends it; empty: all tenants, by share
    within_quota: bool = True  # False: exceeds a tenant's quota on purpose


@attrs.frozen(slots=True)
class Tenant:
    """A tenant: its API keys, its share of the load, and its quota in tokens (a rate of 0: no quota)."""

    name: str
    keys: tuple[str, ...]
    share: float
    rate_per_s: float = 0.0
    burst_size: float = 0.0


@attrs.frozen(slots=True)
class RequestTemplate:
    """One drawn request; all its attempts carry the same content."""

    kind: RequestKind
    tenant: Tenant
    key: str
    path: str
    body: bytes
    prefix: str
    tokens: tuple[int, int]
    is_chunked: bool


class LoadGenerator:
    """Draws requests. They share a few prompt prefixes, so that the servers' caches have hits."""

    def __init__(self, tenants: tuple[Tenant, ...], seed: int, subjects: int = 12) -> None:
        self._tenants = tenants
        self._random = random.Random(seed)
        self._subjects = [f"{self._random.getrandbits(32):08x}" for _ in range(subjects)]

    def draw_request(self, kind: RequestKind) -> RequestTemplate:
        draw = self._random
        tenant = self._tenant(kind)
        body = f"{draw.getrandbits(64):016x}".encode()
        prefix, tokens = "", (0, 0)
        if kind.streaming:
            own = max(1, int(kind.own_tokens * draw.uniform(0.5, 1.5)))
            output = max(1, int(kind.output_tokens * draw.uniform(0.6, 1.4)))
            shared = draw.choice(self._subjects)
            prefix = f"{shared}:{kind.shared_tokens},{draw.getrandbits(32):08x}:{own}"
            tokens = (kind.shared_tokens + own, output)
        return RequestTemplate(
            kind=kind,
            tenant=tenant,
            key=draw.choice(tenant.keys),
            path=f"{kind.path}{draw.getrandbits(8):x}",
            body=body * max(1, kind.body_bytes // len(body)),
            prefix=prefix,
            tokens=tokens,
            is_chunked=draw.random() < 0.2,
        )

    def _tenant(self, kind: RequestKind) -> Tenant:
        asking = [tenant for tenant in self._tenants if not kind.tenant or tenant.name == kind.tenant]
        weights = [tenant.share if not kind.tenant else 1.0 for tenant in asking]
        return self._random.choices(asking, weights)[0]

    def attempt_id(self) -> str:
        """Returns a random id for an attempt or an operation."""
        return f"{self._random.getrandbits(64):016x}"

    def pause_s(self, rate_per_s: float) -> float:
        """Returns the exponentially distributed pause before the next request of a kind."""
        return self._random.expovariate(rate_per_s)
