"""The scopes `lease`, `lease-tokens` and `lease-large`, with the faults to be found."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from cloverrouter.coordination import lease
from cloverrouter.coordination.lease import LeaseHolder, LeaseVoter, StoreToken
from cloverrouter.coordination.lease_messages import LeaseGranted, LeaseReleased, LeaseRequest
from cloverrouter.explore.coordination.lease_model import INVARIANTS, LeaseScope, LeaseWorld
from cloverrouter.explore.coordination.scope import ModelFault, ModelScope
from cloverrouter.explore.coordination.search import Limits
from cloverrouter.explore.coordination.worlds import WorldModel, told

SCOPE = "lease"
TOKENS = "lease-tokens"
CLOCKS = "lease-clocks"
LARGE = "lease-large"
SMALL_WORLD = LeaseScope(most_time=5)
CLOCKS_WORLD = LeaseScope(candidates=("c1",), step_s=0.25, most_time=14, only_late=True)
TOKENS_WORLD = LeaseScope(candidates=("c1",), most_time=7)
LARGE_WORLD = LeaseScope(voters=("v1", "v2", "v3"))


class LeaseModel(WorldModel[LeaseWorld]):
    """The model of one world."""

    def __init__(self, scope: LeaseScope) -> None:
        super().__init__({f"{len(scope.candidates)} candidates": lambda: LeaseWorld(scope)})


_begin = LeaseVoter.__init__
_receive = LeaseHolder.receive


def _begin_at_once(self: LeaseVoter, now: float, lease_s: float, tokens: Any = None) -> None:
    _begin(self, now, lease_s, tokens)
    self._no_grants_until = now


def _begin_without_tokens(self: LeaseVoter, now: float, lease_s: float, tokens: Any = None) -> None:
    _begin(self, now, lease_s)


def _release_of_anyone(self: LeaseVoter, message: LeaseReleased) -> None:
    grant = self._grants.get(message.role)
    if grant is not None:
        grant.holder = ""


def _counted_from_its_answer(self: LeaseHolder, now: float, ip: str, message: object) -> list[Any]:
    answer = _receive(self, now, ip, message)
    if ip in self._grant_sent_at and isinstance(message, LeaseGranted):
        self._grant_sent_at[ip] = now
    return answer


_on_request = LeaseVoter._on_request


def _grant_before_the_disk(self: LeaseVoter, now: float, ip: str, request: LeaseRequest) -> list[Any]:
    effects = _on_request(self, now, ip, request)
    if effects and isinstance(effects[0], StoreToken):
        return [*effects, self._grant(now, ip, request)]
    return effects


def _seeded(target: Any, name: str, fault: Any) -> Callable[[], AbstractContextManager[Any]]:
    return lambda: patch.object(target, name, fault)


FAULTS = {
    "grants-at-once-after-a-start": ModelFault(
        "a voter that has just started grants at once",
        ("two", "free"), SCOPE, _seeded(LeaseVoter, "__init__", _begin_at_once),
    ),
    "token-on-no-disk": ModelFault(
        "a voter that starts knows no tokens",
        ("token", "free"), TOKENS, _seeded(LeaseVoter, "__init__", _begin_without_tokens),
    ),
    "no-margin-for-clocks": ModelFault(
        "voters and holders count a lease's time on clocks that differ as if they were one",
        ("two", "free"), CLOCKS, _seeded(lease, "CLOCK_MARGIN", 0.0),
    ),
    "counted-from-its-answer": ModelFault(
        "a holder counts its lease from when it hears of it, not from when it asked",
        ("two", "free"), CLOCKS, _seeded(LeaseHolder, "receive", _counted_from_its_answer),
    ),
    "granted-before-the-disk": ModelFault(
        "a voter grants a token that is not on its disk yet",
        ("token", "free"), TOKENS, _seeded(LeaseVoter, "_on_request", _grant_before_the_disk),
    ),
    "released-by-anyone": ModelFault(
        "a voter takes a role for free, whoever gave it back",
        ("two", "free"), SCOPE, _seeded(LeaseVoter, "_on_released", _release_of_anyone),
    ),
}  # fmt: skip


def _faults_of(scope: str) -> dict[str, ModelFault]:
    return {name: fault for name, fault in FAULTS.items() if fault.scope == scope}


SCOPES = {
    SCOPE: ModelScope(
        "one voter and two candidates: restarts, freezes, uneven clocks, late and lost messages",
        lambda: LeaseModel(SMALL_WORLD), Limits(deviations=1, seconds=120.0),
        _faults_of(SCOPE), told, INVARIANTS,
    ),
    TOKENS: ModelScope(
        "one voter and one candidate, both of which start again",
        lambda: LeaseModel(TOKENS_WORLD), Limits(deviations=3, seconds=300.0),
        _faults_of(TOKENS), told, INVARIANTS,
    ),
    CLOCKS: ModelScope(
        "one voter and one candidate whose clocks differ: messages as late as they like, nothing else",
        lambda: LeaseModel(CLOCKS_WORLD), Limits(deviations=1, seconds=120.0),
        _faults_of(CLOCKS), told, INVARIANTS,
    ),
    LARGE: ModelScope(
        "the same with three voters",
        lambda: LeaseModel(LARGE_WORLD), Limits(deviations=2, seconds=600.0), {}, told, INVARIANTS,
    ),
}  # fmt: skip
