"""The configuration as the operator sent it, with its typed model: an immutable value a version.

Items of named lists are held as compact JSON text by name, which is a third of what they take as objects. A
change makes a new state that shares everything the change didn't touch, the typed items included.
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
"""A named list, or the JSON of anything else."""

Document = Mapping[str, Any]

_BUILDERS: dict[str, Callable[[Any], Any]] = {
    ROUTES: route_from,
    SERVICES: service_from,
    TENANTS: tenant_from,
}

compact = json.JSONEncoder(separators=(",", ":"), allow_nan=False).encode
"""The compact JSON of a value, in ASCII."""


TextOf = Callable[[Any], str]
"""Gives the compact JSON of an item, where somebody else may have it already."""


def is_named_list(value: Any) -> bool:
    """Whether a value is a list of objects with a name each, all different: such lists can be patched."""
    if not isinstance(value, list):
        return False
    names = [item.get("name") if isinstance(item, dict) else None for item in value]
    return all(isinstance(name, str) for name in names) and len(set(names)) == len(names)


@attrs.frozen(slots=True, eq=False)
class ConfigurationState:
    """One version of the configuration: document and model. The empty state has version 0.

    `replaced` and `patched` take only what the checks have found sound.
    """

    version: int = 0
    limits: Limits = attrs.field(factory=Limits)
    _sections: dict[str, Section] = attrs.field(factory=dict)
    _models: dict[str, dict[str, Any]] = attrs.field(factory=lambda: {name: {} for name in _BUILDERS})

    @property
    def routes(self) -> Mapping[str, Route]:
        """Routes by name."""
        return self._models[ROUTES]

    @property
    def services(self) -> Mapping[str, Service]:
        """Services by name."""
        return self._models[SERVICES]

    @property
    def tenants(self) -> Mapping[str, Tenant]:
        """Tenants by name."""
        return self._models[TENANTS]

    def configuration(self) -> Configuration:
        """The typed configuration."""
        return Configuration(
            version=self.version,
            routes=tuple(self.routes.values()),
            services=tuple(self.services.values()),
            limits=self.limits,
            tenants=tuple(self.tenants.values()),
        )

    def json(self) -> bytes:
        """The document as compact JSON."""
        parts = (f"{compact(name)}:{_section_json(section)}" for name, section in self._sections.items())
        return f"{{{','.join(parts)}}}".encode("ascii")

    def document(self) -> dict[str, Any]:
        """The document: as JSON value, exactly what the orders made of it."""
        return dict(json.loads(self.json()))

    def section(self, name: str) -> Section | None:
        """A part of the document."""
        return self._sections.get(name)

    def has(self, section: str, name: str) -> bool:
        """Whether there is a named item."""
        items = self._sections.get(section)
        return isinstance(items, dict) and name in items

    def holds(self, section: str, name: str, text: str) -> bool:
        """Whether the named item has exactly that JSON."""
        items = self._sections.get(section)
        return isinstance(items, dict) and items.get(name) == text

    def replaced(self, document: Document, text_of: TextOf = compact) -> ConfigurationState:
        """The state after a whole configuration."""
        sections: dict[str, Section] = {}
        models: dict[str, dict[str, Any]] = {name: {} for name in _BUILDERS}
        for name, value in document.items():
            if not is_named_list(value):
                sections[name] = compact(value)
                continue
            sections[name] = {item["name"]: text_of(item) for item in value}
            if name in _BUILDERS:
                models[name] = {item["name"]: self._model(name, item, sections[name]) for item in value}
        limits = limits_from(document.get(LIMITS))
        return ConfigurationState(int(document[VERSION]), limits, sections, models)

    def _model(self, section: str, item: Document, texts: Section) -> Any:
        """The typed item, the present one where its JSON stays."""
        name = item["name"]
        assert isinstance(texts, dict)
        if self.holds(section, name, texts[name]):
            return self._models[section][name]
        return _BUILDERS[section](item)

    def patched(self, patch: Document, text_of: TextOf = compact) -> ConfigurationState:
        """The state after a patch: deletions first, then items are replaced in place or added last."""
        sections = dict(self._sections)
        models = dict(self._models)
        for name, names in (patch.get("delete") or {}).items():
            _delete(sections, models, name, names)
        for name, value in (patch.get("upsert") or {}).items():
            if isinstance(value, dict):
                sections[name] = compact({**_object(sections.get(name)), **value})
            else:
                _upsert(sections, models, name, value, text_of)
        sections[VERSION] = compact(patch[VERSION])
        limits = limits_from(_object(sections.get(LIMITS)))
        return ConfigurationState(int(patch[VERSION]), limits, sections, models)


def _section_json(section: Section) -> str:
    return section if isinstance(section, str) else f"[{','.join(section.values())}]"


def _object(section: Section | None) -> dict[str, Any]:
    """A section that is an object; empty where it is none."""
    if not isinstance(section, str) or not section.startswith("{"):
        return {}
    return dict(json.loads(section))


def _delete(
    sections: dict[str, Section], models: dict[str, dict[str, Any]], name: str, names: Iterable[str]
) -> None:
    section = sections.get(name)
    gone = set(names)
    if section is None or isinstance(section, str):
        fields = _object(section)
        if gone & fields.keys():
            sections[name] = compact({field: value for field, value in fields.items() if field not in gone})
        return
    sections[name] = {item: text for item, text in section.items() if item not in gone}
    if name in models:
        models[name] = {item: model for item, model in models[name].items() if item not in gone}


def _upsert(
    sections: dict[str, Section],
    models: dict[str, dict[str, Any]],
    name: str,
    items: list[Any],
    text_of: TextOf,
) -> None:
    section = sections.get(name)
    texts = dict(section) if isinstance(section, dict) else {}
    texts.update((item["name"], text_of(item)) for item in items)
    sections[name] = texts
    build = _BUILDERS.get(name)
    if build is not None:
        models[name] = {**models[name], **{item["name"]: build(item) for item in items}}
