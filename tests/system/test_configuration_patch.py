"""Patches compared with a reference implementation, and mutated request bodies."""

from __future__ import annotations

import copy
import json
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cloverrouter.control.checks import Findings, KnownValues, check_fields
from cloverrouter.control.configuration import Configuration
from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.errors import ConfigurationInvalid
from cloverrouter.control.orders import ConfigurationMachine
from cloverrouter.control.review import review_document, review_patch
from cloverrouter.control.updates import apply_frame, full_update

from .configurations import document, route, send, service, split, tenant

NAMES = [f"n{index}" for index in range(6)]
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**17), 10**17)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=6,
)


def reference(base: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """Applies a patch as the protocol defines it, in the simplest way."""
    result = copy.deepcopy(base)
    for section, names in patch.get("delete", {}).items():
        result[section] = [item for item in result.get(section, []) if item["name"] not in names]
    for section, items in patch.get("upsert", {}).items():
        present = result.setdefault(section, [])
        for item in items:
            at = [index for index, old in enumerate(present) if old["name"] == item["name"]]
            if at:
                present[at[0]] = item
            else:
                present.append(item)
    result["version"] = patch["version"]
    return result


def is_valid(content: dict[str, Any]) -> bool:
    services = {item["name"] for item in content["backends"]}
    prefixes = [(item["hostname"], item["path-prefix"]) for item in content["route-table"]]
    keys = [key for item in content["tenants"] for key in set(item["api-keys"])]
    targets = [part["backend"] for item in content["route-table"] for part in item["traffic-split"]]
    targets += [item["backend"] for item in content["route-table"]]
    weights = [sum(part["weight"] for part in item["traffic-split"]) for item in content["route-table"]]
    return (
        len(set(prefixes)) == len(prefixes)
        and len(set(keys)) == len(keys)
        and services.issuperset(targets)
        and all(weights)
    )


names = st.sampled_from(NAMES)
routes = st.builds(
    lambda name, prefix, backend, first, second, weight, extra: route(
        name,
        f"/{prefix}/",
        backend=backend,
        **{"traffic-split": split((first, weight), (second, 0)), "extra": extra},
    ),
    names,
    names,
    names,
    names,
    names,
    st.sampled_from([0, 1, 1, 2.5]),
    JSON_VALUES,
)
services = st.builds(service, names)
tenants = st.builds(lambda name, key: tenant(name, key), names, names)


def sections(items: Any, route_items: Any, service_items: Any, tenant_items: Any) -> Any:
    return st.fixed_dictionaries(
        {},
        optional={
            "route-table": items(route_items),
            "backends": items(service_items),
            "tenants": items(tenant_items),
        },
    )


def unique(item: Any) -> Any:
    return st.lists(item, max_size=3, unique_by=lambda found: found["name"])


patches = st.builds(
    lambda upsert, delete: {"upsert": upsert, "delete": delete},
    sections(unique, routes, services, tenants),
    sections(lambda item: st.lists(item, max_size=2), names, names, names),
)


@settings(max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(patches, max_size=8))
def test_patches_make_what_the_reference_makes(changes: list[dict[str, Any]]) -> None:
    machine = ConfigurationMachine()
    content = document(1, **{"route-table": [], "tenants": [], "backends": [service(name) for name in NAMES]})
    assert send(machine, "PUT", "0", content).status == 200
    proxy = apply_frame(ConfigurationState(), full_update(machine.state))
    for version, change in enumerate(changes, 2):
        patch = {"version": version, **change}
        if contradicts(patch):
            continue
        expected = reference(content, patch)
        before = machine.state
        reply = send(machine, "PATCH", str(content["version"]), patch)
        assert (reply.status == 200) == is_valid(expected), (reply, expected)
        if reply.status != 200:
            assert machine.state is before
            continue
        content = expected
        proxy = proxy.patched(patch)
        assert machine.document == proxy.document() == content
        rebuilt = rebuild(content)
        assert machine.state.configuration() == proxy.configuration() == rebuilt
        upserted = {item["name"] for item in change["upsert"].get("route-table", [])}
        for name, model in machine.state.routes.items():
            assert name in upserted or model is before.routes[name]


def contradicts(patch: dict[str, Any]) -> bool:
    return any(
        item["name"] in patch["delete"].get(section, ())
        for section, items in patch["upsert"].items()
        for item in items
    )


def rebuild(content: dict[str, Any]) -> Configuration:
    return ConfigurationState().replaced(content).configuration()


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths of a value and of all values inside it."""
    children: Any = (
        value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    )
    return [path, *(found for step, child in children for found in paths_of(child, (*path, step)))]


def replace_at(value: Any, path: tuple[Any, ...], change: Any) -> Any:
    """Returns a copy with the value at a path replaced, or removed if `change` is an ellipsis."""
    if not path:
        return change
    result = copy.deepcopy(value)
    parent = result
    for step in path[:-1]:
        parent = parent[step]
    if change is ...:
        del parent[path[-1]]
    else:
        parent[path[-1]] = change
    return result


WHOLE = document(7)
PATCH = {
    "version": 7,
    "upsert": {
        "route-table": [route("r1", "/z/", **{"traffic-split": split(("model", 1))})],
        "limits": {"x": 1},
    },
    "delete": {"route-table": ["r0"], "backends": ["plain"]},
}
CHANGES = st.one_of(st.just(...), JSON_VALUES)


@settings(max_examples=150, deadline=None)
@given(st.sampled_from([("PUT", WHOLE), ("PATCH", PATCH)]), st.data())
def test_altered_documents_are_taken_whole_or_refused_whole(
    order: tuple[str, dict[str, Any]], data: st.DataObject
) -> None:
    method, valid_body = order
    body: Any = valid_body
    for _ in range(data.draw(st.integers(1, 3))):
        path = data.draw(st.sampled_from(paths_of(body)))
        change = data.draw(CHANGES)
        body = replace_at(body, path, {} if change is ... and not path else change)
    machine = ConfigurationMachine()
    send(machine, "PUT", "0", document(5))
    before = machine.snapshot()
    reply = send(machine, method, "5", body)
    if reply.status != 200:
        assert reply.status == 400
        assert json.loads(reply.body)["findings"]
        assert machine.snapshot() == before
        return
    assert machine.document["version"] == body["version"]
    if method == "PUT":
        assert machine.document == body
    assert machine.state.configuration() == rebuild(machine.document)
    follower = ConfigurationMachine()
    follower.restore(machine.snapshot())
    assert follower.state.configuration() == machine.state.configuration()


@settings(max_examples=100, deadline=None)
@given(st.sampled_from(["route-table", "backends", "tenants"]), st.data())
def test_known_values_change_no_verdict(section: str, data: st.DataObject) -> None:
    known: KnownValues = set()
    for _ in range(4):
        item = WHOLE[section][0]
        for _ in range(data.draw(st.integers(0, 2))):
            path = data.draw(st.sampled_from(paths_of(item)[1:]))
            item = replace_at(item, path, data.draw(CHANGES))
        without_known: Findings = []
        with_known: Findings = []
        is_valid_item = check_fields(section, item, "x", without_known)
        assert check_fields(section, item, "x", with_known, known) == is_valid_item
        assert with_known == without_known


@settings(max_examples=150, deadline=None)
@given(st.sampled_from([json.dumps(WHOLE).encode(), json.dumps(PATCH).encode()]), st.data())
def test_altered_bytes_never_crash(body: bytes, data: st.DataObject) -> None:
    begin = data.draw(st.integers(0, len(body)))
    end = data.draw(st.integers(begin, min(len(body), begin + 40)))
    broken = body[:begin] + data.draw(st.binary(max_size=6)) + body[end:]
    for review in (review_document, review_patch):
        try:
            review(broken, ConfigurationState())
        except ConfigurationInvalid as error:
            assert error.findings


@settings(max_examples=50, deadline=None)
@given(st.integers(0, len(json.dumps(WHOLE)) - 1))
def test_what_is_cut_short_is_refused(length: int) -> None:
    machine = ConfigurationMachine()
    assert send(machine, "PUT", "0", json.dumps(WHOLE).encode()[:length]).status == 400
