"""Snapshots of the list of servers: what is written and restored, when, and failures of the disk."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.control.list_snapshot import (
    MAX_AGE_S,
    MAX_BYTES,
    REFRESH_INTERVAL_S,
    RESTORE_DELAY_S,
    WRITE_INTERVAL_S,
    ListSnapshot,
    pack,
    unpack,
)
from cloverrouter.control.registry import Registry
from cloverrouter.control.servers_list import InstancesChanged
from cloverrouter.daemon.server_list_file import FILE_NAME, ServerListFile
from cloverrouter.store.atomic_file import AtomicFile
from cloverrouter.store.errors import StoreFailed

NOW = 50.0
WALL = 1_800_000_000.0
OWN = "10.0.0.1"


def server(place: int, **changes: Any) -> Instance:
    plain: dict[str, Any] = {
        "id": f"i-{place}",
        "service": "model",
        "address": f"10.0.1.{place}:80",
        "zone": "east",
        "capacity": 12,
        "sequence": 5,
    }
    return Instance(**(plain | changes))


def registry(*servers: Instance, now: float = NOW) -> Registry:
    made = Registry(OWN, 1.2)
    made.start(now)
    for each in servers:
        made.register(now, each)
    return made


def ids(effects: Any) -> set[str]:
    changed = [effect for effect in effects if isinstance(effect, InstancesChanged)]
    return {instance.id for effect in changed for instance in effect.instances}


def snapshot_of(before: Registry, now: float = NOW) -> bytes:
    data = pack(before.records(now), WALL)
    assert data is not None
    return data


def restarted(before: Registry, after: Registry, now: float) -> ListSnapshot:
    kept = ListSnapshot(after)
    kept.loaded(now, unpack(snapshot_of(before), WALL + 2.0))
    return kept


def test_a_restart_of_the_whole_fleet_restores_all_servers() -> None:
    before = registry(*(server(place) for place in range(24)))
    after = registry(now=100.0)
    kept = restarted(before, after, 100.0)
    assert not kept.tick(100.0 + RESTORE_DELAY_S / 2)
    assert ids(kept.tick(100.0 + RESTORE_DELAY_S)) == {f"i-{place}" for place in range(24)}
    assert len(after.instances("model")) == 24
    assert not kept.tick(101.0)


def test_a_list_that_the_others_mostly_have_is_not_restored() -> None:
    before = registry(*(server(place) for place in range(24)))
    after = registry(*(server(place, sequence=9) for place in range(12)), now=100.0)
    assert not restarted(before, after, 100.0).tick(100.0 + RESTORE_DELAY_S)
    assert len(after.instances("model")) == 12


def test_a_newer_announcement_of_a_server_wins_over_its_restored_record() -> None:
    before = registry(*(server(place) for place in range(24)))
    draining = server(3, state=InstanceState.DRAINING, sequence=9)
    after = registry(draining, server(4, sequence=8, capacity=48), now=100.0)
    restarted(before, after, 100.0).tick(100.0 + RESTORE_DELAY_S)
    found = {each.id: each for each in after.instances("model")}
    assert found["i-3"].state is InstanceState.DRAINING
    assert (found["i-4"].sequence, found["i-4"].capacity) == (8, 48)


def test_servers_that_were_draining_or_gone_are_restored_as_such() -> None:
    before = registry(*(server(place) for place in range(24)))
    before.register(NOW, server(1, state=InstanceState.DRAINING, sequence=6))
    before.deregister(NOW, "i-2")
    after = registry(now=100.0)
    restarted(before, after, 100.0).tick(100.0 + RESTORE_DELAY_S)
    states = {each.id: each.state for each in after.instances("model")}
    assert states["i-1"] is InstanceState.DRAINING
    assert "i-2" not in states


def test_a_restored_server_is_acknowledged_only_with_a_majority() -> None:
    before = registry(*(server(place) for place in range(24)))
    after = registry(now=100.0)
    after.voters_changed(100.0, [OWN, "10.0.0.2", "10.0.0.3"])
    restarted(before, after, 100.0).tick(100.0 + RESTORE_DELAY_S)
    change, effects = after.register(100.3, server(7, sequence=6))
    assert not [effect for effect in effects if getattr(effect, "change", None) == change]


def test_records_are_aged_and_old_snapshots_are_ignored() -> None:
    before = registry(*(server(place) for place in range(24)))
    [record, *_] = unpack(snapshot_of(before), WALL + 3.0)
    assert record.age_ms >= 3000
    assert unpack(snapshot_of(before), WALL + MAX_AGE_S + 1.0) == ()
    assert unpack(snapshot_of(before), WALL - 1.0)


def test_malformed_snapshots_are_ignored() -> None:
    data = snapshot_of(registry(server(1)))
    assert unpack(b"", WALL) == ()
    assert unpack(data[:7], WALL) == ()
    assert unpack(data[:-1], WALL) == ()
    assert unpack(data[:8] + b"\xff" * 40, WALL) == ()
    assert unpack(b"\x7f\xf8" + data[2:], WALL) == ()  # the time is NaN


def test_it_is_written_after_a_change_and_periodically() -> None:
    after = registry(server(1))
    kept = ListSnapshot(after)
    kept.loaded(NOW, ())
    assert kept.take_due(NOW + WRITE_INTERVAL_S / 2) is None
    assert kept.take_due(NOW + WRITE_INTERVAL_S) is not None
    assert kept.take_due(NOW + 2 * WRITE_INTERVAL_S) is None
    after.register(NOW + 2 * WRITE_INTERVAL_S, server(2))
    assert len(kept.take_due(NOW + 3 * WRITE_INTERVAL_S) or ()) == 2
    assert kept.take_due(NOW + 4 * WRITE_INTERVAL_S) is None
    assert kept.take_due(NOW + 3 * WRITE_INTERVAL_S + REFRESH_INTERVAL_S) is not None


def test_a_list_that_is_too_long_is_not_written() -> None:
    record = registry(server(1, version="v" * 1000)).records(NOW)
    assert pack(record * (MAX_BYTES // 1000), WALL) is None


def test_a_file_has_the_content_of_the_last_write(tmp_path: Path) -> None:
    file = AtomicFile(tmp_path / "a.copy")
    assert file.read() is None
    file.write(b"one")
    file.write(b"two")
    assert file.read() == b"two"
    (tmp_path / "a.copy").write_bytes((tmp_path / "a.copy").read_bytes()[:-1])
    assert file.read() is None


def test_failing_writes_are_logged_once(tmp_path: Path) -> None:
    with pytest.raises(StoreFailed):
        AtomicFile(tmp_path / "no such folder" / "a.copy").write(b"one")

    async def scene() -> None:
        logged: list[str] = []
        copy = ServerListFile(tmp_path / "none", registry(server(1)), lambda event, **_: logged.append(event))
        await copy.load()
        now = asyncio.get_running_loop().time()
        for step in range(1, 4):
            copy.tick(now + step * (REFRESH_INTERVAL_S + WRITE_INTERVAL_S))
            assert copy._write_task is not None
            await copy._write_task
        assert logged == ["servers-not-copied"]
        copy.close()

    asyncio.run(scene())


def test_the_next_process_restores_the_snapshot(tmp_path: Path) -> None:
    async def scene() -> None:
        now = asyncio.get_running_loop().time()
        before = ServerListFile(tmp_path, registry(*map(server, range(6)), now=now), lambda event, **_: None)
        await before.load()
        before.tick(now + 2 * WRITE_INTERVAL_S)
        assert before._write_task is not None
        await before._write_task
        before.close()
        assert (tmp_path / FILE_NAME).exists()
        after = ServerListFile(tmp_path, registry(now=now), lambda event, **_: None)
        await after.load()
        assert len(ids(after.tick(now + 1.0))) == 6
        after.close()

    asyncio.run(scene())


def test_servers_whose_ids_an_earlier_build_accepted_are_not_restored() -> None:
    """Their ids can't be sent to them, so they can't register any more, and " i-1" would be taken for i-1."""
    before = registry(server(1), server(2, id=" i-1"), server(3, id="सर्वर"))
    after = registry()
    copy = ListSnapshot(after)
    copy.loaded(NOW, tuple(before.records(NOW)))
    copy.tick(NOW + RESTORE_DELAY_S)
    assert [record.id for record in after.records(NOW + RESTORE_DELAY_S)] == ["i-1"]
