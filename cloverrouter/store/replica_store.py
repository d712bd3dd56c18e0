"""A replica's disk: one lmdb file, each write one synced transaction.

What a disk means when it is opened:

- No file, or a file that never got an identity (power went during first use): an empty disk. An identity is
  drawn and synced before anything else.
- A file that lmdb can't open, whose pages are not as lmdb writes them (`store/pages.py`), or in which any
  value fails its checksum or is missing: the disk is lost. Its file is removed and a new identity is drawn,
  so that it never votes as the machine that it was.
- Anything else is whole: lmdb's transactions are either there or not.

An object is used by one thread at a time, a directory by one process.
"""

from __future__ import annotations

import errno
import os
import secrets
import struct
import zlib
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import attrs
import lmdb

from cloverrouter.store.errors import StoreError, StoreFailed, StoreFull
from cloverrouter.store.pages import PAGE_BYTES, PagesDamaged, check_pages
from cloverrouter.store.records import Ballot, Meta, Record, Snapshot, StoredReplica, Update

FILE_NAME = "replica.mdb"
IDENTITY_BYTES = 8
# Share of the room that the file may take: lmdb never shrinks it, and a full disk refuses every write.
MAP_SHARE = 0.7
# A state with its updates, the next state in their place, and those of before, whose pages are free only two
# transactions later: three, and a quarter of the file for lmdb's own pages.
STATE_PARTS = 4
# Chunks fill whole pages with lmdb's page header: large values would need a long run of free pages.
CHUNK_BYTES = 8 * PAGE_BYTES - 16 - 4

_IDENTITY = b"identity"
_META = b"meta"
_BALLOT = b"ballot"  # not in a store of before: nothing was said
_NOTE = b"note"  # likewise
_PEERS = b"peers"
_SNAPSHOT = b"snapshot"
_UPDATE = b"update"
_SEQ = struct.Struct(">Q")
_CHUNK = struct.Struct(">I")
_CHECKSUM = struct.Struct(">I")
_BALLOT_HEAD = struct.Struct(">QQ")
_META_HEAD = struct.Struct(">QQQQI??B")


class _Damaged(Exception):
    """A stored value is not what was written."""


_DAMAGE = (
    _Damaged,
    PagesDamaged,
    lmdb.InvalidError,
    lmdb.CorruptedError,
    lmdb.PageNotFoundError,
    lmdb.VersionMismatchError,
)


