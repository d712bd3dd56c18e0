"""Detects servers that drop idle connections, from the reports of many proxies.

A proxy finds out by losing a request (`http/reuse.py`), and a request lost on such a connection cannot be
retried if it may run only once. So the first proxies that lose one warn all the others by way of the head.
"""

from __future__ import annotations

import math

from cloverrouter.placement.trouble_messages import RestReport, RestWarning

REPORT_INTERVAL_S = 0.5
WINDOW_S = 1.0
MIN_REPORTERS = 3
"""Proxies that must have lost a request this way within `WINDOW_S`. A crashing server resets connections too,
but few of them just when they are used."""
LIMIT_SHARE = 0.5
"""Share of the shortest reported idle time up to which connections may still be reused."""
WARN_S = 5.0


class IdleResetReporter:
    """Collects the resets at one proxy and reports them to the head."""

    def __init__(self) -> None:
        self._idle_s = math.inf
        self._next = 0.0

    def record_reset(self, idle_s: float) -> None:
        """Records that a request was lost on a connection that had been idle for `idle_s`."""
        self._idle_s = min(self._idle_s, idle_s)

    def flush(self, now: float) -> RestReport | None:
        """Returns the report that is due; None if there is none."""
        if self._idle_s == math.inf or now < self._next:
            return None
        idle_s, self._idle_s = self._idle_s, math.inf
        self._next = now + REPORT_INTERVAL_S
        return RestReport(math.ceil(idle_s * 1000))


class IdleResetAggregator:
    """Aggregates the reports of all proxies at the head."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, int]] = {}

    def receive(self, now: float, ip: str, report: RestReport) -> RestWarning | None:
        """Handles a proxy's report and returns the warning to send to all proxies, if one is due."""
        self._reports[ip] = (now, report.idle_ms)
        recent = {key: found for key, found in self._reports.items() if now - found[0] < WINDOW_S}
        self._reports = recent
        if len(recent) < MIN_REPORTERS:
            return None
        self._reports = {}
        shortest = min(idle_ms for _, idle_ms in recent.values())
        return RestWarning(int(shortest * LIMIT_SHARE), int(WARN_S * 1000))
