"""Steps of members that were away for hundreds of changes."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cloverrouter.control.orders import ConfigurationMachine
from features.steps.chain_steps import node_at
from features.steps.racing_steps import change, insist, whole_chain
from tests.system.replica_scenarios import cut, leader
from tests.system.replica_world import Disk, Node
from tests.system.slow_links import SlowWorld

FIRST_VERSION = 5
SHORT_S = 0.02
ITS_TURN_S = 1.0  # after a head is cut off, the next of its chain stands up


def others(context: Any, node: Node) -> list[Node]:
    return [other for other in context.chain.nodes if other is not node]


def version_on(disk: Disk) -> int:
    """The version that a disk's content gives."""
    machine = ConfigurationMachine()
    stored = disk.stored
    if stored.snapshot is not None:
        machine.restore(stored.snapshot.data)
    for update in stored.updates:
        machine.apply(update.data)
    return machine.version


def change_many(context: Any, count: int, at: dict[int, Any]) -> None:
    """Bring changes one after the other; at some of them something is done."""
    version = getattr(context, "version", FIRST_VERSION)
    for number in range(1, count + 1):
        if number in at:
            at[number]()
        order = change(f"change-{version}", version, version + 1)
        assert insist(context, order, context.world.proxies).status == 200
        version += 1
    context.version = version


@when("the power of the {place} goes")
def step_loses_power(context: Any, place: str) -> None:
    context.away = node_at(context, place)
    context.chain.kill(context.away, power=True)


@when("{count:d} changes are acknowledged, and it is started for {seconds:g} s at change 100, 300 and 499")
def step_changes_with_starts(context: Any, count: int, seconds: float) -> None:
    world, away = context.world, context.away

    def start() -> None:
        if away.replica is not None:  # the changes went by in less time than it was to run
            world.kill(away, power=True)
        world.start(away)
        life = away.life
        world.at(world.now + seconds, lambda: stop(life))

    def stop(life: int) -> None:
        if away.life == life:
            world.kill(away, power=True)

    change_many(context, count, {100: start, 300: start, 499: start})
    world.run(seconds)


@when("{count:d} changes are acknowledged, and it stays away")
def step_changes(context: Any, count: int) -> None:
    change_many(context, count, {})


@when("it is started, and within {seconds:g} s all replicas are in the chain")
def step_started(context: Any, seconds: float) -> None:
    world = context.world
    world.start(context.away)
    assert world.run_while(lambda: not whole_chain(world), seconds)


@when("the others are cut off one after the other until it leads")
def step_until_it_leads(context: Any) -> None:
    world, away = context.world, context.away
    first = leader(world)
    cut(world, [first], others(context, first))
    assert world.run_while(lambda: world.head() in (None, first), 5.0)
    second = leader(world)
    if second is not away:
        world.cuts.clear()
        assert world.run_while(lambda: not whole_chain(world), 5.0)
        cut(world, [second], others(context, second))
        world.freeze(first, ITS_TURN_S)
        assert world.run_while(lambda: world.head() is not away, 5.0)
    world.cuts.clear()


@then("it leads with all {count:d} changes")
def step_leads(context: Any, count: int) -> None:
    assert context.version == FIRST_VERSION + count
    found: list[Any] = []
    for proxy in context.world.proxies:
        context.operators.read(proxy, found.append)
    context.world.run_while(lambda: len(found) < len(context.world.proxies), 4.0)
    assert [document["version"] for document in found] == [context.version] * 3
    assert leader(context.world) is context.away
    assert version_on(context.away.disk) == context.version


@then("each replica's disk holds them after a loss of power of all")
def step_all_disks(context: Any) -> None:
    world = context.world
    for node in world.nodes:
        world.kill(node, power=True)
    assert [version_on(node.disk) for node in world.nodes] == [context.version] * 3


@when("it is started, and loses power while it writes the state on a slow disk")
def step_slow_disk(context: Any) -> None:
    world, away = context.world, context.away
    before = version_on(away.disk)
    world.start(away)
    handed: list[float] = []

    def watch(node: Node, effect: Any) -> float:
        if effect.ip == away.ip and getattr(effect.message, "snapshot", None) is not None:
            handed.append(world.now)
            away.disk.slowness = 100.0
        return 0.0

    world.nemesis = watch
    assert world.run_while(lambda: not handed, 10.0)
    world.run(SHORT_S)
    world.kill(away, power=True)
    world.nemesis = None
    away.disk.slowness = 1.0
    assert version_on(away.disk) == before


