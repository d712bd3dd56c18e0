"""What the proxies of a zone tell each other of servers and requests, beside their shuffles.

Cost: about 20 bytes for each server that tells its load, 32 at most, and 20 for each service with requests of
two kinds, with each shuffle from the own zone; some 2 KB a second.
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


@nested
class KindsSeen:
    """How long ago any proxy got a request of a service whose answer is longer than its prompt, and one whose
    prompt is longer."""

    service: str
    decode_heavy_ms: int
    prefill_heavy_ms: int


@message(400)
class PlacementNews:
    """The latest that a proxy knows, of its own and from others."""

    loads: tuple[LoadReading, ...]
    kinds: tuple[KindsSeen, ...]
