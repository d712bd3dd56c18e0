"""Admits requests before anything is sent: determines route, tenant, service, priority and deadline."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from cloverrouter.control.configuration import Configuration, Route, Tenant
from cloverrouter.control.routing import RoutingTable
from cloverrouter.http.server import Request
from cloverrouter.placement.options import PlacementOptions
from cloverrouter.placement.prefix import NO_PROMPT, Prompt, mix, parse_prompt
from cloverrouter.router import answers
from cloverrouter.router.admitted_request import AdmittedRequest
from cloverrouter.router.headers import (
    LAST_EVENT_ID,
    MODEL,
    PROMPT_PREFIX,
    bearer_key,
    deadline_ms,
    text,
    token_usage,
)
from cloverrouter.router.ranks import LOWEST_RANK, Ranks
from cloverrouter.router.stated_deadlines import StatedDeadlines

SPLIT_SALT = 0x5DEECE66D
STALE_KEYS_RETRY_AFTER_S = 0.3
"""`Retry-After` of a proxy that may not know about revoked keys; the retry ideally goes to another proxy."""


@attrs.frozen(slots=True)
class Rejection:
    """The proxy's own answer to a request that is sent to no server."""

    status: int
    retry_after_s: float | None = None


class RequestAdmission:
    """Admits requests under one configuration.

    `has_ready_server` tells whether a service has a ready server; `random` returns numbers in [0, 1);
    `deadlines` holds the deadlines that clients stated, by the name of the route.
    """

    def __init__(
        self,
        configuration: Configuration,
        table: RoutingTable,
        has_ready_server: Callable[[str], bool],
        random: Callable[[], float],
        options: PlacementOptions,
        deadlines: dict[str, StatedDeadlines],
    ) -> None:
        self._table = table
        self._has_ready_server = has_ready_server
        self._random = random
        self._options = options
        self._ranks = Ranks(configuration)
        routes = {route.name for route in configuration.routes}
        self.deadlines = {name: history for name, history in deadlines.items() if name in routes}

    def admit(self, request: Request, keys_are_current: bool) -> AdmittedRequest | Rejection:
        """Returns the admitted request, or the answer that rejects it."""
        route = self._table.match(request.header(b"host") or b"", request.target.partition(b"?")[0])
        if route is None:
            return Rejection(answers.NOT_FOUND)
        wants_key = self._table.needs_key and not route.anonymous
        if wants_key and not keys_are_current:
            return Rejection(answers.SERVICE_UNAVAILABLE, STALE_KEYS_RETRY_AFTER_S)
        key = bearer_key(request)
        tenant = self._table.tenant_of(key) if key is not None else None
        if wants_key and tenant is None:
            return Rejection(answers.UNAUTHORIZED)
        return self._admitted(request, route, tenant)

    def _admitted(self, request: Request, route: Route, tenant: Tenant | None) -> AdmittedRequest:
        prompt = NO_PROMPT
        usage = token_usage(request)
        if route.affinity:
            tokens_out = usage[1] if usage is not None else 0
            prompt = parse_prompt(text(request, PROMPT_PREFIX), text(request, MODEL) or "", tokens_out)
        stated_ms = deadline_ms(request)
        wait_ms = route.timeout_ms if stated_ms is None else min(stated_ms, route.timeout_ms)
        return AdmittedRequest(
            route=route,
            service=self._service(route, prompt),
            tenant=tenant,
            tokens=_tokens(usage, tenant),
            prompt=prompt,
            priority=self._priority(request, route, tenant, stated_ms),
            deadline=request.arrived_s + wait_ms / 1000,
        )

    def _priority(
        self, request: Request, route: Route, tenant: Tenant | None, stated_ms: float | None
    ) -> int | None:
        """Returns the priority of the request at a server. It is the lowest if the latency objective had
        passed before the request arrived, so that requests that can still meet theirs don't wait behind
        it. A resumed stream has met its objective."""
        rank = self._ranks.of(tenant, route)
        if stated_ms is None or not self._options.late_last or request.header(LAST_EVENT_ID) is not None:
            return rank
        history = self.deadlines.setdefault(route.name, StatedDeadlines())
        return (
            LOWEST_RANK if history.spent_ms(stated_ms, route.timeout_ms) > route.target_latency_ms else rank
        )

    def _service(self, route: Route, prompt: Prompt) -> str:
        """Returns one of the route's services, drawn by weight. Requests with the same affinity get the
        same one. Services without a ready server are skipped as long as another one has some."""
        targets = [(name, weight) for name, weight in route.targets if weight > 0]
        if len(targets) == 1:
            return targets[0][0]
        targets = [target for target in targets if self._has_ready_server(target[0])] or targets
        subject = prompt.affinity_part
        draw = mix(subject.key ^ SPLIT_SALT) / 2.0**64 if subject is not None else self._random()
        point = draw * sum(weight for _, weight in targets)
        for name, weight in targets:
            point -= weight
            if point < 0:
                return name
        return targets[-1][0]


def _tokens(usage: tuple[int, int] | None, tenant: Tenant | None) -> int:
    """Returns the number of units that a request is charged against its tenant's quota."""
    if tenant is None or not tenant.counts_tokens:
        return 1
    return sum(usage) if usage is not None else math.ceil(tenant.uncached_tokens)
