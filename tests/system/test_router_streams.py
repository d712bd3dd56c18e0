"""Streams that are resumed at another server within one answer, and the splitting of bytes into events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.http.client import Failure
from cloverrouter.router.events import MAX_EVENT_BYTES, EventSplitter, event_id, is_after
from tests.system.router_world import EVENTS, NOT_EXECUTED, SIGNED, World, event


@pytest.fixture
def world() -> World:
    return World().set_up()


def test_a_stream_cut_inside_an_event_is_continued(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.stream(event(1), event(2), event(3)[:9])
    assert exchange.body == event(1) + event(2)
    world.last.fail(Failure.BROKEN)
    assert len(world.calls) == 2
    assert world.last.field(b"last-event-id") == b"2"
    assert world.last.instance != world.calls[0].instance
    world.last.head(200, (b"cypresswinch-server-signature", b"stamp-2"), EVENTS)
    world.last.data(event(3))
    world.last.data(event(4))
    world.last.end()
    assert exchange.ended
    assert exchange.body == event(1) + event(2) + event(3) + event(4)
    assert exchange.field(b"cypresswinch-server-signature") == b"stamp-1"


def test_a_stream_is_continued_more_than_once(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.stream(event(1))
    world.last.fail(Failure.BROKEN)
    world.last.stream(event(2))
    world.last.fail(Failure.SPOILT)
    world.clock.pass_ms(100)
    assert world.last.field(b"last-event-id") == b"2"
    world.last.stream(event(3))
    world.last.end()
    assert exchange.body == event(1) + event(2) + event(3)
    assert exchange.ended


def test_events_that_the_client_has_are_not_passed_on_again(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.stream(event(9), event(10))
    world.last.fail(Failure.BROKEN)
    world.last.stream(event(9) + event(10) + event(11), event(12))
    world.last.end()
    assert exchange.body == event(9) + event(10) + event(11) + event(12)


def test_a_client_s_own_last_event_id_is_passed_on(world: World) -> None:
    world.ask("/resume/x", (b"last-event-id", b"41"))
    assert world.last.field(b"last-event-id") == b"41"
    world.last.fail(Failure.CONNECT_FAILED)
    assert world.last.field(b"last-event-id") == b"41"
    world.ask("/talk/x", (b"last-event-id", b"3"))
    assert world.last.field(b"last-event-id") == b"3"


def test_a_stream_that_may_not_be_continued_is_aborted(world: World) -> None:
    exchange = world.ask("/talk/x")
    world.last.stream(event(1), event(2)[:5])
    world.last.fail(Failure.BROKEN)
    assert exchange.aborted
    assert not exchange.ended
    assert len(world.calls) == 1


def test_a_stream_that_nobody_can_continue_is_aborted(world: World) -> None:
    world.budget.left = 0
    exchange = world.ask("/resume/x")
    world.last.stream(event(1))
    world.last.fail(Failure.BROKEN)
    assert exchange.aborted
    assert exchange.status == 200


def test_a_refusal_inside_a_stream_goes_to_the_next_server(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.stream(event(1))
    world.last.fail(Failure.BROKEN)
    world.last.answer(503, NOT_EXECUTED)
    assert len(world.calls) == 3
    world.last.stream(event(2))
    world.last.end()
    assert exchange.body == event(1) + event(2)


@pytest.mark.parametrize("status", [200, 500])
def test_what_is_no_continuation_is_not_joined(world: World, status: int) -> None:
    world.budget.left = 1
    exchange = world.ask("/resume/x")
    world.last.stream(event(1))
    world.last.fail(Failure.BROKEN)
    world.last.answer(status, SIGNED, body=b"plain")
    world.clock.pass_ms(1000)
    assert exchange.aborted
    assert exchange.body == event(1)


@pytest.mark.parametrize(
    ("status", "fields"), [(206, (SIGNED, EVENTS)), (200, (SIGNED, (b"content-type", b"text/plain")))]
)
def test_a_long_answer_that_is_no_continuation_is_not_joined(
    world: World, status: int, fields: tuple[tuple[bytes, bytes], ...]
) -> None:
    """An event stream with another status, and a body without events that is too long to be buffered."""
    world.budget.left = 1
    exchange = world.ask("/resume/x")
    world.last.stream(event(1))
    world.last.fail(Failure.BROKEN)
    call = world.last
    call.head(status, *fields, length=None if EVENTS in fields else 10**6)
    call.data(event(2))
    world.clock.pass_ms(1000)
    assert call.cancelled
    assert exchange.aborted
    assert exchange.body == event(1)


def test_events_without_ids_cannot_be_continued(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.stream(event(1), b"data: no id\n\n")
    world.last.fail(Failure.BROKEN)
    assert exchange.aborted


def test_comments_between_events_do_no_harm(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.stream(event(1), b": still here\n\n")
    world.last.fail(Failure.BROKEN)
    assert world.last.field(b"last-event-id") == b"1"
    assert not exchange.aborted


def test_a_stream_that_goes_on_past_its_deadline_is_aborted(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.stream(event(1))
    world.clock.pass_ms(2100)
    assert exchange.aborted
    assert world.last.cancelled


def test_a_paused_client_pauses_the_server_that_continues(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.stream(event(1))
    exchange.paused = True
    world.last.fail(Failure.BROKEN)
    world.last.head(200, SIGNED, EVENTS)
    assert world.last.pauses == ["pause"]


def test_what_is_left_at_an_orderly_end_is_passed_on(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.stream(event(1), b"id: 2\ndata: unended")
    world.last.end()
    assert exchange.body == event(1) + b"id: 2\ndata: unended"
    assert exchange.ended


LINE_ENDS = st.sampled_from([b"\n", b"\r\n"])
FIELDS = st.sampled_from([b"data: x", b"id: 7", b"id:8", b": note", b"versions: 3", b"data:", b"event: y"])

TAILS = st.sampled_from([b"", b"i", b"id: 9", b"data: hal", b": half a note"])  # beginnings of an event


@st.composite
def streams(draw: st.DrawFn) -> tuple[list[bytes], bytes]:
    """Complete events, and all their bytes."""
    end = draw(LINE_ENDS)
    lines = draw(st.lists(st.lists(FIELDS, min_size=1, max_size=4), min_size=1, max_size=8))
    events = [b"".join(field + end for field in fields) + end for fields in lines]
    return events, b"".join(events)


@given(streams(), st.lists(st.integers(0, 400), max_size=12), TAILS)
def test_events_do_not_depend_on_how_their_bytes_are_split(
    stream: tuple[list[bytes], bytes], cuts: list[int], tail: bytes
) -> None:
    events, data = stream
    data += tail
    splitter = EventSplitter()
    found: list[bytes] = []
    start = 0
    for cut in [*sorted(min(cut, len(data)) for cut in cuts), len(data)]:
        found += splitter.feed(data[start:cut])
        start = cut
    assert b"".join(found) + splitter.remainder == data
    # A line end may become the beginning of the next event, where it has no meaning.
    assert [one.strip(b"\r\n") for one in found] == [one.strip(b"\r\n") for one in events]


@given(st.binary(max_size=60), st.lists(st.integers(0, 60), max_size=6))
def test_no_byte_of_whatever_comes_is_lost(data: bytes, cuts: list[int]) -> None:
    splitter = EventSplitter()
    found = b""
    start = 0
    for cut in [*sorted(min(cut, len(data)) for cut in cuts), len(data)]:
        found += b"".join(splitter.feed(data[start:cut]))
        start = cut
    assert found + splitter.remainder == data


@pytest.mark.parametrize(
    ("data", "found"),
    [
        (b"id: 5\ndata: x\n\n", b"5"),
        (b"versions: 2\nid:6\n\n", b"6"),
        (b"\r\nid: 7\r\ndata: id: 9\r\n\r\n", b"7"),
        (b"data: id: 3\n\n", None),
        (b": id: 3\n\n", None),
        (b"identity: 3\n\n", None),
        (b"id:\ndata: x\n\n", None),
    ],
)
def test_the_id_of_an_event(data: bytes, found: bytes | None) -> None:
    assert event_id(data) == found


def test_ids_are_compared_as_numbers() -> None:
    assert is_after(event(10), b"9")
    assert not is_after(event(9), b"10")
    assert not is_after(event(9), b"9")
    assert is_after(event(1), None)
    assert is_after(b"data: x\n\n", b"9")
    assert is_after(event(10), b"009") and not is_after(event(9), b"010")
    assert is_after(b"id: " + b"9" * 5000 + b"\n\n", b"9" * 4999), "more digits than `int` accepts"


def test_an_event_without_end_is_passed_on_in_parts() -> None:
    splitter = EventSplitter()
    found: list[bytes] = []
    pieces = [event(1), b"id: 2\ndata: ", *[b"x" * 65536] * 40, b"\n\n", event(3)]
    for piece in pieces:
        assert len(splitter.remainder) <= MAX_EVENT_BYTES
        for each in splitter.feed(piece):
            splitter.record_forwarded(each)
            found.append(each)
            ended = not splitter.remainder and each.startswith(b"id")
            assert splitter.resumable == (ended and len(each) < 100), "not resumable inside an event"
    assert b"".join(found) + splitter.remainder == b"".join(pieces)
    assert (splitter.last_id, splitter.resumable) == (b"3", True)
