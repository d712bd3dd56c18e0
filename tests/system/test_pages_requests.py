"""The documented rules for a request: what is sent to a server, how much time it gets, and how requests
are rejected."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import cast

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.control.configuration import Configuration
from cloverrouter.control.distribution_messages import NOTHING
from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.orders import ConfigurationMachine
from cloverrouter.control.subscriber import Replace
from cloverrouter.daemon.configuration_feed import ConfigurationFeed
from cloverrouter.http.client import Failure
from cloverrouter.http.request import RequestReader, ServerLimits
from cloverrouter.http.server import Exchange, Request
from cloverrouter.placement.admission import MIN_TIME_LEFT_MS
from cloverrouter.router.attempt import Attempt
from cloverrouter.router.headers import deadline_ms
from tests.system.router_world import (
    CONFIGURATION,
    EVENTS,
    NOT_EXECUTED,
    SIGNED,
    ScriptedExchange,
    World,
    event,
    route,
    tenant,
)

DEADLINE = b"cypresswinch-deadline-ms"
HALF_A_SECOND_MS = 500
TIMEOUT_MS = 2000


@pytest.fixture
def world() -> World:
    return World().set_up()


def handle_raw_request(world: World, *lines: bytes) -> ScriptedExchange | None:
    """Handles a request as read from the wire; returns None if the parser rejects it."""
    reader = RequestReader(ServerLimits(), world.clock)
    head = (
        b"POST /once/x HTTP/1.1",
        b"Host: front.example",
        b"Cypresswinch-Attempt-Id: t",
        b"Authorization: Bearer key-of-a",
        *lines,
        b"Content-Length: 0",
    )
    reader.feed(memoryview(b"\r\n".join(head) + b"\r\n\r\n"))
    if reader.error:
        return None
    exchange = ScriptedExchange(reader.ready.popleft())
    world.router.handle(cast(Exchange, exchange))
    return exchange


# Headers in which the client describes its prompt

PROMPT_FIELDS = (b"Cypresswinch-Model", b"Cypresswinch-Token-Usage", b"Cypresswinch-Prompt-Prefix")
ODD_VALUES = (b"m", b"1460 ,  80", b"5c1e07a2:800,91bd3f06:410", b"", b"  a\t b  ", b"0,0", b"\xff", b"M;q=1")


def mixed_case(name: bytes, draw: int) -> bytes:
    return bytes(
        letter ^ 0x20 if draw >> index & 1 and chr(letter).isalpha() else letter
        for index, letter in enumerate(name)
    )


@given(
    st.lists(
        st.tuples(st.sampled_from(PROMPT_FIELDS), st.integers(0, 2**27), st.sampled_from(ODD_VALUES)),
        max_size=6,
    ),
    st.sampled_from([b"", b" ", b"  ", b"\t"]),
    st.booleans(),
)
def test_what_the_client_says_of_its_prompt_is_passed_on_unchanged(
    fields: list[tuple[bytes, int, bytes]], space: bytes, in_connection_header: bool
) -> None:
    """Also if a header is repeated, has unusual case or spacing, or is named by the `Connection` header."""
    world = World().set_up()
    lines = [mixed_case(name, draw) + b":" + space + value + space for name, draw, value in fields]
    if in_connection_header:
        lines.insert(0, b"Connection: " + b", ".join(PROMPT_FIELDS))
    assert handle_raw_request(world, *lines) is not None
    names = {name.lower() for name in PROMPT_FIELDS}
    forwarded = [field for field in world.last.fields if field[0] in names]
    assert forwarded == [(name.lower(), value.strip()) for name, _, value in fields]


def test_a_field_over_two_lines_is_refused_rather_than_changed(world: World) -> None:
    exchange = handle_raw_request(world, b"Cypresswinch-Prompt-Prefix: 5c1e07a2:800,", b" 91bd3f06:410")
    if exchange is not None:
        values = [value for name, value in world.last.fields if name == b"cypresswinch-prompt-prefix"]
        assert values == [b"5c1e07a2:800, 91bd3f06:410"]


# Headers that only the system may send to a server


def test_the_version_that_a_server_is_to_have_is_not_the_client_s_to_say(world: World) -> None:
    world.ask("/once/x", (b"expect-version", b"7"), (b"priority", b"0"))
    assert world.last.field(b"expect-version") is None
    assert world.last.field(b"priority") != b"0"


def test_a_421_for_its_version_goes_to_the_next_server_and_never_to_the_client(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.answer(421, (b"cypresswinch-instance-id", b"model-0"), (b"versions", b"4"))
    assert len(world.calls) == 2
    world.last.answer(200, SIGNED, EVENTS, (b"versions", b"5"), body=event(1))
    assert (exchange.status, exchange.field(b"versions")) == (200, b"5")


def test_an_event_that_tells_a_version_is_passed_on_as_it_is_and_keeps_its_id(world: World) -> None:
    exchange = world.ask("/resume/x")
    versioned = b"versions: 4\n" + event(2)
    world.last.stream(event(1), versioned[:15])
    world.last.data(versioned[15:])
    assert exchange.body == event(1) + versioned
    world.last.fail(Failure.BROKEN)
    assert world.last.field(b"last-event-id") == b"2"
    world.last.stream(b"versions: 5\n" + event(3))
    world.last.end()
    assert exchange.body == event(1) + versioned + b"versions: 5\n" + event(3)


# A machine without a configuration rejects no request for good


@pytest.mark.parametrize("key", [b"key-of-a", b"nobody's", None])
@pytest.mark.parametrize("path", ["/once/x", "/none/x", "/"])
@pytest.mark.parametrize("up_ms", [0, 5_000, 3_600_000])
def test_without_a_configuration_every_request_is_answered_503(
    path: str, key: bytes | None, up_ms: int
) -> None:
    """Regardless of the uptime: a machine that is cut off may be without a configuration all day."""
    world = World()
    world.clock.pass_ms(up_ms)
    world.router.servers_changed([world.server("desk", 0)])
    exchange = world.ask(path, key=key)
    assert exchange.status == 503
    assert exchange.field(b"retry-after") is not None
    assert not world.router.ready()


def test_a_state_without_a_configuration_is_none() -> None:
    """The state of the replicas before the first order is distributed to all machines. If it were put into
    force, it would have no routes, and requests would be answered with 404."""
    applied: list[ConfigurationState] = []
    feed = ConfigurationFeed(applied.append, lambda *how, **why: pytest.fail(str(why)))
    feed.apply(Replace(NOTHING + 1, ConfigurationMachine().snapshot()))
    assert not applied


# A new configuration comes into force


def test_a_request_under_way_keeps_its_route_whatever_is_configured(world: World) -> None:
    exchanges = [world.ask("/once/x"), world.ask("/resume/x"), world.ask("/again/x")]
    calls = list(world.calls)
    calls[1].stream(event(1))
    world.router.configure(Configuration(9, (), ()))
    world.clock.pass_ms(1500)
    assert not any(call.cancelled for call in calls) and not any(exchange.done for exchange in exchanges)
    calls[0].answer(200, SIGNED)
    calls[1].data(event(2))
    calls[1].end()
    calls[2].fail(Failure.BROKEN)
    world.clock.pass_ms(100)
    world.last.answer(200, SIGNED)
    assert [exchange.status for exchange in exchanges] == [200, 200, 200]
    assert all(exchange.ended for exchange in exchanges)
    assert world.ask("/once/x").status == 404


# The deadline that a server is given

SEND_OUTCOMES = ("broken", "spoilt", "unreached", "full", "misplaced", "event and broken")


def end_send(world: World, outcome: str, next_number: Callable[[], int]) -> None:
    call = world.last
    match outcome:
        case "broken":
            call.fail(Failure.BROKEN)
        case "spoilt":
            call.fail(Failure.SPOILT)
        case "unreached":
            call.fail(Failure.CONNECT_FAILED)
        case "full":
            call.answer(503, NOT_EXECUTED)
        case "misplaced":
            call.answer(421)
        case _:
            call.stream(event(next_number()))
            call.fail(Failure.BROKEN)


@given(
    st.sampled_from(["/once/x", "/again/x", "/talk/x", "/resume/x"]),
    st.sampled_from([None, 300, 1500, 15_000]),
    st.lists(
        st.tuples(st.integers(0, 400), st.integers(0, 900), st.sampled_from(SEND_OUTCOMES)),
        min_size=1,
        max_size=6,
    ),
)
def test_every_send_is_handed_what_is_left_of_the_first_deadline(
    path: str, stated_ms: int | None, sends: list[tuple[int, int, str]]
) -> None:
    world = World().set_up()
    started_at = world.clock()
    numbers = count(1)
    fields = [] if stated_ms is None else [(DEADLINE, b"%d" % stated_ms)]
    world.ask(path, *fields)
    allowed_ms = min(stated_ms or TIMEOUT_MS, TIMEOUT_MS)
    for connecting_ms, working_ms, outcome in sends:
        sends_before, call = len(world.calls), world.last
        world.clock.pass_ms(connecting_ms)
        if world.last is not call or call.cancelled or not call.write():
            break
        given_ms = int(call.field(DEADLINE) or b"0")
        left_ms = allowed_ms - (world.clock() - started_at) * 1000
        assert 0 < given_ms <= left_ms + 0.001
        world.clock.pass_ms(working_ms)
        if call.cancelled or world.last is not call:
            break
        end_send(world, outcome, lambda: next(numbers))
        world.clock.pass_ms(200)
        if len(world.calls) == sends_before:
            break


@pytest.mark.parametrize("stated", [b"1500", b"15000", None])
def test_the_second_send_ends_with_the_first(world: World, stated: bytes | None) -> None:
    world.ask("/again/x", *([] if stated is None else [(DEADLINE, stated)]))
    world.last.write()
    first_ms = int(world.last.field(DEADLINE) or b"0")
    world.clock.pass_ms(900)
    world.last.fail(Failure.BROKEN)
    world.clock.pass_ms(200)
    world.last.write()
    assert len(world.calls) == 2
    assert int(world.last.field(DEADLINE) or b"0") <= first_ms - 900


def test_a_request_without_time_to_run_is_not_sent(world: World) -> None:
    exchange = world.ask("/once/x", (DEADLINE, b"%d" % (MIN_TIME_LEFT_MS - 1)))
    assert not world.calls and exchange.status == 503


def test_a_request_s_time_runs_from_its_first_byte(world: World) -> None:
    reader = RequestReader(ServerLimits(), world.clock)
    reader.feed(memoryview(b"POST /once/x HTTP/1.1\r\nHost: front.example\r\nCypresswinch-Attempt-Id: t\r\n"))
    world.clock.pass_ms(600)
    reader.feed(memoryview(b"Authorization: Bearer key-of-a\r\nContent-Length: 2\r\n\r\no"))
    world.clock.pass_ms(900)
    reader.feed(memoryview(b"k"))
    world.router.handle(cast(Exchange, ScriptedExchange(reader.ready.popleft())))
    assert int(world.last.field(DEADLINE) or b"0") <= TIMEOUT_MS - 1500


# Phases of a request in which its client may leave, or its deadline may pass

Header = tuple[bytes, bytes]
PhaseSetup = Callable[..., ScriptedExchange]


def waiting_for_quota(world: World, *extra_headers: Header) -> ScriptedExchange:
    world.quota.waits = [0.025] * 9
    return world.ask("/again/x", *extra_headers)


def connecting(world: World, *extra_headers: Header) -> ScriptedExchange:
    return world.ask("/again/x", *extra_headers)


def being_executed(world: World, *extra_headers: Header) -> ScriptedExchange:
    exchange = world.ask("/again/x", *extra_headers)
    world.last.write()
    return exchange


def between_two_attempts(world: World, *extra_headers: Header) -> ScriptedExchange:
    exchange = being_executed(world, *extra_headers)
    world.last.fail(Failure.BROKEN)
    return exchange


def executed_again(world: World, *extra_headers: Header) -> ScriptedExchange:
    exchange = between_two_attempts(world, *extra_headers)
    world.clock.pass_ms(200)
    world.last.write()
    return exchange


def before_its_first_event(world: World, *extra_headers: Header) -> ScriptedExchange:
    exchange = world.ask("/talk/x", *extra_headers)
    world.last.head(200, SIGNED, EVENTS)
    return exchange


def streaming(world: World, *extra_headers: Header) -> ScriptedExchange:
    exchange = world.ask("/talk/x", *extra_headers)
    world.last.stream(event(1))
    return exchange


def streaming_after_resumption(world: World, *extra_headers: Header) -> ScriptedExchange:
    exchange = world.ask("/resume/x", *extra_headers)
    world.last.stream(event(1))
    world.last.fail(Failure.BROKEN)
    world.last.stream(event(2))
    return exchange


def streaming_to_a_paused_client(world: World, *extra_headers: Header) -> ScriptedExchange:
    exchange = streaming(world, *extra_headers)
    exchange.paused = True
    assert exchange.on_pause is not None
    exchange.on_pause()
    return exchange


PHASES = (
    waiting_for_quota,
    connecting,
    being_executed,
    between_two_attempts,
    executed_again,
    before_its_first_event,
    streaming,
    streaming_after_resumption,
    streaming_to_a_paused_client,
)


@pytest.mark.parametrize("phase", PHASES)
def test_when_its_client_leaves_the_attempt_ends_and_nothing_is_sent(world: World, phase: PhaseSetup) -> None:
    exchange = phase(world)
    call_in_progress = world.calls[-1] if world.calls and phase is not between_two_attempts else None
    sent_before = len(world.calls)
    exchange.leave()
    assert call_in_progress is None or call_in_progress.cancelled
    assert world.router.in_flight == 0
    world.quota.waits = []
    world.router.on_quota_update("a")
    world.clock.pass_ms(10_000)
    assert len(world.calls) == sent_before


@pytest.mark.parametrize("stated", [[], [(DEADLINE, b"15000")]])
@pytest.mark.parametrize("phase", PHASES)
def test_at_the_route_s_timeout_there_is_a_final_answer(
    world: World, phase: PhaseSetup, stated: list[Header]
) -> None:
    started_at = world.clock()
    exchange = phase(world, *stated)
    world.clock.pass_ms(TIMEOUT_MS + HALF_A_SECOND_MS - (world.clock() - started_at) * 1000)
    assert exchange.done
    assert world.router.in_flight == 0
    assert all(cast(Attempt, call.listener).is_over for call in world.calls)


# More urgent requests come first


def test_a_less_urgent_request_never_has_the_better_rank(world: World) -> None:
    """For all pairs of tenants and routes: the tenant's priority comes first, then the route's."""
    routes = tuple(route(f"r{rank}", priority=rank) for rank in (0, 2, 5))
    tenants = (tenant("a"), tenant("b", priority=0), tenant("c", priority=7), tenant("d", priority=None))
    world.router.configure(attrs.evolve(CONFIGURATION, version=4, routes=routes, tenants=tenants))
    ranks = []
    for one in tenants:
        for path in routes:
            world.ask(f"/{path.name}/x", key=one.keys[0].encode())
            rank = int(world.last.field(b"priority") or b"5")
            own = path.priority if one.priority is None else one.priority
            ranks.append((own, path.priority, rank))
    assert all(0 <= rank <= 9 for *_, rank in ranks)
    ranks.sort()
    assert [rank for *_, rank in ranks] == sorted(rank for *_, rank in ranks)
    assert ranks[0][-1] < ranks[-1][-1]


# What may continue a stream


@pytest.mark.parametrize(
    "status, kind", [(201, EVENTS), (206, EVENTS), (200, (b"content-type", b"application/json"))]
)
def test_only_events_with_the_same_status_continue_a_stream(world: World, status: int, kind: Header) -> None:
    world.budget.left = 1
    exchange = world.ask("/resume/x")
    world.last.stream(event(1))
    world.last.fail(Failure.BROKEN)
    world.last.head(status, SIGNED, kind, length=10_000_000)
    world.last.data(event(2))
    assert exchange.body == event(1)
    world.clock.pass_ms(1000)
    assert exchange.aborted and exchange.status == 200


@given(st.binary(max_size=60), st.binary(max_size=20), st.binary(max_size=30), st.binary(max_size=30))
def test_whatever_a_client_says_of_its_prompt_its_request_is_sent(
    prefix: bytes, usage: bytes, model: bytes, stated: bytes
) -> None:
    """These headers affect only quotas and the choice of the server."""
    world = World().set_up()
    world.ask(
        "/talk/x",
        (b"cypresswinch-prompt-prefix", prefix),
        (b"cypresswinch-token-usage", usage),
        (b"cypresswinch-model", model),
        (DEADLINE, stated),
        key=b"key-of-a",
    )
    left_ms = deadline_ms(Request(b"GET", b"/", [(DEADLINE, stated)], b"", 0.0))
    assert len(world.calls) == 1 or (left_ms is not None and left_ms < MIN_TIME_LEFT_MS)


@given(st.lists(st.sampled_from([b"5c:8", b":", b",", b"0:0", b"ff:-1", b"zz:1", b"1:99999999999999999999"])))
def test_prefixes_that_cannot_be_read_choose_no_server(parts: list[bytes]) -> None:
    world = World().set_up()
    world.ask("/talk/x", (b"cypresswinch-prompt-prefix", b",".join(parts)))
    assert len(world.calls) == 1
