"""Structures that keep many things in order, and what they cost small. Nothing here decides anything."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator, Sequence
from heapq import heapify, heappop, heappush
from typing import Generic, Protocol, TypeVar
from zlib import crc32

T = TypeVar("T")


class Ring(Generic[T]):
    """Members in an order that is the same everywhere: by a hash of their names. Adding one of n moves up to
    n references, and looks at log n."""

    def __init__(self) -> None:
        self.members: list[T] = []
        self.weight = 0.0  # of all
        self.heaviest = 0.0  # of those that have been in it
        self._keys: list[tuple[int, str, float]] = []

    def _at(self, name: str) -> tuple[int, int]:
        """The hash, and where it stands or would."""
        key = crc32(name.encode())
        return key, bisect_left(self._keys, (key, name))

    def add(self, name: str, weight: float, member: T) -> None:
        """Put it in; not for what is in it already."""
        key, at = self._at(name)
        self._keys.insert(at, (key, name, weight))
        self.members.insert(at, member)
        self.weight += weight
        self.heaviest = max(self.heaviest, weight)

    def discard(self, name: str) -> None:
        """Take it out, if it is in."""
        _, at = self._at(name)
        if at < len(self._keys) and self._keys[at][1] == name:
            self.weight -= self._keys[at][2]
            del self._keys[at], self.members[at]
            if not self.members:
                self.weight = self.heaviest = 0.0  # no rounding is handed on


class Mean:
    """Means of two figures over some members, kept up as they come, change and go."""

    def __init__(self) -> None:
        self.count = 0
        self._one = self._other = 0.0

    def add(self, one: float, other: float, sign: int = 1) -> None:
        self.count += sign
        self.change(sign * one, sign * other)
        if not self.count:
            self._one = self._other = 0.0  # no rounding is handed on

    def change(self, one: float, other: float) -> None:
        """A member's figures have changed by so much."""
        self._one += one
        self._other += other

    def means(self) -> tuple[float, float]:
        """1 each, without members."""
        return (self._one / self.count, self._other / self.count) if self.count else (1.0, 1.0)


class Rate:
    """How much of something comes a millisecond, smoothed over `span_ms`."""

    def __init__(self, span_ms: float) -> None:
        self._span_ms = span_ms
        self._sum = 0.0
        self._at_ms = 0.0

    def _decay(self, now_ms: float) -> None:
        self._sum *= max(0.0, 1 - (now_ms - self._at_ms) / self._span_ms)
        self._at_ms = now_ms

    def add(self, now_ms: float, amount: float) -> None:
        self._decay(now_ms)
        self._sum += amount

    def per_ms(self, now_ms: float) -> float:
        self._decay(now_ms)
        return self._sum / self._span_ms


class Waiting(Protocol):
    """What can wait in a queue."""

    @property
    def value(self) -> float: ...
    @property
    def attempts(self) -> Sequence[object]: ...
    @property
    def arrived_ms(self) -> float: ...
    @property
    def in_aim_until_ms(self) -> float: ...

    held_as: int


W = TypeVar("W", bound=Waiting)
# (value, number, what waits): the number tells equals apart, so that what waits is never compared.
Entry = tuple[float, int, W]


def waits(entry: tuple[float, int, Waiting]) -> bool:
    """Does its request still wait, and as this entry?"""
    return entry[2].held_as == entry[1]


class Line(Generic[W]):
    """Requests in the order in which they are to be sent, the next one last. Late ones go after all others.

    Danger: in an overload those that have waited longest are served late, and make the next late."""

    def __init__(self) -> None:
        self.hopeful: list[Entry[W]] = []
        self.late: list[Entry[W]] = []

    def top(self, now_ms: float) -> tuple[bool, Entry[W]] | None:
        """The next one, and whether it may still be in time. What waits no longer is dropped on the way."""
        while self.hopeful:
            entry = self.hopeful[-1]
            if waits(entry) and now_ms <= entry[2].in_aim_until_ms:
                return True, entry
            self.hopeful.pop()
            if waits(entry):
                insort(self.late, entry)
        while self.late and not waits(self.late[-1]):
            self.late.pop()
        return (False, self.late[-1]) if self.late else None

    def pop(self, hopeful: bool) -> None:
        (self.hopeful if hopeful else self.late).pop()

    def entries(self) -> list[Entry[W]]:
        return [entry for entry in (*reversed(self.hopeful), *reversed(self.late)) if waits(entry)]

    def compact(self) -> None:
        self.hopeful = [entry for entry in self.hopeful if waits(entry)]
        self.late = [entry for entry in self.late if waits(entry)]


class Held(Generic[W]):
    """Requests that wait for a server: the most valuable first, the newest of equals.

    Those that have been tried apart from those that may go anywhere: of these, if one can't be sent, none
    can, and no look at the others is needed."""

    def __init__(self) -> None:
        self.fresh, self.tried = Line[W](), Line[W]()
        self._ages: list[Entry[W]] = []  # a heap by arrival
        self._number = 0

    def add(self, request: W) -> None:
        self._number += 1
        request.held_as = self._number
        self.put_back([(request.value, self._number, request)])
        heappush(self._ages, (request.arrived_ms, self._number, request))

    def oldest(self) -> W | None:
        while self._ages:
            entry = self._ages[0]
            if waits(entry) and entry[2].arrived_ms == entry[0]:
                return entry[2]
            heappop(self._ages)
            if waits(entry):  # its body has come since
                heappush(self._ages, (entry[2].arrived_ms, entry[1], entry[2]))
        return None

    def pop(self, now_ms: float, fresh: bool) -> Entry[W] | None:
        """Take out the next one; of those that may go anywhere only if `fresh`."""
        best, line = self.tried.top(now_ms), self.tried
        if fresh:
            other = self.fresh.top(now_ms)
            if other is not None and (best is None or other > best):
                best, line = other, self.fresh
        if best is None:
            return None
        line.pop(best[0])
        return best[1]

    def put_back(self, entries: list[Entry[W]]) -> None:
        """What waits on, or anew."""
        for entry in entries:
            insort((self.tried if entry[2].attempts else self.fresh).hopeful, entry)

    def compact(self, most: int) -> None:
        """Let go of what waits no longer, once it is more than `most`."""
        if len(self._ages) > most:
            self._ages = [entry for entry in self._ages if waits(entry)]
            heapify(self._ages)
            for line in (self.fresh, self.tried):
                line.compact()

    def __iter__(self) -> Iterator[W]:
        return (entry[2] for entry in (*self.fresh.entries(), *self.tried.entries()))

    def __bool__(self) -> bool:
        return bool(self._ages)
