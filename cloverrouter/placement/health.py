"""How far a server is suspected by what became of this proxy's own requests there."""

from __future__ import annotations

import attrs

HALF_LIFE_S = 3.0
"""What happened so long ago counts half."""
PRIOR_REQUESTS = 2.0
PRIOR_BAD = 0.02
"""What is believed of a server before anything is known."""
MOST_REQUESTS = 6.0
"""More outcomes than these don't make the belief firmer, so that a change of the server is soon noticed."""
SUSPECT_RATE = 0.2
"""A server that is expected to fail more of the requests than this is left to trials."""
CAREFUL_RATE = 0.08
"""The same for requests that can't be sent again: the others are the trials."""
FORGIVEN = 0.75
"""Part of the bad outcomes that one good one takes back."""


@attrs.define(slots=True)
class Suspicion:
    """A failure rate that forgets. Once nothing is sent to a suspected server any more, the suspicion fades
    until it gets a request again; that one is the trial."""

    _requests: float = 0.0
    _bad: float = 0.0
    _at: float = 0.0

    def good(self, now: float) -> None:
        """An answer of worth came."""
        self._fade(now)
        self._bad *= 1.0 - FORGIVEN
        self._add(0.0)

    def bad(self, now: float, weight: float = 1.0) -> None:
        """The server failed a request; `weight` under 1 where that says less."""
        self._fade(now)
        self._add(weight)

    def rate(self, now: float) -> float:
        """Part of the requests that the server is expected to fail."""
        if self._bad < PRIOR_BAD:
            return 0.0
        kept = float(0.5 ** ((now - self._at) / HALF_LIFE_S))
        return (self._bad * kept + PRIOR_BAD) / (self._requests * kept + PRIOR_REQUESTS)

    def _fade(self, now: float) -> None:
        now = max(now, self._at)
        kept = 0.5 ** ((now - self._at) / HALF_LIFE_S)
        self._requests *= kept
        self._bad *= kept
        self._at = now

    def _add(self, bad: float) -> None:
        self._requests += 1.0
        self._bad += bad
        if self._requests > MOST_REQUESTS:
            self._bad *= MOST_REQUESTS / self._requests
            self._requests = MOST_REQUESTS
