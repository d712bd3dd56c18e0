"""Property tests of the HTTP parsers: random bytes, split at random places."""

from __future__ import annotations

from hypothesis import example, given
from hypothesis import strategies as st

from cloverrouter.http.call import Failure
from cloverrouter.http.fields import encode_response, end_to_end, first
from cloverrouter.http.request import ServerLimits
from tests.system.http_world import chunked, parse_requests, receive_response, split_message

NAMES = st.sampled_from([b"X-A", b"x-b", b"Accept", b"Authorization"])
VALUES = st.binary(max_size=20).map(lambda raw: bytes(33 + byte % 90 for byte in raw))
FIELDS = st.lists(st.tuples(NAMES, VALUES), max_size=4)


@st.composite
def requests(draw: st.DrawFn) -> tuple[bytes, bytes, bytes]:
    """Draws the bytes of a request, its target and its body."""
    target = b"/" + draw(st.text("abc/?=&%2", max_size=12)).encode()
    lines = b"".join(b"%b: %b\r\n" % field for field in draw(FIELDS))
    pieces = draw(st.lists(st.binary(max_size=30), max_size=3))
    body = b"".join(pieces)
    if draw(st.booleans()):
        framing, sent = b"Transfer-Encoding: chunked\r\n", chunked(pieces)
    else:
        framing, sent = b"Content-Length: %d\r\n" % len(body), body
    return b"POST %b HTTP/1.1\r\nHost: x\r\n%b%b\r\n%b" % (target, lines, framing, sent), target, body


@given(st.lists(requests(), min_size=1, max_size=3), st.lists(st.integers(0, 10_000), max_size=12))
def test_requests_do_not_depend_on_how_their_bytes_are_split(
    sent: list[tuple[bytes, bytes, bytes]], offsets: list[int]
) -> None:
    message = b"".join(part for part, _, _ in sent)
    whole, error = parse_requests([message])
    assert error == 0
    assert [(request.target, request.body) for request in whole] == [(t, b) for _, t, b in sent]
    assert parse_requests(split_message(message, offsets)) == (whole, 0)


@given(requests(), st.integers(0, 10_000), st.binary(min_size=1, max_size=6), st.integers(0, 10_000))
def test_corrupted_request_is_parsed_or_rejected(
    sent: tuple[bytes, bytes, bytes], at: int, noise: bytes, offset: int
) -> None:
    message = sent[0]
    at %= len(message)
    spoilt = message[:at] + noise + message[at:]
    found, error = parse_requests(split_message(spoilt, [offset]))
    assert error in (0, 400, 413, 431)
    assert all(request.target.startswith(b"/") for request in found)


@given(st.binary(max_size=400), st.lists(st.integers(0, 10_000), max_size=4))
def test_any_bytes_are_read_or_refused(noise: bytes, offsets: list[int]) -> None:
    assert parse_requests(split_message(noise, offsets))[1] in (0, 400, 413, 431)


@given(st.integers(1, 3000), st.lists(st.integers(0, 10_000), max_size=6))
def test_limit_of_a_head_holds_however_it_is_split(size: int, offsets: list[int]) -> None:
    message = b"GET / HTTP/1.1\r\nHost: x\r\nA: %b\r\n\r\n" % (b"a" * size)
    found, error = parse_requests(split_message(message, offsets), ServerLimits(head_bytes=1000))
    if size > 1000:
        assert (found, error) == ([], 431)
    elif size < 900:
        assert len(found) == 1 and error == 0


@st.composite
def answers(draw: st.DrawFn) -> tuple[bytes, bytes, bool]:
    """Draws the bytes of a response, its body, and whether its connection can be reused."""
    lines = b"".join(b"%b: %b\r\n" % field for field in draw(FIELDS))
    pieces = draw(st.lists(st.binary(max_size=30), max_size=3))
    body = b"".join(pieces)
    framing = draw(st.sampled_from(["length", "chunks", "end"]))
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" * draw(st.integers(0, 2))
    head = b"HTTP/1.1 200 OK\r\nX-Id: 7\r\n%b" % lines
    if framing == "length":
        return interim + head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body), body, True
    if framing == "chunks":
        return interim + head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(pieces), body, True
    return interim + head + b"Connection: close\r\n\r\n" + body, body, False


@given(answers(), st.lists(st.integers(0, 10_000), max_size=12))
def test_answers_do_not_depend_on_how_their_bytes_are_split(
    sent: tuple[bytes, bytes, bool], offsets: list[int]
) -> None:
    message, body, is_reusable = sent
    recorder, owner = receive_response(split_message(message, offsets), b"7")
    assert (recorder.status, recorder.body, recorder.events[-1]) == (200, body, "end")
    assert owner.returned_count == is_reusable


@given(answers(), st.integers(0, 10_000), st.lists(st.integers(0, 10_000), max_size=6))
def test_part_of_an_answer_is_never_whole(
    sent: tuple[bytes, bytes, bool], end: int, offsets: list[int]
) -> None:
    message, _, is_reusable = sent
    part = message[: end % len(message)]
    recorder, owner = receive_response(split_message(part, offsets), b"7")
    if is_reusable:  # otherwise the close of the connection ends the response
        assert recorder.failure is Failure.BROKEN
    assert owner.returned_count == 0


@given(answers(), st.lists(st.integers(0, 10_000), max_size=6))
def test_answer_to_another_request_is_never_delivered(
    sent: tuple[bytes, bytes, bool], offsets: list[int]
) -> None:
    recorder, owner = receive_response(split_message(sent[0], offsets), b"8")
    assert recorder.events == ["written", "failure"] and recorder.failure is Failure.SPOILT
    assert owner.returned_count == 0


@given(st.binary(max_size=400), st.lists(st.integers(0, 10_000), max_size=4))
@example(b"HTTP/1.0 200\r\n!:\r\n\r\n", [])
def test_random_bytes_are_never_a_response(noise: bytes, offsets: list[int]) -> None:
    recorder, owner = receive_response(split_message(noise, offsets))
    assert recorder.events == ["written", "failure"] and owner.returned_count == 0


# Heads


def test_fields_of_one_connection_are_not_passed_on() -> None:
    headers = [(b"connection", b"close, X-One"), (b"x-one", b"1"), (b"x-two", b"2"), (b"te", b"trailers"),
               (b"content-length", b"5"), (b"x-two", b"3"), (b"keep-alive", b"timeout=5")]  # fmt: skip
    assert end_to_end(headers) == [(b"x-two", b"2"), (b"x-two", b"3")]
    assert first(headers, b"x-two") == b"2" and first(headers, b"x-three") is None


def test_unknown_status_has_a_reason_phrase() -> None:
    assert encode_response(299, b"") == b"HTTP/1.1 299 Error\r\nContent-Length: 0\r\n\r\n"
