"""Single messages at one replica: those that are late, or do not match its state, are not accepted."""

from __future__ import annotations

from random import Random
from typing import Any

import attrs
import pytest

from cloverrouter.coordination.effects import Effect, Persist, ReplicaConfig
from cloverrouter.coordination.messages import (
    Canvass,
    Heartbeat,
    Install,
    Promise,
    Propose,
    Refused,
    Report,
    Support,
)
from cloverrouter.coordination.replica import Replica
from cloverrouter.coordination.views import Member, View, encode_view, next_epoch
from cloverrouter.messages.sending import Send
from cloverrouter.store import Meta, StoredReplica, Update
from tests.system.replica_world import Register

CONFIG = ReplicaConfig(tolerance=2)
MEMBERS = tuple(Member(f"{number:016x}", f"10.0.0.{number}", f"m{number}", "east") for number in range(1, 6))
ME, FIRST, SECOND, THIRD, _ = MEMBERS
LOW = next_epoch(0, FIRST.identity)
HIGH = next_epoch(LOW, SECOND.identity)


def view(epoch: int, head: Member) -> View:
    """Returns a view in which all five vote, and the chain is the head and this replica."""
    return View(epoch, MEMBERS, (head.identity, ME.identity), ())


class Driven:
    """One replica whose writes complete at once."""

    def __init__(self, meta: Meta, updates: tuple[Update, ...] = ()) -> None:
        stored = StoredReplica(ME.identity, meta, None, updates)
        self.replica = Replica(ME, stored, Register(), CONFIG, Random(1))
        self.sent: list[Any] = []
        self._take(0.0, self.replica.start(0.0))

    def receive(self, now: float, message: Any) -> list[Any]:
        """Delivers a message; returns the messages sent in response."""
        self.sent.clear()
        sender = next(member for member in MEMBERS if member.identity == message.sender)
        self._take(now, self.replica.receive(now, sender.ip, message))
        return list(self.sent)

    def _take(self, now: float, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.sent.append(effect.message)
            elif isinstance(effect, Persist):
                self._take(now, self.replica.persisted(now, effect.token))


def heartbeat(sender: Member, epoch: int, number: int, resigning: bool = False) -> Heartbeat:
    return Heartbeat(
        sender=sender.identity,
        receiver=ME.identity,
        epoch=epoch,
        round=number,
        active=True,
        committed=0,
        trouble_ms=0,
        resigning=resigning,
    )


def propose(sender: Member, above: int) -> Propose:
    return Propose(sender.identity, ME.identity, next_epoch(above, sender.identity))


def view_facts(epoch: int, head: Member) -> dict[str, Any]:
    return {"view": encode_view(view(epoch, head)), "view_epoch": epoch, "settled": True}


def follower_meta(head: Member, epoch: int, **facts: Any) -> Meta:
    """Returns the durable facts of a voter that follows a head."""
    return Meta(promised=epoch, promised_to=head.identity, synced=epoch, **view_facts(epoch, head), **facts)


def test_a_late_heartbeat_frees_nobody_from_a_head_that_is_well() -> None:
    """Heartbeats on two connections may be reordered: the older one said that the head leaves."""
    driven = Driven(follower_meta(FIRST, LOW))
    driven.receive(1.0, heartbeat(FIRST, LOW, 6))
    (report,) = driven.receive(1.01, heartbeat(FIRST, LOW, 5, resigning=True))
    assert isinstance(report, Report) and report.round == 6
    (answer,) = driven.receive(1.02, propose(SECOND, LOW))
    assert isinstance(answer, Refused)


def test_a_heartbeat_of_the_head_before_frees_nobody() -> None:
    """The voter has promised a newer head whose view has not arrived yet; a heartbeat of the head before must
    not release it from that."""
    driven = Driven(attrs.evolve(follower_meta(FIRST, LOW), promised=HIGH, promised_to=SECOND.identity))
    driven.receive(1.0, heartbeat(SECOND, HIGH, 1))
    driven.receive(1.01, heartbeat(FIRST, LOW, 40, resigning=True))
    (answer,) = driven.receive(1.02, propose(THIRD, HIGH))
    assert isinstance(answer, Refused)


@pytest.mark.parametrize("is_asked_first", [False, True])
def test_a_voter_that_starts_again_holds_to_its_promise_whoever_is_heard(is_asked_first: bool) -> None:
    """Before the restart the voter may have answered the head that it promised last, whose lease may rest on
    that reply; the previous head does not know of it."""
    driven = Driven(attrs.evolve(follower_meta(FIRST, LOW), promised=HIGH, promised_to=SECOND.identity))
    driven.receive(0.01, heartbeat(FIRST, LOW, 40))
    if is_asked_first:
        (support,) = driven.receive(0.02, Canvass(FIRST.identity, ME.identity, 1, LOW))
        assert isinstance(support, Support) and not support.granted
    (refused,) = driven.receive(0.03, propose(FIRST, HIGH))
    assert isinstance(refused, Refused)
    (promise,) = driven.receive(CONFIG.sticky_s + 0.01, propose(FIRST, HIGH))
    assert isinstance(promise, Promise)


def test_a_round_is_answered_only_to_the_one_that_has_the_promise() -> None:
    """Of two proposers of one epoch one has no majority: it must not get a lease through this vote."""
    driven = Driven(Meta(promised=LOW, promised_to=FIRST.identity))
    (report,) = driven.receive(1.0, heartbeat(SECOND, LOW, 3))
    assert isinstance(report, Report) and report.round == 0
    (report,) = driven.receive(1.1, heartbeat(FIRST, LOW, 3))
    assert report.round == 3


@pytest.mark.parametrize(("from_synced", "from_seq"), [(HIGH, 1), (LOW, 0), (LOW, 2)])
def test_a_part_of_a_state_is_taken_only_where_it_fits(from_synced: int, from_seq: int) -> None:
    first = Update(1, b'{"id": "a", "version": 1, "value": "a"}')
    driven = Driven(follower_meta(FIRST, LOW, committed=1), (first,))
    epoch = next_epoch(HIGH, SECOND.identity)
    part = Install(
        sender=SECOND.identity,
        receiver=ME.identity,
        view=view(epoch, SECOND),
        seq=2,
        snapshot=None,
        from_synced=from_synced,
        from_seq=from_seq,
        updates=(b'{"id": "b", "version": 2, "value": "b"}',),
    )
    for message in driven.receive(1.0, part):
        assert isinstance(message, Report) and message.synced == LOW
    driven.replica.tick(1.05)
    assert driven.replica._context.history.newest == 1
    fitting = attrs.evolve(part, from_synced=LOW, from_seq=1)  # type: ignore[misc]
    (report,) = driven.receive(1.1, fitting)
    assert isinstance(report, Report) and report.synced == epoch and report.seq == 2
