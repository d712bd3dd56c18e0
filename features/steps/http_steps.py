"""Steps of the HTTP parts' scenarios: their parsers, fed by hand."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cloverrouter.http.call import Failure
from tests.system.http_world import parse_requests, receive_response


def plain(text: str) -> bytes:
    return text.replace("\\r", "\r").replace("\\n", "\n").encode()


def whole(request_id: str) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: 4\r\n\r\nbody" % request_id.encode()


@when('a client sends a request with {fields} and the body "{body}"')
def sends(context: Any, fields: str, body: str) -> None:
    lines = b"".join(plain(field) + b"\r\n" for field in fields.split(" and "))
    context.found = parse_requests([b"POST /a HTTP/1.1\r\nHost: x\r\n%b\r\n%b" % (lines, plain(body))])


@when('a client sends a request with {fields} and the body ""')
def sends_head(context: Any, fields: str) -> None:
    sends(context, fields, "")


@when("a client sends {count:d} bytes of a head that does not end")
def sends_without_end(context: Any, count: int) -> None:
    context.found = parse_requests([b"GET /a HTTP/1.1\r\nA: ", *[b"a" * 1000] * (count // 1000)])


@then("nothing is handed over")
def nothing(context: Any) -> None:
    assert context.found[0] == []


@then("the client gets {status:d}")
def gets(context: Any, status: int) -> None:
    assert context.found[1] == status, context.found


@given('a call that waits for the answer to "{request_id}"')
def waits(context: Any, request_id: str) -> None:
    context.id = request_id.encode()


@when('the server sends a whole answer to "{first}" and one to "{second}"')
def two_answers(context: Any, first: str, second: str) -> None:
    context.answered, context.owner = receive_response([whole(first) + whole(second)], context.id)


@when('the server sends a whole answer to "{request_id}"')
def whole_answer(context: Any, request_id: str) -> None:
    context.answered, context.owner = receive_response([whole(request_id)], context.id)


@when('the server sends half an answer to "{request_id}" and ends the connection')
def half_answer(context: Any, request_id: str) -> None:
    context.answered, context.owner = receive_response([whole(request_id)[:-2]], context.id)


@when('the server sends an answer to "{request_id}" without a length and ends the connection')
def no_length(context: Any, request_id: str) -> None:
    message = whole(request_id).replace(b"Content-Length: 4\r\n", b"")
    context.answered, context.owner = receive_response([message], context.id)


@then("the call is told of a whole answer")
def told_whole(context: Any) -> None:
    assert context.answered.events == ["written", "head", "data", "end"] and context.answered.body == b"body"


@then("the call is told of no answer, and that it may have run")
def told_nothing(context: Any) -> None:
    assert context.answered.events == ["written", "failure"]
    assert context.answered.failure is Failure.SPOILT


@then("the call is told that it may have run")
def told_broken(context: Any) -> None:
    assert context.answered.failure is Failure.BROKEN and "end" not in context.answered.events


@then("the connection is used again")
def used_again(context: Any) -> None:
    assert context.owner.returned_count == 1


@then("the connection is not used again")
def not_used_again(context: Any) -> None:
    assert context.owner.returned_count == 0
