"""The estimate of the time that a request has spent before it arrived, and the rank that it gets for it."""

from __future__ import annotations

from random import Random

from cloverrouter.router.stated_deadlines import GENERATION_REQUESTS, MIN_REQUESTS, StatedDeadlines
from tests.system.router_world import World

TIMEOUT_MS = 2000.0


def history_of_first_tries(count: int = 50, stated_ms: float = 2000.0) -> StatedDeadlines:
    history = StatedDeadlines()
    for _ in range(count):
        assert history.spent_ms(stated_ms, TIMEOUT_MS) == 0.0
    return history


def test_a_first_try_has_spent_nothing() -> None:
    history_of_first_tries()


def test_a_retry_has_spent_the_difference_to_the_full_timeout() -> None:
    assert history_of_first_tries().spent_ms(1200.0, TIMEOUT_MS) == 800.0


def test_the_timeout_of_clients_counts_once_it_is_known() -> None:
    history = StatedDeadlines()
    for _ in range(MIN_REQUESTS):
        history.spent_ms(1500.0, 9000.0)
    assert history.spent_ms(1500.0, 9000.0) == 0.0
    assert history.spent_ms(1000.0, 9000.0) == 500.0


def test_a_process_that_has_just_started_goes_by_the_route() -> None:
    assert StatedDeadlines().spent_ms(900.0, TIMEOUT_MS) == 1100.0


def test_nothing_is_estimated_for_clients_with_different_timeouts() -> None:
    random, history = Random(5), StatedDeadlines()
    for _ in range(200):
        history.spent_ms(random.choice((500.0, 700.0, 900.0, 2000.0)), TIMEOUT_MS)
    assert history.spent_ms(500.0, TIMEOUT_MS) == 0.0


def test_a_timeout_that_no_client_uses_any_more_is_forgotten() -> None:
    history = history_of_first_tries(stated_ms=2000.0)
    for _ in range(2 * GENERATION_REQUESTS):
        history.spent_ms(1900.0, TIMEOUT_MS)
    assert history.spent_ms(1900.0, TIMEOUT_MS) == 0.0


def rank(world: World, stated_ms: int, *fields: tuple[bytes, bytes]) -> bytes | None:
    world.ask("/resume/x", (b"cypresswinch-deadline-ms", b"%d" % stated_ms), *fields)
    return world.last.field(b"priority")


def test_a_request_whose_objective_has_passed_lets_others_go_first() -> None:
    world = World().set_up()
    assert rank(world, 2000) != b"9"
    assert rank(world, 1900) == rank(world, 2000)
    assert rank(world, 1700) == b"9"


def test_a_stream_that_goes_on_keeps_its_rank() -> None:
    world = World().set_up()
    assert rank(world, 900, (b"last-event-id", b"7")) == rank(world, 2000)
