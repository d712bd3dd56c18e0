"""The scopes `orders` and `orders-large`: the orders that operators send, and seeded faults."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from typing import Any

from cloverrouter.control import forwarding, orders
from cloverrouter.control.forwarding import Finished, Forwarder, HeadAnswer
from cloverrouter.control.orders import ConfigurationMachine, MachineSnapshot, Order
from cloverrouter.control.updates import decode_message
from cloverrouter.coordination.effects import Answer, Decision, Outcome
from cloverrouter.coordination.head import Head
from cloverrouter.explore.coordination.orders_model import (
    INVARIANTS,
    OrdersScope,
    OrdersWorld,
    WantedOrder,
    patched_limits,
)
from cloverrouter.explore.coordination.scope import ModelFault, ModelScope, seeded
from cloverrouter.explore.coordination.search import Limits
from cloverrouter.explore.coordination.world_model import WorldModel, notes_of
from cloverrouter.messages import encode

SCOPE = "orders"
LARGE = "orders-large"


def _put(name: str, base: int, version: int, prefix: str, after: str | None = None) -> WantedOrder:
    route = {"name": "r", "hostname": "h", "path-prefix": prefix, "backend": "s"}
    document = {"version": version, "route-table": [route], "backends": [{"name": "s"}]}
    return WantedOrder(name, Order("PUT", str(base), json.dumps(document).encode()), after)


def _patch(name: str, base: int, version: int, after: str | None = None) -> WantedOrder:
    patched = {"version": version, "upsert": {"backends": [{"name": f"s{version}"}]}}
    return WantedOrder(name, Order("PATCH", str(base), json.dumps(patched).encode()), after)


FIRST = _put("A", 0, 1, "/a/")
RIVAL = _put("B", 0, 1, "/b/")
SAME = _put("A'", 0, 1, "/a/")
NEXT = _patch("C", 1, 3, after="A")
LAST = _patch("D", 3, 4, after="C")

SMALL_WORLDS = {
    "two operators race over one proxy": OrdersScope((FIRST, RIVAL), proxies=("p1",)),
    "two operators send the same bytes": OrdersScope((FIRST, SAME), proxies=("p1",)),
    "one operator, two proxies, and a read": OrdersScope((FIRST,), reads=True),
    "three changes, and one is known again": OrdersScope(
        (FIRST, NEXT, LAST), proxies=("p1",), max_remembered=1
    ),
}
LARGE_WORLDS = {
    "two operators race over two proxies, and one goes on": OrdersScope((FIRST, RIVAL, NEXT), reads=True),
    **SMALL_WORLDS,
}


class OrdersModel(WorldModel[OrdersWorld]):
    """The model that starts from the given worlds."""

    def __init__(self, worlds: dict[str, OrdersScope]) -> None:
        first = {name: _world(scope) for name, scope in worlds.items()}
        super().__init__(first, lambda world: patched_limits(world.scope))


def _world(scope: OrdersScope) -> Callable[[], OrdersWorld]:
    return lambda: OrdersWorld(scope)


# -- faults --


def _digest_without_body(order: Order) -> bytes:
    return hashlib.sha256(f"{order.method} {order.if_match}".encode()).digest()[: orders.DIGEST_BYTES]


_snapshot = ConfigurationMachine.snapshot


def _snapshot_without_orders(self: ConfigurationMachine) -> bytes:
    whole = decode_message(_snapshot(self), MachineSnapshot)
    return encode(MachineSnapshot(whole.version, whole.document, b""))


_decide = ConfigurationMachine.decide


def _version_first(self: ConfigurationMachine, command: bytes) -> Decision:
    refusal = self._refusal(decode_message(command, Order))
    return Decision(refusal, None) if refusal is not None else _decide(self, command)


def _remember_oldest(self: ConfigurationMachine, digest: bytes, version: int) -> None:
    if len(self._accepted) < orders.MAX_REMEMBERED_ORDERS:
        self._accepted[digest] = version


_decide_at_head = Head._decide


def _answer_at_once(self: Head, now: float, ticket: int, command: bytes) -> None:
    decision = self._context.history.decide(command)
    if decision.update is None:
        self._context.effects.append(Answer(ticket, Outcome.DONE, decision.reply))
        return
    _decide_at_head(self, now, ticket, command)


_answer_reads = Head.answer_reads


def _answer_unconfirmed(self: Head) -> None:
    for entry in self._pending.reads:
        entry.round = 0
    _answer_reads(self)


def _done_when_stored_here(self: Head, now: float, ticket: int, command: bytes) -> None:
    _decide_at_head(self, now, ticket, command)
    flying = self._pending.uncommitted
    if flying and flying[-1].ticket == ticket:
        done = flying.pop()
        self._context.effects.append(Answer(ticket, Outcome.DONE, done.reply, done.seq))


def _take_not_now_as_final(self: Forwarder, now: float, answer: HeadAnswer) -> list[Any]:
    if answer.ticket not in self._pending:
        return []
    del self._pending[answer.ticket]
    return [Finished(answer.ticket, answer.reply)]


FAULTS = {
    "tickets-from-one": ModelFault(
        "a proxy numbers its calls from one after each restart",
        ("lost", "mixed", "refused"), SCOPE, seeded(forwarding, "first_ticket", lambda random: 1),
    ),
    "digest-without-body": ModelFault(
        "a repeated order is recognised by its method and base version alone",
        ("lost",), SCOPE, seeded(orders, "order_digest", _digest_without_body),
    ),
    "whole-state-without-orders": ModelFault(
        "a snapshot lacks the accepted orders",
        ("refused",), SCOPE, seeded(ConfigurationMachine, "snapshot", _snapshot_without_orders),
    ),
    "version-before-order": ModelFault(
        "the base version is checked before a repeated order is recognised",
        ("refused",), SCOPE, seeded(ConfigurationMachine, "decide", _version_first),
    ),
    "remembers-the-oldest": ModelFault(
        "a full memory of accepted orders keeps the oldest ones",
        ("refused",), SCOPE, seeded(ConfigurationMachine, "_remember", _remember_oldest),
    ),
    "known-order-at-once": ModelFault(
        "an answer without a change does not wait for the commit of the state it is based on",
        ("lost", "refused"), SCOPE, seeded(Head, "_decide", _answer_at_once),
    ),
    "reads-without-contact": ModelFault(
        "a head answers reads without a confirmation by a majority",
        ("stale", "lost", "refused"), SCOPE, seeded(Head, "answer_reads", _answer_unconfirmed),
    ),
    "confirmed-by-one-disk": ModelFault(
        "an order is confirmed once the head alone has stored it",
        ("lost",), SCOPE, seeded(Head, "_decide", _done_when_stored_here),
    ),
    "not-now-is-an-end": ModelFault(
        "a proxy treats 'not now' as the final answer",
        ("mixed",), SCOPE, seeded(Forwarder, "handle_answer", _take_not_now_as_final),
    ),
}  # fmt: skip

SCOPES = {
    SCOPE: ModelScope(
        "operators, proxies and the head: orders with lost answers during a change of head",
        lambda: OrdersModel(SMALL_WORLDS), Limits(deviations=1, seconds=120.0), FAULTS, notes_of, INVARIANTS,
    ),
    LARGE: ModelScope(
        "as `orders`, with a race over two proxies and a change based on the winner",
        lambda: OrdersModel(LARGE_WORLDS), Limits(deviations=2, seconds=600.0), {}, notes_of, INVARIANTS,
    ),
}  # fmt: skip
