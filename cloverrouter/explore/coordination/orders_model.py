"""Operators' orders from proxy to head and back: the real order machine, forwarder and the head's desks.

Real: `ConfigurationMachine`, `Forwarder`, `HeadCalls`; of the chain `History`, `PendingCalls` and the work of
`Head` on commands. Played: operators, who hear no answer and send again, to any proxy; the network, which
holds messages back, loses them and changes their order; and the chain, as far as its own model shows that it
does it: one replica leads, updates are committed in order by it alone, another takes over with all that was
committed, and with or without what was not; the one before goes on believing for a while that it leads.
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
from cloverrouter.explore.coordination.copies import Form, Immutable, digest
from cloverrouter.explore.coordination.network import Network
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.worlds import World, move
from cloverrouter.messages import Decoder, encode

INVARIANTS = {
    "lost": "what was confirmed is in the configuration, with the content that was sent",
    "refused": "an order that was taken is never refused, whenever and wherever it is sent again",
    "race": "of two changes on top of one version only one is taken; versions rise",
    "stale": "a configuration that is read is committed, and no older than any that was confirmed before",
    "mixed": "an answer is for the call that it was given to",
}
READ = "read"


@attrs.frozen(slots=True)
class Wanted:
    """An order that an operator wants to give. `after`: the order whose confirmation it waits for."""

    name: str
    order: Order
    after: str | None = None


@attrs.frozen(slots=True)
class OrdersScope:
    """How large a world."""

    orders: tuple[Wanted, ...]
    proxies: tuple[str, ...] = ("p1", "p2")
    replicas: tuple[str, ...] = ("r1", "r2")
    reads: bool = False
    most_taken: int = 2
    """So many orders are known again."""


@contextmanager
def figures(scope: OrdersScope) -> Iterator[None]:
    """Few orders are known again, so that few fill the memory of them."""
    with patch.object(orders, "MAX_REMEMBERED_ORDERS", scope.most_taken):
        yield


class _Disk(Immutable):
    """Takes everything at once."""

    state_bytes = 0

    def append(self, seq: int, update: bytes) -> None:
        """The update is on the disk."""

    def set_meta_later(self, now: float, **facts: Any) -> None:
        """The facts are on the disk."""


class _Rounds:
    """Rounds of heartbeats, answered when the world says so."""

    def __init__(self) -> None:
        self.newest = 0
        self.confirmed = 0


@attrs.define(slots=True)
class _Context:
    """What the head's work on commands needs of its surroundings."""

    me: Member
    history: History
    config: ReplicaConfig
    disk: _Disk
    effects: list[Effect] = attrs.Factory(list)


class _LoneHead(Head):
    """The head's work on commands, in a chain whose other members the world stands for."""

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
        """The chain has stored up to there."""
        self._commit(0.0, seq)


class LeadingReplica(Replica):
    """A replica as the desk sees it: takes commands while it leads, or believes so."""

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
        """Whether it believes so."""
        return self._head is not None

    def take_over(self) -> list[Effect]:
        """It is the head from now on; what it holds is committed."""
        self._pending = PendingCalls()
        self._head = _LoneHead(self._context, self._pending)  # type: ignore[arg-type]
        return self.stored()

    def stored(self) -> list[Effect]:
        """All that it has was stored by the chain."""
        assert self._head is not None
        self._head.committed(self.history.newest)
        return self._finish(0.0)

    def round_answered(self) -> list[Effect]:
        """A majority has answered the newest round of heartbeats."""
        assert self._head is not None
        self._head.rounds.confirmed = self._head.rounds.newest
        return self._finish(0.0)

    @property
    def waits_for_round(self) -> bool:
        """Whether a round would change anything."""
        return self._head is not None and bool(self._pending.reads)

    def step_down(self) -> list[Effect]:
        """It learns that another leads."""
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
    """An operator's call at a proxy, which waits for its answer."""

    name: str
    """Of the order; `READ` for a read."""
    proxy: str
    ticket: int
    at_least: int = 0
    """For a read: the newest version that was confirmed before."""
    is_heard: bool = True
    """False once the operator has stopped waiting."""


