"""Departures of servers on real disks: the files, and a kill of all processes of a fleet."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
from collections.abc import Callable, Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

import pytest

from cloverrouter.control.announcements import Acknowledged, Failed
from cloverrouter.control.departures import StoreDepartures
from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.control.registry import Effect, Registry
from cloverrouter.daemon.departure_file import FILE_NAME, DepartureFile
from cloverrouter.daemon.server_list_file import FILE_NAME as LIST_FILE_NAME
from cloverrouter.lab.fleet import deployment
from cloverrouter.lab.fleet.nodes import Node
from cloverrouter.lab.fleet.wire import WireError, call
from cloverrouter.store.append_log import AppendLog
from cloverrouter.store.errors import StoreFailed
from tests.system.peers import run_scenario, until

OWN = "10.0.0.1"

# The file


def test_a_log_has_what_was_appended(tmp_path: Path) -> None:
    path = tmp_path / "a.log"
    assert AppendLog(path).read() == []
    log = AppendLog(path)
    log.append([b"one", b"two"])
    log.append([b"three"])
    again = AppendLog(path)
    assert again.read() == [b"one", b"two", b"three"] and again.size_bytes == path.stat().st_size
    again.append([b"four"])
    again.replace([b"three", b"four"])
    again.append([b"five"])
    assert AppendLog(path).read() == [b"three", b"four", b"five"]


def test_a_torn_end_of_a_log_is_ignored_and_replaced(tmp_path: Path) -> None:
    path = tmp_path / "a.log"
    AppendLog(path).append([b"one", b"two"])
    whole = path.read_bytes()
    for length in range(len(whole)):
        path.write_bytes(whole[:length])
        log = AppendLog(path)
        kept = log.read()
        assert kept == [b"one", b"two"][: len(kept)]
        log.append([b"new"])
        assert AppendLog(path).read() == [*kept, b"new"]


def test_damaged_records_of_a_log_are_not_returned(tmp_path: Path) -> None:
    path = tmp_path / "a.log"
    AppendLog(path).append([b"one", b"two"])
    whole = path.read_bytes()
    for place in range(len(whole)):
        path.write_bytes(whole[:place] + bytes([whole[place] ^ 0x40]) + whole[place + 1 :])
        assert AppendLog(path).read() in ([], [b"one"])


def test_a_failed_append_is_reported_and_leaves_the_log_usable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with pytest.raises(StoreFailed):
        AppendLog(tmp_path / "no such folder" / "a.log").append([b"one"])
    log = AppendLog(tmp_path / "a.log")
    log.append([b"one"])

    def fail(descriptor: int) -> None:
        raise OSError("no space")

    with monkeypatch.context() as patched:
        patched.setattr("os.fsync", fail)
        with pytest.raises(StoreFailed):
            log.append([b"lost, and longer than what follows"])
    log.append([b"two"])
    assert AppendLog(tmp_path / "a.log").read() == [b"one", b"two"]


def test_a_log_that_was_not_read_is_not_overwritten(tmp_path: Path) -> None:
    path = tmp_path / "a.log"
    AppendLog(path).append([b"one"])
    AppendLog(path).append([b"two"])
    assert AppendLog(path).read() == [b"one", b"two"]


def test_an_unreadable_log_fails_and_is_not_overwritten(tmp_path: Path) -> None:
    path = tmp_path / "a.log"
    path.mkdir()  # can be opened by nobody as a file
    log = AppendLog(path)
    with pytest.raises(StoreFailed):
        log.read()
    with pytest.raises(StoreFailed):
        log.append([b"one"])


# One machine


class OneMachine:
    """A registry that is the only voter, with its file of departures."""

    def __init__(self, folder: Path) -> None:
        self.loop = asyncio.get_running_loop()
        self.registry = Registry(OWN, 1.2, has_disk=True)
        self.logged: list[str] = []
        self.acknowledged: list[int] = []
        self.failed: list[int] = []
        self.file = DepartureFile(
            folder, self.registry, self.apply, lambda event, **_: self.logged.append(event)
        )

    async def start(self) -> OneMachine:
        await self.file.load()
        self.apply(self.registry.voters_changed(self.loop.time(), [OWN]))
        return self

    def apply(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, StoreDepartures):
                self.file.store(effect.records)
            elif isinstance(effect, Acknowledged):
                self.acknowledged.append(effect.change)
            elif isinstance(effect, Failed):
                self.failed.append(effect.change)

    def call(self, instance_id: str, state: InstanceState, **facts: Any) -> int:
        instance = Instance(instance_id, "desk", "10.1.0.1:80", state=state, sequence=1, **facts)
        change, effects = self.registry.register(self.loop.time(), instance)
        self.apply(effects)
        return change

    async def leave(self, instance_id: str, **facts: Any) -> None:
        """Calls until it is acknowledged: a disk that has just failed refuses calls for a moment."""
        changes = [self.call(instance_id, InstanceState.GONE, **facts)]
        while not set(changes) & set(self.acknowledged):
            await asyncio.sleep(0.02)
            if changes[-1] in self.failed:
                changes.append(self.call(instance_id, InstanceState.GONE, **facts))

    def state_of(self, instance_id: str) -> InstanceState | None:
        found = self.registry.find(instance_id)
        return found.state if found is not None else None


def test_the_next_process_knows_an_acknowledged_departure(tmp_path: Path) -> None:
    async def scenario() -> None:
        before = await OneMachine(tmp_path).start()
        await before.leave("a")
        before.call("b", InstanceState.READY)
        after = await OneMachine(tmp_path).start()
        assert after.state_of("a") is InstanceState.GONE and after.state_of("b") is None
        after.call("a", InstanceState.READY)
        assert after.state_of("a") is InstanceState.GONE
        before.file.close()
        after.file.close()

    run_scenario(scenario())


def test_a_departure_with_very_long_facts_is_stored_without_them(tmp_path: Path) -> None:
    async def scenario() -> None:
        before = await OneMachine(tmp_path).start()
        await before.leave("a", version="v" * 2_000_000)
        after = await OneMachine(tmp_path).start()
        assert after.state_of("a") is InstanceState.GONE
        assert (tmp_path / FILE_NAME).stat().st_size < 1000
        before.file.close()
        after.file.close()

    run_scenario(scenario())


def test_the_file_is_compacted_and_keeps_what_is_remembered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("cloverrouter.daemon.departure_file.COMPACT_BYTES", 2000)

    async def scenario() -> None:
        before = await OneMachine(tmp_path).start()
        for number in range(60):
            await before.leave(f"s-{number}")
        after = await OneMachine(tmp_path).start()
        states = [after.state_of(f"s-{number}") for number in range(60)]
        assert states == [InstanceState.GONE] * 60
        assert len(AppendLog(tmp_path / FILE_NAME).read()) == 60  # none is there twice
        before.file.close()
        after.file.close()

    run_scenario(scenario())


def test_a_start_waits_for_a_disk_that_cannot_be_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("cloverrouter.daemon.departure_file.READ_RETRY_S", 0.01)

    async def scenario() -> None:
        before = await OneMachine(tmp_path).start()
        await before.leave("a")
        (tmp_path / FILE_NAME).rename(tmp_path / "aside")
        (tmp_path / FILE_NAME).mkdir()
        after = OneMachine(tmp_path)
        start = asyncio.create_task(after.start())
        await until(lambda: after.logged)
        assert not start.done()
        (tmp_path / FILE_NAME).rmdir()
        (tmp_path / "aside").rename(tmp_path / FILE_NAME)
        await start
        assert after.logged == ["departures-not-read"] and after.state_of("a") is InstanceState.GONE
        before.file.close()
        after.file.close()

    run_scenario(scenario())


def test_a_disk_that_fails_is_logged_once_and_used_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        folder = tmp_path / "disk"
        machine = await OneMachine(folder).start()
        change = machine.call("a", InstanceState.GONE)
        for _ in range(3):
            await until(lambda: machine.logged)
            machine.apply(machine.registry.tick(machine.loop.time() + 1))
        folder.mkdir()
        while not (folder / FILE_NAME).exists():
            machine.apply(machine.registry.tick(machine.loop.time() + 1))
            await asyncio.sleep(0.01)
        assert machine.logged == ["departures-not-stored"] and change not in machine.acknowledged
        await machine.leave("a")
        machine.file.close()

    run_scenario(scenario())


# All processes of a fleet

STAYING = tuple(f"i-stays-{number}" for number in range(6))
HEARTBEAT_S = deployment.HEARTBEAT_MS / 1000
CONNECTIVITY_S = float(deployment.BOUNDS["connectivity-ms"]) / 1000
DOWN_S = 0.7
OBSERVED_S = 4.0


class Fleet:
    """Real processes: three with a disk and one without. Servers are their calls only."""

    def __init__(self, folder: Path, prefix: str) -> None:
        specs = deployment.nodes(prefix)[:4]
        settings = deployment.fleet_settings(specs)
        self.nodes = [Node(spec, settings, folder) for spec in specs]
        self.folder = folder
        self._sequence = 0
        self._ports: dict[str, int] = {}

    def snapshots(self) -> Iterator[Path]:
        for node in self.nodes:
            if node.spec.has_disk:
                yield self.folder / node.spec.name / "disk" / LIST_FILE_NAME

    async def request(self, node: Node, method: str, path: str, body: Any = None) -> Any:
        """Returns the answer's body, or None without a success."""
        with contextlib.suppress(OSError, WireError, TimeoutError):
            answer = await call(node.spec.control_plane, method, path, body, timeout_s=1.0)
            if 200 <= answer.status < 300:
                return answer.json() if answer.body else {}
        return None

    async def announce(self, instance_id: str, state: str = "ready") -> bool:
        """Sends a server's call to one node after the other until it is acknowledged."""
        self._sequence += 1
        body = {
            "backend": "desk",
            "address": f"127.0.0.1:{self._ports.setdefault(instance_id, 9000 + len(self._ports))}",
            "availability-zone": deployment.ZONES[0],
            "version": "v1",
            "capacity": 6,
            "lifecycle-state": state,
            "warmup-remaining-ms": 0,
            "sequence-number": self._sequence,
        }
        path = f"/-/instances/{instance_id}"
        return await self._first_success(self.nodes, "PUT", path, body)

    async def withdraw(self, instance_id: str) -> bool:
        """Sends a server's DELETE to one node after the other until it is acknowledged."""
        return await self._first_success(self.nodes, "DELETE", f"/-/instances/{instance_id}", None)

    async def _first_success(self, nodes: Sequence[Node], method: str, path: str, body: Any) -> bool:
        for node in nodes:
            if await self.request(node, method, path, body) is not None:
                return True
        return False

    async def keep_calling(self, instance_ids: Sequence[str]) -> None:
        """Sends the servers' heartbeats until it is cancelled."""
        while True:
            for instance_id in instance_ids:
                await self.announce(instance_id)
            await asyncio.sleep(HEARTBEAT_S)

    async def ready_at(self, node: Node) -> set[str] | None:
        """Returns the servers that the node lists as ready, or None if it doesn't answer."""
        listed = await self.request(node, "GET", "/-/instances")
        if listed is None:
            return None
        return {one["id"] for servers in listed.values() for one in servers if one["state"] == "ready"}


