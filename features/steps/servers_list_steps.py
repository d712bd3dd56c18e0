"""Steps of the servers' list: machines and servers in a small world with a fake clock."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cloverrouter.control.instances import InstanceState
from tests.system.lossy_world import World
from tests.system.registry_fleet import RegistryFleet

READY, DRAINING = InstanceState.READY, InstanceState.DRAINING
LATER = 1000  # a sequence number beyond those of the heartbeats


def pass_time(context: Any, seconds: float) -> None:
    context.world.run(context.world.now + seconds)


def call_draining(context: Any, ip: str) -> None:
    context.fleet.stop_heartbeats("s0")
    context.sequence = getattr(context, "sequence", LATER) + 1
    context.called = ip
    context.change = context.fleet.announce(ip, "s0", context.sequence, state=DRAINING)
    context.expected = context.whole | {"s0": DRAINING}


@given("{size:d} machines of which {voters:d} are voters, and {servers:d} servers that call them")
def step_fleet(context: Any, size: int, voters: int, servers: int) -> None:
    context.world = World(5)
    context.fleet = RegistryFleet(context.world, size, voters)
    context.world.run(1)
    ips = context.fleet.ips
    for number in range(servers):
        context.fleet.start_heartbeats(f"s{number}", [ips[number], ips[-1 - number]])
    context.whole = {f"s{number}": READY for number in range(servers)}
    context.world.run(10)
    assert context.fleet.all_have(context.whole)


@when("a server tells one machine that it is draining")
def step_draining(context: Any) -> None:
    call_draining(context, context.fleet.ips[7])


@when("a voter goes down")
def step_voter_down(context: Any) -> None:
    context.world.stop(context.fleet.voters[1])


@when("one voter and one machine are cut off from the others")
def step_cut(context: Any) -> None:
    context.cut = [context.fleet.voters[2], context.fleet.ips[7]]
    context.world.cut(context.cut, [ip for ip in context.fleet.ips if ip not in context.cut])


@when("a server tells the cut-off machine that it is draining")
@when("the server tells the machine again")
def step_cut_off_draining(context: Any) -> None:
    call_draining(context, context.cut[1])


@when("the cut ends")
def step_join(context: Any) -> None:
    context.world.join()


@when("a server tells one machine that it is gone")
def step_gone(context: Any) -> None:
    context.fleet.stop_heartbeats("s0")
    context.fleet.withdraw(context.fleet.ips[4], "s0")
    pass_time(context, 1)


@when("an earlier call of that server reaches another machine late")
@when("the dead server's last call reaches a machine late")
def step_late_call(context: Any) -> None:
    context.fleet.announce(context.fleet.ips[8], "s0", 2)


@when("{seconds:g} s pass by")
def step_pass(context: Any, seconds: float) -> None:
    pass_time(context, seconds)


@when("a voter starts again with nothing")
def step_voter_restarts(context: Any) -> None:
    context.started = context.world.now
    context.fleet.restart(context.fleet.voters[1])


@when("all machines start again with nothing")
def step_all_restart(context: Any) -> None:
    for ip in context.fleet.ips:
        context.fleet.restart(ip)


@when("a server dies without a word")
def step_dies(context: Any) -> None:
    context.fleet.stop_heartbeats("s0")


@when("{count:d} servers die without a word")
def step_many_die(context: Any, count: int) -> None:
    for number in range(count):
        context.fleet.stop_heartbeats(f"s{number}")


@when("a server of another service starts at its address")
def step_reuse(context: Any) -> None:
    context.fleet.announce(context.fleet.ips[3], "new", 1, service="other", address="s0:80")


@then("the call is acknowledged within {seconds:g} s")
def step_acknowledged(context: Any, seconds: float) -> None:
    fleet = context.fleet
    context.world.run_until(lambda: fleet.was_acknowledged(context.called, context.change), limit=seconds)


@then("the call is answered as failed after {seconds:g} s and never acknowledged")
def step_failed(context: Any, seconds: float) -> None:
    pass_time(context, seconds - 0.1)
    assert not context.fleet.has_failed(context.called, context.change)
    pass_time(context, 0.2)
    assert context.fleet.has_failed(context.called, context.change)
    assert not context.fleet.was_acknowledged(context.called, context.change)


@then("{seconds:g} s later every machine knows that it is draining")
def step_known(context: Any, seconds: float) -> None:
    pass_time(context, seconds)
    assert context.fleet.all_have(context.expected)


@then("no machine would send to it")
def step_nobody_sends(context: Any) -> None:
    left = {name: state for name, state in context.whole.items() if name != "s0"}
    assert context.fleet.all_have(left)


@then("no other machine ever has a shorter list")
def step_never_shorter(context: Any) -> None:
    others = [ip for ip in context.fleet.ips if ip != context.fleet.voters[1]]
    while context.world.now < context.started + 0.4:
        pass_time(context, 0.01)
        assert context.fleet.all_have(context.whole, others)


@then("the voter has the whole list {seconds:g} s after its start")
def step_filled(context: Any, seconds: float) -> None:
    assert context.world.now >= context.started + 0.1 + seconds - 1e-6
    assert context.fleet.all_have(context.whole)


@then("every machine has the whole list")
def step_whole(context: Any) -> None:
    assert context.fleet.all_have(context.whole)


@then("{seconds:g} s later no machine would send to the dead one, and all know the new one")
def step_address_moved(context: Any, seconds: float) -> None:
    pass_time(context, seconds)
    step_only_new(context)


@then("every machine would send to the new one and not to the dead one")
def step_only_new(context: Any) -> None:
    for ip in context.fleet.ips:
        assert "s0" not in context.fleet.usable_states(ip), ip
        assert context.fleet.usable_states(ip, "other") == {"new": READY}, ip


@then("every machine has it marked as silent and still in its list")
def step_marked(context: Any) -> None:
    assert context.fleet.all_have(context.whole)
    for ip in context.fleet.ips:
        assert context.fleet.registry(ip).is_silent("s0"), ip


@then("no machine has any of them marked as silent")
def step_not_marked(context: Any) -> None:
    for ip in context.fleet.ips:
        assert not any(context.fleet.registry(ip).is_silent(name) for name in context.whole), ip
