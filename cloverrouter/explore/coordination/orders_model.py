"""Model of operators' orders from a proxy to the head and back.

Shipped code: `ConfigurationMachine`, `Forwarder`, `HeadCalls`, and of the chain `History`, `PendingCalls` and
the command handling of `Head`. Modelled: operators, who retry at any proxy when they get no answer; the
network, which delays, loses and reorders messages; and the chain, reduced to the behaviour that its own model
verifies: one replica leads and alone commits updates in order; another one takes over with all committed
updates, and with or without uncommitted ones; the previous head believes for a while that it still leads.
"""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from functools import lru_cache
from random import Random
from typing import Any
from unittest.mock import patch

import attrs
import xxhash

from cloverrouter.control import forwarding, orders
from cloverrouter.control.document import ConfigurationState, compact
from cloverrouter.control.forwarding import (
    FORWARD_TIMEOUT_S,
    RESEND_S,
    CallKind,
    Finished,
    Forwarder,
    HeadAnswer,
    HeadCall,
    SendCall,
)
from cloverrouter.control.orders import ConfigurationMachine, MachineSnapshot, Order, OrderReply, OrderStatus
from cloverrouter.control.updates import (
    ConfigurationPatched,
    ConfigurationReplaced,
    decode_message,
    decode_update,
)
from cloverrouter.coordination.effects import Answer, Effect, ReplicaConfig
from cloverrouter.coordination.head import Head
from cloverrouter.coordination.history import History
from cloverrouter.coordination.pending_calls import PendingCalls
from cloverrouter.coordination.replica import Replica
from cloverrouter.coordination.views import Member, View
from cloverrouter.daemon.head_calls import HeadCalls
from cloverrouter.explore.coordination.copies import Canonicalizer, Immutable, digest
from cloverrouter.explore.coordination.network import Network
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.world_model import World, move
from cloverrouter.messages import Decoder, encode

INVARIANTS = {
    "lost": "a confirmed order is in the configuration with the content that was sent",
    "refused": "an accepted order is never refused when it is sent again, at any time and proxy",
    "race": "of two changes based on one version only one is accepted; versions increase",
    "stale": "a configuration that is read is committed, and not older than any confirmed before the read",
    "mixed": "each call gets the answer to that call",
}
READ = "read"


@attrs.frozen(slots=True)
class WantedOrder:
    """An order that an operator sends, after the order named by `after` is confirmed."""

    name: str
    order: Order
    after: str | None = None


@attrs.frozen(slots=True)
class OrdersScope:
    """The size of a world."""

    orders: tuple[WantedOrder, ...]
    proxies: tuple[str, ...] = ("p1", "p2")
    replicas: tuple[str, ...] = ("r1", "r2")
    reads: bool = False
    max_remembered: int = 2
    """Number of accepted orders that are remembered, so that a repeated one is recognised."""


@contextmanager
def patched_limits(scope: OrdersScope) -> Iterator[None]:
    """Limits the number of remembered orders, so that a few orders exceed it."""
    with patch.object(orders, "MAX_REMEMBERED_ORDERS", scope.max_remembered):
        yield


class _Disk(Immutable):
    """A disk on which every write completes immediately."""

    state_bytes = 0

    def append(self, seq: int, update: bytes) -> None:
        """Does nothing: the update counts as stored."""

    def set_meta_later(self, now: float, **facts: Any) -> None:
        """Does nothing: the metadata counts as stored."""


class _Rounds:
    """Heartbeat rounds, which a move of the world confirms."""

    def __init__(self) -> None:
        self.newest = 0
        self.confirmed = 0


@attrs.define(slots=True)
class _Context:
    """The part of a replica's context that the command handling of `Head` uses."""

    me: Member
    history: History
    config: ReplicaConfig
    disk: _Disk
    effects: list[Effect] = attrs.Factory(list)


