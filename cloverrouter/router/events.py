"""Splits the bytes of an event stream, which may arrive in pieces of any size, into complete events.

No byte is changed: the concatenated events and the remainder are the stream.
"""

from __future__ import annotations

import re

# A blank line, with any of the three line ends. An LF may follow LF CR: it becomes the beginning of the next
# event, where it has no meaning.
_BLANK_LINE = re.compile(rb"\n\r?\n|\r\r|\n\r")
_ENDS_WITH_TERMINATOR = re.compile(rb"(?:\n\r?\n|\r\r|\n\r)\Z")
_MAX_TERMINATOR_BYTES = 3
_ID_LINE = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
_EVENT_TERMINATORS = (b"\n\n", b"\n\r\n", b"\r\r", b"\n\r")
MAX_EVENT_BYTES = 1024 * 1024  # longer events are forwarded in parts; a stream cannot be resumed inside one
_HAS_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")


class EventSplitter:
    """Returns the complete events of the bytes that it is fed, and buffers the remainder."""

    __slots__ = ("_inside_event", "_remainder", "_search_start", "last_id", "resumable")

    def __init__(self, last_id: bytes | None = None) -> None:
        self._remainder = b""
        self._search_start = 0
        self._inside_event = False  # the beginning of an oversized event has been forwarded
        self.last_id = last_id
        """Id of the last complete event, after which the stream is to be resumed."""
        self.resumable = True
        """Whether the stream can be resumed after the events returned so far: the last one that carries
        fields has an id."""

    @property
    def remainder(self) -> bytes:
        """The beginning of an event whose end has not arrived."""
        return self._remainder

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that these bytes complete, or a part of an event that exceeds
        `MAX_EVENT_BYTES`."""
        buffer = self._remainder + data if self._remainder else data
        events = []
        start = 0
        search = self._search_start
        while (found := _BLANK_LINE.search(buffer, search)) is not None:
            end = found.end()
            events.append(buffer[start:end])
            start = search = end
        if len(buffer) - start > MAX_EVENT_BYTES:  # an event that never ends would exhaust the memory
            events.append(buffer[start:])
            start = len(buffer)
        self._remainder = buffer[start:]
        self._search_start = max(0, len(self._remainder) - 2)
        return events

    def record_forwarded(self, event: bytes) -> None:
        """Records that the event was forwarded to the client."""
        was_inside_event, self._inside_event = self._inside_event, not event.endswith(_EVENT_TERMINATORS)
        if was_inside_event or self._inside_event:
            self.resumable = False
            return
        found = event_id(event)
        if found is not None:
            self.last_id = found
            self.resumable = True
        elif _HAS_FIELD.search(event):
            self.resumable = False


class EventEndDetector:
    """Detects whether a stream ends with a complete event. Where only the end of the connection ends the
    stream, a stream that ends inside an event was cut off."""

    __slots__ = ("_last_bytes",)

    def __init__(self) -> None:
        self._last_bytes = b""

    def feed(self, data: bytes) -> None:
        """Adds the next bytes of the stream."""
        self._last_bytes = (self._last_bytes + data[-_MAX_TERMINATOR_BYTES:])[-_MAX_TERMINATOR_BYTES:]

    @property
    def is_at_event_end(self) -> bool:
        """Whether the stream so far ends with a complete event; False if it is empty."""
        return _ENDS_WITH_TERMINATOR.search(self._last_bytes) is not None


def event_id(event: bytes) -> bytes | None:
    """Returns the id of a complete event; None if it has none."""
    found = _ID_LINE.findall(event)
    return (found[-1].strip() or None) if found else None


def is_after(event: bytes, last_id: bytes | None) -> bool:
    """Returns whether an event follows the one with that id, given that ids increase. True if the ids
    cannot be compared."""
    if last_id is None:
        return True
    found = event_id(event)
    if found is None or not found.isdigit() or not last_id.isdigit():
        return True
    return _magnitude(found) > _magnitude(last_id)


def _magnitude(digits: bytes) -> tuple[int, bytes]:
    """Returns a sort key for a decimal number. `int` is not used since Python refuses strings of more than
    4,300 digits."""
    significant = digits.lstrip(b"0")
    return len(significant), significant
