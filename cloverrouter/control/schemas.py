"""The cerberus schemas for items of the configuration and for registrations.

The ``meta`` of each field describes the expected value in words. Validators are reused and run without
normalization, which makes them eight times as fast. To avoid loading cerberus, this module is imported only
where something is validated.
"""

from __future__ import annotations

import re
from functools import cache, cached_property
from threading import get_ident
from typing import Any

import cerberus

from cloverrouter.control.configuration import ROUTE_KINDS, ROUTES, SERVICES, TENANTS, VERSION

Schema = dict[str, Any]
MAX_NUMBER = 2**53
"""The largest number that a field may have; integers up to it fit into messages between nodes."""


class Rules(cerberus.Validator):  # type: ignore[misc]
    """A cerberus validator with the additional rules `above` (exclusive minimum) and `whole` (integral)."""

    @cached_property
    def required_fields(self) -> frozenset[str]:
        """The names of the required fields."""
        return frozenset(field for field, rules in self.schema.items() if rules.get("required"))

    # cerberus parses the docstring of a rule as the schema of its argument. It also runs the other rules
    # after it has found a null that isn't allowed, so the rules must accept None.

    def _validate_above(self, bound: float, field: str, value: float | None) -> None:
        """{'type': 'number'}"""
        if value is not None and not value > bound:
            self._error(field, f"not above {bound}")

    def _validate_whole(self, wanted: bool, field: str, value: float | None) -> None:
        """{'type': 'boolean'}"""
        if wanted and value is not None and value != int(value):
            self._error(field, "not a whole number")


PLAIN_RULES = frozenset(
    ("type", "required", "nullable", "empty", "regex", "allowed", "min", "max", "above", "whole", "meta")
)
TYPES: dict[str, type | tuple[type, ...]] = {"string": str, "boolean": bool, "number": (int, float)}


def passes_plain_rules(rules: Schema | None, value: Any) -> bool:
    """Returns True if a field's value clearly conforms to its rules, which is checked without cerberus.

    Calling cerberus for each of many thousand items takes seconds. False means that the value is invalid or
    that this function can't tell; cerberus then decides and reports the errors.
    """
    if rules is None:
        return True  # a field that is not in the schema
    if not rules.keys() <= PLAIN_RULES:
        return False
    if value is None:
        return bool(rules.get("nullable"))
    kind = rules["type"]
    expected: Any = TYPES.get(kind, ())
    if not isinstance(value, expected) or (kind == "number" and isinstance(value, bool)):
        return False
    if kind == "string":
        return _is_valid_string(rules, value)
    return kind == "boolean" or _is_valid_number(rules, value)


def _is_valid_string(rules: Schema, value: str) -> bool:
    if not value and not rules.get("empty", True):
        return False
    pattern, allowed = rules.get("regex"), rules.get("allowed")
    if pattern is not None and not re.match(pattern, value):
        return False
    return allowed is None or value in allowed


def _is_valid_number(rules: Schema, value: float) -> bool:
    if not rules.get("min", value) <= value <= rules.get("max", value):
        return False
    if "above" in rules and not value > rules["above"]:
        return False
    return not rules.get("whole") or value == int(value)


def _field(expected: str, **rules: Any) -> Schema:
    return {**rules, "meta": expected}


def _optional(expected: str, **rules: Any) -> Schema:
    return _field(expected, nullable=True, **rules)


NAME = _field("a name", type="string", required=True, empty=False)
FLAG = _optional("true or false", type="boolean")
ABOVE_ZERO = _optional("a number above 0", type="number", above=0, max=MAX_NUMBER)
ZERO_OR_MORE = _optional("a number, 0 or more", type="number", min=0, max=MAX_NUMBER)
COUNT = _optional("a whole number, 0 or more", type="number", min=0, max=MAX_NUMBER, whole=True)
STRING = _optional("a string", type="string")
MODELS = _optional(
    "a list of models",
    type="list",
    schema=_field("a model", type="dict", schema={"name": NAME}),
)

