"""Detects failing servers from the reports of many proxies.

In a large fleet a proxy sends few requests to each server. Alone, it would have to lose one request to each
bad server before it avoids it, and another for each probe. So proxies report failures to the head, and the
head warns all proxies of a server that several have reported within a short time. A warning expires at a
different moment at each proxy: the first few requests after that are the probes for the whole fleet.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cloverrouter.placement.trouble_messages import TroubleReport, TroubleWarning

REPORT_INTERVAL_S = 0.1
REPEAT_INTERVAL_S = 0.5
"""Minimum time between two reports of the same server by one proxy."""
MAX_IDS = 40
WINDOW_S = 2.0
"""Reports within this time count together."""
WARN_S = 3.0
WARN_GROWTH = 1.5
MAX_WARN_S = 8.0
QUIET_S = 4.0
"""After this long without a warning in force, the next warning has the initial length again."""
REPEAT_REPORTERS = 2
"""Number of proxies whose probes must have failed for a repeated warning soon after one has expired."""
SMALL_FLEET_SIZE, MEDIUM_FLEET_SIZE = 8, 20


class FailureReporter:
    """Collects the failures at one proxy and reports them to the head."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._failed: dict[str, None] = {}
        self._reported_at: dict[str, float] = {}
        self._next = 0.0

    def record_failure(self, instance_id: str) -> None:
        """Records that the server failed a request."""
        if len(self._failed) < MAX_IDS:
            self._failed[instance_id] = None

    def flush(self, now: float) -> TroubleReport | None:
        """Returns the report that is due; None if there is none."""
        if not self._failed or now < self._next:
            return None
        self._next = now + REPORT_INTERVAL_S
        self._reported_at = {key: at for key, at in self._reported_at.items() if now - at < REPEAT_INTERVAL_S}
        ids = tuple(key for key in self._failed if key not in self._reported_at)
        self._failed.clear()
        self._reported_at.update(dict.fromkeys(ids, now))
        return TroubleReport(self._zone, ids) if ids else None


@attrs.define(slots=True)
class _ReportedServer:
    """One reported server: when each proxy last reported it, and the warning in force."""

    reports: dict[str, tuple[float, str]] = attrs.field(factory=dict)
    warned_until: float = 0.0
    span_s: float = 0.0


class FailureAggregator:
    """Aggregates the reports of all proxies at the head. `fleet_size` returns the number of proxies."""

    def __init__(self, fleet_size: Callable[[], int]) -> None:
        self._fleet_size = fleet_size
        self._reported: dict[str, _ReportedServer] = {}

    def receive(self, now: float, ip: str, report: TroubleReport) -> list[TroubleWarning]:
        """Handles a proxy's report and returns the warnings to send to all proxies."""
        self._forget(now)
        warnings = []
        for instance_id in report.ids[:MAX_IDS]:
            reported = self._reported.setdefault(instance_id, _ReportedServer())
            reported.reports[ip] = (now, report.zone)
            warning = self._warning(now, instance_id, reported)
            if warning is not None:
                warnings.append(warning)
        return warnings

    def _warning(self, now: float, instance_id: str, reported: _ReportedServer) -> TroubleWarning | None:
        if now < reported.warned_until:
            return None
        recent = {ip: found for ip, found in reported.reports.items() if now - found[0] < WINDOW_S}
        reported.reports = recent
        is_quiet = now - reported.warned_until > QUIET_S
        needed = reporters_needed(self._fleet_size()) if is_quiet else REPEAT_REPORTERS
        if len(recent) < needed:
            return None
        reported.span_s = WARN_S if is_quiet else min(MAX_WARN_S, reported.span_s * WARN_GROWTH)
        reported.warned_until = now + reported.span_s
        reported.reports = {}
        zones = {zone for _, zone in recent.values()}
        return TroubleWarning(
            zones.pop() if len(zones) == 1 else "", (instance_id,), int(reported.span_s * 1000)
        )

    def _forget(self, now: float) -> None:
        old = [
            key
            for key, reported in self._reported.items()
            if now - reported.warned_until > QUIET_S
            and all(now - at >= WINDOW_S for at, _ in reported.reports.values())
        ]
        for key in old:
            del self._reported[key]


def reporters_needed(fleet_size: int) -> int:
    """Returns how many proxies must have found a server failing, so that isolated lost answers don't
    count."""
    if fleet_size <= SMALL_FLEET_SIZE:
        return 2
    return 3 if fleet_size <= MEDIUM_FLEET_SIZE else 4
