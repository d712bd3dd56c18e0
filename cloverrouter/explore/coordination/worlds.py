"""Worlds of real cores as models for the search: each offers its moves by name, and is copied before one."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import AbstractContextManager, nullcontext
from typing import Any, Generic, TypeVar

import attrs

from cloverrouter.explore.coordination.copies import copied
from cloverrouter.explore.coordination.search import Action


class World(ABC):
    """Cores with what is under way between them. `wrong`: what was broken so far."""

    def __init__(self) -> None:
        self.wrong: list[str] = []
        self.told: list[str] = []
        """What the last move led to, for readers of a history."""

    @abstractmethod
    def moves(self) -> Iterable[Action]:
        """What may happen now; see `move`."""

    @abstractmethod
    def key(self) -> int:
        """A digest of all that can make a difference to what comes after."""

    @property
    def time(self) -> int:
        """How many steps of time have passed, in worlds where that bounds the search."""
        return 0

    def look_ahead(self) -> None:
        """What has to be true of what comes after."""
        return

    def must(self, holds: bool, name: str, text: str) -> None:
        """A property that is broken unless it holds."""
        if not holds:
            self.wrong.append(f"{name}: {text}")

    def tell(self, text: str) -> None:
        """Something that a reader of a history wants to know."""
        self.told.append(text)


@attrs.frozen(slots=True)
class Made:
    """A method of a world, and what it is called with."""

    name: str
    args: tuple[Any, ...]


def move(label: str, do: Callable[..., None], *args: Any, cost: int = 0) -> Action:
    """A move that a method of the world makes."""
    return Action(label, cost, Made(do.__name__, args))


SomeWorld = TypeVar("SomeWorld", bound=World)


class WorldModel(Generic[SomeWorld]):
    """The model of one or more first worlds."""

    def __init__(
        self,
        first: Mapping[str, Callable[[], SomeWorld]],
        figures: Callable[[SomeWorld], AbstractContextManager[None]] = lambda world: nullcontext(),
    ) -> None:
        """`figures` is entered while a world's cores run: such as are small enough for a small world."""
        self._first = first
        self._figures = figures

    def initial(self) -> Iterable[tuple[str, SomeWorld]]:
        """Each world that a history may begin with."""
        return [(name, make()) for name, make in self._first.items()]

    def actions(self, state: SomeWorld) -> Sequence[Action]:
        """The world's moves; none after a breach."""
        return [] if state.wrong else list(state.moves())

    def apply(self, state: SomeWorld, action: Action) -> SomeWorld:
        """A copy on which the move was made."""
        after = copied(state)
        after.told = []
        assert isinstance(action.event, Made)
        with self._figures(after):
            getattr(after, action.event.name)(*action.event.args)
            after.look_ahead()
        return after

    def key(self, state: SomeWorld) -> int:
        """See `World.key`."""
        return state.key()

    def age(self, state: SomeWorld) -> int:
        """See `World.time`."""
        return state.time

    def breaches(self, state: SomeWorld) -> Sequence[str]:
        """What was broken so far."""
        return state.wrong


def told(world: World) -> Iterable[str]:
    """What the last move led to."""
    return world.told
