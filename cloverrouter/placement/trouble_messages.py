"""Messages about failing servers, exchanged by way of the head as datagrams that may be lost.

Cost: about 15 bytes and 12 for each server, to the head at most every `REPORT_INTERVAL_S`; from the head to
every proxy, for each server, about once in the duration of a warning.
"""

from __future__ import annotations

from cloverrouter.messages import message


@message(390)
class TroubleReport:
    """Proxy to head: these instances have just failed requests of the proxy."""

    zone: str  # of the proxy
    ids: tuple[str, ...]


@message(391)
class TroubleWarning:
    """Head to all proxies: several proxies found these instances failing."""

    zone: str  # only proxies of this zone are affected; all if empty
    ids: tuple[str, ...]
    for_ms: int


@message(392)
class RestReport:
    """Proxy to head: a connection that had been idle for `idle_ms` was reset as soon as it was used
    again."""

    idle_ms: int


@message(393)
class RestWarning:
    """Head to all proxies: servers drop idle connections; none that has been idle for longer than `limit_ms`
    may be reused."""

    limit_ms: int
    for_ms: int
