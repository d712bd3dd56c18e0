"""Checks of a settings table: values are checked, defaults filled in, and all findings collected.

Written out rather than left to a library: each start of a process pays for it, and cerberus takes 40 ms of
processor time and 4 MB to load and to check one file.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs

Check = Callable[[str, Any], Iterator[str]]
"""Called with the place of a value and the value; gives the findings."""

REQUIRED: Any = object()
_NUMBER = (int, float)
MAX_NUMBER = 2**53


@attrs.frozen(slots=True)
class Key:
    """One key of a table: its check, and what stands for it where the file doesn't name it."""

    check: Check
    default: Any = REQUIRED


def parse_address(text: str) -> tuple[str, int]:
    """IP and port of `IP:PORT`; raises ValueError."""
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"port {number}")
    return host.strip("[]"), number


def text(place: str, value: Any) -> Iterator[str]:
    """A string."""
    if not isinstance(value, str):
        yield _finding(place, value, "type 'string'")


def folder(place: str, value: Any) -> Iterator[str]:
    """A string that can name a folder, or an empty one."""
    if not isinstance(value, str):
        yield _finding(place, value, "type 'string'")
    elif "\0" in value:
        yield _finding(place, value, "a folder")


def filled(place: str, value: Any) -> Iterator[str]:
    """A string that isn't empty."""
    if not isinstance(value, str):
        yield _finding(place, value, "type 'string'")
    elif not value:
        yield _finding(place, value, "a text that isn't empty")


def flag(place: str, value: Any) -> Iterator[str]:
    """True or false."""
    if not isinstance(value, bool):
        yield _finding(place, value, "type 'boolean'")


def number(least: float = 0) -> Check:
    """A finite number, whole or not."""
    return _between(_NUMBER, "number", least, MAX_NUMBER)


def whole(least: int, most: int = MAX_NUMBER) -> Check:
    """A whole number."""
    return _between(int, "integer", least, most)


def _between(kind: Any, name: str, least: float, most: float) -> Check:
    def check(place: str, value: Any) -> Iterator[str]:
        if not isinstance(value, kind) or isinstance(value, bool):
            yield _finding(place, value, f"type {name!r}")
        elif not value >= least:  # not-a-number is neither
            yield _finding(place, value, f"min {least}")
        elif value > most:
            yield _finding(place, value, f"max {most}")

    return check


def ip_number(place: str, value: Any) -> Iterator[str]:
    """An IP number."""
    try:
        ipaddress.ip_address(value if isinstance(value, str) else "")  # it takes whole numbers, too
    except ValueError:
        yield _finding(place, value, "an IP number")


def address(place: str, value: Any) -> Iterator[str]:
    """`IP:PORT`."""
    try:
        parse_address(value)
    except (AttributeError, TypeError, ValueError):
        yield _finding(place, value, "IP:PORT")


def one_of(*allowed: str) -> Check:
    """One of some words."""

    def check(place: str, value: Any) -> Iterator[str]:
        if value not in allowed:
            yield _finding(place, value, f"one of {', '.join(allowed)}")

    return check


def each(item: Check, length: int | None = None) -> Check:
    """A list, of this length if one is told."""

    def check(place: str, value: Any) -> Iterator[str]:
        if not isinstance(value, list):
            yield _finding(place, value, "type 'list'")
            return
        if length is not None and len(value) != length:
            yield _finding(place, value, f"length {length}")
        for index, one in enumerate(value):
            yield from item(f"{place}.{index}", one)

    return check


def table(keys: Mapping[str, Key]) -> Check:
    """A table with these keys; others are ignored."""

    def check(place: str, value: Any) -> Iterator[str]:
        if isinstance(value, Mapping):
            yield from findings(keys, value, f"{place}.")
        else:
            yield _finding(place, value, "type 'dict'")

    return check


def findings(keys: Mapping[str, Key], document: Mapping[str, Any], prefix: str = "") -> Iterator[str]:
    """All that is wrong with the document."""
    for name, key in keys.items():
        if name in document:
            yield from key.check(prefix + name, document[name])
        elif key.default is REQUIRED:
            yield f"{prefix}{name}: missing"


def with_defaults(keys: Mapping[str, Key], document: Mapping[str, Any]) -> dict[str, Any]:
    """A document without findings, and the defaults of what it doesn't name."""
    return {name: document.get(name, key.default) for name, key in keys.items()}


def _finding(place: str, value: Any, wanted: str) -> str:
    return f"{place}: found {value!r}, wanted {wanted}"
