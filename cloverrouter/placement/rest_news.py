"""Servers that forget idle connections, as many proxies see it together.

Each proxy learns it by a request that it loses (`http/rest.py`), and a request on such a connection can't be
sent again where it may run only once. So the first proxies that lose one tell all the others.
"""

from __future__ import annotations

import math

from cloverrouter.placement.trouble_messages import RestReport, RestWarning

REPORT_SPACING_S = 0.5
WINDOW_S = 1.0
REPORTERS = 3
"""Proxies that must have lost a request so within `WINDOW_S`: a server that crashes resets connections too,
but few of them just when they are used."""
LIMIT_SHARE = 0.5
"""Of the shortest rest that was reported: what may still be used."""
WARN_S = 5.0


class RestReporter:
    """A proxy's side: what it has to tell."""

    def __init__(self) -> None:
        self._rested_s = math.inf
        self._next = 0.0

    def forgotten(self, rested_s: float) -> None:
        """A request was lost on a connection that had rested so long."""
        self._rested_s = min(self._rested_s, rested_s)

    def flush(self, now: float) -> RestReport | None:
        """What to send now."""
        if self._rested_s == math.inf or now < self._next:
            return None
        rested_s, self._rested_s = self._rested_s, math.inf
        self._next = now + REPORT_SPACING_S
        return RestReport(math.ceil(rested_s * 1000))


class RestDesk:
    """The head's side."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, int]] = {}

    def receive(self, now: float, ip: str, report: RestReport) -> RestWarning | None:
        """A proxy's report; gives the warning that all are to hear."""
        self._reports[ip] = (now, report.rested_ms)
        recent = {key: found for key, found in self._reports.items() if now - found[0] < WINDOW_S}
        self._reports = recent
        if len(recent) < REPORTERS:
            return None
        self._reports = {}
        shortest = min(rested_ms for _, rested_ms in recent.values())
        return RestWarning(int(shortest * LIMIT_SHARE), int(WARN_S * 1000))
