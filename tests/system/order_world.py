"""Operators, proxies and the chain in one seeded world: real orders, from an operator's call to its answer.

Each machine with a disk has a replica of the configuration with its desk; proxies take the operators' calls
and forward them, as their processes do. Processes end and start again, links are cut, answers are lost.
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
    Finished,
    Forwarder,
    HeadAnswer,
    HeadCall,
    Kind,
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
from cloverrouter.control.updates import decoded, decoded_update
from cloverrouter.coordination.effects import Answer, Committed, Effect, StateMachine
from cloverrouter.daemon.head_desk import HeadDesk
from cloverrouter.messages import encode
from cloverrouter.messages.sending import Send
from tests.system.configurations import document
from tests.system.replica_world import Invariants, Node, Violation, World

PROXY_TICK_S = 0.05
NOTICE_S = 0.3
DIGEST_WITH_VERSION = 24
CLIENT_ERRORS = range(400, 500)


class OrderLedger(Invariants):
    """The orders are known by their digests."""

    def order_of(self, update: bytes) -> str:
        return decoded_update(update).digest.hex()

    def orders_of(self, state: bytes) -> dict[str, int]:
        """The newest digests, numbered as far as the updates before them are known."""
        return {}

    def state(self, seq: int, state: bytes) -> None:
        known = self.states.setdefault(seq, state)
        if known != state:
            raise Violation(f"state {seq} differs between two replicas")


@attrs.define(eq=False)
class Call:
    """A call of an operator at one proxy, or a read."""

    done: Callable[[bytes | None], None]


class Proxy:
    """One process that takes the operators' calls."""

    def __init__(self, world: OrderWorld, ip: str) -> None:
        self.world = world
        self.ip = ip
        self.life = 0
        self.runs = False
        self.start()

    def start(self) -> None:
        """A process, with nothing of the one before."""
        self.life += 1
        self.runs = True
        self._forwarder = Forwarder()
        self._tickets: Iterator[int] = count(first_ticket(Random(self.world.random.random())))
        self._calls: dict[int, Call] = {}
        self._view = (0, False)
        self._tick(self.life)

    def kill(self) -> None:
        """Whoever called hears nothing."""
        self.life += 1
        self.runs = False

    def _tick(self, life: int) -> None:
        if life == self.life and self.runs:
            self._carry_out(self._forwarder.tick(self.world.now))
            self.world.at(self.world.now + PROXY_TICK_S, lambda: self._tick(life))

    def order(self, order: Order, done: Callable[[OrderReply | None], None]) -> None:
        """An operator's order; None: it is left without an answer."""

        def on_reply(reply: bytes | None) -> None:
            done(None if reply is None else decoded(reply, OrderReply))

        self._ask(Kind.ORDER, encode(order), on_reply)

    def read(self, done: Callable[[dict[str, Any] | None], None]) -> None:
        """The configuration as an operator reads it."""

        def on_reply(reply: bytes | None) -> None:
            done(None if reply is None else json.loads(decoded(reply, MachineSnapshot).document or b"{}"))

        self._ask(Kind.READ, b"", on_reply)

    def _ask(self, kind: Kind, command: bytes, done: Callable[[bytes | None], None]) -> None:
        if not self.runs:
            return
        ticket = next(self._tickets)
        self._calls[ticket] = Call(done)
        self._carry_out(self._forwarder.ask(self.world.now, ticket, kind, command))

    def answered(self, answer: HeadAnswer) -> None:
        """The head's answer has come."""
        if self.runs:
            self._carry_out(self._forwarder.answered(self.world.now, answer))

    def view_told(self, epoch: int, active: bool, head_ip: str | None) -> None:
        """A replica tells its view."""
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
    """Replicas of the configuration, and proxies. Clients call proxies, not replicas."""

    def __init__(self, seed: int, count: int, tolerance: int, proxies: int = 3, **options: Any) -> None:
        self.desks: dict[str, tuple[int, HeadDesk]] = {}
        self.proxies: list[Proxy] = []
        self.documents: dict[int, bytes] = {}  # committed, by version
        self.versions: dict[str, int] = {}  # of the orders that were committed, by digest
        super().__init__(seed, count, tolerance, **options)
        self.proxies = [Proxy(self, f"10.9.0.{number + 1}") for number in range(proxies)]
        self._tell_views()

    def new_machine(self) -> StateMachine:
        return ConfigurationMachine()

    def new_invariants(self) -> Invariants:
        return OrderLedger()

    # -- messages --

    def send(self, from_ip: str, to_ip: str, message: object) -> None:
        """Send between a proxy and a replica, or two proxies."""
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
        self._when_awake(node, lambda: list(self._desk(node).called(self.now, from_ip, call)))

    def _desk(self, node: Node) -> HeadDesk:
        """The desk of a node's process."""
        life, desk = self.desks.get(node.ip, (0, None))
        if desk is None or life != node.life:
            assert node.replica is not None
            desk = HeadDesk(node.replica, lambda ip, message: self.send(node.ip, ip, message))
            self.desks[node.ip] = (node.life, desk)
        return desk

    def carry_out(self, node: Node, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Answer) and node.replica is not None:
                self._desk(node).answered(effect)
            else:
                super().carry_out(node, (effect,))

    def _tell_views(self) -> None:
        for node in self.running():
            view = node.replica.view_info if node.replica is not None else None
            if view is not None:
                for proxy in self.proxies:
                    self._tell_view(node, proxy, view.epoch, view.active, view.head_ip)
        self.at(self.now + NOTICE_S, self._tell_views)

    def _tell_view(self, node: Node, proxy: Proxy, epoch: int, active: bool, head_ip: str | None) -> None:
        def tell() -> None:
            if (node.ip, proxy.ip) not in self.cuts:
                proxy.view_told(epoch, active, head_ip)

        self.at(self.now + self.random.uniform(0.0008, 0.0015), tell)

    # -- what is committed --

    def _on_committed(self, node: Node, effect: Committed) -> None:
        super()._on_committed(node, effect)
        update = decoded_update(effect.update)
        digest, known = update.digest.hex(), self.versions.get(update.digest.hex())
        if known not in (None, update.version):
            raise Violation(f"one order brought versions {known} and {update.version}")
        self.versions[digest] = update.version
        content = self.documents.setdefault(update.version, effect.update)
        if content != effect.update:
            raise Violation(f"version {update.version} has two contents")


