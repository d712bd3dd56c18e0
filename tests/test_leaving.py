"""The shutdown sequence: the actions at each check, and when the process may exit."""

from __future__ import annotations

import pytest

from cloverrouter.core.leaving import (
    HALT_MARGIN_S,
    KILL_MARGIN_S,
    LAST_BYTES_S,
    MAX_COUNTED_DEADLINE_S,
    RECONNECT_S,
    SILENT_CONNECTION_S,
    STILL_COMING_S,
    Do,
    Leaving,
    Seen,
    Stage,
)

EARLY = [Do.CLOSE_QUIET]
REST = [Do.CLOSE_QUIET, Do.CLOSE_SILENT]
SOON = 0.01


def begun(longest_s: float = 3.0) -> Leaving:
    leaving = Leaving()
    leaving.told(100.0, longest_s)
    return leaving


def finishing(longest_s: float = 3.0, seen: Seen = Seen(1, 1)) -> Leaving:  # noqa: B008
    leaving = begun(longest_s)
    leaving.look(100.0 + STILL_COMING_S, seen)
    assert leaving.stage is Stage.FINISHING
    return leaving


def test_next_actions_before_the_shutdown_raises() -> None:
    with pytest.raises(ValueError, match="shutdown has not started"):
        Leaving().look(1.0, Seen(0, 0))


def test_does_not_end_while_new_connections_may_arrive() -> None:
    leaving = begun()
    for at_s in (100.0, 100.0 + STILL_COMING_S - SOON):
        assert leaving.look(at_s, Seen(0, 0, no_connection_waiting=True)) == [Do.CLOSE_QUIET]
    assert leaving.stage is Stage.DRAINING


def test_second_begin_changes_nothing() -> None:
    leaving = begun()
    leaving.told(100.4, 3.0)
    leaving.look(100.0 + STILL_COMING_S, Seen(1, 1))
    assert leaving.stage is Stage.FINISHING


def test_ends_only_at_a_check_without_waiting_connections() -> None:
    leaving = finishing(seen=Seen(0, 1))
    last_s = 100.0 + STILL_COMING_S
    assert leaving.look(last_s + RECONNECT_S - SOON, Seen(0, 0)) == []  # a request may be retried
    at_s = last_s + RECONNECT_S + SOON
    assert leaving.look(at_s, Seen(0, 0)) == [Do.TAKE_IN]
    assert leaving.look(at_s, Seen(0, 1)) == REST  # a connection was accepted
    assert leaving.look(at_s + SOON, Seen(0, 0)) == []
    assert leaving.look(at_s + RECONNECT_S + SOON, Seen(0, 0)) == [Do.TAKE_IN]
    assert leaving.look(at_s + RECONNECT_S + SOON, Seen(0, 0, no_connection_waiting=True)) == []
    assert leaving.over


def test_does_not_wait_for_connections_that_another_process_accepts() -> None:
    leaving = begun()
    assert leaving.look(100.0, Seen(1, 1, others_accept=True)) == EARLY
    assert leaving.look(100.1, Seen(0, 0, others_accept=True)) == []
    assert leaving.over


def test_silent_connections_are_kept_while_a_request_would_get_its_whole_deadline() -> None:
    leaving = finishing()
    assert leaving.look(100.0 + SILENT_CONNECTION_S - SOON, Seen(1, 1)) == EARLY
    assert leaving.look(100.0 + SILENT_CONNECTION_S, Seen(1, 1)) == REST
    assert SILENT_CONNECTION_S < KILL_MARGIN_S


def test_incomplete_requests_get_one_error_and_do_not_delay_the_exit() -> None:
    leaving = finishing(seen=Seen(0, 1))
    at_s = 100.0 + STILL_COMING_S
    assert leaving.look(at_s + LAST_BYTES_S - SOON, Seen(0, 1)) == REST
    assert leaving.look(at_s + LAST_BYTES_S, Seen(0, 1)) == [Do.END_HALF_SENT, *REST]
    assert leaving.look(at_s + LAST_BYTES_S + SOON, Seen(0, 1)) == REST
    assert leaving.look(at_s + 2 * LAST_BYTES_S, Seen(0, 1)) == [Do.TAKE_IN]  # and no connection is waiting
    assert leaving.look(at_s + 2 * LAST_BYTES_S, Seen(0, 1, no_connection_waiting=True)) == []
    assert leaving.over


def test_connection_accepted_last_has_time_to_send_its_request() -> None:
    leaving = finishing(seen=Seen(0, 1))
    at_s = 100.0 + STILL_COMING_S + 2 * LAST_BYTES_S
    leaving.look(at_s - SOON, Seen(0, 1))
    assert leaving.look(at_s, Seen(0, 1)) == [Do.TAKE_IN]
    assert leaving.look(at_s, Seen(0, 2, connection_accepted=True)) == REST
    assert leaving.look(at_s + RECONNECT_S - SOON, Seen(0, 2)) == REST
    assert leaving.look(at_s + RECONNECT_S + SOON, Seen(0, 2)) == [Do.TAKE_IN]


def test_does_not_end_while_data_is_in_transit() -> None:
    leaving = finishing(seen=Seen(0, 1))
    at_s = 100.0 + STILL_COMING_S + LAST_BYTES_S
    assert leaving.look(at_s, Seen(0, 1, data_in_transit=True)) == [Do.END_HALF_SENT, *REST]
    assert leaving.look(at_s + 2.0, Seen(0, 1, no_connection_waiting=True, data_in_transit=True)) == REST
    assert leaving.look(at_s + 2.1, Seen(0, 1, no_connection_waiting=True)) == []
    assert leaving.over


@pytest.mark.parametrize("longest_s", [0.1, 1.0, MAX_COUNTED_DEADLINE_S, 60.0])
def test_open_calls_are_answered_before_sigkill(longest_s: float) -> None:
    leaving = finishing(longest_s)
    killed_s = 100.0 + min(longest_s, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S
    before = leaving.look(killed_s - HALT_MARGIN_S - SOON, Seen(2, 2))
    assert before == (REST if killed_s - HALT_MARGIN_S - SOON >= 100.0 + SILENT_CONNECTION_S else EARLY)
    rest = REST if killed_s - HALT_MARGIN_S + SOON >= 100.0 + SILENT_CONNECTION_S else EARLY
    assert leaving.look(killed_s - HALT_MARGIN_S + SOON, Seen(2, 2)) == [Do.HALT, Do.END_HALF_SENT, *rest]
    assert leaving.stage is Stage.HALTED and not leaving.over
    at_s = killed_s - HALT_MARGIN_S + 2 * SOON
    assert leaving.look(at_s, Seen(0, 0, no_connection_waiting=True)) == []
    assert leaving.over


def test_answers_that_have_begun_go_on_after_the_halt_which_comes_once() -> None:
    leaving = finishing(1.0)
    halt_s = 100.0 + 1.0 + KILL_MARGIN_S - HALT_MARGIN_S
    assert leaving.look(halt_s, Seen(2, 2))[0] is Do.HALT
    for after_s in (SOON, 1.0, 5.0):
        assert leaving.look(halt_s + after_s, Seen(1, 1)) == REST
        assert not leaving.over


def test_a_request_that_came_in_time_has_all_of_its_deadline() -> None:
    """A request that arrives up to 0.7 s after SIGTERM gets its whole deadline; a later one only the time
    until SIGKILL."""
    leaving = finishing(1.0)
    came_s, deadline_s = 100.0 + KILL_MARGIN_S - HALT_MARGIN_S - SOON, 1.0
    assert leaving.look(came_s + deadline_s, Seen(1, 1)) == REST