class _LoneHead(Head):
    """The command handling of `Head`; the world models the other chain members."""

    def __init__(self, context: _Context, desk: PendingCalls) -> None:
        self.view = View(1, (context.me,), (context.me.identity,), ())
        self.active = True
        self._context = context  # type: ignore[assignment]
        self._pending = desk
        self.rounds = _Rounds()  # type: ignore[assignment]
        desk.reset_rounds()

    def start_round(self, now: float) -> int:
        self.rounds.newest += 1
        return self.rounds.newest

    def committed(self, seq: int) -> None:
        """Commits all updates up to `seq`, which the chain has stored."""
        self._commit(0.0, seq)


class LeadingReplica(Replica):
    """A replica as `HeadCalls` uses it: accepts commands while it considers itself head."""

    def __init__(self, name: str) -> None:
        self._config = ReplicaConfig(tolerance=1)
        self.history = History(ConfigurationMachine())
        self._pending = PendingCalls()
        me = Member(name, name, name, "")
        self._context = _Context(me, self.history, self._config, _Disk())  # type: ignore[assignment]
        self._head: _LoneHead | None = None
        self._is_changing_view = False

    @property
    def leads(self) -> bool:
        """Whether the replica considers itself head."""
        return self._head is not None

    def take_over(self) -> list[Effect]:
        """Becomes head and commits everything that it has."""
        self._pending = PendingCalls()
        self._head = _LoneHead(self._context, self._pending)  # type: ignore[arg-type]
        return self.stored()

    def stored(self) -> list[Effect]:
        """Commits all updates, which the chain has stored."""
        assert self._head is not None
        self._head.committed(self.history.newest)
        return self._finish(0.0)

    def round_answered(self) -> list[Effect]:
        """Confirms the newest heartbeat round."""
        assert self._head is not None
        self._head.rounds.confirmed = self._head.rounds.newest
        return self._finish(0.0)

    @property
    def waits_for_round(self) -> bool:
        """Whether reads wait for a heartbeat round."""
        return self._head is not None and bool(self._pending.reads)

    def step_down(self) -> list[Effect]:
        """Stops being head and fails the pending calls."""
        self._head = None
        self._context.effects += self._pending.fail_all()
        return self._finish(0.0)

    def _finish(self, now: float) -> list[Effect]:
        head = self._head
        if head is not None:
            head.decide_queued(now)
            head.start_read_round(now)
            head.answer_reads()
        effects, self._context.effects = self._context.effects, []
        return effects


@attrs.define(slots=True)
class _Call:
    """An operator's pending call at a proxy."""

    name: str
    """Name of the order; `READ` for a read."""
    proxy: str
    ticket: int
    min_version: int = 0
    """For a read: the newest version that was confirmed before it was sent."""
    awaits_answer: bool = True
    """Whether the operator still waits for the answer."""


class _FixedRandomBits(Random):
    """Draws a fixed number, which is different for each process of a proxy."""

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self._number = number

    def getrandbits(self, bits: int, /) -> int:
        return self._number


@attrs.define(slots=True)
class _Proxy:
    """A proxy process; `life` counts its restarts."""

    name: str
    life: int
    clock: float = 0.0
    forwarder: Forwarder = attrs.Factory(Forwarder)
    tickets: Iterator[int] = attrs.Factory(
        lambda self: itertools.count(forwarding.first_ticket(_FixedRandomBits(self.life))), takes_self=True
    )
    head: str | None = None


@attrs.define(slots=True)
class _Machine:
    """The process of a machine with a disk."""

    name: str
    replica: LeadingReplica
    desk: HeadCalls


@attrs.define(slots=True)
class _Operator:
    """An operator's knowledge of its order."""

    confirmed: bool = False
    sent: int = 0