async def poll(condition: Callable[[], Any], within_s: float = 20.0) -> None:
    async with asyncio.timeout(within_s):
        while not await condition():
            await asyncio.sleep(0.1)


def test_a_kill_of_all_processes_after_acknowledged_departures(tmp_path: Path) -> None:
    """Guards against servers that are ready again after their acknowledged DELETE or draining (`DRAIN`).

    The order of events is fixed: the lists on the disks are those from before the departures.
    """

    async def scenario(fleet: Fleet) -> None:
        for node in fleet.nodes:
            node.start(bootstrap=True)
        await poll(lambda: fleet.announce("i-ends"))
        await poll(lambda: fleet.announce("i-drains"))
        calls = asyncio.create_task(fleet.keep_calling(STAYING))

        async def all_saved() -> bool:
            saved = [path.read_bytes() if path.exists() else b"" for path in fleet.snapshots()]
            names = ("i-ends", "i-drains", *STAYING)
            return all(name.encode() in data for data in saved for name in names)

        await poll(all_saved)
        for path in fleet.snapshots():
            shutil.copy(path, tmp_path / path.parent.parent.name / "saved")
        assert await fleet.withdraw("i-ends")
        assert await fleet.announce("i-drains", "draining")
        for node in fleet.nodes:
            node.kill()
        for path in fleet.snapshots():
            shutil.copy(tmp_path / path.parent.parent.name / "saved", path)
        await asyncio.sleep(DOWN_S)
        for node in fleet.nodes:
            node.start()
        await asyncio.sleep(2 * CONNECTIVITY_S)

        async def all_list_those_that_stay() -> bool:
            found = [await fleet.ready_at(node) for node in fleet.nodes]
            return all(each is not None and each >= set(STAYING) for each in found)

        await poll(all_list_those_that_stay)
        until_s = asyncio.get_running_loop().time() + OBSERVED_S
        while asyncio.get_running_loop().time() < until_s:
            for node in fleet.nodes:
                assert not {"i-ends", "i-drains"} & (await fleet.ready_at(node) or set()), node.spec.name
            await asyncio.sleep(0.1)
        calls.cancel()

    fleet = Fleet(tmp_path, deployment.choose_loopback_prefix(53, tmp_path))
    try:
        asyncio.run(scenario(fleet))
    finally:
        for node in fleet.nodes:
            node.close()
