"""Steps of answers and repeats: a router over connections that are used again, and servers that misbehave."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from tests.system.reuse_world import STAMP, ReuseWorld, answer, chunk, refusal, stream_head
from tests.system.router_world import event

SIGNATURE = b"cypresswinch-server-signature"
ASKS_AT_MOST = 20


def world_of(context: Any) -> ReuseWorld:
    found: ReuseWorld = context.reuse
    return found


@given("two servers of each service, with used connections that rest")
def set_up(context: Any) -> None:
    context.reuse = ReuseWorld()
    context.sends_before = 0


@given("requests go out slowly")
def slow(context: Any) -> None:
    world_of(context).pool.blocked = True


@when("a {kind} is asked")
def asked(context: Any, kind: str) -> None:
    world = world_of(context)
    context.sends_before = len(world.pool.sent)
    context.opened_before = world.pool.opened
    world.ask_kind(kind)
    context.first = world.wire


@when("another {kind} is asked of the same server")
def asked_again(context: Any, kind: str) -> None:
    """Others may come first, and are answered."""
    world = world_of(context)
    address = world.wire.address
    context.before = world.request
    for _ in range(ASKS_AT_MOST):
        asked(context, kind)
        if world.wire.address == address:
            return
        context.elsewhere = True
        world.wire.send_bytes(answer(world.request))
    raise AssertionError("the server is not asked any more")


@when('its server answers "{body}"')
def answers(context: Any, body: str) -> None:
    world = world_of(context)
    context.answered = answer(world.request, body.encode())
    world.wire.send_bytes(context.answered)


@when('the rest goes out and its server answers "{body}"')
def rest_and_answer(context: Any, body: str) -> None:
    world_of(context).wire.finish_request()
    answers(context, body)


@when('its server answers "{body}" and the same again')
def answers_twice(context: Any, body: str) -> None:
    world = world_of(context)
    world.wire.send_bytes(answer(world.request, body.encode()) * 2)


@when("later its server answers the same again")
def answers_later(context: Any) -> None:
    world = world_of(context)
    world.clock.pass_ms(50)
    world.wire.send_bytes(context.answered)


@when("an extra answer lies unread on the connection")
def lies_unread(context: Any) -> None:
    world_of(context).wire.socket.unread = context.answered


@when("its server answers the request before it once more")
def answers_before(context: Any) -> None:
    world = world_of(context)
    world.wire.send_bytes(answer(context.before))
    world.clock.pass_ms(100)


@when("its server answers for another request")
def answers_another(context: Any) -> None:
    world_of(context).wire.send_bytes(answer(b"another"))


@when("its server answers with no id")
def answers_no_id(context: Any) -> None:
    world = world_of(context)
    named = b"Cypresswinch-Attempt-Id: %b\r\n" % world.request
    world.wire.send_bytes(answer(world.request).replace(named, b""))


@when("its server answers with its id twice")
def answers_id_twice(context: Any) -> None:
    world = world_of(context)
    again = b"Cypresswinch-Attempt-Id: %b" % world.request
    world.wire.send_bytes(answer(world.request, b"body", 200, again))


@when("its server answers with its id and another")
def answers_two_ids(context: Any) -> None:
    world = world_of(context)
    world.wire.send_bytes(answer(world.request, b"body", 200, b"Cypresswinch-Attempt-Id: another"))


@when("the server takes {seconds:g} s")
def passes(context: Any, seconds: float) -> None:
    world_of(context).clock.pass_ms(seconds * 1000)


@when("its client leaves")
def client_leaves(context: Any) -> None:
    world = world_of(context)
    assert world.exchange is not None
    world.exchange.leave()


@when('its server answers "{body}" without a length and closes')
def answers_unframed(context: Any, body: str) -> None:
    world = world_of(context)
    world.wire.send_bytes(answer(world.request, body.encode(), 200, b"Connection: close", length=False))
    world.wire.close()


@when('its server answers "{body}" without a length or a word, and closes')
def answers_unframed_silently(context: Any, body: str) -> None:
    world = world_of(context)
    world.wire.send_bytes(answer(world.request, body.encode(), 200, length=False))
    world.wire.close()


@when('its server answers "{body}" without a length and resets the connection')
def answers_unframed_and_resets(context: Any, body: str) -> None:
    world = world_of(context)
    wire = world.wire
    wire.send_bytes(answer(world.request, body.encode(), 200, b"Connection: close", length=False))
    wire.reset()
    world.clock.pass_ms(100)


@when("its server says that it did not run it")
def refuses(context: Any) -> None:
    world = world_of(context)
    world.wire.send_bytes(refusal(world.request))


@when("its server answers 503 without saying that it did not run it")
def promises_nothing(context: Any) -> None:
    world = world_of(context)
    world.wire.send_bytes(answer(world.request, b"", 503))


@when("its server resets the connection")
def server_resets(context: Any) -> None:
    world = world_of(context)
    world.wire.reset()
    world.clock.pass_ms(100)


@when("its server sends half of an answer and closes the connection")
def half_and_close(context: Any) -> None:
    world = world_of(context)
    world.wire.send_bytes(answer(world.request, b"whole")[:-2])
    world.wire.close()


@when("its server sends half of an answer and resets the connection")
def half_and_reset(context: Any) -> None:
    world = world_of(context)
    world.wire.send_bytes(answer(world.request, b"whole")[:-2])
    world.wire.reset()


def events(first: int, last: int) -> bytes:
    return b"".join(event(number) for number in range(first, last + 1))


@when("its server sends events {first:d} to {last:d} and half of the next")
def sends_cut(context: Any, first: int, last: int) -> None:
    world = world_of(context)
    half = event(last + 1)[:8]
    world.wire.send_bytes(stream_head(world.request) + chunk(events(first, last) + half))


@when("its server sends events {first:d} to {last:d} and the end")
def sends_to_the_end(context: Any, first: int, last: int) -> None:
    world = world_of(context)
    world.wire.send_bytes(stream_head(world.request) + chunk(events(first, last)) + b"0\r\n\r\n")


@when("its server sends events {first:d} to {last:d} for another request")
def sends_for_another(context: Any, first: int, last: int) -> None:
    world = world_of(context)
    while not world.exchange_is_done():
        world.wire.send_bytes(stream_head(b"another") + chunk(events(first, last)) + b"0\r\n\r\n")
        world.clock.pass_ms(500)


@then("it went out on a used connection")
def on_used(context: Any) -> None:
    world = world_of(context)
    assert world.pool.opened == context.opened_before
    assert len(world.wire.requests) > 1


@then("it went out on a new connection")
def on_new(context: Any) -> None:
    world = world_of(context)
    assert world.wire.requests == [world.request]


@then('its client gets "{body}"')
def client_gets(context: Any, body: str) -> None:
    exchange = world_of(context).exchange
    assert exchange is not None
    assert (exchange.status, exchange.body, exchange.ended) == (200, body.encode(), True), exchange.status
    assert exchange.field(SIGNATURE) == STAMP


@then("its client gets {status:d} without a stamp")
def client_gets_failure(context: Any, status: int) -> None:
    exchange = world_of(context).exchange
    assert exchange is not None
    assert (exchange.status, exchange.body) == (status, b""), (exchange.status, exchange.body)
    assert exchange.field(SIGNATURE) is None
    context.answer_before = (exchange.status, exchange.body)


@then("its client got nothing more")
def nothing_more(context: Any) -> None:
    exchange = world_of(context).exchange
    assert exchange is not None
    before = getattr(context, "answer_before", (None, b""))
    assert (exchange.status, exchange.body) == before


@then("nothing was sent twice")
@then("it was sent once")
def sent_once(context: Any) -> None:
    assert len(world_of(context).pool.sent) == context.sends_before + 1


@then("it is sent to the other server")
def sent_elsewhere(context: Any) -> None:
    world = world_of(context)
    sent = world.pool.sent[context.sends_before :]
    assert len(sent) == 2
    assert sent[0].address != sent[1].address


@then("its connection is closed")
@then("the connection to the first is closed")
def connection_closed(context: Any) -> None:
    assert context.first.transport.aborted


@then("its answer is torn off")
def torn_off(context: Any) -> None:
    exchange = world_of(context).exchange
    assert exchange is not None
    assert exchange.aborted
    assert not exchange.ended


@then("its client has the events {first:d} to {last:d}, once each")
def client_has_events(context: Any, first: int, last: int) -> None:
    exchange = world_of(context).exchange
    assert exchange is not None
    assert exchange.body == events(first, last), exchange.body
