"""A small file that is replaced as a whole: after a loss of power it holds what it held before or after."""

from __future__ import annotations

import os
import zlib
from pathlib import Path

from cloverrouter.store.errors import StoreFailed
from cloverrouter.store.replica_store import sync_directory

CHECKSUM_BYTES = 4


class WholeFile:
    """The file at a path. Both methods wait on the disk: not for the event loop's thread."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._next = path.with_suffix(".next")

    def read(self) -> bytes | None:
        """What was written last; None if there is nothing, or not what was written."""
        try:
            content = self._path.read_bytes()
        except OSError:
            return None
        checksum, data = content[:CHECKSUM_BYTES], content[CHECKSUM_BYTES:]
        return data if checksum == _checksum(data) else None

    def write(self, data: bytes) -> None:
        """Replace it. Raises StoreFailed if the disk does not take it; the file is then as before."""
        try:
            with self._next.open("wb") as file:
                file.write(_checksum(data) + data)
                file.flush()
                os.fsync(file.fileno())
            self._next.replace(self._path)
            sync_directory(self._path.parent)
        except OSError as error:
            raise StoreFailed(str(error)) from error


def _checksum(data: bytes) -> bytes:
    return zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big")
