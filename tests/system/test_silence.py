"""Detection of silent servers: a second voter must agree, and a proxy also counts answers it received."""

from __future__ import annotations

import pytest

from cloverrouter.control.registry import Registry
from cloverrouter.control.registry_messages import LivenessAge, SilenceAnswer, SilenceCheck
from cloverrouter.control.silence import Detection, Liveness, SilenceDetector
from cloverrouter.placement.first_token import FirstTokenModel
from cloverrouter.placement.load_bound import LoadBound
from cloverrouter.placement.options import IN_USE
from cloverrouter.placement.servers import RECENTLY_RECEIVED_S, ServerState, ServiceServers
from tests.system.lossy_world import World
from tests.system.registry_fleet import RegistryFleet
from tests.system.test_placement_pick import NOW, pick, placement, subject

LONG_CUT_S = 12.0  # longer than the silence limit and the check with the other voters


def fleet() -> RegistryFleet:
    """Eleven machines, of which the first three are voters."""
    made = RegistryFleet(World(1), 11, 3)
    made.world.run(1)
    return made


def test_a_server_that_the_head_alone_does_not_hear_is_not_silent() -> None:
    """The machine that the server calls is cut off from the head, but from no other voter."""
    made = fleet()
    for name in ("a", "b", "c"):
        made.start_heartbeats(name, [made.ips[4]])
    made.start_heartbeats("d", [made.ips[7]])
    made.world.run(20)
    made.world.cut([made.head], [made.ips[7]])
    made.world.run(made.world.now + LONG_CUT_S)
    assert not any(made.registry(ip).is_silent("d") for ip in made.ips)


def test_a_server_that_no_voter_hears_is_silent() -> None:
    made = fleet()
    for name in ("a", "b", "c"):
        made.start_heartbeats(name, [made.ips[4]])
    made.start_heartbeats("d", [made.ips[7]])
    made.world.run(20)
    made.world.cut(made.voters, [made.ips[7]])
    made.world.run(made.world.now + LONG_CUT_S)
    assert made.registry(made.head).is_silent("d")
    assert not made.registry(made.head).is_silent("a")


def test_a_head_that_reaches_no_other_voter_marks_no_server_as_silent() -> None:
    made = fleet()
    for name in ("a", "b", "c"):
        made.start_heartbeats(name, [made.ips[4]])
    made.start_heartbeats("d", [made.ips[7]])
    made.world.run(20)
    made.world.cut([made.head], made.voters[1:], [made.ips[7]])
    made.world.run(made.world.now + LONG_CUT_S)
    assert not made.registry(made.head).is_silent("d")


def detected(silence_detector: SilenceDetector, now: float, is_only_voter: bool) -> Detection:
    from cloverrouter.control.instances import Instance

    liveness = Liveness()
    instances = [Instance(name, "svc", f"10.0.0.9:{port}") for port, name in enumerate("abc", 80)]
    for instance in instances:
        liveness.record_alive(instance.id, now - (60 if instance.id == "a" else 0))
    return silence_detector.detect(now, instances, liveness, frozenset(), is_only_voter)


def detector() -> SilenceDetector:
    made = SilenceDetector(1.2)
    made.became_head(0.0)
    for step in range(101):
        made.tick(step * 0.5)
    return made


def test_with_other_voters_a_second_one_must_report_the_server_as_overdue() -> None:
    made = detector()
    assert detected(made, 50.0, is_only_voter=False) == Detection(frozenset(), (), ("a",))
    made.record_voter_answer(50.0, "v2", "a", 0.4)
    assert detected(made, 50.1, is_only_voter=False).silent == frozenset()
    made.record_voter_answer(50.1, "v2", "a", 30.0)
    assert detected(made, 50.2, is_only_voter=False).silent == {"a"}


def test_an_old_report_of_a_voter_is_ignored() -> None:
    made = detector()
    detected(made, 50.0, is_only_voter=False)
    made.record_voter_answer(50.0, "v2", "a", 30.0)
    assert detected(made, 53.0, is_only_voter=False).silent == frozenset()


def test_a_single_voter_decides_by_itself() -> None:
    assert detected(detector(), 50.0, is_only_voter=True).silent == {"a"}


@pytest.mark.parametrize("sender", ["10.0.0.9", "10.0.0.3"])
def test_answers_of_machines_that_are_not_voters_and_checks_not_from_the_head_are_ignored(
    sender: str,
) -> None:
    registry = Registry("10.0.0.1", 1.2)
    registry.voters_changed(0.0, ["10.0.0.1", "10.0.0.2"])
    registry.set_head(0.0, "10.0.0.2")
    assert registry.receive(1.0, sender, SilenceCheck(("a",))) == []
    assert registry.receive(1.0, sender, SilenceAnswer((LivenessAge("a", 60_000),))) == []


def test_a_silent_server_that_has_just_answered_stays_in_use_for_a_while() -> None:
    made = placement(2, silent=True)
    home = pick(made, subject(1))
    assert home.should_avoid(NOW)
    home.record_first_byte(1, NOW)
    assert not home.should_avoid(NOW + RECENTLY_RECEIVED_S / 2)
    assert home.should_avoid(NOW + RECENTLY_RECEIVED_S)


def test_a_silent_server_gets_fewer_requests() -> None:
    servers = ServiceServers()
    quiet, other = placement(1, silent=True), placement(1)
    standings: list[ServerState] = [quiet.servers.ready[0], other.servers.ready[0]]
    servers.ready += standings
    room = LoadBound(servers, FirstTokenModel(), IN_USE)
    room.fleet_changed(1)
    counts = [0, 0]
    for _ in range(20):
        for place, standing in enumerate(standings):
            if standing in room.below_bound([standing], NOW):
                standing.in_flight += 1
                counts[place] += 1
    assert 0 < counts[0] < counts[1]
