"""At most one process holds a role at any moment, and one does soon after any fault."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.coordination import lease
from cloverrouter.coordination.lease import LeaseHolder, LeaseVoter, StoreToken
from cloverrouter.coordination.lease_messages import LeaseGranted, LeaseRefused, LeaseReleased, LeaseRequest
from cloverrouter.messages import Decoder, encode
from cloverrouter.messages.sending import Send
from tests.system.lease_world import LEASE_S, World

KINDS = ["freeze holder", "cut holder", "restart holder", "restart voter", "freeze voter", "release"]
Patch = Callable[[pytest.MonkeyPatch], None]


def inject_fault(world: World, kind: str) -> None:
    holder = world.holder() or world.random.choice(world.candidates)
    voter = world.random.choice(world.voters)
    span = world.random.uniform(0.1, 6)
    if kind == "freeze holder":
        holder.frozen_until = world.now + span
    elif kind == "cut holder":
        holder.partitioned_until = world.now + span
    elif kind == "restart holder":
        world.restart(holder)
    elif kind == "restart voter":
        world.restart(voter)
    elif kind == "freeze voter":
        voter.frozen_until = world.now + span
    elif isinstance(holder.core, LeaseHolder) and world.now >= holder.frozen_until:
        world._send(holder, holder.core.release())


def run_random_faults(seed: int) -> World:
    world = World(seed, loss=0.1, duplicated=0.1)
    world.run(3)
    for _ in range(8):
        inject_fault(world, world.random.choice(KINDS))
        world.run(world.random.uniform(0.1, 3))
    return world


@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 2**32),
    st.sampled_from([1, 2, 3, 5]),
    st.lists(st.tuples(st.sampled_from(KINDS), st.floats(0.05, 4)), max_size=10),
)
def test_there_is_never_more_than_one_holder_and_tokens_rise(
    seed: int, voters: int, faults: list[tuple[str, float]]
) -> None:
    world = World(seed, voters, loss=0.15, duplicated=0.15)
    world.run(3)
    for kind, pause in faults:
        inject_fault(world, kind)
        world.run(pause)
    world.run(3)


@pytest.mark.parametrize("seed", range(10))
def test_a_holder_is_found_and_stays(seed: int) -> None:
    world = World(seed)
    world.run(8)
    assert len(world.history) == 1
    world.run(20)
    assert len(world.history) == 1


@pytest.mark.parametrize("seed", range(10))
def test_the_role_passes_on_when_its_holder_is_frozen(seed: int) -> None:
    world = World(seed)
    world.run(8)
    holder = world.holder()
    assert holder is not None
    holder.frozen_until = world.now + 30
    world.run(2 * LEASE_S + 2)
    assert world.holder() not in (None, holder)


def test_a_role_that_is_released_passes_on_before_the_lease_is_over() -> None:
    world = World(1)
    world.run(8)
    holder = world.holder()
    assert holder is not None and isinstance(holder.core, LeaseHolder)
    world._send(holder, holder.core.release())
    assert world.holder() is None
    world.run(1.3)
    assert world.holder() not in (None, holder)


def test_the_holder_stays_while_a_minority_of_the_voters_is_away() -> None:
    world = World(2, voters=5)
    world.run(8)
    for voter in world.voters[:2]:
        voter.partitioned_until = world.now + 20
    world.run(10)
    assert len(world.history) == 1


def request(token: int = 1, holder: str = "c/1", sent_at: float = 5.0) -> LeaseRequest:
    return LeaseRequest("r", holder, token, sent_at)


def voter_with_grant(now: float = 10.0) -> LeaseVoter:
    """Returns a voter that has granted the role to c/1 with token 1."""
    voter = LeaseVoter(0.0, 2.0)
    assert voter.receive(now, "c", request()) == [StoreToken("r", 1)]
    (effect,) = voter.token_stored(now, "r", 1)
    assert effect == Send("c", LeaseGranted("r", "c/1", 1, 5.0))
    return voter


class TestVoter:
    def test_it_grants_nothing_right_after_its_start(self) -> None:
        voter = LeaseVoter(0.0, 2.0)
        (effect,) = voter.receive(1.0, "c", request())
        assert isinstance(effect, Send) and isinstance(effect.message, LeaseRefused)
        assert effect.message.retry_after_s == pytest.approx(1.04)

    def test_it_answers_once_the_token_is_on_the_disk(self) -> None:
        voter = LeaseVoter(0.0, 2.0)
        voter.receive(10.0, "c", request())
        assert voter.receive(10.1, "c", request()) == []
        assert len(voter.token_stored(10.2, "r", 1)) == 1

    def test_it_refuses_others_until_the_lease_is_over(self) -> None:
        voter = voter_with_grant()
        other = request(2, "d/1")
        (effect,) = voter.receive(12.0, "d", other)
        assert isinstance(effect, Send)
        assert isinstance(effect.message, LeaseRefused)
        assert effect.message.retry_after_s == pytest.approx(0.04)
        assert voter.receive(12.05, "d", other) == [StoreToken("r", 2)]

    def test_a_renewal_needs_no_disk(self) -> None:
        (effect,) = voter_with_grant().receive(11.0, "c", request(sent_at=6.0))
        assert effect == Send("c", LeaseGranted("r", "c/1", 1, 6.0))

    def test_a_token_is_granted_once_also_after_a_restart(self) -> None:
        voter = LeaseVoter(0.0, 2.0, {"r": 1})
        (effect,) = voter.receive(10.0, "d", request(1, "d/1"))
        assert isinstance(effect, Send)
        assert effect.message == LeaseRefused("r", "d/1", 1, 1, 0.0)

    def test_a_late_release_of_an_older_lease_changes_nothing(self) -> None:
        voter = voter_with_grant()
        voter.receive(13.0, "d", request(2, "d/1"))
        voter.token_stored(13.0, "r", 2)
        voter.receive(13.1, "c", LeaseReleased("r", "c/1", 1))
        (effect,) = voter.receive(13.2, "c", request(3))
        assert isinstance(effect, Send) and isinstance(effect.message, LeaseRefused)

    def test_roles_are_apart(self) -> None:
        voter = voter_with_grant()
        assert voter.receive(10.1, "d", LeaseRequest("s", "d/1", 1, 5.0)) == [StoreToken("s", 1)]


class TestHolder:
    def test_it_holds_by_a_majority_from_when_it_asked(self) -> None:
        holder = LeaseHolder("r", "c/1", ["v0", "v1", "v2"], 2.0, Random(1))
        assert len(holder.campaign(10.0)) == 3
        holder.receive(10.2, "v0", LeaseGranted("r", "c/1", 1, 10.0))
        holder.receive(10.2, "v0", LeaseGranted("r", "c/1", 1, 10.0))
        assert not holder.holds(10.2)
        holder.receive(10.2, "v1", LeaseGranted("r", "c/1", 1, 10.0))
        assert holder.holds(11.95)
        assert not holder.holds(11.97)

    @pytest.mark.parametrize(
        "answer",
        [
            LeaseGranted("r", "c/2", 1, 10.0),
            LeaseGranted("r", "c/1", 2, 10.0),
            LeaseGranted("s", "c/1", 1, 10.0),
        ],
    )
    def test_what_was_granted_to_another_is_not_its_own(self, answer: LeaseGranted) -> None:
        holder = LeaseHolder("r", "c/1", ["v0"], 2.0, Random(1))
        holder.campaign(10.0)
        holder.receive(10.1, "v0", answer)
        assert not holder.holds(10.1)

    def test_grants_that_are_no_majority_are_given_back(self) -> None:
        holder = LeaseHolder("r", "c/1", ["v0", "v1", "v2"], 2.0, Random(1))
        holder.campaign(10.0)
        holder.receive(10.1, "v0", LeaseGranted("r", "c/1", 1, 10.0))
        effects = holder.tick(10.3)
        assert [effect.message for effect in effects] == 3 * [LeaseReleased("r", "c/1", 1)]

    def test_the_next_token_is_higher_than_any_heard_of(self) -> None:
        holder = LeaseHolder("r", "c/1", ["v0"], 2.0, Random(1))
        holder.campaign(10.0)
        holder.receive(10.1, "v0", LeaseRefused("r", "c/1", 1, 17, 0.0))
        holder.tick(10.3)
        effects = holder.tick(12.0)
        assert isinstance(effects[0].message, LeaseRequest)
        assert effects[0].message.token == 18


def voters_forget(patch: pytest.MonkeyPatch) -> None:
    original = LeaseVoter.__init__

    def init(self: LeaseVoter, now: float, lease_s: float, tokens: dict[str, int] | None = None) -> None:
        original(self, now, lease_s, tokens)
        self._no_grants_until = now

    patch.setattr(LeaseVoter, "__init__", init)


def counted_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    original = LeaseHolder.receive

    def receive(self: LeaseHolder, now: float, ip: str, message: object) -> list[Send]:
        if isinstance(message, LeaseGranted):
            message = LeaseGranted(message.role, message.holder, message.token, now)
        return original(self, now, ip, message)

    patch.setattr(LeaseHolder, "receive", receive)


def clocks_alike(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(lease, "CLOCK_MARGIN", -0.02)


def half_is_enough(patch: pytest.MonkeyPatch) -> None:
    def held_until(self: LeaseHolder) -> float:
        return max(self._grant_sent_at.values(), default=float("-inf")) + self._lease_s * 0.98

    patch.setattr(LeaseHolder, "held_until", property(held_until))


def tokens_stay(patch: pytest.MonkeyPatch) -> None:
    original = LeaseVoter._on_request

    def on_request(self: LeaseVoter, now: float, ip: str, message: LeaseRequest) -> list[Send | StoreToken]:
        grant = self._grants.get(message.role)
        if grant is not None and not grant.holder:
            grant.highest_token = 0
        return original(self, now, ip, message)

    patch.setattr(LeaseVoter, "_on_request", on_request)


@pytest.mark.parametrize(
    "fault",
    [voters_forget, counted_from_the_answer, clocks_alike, half_is_enough, tokens_stay],
    ids=lambda fault: fault.__name__,
)
def test_a_fault_is_found(fault: Patch, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    for seed in range(300):
        try:
            run_random_faults(seed)
        except AssertionError:
            return
    pytest.fail("300 runs did not detect the fault")


def test_without_a_fault_nothing_is_found() -> None:
    for seed in range(40):
        run_random_faults(seed)


@pytest.mark.parametrize(
    "message",
    [
        request(),
        LeaseGranted("r", "c/1", 1, 5.0),
        LeaseRefused("r", "c/1", 1, 2, 0.5),
        LeaseReleased("r", "c/1", 1),
    ],
    ids=lambda message: type(message).__name__,
)
def test_messages_travel(message: object) -> None:
    assert list(Decoder().feed(encode(message))) == [message]
