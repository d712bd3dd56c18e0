"""Measures fail-over times in simulation. By hand:

    python -m tests.system.replica_times [--seeds 100]

For each fault: the time from the fault until a command sent at that moment is acknowledged; median and worst
over the seeds.
"""

from __future__ import annotations

import argparse
import statistics
from collections.abc import Callable

from tests.system.replica_world import Client, Node, World


def head_of(world: World) -> Node:
    """Returns the head's node."""
    head = world.head()
    assert head is not None
    return head


def other_of(world: World) -> Node:
    """Returns a node other than the head's."""
    head = head_of(world)
    return next(node for node in world.nodes if node is not head)


def kill_head(world: World) -> None:
    world.kill(head_of(world), power=True)


def kill_other(world: World) -> None:
    world.kill(other_of(world), power=True)


def restart_head(world: World) -> None:
    head = head_of(world)
    world.kill(head)
    world.start(head, 0.3)


def resign_head(world: World) -> None:
    head = head_of(world)
    assert head.replica is not None
    world.carry_out(head, head.replica.resign(world.now))


def freeze_head(world: World) -> None:
    world.freeze(head_of(world), 3.0)


def stall_head(world: World) -> None:
    head_of(world).disk.stalled_until = world.now + 5.0


def stall_other(world: World) -> None:
    other_of(world).disk.stalled_until = world.now + 5.0


def fill_head(world: World) -> None:
    head_of(world).disk.full = True


def fill_other(world: World) -> None:
    other_of(world).disk.full = True


def cut_head(world: World) -> None:
    head = head_of(world)
    for node in world.nodes:
        world.cuts |= {(head.ip, node.ip), (node.ip, head.ip)}


def kill_all(world: World) -> None:
    for node in world.nodes:
        world.kill(node, power=True)
        world.start(node, 0.3)


def wipe_head(world: World) -> None:
    head = head_of(world)
    world.kill(head, power=True)
    world.wipe(head)
    world.start(head, 0.5)


FAULTS: dict[str, Callable[[World], None]] = {
    "head loses power": kill_head,
    "follower loses power": kill_other,
    "head's process is started again": restart_head,
    "head resigns": resign_head,
    "head freezes": freeze_head,
    "head's disk stalls": stall_head,
    "follower's disk stalls": stall_other,
    "head's disk fills up": fill_head,
    "follower's disk fills up": fill_other,
    "head is cut off": cut_head,
    "all lose power, back after 0.3 s": kill_all,
    "head's disk is lost, back after 0.5 s": wipe_head,
}


def recovery_s(fault: Callable[[World], None], seed: int, count: int, tolerance: int) -> float:
    """Returns the seconds from a fault to the acknowledgement of a command sent at that moment."""
    world = World(seed, count, tolerance)
    world.run(3.0 + world.random.random())
    fault(world)
    begun = world.now
    client = Client(world, "operator", pause_s=0.001, patience_s=0.5, read_share=0.0, skips_frozen=True)
    if not world.run_while(lambda: not client.done, 20.0):
        raise TimeoutError(f"no command was acknowledged within 20 s, seed {seed}")
    return world.now - begun


def replacement_s(seed: int, count: int, tolerance: int, head: bool, same_name: bool) -> float:
    """Returns the seconds from the removal of a machine, with another started at once, to the view whose
    chain has the new one."""
    world = World(seed, count, tolerance)
    world.run(3.0 + world.random.random())
    lost = head_of(world) if head else other_of(world)
    world.remove(lost)
    spare = world.add_node(place=world.nodes.index(lost), name=lost.name if same_name else "")
    begun = world.now

    def is_voter() -> bool:
        leader = world.head()
        view = leader.replica.view_info if leader is not None and leader.replica is not None else None
        return view is not None and spare.member in view.chain

    if not world.run_while(lambda: not is_voter(), 20.0):
        raise TimeoutError(f"the voter was not replaced within 20 s, seed {seed}")
    return world.now - begun


def format_s(times: list[float]) -> str:
    return f"{statistics.median(times):6.2f} {max(times):6.2f}"


def main() -> None:
    parser = argparse.ArgumentParser(description="Measures fail-over times in simulation.")
    parser.add_argument("--seeds", type=int, default=60)
    seeds = range(parser.parse_args().seeds)
    for count, tolerance in ((3, 1), (5, 2), (8, 2)):
        print(f"{count} voters, {tolerance} may be lost: median, worst (s)")
        for name, fault in FAULTS.items():
            print(f"  {name:40} {format_s([recovery_s(fault, seed, count, tolerance) for seed in seeds])}")
        for head in (False, True):
            for same_name in (True, False):
                times = [replacement_s(seed, count, tolerance, head, same_name) for seed in seeds]
                who = "head" if head else "follower"
                name = "same name" if same_name else "another name"
                print(f"  {f'{who} replaced at once, {name}':40} {format_s(times)}")


if __name__ == "__main__":
    main()
