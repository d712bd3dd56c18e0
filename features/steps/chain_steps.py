"""Steps of the chain of replicas, in its seeded world."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when

from cloverrouter.coordination.effects import Answer, Outcome
from tests.system.replica_scenarios import leader
from tests.system.replica_world import Node, World

PATIENCE_S = 0.3
STALL_S = 1000.0


def view_of(context: Any) -> Any:
    replica = leader(context.chain).replica
    assert replica is not None
    view = replica.view_info
    assert view is not None
    return view


def node_at(context: Any, place: str) -> Node:
    """The node at a place of the chain."""
    chain = view_of(context).chain
    member = {"head": chain[0], "middle": chain[len(chain) // 2], "tail": chain[-1]}[place]
    node: Node = next(node for node in context.chain.nodes if node.member == member)
    return node


def whole_chain(context: Any) -> bool:
    head = context.chain.head()
    if head is None:
        return False
    view = view_of(context)
    return len(view.chain) == len(view.voters)


class Order:
    """An order that is sent again until it is answered."""

    def __init__(self, world: World, name: str, expect: int | None = None) -> None:
        self.world = world
        self.name = name
        self.result: list[Any] | None = None
        self._command = json.dumps({"id": name, "expect": expect, "value": name}).encode()

    def send(self) -> None:
        head = self.world.head()
        nodes = [node for node in self.world.nodes if node.replica is not None]
        if nodes:
            self.send_to(head or self.world.random.choice(nodes))

    def send_to(self, node: Node) -> None:
        self.world.submit(node, self._command, self._on_answer)

    def _on_answer(self, answer: Answer) -> None:
        if answer.outcome is not Outcome.DONE:
            return
        self.result = json.loads(answer.reply)
        if self.result is not None and self.result[0] == "done":
            self.world.check_acknowledged(self.result[1], self.name)

    def insist(self, most_s: float) -> bool:
        """Send it until it is answered."""
        end = self.world.now + most_s
        while self.result is None and self.world.now < end:
            self.send()
            self.world.run_while(lambda: self.result is None, PATIENCE_S)
        return self.result is not None


def read(context: Any, node: Node | None = None, most_s: float = 0.3) -> Answer | None:
    """Ask for the committed state; None if nobody tells it."""
    world = context.chain
    answers: list[Answer] = []
    target = node or world.head()
    if target is None:
        world.run(most_s)
        return None
    least = world.invariants.acknowledged
    world.read(target, answers.append)
    world.run_while(lambda: not answers, most_s)
    done = [answer for answer in answers if answer.outcome is Outcome.DONE]
    if not done:
        return None
    world.check_read(done[0], least)
    return done[0]


def new_order(context: Any, expect: int | None = None) -> Order:
    context.orders = getattr(context, "orders", 0) + 1
    return Order(context.chain, f"order-{context.orders}", expect)


@given("a chain of {count:d} replicas of which {tolerance:d} may be lost")
def step_chain(context: Any, count: int, tolerance: int) -> None:
    context.chain = World(7, count, tolerance)
    context.chain.run(2.0)
    assert new_order(context).insist(2.0)
    context.lost = []


@when("an order is sent, and the {place} loses power {ms:d} ms later")
def step_order_and_loss(context: Any, place: str, ms: int) -> None:
    node = node_at(context, place)
    context.order = new_order(context)
    context.sent_at = context.chain.now
    context.order.send()
    context.chain.run(ms / 1000)
    context.chain.kill(node, power=True)


@when("the order is sent again until it is acknowledged")
def step_order_again(context: Any) -> None:
    assert context.order.insist(10.0)
    context.took_s = context.chain.now - context.sent_at


@when("an order is sent until it is acknowledged")
def step_insist(context: Any) -> None:
    context.order = new_order(context)
    context.sent_at = context.chain.now
    step_order_again(context)


@then("that took less than {seconds:g} s")
def step_took(context: Any, seconds: float) -> None:
    assert context.took_s < seconds, context.took_s


@then("the order was done once")
def step_once(context: Any) -> None:
    names = list(context.chain.invariants.orders.values())
    assert names.count(context.order.name) == 1


@then("what was acknowledged is read")
def step_read(context: Any) -> None:
    world = context.chain
    for _ in range(20):
        answer = read(context)
        if answer is not None:
            assert answer.seq >= world.invariants.acknowledged
            return
    raise AssertionError("nothing is read")


@when("the {place}'s disk stalls")
def step_stall(context: Any, place: str) -> None:
    context.sick = node_at(context, place)
    context.sick.disk.stalled_until = context.chain.now + STALL_S


@when("the {place}'s disk fills up")
def step_fill(context: Any, place: str) -> None:
    context.sick = node_at(context, place)
    context.sick.disk.full = True


@then("the {place} that was is out of the chain")
def step_out(context: Any, place: str) -> None:
    assert context.sick.member not in view_of(context).chain


@when("the disk works again")
def step_disk_works(context: Any) -> None:
    context.sick.disk.full = False
    context.sick.disk.stalled_until = 0.0


@then("within {seconds:g} s all replicas are in the chain")
def step_whole(context: Any, seconds: float) -> None:
    assert context.chain.run_while(lambda: not whole_chain(context), seconds)


@given("the tail has been down while an order was acknowledged")
def step_tail_down(context: Any) -> None:
    context.places = {place: node_at(context, place) for place in ("head", "middle", "tail")}
    context.chain.kill(context.places["tail"], power=True)
    assert new_order(context).insist(3.0)


@when("the head and the middle lose power, and the head its disk")
def step_two_down(context: Any) -> None:
    for place in ("head", "middle"):
        context.chain.kill(context.places[place], power=True)
    context.lost = [context.places["head"].disk.stored.identity]
    context.chain.wipe(context.places["head"])


@when("the tail and the machine without its old disk are back alone")
def step_back_alone(context: Any) -> None:
    for place in ("head", "tail"):
        context.chain.start(context.places[place])


@then("nothing is acknowledged or read for {seconds:g} s")
def step_nothing(context: Any, seconds: float) -> None:
    world = context.chain
    end = world.now + seconds
    order = new_order(context)
    while world.now < end:
        for node in world.nodes:
            order.send_to(node)
            assert read(context, node, 0.1) is None
        world.run(0.05)  # all may answer at once
    assert order.result is None


@when("the {place} is back")
def step_back(context: Any, place: str) -> None:
    context.chain.start(context.places[place])


@then("the lost disk is no voter")
def step_no_voter(context: Any) -> None:
    voters = {member.identity for member in view_of(context).voters}
    assert not voters & set(context.lost)


@when("the {place} is taken away for good, and an empty machine comes under {name}")
def step_replace(context: Any, place: str, name: str) -> None:
    world = context.chain
    node = node_at(context, place)
    world.remove(node)
    place_of_zone = world.nodes.index(node)
    context.newcomer = world.add_node(place=place_of_zone, name=node.name if name == "its name" else "")


@then("within {seconds:g} s the empty machine is a voter in the chain")
def step_newcomer(context: Any, seconds: float) -> None:
    def is_in() -> bool:
        return context.chain.head() is not None and context.newcomer.member in view_of(context).chain

    assert context.chain.run_while(lambda: not is_in(), seconds)


@when("the head freezes for {seconds:g} s")
def step_freeze(context: Any, seconds: float) -> None:
    context.frozen = node_at(context, "head")
    context.chain.freeze(context.frozen, seconds)


@when("the frozen machine wakes")
def step_wake(context: Any) -> None:
    world = context.chain
    world.run_until(context.frozen.frozen_until - 0.001)
    context.answers = []
    world.read(context.frozen, context.answers.append)
    context.late = Order(world, "late", expect=1)
    context.late.send_to(context.frozen)
    world.run(0.3)


@then("it answers no read with what it knew")
def step_no_old_read(context: Any) -> None:
    world = context.chain
    for answer in context.answers:
        assert answer.outcome is not Outcome.DONE or answer.seq >= world.invariants.acknowledged


@then("its own orders are not acknowledged on the old state")
def step_no_old_order(context: Any) -> None:
    assert context.late.result is None or context.late.result[0] == "conflict"


@when("two orders on the same version are sent, and the head loses power {ms:d} ms later")
def step_two_orders(context: Any, ms: int) -> None:
    head = node_at(context, "head")
    version = context.chain.invariants.acknowledged
    context.two = [new_order(context, version), new_order(context, version)]
    for order in context.two:
        order.send_to(head)
    context.chain.run(ms / 1000)
    context.chain.kill(head, power=True)


@when("both are sent again until they are answered")
def step_both_again(context: Any) -> None:
    for order in context.two:
        assert order.insist(5.0)


@then("one is acknowledged and the other one is told of the newer version")
def step_one_wins(context: Any) -> None:
    assert sorted(order.result[0] for order in context.two) == ["conflict", "done"]


@when("all lose power, and {lost:d} of them their disks")
def step_all_lose(context: Any, lost: int) -> None:
    world = context.chain
    for number, node in enumerate(world.nodes):
        world.kill(node, power=True)
        if number < lost:
            world.wipe(node)
        world.start(node, 0.3)


@when("two of them go down")
def step_two_go(context: Any) -> None:
    context.down = context.chain.nodes[:2]
    for node in context.down:
        context.chain.kill(node)


@when("they are back")
def step_they_are_back(context: Any) -> None:
    for node in context.down:
        context.chain.start(node)


@when("the head resigns")
def step_resign(context: Any) -> None:
    head = node_at(context, "head")
    assert head.replica is not None
    context.chain.carry_out(head, head.replica.resign(context.chain.now))
