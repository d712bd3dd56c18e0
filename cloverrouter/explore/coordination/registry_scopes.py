"""The scopes `registrations`, `registrations-draining` and `registrations-large`, and seeded faults."""

from __future__ import annotations

from collections.abc import Collection

import attrs

from cloverrouter.control import announcements, instance_table
from cloverrouter.control.announcements import Announcements, Pending
from cloverrouter.control.instances import Instance, InstanceState, merge
from cloverrouter.explore.coordination.registry_model import INVARIANTS, Calls, RegistryWorld
from cloverrouter.explore.coordination.scope import ModelFault, ModelScope, seeded
from cloverrouter.explore.coordination.search import Limits
from cloverrouter.explore.coordination.world_model import WorldModel, notes_of

SCOPE = "registrations"
DRAINING = "registrations-draining"
LARGE = "registrations-large"


class RegistryModel(WorldModel[RegistryWorld]):
    """The model with one initial world: empty registries and one server."""

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


FAULTS = {
    "newest-call-wins": ModelFault(
        "a server's state is that of its newest call, not the highest one reported",
        ("back", "stale", "differ", "storm"), SCOPE, seeded(instance_table, "merge", _newest_call_wins),
    ),
    "acknowledged-by-nobody": ModelFault(
        "a server's call is acknowledged before any voter has stored it",
        ("stale", "differ"), SCOPE, seeded(announcements, "_is_done", _done_at_once),
    ),
    "receipt-for-anything": ModelFault(
        "an acknowledgement counts for any pending announcement of the instance",
        ("stale", "differ"), SCOPE, seeded(Announcements, "record_acknowledgement", _receipt_for_anything),
    ),
}  # fmt: skip

SCOPES = {
    SCOPE: ModelScope(
        "a server that is ready, then gone: calls at any machine, restarts, lost and delayed messages",
        lambda: RegistryModel(Calls((InstanceState.READY, InstanceState.GONE), max_steps=0)),
        Limits(deviations=1, seconds=300.0), FAULTS, notes_of, INVARIANTS,
    ),
    DRAINING: ModelScope(
        "a server that is ready, then draining, then gone",
        lambda: RegistryModel(Calls(max_steps=0)), Limits(deviations=1, seconds=600.0),
        {}, notes_of, INVARIANTS,
    ),
    LARGE: ModelScope(
        "as `registrations-draining`, with half a second of time",
        lambda: RegistryModel(Calls()), Limits(deviations=1, seconds=1800.0), {}, notes_of, INVARIANTS,
    ),
}  # fmt: skip
