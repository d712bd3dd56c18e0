"""A process that is stopping begins only requests that surely end before it; it rejects others at once."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import cast

import pytest

from cloverrouter.daemon.drain import drain_requests
from cloverrouter.daemon.node import Node
from cloverrouter.daemon.settings import read
from cloverrouter.http.client import Failure
from cloverrouter.http.server import Exchange, Request
from cloverrouter.lab.fleet import deployment, nodes
from cloverrouter.placement.shutdown import (
    RETENTION_S,
    Expectation,
    LongestAnswers,
    ShutdownWindow,
    may_begin,
)
from tests.system.no_signals import NoSignals
from tests.system.router_world import (
    CONFIGURATION,
    NOT_EXECUTED,
    FakeClock,
    ScriptedCall,
    ScriptedExchange,
    World,
    event,
)

GRACE_S = 7.3
TIMED_ROUTES = ("once", "twice", "again", "talk", "resume")
"""Routes whose timeout is two seconds unless a test sets another."""
MOMENTS_S = [tenth / 5 for tenth in range(38)]
"""Every fifth of a second of the grace period and slightly beyond it."""


@pytest.fixture
def world() -> World:
    return World().set_up()


def leave(world: World, grace_s: float = GRACE_S) -> float:
    """Begins the shutdown, as SIGTERM does; returns when the process ends."""
    ends_at = world.clock() + grace_s
    world.router.begin_shutdown(ends_at)
    return ends_at


def deadline(seconds: float) -> tuple[bytes, bytes]:
    return b"cypresswinch-deadline-ms", b"%d" % (seconds * 1000)


def send_request(
    world: World, path: str, *more: tuple[bytes, bytes]
) -> tuple[ScriptedExchange, ScriptedCall | None]:
    """Sends a request; returns it and its call to a server, if there is one."""
    before = len(world.calls)
    exchange = world.ask(path, *more)
    return exchange, world.last if len(world.calls) > before else None


def assert_refused(exchange: ScriptedExchange) -> None:
    """Checks an immediate 503 with Retry-After, and that the connection is closed."""
    assert (exchange.status, exchange.ended, exchange.closed) == (503, True, True)
    wait_s = float(exchange.field(b"retry-after") or b"nan")
    assert 0 < wait_s <= 0.1


def complete_request(world: World, path: str, seconds: float) -> None:
    """Sends a request to this path that is answered after this time."""
    exchange, call = send_request(world, path)
    assert call is not None
    serve(world, call, seconds)
    assert exchange.status == 200


def serve(world: World, call: ScriptedCall, seconds: float) -> None:
    """Streams the server's answer event by event over this time."""
    events = max(1, round(seconds * 2))
    call.stream(event(1))
    for number in range(2, events + 2):
        world.clock.pass_ms(seconds * 1000 / events)
        call.data(event(number))
    call.end()


# The decision


def may_begin_at(
    now: float, deadline: float, longest_s: float | None = None, can_resume: bool = False
) -> bool:
    """Returns whether a request may begin in a process that was asked to stop at 0.0 and ends at 7.3."""
    return may_begin(ShutdownWindow(0.0, 7.3), now, Expectation(deadline, longest_s, can_resume))


def test_what_is_over_at_its_deadline_before_the_end_may_begin() -> None:
    assert may_begin_at(0.0, deadline=7.0)
    assert may_begin_at(6.0, deadline=7.0)
    assert not may_begin_at(0.0, deadline=7.2)


@pytest.mark.parametrize("longest_s", [0.01, 0.5, 1.0, 2.0, 3.0, 3.5, 4.0, 8.0, 15.0])
@pytest.mark.parametrize("now", MOMENTS_S)
def test_an_estimate_is_trusted_early_and_with_room(longest_s: float, now: float) -> None:
    """Twice the longest observed answer must fit, within the first third of the grace period."""
    expected = now <= 7.3 / 3 and now + 2 * longest_s <= 7.1
    assert may_begin_at(now, now + 15.0, longest_s) is expected


@pytest.mark.parametrize("now", MOMENTS_S)
def test_a_stream_that_can_be_resumed_is_begun_early_only(now: float) -> None:
    """The client resumes it elsewhere after a cut; a late one would get almost nothing before the cut."""
    assert may_begin_at(now, now + 15.0, can_resume=True) is (now <= 7.3 / 3)


def test_a_long_grace_does_not_lengthen_the_time_in_which_estimates_count() -> None:
    leave = ShutdownWindow(0.0, 60.0)
    assert may_begin(leave, 2.4, Expectation(90.0, 3.0, False))
    assert not may_begin(leave, 2.6, Expectation(90.0, 3.0, False))
    assert not may_begin(leave, 2.6, Expectation(90.0, None, True))
    assert may_begin(leave, 40.0, Expectation(59.0, None, False))


