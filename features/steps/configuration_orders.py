"""Steps of the operator's orders: two replicas, the first of them the head, without anything between them."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when

from cloverrouter.control.orders import ConfigurationMachine, Order, OrderReply
from cloverrouter.control.updates import decode_message
from cloverrouter.messages.codec import encode
from tests.system.configurations import document, findings, route, split, tenant


def place_order(context: Any, order: Order, replicas: tuple[ConfigurationMachine, ...]) -> None:
    decision = context.head.decide(encode(order))
    if decision.update is not None:
        for replica in replicas:
            replica.apply(decision.update)
    context.order, context.reply = order, decode_message(decision.reply, OrderReply)


def put(context: Any, base: int | None, body: bytes) -> None:
    if_match = None if base is None else str(base)
    place_order(context, Order("PUT", if_match, body), (context.head, context.follower))


def with_item(version: int, section: str, item: dict[str, Any]) -> bytes:
    found = document(version)
    found[section].append(item)
    return json.dumps(found).encode()


@given("a configuration of version {version:d} is in force")
def step_in_force(context: Any, version: int) -> None:
    context.head, context.follower = ConfigurationMachine(), ConfigurationMachine()
    put(context, 0, json.dumps(document(version)).encode())


@when("the operator puts version {version:d} on top of {base:d}")
def step_put(context: Any, version: int, base: int) -> None:
    put(context, base, json.dumps(document(version)).encode())


@when("the operator puts version {version:d} on top of nothing")
def step_put_without_base(context: Any, version: int) -> None:
    put(context, None, json.dumps(document(version)).encode())


@when("the operator puts version {version:d} on top of {base:d}, cut short")
def step_put_cut_short(context: Any, version: int, base: int) -> None:
    put(context, base, json.dumps(document(version)).encode()[:-20])


@when("the operator puts version {version:d} on top of {base:d}, of which no other replica hears")
def step_put_unheard(context: Any, version: int, base: int) -> None:
    order = Order("PUT", str(base), json.dumps(document(version)).encode())
    place_order(context, order, (context.head,))


@when('the operator puts version {version:d} on top of {base:d} with a route to the service "{service}"')
def step_put_route_to(context: Any, version: int, base: int, service: str) -> None:
    put(context, base, with_item(version, "route-table", route("x", backend=service)))


@when('the operator puts version {version:d} on top of {base:d} with a second route for "{prefix}"')
def step_put_second_route(context: Any, version: int, base: int, prefix: str) -> None:
    put(context, base, with_item(version, "route-table", route("x", prefix)))


@when('the operator puts version {version:d} on top of {base:d} with a second tenant for "{key}"')
def step_put_second_tenant(context: Any, version: int, base: int, key: str) -> None:
    put(context, base, with_item(version, "tenants", tenant("x", key)))


@when("the operator puts version {version:d} on top of {base:d} with a route whose weights are 0")
def step_put_weights(context: Any, version: int, base: int) -> None:
    item = route("x", **{"traffic-split": split(("model", 0), ("plain", 0))})
    put(context, base, with_item(version, "route-table", item))


@when("the operator puts version {version:d} on top of {base:d} with a route whose time-out is 0")
def step_put_timeout(context: Any, version: int, base: int) -> None:
    put(context, base, with_item(version, "route-table", route("x", **{"timeout-ms": 0})))


@when('the operator patches version {base:d} to {version:d}, adding the route "{name}"')
def step_patch_add(context: Any, base: int, version: int, name: str) -> None:
    patch(context, base, {"version": version, "upsert": {"route-table": [route(name)]}})


@when('the operator patches version {base:d} to {version:d}, deleting the service "{name}"')
def step_patch_delete(context: Any, base: int, version: int, name: str) -> None:
    patch(context, base, {"version": version, "delete": {"backends": [name]}})


def patch(context: Any, base: int, body: dict[str, Any]) -> None:
    order = Order("PATCH", str(base), json.dumps(body).encode())
    place_order(context, order, (context.head, context.follower))


@when("the same order is sent again")
def step_again(context: Any) -> None:
    place_order(context, context.order, (context.head, context.follower))


@when("the operator remembers that order")
def step_remember(context: Any) -> None:
    context.remembered = context.order


@when("the remembered order is sent again")
def step_again_remembered(context: Any) -> None:
    place_order(context, context.remembered, (context.head, context.follower))


@when("the other replica becomes the head")
def step_new_head(context: Any) -> None:
    context.head, context.follower = context.follower, ConfigurationMachine()
    context.follower.restore(context.head.snapshot())


@then('the order is refused as invalid: "{finding}"')
def step_invalid(context: Any, finding: str) -> None:
    assert context.reply.status == 400, context.reply
    assert any(finding in found for found in findings(context.reply)), context.reply


@then("the order is refused because version {version:d} is current")
def step_other_version(context: Any, version: int) -> None:
    assert (context.reply.status, context.reply.version) == (412, version), context.reply


@then("the order is refused for want of a base")
def step_no_base(context: Any) -> None:
    assert context.reply.status == 428, context.reply


@then("the order is acknowledged with version {version:d}")
def step_acknowledged(context: Any, version: int) -> None:
    assert context.reply.status == 200, context.reply
    assert json.loads(context.reply.body) == {"version": version}


@then("version {version:d} is in force")
def step_version(context: Any, version: int) -> None:
    assert context.head.version == context.follower.version == version
    assert context.head.snapshot() == context.follower.snapshot()


@then("version {version:d} stays in force unchanged")
def step_unchanged(context: Any, version: int) -> None:
    assert context.head.document == context.follower.document == document(version)