class Operators:
    """All that the operators were told: what holds for any two of them.

    - Of all orders on one version at most one is acknowledged.
    - What is acknowledged is committed, under the number that was told.
    - An order that was taken is not refused, whoever asks whom and how often.
    - A read tells nothing older than what was acknowledged before it began.
    """

    def __init__(self, world: OrderWorld) -> None:
        self.world = world
        self.winners: dict[str, bytes] = {}  # by base version
        self.acknowledged = 0
        self.refusals = 0

    def order(
        self, proxy: Proxy, order: Order, done: Callable[[OrderReply | None], None] = lambda _: None
    ) -> None:
        """Send an order to a proxy."""
        proxy.order(order, partial(self._judged, order, done))

    def _judged(
        self, order: Order, done: Callable[[OrderReply | None], None], reply: OrderReply | None
    ) -> None:
        if reply is not None and reply.status == 200:
            self._acknowledged(order, reply)
        elif reply is not None and reply.status in CLIENT_ERRORS:
            self._refused(order, reply)
        done(reply)

    def _acknowledged(self, order: Order, reply: OrderReply) -> None:
        digest = order_digest(order)
        version = json.loads(reply.body)["version"]
        if self.winners.setdefault(order.if_match or "", digest) != digest:
            raise Violation(f"two orders on version {order.if_match} are acknowledged")
        if self.world.versions.get(digest.hex()) != version:
            raise Violation(f"an order is acknowledged as version {version}, which is not what it brought")
        if version != json.loads(order.body)["version"]:
            raise Violation(f"an order is acknowledged as version {version}, which it does not have")
        self.acknowledged = max(self.acknowledged, version)

    def _refused(self, order: Order, reply: OrderReply) -> None:
        self.refusals += 1
        taken = self.world.versions.get(order_digest(order).hex())
        if taken is not None:
            raise Violation(f"the order that brought version {taken} is refused with {reply.status}")

    def read(self, proxy: Proxy, done: Callable[[dict[str, Any] | None], None]) -> None:
        """Read the configuration at a proxy."""
        least = self.acknowledged

        def judged(found: dict[str, Any] | None) -> None:
            if found is not None and found.get("version", 0) < least:
                raise Violation(f"a read tells {found.get('version')}, and {least} was acknowledged before")
            done(found)

        proxy.read(judged)


@attrs.define(eq=False)
class Operator:
    """Sends one order after another on top of what it knows; each again, to any proxy, until it is told."""

    operators: Operators
    name: str
    pause_s: float = 0.1
    patience_s: float = 1.0
    lost: float = 0.0  # share of answers that don't reach it
    stopped: bool = False
    known: int = 0  # version
    taken: list[Order] = attrs.Factory(list)
    _tries: int = 0

    def __attrs_post_init__(self) -> None:
        self._next()

    @property
    def world(self) -> OrderWorld:
        return self.operators.world

    def _next(self) -> None:
        if not self.stopped:
            self._send(self._draw())

    def _draw(self) -> Order:
        """A change of its own on top of the version that it knows, or, now and then, one taken long ago."""
        random = self.world.random
        if self.taken and random.random() < 0.2:
            return random.choice(self.taken)
        version = self.known + random.randint(1, 3)
        content = document(version, operator=f"{self.name}-{version}-{random.random()}")
        return Order("PUT", str(self.known), compact(content).encode())

    def _send(self, order: Order) -> None:
        self._tries += 1
        number = self._tries
        proxy = self.world.random.choice(self.world.proxies)
        self.operators.order(proxy, order, lambda reply: self._heard(number, order, reply))
        self.world.at(self.world.now + self.patience_s, lambda: self._again(number, order))

    def _again(self, number: int, order: Order) -> None:
        if number == self._tries:
            self._send(order)

    def _heard(self, number: int, order: Order, reply: OrderReply | None) -> None:
        if number != self._tries or self.world.random.random() < self.lost:
            return
        if reply is None:
            self._send(order)
            return
        self._tries += 1
        if reply.status == 200 and order not in self.taken:
            self.taken.append(order)
        self.known = max(self.known, reply.version)
        self.world.at(self.world.now + self.world.random.expovariate(1 / self.pause_s), self._next)
