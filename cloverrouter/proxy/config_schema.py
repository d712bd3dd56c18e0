"""Validation of the configuration, and the errors it reports.

Only values with which the program would crash or break a rule are refused. Unknown keys, and unusual values
that work, are accepted: other deployments may need them.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import isfinite
from typing import Any

MISSING = object()


class ConfigError(ValueError):
    """An invalid value. The message names the key, the value found there, and what is allowed."""

    def __init__(self, key: str, found: object, allowed: str) -> None:
        found_text = "nothing" if found is MISSING else _abbreviated(found)
        super().__init__(f"{key}: found {found_text}, allowed is {allowed}")


def _abbreviated(found: object) -> str:
    text = repr(found)
    return text if len(text) <= 80 else f"{text[:77]}..."


@dataclass(frozen=True, slots=True)
class Number:
    """Accepts finite numbers within bounds."""

    minimum: float | None = None
    exclusive_minimum: float | None = None
    maximum: float | None = None
    integer: bool = False

    def accepts(self, value: Any) -> bool:
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            return False
        return not (
            (self.minimum is not None and value < self.minimum)
            or (self.exclusive_minimum is not None and value <= self.exclusive_minimum)
            or (self.maximum is not None and value > self.maximum)
            or (self.integer and value != int(value))
        )

    def __str__(self) -> str:
        bounds = [
            f"{description} {bound:g}"
            for description, bound in (
                ("at least", self.minimum),
                ("above", self.exclusive_minimum),
                ("at most", self.maximum),
            )
            if bound is not None
        ]
        return " ".join(["a whole number" if self.integer else "a number", *bounds])


@dataclass(frozen=True, slots=True)
class Text:
    """Accepts non-empty strings, or only the choices if there are any."""

    choices: tuple[str, ...] = ()

    def accepts(self, value: Any) -> bool:
        return isinstance(value, str) and bool(value) and (not self.choices or value in self.choices)

    def __str__(self) -> str:
        return f"one of {', '.join(self.choices)}" if self.choices else "a text"


@dataclass(frozen=True, slots=True)
class Flag:
    """Accepts booleans."""

    def accepts(self, value: Any) -> bool:
        return isinstance(value, bool)

    def __str__(self) -> str:
        return "true or false"


@dataclass(frozen=True, slots=True)
class JsonType:
    """Accepts values of one JSON type, whose content may be checked further."""

    python_type: type
    description: str

    def accepts(self, value: Any) -> bool:
        return isinstance(value, self.python_type)

    def __str__(self) -> str:
        return self.description


Allowed = Number | Text | Flag | JsonType
OBJECT, LIST, TEXT = JsonType(dict, "an object"), JsonType(list, "a list"), JsonType(str, "a text")
POSITIVE, NOT_NEGATIVE, ANY = Number(exclusive_minimum=0), Number(minimum=0), Number()

# By key: what is allowed, and whether the key is required.
REQUEST_CLASS: dict[str, tuple[Allowed, bool]] = {
    "name": (Text(), True),
    "aim_ms": (POSITIVE, True),
    "deadline_ms": (POSITIVE, True),
    "worth": (ANY, False),
    "late_worth": (ANY, False),
    "aim_stretch": (NOT_NEGATIVE, False),
    "effect": (Text(("retryable", "dedup", "fragile")), True),
    "group": (Text(("all", "zone", "cell")), False),
    "window_ms": (NOT_NEGATIVE, False),
    "stream": (Flag(), False),
}
BOUNDS: dict[str, tuple[Allowed, bool]] = {
    "max_attempts": (Number(minimum=1, integer=True), True),
    "parallel_tries": (Flag(), False),
    "cancel": (Flag(), False),
    "probes": (Flag(), False),
    "peers": (Flag(), False),
    "retry_after": (Flag(), False),
    "max_retry_after_ms": (NOT_NEGATIVE, False),
    "connect_timeout_ms": (POSITIVE, False),
    "conn_idle_ms": (NOT_NEGATIVE, False),
    "max_open": (NOT_NEGATIVE, False),
}
SAFETY: dict[str, tuple[Allowed, bool]] = {
    "cold_share": (Number(exclusive_minimum=0, maximum=1), True),
    "cold_ms": (NOT_NEGATIVE, True),
    "fall_multiple": (POSITIVE, True),
    "fall_ms": (POSITIVE, True),
    "must_ask_in_ms": (NOT_NEGATIVE, True),
    "drain_grace_ms": (NOT_NEGATIVE, False),
}
PRICES: dict[str, tuple[Allowed, bool]] = dict.fromkeys(
    ("cross_zone", "probe", "waste", "late_fail"), (ANY, False)
)
TENANT: dict[str, tuple[Allowed, bool]] = {"name": (Text(), True), "quota_per_s": (NOT_NEGATIVE, True)}
SETTINGS: dict[str, tuple[Allowed, bool]] = {
    "bounds": (OBJECT, True),
    "safety": (OBJECT, True),
    "categories": (LIST, True),
    "balancers": (Number(minimum=1, integer=True), True),
    "ordinal": (Number(minimum=0, integer=True), False),
    "zone": (TEXT, False),
    "discovery": (TEXT, False),
    "reporting": (OBJECT, False),
    "prices": (OBJECT, False),
    "projects": (LIST, False),
    "over_share_worth": (ANY, False),
}
LIMITS: dict[str, tuple[Allowed, bool]] = {
    "sockets": (Number(minimum=1), False),
    "memory_mb": (POSITIVE, False),
}
ROOT: dict[str, tuple[Allowed, bool]] = {
    "settings": (OBJECT, True),
    "limits": (OBJECT, False),
    "peers": (LIST, False),
    "known": (OBJECT, False),
}


def check(document: Any) -> None:
    """Raises ConfigError for the first invalid value."""
    if not isinstance(document, dict):
        raise ConfigError("the file", document, "an object")
    _check_object(document, "", ROOT)
    _check_object(document.get("limits") or {}, "limits.", LIMITS)
    settings = document["settings"]
    _check_object(settings, "settings.", SETTINGS)
    _check_object(settings["bounds"], "settings.bounds.", BOUNDS)
    _check_object(settings["safety"], "settings.safety.", SAFETY)
    _check_object(settings.get("prices") or {}, "settings.prices.", PRICES)
    _check_list(settings["categories"], "settings.categories", REQUEST_CLASS)
    _check_list(settings.get("projects") or [], "settings.projects", TENANT)
    fields = (settings.get("reporting") or {}).get("fields", [])
    if not isinstance(fields, list) or not all(isinstance(name, str) for name in fields):
        raise ConfigError("settings.reporting.fields", fields, "a list of texts")
    if not settings["categories"]:
        raise ConfigError("settings.categories", [], "at least one class")
    if settings.get("ordinal") is not None and settings["ordinal"] >= settings["balancers"]:
        allowed = f"a number below settings.balancers, which is {settings['balancers']:g}"
        raise ConfigError("settings.ordinal", settings["ordinal"], allowed)
    for index, name in _duplicate_names(settings["categories"]):
        raise ConfigError(f"settings.categories[{index}].name", name, "a name that no other class has")


def _check_object(table: dict[str, Any], path: str, keys: dict[str, tuple[Allowed, bool]]) -> None:
    for key, (allowed, required) in keys.items():
        value = table.get(key, MISSING)
        if value is MISSING or (value is None and not required):
            if required:
                raise ConfigError(f"{path}{key}", value, str(allowed))
        elif not allowed.accepts(value):
            raise ConfigError(f"{path}{key}", value, str(allowed))


def _check_list(items: list[Any], path: str, keys: dict[str, tuple[Allowed, bool]]) -> None:
    for index, item in enumerate(items):
        if not isinstance(item, dict):
            raise ConfigError(f"{path}[{index}]", item, "an object")
        _check_object(item, f"{path}[{index}].", keys)


def _duplicate_names(items: list[dict[str, Any]]) -> Iterator[tuple[int, str]]:
    seen: set[str] = set()
    for index, item in enumerate(items):
        if item["name"] in seen:
            yield index, item["name"]
        seen.add(item["name"])
