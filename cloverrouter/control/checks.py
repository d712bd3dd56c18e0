"""Checks of what callers send: JSON, items against their schemas, and items against one another.

Every check adds to a list of findings, each with its place, so that the caller learns of all of them at once.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeGuard

from cloverrouter.control.configuration import ROUTES, Route, Tenant
from cloverrouter.control.errors import Finding

MAX_SHOWN_CHARACTERS = 60
MAX_NUMBER_CHARACTERS = 18
MAX_DEPTH = 32

Findings = list[Finding]
KnownValues = set[tuple[str, type, Any]]
"""Fields with plain values that were found sound."""


class _NotJson(ValueError):
    """JSON that can't be taken whole: a number that no field can hold, or a field that stands twice."""


def _whole_number(text: str) -> int:
    if len(text) > MAX_NUMBER_CHARACTERS:
        raise _NotJson(f"a number of {len(text)} characters")
    return int(text)


def _fraction(text: str) -> float:
    number = float(text)
    if number in (float("inf"), float("-inf")):
        raise _NotJson(f"{shown(text)}, a number that is too large")
    return number


def _no_number(text: str) -> float:
    raise _NotJson(f"{text}, which is no JSON")


class _Fields:
    """Makes the objects of one document. Equal texts in them are one string: in long lists most are equal."""

    def __init__(self) -> None:
        self._texts: dict[str, str] = {}

    def made(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """The fields of one object, none of which may stand twice."""
        share = self._texts.setdefault
        return _fields([(name, share(each, each) if type(each) is str else each) for name, each in pairs])


def _fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in fields if names.count(name) > 1)
        raise _NotJson(f"{shown(twice)} twice in one object, of which one would be lost")
    return fields


def _decoder() -> json.JSONDecoder:
    """Of its own for each document, as threads may read at the same time."""
    return json.JSONDecoder(
        parse_int=_whole_number,
        parse_float=_fraction,
        parse_constant=_no_number,
        object_pairs_hook=_Fields().made,
    )


def read_object(body: bytes, findings: Findings) -> dict[str, Any]:
    """The JSON object of a body. What can't be read adds a finding and gives an empty object."""
    try:
        document = _decoder().decode(body.decode("utf-8-sig"))
    except json.JSONDecodeError as error:
        findings.append(Finding("", f"not whole JSON: {error.msg} at character {error.pos}"))
    except UnicodeDecodeError as error:
        findings.append(Finding("", f"not UTF-8 at byte {error.start}"))
    except _NotJson as error:
        findings.append(Finding("", f"found {error}"))
    except RecursionError:
        findings.append(Finding("", "nested too deeply"))
    else:
        problem = _unfit(document, body)
        if problem is None:
            return dict(document)
        findings.append(Finding("", problem))
    return {}


def _unfit(document: Any, body: bytes) -> str | None:
    """Why a JSON value can't be a document."""
    if _is_deeper(document, MAX_DEPTH):
        return f"nested deeper than {MAX_DEPTH}"
    if not isinstance(document, dict):
        return f"found {shown(document)}, wanted an object"
    if b"\\ud" in body or b"\\uD" in body:
        try:
            json.dumps(document, ensure_ascii=False).encode()
        except UnicodeEncodeError:
            return "a string holds half of a surrogate pair"
    return None


def _is_deeper(value: Any, limit: int) -> bool:
    level = [value] if _is_container(value) else []
    for _ in range(limit):
        if not level:
            return False
        level = [
            child
            for parent in level
            for child in (parent.values() if type(parent) is dict else parent)
            if type(child) is dict or type(child) is list
        ]
    return True


def _is_container(value: Any) -> bool:
    return isinstance(value, list | dict)


def check_fields(
    schema: str, value: Any, place: str, findings: Findings, known: KnownValues | None = None
) -> bool:
    """Whether a value keeps one of `schemas.SCHEMAS`.

    Fields have no rules for one another, so that values in `known`, which were sound in other items of the
    same schema, aren't checked again; most fields of a long list are spared by that.
    """
    from cloverrouter.control.schemas import validator  # what only applies updates never pays for cerberus

    if not isinstance(value, dict):
        findings.append(Finding(place, f"found {shown(value)}, wanted an object"))
        return False
    rules = validator(schema)
    if known is not None and _are_known(rules, value, known):
        return True
    if rules.validate(value, normalize=False):
        if known is not None:
            known.update(_values(value))
        return True
    for error in _leaves(rules._errors):
        findings.append(_finding(error, rules.schema, value, place))
    return False


