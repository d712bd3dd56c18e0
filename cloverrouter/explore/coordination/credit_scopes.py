"""The scopes `credit` and `credit-large`, with their seeded faults."""

from __future__ import annotations

from typing import Any

import attrs

from cloverrouter.control.quota_allocator import QuotaAllocator
from cloverrouter.control.quota_duty import QuotaDuty
from cloverrouter.control.quota_note import NoteRead, QuotaNote, Reserves
from cloverrouter.control.updates import decode_message
from cloverrouter.explore.coordination import credit_model
from cloverrouter.explore.coordination.credit_model import INVARIANTS, CreditScope, CreditWorld
from cloverrouter.explore.coordination.scope import ModelFault, ModelScope, seeded
from cloverrouter.explore.coordination.search import Limits
from cloverrouter.explore.coordination.world_model import WorldModel, notes_of
from cloverrouter.placement.quota_messages import QuotaHandover

SCOPE = "credit"
LARGE = "credit-large"


class CreditModel(WorldModel[CreditWorld]):
    """The model of one scope, with the first head's note stored or still being written."""

    def __init__(self, scope: CreditScope) -> None:
        under_way = attrs.evolve(scope, is_note_stored=False)
        super().__init__(
            {
                "a head with a full pool": lambda: CreditWorld(scope),
                "a head's first note is under way": lambda: CreditWorld(under_way),
            }
        )


def _nothing_reserved(self: Reserves, tenant: str) -> int:
    return 0


def _only_what_was_written(self: Reserves, tenant: str) -> int:
    return self._written.get(tenant, 0)


def _only_what_is_durable(self: Reserves, tenant: str) -> int:
    return self._durable.get(tenant, 0)


def _read_of_any_epoch(data: bytes, identity: str, follows: int | None) -> NoteRead:
    return NoteRead(decode_message(data, QuotaNote).left if data else None)


_make_allocator = QuotaDuty._make_allocator


def _always_as_at_a_start(self: QuotaDuty, *args: Any) -> QuotaAllocator:
    self._has_allocated = False
    return _make_allocator(self, *args)


def _takes_over_again(self: QuotaAllocator, message: QuotaHandover) -> None:
    for name, tokens in message.tokens.items():
        if name in self._pools:
            self._pools[name].add_handover(tokens)


FAULTS = {
    "lends-what-it-promised": ModelFault(
        "an allocator lends tokens that a note on its disk reserves",
        ("more",), SCOPE, seeded(Reserves, "reserved_tokens", _nothing_reserved),
    ),
    "promise-ends-before-the-disk": ModelFault(
        "a reserve ends when the write of the note that ends it begins, not when it completes",
        ("more",), SCOPE, seeded(Reserves, "reserved_tokens", _only_what_was_written),
    ),
    "promise-begins-with-the-disk": ModelFault(
        "a reserve takes effect only once the process is notified that it is on the disk",
        ("more",), SCOPE, seeded(Reserves, "reserved_tokens", _only_what_is_durable),
    ),
    "note-of-any-epoch": ModelFault(
        "a note counts even if another machine was head since it was written",
        ("more",), SCOPE, seeded(credit_model, "read_note", _read_of_any_epoch),
    ),
    "lends-at-once-in-the-same-life": ModelFault(
        "an allocator lends immediately although the same process has lent before",
        ("early",), SCOPE, seeded(QuotaDuty, "_make_allocator", _always_as_at_a_start),
    ),
    "hand-over-taken-twice": ModelFault(
        "a duplicated handover is taken over again",
        ("twice", "more"), SCOPE, seeded(QuotaAllocator, "_accept_handover", _takes_over_again),
    ),
}  # fmt: skip

SCOPES = {
    SCOPE: ModelScope(
        "two disks and one tenant's pool: power loss, pending note writes, changes of the head",
        lambda: CreditModel(CreditScope()), Limits(deviations=2, seconds=120.0), FAULTS, notes_of, INVARIANTS,
    ),
    LARGE: ModelScope(
        "as `credit`, with three disks and for longer",
        lambda: CreditModel(CreditScope(("10.0.0.1", "10.0.0.2", "10.0.0.3"), 6, 3)),
        Limits(deviations=3, seconds=600.0), {}, notes_of, INVARIANTS,
    ),
}  # fmt: skip
