"""The search: breadth first over all histories up to a depth, then seeded random walks beyond it.

Histories that lead to the same state (`canon`) are explored once. A state is stored as the history that led
to it and rebuilt by replaying it; each enabled event, with each combination of random draws, is then applied
to a copy. Memory use is therefore small, mostly the digests, and a counterexample that was found breadth
first is a shortest one.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from cloverrouter.explore import trace
from cloverrouter.explore.canon import digest
from cloverrouter.explore.choices import next_script
from cloverrouter.explore.faults import world_type
from cloverrouter.explore.scope import Scope
from cloverrouter.explore.trace import Counterexample, Step
from cloverrouter.explore.world import World

Progress = Callable[["Report"], None]
ROOT = -1
EXHAUSTIVE = 0.6  # share of the time limit for the breadth-first search


@dataclass
class Report:
    """What has been explored, and the counterexample, if one was found."""

    scope: str
    states: int = 0  # distinct states
    transitions: int = 0
    depth: int = 0  # the greatest depth that was explored completely
    left: int = 0  # states whose successors were not explored
    walks: int = 0
    walked: int = 0  # steps in all walks
    seconds: float = 0.0
    searched_s: float = 0.0  # the part of `seconds` that the breadth-first search took
    exhausted: bool = False  # all states up to the depth bound were explored
    found: Counterexample | None = None

    @property
    def rate(self) -> float:
        """Returns the states per second of the breadth-first search."""
        return self.states / self.searched_s if self.searched_s else 0.0


@dataclass(slots=True)
class _Node:
    parent: int
    step: Step


@dataclass
class Search:
    """One search, which ends at the first breach or at the time limit.

    `depth` bounds the breadth-first search; None means the depth of the scope. `walks` bounds the number of
    random walks after it; None means that only the time limit applies. If both bounds are reached within the
    time limit, two runs give the same result.
    """

    scope: Scope
    fault: str | None = None
    seed: int = 1
    seconds: float = 60.0
    depth: int | None = None
    walks: int | None = None
    progress: Progress = lambda report: None
    clock: Callable[[], float] = time.monotonic
    _nodes: list[_Node] = field(default_factory=list)
    _seen: set[int] = field(default_factory=set)

    def run(self) -> Report:
        """Runs the search: at most three fifths of the time breadth first, the rest as random walks."""
        report, begun = Report(self.scope.name), self.clock()
        self._breadth(report, begun, begun + self.seconds * EXHAUSTIVE)
        report.searched_s = self.clock() - begun
        if report.found is None:
            self._walks(report, begun, begun + self.seconds)
        report.seconds = self.clock() - begun
        if report.found is not None:
            steps = trace.shrink(self.scope, self.fault, report.found.steps)
            report.found = msgspec.structs.replace(report.found, steps=steps)
        return report

    def _fresh(self) -> World:
        return world_type(self.fault)(self.scope)

    def _path(self, node: int) -> list[Step]:
        steps: list[Step] = []
        while node != ROOT:
            steps.append(self._nodes[node].step)
            node = self._nodes[node].parent
        return steps[::-1]

    def _copies(self, world: World) -> Callable[[], World]:
        kept, scope = pickle.dumps(world, pickle.HIGHEST_PROTOCOL), self.scope

        def copy() -> World:
            again: World = pickle.loads(kept)
            again.scope = scope
            again._use_choices()
            return again

        return copy

    def _breadth(self, report: Report, begun: float, until: float) -> None:
        bound = self.depth if self.depth is not None else self.scope.depth
        self._seen.add(digest(self._fresh()))
        level = [ROOT]
        report.states = 1
        for depth in range(bound):
            following: list[int] = []
            for at, node in enumerate(level):
                if self.clock() > until:
                    report.left = len(level) - at + len(following)
                    return
                path = self._path(node)
                if not self._open(report, node, path, following):
                    return
                if at % 200 == 0:
                    report.seconds = report.searched_s = self.clock() - begun
                    self.progress(report)
            report.depth = depth + 1
            level = following
        report.left = len(level)
        report.exhausted = True

    def _open(self, report: Report, node: int, path: list[Step], following: list[int]) -> bool:
        """Applies every enabled event to the state of `node`. Returns False at a breach."""
        world = self._fresh()
        for one in path:
            world.apply(one.event, one.draws)
        names = world.enabled()
        copy = self._copies(world)
        for name in names:
            script: tuple[int, ...] | None = ()
            while script is not None:
                world = copy()
                drawn, wrong = trace.step(world, name, script)
                report.transitions += 1
                taken = Step(name, tuple(drawn))
                if wrong:
                    report.found = self._found(wrong[0], [*path, taken])
                    return False
                key = digest(world)
                if key not in self._seen:
                    self._seen.add(key)
                    self._nodes.append(_Node(node, taken))
                    following.append(len(self._nodes) - 1)
                    report.states += 1
                script = next_script(drawn)
        return True

    def _walks(self, report: Report, begun: float, until: float) -> None:
        number = 0
        while self.clock() < until and number != self.walks:
            number += 1
            # Seeding each walk by its own number makes it reproducible independently of earlier walks.
            chance = Random(f"{self.seed}/{number}")
            if not self._walk(report, chance):
                return
            report.walks = number
            if number % 20 == 0:
                report.seconds = self.clock() - begun
                self.progress(report)

    def _walk(self, report: Report, chance: Random) -> bool:
        world, steps = self._fresh(), []
        for _ in range(self.scope.walk):
            names = world.enabled()
            if not names:
                break
            name = chance.choice(names)
            script = tuple(chance.randrange(2) for _ in range(8))
            drawn, wrong = trace.step(world, name, script)
            report.walked += 1
            steps.append(Step(name, tuple(drawn)))
            if wrong:
                report.found = self._found(wrong[0], steps)
                return False
        return True

    def _found(self, breach: str, steps: list[Step]) -> Counterexample:
        return Counterexample(trace.FORM, self.scope.name, self.fault, breach, tuple(steps))
