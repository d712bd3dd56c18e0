"""The scopes `lease`, `lease-tokens`, `lease-clocks` and `lease-large`, with their seeded faults."""

from __future__ import annotations

from typing import Any

from cloverrouter.coordination import lease
from cloverrouter.coordination.lease import LeaseHolder, LeaseVoter, StoreToken
from cloverrouter.coordination.lease_messages import LeaseGranted, LeaseReleased, LeaseRequest
from cloverrouter.explore.coordination.lease_model import INVARIANTS, LeaseScope, LeaseWorld
from cloverrouter.explore.coordination.scope import ModelFault, ModelScope, seeded
from cloverrouter.explore.coordination.search import Limits
from cloverrouter.explore.coordination.world_model import WorldModel, notes_of

SCOPE = "lease"
TOKENS = "lease-tokens"
CLOCKS = "lease-clocks"
LARGE = "lease-large"
SMALL_WORLD = LeaseScope(max_steps=5)
CLOCKS_WORLD = LeaseScope(candidates=("c1",), step_s=0.25, max_steps=14, delays_only=True)
TOKENS_WORLD = LeaseScope(candidates=("c1",), max_steps=7)
LARGE_WORLD = LeaseScope(voters=("v1", "v2", "v3"))


class LeaseModel(WorldModel[LeaseWorld]):
    """The model with one initial world."""

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


FAULTS = {
    "grants-at-once-after-a-start": ModelFault(
        "a voter grants immediately after its start",
        ("two", "free"), SCOPE, seeded(LeaseVoter, "__init__", _begin_at_once),
    ),
    "token-on-no-disk": ModelFault(
        "a restarted voter has lost its tokens",
        ("token", "free"), TOKENS, seeded(LeaseVoter, "__init__", _begin_without_tokens),
    ),
    "no-margin-for-clocks": ModelFault(
        "voters and holders measure a lease without a margin for clock drift",
        ("two", "free"), CLOCKS, seeded(lease, "CLOCK_MARGIN", 0.0),
    ),
    "counted-from-its-answer": ModelFault(
        "a holder counts its lease from the grant's arrival instead of from its request",
        ("two", "free"), CLOCKS, seeded(LeaseHolder, "receive", _counted_from_its_answer),
    ),
    "granted-before-the-disk": ModelFault(
        "a voter grants a token before it is on its disk",
        ("token", "free"), TOKENS, seeded(LeaseVoter, "_on_request", _grant_before_the_disk),
    ),
    "released-by-anyone": ModelFault(
        "a voter accepts the release of a role from any process",
        ("two", "free"), SCOPE, seeded(LeaseVoter, "_on_released", _release_of_anyone),
    ),
}  # fmt: skip


def _faults_of(scope: str) -> dict[str, ModelFault]:
    return {name: fault for name, fault in FAULTS.items() if fault.scope == scope}


SCOPES = {
    SCOPE: ModelScope(
        "one voter and two candidates: restarts, freezes, clock drift, delayed and lost messages",
        lambda: LeaseModel(SMALL_WORLD), Limits(deviations=1, seconds=120.0),
        _faults_of(SCOPE), notes_of, INVARIANTS,
    ),
    TOKENS: ModelScope(
        "one voter and one candidate, both of which restart",
        lambda: LeaseModel(TOKENS_WORLD), Limits(deviations=3, seconds=300.0),
        _faults_of(TOKENS), notes_of, INVARIANTS,
    ),
    CLOCKS: ModelScope(
        "one voter and one candidate with clock drift: messages delayed without limit, no other faults",
        lambda: LeaseModel(CLOCKS_WORLD), Limits(deviations=1, seconds=120.0),
        _faults_of(CLOCKS), notes_of, INVARIANTS,
    ),
    LARGE: ModelScope(
        "as `lease`, with three voters",
        lambda: LeaseModel(LARGE_WORLD), Limits(deviations=2, seconds=600.0), {}, notes_of, INVARIANTS,
    ),
}  # fmt: skip
