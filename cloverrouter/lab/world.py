"""The fleet that a scenario describes, its list, and what goes wrong with it: in simulated or in real time.

Whoever plays it brings the clock, and says what it means that time passes on a server, that its process ends
and that a proxy is told of a change.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from cloverrouter.interface import EndpointState, ListedEndpoint
from cloverrouter.lab import log, scenario
from cloverrouter.lab.bridge import Bay, Bridge, Job, Verdict
from cloverrouter.lab.draws import Draws, Weighted
from cloverrouter.lab.judge import Asked, Judge, Quota
from cloverrouter.lab.judge import Verdict as Judged
from cloverrouter.lab.load import Ask
from cloverrouter.lab.result import Result
from cloverrouter.lab.scenario import Fault, Scenario

START_MS = 1000.0  # proxies know the list by then


class Clock(Protocol):
    """What is due, and when."""

    @property
    def now_ms(self) -> float: ...

    def at(self, at_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Do it then."""
        ...

    def after(self, span_ms: float, call: Callable[..., None], *args: Any) -> None: ...


@dataclass(slots=True)
class Server:
    """A bridge server and what the world knows of it beside its work."""

    bridge: Bridge
    zone: str
    cell: int
    state: EndpointState = EndpointState.READY  # as the list has it, or will
    address: int = 0  # how often it has moved
    cut_off: bool = False  # nothing gets through to it, nor from it
    spoilt_share: float = 0.0  # of its answers, which can't be read; their requests have run
    delay_ms: float = 0.0  # by which its answers are held back
    report: tuple[float, ...] = ()  # the latest, in the scenario's order
    reported_ms: float = float("-inf")
    wake: int = 0  # the number of the latest look at it: earlier ones are void

    @property
    def bay(self) -> str:
        return f"{self.zone}/{self.cell}"


