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
WITNESS_HOLDS = 2.0


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

    def knows(self, instance_id: str) -> bool:
        """Whether anything is known of the instance's life."""
        return instance_id in self._heard_at or self._all_heard_at > -math.inf

    def forget(self, instance_id: str) -> None:
        """The instance has ended."""
        self._heard_at.pop(instance_id, None)


@attrs.frozen(slots=True)
class Judgement:
    """All that are silent, and those that have been for so long that they are given up."""

    silent: frozenset[str]
    given_up: tuple[str, ...]
    to_check: tuple[str, ...] = ()
    """Those that would be silent, if another voter has not heard them either."""


class Witnesses:
    """Which voters have told lately that they have not heard a server either."""

    def __init__(self) -> None:
        self._told: dict[str, dict[str, float]] = {}  # when, by server and voter

    def told(self, now: float, voter: str, instance_id: str) -> None:
        """The voter has not heard it for too long."""
        self._told.setdefault(instance_id, {})[voter] = now

    def agree(self, now: float, instance_id: str) -> bool:
        """Whether any voter has said so lately."""
        return any(now - at <= WITNESS_HOLDS for at in self._told.get(instance_id, {}).values())

    def keep(self, ids: Iterable[str]) -> None:
        """Only these are still in question."""
        self._told = {each: self._told[each] for each in ids if each in self._told}


class SilenceJudge:
    """Marks servers that missed heartbeats, but rather doubts its own hearing.

    Nothing new is marked for a while after it became head or was frozen, nor where more than half of a
    service's servers would be silent, nor before another voter has said that it has not heard it either.
    """

    def __init__(self, heartbeat_interval: float) -> None:
        self._limit = MISSED_HEARTBEATS * heartbeat_interval + SILENCE_SLACK
        # Servers that fell silent together reach the limit within one interval of each other.
        self._quiet_limit = self._limit - heartbeat_interval
        self._deaf_until = math.inf
        self._witnesses = Witnesses()
        self._last_tick = -math.inf

    def became_head(self, now: float) -> None:
        """Judging begins, after time to hear all servers."""
        self._deaf_until = now + self._limit

    def ticked(self, now: float) -> None:
        """Notices a freeze, or a while in which it was not to judge."""
        if now - self._last_tick > FROZEN_GAP:
            self._deaf_until = max(self._deaf_until, now + self._limit)
        self._last_tick = now

    def is_quiet(self, age: float) -> bool:
        """Whether a server of which nothing was heard for so long is about to be silent."""
        return age > self._quiet_limit

    def witnessed(self, now: float, voter: str, instance_id: str, age: float) -> None:
        """Another voter tells when it has heard a server."""
        if self.is_quiet(age):
            self._witnesses.told(now, voter, instance_id)

    def judge(
        self,
        now: float,
        instances: Iterable[Instance],
        liveness: Liveness,
        silent: frozenset[str],
        alone: bool = True,
    ) -> Judgement:
        """The new judgement after the one that gave `silent`. `alone`: there is no other voter to ask."""
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
        self._witnesses.keep(new - silent)
        marked = {each for each in new if alone or each in silent or self._witnesses.agree(now, each)}
        return Judgement(still | marked, self._given_up(now, ages, liveness), tuple(sorted(new - marked)))

    def _given_up(self, now: float, ages: dict[str, float], liveness: Liveness) -> tuple[str, ...]:
        if now - liveness.last_heard > HEARING_WINDOW:
            return ()
        return tuple(each for each, age in ages.items() if age > GIVE_UP_AFTER)
