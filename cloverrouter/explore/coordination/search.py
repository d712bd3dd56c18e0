"""The search over a model: every ordering up to a bound of deviations, one more at a time.

A model says what may happen in a state, and what of that costs a deviation from the prompt schedule: a
message held back, a crash, a cut. What costs nothing is the prompt schedule itself (it may branch as well).
All states that need no deviation are opened first, then all that need one, and so on, so that of the states
up to a bound none is left out, however long their histories are. `Limits.age` bounds the histories: in a
model with a clock, by its time.

Two histories that lead to the same key are one; the one with fewer deviations goes on, and the other too if
it is younger, as more can follow within the bound.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

State = TypeVar("State")
CLOCK_EVERY = 64  # how many states are opened between two looks at the clock
ROOT = -1


@dataclass(frozen=True, slots=True)
class Action:
    """What may happen in a state. Within one state a label stands for one action; a saved history is made
    of labels."""

    label: str
    cost: int = 0  # deviations
    event: object = None  # for the model's own use


class Model(Protocol[State]):
    """A world of pure cores. A state is never changed once it was given out."""

    def initial(self) -> Iterable[tuple[str, State]]:
        """Where the search begins, each with its name."""

    def actions(self, state: State) -> Sequence[Action]:
        """What may happen."""

    def apply(self, state: State, action: Action) -> State:
        """The state after it. What it raises is a breach, too."""

    def key(self, state: State) -> Hashable:
        """Equal for states after which the same can follow."""

    def age(self, state: State) -> int:
        """What `Limits.age` bounds; never falls along a history. 0 everywhere in a model that is finite."""

    def breaches(self, state: State) -> Sequence[str]:
        """What is wrong in this state, each with the name of its invariant and a colon first."""


@dataclass(frozen=True, slots=True)
class Limits:
    """How far is searched. A state of the greatest age is looked at and not opened."""

    deviations: int = 1
    age: int = 1_000_000
    states: int = 5_000_000
    seconds: float = 60.0
    depth_first: bool = False  # among equal deviations; else the shortest history first


@dataclass(frozen=True, slots=True)
class Trace:
    """A history and what is wrong at its end."""

    start: str  # name of the state in which it begins
    steps: tuple[str, ...]  # labels
    breach: str


@dataclass(slots=True)
class Result:
    """What has been explored, and what was found."""

    states: int = 0  # that differ
    transitions: int = 0
    depth: int = 0  # steps of the longest history
    deviations: int = -1  # up to which every history was followed; -1: not even the prompt ones
    left: int = 0  # states that were reached within the bounds and not opened
    ended_by: str = "bound"  # bound, time, states or breach
    seconds: float = 0.0
    trace: Trace | None = None


Progress = Callable[[Result], None]


@dataclass(slots=True)
class _Open(Generic[State]):
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
    ages: dict[Hashable, int] = field(default_factory=dict)  # of each key, the least
    parents: list[tuple[int, str]] = field(default_factory=list)
    levels: list[deque[_Open[State]]] = field(default_factory=list)

    def run(self) -> Result:
        begun = self.clock()
        result = self.result
        self.levels = [deque() for _ in range(self.limits.deviations + 1)]
        for name, state in self.model.initial():
            if not self._reach(ROOT, name, 0, 0, state, self.model.breaches(state)):
                break
        for deviations, level in enumerate(self.levels):
            if result.trace is not None or not self._open_level(deviations, level, begun):
                break
            result.deviations = deviations
        result.left = sum(len(level) for level in self.levels)
        result.seconds = self.clock() - begun
        return result

    def _open_level(self, deviations: int, level: deque[_Open[State]], begun: float) -> bool:
        opened = 0
        while level:
            if opened % CLOCK_EVERY == 0 and not self._may_go_on(begun):
                return False
            opened += 1
            entry = level.pop() if self.limits.depth_first else level.popleft()
            if not self._open(deviations, entry):
                return False
        return True

    def _may_go_on(self, begun: float) -> bool:
        result = self.result
        result.seconds = self.clock() - begun
        self.progress(result)
        if result.seconds >= self.limits.seconds:
            result.ended_by = "time"
        elif result.states >= self.limits.states:
            result.ended_by = "states"
        else:
            return True
        return False

    def _open(self, deviations: int, entry: _Open[State]) -> bool:
        for action in self.model.actions(entry.state):
            cost = deviations + action.cost
            if cost > self.limits.deviations:
                continue
            self.result.transitions += 1
            try:
                state = self.model.apply(entry.state, action)
                wrong = self.model.breaches(state)
            except Exception as error:  # whatever it is, no order of events may raise it
                state, wrong = entry.state, [f"crash: {type(error).__name__}: {error}"]
            if not self._reach(entry.node, action.label, entry.steps + 1, cost, state, wrong):
                return False
        return True

    def _reach(
        self, parent: int, label: str, steps: int, cost: int, state: State, wrong: Sequence[str]
    ) -> bool:
        """A state was reached; False at a breach."""
        result = self.result
        if wrong:
            result.ended_by = "breach"
            result.trace = self._trace(parent, label, wrong[0])
            return False
        key, age = self.model.key(state), self.model.age(state)
        known = self.ages.get(key)
        if known is not None and known <= age:
            return True
        if known is None:
            result.states += 1
        self.ages[key] = age
        result.depth = max(result.depth, steps)
        if age < self.limits.age:
            self.parents.append((parent, label))
            self.levels[cost].append(_Open(len(self.parents) - 1, steps, state))
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
    """Search until a bound, the time or a breach ends it."""
    return _Search(model, limits, progress, clock).run()


@dataclass(frozen=True, slots=True)
class Played:
    """A history as it was played: what is wrong at its end, and what it tells."""

    breaches: list[str]
    steps: int
    timeline: list[str]


def play(
    model: Model[State],
    start: str,
    steps: Sequence[str],
    tell: Callable[[State], Iterable[str]] = lambda state: (),
) -> Played | None:
    """Play a history up to its first breach. None if one of its steps can't happen. `tell` gives the lines
    that stand under a step, from the state after it."""
    states = dict(model.initial())
    if start not in states:
        return None
    state, timeline = states[start], [f"     from: {start}"]
    if wrong := list(model.breaches(state)):
        return Played(wrong, 0, [*timeline, *(f"      BROKEN  {text}" for text in wrong)])
    for number, label in enumerate(steps, 1):
        action = next((action for action in model.actions(state) if action.label == label), None)
        if action is None:
            return None
        timeline.append(f"{number:4}  {label}")
        try:
            state = model.apply(state, action)
            wrong = list(model.breaches(state))
            timeline += [f"           {line}" for line in tell(state)]
        except Exception as error:  # as in the search
            wrong = [f"crash: {type(error).__name__}: {error}"]
        if wrong:
            return Played(wrong, number, [*timeline, *(f"      BROKEN  {text}" for text in wrong)])
    return Played([], len(steps), timeline)
