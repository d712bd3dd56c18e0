"""Steps of racing operators: real orders through proxies to a chain of replicas of the configuration."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when

from cloverrouter.control.document import compact
from cloverrouter.control.orders import Order, OrderReply
from tests.system.configurations import document
from tests.system.order_storms import storm
from tests.system.order_world import Operators, OrderWorld, Proxy
from tests.system.replica_scenarios import cut, leader
from tests.system.replica_world import Node

PATIENCE_S = 0.8
MOST_S = 15.0


def change(name: str, base: int, version: int) -> Order:
    content = document(version, operator=name)
    return Order("PUT", str(base), compact(content).encode())


def insist(context: Any, order: Order, proxies: list[Proxy], most_s: float = MOST_S) -> OrderReply:
    """Send the same until it is answered, to one proxy after the other."""
    world = context.world
    end, replies, tries = world.now + most_s, [], 0
    while world.now < end:
        context.operators.order(proxies[tries % len(proxies)], order, replies.append)
        tries += 1
        world.run_while(lambda: not [reply for reply in replies if reply is not None], PATIENCE_S)
        told = [reply for reply in replies if reply is not None]
        if told:
            return OrderReply(told[0].status, told[0].body, told[0].version)
    raise AssertionError(f"no answer in {most_s} s")


def others(context: Any, node: Node) -> list[Node]:
    return [other for other in context.world.nodes if other is not node]


@given("a chain of 3 replicas with 3 proxies, and version 5 in force")
def step_world(context: Any) -> None:
    context.world = context.chain = OrderWorld(11, 3, 1)
    context.world.run(2.0)
    context.operators = Operators(context.world)
    context.orders, context.replies = {}, {}
    assert insist(context, change("first", 0, 5), context.world.proxies[2:]).status == 200


def named(context: Any, name: str, base: int) -> Order:
    """The order of that name: `a` brings 7, `b` 8."""
    order: Order = context.orders.setdefault(name, change(name, base, 7 + "ab".index(name)))
    return order


@when(
    'orders "a" and "b" on version {base:d} are sent through two proxies, and the head loses power 3 ms later'
)
def step_race(context: Any, base: int) -> None:
    world = context.world
    for proxy, name in zip(world.proxies, "ab", strict=False):
        context.operators.order(proxy, named(context, name, base))
    world.run(0.003)
    world.kill(leader(world), power=True)


@when("both are sent again through the third proxy until they are answered")
def step_both_again(context: Any) -> None:
    for name in "ab":
        context.replies[name] = insist(context, context.orders[name], context.world.proxies[2:])


@then("one of them is acknowledged and the other one is refused")
def step_one_wins(context: Any) -> None:
    found = sorted(context.replies[name].status for name in "ab")
    assert found == [200, 412], found


@when('order "a" on version {base:d} is acknowledged, and its answer is lost')
def step_taken(context: Any, base: int) -> None:
    reply = insist(context, named(context, "a", base), context.world.proxies[1:])
    assert reply.status == 200, reply


@when("the head loses power")
def step_head_power(context: Any) -> None:
    context.world.kill(leader(context.world), power=True)


@when("the head is cut off from the other replicas")
def step_head_cut(context: Any) -> None:
    head = leader(context.world)
    cut(context.world, [head], others(context, head))


@when("all replicas lose power, and the head its disk")
def step_all_power(context: Any) -> None:
    world, head = context.world, leader(context.world)
    for node in world.nodes:
        world.kill(node, power=True)
    world.wipe(head)
    for node in world.nodes:
        world.start(node, 0.3)


@when('order "b" on version {base:d} is sent until it is answered')
def step_other_answered(context: Any, base: int) -> None:
    context.replies["b"] = insist(context, named(context, "b", base), context.world.proxies)


@when('order "a" is sent again until it is answered')
def step_again(context: Any) -> None:
    context.replies["a"] = insist(context, context.orders["a"], context.world.proxies)


@when('order "a" is sent again through the first proxy until it is answered')
def step_again_first(context: Any) -> None:
    context.replies["a"] = insist(context, context.orders["a"], context.world.proxies[:1])


@then('order "a" is acknowledged and order "b" is refused')
def step_first_won(context: Any) -> None:
    step_acknowledged(context)
    assert context.replies["b"].status == 412, context.replies["b"]


@then('order "a" is acknowledged')
def step_acknowledged(context: Any) -> None:
    reply = context.replies["a"]
    assert (reply.status, json.loads(reply.body)) == (200, {"version": 7}), reply


@when("the first proxy is cut off from all replicas")
def step_proxy_cut(context: Any) -> None:
    proxy = context.world.proxies[0]
    for node in context.world.nodes:
        context.world.cuts |= {(proxy.ip, node.ip), (node.ip, proxy.ip)}


@when("the first proxy is in touch again")
@when("the replicas are joined again")
def step_joined(context: Any) -> None:
    context.world.cuts.clear()


@when("{count:d} more orders are acknowledged")
def step_more(context: Any, count: int) -> None:
    version = 7
    for number in range(count):
        context.last = change(f"more-{number}", version, version + 1)
        assert insist(context, context.last, context.world.proxies[1:]).status == 200
        version += 1


@when('order "a" on version {base:d} is sent through two proxies at once')
def step_same_bytes(context: Any, base: int) -> None:
    context.twice = []
    for proxy in context.world.proxies[:2]:
        context.operators.order(proxy, named(context, "a", base), context.twice.append)
    context.world.run(1.0)


@then("both are acknowledged with the same version")
def step_both_acknowledged(context: Any) -> None:
    found = [(reply.status, json.loads(reply.body)) for reply in context.twice]
    assert found == [(200, {"version": 7})] * 2, found


@then("the configuration was changed once")
def step_changed_once(context: Any) -> None:
    assert sorted(context.world.documents) == [5, 7]


@when('order "{name}" on version {base:d} is sent through the first proxy')
def step_sent_first(context: Any, name: str, base: int) -> None:
    told = context.replies.setdefault("told", [])
    order = named(context, name, base)
    context.operators.order(context.world.proxies[0], order, lambda reply: told.append((order, reply)))
    context.world.run(0.01)


@when("the first proxy's process ends and starts again")
def step_proxy_restarts(context: Any) -> None:
    proxy = context.world.proxies[0]
    proxy.kill()
    proxy.start()
    head = leader(context.world)
    proxy.receive_view(head.replica.view_info.epoch, True, head.ip)


@then("no proxy has told another order's answer")
def step_own_answers(context: Any) -> None:
    for order, reply in context.replies["told"]:
        if reply is not None and reply.status == 200:
            assert json.loads(reply.body)["version"] == json.loads(order.body)["version"]


@when("the configuration is read through the first proxy")
def step_read(context: Any) -> None:
    context.read = []
    context.operators.read(context.world.proxies[0], context.read.append)
    context.world.run(0.01)


@then("the read tells a configuration")
def step_read_told(context: Any) -> None:
    context.world.run_while(lambda: not context.read, 4.0)
    assert context.read and context.read[0]["version"] in (5, 7), context.read


@when("each replica in turn loses power, one of them its disk")
def step_each_in_turn(context: Any) -> None:
    world = context.world
    for number, node in enumerate(list(world.nodes)):
        world.kill(node, power=True)
        if number == 1:
            world.wipe(node)
        world.start(node, 0.3)
        assert world.run_while(lambda: not whole_chain(world), 10.0)


def whole_chain(world: OrderWorld) -> bool:
    head = world.head()
    view = head.replica.view_info if head is not None and head.replica is not None else None
    return view is not None and len(view.chain) == len(world.nodes) == len(world.running())


@when("three operators send orders for {seconds:g} s in the storm of seed {seed:d}")
def step_storm(context: Any, seconds: float, seed: int) -> None:
    context.result = storm(seed, seconds)


@then("nothing of what they were told is contradicted")
def step_nothing_contradicted(context: Any) -> None:
    assert context.result is not None


@then("more than {count:d} orders were acknowledged")
def step_many(context: Any, count: int) -> None:
    assert context.result.acknowledged > count


@when("the head freezes for {seconds:g} s, and the first proxy hears of no other")
def step_freeze_and_cut(context: Any, seconds: float) -> None:
    world = context.world
    context.frozen = leader(world)
    world.freeze(context.frozen, seconds)
    proxy = world.proxies[0]
    cut(world, [context.frozen], others(context, context.frozen))
    for node in others(context, context.frozen):
        world.cuts |= {(proxy.ip, node.ip), (node.ip, proxy.ip)}
    assert world.run_while(lambda: world.head() is None, 3.0)
    world.run(1.0)  # until the other proxies know of it


@when("the last of them is sent again through the first proxy while the frozen one wakes")
def step_last_again(context: Any) -> None:
    world = context.world
    world.run_until(context.frozen.frozen_until - 0.01)
    context.last_replies = []
    context.operators.order(world.proxies[0], context.last, context.last_replies.append)
    world.run(0.5)
    world.cuts.clear()
    world.run(3.6)


@then("the last one was not refused")
def step_last_not_refused(context: Any) -> None:
    assert all(reply is None or reply.status == 200 for reply in context.last_replies)
