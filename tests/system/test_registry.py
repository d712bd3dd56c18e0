"""The list of servers in a lossy network: replicated, acknowledged by a majority, never emptied."""

from __future__ import annotations

import pytest

from cloverrouter.control.instances import InstanceState
from cloverrouter.control.registry_messages import AnnounceAcknowledged, SilenceReport
from cloverrouter.control.servers_list import InstancesChanged, InstancesRecovered, InstancesSilent
from tests.system.lossy_world import World
from tests.system.registry_fleet import HEARTBEAT_INTERVAL_S, RegistryFleet

READY, DRAINING, GONE = InstanceState.READY, InstanceState.DRAINING, InstanceState.GONE


def fleet(size: int = 11, voters: int = 3, seed: int = 1, loss: float = 0.0) -> RegistryFleet:
    world = World(seed, loss=loss)
    made = RegistryFleet(world, size, voters)
    world.run(1)
    return made


@pytest.mark.parametrize("origin", [0, 1, 7])
def test_a_registration_is_acknowledged_and_known_everywhere_at_once(origin: int) -> None:
    made = fleet()
    change = made.announce(made.ips[origin], "a", 1)
    made.world.run(made.world.now + 0.02)
    assert made.was_acknowledged(made.ips[origin], change)
    assert made.all_have({"a": READY})


def test_a_registration_gets_through_a_lossy_network() -> None:
    for seed in range(5):
        made = fleet(seed=seed, loss=0.2)
        change = made.announce(made.ips[7], "a", 1)
        made.world.run(made.world.now + 4)
        assert made.was_acknowledged(made.ips[7], change)
        assert made.all_have({"a": READY})


def test_a_heartbeat_without_a_change_is_acknowledged_at_once_and_costs_no_message_of_its_own() -> None:
    made = fleet()
    made.announce(made.ips[7], "a", 1)
    made.world.run(made.world.now + 3)
    before = made.world.messages[made.ips[9]]
    change = made.announce(made.ips[9], "a", 2)
    assert made.was_acknowledged(made.ips[9], change)
    assert made.world.messages[made.ips[9]] == before


def test_draining_is_known_everywhere_before_it_is_acknowledged() -> None:
    for seed in range(5):
        made = fleet(size=30, seed=seed)
        made.announce(made.ips[7], "a", 1)
        made.world.run(made.world.now + 3)
        change = made.announce(made.ips[12], "a", 2, state=DRAINING)
        took = made.world.run_until(lambda m=made, c=change: m.was_acknowledged(m.ips[12], c), limit=1)  # type: ignore[misc]
        assert took < 0.05
        made.world.run(made.world.now + 0.01)
        assert made.all_have({"a": DRAINING})


def test_draining_with_a_voter_down_is_acknowledged_by_the_others() -> None:
    made = fleet()
    made.announce(made.ips[7], "a", 1)
    made.world.run(made.world.now + 3)
    made.world.stop(made.voters[2])
    change = made.announce(made.ips[7], "a", 2, state=DRAINING)
    made.world.run(made.world.now + 0.7)
    assert made.was_acknowledged(made.ips[7], change)
    assert made.all_have({"a": DRAINING})


def test_without_a_majority_a_change_fails_and_is_not_acknowledged() -> None:
    made = fleet()
    made.world.stop(made.voters[1])
    made.world.stop(made.voters[2])
    change = made.announce(made.ips[7], "a", 1)
    made.world.run(made.world.now + 3)
    assert not made.was_acknowledged(made.ips[7], change)
    assert not made.has_failed(made.ips[7], change)
    made.world.run(made.world.now + 1)
    assert made.has_failed(made.ips[7], change)
    assert not made.was_acknowledged(made.ips[7], change)


def test_a_change_at_one_voter_only_is_not_acknowledged_elsewhere_without_a_majority() -> None:
    """The first origin reaches a single voter with the draining; the server then calls another machine."""
    made = fleet()
    made.announce(made.ips[7], "a", 1)
    made.world.run(made.world.now + 3)
    made.world.cut([made.ips[7], made.voters[0], made.ips[8]], [made.voters[1], made.voters[2]])
    made.announce(made.ips[7], "a", 2, state=DRAINING)
    made.world.run(made.world.now + 0.1)
    assert made.usable_states(made.ips[8]) == {"a": DRAINING}
    change = made.announce(made.ips[8], "a", 3, state=DRAINING)
    made.world.run(made.world.now + 2)
    assert not made.was_acknowledged(made.ips[8], change)
    made.world.join()
    made.world.run(made.world.now + 1)
    assert made.was_acknowledged(made.ips[8], change)
    assert made.all_have({"a": DRAINING})


