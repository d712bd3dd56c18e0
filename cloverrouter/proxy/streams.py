"""Bodies too large to hold: taken in and passed on piece by piece, under one budget of bytes.

Whoever takes in more than the other side takes up is told to pause. While the budget is tight, each
stream holds one piece and no more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

HIGH = 128 * 1024  # held by one stream: at this its source pauses
LEAST_BUDGET = 2 * 1024 * 1024
OWN_MB = 40  # the program itself, two of it in an upgrade, and what is small
BUDGET_SHARE = 0.25  # of the rest of the memory


class Budget:
    """All bytes that streams hold in this process."""

    def __init__(self, memory_mb: float) -> None:
        self.limit = max(LEAST_BUDGET, int((memory_mb - OWN_MB) * BUDGET_SHARE * 1024 * 1024))
        self.held = 0

    @property
    def tight(self) -> bool:
        return self.held > self.limit

    def full_for(self, own: int) -> bool:
        """May a stream that holds `own` bytes take in no more for now?"""
        return own >= HIGH or (self.tight and own > 0)


class Upload:
    """The body of a request on its way: a client's connection feeds it, an attempt takes from it."""

    def __init__(self, budget: Budget, length: int | None, resume: Callable[[], None]) -> None:
        self.length = length  # None: not known before its end
        self.size = 0  # of what has come
        self.ended = False
        self.spent = False  # a piece has been passed on: it can't be sent to another host any more
        self.on_more: Callable[[], None] | None = None  # the attempt that takes from it
        self.on_spent: Callable[[], None] | None = None  # told once, before the first piece goes out
        self._budget = budget
        self._resume = resume
        self._pieces: deque[bytes] = deque()
        self._held = 0

    @property
    def full(self) -> bool:
        return self._budget.full_for(self._held)

    @property
    def drained(self) -> bool:
        """Has all of it been taken?"""
        return self.ended and not self._pieces

    def feed(self, data: bytes) -> None:
        self._pieces.append(data)
        self.size += len(data)
        self._hold(len(data))

    def told(self) -> None:
        """More has come, or the end. Not called from within the parser."""
        if self.on_more is not None:
            self.on_more()

    def take(self) -> bytes | None:
        if not self._pieces:
            return None
        data = self._pieces.popleft()
        if not self.spent:
            self.spent = True
            if self.on_spent is not None:
                self.on_spent()
        self._hold(-len(data))
        if not self.ended and not self.full:
            self._resume()
        return data

    def drop(self) -> None:
        """Nobody wants it any more."""
        self.on_more = None
        self._pieces.clear()
        self._hold(-self._held)

    def _hold(self, more: int) -> None:
        self._held += more
        self._budget.held += more


@dataclass(frozen=True, slots=True)
class StreamHead:
    """How an answer begins that is passed on while it comes."""

    length: int | None
    content_type: bytes


class Source(Protocol):
    """Where a streamed answer comes from."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class Sink(Protocol):
    """Where it goes. After `finish` or `cut` nothing more comes."""

    def piece(self, data: bytes) -> None: ...

    def finish(self) -> None: ...

    def cut(self) -> None:
        """It can't be finished: the client must be able to tell."""
        ...
