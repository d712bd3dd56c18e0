"""Bytes of every kind and cut: what the parsers of the server and the client make of them."""

from __future__ import annotations

from hypothesis import example, given
from hypothesis import strategies as st

from cloverrouter.http.answer import Failure
from cloverrouter.http.fields import encode_answer, end_to_end, first
from cloverrouter.http.request import ServerLimits
from tests.system.http_world import answered_by, chunked, cut, read

NAMES = st.sampled_from([b"X-A", b"x-b", b"Accept", b"Authorization"])
VALUES = st.binary(max_size=20).map(lambda raw: bytes(33 + byte % 90 for byte in raw))
FIELDS = st.lists(st.tuples(NAMES, VALUES), max_size=4)


@st.composite
def requests(draw: st.DrawFn) -> tuple[bytes, bytes, bytes]:
    """The bytes of a request, its target and its body."""
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
    sent: list[tuple[bytes, bytes, bytes]], places: list[int]
) -> None:
    message = b"".join(part for part, _, _ in sent)
    whole, error = read([message])
    assert error == 0
    assert [(request.target, request.body) for request in whole] == [(t, b) for _, t, b in sent]
    assert read(cut(message, places)) == (whole, 0)


@given(requests(), st.integers(0, 10_000), st.binary(min_size=1, max_size=6), st.integers(0, 10_000))
def test_no_bytes_escape_the_reader(
    sent: tuple[bytes, bytes, bytes], at: int, noise: bytes, place: int
) -> None:
    message = sent[0]
    at %= len(message)
    spoilt = message[:at] + noise + message[at:]
    found, error = read(cut(spoilt, [place]))
    assert error in (0, 400, 413, 431)
    assert all(request.target.startswith(b"/") for request in found)


@given(st.binary(max_size=400), st.lists(st.integers(0, 10_000), max_size=4))
def test_any_bytes_are_read_or_refused(noise: bytes, places: list[int]) -> None:
    assert read(cut(noise, places))[1] in (0, 400, 413, 431)


@given(st.integers(1, 3000), st.lists(st.integers(0, 10_000), max_size=6))
def test_limit_of_a_head_holds_however_it_is_split(size: int, places: list[int]) -> None:
    message = b"GET / HTTP/1.1\r\nHost: x\r\nA: %b\r\n\r\n" % (b"a" * size)
    found, error = read(cut(message, places), ServerLimits(head_bytes=1000))
    if size > 1000:
        assert (found, error) == ([], 431)
    elif size < 900:
        assert len(found) == 1 and error == 0


@st.composite
def answers(draw: st.DrawFn) -> tuple[bytes, bytes, bool]:
    """The bytes of an answer, its body, and whether its connection goes on."""
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
    sent: tuple[bytes, bytes, bool], places: list[int]
) -> None:
    message, body, goes_on = sent
    answered, owner = answered_by(cut(message, places), b"7")
    assert (answered.status, answered.body, answered.told[-1]) == (200, body, "end")
    assert owner.kept == goes_on


@given(answers(), st.integers(0, 10_000), st.lists(st.integers(0, 10_000), max_size=6))
def test_part_of_an_answer_is_never_whole(
    sent: tuple[bytes, bytes, bool], end: int, places: list[int]
) -> None:
    message, _, goes_on = sent
    part = message[: end % len(message)]
    answered, owner = answered_by(cut(part, places), b"7")
    if goes_on:  # else the connection's end is the answer's
        assert answered.failure is Failure.BROKEN
    assert owner.kept == 0


@given(answers(), st.lists(st.integers(0, 10_000), max_size=6))
def test_answer_to_another_request_is_never_told(sent: tuple[bytes, bytes, bool], places: list[int]) -> None:
    answered, owner = answered_by(cut(sent[0], places), b"8")
    assert answered.told == ["written", "failure"] and answered.failure is Failure.SPOILT
    assert owner.kept == 0


@given(st.binary(max_size=400), st.lists(st.integers(0, 10_000), max_size=4))
@example(b"HTTP/1.0 200\r\n!:\r\n\r\n", [])
def test_noise_is_never_an_answer(noise: bytes, places: list[int]) -> None:
    answered, owner = answered_by(cut(noise, places))
    assert answered.told == ["written", "failure"] and owner.kept == 0


# Heads


def test_fields_of_one_connection_are_not_passed_on() -> None:
    headers = [(b"connection", b"close, X-One"), (b"x-one", b"1"), (b"x-two", b"2"), (b"te", b"trailers"),
               (b"content-length", b"5"), (b"x-two", b"3"), (b"keep-alive", b"timeout=5")]  # fmt: skip
    assert end_to_end(headers) == [(b"x-two", b"2"), (b"x-two", b"3")]
    assert first(headers, b"x-two") == b"2" and first(headers, b"x-three") is None


def test_unknown_status_has_words_too() -> None:
    assert encode_answer(299, b"") == b"HTTP/1.1 299 Error\r\nContent-Length: 0\r\n\r\n"
