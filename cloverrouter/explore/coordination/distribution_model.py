"""Committed configurations on their way to a machine: the real publishers, subscriber and feed.

Played: the chain, which tells each voter in its own time what is committed; voters and the machine that start
again, a voter also with less than it had told before; messages that are late, lost, or overtake one another
on newer connections; and time.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from functools import lru_cache
from random import Random
from unittest.mock import patch

import attrs

from cloverrouter.control import publisher as publisher_module
from cloverrouter.control import subscriber as subscriber_module
from cloverrouter.control import transfer as transfer_module
from cloverrouter.control.distribution_messages import (
    NOTHING,
    Acknowledge,
    Delta,
    Offer,
    Part,
    Pull,
    PullPart,
    Subscribe,
)
from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.orders import ConfigurationMachine, Order
from cloverrouter.control.publisher import Publisher, SnapshotWanted
from cloverrouter.control.subscriber import Apply, Replace, Subscriber
from cloverrouter.control.voter_choice import VoterAddress
from cloverrouter.daemon.configuration_feed import ConfigurationFeed
from cloverrouter.explore.coordination.copies import Form, Immutable, copied, digest
from cloverrouter.explore.coordination.network import Network
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.worlds import World, move
from cloverrouter.messages import encode
from cloverrouter.messages.sending import Send

INVARIANTS = {
    "back": "what is in force never goes backwards within a life of the process",
    "uncommitted": "what is in force is a committed state, whole and unchanged",
    "storm": "messages don't beget messages without end while no time passes",
    "unsure": "a voter that started again hands out nothing before a head in force has confirmed it",
    "behind": "once all is calm, the newest committed state is in force within CALM_S",
}
PART_BYTES = 120  # so that a snapshot takes several
WINDOW_COUNT = 2
STEP_S = 0.5
LONG_S = 2.0
CALM_S = 8.0
CALM_STEP_S = 0.25
MOST_AT_ONCE = 400
MACHINE = "m"


@attrs.frozen(slots=True)
class DistributionScope:
    """How large a world."""

    changes: int = 2
    voters: tuple[str, ...] = ("v1", "v2")
    small_parts: bool = True
    most_time: int = 2
    """Half seconds."""
    begins_with: int = 0
    """So many changes are committed, and known to all voters, at the start."""
    calm_every: int = 1
    """Of so many states one is looked at for what follows when all is calm."""
    confirms: bool = False
    """A voter that starts again knows of less than it had told, until a head in force tells it the rest."""


@contextmanager
def figures(scope: DistributionScope) -> Iterator[None]:
    """Short parts and a short window, so that few and small changes play all that long ones do."""
    with ExitStack() as stack:
        if scope.small_parts:
            for module in (publisher_module, subscriber_module, transfer_module):
                stack.enter_context(patch.object(module, "PART_BYTES", PART_BYTES))
            stack.enter_context(patch.object(publisher_module, "WINDOW_COUNT", WINDOW_COUNT))
        yield


class _Same(Random, Immutable):
    """Draws the same each time: the first voter is the source."""

    def random(self) -> float:
        return 0.5


def _changes(count: int) -> list[Order]:
    """A whole configuration, and patches on it, the second of which is longer than a part."""
    service = {"name": "s"}
    document = {
        "version": 1,
        "route-table": [{"name": "r", "hostname": "h", "path-prefix": "/a/", "backend": "s"}],
        "backends": [service],
    }
    orders = [Order("PUT", "0", json.dumps(document).encode())]
    for version in range(2, count + 1):
        length = PART_BYTES if version == 3 else 1
        item = {"name": "s" + str(version) * length}
        patched = {"version": version, "upsert": {"backends": [item]}}
        orders.append(Order("PATCH", str(version - 1), json.dumps(patched).encode()))
    return orders


@lru_cache(maxsize=8)
def _history(count: int) -> tuple[tuple[bytes, ...], tuple[bytes, ...], tuple[bytes, ...]]:
    """Updates, and for each number of them the snapshot and the document."""
    machine = ConfigurationMachine()
    updates: list[bytes] = []
    snapshots, documents = [machine.snapshot()], [machine.state.json()]
    for order in _changes(count):
        update = machine.decide(encode(order)).update
        assert update is not None
        machine.apply(update)
        updates.append(update)
        snapshots.append(machine.snapshot())
        documents.append(machine.state.json())
    return tuple(updates), tuple(snapshots), tuple(documents)


@attrs.define(slots=True)
class _Voter:
    """One life of a voter."""

    publisher: Publisher
    knows: int = 0
    """So many changes are known to it as committed."""
    is_asked: bool = False
    """Its publisher wants a snapshot."""
    is_confirmed: bool = True
    """A head in force has told it all that is committed."""


class _Machine:
    """One life of a machine that subscribes."""

    def __init__(self, now: float, voters: Iterable[str]) -> None:
        self.subscriber = Subscriber(MACHINE, "", _Same())
        self.feed = ConfigurationFeed(self.configured, self.failed)
        self.sequence = 0
        self.errors: list[str] = []
        self.voters = tuple(VoterAddress(ip, "") for ip in voters)

    def configured(self, state: ConfigurationState) -> None:
        """The feed has put a state in force."""

    def failed(self, name: str, **facts: object) -> None:
        """The feed could not put something in force."""
        self.errors.append(f"{name} {facts}")


class DistributionWorld(World):
    """See the module."""

    def __init__(self, scope: DistributionScope) -> None:
        super().__init__()
        self.scope = scope
        self.now = 0.0
        self.steps = 0
        self.committed = scope.begins_with
        self.network = Network()
        self.voters: dict[str, _Voter] = {}
        for name in scope.voters:
            self._begin_voter(name, scope.begins_with)
        self._begin_machine()

    def _begin_voter(self, name: str, knows: int, is_confirmed: bool = True) -> None:
        publisher = Publisher(is_confirmed)
        self.voters[name] = _Voter(publisher, knows, is_confirmed=is_confirmed)
        self._published(name, self.voters[name].publisher.start(self.now))
        if knows:
            self._restored(name)

    def _begin_machine(self) -> None:
        self.machine = _Machine(self.now, self.scope.voters)
        subscriber = self.machine.subscriber
        self._subscribed(
            [*subscriber.start(self.now), *subscriber.voters_changed(self.now, self.machine.voters)]
        )

    # -- what may happen --

    def moves(self) -> Iterable[Action]:
        yield from self.network.moves(self.deliver, self.lose)
        if self.committed < self.scope.changes:
            yield move(f"change {self.committed + 1} is committed", self.commit)
        for name, voter in self.voters.items():
            yield from self._voter_moves(name, voter)
        yield move(f"{MACHINE} is killed and starts again", self.restart_machine, cost=1)
        late = 1 if self.network.letters else 0
        if self.time < self.scope.most_time:
            yield move(f"{STEP_S:g} s pass", self.wait, STEP_S, cost=late)
            yield move(f"{LONG_S:g} s pass", self.wait, LONG_S, cost=1)

    def _voter_moves(self, name: str, voter: _Voter) -> Iterable[Action]:
        if voter.knows < self.committed:
            yield move(f"{name} learns that {voter.knows + 1} is committed", self.learn, name)
            yield move(f"{name} is handed the state at {self.committed}", self.hand, name, cost=1)
        if not voter.is_confirmed:
            yield move(f"{name} hears of a head in force, and what is committed", self.confirm, name)
        if voter.is_asked:
            yield move(f"{name}'s publisher is given the snapshot it wants", self.give_snapshot, name)
        for kept in {voter.knows, max(voter.knows - 1, 0)}:
            text = f"{name} is killed and starts again, knowing of {kept}"
            yield move(text, self.restart_voter, name, kept, cost=1)
        yield move(f"the connections of {name} are reset", self.reset, name, cost=1)

    # -- the chain --

    def commit(self) -> None:
        """One more change is committed."""
        self.committed += 1

    def learn(self, name: str) -> None:
        """A voter learns of the next change."""
        voter = self.voters[name]
        voter.knows += 1
        update = _history(self.scope.changes)[0][voter.knows - 1]
        self._published(name, voter.publisher.add_committed_update(self.now, voter.knows, update))

    def hand(self, name: str) -> None:
        """A voter is handed the whole committed state."""
        self.voters[name].knows = self.committed
        self._restored(name)

    def give_snapshot(self, name: str) -> None:
        """As `ReplicaRole` does at its next tick."""
        self._restored(name)

    def _restored(self, name: str) -> None:
        voter = self.voters[name]
        voter.is_asked = False
        snapshot = _history(self.scope.changes)[1][voter.knows]
        self._published(name, voter.publisher.load_snapshot(self.now, voter.knows, snapshot))

    def restart_voter(self, name: str, kept: int) -> None:
        """Its disk may know of less than its process did."""
        self._begin_voter(name, kept, not self.scope.confirms)

    def confirm(self, name: str) -> None:
        """As `ReplicaRole` does in the chain of a view in force: the head's first heartbeat has told what is
        committed."""
        voter = self.voters[name]
        while voter.knows < self.committed:
            self.learn(name)
        voter.is_confirmed = True
        self._published(name, voter.publisher.confirm(self.now))

    def _published(self, name: str, effects: Iterable[Send | SnapshotWanted]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._check_handed_out(name, effect.message)
                self.network.send(name, effect.ip, effect.message, _shown(effect.message))
            else:
                self.voters[name].is_asked = True

    def _check_handed_out(self, name: str, message: object) -> None:
        is_nothing = isinstance(message, Offer) and message.newest == NOTHING
        text = f"{name} tells {_shown(message)}"
        self.must(self.voters[name].is_confirmed or is_nothing, "unsure", text)

    # -- the machine --

    def _subscribed(self, effects: Iterable[Send | Apply | Replace]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.send(MACHINE, effect.ip, effect.message, _shown(effect.message))
            else:
                self._put_in_force(effect)

    def _put_in_force(self, effect: Apply | Replace) -> None:
        machine = self.machine
        machine.feed.apply(effect)
        document = machine.feed.state.json()
        documents = _history(self.scope.changes)[2]
        self.tell(f"-> {effect.sequence} is in force")
        text = f"{effect.sequence} came into force after {machine.sequence}"
        self.must(effect.sequence > machine.sequence, "back", text)
        self.must(effect.sequence <= self.committed, "uncommitted", f"{effect.sequence} of {self.committed}")
        is_right = effect.sequence < len(documents) and documents[effect.sequence] == document
        self.must(is_right, "uncommitted", f"{effect.sequence} is not what was committed under that number")
        self.must(not machine.errors, "uncommitted", "; ".join(machine.errors))
        machine.sequence = effect.sequence

    def restart_machine(self) -> None:
        """A process ends and starts."""
        for link in [(MACHINE, name) for name in self.voters]:
            self.network.cut(*link)
        self._begin_machine()

    def reset(self, name: str) -> None:
        """Connections between a voter and the machine, both ways."""
        self.network.cut(name, MACHINE)
        self.network.cut(MACHINE, name)
        self._subscribed(self.machine.subscriber.link_up(self.now, name))

    # -- the network and time --

    def deliver(self, place: int) -> None:
        """A message comes."""
        letter = self.network.take(place)
        if letter.target == MACHINE:
            self._subscribed(self.machine.subscriber.receive(self.now, letter.source, letter.message))
        else:
            publisher = self.voters[letter.target].publisher
            self._published(letter.target, publisher.receive(self.now, letter.source, letter.message))

    def lose(self, place: int) -> None:
        """A message is lost."""
        self.network.take(place)

    def wait(self, seconds: float) -> None:
        """Time passes for all."""
        self.now += seconds
        self.steps += 1
        self._tick()

    def _tick(self) -> None:
        for name, voter in self.voters.items():
            if voter.is_asked:
                self._restored(name)
            self._published(name, voter.publisher.tick(self.now))
        self._subscribed(self.machine.subscriber.tick(self.now))

    @property
    def time(self) -> int:
        return self.steps

    # -- when all is calm --

    def settles(self) -> bool:
        """Whether the newest state comes into force if from now on nothing goes wrong. Changes the world."""
        until = self.now + CALM_S
        while self.now < until:
            for name, voter in self.voters.items():
                while voter.knows < self.committed:
                    self.learn(name)
                if not voter.is_confirmed:
                    self.confirm(name)
            self._deliver_all()
            if self.wrong or self.machine.sequence == self.committed:
                return True
            self.now += CALM_STEP_S
            self._tick()
        return False

    def _deliver_all(self) -> None:
        for _ in range(MOST_AT_ONCE):
            if not self.network.letters:
                return
            self.deliver(0)
        self.must(False, "storm", f"{MOST_AT_ONCE} messages, and still more, with no time between them")

    def look_ahead(self) -> None:
        """Breaks `behind` where it holds no more."""
        if self.wrong or self.key() % self.scope.calm_every:
            return
        later = copied(self)
        settled = later.settles()
        self.wrong += later.wrong
        self.must(settled, "behind", f"{self.committed} is committed and not in force {CALM_S:g} s later")

    def key(self) -> int:
        machine = self.machine
        parts = [_FORM.told(voter, self.now) for voter in self.voters.values()]
        told = _FORM.told((machine.subscriber, machine.sequence, machine.feed.state.version), self.now)
        return digest((self.committed, parts, told, self.network.key()))


def _shown(message: object) -> str:
    match message:
        case Subscribe():
            return f"'have {message.have}'" + (" (pushes wanted)" if message.wants_push else "")
        case Offer():
            return f"an offer of {message.newest}"
        case Pull():
            return f"'wants what follows {message.have}'"
        case Delta():
            return (
                f"updates {message.first} to {message.first + len(message.updates) - 1} of {message.newest}"
            )
        case PullPart():
            return f"'wants {_whole(message)} from {message.offset} on'"
        case Part():
            return f"{_whole(message)} from {message.offset} on, {len(message.data)} of {message.total} bytes"
        case Acknowledge():
            return f"'{message.sequence} is in force'"
    return str(message)


def _whole(part: Part | PullPart) -> str:
    return f"{'snapshot' if part.is_snapshot else 'update'} {part.sequence}"


_FORM = Form(
    skipped=frozenset(
        {
            "_random",
            "_fleet_size",
            "_fleet_sizes",
            "_counting_starts_at",
            "_packages",
            "_own_ip",
            "_own_zone",
            "zone",
        }
    ),
    plain=frozenset({"rank", "lease_s", "_timeout_factor"}),
    oldest_s=8.0,
)
