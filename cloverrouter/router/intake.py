"""What is found out about a request before anything is sent: route, tenant, service, rank and deadline."""

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
from cloverrouter.router.admitted import Admitted
from cloverrouter.router.headers import (
    LAST_EVENT_ID,
    MODEL,
    PROMPT_PREFIX,
    bearer_key,
    deadline_ms,
    text,
    token_usage,
)
from cloverrouter.router.ranks import LOWEST, Ranks
from cloverrouter.router.told_deadlines import ToldDeadlines

SPLIT_SALT = 0x5DEECE66D
UNSURE_OF_KEYS_S = 0.3
"""When to come back to a proxy that can't be sure of its keys: to another one, at best."""


@attrs.frozen(slots=True)
class TurnedAway:
    """The proxy's own answer to a request that goes to no server."""

    status: int
    retry_after_s: float | None = None


class Intake:
    """Admits requests by one configuration.

    `usable` tells whether a service has a ready server; `random` gives numbers from 0 up to 1; `deadlines`
    holds what was told on each route, by its name.
    """

    def __init__(
        self,
        configuration: Configuration,
        table: RoutingTable,
        usable: Callable[[str], bool],
        random: Callable[[], float],
        options: PlacementOptions,
        deadlines: dict[str, ToldDeadlines],
    ) -> None:
        self._table = table
        self._usable = usable
        self._random = random
        self._options = options
        self._ranks = Ranks(configuration)
        routes = {route.name for route in configuration.routes}
        self.deadlines = {name: told for name, told in deadlines.items() if name in routes}

    def admit(self, request: Request, are_keys_sure: bool) -> Admitted | TurnedAway:
        """What is known of the request, or how it is answered at once."""
        route = self._table.match(request.header(b"host") or b"", request.target.partition(b"?")[0])
        if route is None:
            return TurnedAway(answers.NOT_FOUND)
        wants_key = self._table.needs_key and not route.anonymous
        if wants_key and not are_keys_sure:
            return TurnedAway(answers.UNAVAILABLE, UNSURE_OF_KEYS_S)
        key = bearer_key(request)
        tenant = self._table.tenant_of(key) if key is not None else None
        if wants_key and tenant is None:
            return TurnedAway(answers.UNAUTHORIZED)
        return self._admitted(request, route, tenant)

    def _admitted(self, request: Request, route: Route, tenant: Tenant | None) -> Admitted:
        prompt = NO_PROMPT
        usage = token_usage(request)
        if route.affinity:
            tokens_out = usage[1] if usage is not None else 0
            prompt = parse_prompt(text(request, PROMPT_PREFIX), text(request, MODEL) or "", tokens_out)
        told_ms = deadline_ms(request)
        wait_ms = route.timeout_ms if told_ms is None else min(told_ms, route.timeout_ms)
        return Admitted(
            route=route,
            service=self._service(route, prompt),
            tenant=tenant,
            tokens=_tokens(usage, tenant),
            prompt=prompt,
            priority=self._priority(request, route, tenant, told_ms),
            deadline=request.arrived_s + wait_ms / 1000,
        )

    def _priority(
        self, request: Request, route: Route, tenant: Tenant | None, told_ms: float | None
    ) -> int | None:
        """Its rank at a server; the lowest if its objective has passed before it came, so that those which
        can still be in time don't wait behind it. A stream that goes on has met the objective."""
        rank = self._ranks.of(tenant, route)
        if told_ms is None or not self._options.late_last or request.header(LAST_EVENT_ID) is not None:
            return rank
        told = self.deadlines.setdefault(route.name, ToldDeadlines())
        return LOWEST if told.spent_ms(told_ms, route.timeout_ms) > route.target_latency_ms else rank

    def _service(self, route: Route, prompt: Prompt) -> str:
        """One of the route's services by weight: the same for all requests of a subject. One without a ready
        server gets nothing while another has some."""
        targets = [(name, weight) for name, weight in route.targets if weight > 0]
        if len(targets) == 1:
            return targets[0][0]
        targets = [target for target in targets if self._usable(target[0])] or targets
        subject = prompt.subject
        draw = mix(subject.key ^ SPLIT_SALT) / 2.0**64 if subject is not None else self._random()
        mark = draw * sum(weight for _, weight in targets)
        for name, weight in targets:
            mark -= weight
            if mark < 0:
                return name
        return targets[-1][0]


def _tokens(usage: tuple[int, int] | None, tenant: Tenant | None) -> int:
    """What a request counts for its tenant's quota."""
    if tenant is None or not tenant.counts_tokens:
        return 1
    return sum(usage) if usage is not None else math.ceil(tenant.uncached_tokens)
