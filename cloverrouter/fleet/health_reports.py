"""The datagrams by which client proxies report servers' health to each other. Input is not trusted.

A datagram is a header of three bytes (magic number, version, number of entries) and that many entries of nine
bytes: six bytes of the server's hashed name, one byte for its health (1 reachable, 0 unreachable, 2
suspected), and the age of the observation in milliseconds; for a suspicion, the time since the unanswered
attempt was sent. Ages are sent rather than times, so that clocks need not agree.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

MAGIC, VERSION = 0xC7, 1
HEADER = struct.Struct("!BBB")
ENTRY = struct.Struct("!6sBH")
MAX_DATAGRAM_BYTES = 256  # the platform's limit for one datagram
MAX_ENTRIES = (MAX_DATAGRAM_BYTES - HEADER.size) // ENTRY.size
SUSPECTED = 2
MAX_AGE_MS = 5000.0  # older observations are ignored


@dataclass(frozen=True, slots=True)
class HealthReport:
    """One proxy's observation of one server."""

    server_key: bytes  # as `server_key` returns it
    reachable: bool
    age_ms: float
    suspected: bool = False  # an attempt timed out: has any proxy had an answer since it was sent?


def server_key(name: str) -> bytes:
    """Returns the six bytes that stand for a server's name."""
    return blake2b(name.encode(), digest_size=6).digest()


def encode(reports: Sequence[HealthReport]) -> bytes:
    """Returns one datagram. Raises ValueError for more reports than fit into one."""
    if len(reports) > MAX_ENTRIES:
        raise ValueError(f"{len(reports)} entries, allowed are {MAX_ENTRIES}")
    entries = [
        ENTRY.pack(
            r.server_key, SUSPECTED if r.suspected else r.reachable, min(0xFFFF, max(0, round(r.age_ms)))
        )
        for r in reports
    ]
    return HEADER.pack(MAGIC, VERSION, len(reports)) + b"".join(entries)


def decode(data: bytes) -> list[HealthReport] | None:
    """Returns a datagram's reports; None for one with another magic number, version or size."""
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    magic, version, count = HEADER.unpack_from(data)
    if (magic, version) != (MAGIC, VERSION) or len(data) != HEADER.size + count * ENTRY.size:
        return None
    reports = []
    for server, health, age_ms in ENTRY.iter_unpack(data[HEADER.size :]):
        if health > SUSPECTED:
            return None
        if age_ms <= MAX_AGE_MS:
            reports.append(HealthReport(server, health == 1, float(age_ms), health == SUSPECTED))
    return reports
