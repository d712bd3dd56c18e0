"""Quota messages name the head's epoch and the proxy's incarnation; messages of another epoch or incarnation
are ignored."""

from __future__ import annotations

import attrs
import pytest

from cloverrouter.control.quota_allocator import QuotaAllocator
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota import QuotaHolder
from cloverrouter.placement.quota_messages import (
    QuotaAsk,
    QuotaContact,
    QuotaCredit,
    QuotaHandover,
    QuotaReport,
)
from cloverrouter.placement.quota_plan import TenantLimit

EPOCH, INCARNATION = 7, 4242
LIMITS = {"a": TenantLimit(1000, 1000)}
HEAD, PROXY = "10.0.0.1", "10.0.0.2"


def allocator() -> QuotaAllocator:
    found = QuotaAllocator(EPOCH, 10.0)
    found.configure(LIMITS, 1)
    found.tick(12.0)
    return found


def holder() -> QuotaHolder:
    """Returns a holder that has requested credit from the allocator and got no answer."""
    found = QuotaHolder(INCARNATION, 10.0)
    found.head_changed(HEAD, EPOCH)
    found.configure(LIMITS, 5)
    found.admit("a", 300, 10.1)
    return found


def asked(found: QuotaHolder) -> QuotaAsk:
    asks = [each.message for each in found.flush(10.11) if isinstance(each, Send)]
    assert len(asks) == 1 and isinstance(asks[0], QuotaAsk)
    return asks[0]


@pytest.mark.parametrize(("epoch", "counts"), [(EPOCH - 1, False), (EPOCH, True), (EPOCH + 1, False)])
def test_an_allocator_answers_those_of_its_epoch(epoch: int, counts: bool) -> None:
    found = allocator()
    ask = QuotaAsk(epoch, INCARNATION, 1, 0.0, {"a": 10}, {})
    report = QuotaReport(epoch, INCARNATION, 1, 0)
    assert bool(found.receive(12.1, PROXY, ask)) is counts
    assert bool(found.receive(12.1, PROXY, report)) is counts


@pytest.mark.parametrize(
    ("epoch", "incarnation", "counts"),
    [(EPOCH, INCARNATION, True), (EPOCH - 1, INCARNATION, False), (EPOCH, INCARNATION + 1, False)],
)
def test_credit_counts_for_its_process_and_epoch(epoch: int, incarnation: int, counts: bool) -> None:
    found = holder()
    ask = asked(found)
    credit = QuotaCredit(epoch, incarnation, ask.number, ask.sent_at, 0.12, {"a": 300}, {})
    found.receive(10.12, HEAD, credit)
    assert (found.admit("a", 300, 10.13, again=True) == 0.0) is counts


@pytest.mark.parametrize(
    ("epoch", "incarnation", "counts"),
    [(EPOCH, INCARNATION, True), (EPOCH - 1, INCARNATION, False), (EPOCH, INCARNATION + 1, False)],
)
def test_contact_counts_for_its_process_and_epoch(epoch: int, incarnation: int, counts: bool) -> None:
    found = holder()
    assert found.stands_by(12.0)
    found.receive(12.0, HEAD, QuotaContact(epoch, incarnation, 1, 0.4))
    assert found.stands_by(12.01) is not counts


def test_a_handover_is_applied_once() -> None:
    once, twice = allocator(), allocator()
    message = QuotaHandover(EPOCH, EPOCH - 1, {"a": 400})
    once.receive(12.1, HEAD, message)
    twice.receive(12.1, HEAD, message)
    twice.receive(12.1, HEAD, message)
    twice.receive(12.1, HEAD, attrs.evolve(message, epoch=EPOCH - 1, from_epoch=EPOCH - 2))  # type: ignore[misc]
    assert once.figures(13.0) == twice.figures(13.0)
    assert once.figures(13.0) != allocator().figures(13.0)
