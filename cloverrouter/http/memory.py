"""The memory that clients make a process hold, under one budget for all its servers.

A connection is charged for what it really holds: parsed heads, bodies, requests that wait or are being
handled, and answers that the client has not read. One that holds at most `UNCHARGED_BYTES` is not charged, so
that ordinary requests neither cost an update nor are ever refused.
"""

from __future__ import annotations

from operator import attrgetter
from typing import Protocol

MEGABYTE = 1_000_000
PROCESS_BYTES = 50 * MEGABYTE  # the program itself, with its connections to servers and to other machines
UNCHARGED_BYTES = 8 * 1024
CONNECTION_BYTES = UNCHARGED_BYTES + 6 * 1024  # with the objects of an open connection
BUDGET_FRACTION = 0.6  # of what is left: the allocator's fragmentation and copies in passing take the rest
MIN_BUDGET_BYTES = 10 * MEGABYTE
SMALL_CHARGE_BYTES = 64 * 1024
SMALL_RESERVE_FRACTION = 0.125  # of the budget, for connections charged at most `SMALL_CHARGE_BYTES`
STALL_S = 0.5
"""A connection without progress for this long gives way when memory runs out."""

REQUEST_BYTES = 1024  # objects of one parsed request, beyond its fields and its body
FIELD_BYTES = 160  # objects of one parsed header field, beyond its characters


class Holder(Protocol):
    """A connection that holds memory for its client."""

    @property
    def stalled_since_s(self) -> float:
        """Since when its client has made no progress; infinite while the connection must not give way."""
        ...

    def update_charge(self) -> None:
        """Reports to the budget what the connection holds now."""
        ...

    def give_way(self) -> None:
        """Frees its memory by refusing its request or closing the connection."""
        ...


class MemoryBudget:
    """Counts the bytes that the connections of all servers hold, and bounds them."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._charges: dict[Holder, int] = {}

    def charge(self, holder: Holder, size: int) -> None:
        """Sets what a connection is charged; 0 when it holds no more than what is free."""
        before = self._charges.get(holder, 0)
        self.held_bytes += size - before
        if size:
            self._charges[holder] = size
        elif before:
            del self._charges[holder]

    def has_room(self, size: int) -> bool:
        """Returns whether a connection that is charged this much is within the budget."""
        return self.held_bytes <= self._limit_for(size)

    def make_room(self, size: int, now_s: float) -> bool:
        """Makes stalled connections give way, the longest stalled first, until `has_room(size)`.

        Returns whether it is.
        """
        self.refresh()
        limit_bytes = self._limit_for(size)
        if self.held_bytes <= limit_bytes:
            return True
        stalled = [holder for holder in self._charges if holder.stalled_since_s <= now_s - STALL_S]
        for holder in sorted(stalled, key=attrgetter("stalled_since_s")):
            holder.give_way()
            if self.held_bytes <= limit_bytes:
                return True
        return False

    def refresh(self) -> None:
        """Updates the charges: clients read their answers without notice."""
        for holder in list(self._charges):
            holder.update_charge()

    def _limit_for(self, size: int) -> float:
        if size <= SMALL_CHARGE_BYTES:
            return self.limit_bytes
        return self.limit_bytes * (1 - SMALL_RESERVE_FRACTION)


def budget_bytes(memory_mb: float, connections: int) -> int:
    """Returns the budget of a process that may use `memory_mb` and keeps this many connections at most."""
    left_bytes = memory_mb * MEGABYTE - PROCESS_BYTES - connections * CONNECTION_BYTES
    return max(MIN_BUDGET_BYTES, int(left_bytes * BUDGET_FRACTION))
