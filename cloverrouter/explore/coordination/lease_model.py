"""Leases on a role: the real voters and holders, with uneven clocks, on one true time.

Played: messages that are late, lost, or overtake one another; voters that start again with what their disks
have; candidates that are frozen, start again, or give the role back; and time, in half seconds or less.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import attrs

from cloverrouter.coordination.lease import LeaseHolder, LeaseVoter, StoreToken
from cloverrouter.coordination.lease_messages import LeaseGranted, LeaseRefused, LeaseReleased, LeaseRequest
from cloverrouter.explore.coordination.copies import Form, Immutable, digest
from cloverrouter.explore.coordination.network import Network
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.worlds import World, move
from cloverrouter.messages.sending import Send

INVARIANTS = {
    "two": "at no true time two processes have the role",
    "free": "while a process has the role, no majority of the voters would give it to another",
    "token": "a holder's token is higher than those of all holders before",
}
ROLE = "planner"
LEASE_S = 2.0
SLOW, FAST = 0.99, 1.01  # clocks that differ by the stated part
EPOCH = 1000.0


@attrs.frozen(slots=True)
class LeaseScope:
    """How large a world."""

    voters: tuple[str, ...] = ("v1",)
    candidates: tuple[str, ...] = ("c1", "c2")
    step_s: float = 0.5
    most_time: int = 6
    """Steps."""
    only_late: bool = False
    """Nothing is lost or started again, and messages are as late as they like: what clocks alone can do."""


class _Low(Random, Immutable):
    """Draws the least."""

    def uniform(self, a: float, b: float) -> float:
        return a


@attrs.define(slots=True)
class _Voter:
    """One life of a voter, and its disk."""

    core: LeaseVoter
    disk: dict[str, int] = attrs.Factory(dict)
    writes: list[StoreToken] = attrs.Factory(list)


@attrs.define(slots=True)
class _Candidate:
    core: LeaseHolder
    life: int = 1


class LeaseWorld(World):
    """See the module."""

    def __init__(self, scope: LeaseScope) -> None:
        super().__init__()
        self.scope = scope
        self.steps = 0
        self.network = Network()
        long_ago = EPOCH - 2 * LEASE_S
        self.voters = {name: _Voter(LeaseVoter(long_ago, LEASE_S)) for name in scope.voters}
        self.candidates: dict[str, _Candidate] = {}
        self.newest = ("", 0)
        """The holder seen last, with its token."""
        for name in scope.candidates:
            self._begin(name, 1)

    def _fast(self) -> float:
        return EPOCH + self.steps * self.scope.step_s * FAST

    def _slow(self) -> float:
        return EPOCH + self.steps * self.scope.step_s * SLOW

    def _begin(self, name: str, life: int) -> None:
        holder = LeaseHolder(ROLE, f"{name}/{life}", self.scope.voters, LEASE_S, _Low())
        self.candidates[name] = _Candidate(holder, life)
        self._send(name, holder.campaign(self._slow()))

    @property
    def time(self) -> int:
        return self.steps

    # -- what may happen --

    def moves(self) -> Iterable[Action]:
        for name, voter in self.voters.items():
            if voter.writes:
                yield move(f"{name}'s disk has token {voter.writes[0].token}", self.written, name)
        if self.scope.only_late:
            yield from (each for each in self.network.moves(self.deliver, self.lose) if not each.cost)
            if self.steps < self.scope.most_time:
                yield move(f"{self.scope.step_s:g} s pass", self.wait, "")
            return
        yield from self.network.moves(self.deliver, self.lose)
        for name in self.voters:
            yield move(f"{name} is killed and starts again", self.restart_voter, name, cost=1)
        for name, candidate in self.candidates.items():
            yield move(f"{name} is killed and starts again", self.restart_candidate, name, cost=1)
            if candidate.core.holds(self._slow()):
                yield move(f"{name} gives the role back", self.release, name, cost=1)
        if self.steps < self.scope.most_time:
            late = 1 if self.network.letters else 0
            yield move(f"{self.scope.step_s:g} s pass", self.wait, "", cost=late)
            for name in self.candidates:
                yield move(f"{self.scope.step_s:g} s pass while {name} is frozen", self.wait, name, cost=1)

    def deliver(self, place: int) -> None:
        """A message comes."""
        letter = self.network.take(place)
        if letter.target in self.voters:
            core = self.voters[letter.target].core
            self._send(letter.target, core.receive(self._fast(), letter.source, letter.message))
        else:
            holder = self.candidates[letter.target].core
            self._send(letter.target, holder.receive(self._slow(), letter.source, letter.message))
        self._check()

    def lose(self, place: int) -> None:
        """A message is lost."""
        self.network.take(place)

    def written(self, name: str) -> None:
        """A token is on a voter's disk."""
        voter = self.voters[name]
        done = voter.writes.pop(0)
        voter.disk[done.role] = max(done.token, voter.disk.get(done.role, 0))
        self._send(name, voter.core.token_stored(self._fast(), done.role, done.token))

    def restart_voter(self, name: str) -> None:
        """It knows what its disk has, and nothing else."""
        voter = self.voters[name]
        voter.core = LeaseVoter(self._fast(), LEASE_S, dict(voter.disk))
        voter.writes.clear()

    def restart_candidate(self, name: str) -> None:
        """Another life, under another name."""
        self._begin(name, self.candidates[name].life + 1)

    def release(self, name: str) -> None:
        """The holder has stopped; it wants the role again at once."""
        holder = self.candidates[name].core
        self._send(name, [*holder.release(), *holder.campaign(self._slow())])

    def wait(self, frozen: str) -> None:
        """Time passes; who is frozen does nothing meanwhile."""
        self.steps += 1
        for name, candidate in self.candidates.items():
            if name != frozen:
                self._send(name, candidate.core.tick(self._slow()))
        self._check()

    def _send(self, source: str, effects: Iterable[Send | StoreToken]) -> None:
        for effect in effects:
            if isinstance(effect, StoreToken):
                self.voters[source].writes.append(effect)
            else:
                self.network.send(source, effect.ip, effect.message, _shown(effect.message))

    # -- what must hold --

    def _check(self) -> None:
        cores = [(name, each) for name, each in self.candidates.items() if each.core.holds(self._slow())]
        self.must(len(cores) < 2, "two", f"{' and '.join(name for name, _ in cores)} have the role")
        for name, candidate in cores:
            life = f"{name}/{candidate.life}"
            free = [voter for voter, each in self.voters.items() if self._is_free(each, life)]
            text = f"{name} has the role, and {', '.join(free)} would give it to another"
            self.must(2 * len(free) <= len(self.voters), "free", text)
        for name, candidate in cores[:1]:
            holder = (f"{name}/{candidate.life}", candidate.core.token)
            if holder == self.newest:
                continue
            self.tell(f"-> {name} has the role, with token {holder[1]}")
            self.must(holder[1] > self.newest[1], "token", f"{holder} has the role after {self.newest}")
            self.newest = holder

    def _is_free(self, voter: _Voter, holder: str) -> bool:
        """Whether a voter would grant the role to another than its holder now."""
        core, now = voter.core, self._fast()
        grant = core._grants.get(ROLE)
        is_held = grant is not None and grant.holder == holder and now < grant.expires_at
        return now >= core._no_grants_until and not is_held

    def key(self) -> int:
        voters = [_FORM.told(voter, self._fast()) for voter in self.voters.values()]
        candidates = [_FORM.told(each, self._slow()) for each in self.candidates.values()]
        return digest((voters, candidates, self.newest, self.network.key(), self._asked_ago()))

    def _asked_ago(self) -> list[float]:
        """How old the requests and grants under way are."""
        found = [each.message for each in self.network.letters]
        timed = [each for each in found if isinstance(each, LeaseRequest | LeaseGranted)]
        return [round(each.sent_at - self._slow(), 3) for each in timed]


def _shown(message: object) -> str:
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


_FORM = Form(
    skipped=frozenset({"_random", "_voters", "_role"}),
    plain=frozenset({"_lease_s", "_grant_s"}),
    oldest_s=6.0,
)
