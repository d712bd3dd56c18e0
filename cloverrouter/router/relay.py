"""Forwards an answer to the client as it arrives, and tracks how far it got.

The head is sent together with the first part of the body, so that another server can still answer until then.
Of a stream that can be resumed, only complete events are forwarded.
"""

from __future__ import annotations

from cloverrouter.http.fields import Headers
from cloverrouter.http.server import Exchange
from cloverrouter.router.events import EventSplitter, is_after


class StreamRelay:
    """Forwards one answer. `last_id` is the id of the last event that the client has: at first, the one
    that the client itself stated."""

    __slots__ = (
        "_exchange",
        "_head",
        "_skipping_repeats",
        "_splitter",
        "has_forwarded",
        "head_sent",
        "status",
    )

    def __init__(self, exchange: Exchange, resumable: bool, last_id: bytes | None = None) -> None:
        self._exchange = exchange
        self._splitter = EventSplitter(last_id) if resumable else None
        self._head: tuple[int, Headers, int | None] | None = None
        self._skipping_repeats = False
        self.head_sent = False
        """Whether the head was sent to the client."""
        self.has_forwarded = False
        """Whether the current server has sent something that was forwarded."""
        self.status = 0

    @property
    def last_id(self) -> bytes | None:
        """Id of the event after which the next server is to resume."""
        return self._splitter.last_id if self._splitter is not None else None

    @property
    def can_continue(self) -> bool:
        """Whether another server can continue after what the client has."""
        return self._splitter is not None and self._splitter.resumable

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Handles the head of an answer from a server that begins or continues the stream."""
        self.has_forwarded = False
        if self._splitter is not None:
            self._splitter = EventSplitter(self._splitter.last_id)
            self._skipping_repeats = self._splitter.last_id is not None
        if not self.head_sent:
            self._head = (status, headers, length)

    def feed(self, data: bytes) -> None:
        """Handles the next part of the body."""
        if self._splitter is None:
            self._write(data)
            return
        events = self._splitter.feed(data)
        if self._skipping_repeats:
            events = self._without_repeats(events)
        if not events:
            return
        for event in events:
            self._splitter.record_forwarded(event)
        self._write(events[0] if len(events) == 1 else b"".join(events))

    def end(self) -> None:
        """Ends the answer, which is complete."""
        if self._splitter is not None and self._splitter.remainder:
            self._write(self._splitter.remainder)
        self._send_head()
        self._exchange.end()

    def _without_repeats(self, events: list[bytes]) -> list[bytes]:
        """Returns the events without those that the client already has."""
        assert self._splitter is not None
        for index, event in enumerate(events):
            if is_after(event, self._splitter.last_id):
                self._skipping_repeats = False
                return events[index:]
        return []

    def _write(self, data: bytes) -> None:
        self.has_forwarded = True
        self._send_head()
        self._exchange.write(data)

    def _send_head(self) -> None:
        if self.head_sent or self._head is None:
            return
        self.head_sent = True
        self.status = self._head[0]
        self._exchange.begin(*self._head)
