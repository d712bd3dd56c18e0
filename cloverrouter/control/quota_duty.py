"""Whether this machine hands out quotas, and with what it begins in a new view."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cloverrouter.control.quota_allocator import QuotaAllocator
from cloverrouter.control.quota_note import KeepNote, QuotaNote, Reserves
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota_messages import QuotaHandover
from cloverrouter.placement.quota_plan import QuotaRules, TenantLimit

Effect = Send | KeepNote


class QuotaDuty:
    """Holds the allocator while this machine is head, and lets it speak only while no other can be."""

    def __init__(self, own_ip: str, rules: QuotaRules, started: float = float("inf")) -> None:
        """`started`: when this process began, if known."""
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
        """Limits in force from now on, and how many proxies there may be."""
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
        """`head`: of the view, once it is active. For this machine as head: `read_note` gives what pools
        begin with (`NoteRead.left`); `disk` is the identity under which notes are kept, None where they can't
        be."""
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
            self._allocator = self._begun_anew(now, epoch, read_note(), disk)
            self._allocator.configure(self._limits, self._fleet_size)
        return []

    def _begun_anew(
        self, now: float, epoch: int, initial_tokens: Mapping[str, int] | None, disk: str | None
    ) -> QuotaAllocator:
        """An allocator. Where a note counts and this process never lent anything, it was an earlier process
        at this disk that lent last."""
        lent_until = self._started if initial_tokens is not None and not self._has_allocated else None
        self._has_allocated = True
        reserves = Reserves(disk) if disk is not None else None
        return QuotaAllocator(epoch, now, self._rules, initial_tokens, reserves, lent_until)

    def receive(self, now: float, lead_until: float | None, ip: str, message: object) -> list[Effect]:
        """A datagram of a proxy, or of an earlier head.

        `lead_until`: no other can become head before; None if that isn't sure.
        """
        leads = self._leads(now, lead_until)
        if self._allocator is None or not (leads or isinstance(message, QuotaHandover)):
            return []
        answers = self._allocator.receive(now, ip, message)
        return self._with_note(now, answers) if leads else [*answers]

    def tick(self, now: float, lead_until: float | None) -> list[Effect]:
        """Call each 50 ms or so."""
        if self._allocator is None or not self._leads(now, lead_until):
            return []
        return self._with_note(now, self._allocator.tick(now))

    def noted(self, now: float, lead_until: float | None, note: QuotaNote) -> list[Effect]:
        """A note of `KeepNote` is on the disk."""
        if self._allocator is None:
            return []
        leads = self._leads(now, lead_until)
        answers = self._allocator.noted(now, note, leads)
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
