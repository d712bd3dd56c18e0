"""Model of the distribution of committed configurations: the shipped publishers, subscriber and feed.

The model covers the chain, which notifies each voter of commits at a different time; restarts of voters and
of the machine, where a voter may know less than it had published before; messages that are delayed, lost or
reordered by newer connections; and time.
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
from cloverrouter.explore.coordination.copies import Canonicalizer, Immutable, deep_copy, digest
from cloverrouter.explore.coordination.network import Network
from cloverrouter.explore.coordination.search import Action
from cloverrouter.explore.coordination.world_model import World, move
from cloverrouter.messages import encode
from cloverrouter.messages.sending import Send

INVARIANTS = {
    "back": "the configuration in force never goes back while the process lives",
    "uncommitted": "the configuration in force is a complete and unchanged committed state",
    "storm": "the exchange of messages ends without the passing of time",
    "unsure": "a restarted voter publishes nothing before a head in force has confirmed it",
    "behind": "after the last fault the newest committed state is in force within CALM_S",
}
PART_BYTES = 120  # small enough that a snapshot needs several parts
WINDOW_COUNT = 2
STEP_S = 0.5
LONG_STEP_S = 2.0
CALM_S = 8.0
CALM_STEP_S = 0.25
MAX_MESSAGES_AT_ONCE = 400
MACHINE = "m"


@attrs.frozen(slots=True)
class DistributionScope:
    """The size of a world."""

    changes: int = 2
    voters: tuple[str, ...] = ("v1", "v2")
    small_parts: bool = True
    max_steps: int = 2
    """Number of time steps."""
    initial_changes: int = 0
    """Number of changes that are committed and known to all voters at the start."""
    calm_check_interval: int = 1
    """Convergence is checked in one of this many states."""
    restarts_unconfirmed: bool = False
    """Whether a restarted voter is unconfirmed, and may know less than it had published, until `confirm`."""


@contextmanager
def patched_limits(scope: DistributionScope) -> Iterator[None]:
    """Makes parts and window small, so that a few small changes cover the behaviour of large ones."""
    with ExitStack() as stack:
        if scope.small_parts:
            for module in (publisher_module, subscriber_module, transfer_module):
                stack.enter_context(patch.object(module, "PART_BYTES", PART_BYTES))
            stack.enter_context(patch.object(publisher_module, "WINDOW_COUNT", WINDOW_COUNT))
        yield


class _ConstantRandom(Random, Immutable):
    """Always draws the same number, so that the first voter is the source."""

    def random(self) -> float:
        return 0.5


def _changes(count: int) -> list[Order]:
    """Returns a whole configuration and patches on it, the second of which is longer than a part."""
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
    """Returns the updates, and the snapshot and document after each number of updates."""
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
    """A voter process."""

    publisher: Publisher
    known_changes: int = 0
    """Number of changes that it knows to be committed."""
    wants_snapshot: bool = False
    """Whether its publisher has requested a snapshot."""
    is_confirmed: bool = True
    """Whether a head in force has told it everything that is committed."""


class _Machine:
    """The process of a machine that subscribes to configurations."""

    def __init__(self, now: float, voters: Iterable[str]) -> None:
        self.subscriber = Subscriber(MACHINE, "", _ConstantRandom())
        self.feed = ConfigurationFeed(self.configured, self.failed)
        self.sequence = 0
        self.errors: list[str] = []
        self.voters = tuple(VoterAddress(ip, "") for ip in voters)

    def configured(self, state: ConfigurationState) -> None:
        """Ignores that the feed has put a state into force."""

    def failed(self, name: str, **facts: object) -> None:
        """Records that the feed could not put a state into force."""
        self.errors.append(f"{name} {facts}")


class DistributionWorld(World):
    """The chain, voters, the machine and their network; see the module."""

    def __init__(self, scope: DistributionScope) -> None:
        super().__init__()
        self.scope = scope
        self.now = 0.0
        self.steps = 0
        self.committed = scope.initial_changes
        self.network = Network()
        self.voters: dict[str, _Voter] = {}
        for name in scope.voters:
            self._start_voter(name, scope.initial_changes)
        self._start_machine()

    def _start_voter(self, name: str, known_changes: int, is_confirmed: bool = True) -> None:
        publisher = Publisher(is_confirmed)
        self.voters[name] = _Voter(publisher, known_changes, is_confirmed=is_confirmed)
        self._carry_out_publisher(name, self.voters[name].publisher.start(self.now))
        if known_changes:
            self._restored(name)

    def _start_machine(self) -> None:
        self.machine = _Machine(self.now, self.scope.voters)
        subscriber = self.machine.subscriber
        self._carry_out_subscriber(
            [*subscriber.start(self.now), *subscriber.voters_changed(self.now, self.machine.voters)]
        )

    # -- moves --

    def moves(self) -> Iterable[Action]:
        yield from self.network.moves(self.deliver, self.lose)
        if self.committed < self.scope.changes:
            yield move(f"change {self.committed + 1} is committed", self.commit)
        for name, voter in self.voters.items():
            yield from self._voter_moves(name, voter)
        yield move(f"{MACHINE} is killed and starts again", self.restart_machine, cost=1)
        late = 1 if self.network.envelopes else 0
        if self.time < self.scope.max_steps:
            yield move(f"{STEP_S:g} s pass", self.wait, STEP_S, cost=late)
            yield move(f"{LONG_STEP_S:g} s pass", self.wait, LONG_STEP_S, cost=1)

    def _voter_moves(self, name: str, voter: _Voter) -> Iterable[Action]:
        if voter.known_changes < self.committed:
            yield move(f"{name} learns that {voter.known_changes + 1} is committed", self.learn, name)
            yield move(f"{name} is handed the state at {self.committed}", self.hand_over_state, name, cost=1)
        if not voter.is_confirmed:
            yield move(f"{name} hears of a head in force, and what is committed", self.confirm, name)
        if voter.wants_snapshot:
            yield move(f"{name}'s publisher is given the snapshot it wants", self.give_snapshot, name)
        for known_after_restart in {voter.known_changes, max(voter.known_changes - 1, 0)}:
            text = f"{name} is killed and starts again, knowing of {known_after_restart}"
            yield move(text, self.restart_voter, name, known_after_restart, cost=1)
        yield move(f"the connections of {name} are reset", self.reset, name, cost=1)

    # -- the chain --

    def commit(self) -> None:
        """Commits the next change."""
        self.committed += 1

    def learn(self, name: str) -> None:
        """Notifies a voter of the next committed change."""
        voter = self.voters[name]
        voter.known_changes += 1
        update = _history(self.scope.changes)[0][voter.known_changes - 1]
        self._carry_out_publisher(
            name, voter.publisher.add_committed_update(self.now, voter.known_changes, update)
        )

    def hand_over_state(self, name: str) -> None:
        """Hands the whole committed state to a voter."""
        self.voters[name].known_changes = self.committed
        self._restored(name)

    def give_snapshot(self, name: str) -> None:
        """Gives a publisher the requested snapshot, as `ReplicaRole` does at its next tick."""
        self._restored(name)

    def _restored(self, name: str) -> None:
        voter = self.voters[name]
        voter.wants_snapshot = False
        snapshot = _history(self.scope.changes)[1][voter.known_changes]
        self._carry_out_publisher(
            name, voter.publisher.load_snapshot(self.now, voter.known_changes, snapshot)
        )

    def restart_voter(self, name: str, known_after_restart: int) -> None:
        """Restarts a voter, whose disk may have fewer commits than its process knew."""
        self._start_voter(name, known_after_restart, not self.scope.restarts_unconfirmed)

    def confirm(self, name: str) -> None:
        """Confirms a voter, as `ReplicaRole` does in the chain of a view in force.

        The head's first heartbeat has told it what is committed.
        """
        voter = self.voters[name]
        while voter.known_changes < self.committed:
            self.learn(name)
        voter.is_confirmed = True
        self._carry_out_publisher(name, voter.publisher.confirm(self.now))

    def _carry_out_publisher(self, name: str, effects: Iterable[Send | SnapshotWanted]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._check_handed_out(name, effect.message)
                self.network.send(name, effect.ip, effect.message, _describe(effect.message))
            else:
                self.voters[name].wants_snapshot = True

    def _check_handed_out(self, name: str, message: object) -> None:
        is_nothing = isinstance(message, Offer) and message.newest == NOTHING
        text = f"{name} tells {_describe(message)}"
        self.require(self.voters[name].is_confirmed or is_nothing, "unsure", text)

    # -- the machine --

    def _carry_out_subscriber(self, effects: Iterable[Send | Apply | Replace]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.send(MACHINE, effect.ip, effect.message, _describe(effect.message))
            else:
                self._put_in_force(effect)

    def _put_in_force(self, effect: Apply | Replace) -> None:
        machine = self.machine
        machine.feed.apply(effect)
        document = machine.feed.state.json()
        documents = _history(self.scope.changes)[2]
        self.add_note(f"-> {effect.sequence} is in force")
        text = f"{effect.sequence} came into force after {machine.sequence}"
        self.require(effect.sequence > machine.sequence, "back", text)
        self.require(
            effect.sequence <= self.committed, "uncommitted", f"{effect.sequence} of {self.committed}"
        )
        is_right = effect.sequence < len(documents) and documents[effect.sequence] == document
        self.require(
            is_right, "uncommitted", f"{effect.sequence} is not what was committed under that number"
        )
        self.require(not machine.errors, "uncommitted", "; ".join(machine.errors))
        machine.sequence = effect.sequence

    def restart_machine(self) -> None:
        """Restarts the machine's process; messages that it sent are lost."""
        for link in [(MACHINE, name) for name in self.voters]:
            self.network.reset(*link)
        self._start_machine()

    def reset(self, name: str) -> None:
        """Resets the connections between a voter and the machine in both directions."""
        self.network.reset(name, MACHINE)
        self.network.reset(MACHINE, name)
        self._carry_out_subscriber(self.machine.subscriber.link_up(self.now, name))

    # -- the network and time --

    def deliver(self, position: int) -> None:
        """Delivers a message."""
        envelope = self.network.remove(position)
        if envelope.target == MACHINE:
            self._carry_out_subscriber(
                self.machine.subscriber.receive(self.now, envelope.source, envelope.message)
            )
        else:
            publisher = self.voters[envelope.target].publisher
            self._carry_out_publisher(
                envelope.target, publisher.receive(self.now, envelope.source, envelope.message)
            )

    def lose(self, position: int) -> None:
        """Loses a message."""
        self.network.remove(position)

    def wait(self, seconds: float) -> None:
        """Advances time for all processes."""
        self.now += seconds
        self.steps += 1
        self._tick()

    def _tick(self) -> None:
        for name, voter in self.voters.items():
            if voter.wants_snapshot:
                self._restored(name)
            self._carry_out_publisher(name, voter.publisher.tick(self.now))
        self._carry_out_subscriber(self.machine.subscriber.tick(self.now))

    @property
    def time(self) -> int:
        return self.steps

    # -- convergence without further faults --

    def settle(self) -> bool:
        """Returns whether the newest state comes into force without further faults. Modifies the world."""
        until = self.now + CALM_S
        while self.now < until:
            for name, voter in self.voters.items():
                while voter.known_changes < self.committed:
                    self.learn(name)
                if not voter.is_confirmed:
                    self.confirm(name)
            self._deliver_all()
            if self.violations or self.machine.sequence == self.committed:
                return True
            self.now += CALM_STEP_S
            self._tick()
        return False

    def _deliver_all(self) -> None:
        for _ in range(MAX_MESSAGES_AT_ONCE):
            if not self.network.envelopes:
                return
            self.deliver(0)
        self.require(
            False, "storm", f"{MAX_MESSAGES_AT_ONCE} messages and still more without the passing of time"
        )

    def look_ahead(self) -> None:
        """Checks the invariant `behind` in a sample of the states."""
        if self.violations or self.key() % self.scope.calm_check_interval:
            return
        later = deep_copy(self)
        settled = later.settle()
        self.violations += later.violations
        self.require(settled, "behind", f"{self.committed} is committed and not in force {CALM_S:g} s later")

    def key(self) -> int:
        machine = self.machine
        voter_forms = [_CANONICALIZER.canonical(voter, self.now) for voter in self.voters.values()]
        subscriber_form = _CANONICALIZER.canonical(
            (machine.subscriber, machine.sequence, machine.feed.state.version), self.now
        )
        return digest((self.committed, voter_forms, subscriber_form, self.network.key()))


def _describe(message: object) -> str:
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


_CANONICALIZER = Canonicalizer(
    skipped_fields=frozenset(
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
    non_time_fields=frozenset({"rank", "lease_s", "_timeout_factor"}),
    max_age_s=8.0,
)
