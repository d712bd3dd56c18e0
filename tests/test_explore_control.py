"""Explorer of the control plane models: shipped cores pass, seeded faults break a listed invariant."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterable
from typing import Any

import attrs
import pytest

from cloverrouter.control.publisher import _Subscription
from cloverrouter.explore.coordination import (
    credit_scopes,
    distribution_scopes,
    lease_scopes,
    orders_scopes,
    registry_scopes,
)
from cloverrouter.explore.coordination.copies import Canonicalizer, deep_copy, digest
from cloverrouter.explore.coordination.credit_model import CreditScope
from cloverrouter.explore.coordination.credit_scopes import CreditModel
from cloverrouter.explore.coordination.distribution_scopes import DistributionModel
from cloverrouter.explore.coordination.lease_model import LeaseScope
from cloverrouter.explore.coordination.lease_scopes import LeaseModel
from cloverrouter.explore.coordination.orders_scopes import OrdersModel
from cloverrouter.explore.coordination.scope import ModelScope
from cloverrouter.explore.coordination.search import Limits, Model, Result, play, search

LONG_S = 600.0  # bounded searches end before this limit
SCOPES: dict[str, ModelScope] = {
    **orders_scopes.SCOPES,
    **distribution_scopes.SCOPES,
    **lease_scopes.SCOPES,
    **credit_scopes.SCOPES,
    **registry_scopes.SCOPES,
}
FAULTS = [(scope, fault) for scope, known in SCOPES.items() for fault in known.faults]


# The world that reveals a fault, for faults that are slow to find in all worlds of their scope.
FOUND_IN = {
    "reads-without-contact": "one operator, two proxies, and a read",
    "whole-state-without-orders": "one operator, two proxies, and a read",
    "remembers-the-oldest": "three changes, and one is known again",
    "tickets-from-one": "two operators race over one proxy",
}


def model_for(scope: str, fault: str) -> Model[Any]:
    world = FOUND_IN.get(fault)
    return OrdersModel({world: orders_scopes.SMALL_WORLDS[world]}) if world else SCOPES[scope].model()


def check_whole(result: Result, least_states: int) -> None:
    assert result.trace is None, result.trace
    assert (result.ended_by, result.left, result.deviations) == ("bound", 0, 1)
    assert result.states >= least_states


@pytest.mark.parametrize("name", orders_scopes.SMALL_WORLDS)
def test_orders_are_safe_in_every_ordering(name: str) -> None:
    model = OrdersModel({name: orders_scopes.SMALL_WORLDS[name]})
    check_whole(search(model, Limits(deviations=1, seconds=LONG_S)), 1000)


@pytest.mark.parametrize("name", distribution_scopes.SMALL_WORLDS)
def test_configurations_arrive_in_every_ordering(name: str) -> None:
    model = DistributionModel({name: distribution_scopes.SMALL_WORLDS[name]})
    check_whole(search(model, Limits(deviations=1, seconds=LONG_S)), 500)


def test_a_role_has_one_holder_in_every_ordering() -> None:
    model = LeaseModel(LeaseScope(candidates=("c1",), max_steps=5))
    check_whole(search(model, Limits(deviations=1, seconds=LONG_S)), 200)


def test_credit_is_lent_once_in_every_ordering() -> None:
    check_whole(search(CreditModel(CreditScope()), Limits(deviations=1, seconds=LONG_S)), 3000)


@pytest.mark.parametrize(("scope", "fault"), FAULTS)
def test_each_seeded_fault_is_found(scope: str, fault: str) -> None:
    known = SCOPES[scope]
    seeded = known.faults[fault]
    with seeded.seeded():
        result = search(model_for(scope, fault), Limits(known.limits.deviations, seconds=LONG_S))
        assert result.trace is not None
        again = play(known.model(), result.trace.start, result.trace.steps, known.step_notes)
    assert again is not None and again.breaches[0] == result.trace.breach
    assert result.trace.breach.partition(":")[0] in seeded.shows
    # In the shipped code the same history is impossible or violates no invariant.
    clean = play(known.model(), result.trace.start, result.trace.steps, known.step_notes)
    assert clean is None or not clean.breaches


def test_faults_and_invariants_are_described() -> None:
    assert len(FAULTS) >= 8
    for scope, fault in FAULTS:
        seeded = SCOPES[scope].faults[fault]
        assert seeded.text and seeded.scope == scope
        assert set(seeded.shows) <= {*SCOPES[scope].invariants, "crash"}


# -- copies and canonical forms --


@attrs.define
class Part:
    names: list[str]
    queue: deque[int]
    at: float
    other: Part | None = None
    numbers: Iterable[int] = attrs.Factory(lambda: itertools.count(3))


def test_a_copy_changes_on_its_own() -> None:
    first = Part(["a"], deque([1], maxlen=2), 1.0)
    first.other = first
    again = deep_copy(first)
    assert again.other is again and again.queue.maxlen == 2
    again.names.append("b")
    again.queue.append(2)
    assert next(iter(again.numbers)) == 3
    assert (first.names, list(first.queue), next(iter(first.numbers))) == (["a"], [1], 3)


def test_a_copy_shares_what_is_never_changed() -> None:
    wanted = orders_scopes.FIRST
    assert deep_copy([wanted])[0] is wanted


def test_times_count_from_now() -> None:
    form = Canonicalizer(max_age_s=5.0)
    one, other = _Subscription(10.0), _Subscription(20.0)
    assert digest(form.canonical(one, 12.0)) == digest(form.canonical(other, 22.0))
    assert digest(form.canonical(one, 12.0)) != digest(form.canonical(other, 23.0))
    assert form.canonical(one, 30.0) == form.canonical(one, 40.0)  # both older than `max_age_s`
