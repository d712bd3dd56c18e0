"""A small file that is replaced atomically: after a power loss it holds either the old or the new content."""

from __future__ import annotations

import os
import zlib
from pathlib import Path

from cloverrouter.store.errors import StoreFailed
from cloverrouter.store.replica_store import sync_directory

CHECKSUM_BYTES = 4


class AtomicFile:
    """A file with a checksum.

    Both methods block on the disk and must not be called on the event loop's thread.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._temporary_path = path.with_suffix(".next")

    def read(self) -> bytes | None:
        """Returns the data written last; None if the file is missing, unreadable or fails its checksum."""
        try:
            content = self._path.read_bytes()
        except OSError:
            return None
        checksum, data = content[:CHECKSUM_BYTES], content[CHECKSUM_BYTES:]
        return data if checksum == _checksum(data) else None

    def write(self, data: bytes) -> None:
        """Replaces the content durably.

        Raises StoreFailed if the disk fails; the file then keeps its old content.
        """
        try:
            with self._temporary_path.open("wb") as file:
                file.write(_checksum(data) + data)
                file.flush()
                os.fsync(file.fileno())
            self._temporary_path.replace(self._path)
            sync_directory(self._path.parent)
        except OSError as error:
            raise StoreFailed(str(error)) from error


def _checksum(data: bytes) -> bytes:
    return zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big")
