"""Seeded faults: the shipped cores with one mistake each, while the context is entered.

Each replaces one method by name, so that a change of the cores that takes the method away fails loudly here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import patch

import attrs

from cloverrouter.coordination import proposal, roster, views
from cloverrouter.coordination.disk import DiskQueue, Durable
from cloverrouter.coordination.follower import Follower
from cloverrouter.coordination.genesis import GenesisProposer
from cloverrouter.coordination.head import Head
from cloverrouter.coordination.history import History
from cloverrouter.coordination.proposal import Phase, Proposal
from cloverrouter.coordination.rounds import HeartbeatRounds
from cloverrouter.coordination.views import Member, View
from cloverrouter.explore.coordination import troubles
from cloverrouter.explore.coordination.scope import ModelFault

FAULTS: dict[str, ModelFault] = {}
_evolve: Any = (
    attrs.evolve
)  # messages are attrs classes by a decorator that the type checker can't see through
Seeded = Callable[[], AbstractContextManager[Any]]


def _fault(scope: str, *shows: str) -> Callable[[Callable[[], Iterator[None]]], Seeded]:
    """Register a fault under its function's name and text."""

    def register(function: Callable[[], Iterator[None]]) -> Seeded:
        seeded = contextmanager(function)
        name = function.__name__.replace("_", "-")
        FAULTS[name] = ModelFault(function.__doc__ or "", shows, scope, seeded)
        return seeded

    return register


def _as_if_stored(method: Callable[..., Any]) -> Callable[..., Any]:
    """A method that takes for stored what is only to be."""

    def hasty(self: Any, *rest: Any) -> Any:
        disk = self._context.disk
        kept = disk.durable
        disk.durable = Durable(disk.meta, disk.seq)
        try:
            return method(self, *rest)
        finally:
            disk.durable = kept

    return hasty


@contextmanager
def _whole_states() -> Iterator[None]:
    """No fault: heads always hand over the whole state. That one handed over in part has to fit what is there
    hides some faults."""
    original = Head._install_for

    def whole(self: Head, identity: str) -> Any:
        self._prefix_seqs.clear()
        return original(self, identity)

    with patch.object(Head, "_install_for", whole):
        yield


@_fault("coordination-cut", "told", "order", "lost")
def promise_before_disk() -> Iterator[None]:
    """A promise is answered before it is on the disk."""
    with patch.object(Follower, "_flush_promise", _as_if_stored(Follower._flush_promise)):
        yield


@_fault("coordination-return", "order", "lost", "sure", "view")
def old_voters_left_out() -> Iterator[None]:
    """A view with another voter does not need the old voters."""
    original = Proposal.new_view

    def careless(self: Proposal) -> View:
        view: View = _evolve(original(self), old_voters=())
        return view

    with patch.object(Proposal, "new_view", careless):
        yield


@_fault("coordination-cut", "read")
def read_without_contact() -> Iterator[None]:
    """A head answers reads without asking whether it still is one."""
    original = Head.answer_reads

    def trusting(self: Head) -> None:
        for entry in self._pending.reads:
            entry.round = 0
        original(self)

    with patch.object(Head, "answer_reads", trusting):
        yield


@_fault("coordination-pairs", "order", "lost", "back", "crash")
def epoch_not_checked() -> Iterator[None]:
    """Updates are taken whatever their epoch."""
    with patch.object(Follower, "_is_in_chain", lambda *_: True):
        yield


@_fault("coordination-loss", "order", "lost", "back")
def identity_kept_by_an_empty_disk() -> Iterator[None]:
    """A disk that comes back empty goes by the identity of the one before."""
    original = troubles.identity_of

    def same(place: int, disks: int) -> str:
        return original(place, 0)

    with patch.object(troubles, "identity_of", same):
        yield


@_fault("coordination-exchange", "order", "back", "lost", "crash")
def number_of_the_state_wrong() -> Iterator[None]:
    """A whole state is handed over under the number before its own."""
    original = Head._install_for

    def wrong(self: Head, identity: str) -> Any:
        install = original(self, identity)
        if install.snapshot is None or install.seq == 0:
            return install
        return _evolve(install, seq=install.seq - 1)

    with patch.object(Head, "_install_for", wrong):
        yield