class _Life(Random):
    """Draws what no other life draws."""

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self._number = number

    def getrandbits(self, bits: int, /) -> int:
        return self._number


@attrs.define(slots=True)
class _Proxy:
    """One life of a proxy."""

    name: str
    life: int
    clock: float = 0.0
    forwarder: Forwarder = attrs.Factory(Forwarder)
    tickets: Iterator[int] = attrs.Factory(
        lambda self: itertools.count(forwarding.first_ticket(_Life(self.life))), takes_self=True
    )
    head: str | None = None


@attrs.define(slots=True)
class _Machine:
    """One life of a machine with a disk."""

    name: str
    replica: LeadingReplica
    desk: HeadCalls


@attrs.define(slots=True)
class _Operator:
    """What an operator knows of an order."""

    confirmed: bool = False
    sent: int = 0


class OrdersWorld(World):
    """See the module."""

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
            self._begin_machine(name)
        self.leader = scope.replicas[0]
        self.proxies = {name: _Proxy(name, 0) for name in scope.proxies}
        self._take(self.leader, self.machines[self.leader].replica.take_over())
        for name in scope.proxies:
            self.hear_of_head(name)

    def _begin_machine(self, name: str) -> None:
        replica = LeadingReplica(name)
        self.machines[name] = _Machine(name, replica, HeadCalls(replica, _Outbox(self, name).send))
        for update in self.committed:
            replica.history.append(update)
        replica.history.commit(len(self.committed))

    # -- what may happen --

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
            is_heard = any(call.name == name and call.is_heard for call in self.calls)
            for proxy in self.proxies:
                text = f"order {name} is sent to {proxy}"
                if not operator.sent:
                    yield move(text, self.send_order, name, proxy)
                elif is_heard:
                    yield move(f"no answer in time: {text} again", self.send_order, name, proxy, cost=1)
                else:
                    yield move(f"{text} again", self.send_order, name, proxy, cost=1)
        if self.scope.reads and not self.has_read and self.newest_confirmed:
            for proxy in self.proxies:
                yield move(f"the configuration is asked for at {proxy}", self.send_read, proxy)

    def _proxy_moves(self, proxy: _Proxy) -> Iterable[Action]:
        name = proxy.name
        if proxy.head != self.leader:
            yield move(f"{name} hears that {self.leader} leads", self.hear_of_head, name)
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
        """To a proxy; who waited for an answer to it waits no more."""
        for call in self.calls:
            if call.name == name:
                call.is_heard = False
        operator = self.operators[name]
        operator.sent = min(operator.sent + 1, 1)
        self._ask(_Call(name, proxy, 0), CallKind.ORDER, encode(self.wanted[name].order))

    def send_read(self, proxy: str) -> None:
        """One read of the configuration."""
        self.has_read = True
        self._ask(_Call(READ, proxy, 0, self.newest_confirmed), CallKind.READ, b"")

    def _ask(self, call: _Call, kind: CallKind, command: bytes) -> None:
        proxy = self.proxies[call.proxy]
        call.ticket = next(proxy.tickets)
        self.calls.append(call)
        self._forwarded(proxy, proxy.forwarder.submit(proxy.clock, call.ticket, kind, command))

    def _forwarded(self, proxy: _Proxy, effects: Iterable[SendCall | Finished]) -> None:
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
            self.must(False, "mixed", f"the answer to {call.name} can't be read: {error}")

    def _order_answered(self, call: _Call, reply: OrderReply) -> None:
        self.tell(f"-> {call.name} is answered {reply.status} {reply.body.decode()}")
        taken = self._names_committed()
        if reply.status == OrderStatus.OK:
            self.must(call.name in taken, "lost", f"{call.name} was confirmed and is not in force")
            version = self._version(call.name)
            told = json.loads(reply.body).get("version")
            self.must(told == version, "mixed", f"{call.name} was confirmed as {told}, and is {version}")
            self.newest_confirmed = max(self.newest_confirmed, version)
            if call.is_heard:
                self.operators[call.name].confirmed = True
        elif reply.status < OrderStatus.SERVICE_UNAVAILABLE:
            self.must(call.name not in taken, "refused", f"{call.name} is in force and was refused")
            self.refused.add(call.name)

    def _read_answered(self, call: _Call, reply: bytes) -> None:
        found = decode_message(reply, MachineSnapshot)
        self.tell(f"-> the read is answered version {found.version}")
        document = found.document or ConfigurationState().json()
        states = {state.version: state.json() for state in self._states()}
        self.must(states.get(found.version) == document, "stale", f"{found.version} was never committed")
        text = f"{found.version} was read after {call.at_least} was confirmed"
        self.must(found.version >= call.at_least, "stale", text)

    def _states(self) -> list[ConfigurationState]:
        machine = ConfigurationMachine()
        states = [machine.state]
        for update in self.committed:
            machine.apply(update)
            states.append(machine.state)
        return states

    # -- proxies and the network --

    def deliver(self, place: int) -> None:
        """A letter comes."""
        letter = self.network.take(place)
        message = letter.message
        if isinstance(message, HeadAnswer):
            proxy = self.proxies[letter.target]
            self._forwarded(proxy, proxy.forwarder.handle_answer(proxy.clock, message))
        elif isinstance(message, HeadCall):
            machine = self.machines[letter.target]
            self._take(letter.target, machine.desk.handle_call(0.0, letter.source, message))

    def send(self, source: str, target: str, message: HeadCall | HeadAnswer) -> None:
        """A message goes out."""
        self.network.send(source, target, message, self._shown(message))

    def _shown(self, message: HeadCall | HeadAnswer) -> str:
        if isinstance(message, HeadCall):
            return f"call {message.ticket} ({self._order_name(message)})"
        if not message.done:
            return f"'not now' to call {message.ticket}"
        reply = next(iter(Decoder().feed(message.reply)))
        told = reply.body.decode() if isinstance(reply, OrderReply) else f"state {hash_text(message.reply)}"
        return f"the answer to call {message.ticket} ({told})"

    def _order_name(self, call: HeadCall) -> str:
        names = (name for name, each in self.wanted.items() if encode(each.order) == call.command)
        return READ if call.kind == CallKind.READ.value else next(names)

    def lose(self, place: int) -> None:
        """A letter is lost."""
        self.network.take(place)

    def hear_of_head(self, name: str) -> None:
        """A proxy learns of the view."""
        proxy = self.proxies[name]
        proxy.head = self.leader
        self._forwarded(proxy, proxy.forwarder.head_changed(proxy.clock, self.leader))

    def wait(self, name: str, seconds: float) -> None:
        """Time passes at a proxy."""
        proxy = self.proxies[name]
        proxy.clock += seconds
        self._forwarded(proxy, proxy.forwarder.tick(proxy.clock))

    def restart_proxy(self, name: str) -> None:
        """All that it knew is gone; its callers hear nothing."""
        self.calls = [call for call in self.calls if call.proxy != name]
        self.proxies[name] = _Proxy(name, self.proxies[name].life + 1)

    # -- the chain --

    def _take(self, name: str, effects: Iterable[Effect]) -> None:
        """What a replica asks for."""
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
        """What the chain has stored is in force for good."""
        for update in updates:
            change, before = decode_update(update), self._newest_version()
            self.must(change.base == before, "race", f"a change of version {change.base} came after {before}")
            self.must(change.version > before, "race", f"version {change.version} came after {before}")
            self.committed.append(update)
            name = self._name_of(update)
            self.must(name not in self.refused, "refused", f"{name} was refused, and is in force now")

    def store(self) -> None:
        """The chain stores what the head has passed on."""
        self._take(self.leader, self.machines[self.leader].replica.stored())

    def answer_round(self) -> None:
        """A majority answers the head's heartbeat."""
        self._take(self.leader, self.machines[self.leader].replica.round_answered())

    def step_down(self, name: str) -> None:
        """An earlier head hears of the new view."""
        self._take(name, self.machines[name].replica.step_down())

    def change_head(self, name: str, whole: bool, keeps_newest: bool) -> None:
        """Another replica leads from now on, with all that is committed; the one before knows nothing yet."""
        before = self.machines[self.leader].replica.history
        count = before.newest if keeps_newest else len(self.committed)
        updates = [*self.committed, *(before.after(len(self.committed)) or ())][:count]
        machine = self.machines[name]
        if machine.replica.leads:
            self._take(name, machine.replica.step_down())
        history = machine.replica.history
        if whole:
            history.replace(count, _snapshot(updates))
        else:
            _bring_up(history, updates)
        self.leader = name
        self._commit(updates[len(self.committed) :])
        self._take(name, machine.replica.take_over())

    def restart_machine(self, name: str) -> None:
        """A process with a disk ends, and starts with what was stored; if it led, it leads again at once."""
        self._begin_machine(name)
        if name == self.leader:
            self._take(name, self.machines[name].replica.take_over())

    # -- what is known of orders --

    def _name_of(self, update: bytes) -> str | None:
        """The order whose content it is."""
        change = decode_update(update)
        content = change.document if isinstance(change, ConfigurationReplaced) else change.patch
        for wanted in self.wanted.values():
            kind = ConfigurationReplaced if wanted.order.method == "PUT" else ConfigurationPatched
            sent = compact(json.loads(wanted.order.body)).encode()
            if isinstance(change, kind) and sent == content and str(change.base) == wanted.order.if_match:
                return wanted.name
        return None

    def _names_committed(self) -> list[str]:
        """Orders in force now or before, and those whose bytes are the same."""
        names = [self._name_of(update) for update in self.committed]
        orders = [self.wanted[name].order for name in names if name is not None]
        return [name for name, wanted in self.wanted.items() if wanted.order in orders]

    def _newest_version(self) -> int:
        return decode_update(self.committed[-1]).version if self.committed else 0

    def _version(self, name: str) -> int:
        return int(json.loads(self.wanted[name].order.body)["version"])

    # -- folding --

    def key(self) -> int:
        proxies = [
            (p.name, p.head, _FORM.told((p.forwarder, p.tickets), p.clock)) for p in self.proxies.values()
        ]
        machines = [_FORM.told(machine, 0.0) for machine in self.machines.values()]
        operators = [(name, o.confirmed, o.sent) for name, o in self.operators.items()]
        calls = sorted(attrs.astuple(call) for call in self.calls)
        rest = (
            self.leader,
            [hash_text(each) for each in self.committed],
            sorted(self.refused),
            self.newest_confirmed,
            self.has_read,
        )
        return digest((proxies, machines, operators, calls, self.network.key(), rest))


