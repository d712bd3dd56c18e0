"""The review of an order: validates its document or patch and computes the resulting state.

Items whose JSON is already in force were validated before and are skipped. If some items are invalid, the
others are still checked against one another, so that the operator gets all findings at once.
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
    check_tenant_keys,
    check_tenant_name,
    check_tenants,
    is_number,
    preview,
    read_object,
)
from cloverrouter.control.configuration import LIMITS, ROUTES, SERVICES, TENANTS, VERSION
from cloverrouter.control.document import ConfigurationState, ToJson, compact
from cloverrouter.control.errors import ConfigurationInvalid, Finding

MAX_FINDINGS = 1000  # the review ends here: a list of nothing but invalid items would take minutes
NAMED_SECTIONS = (ROUTES, SERVICES, TENANTS)

Change = Callable[[dict[str, Any], ToJson], ConfigurationState]


def review_document(body: bytes, current: ConfigurationState) -> tuple[dict[str, Any], ConfigurationState]:
    """Returns the document of a PUT and the resulting state. Raises `ConfigurationInvalid`."""
    review = _Review(current)
    document = review.read("document", body)
    valid = {name: review.valid_items(name, document.get(name), name) for name in NAMED_SECTIONS}
    return document, review.finish(document, valid, current.replaced)


def review_patch(body: bytes, current: ConfigurationState) -> tuple[dict[str, Any], ConfigurationState]:
    """Returns the patch of a PATCH and the resulting state. Raises `ConfigurationInvalid`."""
    review = _Review(current)
    patch = review.read("patch", body)
    upsert, delete = _object(patch.get("upsert")), _object(patch.get("delete"))
    valid: dict[str, list[Any]] = {}
    for section, value in upsert.items():
        place = f"upsert.{section}"
        review.check_target(section, value, place)
        items = review.valid_items(section, value, place)
        if section in NAMED_SECTIONS:
            valid[section] = items
        if section == LIMITS:
            check_fields(LIMITS, value, place, review.findings)
        review.check_contradiction(section, value, delete.get(section))
    return patch, review.finish(patch, {"upsert": valid}, current.patched)


def _object(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


@attrs.define
class _Review:
    """The review of one order on top of the state `current`."""

    current: ConfigurationState
    findings: Findings = attrs.field(factory=list)
    _places: dict[tuple[str, str], str] = attrs.field(factory=dict)
    _invalid_services: set[str] = attrs.field(factory=set)
    _texts: dict[int, str] = attrs.field(factory=dict)
    """The JSON of items by `id(item)`; the ids stay valid because the document keeps the items alive."""
    _known: dict[str, KnownValues] = attrs.field(factory=lambda: defaultdict(set))

    def read(self, schema: str, body: bytes) -> dict[str, Any]:
        """Returns the object of a body. Checks its top-level fields and that its version is higher than the
        current one. Raises `ConfigurationInvalid` if the body can't be read.
        """
        document = read_object(body, self.findings)
        if self.findings:
            raise ConfigurationInvalid(self.findings)
        check_fields(schema, document, "", self.findings)
        version = document.get(VERSION)
        if is_number(version) and not version > self.current.version:
            problem = f"found {preview(version)}, wanted one above {self.current.version}"
            self.findings.append(Finding(VERSION, problem))
        return document

    def valid_items(self, section: str, items: Any, place: str) -> list[Any]:
        """Returns the items of a list that conform to their schema and have a unique name.

        Raises `ConfigurationInvalid` once there are `MAX_FINDINGS`.
        """
        if not isinstance(items, list):
            return []
        valid = []
        for index, item in enumerate(items):
            if self._is_valid(section, item, f"{place}[{index}]"):
                valid.append(item)
            if len(self.findings) >= MAX_FINDINGS:
                raise ConfigurationInvalid(self.findings)
        return valid

    def _is_valid(self, section: str, item: Any, place: str) -> bool:
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str):
            check_fields(section, item, place, self.findings)
            return False
        first = self._places.setdefault((section, name), place)
        if first != place:
            self.findings.append(Finding(f"{place}.name", f"the same name as {first}"))
        unchanged = self.current.has_item(section, name) and self.current.item_equals(
            section, name, self._text(item)
        )
        conforms = unchanged or check_fields(section, item, place, self.findings, self._known[section])
        if section == TENANTS:
            # Also unchanged items: earlier builds accepted names of any length, and keys that can't be sent.
            conforms &= check_tenant_name(name, place, self.findings)
            conforms &= check_tenant_keys(item.get("api-keys"), place, self.findings)
        if section == SERVICES and not conforms:
            self._invalid_services.add(name)
        return conforms and first == place

    def check_target(self, section: str, value: Any, place: str) -> None:
        """Checks that a list is merged only into a named list, and an object only into an object."""
        present = self.current.section(section)
        if section in NAMED_SECTIONS or isinstance(present, dict):
            fits, wanted = isinstance(value, list), "a list of objects"
        elif section == LIMITS or (present is not None and present.startswith("{")):
            fits, wanted = isinstance(value, dict), "an object"
        else:
            fits, wanted = present is None, "a list of objects with names, or an object"
        if not fits:
            self.findings.append(Finding(place, f"found {preview(value)}, wanted {wanted}"))

    def check_contradiction(self, section: str, upserted: Any, deleted: Any) -> None:
        """Checks that a patch doesn't both upsert and delete the same item."""
        if not isinstance(deleted, list) or not isinstance(upserted, list):
            return
        names = [item.get("name") for item in upserted if isinstance(item, dict)]
        for index, name in enumerate(deleted):
            if name in names:
                self.findings.append(
                    Finding(f"delete.{section}[{index}]", f"{preview(name)} is in upsert as well")
                )

    def finish(self, order: dict[str, Any], valid: dict[str, Any], change: Change) -> ConfigurationState:
        """Checks the items against one another and returns the resulting state.

        After earlier findings only the valid items are checked. Raises `ConfigurationInvalid`.
        """
        if self.findings:
            order = {VERSION: self.current.version + 1, **valid}
        candidate = change(order, self._text)
        services = dict.fromkeys(self._invalid_services) | dict(candidate.services)
        self.findings += check_routes(candidate.routes.values(), services, self._place)
        self.findings += check_tenants(candidate.tenants.values(), self._place)
        if self.findings:
            raise ConfigurationInvalid(self.findings)
        return candidate

    def _text(self, item: Any) -> str:
        """Returns the compact JSON of an item, encoded only once."""
        text = self._texts.get(id(item))
        if text is None:
            text = self._texts[id(item)] = compact(item)
        return text

    def _place(self, section: str, name: str) -> str:
        """Returns the place of an item in the order; for an item already in force, its section and name."""
        return self._places.get((section, name), f"{section}[{name}]")
