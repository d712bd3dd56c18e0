"""How far a server is suspected by what became of this proxy's own requests there."""

from __future__ import annotations

import attrs

HALF_LIFE_S = 3.0
"""What happened so long ago counts half."""
PRIOR_REQUESTS = 2.0
PRIOR_FAILURES = 0.02
"""What is believed of a server before anything is known."""
MAX_REQUESTS = 6.0
"""More outcomes than these don't make the belief firmer, so that a change of the server is soon noticed."""
SUSPECT_RATE = 0.2
"""A server that is expected to fail more of the requests than this is left to trials."""
NON_RETRYABLE_SUSPECT_RATE = 0.08
"""The same for requests that can't be sent again: the others are the trials."""
SUCCESS_DISCOUNT = 0.75
"""Part of the bad outcomes that one good one takes back."""


@attrs.define(slots=True)
class FailureRate:
    """A failure rate that forgets. Once nothing is sent to a suspected server any more, the suspicion fades
    until it gets a request again; that one is the trial."""

    _requests: float = 0.0
    _failures: float = 0.0
    _updated_at: float = 0.0

    def record_success(self, now: float) -> None:
        """An answer of worth came."""
        self._decay(now)
        self._failures *= 1.0 - SUCCESS_DISCOUNT
        self._add(0.0)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """The server failed a request; `weight` under 1 where that says less."""
        self._decay(now)
        self._add(weight)

    def rate(self, now: float) -> float:
        """Part of the requests that the server is expected to fail."""
        if self._failures < PRIOR_FAILURES:
            return 0.0
        remaining = float(0.5 ** ((now - self._updated_at) / HALF_LIFE_S))
        return (self._failures * remaining + PRIOR_FAILURES) / (self._requests * remaining + PRIOR_REQUESTS)

    def _decay(self, now: float) -> None:
        now = max(now, self._updated_at)
        remaining = 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)
        self._requests *= remaining
        self._failures *= remaining
        self._updated_at = now

    def _add(self, record_failure: float) -> None:
        self._requests += 1.0
        self._failures += record_failure
        if self._requests > MAX_REQUESTS:
            self._failures *= MAX_REQUESTS / self._requests
            self._requests = MAX_REQUESTS
