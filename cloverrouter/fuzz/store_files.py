"""The file of a replica's disk with bytes turned, zeroed, copied or cut off.

An input is a list of edits of a sound file. Each is read in a process of its own, since what is tested is
also that no edit ends the process that reads it.
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
LIMIT_S = 10
DEADLY = (signal.SIGALRM, signal.SIGABRT, signal.SIGBUS, signal.SIGFPE, signal.SIGILL, signal.SIGSEGV)
EDIT = struct.Struct(">BIB")
META_PAGES = 2
HEAD_BYTES = 64


class Result(IntEnum):
    """What came of reading a file, as the reader's exit code."""

    SAME = 0
    DAMAGED = 1
    REFUSED = 2
    EARLIER = 3
    OTHER = 4
    RAISED = 5


class Kind(IntEnum):
    """What an edit does."""

    SET = 0
    FLIP = 1
    ZERO_PAGE = 2
    COPY_PAGE = 3
    CUT_SHORT = 4
    ZERO_SECTOR = 5


class StoreFiles:
    """Edits of one file. All states that were on the disk are known."""

    text = "a replica's file: bytes turned, pages lost or copied, the file cut short"

    def __init__(self) -> None:
        self._folder = Path(tempfile.mkdtemp())
        self._states = _write_history(self._folder)
        self._file = self._folder / FILE_NAME
        self._image = self._file.read_bytes()

    def seeds(self) -> Sequence[bytes]:
        pages = len(self._image) // PAGE_BYTES
        places = (0, PAGE_BYTES, 2 * PAGE_BYTES, (pages - 1) * PAGE_BYTES, len(self._image) // 2)
        return [b"", *(EDIT.pack(kind, place + 24, 1) for kind in Kind for place in places)]

    def mutate(self, data: bytes, random: Random) -> bytes:
        if random.random() < 0.2:
            return mutate_bytes(data, random)[: MAX_EDITS * EDIT.size]
        page = random.randrange(len(self._image) // PAGE_BYTES) * PAGE_BYTES
        place = page + random.choice((random.randrange(HEAD_BYTES), random.randrange(PAGE_BYTES)))
        kind = random.choice((*Kind, Kind.SET, Kind.SET, Kind.FLIP, Kind.FLIP, Kind.FLIP, Kind.FLIP))
        edit = EDIT.pack(kind, place, random.choice((random.randrange(256), random.randrange(8))))
        kept = data[: (MAX_EDITS - 1) * EDIT.size] if random.random() < 0.7 else b""
        return kept + edit

    def check(self, data: bytes) -> None:
        edited, touches_meta = self._edited(data)
        self._file.unlink(missing_ok=True)  # some file systems flush a file that is cut off and written again
        self._file.write_bytes(edited)
        result = self._read_apart()
        if edited == self._image:
            expect(result is Result.SAME, f"a sound file: {result.name}")
        if not edited:
            return  # as if it had never been used: it is given another identity
        if result is Result.EARLIER:
            # lmdb has no checksum of the two pages that say which commit is the newest.
            expect(touches_meta, "a state of before the last write")
        expect(result not in (Result.OTHER, Result.RAISED), f"reading it: {result.name}")

    def close(self) -> None:
        shutil.rmtree(self._folder, ignore_errors=True)

    def _edited(self, data: bytes) -> tuple[bytes, bool]:
        """The file after the edits, and whether they touch the pages that name the newest commit."""
        image, touches_meta = bytearray(self._image), False
        for start in range(0, min(len(data), MAX_EDITS * EDIT.size) - EDIT.size + 1, EDIT.size):
            kind, place, value = EDIT.unpack_from(data, start)
            if not image:
                break
            place %= len(image)
            touches_meta |= place < META_PAGES * PAGE_BYTES
            _edit(image, kind % len(Kind), place, value)
        return bytes(image), touches_meta

    def _read_apart(self) -> Result:
        """Reads the file in a process of its own; a signal that ends that is a broken property."""
        child = os.fork()
        if not child:
            for number in DEADLY:  # a fuzzer may have handlers of its own
                signal.signal(number, signal.SIG_DFL)
            signal.alarm(LIMIT_S)
            os._exit(self._read())
        _, status = os.waitpid(child, 0)
        if os.WIFSIGNALED(status):
            raise PropertyBroken(
                f"the process that reads it ended by {signal.Signals(os.WTERMSIG(status)).name}"
            )
        return Result(os.waitstatus_to_exitcode(status))

    def _read(self) -> Result:
        _spare_the_disk()
        sys.stderr = None
        os.dup2(os.open(os.devnull, os.O_WRONLY), 2)  # lmdb tells why it aborts
        try:
            store = ReplicaStore.open(self._folder, MAX_DISK_BYTES)
            stored = store.load()
            result = self._judged(stored)
            if result is not Result.OTHER:
                store.write(Record(meta=Meta(promised=99), updates=_following(stored)))
                store.close()
                store.load()
        except StoreError:
            return Result.REFUSED
        except BaseException:
            return Result.RAISED
        return result

    def _judged(self, stored: StoredReplica) -> Result:
        if stored == self._states[-1]:
            return Result.SAME
        if stored.is_new_identity:
            lost = stored.snapshot is None and not stored.updates and stored.damage
            return Result.DAMAGED if lost and stored.identity != self._states[-1].identity else Result.OTHER
        return Result.EARLIER if stored in self._states else Result.OTHER


def _spare_the_disk() -> None:
    """In this process what is written need not survive a loss of power, and is not waited for."""
    lmdb.open = partial(lmdb.open, sync=False)  # type: ignore[assignment]
    replica_store.sync_directory = lambda directory: None


def _edit(image: bytearray, kind: int, place: int, value: int) -> None:
    page = place // PAGE_BYTES * PAGE_BYTES
    match kind:
        case Kind.SET:
            image[place] = value
        case Kind.FLIP:
            image[place] ^= 1 << value % 8
        case Kind.ZERO_PAGE:
            image[page : page + PAGE_BYTES] = bytes(len(image[page : page + PAGE_BYTES]))
        case Kind.COPY_PAGE:
            source = value * PAGE_BYTES % max(PAGE_BYTES, len(image) // PAGE_BYTES * PAGE_BYTES)
            image[page : page + PAGE_BYTES] = image[source : source + PAGE_BYTES]
        case Kind.CUT_SHORT:
            del image[place:]
        case Kind.ZERO_SECTOR:
            sector = place // 512 * 512
            image[sector : sector + 512] = bytes(len(image[sector : sector + 512]))


def _write_history(folder: Path) -> list[StoredReplica]:
    """A disk that has been used for a while; gives what it held after each write."""
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


def _following(stored: StoredReplica) -> tuple[Update, ...]:
    last = stored.updates[-1].seq if stored.updates else stored.snapshot.seq if stored.snapshot else 0
    return (_update(last + 1),)
