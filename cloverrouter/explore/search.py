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
ROOT_NODE = -1
BREADTH_FIRST_TIME_SHARE = 0.6  # share of the time limit for the breadth-first search


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
        report, started_s = Report(self.scope.name), self.clock()
        self._search_breadth_first(report, started_s, started_s + self.seconds * BREADTH_FIRST_TIME_SHARE)
        report.searched_s = self.clock() - started_s
        if report.found is None:
            self._run_walks(report, started_s, started_s + self.seconds)
        report.seconds = self.clock() - started_s
        if report.found is not None:
            steps = trace.shrink(self.scope, self.fault, report.found.steps)
            report.found = msgspec.structs.replace(report.found, steps=steps)
        return report

    def _new_world(self) -> World:
        return world_type(self.fault)(self.scope)

    def _path(self, node: int) -> list[Step]:
        steps: list[Step] = []
        while node != ROOT_NODE:
            steps.append(self._nodes[node].step)
            node = self._nodes[node].parent
        return steps[::-1]

    def _copier(self, world: World) -> Callable[[], World]:
        pickled, scope = pickle.dumps(world, pickle.HIGHEST_PROTOCOL), self.scope

        def copy() -> World:
            restored: World = pickle.loads(pickled)
            restored.scope = scope
            restored._use_choices()
            return restored

        return copy

    def _search_breadth_first(self, report: Report, started_s: float, deadline_s: float) -> None:
        bound = self.depth if self.depth is not None else self.scope.depth
        self._seen.add(digest(self._new_world()))
        frontier = [ROOT_NODE]
        report.states = 1
        for depth in range(bound):
            next_frontier: list[int] = []
            for index, node in enumerate(frontier):
                if self.clock() > deadline_s:
                    report.left = len(frontier) - index + len(next_frontier)
                    return
                path = self._path(node)
                if not self._expand(report, node, path, next_frontier):
                    return
                if index % 200 == 0:
                    report.seconds = report.searched_s = self.clock() - started_s
                    self.progress(report)
            report.depth = depth + 1
            frontier = next_frontier
        report.left = len(frontier)
        report.exhausted = True

    def _expand(self, report: Report, node: int, path: list[Step], next_frontier: list[int]) -> bool:
        """Applies every enabled event to the state of `node`. Returns False at a breach."""
        world = self._new_world()
        for path_step in path:
            world.apply(path_step.event, path_step.draws)
        names = world.enabled()
        copy = self._copier(world)
        for name in names:
            script: tuple[int, ...] | None = ()
            while script is not None:
                world = copy()
                drawn, found_breaches = trace.step(world, name, script)
                report.transitions += 1
                taken = Step(name, tuple(drawn))
                if found_breaches:
                    report.found = self._counterexample(found_breaches[0], [*path, taken])
                    return False
                key = digest(world)
                if key not in self._seen:
                    self._seen.add(key)
                    self._nodes.append(_Node(node, taken))
                    next_frontier.append(len(self._nodes) - 1)
                    report.states += 1
                script = next_script(drawn)
        return True

    def _run_walks(self, report: Report, started_s: float, deadline_s: float) -> None:
        number = 0
        while self.clock() < deadline_s and number != self.walks:
            number += 1
            # Seeding each walk by its own number makes it reproducible independently of earlier walks.
            generator = Random(f"{self.seed}/{number}")
            if not self._run_walk(report, generator):
                return
            report.walks = number
            if number % 20 == 0:
                report.seconds = self.clock() - started_s
                self.progress(report)

    def _run_walk(self, report: Report, generator: Random) -> bool:
        world, steps = self._new_world(), []
        for _ in range(self.scope.walk_steps):
            names = world.enabled()
            if not names:
                break
            name = generator.choice(names)
            script = tuple(generator.randrange(2) for _ in range(8))
            drawn, found_breaches = trace.step(world, name, script)
            report.walked += 1
            steps.append(Step(name, tuple(drawn)))
            if found_breaches:
                report.found = self._counterexample(found_breaches[0], steps)
                return False
        return True

    def _counterexample(self, breach: str, steps: list[Step]) -> Counterexample:
        return Counterexample(trace.FORM, self.scope.name, self.fault, breach, tuple(steps))
