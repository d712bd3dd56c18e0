"""Exhaustive search over a model, bounded by the number of deviations from the prompt schedule.

A model returns the possible actions in a state and their cost in deviations, for example a delayed message,
a crash or a partition. Actions without cost form the prompt schedule, which may branch as well. The search
expands all states that need no deviation first, then all that need one, and so on, so that no state up to a
bound is left out, however long its history is. `Limits.age` bounds the histories; in a model with a clock it
is the elapsed time.

Two states with the same key are merged: the one reached with fewer deviations is expanded. The other one is
expanded as well if its age is lower, since more steps then fit within the bound.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

State = TypeVar("State")
CLOCK_CHECK_INTERVAL = 64  # number of states that are expanded between two checks of the time limit
ROOT = -1


@dataclass(frozen=True, slots=True)
class Action:
    """A possible action in a state. Labels are unique within a state; a saved history consists of labels."""

    label: str
    cost: int = 0  # number of deviations
    event: object = None  # interpreted by the model only


class Model(Protocol[State]):
    """A model of cores without I/O. A state is never modified after it was returned."""

    def initial(self) -> Iterable[tuple[str, State]]:
        """Returns the initial states with their names."""

    def actions(self, state: State) -> Sequence[Action]:
        """Returns the possible actions in a state."""

    def apply(self, state: State, action: Action) -> State:
        """Returns the state after an action. An exception counts as a breach of the invariant `crash`."""

    def key(self, state: State) -> Hashable:
        """Returns a key that is equal for states with the same possible continuations."""

    def age(self, state: State) -> int:
        """Returns the value that `Limits.age` bounds. It never falls along a history; 0 in a finite model."""

    def breaches(self, state: State) -> Sequence[str]:
        """Returns the violations in a state, each as `invariant: text`."""


@dataclass(frozen=True, slots=True)
class Limits:
    """The bounds of a search. A state of the greatest age is checked but not expanded."""

    deviations: int = 1
    age: int = 1_000_000
    states: int = 5_000_000
    seconds: float = 60.0
    depth_first: bool = False  # order among states with equal deviations; otherwise breadth first


@dataclass(frozen=True, slots=True)
class Trace:
    """A history and the violation at its end."""

    start: str  # name of the initial state
    steps: tuple[str, ...]  # labels of the actions
    breach: str


@dataclass(slots=True)
class Result:
    """Statistics of a search, and the breach that was found."""

    states: int = 0  # number of distinct states
    transitions: int = 0
    depth: int = 0  # number of steps of the longest history
    deviations: int = -1  # number of deviations that is fully explored; -1: not even the prompt schedule is
    left: int = 0  # states within the bounds that were reached but not expanded
    ended_by: str = "bound"  # bound, time, states or breach
    seconds: float = 0.0
    trace: Trace | None = None


Progress = Callable[[Result], None]


@dataclass(slots=True)
class _OpenState(Generic[State]):
    node: int
    steps: int
    state: State


@dataclass
class _Search(Generic[State]):
    model: Model[State]
    limits: Limits
    progress: Progress
    clock: Callable[[], float]
    result: Result = field(default_factory=Result)
    ages: dict[Hashable, int] = field(default_factory=dict)  # lowest age by key
    parents: list[tuple[int, str]] = field(default_factory=list)
    levels: list[deque[_OpenState[State]]] = field(default_factory=list)

    def run(self) -> Result:
        started_at = self.clock()
        result = self.result
        self.levels = [deque() for _ in range(self.limits.deviations + 1)]
        for name, state in self.model.initial():
            if not self._register_state(ROOT, name, 0, 0, state, self.model.breaches(state)):
                break
        for deviations, level in enumerate(self.levels):
            if result.trace is not None or not self._expand_level(deviations, level, started_at):
                break
            result.deviations = deviations
        result.left = sum(len(level) for level in self.levels)
        result.seconds = self.clock() - started_at
        return result

    def _expand_level(self, deviations: int, level: deque[_OpenState[State]], started_at: float) -> bool:
        expanded = 0
        while level:
            if expanded % CLOCK_CHECK_INTERVAL == 0 and not self._may_continue(started_at):
                return False
            expanded += 1
            entry = level.pop() if self.limits.depth_first else level.popleft()
            if not self._expand(deviations, entry):
                return False
        return True

    def _may_continue(self, started_at: float) -> bool:
        result = self.result
        result.seconds = self.clock() - started_at
        self.progress(result)
        if result.seconds >= self.limits.seconds:
            result.ended_by = "time"
        elif result.states >= self.limits.states:
            result.ended_by = "states"
        else:
            return True
        return False

    def _expand(self, deviations: int, entry: _OpenState[State]) -> bool:
        for action in self.model.actions(entry.state):
            cost = deviations + action.cost
            if cost > self.limits.deviations:
                continue
            self.result.transitions += 1
            try:
                state = self.model.apply(entry.state, action)
                violations = self.model.breaches(state)
            except Exception as error:  # no ordering of events may raise an exception
                state, violations = entry.state, [f"crash: {type(error).__name__}: {error}"]
            if not self._register_state(entry.node, action.label, entry.steps + 1, cost, state, violations):
                return False
        return True

    def _register_state(
        self, parent: int, label: str, steps: int, cost: int, state: State, violations: Sequence[str]
    ) -> bool:
        """Registers a state that was reached. Returns False if it violates an invariant."""
        result = self.result
        if violations:
            result.ended_by = "breach"
            result.trace = self._trace(parent, label, violations[0])
            return False
        key, age = self.model.key(state), self.model.age(state)
        known_age = self.ages.get(key)
        if known_age is not None and known_age <= age:
            return True
        if known_age is None:
            result.states += 1
        self.ages[key] = age
        result.depth = max(result.depth, steps)
        if age < self.limits.age:
            self.parents.append((parent, label))
            self.levels[cost].append(_OpenState(len(self.parents) - 1, steps, state))
        return True

    def _trace(self, parent: int, label: str, breach: str) -> Trace:
        labels = [label]
        while parent != ROOT:
            parent, label = self.parents[parent]
            labels.append(label)
        start, *steps = reversed(labels)
        return Trace(start, tuple(steps), breach)


def search(
    model: Model[State],
    limits: Limits,
    progress: Progress = lambda result: None,
    clock: Callable[[], float] = time.monotonic,
) -> Result:
    """Searches until the bounds are exhausted, the time or state limit is reached, or a breach is found."""
    return _Search(model, limits, progress, clock).run()


@dataclass(frozen=True, slots=True)
class Played:
    """The result of replaying a history: the violations at its end, and its timeline."""

    breaches: list[str]
    steps: int
    timeline: list[str]


def play(
    model: Model[State],
    start: str,
    steps: Sequence[str],
    step_notes: Callable[[State], Iterable[str]] = lambda state: (),
) -> Played | None:
    """Replays a history up to its first breach.

    Returns None if one of its steps is not possible. `step_notes` returns the notes on a step, given the
    state after it; the timeline shows them below the step.
    """
    states = dict(model.initial())
    if start not in states:
        return None
    state, timeline = states[start], [f"     from: {start}"]
    if violations := list(model.breaches(state)):
        return Played(violations, 0, [*timeline, *(f"      BROKEN  {text}" for text in violations)])
    for number, label in enumerate(steps, 1):
        action = next((action for action in model.actions(state) if action.label == label), None)
        if action is None:
            return None
        timeline.append(f"{number:4}  {label}")
        try:
            state = model.apply(state, action)
            violations = list(model.breaches(state))
            timeline += [f"           {line}" for line in step_notes(state)]
        except Exception as error:  # as in the search
            violations = [f"crash: {type(error).__name__}: {error}"]
        if violations:
            return Played(violations, number, [*timeline, *(f"      BROKEN  {text}" for text in violations)])
    return Played([], len(steps), timeline)
