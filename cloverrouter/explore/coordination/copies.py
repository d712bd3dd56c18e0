"""Deep copies and canonical forms of worlds that contain shipped cores.

A copy shares immutable values (messages, other frozen objects, bytes) and copies the rest. The canonical
forms of two worlds are equal only if the worlds behave the same; times in it are relative to now.
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
Memo = dict[int, Any]

TIME_DIGITS = 4
MAX_INLINE_BYTES = 16
ABSENT = object()

_SHARED: tuple[type, ...] = (
    int, float, str, bytes, bool, type(None), Enum, type, types.FunctionType, types.BuiltinFunctionType,
    range, frozenset,
)  # fmt: skip


class Immutable:
    """Base class of objects that are shared between copies."""

    __slots__ = ()


def deep_copy(value: T) -> T:
    """Returns an independent copy; references between its parts are preserved."""
    found: T = _deep_copy(value, {})
    return found


def _deep_copy(value: Any, memo: Memo) -> Any:
    kind = value.__class__
    if _is_shared(kind):
        return value
    copy = memo.get(id(value))
    return _copier(kind)(value, memo) if copy is None else copy


@cache
def _copier(kind: type) -> Callable[[Any, Memo], Any]:
    """Returns the function that copies values of a type."""
    if kind in _CONTAINERS:
        return _CONTAINERS[kind]
    names = _slots(kind)

    def copy_object(value: Any, memo: Memo) -> Any:
        copy: Any = object.__new__(kind)
        memo[id(value)] = copy
        for name in names:
            item = getattr(value, name, ABSENT)
            if item is not ABSENT:
                object.__setattr__(copy, name, _deep_copy(item, memo))
        fields = getattr(value, "__dict__", None)
        if fields is not None:
            copy.__dict__.update({name: _deep_copy(item, memo) for name, item in fields.items()})
        return copy

    return copy_object


def _copy_tuple(value: Any, memo: Memo) -> Any:
    return tuple([_deep_copy(each, memo) for each in value])


def _copy_list(value: Any, memo: Memo) -> Any:
    copy: list[Any] = []
    memo[id(value)] = copy
    copy += [_deep_copy(each, memo) for each in value]
    return copy


def _copy_deque(value: Any, memo: Memo) -> Any:
    copy: deque[Any] = deque([_deep_copy(each, memo) for each in value], value.maxlen)
    memo[id(value)] = copy
    return copy


def _copy_set(value: Any, memo: Memo) -> Any:
    copy: set[Any] = set(value)
    memo[id(value)] = copy
    return copy


def _copy_dict(value: Any, memo: Memo) -> Any:
    copy = memo[id(value)] = value.__class__()
    if isinstance(value, defaultdict):
        copy.default_factory = value.default_factory
    for key, item in value.items():
        copy[key] = _deep_copy(item, memo)
    return copy


def _copy_method(value: Any, memo: Memo) -> Any:
    return types.MethodType(value.__func__, _deep_copy(value.__self__, memo))


def _copy_count(value: Any, memo: Memo) -> Any:
    copy = memo[id(value)] = itertools.count(_count_at(value))
    return copy


_CONTAINERS: dict[type, Callable[[Any, Memo], Any]] = {
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
    """Returns the next value of an `itertools.count`; only its text shows it without advancing it."""
    return int(repr(count)[len("count(") : -1])


@attrs.frozen
class _Frozen:
    """A sample whose `__setattr__` identifies frozen attrs classes."""


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
class Canonicalizer:
    """Converts the cores of a model to canonical forms.

    `skipped_fields` have no influence on behaviour; `replacements` gives the form of values of some types.
    """

    skipped_fields: frozenset[str] = frozenset()
    non_time_fields: frozenset[str] = frozenset()
    """Fields whose floats are not points in time."""
    replacements: dict[type, Callable[[Any], Any]] = attrs.field(factory=dict)
    max_age_s: float = 60.0
    """Times further in the past count as equal, in seconds."""

    def canonical(self, value: Any, now: float) -> Any:
        """Returns a value as nested lists and plain values."""
        return self._canonical(value, now, False)

    def _canonical(self, value: Any, now: float, is_not_time: bool) -> Any:
        kind = value.__class__
        if kind is float:
            return value if is_not_time or math.isinf(value) else self._relative_time(value, now)
        if kind is bytes and len(value) > MAX_INLINE_BYTES:
            return xxhash.xxh3_64_intdigest(value)
        if kind in self.replacements:
            return self.replacements[kind](value)
        if kind is tuple or kind is list or kind is deque:
            return [self._canonical(each, now, is_not_time) for each in value]
        if kind is set or kind is frozenset:
            return sorted(value)
        if isinstance(value, dict):
            return [
                (self._canonical(key, now, is_not_time), self._canonical(item, now, is_not_time))
                for key, item in value.items()
            ]
        if _is_shared(kind):
            return value
        if kind is itertools.count:
            return _count_at(value)
        return self._fields(value, kind, now)

    def _relative_time(self, at: float, now: float) -> float:
        return round(max(at - now, -self.max_age_s), TIME_DIGITS)

    def _fields(self, value: Any, kind: type, now: float) -> list[Any]:
        skipped_fields, non_time_fields = self.skipped_fields, self.non_time_fields
        found: list[Any] = [kind.__name__]
        for name in _slots(kind):
            if name not in skipped_fields:
                found.append(self._canonical(getattr(value, name, None), now, name in non_time_fields))
        for name, item in getattr(value, "__dict__", {}).items():
            if name not in skipped_fields:
                found.append(self._canonical(item, now, name in non_time_fields))
        return found


def digest(parts: Any) -> int:
    """Returns a 128-bit hash of the `repr` of these parts."""
    return xxhash.xxh3_128_intdigest(repr(parts).encode())
