"""The quota allocator of this process: drives its core, stores its notes and sends its messages."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from cloverrouter.control.quota_duty import Effect, QuotaDuty
from cloverrouter.control.quota_note import QuotaNote, read_note
from cloverrouter.control.updates import decode_message
from cloverrouter.messages import encode
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota_plan import TenantLimit

if TYPE_CHECKING:
    from cloverrouter.daemon.replica_role import ReplicaRole


class QuotaService:
    """Drives `QuotaDuty` on a machine with a disk. `role` returns its replica once the disk has been read."""

    def __init__(
        self,
        duty: QuotaDuty,
        role: Callable[[], ReplicaRole | None],
        send: Callable[[str, object], None],
        log_change: Callable[..., None],
        clock: Callable[[], float],
    ) -> None:
        self._duty = duty
        self._role = role
        self._send = send
        self._log_change = log_change
        self._clock = clock
        self.notes_refused = 0
        """The number of notes on this machine's disk that were rejected."""

    def configure(self, limits: Mapping[str, TenantLimit], fleet_size: int) -> None:
        """See `QuotaDuty.configure`."""
        self._duty.configure(limits, fleet_size)

    def view_changed(self, now: float, epoch: int, head: str | None) -> None:
        """Handles a new view. `head` is the view's head, or None until the view is active."""
        role = self._role()
        disk = role.identity if role is not None else None
        self._carry_out(self._duty.view_changed(now, epoch, head, self._read_note, disk))

    def tick(self, now: float) -> None:
        """Advances the allocator to `now`."""
        self._carry_out(self._duty.tick(now, self._lease_until()))

    def receive(self, now: float, ip: str, message: object) -> None:
        """Handles a message of a proxy or of an earlier head."""
        self._carry_out(self._duty.receive(now, self._lease_until(), ip, message))

    def note_stored(self, note: bytes) -> None:
        """Handles the completed write of a note to the disk."""
        stored = decode_message(note, QuotaNote)
        self._carry_out(self._duty.note_written(self._clock(), self._lease_until(), stored))

    def _lease_until(self) -> float | None:
        role = self._role()
        return role.replica.lease_until if role is not None else None

    def _read_note(self) -> Mapping[str, int] | None:
        """Returns the tokens left per tenant by the note on the disk, or None without a valid note."""
        role = self._role()
        if role is None:
            return None
        note_read = read_note(role.replica.note, role.identity, role.replica.follows)
        if note_read.refused:
            self.notes_refused += 1
            self._log_change("quota-note-refused", reason=note_read.refused)
        return note_read.left

    def _carry_out(self, effects: Iterable[Effect]) -> None:
        role = self._role()
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect.ip, effect.message)
            elif role is not None:
                role.store_note(self._clock(), encode(effect.note))
