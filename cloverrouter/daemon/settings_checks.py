"""Checks of a settings table: checks values, fills in defaults and collects all findings.

These checks replace a library because they run at each start of a process, and cerberus takes 40 ms of CPU
time and 4 MB to load and to check one file.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs

Check = Callable[[str, Any], Iterator[str]]
"""Called with the key path of a value and the value; yields the findings."""

REQUIRED: Any = object()
_NUMBER = (int, float)
MAX_NUMBER = 2**53


@attrs.frozen(slots=True)
class Key:
    """One key of a table: its check, and its default if the file does not contain it."""

    check: Check
    default: Any = REQUIRED


def parse_address(string: str) -> tuple[str, int]:
    """Returns the IP and port of `IP:PORT`. Raises ValueError."""
    host, _, port = string.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"port {number}")
    return host.strip("[]"), number


def string(key_path: str, value: Any) -> Iterator[str]:
    """Checks that the value is a string."""
    if not isinstance(value, str):
        yield _finding(key_path, value, "type 'string'")


def directory(key_path: str, value: Any) -> Iterator[str]:
    """Checks that the value is a string that can name a directory, or is empty."""
    if not isinstance(value, str):
        yield _finding(key_path, value, "type 'string'")
    elif "\0" in value:
        yield _finding(key_path, value, "a folder")


def nonempty_string(key_path: str, value: Any) -> Iterator[str]:
    """Checks that the value is a non-empty string."""
    if not isinstance(value, str):
        yield _finding(key_path, value, "type 'string'")
    elif not value:
        yield _finding(key_path, value, "a text that isn't empty")


def boolean(key_path: str, value: Any) -> Iterator[str]:
    """Checks that the value is a boolean."""
    if not isinstance(value, bool):
        yield _finding(key_path, value, "type 'boolean'")


def number(minimum: float = 0) -> Check:
    """Returns a check for a finite number, integer or not."""
    return _between(_NUMBER, "number", minimum, MAX_NUMBER)


def integer(minimum: int, maximum: int = MAX_NUMBER) -> Check:
    """Returns a check for an integer."""
    return _between(int, "integer", minimum, maximum)


def _between(kind: Any, name: str, minimum: float, maximum: float) -> Check:
    def check(key_path: str, value: Any) -> Iterator[str]:
        if not isinstance(value, kind) or isinstance(value, bool):
            yield _finding(key_path, value, f"type {name!r}")
        elif not value >= minimum:  # written so that NaN fails
            yield _finding(key_path, value, f"min {minimum}")
        elif value > maximum:
            yield _finding(key_path, value, f"max {maximum}")

    return check


def ip_literal(key_path: str, value: Any) -> Iterator[str]:
    """Checks that the value is an IP address."""
    try:
        ipaddress.ip_address(value if isinstance(value, str) else "")  # would accept integers as well
    except ValueError:
        yield _finding(key_path, value, "an IP number")


def address(key_path: str, value: Any) -> Iterator[str]:
    """Checks that the value is `IP:PORT`."""
    try:
        parse_address(value)
    except (AttributeError, TypeError, ValueError):
        yield _finding(key_path, value, "IP:PORT")


def one_of(*allowed: str) -> Check:
    """Returns a check for one of the allowed strings."""

    def check(key_path: str, value: Any) -> Iterator[str]:
        if value not in allowed:
            yield _finding(key_path, value, f"one of {', '.join(allowed)}")

    return check


def list_of(item: Check, length: int | None = None) -> Check:
    """Returns a check for a list whose items pass `item`, of the given length if there is one."""

    def check(key_path: str, value: Any) -> Iterator[str]:
        if not isinstance(value, list):
            yield _finding(key_path, value, "type 'list'")
            return
        if length is not None and len(value) != length:
            yield _finding(key_path, value, f"length {length}")
        for index, item_value in enumerate(value):
            yield from item(f"{key_path}.{index}", item_value)

    return check


def table(keys: Mapping[str, Key]) -> Check:
    """Returns a check for a table with these keys; other keys are ignored."""

    def check(key_path: str, value: Any) -> Iterator[str]:
        if isinstance(value, Mapping):
            yield from findings(keys, value, f"{key_path}.")
        else:
            yield _finding(key_path, value, "type 'dict'")

    return check


def findings(keys: Mapping[str, Key], document: Mapping[str, Any], prefix: str = "") -> Iterator[str]:
    """Yields all findings for the document."""
    for name, key in keys.items():
        if name in document:
            yield from key.check(prefix + name, document[name])
        elif key.default is REQUIRED:
            yield f"{prefix}{name}: missing"


def with_defaults(keys: Mapping[str, Key], document: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the values of a valid document, with the defaults of absent keys."""
    return {name: document.get(name, key.default) for name, key in keys.items()}


def _finding(key_path: str, value: Any, wanted: str) -> str:
    return f"{key_path}: found {value!r}, wanted {wanted}"
