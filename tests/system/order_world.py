"""A seeded simulation of operators, proxies and the replica chain, with real orders.

Each machine with a disk has a replica of the configuration and a `HeadCalls`. Proxies receive the operators'
calls and forward them, as their processes do. Processes end and restart, links are cut, answers are lost.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from itertools import count
from random import Random
from typing import Any

import attrs

from cloverrouter.control.document import compact
from cloverrouter.control.forwarding import (
    CallKind,
    Finished,
    Forwarder,
    HeadAnswer,
    HeadCall,
    SendCall,
    first_ticket,
)
from cloverrouter.control.orders import (
    ConfigurationMachine,
    MachineSnapshot,
    Order,
    OrderReply,
    order_digest,
)
from cloverrouter.control.updates import decode_message, decode_update
from cloverrouter.coordination.effects import Answer, Committed, Effect, StateMachine
from cloverrouter.daemon.head_calls import HeadCalls
from cloverrouter.messages import encode
from cloverrouter.messages.sending import Send
from tests.system.configurations import document
from tests.system.replica_world import Invariants, Node, Violation, World

PROXY_TICK_S = 0.05
VIEW_INTERVAL_S = 0.3
DIGEST_WITH_VERSION_BYTES = 24
CLIENT_ERRORS = range(400, 500)


class OrderLedger(Invariants):
    """A ledger that identifies orders by their digests."""

    def order_of(self, update: bytes) -> str:
        return decode_update(update).digest.hex()

    def orders_of(self, state: bytes) -> dict[str, int]:
        """Returns nothing: a snapshot has only the newest digests, so they are not compared."""
        return {}

    def state(self, seq: int, state: bytes) -> None:
        known = self.states.setdefault(seq, state)
        if known != state:
            raise Violation(f"state {seq} differs between two replicas")


@attrs.define(eq=False)
class Call:
    """An order or a read of an operator at one proxy."""

    done: Callable[[bytes | None], None]


class Proxy:
    """A proxy process that receives the operators' calls."""

    def __init__(self, world: OrderWorld, ip: str) -> None:
        self.world = world
        self.ip = ip
        self.life = 0
        self.runs = False
        self.start()

    def start(self) -> None:
        """Starts a process without any state of the previous one."""
        self.life += 1
        self.runs = True
        self._forwarder = Forwarder()
        self._tickets: Iterator[int] = count(first_ticket(Random(self.world.random.random())))
        self._calls: dict[int, Call] = {}
        self._view = (0, False)
        self._tick(self.life)

    def kill(self) -> None:
        """Ends the process. Pending calls get no answer."""
        self.life += 1
        self.runs = False

    def _tick(self, life: int) -> None:
        if life == self.life and self.runs:
            self._carry_out(self._forwarder.tick(self.world.now))
            self.world.at(self.world.now + PROXY_TICK_S, lambda: self._tick(life))

    def order(self, order: Order, done: Callable[[OrderReply | None], None]) -> None:
        """Forwards an operator's order. `done` gets the reply, or None if there is no answer."""

        def on_reply(reply: bytes | None) -> None:
            done(None if reply is None else decode_message(reply, OrderReply))

        self._ask(CallKind.ORDER, encode(order), on_reply)

    def read(self, done: Callable[[dict[str, Any] | None], None]) -> None:
        """Reads the configuration. `done` gets the document, or None if there is no answer."""

        def on_reply(data: bytes | None) -> None:
            done(
                None if data is None else json.loads(decode_message(data, MachineSnapshot).document or b"{}"),
            )

        self._ask(CallKind.READ, b"", on_reply)

    def _ask(self, kind: CallKind, command: bytes, done: Callable[[bytes | None], None]) -> None:
        if not self.runs:
            return
        ticket = next(self._tickets)
        self._calls[ticket] = Call(done)
        self._carry_out(self._forwarder.submit(self.world.now, ticket, kind, command))

    def answered(self, answer: HeadAnswer) -> None:
        """Handles an answer of the head."""
        if self.runs:
            self._carry_out(self._forwarder.handle_answer(self.world.now, answer))

    def receive_view(self, epoch: int, active: bool, head_ip: str | None) -> None:
        """Handles a view notice from a replica. Older views are ignored."""
        if self.runs and (epoch, active) >= self._view:
            self._view = (epoch, active)
            self._carry_out(self._forwarder.head_changed(self.world.now, head_ip if active else None))

    def _carry_out(self, effects: Iterable[SendCall | Finished]) -> None:
        for effect in effects:
            if isinstance(effect, SendCall):
                self.world.send(self.ip, effect.ip, effect.call)
            else:
                call = self._calls.pop(effect.ticket, None)
                if call is not None:
                    call.done(effect.reply)


