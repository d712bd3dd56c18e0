"""Scripted races among replicas: each is a few milliseconds that random days hardly ever meet."""

from __future__ import annotations

import json
from collections.abc import Callable

from cloverrouter.coordination.effects import Answer, Outcome
from cloverrouter.coordination.messages import Install, Propose, State
from cloverrouter.messages.sending import Send
from tests.system.replica_chaos import check_healed
from tests.system.replica_world import Client, Node, Reader, Violation, World

# Members that can't hear the head stand up soon, and nobody waits for a head that was heard a moment ago.
RASH = {
    "sticky_s": 0.0,
    "failure_timeout_s": 0.3,
    "heartbeat_s": 0.05,
    "start_delay_s": 0.1,
    "gather_s": 0.01,
}


class Unmet(AssertionError):
    """A race did not come to its point: it shows nothing."""


def leader(world: World) -> Node:
    """The node that leads. Raises Unmet if there is none."""
    head = world.head()
    if head is None:
        raise Unmet("nobody leads")
    return head


def cut(world: World, ones: list[Node], others: list[Node]) -> None:
    """Cut two groups from each other."""
    for one in ones:
        for other in others:
            world.cuts |= {(one.ip, other.ip), (other.ip, one.ip)}


def order(world: World, node: Node, name: str) -> Callable[[], bool]:
    """Send an order to a node; what is given tells whether it was acknowledged."""
    answers: list[Answer] = []

    def on_answer(answer: Answer) -> None:
        answers.append(answer)
        if answer.outcome is Outcome.DONE:
            world.check_acknowledged(json.loads(answer.reply)[1], name)

    command = json.dumps({"id": name, "expect": None, "value": name}).encode()
    world.submit(node, command, on_answer)
    return lambda: any(answer.outcome is Outcome.DONE for answer in answers)


def run_to(world: World, condition: Callable[[], bool], most_s: float, what: str) -> None:
    """Run until a condition holds. Raises Unmet if it does not in time."""
    if not world.run_while(lambda: not condition(), most_s):
        raise Unmet(f"{what} not within {most_s} s")


def settle(world: World) -> None:
    """All is well again: orders are taken, and what was acknowledged is read."""
    world.cuts.clear()
    world.nemesis = None
    for node in world.nodes:
        node.disk.stalled_until = 0.0
    check_healed(world, [])


def two_and_an_excluded(world: World) -> tuple[Node, Node, Node]:
    """Head, follower, and a third that is outside the chain and hears the head no more."""
    world.run(2.0)
    head = leader(world)
    follower, third = [node for node in world.nodes if node is not head]
    third.disk.stalled_until = world.now + 1.5
    run_to(world, order(world, head, "first"), 5.0, "an order without the third")
    view = head.replica.view_info if head.replica is not None else None
    if view is None or third.member in view.chain:
        raise Unmet("the third is still in the chain")
    cut(world, [head], [third])
    return head, follower, third


def an_order_reaches_a_member_that_has_promised_more(seed: int) -> None:
    """The head forwards to a member that has just promised a higher epoch to another and has handed over its
    state; the other's view is late."""
    world = World(seed, 3, 1, config=RASH)
    head, follower, third = two_and_an_excluded(world)
    handed: list[float] = []

    def watch(node: Node, effect: Send) -> float:
        if node is follower and isinstance(effect.message, State):
            handed.append(world.now)
        return 0.1 if node is third and isinstance(effect.message, Install) else 0.0

    world.nemesis = watch
    run_to(world, lambda: bool(handed), 5.0, "the third has promise and state")
    order(world, head, "late")
    run_to(world, lambda: world.head() is third, 5.0, "the third as head")
    settle(world)


