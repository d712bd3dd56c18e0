"""Thousands of servers that register at once: their updates go to each machine in batches, not one by one."""

from __future__ import annotations

from collections.abc import Sequence

from cloverrouter.control.instances import Instance
from cloverrouter.control.registry import Effect, Registry
from cloverrouter.control.registry_messages import (
    Announce,
    AnnounceAcknowledged,
    Compare,
    InstanceList,
    InstanceUpdates,
)
from cloverrouter.messages.sending import Send

VOTER, ORIGIN, OTHER = "10.0.0.1", "10.0.0.2", "10.0.0.3"
SERVERS = 50


def sent(effects: Sequence[Effect], kind: type) -> list[Send]:
    return [effect for effect in effects if isinstance(effect, Send) and isinstance(effect.message, kind)]


def test_updates_of_a_rush_are_batched_and_acknowledged_afterwards() -> None:
    voter, origin = Registry(VOTER, 1.0), Registry(ORIGIN, 1.0)
    voter.voters_changed(0.0, [VOTER])
    origin.voters_changed(0.0, [VOTER])
    empty = Compare(voter.digest, 0)
    voter.receive(0.0, OTHER, empty)
    voter.receive(0.0, ORIGIN, empty)
    at_once: list[Effect] = []
    for number in range(SERVERS):
        instance = Instance(f"i-{number}", "llm", f"10.1.0.{number}:9000", sequence=1)
        _, effects = origin.register(1.0, instance)
        for send in sent(effects, Announce):
            at_once += voter.receive(1.0, ORIGIN, send.message)
    assert len(sent(at_once, InstanceUpdates)) == 1
    assert len(sent(at_once, AnnounceAcknowledged)) == 1
    later = voter.tick(1.05)
    to_other = [send for send in sent(later, InstanceUpdates) if send.ip == OTHER]
    assert [len(send.message.records) for send in to_other] == [SERVERS - 1]  # type: ignore[attr-defined]
    acknowledgements = sent(later, AnnounceAcknowledged)
    assert len(acknowledgements) == SERVERS - 1
    assert later.index(acknowledgements[0]) > later.index(to_other[0])
    assert {id(send.message) for send in sent(later, InstanceUpdates)} == {id(to_other[0].message)}


def test_a_single_change_is_forwarded_at_once() -> None:
    voter, origin = Registry(VOTER, 1.0), Registry(ORIGIN, 1.0)
    voter.voters_changed(0.0, [VOTER])
    origin.voters_changed(0.0, [VOTER])
    voter.receive(0.0, OTHER, Compare(voter.digest, 0))
    for at, number in ((1.0, 1), (2.0, 2)):
        instance = Instance("i-1", "llm", "10.1.0.1:9000", sequence=number, version=str(number))
        _, effects = origin.register(at, instance)
        (announce,) = sent(effects, Announce)
        answer = voter.receive(at, ORIGIN, announce.message)
        assert [send.ip for send in sent(answer, InstanceUpdates)] == [OTHER]
        assert len(sent(answer, AnnounceAcknowledged)) == 1


def test_many_machines_that_lost_their_lists_get_the_same_one_at_once() -> None:
    voter = Registry(VOTER, 1.0)
    voter.voters_changed(0.0, [VOTER])
    for number in range(SERVERS):
        voter.register(1.0, Instance(f"i-{number}", "llm", f"10.1.0.{number}:9000", sequence=1))
    lists = []
    for number in range(100):
        answer = voter.receive(2.0 + number / 1000, f"10.2.0.{number}", Compare(0, 0))
        lists += sent(answer, InstanceList)
    assert len(lists) == 100
    assert len({id(send.message) for send in lists}) == 1


def test_long_lists_are_sent_to_few_machines_at_once() -> None:
    voter = Registry(VOTER, 1.0)
    voter.voters_changed(0.0, [VOTER])
    for number in range(8_000):
        address = f"10.{1 + number // 60_000}.{number // 250}.{number % 250}:9000"
        voter.register(1.0, Instance(f"i-{number}", "llm", address, sequence=1))
    answers = [voter.receive(2.0, f"10.2.0.{number}", Compare(0, 0)) for number in range(20)]
    assert sum(bool(sent(answer, InstanceList)) for answer in answers) == 5
