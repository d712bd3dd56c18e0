"""Faults injected into the replica or its disk; the simulation has to detect each. By hand:

python -m tests.system.replica_faults [--seeds 400] [NAME ...]
"""

from __future__ import annotations

import argparse
import itertools
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any
from unittest.mock import patch

import attrs

from cloverrouter.coordination import head, proposal, roster, rounds, views
from cloverrouter.coordination.context import Context
from cloverrouter.coordination.disk import DiskQueue, Durable
from cloverrouter.coordination.effects import Answer, Outcome
from cloverrouter.coordination.follower import Follower
from cloverrouter.coordination.head import Head
from cloverrouter.coordination.head_contact import HeadContact
from cloverrouter.coordination.history import History
from cloverrouter.coordination.pending_calls import PendingCalls
from cloverrouter.coordination.proposal import Phase, Proposal
from cloverrouter.coordination.replica import Replica
from cloverrouter.coordination.roster import Roster
from cloverrouter.coordination.rounds import HeartbeatRounds
from cloverrouter.coordination.views import Member, View
from tests.system.replica_chaos import play
from tests.system.replica_scenarios import SCENARIOS, SituationNotReached
from tests.system.replica_world import Disk, Violation, World

_evolve: Any = (
    attrs.evolve
)  # messages become attrs classes through a decorator that the type checker does not see through

FAULTS: dict[str, Callable[[], Any]] = {}


def fault(function: Callable[[], Any]) -> Callable[[], Any]:
    """Registers a fault under its function's name."""
    FAULTS[function.__name__.replace("_", " ")] = function
    return function


@contextmanager
def whole_states() -> Iterator[None]:
    """Makes heads always send the whole state, which is no fault. Partial states must match the receiver's
    state, and that check hides some faults."""
    original = Head._install_for

    def whole(self: Head, identity: str) -> Any:
        self._prefix_seqs.clear()
        return original(self, identity)

    with patch.object(Head, "_install_for", whole):
        yield


@fault
@contextmanager
def the_disk_does_not_sync() -> Iterator[None]:
    with patch.object(Disk, "syncs", False, create=True), patch.object(Disk, "__init__", _unsynced_disk):
        yield


_disk_init = Disk.__init__


def _unsynced_disk(self: Disk, adoptable: bool, random: Random) -> None:
    _disk_init(self, adoptable, random)
    self.syncs = False


@fault
@contextmanager
def writes_count_before_they_are_done() -> Iterator[None]:
    original = DiskQueue.next_record

    def hasty(self: DiskQueue, now: float, lazy_s: float) -> Any:
        following = original(self, now, lazy_s)
        if following is not None:
            self.durable = Durable(self.meta, self.seq)
        return following

    with patch.object(DiskQueue, "next_record", hasty):
        yield


@fault
@contextmanager
def promises_are_told_before_they_are_stored() -> Iterator[None]:
    original = Follower._flush_promise

    def hasty(self: Follower) -> None:
        disk = self._context.disk
        kept = disk.durable
        disk.durable = Durable(disk.meta, disk.seq)
        original(self)
        disk.durable = kept

    with whole_states(), patch.object(Follower, "_flush_promise", hasty):
        yield


@fault
@contextmanager
def the_head_commits_before_the_tail_has_stored() -> Iterator[None]:
    with patch.object(Head, "_chain_stored_seq", Head._own_stored_seq):
        yield


@fault
@contextmanager
def members_acknowledge_what_is_not_stored() -> Iterator[None]:
    def hasty(self: Follower) -> int:
        return min(self._upstream_stored_seq, self._context.history.newest)

    with patch.object(Follower, "_stored_seq", hasty):
        yield


@fault
@contextmanager
def a_wiped_disk_keeps_its_identity() -> Iterator[None]:
    original = World.wipe

    def keeping(self: World, node: Any) -> None:
        identity = node.disk.stored.identity
        original(self, node)
        self.lost_disks.pop()
        node.disk.stored = attrs.evolve(node.disk.stored, identity=identity)

    with patch.object(World, "wipe", keeping):
        yield


@fault
@contextmanager
def a_minority_of_promises_is_enough() -> Iterator[None]:
    def few(voters: tuple[Member, ...], identities: set[str]) -> bool:
        present = sum(1 for member in voters if member.identity in identities)
        return present >= max(1, views.majority(len(voters)) - 1)

    with patch.object(views, "is_majority", few):
        yield