@when("an empty machine comes, and takes its place")
def step_place_taken(context: Any) -> None:
    world = context.world
    newcomer = world.add_node(place=world.nodes.index(context.away))

    def is_in() -> bool:
        head = world.head()
        view = head.replica.view_info if head is not None and head.replica is not None else None
        return view is not None and newcomer.member in view.chain and len(view.chain) == 3

    assert world.run_while(lambda: not is_in(), 6.0)


@when("the old machine is started again")
def step_old_started(context: Any) -> None:
    context.chain.start(context.away)


@then("within {seconds:g} s it has no vote, and leads nothing")
def step_no_vote(context: Any, seconds: float) -> None:
    world, away = context.world, context.away
    world.run(seconds)
    head = leader(world)
    assert head is not away and head.replica is not None
    view = head.replica.view_info
    assert view is not None and away.member not in view.voters
    assert away.replica is not None and away.replica.lease_until is None


@when("its disk is put into a machine at another address, and the old machine gets an empty one")
def step_disk_moves(context: Any) -> None:
    world, away = context.world, context.away
    context.moved = Node("10.1.0.77", "moved", away.zone, away.disk)
    away.disk = Disk(False, world.random)
    world.nodes.append(context.moved)
    world.start(context.moved)
    world.start(away)


@then("within {seconds:g} s the machine with the disk is in the chain, and the old machine has no vote")
def step_disk_in_chain(context: Any, seconds: float) -> None:
    world = context.world

    def view() -> Any:
        head = world.head()
        return head.replica.view_info if head is not None and head.replica is not None else None

    def is_in() -> bool:
        identities = [member.identity for member in view().chain] if view() is not None else []
        return context.moved.member.identity in identities

    assert world.run_while(lambda: not is_in(), seconds)
    assert context.away.member.identity not in {member.identity for member in view().voters}


@then("{count:d} more changes are acknowledged")
def step_more_changes(context: Any, count: int) -> None:
    change_many(context, count, {})


@given("a chain of replicas with a state that takes {seconds:g} s on a link")
def step_slow_world(context: Any, seconds: float) -> None:
    context.chain = SlowWorld(5, 3, 1, seconds)
    context.chain.run(3.0 + 3 * seconds)
    context.sent, context.taken, context.longest_s = 0, [], 0.0


def send_one(context: Any) -> None:
    world = context.chain
    context.sent += 1
    name, begun = f"order-{context.sent}", world.now

    def done(_: bool) -> None:
        if name not in context.taken:
            context.taken.append(name)
            context.longest_s = max(context.longest_s, world.now - begun)

    world.put(name, done)


def send_for(context: Any, seconds: float, gap_s: float) -> None:
    end = context.chain.now + seconds
    while context.chain.now < end:
        send_one(context)
        context.chain.run(gap_s)


@when("changes come every 50 ms for {seconds:g} s, and after 1 s the tail is started")
def step_stream(context: Any, seconds: float) -> None:
    world = context.chain
    world.run(2.0)
    send_for(context, 1.0, 0.05)
    world.start(context.away)
    context.started_at = world.now
    context.joined_s = None

    def look() -> None:
        if context.joined_s is None and whole_chain(world):
            context.joined_s = world.now - context.started_at
        elif context.joined_s is None:
            world.at(world.now + 0.02, look)

    look()
    send_for(context, seconds - 1.0, 0.05)
    world.run_while(lambda: len(context.taken) < context.sent or context.joined_s is None, 20.0)


@then("it is in the chain {seconds:g} s after its start")
def step_joined_in_time(context: Any, seconds: float) -> None:
    assert context.joined_s is not None and context.joined_s <= seconds, context.joined_s


@then("orders never waited longer than {seconds:g} s")
def step_waits(context: Any, seconds: float) -> None:
    assert len(context.taken) == context.sent
    assert context.longest_s <= seconds, context.longest_s


@when("changes come every 50 ms for {seconds:g} s, and the tail stays away")
def step_stream_without(context: Any, seconds: float) -> None:
    context.chain.run(2.0)
    send_for(context, seconds, 0.05)
    context.chain.run_while(lambda: len(context.taken) < context.sent, 5.0)


@when("the power of the head goes, and the tail is started")
def step_head_goes(context: Any) -> None:
    context.chain.kill(leader(context.chain), power=True)
    context.chain.start(context.away)


@then("orders are taken within {seconds:g} s")
def step_taken_within(context: Any, seconds: float) -> None:
    send_one(context)
    assert context.chain.run_while(lambda: len(context.taken) < context.sent, seconds)
    print(f"taken after {context.longest_s:.2f} s")


@then("nothing that was acknowledged is lost")
def step_nothing_lost(context: Any) -> None:
    names = set(context.chain.invariants.orders.values())
    assert set(context.taken) <= names