def test_the_longest_answer_is_remembered_for_a_while_and_then_forgotten() -> None:
    longest = LongestAnswers()
    assert longest.of("a", 0.0) is None
    longest.note("a", 3.0, 0.0)
    longest.note("a", 1.0, 1.0)
    assert longest.of("a", RETENTION_S - 1) == 3.0
    assert longest.of("b", RETENTION_S - 1) is None
    longest.note("a", 2.0, RETENTION_S + 1)
    assert longest.of("a", RETENTION_S + 2) == 3.0
    assert longest.of("a", 2 * RETENTION_S + 2) == 2.0
    assert longest.of("a", 9 * RETENTION_S) is None


# The router's behaviour


@pytest.mark.parametrize("seconds", [0.3, 1.0, 2.0, 5.0, 15.0])
@pytest.mark.parametrize("path", TIMED_ROUTES)
def test_no_request_of_a_leaving_process_is_cut(path: str, seconds: float) -> None:
    """For every route, moment and client deadline, with servers that use all of that time: a request that
    begins has its deadline before the process ends, and any other is rejected at once."""
    for moment_s in MOMENTS_S:
        world = World().set_up()
        ends_at = leave(world)
        world.clock.pass_ms(moment_s * 1000)
        exchange, call = send_request(world, f"/{path}/x", deadline(seconds))
        last_s = world.clock() + min(seconds, 2.0)
        if call is None:
            assert last_s > ends_at - 0.2
            assert_refused(exchange)
            continue
        assert last_s <= ends_at - 0.2
        call.write()
        world.clock.pass_ms((ends_at - world.clock()) * 1000)
        assert exchange.done, f"{path} at {moment_s} s would be cut"


@pytest.mark.parametrize("path", TIMED_ROUTES)
@pytest.mark.parametrize("usual_s", [0.2, 1.0, 2.0, 3.0])
def test_long_requests_are_begun_by_their_usual_length(path: str, usual_s: float) -> None:
    """The route allows 15 s. A request that begins ends before the process does, even if it takes twice as
    long as the longest observed one."""
    for moment_s in MOMENTS_S:
        world = World().set_up()
        world.slow_routes(15_000)
        complete_request(world, f"/{path}/x", usual_s)
        ends_at = leave(world)
        world.clock.pass_ms(moment_s * 1000)
        exchange, call = send_request(world, f"/{path}/x", deadline(15.0))
        fits = moment_s + 2 * usual_s <= GRACE_S - 0.2
        fits = moment_s <= GRACE_S / 3 and (fits or path == "resume")
        assert (call is not None) is fits, f"at {moment_s} s"
        if call is None:
            assert_refused(exchange)
            continue
        serve(world, call, 2 * usual_s)
        assert (exchange.status, exchange.ended) == (200, True)
        assert world.clock() < ends_at or path == "resume"


def test_a_long_request_of_unknown_length_is_not_begun(world: World) -> None:
    world.slow_routes(15_000)
    leave(world)
    exchange, call = send_request(world, "/talk/x", deadline(15.0))
    assert call is None
    assert_refused(exchange)


def test_a_long_stream_that_can_be_resumed_is_begun_and_cut_behind_a_whole_event(world: World) -> None:
    world.slow_routes(15_000)
    ends_at = leave(world)
    exchange, call = send_request(world, "/resume/x", deadline(15.0))
    assert call is not None
    call.stream(event(1))
    for number in range(2, 8):
        world.clock.pass_ms(1000)
        call.data(event(number))
    call.data(b"id: 8\ndata: ha")
    world.clock.pass_ms((ends_at - world.clock()) * 1000)
    world.router.end_requests()
    assert exchange.aborted
    assert exchange.body == b"".join(event(number) for number in range(1, 8))


def test_a_stream_that_is_still_open_counts_with_its_age(world: World) -> None:
    """The servers have just become slow, so that no slow answer has ended yet."""
    world.slow_routes(15_000)
    complete_request(world, "/talk/x", 1.0)
    world.ask("/talk/x", deadline(15.0))
    world.last.stream(event(1))
    for number in range(2, 6):
        world.clock.pass_ms(1000)
        world.last.data(event(number))
    leave(world)
    exchange, call = send_request(world, "/talk/x", deadline(15.0))
    assert call is None
    assert_refused(exchange)


def test_what_is_refused_costs_no_quota_and_no_budget(world: World) -> None:
    world.slow_routes(15_000)
    leave(world)
    world.ask("/talk/x", deadline(15.0))
    assert world.quota.taken == []
    assert world.budget.spent == 0


def test_a_request_is_not_sent_again_when_that_would_not_end_in_time(world: World) -> None:
    """One server rejected it; a second would still process it when this process ends."""
    exchange, call = send_request(world, "/twice/x", deadline(2.0))
    assert call is not None
    leave(world, 2.0)
    world.clock.pass_ms(100)
    call.answer(503, NOT_EXECUTED)
    assert len(world.calls) == 1
    assert_refused(exchange)


def test_what_may_have_run_is_not_refused_but_failed(world: World) -> None:
    exchange, call = send_request(world, "/again/x", deadline(2.0))
    assert call is not None
    leave(world, 2.0)
    call.write()
    call.fail(Failure.BROKEN)
    assert len(world.calls) == 1
    assert exchange.status == 502


