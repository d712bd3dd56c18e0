"""A scenario in simulated time: the real core and a policy in each proxy, models of everything round them.

The world is a heap of events. Each proxy is driven as the real one is: its engine's effects become messages
that take their time over the network, and what comes of them is told to the engine.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Any

from cloverrouter.core.engine import Engine
from cloverrouter.core.lifecycle import Lifecycle
from cloverrouter.core.states import (
    AbortAttempt,
    AttemptFinished,
    AttemptTimedOut,
    DeliverFailure,
    DeliverRefusal,
    DeliverResponse,
    Effect,
    RequestWritten,
    ResponseStarted,
    SendWindowExpired,
    SetAttemptTimeout,
    StartAttempt,
    StartStreaming,
    TargetsListed,
)
from cloverrouter.fleet import limits
from cloverrouter.fleet.limits import Limits
from cloverrouter.interface import (
    ClientDisconnected,
    EndpointsListed,
    EndpointState,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestArrived,
    SetTimer,
    Settings,
    TimerFired,
)
from cloverrouter.lab import load, scenario
from cloverrouter.lab.bridge import Job, Verdict
from cloverrouter.lab.policies import Policy, make
from cloverrouter.lab.result import Result
from cloverrouter.lab.scenario import Scenario
from cloverrouter.lab.world import START_MS, Server, World

MARGIN_MS = 3.0  # proxies take deadlines to be so much earlier
CONNECT_MS = 250.0  # a connection that has not come up by then never does
TAIL_MS = 6000.0  # played on after the last arrival
UNBOUNDED_ASK_MS = 1000.0  # between calls to discovery where no budget says otherwise
KEPT_KB = 64.0  # the part of an answer that is kept on the way to a client that reads slowly
Key = tuple[int, int]


class SimulatedClock:
    """Simulated time, and what is due."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0
        self.events = 0

    def at(self, at_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Do it then, after what is due at the same time already."""
        self._order += 1
        heappush(self._due, (max(self.now_ms, at_ms), self._order, call, args))

    def after(self, span_ms: float, call: Callable[..., None], *args: Any) -> None:
        self.at(self.now_ms + span_ms, call, *args)

    def run(self, until_ms: float) -> None:
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, call, args = heappop(self._due)
            self.events += 1
            call(*args)
        self.now_ms = until_ms


@dataclass(slots=True)
class Sent:
    """An attempt on its way."""

    key: Key
    proxy: Proxy
    server: Server
    job: Job
    address: int  # of the server, as the proxy knows it
    written: bool = False
    over: bool = False  # nobody waits for it any more
    watch: int = 0  # the number of its latest timer: earlier ones are void


class Proxy:
    """One client proxy: the core and a policy, and the connections it holds."""

    def __init__(self, world: Simulation, number: int, zone: str, policy: str) -> None:
        self.world = world
        self.number = number
        self.zone = zone
        settings = scenario.settings(world.scenario, number, zone)
        seed = world.draws.stream(f"proxy {number}").getrandbits(32)
        self.policy = world.make_policy(policy, settings, seed)
        longest_ms = max(c.deadline_ms for c in settings.classes)
        clock = world.clock
        self.engine = Engine(
            Lifecycle(longest_ms),
            self._decide,
            lambda: clock.now_ms,
            self._carry_out,
        )
        self.targets: dict[str, Hashable] = {}
        self.addresses: dict[str, int] = {}  # of each server, as it was told last
        self.idle: dict[str, list[float]] = {}  # since when each idle connection is so, by server
        self.idle_count = 0
        self.arrived = 0
        self.begun = False
        self.sent: dict[Key, Sent] = {}
        self.decided_s = 0.0

    def _decide(self, now_ms: float, events: Any) -> Any:
        begun = time.perf_counter()
        actions = self.policy.handle(now_ms, events)
        self.decided_s += time.perf_counter() - begun
        return actions

    def listed(self, kind: ListKind, entries: tuple[ListedEndpoint, ...], address: int = 0) -> None:
        world = self.world
        for entry in entries:
            if address > self.addresses.get(entry.name, 0):
                self.drop_idle(entry.name)
            self.addresses[entry.name] = max(address, self.addresses.get(entry.name, 0))
            ready = entry.state is EndpointState.READY
            world.judge.told(self.number, entry.name, not ready, world.clock.now_ms)
            if ready:
                self.targets[entry.name] = (entry.name, entry.started_ms, self.addresses[entry.name])
            else:
                self.targets.pop(entry.name, None)
                self.drop_idle(entry.name)
        self.engine.handle(TargetsListed(EndpointsListed(kind, entries), dict(self.targets)))

    # Its connections, and what the budget of the fleet allows it

    def limits(self) -> Limits | None:
        world = self.world
        if world.scenario.budget is None:
            return None
        asking_s = max(10.0, (world.clock.now_ms - START_MS) / 1000)
        share = scenario.share_of(world.scenario, self.number, self.arrived / asking_s)
        return limits.limits(share, world.scenario.budget)

    def begin(self) -> None:
        """Get the list: when its turn comes, or its first request does."""
        if not self.begun:
            self.begun = True
            world = self.world
            self.listed(ListKind.FULL, tuple(world.entry(name) for name in world.servers))
            # Those that began together do not go on so.
            self.ask(world.draws.stream(f"turn {self.number}").random())

    def ask(self, part: float = 1.0) -> None:
        """Ask discovery, and again after this part of the usual time. What has changed is told by the list on
        its own."""
        self.world.calls[int(self.world.clock.now_ms // 1000)] += 1
        allowed = self.limits()
        every_ms = allowed.poll_interval_ms if allowed else UNBOUNDED_ASK_MS
        self.world.clock.after(every_ms * part, self.ask)

    def drop_idle(self, name: str) -> None:
        since = self.idle.pop(name, [])
        self.idle_count -= len(since)
        self.world.close(name, len(since))

    def rest(self, name: str) -> None:
        """A connection is idle from now on, as long as the budget allows."""
        now_ms, allowed = self.world.clock.now_ms, self.limits()
        self.idle.setdefault(name, []).append(now_ms)
        self.idle_count += 1
        if allowed is not None:
            while self.idle_count > allowed.connections:
                self._close_oldest()
            self.world.clock.after(allowed.idle_timeout_ms, self._expire, name, now_ms)

    def _close_oldest(self) -> None:
        name = min((n for n, since in self.idle.items() if since), key=lambda n: self.idle[n][0])
        self._expire(name, self.idle[name][0])

    def _expire(self, name: str, since_ms: float) -> None:
        if since_ms in self.idle.get(name, ()):
            self.idle[name].remove(since_ms)
            self.idle_count -= 1
            self.world.close(name, 1)

    def _carry_out(self, effect: Effect) -> None:
        world = self.world
        match effect:
            case StartAttempt():
                self._start(effect)
            case DeliverResponse() | StartStreaming():
                world.answered(effect.call, "served")
            case SetTimer():
                world.clock.after(max(0.0, effect.delay_ms), self._fire, effect.token)
            case DeliverRefusal():
                world.answered(effect.call, "refused")
            case DeliverFailure():
                world.answered(effect.call, "failed")
            case AbortAttempt():
                world.abandon(self.sent.pop((effect.call, effect.attempt)))
            case SetAttemptTimeout():
                self._watch(self.sent[effect.call, effect.attempt], effect.timeout_ms)
            case _:
                pass  # the lists come by themselves here

    def _fire(self, token: int) -> None:
        self.engine.handle(TimerFired(token))

    def _watch(self, sent: Sent, timeout_ms: float) -> None:
        sent.watch += 1
        self.world.clock.after(timeout_ms, self._time_up, sent, sent.watch)

    def _time_up(self, sent: Sent, number: int) -> None:
        if sent.key in self.sent and sent.watch == number:
            self.engine.handle(AttemptTimedOut(*sent.key))

    def _start(self, start: StartAttempt) -> None:
        key, world = (start.call, start.attempt), self.world
        ask = world.ask_of[start.call]
        job = Job(world.next_job(), ask.work, ask.key)
        address = self.addresses.get(start.endpoint, 0)
        sent = self.sent[key] = Sent(key, self, world.servers[start.endpoint], job, address)
        if start.timeout_ms is not None:
            self._watch(sent, start.timeout_ms)
        if start.send_within_ms < float("inf"):
            world.clock.after(start.send_within_ms, self.engine.handle, SendWindowExpired(*key))
        if self.idle.get(start.endpoint):
            self.idle[start.endpoint].pop()
            self.idle_count -= 1
            world.write(sent)
        else:
            world.connect(sent)

    def ended(self, sent: Sent, outcome: Outcome, report: tuple[float, ...] | None = None) -> None:
        """Tell the core, if it still waits for it."""
        if self.sent.pop(sent.key, None) is not None:
            answer = "answer" if outcome is Outcome.OK else None
            self.engine.handle(AttemptFinished(*sent.key, outcome, answer, report))


class Simulation(World):
    """One scenario, one policy, one seed."""

    def __init__(
        self,
        told: Scenario,
        policy: str,
        seed: int,
        make_policy: Callable[[str, Settings, int], Policy] = make,
        proxy_type: type[Proxy] = Proxy,
    ) -> None:
        """Raises KeyError for a policy that is not known. The last two let tests play other ones."""
        super().__init__(told, seed)
        self.make_policy = make_policy
        self.policy = policy
        self.clock: SimulatedClock = SimulatedClock()
        zones = told.fleet.zones
        self.proxies = [proxy_type(self, i, zones[i % len(zones)], policy) for i in range(told.proxies)]
        self.ask_of: dict[int, load.Ask] = {}  # by request
        self.proxy_of: dict[int, int] = {}
        self.retries_left: dict[int, int] = {}
        self._on_server: dict[int, Sent] = {}  # by job
        self.calls: Counter[int] = Counter()  # to discovery, by second
        self.handshakes: Counter[str] = Counter()  # by server

    def run(self) -> Result:
        """Play it all."""
        begun, told, clock = time.perf_counter(), self.scenario, self.clock
        per_ms = load.per_ms(told, self.capacity())
        for proxy in self.proxies:
            allowed = proxy.limits()
            clock.at(allowed.start_delay_ms if allowed else 0.0, proxy.begin)
        self.plan_faults()
        clock.at(0.0, self.sample)
        coming = load.asks(told, self.draws, per_ms)
        self._next_ask(coming)
        end_ms = START_MS + told.seconds * 1000 + TAIL_MS
        clock.run(end_ms)
        for server in self.servers.values():
            server.bridge.advance(end_ms)
        verdict = self.judge.verdict(START_MS + told.warm_s * 1000, end_ms)
        result = self.result(
            self.policy,
            verdict,
            simulated_s=end_ms / 1000,
            took_s=time.perf_counter() - begun,
            decided_s=sum(proxy.decided_s for proxy in self.proxies),
        )
        result.events = clock.events
        result.calls_per_s = self._calls_per_s()
        result.most_calls_per_s = float(max(self.calls.values(), default=0))
        result.handshakes_per_s = max(self.handshakes.values(), default=0) / told.seconds
        return result

    def _calls_per_s(self) -> float:
        """To discovery in the busiest second after the warm-up."""
        since_s = START_MS / 1000 + self.scenario.warm_s
        return float(max((n for second, n in self.calls.items() if second >= since_s), default=0))

    # Clients

    def _next_ask(self, coming: Any) -> None:
        ask = next(coming, None)
        if ask is not None:
            self.clock.at(START_MS + ask.at_ms, self._ask, ask, coming)

    def _ask(self, ask: load.Ask, coming: Any) -> None:
        self._next_ask(coming)
        self._wants(ask)
        self.retries_left[ask.number] = self.scenario.load.clients.retries
        self._send(ask)
        if ask.leaves_ms is not None:
            self.clock.after(ask.leaves_ms, self._leave, self._last_request)

    def _send(self, ask: load.Ask) -> None:
        self._last_request += 1
        request, now_ms = self._last_request, self.clock.now_ms
        self.ask_of[request], self.proxy_of[request] = ask, ask.proxy
        self.judge.sent(request, ask.number, now_ms, ask.patience_ms)
        self.clock.after(ask.patience_ms, self._leave, request)
        deadline_ms = now_ms + ask.patience_ms - MARGIN_MS
        first = self.retries_left[ask.number] == self.scenario.load.clients.retries
        self.proxies[ask.proxy].arrived += 1
        self.proxies[ask.proxy].begin()
        self.proxies[ask.proxy].engine.handle(
            RequestArrived(request, ask.cls, deadline_ms, ask.member, ask.key, repeat=not first)
        )

    def answered(self, request: int, what: str) -> None:
        """A final answer, to a client on the proxy's own machine."""
        self.judge.answered(request, what, self.clock.now_ms)
        ask = self.ask_of[request]
        if what != "served" and self.judge.tries[request].left_ms is None:
            self._retry(ask)

    def _leave(self, request: int) -> None:
        one = self.judge.tries[request]
        if one.answers or one.left_ms is not None:
            return
        if self.clock.now_ms < one.until_ms - 1e-6:  # before its time: its client has gone for good
            self.retries_left[one.ask] = 0
            self.judge.left(request, self.clock.now_ms)
        self.proxies[self.proxy_of[request]].engine.handle(ClientDisconnected(request))
        self._retry(self.ask_of[request])

    def _retry(self, ask: load.Ask) -> None:
        """A client tries again by itself, after a wait. Not if it may have been served twice for it."""
        if self.retries_left[ask.number] > 0:
            self.retries_left[ask.number] -= 1
            self.clock.after(self._clients.uniform(*self.scenario.load.clients.wait_ms), self._send, ask)

    # The network

    def _way_ms(self, proxy: Proxy, server: Server) -> float:
        network = self.scenario.network
        return network.near_ms if proxy.zone == server.zone else network.far_ms

    def connect(self, sent: Sent) -> None:
        way_ms = self._way_ms(sent.proxy, sent.server)
        if sent.server.cut_off:
            self.clock.after(CONNECT_MS, self._unconnected, sent)
        else:
            self.clock.after(way_ms, self._knock, sent, way_ms)

    def _knock(self, sent: Sent, way_ms: float) -> None:
        bridge = sent.server.bridge
        self._look(sent.server)
        moved = sent.address != sent.server.address
        if moved or not bridge.connect(self.clock.now_ms):
            self.clock.after(way_ms, self._unconnected, sent)
            return
        self._schedule(sent.server)
        self.most_connections = max(self.most_connections, bridge.connections)
        self.handshakes[bridge.name] += 1
        self.clock.after(way_ms, self._connected, sent)

    def _unconnected(self, sent: Sent) -> None:
        sent.proxy.ended(sent, Outcome.CONNECT_FAILED)

    def _connected(self, sent: Sent) -> None:
        if sent.over:
            self._rest(sent)  # called off in the meantime: it must not go out any more
        else:
            self.write(sent)

    def write(self, sent: Sent) -> None:
        """The request goes out whole."""
        sent.written = True
        sent.proxy.engine.handle(RequestWritten(*sent.key))
        self.clock.after(self._way_ms(sent.proxy, sent.server), self._reach, sent)

    def close(self, server: str, count: int) -> None:
        bridge = self.servers[server].bridge
        bridge.connections = max(0, bridge.connections - count)

    def _rest(self, sent: Sent) -> None:
        """Its connection may be used again."""
        name = sent.server.bridge.name
        if sent.address != sent.server.address:  # its server has moved away from under it
            self.close(name, 1)
            return
        if name in sent.proxy.targets and sent.server.bridge.up:
            sent.proxy.rest(name)
        else:
            self.close(name, 1)

    def abandon(self, sent: Sent) -> None:
        sent.over = True
        if sent.written:
            self.close(sent.server.bridge.name, 1)
            self.clock.after(self._way_ms(sent.proxy, sent.server), self._cancel, sent)

    def _cancel(self, sent: Sent) -> None:
        if not sent.server.cut_off:
            self._look(sent.server)
            sent.server.bridge.cancel(sent.job.id)

    # Servers

    def _reach(self, sent: Sent) -> None:
        server = sent.server
        if server.cut_off:
            return  # silence
        self._look(server)
        if not server.bridge.up or sent.address != server.address:
            self.close(server.bridge.name, 1)
            self._reply(sent, Outcome.RESET)
            return
        if sent.over:
            return  # its connection was closed before it came
        request = sent.key[0]
        verdict = self._offer(server, sent.proxy.number, request, self.ask_of[request], sent.job)
        if verdict is Verdict.TAKEN:
            self._on_server[sent.job.id] = sent
            self._schedule(server)
            return
        outcomes = {
            Verdict.FULL: Outcome.REJECTED,
            Verdict.ERROR: Outcome.ERROR,
            Verdict.DROPPED: Outcome.OK,
            Verdict.DOWN: Outcome.RESET,
        }
        self._reply(sent, outcomes[verdict])

    def _reply(self, sent: Sent, outcome: Outcome) -> None:
        way_ms = self._way_ms(sent.proxy, sent.server)
        if outcome is Outcome.OK and self.spoils_answer(sent.server):
            outcome = Outcome.SPOILT
        delay_ms = 0.0 if outcome is Outcome.RESET else sent.server.delay_ms
        answered = outcome not in (Outcome.RESET, Outcome.SPOILT)
        report = self.report_of(sent.server) if answered else None
        self.clock.after(way_ms + delay_ms, self._replied, sent, outcome, report)

    def _replied(self, sent: Sent, outcome: Outcome, report: tuple[float, ...] | None) -> None:
        if sent.over or sent.server.cut_off:
            return
        ask = self.ask_of[sent.key[0]]
        slowly_kb = ask.answer_bytes / 1024 - KEPT_KB
        if outcome is Outcome.OK and ask.reads_kb_s is not None and slowly_kb > 0:
            # Its connection is taken up until the client has read all but what is kept on the way.
            sent.proxy.engine.handle(ResponseStarted(*sent.key))
            self.clock.after(slowly_kb / ask.reads_kb_s * 1000, self._passed_on, sent, report)
            return
        self._done(sent, outcome, report)

    def _passed_on(self, sent: Sent, report: tuple[float, ...] | None) -> None:
        if not sent.over:
            self._done(sent, Outcome.OK, report)

    def _done(self, sent: Sent, outcome: Outcome, report: tuple[float, ...] | None) -> None:
        if outcome is Outcome.SPOILT:
            self.close(sent.server.bridge.name, 1)
        elif outcome is not Outcome.RESET:
            self._rest(sent)
        sent.proxy.ended(sent, outcome, report)

    def _look(self, server: Server) -> None:
        """Let its time pass up to now, and send what has ended."""
        for job in server.bridge.advance(self.clock.now_ms):
            sent = self._on_server.pop(job.id, None)
            if sent is not None and not sent.over and not server.cut_off:
                self._reply(sent, Outcome.OK)

    def _lost(self, server: Server) -> None:
        """Its process has ended: all that was on it is reset."""
        server.bridge.stop()
        server.wake += 1
        self._cut(server)

    def _move(self, server: Server) -> None:
        self._cut(server)

    def _cut(self, server: Server) -> None:
        """All that is connected to it is reset, and what runs on it for that is called off."""
        for proxy in self.proxies:
            proxy.drop_idle(server.bridge.name)
        for job_id, sent in list(self._on_server.items()):
            if sent.server is server:
                del self._on_server[job_id]
                server.bridge.cancel(job_id)
                if not sent.over:  # or its connection is closed already
                    self.close(server.bridge.name, 1)
                    self._reply(sent, Outcome.RESET)

    def _tell(self, proxy: int, entry: ListedEndpoint, address: int) -> None:
        self.proxies[proxy].listed(ListKind.DELTA, (entry,), address)

    def _silence_lists(self, spoilt: bool) -> None:
        """A list that can't be read is a call that failed, as one that does not come."""
        for proxy in self.proxies:
            proxy.engine.handle(TargetsListed(EndpointsListed(ListKind.FAILED), dict(proxy.targets)))
