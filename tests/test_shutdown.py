"""The shutdown sequence: the actions at each check, and when the process may exit."""

from __future__ import annotations

import pytest

from cloverrouter.core.shutdown import (
    HALT_MARGIN_S,
    INCOMPLETE_REQUEST_S,
    KILL_MARGIN_S,
    MAX_COUNTED_DEADLINE_S,
    NEW_CONNECTIONS_S,
    RECONNECT_S,
    SILENT_CONNECTION_S,
    Observation,
    Shutdown,
    ShutdownAction,
    Stage,
)

EARLY = [ShutdownAction.CLOSE_QUIET]
REST = [ShutdownAction.CLOSE_QUIET, ShutdownAction.CLOSE_SILENT]
SOON = 0.01


def begun(longest_s: float = 3.0) -> Shutdown:
    shutdown = Shutdown()
    shutdown.begin(100.0, longest_s)
    return shutdown


def finishing(longest_s: float = 3.0, seen: Observation = Observation(1, 1)) -> Shutdown:  # noqa: B008
    shutdown = begun(longest_s)
    shutdown.next_actions(100.0 + NEW_CONNECTIONS_S, seen)
    assert shutdown.stage is Stage.FINISHING
    return shutdown


def test_next_actions_before_the_shutdown_raises() -> None:
    with pytest.raises(ValueError, match="shutdown has not started"):
        Shutdown().next_actions(1.0, Observation(0, 0))


def test_does_not_end_while_new_connections_may_arrive() -> None:
    shutdown = begun()
    for at_s in (100.0, 100.0 + NEW_CONNECTIONS_S - SOON):
        assert shutdown.next_actions(at_s, Observation(0, 0, no_connection_waiting=True)) == [
            ShutdownAction.CLOSE_QUIET
        ]
    assert shutdown.stage is Stage.DRAINING


def test_second_begin_changes_nothing() -> None:
    shutdown = begun()
    shutdown.begin(100.4, 3.0)
    shutdown.next_actions(100.0 + NEW_CONNECTIONS_S, Observation(1, 1))
    assert shutdown.stage is Stage.FINISHING


def test_ends_only_at_a_check_without_waiting_connections() -> None:
    shutdown = finishing(seen=Observation(0, 1))
    last_s = 100.0 + NEW_CONNECTIONS_S
    assert (
        shutdown.next_actions(last_s + RECONNECT_S - SOON, Observation(0, 0)) == []
    )  # a request may be retried
    at_s = last_s + RECONNECT_S + SOON
    assert shutdown.next_actions(at_s, Observation(0, 0)) == [ShutdownAction.ACCEPT_WAITING]
    assert shutdown.next_actions(at_s, Observation(0, 1)) == REST  # a connection was accepted
    assert shutdown.next_actions(at_s + SOON, Observation(0, 0)) == []
    assert shutdown.next_actions(at_s + RECONNECT_S + SOON, Observation(0, 0)) == [
        ShutdownAction.ACCEPT_WAITING
    ]
    assert (
        shutdown.next_actions(at_s + RECONNECT_S + SOON, Observation(0, 0, no_connection_waiting=True)) == []
    )
    assert shutdown.over


def test_does_not_wait_for_connections_that_another_process_accepts() -> None:
    shutdown = begun()
    assert shutdown.next_actions(100.0, Observation(1, 1, others_accept=True)) == EARLY
    assert shutdown.next_actions(100.1, Observation(0, 0, others_accept=True)) == []
    assert shutdown.over


def test_silent_connections_are_kept_while_a_request_would_get_its_whole_deadline() -> None:
    shutdown = finishing()
    assert shutdown.next_actions(100.0 + SILENT_CONNECTION_S - SOON, Observation(1, 1)) == EARLY
    assert shutdown.next_actions(100.0 + SILENT_CONNECTION_S, Observation(1, 1)) == REST
    assert SILENT_CONNECTION_S < KILL_MARGIN_S