def a_member_loses_power_when_it_has_promised(seed: int) -> None:
    """The same, and the member, whose disk is slow, loses power in that moment and is back at once."""
    world = World(seed, 3, 1, config=RASH)
    head, follower, third = two_and_an_excluded(world)
    follower.disk.slowness = 20.0
    handed: list[float] = []

    def strike() -> None:
        world.kill(follower, power=True)
        follower.disk.slowness = 1.0
        world.start(follower)

    def watch(node: Node, effect: Send) -> float:
        if node is follower and isinstance(effect.message, State) and not handed:
            handed.append(world.now)
            world.at(world.now, strike)
        return 0.1 if node is third and isinstance(effect.message, Install) else 0.0

    world.nemesis = watch
    run_to(world, lambda: bool(handed), 5.0, "the third has promise and state")
    run_to(world, lambda: follower.replica is None, 1.0, "the loss of power")
    run_to(world, lambda: follower.replica is not None, 1.0, "the member is back")
    order(world, head, "late")
    run_to(world, lambda: world.head() is third, 5.0, "the third as head")
    settle(world)


def the_old_voters_go_on_while_an_exchange_is_under_way(seed: int) -> None:
    """A voter is exchanged; head and newcomer are cut from the rest, and the lost one comes back there."""
    world = World(seed, 3, 1)
    world.run(2.0)
    head = leader(world)
    follower, lost = [node for node in world.nodes if node is not head]
    world.kill(lost, power=True)
    spare = world.add_node(place=1)

    def watch(node: Node, effect: Send) -> float:
        message = effect.message
        if isinstance(message, Install) and spare.member in message.view.voters and not world.cuts:
            cut(world, [head, spare], [follower, lost])
            world.start(lost)
        return 0.0

    world.nemesis = watch
    client = Client(world, "operator", pause_s=0.05)
    run_to(world, lambda: bool(world.cuts), 5.0, "the exchange")
    world.run(4.0)
    client.stopped = True
    settle(world)


def a_second_proposer_in_the_same_moment(seed: int) -> None:
    """Both followers propose at once when the head goes, and their questions cross."""
    world = World(seed, 5, 2, config=RASH | {"rank_delay_s": 0.0, "jitter_s": 0.001})
    world.run(2.0)
    client = Client(world, "operator", pause_s=0.02)
    for _ in range(4):
        head = leader(world)
        world.nemesis = lambda node, effect: 0.004 if isinstance(effect.message, Propose) else 0.0
        world.kill(head, power=True)
        world.start(head, 0.6)
        world.run(2.0)
    client.stopped = True
    settle(world)


def a_member_hears_the_head_no_more_and_the_others_do(seed: int) -> None:
    """A cut between two of five: the head stays, without the one that can't hear it."""
    world = World(seed, 5, 2)
    world.run(2.0)
    head = leader(world)
    deaf = next(node for node in world.nodes if node is not head)
    client = Client(world, "operator", pause_s=0.05)
    cut(world, [head], [deaf])
    world.run(5.0)
    client.stopped = True
    if leader(world) is not head:
        raise Violation("a head that the others hear has lost its place")
    settle(world)


def a_head_that_is_cut_off_is_asked(seed: int) -> None:
    """The others go on without it, and it still takes itself for the head."""
    world = World(seed, 3, 1, config={"lost_quorum_s": 10.0})
    world.run(2.0)
    head = leader(world)
    others = [node for node in world.nodes if node is not head]
    run_to(world, order(world, head, "first"), 2.0, "an order")
    cut(world, [head], others)
    run_to(world, lambda: world.head() in others, 3.0, "another head")
    run_to(world, order(world, leader(world), "second"), 2.0, "an order at the new head")
    Reader(world, head)
    world.run(1.0)
    settle(world)


def a_wiped_machine_and_one_that_was_away_are_alone(seed: int) -> None:
    """Two of three are there, and neither knows what was acknowledged."""
    world = World(seed, 3, 1)
    world.run(2.0)
    head = leader(world)
    follower, away = [node for node in world.nodes if node is not head]
    world.kill(away, power=True)
    run_to(world, order(world, head, "first"), 3.0, "an order of two")
    world.kill(head, power=True)
    world.kill(follower, power=True)
    world.wipe(head)
    world.start(head)
    world.start(away)
    client = Client(world, "operator", pause_s=0.05)
    world.run(3.0)
    client.stopped = True
    if world.head() is not None:
        raise Violation("two that know nothing lead")
    world.start(follower)
    world.run(3.0)
    settle(world)


