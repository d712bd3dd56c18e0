"""Validation of request bodies: JSON syntax, items against their schemas, and items against one another.

Each check appends its findings, with their places in the document, to a list. The caller thus gets all
findings in one response.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeGuard

from cloverrouter.control.configuration import ROUTES, Route, Tenant
from cloverrouter.control.errors import Finding
from cloverrouter.http.field_text import encode_field_text

MAX_SHOWN_CHARACTERS = 60
MAX_NUMBER_CHARACTERS = 18
MAX_DEPTH = 32
MAX_TENANT_NAME_BYTES = 2048  # servers commonly accept 8 KiB of header fields
_KEY_IN_HEADER = re.compile(r"[^\x00-\x20\x7f](?:[^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?")
MAX_CONTAINERS = 200_000  # objects and lists of one document, each of which takes many times its characters

Findings = list[Finding]
KnownValues = set[tuple[str, type, Any]]
"""Scalar fields that passed their schema: name, type and value."""


class _NotJson(ValueError):
    """JSON that can't be read without loss: a number out of range, or a duplicate key in an object."""


def _parse_int(text: str) -> int:
    if len(text) > MAX_NUMBER_CHARACTERS:
        raise _NotJson(f"a number of {len(text)} characters")
    return int(text)


def _parse_float(text: str) -> float:
    number = float(text)
    if number in (float("inf"), float("-inf")):
        raise _NotJson(f"{preview(text)}, a number that is too large")
    return number


def _reject_constant(text: str) -> float:
    raise _NotJson(f"{text}, which is no JSON")


class _ObjectBuilder:
    """Builds the JSON objects of one document and interns their strings.

    Most strings in long lists are equal, so interning saves memory.
    """

    def __init__(self) -> None:
        self._interned: dict[str, str] = {}

    def build(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """Returns the object with these fields. Raises `_NotJson` for a duplicate key."""
        intern = self._interned.setdefault
        return _unique_fields(
            [(name, intern(each, each) if type(each) is str else each) for name, each in pairs]
        )


def _unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in fields if names.count(name) > 1)
        raise _NotJson(f"{preview(duplicate)} twice in one object, of which one would be lost")
    return fields


def _decoder() -> json.JSONDecoder:
    """Returns a new decoder. Each document needs its own, because several threads may decode at once."""
    return json.JSONDecoder(
        parse_int=_parse_int,
        parse_float=_parse_float,
        parse_constant=_reject_constant,
        object_pairs_hook=_ObjectBuilder().build,
    )


def read_object(body: bytes, findings: Findings) -> dict[str, Any]:
    """Returns the JSON object of a body. If it can't be read, adds a finding and returns an empty object."""
    if body.count(b"{") + body.count(b"[") > MAX_CONTAINERS:
        findings.append(Finding("", f"more than {MAX_CONTAINERS} objects and lists"))
        return {}
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
        problem = _document_problem(document, body)
        if problem is None:
            return dict(document)
        findings.append(Finding("", problem))
    return {}


def _document_problem(document: Any, body: bytes) -> str | None:
    """Returns why a JSON value is not acceptable as a document, or None if it is."""
    if _is_deeper(document, MAX_DEPTH):
        return f"nested deeper than {MAX_DEPTH}"
    if not isinstance(document, dict):
        return f"found {preview(document)}, wanted an object"
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
    """Returns whether a value conforms to one of `schemas.SCHEMAS`; adds a finding for each violation.

    `known` holds scalar values that were valid in other items of the same schema. They are not checked again,
    which is safe because no rule of a field depends on another field. This skips most fields of a long list.
    """
    from cloverrouter.control.schemas import validator  # avoids loading cerberus only to apply updates

    if not isinstance(value, dict):
        findings.append(Finding(place, f"found {preview(value)}, wanted an object"))
        return False
    rules = validator(schema)
    if known is not None and _is_clearly_valid(rules, value, known):
        return True
    if rules.validate(value, normalize=False):
        if known is not None:
            known.update(_scalar_fields(value))
        return True
    for error in _leaf_errors(rules._errors):
        findings.append(_finding(error, rules.schema, value, place))
    return False


def _is_clearly_valid(rules: Any, item: dict[str, Any], known: KnownValues) -> bool:
    """Returns True if every value is in `known` or passes the plain rules. On False, cerberus must decide."""
    from cloverrouter.control.schemas import passes_plain_rules

    if not rules.required_fields <= item.keys():
        return False
    schema, required = rules.schema, rules.required_fields
    for field, value in item.items():
        kind = type(value)
        if kind is list or kind is dict:
            if field in schema:
                return False
        elif (field, kind, value) not in known:
            if not passes_plain_rules(schema.get(field), value):
                return False
            if field not in required:  # required fields, such as the name, differ from item to item
                known.add((field, kind, value))
    return True


def _scalar_fields(item: dict[str, Any]) -> Iterable[tuple[str, type, Any]]:
    return [
        (field, type(value), value) for field, value in item.items() if not isinstance(value, list | dict)
    ]


