"""Faults put into the quotas on purpose: the world's checks find each of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from cloverrouter.control import quota_allocator
from cloverrouter.control.quota_allocator import QuotaAllocator
from cloverrouter.control.quota_pool import Share, TenantPool
from cloverrouter.placement.quota import QuotaHolder
from cloverrouter.placement.quota_account import Account
from cloverrouter.placement.quota_messages import QuotaGrant, QuotaReport
from cloverrouter.placement.quota_plan import TenantLimit
from tests.system.quota_world import World
from tests.system.test_quota import loaded, trouble

KINDS = ["freeze", "cut", "restart", "herd", "head", "lost head", "view"]
Patch = Callable[[pytest.MonkeyPatch], None]


def played(seed: int) -> None:
    world = World(
        seed, 5, {"a": TenantLimit(100_000, 100_000)}, loss=0.05, doubled=0.05, stalls=0.03, drift=0.003
    )
    loaded(world, 5.0)
    for _ in range(6):
        trouble(world, world.random.choice(KINDS))
        world.run(world.random.uniform(0.3, 4))
    world.run(3)
    assert world.worst_window("a") <= 1


def changed(grant: QuotaGrant, **fields: Any) -> QuotaGrant:
    kept = {name: getattr(grant, name) for name in QuotaGrant.__slots__ if not name.startswith("__")}  # type: ignore[attr-defined]
    return QuotaGrant(**(kept | fields))


def never_ends(patch: pytest.MonkeyPatch) -> None:
    original = QuotaHolder._take_grant

    def take(self: QuotaHolder, now: float, grant: QuotaGrant) -> None:
        original(self, now, changed(grant, valid_for_s=100.0))

    patch.setattr(QuotaHolder, "_take_grant", take)


def silence_unseen(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(QuotaAllocator, "_mark_silent", lambda self: None)


def smaller_at_once(patch: pytest.MonkeyPatch) -> None:
    def offer(self: TenantPool, ip: str, offered: int, silent: bool) -> None:
        share = self.shares.setdefault(ip, Share())
        share.offered = offered
        self._set_bound(share, offered, silent)

    patch.setattr(TenantPool, "offer", offer)


def settled_at_once(patch: pytest.MonkeyPatch) -> None:
    original = QuotaAllocator.__init__

    def init(self: QuotaAllocator, epoch: int, now: float, rules: object, *, first: bool = False) -> None:
        original(self, epoch, now, rules, first=True)  # type: ignore[arg-type]

    patch.setattr(QuotaAllocator, "__init__", init)


def contact_from_any_report(patch: pytest.MonkeyPatch) -> None:
    original = QuotaAllocator._confirm

    def confirm(self: QuotaAllocator, ip: str, peer: object, report: QuotaReport) -> None:
        peer.idle_by[report.heard] = self._now + self._contact_s  # type: ignore[attr-defined]
        original(self, ip, peer, report)  # type: ignore[arg-type]

    patch.setattr(QuotaAllocator, "_confirm", confirm)


def leases_end_early_here(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota_allocator, "_surely_over", lambda seconds: seconds * 0.5)


def starts_full(patch: pytest.MonkeyPatch) -> None:
    def fill(self: Account, now: float, standby: object) -> None:
        if self.share == 0 and self.credit == 0 and self.level < 1:
            self.level = self.plan.room

    patch.setattr(Account, "advance", fill)


def stands_by_at_once(patch: pytest.MonkeyPatch) -> None:
    original = QuotaHolder._take_grant

    def take(self: QuotaHolder, now: float, grant: QuotaGrant) -> None:
        original(self, now, changed(grant, contact_for_s=0.05))

    patch.setattr(QuotaHolder, "_take_grant", take)


FAULTS: list[Patch] = [
    never_ends,
    silence_unseen,
    smaller_at_once,
    settled_at_once,
    contact_from_any_report,
    leases_end_early_here,
    starts_full,
    stands_by_at_once,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_fault_is_found(fault: Patch, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    for seed in range(40):
        try:
            played(seed)
        except AssertionError:
            return
    pytest.fail("40 worlds did not show it")


def test_without_a_fault_nothing_is_found() -> None:
    for seed in range(12):
        played(seed)