class World(ABC):
    """A fleet, the ledger of what is seen of it, and the faults that it meets."""

    clock: Clock

    def __init__(self, told: Scenario, seed: int) -> None:
        self.scenario = told
        self.draws = Draws(seed)
        repeats = {c.name: str(c.repeats) for c in told.load.classes}
        self.judge = Judge(repeats, told.fleet.bay_window_ms, told.max_attempts)
        self.servers = self._fleet()
        self.log: list[tuple[float, str]] = []
        self._classes = {c.name: c for c in told.load.classes}
        self._quotas = {m.name: Quota(m.quota) for m in told.load.members if m.quota is not None}
        self._last_request = self._last_job = 0
        self._errors = self.draws.stream("errors")
        self._clients = self.draws.stream("clients")
        self._lists = self.draws.stream("lists")
        self._spoils = self.draws.stream("spoils")
        self._noise = self.draws.stream("reports")
        self.most_connections = 0  # that a server held at once
        self.held: dict[str, list[int]] = {name: [] for name in self.servers}  # by each, each second
        self.outage_until_ms = 0.0  # of discovery: nothing is told before

    def _fleet(self) -> dict[str, Server]:
        fleet, draws = self.scenario.fleet, self.draws.stream("fleet")
        kinds = {str(i): kind for i, kind in enumerate(fleet.kinds)}
        weighted = Weighted({name: kind.share for name, kind in kinds.items()})
        bays: dict[str, Bay] = {}
        servers: dict[str, Server] = {}
        for i in range(fleet.servers):
            zone = fleet.zones[i % len(fleet.zones)]
            kind = kinds[weighted.draw(draws)]
            made = scenario.shape(fleet, kind, draws.uniform(*kind.speed))
            bay = bays.setdefault(zone, Bay(fleet.bay_window_ms))
            servers[f"b{i}"] = Server(Bridge(f"b{i}", made, bay, drops_waiting=fleet.drops_waiting), zone, 0)
        return servers

    def capacity(self) -> float:
        """Work a millisecond that the fleet can do."""
        return sum(s.bridge.shape.cores * s.bridge.shape.speed for s in self.servers.values())

    def plan_faults(self) -> None:
        """Have everything go wrong that the scenario names, when it says."""
        for number, fault in enumerate(self.scenario.faults):
            draws = self.draws.stream(f"fault {number}")
            self.clock.at(START_MS + fault.at_s * 1000, self._go_wrong, fault, draws)

    def sample(self) -> None:
        """Note what each server holds, each second from now on."""
        for name, server in self.servers.items():
            self.held[name].append(server.bridge.held)
        self.clock.after(1000.0, self.sample)

    def result(
        self, policy: str, verdict: Judged, *, simulated_s: float, took_s: float, decided_s: float
    ) -> Result:
        """What has come of it, as far as both kinds of time tell it alike."""
        totals = [server.bridge.totals for server in self.servers.values()]
        did = sum(t.work for t in totals)
        return Result(
            policy=policy,
            seed=self.draws.seed,
            verdict=verdict,
            simulated_s=simulated_s,
            took_s=took_s,
            decided_s=decided_s,
            work=did / (self.capacity() * self.scenario.seconds * 1000),
            wasted=sum(t.wasted for t in totals) / did if did else 0.0,
            turned_away=sum(t.full for t in totals),
            connections=float(self.most_connections),
            told=tuple(self.log),
            held=self.held,
        )

    def next_job(self) -> int:
        """A number for a request at a server."""
        self._last_job += 1
        return self._last_job

    def _wants(self, ask: Ask) -> None:
        """Somebody wants this from now on: the ledger counts it."""
        cls = self._classes[ask.cls]
        quota = self._quotas.get(ask.member)
        beyond = quota is not None and not quota.spend(ask.at_ms)
        worth = cls.worth * (self.scenario.load.over_quota_worth if beyond else 1.0)
        asked = Asked(START_MS + ask.at_ms, ask.cls, ask.member, worth, cls.aim_ms, beyond)
        self.judge.ask(ask.number, asked)

    def _offer(self, server: Server, proxy: int, request: int, ask: Ask, job: Job) -> Verdict:
        """A whole request has come in: what the server makes of it, once the ledger has it."""
        now_ms, bridge = self.clock.now_ms, server.bridge
        self.judge.reached(request, proxy, bridge.name, server.bay, now_ms)
        keyed = self._classes[ask.cls].repeats == "keyed"
        fell = bridge.totals.fell
        verdict = bridge.offer(now_ms, job, self._errors.random(), f"r{request}" if keyed else None)
        if verdict is Verdict.FULL:
            self.judge.never_ran(request)
        if bridge.totals.fell > fell:
            self.judge.fell(bridge.name, now_ms)
            self._note(f"{bridge.name} falls over")
            self._lost(server)
        return verdict

    @abstractmethod
    def _look(self, server: Server) -> None:
        """Let its time pass up to now, and send what has ended."""

    def _schedule(self, server: Server) -> None:
        """Look at it again when its next request ends."""
        due_ms = server.bridge.next_ms()
        server.wake += 1
        if due_ms is not None:
            self.clock.at(due_ms, self._wake, server, server.wake)

    def _wake(self, server: Server, number: int) -> None:
        if number == server.wake:
            self._look(server)
            self._schedule(server)

    @abstractmethod
    def _lost(self, server: Server) -> None:
        """Its process has ended: all that was on it is reset."""

    @abstractmethod
    def _silence_lists(self, spoilt: bool) -> None:
        """Discovery is out: what watches it is cut off, or gets what can't be read."""

    @abstractmethod
    def _move(self, server: Server) -> None:
        """It is at another address from now on; what is connected to the old one is reset."""

    @abstractmethod
    def _tell(self, proxy: int, entry: ListedEndpoint, address: int) -> None:
        """The list tells this proxy; `address` is how often the server had moved when the list changed."""

    # The list

    def entry(self, name: str) -> ListedEndpoint:
        server = self.servers[name]
        started_ms = server.bridge.started_ms
        return ListedEndpoint(name, server.zone, server.cell, state=server.state, started_ms=started_ms)

    def _change(self, name: str, state: EndpointState) -> None:
        """The list changes, and tells each proxy late."""
        self.servers[name].state = state
        entry, address = self.entry(name), self.servers[name].address
        for proxy in range(self.scenario.proxies):
            late_ms = self._lists.uniform(*self.scenario.discovery_ms)
            at_ms = max(self.clock.now_ms, self.outage_until_ms) + late_ms
            self.clock.at(at_ms, self._tell_in_time, proxy, entry, address)

    def _tell_in_time(self, proxy: int, entry: ListedEndpoint, address: int) -> None:
        """Tell it now, or once discovery is back."""
        if self.clock.now_ms < self.outage_until_ms:
            self.clock.at(self.outage_until_ms, self._tell_in_time, proxy, entry, address)
        else:
            self._tell(proxy, entry, address)

    def report_of(self, server: Server) -> tuple[float, ...] | None:
        """What it says of its load now, a little old and a little wrong; None: it says nothing."""
        fleet, now_ms = self.scenario.fleet, self.clock.now_ms
        if not fleet.reports:
            return None
        if now_ms - server.reported_ms >= fleet.report_every_ms:
            true = dict(zip(("inflight", "util", "latency_ms"), server.bridge.report(), strict=True))
            server.report = tuple(
                max(0.0, true[name] * self._noise.gauss(1.0, fleet.report_noise)) for name in fleet.reports
            )
            server.reported_ms = now_ms
        return server.report

    def spoils_answer(self, server: Server) -> bool:
        """Does this answer come spoilt? A draw, if the server spoils any."""
        return bool(server.spoilt_share) and self._spoils.random() < server.spoilt_share

    def _note(self, text: str) -> None:
        at_s = (self.clock.now_ms - START_MS) / 1000
        self.log.append((at_s, text))
        log.get().info(text, at_s=round(at_s, 3), scenario=self.scenario.name, seed=self.draws.seed)

    # What goes wrong

    def _go_wrong(self, fault: Fault, draws: Random) -> None:
        names = list(self.servers)
        draws.shuffle(names)
        met = names if fault.kind == "release" else names[: max(1, round(fault.part * len(names)))]
        len_ms = fault.len_s * 1000
        everywhere = fault.kind in ("burst", "surge", "discovery-outage", "spoilt-lists")
        self._note(f"{fault.kind} begins" + ("" if everywhere else f" on {len(met)} servers"))
        match fault.kind:
            case "fast-errors":
                for name in met:
                    self._for_a_while(self.servers[name].bridge, "error_share", fault.size, len_ms)
            case "slow-answers":
                for name in met:
                    self._for_a_while(self.servers[name], "delay_ms", fault.delay_ms, len_ms)
            case "spoilt-answers":
                for name in met:
                    self._for_a_while(self.servers[name], "spoilt_share", fault.size, len_ms)
            case "discovery-outage" | "spoilt-lists":
                self.outage_until_ms = self.clock.now_ms + len_ms
                self._silence_lists(fault.kind == "spoilt-lists")
            case "neighbour":
                for name in met:
                    self._neighbour(name, fault, self.clock.now_ms + len_ms, True)
            case "release" | "drain":
                for i, name in enumerate(met):
                    self.clock.after(i * fault.gap_s * 1000, self._restart, name, len_ms)
            case "death":
                for name in met:
                    self._lost(self.servers[name])
                    self._change(name, EndpointState.GONE)
                    self.clock.after(len_ms, self._come_back, name)
            case "partition":
                for name in met:
                    self._for_a_while(self.servers[name], "cut_off", True, len_ms)
            case "move":
                for i, name in enumerate(met):
                    self.clock.after(i * fault.gap_s * 1000, self._move_and_tell, name)
            case "burst" | "surge":
                pass  # the load's

    def _for_a_while(self, of: Server | Bridge, name: str, value: float | bool, len_ms: float) -> None:
        """Set one thing that is amiss; it is as in a sound server again after `len_ms`."""
        setattr(of, name, value)
        self.clock.after(len_ms, setattr, of, name, type(value)())

    def _neighbour(self, name: str, fault: Fault, until_ms: float, on: bool) -> None:
        server = self.servers[name]
        self._look(server)
        over = self.clock.now_ms >= until_ms
        server.bridge.taken_share = fault.size if on and not over else 0.0
        self._schedule(server)
        if not over:
            self.clock.after(fault.on_s * 1000, self._neighbour, name, fault, until_ms, not on)

    def _restart(self, name: str, len_ms: float) -> None:
        """It drains, ends, and comes back cold."""
        self._note(f"{name} drains")
        self._change(name, EndpointState.DRAINING)
        self.clock.after(len_ms, self._stop_drained, name)

    def _move_and_tell(self, name: str) -> None:
        """Its process goes on elsewhere: as warm as it was, and all that was connected to it is reset."""
        server = self.servers[name]
        self._note(f"{name} moves")
        self._look(server)
        server.address += 1
        self._move(server)
        self._schedule(server)
        self._change(name, server.state)

    def _stop_drained(self, name: str) -> None:
        self._look(self.servers[name])
        self._lost(self.servers[name])
        self._come_back(name)

    def _come_back(self, name: str) -> None:
        self._note(f"{name} is back, cold")
        self.servers[name].bridge.start(self.clock.now_ms)
        self._change(name, EndpointState.READY)
