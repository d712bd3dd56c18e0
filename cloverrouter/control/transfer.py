"""Snapshots and long updates in parts that leave room for other messages on a slow link."""

from __future__ import annotations

import zlib

import attrs

from cloverrouter.control.distribution_messages import DEFLATED, PLAIN, Part

PART_BYTES = 64 * 1024
MIN_DEFLATE_BYTES = 16 * 1024
DEFLATE_LEVEL = 1
PARTS_IN_FLIGHT = 2
MAX_TRANSFER_BYTES = 64 * 1024 * 1024


@attrs.frozen(slots=True)
class Package:
    """Something long as it is sent: deflated if that makes it shorter."""

    sequence: int
    is_snapshot: bool
    encoding: int
    checksum: int
    data: bytes

    def part(self, offset: int) -> Part:
        """The part at that offset; without data beyond the end."""
        data = self.data[offset : offset + PART_BYTES]
        return Part(
            self.sequence, self.is_snapshot, offset, len(self.data), self.checksum, self.encoding, data
        )


def pack(sequence: int, is_snapshot: bool, data: bytes) -> Package:
    """The package of a snapshot or an update."""
    encoding, packed = PLAIN, data
    if len(data) >= MIN_DEFLATE_BYTES:
        deflated = zlib.compress(data, DEFLATE_LEVEL)
        if len(deflated) < len(data):
            encoding, packed = DEFLATED, deflated
    return Package(sequence, is_snapshot, encoding, zlib.crc32(packed), packed)


class Assembly:
    """The receiving end: parts put together, in whatever order they come."""

    def __init__(self, first: Part) -> None:
        self._transfer_key = _transfer_key(first)
        self._encoding = first.encoding
        self._parts: dict[int, bytes] = {}
        self.sequence = first.sequence
        self.is_snapshot = first.is_snapshot
        self.total = first.total

    @property
    def is_complete(self) -> bool:
        """True if all parts are here."""
        return sum(len(data) for data in self._parts.values()) >= self.total

    def takes(self, part: Part) -> bool:
        """True if the part belongs to what is being put together."""
        return _transfer_key(part) == self._transfer_key

    def add(self, part: Part) -> None:
        """Takes a part in."""
        if part.data:
            self._parts[part.offset] = part.data

    def missing(self) -> list[int]:
        """The offsets of the parts that are not here yet, in order."""
        return [offset for offset in range(0, self.total, PART_BYTES) if offset not in self._parts]

    def content(self) -> bytes | None:
        """The whole, unpacked; None if its bytes are not what was sent."""
        data = b"".join(self._parts[offset] for offset in sorted(self._parts))
        if len(data) != self.total or zlib.crc32(data) != self._transfer_key[-1]:
            return None
        try:
            return zlib.decompress(data) if self._encoding == DEFLATED else data
        except zlib.error:
            return None


def is_valid_part(part: Part) -> bool:
    """True if the part can belong to something whole."""
    return (
        0 <= part.total <= MAX_TRANSFER_BYTES
        and part.offset % PART_BYTES == 0
        and 0 <= part.offset <= part.total
        and len(part.data) == min(PART_BYTES, part.total - part.offset)
    )


def _transfer_key(part: Part) -> tuple[int, bool, int, int, int]:
    return (part.sequence, part.is_snapshot, part.total, part.encoding, part.checksum)
