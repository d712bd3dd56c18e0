"""Requests whose servers fail: when they are sent again, and what the client is answered."""

from __future__ import annotations

import pytest

from cloverrouter.http.client import Failure
from tests.system.router_world import EVENTS, NOT_EXECUTED, SIGNED, ScriptedExchange, World, event


@pytest.fixture
def world() -> World:
    return World().set_up()


def is_rejection(exchange: ScriptedExchange) -> bool:
    """Whether the client was told that the request was not executed and when to retry, without a server's
    signature."""
    stamped = exchange.field(b"cypresswinch-server-signature")
    return exchange.status == 503 and exchange.field(b"retry-after") is not None and stamped is None


@pytest.mark.parametrize("failure", [Failure.BROKEN, Failure.SPOILT])
def test_what_may_have_run_is_not_sent_again(world: World, failure: Failure) -> None:
    exchange = world.ask("/twice/x")
    world.last.write()
    world.last.fail(failure)
    world.clock.pass_ms(5000)
    assert exchange.status == 502
    assert len(world.calls) == 1


@pytest.mark.parametrize("failure", [Failure.BROKEN, Failure.SPOILT])
def test_an_idempotent_request_is_sent_to_another_server(world: World, failure: Failure) -> None:
    exchange = world.ask("/again/x")
    world.last.write()
    world.last.fail(failure)
    world.clock.pass_ms(100)
    assert len(world.calls) == 2
    assert world.calls[0].instance != world.calls[1].instance
    world.last.answer(200, SIGNED, body=b"done")
    assert (exchange.status, exchange.body) == (200, b"done")
    assert world.budget.spent == 1


def test_a_request_that_never_arrived_goes_on_at_once_and_free_of_charge(world: World) -> None:
    world.ask("/once/x")
    world.last.fail(Failure.CONNECT_FAILED)
    assert len(world.calls) == 2
    assert world.budget.spent == 0


def test_a_request_that_was_turned_away_goes_on_at_once_within_the_budget(world: World) -> None:
    world.ask("/once/x")
    world.last.answer(503, NOT_EXECUTED)
    assert len(world.calls) == 2
    assert world.budget.spent == 1


def test_without_budget_the_client_is_told_to_come_back(world: World) -> None:
    world.budget.left = 0
    exchange = world.ask("/once/x")
    world.last.answer(503, NOT_EXECUTED)
    assert is_rejection(exchange)
    assert len(world.calls) == 1
    assert world.quota.refunded == [("a", 200)]


def test_repeated_rejections_end_the_request(world: World) -> None:
    exchange = world.ask("/once/x")
    for _ in range(3):
        world.last.answer(503, NOT_EXECUTED)
    assert is_rejection(exchange)
    assert len(world.calls) == 3
    assert len({call.instance for call in world.calls}) == 3


def test_a_server_s_own_failure_goes_back_unchanged(world: World) -> None:
    exchange = world.ask("/once/x")
    world.last.answer(500, SIGNED, body=b"oops")
    assert (exchange.status, exchange.body) == (500, b"oops")
    assert exchange.field(b"cypresswinch-server-signature") == b"stamp-1"


def test_a_server_s_own_failure_goes_back_when_no_other_does_better(world: World) -> None:
    world.budget.left = 0
    exchange = world.ask("/again/x")
    world.last.answer(500, SIGNED, body=b"oops")
    world.clock.pass_ms(100)
    assert (exchange.status, exchange.body) == (500, b"oops")


def test_a_failure_after_a_refusal_is_no_refusal(world: World) -> None:
    exchange = world.ask("/again/x")
    world.last.write()
    world.last.fail(Failure.BROKEN)
    world.clock.pass_ms(100)
    for _ in range(3):
        world.last.answer(503, NOT_EXECUTED)
    assert exchange.status == 502


def test_attempts_bound_the_servers_that_run_a_request(world: World) -> None:
    world.router.servers_changed([world.server("desk", place) for place in range(3, 9)])
    exchange = world.ask("/again/x")
    for _ in range(8):
        if exchange.status is not None:
            break
        world.last.write()
        world.last.fail(Failure.BROKEN)
        world.clock.pass_ms(400)
    assert len(world.calls) == 3
    assert exchange.status == 502


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (200, ()),
        (200, (SIGNED, (b"content-encoding", b"gzip"))),
        (500, ()),
        (503, ()),
        (404, ()),
        (503, (SIGNED,)),
        (429, (SIGNED,)),
        (408, (SIGNED,)),
    ],
)
def test_what_is_not_the_server_s_answer_does_not_reach_the_client(
    world: World, status: int, headers: tuple[tuple[bytes, bytes], ...]
) -> None:
    exchange = world.ask("/once/x")
    world.last.head(status, *headers, length=4)
    assert exchange.status == 502
    assert world.last.cancelled


def test_an_answer_cut_short_does_not_reach_the_client(world: World) -> None:
    exchange = world.ask("/once/x")
    world.last.head(200, SIGNED, length=10)
    world.last.data(b"half")
    world.last.fail(Failure.BROKEN)
    assert (exchange.status, exchange.body) == (502, b"")


def test_a_large_answer_cut_short_is_aborted(world: World) -> None:
    exchange = world.ask("/again/x")
    world.last.head(200, SIGNED, length=500_000)
    world.last.data(b"half")
    world.last.fail(Failure.BROKEN)
    assert exchange.aborted
    assert not exchange.ended


