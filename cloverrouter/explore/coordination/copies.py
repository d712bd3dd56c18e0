"""Copies and canonical forms of worlds that are made of real cores.

A copy shares what is never changed (messages, other frozen values, bytes) and copies the rest. A canonical
form is a text in which two worlds are alike if they can't behave differently: times count from now.
"""

from __future__ import annotations

import itertools
import math
import types
from collections import OrderedDict, defaultdict, deque
from collections.abc import Callable
from enum import Enum
from functools import cache
from typing import Any, TypeVar

import attrs
import xxhash

T = TypeVar("T")
Known = dict[int, Any]

CLOCK_DIGITS = 4
LONG_BYTES = 16
ABSENT = object()

_SHARED: tuple[type, ...] = (
    int, float, str, bytes, bool, type(None), Enum, type, types.FunctionType, types.BuiltinFunctionType,
    range, frozenset,
)  # fmt: skip


class Immutable:
    """What derives from this is shared between copies."""

    __slots__ = ()


def copied(value: T) -> T:
    """A copy that changes on its own. Parts that refer to each other do so in the copy, too."""
    found: T = _copied(value, {})
    return found


def _copied(value: Any, known: Known) -> Any:
    kind = value.__class__
    if _is_shared(kind):
        return value
    made = known.get(id(value))
    return _copier(kind)(value, known) if made is None else made


@cache
def _copier(kind: type) -> Callable[[Any, Known], Any]:
    """How values of a type are copied."""
    if kind in _CONTAINERS:
        return _CONTAINERS[kind]
    names = _slots(kind)

    def copy_object(value: Any, known: Known) -> Any:
        made: Any = object.__new__(kind)
        known[id(value)] = made
        for name in names:
            held = getattr(value, name, ABSENT)
            if held is not ABSENT:
                object.__setattr__(made, name, _copied(held, known))
        fields = getattr(value, "__dict__", None)
        if fields is not None:
            made.__dict__.update({name: _copied(held, known) for name, held in fields.items()})
        return made

    return copy_object


def _copy_tuple(value: Any, known: Known) -> Any:
    return tuple([_copied(each, known) for each in value])


def _copy_list(value: Any, known: Known) -> Any:
    made: list[Any] = []
    known[id(value)] = made
    made += [_copied(each, known) for each in value]
    return made


def _copy_deque(value: Any, known: Known) -> Any:
    made: deque[Any] = deque([_copied(each, known) for each in value], value.maxlen)
    known[id(value)] = made
    return made


def _copy_set(value: Any, known: Known) -> Any:
    made: set[Any] = set(value)
    known[id(value)] = made
    return made


def _copy_dict(value: Any, known: Known) -> Any:
    made = known[id(value)] = value.__class__()
    if isinstance(value, defaultdict):
        made.default_factory = value.default_factory
    for key, held in value.items():
        made[key] = _copied(held, known)
    return made


def _copy_method(value: Any, known: Known) -> Any:
    return types.MethodType(value.__func__, _copied(value.__self__, known))


def _copy_count(value: Any, known: Known) -> Any:
    made = known[id(value)] = itertools.count(_count_at(value))
    return made


_CONTAINERS: dict[type, Callable[[Any, Known], Any]] = {
    tuple: _copy_tuple,
    list: _copy_list,
    deque: _copy_deque,
    set: _copy_set,
    dict: _copy_dict,
    defaultdict: _copy_dict,
    OrderedDict: _copy_dict,
    types.MethodType: _copy_method,
    itertools.count: _copy_count,
}


def _count_at(count: Any) -> int:
    """Where an `itertools.count` stands, which only its text tells without moving it."""
    return int(repr(count)[len("count(") : -1])


@attrs.frozen
class _Frozen:
    """Shows how frozen classes are known."""


@cache
def _is_shared(kind: type) -> bool:
    if issubclass(kind, (*_SHARED, Immutable)):
        return True
    return attrs.has(kind) and kind.__setattr__ is _Frozen.__setattr__


@cache
def _slots(kind: type) -> tuple[str, ...]:
    names: list[str] = []
    for each in kind.__mro__:
        slots = each.__dict__.get("__slots__", ())
        names += [slots] if isinstance(slots, str) else slots
    return tuple(name for name in dict.fromkeys(names) if name not in ("__weakref__", "__dict__"))


@attrs.frozen(eq=False)
class Form:
    """How the cores of a model are told: which fields make no difference, which figures are no times, and
    what stands for values of some types."""

    skipped: frozenset[str] = frozenset()
    plain: frozenset[str] = frozenset()
    """Fields whose floats are no moments of the clock."""
    stands_for: dict[type, Callable[[Any], Any]] = attrs.field(factory=dict)
    oldest_s: float = 60.0
    """What lies further back makes no difference."""

    def told(self, value: Any, now: float) -> Any:
        """The value as nested tuples."""
        return self._told(value, now, False)

    def _told(self, value: Any, now: float, is_plain: bool) -> Any:
        kind = value.__class__
        if kind is float:
            return value if is_plain or math.isinf(value) else self._from_now(value, now)
        if kind is bytes and len(value) > LONG_BYTES:
            return xxhash.xxh3_64_intdigest(value)
        if kind in self.stands_for:
            return self.stands_for[kind](value)
        if kind is tuple or kind is list or kind is deque:
            return [self._told(each, now, is_plain) for each in value]
        if kind is set or kind is frozenset:
            return sorted(value)
        if isinstance(value, dict):
            return [
                (self._told(key, now, is_plain), self._told(held, now, is_plain))
                for key, held in value.items()
            ]
        if _is_shared(kind):
            return value
        if kind is itertools.count:
            return _count_at(value)
        return self._fields(value, kind, now)

    def _from_now(self, at: float, now: float) -> float:
        return round(max(at - now, -self.oldest_s), CLOCK_DIGITS)

    def _fields(self, value: Any, kind: type, now: float) -> list[Any]:
        skipped, plain = self.skipped, self.plain
        found: list[Any] = [kind.__name__]
        for name in _slots(kind):
            if name not in skipped:
                found.append(self._told(getattr(value, name, None), now, name in plain))
        for name, held in getattr(value, "__dict__", {}).items():
            if name not in skipped:
                found.append(self._told(held, now, name in plain))
        return found


def digest(parts: Any) -> int:
    """128 bits that stand for these parts, by their text."""
    return xxhash.xxh3_128_intdigest(repr(parts).encode())
