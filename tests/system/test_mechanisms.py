"""Mutation tests: each safety mechanism is disabled, and the scenario or test that guards it must fail.

The same scenarios and tests also run on their own, with the mechanism in place, and pass.
"""

from __future__ import annotations

import contextlib
import io
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any
from unittest.mock import patch

import attrs
import pytest
from behave.__main__ import main as behave  # type: ignore[import-untyped]

from cloverrouter.control import instance_table
from cloverrouter.control.announcements import Announcements
from cloverrouter.control.instances import Instance
from cloverrouter.control.orders import ConfigurationMachine
from cloverrouter.control.publisher import Publisher
from cloverrouter.control.quota_allocator import QuotaAllocator
from cloverrouter.control.registry import Registry
from cloverrouter.control.subscriber import Subscriber
from cloverrouter.control.subscribers import Batch, Subscribers
from cloverrouter.coordination.disk import DiskQueue
from cloverrouter.coordination.effects import Answer, Outcome
from cloverrouter.coordination.head import Head
from cloverrouter.coordination.proposal import Proposal
from cloverrouter.coordination.sampling_messages import ViewSummary
from cloverrouter.daemon.trouble_relay import TroubleRelay
from cloverrouter.placement.quota import QuotaHolder
from cloverrouter.store import StoreFull, replica_store
from tests.system import (
    order_world,
    test_configuration_orders,
    test_distribution,
    test_large_states,
    test_quota_epochs,
    test_registry,
    test_replica_store,
    test_subscribers,
    test_trouble_relay,
    test_view_learned,
)

_evolve: Any = (
    attrs.evolve
)  # the type checker does not recognize messages as attrs classes, because of their decorator

AWAY = "500 changes with a member away, which is restarted at change 100, 300 and 499 -- @1.3"
FEATURES = Path(__file__).parents[2] / "features"


@attrs.frozen
class Mechanism:
    """A mechanism: how to disable it, and the check that then fails."""

    without: Callable[[], Any]
    check: Callable[[], object]


MECHANISMS: dict[str, Mechanism] = {}


def mechanism(
    check: Callable[[], object],
) -> Callable[[Callable[[], Iterator[None]]], Callable[[], Iterator[None]]]:
    """Registers a function that disables a mechanism, under the function's name."""

    def register(without: Callable[[], Iterator[None]]) -> Callable[[], Iterator[None]]:
        name = without.__name__.replace("_", " ")
        MECHANISMS[name] = Mechanism(contextlib.contextmanager(without), check)
        return without

    return register


def scenario(feature: str, name: str) -> Callable[[], None]:
    """Returns a check that runs the scenarios whose names begin with `name`."""

    def run() -> None:
        arguments = [str(FEATURES / f"{feature}.feature"), "--name", name, "--format", "null", "--no-summary"]
        with contextlib.redirect_stdout(io.StringIO()) as output:
            failed = behave(arguments)
        assert not failed, output.getvalue()

    return run


def race_scenario(name: str) -> Callable[[], None]:
    return scenario("racing_operators", name)


def catching_up_scenario(name: str) -> Callable[[], None]:
    return scenario("catching_up", name)


# -- orders --


@mechanism(race_scenario("A process ends with an order under way, and the next order"))
def tickets_apart_in_each_life() -> Iterator[None]:
    with patch.object(order_world, "first_ticket", lambda _: 1):
        yield


@mechanism(race_scenario("The answer of the winner is lost"))
def digests_of_taken_orders() -> Iterator[None]:
    with patch.object(ConfigurationMachine, "_remember", lambda *_: None):
        yield


@mechanism(race_scenario("An order is known in every life"))
def digests_in_the_snapshot() -> Iterator[None]:
    original = ConfigurationMachine.restore

    def restore_without_digests(self: ConfigurationMachine, snapshot: bytes) -> None:
        original(self, snapshot)
        self._accepted = {}

    with patch.object(ConfigurationMachine, "restore", restore_without_digests):
        yield


@mechanism(race_scenario("Two operators race"))
def orders_build_on_the_version_in_force() -> Iterator[None]:
    with patch.object(ConfigurationMachine, "_refusal", lambda *_: None):
        yield


@mechanism(race_scenario("An order is sent again to one that was the head"))
def refusals_wait_for_a_majority() -> Iterator[None]:
    original = Head.answer_reads

    def answer_without_majority(self: Head) -> None:
        self.rounds.confirmed, previous = self.rounds.newest, self.rounds.confirmed
        original(self)
        self.rounds.confirmed = previous

    with patch.object(Head, "answer_reads", answer_without_majority):
        yield