def test_a_receipt_for_an_earlier_life_of_the_origin_counts_for_nothing_else() -> None:
    made = fleet()
    origin = made.ips[7]
    made.announce(origin, "a", 1)
    made.announce(origin, "b", 1)
    made.world.run(made.world.now + 3)
    acknowledgements: list[tuple[str, AnnounceAcknowledged]] = []
    for voter in made.voters:
        record = made.registry(origin).find("a")
        assert record is not None
        fingerprint = record.fingerprint()
        acknowledgements.append((voter, AnnounceAcknowledged("a", fingerprint, ())))
    made.restart(origin)
    made.world.run(made.world.now + 3)
    made.world.cut([origin], made.voters)
    changes = [made.announce(origin, name, 9, state=DRAINING) for name in ("a", "b")]
    for voter, acknowledgement in acknowledgements:
        made.world.take(origin, made.registry(origin).receive(made.world.now, voter, acknowledgement))
    assert not any(made.was_acknowledged(origin, change) for change in changes)


def test_a_late_call_does_not_bring_back_what_drains_or_is_gone() -> None:
    made = fleet()
    made.announce(made.ips[7], "a", 5)
    made.world.run(made.world.now + 1)
    made.announce(made.ips[7], "a", 6, state=DRAINING)
    made.world.run(made.world.now + 1)
    made.announce(made.ips[8], "a", 4)
    made.world.run(made.world.now + 1)
    assert made.all_have({"a": DRAINING})
    made.withdraw(made.ips[3], "a")
    made.world.run(made.world.now + 1)
    made.announce(made.ips[9], "a", 4)
    made.world.run(made.world.now + 60)
    assert made.all_have({})


def test_a_voter_that_starts_empty_gets_the_list_and_empties_no_other() -> None:
    made = fleet()
    for number in range(9):
        made.start_heartbeats(f"s{number}", [made.ips[number], made.ips[10]])
    made.world.run(5)
    expected = {f"s{number}": READY for number in range(9)}
    assert made.all_have(expected)
    made.restart(made.voters[1])
    others = [ip for ip in made.ips if ip != made.voters[1]]
    for _ in range(100):
        made.world.run(made.world.now + 0.1)
        assert made.all_have(expected, others)
        assert made.world.now < 5.4 or made.all_have(expected)


def test_all_machines_restarted_have_the_list_after_a_round_of_heartbeats() -> None:
    made = fleet()
    for number in range(9):
        made.start_heartbeats(f"s{number}", [made.ips[number]])
    made.world.run(5)
    for ip in made.ips:
        made.restart(ip)
    took = made.world.run_until(lambda: made.all_have({f"s{n}": READY for n in range(9)}), limit=3)
    assert took < HEARTBEAT_INTERVAL_S + 0.6


def test_a_machine_that_was_cut_off_catches_up_when_its_links_are_up() -> None:
    made = fleet()
    for name in ("a", "b", "c"):
        made.start_heartbeats(name, [made.ips[7], made.ips[8]])
    made.world.run(5)
    made.world.cut([made.ips[9]], [ip for ip in made.ips if ip != made.ips[9]])
    made.world.run(8)
    made.stop_heartbeats("a")
    made.announce(made.ips[8], "a", 100, state=DRAINING)
    made.withdraw(made.ips[7], "b")
    made.stop_heartbeats("b")
    made.world.run(made.world.now + 4)
    assert made.usable_states(made.ips[9]) == {"a": READY, "b": READY, "c": READY}
    made.world.join()
    took = made.world.run_until(
        lambda: made.usable_states(made.ips[9]) == {"a": DRAINING, "c": READY}, limit=4
    )
    assert took < 2.6


