"""The documented contract for servers: late and reordered heartbeats, removals, and cut-off machines."""

from __future__ import annotations

import pytest

from cloverrouter.control.instances import InstanceState
from tests.system.lossy_world import World
from tests.system.registry_fleet import HEARTBEAT_INTERVAL_S, RegistryFleet
from tests.system.router_world import World as RouterWorld

READY, DRAINING, GONE = InstanceState.READY, InstanceState.DRAINING, InstanceState.GONE
DRAIN_TIMEOUT_S = 2.0
ACKNOWLEDGED_WITHIN_S = 1.0


def fleet(seed: int = 1, size: int = 11) -> RegistryFleet:
    made = RegistryFleet(World(seed), size, 3)
    made.world.run(1)
    return made


@pytest.mark.parametrize("state", [READY, DRAINING, GONE])
def test_with_a_voter_that_stands_still_news_are_acknowledged_in_time(state: InstanceState) -> None:
    """A server waits one second for its acknowledgement."""
    made = fleet()
    made.announce(made.ips[7], "a", 1)
    made.world.run(made.world.now + 3)
    made.world.freeze(made.voters[1])
    origin = made.ips[8]
    change = made.withdraw(origin, "a") if state is GONE else made.announce(origin, "a", 2, state=state)
    made.world.run_until(lambda: made.was_acknowledged(origin, change), ACKNOWLEDGED_WITHIN_S)


# Removals (DELETE) without a draining announcement before them


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("origin", [0, 1, 7])
def test_a_removal_alone_is_with_all_before_it_is_acknowledged(origin: int, seed: int) -> None:
    made = fleet(seed, size=30)
    made.announce(made.ips[12], "a", 1)
    made.announce(made.ips[12], "b", 1)
    made.world.run(made.world.now + 3)
    change = made.withdraw(made.ips[origin], "a")
    took = made.world.run_until(
        lambda: made.was_acknowledged(made.ips[origin], change), ACKNOWLEDGED_WITHIN_S
    )
    assert took < 0.1
    made.world.run(made.world.now + 0.01)
    assert made.all_have({"b": READY})


def test_a_removal_asked_of_a_machine_that_knows_nothing_of_the_server_counts_everywhere() -> None:
    """The machine has just restarted and has no list yet."""
    made = fleet()
    made.announce(made.ips[7], "a", 9)
    made.world.run(made.world.now + 3)
    made.restart(made.ips[4])
    made.world.run_until(lambda: made.ips[4] in made.world.cores, 1, step=0.001)
    assert made.usable_states(made.ips[4]) == {}
    change = made.withdraw(made.ips[4], "a")
    made.world.run_until(lambda: made.was_acknowledged(made.ips[4], change), ACKNOWLEDGED_WITHIN_S)
    made.world.run(made.world.now + 3)
    assert made.all_have({})


@pytest.mark.parametrize("sequence", [1, 6, 99])
def test_a_heartbeat_that_comes_seconds_after_the_removal_brings_nothing_back(sequence: int) -> None:
    """Whatever its sequence number: an instance that was removed from the list never returns to it."""
    made = fleet()
    made.announce(made.ips[7], "a", 5)
    made.world.run(made.world.now + 1)
    made.withdraw(made.ips[8], "a")
    for pause in (0.1, 2.0, 8.0):
        made.world.run(made.world.now + pause)
        made.announce(made.ips[9], "a", sequence)
        made.world.run(made.world.now + 0.5)
        assert made.all_have({})


def test_a_removal_and_a_heartbeat_that_cross_end_in_the_removal() -> None:
    for seed in range(8):
        made = fleet(seed)
        made.announce(made.ips[7], "a", 5)
        made.world.run(made.world.now + 1)
        first, second = (made.ips[8], made.ips[9]) if seed % 2 else (made.ips[9], made.ips[8])
        if seed % 2:
            made.withdraw(first, "a")
            made.announce(second, "a", 6)
        else:
            made.announce(first, "a", 6, address="elsewhere:80")
            made.withdraw(second, "a")
        made.world.run(made.world.now + 2)
        assert made.all_have({}), seed


def test_nothing_goes_to_a_server_that_was_removed_nor_to_one_being_connected_to() -> None:
    world = RouterWorld().set_up()
    world.ask("/once/x")
    connecting = world.last
    place = int(connecting.instance[-1])
    world.router.servers_changed([world.server("desk", place, ready=False)])
    assert not connecting.write()
    for _ in range(40):
        world.ask("/once/x")
        assert world.last.instance != f"desk-{place}"


def test_a_request_in_progress_at_a_removed_server_completes() -> None:
    world = RouterWorld().set_up()
    exchange = world.ask("/once/x")
    world.last.write()
    world.router.servers_changed([world.server("desk", int(world.last.instance[-1]), ready=False)])
    world.clock.pass_ms(1500)
    assert not world.last.cancelled
    world.last.answer(200, (b"cypresswinch-server-signature", b"s"))
    assert exchange.status == 200


# Sequence numbers out of order


def test_of_what_a_server_said_the_highest_number_counts_whenever_it_comes() -> None:
    for seed in range(6):
        made = fleet(seed)
        calls = [(1, "one:80"), (2, "two:80"), (3, "three:80"), (4, "four:80")]
        made.world.random.shuffle(calls)
        for sequence, address in calls:
            made.announce(made.world.random.choice(made.ips), "a", sequence, address=address)
            made.world.run(made.world.now + made.world.random.choice([0.0, 0.001, 3.0]))
        made.world.run(made.world.now + 3)
        for ip in made.ips:
            (instance,) = made.registry(ip).instances("svc")
            assert instance.address == "four:80", (seed, ip)


