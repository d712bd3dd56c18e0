"""Every set of up to three losses at every step of a planned exchange of voters, in the simulated world.

    python -m tests.system.loss_table [--voters 3 --tolerance 1] [--jobs N]

A newcomer has counted, a voter is told to end, and at one step of the exchange that follows, disks are lost:
their machines lose power and come back with empty disks. Prints, for each step and number of losses, how
many sets there are, after how many of them orders are acknowledged again, and those after which none are.
Whatever the set, the world raises `Violation` where something false is told.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor

import attrs
from cyclopts import App

from tests.system.replica_scenarios import COUNTS_AFTER_S, leader, order, run_to
from tests.system.replica_world import Node, World

MOST_LOST = 3
BACK_AFTER_S = 1.0
GOES_ON_WITHIN_S = 8.0
STEP_WITHIN_S = 3.0
LOOK_S = 0.25

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
    """Disks lost at one step. `lost`: places of the nodes; the newcomer's is the number of voters."""

    voters: int
    tolerance: int
    step: str
    lost: tuple[int, ...]
    head_leaves: bool = False


@attrs.frozen
class Outcome:
    """What came of a case."""

    case: Case
    goes_on: bool
    count: int
    """Machines lost that count: the one that leaves only until its process has ended.

    Danger: with it and as many others as may be lost no majority is left until it is exchanged, though its
    successor has had its time. That can't be helped: who is left can't tell it from a cut, on whose other
    side the others are a majority."""

    @property
    def is_borne(self) -> bool:
        """Whether no more than may be lost at once was lost of what counts then."""
        return self.count <= self.case.tolerance


def cases(voters: int, tolerance: int, head_leaves: bool = False) -> Iterator[Case]:
    """All sets of one to three losses at all steps."""
    for step in STEPS:
        for many in range(1, MOST_LOST + 1):
            for lost in itertools.combinations(range(voters + 1), many):
                yield Case(voters, tolerance, step, lost, head_leaves)


@attrs.define
class _Scene:
    """An exchange under way."""

    world: World
    head: Node
    leaver: Node
    newcomer: Node
    epoch: int

    def has_reached(self, step: str) -> bool:
        disks = [node.disk.stored.meta for node in self.world.nodes]
        newer = [meta for meta in disks if meta.promised > self.epoch]
        state = self.newcomer.disk.stored.meta.synced > self.epoch
        views = [
            node.replica.view_info
            for node in self.world.nodes
            if node.replica is not None and node.replica.view_info is not None
        ]
        knowing = sum(view.active and self.newcomer.member in view.voters for view in views)
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


def exchange_at(case: Case) -> _Scene:
    """A world in which an exchange is at that step."""
    world = World(1, case.voters, case.tolerance)
    world.run(2.0)
    head = leader(world)
    run_to(world, order(world, head, "first"), 2.0, "an order")
    others = [node for node in world.nodes if node is not head]
    leaver = head if case.head_leaves else others[0]
    newcomer = world.add_node(place=world.nodes.index(leaver))
    world.run(COUNTS_AFTER_S)
    epoch = max(node.disk.stored.meta.promised for node in world.nodes)
    scene = _Scene(world, head, leaver, newcomer, epoch)
    if case.step != STEPS[0]:
        world.leave(leaver)
        if case.step == STEPS[1]:
            world.run(0.02)
        run_to(world, lambda: scene.has_reached(case.step), STEP_WITHIN_S, case.step)
    return scene


def play(case: Case) -> Outcome:
    """Lose the disks at that step, and see whether orders are acknowledged again."""
    scene = exchange_at(case)
    world = scene.world
    # The newcomer is asked for by its place behind the voters that were there first.
    lost = [world.nodes[place] for place in case.lost]
    count = sum(node is not scene.leaver or node.replica is not None for node in lost)
    for node in lost:
        if node.replica is not None:
            world.kill(node, power=True)
        world.wipe(node)
        if node is not scene.leaver:
            world.start(node, BACK_AFTER_S)
    acknowledged: list[Callable[[], bool]] = []
    until = world.now + GOES_ON_WITHIN_S
    number = 0
    while world.now < until and not any(done() for done in acknowledged):
        for node in world.running():
            number += 1
            acknowledged.append(order(world, node, f"after-{number}"))
        world.run(LOOK_S)
    return Outcome(case, any(done() for done in acknowledged), count)


def table(outcomes: list[Outcome]) -> str:
    """The rows of the page: by step and number of losses."""
    lines = ["| step | machines lost that count | sets | go on | wait |", "| --- | --- | --- | --- | --- |"]
    for step in STEPS:
        found = [outcome for outcome in outcomes if outcome.case.step == step]
        by_count = Counter((outcome.count, outcome.goes_on) for outcome in found)
        for many in sorted({outcome.count for outcome in found}):
            goes_on, waits = by_count[many, True], by_count[many, False]
            lines.append(f"| {step} | {many} | {goes_on + waits} | {goes_on} | {waits} |")
    return "\n".join(lines)


app = App(help=__doc__)


@app.default
def main(voters: int = 3, tolerance: int = 1, jobs: int = 4, head_leaves: bool = False) -> int:
    """Plays all cases of a chain and prints the table; 1 if a loss that may be borne is not."""
    drawn = list(cases(voters, tolerance, head_leaves))
    with ProcessPoolExecutor(jobs) as pool:
        outcomes = list(pool.map(play, drawn, chunksize=8))
    print(table(outcomes))
    wrong = [outcome.case for outcome in outcomes if outcome.is_borne and not outcome.goes_on]
    for case in wrong:
        print("not borne:", case)
    return 1 if wrong else 0


if __name__ == "__main__":
    app()
