"""Which route a request takes, and which tenant a key belongs to, by look-ups in dictionaries."""

from __future__ import annotations

from cloverrouter.control.configuration import Configuration, Route, Tenant, normal_host

MAX_REMEMBERED_HOSTS = 4096


class _Host:
    """The routes of one host by prefix."""

    __slots__ = ("longest", "routes")

    def __init__(self) -> None:
        self.routes: dict[bytes, Route] = {}
        self.longest = 0

    def add(self, route: Route) -> None:
        prefix = route.prefix.encode()
        self.routes[prefix] = route
        self.longest = max(self.longest, len(prefix))


class RoutingTable:
    """The routes and keys of one version of the configuration. It is never changed, but replaced."""

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.version
        self._hosts: dict[str, _Host] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, _Host()).add(route)
        self._tenants = {key.encode(): tenant for tenant in configuration.tenants for key in tenant.keys}
        self._needs_key = bool(configuration.tenants)
        self._known_hosts: dict[bytes, _Host | None] = {}

    @property
    def needs_key(self) -> bool:
        """Whether requests on routes that are not anonymous need a key."""
        return self._needs_key

    def match(self, host: bytes, path: bytes) -> Route | None:
        """The route of that host with the longest prefix of the path, which comes without its query."""
        found = self._host(host)
        if found is None:
            return None
        end = path.rfind(b"/", 0, found.longest)
        while end >= 0:
            route = found.routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(b"/", 0, end)
        return None

    def _host(self, host: bytes) -> _Host | None:
        """The routes of a Host header's value, remembered as it was written."""
        try:
            return self._known_hosts[host]
        except KeyError:
            pass
        found = self._hosts.get(normal_host(host.decode("utf-8", "replace")))
        if len(self._known_hosts) < MAX_REMEMBERED_HOSTS:
            self._known_hosts[host] = found
        return found

    def tenant_of(self, key: bytes) -> Tenant | None:
        """The tenant that holds a key."""
        return self._tenants.get(key)
