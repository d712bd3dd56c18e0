"""The replica's store: durable writes, and the treatment of damaged and full disks."""

from __future__ import annotations

from pathlib import Path

import lmdb
import pytest

from cloverrouter.store import Meta, Record, Snapshot, StoreFailed, StoreFull, Update
from cloverrouter.store.pages import PAGE_BYTES, check_pages
from cloverrouter.store.replica_store import FILE_NAME, ReplicaStore

MAX_BYTES = 4 * 1024 * 1024
META = Meta(promised=9, promised_to="ab", synced=7, view=b"view", view_epoch=7, settled=True, committed=3)


def open_store(directory: Path, max_bytes: int = MAX_BYTES) -> ReplicaStore:
    return ReplicaStore.open(directory, max_bytes)


def test_an_empty_disk_draws_an_identity_once(tmp_path: Path) -> None:
    first = open_store(tmp_path / "data" / "router").load(bootstrap=True)
    again = open_store(tmp_path / "data" / "router").load()
    assert first.is_new_identity and not again.is_new_identity
    assert first.identity == again.identity and len(first.identity) == 16
    assert first.meta.adoptable and again.meta.adoptable
    assert open_store(tmp_path / "other").load().identity != first.identity
    assert not open_store(tmp_path / "third").load().meta.adoptable


