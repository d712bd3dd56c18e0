"""Transfer of snapshots and long updates in parts, so that other messages get through on a slow link."""

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
    """A snapshot or update encoded for its transfer: deflated if that makes it shorter."""

    sequence: int
    is_snapshot: bool
    encoding: int
    checksum: int
    data: bytes

    def part(self, offset: int) -> Part:
        """Returns the part at that byte offset; it has no data beyond the end."""
        data = self.data[offset : offset + PART_BYTES]
        return Part(
            self.sequence, self.is_snapshot, offset, len(self.data), self.checksum, self.encoding, data
        )


def pack(sequence: int, is_snapshot: bool, data: bytes) -> Package:
    """Encodes a snapshot or an update; deflates it from `MIN_DEFLATE_BYTES` on."""
    encoding, packed = PLAIN, data
    if len(data) >= MIN_DEFLATE_BYTES:
        deflated = zlib.compress(data, DEFLATE_LEVEL)
        if len(deflated) < len(data):
            encoding, packed = DEFLATED, deflated
    return Package(sequence, is_snapshot, encoding, zlib.crc32(packed), packed)


class Assembly:
    """The receiver's side: assembles the parts of one content, in any order of arrival."""

    def __init__(self, first: Part) -> None:
        self._transfer_key = _transfer_key(first)
        self._encoding = first.encoding
        self._parts: dict[int, bytes] = {}
        self.sequence = first.sequence
        self.is_snapshot = first.is_snapshot
        self.total = first.total

    @property
    def is_complete(self) -> bool:
        """Whether all parts have arrived."""
        return sum(len(data) for data in self._parts.values()) >= self.total

    def accepts(self, part: Part) -> bool:
        """Returns whether the part belongs to the content that is being assembled."""
        return _transfer_key(part) == self._transfer_key

    def add(self, part: Part) -> None:
        """Adds a part of the same content, as checked by `accepts`; an empty one changes nothing."""
        if part.data:
            self._parts[part.offset] = part.data

    def missing(self) -> list[int]:
        """Returns the byte offsets of the missing parts, in ascending order."""
        return [offset for offset in range(0, self.total, PART_BYTES) if offset not in self._parts]

    def content(self) -> bytes | None:
        """Returns the decoded content; None if length, checksum or compressed data are wrong."""
        data = b"".join(self._parts[offset] for offset in sorted(self._parts))
        if len(data) != self.total or zlib.crc32(data) != self._transfer_key[-1]:
            return None
        try:
            return zlib.decompress(data) if self._encoding == DEFLATED else data
        except zlib.error:
            return None


def is_valid_part(part: Part) -> bool:
    """Returns whether the part's offset and length are consistent with its total length."""
    return (
        0 <= part.total <= MAX_TRANSFER_BYTES
        and part.offset % PART_BYTES == 0
        and 0 <= part.offset <= part.total
        and len(part.data) == min(PART_BYTES, part.total - part.offset)
    )


def _transfer_key(part: Part) -> tuple[int, bool, int, int, int]:
    return (part.sequence, part.is_snapshot, part.total, part.encoding, part.checksum)
