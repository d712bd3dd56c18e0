"""Notes of the tenants' pools on the head's disk, so that the pools need not start empty after a restart.

A note reserves tokens: it promises that of each pool at least so many are not lent until a later note is on
the disk. The next head at the same disk may start with these, if no other head was active in between. No
clock is involved: the time since the note was written does not matter.

The tokens of a note must stay reserved from the moment at which the note may be on the disk, and a
reservation that a later note lowers must hold until that note is certainly on the disk. `Reserves` ensures
both.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from cloverrouter.control.quota_pool import TenantPool
from cloverrouter.control.updates import decode_message
from cloverrouter.messages import MessageError, message

LENDABLE_MARGIN_S = 0.5  # of a pool's rate: left unreserved, to be lent without another note
CHECK_PERIOD_S = 0.2  # between checks of all pools; half of `LENDABLE_MARGIN_S` lasts longer
RAISE_PERIOD_S = 1.0  # between notes that only raise reservations
MAX_ASK_WAIT_S = 0.12  # an ask that waits longer for a note gets no answer: its credit would have expired


@message(356)
class QuotaNote:
    """Stored on disk, never sent. `left`: reserved tokens by tenant, counted as in `QuotaHandover`."""

    identity: str  # of the disk
    epoch: int  # of the head that wrote it
    left: dict[str, int]


@attrs.frozen(slots=True)
class WriteNote:
    """Effect: write this note, and call `QuotaDuty.note_written` once it is on the disk."""

    note: QuotaNote


@attrs.frozen(slots=True)
class NoteRead:
    """The result of reading a note from the disk.

    `left`: the initial tokens by tenant, None without a valid note. `refused`: why a note is invalid.
    """

    left: Mapping[str, int] | None
    refused: str = ""


def read_note(data: bytes, identity: str, follows: int | None) -> NoteRead:
    """Reads the note of the disk with that identity, for a head whose state is of the epoch `follows`."""
    if not data:
        return NoteRead(None)
    try:
        note = decode_message(data, QuotaNote)
    except MessageError as error:
        return NoteRead(None, f"malformed: {error}")
    if note.identity != identity:
        return NoteRead(None, "of another disk")
    if follows is None or note.epoch != follows:
        return NoteRead(None, "of another epoch")
    if any(tokens < 0 for tokens in note.left.values()):
        return NoteRead(None, "tokens below zero")
    return NoteRead(note.left)


class Reserves:
    """The tokens that an allocator has reserved in notes; decides when to write a new note."""

    def __init__(self, identity: str) -> None:
        self._identity = identity
        self._durable: Mapping[str, int] = {}
        self._written: Mapping[str, int] = {}
        self._pending_note: QuotaNote | None = None
        self._epoch = -1
        self._last_raise_at = self._last_check_at = float("-inf")
        self._release_requests: set[str] = set()

    def reserved_tokens(self, tenant: str) -> int:
        """Returns the tokens of a tenant that may not be lent now."""
        return max(self._durable.get(tenant, 0), self._written.get(tenant, 0))

    def request_release(self, tenant: str) -> None:
        """Handles a request that waits for reserved tokens: the next note releases those of the tenant."""
        self._release_requests.add(tenant)

    def is_check_due(self, now: float) -> bool:
        """Returns whether to call `due_note` now. Only one note is written at a time."""
        is_time = bool(self._release_requests) or now - self._last_check_at >= CHECK_PERIOD_S
        return self._pending_note is None and is_time

    def due_note(self, now: float, epoch: int, pools: Mapping[str, TenantPool]) -> WriteNote | None:
        """Returns the note to write now, if any. The pools must be advanced to `now`."""
        self._last_check_at = now
        wanted = {name: self._target_reserve(name, pool) for name, pool in pools.items()}
        is_urgent = any(wanted[name] < self._written.get(name, 0) for name in wanted)
        may_raise = now - self._last_raise_at >= RAISE_PERIOD_S
        if not is_urgent and not (may_raise and (wanted != self._written or epoch != self._epoch)):
            return None
        if may_raise:
            self._last_raise_at = now
        else:
            wanted = {name: min(tokens, self._written.get(name, 0)) for name, tokens in wanted.items()}
        self._epoch = epoch
        self._written = wanted
        self._release_requests.clear()
        self._pending_note = QuotaNote(self._identity, epoch, dict(wanted))
        return WriteNote(self._pending_note)

    def note_written(self, note: QuotaNote) -> bool:
        """Handles that a note is on the disk; returns whether it is the pending one."""
        if note != self._pending_note:
            return False
        self._durable, self._pending_note = self._written, None
        return True

    def _target_reserve(self, name: str, pool: TenantPool) -> int:
        """Returns the tokens to reserve of a pool; unchanged while the last value is close enough."""
        before, left = self._written.get(name, 0), pool.left()
        margin = min(pool.plan.rate * LENDABLE_MARGIN_S, pool.max_initial_tokens() / 2)
        if name in self._release_requests:
            return 0
        best = int(max(min(left - margin, pool.max_initial_tokens()), 0.0))
        is_low = before > 0 and left - before < margin / 2
        is_high = best - before > margin / 2 or best == pool.max_initial_tokens() > before
        return best if is_low or is_high else before
