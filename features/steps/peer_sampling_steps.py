"""Steps of peer sampling: machines in a small world with a fake clock."""

from __future__ import annotations

from random import Random
from typing import Any

from behave import given, then, when

from cloverrouter.coordination.sampling import PeerSampler, ViewLearned
from cloverrouter.coordination.sampling_messages import PeerRecord, ViewSummary, VoterAddress
from tests.system.lossy_world import World


def start(context: Any, ip: str, *, disk: bool, incarnation: int = 1, after: float = 0.0) -> None:
    identity = f"disk-{ip}-{incarnation}" if disk else ""
    me = PeerRecord(ip, ip, "zone", identity, disk, incarnation)
    context.world.add(ip, PeerSampler(me, context.seeds, Random(context.world.random.random())), after)


def known_disks(context: Any, ip: str, fresher_than: float = 1e9) -> set[str]:
    core = context.world.cores[ip]
    found = core.disk_members(context.world.now)
    return {member.record.ip for member in found if member.silent_for_s < fresher_than}


def start_all(context: Any) -> None:
    context.world = World(3)
    for ip in context.ips:
        start(context, ip, disk=ip in context.disks, after=context.world.random.uniform(0, 0.3))


@given("{size:d} machines, {disks:d} of them with disks, that start within 0.3 s")
def step_machines(context: Any, size: int, disks: int) -> None:
    context.ips = [f"10.0.0.{number + 1}" for number in range(size)]
    context.disks = context.ips[:disks]
    context.seeds = context.ips[:3]
    start_all(context)


@given("the seeds are one machine and two addresses where nobody is")
def step_seeds_down(context: Any) -> None:
    context.seeds = [context.ips[0], "10.9.0.1", "10.9.0.2"]
    start_all(context)


@given("{seconds:g} s have passed")
@when("{seconds:g} s pass")
def step_pass(context: Any, seconds: float) -> None:
    context.world.run(context.world.now + seconds)


@when("the seeds go down")
def step_seeds_go_down(context: Any) -> None:
    for ip in context.seeds:
        context.world.stop(ip)


@when("a machine without a disk starts again with seeds of which one is up")
def step_starts_again(context: Any) -> None:
    context.seeds = [*context.seeds[:2], context.disks[-1]]
    start(context, context.ips[-1], disk=False, incarnation=2)


@when("all seeds are exchanged for new machines with disks")
def step_exchange_seeds(context: Any) -> None:
    for ip in context.disks:
        context.world.stop(ip)
    context.seeds = ["10.1.0.1", "10.1.0.2", "10.1.0.3"]
    for ip in context.seeds:
        start(context, ip, disk=True)
    for ip, core in context.world.cores.items():
        context.world.take(ip, core.seeds_changed(context.world.now, context.seeds))
    context.disks = context.seeds


@when("the machines are cut into halves for {seconds:g} s")
def step_cut(context: Any, seconds: float) -> None:
    context.halves = [set(context.ips[::2]), set(context.ips[1::2])]
    context.world.cut(*context.halves)
    context.world.run(context.world.now + seconds)


@when("the halves are joined")
def step_join(context: Any) -> None:
    context.world.join()


@when("a machine with a disk goes down")
def step_goes_down(context: Any) -> None:
    context.world.stop(context.disks[1])


@when("a machine starts again with an empty disk and an earlier clock")
def step_wiped(context: Any) -> None:
    start(context, context.disks[1], disk=True, incarnation=0)


@when("one machine knows of view {newer:d} and another of view {older:d}")
def step_views(context: Any, newer: int, older: int) -> None:
    for ip, epoch in ((context.ips[2], newer), (context.ips[9], older)):
        voters = (VoterAddress(context.ips[0], "d", "zone"),)
        summary = ViewSummary(epoch, True, context.ips[0], voters, 0)
        context.world.take(ip, context.world.cores[ip].view_changed(context.world.now, summary))


@then("every machine knows all disks")
def step_know_all(context: Any) -> None:
    for ip in context.ips:
        assert known_disks(context, ip) == set(context.disks), ip


@then("every machine has heard of the disks that are up, and of no others, within the last {seconds:g} s")
def step_heard_up(context: Any, seconds: float) -> None:
    up = set(context.disks) & set(context.world.cores)
    for ip in context.world.cores:
        assert known_disks(context, ip, fresher_than=seconds) == up, ip


@then("every machine knows the disks that are up and no others")
def step_know_up(context: Any) -> None:
    for ip in context.world.cores:
        assert known_disks(context, ip) == set(context.disks) & set(context.world.cores), ip


@then("every machine has heard of the new disks within the last {seconds:g} s")
def step_heard(context: Any, seconds: float) -> None:
    for ip in context.world.cores:
        assert known_disks(context, ip, fresher_than=seconds) == set(context.disks), ip


@then("neither half knows the other's disks")
def step_halves(context: Any) -> None:
    for half in context.halves:
        for ip in half:
            assert known_disks(context, ip) == set(context.disks) & half, ip


@then("every machine knows one disk at that address, the new one")
def step_new_disk(context: Any) -> None:
    for ip in context.ips:
        found = context.world.cores[ip].disk_members(context.world.now)
        at_address = [member.record.identity for member in found if member.record.ip == context.disks[1]]
        assert at_address == [f"disk-{context.disks[1]}-0"], (ip, at_address)


@then("every machine knows of view {newer:d} and none went back to view {older:d}")
def step_newest_view(context: Any, newer: int, older: int) -> None:
    for ip in context.ips:
        assert context.world.cores[ip].summary.epoch == newer
        epochs = [learned.summary.epoch for learned in context.world.seen(ip, ViewLearned)]
        assert epochs == sorted(epochs)