def a_view_comes_after_the_next(seed: int) -> None:
    """A head hands its view to a member too late: another head's view is in force there already."""
    world = World(seed, 3, 1)
    world.run(2.0)
    first = leader(world)
    follower = next(node for node in world.nodes if node is not first)
    late: list[float] = []

    def hold(node: Node, effect: Send) -> float:
        if isinstance(effect.message, Install) and effect.ip == follower.ip and not late:
            late.append(world.now)
            return 4.0
        return 0.0

    third = next(node for node in world.nodes if node not in (first, follower))
    third.disk.full = True  # it leaves the chain, so that a view is handed out
    order(world, first, "first")
    world.nemesis = hold
    run_to(world, lambda: bool(late), 3.0, "a view is handed out")
    world.kill(first, power=True)
    third.disk.full = False
    run_to(world, lambda: world.head() is not None, 3.0, "another head")
    client = Client(world, "operator", pause_s=0.05)
    world.run(4.0)
    client.stopped = True
    world.start(first)
    world.run(1.0)
    settle(world)


def a_voter_starts_again_that_has_promised_the_head_nothing(seed: int) -> None:
    """Its disk has taken no promise since the head before, and that one asks for it at once."""
    world = World(seed, 3, 1, config={"gather_s": 0.01, "retry_s": 0.05})
    world.run(2.0)
    before = leader(world)
    voter = next(node for node in world.nodes if node is not before)
    voter.disk.stalled_until = world.now + 100.0
    world.run(2.0)
    if before.replica is not None:
        world.carry_out(before, before.replica.resign(world.now))
    run_to(world, lambda: world.head() not in (None, before), 2.0, "another head")
    head = leader(world)
    world.run(1.0)
    if before.replica is not None:
        before.replica._context.resigning = False
    cut(world, [head], [before])
    world.run(1.0 + world.random.random() / 2)
    world.kill(voter, power=True)
    voter.disk.stalled_until = 0.0
    world.start(voter)
    world.run(3.0)
    settle(world)


def a_state_handed_over_is_lost_before_it_is_stored(seed: int) -> None:
    """The head hands a member an update that no other disk holds. The head's disk is lost, the member loses
    power before it has stored the update; the number then is another one's."""
    world = World(seed, 3, 1)
    world.run(2.0)
    head = leader(world)
    follower, third = [node for node in world.nodes if node is not head]
    cut(world, [head], [follower, third])
    order(world, head, "alone")
    world.run(0.05)
    cut(world, [follower], [third])
    world.run(2.0)
    world.kill(head)
    handed: list[float] = []

    def strike() -> None:
        world.kill(head, power=True)
        world.wipe(head)
        world.kill(follower, power=True)
        follower.disk.slowness = 1.0

    def watch(node: Node, effect: Send) -> float:
        if effect.ip == follower.ip and isinstance(effect.message, Install) and not handed:
            handed.append(world.now)
            follower.disk.slowness = 100.0
            world.at(world.now + 0.01, strike)
        return 0.0

    world.nemesis = watch
    world.cuts.clear()
    cut(world, [third], [head, follower])
    world.start(head)
    run_to(world, lambda: bool(handed), 3.0, "the state is handed over")
    run_to(world, lambda: follower.replica is None, 1.0, "the loss of power")
    world.cuts.clear()
    world.nemesis = None
    world.start(follower)
    run_to(world, lambda: world.head() is not None, 5.0, "a head")
    run_to(world, order(world, leader(world), "other"), 5.0, "another order")
    world.start(head)
    settle(world)


SCENARIOS = (
    an_order_reaches_a_member_that_has_promised_more,
    a_member_loses_power_when_it_has_promised,
    the_old_voters_go_on_while_an_exchange_is_under_way,
    a_second_proposer_in_the_same_moment,
    a_member_hears_the_head_no_more_and_the_others_do,
    a_head_that_is_cut_off_is_asked,
    a_wiped_machine_and_one_that_was_away_are_alone,
    a_view_comes_after_the_next,
    a_voter_starts_again_that_has_promised_the_head_nothing,
    a_state_handed_over_is_lost_before_it_is_stored,
)
