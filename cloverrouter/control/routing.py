"""Lookup of the route of a request and of the tenant of an API key."""

from __future__ import annotations

from urllib.parse import quote

from cloverrouter.control.configuration import Configuration, Route, Tenant, normalize_host

MAX_CACHED_HOSTS = 4096
_UNESCAPED_IN_PATH = "!$%&'()*+,-./:;=@_~"


def _encode(text: str) -> bytes:
    """Returns text of the configuration as UTF-8. Versions of the configuration that earlier builds accepted
    may have halves of surrogate pairs."""
    return text.encode("utf-8", "surrogatepass")


class _Host:
    """The routes of one host by prefix."""

    __slots__ = ("longest", "routes")

    def __init__(self) -> None:
        self.routes: dict[bytes, Route] = {}
        self.longest = 0  # length of the longest prefix

    def add(self, route: Route) -> None:
        prefix = _encode(route.prefix)
        self.routes[prefix] = route
        self.longest = max(self.longest, len(prefix))

    def add_percent_encoded(self, route: Route) -> None:
        """Adds the prefix percent-encoded, as clients send it, unless another route has that prefix."""
        prefix = quote(_encode(route.prefix), safe=_UNESCAPED_IN_PATH).encode("ascii")
        self.routes.setdefault(prefix, route)
        self.longest = max(self.longest, len(prefix))


class RoutingTable:
    """The routes and API keys of one version of the configuration. Immutable but for its cache of hosts."""

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.version
        self._hosts: dict[str, _Host] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, _Host()).add(route)
        for route in configuration.routes:
            self._hosts[route.host].add_percent_encoded(route)
        self._tenants = {_encode(key): tenant for tenant in configuration.tenants for key in tenant.keys}
        self._needs_key = bool(configuration.tenants)
        self._host_cache: dict[bytes, _Host | None] = {}

    @property
    def needs_key(self) -> bool:
        """Whether requests on routes without anonymous access need an API key."""
        return self._needs_key

    def match(self, host: bytes, path: bytes) -> Route | None:
        """Returns the route of the host with the longest matching prefix, or None. `path` has no query."""
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
        """Returns the routes for the value of a Host header. Results are cached by the value as received."""
        try:
            return self._host_cache[host]
        except KeyError:
            pass
        found = self._hosts.get(normalize_host(host.decode("utf-8", "surrogateescape")))
        if len(self._host_cache) < MAX_CACHED_HOSTS:
            self._host_cache[host] = found
        return found

    def tenant_of(self, key: bytes) -> Tenant | None:
        """Returns the tenant of an API key, or None."""
        return self._tenants.get(key)
