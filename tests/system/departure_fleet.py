"""Registries with simulated disks, whose processes can be killed and restarted all at once."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

from cloverrouter.control.announcements import Acknowledged, Failed
from cloverrouter.control.departures import StoreDepartures
from cloverrouter.control.instances import Instance, InstanceState
from cloverrouter.control.list_snapshot import ListSnapshot
from cloverrouter.control.registry import Effect, Registry
from cloverrouter.control.registry_messages import InstanceRecord
from tests.system.lossy_world import World

HEARTBEAT_INTERVAL_S = 1.2
CONFIRM_WITHIN_S = 2.5
CONNECTIVITY_S = 3.0
SYNC_S = 0.002


@attrs.define
class Disk:
    """One machine's disk. `sync_s`: the duration of a write; infinite while it stalls."""

    sync_s: float = SYNC_S
    is_full: bool = False
    departures: list[InstanceRecord] = attrs.field(factory=list)
    departures_at: float = 0.0
    snapshot: tuple[InstanceRecord, ...] = ()
    writes: int = 0


class Machine:
    """One process of a machine with a disk, or of one without."""

    def __init__(self, fleet: DepartureFleet, ip: str) -> None:
        self._fleet = fleet
        self.disk = fleet.disks.get(ip)
        self.registry = Registry(
            ip, HEARTBEAT_INTERVAL_S, has_disk=self.disk is not None, confirm_within_s=fleet.confirm_within_s
        )
        self._snapshot = ListSnapshot(self.registry)
        self.started_at = 0.0

    def start(self, now: float) -> list[Effect]:
        self.started_at = now
        effects: list[Effect] = []
        if self.disk is not None:
            effects += self.registry.restore_departures(now, self.disk.departures)
            self._snapshot.loaded(now, self.disk.snapshot)
        effects += self.registry.voters_changed(now, self._fleet.voters)
        self.registry.set_head(now, self._fleet.voters[0])
        return effects

    def tick(self, now: float) -> list[Effect]:
        return [*self.registry.tick(now), *self._snapshot.tick(now)]

    def receive(self, now: float, sender_ip: str, message: object) -> list[Effect]:
        return self.registry.receive(now, sender_ip, message)


class DepartureFleet:
    """`size` machines: first `voters` voters with a disk, then `spares` others with a disk."""

    def __init__(
        self,
        world: World,
        size: int = 5,
        voters: int = 3,
        confirm_within_s: float = CONFIRM_WITHIN_S,
        spares: int = 0,
    ) -> None:
        self.world = world
        self.confirm_within_s = confirm_within_s
        self.ips = [f"10.0.0.{number + 1}" for number in range(size)]
        self.voters = self.ips[:voters]
        self.disks = {ip: Disk() for ip in self.ips[: voters + spares]}
        self.sequences: dict[str, int] = {}
        world.on_effect = self._carry_out
        for ip in self.ips:
            world.add(ip, Machine(self, ip))

    def machine(self, ip: str) -> Machine:
        found = self.world.cores[ip]
        assert isinstance(found, Machine)
        return found

    def _carry_out(self, ip: str, effect: Any) -> None:
        if isinstance(effect, StoreDepartures):
            disk, machine = self.disks[ip], self.machine(ip)
            disk.writes += 1
            if disk.sync_s != float("inf"):
                self.world.at(self.world.now + disk.sync_s, lambda: self._end_write(ip, machine, effect))

    def _end_write(self, ip: str, machine: Machine, effect: StoreDepartures) -> None:
        if self.world.cores.get(ip) is not machine:
            return  # the process was killed meanwhile
        disk, now = self.disks[ip], self.world.now
        if disk.is_full:
            self.world.take(ip, machine.registry.departures_not_stored(now))
            return
        disk.departures.extend(effect.records)
        self.world.take(ip, machine.registry.departures_stored(now))

    # Calls of servers

    def call(self, ip: str, instance_id: str, state: InstanceState) -> int:
        """The server calls the machine: a heartbeat, or a DELETE. Returns the number of the change."""
        registry, now = self.machine(ip).registry, self.world.now
        if state is InstanceState.GONE:
            change, effects = registry.deregister(now, instance_id)
        else:
            self.sequences[instance_id] = self.sequences.get(instance_id, 0) + 1
            instance = Instance(
                instance_id,
                "desk",
                f"{instance_id}:80",
                capacity=8,
                state=state,
                sequence=self.sequences[instance_id],
            )
            change, effects = registry.register(now, instance)
        self.world.take(ip, effects)
        return change

    def has_effect(self, ip: str, effect: Acknowledged | Failed) -> bool:
        """Returns whether the process that runs at `ip` has given this result of a call."""
        since = self.machine(ip).started_at
        return any(at >= since and where == ip and each == effect for at, where, each in self.world.effects)

    def acknowledge(self, ip: str, instance_id: str, state: InstanceState, within_s: float = 1.0) -> float:
        """The server calls; returns how long its acknowledgement took."""
        change = self.call(ip, instance_id, state)
        return self.world.run_until(
            lambda: self.has_effect(ip, Acknowledged(change)), limit=within_s, step=0.001
        )

    def beat(self, instance_ids: Iterable[str], ips: Iterable[str]) -> None:
        """Servers go on sending heartbeats to these machines in turn, while they are up."""
        callees = list(ips)

        def call(instance_id: str, turn: int) -> None:
            ip = callees[turn % len(callees)]
            if ip in self.world.cores:
                self.call(ip, instance_id, InstanceState.READY)
            self.world.at(self.world.now + HEARTBEAT_INTERVAL_S, lambda: call(instance_id, turn + 1))

        for number, instance_id in enumerate(instance_ids):
            self.world.at(self.world.now + number * 0.1, lambda each=instance_id: call(each, 0))  # type: ignore[misc]

    # Losses

    def save_snapshots(self) -> None:
        """Writes each machine's list to its disk."""
        for ip, disk in self.disks.items():
            disk.snapshot = tuple(self.machine(ip).registry.records(self.world.now))

    def kill_all(self, *, stays_down: Iterable[str] = (), loses_disk: Iterable[str] = ()) -> None:
        """Kills all processes and starts them again after 0.7 s."""
        for ip in self.ips:
            self.world.stop(ip)
        for ip in loses_disk:
            self.disks[ip] = Disk()
        for ip in self.ips:
            if ip not in stays_down:
                self.world.add(ip, Machine(self, ip), after=0.7)

    def is_offered(self, ip: str, instance_id: str) -> bool:
        """Returns whether the machine would send requests to the server."""
        found = self.machine(ip).registry.instances("desk")
        return any(each.id == instance_id and each.state is InstanceState.READY for each in found)

    def offered_at(self, instance_id: str) -> list[str]:
        """Returns the machines that are up and would send requests to the server."""
        return [ip for ip in self.ips if ip in self.world.cores and self.is_offered(ip, instance_id)]
