"""Every set of up to three disk losses at every step of a planned replacement of a voter, in simulation.

    python -m tests.system.loss_table [--voters 3 --tolerance 1] [--jobs N]

A spare has been discovered and a voter is told to exit. At one step of the replacement that follows, disks
are lost: their machines lose power and come back with empty disks. Prints, for each step and number of
losses, how many sets there are and after how many of them commands are acknowledged again or not, and lists
the tolerable losses after which none are. Whatever the set, the world raises `Violation` if an invariant is
broken.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor

import attrs
from cyclopts import App

from tests.system.replica_scenarios import TAKES_PART_AFTER_S, leader, order, run_to
from tests.system.replica_world import Node, World

MAX_LOST = 3
RESTART_AFTER_S = 1.0
RECOVERY_LIMIT_S = 8.0
STEP_LIMIT_S = 3.0
POLL_S = 0.25

STEPS = (
    "before it is told",
    "the head is told",
    "an epoch is reserved",
    "a majority has promised",
    "the newcomer has the state",
    "the view is in force",
    "all know that it is",
)


@attrs.frozen
class Case:
    """Disks lost at one step. `lost`: indices of the nodes; the spare's is the number of voters."""

    voters: int
    tolerance: int
    step: str
    lost: tuple[int, ...]
    head_leaves: bool = False


@attrs.frozen
class Outcome:
    """Result of a case."""

    case: Case
    has_recovered: bool
    count: int
    """Number of lost machines that count; the leaving one counts only until its process has ended.

    Limitation: if the leaving machine and as many others as may be lost are lost before the replacement, no
    majority remains, although the spare has been there long enough. This cannot be avoided: to the remaining
    machines it looks like a partition on whose other side the others are a majority.
    """

    @property
    def is_tolerable(self) -> bool:
        """Returns whether the losses that count are within the tolerance."""
        return self.count <= self.case.tolerance


def cases(voters: int, tolerance: int, head_leaves: bool = False) -> Iterator[Case]:
    """Yields all sets of one to three losses at all steps."""
    for step in STEPS:
        for many in range(1, MAX_LOST + 1):
            for lost in itertools.combinations(range(voters + 1), many):
                yield Case(voters, tolerance, step, lost, head_leaves)


@attrs.define
class _Replacement:
    """A replacement in progress."""

    world: World
    head: Node
    leaver: Node
    spare: Node
    epoch: int

    def has_reached(self, step: str) -> bool:
        disks = [node.disk.stored.meta for node in self.world.nodes]
        newer = [meta for meta in disks if meta.promised > self.epoch]
        state = self.spare.disk.stored.meta.synced > self.epoch
        views = [
            node.replica.view_info
            for node in self.world.nodes
            if node.replica is not None and node.replica.view_info is not None
        ]
        knowing = sum(view.active and self.spare.member in view.voters for view in views)
        conditions: dict[str, Callable[[], bool]] = {
            "before it is told": lambda: True,
            "the head is told": lambda: True,
            "an epoch is reserved": lambda: bool(newer),
            "a majority has promised": lambda: 2 * len(newer) > len(self.world.nodes) - 1,
            "the newcomer has the state": lambda: state,
            "the view is in force": lambda: knowing > 0,
            "all know that it is": lambda: knowing >= len(disks) - 1,
        }
        return conditions[step]()


def replacement_at(case: Case) -> _Replacement:
    """Returns a world in which a replacement has reached the case's step. Raises SituationNotReached
    otherwise."""
    world = World(1, case.voters, case.tolerance)
    world.run(2.0)
    head = leader(world)
    run_to(world, order(world, head, "first"), 2.0, "an order")
    others = [node for node in world.nodes if node is not head]
    leaver = head if case.head_leaves else others[0]
    spare = world.add_node(place=world.nodes.index(leaver))
    world.run(TAKES_PART_AFTER_S)
    epoch = max(node.disk.stored.meta.promised for node in world.nodes)
    replacement = _Replacement(world, head, leaver, spare, epoch)
    if case.step != STEPS[0]:
        world.leave(leaver)
        if case.step == STEPS[1]:
            world.run(0.02)
        run_to(world, lambda: replacement.has_reached(case.step), STEP_LIMIT_S, case.step)
    return replacement


def play(case: Case) -> Outcome:
    """Loses the disks at that step, and checks whether commands are acknowledged again."""
    replacement = replacement_at(case)
    world = replacement.world
    # The spare's index follows those of the initial voters.
    lost = [world.nodes[place] for place in case.lost]
    count = sum(node is not replacement.leaver or node.replica is not None for node in lost)
    for node in lost:
        if node.replica is not None:
            world.kill(node, power=True)
        world.wipe(node)
        if node is not replacement.leaver:
            world.start(node, RESTART_AFTER_S)
    acknowledged: list[Callable[[], bool]] = []
    until = world.now + RECOVERY_LIMIT_S
    number = 0
    while world.now < until and not any(done() for done in acknowledged):
        for node in world.running():
            number += 1
            acknowledged.append(order(world, node, f"after-{number}"))
        world.run(POLL_S)
    return Outcome(case, any(done() for done in acknowledged), count)


def table(outcomes: list[Outcome]) -> str:
    """Returns a Markdown table of the results by step and number of losses."""
    lines = ["| step | machines lost that count | sets | go on | wait |", "| --- | --- | --- | --- | --- |"]
    for step in STEPS:
        found = [outcome for outcome in outcomes if outcome.case.step == step]
        by_count = Counter((outcome.count, outcome.has_recovered) for outcome in found)
        for many in sorted({outcome.count for outcome in found}):
            has_recovered, waits = by_count[many, True], by_count[many, False]
            lines.append(f"| {step} | {many} | {has_recovered + waits} | {has_recovered} | {waits} |")
    return "\n".join(lines)


app = App(help=__doc__)


@app.default
def main(voters: int = 3, tolerance: int = 1, jobs: int = 4, head_leaves: bool = False) -> int:
    """Plays all cases and prints the table. Returns 1 if commands stop after a tolerable loss."""
    cases_to_play = list(cases(voters, tolerance, head_leaves))
    with ProcessPoolExecutor(jobs) as pool:
        outcomes = list(pool.map(play, cases_to_play, chunksize=8))
    print(table(outcomes))
    wrong = [outcome.case for outcome in outcomes if outcome.is_tolerable and not outcome.has_recovered]
    for case in wrong:
        print("not borne:", case)
    return 1 if wrong else 0


if __name__ == "__main__":
    app()