def test_a_machine_cut_off_for_minutes_brings_nothing_back() -> None:
    made = fleet()
    for name in ("a", "b"):
        made.start_heartbeats(name, [made.ips[7], made.ips[8]])
    made.world.run(5)
    made.world.cut([made.ips[9]], [ip for ip in made.ips if ip != made.ips[9]])
    made.stop_heartbeats("a")
    made.withdraw(made.ips[7], "a")
    made.world.run(made.world.now + 300)
    made.world.join()
    made.world.run(made.world.now + 10)
    assert made.all_have({"b": READY})


def test_a_server_that_falls_silent_is_marked_then_dropped_and_comes_back_with_a_heartbeat() -> None:
    made = fleet()
    for name in ("a", "b", "c"):
        made.start_heartbeats(name, [made.ips[7], made.ips[8]])
    made.world.run(20)
    made.stop_heartbeats("a")
    made.world.run(made.world.now + 3 * HEARTBEAT_INTERVAL_S + 2.5)
    for ip in made.ips:
        assert made.registry(ip).is_silent("a"), ip
        assert not made.registry(ip).is_silent("b")
        assert made.world.seen(ip, InstancesSilent) == [InstancesSilent(("a",))]
    assert made.all_have({"a": READY, "b": READY, "c": READY})
    made.world.run(made.world.now + 70)
    assert made.all_have({"b": READY, "c": READY})
    made.world.run(made.world.now + 30)
    assert made.all_have({"b": READY, "c": READY})
    made.announce(made.ips[4], "a", 5000)
    made.world.run(made.world.now + 1)
    assert made.all_have({"a": READY, "b": READY, "c": READY})


def test_a_silent_server_that_is_heard_again_loses_its_mark() -> None:
    made = fleet()
    for name in ("a", "b", "c"):
        made.start_heartbeats(name, [made.ips[7], made.ips[8]])
    made.world.run(20)
    made.stop_heartbeats("a")
    made.world.run(made.world.now + 8)
    assert made.registry(made.ips[5]).is_silent("a")
    made.announce(made.ips[4], "a", 1000)
    made.world.run(made.world.now + 2)
    for ip in made.ips:
        assert not made.registry(ip).is_silent("a"), ip
        assert made.world.seen(ip, InstancesRecovered) == [InstancesRecovered(("a",))]


def test_when_most_servers_fall_silent_at_once_none_is_marked() -> None:
    made = fleet()
    for number in range(6):
        made.start_heartbeats(f"s{number}", [made.ips[7]])
    made.world.run(20)
    for number in range(5):
        made.stop_heartbeats(f"s{number}")
    made.world.run(40)
    assert not any(made.world.seen(ip, InstancesSilent) for ip in made.ips)


def test_a_head_that_was_frozen_marks_nobody_when_it_wakes() -> None:
    made = fleet()
    for number in range(6):
        made.start_heartbeats(f"s{number}", [made.ips[7 + number % 3]])
    made.world.run(20)
    made.world.freeze(made.head)
    made.world.run(40)
    made.world.thaw(made.head)
    made.world.run(60)
    assert not any(made.world.seen(ip, InstancesSilent) for ip in made.ips)


def test_a_new_head_gives_the_servers_time_and_then_marks() -> None:
    made = fleet()
    for name in ("a", "b", "c"):
        made.start_heartbeats(name, [made.ips[7], made.ips[8]])
    made.world.run(20)
    made.world.stop(made.head)
    made.stop_heartbeats("a")
    made.head = made.voters[1]
    made.announce_head(made.ips[1:])
    made.world.run(made.world.now + 3 * HEARTBEAT_INTERVAL_S + 0.9)
    assert not any(made.world.seen(ip, InstancesSilent) for ip in made.ips)
    made.world.run(made.world.now + 3)
    assert made.registry(made.ips[9]).is_silent("a")


def test_a_former_head_marks_no_server_as_silent() -> None:
    """Cut off from the other voters, it neither learns of the new head nor gets their heartbeats."""
    made = fleet()
    for name in ("a", "b", "c"):
        made.start_heartbeats(name, [made.ips[7], made.ips[8]])
    made.world.run(20)
    old, made.head = made.head, made.voters[1]
    made.announce_head([ip for ip in made.ips if ip != old])
    for ip in made.ips:
        if ip != old:
            assert made.registry(ip).receive(made.world.now, old, SilenceReport(("a",))) == []
            assert not made.registry(ip).is_silent("a"), ip