def _leaf_errors(errors: Iterable[Any]) -> Iterable[Any]:
    for error in errors:
        if error.child_errors:
            yield from _leaf_errors(error.child_errors)
        else:
            yield error


def _finding(error: Any, schema: Any, document: Mapping[str, Any], place: str) -> Finding:
    path = _join_path(place, error.document_path)
    is_too_large = error.rule == "max"
    wanted = f"at most {error.constraint}" if is_too_large else _expected_value(schema, error.document_path)
    found, is_present = _value_at(document, error.document_path)
    if not is_present:
        return Finding(path, f"missing, wanted {wanted}")
    return Finding(path, f"found {preview(found)}, wanted {wanted}")


def _expected_value(schema: Any, path: tuple[Any, ...]) -> str:
    """Returns the ``meta`` text of the rules at a path.

    The path leads through a list's ``schema``, an object's fields, or an object's ``valuesrules``.
    """
    rules: Mapping[str, Any] = {"schema": schema}
    for step in path:
        if "valuesrules" in rules:
            rules = rules["valuesrules"]
        elif isinstance(step, int):
            rules = rules["schema"]
        else:
            rules = rules["schema"][step]
    return str(rules["meta"])


def _value_at(document: Any, path: tuple[Any, ...]) -> tuple[Any, bool]:
    """Returns the value at a path and whether it is present."""
    for step in path:
        try:
            document = document[step]
        except (KeyError, IndexError):
            return None, False
    return document, True


def _join_path(place: str, path: tuple[Any, ...]) -> str:
    for step in path:
        if isinstance(step, int):
            place += f"[{step}]"
        else:
            place += f".{step}" if place else str(step)
    return place


def is_number(value: Any) -> TypeGuard[int | float]:
    """Returns whether a value is a number. Booleans are not numbers."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def preview(value: Any) -> str:
    """Returns a value as JSON, truncated to `MAX_SHOWN_CHARACTERS`."""
    text = json.dumps(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else f"{text[:MAX_SHOWN_CHARACTERS]}..."


def check_routes(
    routes: Iterable[Route], services: Mapping[str, Any], place: Callable[[str, str], str]
) -> Findings:
    """Checks routes against the existing services and against one another.

    `place` returns the place of an item in the document, given its list and its name.
    """
    findings: Findings = []
    owners: dict[tuple[str, str], str] = {}
    for route in routes:
        owner = owners.setdefault((route.host, route.prefix), route.name)
        if owner != route.name:
            where = place(ROUTES, route.name)
            findings.append(Finding(where, f"same host and prefix as {place(ROUTES, owner)}"))
        names = [service for service, _ in route.targets]
        for service in names if route.overridden_backend is None else [*names, route.overridden_backend]:
            if service not in services:
                findings.append(
                    Finding(place(ROUTES, route.name), f"found {preview(service)}, wanted a known service")
                )
        if not sum(weight for _, weight in route.targets) > 0:
            wanted = "wanted weights that add up to more than 0" if route.targets else "wanted a service"
            findings.append(Finding(place(ROUTES, route.name), wanted))
    return findings


def check_tenant_name(name: str, place: str, findings: Findings) -> bool:
    """Returns whether a tenant's name fits into the header for servers; adds a finding if not."""
    size = len(encode_field_text(name))
    if size <= MAX_TENANT_NAME_BYTES:
        return True
    wanted = f"wanted a name of at most {MAX_TENANT_NAME_BYTES} bytes in percent-encoding; it has {size}"
    findings.append(Finding(f"{place}.name", f"found {preview(name)}, {wanted}"))
    return False


def check_tenant_keys(keys: Any, place: str, findings: Findings) -> bool:
    """Returns whether clients can send all keys of a tenant in a header; adds a finding for each other one.

    A header loses blanks at the ends of its value, so " k" would come as "k", perhaps the key of another
    tenant. Findings don't contain the key, which is a secret. Values that are not strings are left to the
    schema.
    """
    if not isinstance(keys, list):
        return True
    refused = [
        index
        for index, key in enumerate(keys)
        if isinstance(key, str) and key and not _KEY_IN_HEADER.fullmatch(key)
    ]
    wanted = "wanted a key without control characters and without blanks at its ends"
    findings += [Finding(f"{place}.api-keys[{index}]", wanted) for index in refused]
    return not refused


def check_tenants(tenants: Iterable[Tenant], place: Callable[[str, str], str]) -> Findings:
    """Checks that no API key belongs to two tenants. Findings don't contain the key, which is a secret."""
    findings: Findings = []
    owners: dict[str, str] = {}
    for tenant in tenants:
        for index, key in enumerate(tenant.keys):
            owner = owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                where = f"{place('tenants', tenant.name)}.api-keys[{index}]"
                findings.append(Finding(where, f"the same key as one of {place('tenants', owner)}"))
    return findings
