"""Simulation of many proxies and of servers that have just started, which measures what all proxies together
send to each cold server.

It is independent of the implementation: real balancers, one clock, servers with a known capacity, and a count
of the requests sent to each cold server. The limit within one overload window is N + 3 x root of N + 3
requests of mean work, where N is what the settings allow at the server's present capacity.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import sqrt
from random import Random
from typing import Any

from cloverrouter.decide import Balancer
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    EndpointsListed,
    Event,
    Idempotency,
    Limits,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Safety,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)

CORES, WORK_MS = 4, 100.0  # per server; mean work of a request
RATE = CORES / WORK_MS  # requests per millisecond that a warm server can serve
WARM_UP_MS = 3000.0  # duration of the traffic before the servers start
SAFETY = Safety(cold_share=0.12, cold_ms=6000.0, overload_multiple=3.0, overload_window_ms=2000.0)
REQUEST_CLASS = RequestClass(
    "asked", aim_ms=600, deadline_ms=2000, idempotency=Idempotency.KEYED, dedup_window_ms=9e9
)


@dataclass(frozen=True)
class Plan:
    """Parameters of one simulation."""

    proxies: int = 20
    servers: int = 12
    cold: int = 4  # how many of them start at the same time
    load: float = 0.8  # fraction of the total capacity when warm
    traffic_sigma: float = 1.0  # sigma of the lognormal distribution of the proxies' traffic
    notice_spread_ms: float = 300.0  # the proxies learn of the start within this time, the first one at once
    killed: float = 0.0  # fraction of the proxies that is killed during the warm-up and restarted at once
    seed: int = 1


@dataclass
class Server:
    name: str
    started_ms: float | None = None
    busy: int = 0
    sent_ms: deque[float] = field(default_factory=deque)  # within the overload window
    most: float = 0.0  # highest ratio of requests sent to requests allowed
    got: int = 0

    def warmth(self, now_ms: float) -> float:
        if self.started_ms is None:
            return 1.0
        age = (now_ms - self.started_ms) / SAFETY.cold_ms
        return min(1.0, SAFETY.cold_share + (1 - SAFETY.cold_share) * age)

    def take(self, now_ms: float) -> float:
        """Accepts a request and returns how long it takes, in ms."""
        self.busy += 1
        self.got += 1
        warmth = self.warmth(now_ms)
        if warmth < 1:
            self.sent_ms.append(now_ms)
            while self.sent_ms[0] < now_ms - SAFETY.overload_window_ms:
                self.sent_ms.popleft()
            allowed = (
                SAFETY.overload_multiple * RATE * self.warmth(self.sent_ms[0]) * SAFETY.overload_window_ms
            )
            self.most = max(self.most, len(self.sent_ms) / (allowed + 3 * sqrt(allowed) + 3))
        return WORK_MS / warmth * max(1.0, self.busy / CORES)


class ColdWorld:
    def __init__(self, plan: Plan) -> None:
        self.plan, self.random = plan, Random(plan.seed)
        self.servers = {f"s{i}": Server(f"s{i}") for i in range(plan.servers)}
        self.now_ms = 0.0
        self._queue: list[tuple[float, int, str, tuple[Any, ...]]] = []
        self._numbers = count()
        self.served = self.asked = 0
        self._attempts: dict[int, int] = {}  # number of the last attempt, by request
        shares = [self.random.lognormvariate(0.0, plan.traffic_sigma) for _ in range(plan.proxies)]
        rate = plan.load * plan.servers * RATE
        self.rates = [rate * share / sum(shares) for share in shares]
        self.proxies: list[Balancer] = []
        self.lives = [0] * plan.proxies
        for number in range(plan.proxies):
            self.proxies.append(self._new(number))
            self._tell(number, self._listed(ListKind.RESTORED))
            self._at(self.random.expovariate(self.rates[number]), "arrival", number)

    def _new(self, number: int) -> Balancer:
        limits = Limits(max_attempts=3)
        config = Settings(
            (REQUEST_CLASS,), proxies=self.plan.proxies, proxy_index=number, limits=limits, safety=SAFETY
        )
        return Balancer(config, self.random.randrange(1 << 30))

    def _listed(self, kind: ListKind) -> EndpointsListed:
        return EndpointsListed(
            kind, tuple(ListedEndpoint(s.name, started_ms=s.started_ms) for s in self.servers.values())
        )

    def _at(self, delay_ms: float, what: str, *more: Any) -> None:
        heappush(self._queue, (self.now_ms + delay_ms, next(self._numbers), what, more))

    def play(self) -> float:
        """Runs the simulation and returns the highest ratio of sent to allowed requests; above 1 breaks the
        rule."""
        self._at(WARM_UP_MS, "start")
        while self._queue:
            self.now_ms, _, what, more = heappop(self._queue)
            if self.now_ms > WARM_UP_MS + SAFETY.cold_ms:
                break
            getattr(self, f"_{what}")(*more)
        return max(server.most for server in self.servers.values())

    def _start(self) -> None:
        for server in list(self.servers.values())[: self.plan.cold]:
            server.started_ms, server.busy = self.now_ms, 0
        for number in range(self.plan.proxies):
            self._at(self.random.random() * self.plan.notice_spread_ms, "notified", number)
            if self.random.random() < self.plan.killed:
                self._at(self.random.random() * SAFETY.cold_ms, "killed", number)

    def _notified(self, number: int) -> None:
        self._tell(number, self._listed(ListKind.FULL))

    def _killed(self, number: int) -> None:
        self.lives[number] += 1
        self.proxies[number] = self._new(number)
        self._tell(number, self._listed(ListKind.RESTORED))

    def _arrival(self, number: int) -> None:
        self._at(self.random.expovariate(self.rates[number]), "arrival", number)
        self.asked += 1
        self._tell(
            number, RequestArrived(self.asked, REQUEST_CLASS.name, self.now_ms + REQUEST_CLASS.deadline_ms)
        )

    def _timer(self, number: int, life: int, token: int) -> None:
        if self.lives[number] == life:
            self._tell(number, TimerFired(token))

    def _answer(
        self, number: int, life: int, request: int, attempt: int, server: Server, at: Any, took_ms: float
    ) -> None:
        if server.started_ms == at:
            server.busy -= 1
        if self.lives[number] == life:
            self.served += 1
            self._tell(number, AttemptEnded(request, attempt, Outcome.OK, took_ms, True))

    def _tell(self, number: int, event: Event) -> None:
        actions: list[Action] = self.proxies[number].handle(self.now_ms, [event])
        for action in actions:
            if isinstance(action, SetTimer):
                self._at(action.delay_ms, "timer", number, self.lives[number], action.token)
            elif isinstance(action, Send):
                server, request = self.servers[action.endpoint], action.request_id
                attempt = self._attempts[request] = self._attempts.get(request, -1) + 1
                took_ms, life = server.take(self.now_ms), self.lives[number]
                how = (number, life, request, attempt, server, server.started_ms, took_ms)
                self._at(took_ms, "answer", *how)