class OrderWorld(World):
    """Replicas of the configuration, and proxies. Operators call proxies, not replicas."""

    def __init__(self, seed: int, count: int, tolerance: int, proxies: int = 3, **options: Any) -> None:
        self.desks: dict[str, tuple[int, HeadCalls]] = {}
        self.proxies: list[Proxy] = []
        self.documents: dict[int, bytes] = {}  # committed, by version
        self.versions: dict[str, int] = {}  # of the orders that were committed, by digest
        super().__init__(seed, count, tolerance, **options)
        self.proxies = [Proxy(self, f"10.9.0.{number + 1}") for number in range(proxies)]
        self._send_views()

    def new_machine(self) -> StateMachine:
        return ConfigurationMachine()

    def new_invariants(self) -> Invariants:
        return OrderLedger()

    # -- messages --

    def send(self, from_ip: str, to_ip: str, message: object) -> None:
        """Sends a message between a proxy and a replica, or between two proxies."""
        self._send(from_ip, Send(to_ip, message))

    def _deliver(self, from_ip: str, to_ip: str, message: object) -> None:
        if (from_ip, to_ip) in self.cuts:
            return
        if isinstance(message, HeadAnswer):
            for proxy in self.proxies:
                if proxy.ip == to_ip:
                    proxy.answered(message)
        elif isinstance(message, HeadCall):
            for node in self.nodes:
                if node.ip == to_ip and node.replica is not None:
                    self._hand_call(node, from_ip, message)
        else:
            super()._deliver(from_ip, to_ip, message)

    def _hand_call(self, node: Node, from_ip: str, call: HeadCall) -> None:
        self._when_awake(node, lambda: list(self._desk(node).handle_call(self.now, from_ip, call)))

    def _desk(self, node: Node) -> HeadCalls:
        """Returns the `HeadCalls` of a node's current process."""
        life, desk = self.desks.get(node.ip, (0, None))
        if desk is None or life != node.life:
            assert node.replica is not None
            desk = HeadCalls(node.replica, lambda ip, message: self.send(node.ip, ip, message))
            self.desks[node.ip] = (node.life, desk)
        return desk

    def carry_out(self, node: Node, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Answer) and node.replica is not None:
                self._desk(node).deliver_answer(effect)
            else:
                super().carry_out(node, (effect,))

    def _send_views(self) -> None:
        for node in self.running():
            view = node.replica.view_info if node.replica is not None else None
            if view is not None:
                for proxy in self.proxies:
                    self._send_view(node, proxy, view.epoch, view.active, view.head_ip)
        self.at(self.now + VIEW_INTERVAL_S, self._send_views)

    def _send_view(self, node: Node, proxy: Proxy, epoch: int, active: bool, head_ip: str | None) -> None:
        def deliver() -> None:
            if (node.ip, proxy.ip) not in self.cuts:
                proxy.receive_view(epoch, active, head_ip)

        self.at(self.now + self.random.uniform(0.0008, 0.0015), deliver)

    # -- what is committed --

    def _on_committed(self, node: Node, effect: Committed) -> None:
        super()._on_committed(node, effect)
        update = decode_update(effect.update)
        digest, known = update.digest.hex(), self.versions.get(update.digest.hex())
        if known not in (None, update.version):
            raise Violation(f"one order led to two versions, {known} and {update.version}")
        self.versions[digest] = update.version
        content = self.documents.setdefault(update.version, effect.update)
        if content != effect.update:
            raise Violation(f"version {update.version} was committed with two contents")


