"""The scopes of the replicas: where each begins, and how far it goes."""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.explore.coordination.effects import INVARIANTS
from cloverrouter.explore.coordination.faults import FAULTS
from cloverrouter.explore.coordination.model import ReplicaModel
from cloverrouter.explore.coordination.scope import ModelScope
from cloverrouter.explore.coordination.search import Limits
from cloverrouter.explore.coordination.situations import named
from cloverrouter.explore.coordination.troubles import CRASH, CUT, Bounds
from cloverrouter.explore.coordination.world import State

ORDERS = ("x", "y", "z")  # the first is confirmed in most situations; the other two race


def _scope(text: str, situations: Iterable[str], bounds: Bounds, limits: Limits) -> ModelScope:
    names = tuple(situations)

    def model() -> ReplicaModel:
        return ReplicaModel(named(*names), bounds, ORDERS)

    return ModelScope(text, model, limits, FAULTS, _spoken, INVARIANTS)


def _spoken(state: State) -> Iterable[str]:
    return state.spoken


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
        "one deviation while two orders are on their way down a chain of three",
        ("order under way",),
        Bounds(window=1),
        Limits(deviations=1, age=16, seconds=300.0),
    ),
    "coordination": _scope(
        "one deviation at any point of ten steps of time, in all situations",
        ESTABLISHED,
        Bounds(window=10),
        Limits(deviations=1, age=40, seconds=1800.0),
    ),
    "coordination-large": _scope(
        "two deviations within three steps of time, in all situations",
        ESTABLISHED,
        Bounds(window=3),
        Limits(deviations=2, age=40, seconds=7200.0),
    ),
    "coordination-twice": _scope(
        "messages that come twice, the second time in this step or a later one, and nothing else",
        ("order under way", "exchange begun", "voter silent"),
        Bounds(most={}, holds=False, doubles=True, window=3),
        Limits(deviations=2, age=24, seconds=600.0),
    ),
    "coordination-cut": _scope(
        "a chain that has confirmed an order, and the next come when a cut may have struck",
        ("orders later",),
        Bounds(window=3),
        Limits(deviations=1, age=30),
    ),
    "coordination-votes": _scope(
        "a chain of two that takes orders, and the third that is back",
        ("chain of two",),
        Bounds(window=3),
        Limits(deviations=1, age=30),
    ),
    "coordination-pairs": _scope(
        "two deviations in the step of time in which orders are under way",
        ("order under way",),
        Bounds(window=1),
        Limits(deviations=2, age=24, seconds=1800.0, depth_first=True),
    ),
    "coordination-crash-and-cut": _scope(
        "a crash and a cut in the step of time in which orders are under way",
        ("order under way",),
        Bounds(most={CRASH: 1, CUT: 1}, window=1, holds=False),
        Limits(deviations=2, age=24, seconds=300.0, depth_first=True),
    ),
    "coordination-loss": _scope(
        "two deviations when two of three have confirmed all orders, and the third is about to come back",
        ("two confirmed",),
        Bounds(window=1),
        Limits(deviations=2, age=30),
    ),
    "coordination-exchange": _scope(
        "an exchange of voters, as the newcomer is handed view and state",
        ("exchange begun",),
        Bounds(window=2),
        Limits(deviations=1, age=30),
    ),
    "coordination-return": _scope(
        "an exchange of voters while the silent one comes back with its disk",
        ("voter silent",),
        Bounds(window=2),
        Limits(deviations=1, age=30),
    ),
    "coordination-exchange-pairs": _scope(
        "two troubles in the step of time in which an exchange of voters is handed out",
        ("exchange begun", "voter silent"),
        Bounds(window=1, holds=False),
        Limits(deviations=2, age=24, seconds=1800.0, depth_first=True),
    ),
    "coordination-genesis-pairs": _scope(
        "a crash and a cut in the first start",
        ("first start",),
        Bounds(most={CRASH: 1, CUT: 1}, window=8, holds=False, seeds=(0, 1, 2)),
        Limits(deviations=2, age=30, seconds=1800.0, depth_first=True),
    ),
    "coordination-genesis": _scope(
        "the first start",
        ("first start",),
        Bounds(window=8, seeds=(0, 1, 2)),
        Limits(deviations=1, age=30, seconds=300.0),
    ),
}
