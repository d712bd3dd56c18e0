"""Steps of distribution: publishers and subscribers in a small world with a fake clock."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given, then, when

from cloverrouter.control.distribution import Apply, Replace
from tests.system.distribution_fleet import DistributionFleet
from tests.system.lossy_world import World


def commit_many(context: Any, count: int, seconds: float, ips: list[str]) -> None:
    for number in range(count):
        context.fleet.commit(b"%d;" % number)
        committed = context.world.now
        took = context.world.run_until(lambda: context.fleet.all_have(ips), limit=1, step=0.002)
        context.slowest = max(context.slowest, took)
        context.world.run(committed + seconds / count)


def changes(context: Any, ip: str, since: float) -> list[tuple[float, Any]]:
    return [
        (at, each)
        for at, where, each in context.world.effects
        if where == ip and at >= since and isinstance(each, Apply | Replace)
    ]


@given("{size:d} machines of which {voters:d} hand out the configuration")
def step_fleet(context: Any, size: int, voters: int) -> None:
    context.world = World(6)
    context.fleet = DistributionFleet(context.world, size, voters)
    context.away = None
    context.slowest = 0.0
    context.world.run(4)
    assert context.fleet.all_have()


@given("the links lose one message in twenty")
def step_lossy(context: Any) -> None:
    context.world.loss = 0.05


@when("a machine is cut off")
def step_cut(context: Any) -> None:
    context.away = context.fleet.ips[8]
    context.others = [ip for ip in context.fleet.ips if ip != context.away]
    context.world.cut([context.away], context.others)
    context.cut_at = context.world.now


@when("{count:d} changes are committed in {seconds:g} s")
def step_commit(context: Any, count: int, seconds: float) -> None:
    commit_many(context, count, seconds, context.others if context.away else context.fleet.ips)


@when("its links are up again")
def step_join(context: Any) -> None:
    context.world.join()
    context.joined_at = context.world.now
    context.fleet.link_up(context.away)


@when("the source of some machines goes down")
def step_source_down(context: Any) -> None:
    context.world.stop(context.fleet.voters[1])


@when("a change is committed at the same moment")
def step_change(context: Any) -> None:
    context.fleet.commit(b"x;")


@when("a change of {megabytes:d} megabytes is committed")
def step_large_change(context: Any, megabytes: int) -> None:
    context.fleet.commit(Random(1).randbytes(megabytes * 1024 * 1024))


@when("a change is committed that one voter has not learned of")
def step_lagging(context: Any) -> None:
    fleet = context.fleet
    lagging = fleet.machine(fleet.voters[1])
    lagging.commit = lambda now, sequence, update: []
    fleet.commit(b"x;")


@when("{seconds:g} s go by")
def step_pass(context: Any, seconds: float) -> None:
    context.world.run(context.world.now + seconds)


@when("a machine's process starts again")
def step_restart(context: Any) -> None:
    context.restarted = context.fleet.ips[7]
    context.fleet.restart(context.restarted)
    context.world.run(context.world.now + 0.1)
    context.started_at = context.world.now


@then("all other machines have each change within {seconds:g} s of its commit")
def step_soon(context: Any, seconds: float) -> None:
    assert context.slowest <= seconds, context.slowest


@then("the machine that is cut off knows that it may not be current")
def step_not_current(context: Any) -> None:
    assert not context.fleet.machine(context.away).subscriber.is_current(context.world.now)
    assert all(context.fleet.machine(ip).subscriber.is_current(context.world.now) for ip in context.others)


@then("it has the newest within {seconds:g} s, by differences")
def step_by_differences(context: Any, seconds: float) -> None:
    context.world.run_until(lambda: context.fleet.all_have([context.away]), limit=seconds)
    assert all(isinstance(each, Apply) for _, each in changes(context, context.away, context.joined_at))


@then("it has the newest within {seconds:g} s, as a whole")
def step_as_a_whole(context: Any, seconds: float) -> None:
    context.world.run_until(lambda: context.fleet.all_have([context.away]), limit=seconds)
    assert any(isinstance(each, Replace) for _, each in changes(context, context.away, context.joined_at))


@then("all machines that are up have it within {seconds:g} s")
def step_all_have(context: Any, seconds: float) -> None:
    context.world.run_until(context.fleet.all_have, limit=seconds)


@then("all other machines have the change")
def step_others_have(context: Any) -> None:
    assert context.fleet.all_have([ip for ip in context.fleet.ips if ip != context.fleet.voters[1]])


@then("it has the newest within {seconds:g} s and never served an older one")
def step_newest_at_once(context: Any, seconds: float) -> None:
    context.world.run_until(lambda: context.fleet.all_have([context.restarted]), limit=seconds)
    moments = {at for at, _ in changes(context, context.restarted, context.started_at)}
    assert len(moments) == 1, moments


@then("no machine ever went back")
def step_never_back(context: Any) -> None:
    for ip in context.fleet.ips:
        versions = context.fleet.machine(ip).versions
        assert versions == sorted(set(versions)), (ip, versions)
