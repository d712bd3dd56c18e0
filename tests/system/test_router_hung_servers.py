"""Requests that may be sent again, at servers that hang while others work."""

from __future__ import annotations

import attrs
import pytest

from cloverrouter.router.hang_detection import FIRST_BYTE_TIMEOUT_S, STALL_TIMEOUT_S
from tests.system.router_world import CONFIGURATION, EVENTS, NOT_EXECUTED, SIGNED, World, event

FIRST_BYTE_TIMEOUT_MS = FIRST_BYTE_TIMEOUT_S * 1000
STALL_TIMEOUT_MS = STALL_TIMEOUT_S * 1000


@pytest.fixture
def world() -> World:
    configured = World().set_up()
    configured.router.configure(
        attrs.evolve(
            CONFIGURATION,
            routes=tuple(attrs.evolve(route, timeout_ms=15_000) for route in CONFIGURATION.routes),
        )
    )
    return configured


def test_an_answer_that_does_not_begin_is_asked_for_elsewhere(world: World) -> None:
    exchange = world.ask("/again/x")
    hung = world.last
    hung.write()
    world.clock.pass_ms(FIRST_BYTE_TIMEOUT_MS * 1.5)
    assert hung.cancelled and len(world.calls) == 2
    assert world.last.instance != hung.instance
    world.last.answer(200, SIGNED, body=b"ok")
    assert exchange.status == 200 and world.budget.spent == 1


def test_a_stream_that_stalls_is_continued_elsewhere(world: World) -> None:
    exchange = world.ask("/resume/x")
    hung = world.last
    hung.stream(event(1))
    world.clock.pass_ms(STALL_TIMEOUT_MS * 0.8)
    hung.data(event(2))
    world.clock.pass_ms(STALL_TIMEOUT_MS * 0.8)
    assert not hung.cancelled
    world.clock.pass_ms(STALL_TIMEOUT_MS)
    assert hung.cancelled and world.last.field(b"last-event-id") == b"2"
    world.last.head(200, SIGNED, EVENTS)
    world.last.data(event(3))
    world.last.end()
    assert exchange.body == event(1) + event(2) + event(3) and exchange.ended


def test_what_may_run_only_once_is_waited_for(world: World) -> None:
    for path in ("/once/x", "/twice/x", "/talk/x"):
        world.ask(path)
        hung = world.last
        hung.write()
        world.clock.pass_ms(FIRST_BYTE_TIMEOUT_MS * 1.5)
        assert not hung.cancelled


def test_the_last_run_of_a_request_is_waited_for(world: World) -> None:
    world.ask("/again/x")
    for _ in range(3):
        last = world.last
        last.write()
        world.clock.pass_ms(FIRST_BYTE_TIMEOUT_MS * 1.5)
    assert len(world.calls) == 3 and not last.cancelled


def test_under_load_nothing_is_given_up(world: World) -> None:
    calls = []
    for number in range(9):
        world.ask(f"/again/{number}")
        calls.append(world.last)
        world.last.write()
    assert len({call.instance for call in calls}) == 3
    world.clock.pass_ms(FIRST_BYTE_TIMEOUT_MS * 1.5)
    assert not any(call.cancelled for call in calls)


def test_shortly_before_the_deadline_nothing_is_begun_anew(world: World) -> None:
    world.ask("/again/x", (b"cypresswinch-deadline-ms", b"2000"))
    world.last.write()
    world.clock.pass_ms(FIRST_BYTE_TIMEOUT_MS * 1.5)
    assert not world.last.cancelled


def test_without_retry_budget_a_hung_server_is_waited_for(world: World) -> None:
    world.budget.left = 0
    world.ask("/again/x")
    world.last.write()
    world.clock.pass_ms(FIRST_BYTE_TIMEOUT_MS * 1.5)
    assert not world.last.cancelled and len(world.calls) == 1


def test_without_another_server_a_hung_server_is_waited_for(world: World) -> None:
    exchange = world.ask("/again/x")
    first = world.last
    first.answer(503, NOT_EXECUTED)
    hung = world.last
    hung.write()
    others = {f"desk-{place}" for place in range(3)} - {first.instance, hung.instance}
    world.router.servers_changed(
        [world.server("desk", place, ready=False) for place in range(3) if f"desk-{place}" in others]
    )
    world.clock.pass_ms(FIRST_BYTE_TIMEOUT_MS * 1.5)
    assert not hung.cancelled and not exchange.done
    hung.answer(200, SIGNED, body=b"ok")
    assert exchange.status == 200


def test_a_client_that_does_not_read_is_no_fault_of_the_server(world: World) -> None:
    exchange = world.ask("/resume/x")
    world.last.stream(event(1))
    exchange.paused = True
    world.clock.pass_ms(STALL_TIMEOUT_MS * 2)
    assert not world.last.cancelled and len(world.calls) == 1
