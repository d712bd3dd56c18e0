"""The decision module, and two baselines beside it that keep the rules and decide little."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from cloverrouter.decide import NEVER_RAN, Balancer
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    EndpointsListed,
    EndpointState,
    Event,
    Fail,
    Idempotency,
    ListedEndpoint,
    ListKind,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
)


class Policy(Protocol):
    """What decides in one proxy."""

    def handle(self, now_ms: float, events: Sequence[Event]) -> Sequence[Action]: ...


@dataclass(slots=True)
class _Open:
    cls: RequestClass
    until_ms: float
    tried: list[ListedEndpoint] = field(default_factory=list)
    first_run: tuple[ListedEndpoint, float] | None = None  # what may have run first, and when it was sent
    sent_ms: float = 0.0


class Plain:
    """Sends each request somewhere at once; tries again at once, elsewhere, where the class allows it."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._classes = {c.name: c for c in settings.classes}
        self._random = Random(seed)
        self._ready: dict[str, ListedEndpoint] = {}
        self._open: dict[int, _Open] = {}
        self.in_flight: dict[str, int] = {}

    def handle(self, now_ms: float, events: Sequence[Event]) -> list[Action]:
        actions: list[Action] = []
        for event in events:
            match event:
                case EndpointsListed():
                    self._listed(event)
                case RequestArrived():
                    cls = self._classes[event.class_name]
                    until_ms = (
                        event.deadline_ms if event.deadline_ms is not None else now_ms + cls.deadline_ms
                    )
                    self._open[event.request_id] = _Open(cls, until_ms)
                    actions.append(self._next(now_ms, event.request_id))
                case AttemptEnded():
                    self._ended(now_ms, event, actions)
                case ClientDisconnected():
                    self._open.pop(event.request_id, None)
                case _:
                    pass
        return actions

    def _listed(self, event: EndpointsListed) -> None:
        if event.kind is ListKind.FULL:
            self._ready.clear()
        for entry in event.endpoints:
            if entry.state is EndpointState.READY:
                self._ready[entry.name] = entry
            else:
                self._ready.pop(entry.name, None)

    def _ended(self, now_ms: float, event: AttemptEnded, actions: list[Action]) -> None:
        request = self._open.get(event.request_id)
        if request is None:
            return
        there = request.tried[event.attempt]
        self.in_flight[there.name] -= 1
        if event.answered:
            del self._open[event.request_id]
            return
        if event.outcome not in NEVER_RAN and request.first_run is None:
            request.first_run = there, request.sent_ms
        actions.append(self._next(now_ms, event.request_id))

    def _next(self, now_ms: float, request_id: int) -> Action:
        request = self._open[request_id]
        allowed = self._allowed(now_ms, request)
        if not allowed:
            del self._open[request_id]
            return Refuse(request_id) if request.first_run is None else Fail(request_id)
        there = self.pick([e for e in allowed if e not in request.tried] or allowed)
        request.tried.append(there)
        request.sent_ms = now_ms
        self.in_flight[there.name] = self.in_flight.get(there.name, 0) + 1
        return Send(request_id, there.name, request.until_ms - now_ms)

    def _allowed(self, now_ms: float, request: _Open) -> list[ListedEndpoint]:
        if len(request.tried) >= self._settings.limits.max_attempts or now_ms >= request.until_ms:
            return []
        ready = list(self._ready.values())
        if request.first_run is None or request.cls.idempotency is Idempotency.SAFE:
            return ready
        there, sent_ms = request.first_run
        if request.cls.idempotency is Idempotency.UNSAFE or now_ms >= sent_ms + request.cls.dedup_window_ms:
            return []
        return [e for e in ready if (e.zone, e.cell) == (there.zone, there.cell)]

    def pick(self, allowed: list[ListedEndpoint]) -> ListedEndpoint:
        return self._random.choice(allowed)


class LeastInFlight(Plain):
    """Sends to the server with the fewest of its own requests, by chance among equals."""

    def pick(self, allowed: list[ListedEndpoint]) -> ListedEndpoint:
        least = min(self.in_flight.get(e.name, 0) for e in allowed)
        return self._random.choice([e for e in allowed if self.in_flight.get(e.name, 0) == least])


def make(name: str, settings: Settings, seed: int) -> Policy:
    """By its name in a scenario. Raises KeyError for one that is not known."""
    kinds: dict[str, Callable[[Settings, int], Policy]] = {
        "ours": Balancer,
        "random": Plain,
        "least-in-flight": LeastInFlight,
    }
    return kinds[name](settings, seed)
