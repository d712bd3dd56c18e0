"""Fuzz target: a replica's store file with bytes changed, zeroed, copied or truncated.

An input is a list of edits of an undamaged file. Each edited file is read in a child process, because the
target also checks that no damage crashes the process that reads it.
"""

from __future__ import annotations

import os
import shutil
import signal
import struct
import sys
import tempfile
from collections.abc import Sequence
from enum import IntEnum
from functools import partial
from pathlib import Path
from random import Random

import lmdb

from cloverrouter.fuzz.mutation import mutate_bytes
from cloverrouter.fuzz.target import PropertyBroken, expect
from cloverrouter.store import Meta, Record, Snapshot, StoredReplica, StoreError, Update, replica_store
from cloverrouter.store.pages import PAGE_BYTES
from cloverrouter.store.replica_store import FILE_NAME, ReplicaStore

MAX_DISK_BYTES = 4 * 1024 * 1024
MAX_EDITS = 16
READ_TIMEOUT_S = 10
FATAL_SIGNALS = (signal.SIGALRM, signal.SIGABRT, signal.SIGBUS, signal.SIGFPE, signal.SIGILL, signal.SIGSEGV)
EDIT = struct.Struct(">BIB")
META_PAGES = 2
PAGE_HEADER_BYTES = 64


class Result(IntEnum):
    """Outcome of reading a file; the exit code of the child process."""

    SAME = 0
    DAMAGED = 1
    REFUSED = 2
    EARLIER = 3
    OTHER = 4
    RAISED = 5


class EditKind(IntEnum):
    """Operation of an edit."""

    SET = 0
    FLIP = 1
    ZERO_PAGE = 2
    COPY_PAGE = 3
    TRUNCATE = 4
    ZERO_SECTOR = 5


