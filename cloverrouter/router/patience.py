"""How long a request that may be sent again waits for a server that seems not to work on it.

A server can hang on some requests while it answers others. Only where the route allows another run, and only
while few servers let requests wait: when many do, the cause is load, and giving up would add to it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cloverrouter.router.attempt import Attempt
from cloverrouter.router.ports import CallLater, Clock, Timer

if TYPE_CHECKING:
    from cloverrouter.placement.pick import ServicePlacement

START_S = 1.0
"""Patience with an answer that has not begun."""
STALL_S = 2.0
"""Patience between two parts of a stream."""
LEAST_LEFT_S = 1.5
"""Another server needs some time as well."""
LOOK_AGAIN_S = 0.5


class Patience:
    """Watches one attempt until it is over, and calls `give_up` once if it waits in vain."""

    __slots__ = ("_attempt", "_call_later", "_clock", "_give_up", "_placement", "_timer")

    def __init__(
        self,
        attempt: Attempt,
        placement: ServicePlacement,
        clock: Clock,
        call_later: CallLater,
        give_up: Callable[[Attempt], bool],
    ) -> None:
        self._attempt = attempt
        self._placement = placement
        self._clock = clock
        self._call_later = call_later
        self._give_up = give_up
        self._timer: Timer = call_later(START_S, self._look)

    def stop(self) -> None:
        """The attempt is over."""
        self._timer.cancel()

    def _look(self) -> None:
        attempt = self._attempt
        if attempt.over:
            return
        left_s = self._left_s()
        if left_s > 0:
            self._timer = self._call_later(left_s, self._look)
        elif not (self._placement.has_few_overdue(self._clock()) and self._give_up(attempt)):
            self._timer = self._call_later(LOOK_AGAIN_S, self._look)

    def _left_s(self) -> float:
        """How long it is still worth waiting for the next sign of the server."""
        attempt = self._attempt
        if attempt.sent_at is None:
            return LOOK_AGAIN_S
        if attempt.heard_at is None:
            return attempt.sent_at + START_S - self._clock()
        return attempt.heard_at + STALL_S - self._clock()