TARGET: Schema = {
    "backend": _field("the name of a service", type="string", required=True, empty=False),
    "weight": _field("a number, 0 or more", type="number", required=True, min=0, max=MAX_NUMBER),
}
ROUTE: Schema = {
    "name": NAME,
    "hostname": _field("a host", type="string", required=True, empty=False),
    "path-prefix": _field(
        "a path that begins and ends with /", type="string", required=True, regex=r"/(.*/)?\Z"
    ),
    "route-type": _optional(f"one of {', '.join(ROUTE_KINDS)}", type="string", allowed=ROUTE_KINDS),
    "timeout-ms": _field("a number above 0", type="number", above=0, max=MAX_NUMBER),
    "target-latency-ms": ZERO_OR_MORE,
    "priority": COUNT,
    "backend": _optional("the name of a service", type="string", empty=False),
    "traffic-split": _optional(
        "a list of services with weights",
        type="list",
        schema=_field("a service with a weight", type="dict", schema=TARGET),
    ),
    "attempt-limit": _optional("a whole number, 1 or more", type="number", min=1, max=MAX_NUMBER, whole=True),
    "anonymous-access": FLAG,
    "session-affinity": FLAG,
    "stream-resumption": FLAG,
    "gap_aim_ms": ZERO_OR_MORE,
}
ENGINE: Schema = {
    "capacity": COUNT,
    "kv-cache-tokens": COUNT,
    "stride": COUNT,
    "kv-bytes": ZERO_OR_MORE,
    "bandwidth-mbps": ZERO_OR_MORE,
    "model-list": MODELS,
}
SERVICE: Schema = {
    "name": NAME,
    "health-check": _optional("a path that begins with /", type="string", regex=r"/.*\Z"),
    "connection-limit": COUNT,
    "inference-engine": _optional("an object", type="dict", schema=ENGINE),
}
LIMITS: Schema = {
    "header-limit-bytes": ABOVE_ZERO,
    "body-limit-bytes": ABOVE_ZERO,
    "header-timeout-ms": ABOVE_ZERO,
    "idle-timeout-ms": ABOVE_ZERO,
}
TENANT: Schema = {
    "name": _field(
        "a name without control characters", type="string", required=True, regex=r"[^\x00-\x1f\x7f]+\Z"
    ),
    "api-keys": _optional(
        "a list of keys",
        type="list",
        schema=_field("a key", type="string", empty=False),
    ),
    "priority": COUNT,
    "unit": STRING,
    "uncached-tokens": ZERO_OR_MORE,
    "rate-per-s": ZERO_OR_MORE,
    "burst-size": ZERO_OR_MORE,
}
_VERSION = _field(
    "a whole number, 1 or more", type="number", required=True, min=1, max=MAX_NUMBER, whole=True
)
_ITEMS = _field("a list of objects", type="list", required=True)
DOCUMENT: Schema = {
    VERSION: _VERSION,
    ROUTES: _ITEMS,
    SERVICES: _ITEMS,
    TENANTS: _optional("a list of objects", type="list"),
    "limits": _optional("an object", type="dict", schema=LIMITS),
}
PATCH: Schema = {
    VERSION: _VERSION,
    "upsert": _optional(
        "an object of lists of objects",
        type="dict",
        valuesrules=_field("a list of objects", type=["list", "dict"]),
    ),
    "delete": _optional(
        "an object of lists of names",
        type="dict",
        valuesrules=_field("a list of names", type="list", schema=_field("a name", type="string")),
    ),
}
SERVED_MODEL: Schema = {
    "name": NAME,
    "version": COUNT,
    "lora-adapters": _optional("a list of names", type="list", schema=NAME),
}
REGISTRATION: Schema = {
    "backend": _field("the name of a service", type="string", required=True, empty=False),
    "address": _field("an address, HOST:PORT", type="string", required=True, regex=r".+:\d{1,5}"),
    "availability-zone": _optional("the name of a zone", type="string"),
    "version": STRING,
    "capacity": COUNT,
    "lifecycle-state": _field("ready or draining", type="string", allowed=("ready", "draining")),
    "warmup-remaining-ms": ZERO_OR_MORE,
    "sequence-number": _field(
        "a whole number, 0 or more", type="number", required=True, min=0, max=MAX_NUMBER, whole=True
    ),
    "phase": STRING,
    "model-list": _optional(
        "a list of models",
        type="list",
        schema=_field("a model", type="dict", schema=SERVED_MODEL),
    ),
}

ITEM: Schema = {"name": NAME}
"""The schema of an item of any other list."""

SCHEMAS = {
    "document": DOCUMENT,
    "patch": PATCH,
    ROUTES: ROUTE,
    SERVICES: SERVICE,
    TENANTS: TENANT,
    "limits": LIMITS,
    "registration": REGISTRATION,
}


def validator(schema: str) -> Rules:
    """Returns the validator for one of `SCHEMAS`, or for `ITEM` if the name is not among them.

    A validator keeps state while it validates, so each thread has its own. Fields that are not in the schema
    are allowed.
    """
    return _validator_of(schema, get_ident())


@cache
def _validator_of(schema: str, thread: int) -> Rules:
    return Rules(SCHEMAS.get(schema, ITEM), allow_unknown=True)