class Operators:
    """Sends the orders and reads of all operators and checks the replies. Invariants:

    - Of all orders on one base version at most one is acknowledged.
    - An acknowledged order is committed, with the version in the reply.
    - An order that was accepted is never refused, no matter who resends it to which proxy and how often.
    - A read returns no version older than one that was acknowledged before the read began.
    """

    def __init__(self, world: OrderWorld) -> None:
        self.world = world
        self.winners: dict[str, bytes] = {}  # by base version
        self.acknowledged = 0
        self.refusals = 0

    def order(
        self, proxy: Proxy, order: Order, done: Callable[[OrderReply | None], None] = lambda _: None
    ) -> None:
        """Sends an order to a proxy."""
        proxy.order(order, partial(self._check_reply, order, done))

    def _check_reply(
        self, order: Order, done: Callable[[OrderReply | None], None], reply: OrderReply | None
    ) -> None:
        if reply is not None and reply.status == 200:
            self._check_acknowledged(order, reply)
        elif reply is not None and reply.status in CLIENT_ERRORS:
            self._check_refused(order, reply)
        done(reply)

    def _check_acknowledged(self, order: Order, reply: OrderReply) -> None:
        digest = order_digest(order)
        version = json.loads(reply.body)["version"]
        if self.winners.setdefault(order.if_match or "", digest) != digest:
            raise Violation(f"two orders on version {order.if_match} are acknowledged")
        if self.world.versions.get(digest.hex()) != version:
            raise Violation(f"an order is acknowledged as version {version}, but was committed as another")
        if version != json.loads(order.body)["version"]:
            raise Violation(f"an order is acknowledged as version {version}, but its body has another")
        self.acknowledged = max(self.acknowledged, version)

    def _check_refused(self, order: Order, reply: OrderReply) -> None:
        self.refusals += 1
        committed = self.world.versions.get(order_digest(order).hex())
        if committed is not None:
            raise Violation(f"the order committed as version {committed} is refused with {reply.status}")

    def read(self, proxy: Proxy, done: Callable[[dict[str, Any] | None], None]) -> None:
        """Reads the configuration at a proxy."""
        minimum = self.acknowledged

        def check(found: dict[str, Any] | None) -> None:
            if found is not None and found.get("version", 0) < minimum:
                raise Violation(f"a read returns {found.get('version')} after {minimum} was acknowledged")
            done(found)

        proxy.read(check)


@attrs.define(eq=False)
class Operator:
    """Sends one order after another, based on the version that it knows.

    Each order is resent, to a random proxy, until it gets an answer.
    """

    operators: Operators
    name: str
    pause_s: float = 0.1
    retry_s: float = 1.0
    loss_rate: float = 0.0  # fraction of the answers that don't arrive
    stopped: bool = False
    known_version: int = 0
    accepted: list[Order] = attrs.Factory(list)
    _attempts: int = 0

    def __attrs_post_init__(self) -> None:
        self._next()

    @property
    def world(self) -> OrderWorld:
        return self.operators.world

    def _next(self) -> None:
        if not self.stopped:
            self._send(self._choose_order())

    def _choose_order(self) -> Order:
        """Returns a new order on the known version or, at times, one that was accepted earlier."""
        random = self.world.random
        if self.accepted and random.random() < 0.2:
            return random.choice(self.accepted)
        version = self.known_version + random.randint(1, 3)
        content = document(version, operator=f"{self.name}-{version}-{random.random()}")
        return Order("PUT", str(self.known_version), compact(content).encode())

    def _send(self, order: Order) -> None:
        self._attempts += 1
        attempt = self._attempts
        proxy = self.world.random.choice(self.world.proxies)
        self.operators.order(proxy, order, lambda reply: self._handle_reply(attempt, order, reply))
        self.world.at(self.world.now + self.retry_s, lambda: self._resend(attempt, order))

    def _resend(self, attempt: int, order: Order) -> None:
        if attempt == self._attempts:
            self._send(order)

    def _handle_reply(self, attempt: int, order: Order, reply: OrderReply | None) -> None:
        if attempt != self._attempts or self.world.random.random() < self.loss_rate:
            return
        if reply is None:
            self._send(order)
            return
        self._attempts += 1
        if reply.status == 200 and order not in self.accepted:
            self.accepted.append(order)
        self.known_version = max(self.known_version, reply.version)
        self.world.at(self.world.now + self.world.random.expovariate(1 / self.pause_s), self._next)
