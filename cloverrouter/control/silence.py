"""When each server was last known to live, and the head's judgement on those that have fallen silent."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from cloverrouter.control.instances import Instance

MISSED_HEARTBEATS = 3
SILENCE_SLACK = 1.0
GIVE_UP_AFTER = 60.0
FROZEN_GAP = 1.0
HEARING_WINDOW = 3.0


class Liveness:
    """For each instance, the last moment at which it is known to have lived (local steady clock, seconds)."""

    def __init__(self) -> None:
        self._heard_at: dict[str, float] = {}
        self._all_heard_at = -math.inf
        self.last_heard = -math.inf

    def heard(self, instance_id: str, at: float) -> None:
        """The instance lived at that moment."""
        self._heard_at[instance_id] = max(at, self._heard_at.get(instance_id, -math.inf))
        self.last_heard = max(self.last_heard, at)

    def all_heard(self, now: float) -> None:
        """A voter holds the very same list."""
        self._all_heard_at = now

    def age(self, now: float, instance_id: str) -> float:
        """Seconds since the instance is known to have lived."""
        return now - max(self._heard_at.get(instance_id, -math.inf), self._all_heard_at)

    def forget(self, instance_id: str) -> None:
        """The instance has ended."""
        self._heard_at.pop(instance_id, None)


@attrs.frozen(slots=True)
class Judgement:
    """All that are silent, and those that have been for so long that they are given up."""

    silent: frozenset[str]
    given_up: tuple[str, ...]


class SilenceJudge:
    """Marks servers that missed heartbeats, but rather doubts its own hearing.

    Nothing new is marked for a while after it became head or was frozen, nor where more than half of a
    service's servers would be silent.
    """

    def __init__(self, heartbeat_interval: float) -> None:
        self._limit = MISSED_HEARTBEATS * heartbeat_interval + SILENCE_SLACK
        # Servers that fell silent together reach the limit within one interval of each other.
        self._quiet_limit = self._limit - heartbeat_interval
        self._deaf_until = math.inf
        self._last_tick = -math.inf

    def became_head(self, now: float) -> None:
        """Judging begins, after time to hear all servers."""
        self._deaf_until = now + self._limit

    def ticked(self, now: float) -> None:
        """Notices a freeze, or a while in which it was not to judge."""
        if now - self._last_tick > FROZEN_GAP:
            self._deaf_until = max(self._deaf_until, now + self._limit)
        self._last_tick = now

    def judge(
        self, now: float, instances: Iterable[Instance], liveness: Liveness, silent: frozenset[str]
    ) -> Judgement:
        """The new judgement after the one that gave `silent`."""
        ages = {each.id: liveness.age(now, each.id) for each in instances if each.is_live}
        still = frozenset(each for each in silent if ages.get(each, 0.0) > self._limit)
        if now < self._deaf_until:
            return Judgement(still, ())
        services = {each.id: each.service for each in instances}
        size = Counter(services[each] for each in ages)
        quiet = Counter(services[each] for each, age in ages.items() if age > self._quiet_limit)
        new = {
            each
            for each, age in ages.items()
            if age > self._limit and 2 * quiet[services[each]] <= size[services[each]]
        }
        return Judgement(still | new, self._given_up(now, ages, liveness))

    def _given_up(self, now: float, ages: dict[str, float], liveness: Liveness) -> tuple[str, ...]:
        if now - liveness.last_heard > HEARING_WINDOW:
            return ()
        return tuple(each for each, age in ages.items() if age > GIVE_UP_AFTER)
