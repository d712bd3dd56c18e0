"""Committed configurations reach every machine quickly and completely, and never go back to older state."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.control.distribution import (
    NOTHING,
    Apply,
    Publisher,
    Replace,
    SnapshotWanted,
    Subscriber,
    VoterAddress,
)
from cloverrouter.control.distribution_messages import (
    Acknowledge,
    Delta,
    Offer,
    Part,
    Pull,
    PullPart,
    Subscribe,
)
from cloverrouter.control.transfer import PART_BYTES, Assembly, is_valid_part, pack
from tests.system.distribution_fleet import DistributionFleet, Machine, sends
from tests.system.lossy_world import World


def make_fleet(size: int = 11, seed: int = 1, loss: float = 0.0, state: bytes = b"0;") -> DistributionFleet:
    world = World(seed, loss=loss)
    fleet = DistributionFleet(world, size, state=state)
    world.run(4)
    return fleet


def test_all_machines_get_the_state_at_the_start() -> None:
    world = World(1)
    fleet = DistributionFleet(world, 30)
    world.run(0.001)
    assert world.run_until(fleet.all_have, limit=1) < 0.3


def test_a_change_is_pushed_to_all_in_one_trip() -> None:
    fleet = make_fleet(size=30)
    fleet.commit(b"1;")
    assert fleet.world.run_until(fleet.all_have, limit=1) < 0.03


def test_changes_get_through_a_lossy_network() -> None:
    for seed in range(5):
        fleet = make_fleet(seed=seed, loss=0.2)
        for number in range(5):
            fleet.commit(b"%d;" % number)
            fleet.world.run(fleet.world.now + 0.3)
        fleet.world.run(fleet.world.now + 3)
        assert fleet.all_have(), seed


def test_a_storm_of_changes_reaches_all_and_one_that_was_cut_off_catches_up_by_differences() -> None:
    fleet = make_fleet()
    cut = fleet.ips[8]
    fleet.world.cut([cut], [ip for ip in fleet.ips if ip != cut])
    for number in range(20):
        fleet.commit(b"%d;" % number)
        fleet.world.run(fleet.world.now + 0.2)
    assert fleet.all_have([ip for ip in fleet.ips if ip != cut])
    assert not fleet.machine(cut).subscriber.is_current(fleet.world.now)
    fleet.world.join()
    fleet.link_up(cut)
    assert fleet.world.run_until(fleet.all_have, limit=3) < 0.5
    fleet.world.run(fleet.world.now + 0.1)
    assert fleet.machine(cut).subscriber.is_current(fleet.world.now)
    assert len(fleet.world.seen(cut, Replace)) == 1
    for ip in fleet.ips:
        assert fleet.machine(ip).versions == sorted(set(fleet.machine(ip).versions))


def test_a_machine_too_far_behind_gets_a_snapshot() -> None:
    fleet = make_fleet()
    cut = fleet.ips[8]
    fleet.world.cut([cut], [ip for ip in fleet.ips if ip != cut])
    for number in range(400):
        fleet.commit(b"%d;" % number)
        fleet.world.run(fleet.world.now + 0.02)
    fleet.world.join()
    fleet.link_up(cut)
    assert fleet.world.run_until(fleet.all_have, limit=3) < 1
    assert len(fleet.world.seen(cut, Replace)) == 2


def test_a_long_state_comes_in_parts_with_few_under_way() -> None:
    state = Random(1).randbytes(10 * PART_BYTES + 17)
    world = World(2)
    fleet = DistributionFleet(world, 6, state=state)
    world.run(0.001)
    assert world.run_until(fleet.all_have, limit=2) < 1
    update = Random(2).randbytes(3 * PART_BYTES)
    fleet.commit(update)
    assert world.run_until(fleet.all_have, limit=2) < 1
    assert all(fleet.machine(ip).versions == [0, 1] for ip in fleet.ips)


def test_a_long_state_gets_through_a_lossy_network() -> None:
    state = Random(1).randbytes(10 * PART_BYTES + 17)
    for seed in range(3):
        world = World(seed, loss=0.05)
        fleet = DistributionFleet(world, 6, state=state)
        world.run(0.001)
        world.run_until(fleet.all_have, limit=20)


def test_the_source_is_in_the_own_zone_and_another_one_when_it_is_silent() -> None:
    fleet = make_fleet()
    machine = fleet.machine(fleet.ips[4])
    assert machine.subscriber.source == fleet.voters[1]
    fleet.world.stop(fleet.voters[1])
    fleet.world.run(fleet.world.now + 0.1)
    fleet.commit(b"1;")
    others = [ip for ip in fleet.ips if ip != fleet.voters[1]]
    assert fleet.world.run_until(lambda: fleet.all_have(others), limit=2) < 0.4
    fleet.world.run(fleet.world.now + 2)
    assert machine.subscriber.source in (fleet.voters[0], fleet.voters[2])
    fleet.restart(fleet.voters[1])
    fleet.world.run(fleet.world.now + 8)
    assert machine.subscriber.source == fleet.voters[1]


def test_being_current_is_a_lease_from_a_majority_of_the_voters() -> None:
    fleet = make_fleet()
    subscriber = fleet.machine(fleet.ips[9]).subscriber
    assert subscriber.is_current(fleet.world.now)
    fleet.world.stop(fleet.voters[0])
    fleet.world.run(fleet.world.now + 3)
    assert subscriber.is_current(fleet.world.now)
    fleet.world.stop(fleet.voters[1])
    fleet.world.run(fleet.world.now + 1)
    assert subscriber.is_current(fleet.world.now)
    fleet.world.run(fleet.world.now + 1.1)
    assert not subscriber.is_current(fleet.world.now)


def test_a_machine_without_voters_is_not_current() -> None:
    assert not Subscriber("10.0.0.1", "a", Random(1)).is_current(0.0)


def test_a_voter_that_lags_behind_does_not_turn_anyone_back() -> None:
    fleet = make_fleet()
    fleet.commit(b"1;")
    fleet.world.run(fleet.world.now + 1)
    machine = fleet.machine(fleet.ips[4])
    publisher = Publisher()
    publisher.load_snapshot(fleet.world.now, 0, b"0;")
    lagging = fleet.world.cores[fleet.voters[1]]
    assert isinstance(lagging, Machine)
    lagging.publisher = publisher
    fleet.world.run(fleet.world.now + 5)
    assert machine.in_force == b"0;1;"
    fleet.commit(b"2;")
    fleet.world.run(fleet.world.now + 1)
    assert machine.in_force == b"0;1;2;"
    assert machine.versions == [0, 1, 2]


def test_a_restarted_machine_gets_the_newest_at_once() -> None:
    fleet = make_fleet()
    for number in range(5):
        fleet.commit(b"%d;" % number)
    fleet.world.run(fleet.world.now + 1)
    fleet.restart(fleet.ips[7])
    fleet.world.run(fleet.world.now + 0.11)
    assert fleet.world.run_until(fleet.all_have, limit=1) < 0.1
    first = next(
        at
        for at, ip, each in reversed(fleet.world.effects)
        if ip == fleet.ips[7] and isinstance(each, Replace)
    )
    assert [at for at, ip, each in fleet.world.effects if ip == fleet.ips[7] and isinstance(each, Apply)][
        -1
    ] == first


def test_voters_know_who_has_what_and_how_many_there_are() -> None:
    fleet = make_fleet(size=20)
    fleet.commit(b"1;")
    fleet.world.run(fleet.world.now + 2.5)
    for ip in fleet.voters:
        publisher = fleet.machine(ip).publisher
        assert publisher is not None
        assert publisher.acknowledged() == dict.fromkeys(fleet.ips, 1)
    assert {fleet.machine(ip).subscriber.fleet_size() for ip in fleet.ips} == {20}


def test_the_fleet_does_not_seem_smaller_right_after_a_voter_or_all_voters_start_again() -> None:
    fleet = make_fleet(size=20)
    for ip in fleet.voters:
        fleet.restart(ip)
    for _ in range(100):
        fleet.world.run(fleet.world.now + 0.1)
        assert {fleet.machine(ip).subscriber.fleet_size() for ip in fleet.ips[3:]} == {20}


def test_without_a_change_only_offers_and_subscriptions_travel() -> None:
    fleet = make_fleet()
    fleet.world.counts_bytes = True
    fleet.world.run(fleet.world.now + 10)
    assert set(fleet.world.bytes_by_kind) == {"Offer", "Subscribe"}


# Tests of a single subscriber or publisher


def make_subscriber(have: bytes | None = b"base", sequence: int = 5) -> Subscriber:
    subscriber = Subscriber("10.0.0.9", "a", Random(1))
    subscriber.voters_changed(
        0.0, [VoterAddress("v1", "a"), VoterAddress("v2", "b"), VoterAddress("v3", "b")]
    )
    if have is not None:
        subscriber.receive(0.0, "v1", Offer(sequence, 0, 500))
        subscriber.receive(0.0, "v1", pack(sequence, True, have).part(0))
        assert subscriber.have == sequence
    return subscriber


def test_updates_already_in_force_are_skipped_and_a_gap_is_pulled() -> None:
    core = make_subscriber()
    effects = core.receive(1.0, "v1", Delta(4, (b"4", b"5", b"6"), 6))
    assert effects[0] == Apply(6, (b"6",))
    assert core.receive(1.0, "v2", Delta(6, (b"6",), 6)) == []
    effects = core.receive(1.0, "v1", Delta(8, (b"8",), 8))
    assert [send.message for send in sends(effects, Pull)] == [Pull(6)]
    assert core.have == 6


def test_a_pull_without_an_answer_goes_to_another_voter() -> None:
    core = make_subscriber()
    for ip in ("v1", "v2", "v3"):
        core.receive(1.0, ip, Offer(5, 0, 500))
    effects = core.receive(1.0, "v1", Offer(6, 0, 500))
    assert [send.ip for send in sends(effects, Pull)] == ["v1"]
    core.receive(1.1, "v2", Offer(6, 0, 500))
    (send,) = sends(core.tick(1.31), Pull)
    assert send.ip == "v2"


def test_changes_are_pulled_from_another_voter_when_the_source_lags() -> None:
    core = make_subscriber()
    assert core.receive(1.0, "v2", Offer(6, 0, 500)) == []
    assert sends(core.tick(1.1), Pull) == []
    (send,) = sends(core.tick(1.2), Pull)
    assert send.ip == "v2"


def test_a_part_with_damaged_bytes_is_not_put_in_force() -> None:
    core = make_subscriber()
    core.receive(1.0, "v1", Offer(9, 0, 500))
    package = pack(9, True, b"state")
    whole = package.part(0)
    damaged = Part(9, True, 0, whole.total, whole.checksum, whole.encoding, b"stat?")
    effects = core.receive(1.0, "v1", damaged)
    assert not any(isinstance(effect, Replace) for effect in effects)
    assert core.have == 5


def test_messages_of_other_machines_than_voters_are_ignored() -> None:
    """A sender that is no longer a voter, or never was one."""
    core = make_subscriber()
    for message in (Offer(9, 0, 500), Delta(6, (b"6",), 6), pack(9, True, b"state").part(0)):
        assert core.receive(1.0, "stranger", message) == []
    assert core.have == 5
    assert core.newest_offered() == 5


def test_parts_are_accepted_only_from_the_source_of_the_fetch() -> None:
    """Guards against late parts of a voter whose fetch was given up meanwhile."""
    core = make_subscriber()
    core.receive(1.0, "v1", Offer(9, 0, 500))
    package = pack(9, True, b"state")
    assert not any(isinstance(effect, Replace) for effect in core.receive(1.0, "v2", package.part(0)))
    assert core.have == 5
    assert any(isinstance(effect, Replace) for effect in core.receive(1.0, "v1", package.part(0)))


def test_parts_of_two_contents_are_not_put_together() -> None:
    """Two voters may encode the same state in different bytes under the same sequence number."""
    one, other = (pack(9, True, Random(seed).randbytes(2 * PART_BYTES)) for seed in (1, 2))
    core = make_subscriber()
    core.receive(1.0, "v1", Offer(9, 0, 500))
    core.receive(1.0, "v1", one.part(0))
    core.receive(1.0, "v1", other.part(PART_BYTES))
    assert core.have == 5
    (done, *_) = core.receive(1.0, "v1", one.part(PART_BYTES))
    assert isinstance(done, Replace)
    assert done.snapshot == Random(1).randbytes(2 * PART_BYTES)


def test_another_source_continues_the_same_transfer() -> None:
    core = make_subscriber()
    package = pack(9, True, Random(1).randbytes(4 * PART_BYTES))
    for ip in ("v1", "v2", "v3"):
        core.receive(1.0, ip, Offer(9, 0, 500))
    effects = core.receive(1.0, "v1", package.part(0))
    assert [s.message for s in sends(effects, PullPart)] == [
        PullPart(9, True, PART_BYTES),
        PullPart(9, True, 2 * PART_BYTES),
    ]
    core.receive(1.1, "v1", package.part(PART_BYTES))
    effects = core.tick(3.0)
    (send,) = sends(effects, Pull)
    assert send.ip != "v1"
    effects = core.receive(3.0, send.ip, package.part(0))
    assert {s.message.offset for s in sends(effects, PullPart)} == {2 * PART_BYTES, 3 * PART_BYTES}  # type: ignore[attr-defined]
    core.receive(3.1, send.ip, package.part(2 * PART_BYTES))
    (done, *_) = core.receive(3.1, send.ip, package.part(3 * PART_BYTES))
    assert isinstance(done, Replace)
    assert zlib.crc32(done.snapshot) == zlib.crc32(Random(1).randbytes(4 * PART_BYTES))


def test_interleaved_answers_to_two_pulls_end() -> None:
    """Guards against an endless loop: each part restarted the assembly of the other snapshot, and the
    subscriber pulled again at once.
    """
    publisher, subscriber = Publisher(), Subscriber("m", "", Random(1))
    older, newer = (Random(seed).randbytes(3 * PART_BYTES) for seed in (1, 2))
    publisher.receive(0.0, "m", Subscribe(NOTHING, True))
    publisher.load_snapshot(0.0, 1, older)
    first = publisher.receive(0.0, "m", Pull(NOTHING))
    publisher.load_snapshot(0.0, 2, newer)
    second = publisher.receive(0.0, "m", Pull(NOTHING))
    subscriber.voters_changed(0.0, [VoterAddress("v", "")])
    assert sends(subscriber.receive(0.0, "v", Offer(2, 1, 500)), Pull)
    put_in_force: list[Apply | Replace] = []
    messages = [*sends(first, Part), *sends(second, Part)]
    for _ in range(50):
        if not messages:
            break
        effects = subscriber.receive(0.0, "v", messages.pop(0).message)
        put_in_force += [each for each in effects if isinstance(each, Apply | Replace)]
        pulls = sends(effects, PullPart)
        messages += [
            sent for pull in pulls for sent in sends(publisher.receive(0.0, "m", pull.message), Part)
        ]
    assert not messages
    assert put_in_force == [Replace(2, newer)]


def test_a_pull_before_there_is_a_snapshot_is_answered_when_there_is() -> None:
    publisher = Publisher()
    publisher.receive(0.0, "s", Subscribe(NOTHING, True))
    publisher.add_committed_update(0.0, 0, b"x")
    publisher.receive(0.0, "s", Pull(NOTHING))
    (send,) = sends(publisher.load_snapshot(0.1, 0, b"state"), Part)
    assert send.ip == "s"


def part_of(effects: Iterable[object]) -> Part:
    """Returns the single part that is sent."""
    (send,) = sends(effects, Part)
    assert isinstance(send.message, Part)
    return send.message


def test_a_slow_link_gets_through_in_a_storm_of_long_changes() -> None:
    """A slow machine fetches a snapshot part by part while another one fetches each new change completely."""
    publisher, random = Publisher(), Random(1)
    publisher.load_snapshot(0.0, 0, random.randbytes(1_000_000))
    publisher.receive(0.0, "slow", Subscribe(NOTHING, True))
    parts = [part_of(publisher.receive(0.0, "slow", Pull(NOTHING)))]
    offsets = range(0, parts[0].total, PART_BYTES)
    for sequence, offset in enumerate(offsets[1:], 1):
        if SnapshotWanted() in publisher.add_committed_update(0.1, sequence, random.randbytes(500_000)):
            publisher.load_snapshot(0.1, sequence, random.randbytes(1_000_000))
        publisher.receive(0.1, "fast", Pull(sequence - 1))
        parts.append(part_of(publisher.receive(0.1, "slow", PullPart(0, True, offset))))
    assert [(part.sequence, part.offset) for part in parts] == [(0, offset) for offset in offsets]


def test_pushing_stops_for_one_that_does_not_acknowledge() -> None:
    publisher = Publisher()
    publisher.load_snapshot(0.0, 0, b"")
    publisher.receive(0.0, "s", Subscribe(0, True))
    pushed = 0
    for sequence in range(1, 100):
        pushed += len(sends(publisher.add_committed_update(0.0, sequence, b"x" * 20_000), Delta))
    assert 5 < pushed < 20
    publisher.receive(0.0, "s", Acknowledge(99))
    assert len(sends(publisher.add_committed_update(0.0, 100, b"x"), Delta)) == 1


@given(st.binary(max_size=3 * PART_BYTES), st.randoms())
def test_parts_are_assembled_in_any_order(data: bytes, random: Random) -> None:
    package = pack(3, True, data)
    parts = [package.part(offset) for offset in range(0, max(1, len(package.data)), PART_BYTES)]
    random.shuffle(parts)
    assembly = Assembly(parts[0])
    for part in parts:
        assert is_valid_part(part)
        assembly.add(part)
    assert assembly.is_complete
    assert assembly.content() == data


@pytest.mark.parametrize("offset", [0, 1, PART_BYTES])
def test_inconsistent_parts_are_rejected(offset: int) -> None:
    assert not is_valid_part(Part(1, True, offset, 10, 0, 0, b"short"))
