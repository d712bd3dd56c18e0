"""How soon machines learn, and what it costs in messages, in the tests' small world (no sockets, no
processor time).

python -m benchmarks.membership [SIZE ...]

Links delay 0.5 to 3 ms and lose nothing. Sizes are given with a number of voters and of disks in `FLEETS`.
Bytes are those of frames as they are encoded, without the headers of TCP and IP.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from functools import partial

from cloverrouter.control.instances import InstanceState
from cloverrouter.coordination.sampling import PeerSampler
from cloverrouter.coordination.sampling_messages import ViewSummary
from tests.system import test_sampling as sampling
from tests.system.distribution_fleet import DistributionFleet
from tests.system.lossy_world import World
from tests.system.registry_fleet import RegistryFleet

FLEETS = {11: (3, 3), 30: (5, 8), 100: (7, 22), 300: (7, 22)}  # machines: voters, disks
SEEDS = range(5)
WINDOW = 10.0


def row(name: str, values: Sequence[float], unit: str) -> None:
    ordered = sorted(values)
    print(f"  {name}: median {ordered[len(ordered) // 2]:.3f}, worst {ordered[-1]:.3f} {unit}")


def traffic(world: World, groups: dict[str, list[str]], seconds: float = WINDOW) -> None:
    """Messages and bytes a second that the machines of each group send from now on."""
    world.messages.clear()
    world.bytes.clear()
    world.counts_bytes = True
    world.run(world.now + seconds)
    world.counts_bytes = False
    for name, ips in groups.items():
        row(f"{name}, messages sent", [world.messages[ip] / seconds for ip in ips], "a second")
        row(f"{name}, bytes sent", [world.bytes[ip] / seconds for ip in ips], "a second")


def measure_sampling(size: int, disks: int) -> None:
    print(" peer sampling")
    row("all know all disks after the first start", [first_start(seed, size, disks) for seed in SEEDS], "s")
    row(
        "a new view known by all, 20 s after the start", [view_spread(s, size, disks, 20) for s in SEEDS], "s"
    )
    row(
        "a new view known by all, 60 s after the start", [view_spread(s, size, disks, 60) for s in SEEDS], "s"
    )
    world = World(1)
    ips = sampling.fleet(world, size, disks)
    world.run(0.35)
    print("  in the second after the start")
    traffic(world, {"machine": ips}, 1.0)
    world.run(60)
    ages = [
        member.silent_for_s
        for core in world.cores.values()
        if isinstance(core, PeerSampler)
        for member in core.disk_members(world.now)
    ]
    row("age of the news of a living disk", ages, "s")
    print("  settled, a minute after the start")
    traffic(world, {"machine": ips})


def first_start(seed: int, size: int, disks: int) -> float:
    return sampling.time_to_learn_disks(World(seed), size, disks)


def view_spread(seed: int, size: int, disks: int, after: float) -> float:
    world = World(seed)
    ips = sampling.fleet(world, size, disks)
    world.run(after)
    cores = [core for core in (world.cores[ip] for ip in ips) if isinstance(core, PeerSampler)]
    new = ViewSummary(9, True, ips[0], (), 0)
    world.take(ips[0], cores[0].view_changed(world.now, new))
    return world.run_until(lambda: all(core.summary == new for core in cores), limit=30)


def measure_registry(size: int, voters: int) -> None:
    servers = max(12, size)
    print(f" servers' list, {servers} servers with a heartbeat every 1.2 s")
    world = World(1)
    fleet = RegistryFleet(world, size, voters)
    world.run(1)
    for number in range(servers):
        fleet.start_heartbeats(f"s{number}", [fleet.ips[number % size], fleet.ips[(number + 7) % size]])
    world.run(15)
    whole = {f"s{number}": InstanceState.READY for number in range(servers)}
    assert fleet.all_have(whole)
    traffic(world, {"voter": fleet.voters, "other machine": fleet.ips[voters:]})
    acknowledged, known = [], []
    for number in range(5):
        fleet.stop_heartbeats(f"s{number}")
        whole |= {f"s{number}": InstanceState.DRAINING}
        began = world.now
        acknowledged.append(drain(fleet, fleet.ips[-1 - number], f"s{number}"))
        waiting(world, partial(fleet.all_have, whole))
        known.append(world.now - began)
        world.run(world.now + 0.5)
    row("draining acknowledged", acknowledged, "s")
    row("draining known everywhere", known, "s")
    world.run(world.now + 5)
    fleet.restart(fleet.voters[1])
    world.run(world.now + 0.1)
    refilled = waiting(world, lambda: fleet.all_have(whole, fleet.voters))
    row("an empty voter filled again", [refilled], "s")


def drain(fleet: RegistryFleet, callee: str, name: str) -> float:
    change = fleet.announce(callee, name, 10_000, state=InstanceState.DRAINING)
    return waiting(fleet.world, lambda: fleet.was_acknowledged(callee, change))


def measure_distribution(size: int, voters: int) -> None:
    print(" distribution")
    world = World(1)
    fleet = DistributionFleet(world, size, voters, state=b"x" * 100_000)
    world.run(10)
    traffic(world, {"voter": fleet.voters, "other machine": fleet.ips[voters:]})
    times = []
    for _ in range(5):
        fleet.commit(b"y" * 1000)
        times.append(waiting(world, fleet.all_have))
        world.run(world.now + 1)
    row("a change of 1 KB in force everywhere", times, "s")
    storm = []
    for _ in range(20):
        began = world.now
        fleet.commit(b"z" * 1000)
        storm.append(waiting(world, fleet.all_have))
        world.run(max(world.now, began + 0.2))
    row("each of 20 changes in 4 s in force everywhere", storm, "s")
    away = fleet.ips[-1]
    others = [ip for ip in fleet.ips if ip != away]
    world.cut([away], others)
    for _ in range(20):
        fleet.commit(b"z" * 1000)
        world.run(world.now + 0.2)
    world.join()
    fleet.link_up(away)
    row("one that was cut off meanwhile has caught up", [waiting(world, fleet.all_have)], "s")
    world.counts_bytes = True
    world.bytes.clear()
    fleet.commit(b"w" * 1000)
    waiting(world, fleet.all_have)
    world.run(world.now + 0.01)
    row("bytes that a change of 1 KB costs a voter", [world.bytes[ip] for ip in fleet.voters], "")


def waiting(world: World, condition: Callable[[], bool]) -> float:
    return world.run_until(condition, limit=10, step=0.001)


def main() -> None:
    for size in [int(each) for each in sys.argv[1:]] or FLEETS:
        voters, disks = FLEETS[size]
        print(f"{size} machines, {voters} voters, {disks} disks")
        measure_sampling(size, disks)
        measure_registry(size, voters)
        measure_distribution(size, voters)


if __name__ == "__main__":
    main()
