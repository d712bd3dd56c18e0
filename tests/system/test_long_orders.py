"""Long orders are reviewed in a thread apart from the event loop, with the same result as in the loop."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Iterator
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import attrs
import pytest

from cloverrouter.control import orders
from cloverrouter.control.document import compact
from cloverrouter.control.forwarding import CallKind, HeadAnswer, HeadCall
from cloverrouter.control.orders import ConfigurationMachine, Order, OrderReply
from cloverrouter.control.updates import decode_message
from cloverrouter.coordination.views import GENESIS_EPOCH, Member, View, encode_view
from cloverrouter.daemon.replica_role import THREADED_REVIEW_BYTES, ReplicaRole, RolePorts
from cloverrouter.messages import encode
from cloverrouter.store import Meta
from cloverrouter.store.replica_store import ReplicaStore

from .configurations import document, send

DISK_BYTES = 16 * 1024 * 1024
ROUTES = 400
PROXY = "10.0.0.9"


def command(base: int, version: int, routes: int = ROUTES, **changes: Any) -> bytes:
    return encode(Order("PUT", str(base), compact(document(version, routes, **changes)).encode()))


@pytest.fixture
def machine() -> ConfigurationMachine:
    found = ConfigurationMachine()
    assert send(found, "PUT", "0", document(5)).status == 200
    return found


@pytest.mark.parametrize("changes", [{}, {"backends": []}])
def test_a_prepared_order_is_decided_as_any_other(
    machine: ConfigurationMachine, changes: dict[str, Any]
) -> None:
    order = command(5, 7, **changes)
    reviewed, plain = machine.prepare(order), machine.decide(order)
    assert reviewed is not None and (reviewed.reply, reviewed.update) == (plain.reply, plain.update)
    machine.provide_review(reviewed)
    with patch.object(orders, "review", side_effect=AssertionError("reviewed twice")):
        assert machine.decide(order) == plain
    assert machine.version == 5


def test_what_was_prepared_on_another_state_is_not_used(machine: ConfigurationMachine) -> None:
    order = command(5, 7)
    reviewed = machine.prepare(order)
    assert reviewed is not None
    assert send(machine, "PUT", "5", document(6)).status == 200
    machine.provide_review(reviewed)
    assert decode_message(machine.decide(order).reply, OrderReply).status == 412


def test_what_was_prepared_is_of_that_order_only(machine: ConfigurationMachine) -> None:
    reviewed = machine.prepare(command(5, 7))
    assert reviewed is not None
    machine.provide_review(reviewed)
    assert decode_message(machine.decide(command(5, 9)).reply, OrderReply).version == 9


def test_nothing_is_prepared_for_what_needs_no_review(machine: ConfigurationMachine) -> None:
    assert machine.prepare(command(4, 7)) is None
    assert machine.prepare(b"spoilt") is None
    assert send(machine, "PUT", "5", document(6)).status == 200
    assert machine.prepare(encode(Order("PUT", "5", compact(document(6)).encode()))) is None


def test_threads_do_not_share_what_they_check(machine: ConfigurationMachine) -> None:
    """One thread reviews a valid order while the other refuses invalid ones."""
    valid, found = command(5, 7, 2000), []
    thread = threading.Thread(target=lambda: found.append(machine.prepare(valid)))
    thread.start()
    invalid = document(7, 30)
    invalid["route-table"][11]["timeout-ms"] = "x"
    refused = 0
    while thread.is_alive() or not refused:
        assert send(machine, "PUT", "5", invalid).status == 400
        refused += 1
    assert found[0] is not None and found[0].update is not None


@attrs.define
class Chain:
    """A chain of one replica in this event loop."""

    role: ReplicaRole
    sent: list[tuple[str, object]]

    async def until(self, condition: Any) -> None:
        async with asyncio.timeout(20):
            while not condition():
                self.role.tick(asyncio.get_running_loop().time())
                await asyncio.sleep(0.01)

    def answers(self) -> list[HeadAnswer]:
        return [message for _, message in self.sent if isinstance(message, HeadAnswer)]


def chain_of_one(directory: Path) -> Chain:
    store = ReplicaStore.open(directory, DISK_BYTES)
    stored = store.load()
    me = Member(stored.identity, "10.0.0.1", "one", "a")
    view = View(GENESIS_EPOCH, (me,), (), ())
    meta = Meta(view=encode_view(view), view_epoch=GENESIS_EPOCH, settled=True)
    bounds = SimpleNamespace(connectivity_s=3.0)
    settings: Any = SimpleNamespace(ip=me.ip, name=me.name, zone=me.zone, tolerated_machines=0, bounds=bounds)
    sent: list[tuple[str, object]] = []
    ports = RolePorts(
        lambda ip, message: sent.append((ip, message)),
        lambda _: None,
        lambda *_, **__: None,
        lambda *_, **__: None,
    )
    role = ReplicaRole(settings, store, attrs.evolve(stored, meta=meta), ports, Random(1))
    role.start(asyncio.get_running_loop().time())
    return Chain(role, sent)


@pytest.fixture
def reviewers() -> Iterator[list[str]]:
    """Records the names of the threads that review orders."""
    names: list[str] = []
    original = orders.review

    def recording_review(*arguments: Any) -> Any:
        names.append(threading.current_thread().name)
        return original(*arguments)

    with patch.object(orders, "review", recording_review):
        yield names


def test_the_loop_goes_on_while_a_long_order_is_reviewed(tmp_path: Path, reviewers: list[str]) -> None:
    async def run() -> None:
        chain = chain_of_one(tmp_path)
        loop = asyncio.get_running_loop()
        await chain.until(lambda: chain.role.replica.lease_until is not None)
        long, short = command(0, 5), command(5, 7, 2)
        assert len(long) >= THREADED_REVIEW_BYTES > len(short)
        for ticket in (1, 1, 2):
            chain.role.handle_call(loop.time(), PROXY, HeadCall(ticket, CallKind.ORDER.value, long))
        await chain.until(lambda: len(chain.answers()) == 2)
        chain.role.handle_call(loop.time(), PROXY, HeadCall(3, CallKind.ORDER.value, short))
        await chain.until(lambda: len(chain.answers()) == 3)
        chain.role.close()
        replies = [decode_message(answer.reply, OrderReply) for answer in chain.answers()]
        assert [(reply.status, reply.version) for reply in replies] == [(200, 5), (200, 5), (200, 7)]

    asyncio.run(run())
    assert len(reviewers) == 2
    assert reviewers[0].startswith("review")
    assert reviewers[1] == threading.main_thread().name