class ReplicaStore:
    """The disk of one replica."""

    def __init__(self, directory: Path, map_bytes: int) -> None:
        """Use `open`."""
        self._directory = directory
        self._map_bytes = map_bytes
        self._environment: Any = None
        self._note: bytes | None = None  # as it is on the disk, once that is known

    @classmethod
    def open(cls, directory: Path, max_bytes: int) -> ReplicaStore:
        """A store in a directory, which is made if need be. Its file stays under 0.7 of `max_bytes`.

        Raises StoreError if the disk does not even allow that."""
        map_bytes = int(max_bytes * MAP_SHARE) // PAGE_BYTES * PAGE_BYTES
        store = cls(directory, map_bytes)
        try:
            _make_directory(directory)
        except OSError as error:
            raise _store_error(error) from error
        return store

    @property
    def state_room(self) -> int:
        """Bytes that a state and the updates on it may have together."""
        return self._map_bytes // STATE_PARTS

    def load(self, bootstrap: bool = False) -> StoredReplica:
        """What the disk holds; an empty or damaged disk gets an identity. `bootstrap`: this is the system's
        first start, so an empty disk may become one of the first voters. Raises StoreError."""
        damage = ""
        try:
            self._open_environment()
            stored = self._read()
        except _DAMAGE as error:
            damage = f"{type(error).__name__}: {error}"
            stored = None
            self._empty()
        except (lmdb.Error, OSError) as error:
            raise _store_error(error) from error
        if stored is not None:
            return stored
        # A disk that held something before is not one of the system's first start.
        return self._first_use(adoptable=bootstrap and not damage, damage=damage)

    def write(self, record: Record) -> None:
        """Store a record; when this returns, it is durable. Raises StoreError, and nothing has changed."""
        try:
            self._open_environment()
            with self._environment.begin(write=True) as transaction:
                _put_record(transaction, record)
                self._put_note(transaction, record)
            if record.meta is not None:
                self._note = record.meta.note
        except lmdb.PanicError as error:
            self.close()  # lmdb takes nothing more until it is opened again
            raise StoreFailed(str(error)) from error
        except (lmdb.Error, OSError, _Damaged, PagesDamaged) as error:
            raise _store_error(error) from error

    def _put_note(self, transaction: Any, record: Record) -> None:
        """A note may be long, and most records only repeat it."""
        if record.meta is not None and record.meta.note != self._note:
            _put(transaction, _NOTE, record.meta.note)

    def close(self) -> None:
        """Let go of the file. A later call opens it again."""
        self._note = None
        if self._environment is not None:
            self._environment.close()
            self._environment = None

    def _open_environment(self) -> None:
        if self._environment is not None:
            return
        path = self._directory / FILE_NAME
        is_new = not path.exists()
        if not is_new and path.stat().st_size:
            with path.open("rb") as file:
                check_pages(file)
        self._environment = lmdb.open(
            str(path), map_size=self._map_bytes, subdir=False, lock=False, max_spare_txns=1, readahead=False
        )
        if is_new:
            self._environment.sync(True)
            sync_directory(self._directory)

    def _read(self) -> StoredReplica | None:
        with self._environment.begin() as transaction:
            identity = _get(transaction, _IDENTITY)
            if identity is None and transaction.stat()["entries"]:
                raise _Damaged("no identity")
            if identity is None:
                return None
            meta = _get(transaction, _META)
            if meta is None:
                raise _Damaged("no meta record")
            snapshot = _read_snapshot(transaction)
            updates = tuple(_read_updates(transaction))
            ballot = _get(transaction, _BALLOT)
            note = _get(transaction, _NOTE) or b""
            peers = _get(transaction, _PEERS) or b""
        _check_order(snapshot, updates)
        return StoredReplica(
            identity=identity.decode(),
            meta=attrs.evolve(_unpack_meta(meta), ballot=_unpack_ballot(ballot), note=note),
            snapshot=snapshot,
            updates=updates,
            peers=tuple(peers.decode().split()),
        )

    def _first_use(self, adoptable: bool, damage: str) -> StoredReplica:
        identity = secrets.token_hex(IDENTITY_BYTES)
        meta = Meta(adoptable=adoptable)
        try:
            self._open_environment()
            with self._environment.begin(write=True) as transaction:
                _put(transaction, _IDENTITY, identity.encode())
                _put(transaction, _META, _pack_meta(meta))
            sync_directory(self._directory)
        except (lmdb.Error, OSError) as error:
            raise _store_error(error) from error
        return StoredReplica(identity=identity, meta=meta, fresh=True, damage=damage)

    def _empty(self) -> None:
        self.close()
        try:
            with suppress(FileNotFoundError):
                (self._directory / FILE_NAME).unlink()
            sync_directory(self._directory)
        except OSError as error:
            raise _store_error(error) from error


def _make_directory(directory: Path) -> None:
    if directory.is_dir():
        return
    directory.mkdir(parents=True, exist_ok=True)
    sync_directory(directory.parent)


