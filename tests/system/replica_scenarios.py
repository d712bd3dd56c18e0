"""Scripted races among replicas: each is a window of a few milliseconds that random runs rarely meet."""

from __future__ import annotations

import itertools
import json
from collections.abc import Callable

from cloverrouter.coordination.effects import Answer, Outcome
from cloverrouter.coordination.messages import Announce, Install, Propose, State
from cloverrouter.coordination.views import Member
from cloverrouter.messages.sending import Send
from tests.system.replica_chaos import check_healed
from tests.system.replica_world import Client, Node, Reader, Violation, World

# Members that cannot hear the head start an election early, and no promise is withheld for a head heard
# recently.
EAGER_ELECTIONS = {
    "sticky_s": 0.0,
    "failure_timeout_s": 0.3,
    "heartbeat_s": 0.05,
    "start_delay_s": 0.1,
    "collect_s": 0.01,
}


# Time after which a machine that was added or has returned takes part.
TAKES_PART_AFTER_S = 4.0
LEAVES_WITHIN_S = 4.0


class SituationNotReached(AssertionError):
    """The situation of a race did not arise, so the run shows nothing."""


def leader(world: World) -> Node:
    """Returns the head's node. Raises SituationNotReached if there is none."""
    head = world.head()
    if head is None:
        raise SituationNotReached("there is no head")
    return head


def cut(world: World, ones: list[Node], others: list[Node]) -> None:
    """Partitions two groups from each other."""
    for one in ones:
        for other in others:
            world.cuts |= {(one.ip, other.ip), (other.ip, one.ip)}


def order(world: World, node: Node, name: str) -> Callable[[], bool]:
    """Sends a command to a node; the returned function tells whether it was acknowledged."""
    answers: list[Answer] = []

    def on_answer(answer: Answer) -> None:
        answers.append(answer)
        if answer.outcome is Outcome.DONE:
            world.check_acknowledged(json.loads(answer.reply)[1], name)

    command = json.dumps({"id": name, "expect": None, "value": name}).encode()
    world.submit(node, command, on_answer)
    return lambda: any(answer.outcome is Outcome.DONE for answer in answers)


def run_to(world: World, condition: Callable[[], bool], most_s: float, what: str) -> None:
    """Runs until a condition holds. Raises SituationNotReached if it does not in time."""
    if not world.run_while(lambda: not condition(), most_s):
        raise SituationNotReached(f"{what} not within {most_s} s")


def settle(world: World) -> None:
    """Ends all faults, then checks that commands are acknowledged and what was acknowledged is read."""
    world.cuts.clear()
    world.nemesis = None
    for node in world.nodes:
        node.disk.stalled_until = 0.0
    check_healed(world, [])


def head_follower_and_excluded(world: World) -> tuple[Node, Node, Node]:
    """Returns the head, a follower, and a third node that is outside the chain and cannot hear the head."""
    world.run(2.0)
    head = leader(world)
    follower, third = [node for node in world.nodes if node is not head]
    third.disk.stalled_until = world.now + 1.5
    run_to(world, order(world, head, "first"), 5.0, "a command without the third")
    view = head.replica.view_info if head.replica is not None else None
    if view is None or third.member in view.chain:
        raise SituationNotReached("the third is still in the chain")
    cut(world, [head], [third])
    return head, follower, third


def an_order_reaches_a_member_that_has_promised_more(seed: int) -> None:
    """The head forwards to a member that has just promised a higher epoch to another replica and sent it its
    state; the other's view is delayed."""
    world = World(seed, 3, 1, config=EAGER_ELECTIONS)
    head, follower, third = head_follower_and_excluded(world)
    handed: list[float] = []

    def watch(node: Node, effect: Send) -> float:
        if node is follower and isinstance(effect.message, State):
            handed.append(world.now)
        return 0.1 if node is third and isinstance(effect.message, Install) else 0.0

    world.nemesis = watch
    run_to(world, lambda: bool(handed), 5.0, "the third has the promise and the state")
    order(world, head, "late")
    run_to(world, lambda: world.head() is third, 5.0, "the third as head")
    settle(world)


def a_member_loses_power_when_it_has_promised(seed: int) -> None:
    """As above, but the member, whose disk is slow, loses power at that moment and restarts at once."""
    world = World(seed, 3, 1, config=EAGER_ELECTIONS)
    head, follower, third = head_follower_and_excluded(world)
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
    run_to(world, lambda: bool(handed), 5.0, "the third has the promise and the state")
    run_to(world, lambda: follower.replica is None, 1.0, "the loss of power")
    run_to(world, lambda: follower.replica is not None, 1.0, "the member is back")
    order(world, head, "late")
    run_to(world, lambda: world.head() is third, 5.0, "the third as head")
    settle(world)