class StoreFiles:
    """Edits of one file, with a record of every state that was ever committed to it."""

    description = "store file of a replica: bytes changed, pages zeroed or copied, the file truncated"

    def __init__(self) -> None:
        self._folder = Path(tempfile.mkdtemp())
        self._states = _write_history(self._folder)
        self._file = self._folder / FILE_NAME
        self._image = self._file.read_bytes()

    def seeds(self) -> Sequence[bytes]:
        pages = len(self._image) // PAGE_BYTES
        offsets = (0, PAGE_BYTES, 2 * PAGE_BYTES, (pages - 1) * PAGE_BYTES, len(self._image) // 2)
        return [b"", *(EDIT.pack(kind, offset + 24, 1) for kind in EditKind for offset in offsets)]

    def mutate(self, data: bytes, random: Random) -> bytes:
        if random.random() < 0.2:
            return mutate_bytes(data, random)[: MAX_EDITS * EDIT.size]
        page = random.randrange(len(self._image) // PAGE_BYTES) * PAGE_BYTES
        offset = page + random.choice((random.randrange(PAGE_HEADER_BYTES), random.randrange(PAGE_BYTES)))
        kind = random.choice(
            (
                *EditKind,
                EditKind.SET,
                EditKind.SET,
                EditKind.FLIP,
                EditKind.FLIP,
                EditKind.FLIP,
                EditKind.FLIP,
            )
        )
        edit = EDIT.pack(kind, offset, random.choice((random.randrange(256), random.randrange(8))))
        previous = data[: (MAX_EDITS - 1) * EDIT.size] if random.random() < 0.7 else b""
        return previous + edit

    def check(self, data: bytes) -> None:
        edited, touches_meta = self._apply_edits(data)
        self._file.unlink(missing_ok=True)  # some file systems flush a file that is truncated and rewritten
        self._file.write_bytes(edited)
        result = self._read_in_child()
        if edited == self._image:
            expect(result is Result.SAME, f"reading an undamaged file: {result.name}")
        if not edited:
            return  # an empty file counts as a new store, which gets a new identity
        if result is Result.EARLIER:
            # lmdb has no checksum for the two meta pages, which identify the newest commit.
            expect(touches_meta, "an earlier state was read although the meta pages are intact")
        expect(result not in (Result.OTHER, Result.RAISED), f"reading a damaged file: {result.name}")

    def close(self) -> None:
        shutil.rmtree(self._folder, ignore_errors=True)

    def _apply_edits(self, data: bytes) -> tuple[bytes, bool]:
        """Returns the edited file and whether an edit touches the meta pages."""
        image, touches_meta = bytearray(self._image), False
        for start in range(0, min(len(data), MAX_EDITS * EDIT.size) - EDIT.size + 1, EDIT.size):
            kind, offset, value = EDIT.unpack_from(data, start)
            if not image:
                break
            offset %= len(image)
            touches_meta |= offset < META_PAGES * PAGE_BYTES
            _apply_edit(image, kind % len(EditKind), offset, value)
        return bytes(image), touches_meta

    def _read_in_child(self) -> Result:
        """Reads the file in a child process; raises `PropertyBroken` if a signal terminates it."""
        child = os.fork()
        if not child:
            for number in FATAL_SIGNALS:  # the fuzzer may have installed handlers
                signal.signal(number, signal.SIG_DFL)
            signal.alarm(READ_TIMEOUT_S)
            os._exit(self._read())
        _, status = os.waitpid(child, 0)
        if os.WIFSIGNALED(status):
            raise PropertyBroken(
                f"the reading process was terminated by {signal.Signals(os.WTERMSIG(status)).name}"
            )
        return Result(os.waitstatus_to_exitcode(status))

    def _read(self) -> Result:
        _disable_sync()
        sys.stderr = None
        os.dup2(os.open(os.devnull, os.O_WRONLY), 2)  # lmdb prints the reason before it aborts
        try:
            store = ReplicaStore.open(self._folder, MAX_DISK_BYTES)
            stored = store.load()
            result = self._classify(stored)
            if result is not Result.OTHER:
                store.write(Record(meta=Meta(promised=99), updates=_next_update(stored)))
                store.close()
                store.load()
        except StoreError:
            return Result.REFUSED
        except BaseException:
            return Result.RAISED
        return result

    def _classify(self, stored: StoredReplica) -> Result:
        if stored == self._states[-1]:
            return Result.SAME
        if stored.is_new_identity:
            lost = stored.snapshot is None and not stored.updates and stored.damage
            return Result.DAMAGED if lost and stored.identity != self._states[-1].identity else Result.OTHER
        return Result.EARLIER if stored in self._states else Result.OTHER


def _disable_sync() -> None:
    """Disables fsync in this process, where written data need not survive a power loss."""
    lmdb.open = partial(lmdb.open, sync=False)  # type: ignore[assignment]
    replica_store.sync_directory = lambda directory: None


def _apply_edit(image: bytearray, kind: int, offset: int, value: int) -> None:
    page = offset // PAGE_BYTES * PAGE_BYTES
    match kind:
        case EditKind.SET:
            image[offset] = value
        case EditKind.FLIP:
            image[offset] ^= 1 << value % 8
        case EditKind.ZERO_PAGE:
            image[page : page + PAGE_BYTES] = bytes(len(image[page : page + PAGE_BYTES]))
        case EditKind.COPY_PAGE:
            source = value * PAGE_BYTES % max(PAGE_BYTES, len(image) // PAGE_BYTES * PAGE_BYTES)
            image[page : page + PAGE_BYTES] = image[source : source + PAGE_BYTES]
        case EditKind.TRUNCATE:
            del image[offset:]
        case EditKind.ZERO_SECTOR:
            sector = offset // 512 * 512
            image[sector : sector + 512] = bytes(len(image[sector : sector + 512]))


def _write_history(folder: Path) -> list[StoredReplica]:
    """Writes a store with a history of records; returns the stored state after each write."""
    store = ReplicaStore.open(folder, MAX_DISK_BYTES)
    store.load(bootstrap=True)
    records = [
        Record(meta=Meta(promised=3, promised_to="a1", view=b"view", view_epoch=2, committed=4)),
        Record(snapshot=Snapshot(4, b"s" * 70_000), peers=("10.0.0.1", "10.0.0.2")),
        *(Record(updates=(Update(seq, bytes([seq]) * seq * 40),)) for seq in range(5, 45)),
        Record(snapshot=Snapshot(40, b"t" * 50_000), updates=tuple(_update(seq) for seq in range(41, 60))),
        Record(
            meta=Meta(promised=7, promised_to="b2", view=b"view 5", view_epoch=5, committed=58, settled=True)
        ),
        *(Record(updates=(_update(seq),)) for seq in range(60, 90)),
        Record(
            meta=Meta(promised=9, promised_to="c3", view=b"view 9", view_epoch=9, committed=88, fleet_size=5)
        ),
        Record(updates=(_update(90), _update(91))),
    ]
    states = []
    for record in records:
        store.write(record)
        states.append(store.load())
    store.close()
    return states


def _update(seq: int) -> Update:
    return Update(seq, b"%d," % seq * (seq * 7 % 50))


def _next_update(stored: StoredReplica) -> tuple[Update, ...]:
    last = stored.updates[-1].seq if stored.updates else stored.snapshot.seq if stored.snapshot else 0
    return (_update(last + 1),)
