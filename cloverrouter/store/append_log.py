"""A small file of records that are appended durably: after a power loss it holds all that were appended."""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Sequence
from pathlib import Path

from cloverrouter.store.errors import StoreFailed
from cloverrouter.store.replica_store import sync_directory

_HEADER = struct.Struct(">II")  # length and checksum of a record
MAX_RECORD_BYTES = 4 * 1024 * 1024


class AppendLog:
    """A file of records, each with its length and checksum.

    All methods block on the disk and must not be called on the event loop's thread. A record that was written
    in part, by a process or machine that ended meanwhile, is ignored together with what follows it.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._temporary_path = path.with_suffix(".next")
        self._end = 0  # offset behind the last intact record
        self._was_read = self._exists = False

    @property
    def size_bytes(self) -> int:
        """The size of the intact records."""
        return self._end

    def read(self) -> list[bytes]:
        """Returns the intact records, oldest first; none if the file is missing.

        Raises StoreFailed if the disk fails.
        """
        try:
            content = self._path.read_bytes()
            self._exists = True
        except FileNotFoundError:
            content = b""
        except OSError as error:
            raise StoreFailed(str(error)) from error
        records, self._end = [], 0
        while (record := _record_at(content, self._end)) is not None:
            records.append(record)
            self._end += _HEADER.size + len(record)
        self._was_read = True
        return records

    def append(self, records: Sequence[bytes]) -> None:
        """Appends records durably.

        Raises StoreFailed if the disk fails; the next call then replaces what was written by this one.
        """
        if not self._was_read:
            self.read()  # what is there must not be overwritten
        content = b"".join([_frame(record) for record in records])
        try:
            descriptor = os.open(self._path, os.O_WRONLY | os.O_CREAT, 0o644)
            try:
                _write_at(descriptor, self._end, content)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            if not self._exists:
                sync_directory(self._path.parent)
        except OSError as error:
            raise StoreFailed(str(error)) from error
        self._exists = True
        self._end += len(content)

    def replace(self, records: Sequence[bytes]) -> None:
        """Replaces all records durably and atomically.

        Raises StoreFailed if the disk fails; the file then keeps its old records.
        """
        content = b"".join([_frame(record) for record in records])
        try:
            with self._temporary_path.open("wb") as file:
                file.write(content)
                file.flush()
                os.fsync(file.fileno())
            self._temporary_path.replace(self._path)
            sync_directory(self._path.parent)
        except OSError as error:
            raise StoreFailed(str(error)) from error
        self._was_read = self._exists = True
        self._end = len(content)


def _frame(record: bytes) -> bytes:
    return _HEADER.pack(len(record), zlib.crc32(record)) + record


def _record_at(content: bytes, offset: int) -> bytes | None:
    """Returns the record that starts at the offset, or None if there is no intact one."""
    if len(content) < offset + _HEADER.size:
        return None
    length, checksum = _HEADER.unpack_from(content, offset)
    start = offset + _HEADER.size
    record = content[start : start + length]
    if not 0 < length <= MAX_RECORD_BYTES or len(record) != length or zlib.crc32(record) != checksum:
        return None
    return record


def _write_at(descriptor: int, offset: int, data: bytes) -> None:
    """Writes all of the data; a single call may write less."""
    os.lseek(descriptor, offset, os.SEEK_SET)
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