def test_a_former_head_accepts_the_reports_of_the_next_one() -> None:
    made = fleet()
    for name in ("a", "b", "c"):
        made.start_heartbeats(name, [made.ips[7], made.ips[8]])
    made.world.run(20)
    old, made.head = made.head, made.voters[1]
    made.announce_head(made.ips)
    made.world.take(old, made.registry(old).receive(made.world.now, made.head, SilenceReport(("a",))))
    assert made.registry(old).is_silent("a")


def test_an_address_used_again_belongs_to_the_newer_server() -> None:
    made = fleet()
    made.announce(made.ips[7], "old", 9, address="x:80")
    made.world.run(made.world.now + 4)
    made.announce(made.ips[3], "new", 1, address="x:80", service="other")
    made.world.run(made.world.now + 0.1)
    for ip in made.ips:
        assert made.usable_states(ip) == {}
        assert made.usable_states(ip, "other") == {"new": READY}
        (last,) = [e for e in made.world.seen(ip, InstancesChanged) if len(e.instances) == 2]
        assert {each.id: each.state for each in last.instances} == {"old": GONE, "new": READY}


def test_two_origins_that_did_not_know_of_each_other_agree_on_the_server_that_lives() -> None:
    made = fleet()
    made.world.cut([made.ips[3]], [ip for ip in made.ips if ip != made.ips[3]])
    made.announce(made.ips[7], "dead", 9, address="x:80")
    made.announce(made.ips[3], "alive", 1, address="x:80")
    made.world.run(made.world.now + 2)
    made.world.join()
    made.world.run(made.world.now + 3)
    made.announce(made.ips[5], "alive", 2, address="x:80")
    made.world.run(made.world.now + 0.5)
    assert made.all_have({"alive": READY})


def test_warming_up_is_known_everywhere_and_costs_no_updates_as_time_passes() -> None:
    made = fleet()
    end = made.world.now + 10
    made.announce(made.ips[7], "a", 1, warm_at=end)
    made.world.run(made.world.now + 1)
    for ip in made.ips:
        (instance,) = made.registry(ip).instances("svc")
        assert abs(instance.warm_at - end) < 0.01
    seen = len(made.world.seen(made.ips[9], InstancesChanged))
    for sequence in range(2, 20):
        made.announce(made.ips[8], "a", sequence, warm_at=end if made.world.now < end else 0.0)
        made.world.run(made.world.now + HEARTBEAT_INTERVAL_S)
    assert len(made.world.seen(made.ips[9], InstancesChanged)) == seen


def test_other_voters_take_over_with_the_list_that_the_machines_hold() -> None:
    made = fleet(size=12)
    for number in range(6):
        made.start_heartbeats(f"s{number}", [made.ips[6 + number % 5]])
    made.world.run(5)
    made.voters = made.ips[3:6]
    made.head = made.ips[3]
    for ip in made.ips:
        made.world.take(ip, made.registry(ip).voters_changed(made.world.now, made.voters))
        made.registry(ip).set_head(made.world.now, made.head)
    change = made.announce(made.ips[9], "new", 1)
    made.world.run(made.world.now + 0.1)
    assert made.was_acknowledged(made.ips[9], change)
    for _ in range(50):
        made.world.run(made.world.now + 0.2)
        assert made.all_have({"new": READY} | {f"s{number}": READY for number in range(6)})


def test_a_large_list_is_exchanged_in_parts() -> None:
    made = fleet(size=5)
    for number in range(900):
        made.announce(made.ips[3], f"s{number}", 1)
    made.world.run(made.world.now + 3)
    made.restart(made.voters[0])
    made.restart(made.ips[4])
    made.world.run(made.world.now + 3)
    assert made.all_have({f"s{number}": READY for number in range(900)})


def test_quiet_machines_exchange_only_digests() -> None:
    made = fleet()
    made.announce(made.ips[7], "a", 1)
    made.world.run(10)
    made.world.counts_bytes = True
    made.world.run(30)
    assert set(made.world.bytes_by_kind) == {"Compare", "Same"}