class OrdersWorld(World):
    """Operators, proxies, machines and their network; see the module."""

    def __init__(self, scope: OrdersScope) -> None:
        super().__init__()
        self.scope = scope
        self.wanted = {each.name: each for each in scope.orders}
        self.operators = {each.name: _Operator() for each in scope.orders}
        self.calls: list[_Call] = []
        self.network = Network()
        self.committed: list[bytes] = []
        self.refused: set[str] = set()
        self.newest_confirmed = 0
        self.has_read = False
        self.machines: dict[str, _Machine] = {}
        for name in scope.replicas:
            self._start_machine(name)
        self.leader = scope.replicas[0]
        self.proxies = {name: _Proxy(name, 0) for name in scope.proxies}
        self._carry_out(self.leader, self.machines[self.leader].replica.take_over())
        for name in scope.proxies:
            self.learn_head(name)

    def _start_machine(self, name: str) -> None:
        replica = LeadingReplica(name)
        self.machines[name] = _Machine(name, replica, HeadCalls(replica, _AnswerSender(self, name).send))
        for update in self.committed:
            replica.history.append(update)
        replica.history.commit(len(self.committed))

    # -- moves --

    def moves(self) -> Iterable[Action]:
        yield from self._operators_moves()
        yield from self.network.moves(self.deliver, self.lose)
        for proxy in self.proxies.values():
            yield from self._proxy_moves(proxy)
        yield from self._chain_moves()

    def _operators_moves(self) -> Iterable[Action]:
        for name, operator in self.operators.items():
            wanted = self.wanted[name]
            if wanted.after is not None and not self.operators[wanted.after].confirmed:
                continue
            if name in self.refused:
                continue
            awaits_answer = any(call.name == name and call.awaits_answer for call in self.calls)
            for proxy in self.proxies:
                text = f"order {name} is sent to {proxy}"
                if not operator.sent:
                    yield move(text, self.send_order, name, proxy)
                elif awaits_answer:
                    yield move(f"no answer in time: {text} again", self.send_order, name, proxy, cost=1)
                else:
                    yield move(f"{text} again", self.send_order, name, proxy, cost=1)
        if self.scope.reads and not self.has_read and self.newest_confirmed:
            for proxy in self.proxies:
                yield move(f"the configuration is asked for at {proxy}", self.send_read, proxy)

    def _proxy_moves(self, proxy: _Proxy) -> Iterable[Action]:
        name = proxy.name
        if proxy.head != self.leader:
            yield move(f"{name} hears that {self.leader} leads", self.learn_head, name)
        if proxy.forwarder._pending:
            yield move(f"{name} waits {RESEND_S:g} s", self.wait, name, RESEND_S, cost=1)
            yield move(f"{name} waits {FORWARD_TIMEOUT_S:g} s", self.wait, name, FORWARD_TIMEOUT_S, cost=1)
        yield move(f"{name} is killed and starts again", self.restart_proxy, name, cost=1)

    def _chain_moves(self) -> Iterable[Action]:
        leader = self.machines[self.leader].replica
        if leader.leads:
            if leader.history.newest > leader.history.committed:
                yield move(f"the chain has stored what {self.leader} passed on", self.store)
            if leader.waits_for_round:
                yield move(f"a majority answers {self.leader}", self.answer_round)
        for name, machine in self.machines.items():
            if name != self.leader and machine.replica.leads:
                yield move(f"{name} learns that it leads no more", self.step_down, name)
            if name != self.leader:
                for whole in (False, True):
                    how = "is handed the whole state" if whole else "has all updates"
                    yield move(f"{name} leads; it {how}", self.change_head, name, whole, False, cost=1)
                    if leader.history.newest > len(self.committed):
                        text = f"{name} leads; it {how}, also what isn't committed"
                        yield move(text, self.change_head, name, whole, True, cost=1)
            yield move(f"{name} is killed and starts again", self.restart_machine, name, cost=1)

    # -- operators --

    def send_order(self, name: str, proxy: str) -> None:
        """Sends an order to a proxy; the operator gives up on its earlier calls."""
        for call in self.calls:
            if call.name == name:
                call.awaits_answer = False
        operator = self.operators[name]
        operator.sent = min(operator.sent + 1, 1)
        self._submit(_Call(name, proxy, 0), CallKind.ORDER, encode(self.wanted[name].order))

    def send_read(self, proxy: str) -> None:
        """Sends a read of the configuration to a proxy."""
        self.has_read = True
        self._submit(_Call(READ, proxy, 0, self.newest_confirmed), CallKind.READ, b"")

    def _submit(self, call: _Call, kind: CallKind, command: bytes) -> None:
        proxy = self.proxies[call.proxy]
        call.ticket = next(proxy.tickets)
        self.calls.append(call)
        self._carry_out_forwarder(proxy, proxy.forwarder.submit(proxy.clock, call.ticket, kind, command))

    def _carry_out_forwarder(self, proxy: _Proxy, effects: Iterable[SendCall | Finished]) -> None:
        for effect in effects:
            if isinstance(effect, SendCall):
                self.send(proxy.name, effect.ip, effect.call)
            else:
                self._finished(proxy, effect)

    def _finished(self, proxy: _Proxy, ended: Finished) -> None:
        found = [each for each in self.calls if (each.proxy, each.ticket) == (proxy.name, ended.ticket)]
        for call in found:
            self.calls.remove(call)
            if ended.reply is not None:
                self._answered(call, ended.reply)

    def _answered(self, call: _Call, reply: bytes) -> None:
        try:
            if call.name == READ:
                self._read_answered(call, reply)
            else:
                self._order_answered(call, decode_message(reply, OrderReply))
        except Exception as error:
            self.require(False, "mixed", f"the answer to {call.name} can't be read: {error}")

    def _order_answered(self, call: _Call, reply: OrderReply) -> None:
        self.add_note(f"-> {call.name} is answered {reply.status} {reply.body.decode()}")
        committed_names = self._names_committed()
        if reply.status == OrderStatus.OK:
            self.require(
                call.name in committed_names, "lost", f"{call.name} was confirmed and is not in force"
            )
            version = self._version(call.name)
            reported_version = json.loads(reply.body).get("version")
            self.require(
                reported_version == version,
                "mixed",
                f"{call.name} was confirmed as {reported_version}, and is {version}",
            )
            self.newest_confirmed = max(self.newest_confirmed, version)
            if call.awaits_answer:
                self.operators[call.name].confirmed = True
        elif reply.status < OrderStatus.SERVICE_UNAVAILABLE:
            self.require(
                call.name not in committed_names, "refused", f"{call.name} is in force and was refused"
            )
            self.refused.add(call.name)

    def _read_answered(self, call: _Call, reply: bytes) -> None:
        found = decode_message(reply, MachineSnapshot)
        self.add_note(f"-> the read is answered version {found.version}")
        document = found.document or ConfigurationState().json()
        states = {state.version: state.json() for state in self._states()}
        self.require(states.get(found.version) == document, "stale", f"{found.version} was never committed")
        text = f"{found.version} was read after {call.min_version} was confirmed"
        self.require(found.version >= call.min_version, "stale", text)

    def _states(self) -> list[ConfigurationState]:
        machine = ConfigurationMachine()
        states = [machine.state]
        for update in self.committed:
            machine.apply(update)
            states.append(machine.state)
        return states

    # -- proxies and the network --

    def deliver(self, position: int) -> None:
        """Delivers a message."""
        envelope = self.network.remove(position)
        message = envelope.message
        if isinstance(message, HeadAnswer):
            proxy = self.proxies[envelope.target]
            self._carry_out_forwarder(proxy, proxy.forwarder.handle_answer(proxy.clock, message))
        elif isinstance(message, HeadCall):
            machine = self.machines[envelope.target]
            self._carry_out(envelope.target, machine.desk.handle_call(0.0, envelope.source, message))

    def send(self, source: str, target: str, message: HeadCall | HeadAnswer) -> None:
        """Sends a message."""
        self.network.send(source, target, message, self._describe(message))

    def _describe(self, message: HeadCall | HeadAnswer) -> str:
        if isinstance(message, HeadCall):
            return f"call {message.ticket} ({self._order_name(message)})"
        if not message.done:
            return f"'not now' to call {message.ticket}"
        reply = next(iter(Decoder().feed(message.reply)))
        content = (
            reply.body.decode() if isinstance(reply, OrderReply) else f"state {short_hash(message.reply)}"
        )
        return f"the answer to call {message.ticket} ({content})"

    def _order_name(self, call: HeadCall) -> str:
        names = (name for name, each in self.wanted.items() if encode(each.order) == call.command)
        return READ if call.kind == CallKind.READ.value else next(names)

    def lose(self, position: int) -> None:
        """Loses a message."""
        self.network.remove(position)

    def learn_head(self, name: str) -> None:
        """Notifies a proxy of the current head."""
        proxy = self.proxies[name]
        proxy.head = self.leader
        self._carry_out_forwarder(proxy, proxy.forwarder.head_changed(proxy.clock, self.leader))

    def wait(self, name: str, seconds: float) -> None:
        """Advances the clock of a proxy."""
        proxy = self.proxies[name]
        proxy.clock += seconds
        self._carry_out_forwarder(proxy, proxy.forwarder.tick(proxy.clock))

    def restart_proxy(self, name: str) -> None:
        """Restarts a proxy without its state; its callers get no answer."""
        self.calls = [call for call in self.calls if call.proxy != name]
        self.proxies[name] = _Proxy(name, self.proxies[name].life + 1)

    # -- the chain --

    def _carry_out(self, name: str, effects: Iterable[Effect]) -> None:
        """Carries out the effects of a replica."""
        machine = self.machines[name]
        for effect in effects:
            if isinstance(effect, Answer):
                machine.desk.deliver_answer(effect)
        if name == self.leader:
            self._note_committed(machine.replica)

    def _note_committed(self, replica: LeadingReplica) -> None:
        count = replica.history.committed - len(self.committed)
        if count > 0:
            updates = replica.history.after(len(self.committed)) or ()
            self._commit(updates[:count])

    def _commit(self, updates: Iterable[bytes]) -> None:
        """Appends committed updates and checks their versions."""
        for update in updates:
            change, before = decode_update(update), self._newest_version()
            self.require(
                change.base == before, "race", f"a change of version {change.base} follows version {before}"
            )
            self.require(
                change.version > before, "race", f"version {change.version} follows version {before}"
            )
            self.committed.append(update)
            name = self._name_of(update)
            self.require(name not in self.refused, "refused", f"{name} was refused, and is in force now")

    def store(self) -> None:
        """Completes the storing of the head's updates by the chain."""
        self._carry_out(self.leader, self.machines[self.leader].replica.stored())

    def answer_round(self) -> None:
        """Answers the head's newest heartbeat round by a majority."""
        self._carry_out(self.leader, self.machines[self.leader].replica.round_answered())

    def step_down(self, name: str) -> None:
        """Notifies a previous head of the new view."""
        self._carry_out(name, self.machines[name].replica.step_down())

    def change_head(self, name: str, whole: bool, keeps_newest: bool) -> None:
        """Makes another replica head, with all committed updates; the previous head does not know yet."""
        before = self.machines[self.leader].replica.history
        count = before.newest if keeps_newest else len(self.committed)
        updates = [*self.committed, *(before.after(len(self.committed)) or ())][:count]
        machine = self.machines[name]
        if machine.replica.leads:
            self._carry_out(name, machine.replica.step_down())
        history = machine.replica.history
        if whole:
            history.replace(count, _snapshot(updates))
        else:
            _set_updates(history, updates)
        self.leader = name
        self._commit(updates[len(self.committed) :])
        self._carry_out(name, machine.replica.take_over())

    def restart_machine(self, name: str) -> None:
        """Restarts a process with the committed updates; a head leads again at once."""
        self._start_machine(name)
        if name == self.leader:
            self._carry_out(name, self.machines[name].replica.take_over())

    # -- committed orders --

    def _name_of(self, update: bytes) -> str | None:
        """Returns the name of the order that has the content of an update, or None."""
        change = decode_update(update)
        content = change.document if isinstance(change, ConfigurationReplaced) else change.patch
        for wanted in self.wanted.values():
            kind = ConfigurationReplaced if wanted.order.method == "PUT" else ConfigurationPatched
            sent = compact(json.loads(wanted.order.body)).encode()
            if isinstance(change, kind) and sent == content and str(change.base) == wanted.order.if_match:
                return wanted.name
        return None

    def _names_committed(self) -> list[str]:
        """Returns the names of all committed orders and of orders with the same bytes."""
        names = [self._name_of(update) for update in self.committed]
        orders = [self.wanted[name].order for name in names if name is not None]
        return [name for name, wanted in self.wanted.items() if wanted.order in orders]

    def _newest_version(self) -> int:
        return decode_update(self.committed[-1]).version if self.committed else 0

    def _version(self, name: str) -> int:
        return int(json.loads(self.wanted[name].order.body)["version"])

    # -- keys --

    def key(self) -> int:
        proxies = [
            (p.name, p.head, _CANONICALIZER.canonical((p.forwarder, p.tickets), p.clock))
            for p in self.proxies.values()
        ]
        machines = [_CANONICALIZER.canonical(machine, 0.0) for machine in self.machines.values()]
        operators = [(name, o.confirmed, o.sent) for name, o in self.operators.items()]
        calls = sorted(attrs.astuple(call) for call in self.calls)
        rest = (
            self.leader,
            [short_hash(each) for each in self.committed],
            sorted(self.refused),
            self.newest_confirmed,
            self.has_read,
        )
        return digest((proxies, machines, operators, calls, self.network.key(), rest))


