"""Chunked transfer of large states: how long commands wait meanwhile, and the handling of invalid chunks."""

from __future__ import annotations

import itertools
import zlib
from collections.abc import Iterator
from random import Random
from typing import Any

import pytest

from cloverrouter.coordination import catch_up, history
from cloverrouter.coordination.catch_up import CatchUpReceiver, CatchUpSender
from cloverrouter.coordination.context import Context
from cloverrouter.coordination.disk import DiskQueue
from cloverrouter.coordination.effects import ReplicaConfig
from cloverrouter.coordination.history import History
from cloverrouter.coordination.messages import CatchUpPart, CatchUpTaken
from cloverrouter.coordination.views import Member
from cloverrouter.messages.sending import Send
from cloverrouter.store import Meta, StoredReplica
from tests.system.replica_scenarios import leader
from tests.system.replica_world import Node, Register
from tests.system.slow_links import SlowWorld

STATE_S = 1.5
UNREACHABLE_BYTES = 1 << 40
HEAD = Member("aa00000000000000", "10.0.0.1", "one", "a")
MEMBER = Member("bb00000000000000", "10.0.0.2", "two", "a")
STATE = b"state" * 40


@pytest.fixture(autouse=True)
def small_history_limits() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(history, "MAX_RETAINED_BYTES", 20_000)
        patch.setattr(history, "MAX_RETAINED_UPDATES", 60)
        yield


def member_behind_by_many_updates(catch_up_bytes: int) -> tuple[SlowWorld, Node]:
    """Returns a world in which a member returns that lacks more updates than the others hold in memory, and
    the member's node."""
    config = {"catch_up_bytes": catch_up_bytes, "compact_bytes": 1}
    world = SlowWorld(6, 3, 1, state_s=STATE_S, config=config)
    world.run(8.0)
    absent = next(node for node in world.nodes if node is not leader(world))
    world.kill(absent, power=True)
    world.run(3.0)
    for number in range(80):
        world.put(f"while-away-{number}", lambda taken: None)
        world.run(0.05)
    world.run(3.0)
    world.start(absent)
    return world, absent


def in_chain(world: SlowWorld, node: Node) -> bool:
    head = world.head()
    view = head.replica.view_info if head is not None and head.replica is not None else None
    return view is not None and view.active and node.member in view.chain


def longest_pause_s(world: SlowWorld, node: Node, seconds: float) -> float:
    """Sends a command every 0.05 s until a member has been in the chain for 2 s. Returns the longest time
    without an acknowledgement, in seconds."""
    taken_at = [world.now]
    until = world.now + seconds
    joined_at = float("inf")
    number = 0
    while world.now < min(until, joined_at + 2.0):
        number += 1
        world.put(f"order-{number}", lambda taken: taken_at.append(world.now))
        world.run(0.05)
        if in_chain(world, node):
            joined_at = min(joined_at, world.now)
    assert in_chain(world, node)
    return max(later - earlier for earlier, later in itertools.pairwise(taken_at))


def test_orders_do_not_wait_while_a_state_is_handed_over() -> None:
    assert longest_pause_s(*member_behind_by_many_updates(0), seconds=30.0) < 0.5


def test_without_parts_they_wait_until_the_member_is_given_up() -> None:
    """The member's replies queue behind the state for longer than a member may be silent."""
    assert (
        longest_pause_s(*member_behind_by_many_updates(UNREACHABLE_BYTES), seconds=30.0)
        > ReplicaConfig(1).failure_timeout_s
    )


def test_a_member_goes_on_from_where_it_was_when_the_head_is_replaced() -> None:
    world, absent = member_behind_by_many_updates(0)
    world.messages_by_type.clear()
    world.run(1.5)
    assert not in_chain(world, absent)
    sent = world.messages_by_type["CatchUpPart"]
    assert sent > 2
    world.kill(leader(world), power=False)
    old = next(node for node in world.nodes if node is not absent and node.replica is None)
    world.start(old, 0.5)
    assert world.run_while(lambda: not in_chain(world, absent), 20.0)


# -- the two cores, message by message --


def context(me: Member, meta: Meta | None = None) -> Context:
    register = Register()
    state = History(register)
    stored = StoredReplica(me.identity, meta or Meta())
    disk = DiskQueue(stored, state.snapshot, 0.5, 0.35, 1 << 20)
    return Context(me, ReplicaConfig(1), Random(1), disk, state, None)


def part(first: int, piece: bytes, **changes: Any) -> CatchUpPart:
    facts: dict[str, Any] = {
        "sender": HEAD.identity,
        "receiver": MEMBER.identity,
        "epoch": 9,
        "seq": 40,
        "length": len(STATE),
        "checksum": zlib.crc32(STATE),
        "offset": first,
        "data": piece,
    }
    return CatchUpPart(**facts | changes)


def acknowledged_bytes(core_context: Context) -> list[int]:
    """Returns the byte counts that the member has acknowledged, and clears the effects."""
    found = [effect.message for effect in core_context.effects if isinstance(effect, Send)]
    core_context.effects.clear()
    return [message.taken for message in found if isinstance(message, CatchUpTaken)]