@_fault("coordination-exchange", "lost", "told", "order", "back", "durable")
def epoch_stored_before_the_state() -> Iterator[None]:
    """The epoch of a state that was handed over is written first, and the state in a record after it."""
    original = DiskQueue.next_record

    def split(self: DiskQueue, now: float, lazy_s: float) -> Any:
        snapshot = self._snapshot
        if snapshot is None or self._in_flight is not None or self._failing_since is not None:
            return original(self, now, lazy_s)
        if getattr(self, "_is_split", False):
            return original(self, now, lazy_s)
        self._is_split = True  # type: ignore[attr-defined]
        updates, self._updates, self._snapshot = self._updates, [], None
        following = original(self, now, lazy_s)
        self._snapshot, self._updates, self._dirty = snapshot, updates, True
        return following

    with patch.object(DiskQueue, "next_record", split):
        yield


@_fault("coordination-votes", "durable", "lost")
def chain_of_one() -> Iterator[None]:
    """A chain may be shorter than it takes to lose a disk."""

    def one(count: int, tolerance: int) -> int:
        return 1

    with patch.object(proposal, "min_chain_length", one), patch.object(roster, "min_chain_length", one):
        yield


@_fault("coordination-cut", "durable", "told", "lost")
def acknowledged_before_disk() -> Iterator[None]:
    """A member of the chain acknowledges updates that are not on its disk."""

    def hasty(self: Follower) -> int:
        return min(self._upstream_stored_seq, self._context.history.newest)

    with patch.object(Follower, "_stored_seq", hasty):
        yield


@_fault("coordination-cut", "durable", "lost", "order")
def committed_without_the_tail() -> Iterator[None]:
    """The head confirms what is on its own disk."""
    with patch.object(Head, "_chain_stored_seq", Head._own_stored_seq):
        yield


@_fault("coordination-cut", "sure")
def sure_for_too_long() -> Iterator[None]:
    """A head is sure until it would give up, and not only as long as its voters hold to it."""

    def long(self: HeartbeatRounds) -> float | None:
        return None if self._lease_from is None else self._lease_from + self._config.lost_quorum_s

    with patch.object(HeartbeatRounds, "lease_until", property(long)):
        yield


@_fault("coordination-cut", "order", "lost", "durable", "sure", "view", "read")
def a_minority_is_enough() -> Iterator[None]:
    """A view needs one promise less than a majority."""

    def few(voters: tuple[Member, ...], identities: set[str]) -> bool:
        present = sum(1 for member in voters if member.identity in identities)
        return present >= views.majority(len(voters)) - 1

    def alone(count: int, tolerance: int) -> int:
        return 1

    with (
        patch.object(views, "is_majority", few),
        patch.object(proposal, "min_chain_length", alone),
        patch.object(roster, "min_chain_length", alone),
    ):
        yield


@_fault("coordination-votes", "order", "lost", "back", "read")
def the_proposer_keeps_its_own_state() -> Iterator[None]:
    """A new head does not fetch the newest state of those that promised."""
    original = Proposal._select_state

    def proud(self: Proposal, now: float) -> None:
        original(self, now)
        if self.phase is Phase.FETCHING:
            self.phase = Phase.READY

    with patch.object(Proposal, "_select_state", proud):
        yield


@_fault("coordination-crash-and-cut", "order", "lost", "back")
def all_on_disk_is_committed() -> Iterator[None]:
    """A replica that starts takes all that it has for committed."""
    original = History.start

    def trusting(self: History, stored: Any) -> Any:
        newest = stored.updates[-1].seq if stored.updates else 0
        return original(self, attrs.evolve(stored, meta=attrs.evolve(stored.meta, committed=newest)))

    with patch.object(History, "start", trusting):
        yield


@_fault("coordination-genesis", "view")
def a_first_start_without_agreement() -> Iterator[None]:
    """A seed tells the first voters without the other seeds."""

    def alone(self: GenesisProposer, now: float) -> None:
        disks = sorted(self._disks.values(), key=lambda member: member.identity)
        self._spread(now, tuple(disks))

    with patch.object(GenesisProposer, "_prepare", alone):
        yield