@fault
@contextmanager
def a_promise_does_not_fence_lower_epochs() -> Iterator[None]:
    def unfenced(self: Follower, epoch: int) -> bool:
        return epoch == self._context.synced

    with whole_states(), patch.object(Follower, "_is_in_chain", unfenced):
        yield


@fault
@contextmanager
def lower_epochs_may_install() -> Iterator[None]:
    with whole_states(), patch.object(Follower, "_may_adopt", lambda *_: True):
        yield


@fault
@contextmanager
def the_proposer_keeps_its_own_state() -> Iterator[None]:
    original = Proposal._select_state

    def proud(self: Proposal, now: float) -> None:
        original(self, now)
        if self.phase is Phase.FETCHING:
            self.phase = Phase.READY

    with patch.object(Proposal, "_select_state", proud):
        yield


@fault
@contextmanager
def the_newest_state_is_judged_by_its_number_alone() -> Iterator[None]:
    original = Proposal._select_state

    def simple(self: Proposal, now: float) -> None:
        kept = dict(self.promises)
        for identity, promise in kept.items():
            self.promises[identity] = _evolve(promise, synced=0)
        original(self, now)
        for identity in self.promises:
            self.promises[identity] = kept[identity]

    with patch.object(Proposal, "_select_state", simple):
        yield


@fault
@contextmanager
def a_chain_of_one_is_enough() -> Iterator[None]:
    def one(count: int, tolerance: int) -> int:
        return 1

    with patch.object(proposal, "min_chain_length", one), patch.object(roster, "min_chain_length", one):
        yield


@fault
@contextmanager
def reads_are_not_confirmed() -> Iterator[None]:
    original = Head.answer_reads

    def trusting(self: Head) -> None:
        for entry in self._pending.reads:
            entry.round = 0
        original(self)

    with patch.object(Head, "answer_reads", trusting):
        yield


@fault
@contextmanager
def an_exchange_is_not_told_to_the_old_voters() -> Iterator[None]:
    original = Proposal.new_view

    def careless(self: Proposal) -> View:
        return _evolve(original(self), old_voters=())  # type: ignore[no-any-return]

    with patch.object(Proposal, "new_view", careless):
        yield


@fault
@contextmanager
def updates_are_handed_over_on_any_state() -> Iterator[None]:
    original = Head._install_for

    def careless(self: Head, identity: str) -> Any:
        promise = self._promises.get(identity)
        if promise is not None:
            self._prefix_seqs[promise.synced] = self._base_seq
        return original(self, identity)

    with patch.object(Head, "_install_for", careless):
        yield


@fault
@contextmanager
def a_restart_forgets_the_promise() -> Iterator[None]:
    original = Replica.__init__

    def forgetful(self: Replica, me: Any, stored: Any, *rest: Any) -> None:
        meta = attrs.evolve(stored.meta, promised=stored.meta.synced, promised_to="")
        original(self, me, attrs.evolve(stored, meta=meta), *rest)

    with whole_states(), patch.object(Replica, "__init__", forgetful):
        yield


@fault
@contextmanager
def a_restart_takes_all_it_has_for_committed() -> Iterator[None]:
    original = History.start

    def trusting(self: History, stored: Any) -> Any:
        newest = stored.updates[-1].seq if stored.updates else 0
        return original(self, attrs.evolve(stored, meta=attrs.evolve(stored.meta, committed=newest)))

    with patch.object(History, "start", trusting):
        yield


@fault
@contextmanager
def a_state_handed_over_counts_at_once() -> Iterator[None]:
    original = Follower.on_install

    def hasty(self: Follower, now: float, ip: str, message: Any) -> bool:
        taken = original(self, now, ip, message)
        if taken:
            history = self._context.history
            self._context.effects += history.commit(history.newest)
        return taken

    with whole_states(), patch.object(Follower, "on_install", hasty):
        yield


@fault
@contextmanager
def a_new_head_commits_before_its_view_is_in_force() -> Iterator[None]:
    def hopeful(self: Head) -> int:
        return max(_chain_stored_seq(self), self._base_seq)

    with (
        patch.object(Head, "_is_in_force", Head._is_own_state_stored),
        patch.object(Head, "_chain_stored_seq", hopeful),
    ):
        yield


