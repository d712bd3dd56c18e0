"""The review of an order's document: every check on it, and the state that it would bring.

Items whose JSON is in force already have been checked and are not checked again. Where some items are faulty,
the others are still checked against one another, so that all findings come at once.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

import attrs

from cloverrouter.control.checks import (
    Findings,
    KnownValues,
    check_fields,
    check_routes,
    check_tenants,
    is_number,
    read_object,
    shown,
)
from cloverrouter.control.configuration import LIMITS, ROUTES, SERVICES, TENANTS, VERSION
from cloverrouter.control.document import ConfigurationState, TextOf, compact
from cloverrouter.control.errors import ConfigurationInvalid, Finding

NAMED_SECTIONS = (ROUTES, SERVICES, TENANTS)

Change = Callable[[dict[str, Any], TextOf], ConfigurationState]


def review_document(body: bytes, current: ConfigurationState) -> tuple[dict[str, Any], ConfigurationState]:
    """The document of a PUT and the state after it. Raises `ConfigurationInvalid`."""
    review = _Review(current)
    document = review.read("document", body)
    sound = {name: review.sound_items(name, document.get(name), name) for name in NAMED_SECTIONS}
    return document, review.finish(document, sound, current.replaced)


def review_patch(body: bytes, current: ConfigurationState) -> tuple[dict[str, Any], ConfigurationState]:
    """The patch of a PATCH and the state after it. Raises `ConfigurationInvalid`."""
    review = _Review(current)
    patch = review.read("patch", body)
    upsert, delete = _object(patch.get("upsert")), _object(patch.get("delete"))
    sound: dict[str, list[Any]] = {}
    for section, value in upsert.items():
        place = f"upsert.{section}"
        review.check_target(section, value, place)
        items = review.sound_items(section, value, place)
        if section in NAMED_SECTIONS:
            sound[section] = items
        if section == LIMITS:
            check_fields(LIMITS, value, place, review.findings)
        review.check_contradiction(section, value, delete.get(section))
    return patch, review.finish(patch, {"upsert": sound}, current.patched)


def _object(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


@attrs.define
class _Review:
    current: ConfigurationState
    findings: Findings = attrs.field(factory=list)
    _places: dict[tuple[str, str], str] = attrs.field(factory=dict)
    _faulty_services: set[str] = attrs.field(factory=set)
    _texts: dict[int, str] = attrs.field(factory=dict)
    """By the identity of the item, which the order's document holds all the while."""
    _known: dict[str, KnownValues] = attrs.field(factory=lambda: defaultdict(set))

    def read(self, schema: str, body: bytes) -> dict[str, Any]:
        """The object of a body, its own fields checked, and that its version rises."""
        document = read_object(body, self.findings)
        if self.findings:
            raise ConfigurationInvalid(self.findings)
        check_fields(schema, document, "", self.findings)
        version = document.get(VERSION)
        if is_number(version) and not version > self.current.version:
            problem = f"found {shown(version)}, wanted one above {self.current.version}"
            self.findings.append(Finding(VERSION, problem))
        return document

    def sound_items(self, section: str, items: Any, place: str) -> list[Any]:
        """The items of a list that keep their schema and have a name of their own."""
        if not isinstance(items, list):
            return []
        return [
            item for index, item in enumerate(items) if self._is_sound(section, item, f"{place}[{index}]")
        ]

    def _is_sound(self, section: str, item: Any, place: str) -> bool:
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str):
            check_fields(section, item, place, self.findings)
            return False
        first = self._places.setdefault((section, name), place)
        if first != place:
            self.findings.append(Finding(f"{place}.name", f"the same name as {first}"))
        unchanged = self.current.has(section, name) and self.current.holds(section, name, self._text(item))
        sound = unchanged or check_fields(section, item, place, self.findings, self._known[section])
        if section == SERVICES and not sound:
            self._faulty_services.add(name)
        return sound and first == place

    def check_target(self, section: str, value: Any, place: str) -> None:
        """A list can only be put into a named list, and an object into an object."""
        held = self.current.section(section)
        if section in NAMED_SECTIONS or isinstance(held, dict):
            fits, wanted = isinstance(value, list), "a list of objects"
        elif section == LIMITS or (held is not None and held.startswith("{")):
            fits, wanted = isinstance(value, dict), "an object"
        else:
            fits, wanted = held is None, "a list of objects with names, or an object"
        if not fits:
            self.findings.append(Finding(place, f"found {shown(value)}, wanted {wanted}"))

    def check_contradiction(self, section: str, upserted: Any, deleted: Any) -> None:
        """What is to be there and to be gone after one patch can't be meant."""
        if not isinstance(deleted, list) or not isinstance(upserted, list):
            return
        names = [item.get("name") for item in upserted if isinstance(item, dict)]
        for index, name in enumerate(deleted):
            if name in names:
                self.findings.append(
                    Finding(f"delete.{section}[{index}]", f"{shown(name)} is in upsert as well")
                )

    def finish(self, whole: dict[str, Any], sound: dict[str, Any], change: Change) -> ConfigurationState:
        """The state after the whole order; after findings, the sound items are still checked as one."""
        if self.findings:
            whole = {VERSION: self.current.version + 1, **sound}
        candidate = change(whole, self._text)
        services = dict.fromkeys(self._faulty_services) | dict(candidate.services)
        self.findings += check_routes(candidate.routes.values(), services, self._place)
        self.findings += check_tenants(candidate.tenants.values(), self._place)
        if self.findings:
            raise ConfigurationInvalid(self.findings)
        return candidate

    def _text(self, item: Any) -> str:
        """The compact JSON of an item, made once."""
        text = self._texts.get(id(item))
        if text is None:
            text = self._texts[id(item)] = compact(item)
        return text

    def _place(self, section: str, name: str) -> str:
        """Where an item is in the order; for one that was in force before, its name."""
        return self._places.get((section, name), f"{section}[{name}]")