class _Outbox:
    """Where a desk's answers go."""

    def __init__(self, world: OrdersWorld, source: str) -> None:
        self._world = world
        self._source = source

    def send(self, ip: str, message: object) -> None:
        """A message for a proxy."""
        assert isinstance(message, HeadAnswer)
        self._world.send(self._source, ip, message)


def _snapshot(updates: Iterable[bytes]) -> bytes:
    machine = ConfigurationMachine()
    for update in updates:
        machine.apply(update)
    return machine.snapshot()


def _bring_up(history: History, updates: list[bytes]) -> None:
    """Have it hold exactly these updates, one by one where what it has is their beginning."""
    own = history.after(0)
    if own is None or list(own) != updates[: len(own)]:
        history.replace(0, b"")
        history._received = None
        own = ()
    for update in updates[len(own) :]:
        history.append(update)


def hash_text(data: bytes) -> str:
    """A short name of some bytes."""
    return f"{xxhash.xxh3_64_intdigest(data):016x}"


@lru_cache(maxsize=4096)
def _state_form(state: ConfigurationState) -> str:
    return hash_text(state.json())


def _machine_form(machine: ConfigurationMachine) -> tuple[Any, ...]:
    prepared = machine._prepared
    waiting = prepared and hash_text(prepared[0])
    return (machine.version, _state_form(machine._state), tuple(machine._accepted.items()), waiting)


_FORM = Form(
    skipped=frozenset(
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
    stands_for={ConfigurationMachine: _machine_form},
)
