"""The disk of a replica: one lmdb file, in which each write is one synced transaction.

How the file is treated when it is opened:

- Missing, or without an identity because of a power loss during the first use: the disk is empty. An identity
  is generated and synced before anything else is written.
- lmdb can't open it, its page structure is invalid (`store/pages.py`), or a value is missing or fails its
  checksum: the disk is lost. The file is removed and a new identity is generated, so that the machine never
  votes under its old identity after it has lost its promises.
- Otherwise it is intact: lmdb's transactions are atomic.

An instance may be used by one thread at a time, a directory by one process.
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
# Fraction of the allowed disk space that the file may use. lmdb never shrinks its file, and a full disk fails
# every write.
MAP_FRACTION = 0.7
# The largest state is the map's size divided by this. Up to three copies occupy pages at once: the state with
# its updates, the state that replaces them, and the one replaced before, whose pages lmdb reuses only two
# transactions later. The fourth part is for lmdb's own pages.
MAX_STATE_DIVISOR = 4
# A chunk, its 4-byte checksum and lmdb's 16-byte page header fill 8 pages exactly. Data is split into chunks
# because a larger value would need a longer run of contiguous free pages.
CHUNK_BYTES = 8 * PAGE_BYTES - 16 - 4

_IDENTITY = b"identity"
_META = b"meta"
_BALLOT = b"ballot"  # absent in files of older releases, which means an empty ballot
_NOTE = b"note"  # absent in files of older releases, which means an empty note
_PEERS = b"peers"
_SNAPSHOT = b"snapshot"
_UPDATE = b"update"
_SEQ = struct.Struct(">Q")
_CHUNK_NUMBER = struct.Struct(">I")
_CHECKSUM = struct.Struct(">I")
_BALLOT_HEADER = struct.Struct(">QQ")
_META_HEADER = struct.Struct(">QQQQI??B")


class _Damaged(Exception):
    """A stored value is missing or differs from what was written."""


_DAMAGE_ERRORS = (
    _Damaged,
    PagesDamaged,
    lmdb.InvalidError,
    lmdb.CorruptedError,
    lmdb.PageNotFoundError,
    lmdb.VersionMismatchError,
)


class ReplicaStore:
    """The durable storage of one replica."""

    def __init__(self, directory: Path, map_bytes: int) -> None:
        """Internal; use `open`."""
        self._directory = directory
        self._map_bytes = map_bytes
        self._environment: Any = None
        self._stored_note: bytes | None = None  # the note on the disk; None until it was written

    @classmethod
    def open(cls, directory: Path, max_bytes: int) -> ReplicaStore:
        """Returns a store in a directory, which is created if it is missing.

        Its file stays below 0.7 of `max_bytes`. Raises StoreError if the directory can't be created."""
        map_bytes = int(max_bytes * MAP_FRACTION) // PAGE_BYTES * PAGE_BYTES
        store = cls(directory, map_bytes)
        try:
            _make_directory(directory)
        except OSError as error:
            raise _store_error(error) from error
        return store

    @property
    def max_state_bytes(self) -> int:
        """The largest size in bytes of a state together with the updates after it."""
        return self._map_bytes // MAX_STATE_DIVISOR

    def load(self, bootstrap: bool = False) -> StoredReplica:
        """Returns the content of the disk. An empty or damaged disk gets a new identity.

        `bootstrap`: this is the system's first start, and an empty disk may become one of the first voters.
        Raises StoreError."""
        damage = ""
        try:
            self._open_environment()
            stored = self._read()
        except _DAMAGE_ERRORS as error:
            damage = f"{type(error).__name__}: {error}"
            stored = None
            self._remove_file()
        except (lmdb.Error, OSError) as error:
            raise _store_error(error) from error
        if stored is not None:
            return stored
        # A damaged disk held data before, so that it must not take part in the system's bootstrap.
        return self._initialize(adoptable=bootstrap and not damage, damage=damage)

    def write(self, record: Record) -> None:
        """Stores a record durably before it returns.

        Raises StoreError; the stored data is then unchanged."""
        try:
            self._open_environment()
            with self._environment.begin(write=True) as transaction:
                _put_record(transaction, record)
                self._put_changed_note(transaction, record)
            if record.meta is not None:
                self._stored_note = record.meta.note
        except lmdb.PanicError as error:
            self.close()  # after a panic lmdb accepts no write until the environment is opened again
            raise StoreFailed(str(error)) from error
        except (lmdb.Error, OSError, _Damaged, PagesDamaged) as error:
            raise _store_error(error) from error

    def _put_changed_note(self, transaction: Any, record: Record) -> None:
        """Writes the note only if it has changed: it may be long, and most records repeat it."""
        if record.meta is not None and record.meta.note != self._stored_note:
            _put(transaction, _NOTE, record.meta.note)

    def close(self) -> None:
        """Closes the file. A later call opens it again."""
        self._stored_note = None
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
                raise _Damaged("the identity is missing")
            if identity is None:
                return None
            meta = _get(transaction, _META)
            if meta is None:
                raise _Damaged("the meta record is missing")
            snapshot = _read_snapshot(transaction)
            updates = tuple(_read_updates(transaction))
            ballot = _get(transaction, _BALLOT)
            note = _get(transaction, _NOTE) or b""
            peers = _get(transaction, _PEERS) or b""
        _check_update_sequence(snapshot, updates)
        return StoredReplica(
            identity=identity.decode(),
            meta=attrs.evolve(_unpack_meta(meta), ballot=_unpack_ballot(ballot), note=note),
            snapshot=snapshot,
            updates=updates,
            peers=tuple(peers.decode().split()),
        )

    def _initialize(self, adoptable: bool, damage: str) -> StoredReplica:
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
        return StoredReplica(identity=identity, meta=meta, is_new_identity=True, damage=damage)

    def _remove_file(self) -> None:
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
    """Makes created, replaced and removed entries of the directory durable. Raises OSError."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _store_error(error: Exception) -> StoreError:
    text = str(error)
    is_full = isinstance(error, lmdb.MapFullError) or os.strerror(errno.ENOSPC) in text
    if isinstance(error, OSError) and error.errno in (errno.ENOSPC, errno.EDQUOT):
        is_full = True
    return StoreFull(text) if is_full else StoreFailed(text)


def _put(transaction: Any, key: bytes, data: bytes) -> None:
    transaction.put(key, _CHECKSUM.pack(zlib.crc32(data, zlib.crc32(key))) + data)


def _verify_checksum(key: bytes, value: bytes) -> bytes:
    data = value[_CHECKSUM.size :]
    if value[: _CHECKSUM.size] != _CHECKSUM.pack(zlib.crc32(data, zlib.crc32(key))):
        raise _Damaged(f"checksum mismatch of {key!r}")
    return data


def _get(transaction: Any, key: bytes) -> bytes | None:
    value = transaction.get(key)
    return None if value is None else _verify_checksum(key, value)


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
    """Stores data as chunks under `kind`, sequence number and chunk number; chunk 0 holds their count."""
    chunks = [data[start : start + CHUNK_BYTES] for start in range(0, len(data), CHUNK_BYTES)] or [b""]
    prefix = kind + _SEQ.pack(seq)
    _put(transaction, prefix + _CHUNK_NUMBER.pack(0), _CHUNK_NUMBER.pack(len(chunks)))
    for number, chunk in enumerate(chunks, 1):
        _put(transaction, prefix + _CHUNK_NUMBER.pack(number), chunk)


def _delete_all(transaction: Any, kind: bytes) -> None:
    cursor = transaction.cursor()
    is_found = cursor.set_range(kind)
    while is_found and cursor.key().startswith(kind):
        is_found = cursor.delete()


def _read_all(transaction: Any, kind: bytes) -> Iterator[tuple[int, bytes]]:
    """Yields the sequence number and data of each value of a kind, in order."""
    cursor = transaction.cursor()
    is_found = cursor.set_range(kind)
    while is_found and cursor.key().startswith(kind):
        key = cursor.key()
        prefix = key[: len(kind) + _SEQ.size]
        if key[len(prefix) :] != _CHUNK_NUMBER.pack(0):
            raise _Damaged(f"the first chunk of {prefix!r} is missing")
        (count,) = _CHUNK_NUMBER.unpack(_verify_checksum(key, cursor.value()))
        chunks = [_get(transaction, prefix + _CHUNK_NUMBER.pack(number)) for number in range(1, count + 1)]
        present_chunks = [chunk for chunk in chunks if chunk is not None]
        if len(present_chunks) < count:
            raise _Damaged(f"a chunk of {prefix!r} is missing")
        yield _SEQ.unpack(prefix[len(kind) :])[0], b"".join(present_chunks)
        is_found = cursor.set_range(prefix + _CHUNK_NUMBER.pack(count + 1))


def _read_snapshot(transaction: Any) -> Snapshot | None:
    snapshots = [Snapshot(seq, data) for seq, data in _read_all(transaction, _SNAPSHOT)]
    if len(snapshots) > 1:
        raise _Damaged("more than one snapshot")
    return snapshots[0] if snapshots else None


def _read_updates(transaction: Any) -> Iterator[Update]:
    for seq, data in _read_all(transaction, _UPDATE):
        yield Update(seq, data)


def _check_update_sequence(snapshot: Snapshot | None, updates: tuple[Update, ...]) -> None:
    expected = snapshot.seq if snapshot is not None else 0
    for update in updates:
        expected += 1
        if update.seq != expected:
            raise _Damaged(f"update {expected} is missing")


def _pack_ballot(ballot: Ballot) -> bytes:
    return _BALLOT_HEADER.pack(ballot.promised, ballot.accepted) + ballot.voters


def _unpack_ballot(data: bytes | None) -> Ballot:
    if data is None:
        return Ballot()
    promised, accepted = _BALLOT_HEADER.unpack_from(data)
    return Ballot(promised, accepted, data[_BALLOT_HEADER.size :])


def _pack_meta(meta: Meta) -> bytes:
    proposer = meta.promised_to.encode()
    header = _META_HEADER.pack(
        meta.promised,
        meta.synced,
        meta.committed,
        meta.view_epoch,
        meta.fleet_size,
        meta.settled,
        meta.adoptable,
        len(proposer),
    )
    return header + proposer + meta.view


def _unpack_meta(data: bytes) -> Meta:
    header = _META_HEADER.unpack_from(data)
    promised, synced, committed, view_epoch, fleet_size, settled, adoptable, proposer_bytes = header
    rest = data[_META_HEADER.size :]
    return Meta(
        promised=promised,
        promised_to=rest[:proposer_bytes].decode(),
        synced=synced,
        view=rest[proposer_bytes:],
        view_epoch=view_epoch,
        settled=settled,
        committed=committed,
        fleet_size=fleet_size,
        adoptable=adoptable,
    )
