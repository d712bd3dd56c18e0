"""After a restart, no machine is sent a configuration older than one that was confirmed before."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.control.distribution_messages import NOTHING, Delta, Offer, Part, Pull, PullPart, Subscribe
from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.publisher import Publisher
from cloverrouter.control.updates import ConfigurationReplaced
from cloverrouter.coordination.effects import Answer, Outcome
from cloverrouter.coordination.messages import Heartbeat
from cloverrouter.coordination.views import GENESIS_EPOCH, Member, View, encode_view
from cloverrouter.daemon.replica_role import UNCONFIRMED_TIMEOUT_FACTOR, ReplicaRole, RolePorts
from cloverrouter.messages import encode
from cloverrouter.messages.sending import Send
from cloverrouter.store import Meta, Record, Update
from cloverrouter.store.replica_store import ReplicaStore
from tests.system.replica_world import Node, World

PROXY = "10.0.0.9"
CONNECTIVITY_S = 3.0
DISK_BYTES = 4 * 1024 * 1024


def restarted_publisher() -> Publisher:
    """Returns an unconfirmed publisher with the state as of sequence number 4 and one subscriber."""
    publisher = Publisher(is_confirmed=False)
    publisher.start(0.0)
    publisher.load_snapshot(0.0, 4, b"state 4")
    publisher.receive(0.0, PROXY, Subscribe(NOTHING, True))
    return publisher


def offers(effects: list[Any]) -> set[int]:
    return {effect.message.newest for effect in effects if isinstance(effect.message, Offer)}


@pytest.mark.parametrize("message", [Subscribe(NOTHING, True), Pull(NOTHING), Pull(3), PullPart(4, True, 0)])
def test_what_is_not_confirmed_is_not_handed_out(message: object) -> None:
    effects = restarted_publisher().receive(0.1, PROXY, message)
    assert offers(effects) == {NOTHING} and len(effects) == 1


def test_updates_committed_before_the_confirmation_are_not_handed_out_or_offered() -> None:
    publisher = restarted_publisher()
    assert offers(publisher.add_committed_update(0.1, 5, b"update 5")) == {NOTHING}
    assert offers(publisher.tick(1.0)) == {NOTHING}


def test_what_is_confirmed_is_offered_at_once_and_handed_out() -> None:
    publisher = restarted_publisher()
    publisher.add_committed_update(0.1, 5, b"update 5")
    assert offers(publisher.confirm(0.2)) == {5}
    assert not publisher.confirm(0.3)
    (send,) = publisher.receive(0.3, PROXY, Pull(4))
    assert isinstance(send, Send) and send.message == Delta(5, (b"update 5",), 5)
    (send,) = publisher.receive(0.3, PROXY, PullPart(4, True, 0))
    assert isinstance(send, Send) and isinstance(send.message, Part)


@pytest.mark.parametrize("seed", range(1, 9))
def test_the_first_heartbeat_of_an_active_head_covers_all_that_was_confirmed(seed: int) -> None:
    """Followers rely on the first heartbeat of an active head to know all confirmed changes."""
    world = World(seed, 3, 1)
    answers: list[Answer] = []
    assert world.run_while(lambda: world.head() is None, 5.0)
    for number in range(5):
        head = world.head()
        assert head is not None
        order = {"id": f"order {number}", "expect": None, "value": number}
        world.submit(head, json.dumps(order).encode(), answers.append)
        world.run(0.1)
    assert [answer.outcome for answer in answers] == [Outcome.DONE] * 5
    confirmed = 5
    first: dict[tuple[int, str], Heartbeat] = {}

    def note(node: Node, effect: Send) -> float:
        beat = effect.message
        if isinstance(beat, Heartbeat) and beat.active:
            first.setdefault((beat.epoch, effect.ip), beat)
        return 0.0

    for node in world.nodes:
        world.kill(node)
    world.nemesis = note
    for node in world.nodes:
        world.start(node)
    assert world.run_while(lambda: world.head() is None, 5.0)
    world.run(1.0)
    assert first and all(beat.committed >= confirmed for beat in first.values())


def disk_with_updates(directory: Path) -> str:
    """Writes the disk of one of three voters: two updates, the first known to be committed. Returns the
    disk's identity.
    """
    store = ReplicaStore.open(directory, DISK_BYTES)
    identity = store.load(bootstrap=True).identity
    others = [Member(f"{number:016x}", f"10.0.0.{number}", f"m{number}", "a") for number in (2, 3)]
    view = View(GENESIS_EPOCH, (Member(identity, "10.0.0.1", "one", "a"), *others), (), ())
    state = ConfigurationState().replaced({"version": 3, "route-table": [], "backends": []})
    updates = tuple(
        Update(seq, encode(ConfigurationReplaced(version, base, bytes(16), _document(version))))
        for seq, version, base in ((1, 3, 0), (2, 5, 3))
    )
    assert state.version == 3
    meta = Meta(view=encode_view(view), view_epoch=GENESIS_EPOCH, settled=True, committed=1)
    store.write(Record(meta=meta, updates=updates))
    store.close()
    return identity


def _document(version: int) -> bytes:
    return b'{"version":%d,"route-table":[],"backends":[]}' % version


def test_a_replica_without_a_head_hands_out_what_it_has_after_a_while(tmp_path: Path) -> None:
    disk_with_updates(tmp_path)
    sent: list[tuple[str, object]] = []
    settings: Any = SimpleNamespace(
        data_directory=tmp_path, disk_mb=4, bootstrap=False, ip="10.0.0.1", name="one", zone="a",
        tolerated_machines=1, bounds=SimpleNamespace(connectivity_s=CONNECTIVITY_S),
    )  # fmt: skip
    ports = RolePorts(
        lambda ip, message: sent.append((ip, message)), lambda view: None, lambda *_, **__: None,
        lambda *_, **__: None,
    )  # fmt: skip

    def offered_to_proxy() -> set[int]:
        return {message.newest for ip, message in sent if ip == PROXY and isinstance(message, Offer)}

    async def scenario() -> None:
        role = await ReplicaRole.open(settings, ports, Random(1))
        role.start(100.0)
        role.receive_from_subscriber(100.1, PROXY, Subscribe(NOTHING, True))
        role.tick(100.0 + UNCONFIRMED_TIMEOUT_FACTOR * CONNECTIVITY_S - 0.1)
        assert offered_to_proxy() == {NOTHING}
        role.tick(100.0 + UNCONFIRMED_TIMEOUT_FACTOR * CONNECTIVITY_S + 0.1)
        assert offered_to_proxy() == {NOTHING, 1}
        role.close()

    asyncio.run(scenario())
