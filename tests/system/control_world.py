"""A simulation of replicas together with the machines that receive the operator's calls.

Every machine, with or without a disk, has the forwarder of a process. A machine with a disk also has a
replica and answers calls while it is the head. Views are sent to all machines that are not cut off.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from random import Random
from typing import Any

import attrs

from cloverrouter.control.forwarding import (
    CallKind,
    Finished,
    Forwarder,
    HeadAnswer,
    HeadCall,
    SendCall,
    first_ticket,
)
from cloverrouter.coordination.effects import Answer, Effect, Outcome, StateMachine, ViewChanged
from cloverrouter.coordination.sampling_messages import ViewSummary
from cloverrouter.daemon.head_calls import HeadCalls
from cloverrouter.daemon.replica_role import summary_of
from cloverrouter.messages.sending import Send
from tests.system.replica_world import Node, Register, World

VIEW_DELAY_S = 0.002


class LongMemoryRegister(Register):
    """Remembers the digests of all orders in a scenario."""

    max_remembered_orders = 1_000_000


@attrs.define(eq=False)
class ControlCall:
    """A call of the operator to one machine."""

    ip: str
    kind: CallKind
    name: str  # of the order
    sent_at: float
    acknowledged_before: int  # the newest version that was acknowledged before the call was sent
    ended_at: float | None = None
    reply: bytes | None = None  # None: timed out, a 503

    @property
    def is_confirmed(self) -> bool:
        """Whether an order is in force, or a read was answered."""
        if self.reply is None:
            return False
        return self.kind is CallKind.READ or json.loads(self.reply)[0] == "done"

    @property
    def is_refused(self) -> bool:
        """Whether an order was refused because another version is in force."""
        return self.reply is not None and not self.is_confirmed


class FrontEnd:
    """The part of a process that handles calls: its forwarder and the view that it knows."""

    def __init__(self, ip: str, seed: float) -> None:
        self.ip = ip
        self.forwarder = Forwarder()
        self.summary: ViewSummary | None = None
        self.tickets = first_ticket(Random(seed))
        self.calls: dict[int, ControlCall] = {}


class ControlWorld(World):
    """Replicas, and in addition `proxies` machines without a disk."""

    def __init__(self, seed: int, count: int, tolerance: int, proxies: int = 2, **options: Any) -> None:
        self.front_ends: dict[str, FrontEnd] = {}
        self._desks: dict[str, tuple[Any, HeadCalls]] = {}
        super().__init__(seed, count, tolerance, **options)
        for node in self.nodes:
            self.front_ends[node.ip] = FrontEnd(node.ip, self.random.random())
        for number in range(proxies):
            ip = f"10.9.0.{number + 1}"
            self.front_ends[ip] = FrontEnd(ip, self.random.random())
        self.proxies = [ip for ip in self.front_ends if ip.startswith("10.9.")]
        self.at(self.now, self._tick_fronts)

    def new_machine(self) -> StateMachine:
        return LongMemoryRegister()

    # -- the operator --

    def order(self, ip: str, name: str, expect: int | None = None) -> ControlCall:
        """Sends an order to a machine."""
        command = json.dumps({"id": name, "expect": expect, "value": name}).encode()
        return self._call(ip, CallKind.ORDER, name, command)

    def read_back(self, ip: str) -> ControlCall:
        """Reads the configuration at a machine."""
        return self._call(ip, CallKind.READ, "", b"")

    def _call(self, ip: str, kind: CallKind, name: str, command: bytes) -> ControlCall:
        front_end = self.front_ends[ip]
        front_end.tickets += 1
        call = ControlCall(ip, kind, name, self.now, self.invariants.acknowledged)
        front_end.calls[front_end.tickets] = call
        self._forward(front_end, front_end.forwarder.submit(self.now, front_end.tickets, kind, command))
        return call

    def _forward(self, front_end: FrontEnd, effects: Iterable[SendCall | Finished]) -> None:
        for effect in effects:
            if isinstance(effect, SendCall):
                self._send_or_loop_back(front_end.ip, effect.ip, effect.call)
            else:
                self._end(front_end.calls.pop(effect.ticket), effect.reply)

    def _end(self, call: ControlCall, reply: bytes | None) -> None:
        call.reply, call.ended_at = reply, self.now
        if call.kind is CallKind.ORDER and call.is_confirmed and reply is not None:
            self.check_acknowledged(json.loads(reply)[1], call.name)
        elif call.kind is CallKind.READ and reply is not None:
            version = json.loads(reply)[0] if reply else 0
            self.check_read(Answer(0, Outcome.DONE, reply, version), call.acknowledged_before)

    def _tick_fronts(self) -> None:
        for front_end in self.front_ends.values():
            self._forward(front_end, front_end.forwarder.tick(self.now))
        self.at(self.now + self.tick_s, self._tick_fronts)

    # -- between machines --

    def _send_or_loop_back(self, from_ip: str, to_ip: str, message: object) -> None:
        if from_ip == to_ip:
            self.at(self.now, lambda: self._deliver(from_ip, to_ip, message))
        else:
            self._send(from_ip, Send(to_ip, message))

    def _deliver(self, from_ip: str, to_ip: str, message: object) -> None:
        if (from_ip, to_ip) in self.cuts:
            return
        if isinstance(message, HeadCall):
            self._handle_call(from_ip, to_ip, message)
        elif isinstance(message, HeadAnswer):
            front_end = self.front_ends[to_ip]
            self._forward(front_end, front_end.forwarder.handle_answer(self.now, message))
        else:
            super()._deliver(from_ip, to_ip, message)

    def _handle_call(self, from_ip: str, to_ip: str, call: HeadCall) -> None:
        for node in self.nodes:
            if node.ip == to_ip and node.replica is not None:
                self.carry_out(node, self._desk(node).handle_call(self.now, from_ip, call))

    def _desk(self, node: Node) -> HeadCalls:
        """Returns the `HeadCalls` of a node's current process."""
        found = self._desks.get(node.ip)
        if found is None or found[0] is not node.replica:
            assert node.replica is not None
            desk = HeadCalls(node.replica, lambda ip, message: self._send_or_loop_back(node.ip, ip, message))
            found = self._desks[node.ip] = node.replica, desk
        return found[1]

    def carry_out(self, node: Node, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Answer):
                self._desk(node).deliver_answer(effect)
            else:
                super().carry_out(node, [effect])

    def _on_view(self, node: Node, effect: ViewChanged) -> None:
        super()._on_view(node, effect)
        summary = summary_of(effect.view, node.committed)
        for ip in self.front_ends:
            if (node.ip, ip) not in self.cuts:
                self.at(self.now + VIEW_DELAY_S, lambda ip=ip: self._learn_view(ip, summary))  # type: ignore[misc]

    def _learn_view(self, ip: str, summary: ViewSummary) -> None:
        """Adopts a view that is not older than the known one, as the control plane of a process does."""
        front_end = self.front_ends[ip]
        if front_end.summary is not None and summary.order() < front_end.summary.order():
            return
        front_end.summary = summary
        head = summary.head if summary.active else None
        self._forward(front_end, front_end.forwarder.head_changed(self.now, head))
