"""An answer that is passed on as it comes, and what is known of how far it got.

The head goes to the client with the first part of the body, so that until then another server can still
answer. Of a stream that can be continued only whole events are passed on.
"""

from __future__ import annotations

from cloverrouter.http.fields import Headers
from cloverrouter.http.server import Exchange
from cloverrouter.router.events import EventSplitter, is_after


class StreamRelay:
    """`last_id` is the id of the last event that the client has: its own word at first."""

    __slots__ = ("_exchange", "_head", "_splitter", "_stale", "begun", "flowing", "status")

    def __init__(self, exchange: Exchange, resumable: bool, last_id: bytes | None = None) -> None:
        self._exchange = exchange
        self._splitter = EventSplitter(last_id) if resumable else None
        self._head: tuple[int, Headers, int | None] | None = None
        self._stale = False
        self.begun = False
        """The client has the head."""
        self.flowing = False
        """The server that answers now has sent something to pass on."""
        self.status = 0

    @property
    def last_id(self) -> bytes | None:
        """Where a next server is to continue."""
        return self._splitter.last_id if self._splitter is not None else None

    @property
    def can_continue(self) -> bool:
        """Whether another server may go on with what the client has."""
        return self._splitter is not None and self._splitter.resumable

    def opened(self, status: int, headers: Headers, length: int | None) -> None:
        """A server begins to answer, or to continue the answer."""
        self.flowing = False
        if self._splitter is not None:
            self._splitter = EventSplitter(self._splitter.last_id)
            self._stale = self._splitter.last_id is not None
        if not self.begun:
            self._head = (status, headers, length)

    def feed(self, data: bytes) -> None:
        """A part of the body came."""
        if self._splitter is None:
            self._write(data)
            return
        events = self._splitter.feed(data)
        if self._stale:
            events = self._without_stale(events)
        if not events:
            return
        for event in events:
            self._splitter.passed_on(event)
        self._write(events[0] if len(events) == 1 else b"".join(events))

    def end(self) -> None:
        """The body is whole."""
        if self._splitter is not None and self._splitter.rest:
            self._write(self._splitter.rest)
        self._begin()
        self._exchange.end()

    def _without_stale(self, events: list[bytes]) -> list[bytes]:
        """Drop what the client has already."""
        assert self._splitter is not None
        for place, event in enumerate(events):
            if is_after(event, self._splitter.last_id):
                self._stale = False
                return events[place:]
        return []

    def _write(self, data: bytes) -> None:
        self.flowing = True
        self._begin()
        self._exchange.write(data)

    def _begin(self) -> None:
        if self.begun or self._head is None:
            return
        self.begun = True
        self.status = self._head[0]
        self._exchange.begin(*self._head)
