"""A message body that arrives in pieces, joined into blocks: a small piece costs no more than its bytes."""

from __future__ import annotations

from collections.abc import Iterable

BLOCK_BYTES = 64 * 1024

Blocks = tuple[bytes | bytearray, ...]


class BodyBuffer:
    """Collects the pieces of one body. No byte is copied again once its block is full."""

    __slots__ = ("_blocks", "_last", "size")

    def __init__(self) -> None:
        self.size = 0
        self._blocks: list[bytearray] = []
        self._last = bytearray()

    def append(self, piece: bytes) -> None:
        """Appends the next piece."""
        last = self._last
        if not self.size or len(last) + len(piece) > BLOCK_BYTES:
            last = self._last = bytearray()
            self._blocks.append(last)
        last += piece
        self.size += len(piece)

    @property
    def allocated_bytes(self) -> int:
        """The memory that the blocks take: a block that grows has some spare."""
        return self.size * 9 // 8

    def blocks(self) -> Blocks:
        """Returns the blocks, which must not change any more."""
        return tuple(self._blocks)


def join(blocks: Iterable[bytes | bytearray]) -> bytes:
    """Returns a body in one piece."""
    return b"".join(blocks)