@mechanism(test_large_states.test_a_head_that_is_none_any_more_does_not_say_that_an_order_is_too_large)
def refusals_for_size_wait_for_a_majority() -> Iterator[None]:
    original = Head._decide

    def refuse_without_majority(self: Head, now: float, ticket: int, command: bytes) -> None:
        original(self, now, ticket, command)
        asked = self._pending.reads
        if asked and asked[-1].outcome is Outcome.TOO_LARGE:
            asked.pop()
            self._context.effects.append(Answer(ticket, Outcome.TOO_LARGE))

    with patch.object(Head, "_decide", refuse_without_majority):
        yield


@mechanism(test_large_states.test_large_states_replace_each_other_for_ever)
def updates_are_folded_before_an_order_is_refused_for_size() -> Iterator[None]:
    original = DiskQueue.compact

    def fold_only_when_due(self: DiskQueue) -> None:
        if self._update_bytes > max(self._compact_bytes, self._snapshot_bytes):
            original(self)

    with patch.object(DiskQueue, "compact", fold_only_when_due):
        yield


@mechanism(test_configuration_orders.test_an_order_that_may_be_forgotten_is_not_refused)
def orders_that_may_be_forgotten_are_left_open() -> Iterator[None]:
    with patch.object(ConfigurationMachine, "_may_be_forgotten", lambda *_: False):
        yield


# -- members that were away --


@mechanism(catching_up_scenario(AWAY))
def the_newest_state_is_fetched_by_who_will_lead() -> Iterator[None]:
    original = Proposal._select_state

    def choose_own_state(self: Proposal, now: float) -> None:
        own = self.promises.get(self._context.me.identity)
        for identity, promise in list(self.promises.items()):
            if own is not None:
                self.promises[identity] = _evolve(promise, synced=own.synced, seq=own.seq)
        original(self, now)

    with patch.object(Proposal, "_select_state", choose_own_state):
        yield


@mechanism(test_large_states.test_a_state_that_is_asked_for_is_not_sent_again_and_again)
def patience_with_a_long_state() -> Iterator[None]:
    original = Proposal._request_state

    def ask_with_short_retry(self: Proposal) -> None:
        original(self)
        self._retry_s = self._context.config.retry_s

    with patch.object(Proposal, "_request_state", ask_with_short_retry):
        yield


@mechanism(test_distribution.test_a_slow_link_gets_through_in_a_storm_of_long_changes)
def what_is_being_fetched_is_kept() -> Iterator[None]:
    original = Publisher._find_package

    def package_in_original_order(self: Publisher, sequence: int, is_snapshot: bool) -> Any:
        keys = list(self._packages)
        found = original(self, sequence, is_snapshot)
        self._packages = {key: self._packages[key] for key in keys if key in self._packages}
        return found

    with patch.object(Publisher, "_find_package", package_in_original_order):
        yield


# -- state outside the chain: registry, distribution, quotas --


@mechanism(test_registry.test_a_former_head_marks_no_server_as_silent)
def silence_is_taken_from_the_head_only() -> Iterator[None]:
    original = Registry.receive

    def accept_any_sender_as_head(self: Registry, now: float, ip: str, message: object) -> Any:
        previous, self._head = self._head, ip
        found = original(self, now, ip, message)
        self._head = previous
        return found

    with patch.object(Registry, "receive", accept_any_sender_as_head):
        yield


@mechanism(lambda: test_trouble_relay.test_a_head_warns_only_while_no_other_can_be_head(0.9, False))
def warnings_are_given_while_the_lead_is_sure() -> Iterator[None]:
    with patch.object(TroubleRelay, "_leads", lambda self, now: self._lease_until() is not None):
        yield


@mechanism(test_distribution.test_updates_already_in_force_are_skipped_and_a_gap_is_pulled)
def what_is_in_force_already_is_skipped() -> Iterator[None]:
    original = Subscriber._handle_delta

    def take_delta_again(self: Subscriber, now: float, ip: str, delta: Any) -> Any:
        self._have = min(self._have, delta.first - 1)
        return original(self, now, ip, delta)

    with patch.object(Subscriber, "_handle_delta", take_delta_again):
        yield


@mechanism(scenario("distribution", "A process starts while changes come"))
def the_first_state_waits_for_what_followed_it() -> Iterator[None]:
    original = Subscriber._accept_change

    def release_at_once(self: Subscriber, now: float, ip: str, change: Any) -> Any:
        return [*self._release_pending(), *original(self, now, ip, change)]

    with patch.object(Subscriber, "_accept_change", release_at_once):
        yield


