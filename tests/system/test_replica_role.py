"""The replica role: what it logs about a damaged disk, and what it sends to subscribers."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.control.distribution_messages import Offer, Subscribe
from cloverrouter.coordination.views import Member, View, encode_view
from cloverrouter.daemon.replica_role import ReplicaRole, RolePorts
from cloverrouter.daemon.view_notice import ViewNotice
from cloverrouter.store import Meta, Record
from cloverrouter.store.replica_store import FILE_NAME, ReplicaStore

DISK_MB = 4


def written_disk(directory: Path) -> Path:
    store = ReplicaStore.open(directory, DISK_MB * 1024 * 1024)
    store.load(bootstrap=True)
    store.write(Record(meta=Meta(promised=3)))
    store.close()
    return directory / FILE_NAME


@pytest.mark.parametrize("is_damaged", [False, True])
def test_a_damaged_disk_is_told(tmp_path: Path, is_damaged: bool) -> None:
    path = written_disk(tmp_path)
    if is_damaged:
        path.write_bytes(path.read_bytes().replace(b"identity", b"identitx"))
    logged: list[tuple[str, dict[str, Any]]] = []
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
        lambda event, **fields: logged.append((event, fields)),
        lambda *_, **__: None,
    )

    async def opened() -> ReplicaRole:
        return await ReplicaRole.open(settings, ports, Random(1))

    role = asyncio.run(opened())
    assert [event for event, _ in logged] == ["disk-damaged"] * is_damaged
    assert all(fields["damage"] and fields["identity"] == role.identity for _, fields in logged)


async def role_in_view(directory: Path, voters: tuple[Member, ...]) -> tuple[ReplicaRole, list[Any]]:
    """Starts a replica whose disk holds a view with these voters; returns it and the list of its messages.

    An empty identity stands for the replica itself.
    """
    store = ReplicaStore.open(directory, DISK_MB * 1024 * 1024)
    identity = store.load().identity
    chosen = tuple(Member(each.identity or identity, each.ip, each.name, each.zone) for each in voters)
    view = View(7, chosen, (chosen[0].identity,), ())
    store.write(Record(meta=Meta(promised=7, view=encode_view(view), view_epoch=7, settled=True)))
    store.close()
    sent: list[Any] = []
    settings: Any = SimpleNamespace(
        data_directory=directory, disk_mb=DISK_MB, bootstrap=False, ip="10.0.0.1", name="one", zone="a",
        tolerated_machines=1, bounds=SimpleNamespace(connectivity_s=3.0),
    )  # fmt: skip
    ports = RolePorts(
        lambda ip, message: sent.append(message),
        lambda view: None,
        lambda *_, **__: None,
        lambda *_, **__: None,
    )
    role = await ReplicaRole.open(settings, ports, Random(1))
    role.start(1.0)
    return role, sent


OTHERS = (Member("aa", "10.0.0.2", "two", "a"), Member("bb", "10.0.0.3", "three", "a"))
SELF = Member("", "10.0.0.1", "one", "a")


@pytest.mark.parametrize("is_voter", [False, True])
def test_a_subscriber_hears_of_the_view_first_and_from_voters_only_what_is_committed(
    tmp_path: Path, is_voter: bool
) -> None:
    """A proxy that was disconnected may know only replaced voters, whose offers may be out of date."""

    async def run_role() -> list[Any]:
        voters = (SELF, *OTHERS) if is_voter else (*OTHERS, Member("cc", "10.0.0.4", "four", "a"))
        role, sent = await role_in_view(tmp_path, voters)
        sent.clear()
        role.receive_from_subscriber(1.1, "10.0.0.9", Subscribe(5, True))
        role.close()
        return [type(message) for message in sent]

    assert asyncio.run(run_role()) == ([ViewNotice, Offer] if is_voter else [ViewNotice])
