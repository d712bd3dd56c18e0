"""What proxies tell each other about servers that fail, by way of the head, as datagrams that may be lost.

Cost: about 15 bytes and 12 for each server, to the head at most every `REPORT_INTERVAL_S`; from it to every
proxy, for each server, about once in the time that a warning holds.
"""

from __future__ import annotations

from cloverrouter.messages import message


@message(390)
class TroubleReport:
    """Proxy to head: these instances have failed requests of it just now."""

    zone: str  # of the proxy
    ids: tuple[str, ...]


@message(391)
class TroubleWarning:
    """Head to all proxies: several proxies found these instances failing."""

    zone: str  # only proxies of this zone are concerned; all if empty
    ids: tuple[str, ...]
    for_ms: int


@message(392)
class RestReport:
    """Proxy to head: a connection that had rested so long was reset as soon as it was used again."""

    rested_ms: int


@message(393)
class RestWarning:
    """Head to all proxies: servers forget connections that rest; use none that rested longer than this."""

    limit_ms: int
    for_ms: int
