"""Messages in which the proxies of a zone share what they know of servers and requests, sent along with their
gossip shuffles.

Cost: about 20 bytes for each reported server load (32 loads at most) and 20 for each service with both kinds
of request, with each shuffle from the own zone; about 2 KB a second.
"""

from __future__ import annotations

from cloverrouter.messages.codec import message, nested


@nested
class LoadReading:
    """A server's load as it was reported to a proxy `age_ms` ago."""

    id: str
    running: int
    waiting: int
    slots: int
    age_ms: int


@nested
class KindsSeen:
    """How long ago any proxy got a decode-heavy request (its answer is longer than its prompt) and a
    prefill-heavy request of a service."""

    service: str
    decode_heavy_age_ms: int
    prefill_heavy_age_ms: int


@message(400)
class PlacementNews:
    """The latest state that a proxy knows, from its own observations and from others."""

    loads: tuple[LoadReading, ...]
    kinds: tuple[KindsSeen, ...]