def test_parts_in_their_order_make_the_state() -> None:
    core_context = context(MEMBER)
    receiver = CatchUpReceiver(core_context)
    assert receiver.add_part(HEAD.ip, part(0, STATE[:100])) is None
    whole = receiver.add_part(HEAD.ip, part(100, STATE[100:]))
    assert whole is not None and (whole.seq, whole.data) == (40, STATE)
    assert acknowledged_bytes(core_context) == [100, 200]


def test_a_part_that_is_missing_or_comes_twice_adds_nothing() -> None:
    core_context = context(MEMBER)
    receiver = CatchUpReceiver(core_context)
    receiver.add_part(HEAD.ip, part(0, STATE[:100]))
    assert receiver.add_part(HEAD.ip, part(150, STATE[150:])) is None
    assert receiver.add_part(HEAD.ip, part(0, STATE[:100])) is None
    assert acknowledged_bytes(core_context) == [100, 100, 100]
    assert receiver.add_part(HEAD.ip, part(100, STATE[100:])) is not None


def test_parts_of_two_states_are_not_put_together() -> None:
    receiver = CatchUpReceiver(context(MEMBER))
    receiver.add_part(HEAD.ip, part(0, STATE[:100]))
    assert receiver.add_part(HEAD.ip, part(100, STATE[100:], seq=41)) is None
    assert receiver.add_part(HEAD.ip, part(100, STATE[100:])) is None


def test_the_next_head_goes_on_with_the_same_state() -> None:
    core_context = context(MEMBER)
    receiver = CatchUpReceiver(core_context)
    receiver.add_part(HEAD.ip, part(0, STATE[:100]))
    assert receiver.add_part(HEAD.ip, part(0, STATE[:50], epoch=10, sender="cc")) is None
    assert acknowledged_bytes(core_context) == [100, 100]
    assert receiver.add_part(HEAD.ip, part(100, STATE[100:], epoch=10, sender="cc")) is not None


def test_a_state_with_a_wrong_checksum_is_refused_and_counted() -> None:
    receiver = CatchUpReceiver(context(MEMBER))
    assert receiver.add_part(HEAD.ip, part(0, STATE[:-1] + b"?")) is None
    assert receiver.refused == 1
    assert receiver.add_part(HEAD.ip, part(0, STATE)) is not None


@pytest.mark.parametrize(
    "changes",
    [
        {"epoch": 6},
        {"seq": -1},
        {"length": 0},
        {"length": 1 << 40},
        {"offset": -1},
        {"offset": len(STATE) - 10},
        {"data": b""},
    ],
)
def test_parts_that_make_no_sense_are_refused_and_counted(changes: dict[str, Any]) -> None:
    core_context = context(MEMBER, Meta(promised=7))
    receiver = CatchUpReceiver(core_context)
    assert receiver.add_part(HEAD.ip, part(0, STATE[:100], **changes)) is None
    assert receiver.refused == 1
    assert acknowledged_bytes(core_context) == []


def sent_offsets(core_context: Context) -> list[int]:
    """Returns the offsets of the chunks sent, and clears the effects."""
    found = [effect.message for effect in core_context.effects if isinstance(effect, Send)]
    core_context.effects.clear()
    return [message.offset for message in found if isinstance(message, CatchUpPart)]


def acknowledgement(seq: int, checksum: int, count: int) -> CatchUpTaken:
    return CatchUpTaken(MEMBER.identity, HEAD.identity, 9, seq, checksum, count)


def test_few_parts_are_under_way_and_lost_ones_go_out_again() -> None:
    core_context = context(HEAD)
    core_context.history.replace(40, b'[40, "%s", {}]' % (b"x" * 300_000))
    sender = CatchUpSender(core_context, 9)
    sender.tick(1.0, [MEMBER])
    size = catch_up.PART_BYTES
    assert sent_offsets(core_context) == [0, size]
    sender.tick(1.1, [MEMBER])
    assert sent_offsets(core_context) == []
    sender.tick(1.0 + catch_up.RESEND_S, [MEMBER])
    assert sent_offsets(core_context) == [0, size]
    checksum = zlib.crc32(core_context.history.snapshot().data)
    sender.on_taken(2.0, acknowledgement(40, checksum, size))
    assert sent_offsets(core_context) == [2 * size]
    sender.on_taken(2.0, acknowledgement(41, checksum, 2 * size))
    sender.on_taken(2.0, acknowledgement(40, checksum + 1, 2 * size))
    sender.on_taken(2.0, acknowledgement(40, checksum, UNREACHABLE_BYTES))
    assert sent_offsets(core_context) == []
    assert sender.progress is not None and sender.progress.taken == size


def test_a_member_that_is_handed_states_again_and_again_is_taken_in_as_it_is() -> None:
    core_context = context(HEAD)
    core_context.history.replace(40, b'[40, "%s", {}]' % (b"x" * 300))
    sender = CatchUpSender(core_context, 9)
    for _ in range(catch_up.MAX_TRANSFERS):
        sender.tick(1.0, [MEMBER])
        assert sender.has_transfers_left(MEMBER.identity)
        sender.tick(1.1, [])
    sender.tick(2.0, [MEMBER])
    assert not sender.has_transfers_left(MEMBER.identity)
    assert sender.progress is None