def the_old_voters_go_on_while_an_exchange_is_under_way(seed: int) -> None:
    """A voter is replaced; head and spare are partitioned from the rest, where the replaced voter returns."""
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
    run_to(world, lambda: bool(world.cuts), 5.0, "the replacement")
    world.run(4.0)
    client.stopped = True
    settle(world)


def a_second_proposer_in_the_same_moment(seed: int) -> None:
    """Several followers start an election at once when the head is lost, and their requests cross."""
    world = World(seed, 5, 2, config=EAGER_ELECTIONS | {"rank_delay_s": 0.0, "jitter_s": 0.001})
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
    """A partition between two of five: the head stays, without the member that cannot hear it."""
    world = World(seed, 5, 2)
    world.run(2.0)
    head = leader(world)
    deaf = next(node for node in world.nodes if node is not head)
    client = Client(world, "operator", pause_s=0.05)
    cut(world, [head], [deaf])
    world.run(5.0)
    client.stopped = True
    if leader(world) is not head:
        raise Violation("a head that the other members hear was replaced")
    settle(world)


def a_head_that_is_cut_off_is_asked(seed: int) -> None:
    """The others continue without a partitioned head, which still considers itself the head and must not
    answer reads."""
    world = World(seed, 3, 1, config={"lost_quorum_s": 10.0})
    world.run(2.0)
    head = leader(world)
    others = [node for node in world.nodes if node is not head]
    run_to(world, order(world, head, "first"), 2.0, "a command")
    cut(world, [head], others)
    run_to(world, lambda: world.head() in others, 3.0, "another head")
    run_to(world, order(world, leader(world), "second"), 2.0, "a command at the new head")
    Reader(world, head)
    world.run(1.0)
    settle(world)


def a_wiped_machine_and_one_that_was_away_are_alone(seed: int) -> None:
    """Two of three are running, and neither has what was acknowledged: they must not elect a head."""
    world = World(seed, 3, 1)
    world.run(2.0)
    head = leader(world)
    follower, away = [node for node in world.nodes if node is not head]
    world.kill(away, power=True)
    run_to(world, order(world, head, "first"), 3.0, "a command with two members")
    world.kill(head, power=True)
    world.kill(follower, power=True)
    world.wipe(head)
    world.start(head)
    world.start(away)
    client = Client(world, "operator", pause_s=0.05)
    world.run(3.0)
    client.stopped = True
    if world.head() is not None:
        raise Violation("two replicas without the acknowledged updates elected a head")
    world.start(follower)
    world.run(3.0)
    settle(world)


def a_view_comes_after_the_next(seed: int) -> None:
    """A head's view reaches a member late, when another head's view is already in force there."""
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
    third.disk.full = True  # it leaves the chain, so that a new view is sent
    order(world, first, "first")
    world.nemesis = hold
    run_to(world, lambda: bool(late), 3.0, "a view is sent")
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
    """The voter's disk has stored no promise since the previous head, which asks for a promise right after
    the voter's restart."""
    world = World(seed, 3, 1, config={"collect_s": 0.01, "retry_s": 0.05})
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


def the_oldest_disks_are_lost_while_replaced_voters_leave(seed: int) -> None:
    """Planned replacement: spares run long enough to take part, then other voters are told to exit, and as
    many of the oldest disks as are tolerable are lost right then."""
    for (count, tolerance), lost_after_s in itertools.product(((3, 1), (5, 2)), (0.0, 0.4)):
        world = World(seed, count, tolerance)
        leave_and_lose(world, tolerance, head_leaves=seed % 4 == 1, lost_after_s=lost_after_s)


def leave_and_lose(
    world: World, many: int, head_leaves: bool, lost_after_s: float, same_name: bool = False
) -> None:
    """Tells `many` voters with running successors to exit, and then loses as many of the oldest disks. Raises
    Violation if they do not exit in time."""
    world.run(2.0)
    head = leader(world)
    others = [node for node in world.nodes if node is not head]
    voters = [head, *others] if head_leaves else [*others, head]
    leavers, oldest = voters[:many], voters[-many:]
    run_to(world, order(world, head, "first"), 2.0, "a command")
    for leaver in leavers:
        world.add_node(place=world.nodes.index(leaver), name=leaver.name if same_name else "")
    world.run(TAKES_PART_AFTER_S)
    for leaver in leavers:
        # its acknowledgement of the view without it arrives a moment after the view
        leaver.disk.slowness = 20.0
        world.leave(leaver)
    world.run(lost_after_s)
    for node in oldest:
        if node.replica is not None:
            world.kill(node, power=True)
        world.wipe(node)
        world.start(node, 1.0)
    if not world.run_while(lambda: any(node.replica for node in leavers), LEAVES_WITHIN_S):
        raise Violation(f"voters with running successors did not exit within {LEAVES_WITHIN_S} s")
    for leaver in leavers:
        world.remove(leaver)
    world.run(TAKES_PART_AFTER_S)
    settle(world)