def test_what_is_written_is_there_after_a_start(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    identity = store.load().identity
    big = bytes(range(256)) * 1000
    store.write(Record(meta=META, snapshot=Snapshot(4, big), updates=(Update(5, b""), Update(6, big))))
    store.write(Record(meta=META, updates=(Update(7, b"seven"),), peers=("10.1.0.1:7", "10.1.0.2:7")))
    store.close()
    stored = open_store(tmp_path).load()
    assert stored.identity == identity
    assert stored.meta == META
    assert stored.snapshot == Snapshot(4, big)
    assert stored.updates == (Update(5, b""), Update(6, big), Update(7, b"seven"))
    assert stored.peers == ("10.1.0.1:7", "10.1.0.2:7")


def test_a_snapshot_replaces_all_that_was_before(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.load()
    store.write(Record(updates=(Update(1, b"one"), Update(2, b"x" * 100_000))))
    store.write(Record(meta=META, snapshot=Snapshot(2, b"two"), updates=(Update(3, b"three"),)))
    stored = store.load()
    assert stored.snapshot == Snapshot(2, b"two")
    assert stored.updates == (Update(3, b"three"),)


def test_a_full_disk_refuses_and_keeps_what_it_has(tmp_path: Path) -> None:
    store = open_store(tmp_path, 1024 * 1024)
    store.load()
    store.write(Record(meta=META, updates=(Update(1, b"one"),)))
    with pytest.raises(StoreFull):
        store.write(Record(updates=(Update(2, b"x" * 2_000_000),)))
    store.write(Record(updates=(Update(2, b"two"),)))
    assert store.load().updates == (Update(1, b"one"), Update(2, b"two"))


def test_the_file_does_not_outgrow_its_room_over_many_rewrites(tmp_path: Path) -> None:
    store = open_store(tmp_path, 8 * 1024 * 1024)
    store.load()
    for seq in range(1, 300):
        data = bytes([seq % 251]) * (1_000_000 + 7919 * (seq % 13))
        store.write(Record(meta=META, snapshot=Snapshot(seq, data)))
    assert (tmp_path / FILE_NAME).stat().st_size <= 0.7 * 8 * 1024 * 1024
    snapshot = store.load().snapshot
    assert snapshot is not None and snapshot.seq == 299


def test_states_of_the_room_for_them_are_replaced_again_and_again(tmp_path: Path) -> None:
    store = open_store(tmp_path, 16 * 1024 * 1024)
    store.load()
    room = store.max_state_bytes
    seq = 0
    for _ in range(30):
        for _ in range(4):
            seq += 1
            store.write(Record(meta=META, updates=(Update(seq, bytes([seq % 251]) * (room // 4)),)))
        store.write(Record(meta=META, snapshot=Snapshot(seq, bytes([seq % 251]) * room)))
    stored = store.load()
    assert stored.snapshot is not None and len(stored.snapshot.data) == room


@pytest.mark.parametrize("kept_bytes", [0, 100, 5000])
def test_a_file_that_is_cut_short_is_a_lost_disk(tmp_path: Path, kept_bytes: int) -> None:
    store = open_store(tmp_path)
    identity = store.load(bootstrap=True).identity
    store.write(Record(meta=META, snapshot=Snapshot(1, b"x" * 100_000)))
    store.close()
    path = tmp_path / FILE_NAME
    path.write_bytes(path.read_bytes()[:kept_bytes])
    stored = open_store(tmp_path).load(bootstrap=True)
    assert stored.identity != identity
    assert stored.is_new_identity and stored.snapshot is None


def test_a_value_that_was_changed_is_a_lost_disk(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    identity = store.load(bootstrap=True).identity
    store.write(Record(meta=META, snapshot=Snapshot(1, b"x" * 100_000)))
    store.close()
    path = tmp_path / FILE_NAME
    data = bytearray(path.read_bytes())
    data[data.index(b"x" * 1000) + 500] ^= 1
    path.write_bytes(bytes(data))
    stored = open_store(tmp_path).load(bootstrap=True)
    assert stored.identity != identity
    assert "checksum" in stored.damage
    assert not stored.meta.adoptable, "a damaged disk must not take part in a bootstrap"


def test_a_gap_in_the_updates_is_a_lost_disk(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    identity = store.load().identity
    store.write(Record(meta=META, updates=(Update(1, b"one"), Update(3, b"three"))))
    assert store.load().identity != identity


def test_turned_bytes_of_pages_are_a_lost_disk(tmp_path: Path) -> None:
    """Corrupts bytes of all page headers: the process never crashes, and each lost update is reported."""
    store = open_store(tmp_path)
    store.load(bootstrap=True)
    for seq in range(1, 60):
        store.write(Record(meta=META, updates=(Update(seq, bytes([seq]) * 100),)))
    whole = store.load()
    store.close()
    path = tmp_path / FILE_NAME
    image = path.read_bytes()
    for page in range(0, len(image), PAGE_BYTES):
        for offset in (0, 8, 10, 12, 14, 16, 24, 40, 48, 64, 72, 136, 152):
            corrupted = bytearray(image)
            corrupted[page + offset] ^= 2
            path.write_bytes(corrupted)
            store = open_store(tmp_path)
            stored = store.load()
            store.close()
            assert stored == whole or stored.damage, (page // PAGE_BYTES, offset)


def test_a_disk_without_its_identity_is_a_lost_disk(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.load(bootstrap=True)
    store.close()
    environment = lmdb.open(str(tmp_path / FILE_NAME), subdir=False, lock=False)
    with environment.begin(write=True) as transaction:
        transaction.delete(b"identity")
    environment.close()
    stored = open_store(tmp_path).load(bootstrap=True)
    assert stored.damage and not stored.meta.adoptable


def test_pages_of_a_file_in_use_are_sound_at_each_size(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.load()
    for seq in range(1, 200):
        snapshot = Snapshot(seq, bytes([seq]) * seq * 300) if seq % 7 == 0 else None
        updates = () if snapshot is not None else (Update(seq, b"x" * (seq * 37 % 5000)),)
        store.write(Record(meta=META, snapshot=snapshot, updates=updates))
        with (tmp_path / FILE_NAME).open("rb") as file:
            check_pages(file)


def test_pages_turned_while_the_file_was_closed_refuse_a_write(tmp_path: Path) -> None:
    """As after a panic of lmdb, after which the next write opens the file again."""
    store = open_store(tmp_path)
    store.load()
    store.write(Record(meta=Meta(promised=1), updates=(Update(1, b"one"),)))
    store.close()
    path = tmp_path / FILE_NAME
    data = bytearray(path.read_bytes())
    data[2 * PAGE_BYTES :] = bytes(len(data) - 2 * PAGE_BYTES)
    path.write_bytes(data)
    with pytest.raises(StoreFailed):
        store.write(Record(meta=Meta(promised=2)))
