"""Whole events out of the bytes of an event stream, which may be split anywhere.

No byte is changed: the events put together, with what is left at the end, are the stream.
"""

from __future__ import annotations

import re

# A blank line, whatever ends its lines. After LF CR an LF may follow: it then begins the next event, where
# it says nothing.
_BLANK_LINE = re.compile(rb"\n\r?\n|\r\r|\n\r")
_EVENT_END = re.compile(rb"(?:\n\r?\n|\r\r|\n\r)\Z")
_LONGEST_END = 3
_ID_LINE = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
_ENDS = (b"\n\n", b"\n\r\n", b"\r\r", b"\n\r")
MAX_EVENT_BYTES = 1024 * 1024  # a longer event is passed on in parts; no stream can be continued inside of it
_SAYS_SOMETHING = re.compile(rb"(?:^|[\r\n])[^:\r\n]")


class EventSplitter:
    """Feed it bytes; it gives back the whole events and keeps the rest."""

    __slots__ = ("_from", "_in_part", "_rest", "last_id", "resumable")

    def __init__(self, last_id: bytes | None = None) -> None:
        self._rest = b""
        self._from = 0
        self._in_part = False  # the beginning of an event that is too long has been passed on
        self.last_id = last_id
        """Id of the last whole event; the id to continue at."""
        self.resumable = True
        """Whether the stream can be continued after the events given back: its last event has an id."""

    @property
    def rest(self) -> bytes:
        """The beginning of an event whose end has not come."""
        return self._rest

    def feed(self, data: bytes) -> list[bytes]:
        """The events that these bytes complete, or a part of one that is too long."""
        buffer = self._rest + data if self._rest else data
        events = []
        start = 0
        search = self._from
        while (found := _BLANK_LINE.search(buffer, search)) is not None:
            end = found.end()
            events.append(buffer[start:end])
            start = search = end
        if len(buffer) - start > MAX_EVENT_BYTES:  # danger: a server that never ends it would take all memory
            events.append(buffer[start:])
            start = len(buffer)
        self._rest = buffer[start:]
        self._from = max(0, len(self._rest) - 2)
        return events

    def passed_on(self, event: bytes) -> None:
        """The event went to the client."""
        was_in_part, self._in_part = self._in_part, not event.endswith(_ENDS)
        if was_in_part or self._in_part:
            self.resumable = False
            return
        found = event_id(event)
        if found is not None:
            self.last_id = found
            self.resumable = True
        elif _SAYS_SOMETHING.search(event):
            self.resumable = False


class EventTail:
    """Whether the latest event is whole: where nothing but the connection's end ends a stream, a stream that
    ends inside an event was cut off."""

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last = b""

    def feed(self, data: bytes) -> None:
        """More of the stream came."""
        self._last = (self._last + data[-_LONGEST_END:])[-_LONGEST_END:]

    @property
    def is_whole(self) -> bool:
        """False, too, if nothing came at all."""
        return _EVENT_END.search(self._last) is not None


def event_id(event: bytes) -> bytes | None:
    """The id of a whole event, None if it has none."""
    found = _ID_LINE.findall(event)
    return (found[-1].strip() or None) if found else None


def is_after(event: bytes, last_id: bytes | None) -> bool:
    """Whether an event belongs behind the one with that id: ids rise. What cannot be compared does."""
    if last_id is None:
        return True
    found = event_id(event)
    if found is None or not found.isdigit() or not last_id.isdigit():
        return True
    return _magnitude(found) > _magnitude(last_id)


def _magnitude(digits: bytes) -> tuple[int, bytes]:
    """What whole numbers are ordered by. Danger: Python reads no number of more than 4,300 digits."""
    significant = digits.lstrip(b"0")
    return len(significant), significant
