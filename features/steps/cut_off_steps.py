"""Steps of the machine that is cut off for twenty seconds."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cloverrouter.control.forwarding import FORWARD_TIMEOUT_S
from cloverrouter.coordination.views import Member
from tests.system.control_world import ControlCall, ControlWorld
from tests.system.replica_world import Node

LONG_S = 20.0
CALL_PAUSE_S = 0.5
PATIENCE_S = 4.0


def chain(world: ControlWorld) -> tuple[Member, ...]:
    head = world.head()
    view = head.replica.view_info if head is not None and head.replica is not None else None
    return view.chain if view is not None else ()


def node_of(world: ControlWorld, member: Member) -> Node:
    return next(node for node in world.nodes if node.member == member)


def wait_for(world: ControlWorld, call: ControlCall) -> None:
    world.run_while(lambda: call.ended_at is None, PATIENCE_S)


def insist(world: ControlWorld, ip: str, name: str, most_s: float) -> ControlCall:
    """Send an order until it is confirmed."""
    end = world.now + most_s
    while True:
        call = world.order(ip, name)
        wait_for(world, call)
        if call.is_confirmed:
            return call
        assert world.now < end, f"{name} is not confirmed in {most_s} s"


@given("{count:d} control machines of which {tolerance:d} may be lost, and an operator")
def step_world(context: Any, count: int, tolerance: int) -> None:
    context.control = world = ControlWorld(11, count, tolerance)
    world.run(2.0)
    for number, ip in enumerate(world.front_ends):
        insist(world, ip, f"before-{number}", 4.0)


def pick(context: Any, who: str) -> str:
    """The address of the one that is meant."""
    world: ControlWorld = context.control
    if who == "proxy":
        return world.proxies[0]
    members = chain(world)
    places = {"head": 0, "middle": len(members) // 2, "tail": -1}
    if who in places:
        return node_of(world, members[places[who]]).ip
    return world.nodes[-1].ip  # the operator's last call before the cut


def cut_off(context: Any, apart: list[str], how: str) -> None:
    world: ControlWorld = context.control
    control = [node.ip for node in world.nodes]
    others = [ip for ip in (control if "control" in how else world.front_ends) if ip not in apart]
    for one in apart:
        for other in others:
            if how != "so that it only hears":
                world.cuts.add((other, one))
            if how != "so that it only is heard":
                world.cuts.add((one, other))


def call_both_sides(context: Any, apart: list[str]) -> None:
    world: ControlWorld = context.control
    context.cut_at = world.now
    context.inside, context.outside = [], []
    others = [ip for ip in world.front_ends if ip not in apart]
    number = 0
    while world.now < context.cut_at + LONG_S:
        number += 1
        ip = apart[number % len(apart)]
        context.inside += [world.order(ip, f"inside-{number}"), world.read_back(ip)]
        other = others[number % len(others)]
        context.outside += [world.order(other, f"outside-{number}"), world.read_back(other)]
        world.run(CALL_PAUSE_S)


@when("the {who} is cut off {how} for 20 s, and orders and reads go to it and to the others all the while")
def step_cut(context: Any, who: str, how: str) -> None:
    context.apart = [pick(context, who)]
    cut_off(context, context.apart, how)
    call_both_sides(context, context.apart)


@when(
    "the head and one more are cut off from the other three for 20 s, and orders and reads go to both sides"
)
def step_cut_two(context: Any) -> None:
    world: ControlWorld = context.control
    context.apart = [node_of(world, member).ip for member in chain(world)[:2]]
    cut_off(context, context.apart, "from all machines")
    call_both_sides(context, context.apart)


@then("each call at it ends within {seconds:g} s, and none tells anything but the truth")
def step_inside(context: Any, seconds: float) -> None:
    """The world checks at each confirmation that the order is on enough disks, and of each read that it is
    not older than what was acknowledged before it was asked. No order builds on a version, so none may be
    refused."""
    world: ControlWorld = context.control
    for call in context.inside:
        if call.ended_at is None:
            assert world.now - call.sent_at <= FORWARD_TIMEOUT_S
        else:
            assert call.ended_at - call.sent_at <= seconds, (call.ended_at - call.sent_at, call)
            assert not call.is_refused, call


@then("the others confirm an order within {seconds:g} s of the cut, and all orders from then on")
def step_outside(context: Any, seconds: float) -> None:
    orders = [call for call in context.outside if call.name]
    confirmed = [call for call in orders if call.is_confirmed and call.ended_at is not None]
    first = min(call.ended_at for call in confirmed if call.ended_at is not None)
    assert first - context.cut_at <= seconds, first - context.cut_at
    later = [call for call in orders if first < call.sent_at < context.cut_at + LONG_S - PATIENCE_S]
    assert later
    assert all(call.is_confirmed for call in later)


@when("the cut ends, and what it left open is sent to it again")
def step_end(context: Any) -> None:
    world: ControlWorld = context.control
    world.cuts.clear()
    context.open = [call.name for call in context.inside if call.name and not call.is_confirmed]
    ip = context.apart[0]
    context.again = [world.order(ip, name) for name in context.open]
    world.run(PATIENCE_S)


@then("each of these orders is confirmed within {seconds:g} s, once")
def step_again(context: Any, seconds: float) -> None:
    world: ControlWorld = context.control
    for call in context.again:
        assert call.is_confirmed, call
        assert call.ended_at is not None and call.ended_at - call.sent_at <= seconds
    names = list(world.invariants.orders.values())
    assert len(names) == len(set(names))


@then("within {seconds:g} s all control machines are in the chain again")
def step_whole(context: Any, seconds: float) -> None:
    world: ControlWorld = context.control
    assert world.run_while(lambda: len(chain(world)) < len(world.nodes), seconds)


# -- servers --


@when("for 20 s a server tells the cut-off machine each 4 s that it is draining")
def step_draining_again(context: Any) -> None:
    from features.steps.servers_list_steps import call_draining

    context.changes = []
    for _ in range(int(LONG_S / PATIENCE_S)):
        call_draining(context, context.cut[1])
        context.changes.append(context.change)
        context.world.run(context.world.now + PATIENCE_S)


@then("each of these calls is answered as failed after 3.5 s and none is acknowledged")
def step_failed(context: Any) -> None:
    for change in context.changes:
        assert context.fleet.has_failed(context.called, change)
        assert not context.fleet.was_acknowledged(context.called, change)


# -- what is in force --


@then("it has served the version of before all the while")
def step_served(context: Any) -> None:
    assert context.fleet.machine(context.away).in_force == b"0;"


@when("one that hands out and one machine are cut off together")
def step_cut_together(context: Any) -> None:
    context.away = context.fleet.ips[8]
    apart = [context.fleet.voters[0], context.away]
    context.others = [ip for ip in context.fleet.ips if ip not in apart]
    context.world.cut(apart, context.others)
    context.cut_at = context.world.now
