"""Runs the quota allocator while this machine is head, and decides how it starts in a new view."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cloverrouter.control.quota_allocator import QuotaAllocator
from cloverrouter.control.quota_note import QuotaNote, Reserves, WriteNote
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota_messages import QuotaHandover
from cloverrouter.placement.quota_plan import QuotaRules, TenantLimit

Effect = Send | WriteNote


class QuotaDuty:
    """Owns the allocator while this machine is head. It answers only while no other machine can be head."""

    def __init__(self, own_ip: str, rules: QuotaRules, started: float = float("inf")) -> None:
        """`started`: start time of this process; infinity if unknown."""
        self._started = started
        self._has_allocated = False
        self._own_ip = own_ip
        self._rules = rules
        self._limits: Mapping[str, TenantLimit] = {}
        self._fleet_size = 1
        self._allocator: QuotaAllocator | None = None
        self._epoch = -1
        self._latest_lead_until = float("-inf")

    def configure(self, limits: Mapping[str, TenantLimit], fleet_size: int) -> None:
        """Sets the tenants' limits, and the largest possible number of proxies."""
        self._limits, self._fleet_size = limits, fleet_size
        if self._allocator is not None:
            self._allocator.configure(limits, fleet_size)

    def view_changed(
        self,
        now: float,
        epoch: int,
        head: str | None,
        read_note: Callable[[], Mapping[str, int] | None] = lambda: None,
        disk: str | None = None,
    ) -> list[Send]:
        """Handles a new view, once it is active; returns the handover if another machine is now head.

        `head`: IP of the view's head, None before the view is active. If this machine is head, `read_note`
        gives the initial tokens of the pools (`NoteRead.left`), and `disk` is the identity under which notes
        are stored, None if they cannot be.
        """
        if head is None or epoch == self._epoch:
            return []
        self._epoch = epoch
        if head != self._own_ip:
            last, self._allocator = self._allocator, None
            if last is None:
                return []
            return [last.hand_over(min(now, self._latest_lead_until), head, epoch)]
        if self._allocator is not None and now < self._latest_lead_until:
            self._allocator.next_epoch(epoch)
        else:
            self._allocator = self._make_allocator(now, epoch, read_note(), disk)
            self._allocator.configure(self._limits, self._fleet_size)
        return []

    def _make_allocator(
        self, now: float, epoch: int, initial_tokens: Mapping[str, int] | None, disk: str | None
    ) -> QuotaAllocator:
        """Creates an allocator.

        If a note is valid and this process has not run an allocator before, an earlier process at this disk
        was the last to lend, so that nothing was lent since the start of this process.
        """
        lent_until = self._started if initial_tokens is not None and not self._has_allocated else None
        self._has_allocated = True
        reserves = Reserves(disk) if disk is not None else None
        return QuotaAllocator(epoch, now, self._rules, initial_tokens, reserves, lent_until)

    def receive(self, now: float, lead_until: float | None, ip: str, message: object) -> list[Effect]:
        """Handles a datagram of a proxy or of an earlier head.

        `lead_until`: no other machine can become head before this time; None without such a guarantee.
        """
        leads = self._leads(now, lead_until)
        if self._allocator is None or not (leads or isinstance(message, QuotaHandover)):
            return []
        answers = self._allocator.receive(now, ip, message)
        return self._with_note(now, answers) if leads else [*answers]

    def tick(self, now: float, lead_until: float | None) -> list[Effect]:
        """Handles what is due by time. Call it about every 50 ms."""
        if self._allocator is None or not self._leads(now, lead_until):
            return []
        return self._with_note(now, self._allocator.tick(now))

    def note_written(self, now: float, lead_until: float | None, note: QuotaNote) -> list[Effect]:
        """Handles that the note of a `WriteNote` effect is on the disk."""
        if self._allocator is None:
            return []
        leads = self._leads(now, lead_until)
        answers = self._allocator.note_written(now, note, leads)
        return self._with_note(now, answers) if leads else []

    def _with_note(self, now: float, answers: list[Send]) -> list[Effect]:
        assert self._allocator is not None
        due = self._allocator.note_due(now)
        return [*answers, due] if due is not None else [*answers]

    def _leads(self, now: float, lead_until: float | None) -> bool:
        if lead_until is None:
            return False
        self._latest_lead_until = max(self._latest_lead_until, lead_until)
        return now < lead_until
