"""The scopes `registrations`, `registrations-draining`, `registrations-large`, and faults to be found."""

from __future__ import annotations

from collections.abc import Callable, Collection
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

import attrs

from cloverrouter.control import announcements, instance_table
from cloverrouter.control.announcements import Announcements, Pending
from cloverrouter.control.instances import Instance, InstanceState, merge
from cloverrouter.explore.coordination.registry_model import INVARIANTS, Calls, RegistryWorld
from cloverrouter.explore.coordination.scope import ModelFault, ModelScope
from cloverrouter.explore.coordination.search import Limits
from cloverrouter.explore.coordination.worlds import WorldModel, told

SCOPE = "registrations"
DRAINING = "registrations-draining"
LARGE = "registrations-large"


class RegistryModel(WorldModel[RegistryWorld]):
    """The model of one server's calls."""

    def __init__(self, calls: Calls) -> None:
        super().__init__({"all empty": lambda: RegistryWorld(calls)})


def _newest_call_wins(one: Instance, other: Instance) -> Instance:
    newer = other if other.sequence >= one.sequence else one
    return attrs.evolve(merge(one, other), state=newer.state)


def _done_at_once(now: float, pending: Pending, voters: Collection[str], live: Collection[str]) -> bool:
    return True


def _receipt_for_anything(
    self: Announcements, ip: str, instance_id: str, fingerprint: int, newest: int | None
) -> None:
    pending = self._pending.get(instance_id)
    if pending is not None:
        pending.acknowledged_by.add(ip)


def _seeded(target: Any, name: str, fault: Any) -> Callable[[], AbstractContextManager[Any]]:
    return lambda: patch.object(target, name, fault)


FAULTS = {
    "newest-call-wins": ModelFault(
        "the state of a server is that of its newest call, not the furthest that it told",
        ("back", "stale", "differ", "storm"), SCOPE, _seeded(instance_table, "merge", _newest_call_wins),
    ),
    "acknowledged-by-nobody": ModelFault(
        "a server's news is acknowledged before any voter has it",
        ("stale", "differ"), SCOPE, _seeded(announcements, "_is_done", _done_at_once),
    ),
    "receipt-for-anything": ModelFault(
        "a receipt counts for whatever waits for one",
        ("stale", "differ"), SCOPE, _seeded(Announcements, "record_acknowledgement", _receipt_for_anything),
    ),
}  # fmt: skip

SCOPES = {
    SCOPE: ModelScope(
        "a server that is ready and gone: calls at any machine, restarts, lost and late messages",
        lambda: RegistryModel(Calls((InstanceState.READY, InstanceState.GONE), most_time=0)),
        Limits(deviations=1, seconds=300.0), FAULTS, told, INVARIANTS,
    ),
    DRAINING: ModelScope(
        "a server that is ready, draining and gone",
        lambda: RegistryModel(Calls(most_time=0)), Limits(deviations=1, seconds=600.0), {}, told, INVARIANTS,
    ),
    LARGE: ModelScope(
        "the same with half a second between",
        lambda: RegistryModel(Calls()), Limits(deviations=1, seconds=1800.0), {}, told, INVARIANTS,
    ),
}  # fmt: skip
