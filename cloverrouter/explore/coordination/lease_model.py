"""Model of leases on a role: shipped voters and holders whose clocks drift apart.

The model covers delayed, lost and reordered messages; voters that restart with what is on their disks;
candidates that freeze, restart or release the role; and time in steps of half a second or less.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import attrs

from cloverrouter.coordination.lease import LeaseHolder, LeaseVoter, StoreToken
from cloverrouter.coordination.lease_messages import LeaseGranted, LeaseRefused, LeaseReleased, LeaseRequest
from cloverrouter.explore.coordination.copies import Canonicalizer, Immutable, digest
from cloverrouter.explore.coordination.network import Network
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.world_model import World, move
from cloverrouter.messages.sending import Send

INVARIANTS = {
    "two": "at no point in real time do two processes hold the role",
    "free": "while a process holds the role, no majority of the voters would grant it to another",
    "token": "the token of a holder is higher than those of all previous holders",
}
ROLE = "planner"
LEASE_S = 2.0
SLOW_CLOCK_RATE, FAST_CLOCK_RATE = 0.99, 1.01  # rates of holders' and voters' clocks, at the permitted drift
START_S = 1000.0


@attrs.frozen(slots=True)
class LeaseScope:
    """The size of a world."""

    voters: tuple[str, ...] = ("v1",)
    candidates: tuple[str, ...] = ("c1", "c2")
    step_s: float = 0.5
    max_steps: int = 6
    """Number of time steps."""
    delays_only: bool = False
    """Only delays of any length, no losses or restarts: shows what clock drift alone can cause."""


class _MinimumRandom(Random, Immutable):
    """Always draws the minimum."""

    def uniform(self, a: float, b: float) -> float:
        return a


@attrs.define(slots=True)
class _Voter:
    """A voter process and its disk."""

    core: LeaseVoter
    disk: dict[str, int] = attrs.Factory(dict)
    writes: list[StoreToken] = attrs.Factory(list)


@attrs.define(slots=True)
class _Candidate:
    """A candidate process; `life` counts its restarts."""

    core: LeaseHolder
    life: int = 1


class LeaseWorld(World):
    """Voters, candidates and their network; see the module."""

    def __init__(self, scope: LeaseScope) -> None:
        super().__init__()
        self.scope = scope
        self.steps = 0
        self.network = Network()
        long_ago = START_S - 2 * LEASE_S
        self.voters = {name: _Voter(LeaseVoter(long_ago, LEASE_S)) for name in scope.voters}
        self.candidates: dict[str, _Candidate] = {}
        self.last_holder = ("", 0)
        """The last holder and its token."""
        for name in scope.candidates:
            self._start_candidate(name, 1)

    def _fast_clock(self) -> float:
        return START_S + self.steps * self.scope.step_s * FAST_CLOCK_RATE

    def _slow_clock(self) -> float:
        return START_S + self.steps * self.scope.step_s * SLOW_CLOCK_RATE

    def _start_candidate(self, name: str, life: int) -> None:
        holder = LeaseHolder(ROLE, f"{name}/{life}", self.scope.voters, LEASE_S, _MinimumRandom())
        self.candidates[name] = _Candidate(holder, life)
        self._send(name, holder.campaign(self._slow_clock()))

    @property
    def time(self) -> int:
        return self.steps

    # -- moves --

    def moves(self) -> Iterable[Action]:
        for name, voter in self.voters.items():
            if voter.writes:
                yield move(
                    f"{name}'s disk has token {voter.writes[0].token}", self.complete_token_write, name
                )
        if self.scope.delays_only:
            yield from (each for each in self.network.moves(self.deliver, self.lose) if not each.cost)
            if self.steps < self.scope.max_steps:
                yield move(f"{self.scope.step_s:g} s pass", self.wait, "")
            return
        yield from self.network.moves(self.deliver, self.lose)
        for name in self.voters:
            yield move(f"{name} is killed and starts again", self.restart_voter, name, cost=1)
        for name, candidate in self.candidates.items():
            yield move(f"{name} is killed and starts again", self.restart_candidate, name, cost=1)
            if candidate.core.holds(self._slow_clock()):
                yield move(f"{name} gives the role back", self.release, name, cost=1)
        if self.steps < self.scope.max_steps:
            late = 1 if self.network.envelopes else 0
            yield move(f"{self.scope.step_s:g} s pass", self.wait, "", cost=late)
            for name in self.candidates:
                yield move(f"{self.scope.step_s:g} s pass while {name} is frozen", self.wait, name, cost=1)

    def deliver(self, position: int) -> None:
        """Delivers a message."""
        envelope = self.network.remove(position)
        if envelope.target in self.voters:
            core = self.voters[envelope.target].core
            self._send(envelope.target, core.receive(self._fast_clock(), envelope.source, envelope.message))
        else:
            holder = self.candidates[envelope.target].core
            self._send(envelope.target, holder.receive(self._slow_clock(), envelope.source, envelope.message))
        self._check_invariants()

    def lose(self, position: int) -> None:
        """Loses a message."""
        self.network.remove(position)

    def complete_token_write(self, name: str) -> None:
        """Completes the write of a token to a voter's disk."""
        voter = self.voters[name]
        done = voter.writes.pop(0)
        voter.disk[done.role] = max(done.token, voter.disk.get(done.role, 0))
        self._send(name, voter.core.token_stored(self._fast_clock(), done.role, done.token))

    def restart_voter(self, name: str) -> None:
        """Restarts a voter with the tokens on its disk only."""
        voter = self.voters[name]
        voter.core = LeaseVoter(self._fast_clock(), LEASE_S, dict(voter.disk))
        voter.writes.clear()

    def restart_candidate(self, name: str) -> None:
        """Restarts a candidate as a new process with a new name."""
        self._start_candidate(name, self.candidates[name].life + 1)

    def release(self, name: str) -> None:
        """Makes the holder release the role and campaign again at once."""
        holder = self.candidates[name].core
        self._send(name, [*holder.release(), *holder.campaign(self._slow_clock())])

    def wait(self, frozen: str) -> None:
        """Advances time by one step. A frozen candidate does nothing meanwhile; empty: nobody is frozen."""
        self.steps += 1
        for name, candidate in self.candidates.items():
            if name != frozen:
                self._send(name, candidate.core.tick(self._slow_clock()))
        self._check_invariants()

    def _send(self, source: str, effects: Iterable[Send | StoreToken]) -> None:
        for effect in effects:
            if isinstance(effect, StoreToken):
                self.voters[source].writes.append(effect)
            else:
                self.network.send(source, effect.ip, effect.message, _describe(effect.message))

    # -- invariants --

    def _check_invariants(self) -> None:
        cores = [
            (name, each) for name, each in self.candidates.items() if each.core.holds(self._slow_clock())
        ]
        self.require(len(cores) < 2, "two", f"{' and '.join(name for name, _ in cores)} have the role")
        for name, candidate in cores:
            life = f"{name}/{candidate.life}"
            free = [voter for voter, each in self.voters.items() if self._is_free(each, life)]
            text = f"{name} has the role, and {', '.join(free)} would grant it to another"
            self.require(2 * len(free) <= len(self.voters), "free", text)
        for name, candidate in cores[:1]:
            holder = (f"{name}/{candidate.life}", candidate.core.token)
            if holder == self.last_holder:
                continue
            self.add_note(f"-> {name} has the role, with token {holder[1]}")
            self.require(
                holder[1] > self.last_holder[1], "token", f"{holder} has the role after {self.last_holder}"
            )
            self.last_holder = holder

    def _is_free(self, voter: _Voter, holder: str) -> bool:
        """Returns whether a voter would grant the role to a process other than its holder now."""
        core, now = voter.core, self._fast_clock()
        grant = core._grants.get(ROLE)
        is_held = grant is not None and grant.holder == holder and now < grant.expires_at
        return now >= core._no_grants_until and not is_held

    def key(self) -> int:
        voters = [_CANONICALIZER.canonical(voter, self._fast_clock()) for voter in self.voters.values()]
        candidates = [_CANONICALIZER.canonical(each, self._slow_clock()) for each in self.candidates.values()]
        return digest((voters, candidates, self.last_holder, self.network.key(), self._request_ages()))

    def _request_ages(self) -> list[float]:
        """Returns the ages of the requests and grants in flight, in seconds."""
        found = [each.message for each in self.network.envelopes]
        timed = [each for each in found if isinstance(each, LeaseRequest | LeaseGranted)]
        return [round(each.sent_at - self._slow_clock(), 3) for each in timed]


def _describe(message: object) -> str:
    match message:
        case LeaseRequest():
            return f"{message.holder} asks with token {message.token}"
        case LeaseGranted():
            return f"token {message.token} is granted to {message.holder}"
        case LeaseRefused():
            text = f"token {message.token} is refused to {message.holder}"
            return f"{text} (highest {message.highest_token}, free in {message.retry_after_s:.2f} s)"
        case LeaseReleased():
            return f"{message.holder} gives token {message.token} back"
    return str(message)


_CANONICALIZER = Canonicalizer(
    skipped_fields=frozenset({"_random", "_voters", "_role"}),
    non_time_fields=frozenset({"_lease_s", "_grant_s"}),
    max_age_s=6.0,
)
