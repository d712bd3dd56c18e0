"""Whether this machine hands out quotas, and whether a new view begins that anew."""

from __future__ import annotations

from collections.abc import Mapping

from cloverrouter.control.quota_allocator import QuotaAllocator
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota_messages import QuotaHandover
from cloverrouter.placement.quota_plan import QuotaRules, TenantLimit


class QuotaDuty:
    """Holds the allocator while this machine is head, and lets it speak only while no other can be."""

    def __init__(self, own_ip: str, rules: QuotaRules) -> None:
        self._own_ip = own_ip
        self._rules = rules
        self._limits: Mapping[str, TenantLimit] = {}
        self._fleet_size = 1
        self._allocator: QuotaAllocator | None = None
        self._epoch = -1
        self._sure_until = float("-inf")

    def configure(self, limits: Mapping[str, TenantLimit], fleet_size: int) -> None:
        """Limits in force from now on, and how many proxies there may be."""
        self._limits, self._fleet_size = limits, fleet_size
        if self._allocator is not None:
            self._allocator.configure(limits, fleet_size)

    def view_changed(self, now: float, epoch: int, head: str | None) -> list[Send]:
        """`head`: of the view, once it is active."""
        if head is None or epoch == self._epoch:
            return []
        self._epoch = epoch
        if head != self._own_ip:
            last, self._allocator = self._allocator, None
            if last is None:
                return []
            return [last.hand_over(min(now, self._sure_until), head, epoch)]
        if self._allocator is not None and now < self._sure_until:
            self._allocator.next_epoch(epoch)
        else:
            self._allocator = QuotaAllocator(epoch, now, self._rules)
            self._allocator.configure(self._limits, self._fleet_size)
        return []

    def receive(self, now: float, lead_until: float | None, ip: str, message: object) -> list[Send]:
        """A datagram of a proxy, or of an earlier head.

        `lead_until`: no other can become head before; None if that isn't sure.
        """
        leads = self._leads(now, lead_until)
        if self._allocator is None or not (leads or isinstance(message, QuotaHandover)):
            return []
        return self._allocator.receive(now, ip, message)

    def tick(self, now: float, lead_until: float | None) -> list[Send]:
        """Call each 50 ms or so."""
        if self._allocator is None or not self._leads(now, lead_until):
            return []
        return self._allocator.tick(now)

    def _leads(self, now: float, lead_until: float | None) -> bool:
        if lead_until is None:
            return False
        self._sure_until = max(self._sure_until, lead_until)
        return now < lead_until