def sync_directory(directory: Path) -> None:
    """Names in the directory that were made, replaced or removed are on the disk after this."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _store_error(error: Exception) -> StoreError:
    text = str(error)
    full = isinstance(error, lmdb.MapFullError) or os.strerror(errno.ENOSPC) in text
    if isinstance(error, OSError) and error.errno in (errno.ENOSPC, errno.EDQUOT):
        full = True
    return StoreFull(text) if full else StoreFailed(text)


def _put(transaction: Any, key: bytes, data: bytes) -> None:
    transaction.put(key, _CHECKSUM.pack(zlib.crc32(data, zlib.crc32(key))) + data)


def _checked(key: bytes, value: bytes) -> bytes:
    data = value[_CHECKSUM.size :]
    if value[: _CHECKSUM.size] != _CHECKSUM.pack(zlib.crc32(data, zlib.crc32(key))):
        raise _Damaged(f"checksum of {key!r}")
    return data


def _get(transaction: Any, key: bytes) -> bytes | None:
    value = transaction.get(key)
    return None if value is None else _checked(key, value)


def _put_record(transaction: Any, record: Record) -> None:
    if record.meta is not None:
        _put(transaction, _META, _pack_meta(record.meta))
        if record.meta.ballot != Ballot():
            _put(transaction, _BALLOT, _pack_ballot(record.meta.ballot))
    if record.peers is not None:
        _put(transaction, _PEERS, " ".join(record.peers).encode())
    if record.snapshot is not None:
        _delete_all(transaction, _SNAPSHOT)
        _delete_all(transaction, _UPDATE)
        _put_chunks(transaction, _SNAPSHOT, record.snapshot.seq, record.snapshot.data)
    for update in record.updates:
        _put_chunks(transaction, _UPDATE, update.seq, update.data)


def _put_chunks(transaction: Any, kind: bytes, seq: int, data: bytes) -> None:
    """Data in pieces under `kind`, sequence number, piece; the first piece tells how many there are."""
    pieces = [data[start : start + CHUNK_BYTES] for start in range(0, len(data), CHUNK_BYTES)] or [b""]
    prefix = kind + _SEQ.pack(seq)
    _put(transaction, prefix + _CHUNK.pack(0), _CHUNK.pack(len(pieces)))
    for number, piece in enumerate(pieces, 1):
        _put(transaction, prefix + _CHUNK.pack(number), piece)


def _delete_all(transaction: Any, kind: bytes) -> None:
    cursor = transaction.cursor()
    more = cursor.set_range(kind)
    while more and cursor.key().startswith(kind):
        more = cursor.delete()


def _read_all(transaction: Any, kind: bytes) -> Iterator[tuple[int, bytes]]:
    """Sequence numbers and data of all values of a kind, in order."""
    cursor = transaction.cursor()
    more = cursor.set_range(kind)
    while more and cursor.key().startswith(kind):
        key = cursor.key()
        prefix = key[: len(kind) + _SEQ.size]
        if key[len(prefix) :] != _CHUNK.pack(0):
            raise _Damaged(f"the first piece of {prefix!r} is missing")
        (count,) = _CHUNK.unpack(_checked(key, cursor.value()))
        pieces = [_get(transaction, prefix + _CHUNK.pack(number)) for number in range(1, count + 1)]
        whole = [piece for piece in pieces if piece is not None]
        if len(whole) < count:
            raise _Damaged(f"a piece of {prefix!r} is missing")
        yield _SEQ.unpack(prefix[len(kind) :])[0], b"".join(whole)
        more = cursor.set_range(prefix + _CHUNK.pack(count + 1))


def _read_snapshot(transaction: Any) -> Snapshot | None:
    found = [Snapshot(seq, data) for seq, data in _read_all(transaction, _SNAPSHOT)]
    if len(found) > 1:
        raise _Damaged("more than one snapshot")
    return found[0] if found else None


def _read_updates(transaction: Any) -> Iterator[Update]:
    for seq, data in _read_all(transaction, _UPDATE):
        yield Update(seq, data)


def _check_order(snapshot: Snapshot | None, updates: tuple[Update, ...]) -> None:
    expected = snapshot.seq if snapshot is not None else 0
    for update in updates:
        expected += 1
        if update.seq != expected:
            raise _Damaged(f"update {expected} is missing")


def _pack_ballot(ballot: Ballot) -> bytes:
    return _BALLOT_HEAD.pack(ballot.promised, ballot.accepted) + ballot.voters


def _unpack_ballot(data: bytes | None) -> Ballot:
    if data is None:
        return Ballot()
    promised, accepted = _BALLOT_HEAD.unpack_from(data)
    return Ballot(promised, accepted, data[_BALLOT_HEAD.size :])


def _pack_meta(meta: Meta) -> bytes:
    proposer = meta.promised_to.encode()
    head = _META_HEAD.pack(
        meta.promised,
        meta.synced,
        meta.committed,
        meta.view_epoch,
        meta.fleet_size,
        meta.settled,
        meta.adoptable,
        len(proposer),
    )
    return head + proposer + meta.view


def _unpack_meta(data: bytes) -> Meta:
    facts = _META_HEAD.unpack_from(data)
    promised, synced, committed, view_epoch, fleet_size, settled, adoptable, size = facts
    rest = data[_META_HEAD.size :]
    return Meta(
        promised=promised,
        promised_to=rest[:size].decode(),
        synced=synced,
        view=rest[size:],
        view_epoch=view_epoch,
        settled=settled,
        committed=committed,
        fleet_size=fleet_size,
        adoptable=adoptable,
    )
