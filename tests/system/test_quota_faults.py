"""Mutation tests of the quotas: each seeded fault must be detected by the checks of the simulated world."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from cloverrouter.control import quota_allocator
from cloverrouter.control.quota_allocator import QuotaAllocator
from cloverrouter.control.quota_pool import TenantPool
from cloverrouter.placement.quota import QuotaHolder
from cloverrouter.placement.quota_account import Account, Standby
from cloverrouter.placement.quota_messages import QuotaContact
from cloverrouter.placement.quota_plan import TenantLimit, TenantPlan
from tests.system.quota_world import Load, World
from tests.system.test_quota import start_load, trouble

KINDS = ["freeze", "cut", "restart", "herd", "head", "lost head", "view"]
Patch = Callable[[pytest.MonkeyPatch], None]


def run_world_with_faults(seed: int) -> None:
    world = World(
        seed, 5, {"a": TenantLimit(100_000, 100_000)}, loss=0.05, doubled=0.2, stalls=0.05, drift=0.003
    )
    start_load(world, 5.0)
    for _ in range(6):
        trouble(world, world.random.choice(KINDS))
        world.run(world.random.uniform(0.3, 4))
    world.run(3)
    assert world.worst_window("a") <= 1


def contact_shorter_than_promised(patch: pytest.MonkeyPatch) -> None:
    original = QuotaHolder._receive_contact

    def take(self: QuotaHolder, now: float, contact: QuotaContact) -> None:
        short = QuotaContact(contact.epoch, contact.incarnation, contact.number, 0.1)
        original(self, now, short)

    patch.setattr(QuotaHolder, "_receive_contact", take)


def silence_unseen(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(QuotaAllocator, "_update_contacts", lambda self: None)


def contact_from_any_report(patch: pytest.MonkeyPatch) -> None:
    def record_acknowledgement(self: Any, report: int) -> None:
        if report:
            self.contact_until = max(self.contact_until, *self.contacts.values(), 0.0)

    patch.setattr(quota_allocator._Peer, "record_acknowledgement", record_acknowledgement)


def contact_from_the_latest_answer(patch: pytest.MonkeyPatch) -> None:
    def record_answer(self: Any, report: int, contact_until: float) -> None:
        self.newest = max(self.newest, report)
        self.contacts[report] = contact_until

    patch.setattr(quota_allocator._Peer, "record_answer", record_answer)


def a_late_answer_binds_less(patch: pytest.MonkeyPatch) -> None:
    original = QuotaHolder._receive_contact

    def take(self: QuotaHolder, now: float, contact: QuotaContact) -> None:
        original(self, now, contact)
        self._standby = Standby(now + contact.contact_for_s - 0.3, self._standby.until)

    patch.setattr(QuotaHolder, "_receive_contact", take)


def stands_by_from_the_start(patch: pytest.MonkeyPatch) -> None:
    def set_fleet_size(self: QuotaHolder, size: int) -> None:
        self._fleet_size = size
        self._standby = Standby(self._standby.since, self._now + 60)

    patch.setattr(QuotaHolder, "_set_fleet_size", set_fleet_size)


def clocks_are_alike(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota_allocator, "CLOCK_MARGIN", -0.05)


def starts_full(patch: pytest.MonkeyPatch) -> None:
    original = Account.__init__

    def init(self: Account, plan: TenantPlan, updated_at: float) -> None:
        original(self, plan, updated_at)
        self.credit, self.credit_until = plan.capacity, updated_at + 5

    patch.setattr(Account, "__init__", init)


def credit_stays(patch: pytest.MonkeyPatch) -> None:
    original = Account.receive_credit

    def receive(self: Account, tokens: float, until: float) -> None:
        original(self, tokens * 1.5, until + 3)

    patch.setattr(Account, "receive_credit", receive)


def any_size_is_lent(patch: pytest.MonkeyPatch) -> None:
    def lend(self: TenantPool, wanted: int, until: float, reserved: int = 0) -> int:
        return self._lend(wanted, until)

    patch.setattr(TenantPool, "lend", lend)


def credit_is_not_counted(patch: pytest.MonkeyPatch) -> None:
    def lend(self: TenantPool, tokens: int, until: float) -> int:
        self.level -= tokens / 2
        return tokens

    patch.setattr(TenantPool, "_lend", lend)


def two_heads(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(World, "lose_head", lambda self: setattr(self, "head", None))


def run_world_with_restarts(seed: int) -> None:
    """Plays repeated power losses of all machines under a varying load, with changes of the head in
    between."""
    world = World(seed, 5, {"a": TenantLimit(60_000, 60_000)}, drift=0.003, notes=True)
    world.run(4)
    load = Load(world, "a", 600_000)
    for _ in range(6):
        load.factor = world.random.choice((0.02, 0.3, 1.0))
        world.run(world.random.uniform(0.2, 3.0))
        load.factor = 1.0
        world.run(world.random.uniform(0.1, 0.6))
        head = world.random.choice((world.proxies[0], world.proxies[0], world.proxies[1]))
        if world.random.random() < 0.5:
            world.elect(head)
        else:
            for proxy in world.proxies:
                world.restart(proxy, 0.1)
            world.run(0.2)
            world.elect(head)
    world.run(3)
    assert world.worst_window("a") <= 1


def pools_begin_with_all_that_was_noted(patch: pytest.MonkeyPatch) -> None:
    def set_initial_tokens(self: TenantPool, tokens: int) -> None:
        self.level = tokens - self.plan.debt
        self._deferred_tokens = self.plan.capacity

    patch.setattr(TenantPool, "set_initial_tokens", set_initial_tokens)


FAULTS: list[Patch] = [
    contact_shorter_than_promised,
    silence_unseen,
    contact_from_any_report,
    contact_from_the_latest_answer,
    a_late_answer_binds_less,
    stands_by_from_the_start,
    clocks_are_alike,
    starts_full,
    credit_stays,
    any_size_is_lent,
    credit_is_not_counted,
    two_heads,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_fault_is_found(fault: Patch, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    for seed in range(200):
        try:
            run_world_with_faults(seed)
        except AssertionError:
            return
    pytest.fail("200 worlds did not show it")


def test_pools_that_begin_with_all_that_was_noted_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """The explorer covers the other faults of the notes, in the scope `credit`."""
    pools_begin_with_all_that_was_noted(monkeypatch)
    for seed in range(200):
        try:
            run_world_with_restarts(seed)
        except AssertionError:
            return
    pytest.fail("200 worlds did not show it")


def test_without_a_fault_nothing_is_found() -> None:
    for seed in range(12):
        run_world_with_faults(seed)
        run_world_with_restarts(seed)