@mechanism(test_registry.test_a_receipt_for_an_earlier_life_of_the_origin_counts_for_nothing_else)
def receipts_name_what_was_taken() -> Iterator[None]:
    original = Announcements.record_acknowledgement

    def accept_any_receipt(
        self: Announcements, voter: str, instance_id: str, fingerprint: int, newest: Any
    ) -> None:
        pending = self._pending.get(instance_id)
        original(self, voter, instance_id, pending.fingerprint if pending else fingerprint, newest)

    with patch.object(Announcements, "record_acknowledgement", accept_any_receipt):
        yield


@mechanism(test_registry.test_a_late_call_does_not_bring_back_what_drains_or_is_gone)
def states_of_servers_only_rise() -> Iterator[None]:
    def newest_wins(one: Instance, other: Instance) -> Instance:
        return other

    with patch.object(instance_table, "merge", newest_wins):
        yield


@mechanism(test_subscribers.test_a_receipt_for_the_process_before_takes_no_news_of_this_one)
def numbers_of_news_rise_over_lives() -> Iterator[None]:
    def batch_without_process_number(self: Subscribers, now: float, ids: tuple[str, ...]) -> Batch:
        self._number += 1
        return Batch(self._number, ids, now)

    with patch.object(Subscribers, "_new_batch", batch_without_process_number):
        yield


@mechanism(test_view_learned.test_an_older_view_is_not_followed)
def an_older_view_is_refused() -> Iterator[None]:
    with patch.object(ViewSummary, "order", lambda self: (0, True, 0)):
        yield


@mechanism(lambda: test_quota_epochs.test_an_allocator_answers_those_of_its_epoch(6, False))
def the_allocator_answers_its_epoch() -> Iterator[None]:
    original = QuotaAllocator.receive

    def accept_any_epoch(self: QuotaAllocator, now: float, ip: str, message: object) -> Any:
        previous, self._epochs = self._epochs, range(1 << 62)
        found = original(self, now, ip, message)
        self._epochs = previous
        return found

    with patch.object(QuotaAllocator, "receive", accept_any_epoch):
        yield


@mechanism(lambda: test_quota_epochs.test_credit_counts_for_its_process_and_epoch(7, 4243, False))
def credit_names_the_life_of_the_proxy() -> Iterator[None]:
    original = QuotaHolder.receive

    def accept_any_incarnation(self: QuotaHolder, now: float, ip: str, message: Any) -> Any:
        previous, self._incarnation = self._incarnation, message.incarnation
        found = original(self, now, ip, message)
        self._incarnation = previous
        return found

    with patch.object(QuotaHolder, "receive", accept_any_incarnation):
        yield


@mechanism(lambda: test_quota_epochs.test_contact_counts_for_its_process_and_epoch(6, 4242, False))
def contact_names_the_epoch_of_the_head() -> Iterator[None]:
    original = QuotaHolder.receive

    def accept_any_epoch(self: QuotaHolder, now: float, ip: str, message: Any) -> Any:
        previous, self._epoch = self._epoch, message.epoch
        found = original(self, now, ip, message)
        self._epoch = previous
        return found

    with patch.object(QuotaHolder, "receive", accept_any_epoch):
        yield


@mechanism(test_quota_epochs.test_a_handover_is_applied_once)
def what_is_left_of_a_pool_is_taken_over_once() -> Iterator[None]:
    original = QuotaAllocator._accept_handover

    def take_over_repeatedly(self: QuotaAllocator, message: Any) -> None:
        self._accepted_handovers.clear()
        original(self, message)

    with patch.object(QuotaAllocator, "_accept_handover", take_over_repeatedly):
        yield


@pytest.mark.parametrize("name", MECHANISMS)
def test_its_check_fails_without_it(name: str) -> None:
    found = MECHANISMS[name]
    with found.without(), pytest.raises(AssertionError):
        found.check()


def test_a_torn_snapshot_is_found(tmp_path: Path) -> None:
    """Without checksums a corrupt snapshot would be loaded."""

    def skip_verification(key: bytes, value: bytes) -> bytes:
        return value[replica_store._CHECKSUM.size :]

    with patch.object(replica_store, "_verify_checksum", skip_verification), pytest.raises(AssertionError):
        test_replica_store.test_a_value_that_was_changed_is_a_lost_disk(tmp_path)


def test_disks_outgrow_their_room_without_folding(tmp_path: Path) -> None:
    with (
        patch.object(DiskQueue, "_compact_if_large", lambda _: None),
        patch.object(Head, "_has_room", lambda *_: True),
        pytest.raises(StoreFull),
    ):
        test_large_states.test_disks_hold_many_states_near_their_room(tmp_path)