def test_a_late_ready_after_draining_is_acknowledged_and_changes_nothing() -> None:
    made = fleet()
    made.announce(made.ips[7], "a", 3)
    made.world.run(made.world.now + 2)
    made.announce(made.ips[7], "a", 7, state=DRAINING)
    made.world.run(made.world.now + 1)
    change = made.announce(made.ips[5], "a", 6)
    made.world.run(made.world.now + ACKNOWLEDGED_WITHIN_S)
    assert made.was_acknowledged(made.ips[5], change)
    assert made.all_have({"a": DRAINING})


def test_heartbeats_seconds_late_leave_a_server_in_use() -> None:
    """A server counts as silent only after three missed heartbeats, and a silent one stays in the list."""
    made = fleet()
    for name in ("b", "c", "d"):
        made.start_heartbeats(name, [made.ips[8]])
    for sequence in range(1, 9):
        made.announce(made.ips[7], "a", sequence)
        made.world.run(made.world.now + HEARTBEAT_INTERVAL_S + 2.0)
        assert not any(made.registry(ip).is_silent("a") for ip in made.ips)
    made.world.run(made.world.now + 20)
    assert all(made.usable_states(ip)["a"] is READY for ip in made.ips)


# Machines that are cut off


def cut_off(made: RegistryFleet, *ips: str) -> None:
    made.world.cut(ips, [ip for ip in made.ips if ip not in ips])


@pytest.mark.parametrize("place", [0, 1, 7])
def test_a_machine_that_is_cut_off_acknowledges_no_removal(place: int) -> None:
    """The machine is the head, another voter or none. Its removal takes effect once it is reachable again."""
    made = fleet()
    made.announce(made.ips[9], "a", 1)
    made.world.run(made.world.now + 3)
    cut_off(made, made.ips[place])
    change = made.withdraw(made.ips[place], "a")
    made.world.run(made.world.now + 20)
    assert not made.was_acknowledged(made.ips[place], change)
    assert made.has_failed(made.ips[place], change)
    others = [ip for ip in made.ips if ip != made.ips[place]]
    assert made.all_have({"a": READY}, others)
    made.world.join()
    made.world.run(made.world.now + 4)
    assert made.all_have({})


def test_a_head_that_is_cut_off_with_a_few_servers_takes_none_of_the_others_away() -> None:
    """For minutes it hears from only a few servers, and it remains head until it learns of another one. It
    must not give up the servers that it can't hear from."""
    made = fleet()
    for number in range(9):
        made.start_heartbeats(f"s{number}", [made.ips[7]] if number else [made.head])
    expected = {f"s{number}": READY for number in range(9)}
    made.world.run(20)
    assert made.all_have(expected)
    cut_off(made, made.head)
    made.registry(made.head).set_sole_head(False)
    made.world.run(made.world.now + 150)
    made.world.join()
    for _ in range(60):
        made.world.run(made.world.now + 0.05)
        assert made.all_have(expected, made.ips[1:])


def test_a_late_heartbeat_of_the_server_before_takes_no_address_back() -> None:
    made = fleet()
    made.announce(made.ips[7], "old", 9, address="x:80")
    made.world.run(made.world.now + 3)
    made.announce(made.ips[3], "new", 1, address="x:80")
    made.world.run(made.world.now + 2)
    made.announce(made.ips[5], "old", 8, address="x:80")
    made.world.run(made.world.now + 2)
    assert made.all_have({"new": READY})


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_a_machine_that_hears_one_voter_only_knows_of_a_leaving_server_before_it_is_acknowledged(
    state: InstanceState,
) -> None:
    """That voter is frozen for a moment: the others are a majority, but not all machines have the change."""
    made = fleet()
    made.announce(made.ips[7], "a", 1)
    made.world.run(made.world.now + 4)
    isolated, voter, origin = made.ips[10], made.voters[2], made.ips[8]
    made.world.cut([isolated], [ip for ip in made.ips if ip not in (isolated, voter)])
    made.world.freeze(voter)
    change = made.withdraw(origin, "a") if state is GONE else made.announce(origin, "a", 2, state=state)
    made.world.at(made.world.now + 0.1, lambda: made.world.thaw(voter))
    made.world.run_until(lambda: made.was_acknowledged(origin, change), ACKNOWLEDGED_WITHIN_S, step=0.001)
    made.world.run(made.world.now + 0.01)
    assert made.usable_states(isolated) == ({} if state is GONE else {"a": DRAINING})


@pytest.mark.parametrize("seed", range(4))
def test_of_many_that_leave_at_once_each_is_acknowledged_once_all_know(seed: int) -> None:
    """Changes that come close together are forwarded in a batch, and their acknowledgements wait for it."""
    made = fleet(seed, size=30)
    names = [f"s{number}" for number in range(8)]
    for name in names:
        made.announce(made.ips[12], name, 1)
    made.world.run(made.world.now + 3)
    remaining = dict.fromkeys(names, READY)
    for name in names:
        change = made.withdraw(made.ips[7], name)
        del remaining[name]
        made.world.run_until(
            lambda change=change: made.was_acknowledged(made.ips[7], change),  # type: ignore[misc]
            ACKNOWLEDGED_WITHIN_S,
            step=0.001,
        )
        made.world.run(made.world.now + 0.005)
        assert made.all_have(remaining), name