def _are_known(rules: Any, item: dict[str, Any], known: KnownValues) -> bool:
    """Whether all values are known, or surely sound. What is found to be neither is cerberus' to look at."""
    from cloverrouter.control.schemas import is_plainly_sound

    if not rules.required_fields <= item.keys():
        return False
    schema, required = rules.schema, rules.required_fields
    for field, value in item.items():
        kind = type(value)
        if kind is list or kind is dict:
            if field in schema:
                return False
        elif (field, kind, value) not in known:
            if not is_plainly_sound(schema.get(field), value):
                return False
            if field not in required:  # those differ from item to item
                known.add((field, kind, value))
    return True


def _values(item: dict[str, Any]) -> Iterable[tuple[str, type, Any]]:
    return [
        (field, type(value), value) for field, value in item.items() if not isinstance(value, list | dict)
    ]


def _leaves(errors: Iterable[Any]) -> Iterable[Any]:
    for error in errors:
        if error.child_errors:
            yield from _leaves(error.child_errors)
        else:
            yield error


def _finding(error: Any, schema: Any, document: Mapping[str, Any], place: str) -> Finding:
    path = _joined(place, error.document_path)
    is_too_large = error.rule == "max"
    wanted = f"at most {error.constraint}" if is_too_large else _wanted(schema, error.document_path)
    found, present = _at(document, error.document_path)
    if not present:
        return Finding(path, f"missing, wanted {wanted}")
    return Finding(path, f"found {shown(found)}, wanted {wanted}")


def _wanted(schema: Any, path: tuple[Any, ...]) -> str:
    """The meta of the rules at a path: by a list's ``schema``, an object's fields, or its values."""
    rules: Mapping[str, Any] = {"schema": schema}
    for step in path:
        if "valuesrules" in rules:
            rules = rules["valuesrules"]
        elif isinstance(step, int):
            rules = rules["schema"]
        else:
            rules = rules["schema"][step]
    return str(rules["meta"])


def _at(document: Any, path: tuple[Any, ...]) -> tuple[Any, bool]:
    for step in path:
        try:
            document = document[step]
        except (KeyError, IndexError):
            return None, False
    return document, True


def _joined(place: str, path: tuple[Any, ...]) -> str:
    for step in path:
        if isinstance(step, int):
            place += f"[{step}]"
        else:
            place += f".{step}" if place else str(step)
    return place


def is_number(value: Any) -> TypeGuard[int | float]:
    """Whether a value is a number; true and false are none."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def shown(value: Any) -> str:
    """A value as JSON, cut short."""
    text = json.dumps(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else f"{text[:MAX_SHOWN_CHARACTERS]}..."


def check_routes(
    routes: Iterable[Route], services: Mapping[str, Any], place: Callable[[str, str], str]
) -> Findings:
    """Routes against the services that are known, and against one another.

    `place` gives the place of an item from its list and its name.
    """
    findings: Findings = []
    owners: dict[tuple[str, str], str] = {}
    for route in routes:
        owner = owners.setdefault((route.host, route.prefix), route.name)
        if owner != route.name:
            where = place(ROUTES, route.name)
            findings.append(Finding(where, f"same host and prefix as {place(ROUTES, owner)}"))
        named = [service for service, _ in route.targets]
        for service in named if route.unused is None else [*named, route.unused]:
            if service not in services:
                findings.append(
                    Finding(place(ROUTES, route.name), f"found {shown(service)}, wanted a known service")
                )
        if not sum(weight for _, weight in route.targets) > 0:
            wanted = "wanted weights that add up to more than 0" if route.targets else "wanted a service"
            findings.append(Finding(place(ROUTES, route.name), wanted))
    return findings


def check_tenants(tenants: Iterable[Tenant], place: Callable[[str, str], str]) -> Findings:
    """No key may belong to two tenants. The key itself is not told."""
    findings: Findings = []
    owners: dict[str, str] = {}
    for tenant in tenants:
        for index, key in enumerate(tenant.keys):
            owner = owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                where = f"{place('tenants', tenant.name)}.api-keys[{index}]"
                findings.append(Finding(where, f"the same key as one of {place('tenants', owner)}"))
    return findings
