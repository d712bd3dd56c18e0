"""Base classes that make worlds of shipped cores explorable: a world is copied before each move."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import AbstractContextManager, nullcontext
from typing import Any, Generic, TypeVar

import attrs

from cloverrouter.explore.coordination.copies import deep_copy
from cloverrouter.explore.coordination.search import Action


class World(ABC):
    """Cores and the messages between them. `violations` lists the invariants that were broken so far."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.notes: list[str] = []
        """Results of the last move, for the timeline of a history."""

    @abstractmethod
    def moves(self) -> Iterable[Action]:
        """Returns the possible moves; see `move`."""

    @abstractmethod
    def key(self) -> int:
        """Returns a digest of everything that can influence the further behaviour."""

    @property
    def time(self) -> int:
        """The number of time steps that have passed, in worlds where it bounds the search."""
        return 0

    def look_ahead(self) -> None:
        """Checks properties of the world's future, such as eventual convergence."""
        return

    def require(self, holds: bool, name: str, text: str) -> None:
        """Records a violation of the invariant `name` unless `holds` is true."""
        if not holds:
            self.violations.append(f"{name}: {text}")

    def add_note(self, text: str) -> None:
        """Adds a line to the timeline of a history."""
        self.notes.append(text)


@attrs.frozen(slots=True)
class MethodCall:
    """A method of a world with its arguments."""

    name: str
    args: tuple[Any, ...]


def move(label: str, do: Callable[..., None], *args: Any, cost: int = 0) -> Action:
    """Returns an action that calls the method `do` of a world; methods are looked up by name on the copy."""
    return Action(label, cost, MethodCall(do.__name__, args))


SomeWorld = TypeVar("SomeWorld", bound=World)


class WorldModel(Generic[SomeWorld]):
    """A model that starts from one or more initial worlds."""

    def __init__(
        self,
        initial_worlds: Mapping[str, Callable[[], SomeWorld]],
        patched_limits: Callable[[SomeWorld], AbstractContextManager[None]] = lambda world: nullcontext(),
    ) -> None:
        """`patched_limits` is entered while cores run and replaces their limits by smaller ones."""
        self._initial_worlds = initial_worlds
        self._patched_limits = patched_limits

    def initial(self) -> Iterable[tuple[str, SomeWorld]]:
        """Returns the initial worlds with their names."""
        return [(name, make()) for name, make in self._initial_worlds.items()]

    def actions(self, state: SomeWorld) -> Sequence[Action]:
        """Returns the world's moves; none after a violation."""
        return [] if state.violations else list(state.moves())

    def apply(self, state: SomeWorld, action: Action) -> SomeWorld:
        """Returns a copy of the world on which the move was made."""
        after = deep_copy(state)
        after.notes = []
        assert isinstance(action.event, MethodCall)
        with self._patched_limits(after):
            getattr(after, action.event.name)(*action.event.args)
            after.look_ahead()
        return after

    def key(self, state: SomeWorld) -> int:
        """Returns `World.key`."""
        return state.key()

    def age(self, state: SomeWorld) -> int:
        """Returns `World.time`."""
        return state.time

    def breaches(self, state: SomeWorld) -> Sequence[str]:
        """Returns the violations so far."""
        return state.violations


def notes_of(world: World) -> Iterable[str]:
    """Returns the notes on the last move."""
    return world.notes
