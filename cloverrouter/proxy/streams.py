"""Streaming of bodies that are too large to buffer, under one memory budget.

A source that is faster than its receiver is paused (backpressure). While the budget is exceeded, each
stream buffers at most one piece.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

STREAM_HIGH_WATER_BYTES = 128 * 1024  # a stream that buffers this much pauses its source
MIN_BUDGET_BYTES = 2 * 1024 * 1024
RESERVED_MB = 40  # for the program, two processes of it during an upgrade, and bodies that are buffered whole
BUDGET_SHARE = 0.25  # of the remaining memory
JOINED_PIECE_BYTES = (
    16 * 1024
)  # pieces of a body are joined up to this size: each object costs more than its bytes


class Budget:
    """Counts the bytes that all streams of this process buffer, and limits them."""

    def __init__(self, memory_mb: float) -> None:
        """Derives the limit from the memory that the process may use."""
        self.limit_bytes = max(MIN_BUDGET_BYTES, int((memory_mb - RESERVED_MB) * BUDGET_SHARE * 1024 * 1024))
        self.held_bytes = 0

    @property
    def exceeded(self) -> bool:
        """Whether the streams buffer more than the limit."""
        return self.held_bytes > self.limit_bytes

    def is_full_for(self, stream_bytes: int) -> bool:
        """Whether a stream that buffers `stream_bytes` bytes has to pause its source."""
        return stream_bytes >= STREAM_HIGH_WATER_BYTES or (self.exceeded and stream_bytes > 0)


class Upload:
    """A request body that is streamed: the client's connection feeds it, an attempt takes from it."""

    def __init__(self, budget: Budget, length: int | None, resume: Callable[[], None]) -> None:
        self.length = length  # from Content-Length; None: chunked
        self.size = 0  # bytes received
        self.ended = False  # the last byte has been received
        self.consumed = False  # a piece was taken: the body can't be sent to another host any more
        self.on_data: Callable[[], None] | None = None  # set by the attempt that takes from it
        self.on_consumed: Callable[[], None] | None = None  # called once, before the first piece is sent
        self._budget = budget
        self._resume = resume
        self._pieces: deque[bytes | bytearray] = deque()
        self._held_bytes = 0

    @property
    def full(self) -> bool:
        """Whether the client's connection has to pause reading."""
        return self._budget.is_full_for(self._held_bytes)

    @property
    def exhausted(self) -> bool:
        """Whether the whole body has been received and taken."""
        return self.ended and not self._pieces

    def feed(self, data: bytes) -> None:
        """Appends a received piece. `notify` has to be called after it."""
        last = self._pieces[-1] if self._pieces else None
        if isinstance(last, bytearray) and len(last) + len(data) <= JOINED_PIECE_BYTES:
            last += data
        else:
            self._pieces.append(bytearray(data) if len(data) < JOINED_PIECE_BYTES else data)
        self.size += len(data)
        self._adjust_held(len(data))

    def notify(self) -> None:
        """Notifies the attempt of new data or of the end. Not called within the parser's callbacks."""
        if self.on_data is not None:
            self.on_data()

    def take(self) -> bytes | None:
        """Returns the next piece, or None if there is none now. Resumes a paused client."""
        if not self._pieces:
            return None
        data = bytes(self._pieces.popleft())
        if not self.consumed:
            self.consumed = True
            if self.on_consumed is not None:
                self.on_consumed()
        self._adjust_held(-len(data))
        if not self.ended and not self.full:
            self._resume()
        return data

    def drop(self) -> None:
        """Discards the buffered pieces; the body is not needed any more."""
        self.on_data = None
        self._pieces.clear()
        self._adjust_held(-self._held_bytes)

    def _adjust_held(self, delta: int) -> None:
        self._held_bytes += delta
        self._budget.held_bytes += delta


@dataclass(frozen=True, slots=True)
class StreamHead:
    """The head of a streamed answer."""

    length: int | None  # None: not known before the end
    content_type: bytes


class Source(Protocol):
    """The connection from which a streamed answer is read."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class Sink(Protocol):
    """The receiver of a streamed answer. No call follows `finish` or `abort_answer`."""

    def write_piece(self, data: bytes) -> None: ...

    def finish(self) -> None: ...

    def abort_answer(self) -> None:
        """Ends an incomplete answer in a way that the client can tell from its regular end."""
        ...