class _AnswerSender:
    """Sends the answers of a `HeadCalls` over the network of the world."""

    def __init__(self, world: OrdersWorld, source: str) -> None:
        self._world = world
        self._source = source

    def send(self, ip: str, message: object) -> None:
        """Sends an answer to a proxy."""
        assert isinstance(message, HeadAnswer)
        self._world.send(self._source, ip, message)


def _snapshot(updates: Iterable[bytes]) -> bytes:
    machine = ConfigurationMachine()
    for update in updates:
        machine.apply(update)
    return machine.snapshot()


def _set_updates(history: History, updates: list[bytes]) -> None:
    """Makes a history hold exactly these updates, by appending if it holds a prefix of them."""
    own = history.after(0)
    if own is None or list(own) != updates[: len(own)]:
        history.replace(0, b"")
        history._received = None
        own = ()
    for update in updates[len(own) :]:
        history.append(update)


def short_hash(data: bytes) -> str:
    """Returns a 64-bit hash of some bytes as hexadecimal text."""
    return f"{xxhash.xxh3_64_intdigest(data):016x}"


@lru_cache(maxsize=4096)
def _canonical_state(state: ConfigurationState) -> str:
    return short_hash(state.json())


def _canonical_machine(machine: ConfigurationMachine) -> tuple[Any, ...]:
    prepared = machine._prepared
    waiting = prepared and short_hash(prepared[0])
    return (machine.version, _canonical_state(machine._state), tuple(machine._accepted.items()), waiting)


_CANONICALIZER = Canonicalizer(
    skipped_fields=frozenset(
        {
            "_replica",
            "_send",
            "_cached",
            "_handlers",
            "_config",
            "config",
            "me",
            "disk",
            "effects",
            "view",
            "_is_changing_view",
            "since",
        }
    ),
    replacements={ConfigurationMachine: _canonical_machine},
)
