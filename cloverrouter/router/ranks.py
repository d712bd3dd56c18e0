"""The rank of a request in the queue of a server: by its tenant's priority first, then by its route's."""

from __future__ import annotations

from cloverrouter.control.configuration import Configuration, Route, Tenant

LOWEST_RANK = 9


class Ranks:
    """The pairs of tenant and route priority in one configuration, in order, mapped to ranks from 0
    (first) to 9."""

    def __init__(self, configuration: Configuration) -> None:
        priorities = {route.priority for route in configuration.routes}
        pairs = {(priority, priority) for priority in priorities}
        for tenant in configuration.tenants:
            pairs |= {_pair(tenant, priority) for priority in priorities}
        self._ranks = {pair: rank for rank, pair in enumerate(sorted(pairs))}

    def of(self, tenant: Tenant | None, route: Route) -> int | None:
        """Returns the value of the `Priority` header; None if all requests have the same rank."""
        if len(self._ranks) < 2:
            return None
        rank = self._ranks.get(_pair(tenant, route.priority), 0)
        if len(self._ranks) <= LOWEST_RANK + 1:
            return rank
        return rank * LOWEST_RANK // (len(self._ranks) - 1)


def _pair(tenant: Tenant | None, priority: int) -> tuple[int, int]:
    if tenant is None or tenant.priority is None:
        return priority, priority
    return tenant.priority, priority