def test_incomplete_requests_get_one_error_and_do_not_delay_the_exit() -> None:
    shutdown = finishing(seen=Observation(0, 1))
    at_s = 100.0 + NEW_CONNECTIONS_S
    assert shutdown.next_actions(at_s + INCOMPLETE_REQUEST_S - SOON, Observation(0, 1)) == REST
    assert shutdown.next_actions(at_s + INCOMPLETE_REQUEST_S, Observation(0, 1)) == [
        ShutdownAction.FAIL_INCOMPLETE,
        *REST,
    ]
    assert shutdown.next_actions(at_s + INCOMPLETE_REQUEST_S + SOON, Observation(0, 1)) == REST
    assert shutdown.next_actions(at_s + 2 * INCOMPLETE_REQUEST_S, Observation(0, 1)) == [
        ShutdownAction.ACCEPT_WAITING
    ]  # and no connection is waiting
    assert (
        shutdown.next_actions(at_s + 2 * INCOMPLETE_REQUEST_S, Observation(0, 1, no_connection_waiting=True))
        == []
    )
    assert shutdown.over


def test_connection_accepted_last_has_time_to_send_its_request() -> None:
    shutdown = finishing(seen=Observation(0, 1))
    at_s = 100.0 + NEW_CONNECTIONS_S + 2 * INCOMPLETE_REQUEST_S
    shutdown.next_actions(at_s - SOON, Observation(0, 1))
    assert shutdown.next_actions(at_s, Observation(0, 1)) == [ShutdownAction.ACCEPT_WAITING]
    assert shutdown.next_actions(at_s, Observation(0, 2, connection_accepted=True)) == REST
    assert shutdown.next_actions(at_s + RECONNECT_S - SOON, Observation(0, 2)) == REST
    assert shutdown.next_actions(at_s + RECONNECT_S + SOON, Observation(0, 2)) == [
        ShutdownAction.ACCEPT_WAITING
    ]


def test_does_not_end_while_data_is_in_transit() -> None:
    shutdown = finishing(seen=Observation(0, 1))
    at_s = 100.0 + NEW_CONNECTIONS_S + INCOMPLETE_REQUEST_S
    assert shutdown.next_actions(at_s, Observation(0, 1, data_in_transit=True)) == [
        ShutdownAction.FAIL_INCOMPLETE,
        *REST,
    ]
    assert (
        shutdown.next_actions(at_s + 2.0, Observation(0, 1, no_connection_waiting=True, data_in_transit=True))
        == REST
    )
    assert shutdown.next_actions(at_s + 2.1, Observation(0, 1, no_connection_waiting=True)) == []
    assert shutdown.over


@pytest.mark.parametrize("longest_s", [0.1, 1.0, MAX_COUNTED_DEADLINE_S, 60.0])
def test_open_calls_are_answered_before_sigkill(longest_s: float) -> None:
    shutdown = finishing(longest_s)
    killed_s = 100.0 + min(longest_s, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S
    before = shutdown.next_actions(killed_s - HALT_MARGIN_S - SOON, Observation(2, 2))
    assert before == (REST if killed_s - HALT_MARGIN_S - SOON >= 100.0 + SILENT_CONNECTION_S else EARLY)
    rest = REST if killed_s - HALT_MARGIN_S + SOON >= 100.0 + SILENT_CONNECTION_S else EARLY
    assert shutdown.next_actions(killed_s - HALT_MARGIN_S + SOON, Observation(2, 2)) == [
        ShutdownAction.HALT,
        ShutdownAction.FAIL_INCOMPLETE,
        *rest,
    ]
    assert shutdown.stage is Stage.HALTED and not shutdown.over
    at_s = killed_s - HALT_MARGIN_S + 2 * SOON
    assert shutdown.next_actions(at_s, Observation(0, 0, no_connection_waiting=True)) == []
    assert shutdown.over


def test_answers_that_have_begun_go_on_after_the_halt_which_comes_once() -> None:
    shutdown = finishing(1.0)
    halt_s = 100.0 + 1.0 + KILL_MARGIN_S - HALT_MARGIN_S
    assert shutdown.next_actions(halt_s, Observation(2, 2))[0] is ShutdownAction.HALT
    for after_s in (SOON, 1.0, 5.0):
        assert shutdown.next_actions(halt_s + after_s, Observation(1, 1)) == REST
        assert not shutdown.over


def test_a_request_that_came_in_time_has_all_of_its_deadline() -> None:
    """A request that arrives up to 0.7 s after SIGTERM gets its whole deadline; a later one only the time
    until SIGKILL."""
    shutdown = finishing(1.0)
    came_s, deadline_s = 100.0 + KILL_MARGIN_S - HALT_MARGIN_S - SOON, 1.0
    assert shutdown.next_actions(came_s + deadline_s, Observation(1, 1)) == REST