def test_a_stream_under_way_is_still_continued_elsewhere(world: World) -> None:
    exchange, _ = send_request(world, "/resume/x", deadline(2.0))
    world.last.stream(event(1))
    leave(world, 1.0)
    world.last.fail(Failure.BROKEN)
    assert len(world.calls) == 2
    assert world.last.field(b"last-event-id") == b"1"
    world.last.stream(event(2))
    world.last.end()
    assert exchange.body == event(1) + event(2)


def test_a_wait_for_quota_that_ends_too_late_is_a_refusal(world: World) -> None:
    world.quota.waits = [0.02]
    exchange, call = send_request(world, "/once/x", deadline(1.0))
    assert call is None
    leave(world, 1.0)
    world.clock.pass_ms(50)
    assert world.calls == []
    assert_refused(exchange)


# The end


def test_at_the_end_each_open_request_gets_the_answer_that_is_true(world: World) -> None:
    running, call = send_request(world, "/once/x")
    assert call is not None
    call.write()
    unsent, unsent_call = send_request(world, "/once/x")
    streaming, _ = send_request(world, "/resume/x")
    world.last.stream(event(1), b"id: 2\ndata: ha")
    leave(world, 0.5)
    world.clock.pass_ms(500)
    world.router.end_requests()
    assert running.status == 502
    assert call.cancelled
    assert unsent_call is not None
    assert unsent_call.cancelled
    assert_refused(unsent)
    assert streaming.aborted
    assert streaming.body == event(1)  # whole events only, so that the client can resume elsewhere
    assert world.router.in_flight == 0


def test_at_the_end_a_promise_that_has_come_holds(world: World) -> None:
    exchange, call = send_request(world, "/once/x")
    assert call is not None
    call.head(503, NOT_EXECUTED, length=4)
    leave(world, 0.1)
    world.router.end_requests()
    assert_refused(exchange)


def test_a_process_that_stays_begins_everything(world: World) -> None:
    world.slow_routes(15_000)
    _, call = send_request(world, "/talk/x", deadline(15.0))
    assert call is not None


def test_unknown_routes_and_keys_are_still_told_apart_while_leaving(world: World) -> None:
    leave(world)
    assert world.ask("/nowhere/x").status == 404
    assert world.ask("/once/x", key=b"unknown").status == 401


# The process


class Requests:
    """One request that is open until a time, or until it is ended."""

    def __init__(self, clock: FakeClock, until: float) -> None:
        self._clock = clock
        self._until = until
        self.ended_at: float | None = None

    @property
    def in_flight(self) -> int:
        return int(self._clock() < self._until and self.ended_at is None)

    def end_requests(self) -> None:
        self.ended_at = self._clock()


def drained(busy_s: float, grace_s: float = GRACE_S) -> tuple[float, Requests]:
    """Returns how long a process drains one request of this duration, and that request."""
    clock = FakeClock()
    stopped_at = clock()
    requests = Requests(clock, stopped_at + busy_s)

    async def sleep(seconds: float) -> None:
        clock.pass_ms(seconds * 1000)

    asyncio.run(drain_requests(requests, lambda: requests.in_flight > 0, stopped_at + grace_s, clock, sleep))
    return clock() - stopped_at, requests


@pytest.mark.parametrize("busy_s", [0.0, 0.4, 3.0, 6.9])
def test_a_process_ends_soon_after_its_last_request(busy_s: float) -> None:
    stayed_s, requests = drained(busy_s)
    assert busy_s <= stayed_s <= busy_s + 0.4
    assert requests.ended_at is None


def test_a_process_gives_last_answers_and_the_time_that_they_need() -> None:
    stayed_s, requests = drained(60.0)
    assert requests.ended_at is not None
    assert 7.3 <= stayed_s < 7.5


def node(tmp_path: Path) -> Node:
    spec = deployment.nodes("127.31.251")[0]
    path = tmp_path / "node.toml"
    fleet = deployment.fleet_settings((spec,))
    path.write_text(nodes.toml(nodes.settings(spec, fleet, tmp_path, bootstrap=True)))
    return Node(read(str(path)), str(path), NoSignals())


def test_sigterm_is_seen_in_the_readiness_at_once(tmp_path: Path) -> None:
    async def run_node() -> None:
        process = node(tmp_path)
        requests = [ScriptedExchange(Request(b"GET", b"/-/readiness", [], b"", 0.0)) for _ in range(2)]
        router = process._traffic.router
        router.configure(CONFIGURATION)
        for service in ("desk", "model"):
            router.servers_changed([World().server(service, 0)])
        process._readiness(cast(Exchange, requests[0]))
        process.stop()
        process._readiness(cast(Exchange, requests[1]))
        assert [one.status for one in requests] == [200, 503]

    asyncio.run(run_node())


def test_a_second_sigterm_does_not_lengthen_the_grace(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def run_node() -> None:
        process = node(tmp_path)
        deadlines: list[float] = []
        monkeypatch.setattr(process._traffic.router, "begin_shutdown", deadlines.append)
        now = asyncio.get_running_loop().time()
        process.stop()
        process.stop()
        assert len(deadlines) == 1
        assert now + 7.0 < deadlines[0] < now + 8.0

    asyncio.run(run_node())
