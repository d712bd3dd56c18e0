"""A replica's start: what it tells of its disk."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.daemon.replica_role import ReplicaRole, RolePorts
from cloverrouter.store import Meta, Record
from cloverrouter.store.replica_store import FILE_NAME, ReplicaStore

DISK_MB = 4


def used_disk(directory: Path) -> Path:
    store = ReplicaStore.open(directory, DISK_MB * 1024 * 1024)
    store.load(bootstrap=True)
    store.write(Record(meta=Meta(promised=3)))
    store.close()
    return directory / FILE_NAME


@pytest.mark.parametrize("is_turned", [False, True])
def test_a_damaged_disk_is_told(tmp_path: Path, is_turned: bool) -> None:
    path = used_disk(tmp_path)
    if is_turned:
        path.write_bytes(path.read_bytes().replace(b"identity", b"identitx"))
    told: list[tuple[str, dict[str, Any]]] = []
    settings: Any = SimpleNamespace(
        data_directory=tmp_path,
        disk_mb=DISK_MB,
        bootstrap=False,
        ip="10.0.0.1",
        name="one",
        zone="a",
        tolerated_machines=0,
        bounds=SimpleNamespace(connectivity_s=3.0),
    )
    ports = RolePorts(
        lambda ip, message: None,
        lambda view: None,
        lambda kind, **fields: told.append((kind, fields)),
        lambda *_, **__: None,
    )

    async def opened() -> ReplicaRole:
        return await ReplicaRole.open(settings, ports, Random(1))

    role = asyncio.run(opened())
    assert [kind for kind, _ in told] == ["disk-damaged"] * is_turned
    assert all(fields["damage"] and fields["identity"] == role.identity for _, fields in told)
