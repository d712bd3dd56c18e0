"""The scopes `distribution`, `distribution-late`, `distribution-restart` and `distribution-large`.

With their seeded faults.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cloverrouter.control import subscriber as subscriber_module
from cloverrouter.control.distribution_messages import Delta, Part, PullPart
from cloverrouter.control.publisher import Publisher
from cloverrouter.control.subscriber import Apply, Subscriber
from cloverrouter.control.transfer import Assembly
from cloverrouter.explore.coordination.distribution_model import (
    INVARIANTS,
    DistributionScope,
    DistributionWorld,
    patched_limits,
)
from cloverrouter.explore.coordination.scope import ModelFault, ModelScope, seeded
from cloverrouter.explore.coordination.search import Limits
from cloverrouter.explore.coordination.world_model import WorldModel, notes_of

SCOPE = "distribution"
LATE = "distribution-late"
LARGE = "distribution-large"
RESTART = "distribution-restart"

SMALL_WORLDS = {
    "one voter, two changes": DistributionScope(
        changes=2, voters=("v1",), max_steps=2, calm_check_interval=4
    ),
    "two voters, one change": DistributionScope(changes=1, max_steps=0, calm_check_interval=4),
}
LATE_WORLDS = {
    "one voter that holds one of three changes": DistributionScope(
        changes=3, voters=("v1",), initial_changes=1, max_steps=1, calm_check_interval=16
    ),
}
RESTART_WORLDS = {
    "two voters that hold two changes": DistributionScope(
        changes=2, initial_changes=2, max_steps=1, calm_check_interval=16, restarts_unconfirmed=True
    ),
}
LARGE_WORLDS = {
    "one voter, three changes": DistributionScope(
        changes=3, voters=("v1",), max_steps=3, calm_check_interval=8
    ),
    "two voters, two changes": DistributionScope(changes=2, max_steps=2, calm_check_interval=8),
}


class DistributionModel(WorldModel[DistributionWorld]):
    """The model that starts from the given worlds."""

    def __init__(self, worlds: dict[str, DistributionScope]) -> None:
        first = {name: _world(scope) for name, scope in worlds.items()}
        super().__init__(first, lambda world: patched_limits(world.scope))


def _world(scope: DistributionScope) -> Callable[[], DistributionWorld]:
    def make() -> DistributionWorld:
        with patched_limits(scope):
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


def _take_older_part(self: Subscriber, now: float, ip: str, part: Part) -> list[Any]:
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


FAULTS = {
    "snapshots-end-each-other": ModelFault(
        "a part of another snapshot always aborts the assembly in progress",
        ("storm",), LATE, seeded(subscriber_module._Fetch, "should_start_assembly", _always_begins),
    ),
    "takes-any-updates": ModelFault(
        "updates are applied without a check of the sequence number that they follow",
        ("back", "uncommitted", "crash"), SCOPE, seeded(Subscriber, "_handle_delta", _take_any_delta),
    ),
    "takes-older-snapshots": ModelFault(
        "a snapshot that is older than the state in force replaces it",
        ("back",), SCOPE, seeded(Subscriber, "_handle_part", _take_older_part),
    ),
    "waits-for-ever": ModelFault(
        "a subscriber without an answer does not retry",
        ("behind",), SCOPE, seeded(Subscriber, "_fail_over", _gives_up_for_good),
    ),
    "window-with-a-gap": ModelFault(
        "a voter sends updates although earlier ones are missing",
        ("uncommitted", "storm"), LATE, seeded(Publisher, "_updates_after", _all_updates),
    ),
    "parts-of-any-whole": ModelFault(
        "parts of two snapshots are assembled into one",
        ("uncommitted", "behind", "crash", "storm"), LATE, seeded(Assembly, "accepts", _takes_anything),
    ),
}  # fmt: skip

RESTART_FAULTS = {
    "offers-before-it-is-confirmed": ModelFault(
        "a restarted voter offers what its disk records as committed",
        ("unsure",), RESTART, seeded(Publisher, "_offerable", property(_offers_what_it_knows)),
    ),
    "parts-before-it-is-confirmed": ModelFault(
        "a restarted voter serves requested parts before it is confirmed",
        ("unsure",), RESTART, seeded(Publisher, "_answer_part_pull", _parts_at_once),
    ),
    "confirmed-by-its-start": ModelFault(
        "a voter counts as confirmed once it has read its disk",
        ("unsure", "crash"), RESTART, seeded(Publisher, "start", _confirms_itself),
    ),
}  # fmt: skip

LATE_FAULTS = {name: fault for name, fault in FAULTS.items() if fault.scope == LATE}
SMALL_FAULTS = {name: fault for name, fault in FAULTS.items() if fault.scope == SCOPE}

SCOPES = {
    SCOPE: ModelScope(
        "voters and a subscribing machine: restarts, delayed and lost messages, snapshots in parts",
        lambda: DistributionModel(SMALL_WORLDS), Limits(deviations=1, seconds=120.0),
        SMALL_FAULTS, notes_of, INVARIANTS,
    ),
    LATE: ModelScope(
        "a machine that starts while its voter learns of further commits, with two deviations",
        lambda: DistributionModel(LATE_WORLDS), Limits(deviations=2, seconds=120.0),
        LATE_FAULTS, notes_of, INVARIANTS,
    ),
    RESTART: ModelScope(
        "restarted voters know less than they had published, until a head in force confirms them",
        lambda: DistributionModel(RESTART_WORLDS), Limits(deviations=2, seconds=120.0),
        RESTART_FAULTS, notes_of, INVARIANTS,
    ),
    LARGE: ModelScope(
        "as `distribution`, with more changes, more time and a second deviation",
        lambda: DistributionModel(LARGE_WORLDS), Limits(deviations=2, seconds=600.0),
        {}, notes_of, INVARIANTS,
    ),
}  # fmt: skip