def the_chain_is_short_and_the_third_has_relapsed(seed: int) -> None:
    """A member that has often left the chain is healthy again and waits to rejoin when one of the two disks
    in the chain is lost. The member is needed at once: one copy is too few, and commands wait."""
    world = World(seed, 3, 1)
    world.run(2.0)
    head = leader(world)
    follower, third = [node for node in world.nodes if node is not head]
    for number in range(6):
        third.disk.stalled_until = world.now + 1.5
        order(world, leader(world), f"relapse-{number}")
        run_to(world, lambda: third.member not in chain_of(world), 3.0, "the third out of the chain")
        run_to(world, lambda: third.member in chain_of(world), 9.0, "the third back in the chain")
    third.disk.stalled_until = world.now + 1.5
    run_to(world, order(world, leader(world), "two"), 3.0, "a command with two members")
    run_to(world, lambda: third.member not in chain_of(world), 3.0, "the third out of the chain")
    run_to(world, lambda: world.now > third.disk.stalled_until + 0.2, 3.0, "the third's disk is healthy")
    lost = follower if leader(world) is head else head
    world.kill(lost, power=True)
    world.wipe(lost)
    world.run(0.8)  # until its silence is detected
    acknowledged = order(world, leader(world), "late")
    if not world.run_while(lambda: not acknowledged(), 1.0):
        raise Violation("a healthy member does not join a chain that is too short")
    world.start(lost)
    settle(world)


def chain_of(world: World) -> tuple[Member, ...]:
    """Returns the chain as known to its head; empty without a head."""
    head = world.head()
    view = head.replica.view_info if head is not None and head.replica is not None else None
    return view.chain if view is not None else ()


def the_old_voters_know_nothing_of_an_exchange(seed: int) -> None:
    """Two of five have promised but not yet rejoined the chain. The head replaces a third that is only
    partitioned from it, and the two learn of the new view too late: these three are a majority of the old
    voters."""
    world = World(seed, 5, 2, config={"rejoin_s": 5.0})
    world.run(2.0)
    head = leader(world)
    second, third, *slow = [node for node in world.nodes if node is not head]
    for node in slow:
        node.disk.stalled_until = world.now + 1.5
    run_to(world, order(world, head, "first"), 3.0, "a command without the slow ones")
    run_to(world, lambda: len(chain_of(world)) == 3, 3.0, "the slow ones out of the chain")
    world.run(1.0)
    spare = world.add_node(place=1, name=third.name)
    world.run(0.5)
    cut(world, [head, second, spare], [third])

    def hold(node: Node, effect: Send) -> float:
        message = effect.message
        is_new = isinstance(message, Announce | Install) and spare.member in message.view.voters
        return 9.0 if is_new and effect.ip in {node.ip for node in slow} else 0.0

    world.nemesis = hold
    run_to(world, lambda: spare.member in voters_at(head), 3.0, "the replacement")
    client = Client(world, "operator", pause_s=0.05)
    world.run(1.0)
    cut(world, [head, second, spare], slow)
    world.run(3.0)
    client.stopped = True
    world.cuts.clear()
    world.run(9.0)  # until those two may rejoin the chain
    settle(world)


def a_second_exchange_before_the_first_is_in_force(seed: int) -> None:
    """A voter is replaced, its successor does not receive the state, and a second voter reports that it
    leaves."""
    world = World(seed, 3, 1)
    world.run(2.0)
    head = leader(world)
    second, third = [node for node in world.nodes if node is not head]
    run_to(world, order(world, head, "first"), 3.0, "a command")
    spare = world.add_node(place=1)
    world.run(0.5)
    cut(world, [head, spare], [third])

    def hold(node: Node, effect: Send) -> float:
        message = effect.message
        if isinstance(message, Install) and effect.ip == spare.ip:
            return 9.0
        is_new = isinstance(message, Announce | Install) and spare.member in message.view.voters
        return 9.0 if is_new and effect.ip == second.ip else 0.0

    world.nemesis = hold
    run_to(world, lambda: voters_at(head) > {spare.member}, 3.0, "the start of the first replacement")
    other = world.add_node(place=2)
    world.run(0.5)
    if second.replica is not None:
        world.carry_out(second, second.replica.resign(world.now))
    client = Client(world, "operator", pause_s=0.05)
    world.run(2.0)
    cut(world, [head, spare, other], [second])
    world.run(3.0)
    client.stopped = True
    world.kill(second)
    world.start(second)
    settle(world)


