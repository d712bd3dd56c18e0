"""When each server was last known to be alive, and how the head detects silent servers."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from cloverrouter.control.instances import Instance

MISSED_HEARTBEATS = 3
SILENCE_SLACK_S = 1.0
GIVE_UP_AFTER_S = 60.0
FREEZE_GAP_S = 1.0
"""A longer pause between two ticks means that this process was frozen."""
HEARING_WINDOW_S = 3.0
"""No server is given up if none at all was heard from within this time."""
OVERDUE_REPORT_TTL_S = 2.0
"""How long another voter's report that a server is overdue counts."""


class Liveness:
    """The time at which each instance was last known to be alive, in seconds of the local monotonic clock."""

    def __init__(self) -> None:
        self._alive_at: dict[str, float] = {}
        self._all_alive_at = -math.inf
        self.last_alive_at = -math.inf

    def record_alive(self, instance_id: str, at: float) -> None:
        """Records that the instance was alive at that time."""
        self._alive_at[instance_id] = max(at, self._alive_at.get(instance_id, -math.inf))
        self.last_alive_at = max(self.last_alive_at, at)

    def record_all_alive(self, now: float) -> None:
        """Records that all instances are alive, because a voter has the same list."""
        self._all_alive_at = now

    def age(self, now: float, instance_id: str) -> float:
        """Returns the seconds since the instance was last known to be alive; infinity if it never was."""
        return now - max(self._alive_at.get(instance_id, -math.inf), self._all_alive_at)

    def knows(self, instance_id: str) -> bool:
        """Returns whether the instance was ever known to be alive."""
        return instance_id in self._alive_at or self._all_alive_at > -math.inf

    def forget(self, instance_id: str) -> None:
        """Drops the entry of an instance that has ended."""
        self._alive_at.pop(instance_id, None)


@attrs.frozen(slots=True)
class Detection:
    """All silent instances, and those that have been silent for so long that they are given up."""

    silent: frozenset[str]
    given_up: tuple[str, ...]
    to_check: tuple[str, ...] = ()
    """Instances that are marked as silent only if another voter reports them as overdue, too."""


class OverdueReports:
    """Recent reports of other voters that they have not heard from a server either."""

    def __init__(self) -> None:
        self._reported_at: dict[str, dict[str, float]] = {}  # time of the report, by instance and voter

    def record(self, now: float, voter: str, instance_id: str) -> None:
        """Records a voter's report that the instance is overdue."""
        self._reported_at.setdefault(instance_id, {})[voter] = now

    def has_recent(self, now: float, instance_id: str) -> bool:
        """Returns whether any voter has reported the instance recently."""
        return any(now - at <= OVERDUE_REPORT_TTL_S for at in self._reported_at.get(instance_id, {}).values())

    def retain(self, ids: Iterable[str]) -> None:
        """Drops the reports on all other instances."""
        self._reported_at = {each: self._reported_at[each] for each in ids if each in self._reported_at}


class SilenceDetector:
    """Marks servers that missed heartbeats, unless this machine's own reception may be at fault.

    No further server is marked for a while after this machine became head or was frozen, nor if more than
    half of a service's servers would be silent, nor before another voter reports the server as overdue, too.
    """

    def __init__(self, heartbeat_interval_s: float) -> None:
        self._limit = MISSED_HEARTBEATS * heartbeat_interval_s + SILENCE_SLACK_S
        # Servers that fell silent together reach the limit within one interval of each other.
        self._quiet_limit = self._limit - heartbeat_interval_s
        self._suspended_until = math.inf
        self._overdue_reports = OverdueReports()
        self._last_tick = -math.inf

    def became_head(self, now: float) -> None:
        """Starts detection, once there was time to hear from all servers."""
        self._suspended_until = now + self._limit

    def tick(self, now: float) -> None:
        """Suspends detection after a gap between calls: a freeze, or a time without a confirmed lead."""
        if now - self._last_tick > FREEZE_GAP_S:
            self._suspended_until = max(self._suspended_until, now + self._limit)
        self._last_tick = now

    def is_quiet(self, age: float) -> bool:
        """Returns whether a server last heard from `age` seconds ago is overdue, or about to be silent."""
        return age > self._quiet_limit

    def record_voter_answer(self, now: float, voter: str, instance_id: str, age: float) -> None:
        """Records another voter's answer that it heard from a server `age` seconds ago."""
        if self.is_quiet(age):
            self._overdue_reports.record(now, voter, instance_id)

    def detect(
        self,
        now: float,
        instances: Iterable[Instance],
        liveness: Liveness,
        silent: frozenset[str],
        is_only_voter: bool = True,
    ) -> Detection:
        """Returns the new result, given the instances marked so far (`silent`).

        `is_only_voter`: there is no other voter to ask.
        """
        ages = {each.id: liveness.age(now, each.id) for each in instances if each.is_live}
        still_silent = frozenset(each for each in silent if ages.get(each, 0.0) > self._limit)
        if now < self._suspended_until:
            return Detection(still_silent, ())
        services = {each.id: each.service for each in instances}
        sizes = Counter(services[each] for each in ages)
        quiet_counts = Counter(services[each] for each, age in ages.items() if age > self._quiet_limit)
        candidates = {
            each
            for each, age in ages.items()
            if age > self._limit and 2 * quiet_counts[services[each]] <= sizes[services[each]]
        }
        self._overdue_reports.retain(candidates - silent)
        marked = {
            each
            for each in candidates
            if is_only_voter or each in silent or self._overdue_reports.has_recent(now, each)
        }
        return Detection(
            still_silent | marked, self._given_up(now, ages, liveness), tuple(sorted(candidates - marked))
        )

    def _given_up(self, now: float, ages: dict[str, float], liveness: Liveness) -> tuple[str, ...]:
        if now - liveness.last_alive_at > HEARING_WINDOW_S:
            return ()
        return tuple(each for each, age in ages.items() if age > GIVE_UP_AFTER_S)