_chain_stored_seq = Head._chain_stored_seq


@fault
@contextmanager
def an_epoch_is_used_twice() -> Iterator[None]:
    original = Proposal._reserve

    def same(self: Proposal) -> None:
        original(self)
        context = self._context
        kept = context.disk.durable.meta
        context.disk.durable = Durable(attrs.evolve(kept, promised=self.epoch), context.disk.durable.seq)

    def shared(above: int, identity: str) -> int:
        return (above >> 16) + 1 << 16

    def any_proposer(self: Follower, now: float, ip: str, message: Any) -> bool:
        meta = self._context.disk.meta
        if message.epoch == meta.promised:
            self._context.disk.set_meta(promised_to=message.sender)
        return _on_propose(self, now, ip, message)

    with (
        patch.object(Proposal, "_reserve", same),
        patch.object(proposal, "next_epoch", shared),
        patch.object(Follower, "on_propose", any_proposer),
    ):
        yield


_on_propose = Follower.on_propose


@fault
@contextmanager
def members_report_what_is_not_stored() -> Iterator[None]:
    original = Context.report

    def hasty(self: Context, now: float, ip: str, receiver: str) -> None:
        kept = self.disk.durable
        self.disk.durable = Durable(self.disk.meta, self.disk.seq)
        original(self, now, ip, receiver)
        self.disk.durable = kept

    with patch.object(Context, "report", hasty):
        yield


@fault
@contextmanager
def a_duplicate_is_answered_before_it_is_committed() -> Iterator[None]:
    original = Head._decide

    def hasty(self: Head, now: float, ticket: int, command: bytes) -> None:
        count = len(self._pending.reads)
        original(self, now, ticket, command)
        for entry in self._pending.reads[count:]:
            assert entry.reply is not None
            self._context.effects.append(Answer(entry.ticket, Outcome.DONE, entry.reply, entry.seq))
        del self._pending.reads[count:]

    with patch.object(Head, "_decide", hasty):
        yield


@fault
@contextmanager
def waiting_orders_are_answered_at_a_view_change() -> Iterator[None]:
    original = PendingCalls.fail_all

    def hopeful(self: PendingCalls) -> list[Answer]:
        done = [Answer(entry.ticket, Outcome.DONE, entry.reply, entry.seq) for entry in self.uncommitted]
        self.uncommitted.clear()
        return done + original(self)

    with patch.object(PendingCalls, "fail_all", hopeful):
        yield


@fault
@contextmanager
def a_machine_answers_for_the_disk_that_it_has_lost() -> Iterator[None]:
    original = Replica._dispatch

    def any_receiver(self: Replica, now: float, ip: str, message: object) -> None:
        original(self, now, ip, message)

    def receive(self: Replica, now: float, sender_ip: str, message: Any) -> Any:
        self._detect_freeze(now)
        old = getattr(message, "receiver", self.me.identity)
        self._dispatch(now, sender_ip, message)
        if old != self.me.identity:
            self._context.effects = [_as(effect, self.me.identity, old) for effect in self._context.effects]
        return self._finish(now)

    with patch.object(Replica, "_dispatch", any_receiver), patch.object(Replica, "receive", receive):
        yield


def _as(effect: Any, identity: str, old: str) -> Any:
    message = getattr(effect, "message", None)
    if message is not None and getattr(message, "sender", "") == identity:
        return attrs.evolve(effect, message=attrs.evolve(message, sender=old))
    return effect


@fault
@contextmanager
def nobody_holds_to_a_head_that_is_well() -> Iterator[None]:
    with (
        patch.object(HeadContact, "must_withhold_promise", lambda *_: False),
        patch.object(Replica, "_is_followed_head", lambda *_: False),
    ):
        yield


@fault
@contextmanager
def a_head_is_sure_by_those_that_have_promised_it_nothing() -> Iterator[None]:
    original = Follower.on_heartbeat

    def eager(self: Follower, now: float, ip: str, message: Any) -> Any:
        context = self._context
        known = context.view.epoch if context.view is not None else 0
        if message.epoch >= max(known, context.epoch):
            context.round_epoch, context.round = message.epoch, message.round
        return original(self, now, ip, message)

    with patch.object(Follower, "on_heartbeat", eager):
        yield


@fault
@contextmanager
def a_voter_that_leaves_does_not_wait_for_its_successor() -> Iterator[None]:
    with patch.object(Replica, "may_end", True):
        yield


