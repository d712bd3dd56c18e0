"""Voters and candidates of one role on a fake clock, with message faults, freezes and uneven clock rates."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterable
from random import Random

import attrs

from cloverrouter.coordination.lease import LeaseHolder, LeaseVoter, StoreToken
from cloverrouter.messages.sending import Send

LEASE_S = 2.0
ROLE = "planner"


@attrs.define
class Process:
    """A voter or a candidate, with its own clock rate and faults. Times are those of the world."""

    ip: str
    rate: float
    core: LeaseVoter | LeaseHolder
    frozen_until: float = 0.0
    partitioned_until: float = 0.0
    starts: int = 0  # of a candidate, to give each run its own name
    tokens: dict[str, int] = attrs.field(factory=dict)  # on a voter's disk
    inbox: deque[tuple[str, object]] = attrs.field(factory=deque)

    def clock(self, now: float) -> float:
        return 1000 + now * self.rate


class World:
    """Runs the processes, and checks every 20 ms that at most one holds the role, with rising tokens.

    `loss` and `duplicated` are the fractions of messages that are lost and sent twice.
    """

    def __init__(
        self, seed: int, voters: int = 3, candidates: int = 3, loss: float = 0.0, duplicated: float = 0.0
    ) -> None:
        self.random = Random(seed)
        self.loss, self.duplicated = loss, duplicated
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.history: list[tuple[str, int]] = []  # holders with their tokens, each once
        self.voters = [self._voter(f"v{index}") for index in range(voters)]
        self.candidates = [self._candidate(f"c{index}") for index in range(candidates)]
        self.by_ip = {process.ip: process for process in self.voters + self.candidates}
        self.at(0.0, self._tick)

    def _rate(self) -> float:
        return 1 + self.random.uniform(-0.009, 0.009)

    def _voter(self, ip: str) -> Process:
        process = Process(ip, self._rate(), LeaseVoter(0.0, LEASE_S))
        process.core = LeaseVoter(process.clock(0.0), LEASE_S)
        return process

    def _candidate(self, ip: str) -> Process:
        process = Process(ip, self._rate(), LeaseVoter(0.0, LEASE_S))
        self._start_candidate(process)
        return process

    def _start_candidate(self, process: Process) -> None:
        process.starts += 1
        voters = [voter.ip for voter in self.voters]
        holder = LeaseHolder(ROLE, f"{process.ip}/{process.starts}", voters, LEASE_S, self.random)
        process.core = holder
        self.at(self.now, lambda: self._send(process, holder.campaign(process.clock(self.now))))

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def holders(self) -> list[Process]:
        """Returns all holders, frozen ones included: these act as soon as they resume, if `holds` is true."""
        return [
            process
            for process in self.candidates
            if isinstance(process.core, LeaseHolder) and process.core.holds(process.clock(self.now))
        ]

    def holder(self) -> Process | None:
        found = self.holders()
        return found[0] if found else None

    def restart(self, process: Process) -> None:
        process.inbox.clear()
        if process in self.voters:
            process.core = LeaseVoter(process.clock(self.now), LEASE_S, dict(process.tokens))
        else:
            self._start_candidate(process)

    def _tick(self) -> None:
        for process in self.voters + self.candidates:
            if self.now < process.frozen_until:
                continue
            self._read(process)
            if isinstance(process.core, LeaseHolder):
                self._send(process, process.core.tick(process.clock(self.now)))
        self._check()
        self.at(self.now + 0.02, self._tick)

    def _check(self) -> None:
        holders = self.holders()
        assert len(holders) <= 1, f"{[holder.ip for holder in holders]} hold the role"
        if not holders:
            return
        core = holders[0].core
        assert isinstance(core, LeaseHolder)
        entry = (f"{holders[0].ip}/{holders[0].starts}", core.token)
        if self.history and self.history[-1] == entry:
            return
        assert all(token < core.token for _, token in self.history), f"token {core.token} is not the highest"
        self.history.append(entry)

    def _send(self, source: Process, effects: Iterable[Send | StoreToken]) -> None:
        for effect in effects:
            if isinstance(effect, StoreToken):
                self._store(source, effect)
                continue
            for _ in range(1 + (self.random.random() < self.duplicated)):
                if self.random.random() < self.loss:
                    continue
                delay = self.random.choice([0.002, 0.004, 0.01, 0.3 * self.random.random()])
                target, message = self.by_ip[effect.ip], effect.message
                self.at(self.now + delay, lambda t=target, m=message: self._arrive(source, t, m))  # type: ignore[misc]

    def _store(self, process: Process, effect: StoreToken) -> None:
        core = process.core
        self.at(self.now + self.random.uniform(0.001, 0.03), lambda: self._stored(process, core, effect))

    def _stored(self, process: Process, core: object, effect: StoreToken) -> None:
        if process.core is not core or not isinstance(core, LeaseVoter):
            return
        process.tokens[effect.role] = max(process.tokens.get(effect.role, 0), effect.token)
        self._send(process, core.token_stored(process.clock(self.now), effect.role, effect.token))

    def _arrive(self, source: Process, target: Process, message: object) -> None:
        if self.now < source.partitioned_until or self.now < target.partitioned_until:
            return
        target.inbox.append((source.ip, message))
        if self.now >= target.frozen_until:
            self._read(target)

    def _read(self, process: Process) -> None:
        while process.inbox:
            ip, message = process.inbox.popleft()
            self._send(process, process.core.receive(process.clock(self.now), ip, message))
