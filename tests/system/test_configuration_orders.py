"""Operators' orders: which are accepted, which are refused and why, and how replicas apply the updates."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from cloverrouter.control.errors import UpdateOutOfOrder
from cloverrouter.control.orders import (
    MAX_REMEMBERED_ORDERS,
    ConfigurationMachine,
    Order,
    OrderReply,
    read_snapshot,
)
from cloverrouter.control.updates import apply_frame, decode_message, full_update
from cloverrouter.coordination.effects import StateMachine
from cloverrouter.messages.codec import encode

from .configurations import document, findings, route, send, service, split, tenant


@pytest.fixture
def machine() -> ConfigurationMachine:
    found = ConfigurationMachine()
    assert send(found, "PUT", "0", document(5)).status == 200
    return found


def test_the_chain_can_embed_the_machine() -> None:
    machine: StateMachine = ConfigurationMachine()
    assert machine.snapshot()


def test_the_first_configuration_builds_on_version_0() -> None:
    machine = ConfigurationMachine()
    reply = send(machine, "PUT", "0", document(5))
    assert (reply.status, reply.version, json.loads(reply.body)) == (200, 5, {"version": 5})
    assert machine.document == document(5)


def test_unknown_fields_are_kept(machine: ConfigurationMachine) -> None:
    sent = document(6, colour={"a": [1, 2.5, None]}, words=["x"])
    sent["route-table"][0]["shade"] = 0.1
    assert send(machine, "PUT", "5", sent).status == 200
    assert machine.document == sent


@pytest.mark.parametrize("if_match", ["4", "6", "0", "", "x", "-5", "5.0", "W/5", "9" * 5000])
def test_another_base_is_refused(machine: ConfigurationMachine, if_match: str) -> None:
    assert send(machine, "PUT", if_match, document(7)).status == 412
    assert machine.version == 5


def test_an_order_without_base_is_refused(machine: ConfigurationMachine) -> None:
    assert send(machine, "PUT", None, document(7)).status == 428


def test_a_base_may_be_an_entity_tag(machine: ConfigurationMachine) -> None:
    assert send(machine, "PUT", ' "5" ', document(7)).status == 200


def test_an_order_taken_is_acknowledged_again_also_after_later_ones(machine: ConfigurationMachine) -> None:
    assert send(machine, "PUT", "5", document(7)).status == 200
    assert send(machine, "PUT", "7", document(9)).status == 200
    again = send(machine, "PUT", "5", document(7))
    assert (again.status, json.loads(again.body), machine.version) == (200, {"version": 7}, 9)


def test_the_same_body_on_another_base_is_another_order(machine: ConfigurationMachine) -> None:
    assert send(machine, "PUT", "5", document(7)).status == 200
    assert send(machine, "PUT", "7", document(7)).status == 400


def test_the_same_bytes_as_another_kind_of_order_are_another_order(machine: ConfigurationMachine) -> None:
    """The second may come from another operator, whose order must not be acknowledged."""
    body = {"version": 7, "upsert": {"route-table": [route("x")]}}
    assert send(machine, "PATCH", "5", body).status == 200
    assert send(machine, "PUT", "5", body).status == 412


def test_of_two_orders_on_one_base_one_wins(machine: ConfigurationMachine) -> None:
    assert send(machine, "PUT", "5", document(7)).status == 200
    assert send(machine, "PUT", "5", document(7, 3)).status == 412
    assert machine.document == document(7)


def test_the_oldest_digests_go() -> None:
    machine = ConfigurationMachine()
    machine._accepted = {index.to_bytes(16): index for index in range(MAX_REMEMBERED_ORDERS)}
    send(machine, "PUT", "0", document(5))
    assert len(machine._accepted) == MAX_REMEMBERED_ORDERS
    assert (0).to_bytes(16) not in machine._accepted


def test_an_order_that_may_be_forgotten_is_not_refused() -> None:
    """It may have been accepted, and its digest was dropped since."""
    machine = ConfigurationMachine()
    newest = 9000
    assert send(machine, "PUT", "0", document(newest)).status == 200
    machine._accepted = {index.to_bytes(16): 2 + index for index in range(MAX_REMEMBERED_ORDERS)}
    machine.restore(machine.snapshot())
    for version in range(newest + 1, newest + 4):
        assert send(machine, "PUT", str(machine.version), document(version)).status == 200
    assert min(machine._accepted.values()) == 5
    assert send(machine, "PUT", "2", document(9)).status == 503
    assert send(machine, "PUT", "4", document(9)).status == 503
    assert send(machine, "PUT", "5", document(9)).status == 412
    assert send(machine, "PUT", str(newest + 5), document(newest + 9)).status == 412


def test_a_command_that_is_no_order_is_refused(machine: ConfigurationMachine) -> None:
    """The command may be of a newer type or corrupt. The head must not fail on it."""
    for command in (b"", b"spoilt", encode(Order("PUT", "5", b""))[:-1], machine.snapshot()):
        decision = machine.decide(command)
        assert decision.update is None
        assert decode_message(decision.reply, OrderReply).status == 400


def changed(**changes: Any) -> dict[str, Any]:
    return document(7, **changes)


def with_route(**changes: Any) -> dict[str, Any]:
    return document(7, **{"route-table": [route("r0", **changes)]})


INVALID = {
    "cut short": (json.dumps(document(7)).encode()[:-9], "not whole JSON"),
    "empty": (b"", "not whole JSON"),
    "not UTF-8": (b'{"version": "\xff"}', "not UTF-8"),
    "nan": (b'{"version": NaN}', "NaN"),
    "endless number": (b'{"version": 1e999}', "too large"),
    "long number": (b'{"version": ' + b"9" * 5000 + b"}", "characters"),
    "deep": (b"[" * 100000, "nested too deeply"),
    "deep in an unknown field": (changed(x=json.loads("[" * 40 + "]" * 40)), "nested deeper"),
    "half a pair": (b'{"version": 7, "name": "\\ud800"}', "surrogate"),
    "a list": ([], "wanted an object"),
    "null": (None, "wanted an object"),
    "unknown service": (with_route(backend="gone"), 'route-table[0]: found "gone", wanted a known service'),
    "unknown service in a split": (
        with_route(**{"traffic-split": split(("model", 1), ("gone", 0))}),
        'route-table[0]: found "gone", wanted a known service',
    ),
    "unknown service beside a split": (
        with_route(backend="gone", **{"traffic-split": split(("model", 1))}),
        'route-table[0]: found "gone", wanted a known service',
    ),
    "a field twice": (b'{"version": 7, "backends": [], "version": 9}', '"version" twice in one object'),
    "no service": (with_route(backend=None), "route-table[0]: wanted a service"),
    "doubled prefix": (
        changed(**{"route-table": [route("a", "/x/"), route("b", "/x/", hostname="ONE.example:80")]}),
        "route-table[1]: same host and prefix as route-table[0]",
    ),
    "weights 0": (
        with_route(**{"traffic-split": split(("model", 0), ("plain", 0))}),
        "add up to more than 0",
    ),
    "negative weight": (
        with_route(**{"traffic-split": split(("model", 3), ("plain", -1))}),
        "route-table[0].traffic-split[1].weight: found -1, wanted a number, 0 or more",
    ),
    "time-out 0": (
        with_route(**{"timeout-ms": 0}),
        "route-table[0].timeout-ms: found 0, wanted a number above 0",
    ),
    "time-out null": (with_route(**{"timeout-ms": None}), "route-table[0].timeout-ms: found null"),
    "time-out true": (with_route(**{"timeout-ms": True}), "route-table[0].timeout-ms: found true"),
    "time-out word": (with_route(**{"timeout-ms": "9"}), 'route-table[0].timeout-ms: found "9"'),
    "prefix without first slash": (with_route(**{"path-prefix": "x/"}), "route-table[0].path-prefix"),
    "prefix without last slash": (with_route(**{"path-prefix": "/x"}), "route-table[0].path-prefix"),
    "empty prefix": (with_route(**{"path-prefix": ""}), "route-table[0].path-prefix"),
    "kind": (with_route(**{"route-type": "x"}), "wanted one of streaming, idempotent, non_idempotent"),
    "attempts": (with_route(**{"attempt-limit": 1.5}), "route-table[0].attempt-limit: found 1.5"),
    "no name": (changed(**{"route-table": [{}]}), "route-table[0].name: missing, wanted a name"),
    "no route": (changed(**{"route-table": [3]}), "route-table[0]: found 3, wanted an object"),
    "no list": (changed(backends={}), "backends: found {}, wanted a list of objects"),
    "stale version": (document(5), "version: found 5, wanted one above 5"),
    "older version": (document(3), "version: found 3, wanted one above 5"),
    "version word": (document(7, version="7"), 'version: found "7", wanted a whole number'),
    "version true": (document(7, version=True), "version: found true"),
    "version half": (document(7, version=7.5), "version: found 7.5"),
    "no version": ({"route-table": [], "backends": []}, "version: missing"),
    "doubled route": (
        changed(**{"route-table": [route("a"), route("a", "/b/")]}),
        "route-table[1].name: the same name as route-table[0]",
    ),
    "doubled service": (changed(backends=[service("model")] * 2), "backends[1].name: the same name"),
    "doubled tenant": (changed(tenants=[tenant("a"), tenant("a")]), "tenants[1].name: the same name"),
    "shared key": (
        changed(tenants=[tenant("a", "k1", "k2"), tenant("b", "k3", "k2")]),
        "tenants[1].api-keys[1]: the same key as one of tenants[0]",
    ),
    "key number": (changed(tenants=[tenant("a", **{"api-keys": [3]})]), "tenants[0].api-keys[0]: found 3"),
    "tenant that splits a header": (changed(tenants=[tenant("a\r\nx: y")]), "tenants[0].name"),
    "limit 0": (changed(limits={"header-limit-bytes": 0}), "limits.header-limit-bytes: found 0"),
    "engine": (
        changed(backends=[service("model", **{"inference-engine": {"model-list": [{}]}})]),
        "backends[0].inference-engine.model-list[0].name: missing",
    ),
}


@pytest.mark.parametrize("body, problem", INVALID.values(), ids=INVALID.keys())
def test_an_invalid_configuration_is_refused_with_its_findings(
    machine: ConfigurationMachine, body: Any, problem: str
) -> None:
    reply = send(machine, "PUT", "5", body)
    assert reply.status == 400
    assert any(problem in finding for finding in findings(reply)), findings(reply)
    assert machine.document == document(5)


def test_all_findings_are_told_at_once(machine: ConfigurationMachine) -> None:
    sent = document(4, backends=[service("model", **{"connection-limit": "x"})])
    sent["route-table"] = [route("a", **{"timeout-ms": 0}), route("b", backend="gone"), route("c", "/b/")]
    sent["tenants"].append(tenant("t2", "key-a"))
    assert findings(send(machine, "PUT", "5", sent)) == [
        "version: found 4, wanted one above 5",
        "route-table[0].timeout-ms: found 0, wanted a number above 0",
        'backends[0].connection-limit: found "x", wanted a whole number, 0 or more',
        'route-table[1]: found "gone", wanted a known service',
        "route-table[2]: same host and prefix as route-table[1]",
        "tenants[2].api-keys[0]: the same key as one of tenants[0]",
    ]


VALID = {
    "no routes": changed(**{"route-table": []}),
    "empty": {"version": 6, "route-table": [], "backends": []},
    "nulls": changed(tenants=None, limits=None),
    "fractions": with_route(**{"timeout-ms": 0.5, "target-latency-ms": 1.5, "attempt-limit": 2.0}),
    "split": with_route(**{"traffic-split": split(("model", 90.5), ("plain", 0))}),
    "split alone": changed(
        **{
            "route-table": [
                {"name": "a", "hostname": "h", "path-prefix": "/", "traffic-split": split(("plain", 1))}
            ]
        }
    ),
    "fewest fields": changed(
        **{
            "route-table": [{"name": "a", "hostname": "h", "path-prefix": "/", "backend": "b"}],
            "backends": [{"name": "b"}],
            "tenants": [{"name": "t"}],
        }
    ),
    "no quota": changed(tenants=[tenant("a", "k", **{"rate-per-s": 0}), tenant("b", **{"rate-per-s": None})]),
    "one tenant's key twice": changed(tenants=[tenant("a", "k", "k")]),
    "same name in two lists": changed(tenants=[tenant("model")]),
    "version as fraction": document(7, version=7.0),
    "mark of byte order": b"\xef\xbb\xbf" + json.dumps(document(7)).encode(),
}


@pytest.mark.parametrize("body", VALID.values(), ids=VALID.keys())
def test_a_valid_configuration_is_taken(machine: ConfigurationMachine, body: Any) -> None:
    assert send(machine, "PUT", "5", body).status == 200
    sent = json.loads(body) if isinstance(body, bytes) else body
    assert machine.document == sent
    assert machine.state.configuration().version == int(sent["version"])


def patch(version: int = 7, **changes: Any) -> dict[str, Any]:
    return {"version": version, **changes}


def test_a_patch_replaces_in_place_and_adds_last(machine: ConfigurationMachine) -> None:
    before = machine.state
    upsert = {"route-table": [route("new"), route("r0", priority=3)], "limits": {"idle-timeout-ms": 9}}
    assert send(machine, "PATCH", "5", patch(upsert=upsert, delete={"route-table": ["r-old"]})).status == 200
    expected = document(7)
    expected["route-table"] = [route("r0", priority=3), route("r1"), route("new")]
    expected["limits"]["idle-timeout-ms"] = 9
    assert machine.document == expected
    assert machine.state.routes["r1"] is before.routes["r1"]
    assert machine.state.routes["r0"].priority == 3
    assert machine.state.limits.idle_timeout_ms == 9
    assert before.routes["r0"].priority == 0


def test_a_patch_takes_items_away(machine: ConfigurationMachine) -> None:
    sent = patch(delete={"route-table": ["r0"], "tenants": ["t1"], "nothing": ["x"], "limits": ["none"]})
    assert send(machine, "PATCH", "5", sent).status == 200
    expected = document(7)
    del expected["route-table"][0], expected["tenants"][1]
    assert machine.document == expected
    assert list(machine.state.routes) == ["r1"]
    assert list(machine.state.tenants) == ["t0"]


INVALID_PATCHES = {
    "service in use": (patch(delete={"backends": ["model"]}), "route-table[r0]: found"),
    "service in use beside a split": (
        patch(
            upsert={"route-table": [route("a", backend="gone", **{"traffic-split": split(("model", 1))})]},
        ),
        'upsert.route-table[0]: found "gone"',
    ),
    "stale version": (patch(5), "version: found 5, wanted one above 5"),
    "no version": ({}, "version: missing"),
    "unknown service": (
        patch(upsert={"route-table": [route("a", backend="gone")]}),
        "upsert.route-table[0]: found",
    ),
    "doubled prefix": (
        patch(upsert={"route-table": [route("a", "/r1/")]}),
        "upsert.route-table[0]: same host and prefix as route-table[r1]",
    ),
    "shared key": (
        patch(upsert={"tenants": [tenant("t9", "key-c")]}),
        "upsert.tenants[0].api-keys[0]: the same key as one of tenants[t1]",
    ),
    "time-out 0": (
        patch(upsert={"route-table": [route("a", **{"timeout-ms": 0})]}),
        "upsert.route-table[0].timeout-ms: found 0",
    ),
    "doubled name": (
        patch(upsert={"backends": [service("a")] * 2}),
        "upsert.backends[1].name: the same name",
    ),
    "upsert and delete": (
        patch(upsert={"backends": [service("a")]}, delete={"backends": ["a"]}),
        'delete.backends[0]: "a" is in upsert as well',
    ),
    "limit": (patch(upsert={"limits": {"idle-timeout-ms": -1}}), "upsert.limits.idle-timeout-ms: found -1"),
    "object for a list": (patch(upsert={"backends": {}}), "upsert.backends: found {}, wanted a list"),
    "list for an object": (patch(upsert={"limits": []}), "upsert.limits: found [], wanted an object"),
    "version as section": (patch(upsert={"version": []}), "upsert.version: found []"),
    "upsert is no object": (patch(upsert=[]), "upsert: found [], wanted an object"),
    "names are no list": (
        patch(delete={"backends": "a"}),
        'delete.backends: found "a", wanted a list of names',
    ),
    "name is no string": (patch(delete={"backends": [3]}), "delete.backends[0]: found 3, wanted a name"),
    "unnamed": (patch(upsert={"other": [{}]}), "upsert.other[0].name: missing"),
}


@pytest.mark.parametrize("body, problem", INVALID_PATCHES.values(), ids=INVALID_PATCHES.keys())
def test_an_invalid_patch_is_refused_with_its_findings(
    machine: ConfigurationMachine, body: Any, problem: str
) -> None:
    reply = send(machine, "PATCH", "5", body)
    assert reply.status == 400
    assert any(problem in finding for finding in findings(reply)), findings(reply)
    assert machine.document == document(5)


def test_the_example_of_the_operators_page_is_taken() -> None:
    page = (Path(__file__).parents[2] / "docs/operate/configuration.md").read_text()
    body = page[page.index("-d '") + 4 : page.index("}'", page.index("-d '")) + 1]
    machine = ConfigurationMachine()
    send(machine, "PUT", "0", document(7, **{"backends": [service("model"), service("desk")]}))
    assert send(machine, "PATCH", "7", body.encode()).status == 200
    assert machine.state.routes["r-new"].targets == (("desk", 1),)


def test_a_service_and_its_routes_may_go_together(machine: ConfigurationMachine) -> None:
    sent = patch(delete={"route-table": ["r0", "r1"], "backends": ["model"]})
    assert send(machine, "PATCH", "5", sent).status == 200


def test_a_prefix_may_change_hands_in_one_patch(machine: ConfigurationMachine) -> None:
    sent = patch(upsert={"route-table": [route("r0", "/r1/"), route("r1", "/r0/")]})
    assert send(machine, "PATCH", "5", sent).status == 200


def test_a_follower_and_a_proxy_come_to_the_same_state(machine: ConfigurationMachine) -> None:
    follower = ConfigurationMachine()
    follower.restore(machine.snapshot())
    proxy = apply_frame(ConfigurationMachine().state, full_update(machine.state))
    order = Order("PATCH", "5", json.dumps(patch(upsert={"route-table": [route("new")]})).encode())
    update = machine.decide(encode(order)).update
    assert update is not None
    for replica in (machine, follower):
        replica.apply(update)
    proxy = apply_frame(proxy, update)
    assert machine.snapshot() == follower.snapshot()
    assert proxy.configuration() == machine.state.configuration()
    assert proxy.json() == machine.state.json()
    assert machine.decide(encode(order)).update is None
    assert follower.decide(encode(order)) == machine.decide(encode(order))


def test_a_patch_only_fits_its_base(machine: ConfigurationMachine) -> None:
    update = machine.decide(encode(Order("PATCH", "5", b'{"version": 7}'))).update
    assert update is not None
    with pytest.raises(UpdateOutOfOrder):
        apply_frame(ConfigurationMachine().state, update)
    machine.apply(update)
    with pytest.raises(UpdateOutOfOrder):
        machine.apply(update)


def test_the_state_of_a_snapshot_shares_what_is_the_same(machine: ConfigurationMachine) -> None:
    before = machine.state
    assert send(machine, "PATCH", "5", patch(upsert={"route-table": [route("r0", priority=3)]})).status == 200
    after = read_snapshot(machine.snapshot(), before)
    assert after.configuration() == machine.state.configuration()
    assert after.routes["r1"] is before.routes["r1"]


def test_a_snapshot_of_nothing() -> None:
    assert read_snapshot(b"").version == read_snapshot(ConfigurationMachine().snapshot()).version == 0
    machine = ConfigurationMachine()
    machine.restore(ConfigurationMachine().snapshot())
    machine.restore(b"")
    assert machine.version == 0
    assert send(machine, "PUT", "0", document(1)).status == 200