@fault
@contextmanager
def a_voter_that_leaves_is_exchanged_only_when_it_is_silent() -> Iterator[None]:
    with patch.object(Roster, "_is_leaving", lambda *_: False):
        yield


@fault
@contextmanager
def a_voter_that_leaves_ends_before_its_successor_has_the_state() -> Iterator[None]:
    def hasty(self: Replica) -> bool:
        view = self._context.view
        return (
            view is None or view.voter(self.me.identity) is None or not self._roster.spares(self._now, view)
        )

    with patch.object(Replica, "may_end", property(hasty)):
        yield


@fault
@contextmanager
def only_members_that_stay_make_a_chain() -> Iterator[None]:
    with patch.object(Roster, "_may_pad_chain", lambda *_: False):
        yield


@fault
@contextmanager
def a_view_is_in_force_without_the_old_voters() -> Iterator[None]:
    original = Head._is_in_force

    def hasty(self: Head) -> bool:
        with patch.object(head, "is_majority", lambda *_: True):
            return original(self)

    with patch.object(Head, "_is_in_force", hasty):
        yield


@fault
@contextmanager
def a_proposer_asks_the_new_voters_only() -> Iterator[None]:
    original = View.has_quorum

    def careless(self: View, identities: Iterable[str], settled: bool) -> bool:
        return original(self, identities, True)

    with patch.object(View, "has_quorum", careless):
        yield


@fault
@contextmanager
def an_exchange_begins_before_the_last_is_in_force() -> Iterator[None]:
    original = Roster.plan

    def hasty(self: Roster, now: float, view: View, settled: bool, *others: Any) -> Any:
        return original(self, now, view, True, *others)

    with patch.object(Roster, "plan", hasty):
        yield


@fault
@contextmanager
def a_voter_that_starts_again_promises_at_once() -> Iterator[None]:
    with patch.object(HeadContact, "_must_withhold_after_restart", lambda *_: False):
        yield


@fault
@contextmanager
def a_head_that_leaves_stays_sure_of_itself() -> Iterator[None]:
    original = HeartbeatRounds.begin
    with patch.object(HeartbeatRounds, "begin", lambda self, now, is_fit: original(self, now, True)):
        yield


@fault
@contextmanager
def one_answer_confirms_a_round() -> Iterator[None]:
    with patch.object(rounds, "majority", lambda count: 1):
        yield


@fault
@contextmanager
def a_fetched_state_keeps_the_lineage_of_the_own() -> Iterator[None]:
    original = Replica._become_head

    def careless(self: Replica, now: float, proposal: Proposal) -> None:
        proposal.has_fetched_state = False
        original(self, now, proposal)

    with patch.object(Replica, "_become_head", careless):
        yield


@fault
@contextmanager
def a_head_without_a_majority_stays_head() -> Iterator[None]:
    with patch.object(HeartbeatRounds, "has_lost_quorum", lambda *_: False):
        yield


@fault
@contextmanager
def a_freeze_is_not_noticed() -> Iterator[None]:
    def blind(self: Replica, now: float) -> None:
        self._now = now

    with patch.object(Replica, "_detect_freeze", blind):
        yield


SCENARIO_SEEDS = (1, 3)
DETECTIONS = (Violation, AssertionError, ValueError, IndexError, KeyError)


def detect(name: str, seeds: Iterable[int]) -> str | None:
    """Returns what detects a fault first, a scripted race or a storm; None if nothing does."""
    with FAULTS[name]():
        for scenario, seed in itertools.product(SCENARIOS, SCENARIO_SEEDS):
            try:
                scenario(seed)
            except SituationNotReached:
                continue
            except DETECTIONS as error:
                return f"{scenario.__name__}: {error}"
        for seed in seeds:
            try:
                play(seed, storm=True)
            except DETECTIONS as error:
                return f"storm {seed}: {error}"
    return None


def main() -> None:
    parser = argparse.ArgumentParser(description="Searches for injected faults.")
    parser.add_argument("names", nargs="*")
    parser.add_argument("--seeds", type=int, default=400)
    arguments = parser.parse_args()
    for name in arguments.names or FAULTS:
        print(f"{name:55} {detect(name, range(1, arguments.seeds + 1))}", flush=True)


if __name__ == "__main__":
    main()
