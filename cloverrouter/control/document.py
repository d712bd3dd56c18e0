"""The configuration document as the operator sent it, with its typed model; one immutable value per version.

Items of named lists are stored as compact JSON text by name, which takes a third of the memory of objects. A
change creates a new state that shares all unchanged items, including the typed ones, with the previous state.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from cloverrouter.control.configuration import (
    LIMITS,
    ROUTES,
    SERVICES,
    TENANTS,
    VERSION,
    Configuration,
    Limits,
    Route,
    Service,
    Tenant,
    limits_from,
    route_from,
    service_from,
    tenant_from,
)

NamedList = dict[str, str]
"""The JSON of each item by its name, in the order of the list."""
Section = NamedList | str
"""A top-level field of the document: a named list, or the JSON of any other value."""

Document = Mapping[str, Any]

_BUILDERS: dict[str, Callable[[Any], Any]] = {
    ROUTES: route_from,
    SERVICES: service_from,
    TENANTS: tenant_from,
}

compact = json.JSONEncoder(separators=(",", ":"), allow_nan=False).encode
"""Returns the compact JSON of a value, in ASCII."""


ToJson = Callable[[Any], str]
"""A function that returns the compact JSON of an item, possibly from a cache."""


def is_named_list(value: Any) -> bool:
    """Returns whether a value is a list of objects with unique names. Such lists can be patched."""
    if not isinstance(value, list):
        return False
    names = [item.get("name") if isinstance(item, dict) else None for item in value]
    return all(isinstance(name, str) for name in names) and len(set(names)) == len(names)


@attrs.frozen(slots=True, eq=False)
class ConfigurationState:
    """One version of the configuration: document and typed model. The empty state has version 0.

    `replaced` and `patched` accept only validated documents.
    """

    version: int = 0
    limits: Limits = attrs.field(factory=Limits)
    _sections: dict[str, Section] = attrs.field(factory=dict)
    _models: dict[str, dict[str, Any]] = attrs.field(factory=lambda: {name: {} for name in _BUILDERS})

    @property
    def routes(self) -> Mapping[str, Route]:
        """The routes by name."""
        return self._models[ROUTES]

    @property
    def services(self) -> Mapping[str, Service]:
        """The services by name."""
        return self._models[SERVICES]

    @property
    def tenants(self) -> Mapping[str, Tenant]:
        """The tenants by name."""
        return self._models[TENANTS]

    def configuration(self) -> Configuration:
        """Returns the typed configuration."""
        return Configuration(
            version=self.version,
            routes=tuple(self.routes.values()),
            services=tuple(self.services.values()),
            limits=self.limits,
            tenants=tuple(self.tenants.values()),
        )

    def json(self) -> bytes:
        """Returns the document as compact JSON."""
        parts = (f"{compact(name)}:{_section_json(section)}" for name, section in self._sections.items())
        return f"{{{','.join(parts)}}}".encode("ascii")

    def document(self) -> dict[str, Any]:
        """Returns the document as a JSON value, including unknown fields."""
        return dict(json.loads(self.json()))

    def section(self, name: str) -> Section | None:
        """Returns a section of the document, or None."""
        return self._sections.get(name)

    def has_item(self, section: str, name: str) -> bool:
        """Returns whether the section is a named list with an item of that name."""
        items = self._sections.get(section)
        return isinstance(items, dict) and name in items

    def item_equals(self, section: str, name: str, text: str) -> bool:
        """Returns whether the named item has exactly this JSON."""
        items = self._sections.get(section)
        return isinstance(items, dict) and items.get(name) == text

    def replaced(self, document: Document, to_json: ToJson = compact) -> ConfigurationState:
        """Returns the state after the whole document has been replaced."""
        sections: dict[str, Section] = {}
        models: dict[str, dict[str, Any]] = {name: {} for name in _BUILDERS}
        for name, value in document.items():
            if not is_named_list(value):
                sections[name] = compact(value)
                continue
            sections[name] = {item["name"]: to_json(item) for item in value}
            if name in _BUILDERS:
                models[name] = {item["name"]: self._typed_item(name, item, sections[name]) for item in value}
        limits = limits_from(document.get(LIMITS))
        return ConfigurationState(int(document[VERSION]), limits, sections, models)

    def _typed_item(self, section: str, item: Document, texts: Section) -> Any:
        """Returns the typed item; reuses the current one if its JSON is unchanged."""
        name = item["name"]
        assert isinstance(texts, dict)
        if self.item_equals(section, name, texts[name]):
            return self._models[section][name]
        return _BUILDERS[section](item)

    def patched(self, patch: Document, to_json: ToJson = compact) -> ConfigurationState:
        """Returns the state after a patch: first deletions, then items are replaced in place or appended."""
        sections = dict(self._sections)
        models = dict(self._models)
        for name, names in (patch.get("delete") or {}).items():
            _delete(sections, models, name, names)
        for name, value in (patch.get("upsert") or {}).items():
            if isinstance(value, dict):
                sections[name] = compact({**_object(sections.get(name)), **value})
            else:
                _upsert(sections, models, name, value, to_json)
        sections[VERSION] = compact(patch[VERSION])
        limits = limits_from(_object(sections.get(LIMITS)))
        return ConfigurationState(int(patch[VERSION]), limits, sections, models)


def _section_json(section: Section) -> str:
    return section if isinstance(section, str) else f"[{','.join(section.values())}]"


def _object(section: Section | None) -> dict[str, Any]:
    """Returns a section as an object, or an empty object if it is not one."""
    if not isinstance(section, str) or not section.startswith("{"):
        return {}
    return dict(json.loads(section))


def _delete(
    sections: dict[str, Section], models: dict[str, dict[str, Any]], name: str, names: Iterable[str]
) -> None:
    section = sections.get(name)
    deleted = set(names)
    if section is None or isinstance(section, str):
        fields = _object(section)
        if deleted & fields.keys():
            sections[name] = compact({key: value for key, value in fields.items() if key not in deleted})
        return
    sections[name] = {item: text for item, text in section.items() if item not in deleted}
    if name in models:
        models[name] = {item: model for item, model in models[name].items() if item not in deleted}


def _upsert(
    sections: dict[str, Section],
    models: dict[str, dict[str, Any]],
    name: str,
    items: list[Any],
    to_json: ToJson,
) -> None:
    section = sections.get(name)
    texts = dict(section) if isinstance(section, dict) else {}
    texts.update((item["name"], to_json(item)) for item in items)
    sections[name] = texts
    build = _BUILDERS.get(name)
    if build is not None:
        models[name] = {**models[name], **{item["name"]: build(item) for item in items}}
