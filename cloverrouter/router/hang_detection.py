"""Detects servers that hang on a request which may be sent again.

A server can hang on some requests while it answers others. The detection is used only if the route allows
another run, and acts only while requests are overdue at few servers: if they are overdue at many, the cause
is load, and retries would add to it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cloverrouter.router.attempt import Attempt
from cloverrouter.router.ports import CallLater, Clock, Timer

if TYPE_CHECKING:
    from cloverrouter.placement.pick import ServicePlacement

FIRST_BYTE_TIMEOUT_S = 1.0
"""Time allowed until the answer begins, in seconds."""
STALL_TIMEOUT_S = 2.0
"""Time allowed between two parts of a stream, in seconds."""
MIN_TIME_LEFT_S = 1.5
"""An attempt is given up only if this much time is left, since the next server needs some as well."""
RECHECK_INTERVAL_S = 0.5


class HangDetector:
    """Watches one attempt until it is over, and calls `abandon` when its server seems to hang. `abandon`
    returns whether it gave up the attempt; if not, the watch goes on."""

    __slots__ = ("_abandon", "_attempt", "_call_later", "_clock", "_placement", "_timer")

    def __init__(
        self,
        attempt: Attempt,
        placement: ServicePlacement,
        clock: Clock,
        call_later: CallLater,
        abandon: Callable[[Attempt], bool],
    ) -> None:
        self._attempt = attempt
        self._placement = placement
        self._clock = clock
        self._call_later = call_later
        self._abandon = abandon
        self._timer: Timer = call_later(FIRST_BYTE_TIMEOUT_S, self._check)

    def stop(self) -> None:
        """Stops watching: the attempt is over."""
        self._timer.cancel()

    def _check(self) -> None:
        attempt = self._attempt
        if attempt.is_over:
            return
        time_left_s = self._time_left_s()
        if time_left_s > 0:
            self._timer = self._call_later(time_left_s, self._check)
        elif not (self._placement.has_few_overdue(self._clock()) and self._abandon(attempt)):
            self._timer = self._call_later(RECHECK_INTERVAL_S, self._check)

    def _time_left_s(self) -> float:
        """Returns how many seconds to wait for the next data of the server; 0 or less if it is overdue."""
        attempt = self._attempt
        if attempt.sent_at is None:
            return RECHECK_INTERVAL_S
        if attempt.last_received_at is None:
            return attempt.sent_at + FIRST_BYTE_TIMEOUT_S - self._clock()
        return attempt.last_received_at + STALL_TIMEOUT_S - self._clock()
