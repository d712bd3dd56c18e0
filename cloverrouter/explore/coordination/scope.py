"""What the command line needs to know of a model: how to make it, how far to search, and its faults."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from typing import Any

from cloverrouter.explore.coordination.search import Limits, Model


@dataclass(frozen=True, slots=True)
class ModelFault:
    """A mistake that is put into the cores on purpose, while `seeded` is entered."""

    text: str
    shows: tuple[str, ...]  # names of the invariants that it may break
    scope: str  # in which it is to be found
    seeded: Callable[[], AbstractContextManager[Any]]


@dataclass(frozen=True, slots=True)
class ModelScope:
    """One model as it is explored by default. The faults may be those of several scopes of one kind."""

    text: str
    model: Callable[[], Model[Any]]
    limits: Limits
    faults: Mapping[str, ModelFault] = field(default_factory=dict)
    tell: Callable[[Any], Iterable[str]] = lambda state: ()  # lines that stand under a step of a history
    invariants: Mapping[str, str] = field(default_factory=dict)  # their texts
