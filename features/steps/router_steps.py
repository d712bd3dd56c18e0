"""Steps of the data plane's scenarios: a router among scripted peers on a fake clock."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cloverrouter.http.client import Failure
from tests.system.router_world import NOT_EXECUTED, SIGNED, World, event

STAMP = b"cypresswinch-server-signature"


def events(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))


@given("a configured router with three engines of each service")
def configured(context: Any) -> None:
    context.world = World().set_up()


@given("an empty retry budget")
def empty_budget(context: Any) -> None:
    context.world.budget.left = 0


@when('a user asks "{path}"')
def sends(context: Any, path: str) -> None:
    context.exchange = context.world.ask(path)


@when('a user sends a request with the key "{key}" to "{path}"')
def sends_with_key(context: Any, path: str, key: str) -> None:
    context.exchange = context.world.ask(path, key=key.encode())


@when('a user sends a request as tenant "{tenant}" for instance "{instance}" to "{path}"')
def sends_spoofed(context: Any, path: str, tenant: str, instance: str) -> None:
    context.exchange = context.world.ask(
        path,
        (b"cypresswinch-tenant", tenant.encode()),
        (b"cypresswinch-expected-instance", instance.encode()),
    )


@when("{count:d} more requests come")
def more_requests(context: Any, count: int) -> None:
    context.more = []
    for _ in range(count):
        context.world.ask("/once/x")
        context.more.append(context.world.last)


@when("the connection turns out to hold an answer to another request")
def spoilt(context: Any) -> None:
    context.world.last.write()
    context.world.last.fail(Failure.SPOILT)


@when("the connection breaks")
def breaks(context: Any) -> None:
    call = context.world.last
    if not call.written:
        call.write()
    call.fail(Failure.BROKEN)
    context.world.clock.pass_ms(100)


@when("the engine answers 421")
def misdirected(context: Any) -> None:
    context.world.last.answer(421, (b"cypresswinch-instance-id", b"another"))


@when('the engine answers 200 with "{body}"')
def answers(context: Any, body: str) -> None:
    context.world.last.answer(200, SIGNED, body=body.encode())


@when('the first engine answers 200 with "{body}"')
def first_answers(context: Any, body: str) -> None:
    context.world.calls[0].answer(200, SIGNED, body=body.encode())


@when("the engine answers 503 without running it")
def full(context: Any) -> None:
    context.world.last.answer(503, NOT_EXECUTED)


@when("every engine answers 503 without running it")
def all_full(context: Any) -> None:
    answered = None
    while context.exchange.status is None and context.world.last is not answered:
        answered = context.world.last
        answered.answer(503, NOT_EXECUTED)
        context.world.clock.pass_ms(100)


@when("the engine sends the events {first:d} to {last:d} and half of event {cut:d}")
def sends_cut_events(context: Any, first: int, last: int, cut: int) -> None:
    whole = event(cut)
    context.world.last.stream(events(first, last) + whole[: len(whole) // 2])


@when("the engine sends the events {first:d} to {last:d}")
def sends_events(context: Any, first: int, last: int) -> None:
    context.world.last.stream(events(first, last))


@when("the engine ends the stream")
def ends_stream(context: Any) -> None:
    context.world.last.end()


@when("the user leaves")
def leaves(context: Any) -> None:
    context.world.last.write()
    context.exchange.leave()


@when("the engine is told to be draining")
def drains(context: Any) -> None:
    context.world.last.write()
    place = int(context.world.last.instance[-1])
    context.world.router.servers_changed([context.world.server("desk", place, ready=False)])


@then("the user gets {status:d}")
def gets(context: Any, status: int) -> None:
    assert context.exchange.status == status, context.exchange.status


@then('the user gets {status:d} with "{body}"')
def gets_body(context: Any, status: int, body: str) -> None:
    assert (context.exchange.status, context.exchange.body) == (status, body.encode())


@then("the user gets {status:d} with a time to come back")
def gets_time(context: Any, status: int) -> None:
    assert context.exchange.status == status
    assert float(context.exchange.field(b"retry-after")) > 0


@then("no stamp of an engine")
def no_stamp(context: Any) -> None:
    assert context.exchange.field(STAMP) is None


@then("no engine has been sent anything")
def nothing_sent(context: Any) -> None:
    assert not context.world.calls


@then("{count:d} engine has been sent the request")
@then("{count:d} engines have been sent the request")
def sent(context: Any, count: int) -> None:
    assert len(context.world.calls) == count
    assert len({call.instance for call in context.world.calls}) == count


@then('the engine is told tenant "{tenant}"')
def told_tenant(context: Any, tenant: str) -> None:
    assert context.world.last.field(b"cypresswinch-tenant") == tenant.encode()


@then("the engine is told its own instance")
def told_instance(context: Any) -> None:
    call = context.world.last
    assert call.address == context.world.server("desk", int(call.instance[-1])).address


@then("the key is nowhere in what the engine gets")
def no_key(context: Any) -> None:
    assert all(b"key-of-a" not in value for _, value in context.world.last.fields)


@then("the first engine gets nothing more")
def first_gets_nothing(context: Any) -> None:
    first = context.world.calls[0].instance
    for _ in range(20):
        context.world.ask("/once/x")
        assert context.world.last.instance != first


@then("none of them goes to the first engine")
def none_goes(context: Any) -> None:
    first = context.world.calls[0].instance
    assert all(call.instance != first for call in context.more)


@then("the second engine is asked to continue after event {number:d}")
def continues(context: Any, number: int) -> None:
    assert len(context.world.calls) == 2
    assert context.world.last.field(b"last-event-id") == b"%d" % number


@then("the user has the events {first:d} to {last:d}, once each, and the first engine's stamp")
def has_events(context: Any, first: int, last: int) -> None:
    assert context.exchange.body == events(first, last)
    assert context.exchange.field(STAMP) == SIGNED[1]


@then("the answer is complete")
def complete(context: Any) -> None:
    assert context.exchange.ended


@then("the answer is torn off")
def torn(context: Any) -> None:
    assert context.exchange.aborted
    assert not context.exchange.ended


@then("the engine's call is cancelled")
def cancelled(context: Any) -> None:
    assert context.world.last.cancelled


@then("nothing is under way")
def idle(context: Any) -> None:
    assert context.world.router.in_flight == 0
