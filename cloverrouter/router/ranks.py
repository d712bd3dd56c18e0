"""The rank that a request has at a server: its tenant's priority first, then its route's."""

from __future__ import annotations

from cloverrouter.control.configuration import Configuration, Route, Tenant

LOWEST = 9


class Ranks:
    """The pairs of priorities of one configuration, put in order and spread over 0 (first) to 9."""

    def __init__(self, configuration: Configuration) -> None:
        priorities = {route.priority for route in configuration.routes}
        pairs = {(priority, priority) for priority in priorities}
        for tenant in configuration.tenants:
            pairs |= {_pair(tenant, priority) for priority in priorities}
        self._order = {pair: place for place, pair in enumerate(sorted(pairs))}

    def of(self, tenant: Tenant | None, route: Route) -> int | None:
        """What goes into ``Priority``; None if there is but one rank."""
        if len(self._order) < 2:
            return None
        place = self._order.get(_pair(tenant, route.priority), 0)
        if len(self._order) <= LOWEST + 1:
            return place
        return place * LOWEST // (len(self._order) - 1)


def _pair(tenant: Tenant | None, priority: int) -> tuple[int, int]:
    if tenant is None or tenant.priority is None:
        return priority, priority
    return tenant.priority, priority
