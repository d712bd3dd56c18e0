"""What client proxies tell each other of servers: small datagrams, read with suspicion.

A datagram is a head of three bytes (a mark, the version, how many entries) and so many entries of nine: six
bytes of the server's hashed name, one that says whether it is of use (1), is not (0) or is in doubt (2), and
how long ago that was seen, in milliseconds; of a doubt, how long ago that was sent which has had no answer.
Ages and not times go out, so that no two clocks need to agree.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

MARK, VERSION = 0xC7, 1
HEAD = struct.Struct("!BBB")
ENTRY = struct.Struct("!6sBH")
MOST_BYTES = 256  # of one datagram, as the platform allows
MOST_ENTRIES = (MOST_BYTES - HEAD.size) // ENTRY.size
DOUBT = 2
MOST_AGE_MS = 5000.0  # older news is no news


@dataclass(frozen=True, slots=True)
class News:
    """One proxy's word on one server."""

    server: bytes  # as `key` gives it
    reached: bool
    age_ms: float
    doubt: bool = False  # not reached by this one: has anybody been answered since?


def key(name: str) -> bytes:
    """Six bytes that stand for a server's name."""
    return blake2b(name.encode(), digest_size=6).digest()


def write(news: Sequence[News]) -> bytes:
    """One datagram. Raises ValueError for more than fits into one."""
    if len(news) > MOST_ENTRIES:
        raise ValueError(f"{len(news)} entries, allowed are {MOST_ENTRIES}")
    entries = [
        ENTRY.pack(n.server, DOUBT if n.doubt else n.reached, min(0xFFFF, max(0, round(n.age_ms))))
        for n in news
    ]
    return HEAD.pack(MARK, VERSION, len(news)) + b"".join(entries)


def read(data: bytes) -> list[News] | None:
    """What a datagram holds; None for one that is foreign, of another version, or not of its stated size."""
    if not HEAD.size <= len(data) <= MOST_BYTES:
        return None
    mark, version, count = HEAD.unpack_from(data)
    if (mark, version) != (MARK, VERSION) or len(data) != HEAD.size + count * ENTRY.size:
        return None
    found = []
    for server, word, age_ms in ENTRY.iter_unpack(data[HEAD.size :]):
        if word > DOUBT:
            return None
        if age_ms <= MOST_AGE_MS:
            found.append(News(server, word == 1, float(age_ms), word == DOUBT))
    return found
