"""What the proxies of a zone tell each other of the servers' loads, beside their shuffles.

Cost: about 20 bytes for each server, 32 at most, with each shuffle from the own zone; some 2 KB a second.
"""

from __future__ import annotations

from cloverrouter.messages.codec import message, nested


@nested
class LoadReading:
    """A server's load, as it told it to a proxy `age_ms` ago."""

    id: str
    running: int
    waiting: int
    slots: int
    age_ms: int


@message(400)
class LoadNews:
    """The latest readings that a proxy has of servers, its own and others'."""

    readings: tuple[LoadReading, ...]
