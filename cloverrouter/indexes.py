"""Ordered collections and running statistics with cheap updates. This module makes no decisions."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator, Sequence
from heapq import heapify, heappop, heappush
from typing import Generic, Protocol, TypeVar
from zlib import crc32

T = TypeVar("T")


class Ring(Generic[T]):
    """Members sorted by a hash of their names, so that the order is the same in every process.

    Adding one of n members moves up to n references and compares log n keys.
    """

    def __init__(self) -> None:
        self.members: list[T] = []
        self.weight = 0.0  # total weight
        self.heaviest = 0.0  # highest weight of any member since the ring was last empty
        self._keys: list[tuple[int, str, float]] = []

    def _locate(self, name: str) -> tuple[int, int]:
        """Returns the hash of a name and its index or insertion point."""
        key = crc32(name.encode())
        return key, bisect_left(self._keys, (key, name))

    def add(self, name: str, weight: float, member: T) -> None:
        """Adds a member that is not in the ring yet."""
        key, at = self._locate(name)
        self._keys.insert(at, (key, name, weight))
        self.members.insert(at, member)
        self.weight += weight
        self.heaviest = max(self.heaviest, weight)

    def discard(self, name: str) -> None:
        """Removes a member if it is in the ring."""
        _, at = self._locate(name)
        if at < len(self._keys) and self._keys[at][1] == name:
            self.weight -= self._keys[at][2]
            del self._keys[at], self.members[at]
            if not self.members:
                self.weight = self.heaviest = 0.0  # discards accumulated rounding errors


class PairMean:
    """Running means of two values over a changing set of members."""

    def __init__(self) -> None:
        self.count = 0
        self._first_sum = self._second_sum = 0.0

    def add(self, one: float, other: float, sign: int = 1) -> None:
        """Adds a member's values, or removes them with `sign=-1`."""
        self.count += sign
        self.change(sign * one, sign * other)
        if not self.count:
            self._first_sum = self._second_sum = 0.0  # discards accumulated rounding errors

    def change(self, one: float, other: float) -> None:
        """Adjusts the sums when a member's values change by these amounts."""
        self._first_sum += one
        self._second_sum += other

    def means(self) -> tuple[float, float]:
        """Returns both means, or 1.0 each if there are no members."""
        return (self._first_sum / self.count, self._second_sum / self.count) if self.count else (1.0, 1.0)


class Rate:
    """Amount per millisecond, smoothed over `span_ms`."""

    def __init__(self, span_ms: float) -> None:
        self._span_ms = span_ms
        self._sum = 0.0
        self._updated_ms = 0.0

    def _decay(self, now_ms: float) -> None:
        self._sum *= max(0.0, 1 - (now_ms - self._updated_ms) / self._span_ms)
        self._updated_ms = now_ms

    def add(self, now_ms: float, amount: float) -> None:
        """Counts an amount at this time."""
        self._decay(now_ms)
        self._sum += amount

    def per_ms(self, now_ms: float) -> float:
        """Returns the current rate."""
        self._decay(now_ms)
        return self._sum / self._span_ms


class Queueable(Protocol):
    """What a queue needs to know about its items."""

    @property
    def value(self) -> float: ...
    @property
    def attempts(self) -> Sequence[object]: ...
    @property
    def arrived_ms(self) -> float: ...
    @property
    def on_time_until_ms(self) -> float: ...

    queue_number: int


W = TypeVar("W", bound=Queueable)
# (value, number, item): the number breaks ties, so that items are never compared.
Entry = tuple[float, int, W]


def is_queued(entry: tuple[float, int, Queueable]) -> bool:
    """Returns whether the item is still queued, and under this entry's number."""
    return entry[2].queue_number == entry[1]


class PriorityList(Generic[W]):
    """Queue of requests sorted by priority, the next one last. Late requests come after all others: in an
    overload, serving those that have waited longest makes them late and delays the next ones as well."""

    def __init__(self) -> None:
        self.on_time: list[Entry[W]] = []
        self.late: list[Entry[W]] = []

    def top(self, now_ms: float) -> tuple[bool, Entry[W]] | None:
        """Returns the next entry and whether it can still be on time. Discards entries that are no longer
        queued."""
        while self.on_time:
            entry = self.on_time[-1]
            if is_queued(entry) and now_ms <= entry[2].on_time_until_ms:
                return True, entry
            self.on_time.pop()
            if is_queued(entry):
                insort(self.late, entry)
        while self.late and not is_queued(self.late[-1]):
            self.late.pop()
        return (False, self.late[-1]) if self.late else None

    def pop(self, on_time: bool) -> None:
        (self.on_time if on_time else self.late).pop()

    def entries(self) -> list[Entry[W]]:
        """Returns all entries that are still queued."""
        return [entry for entry in (*reversed(self.on_time), *reversed(self.late)) if is_queued(entry)]

    def compact(self) -> None:
        """Removes entries that are no longer queued."""
        self.on_time = [entry for entry in self.on_time if is_queued(entry)]
        self.late = [entry for entry in self.late if is_queued(entry)]


class RequestQueue(Generic[W]):
    """Requests that wait for a server: the highest value first, the newest among equals.

    Requests that were already tried are kept apart from untried ones, which may go to any server: if one
    untried request cannot be sent, no other can, and they need not be checked.
    """

    def __init__(self) -> None:
        self.untried, self.tried = PriorityList[W](), PriorityList[W]()
        self._ages: list[Entry[W]] = []  # a heap by arrival time
        self._number = 0

    def add(self, request: W) -> None:
        """Queues a request."""
        self._number += 1
        request.queue_number = self._number
        self.put_back([(request.value, self._number, request)])
        heappush(self._ages, (request.arrived_ms, self._number, request))

    def oldest(self) -> W | None:
        """Returns the request that has waited longest, or None."""
        while self._ages:
            entry = self._ages[0]
            if is_queued(entry) and entry[2].arrived_ms == entry[0]:
                return entry[2]
            heappop(self._ages)
            if is_queued(entry):  # its upload completed after it was queued
                heappush(self._ages, (entry[2].arrived_ms, entry[1], entry[2]))
        return None

    def pop(self, now_ms: float, untried: bool) -> Entry[W] | None:
        """Removes and returns the next entry; considers untried requests only if `untried`."""
        best, source = self.tried.top(now_ms), self.tried
        if untried:
            other = self.untried.top(now_ms)
            if other is not None and (best is None or other > best):
                best, source = other, self.untried
        if best is None:
            return None
        source.pop(best[0])
        return best[1]

    def put_back(self, entries: list[Entry[W]]) -> None:
        """Inserts entries of requests that wait again or continue to wait."""
        for entry in entries:
            insort((self.tried if entry[2].attempts else self.untried).on_time, entry)

    def compact(self, max_entries: int) -> None:
        """Removes entries that are no longer queued once there are more than `max_entries`."""
        if len(self._ages) > max_entries:
            self._ages = [entry for entry in self._ages if is_queued(entry)]
            heapify(self._ages)
            for source in (self.untried, self.tried):
                source.compact()

    def __iter__(self) -> Iterator[W]:
        return (entry[2] for entry in (*self.untried.entries(), *self.tried.entries()))

    def __bool__(self) -> bool:
        return bool(self._ages)
