"""Estimates the time to the first token (TTFT) as a linear function of the prompt tokens to prefill, learnt
from answers."""

from __future__ import annotations

DECAY_PER_ANSWER = 0.98
"""Factor by which the weight of all earlier answers decays with each new one."""
DEFAULT_MS_PER_TOKEN = 0.004
DEFAULT_MEAN_TTFT_MS = 20.0
MIN_MEAN_TTFT_MS = 2.0
MAX_MS_PER_TOKEN = 1.0
MIN_WEIGHT = 5.0
"""Weight of the recorded answers (about their number) from which on the fitted estimate replaces the
defaults."""


class FirstTokenModel:
    """Exponentially weighted least squares of the time to the first token over the tokens to prefill."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._tokens = self._ms = self._tokens_squared = self._product = 0.0

    def learn(self, tokens: float, ms: float) -> None:
        """Adds one answer: its time to the first token, and the tokens that had to be prefilled."""
        self._weight = self._weight * DECAY_PER_ANSWER + 1.0
        self._tokens = self._tokens * DECAY_PER_ANSWER + tokens
        self._ms = self._ms * DECAY_PER_ANSWER + ms
        self._tokens_squared = self._tokens_squared * DECAY_PER_ANSWER + tokens * tokens
        self._product = self._product * DECAY_PER_ANSWER + tokens * ms

    @property
    def ms_per_token(self) -> float:
        """Prefill time of one prompt token, in milliseconds."""
        if self._weight < MIN_WEIGHT:
            return DEFAULT_MS_PER_TOKEN
        spread = self._tokens_squared - self._tokens**2 / self._weight
        if spread < self._weight:
            return DEFAULT_MS_PER_TOKEN
        slope = (self._product - self._tokens * self._ms / self._weight) / spread
        return min(MAX_MS_PER_TOKEN, max(0.0, slope))

    @property
    def mean_ttft_ms(self) -> float:
        """Mean time to the first token: the unit in which expected times are converted to requests."""
        if self._weight < MIN_WEIGHT:
            return DEFAULT_MEAN_TTFT_MS
        return max(MIN_MEAN_TTFT_MS, self._ms / self._weight)

    def prefill_ms(self, tokens: float) -> float:
        """Returns the prefill time of this many tokens."""
        return tokens * self.ms_per_token

    def expected_ms(self, tokens: float) -> float:
        """Returns the expected time to the first token at a server with average load."""
        if self._weight < MIN_WEIGHT:
            return DEFAULT_MEAN_TTFT_MS + self.prefill_ms(tokens)
        mean_tokens = self._tokens / self._weight
        return max(0.0, self.mean_ttft_ms + (tokens - mean_tokens) * self.ms_per_token)
