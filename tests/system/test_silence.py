"""Who is called silent: more than one observer counts, and a proxy's own answers count beside them."""

from __future__ import annotations

import pytest

from cloverrouter.control.registry import Registry
from cloverrouter.control.registry_messages import HeardAgo, SilenceAnswer, SilenceCheck
from cloverrouter.control.silence import Judgement, Liveness, SilenceJudge
from cloverrouter.placement.first_token import FirstTokenModel
from cloverrouter.placement.load_bound import LoadBound
from cloverrouter.placement.options import IN_USE
from cloverrouter.placement.servers import RECENTLY_RECEIVED_S, ServerState, ServiceServers
from tests.system.lossy_world import World
from tests.system.registry_fleet import RegistryFleet
from tests.system.test_placement_pick import NOW, pick, placement, subject

LONG_CUT_S = 12.0  # longer than heartbeats may be missed, and than a check takes


def fleet() -> RegistryFleet:
    """Eleven machines, of which the first three vote; a server is known everywhere."""
    made = RegistryFleet(World(1), 11, 3)
    made.world.run(1)
    return made


def test_a_server_that_the_head_alone_does_not_hear_is_not_silent() -> None:
    """The machines that servers report to are cut off from the head, and from no other voter."""
    made = fleet()
    for name in ("a", "b", "c"):
        made.beat(name, [made.ips[4]])
    made.beat("d", [made.ips[7]])
    made.world.run(20)
    made.world.cut([made.head], [made.ips[7]])
    made.world.run(made.world.now + LONG_CUT_S)
    assert not any(made.registry(ip).is_silent("d") for ip in made.ips)


def test_a_server_that_no_voter_hears_is_silent() -> None:
    made = fleet()
    for name in ("a", "b", "c"):
        made.beat(name, [made.ips[4]])
    made.beat("d", [made.ips[7]])
    made.world.run(20)
    made.world.cut(made.voters, [made.ips[7]])
    made.world.run(made.world.now + LONG_CUT_S)
    assert made.registry(made.head).is_silent("d")
    assert not made.registry(made.head).is_silent("a")


def test_a_head_that_reaches_no_other_voter_calls_nobody_silent() -> None:
    made = fleet()
    for name in ("a", "b", "c"):
        made.beat(name, [made.ips[4]])
    made.beat("d", [made.ips[7]])
    made.world.run(20)
    made.world.cut([made.head], made.voters[1:], [made.ips[7]])
    made.world.run(made.world.now + LONG_CUT_S)
    assert not made.registry(made.head).is_silent("d")


def judged(judge: SilenceJudge, now: float, alone: bool) -> Judgement:
    from cloverrouter.control.instances import Instance

    liveness = Liveness()
    instances = [Instance(name, "svc", f"10.0.0.9:{port}") for port, name in enumerate("abc", 80)]
    for instance in instances:
        liveness.heard(instance.id, now - (60 if instance.id == "a" else 0))
    return judge.judge(now, instances, liveness, frozenset(), alone)


def judge() -> SilenceJudge:
    made = SilenceJudge(1.2)
    made.became_head(0.0)
    for step in range(101):
        made.ticked(step * 0.5)
    return made


def test_a_judge_with_other_voters_wants_one_that_has_not_heard_it_either() -> None:
    made = judge()
    assert judged(made, 50.0, alone=False) == Judgement(frozenset(), (), ("a",))
    made.witnessed(50.0, "v2", "a", 0.4)
    assert judged(made, 50.1, alone=False).silent == frozenset()
    made.witnessed(50.1, "v2", "a", 30.0)
    assert judged(made, 50.2, alone=False).silent == {"a"}


def test_what_a_voter_said_long_ago_counts_no_more() -> None:
    made = judge()
    judged(made, 50.0, alone=False)
    made.witnessed(50.0, "v2", "a", 30.0)
    assert judged(made, 53.0, alone=False).silent == frozenset()


def test_a_single_voter_judges_by_itself() -> None:
    assert judged(judge(), 50.0, alone=True).silent == {"a"}


@pytest.mark.parametrize("sender", ["10.0.0.9", "10.0.0.3"])
def test_answers_of_others_than_the_voters_and_checks_of_others_than_the_head_count_for_nothing(
    sender: str,
) -> None:
    registry = Registry("10.0.0.1", 1.2)
    registry.voters_changed(0.0, ["10.0.0.1", "10.0.0.2"])
    registry.set_head(0.0, "10.0.0.2")
    assert registry.receive(1.0, sender, SilenceCheck(("a",))) == []
    assert registry.receive(1.0, sender, SilenceAnswer((HeardAgo("a", 60_000),))) == []


def test_a_server_called_silent_that_has_just_answered_is_asked_on_and_then_not() -> None:
    made = placement(2, silent=True)
    home = pick(made, subject(1))
    assert home.should_avoid(NOW)
    home.record_first_byte(1, NOW)
    assert not home.should_avoid(NOW + RECENTLY_RECEIVED_S / 2)
    assert home.should_avoid(NOW + RECENTLY_RECEIVED_S)


def test_a_server_called_silent_has_less_room() -> None:
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
