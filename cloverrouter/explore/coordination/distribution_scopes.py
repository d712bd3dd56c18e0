"""The scopes `distribution`, `distribution-late` and `distribution-large`, with the faults to be found."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from cloverrouter.control import subscriber as subscriber_module
from cloverrouter.control.distribution_messages import Delta, Part, PullPart
from cloverrouter.control.publisher import Publisher
from cloverrouter.control.subscriber import Apply, Subscriber
from cloverrouter.control.transfer import Assembly
from cloverrouter.explore.coordination.distribution_model import (
    INVARIANTS,
    DistributionScope,
    DistributionWorld,
    figures,
)
from cloverrouter.explore.coordination.scope import ModelFault, ModelScope
from cloverrouter.explore.coordination.search import Limits
from cloverrouter.explore.coordination.worlds import WorldModel, told

SCOPE = "distribution"
LATE = "distribution-late"
LARGE = "distribution-large"
RESTART = "distribution-restart"

SMALL_WORLDS = {
    "one voter, two changes": DistributionScope(changes=2, voters=("v1",), most_time=2, calm_every=4),
    "two voters, one change": DistributionScope(changes=1, most_time=0, calm_every=4),
}
LATE_WORLDS = {
    "one voter that holds one of three changes": DistributionScope(
        changes=3, voters=("v1",), begins_with=1, most_time=1, calm_every=16
    ),
}
RESTART_WORLDS = {
    "two voters that hold two changes": DistributionScope(
        changes=2, begins_with=2, most_time=1, calm_every=16, confirms=True
    ),
}
LARGE_WORLDS = {
    "one voter, three changes": DistributionScope(changes=3, voters=("v1",), most_time=3, calm_every=8),
    "two voters, two changes": DistributionScope(changes=2, most_time=2, calm_every=8),
}


class DistributionModel(WorldModel[DistributionWorld]):
    """The model of some of these worlds."""

    def __init__(self, worlds: dict[str, DistributionScope]) -> None:
        first = {name: _world(scope) for name, scope in worlds.items()}
        super().__init__(first, lambda world: figures(world.scope))


def _world(scope: DistributionScope) -> Callable[[], DistributionWorld]:
    def make() -> DistributionWorld:
        with figures(scope):
            return DistributionWorld(scope)

    return make


# -- faults --


def _always_begins(self: Any, part: Part) -> bool:
    return True


def _take_any_delta(self: Subscriber, now: float, ip: str, delta: Delta) -> list[Any]:
    self._voters.record_newest(now, ip, delta.newest)
    self._have = max(self._have, 0) + len(delta.updates)
    return self._accept_change(now, ip, Apply(self._have, delta.updates))


_handle_part = Subscriber._handle_part


def _take_old_part(self: Subscriber, now: float, ip: str, part: Part) -> list[Any]:
    if part.sequence <= self._have:
        self._have = part.sequence - 1
    return _handle_part(self, now, ip, part)


def _gives_up_for_good(self: Subscriber, now: float) -> list[Any]:
    return []


def _all_updates(self: Publisher, have: int) -> list[tuple[int, bytes]]:
    return [each for each in self._updates if each[0] > have]


def _takes_anything(self: Assembly, part: Part) -> bool:
    return part.is_snapshot == self.is_snapshot


def _offers_what_it_knows(self: Publisher) -> int:
    return self._newest


_answer_part_pull = Publisher._answer_part_pull


def _parts_at_once(self: Publisher, now: float, ip: str, message: PullPart) -> list[Any]:
    is_confirmed, self._is_confirmed = self._is_confirmed, True
    effects = _answer_part_pull(self, now, ip, message)
    self._is_confirmed = is_confirmed
    return effects


def _confirms_itself(self: Publisher, now: float, remembered: int = 0) -> list[Any]:
    effects = _start(self, now, remembered)
    return [*effects, *self.confirm(now)]


_start = Publisher.start


def _seeded(target: Any, name: str, fault: Any) -> Callable[[], AbstractContextManager[Any]]:
    return lambda: patch.object(target, name, fault)


FAULTS = {
    "snapshots-end-each-other": ModelFault(
        "a part of another snapshot always ends the one that is being put together",
        ("storm",), LATE, _seeded(subscriber_module._Fetch, "should_start_assembly", _always_begins),
    ),
    "takes-any-updates": ModelFault(
        "updates are taken without a look at what they follow",
        ("back", "uncommitted", "crash"), SCOPE, _seeded(Subscriber, "_handle_delta", _take_any_delta),
    ),
    "takes-older-snapshots": ModelFault(
        "a snapshot that is older than what is in force replaces it",
        ("back",), SCOPE, _seeded(Subscriber, "_handle_part", _take_old_part),
    ),
    "waits-for-ever": ModelFault(
        "who gets no answer doesn't ask again",
        ("behind",), SCOPE, _seeded(Subscriber, "_fail_over", _gives_up_for_good),
    ),
    "window-with-a-gap": ModelFault(
        "a voter sends the updates that it has, though some before them are missing",
        ("uncommitted", "storm"), LATE, _seeded(Publisher, "_updates_after", _all_updates),
    ),
    "parts-of-any-whole": ModelFault(
        "parts of two snapshots are put together",
        ("uncommitted", "behind", "crash", "storm"), LATE, _seeded(Assembly, "accepts", _takes_anything),
    ),
}  # fmt: skip

RESTART_FAULTS = {
    "offers-before-it-is-confirmed": ModelFault(
        "a voter that started again offers what its disk knows to be committed",
        ("unsure",), RESTART, _seeded(Publisher, "_offerable", property(_offers_what_it_knows)),
    ),
    "parts-before-it-is-confirmed": ModelFault(
        "a voter that started again goes on handing out the parts that it is asked for",
        ("unsure",), RESTART, _seeded(Publisher, "_answer_part_pull", _parts_at_once),
    ),
    "confirmed-by-its-start": ModelFault(
        "a voter takes itself for confirmed once it has read its disk",
        ("unsure", "crash"), RESTART, _seeded(Publisher, "start", _confirms_itself),
    ),
}  # fmt: skip

LATE_FAULTS = {name: fault for name, fault in FAULTS.items() if fault.scope == LATE}
SMALL_FAULTS = {name: fault for name, fault in FAULTS.items() if fault.scope == SCOPE}

SCOPES = {
    SCOPE: ModelScope(
        "voters and a machine that subscribes: restarts, late and lost messages, snapshots in parts",
        lambda: DistributionModel(SMALL_WORLDS), Limits(deviations=1, seconds=120.0),
        SMALL_FAULTS, told, INVARIANTS,
    ),
    LATE: ModelScope(
        "a machine that starts while its voter learns of more, with two deviations",
        lambda: DistributionModel(LATE_WORLDS), Limits(deviations=2, seconds=120.0),
        LATE_FAULTS, told, INVARIANTS,
    ),
    RESTART: ModelScope(
        "voters that start again know of less than they had told, until a head in force confirms it",
        lambda: DistributionModel(RESTART_WORLDS), Limits(deviations=2, seconds=120.0),
        RESTART_FAULTS, told, INVARIANTS,
    ),
    LARGE: ModelScope(
        "the same with more changes, more time and a second deviation",
        lambda: DistributionModel(LARGE_WORLDS), Limits(deviations=2, seconds=600.0), {}, told, INVARIANTS,
    ),
}  # fmt: skip
