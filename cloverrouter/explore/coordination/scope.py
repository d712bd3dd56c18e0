"""Descriptions of explorable models for the command line: factory, search limits, invariants and faults."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from typing import Any
from unittest.mock import patch

from cloverrouter.explore.coordination.search import Limits, Model


@dataclass(frozen=True, slots=True)
class ModelFault:
    """A fault that is deliberately injected into the cores while the context of `seeded` is entered."""

    text: str
    shows: tuple[str, ...]  # names of the invariants that the fault may break
    scope: str  # name of the scope whose search has to find the fault
    seeded: Callable[[], AbstractContextManager[Any]]


def seeded(target: Any, name: str, fault: Any) -> Callable[[], AbstractContextManager[Any]]:
    """Returns what replaces an attribute of a class or a module by a fault, while its context is entered."""
    return lambda: patch.object(target, name, fault)


@dataclass(frozen=True, slots=True)
class ModelScope:
    """A model with its default search limits. Several scopes of one kind may share the same faults."""

    text: str
    model: Callable[[], Model[Any]]
    limits: Limits
    faults: Mapping[str, ModelFault] = field(default_factory=dict)
    step_notes: Callable[[Any], Iterable[str]] = lambda state: ()  # notes printed below a step of a history
    invariants: Mapping[str, str] = field(default_factory=dict)  # descriptions by name
