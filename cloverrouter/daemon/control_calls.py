"""The backend of the control API: carries out the calls of operators and servers in this process."""

from __future__ import annotations

import asyncio
import itertools
import os
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from cloverrouter.control.errors import Unavailable
from cloverrouter.control.forwarding import CallKind, Finished
from cloverrouter.control.instances import Instance
from cloverrouter.control.metrics import Metric
from cloverrouter.control.orders import MachineSnapshot, Order, OrderReply
from cloverrouter.control.registration import instance_from
from cloverrouter.control.updates import decode_message
from cloverrouter.daemon.plane_port import PlanePort
from cloverrouter.messages import encode, metric_labels

if TYPE_CHECKING:
    from cloverrouter.control.api import RegisterReply


class ControlCalls:
    """Implements `control.api.ControlBackend` on a process's control plane."""

    def __init__(self, plane: PlanePort, loop: asyncio.AbstractEventLoop, first_ticket: int) -> None:
        """`first_ticket` is a result of `control.forwarding.first_ticket`."""
        self._plane = plane
        self._loop = loop
        self._tickets = itertools.count(first_ticket)
        self._pending_calls: dict[int, asyncio.Future[Finished]] = {}
        self._pending_changes: dict[int, asyncio.Future[bool]] = {}

    @property
    def pending_count(self) -> int:
        """The number of calls that wait for an answer."""
        return len(self._pending_calls) + len(self._pending_changes)

    # Results from the cores

    def complete_call(self, finished: Finished) -> None:
        """Completes a call to the head: it was answered, or failed."""
        future = self._pending_calls.pop(finished.ticket, None)
        if future is not None and not future.done():
            future.set_result(finished)

    def complete_change(self, change: int, acknowledged: bool) -> None:
        """Completes a change of a server's registration: a majority of the voters acknowledged it, or not."""
        future = self._pending_changes.pop(change, None)
        if future is not None and not future.done():
            future.set_result(acknowledged)

    # ControlBackend

    async def order(self, method: str, if_match: str | None, body: bytes) -> OrderReply:
        reply = await self._call_head(CallKind.ORDER, encode(Order(method, if_match, body)))
        return decode_message(reply, OrderReply)

    async def read(self) -> bytes | None:
        snapshot = await self._call_head(CallKind.READ, b"")
        if not snapshot:
            return None
        return decode_message(snapshot, MachineSnapshot).document or None

    async def _call_head(self, kind: CallKind, command: bytes) -> bytes:
        ticket = next(self._tickets)
        future: asyncio.Future[Finished] = self._loop.create_future()
        self._pending_calls[ticket] = future
        try:
            self._plane.ask_head(ticket, kind, command)
            finished = await future
        finally:
            self._pending_calls.pop(ticket, None)
        if finished.reply is not None:
            return finished.reply
        if not finished.was_sent:
            raise Unavailable("no head of the chain is known here; nothing was passed on")
        raise Unavailable("the head of the chain did not answer; an order may still be taken")

    async def register(self, instance_id: str, body: dict[str, Any]) -> RegisterReply:
        instance = instance_from(self._loop.time(), instance_id, body)
        change, effects = self._plane.registry.register(self._loop.time(), instance)
        await self._await_change(change, effects)
        from cloverrouter.control.api import RegisterReply

        return RegisterReply()

    async def withdraw(self, instance_id: str) -> bool:
        was_registered = self._plane.registry.find(instance_id) is not None
        change, effects = self._plane.registry.deregister(self._loop.time(), instance_id)
        await self._await_change(change, effects)
        return was_registered

    async def _await_change(self, change: int, effects: Iterable[Any]) -> None:
        future: asyncio.Future[bool] = self._loop.create_future()
        self._pending_changes[change] = future
        try:
            self._plane.apply_registry_effects(effects)
            acknowledged = await future
        finally:
            self._pending_changes.pop(change, None)
        if not acknowledged:
            raise Unavailable("no majority of the replicas has taken it")

    # Answers for operators

    def instances(self) -> dict[str, Any]:
        registry = self._plane.registry
        return {
            service: [
                _instance_json(instance, registry.is_silent(instance.id))
                for instance in registry.instances(service)
            ]
            for service in registry.services()
        }

    def status(self) -> dict[str, Any]:
        plane, now = self._plane, self._loop.time()
        return {
            "process": os.getpid(),
            "configuration-version": plane.feed.state.version,
            "sequence": plane.subscriber.have,
            "current": plane.subscriber.is_current(now),
            "behind-s": round(plane.subscriber.behind_s(now), 3),
            "not-applied": plane.subscriber.apply_failures,
            "handing-over": plane.catch_up_progress(),
            "fleet-size": plane.subscriber.fleet_size(),
            "ready": plane.traffic.router.ready(),
            "in-flight": plane.traffic.router.in_flight,
            "replica": plane.disk_identity,
            "view": self.view(),
        }

    def view(self) -> dict[str, Any]:
        summary = self._plane.summary
        if summary is None:
            return {}
        return {
            "epoch": summary.epoch,
            "active": summary.active,
            "head": summary.head,
            "voters": [{"ip": place.ip, "identity": place.identity} for place in summary.voters],
            "committed": summary.committed,
        }

    def history(self) -> list[dict[str, Any]]:
        return list(self._plane.feed.history)

    def trace(self, request_id: str) -> dict[str, Any] | None:
        return self._plane.traffic.traces.find(request_id)

    def metrics(self) -> Iterable[Metric]:
        plane = self._plane
        transport = plane.transport
        yield Metric.single(
            "cypresswinch_in_flight", "gauge", "Requests under way.", plane.traffic.router.in_flight
        )
        yield Metric.single(
            "cypresswinch_configuration_version", "gauge", "Version in force.", plane.feed.state.version
        )
        yield Metric.single(
            "cypresswinch_configuration_not_applied_total",
            "counter",
            "Configurations handed out that could not be put in force.",
            plane.feed.not_applied,
        )
        yield Metric.single(
            "cypresswinch_quota_notes_refused_total",
            "counter",
            "Notes of quotas on the own disk that did not count.",
            plane.quota_notes_refused,
        )
        yield Metric.single(
            "cypresswinch_peer_sent_bytes_total", "counter", "Bytes sent to peers.", transport.bytes_sent
        )
        yield Metric.single(
            "cypresswinch_peer_received_bytes_total", "counter", "Bytes from peers.", transport.bytes_received
        )
        yield Metric.single("cypresswinch_peer_writes_total", "counter", "Writes to peers.", transport.writes)
        yield Metric.single(
            "cypresswinch_peer_skipped_messages_total",
            "counter",
            "Messages from peers of kinds that are not known here.",
            transport.messages_skipped,
        )
        kinds = sorted(transport.sent.items(), key=lambda item: metric_labels(item[0])[1])
        yield Metric(
            "cypresswinch_peer_sent_messages_total",
            "counter",
            "Messages sent to peers, by kind.",
            tuple((_labels(kind), float(count.messages)) for kind, count in kinds),
        )
        yield Metric(
            "cypresswinch_peer_sent_kind_bytes_total",
            "counter",
            "Bytes of messages sent to peers, by kind.",
            tuple((_labels(kind), float(count.bytes)) for kind, count in kinds),
        )


def _labels(kind: type) -> dict[str, str]:
    """Returns the labels of a message class; classes of several modules may share a name."""
    part, name = metric_labels(kind)
    return {"part": part, "kind": name}


def _instance_json(instance: Instance, silent: bool) -> dict[str, Any]:
    return {
        "id": instance.id,
        "address": instance.address,
        "zone": instance.zone,
        "state": instance.state.name.lower(),
        "capacity": instance.capacity,
        "silent": silent,
    }
