"""What a configuration must hold for the program to start, and what is said where it does not.

Only what would crash the program, or make it break a rule, is refused: a key that is not known, or a figure
that is odd but can be worked with, is another deployment's business.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import isfinite
from typing import Any

MISSING = object()


class ConfigError(ValueError):
    """Names the key, what was found there, and what is allowed."""

    def __init__(self, key: str, found: object, allowed: str) -> None:
        said = "nothing" if found is MISSING else _short(found)
        super().__init__(f"{key}: found {said}, allowed is {allowed}")


def _short(found: object) -> str:
    text = repr(found)
    return text if len(text) <= 80 else f"{text[:77]}..."


@dataclass(frozen=True, slots=True)
class Number:
    """A finite number, or none at all where it may be left out."""

    least: float | None = None
    above: float | None = None
    most: float | None = None
    whole: bool = False

    def takes(self, value: Any) -> bool:
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            return False
        return not (
            (self.least is not None and value < self.least)
            or (self.above is not None and value <= self.above)
            or (self.most is not None and value > self.most)
            or (self.whole and value != int(value))
        )

    def __str__(self) -> str:
        bounds = [
            f"{word} {bound:g}"
            for word, bound in (("at least", self.least), ("above", self.above), ("at most", self.most))
            if bound is not None
        ]
        return " ".join(["a whole number" if self.whole else "a number", *bounds])


@dataclass(frozen=True, slots=True)
class Text:
    words: tuple[str, ...] = ()

    def takes(self, value: Any) -> bool:
        return isinstance(value, str) and bool(value) and (not self.words or value in self.words)

    def __str__(self) -> str:
        return f"one of {', '.join(self.words)}" if self.words else "a text"


@dataclass(frozen=True, slots=True)
class Flag:
    def takes(self, value: Any) -> bool:
        return isinstance(value, bool)

    def __str__(self) -> str:
        return "true or false"


@dataclass(frozen=True, slots=True)
class Kind:
    """A value of a JSON kind, which is looked into further where that is needed."""

    kind: type
    word: str

    def takes(self, value: Any) -> bool:
        return isinstance(value, self.kind)

    def __str__(self) -> str:
        return self.word


Allowed = Number | Text | Flag | Kind
OBJECT, LIST, WORD = Kind(dict, "an object"), Kind(list, "a list"), Kind(str, "a text")
POSITIVE, NOT_NEGATIVE, ANY = Number(above=0), Number(least=0), Number()

# By key: what is allowed, and whether it has to be there.
CLASS: dict[str, tuple[Allowed, bool]] = {
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
    "max_attempts": (Number(least=1, whole=True), True),
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
    "cold_share": (Number(above=0, most=1), True),
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
    "balancers": (Number(least=1, whole=True), True),
    "ordinal": (Number(least=0, whole=True), False),
    "zone": (WORD, False),
    "discovery": (WORD, False),
    "reporting": (OBJECT, False),
    "prices": (OBJECT, False),
    "projects": (LIST, False),
    "over_share_worth": (ANY, False),
}
LIMITS: dict[str, tuple[Allowed, bool]] = {
    "sockets": (Number(least=1), False),
    "memory_mb": (POSITIVE, False),
}
WHOLE: dict[str, tuple[Allowed, bool]] = {
    "settings": (OBJECT, True),
    "limits": (OBJECT, False),
    "peers": (LIST, False),
    "known": (OBJECT, False),
}


def check(told: Any) -> None:
    """Raises ConfigError for the first thing that is wrong."""
    if not isinstance(told, dict):
        raise ConfigError("the file", told, "an object")
    _table(told, "", WHOLE)
    _table(told.get("limits") or {}, "limits.", LIMITS)
    facts = told["settings"]
    _table(facts, "settings.", SETTINGS)
    _table(facts["bounds"], "settings.bounds.", BOUNDS)
    _table(facts["safety"], "settings.safety.", SAFETY)
    _table(facts.get("prices") or {}, "settings.prices.", PRICES)
    _all(facts["categories"], "settings.categories", CLASS)
    _all(facts.get("projects") or [], "settings.projects", TENANT)
    fields = (facts.get("reporting") or {}).get("fields", [])
    if not isinstance(fields, list) or not all(isinstance(name, str) for name in fields):
        raise ConfigError("settings.reporting.fields", fields, "a list of texts")
    if not facts["categories"]:
        raise ConfigError("settings.categories", [], "at least one class")
    if facts.get("ordinal") is not None and facts["ordinal"] >= facts["balancers"]:
        most = f"a number below settings.balancers, which is {facts['balancers']:g}"
        raise ConfigError("settings.ordinal", facts["ordinal"], most)
    for number, name in _twice(facts["categories"]):
        raise ConfigError(f"settings.categories[{number}].name", name, "a name that no other class has")


def _table(told: dict[str, Any], where: str, keys: dict[str, tuple[Allowed, bool]]) -> None:
    for key, (allowed, needed) in keys.items():
        value = told.get(key, MISSING)
        if value is MISSING or (value is None and not needed):
            if needed:
                raise ConfigError(f"{where}{key}", value, str(allowed))
        elif not allowed.takes(value):
            raise ConfigError(f"{where}{key}", value, str(allowed))


def _all(told: list[Any], where: str, keys: dict[str, tuple[Allowed, bool]]) -> None:
    for number, each in enumerate(told):
        if not isinstance(each, dict):
            raise ConfigError(f"{where}[{number}]", each, "an object")
        _table(each, f"{where}[{number}].", keys)


def _twice(told: list[dict[str, Any]]) -> Iterator[tuple[int, str]]:
    seen: set[str] = set()
    for number, each in enumerate(told):
        if each["name"] in seen:
            yield number, each["name"]
        seen.add(each["name"])