def test_another_instance_at_the_address_gets_nothing_more(world: World) -> None:
    exchange = world.ask("/once/x")
    misplaced = world.last.instance
    world.last.answer(421, (b"cypresswinch-instance-id", b"other"))
    assert len(world.calls) == 2
    world.last.answer(200, SIGNED)
    assert exchange.status == 200
    for _ in range(3):
        world.router.servers_changed([world.server("desk", int(misplaced[-1]))])
    for _ in range(30):
        world.ask("/once/x")
        assert world.last.instance != misplaced
        world.last.answer(200, SIGNED)


def test_a_421_is_never_forwarded(world: World) -> None:
    exchange = world.ask("/once/x")
    for _ in range(3):
        world.last.answer(421)
    assert is_rejection(exchange)


def test_with_no_server_the_answer_comes_at_once_and_costs_no_quota(world: World) -> None:
    world.router.servers_changed([world.server("desk", place, ready=False) for place in range(3)])
    exchange = world.ask("/once/x")
    assert is_rejection(exchange)
    assert not world.quota.taken


def test_a_draining_server_gets_nothing_more(world: World) -> None:
    exchange = world.ask("/once/x")
    place = int(world.last.instance[-1])
    running = world.last
    running.write()
    world.router.servers_changed([world.server("desk", place, ready=False)])
    for _ in range(20):
        world.ask("/once/x")
        assert world.last.instance != running.instance
    running.answer(200, SIGNED, body=b"kept")
    assert (exchange.status, exchange.body) == (200, b"kept")
    assert running.address in world.pool.kept_addresses


def test_a_request_whose_server_drains_while_it_connects_goes_elsewhere(world: World) -> None:
    world.ask("/once/x")
    first = world.last
    world.router.servers_changed([world.server("desk", int(first.instance[-1]), ready=False)])
    assert not first.write()
    assert len(world.calls) == 2
    assert world.budget.spent == 0


def test_when_its_client_leaves_the_attempt_is_cancelled(world: World) -> None:
    exchange = world.ask("/again/x")
    world.last.write()
    exchange.leave()
    assert world.last.cancelled
    assert world.router.in_flight == 0
    world.clock.pass_ms(5000)
    assert len(world.calls) == 1


def test_nothing_is_sent_for_a_client_that_left_while_connecting(world: World) -> None:
    exchange = world.ask("/once/x")
    exchange.left = True
    assert not world.last.write()
    assert len(world.calls) == 1
    assert world.router.in_flight == 0


def test_at_the_deadline_what_may_run_is_answered_with_504(world: World) -> None:
    exchange = world.ask("/again/x")
    world.last.write()
    world.clock.pass_ms(1999)
    assert exchange.status is None
    world.clock.pass_ms(100)
    assert exchange.status == 504
    assert world.last.cancelled


def test_at_the_deadline_what_was_never_sent_is_answered_with_503(world: World) -> None:
    exchange = world.ask("/once/x")
    world.clock.pass_ms(2100)
    assert is_rejection(exchange)
    assert world.last.cancelled


def test_the_server_s_own_504_goes_back(world: World) -> None:
    exchange = world.ask("/once/x")
    world.last.write()
    world.clock.pass_ms(2005)
    world.last.answer(504, SIGNED)
    assert exchange.status == 504
    assert exchange.field(b"cypresswinch-server-signature") == b"stamp-1"


def test_silence_never_ends_an_answer_early(world: World) -> None:
    exchange = world.ask("/again/x")
    world.last.write()
    world.clock.pass_ms(1900)
    assert exchange.status is None
    world.last.answer(200, SIGNED)
    assert exchange.status == 200


def test_a_promise_holds_even_if_the_rest_of_the_answer_is_lost(world: World) -> None:
    world.ask("/once/x")
    world.last.head(503, NOT_EXECUTED, length=10)
    world.last.fail(Failure.BROKEN)
    assert len(world.calls) == 2


def test_a_stream_that_broke_before_its_first_event_may_be_answered_by_another(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.head(200, SIGNED, EVENTS)
    world.last.fail(Failure.BROKEN)
    world.clock.pass_ms(100)
    assert len(world.calls) == 2
    assert world.last.field(b"last-event-id") is None
    world.last.head(200, (b"cypresswinch-server-signature", b"stamp-2"), EVENTS)
    world.last.data(event(1))
    world.last.end()
    assert exchange.field(b"cypresswinch-server-signature") == b"stamp-2"
    assert exchange.body == event(1)


def test_a_stream_that_may_not_run_twice_is_refused_with_502_before_its_first_event(world: World) -> None:
    exchange = world.ask("/talk/x")
    world.last.head(200, SIGNED, EVENTS)
    world.last.fail(Failure.BROKEN)
    assert exchange.status == 502
    assert len(world.calls) == 1


def test_waits_before_a_repeat_end_before_the_deadline(world: World) -> None:
    exchange = world.ask("/again/x")
    world.last.write()
    world.clock.pass_ms(1970)
    world.last.fail(Failure.BROKEN)
    assert exchange.status == 502
    assert len(world.calls) == 1


def test_a_client_that_leaves_before_anything_was_sent_costs_no_quota(world: World) -> None:
    world.ask("/once/x").leave()
    assert world.quota.refunded == [("a", 200)]
    exchange = world.ask("/once/x")
    world.last.write()
    exchange.leave()
    assert world.quota.refunded == [("a", 200)]
