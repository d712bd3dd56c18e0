"""The scopes of the replica model: situations, bounds and limits of each search."""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.explore.coordination.deviations import CRASH, CUT, Bounds
from cloverrouter.explore.coordination.effects import INVARIANTS
from cloverrouter.explore.coordination.faults import FAULTS
from cloverrouter.explore.coordination.model import ReplicaModel
from cloverrouter.explore.coordination.replica_state import State
from cloverrouter.explore.coordination.scope import ModelScope
from cloverrouter.explore.coordination.search import Limits
from cloverrouter.explore.coordination.situations import named

ORDERS = ("x", "y", "z")  # the first is confirmed in most situations; the other two are concurrent


def _scope(text: str, situations: Iterable[str], bounds: Bounds, limits: Limits) -> ModelScope:
    names = tuple(situations)

    def model() -> ReplicaModel:
        return ReplicaModel(named(*names), bounds, ORDERS)

    return ModelScope(text, model, limits, FAULTS, _notes, INVARIANTS)


def _notes(state: State) -> Iterable[str]:
    return state.notes


ESTABLISHED = (
    "voters start",
    "chain active",
    "one confirmed",
    "orders later",
    "order under way",
    "chain of two",
    "two confirmed",
    "voter lost",
    "exchange begun",
    "voter silent",
)

SCOPES = {
    "coordination-small": _scope(
        "one deviation while two orders are in flight in a chain of three",
        ("order under way",),
        Bounds(window_steps=1),
        Limits(deviations=1, age=16, seconds=300.0),
    ),
    "coordination": _scope(
        "one deviation within ten time steps, in all situations",
        ESTABLISHED,
        Bounds(window_steps=10),
        Limits(deviations=1, age=40, seconds=1800.0),
    ),
    "coordination-large": _scope(
        "two deviations within three time steps, in all situations",
        ESTABLISHED,
        Bounds(window_steps=3),
        Limits(deviations=2, age=40, seconds=7200.0),
    ),
    "coordination-twice": _scope(
        "duplicated messages only, delivered again in the same step or a later one",
        ("order under way", "exchange begun", "voter silent"),
        Bounds(max_faults={}, may_delay=False, may_duplicate=True, window_steps=3),
        Limits(deviations=2, age=24, seconds=600.0),
    ),
    "coordination-cut": _scope(
        "a chain that has confirmed an order; the next ones come when a partition may have begun",
        ("orders later",),
        Bounds(window_steps=3),
        Limits(deviations=1, age=30),
    ),
    "coordination-votes": _scope(
        "a chain of two that accepts orders while the third voter restarts",
        ("chain of two",),
        Bounds(window_steps=3),
        Limits(deviations=1, age=30),
    ),
    "coordination-pairs": _scope(
        "two deviations in the time step in which orders are in flight",
        ("order under way",),
        Bounds(window_steps=1),
        Limits(deviations=2, age=24, seconds=1800.0, depth_first=True),
    ),
    "coordination-crash-and-cut": _scope(
        "a crash and a partition in the time step in which orders are in flight",
        ("order under way",),
        Bounds(max_faults={CRASH: 1, CUT: 1}, window_steps=1, may_delay=False),
        Limits(deviations=2, age=24, seconds=300.0, depth_first=True),
    ),
    "coordination-loss": _scope(
        "two deviations after two of three voters have confirmed all orders, before the third restarts",
        ("two confirmed",),
        Bounds(window_steps=1),
        Limits(deviations=2, age=30),
    ),
    "coordination-exchange": _scope(
        "a replacement of a voter, while the new voter receives view and state",
        ("exchange begun",),
        Bounds(window_steps=2),
        Limits(deviations=1, age=30),
    ),
    "coordination-return": _scope(
        "a replacement of a silent voter that restarts with its disk meanwhile",
        ("voter silent",),
        Bounds(window_steps=2),
        Limits(deviations=1, age=30),
    ),
    "coordination-exchange-pairs": _scope(
        "two faults in the time step in which a replacement of a voter is sent out",
        ("exchange begun", "voter silent"),
        Bounds(window_steps=1, may_delay=False),
        Limits(deviations=2, age=24, seconds=1800.0, depth_first=True),
    ),
    "coordination-genesis-pairs": _scope(
        "a crash and a partition during the first start",
        ("first start",),
        Bounds(max_faults={CRASH: 1, CUT: 1}, window_steps=8, may_delay=False, seeds=(0, 1, 2)),
        Limits(deviations=2, age=30, seconds=1800.0, depth_first=True),
    ),
    "coordination-genesis": _scope(
        "one deviation during the first start",
        ("first start",),
        Bounds(window_steps=8, seeds=(0, 1, 2)),
        Limits(deviations=1, age=30, seconds=300.0),
    ),
}
