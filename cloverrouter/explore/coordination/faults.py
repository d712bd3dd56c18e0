"""Seeded faults of the replica models: each context injects one fault into the shipped cores.

A fault replaces a method by name, so it fails with an error if a change of the cores removes the method. The
function names, with hyphens, are the names of the faults on the command line and in saved histories, and the
doc comments are their descriptions.
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
from cloverrouter.explore.coordination import deviations
from cloverrouter.explore.coordination.scope import ModelFault

FAULTS: dict[str, ModelFault] = {}
_evolve: Any = (
    attrs.evolve
)  # untyped: the type checker does not see that the `message` decorator makes attrs classes
Seeded = Callable[[], AbstractContextManager[Any]]


def _fault(scope: str, *shows: str) -> Callable[[Callable[[], Iterator[None]]], Seeded]:
    """Registers a fault under its function's name and doc comment."""

    def register(function: Callable[[], Iterator[None]]) -> Seeded:
        seeded = contextmanager(function)
        name = function.__name__.replace("_", "-")
        FAULTS[name] = ModelFault(function.__doc__ or "", shows, scope, seeded)
        return seeded

    return register


def _assume_stored(method: Callable[..., Any]) -> Callable[..., Any]:
    """Wraps a method so that it treats pending writes as stored."""

    def faulty(self: Any, *rest: Any) -> Any:
        disk = self._context.disk
        durable = disk.durable
        disk.durable = Durable(disk.meta, disk.seq)
        try:
            return method(self, *rest)
        finally:
            disk.durable = durable

    return faulty


@contextmanager
def _whole_states() -> Iterator[None]:
    """Makes heads always hand over the whole state. This is not a fault.

    A partial state must match what the receiver has, which hides some faults.
    """
    original = Head._install_for

    def whole(self: Head, identity: str) -> Any:
        self._prefix_seqs.clear()
        return original(self, identity)

    with patch.object(Head, "_install_for", whole):
        yield


@_fault("coordination-cut", "told", "order", "lost")
def promise_before_disk() -> Iterator[None]:
    """A promise is sent before it is on the disk."""
    with patch.object(Follower, "_flush_promise", _assume_stored(Follower._flush_promise)):
        yield


@_fault("coordination-return", "order", "lost", "sure", "view")
def old_voters_left_out() -> Iterator[None]:
    """A view that replaces a voter does not need a majority of the old voters."""
    original = Proposal.new_view

    def faulty(self: Proposal) -> View:
        view: View = _evolve(original(self), old_voters=())
        return view

    with patch.object(Proposal, "new_view", faulty):
        yield


@_fault("coordination-cut", "read")
def read_without_contact() -> Iterator[None]:
    """A head answers reads without confirming with a majority that it still is head."""
    original = Head.answer_reads

    def faulty(self: Head) -> None:
        for entry in self._pending.reads:
            entry.round = 0
        original(self)

    with patch.object(Head, "answer_reads", faulty):
        yield


@_fault("coordination-pairs", "order", "lost", "back", "crash")
def epoch_not_checked() -> Iterator[None]:
    """Updates are accepted whatever their epoch."""
    with patch.object(Follower, "_is_in_chain", lambda *_: True):
        yield


@_fault("coordination-loss", "order", "lost", "back")
def identity_kept_by_an_empty_disk() -> Iterator[None]:
    """A replaced, empty disk keeps the identity of the lost one."""
    original = deviations.identity_of

    def same(position: int, disks: int) -> str:
        return original(position, 0)

    with patch.object(deviations, "identity_of", same):
        yield


@_fault("coordination-exchange", "order", "back", "lost", "crash")
def number_of_the_state_wrong() -> Iterator[None]:
    """A whole state is handed over with a sequence number that is too low by one."""
    original = Head._install_for

    def violations(self: Head, identity: str) -> Any:
        install = original(self, identity)
        if install.snapshot is None or install.seq == 0:
            return install
        return _evolve(install, seq=install.seq - 1)

    with patch.object(Head, "_install_for", violations):
        yield


@_fault("coordination-exchange", "lost", "told", "order", "back", "durable")
def epoch_stored_before_the_state() -> Iterator[None]:
    """The epoch of a received state is written in a record before the state itself."""
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
    """A chain may be too short to tolerate the loss of a disk."""

    def one(count: int, tolerance: int) -> int:
        return 1

    with patch.object(proposal, "min_chain_length", one), patch.object(roster, "min_chain_length", one):
        yield


@_fault("coordination-cut", "durable", "told", "lost")
def acknowledged_before_disk() -> Iterator[None]:
    """A chain member acknowledges updates that are not on its disk."""

    def faulty(self: Follower) -> int:
        return min(self._upstream_stored_seq, self._context.history.newest)

    with patch.object(Follower, "_stored_seq", faulty):
        yield


@_fault("coordination-cut", "durable", "lost", "order")
def committed_without_the_tail() -> Iterator[None]:
    """The head confirms updates that are on its own disk only."""
    with patch.object(Head, "_chain_stored_seq", Head._own_stored_seq):
        yield


@_fault("coordination-cut", "sure")
def sure_for_too_long() -> Iterator[None]:
    """A head keeps its lease until the lost-quorum timeout, longer than its voters stick to it."""

    def long(self: HeartbeatRounds) -> float | None:
        return None if self._lease_from is None else self._lease_from + self._config.lost_quorum_s

    with patch.object(HeartbeatRounds, "lease_until", property(long)):
        yield


@_fault("coordination-cut", "order", "lost", "durable", "sure", "view", "read")
def a_minority_is_enough() -> Iterator[None]:
    """A view needs one promise fewer than a majority."""

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
    """A new head does not fetch the newest state among the voters that promised."""
    original = Proposal._select_state

    def faulty(self: Proposal, now: float) -> None:
        original(self, now)
        if self.phase is Phase.FETCHING:
            self.phase = Phase.READY

    with patch.object(Proposal, "_select_state", faulty):
        yield


@_fault("coordination-crash-and-cut", "order", "lost", "back")
def all_on_disk_is_committed() -> Iterator[None]:
    """A replica that starts treats everything on its disk as committed."""
    original = History.start

    def faulty(self: History, stored: Any) -> Any:
        newest = stored.updates[-1].seq if stored.updates else 0
        return original(self, attrs.evolve(stored, meta=attrs.evolve(stored.meta, committed=newest)))

    with patch.object(History, "start", faulty):
        yield


@_fault("coordination-genesis", "view")
def a_first_start_without_agreement() -> Iterator[None]:
    """A seed announces the first voters without agreement with the other seeds."""

    def alone(self: GenesisProposer, now: float) -> None:
        disks = sorted(self._eligible_disks.values(), key=lambda member: member.identity)
        self._spread(now, tuple(disks))

    with patch.object(GenesisProposer, "_prepare", alone):
        yield
