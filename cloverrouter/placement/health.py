"""Estimates how likely a server fails a request, from the outcomes of this proxy's own requests."""

from __future__ import annotations

import attrs

HALF_LIFE_S = 3.0
"""Half-life of the weight of past outcomes."""
PRIOR_REQUESTS = 2.0
PRIOR_FAILURES = 0.02
"""Prior: number of requests, and failures among them, assumed before any outcome is known."""
MAX_REQUESTS = 6.0
"""Cap on the number of outcomes that count, so that a change of the server is noticed soon."""
SUSPECT_RATE = 0.2
"""A server with a higher expected failure rate than this is suspect and gets only probe requests."""
NO_RETRY_SUSPECT_RATE = 0.08
"""The same for requests that must not be retried: the retryable ones serve as probes."""
SUCCESS_DISCOUNT = 0.75
"""Share of the recorded failures that one success removes."""


@attrs.define(slots=True)
class FailureRate:
    """A failure rate whose evidence decays over time. A suspect server gets no requests, so its rate decays
    until it gets one again; that request is the probe."""

    _requests: float = 0.0
    _failures: float = 0.0
    _updated_at: float = 0.0

    def record_success(self, now: float) -> None:
        """Records a successful request."""
        self._decay(now)
        self._failures *= 1.0 - SUCCESS_DISCOUNT
        self._add(0.0)

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Records a failed request; `weight` is below 1 for weaker evidence."""
        self._decay(now)
        self._add(weight)

    def rate(self, now: float) -> float:
        """Returns the expected share of failing requests."""
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

    def _add(self, failure: float) -> None:
        self._requests += 1.0
        self._failures += failure
        if self._requests > MAX_REQUESTS:
            self._failures *= MAX_REQUESTS / self._requests
            self._requests = MAX_REQUESTS
