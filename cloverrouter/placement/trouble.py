"""Servers that fail, as many proxies see it together.

In a large fleet a proxy sends so few requests to a server that it would have to lose one to each bad server
before it avoids it, and again for each trial. So proxies report failures to the head, and the head warns all
of a server that several have reported within a short while. A warning runs out by itself, for each proxy at
another moment: the first few requests after that are the trials of the whole fleet.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from cloverrouter.placement.trouble_messages import TroubleReport, TroubleWarning

REPORT_INTERVAL_S = 0.1
REPEAT_INTERVAL_S = 0.5
"""A proxy reports the same server at most this often."""
MAX_IDS = 40
WINDOW_S = 2.0
"""Reports of this span count together."""
WARN_S = 3.0
WARN_GROWTH = 1.5
MAX_WARN_S = 8.0
QUIET_S = 4.0
"""After so long without a warning that is in force, the next one is a first one again."""
REPEAT_REPORTERS = 2
"""Proxies whose trials have failed, for the next warning soon after one has run out."""
SMALL_FLEET_SIZE, MEDIUM_FLEET_SIZE = 8, 20


class TroubleReporter:
    """A proxy's side: what it has to tell."""

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._failed: dict[str, None] = {}
        self._reported_at: dict[str, float] = {}
        self._next = 0.0

    def failed(self, instance_id: str) -> None:
        """The server failed a request."""
        if len(self._failed) < MAX_IDS:
            self._failed[instance_id] = None

    def flush(self, now: float) -> TroubleReport | None:
        """What to send now."""
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
    """One reported server: when each proxy last reported it, and the warning that is in force."""

    reports: dict[str, tuple[float, str]] = attrs.field(factory=dict)
    warned_until: float = 0.0
    span_s: float = 0.0


class TroubleDesk:
    """The head's side. `fleet_size` tells how many proxies there are."""

    def __init__(self, fleet_size: Callable[[], int]) -> None:
        self._fleet_size = fleet_size
        self._reported: dict[str, _ReportedServer] = {}

    def receive(self, now: float, ip: str, report: TroubleReport) -> list[TroubleWarning]:
        """A proxy's report; gives the warnings that all are to hear."""
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
    """How many proxies must have found a server failing, so that lost answers here and there don't count."""
    if fleet_size <= SMALL_FLEET_SIZE:
        return 2
    return 3 if fleet_size <= MEDIUM_FLEET_SIZE else 4
