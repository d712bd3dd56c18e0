"""Decides which requests a process may still start once it was told to shut down: those that surely end
before it does.

Everything in flight when the process ends is cut off. A request that is refused instead has not been
executed, and its client can retry at another proxy at once. Streams that clients can resume elsewhere are
still started for a while: a cut costs such a client the same additional attempt as a refusal, but later, and
only if the stream is long.
"""

from __future__ import annotations

import attrs

MARGIN_S = 0.2
"""Requests must be expected to end this long before the process, since timers fire late on a busy machine."""
EARLY_PHASE_S = 2.5
"""Length of the early phase. Load balancers check readiness every second and act on the second failed check,
so by its end they have stopped sending clients here."""
EARLY_PHASE_SHARE = 1 / 3
"""Share of the time until the end that the early phase takes if that is less. A request that starts in this
phase on a wrong estimate has the other two thirds to finish; afterwards only deadlines count."""
ESTIMATE_FACTOR = 2.0
"""An answer may take this many times as long as the longest one seen."""
RETENTION_S = 30.0
"""A duration is remembered for at least this long and at most twice as long."""
RETRY_AFTER_S = 0.02
RETRY_SPREAD_S = 0.06
"""Another proxy can take a refused request at once; the spread keeps the refused clients from retrying all
together."""


@attrs.frozen(slots=True)
class ShutdownWindow:
    """The time between the request to shut down and the end of the process, in seconds on one monotonic
    clock."""

    requested_at: float
    ends_at: float


@attrs.frozen(slots=True)
class Expectation:
    """What is known of a request before it starts."""

    deadline: float
    """The request ends at this time at the latest, whatever its server does."""
    longest_s: float | None
    """Longest duration of recent requests of its kind; None if unknown."""
    can_resume: bool
    """Whether its client can resume at another proxy after a cut."""


def may_begin(shutdown: ShutdownWindow, now: float, request: Expectation) -> bool:
    """Returns whether a request may still be started."""
    last_end = shutdown.ends_at - MARGIN_S
    if request.deadline <= last_end:
        return True
    if now > shutdown.requested_at + min(
        EARLY_PHASE_S, (shutdown.ends_at - shutdown.requested_at) * EARLY_PHASE_SHARE
    ):
        return False
    if request.can_resume:
        return True
    return request.longest_s is not None and now + request.longest_s * ESTIMATE_FACTOR <= last_end


def shutdown_retry_after_s(draw: float) -> float:
    """Returns when a client that is refused during the shutdown should retry, in seconds; `draw` is from 0 to
    1."""
    return RETRY_AFTER_S + RETRY_SPREAD_S * draw


class LongestAnswers:
    """Longest recent duration of an answer by kind of request."""

    def __init__(self) -> None:
        self._recent: dict[str, float] = {}
        self._older: dict[str, float] = {}
        self._rotates_at = 0.0

    def note(self, kind: str, duration_s: float, now: float) -> None:
        """Records the duration of a completed answer."""
        self._rotate(now)
        if duration_s > self._recent.get(kind, 0.0):
            self._recent[kind] = duration_s

    def of(self, kind: str, now: float) -> float | None:
        """Returns the longest duration; None if there is no recent one."""
        self._rotate(now)
        found = [longest[kind] for longest in (self._recent, self._older) if kind in longest]
        return max(found, default=None)

    def _rotate(self, now: float) -> None:
        """Drops durations that are too old."""
        if now < self._rotates_at:
            return
        is_fresh = now < self._rotates_at + RETENTION_S
        self._older = self._recent if is_fresh else {}
        self._recent = {}
        self._rotates_at = now + RETENTION_S
