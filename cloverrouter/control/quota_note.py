"""What a head notes on its disk of the tenants' pools, so that they need not begin empty after a restart.

A note promises that of each pool at least so many tokens are not lent until a later note is on the disk. The
next head at the same disk may begin with these, if no other head was in force in between. No clock is read:
the time that has passed since the note was written counts for nothing.

Danger: what is promised must be kept from the moment at which the note may be on the disk, and a promise that
is taken back holds until the note that takes it back is there for certain. `Reserves` keeps both.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from cloverrouter.control.quota_pool import TenantPool
from cloverrouter.control.updates import decoded
from cloverrouter.messages import MessageError, message

LENDABLE_MARGIN_S = 0.5  # of a pool's rate: what may be lent beyond the promise before another note is due
CHECK_PERIOD_S = 0.2  # between looks at all pools; half of `LENDABLE_MARGIN_S` lasts for longer
RAISE_PERIOD_S = 1.0  # between notes that only promise more
MAX_ASK_WAIT_S = 0.12  # an ask that waits longer for a note is worth nothing


@message(356)
class QuotaNote:
    """Stored, never sent. `left`: tokens by tenant, counted as in `QuotaHandover`."""

    identity: str  # of the disk
    epoch: int  # of the head that wrote it
    left: dict[str, int]


@attrs.frozen(slots=True)
class KeepNote:
    """Effect: write this note; `QuotaDuty.noted` hears once it is on the disk."""

    note: QuotaNote


@attrs.frozen(slots=True)
class NoteRead:
    """What a note on the own disk is worth: the tokens to begin with, or why it counts for nothing.

    None where there is no note that counts."""

    left: Mapping[str, int] | None
    refused: str = ""


def read_note(data: bytes, identity: str, follows: int | None) -> NoteRead:
    """The note on the disk with that identity, for a head whose state is of the epoch `follows`."""
    if not data:
        return NoteRead(None)
    try:
        note = decoded(data, QuotaNote)
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
    """What an allocator has promised not to lend, and when it should promise something else."""

    def __init__(self, identity: str) -> None:
        self._identity = identity
        self._durable: Mapping[str, int] = {}
        self._written: Mapping[str, int] = {}
        self._pending_note: QuotaNote | None = None
        self._epoch = -1
        self._last_raise_at = self._last_check_at = float("-inf")
        self._release_requests: set[str] = set()

    def of(self, tenant: str) -> int:
        """Tokens of a tenant that may not be lent now."""
        return max(self._durable.get(tenant, 0), self._written.get(tenant, 0))

    def request_release(self, tenant: str) -> None:
        """A request waits for tokens that are promised: the next note takes the promise back."""
        self._release_requests.add(tenant)

    def is_check_due(self, now: float) -> bool:
        """Whether to ask now if a note is `due_note`: one is under way at a time."""
        is_time = bool(self._release_requests) or now - self._last_check_at >= CHECK_PERIOD_S
        return self._pending_note is None and is_time

    def due_note(self, now: float, epoch: int, pools: Mapping[str, TenantPool]) -> KeepNote | None:
        """The note to write now, if any. The pools are filled up to now."""
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
        return KeepNote(self._pending_note)

    def noted(self, note: QuotaNote) -> bool:
        """A note is on the disk; whether it is the one that was under way."""
        if note != self._pending_note:
            return False
        self._durable, self._pending_note = self._written, None
        return True

    def _target_reserve(self, name: str, pool: TenantPool) -> int:
        """What to promise of a pool: the same as before while that is about right."""
        before, left = self._written.get(name, 0), pool.left()
        margin = min(pool.plan.rate * LENDABLE_MARGIN_S, pool.max_initial_tokens() / 2)
        if name in self._release_requests:
            return 0
        best = int(max(min(left - margin, pool.max_initial_tokens()), 0.0))
        is_low = before > 0 and left - before < margin / 2
        is_high = best - before > margin / 2 or best == pool.max_initial_tokens() > before
        return best if is_low or is_high else before