def voters_at(node: Node) -> set[Member]:
    """Returns the voters of the view that a node knows."""
    view = node.replica.view_info if node.replica is not None else None
    return set(view.voters) if view is not None else set()


def a_voter_starts_again_while_its_head_is_sure(seed: int) -> None:
    """A third that cannot hear the head asks for the promise of a voter that has just answered the head and
    then restarted."""
    world = World(seed, 3, 1, config={"retry_s": 0.02, "jitter_s": 0.01})
    world.run(2.0)
    head = leader(world)
    voter, third = [node for node in world.nodes if node is not head]
    cut(world, [head], [third])
    world.run(1.5)
    for _ in range(4):
        world.kill(voter)
        world.start(voter)
        world.run(0.5)
        if voter.replica is None:
            raise SituationNotReached("the voter does not run")
    settle(world)


def a_head_that_leaves_hears_nothing_more(seed: int) -> None:
    """The head reports that it leaves, gets replies, and then receives nothing more: another becomes head at
    once."""
    world = World(seed, 3, 1)
    world.run(2.0)
    head = leader(world)
    others = [node for node in world.nodes if node is not head]
    if head.replica is not None:
        world.carry_out(head, head.replica.resign(world.now))
    world.run(0.004)
    world.cuts |= {(other.ip, head.ip) for other in others}
    run_to(world, lambda: world.head() in others, 0.4, "another head")
    world.run(1.0)
    world.kill(head)
    world.start(head)
    settle(world)


def a_head_takes_up_a_newer_state_than_its_own(seed: int) -> None:
    """The head and one member have a command that the others never received; these continued under another
    head. When the first head leads again, that member's state is no prefix of the newest one."""
    world = World(seed, 5, 2, config={"lost_quorum_s": 10.0})
    world.run(2.0)
    head = leader(world)
    run_to(world, order(world, head, "first"), 2.0, "a command")
    partner, *others = [node for node in world.nodes if node is not head]
    cut(world, [head, partner], others)
    order(world, head, "never acknowledged")
    run_to(world, lambda: world.head() in others, 3.0, "another head")
    second = leader(world)
    for number in range(3):
        run_to(world, order(world, second, f"second-{number}"), 2.0, "a command at the other head")
    world.kill(second, power=True)
    world.cuts.clear()
    client = Client(world, "operator", pause_s=0.05)
    world.run(3.0)
    client.stopped = True
    world.start(second)
    settle(world)


def a_head_that_is_cut_off_says_so(seed: int) -> None:
    """A command at a partitioned head fails soon, so that its sender retries elsewhere."""
    world = World(seed, 3, 1)
    world.run(2.0)
    head = leader(world)
    cut(world, [head], [node for node in world.nodes if node is not head])
    answers: list[Answer] = []
    command = json.dumps({"id": "late", "expect": None, "value": "late"}).encode()
    world.submit(head, command, answers.append)
    if not world.run_while(lambda: not answers, 1.5) or answers[0].outcome is Outcome.DONE:
        raise Violation("a partitioned head holds a command for more than 1.5 s, or confirms it")
    settle(world)


def a_state_handed_over_is_lost_before_it_is_stored(seed: int) -> None:
    """The head sends a member an update that no other disk holds. The head's disk is lost, and the member
    loses power before it has stored the update; its sequence number is then used for another update."""
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
    run_to(world, lambda: bool(handed), 3.0, "the state is sent")
    run_to(world, lambda: follower.replica is None, 1.0, "the loss of power")
    world.cuts.clear()
    world.nemesis = None
    world.start(follower)
    run_to(world, lambda: world.head() is not None, 5.0, "a head")
    run_to(world, order(world, leader(world), "other"), 5.0, "another command")
    world.start(head)
    settle(world)


def all_freeze_and_wake(seed: int) -> None:
    """After a freeze of all replicas none counts as silent: the same head continues with the same chain, and
    acknowledges a command at once."""
    world = World(seed, 3, 1)
    world.run(2.0)
    head, before = leader(world), chain_of(world)
    for node in world.nodes:
        world.freeze(node, 2.0)
    world.run(2.0)
    run = order(world, head, "late")
    if not world.run_while(lambda: not run(), 0.2) or chain_of(world) != before:
        raise Violation("a head that was frozen with all others does not continue")
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
    the_oldest_disks_are_lost_while_replaced_voters_leave,
    the_chain_is_short_and_the_third_has_relapsed,
    the_old_voters_know_nothing_of_an_exchange,
    a_second_exchange_before_the_first_is_in_force,
    a_voter_starts_again_while_its_head_is_sure,
    a_head_that_leaves_hears_nothing_more,
    a_head_takes_up_a_newer_state_than_its_own,
    a_head_that_is_cut_off_says_so,
    a_state_handed_over_is_lost_before_it_is_stored,
    all_freeze_and_wake,
)
