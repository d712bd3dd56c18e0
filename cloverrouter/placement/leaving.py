"""What a process that was told to end still begins: what surely ends before it does.

All that is under way when the process ends is cut off. A request that is refused instead has not run, and its
client can ask another proxy at once. Streams that their clients can resume elsewhere are begun for a while:
a cut costs such a client the same further try as a refusal, later and only if the stream is so long.
"""

from __future__ import annotations

import attrs

MARGIN_S = 0.2
"""What is expected to end must do so this long before the process: timers fire late on a busy machine."""
EARLY_PHASE_S = 2.5
"""By then those who send clients here have learnt that they should not; they ask for readiness each second,
and believe the second answer."""
EARLY_PHASE_SHARE = 1 / 3
"""The same, where little time is left. What is begun early on an estimate that was wrong still has the other
two thirds to come true; after that only deadlines count."""
ESTIMATE_FACTOR = 2.0
"""An answer may take so many times as long as the longest one seen."""
KEPT_S = 30.0
"""An answer's time is remembered for this long at least, and for twice as long at most."""
RETRY_AFTER_S = 0.02
RETRY_SPREAD_S = 0.06
"""Other proxies can take a refused request at once; clients of one that leaves are spread a little."""


@attrs.frozen(slots=True)
class Leave:
    """The span between being told to end and the end. Seconds on one steady clock."""

    requested_at: float
    ends_at: float


@attrs.frozen(slots=True)
class Expectation:
    """What is known of a request before it is begun."""

    deadline: float
    """It is over then, whatever its server does."""
    longest_s: float | None
    """The longest that one of its kind took lately; None if nobody knows."""
    can_resume: bool
    """Its client can go on elsewhere after a cut."""


def may_begin(leave: Leave, now: float, request: Expectation) -> bool:
    """Whether a request may still be begun."""
    last_end = leave.ends_at - MARGIN_S
    if request.deadline <= last_end:
        return True
    if now > leave.requested_at + min(
        EARLY_PHASE_S, (leave.ends_at - leave.requested_at) * EARLY_PHASE_SHARE
    ):
        return False
    if request.can_resume:
        return True
    return request.longest_s is not None and now + request.longest_s * ESTIMATE_FACTOR <= last_end


def leaving_retry_after_s(draw: float) -> float:
    """When a client that a leaving process refuses should ask again; `draw` from 0 to 1."""
    return RETRY_AFTER_S + RETRY_SPREAD_S * draw


class LongestAnswers:
    """The longest time that an answer of each kind took lately."""

    def __init__(self) -> None:
        self._recent: dict[str, float] = {}
        self._older: dict[str, float] = {}
        self._rotates_at = 0.0

    def note(self, kind: str, duration_s: float, now: float) -> None:
        """An answer of that kind has come to its end."""
        self._rotate(now)
        if duration_s > self._recent.get(kind, 0.0):
            self._recent[kind] = duration_s

    def of(self, kind: str, now: float) -> float | None:
        """The longest; None if none came lately."""
        self._rotate(now)
        found = [longest[kind] for longest in (self._recent, self._older) if kind in longest]
        return max(found, default=None)

    def _rotate(self, now: float) -> None:
        """Forget what is too old."""
        if now < self._rotates_at:
            return
        is_fresh = now < self._rotates_at + KEPT_S
        self._older = self._recent if is_fresh else {}
        self._recent = {}
        self._rotates_at = now + KEPT_S
