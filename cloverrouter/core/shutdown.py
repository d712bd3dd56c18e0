"""Shutdown sequence of a process: what is done at which time after SIGTERM, and when the process exits.

Every request that was accepted needs an answer, including those that arrive during the shutdown. An idle
connection may be closed between two requests; a request that was sent before the client saw the close is
retried on a new connection. So the listener closes last: while connections that may be closed remain, and for
a moment after the last was closed, the process must accept new ones. It exits only at a check that finds no
unanswered request, no traffic on the remaining connections and no connection waiting to be accepted.

    SERVING -> DRAINING -> FINISHING -> (ENDING_INCOMPLETE ->) OVER
    DRAINING, FINISHING, ENDING_INCOMPLETE -> HALTED -> OVER

| state | what remains | what is done at each check |
| --- | --- | --- |
| DRAINING | new connections may arrive, calls run normally | quiet connections close |
| FINISHING | calls run normally | quiet connections close, later also those that never sent a byte |
| ENDING_INCOMPLETE | incomplete requests, and responses that clients read slowly | the same |
| HALTED | responses that have started; all others failed, since SIGKILL is next | the same |
| OVER | nothing | |

This module knows no socket and no clock: the driver reports what it observes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# New connections keep arriving for a while after SIGTERM.
NEW_CONNECTIONS_S = 0.5
# Time for incomplete requests and responses still being read once no answer is pending; and the same again
# for the error responses that incomplete requests get then.
INCOMPLETE_REQUEST_S = 0.5
# A request that crossed the close of its connection is retried within this time, and is still accepted.
RECONNECT_S = 0.15
# SIGKILL comes no sooner than the longest deadline, capped at this value, plus a margin.
MAX_COUNTED_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
# Connections that have sent nothing are closed this long after the start of the shutdown: a later request
# would not have its full deadline.
SILENT_CONNECTION_S = KILL_MARGIN_S - 0.05
# Pending calls are answered this long before SIGKILL, to allow for event loop delays on a busy machine.
HALT_MARGIN_S = 0.15


class Stage(Enum):
    """Phases of the shutdown."""

    SERVING = "serving"
    DRAINING = "sending away"
    FINISHING = "finishing"
    ENDING_INCOMPLETE = "cutting"
    HALTED = "halted"
    OVER = "over"


class ShutdownAction(Enum):
    """What the driver must do at a check."""

    CLOSE_QUIET = "close quiet"  # connections without a pending call, if they have been quiet for a moment
    CLOSE_SILENT = "close silent"  # likewise, connections that have never sent a byte
    FAIL_INCOMPLETE = "end half-sent"  # answer incomplete requests with an error
    HALT = "halt"  # answer all pending calls at once
    ACCEPT_WAITING = "take in"  # accept a waiting connection; if there is none, report it at the next check


@dataclass(slots=True)
class Observation:
    """What the driver observes at one check."""

    open_calls: int  # calls without a final answer
    open_connections: int  # client connections
    others_accept: bool = False  # another process accepts new connections
    no_connection_waiting: bool = False  # `ACCEPT_WAITING` has just found no connection
    connection_accepted: bool = False  # `ACCEPT_WAITING` has just accepted a connection
    data_in_transit: bool = False  # data is still being sent on one of these, or has arrived unread


class Shutdown:
    """The shutdown of one process. After `begin`, call `next_actions` every few hundredths of a second."""

    __slots__ = ("_begun_s", "_halt_s", "_last_connection_s", "_last_open_call_s", "stage")

    def __init__(self) -> None:
        self.stage = Stage.SERVING
        self._begun_s = self._halt_s = self._last_open_call_s = self._last_connection_s = 0.0

    @property
    def over(self) -> bool:
        """Whether the process can exit."""
        return self.stage is Stage.OVER

    def begin(self, now_s: float, longest_deadline_s: float) -> None:
        """Starts the shutdown. A second call changes nothing."""
        if self.stage is Stage.SERVING:
            self.stage = Stage.DRAINING
            self._begun_s = self._last_open_call_s = now_s
            kill_s = now_s + min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S
            self._halt_s = max(now_s + NEW_CONNECTIONS_S, kill_s - HALT_MARGIN_S)

    def next_actions(self, now_s: float, seen: Observation) -> list[ShutdownAction]:
        """Returns what to do now, in this order. Raises ValueError before `begin` was called."""
        if self.stage is Stage.SERVING:
            raise ValueError("the shutdown has not started")
        if self.stage is Stage.OVER:
            return []
        if seen.open_calls:
            self._last_open_call_s = now_s
        if seen.open_connections:
            self._last_connection_s = now_s
        expects_connections = not seen.others_accept and now_s < self._begun_s + NEW_CONNECTIONS_S
        if self.stage is Stage.DRAINING and not expects_connections:
            self.stage = Stage.FINISHING
            self._last_open_call_s = now_s
        if self.stage is Stage.DRAINING:
            return [ShutdownAction.CLOSE_QUIET]
        if seen.connection_accepted:  # its request gets as much time to arrive as one that crossed a close
            self._last_open_call_s = max(
                self._last_open_call_s, now_s + RECONNECT_S - 2 * INCOMPLETE_REQUEST_S
            )
        close_actions = [ShutdownAction.CLOSE_QUIET]
        if now_s >= self._begun_s + SILENT_CONNECTION_S:
            close_actions.append(ShutdownAction.CLOSE_SILENT)
        if seen.open_calls and now_s >= self._halt_s and self.stage is not Stage.HALTED:
            self.stage = Stage.HALTED
            return [ShutdownAction.HALT, ShutdownAction.FAIL_INCOMPLETE, *close_actions]
        idle_s = now_s - self._last_open_call_s
        # Requests cut off by the process's own exit count as lost; those that SIGKILL interrupts do not.
        # Responses that the client does not read end by themselves (`ClientConnection.check`).
        stuck = (
            bool(seen.open_connections) and idle_s >= 2 * INCOMPLETE_REQUEST_S and not seen.data_in_transit
        )
        if not seen.open_calls and (stuck or not seen.open_connections):
            if seen.others_accept or seen.no_connection_waiting:
                self.stage = Stage.OVER
                return []
            return (
                [ShutdownAction.ACCEPT_WAITING]
                if stuck or now_s >= self._last_connection_s + RECONNECT_S
                else []
            )
        if not seen.open_calls and idle_s >= INCOMPLETE_REQUEST_S and self.stage is Stage.FINISHING:
            self.stage = Stage.ENDING_INCOMPLETE
            return [ShutdownAction.FAIL_INCOMPLETE, *close_actions]
        return close_actions
