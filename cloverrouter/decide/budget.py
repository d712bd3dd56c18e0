"""Retry budget and backoff, with the parameters of the paper that the algorithm follows."""

from __future__ import annotations

from random import Random

BUDGET_CAPACITY = 100.0
RETRY_RATIO = 0.1  # retries add at most this fraction of the successful responses
BACKOFF_BASE_MS = 100.0
BACKOFF_CAP_MS = 30_000.0
DEADLINE_MARGIN_MS = 50.0  # a retry closer than this to the deadline would almost certainly fail


class RetryBudget:
    """Token bucket that successful responses refill and retries drain."""

    def __init__(self, capacity: float = BUDGET_CAPACITY, ratio: float = RETRY_RATIO) -> None:
        self.tokens = self.capacity = capacity
        self.cost = 1 / ratio  # tokens per retry

    def earn(self) -> None:
        self.tokens = min(self.capacity, self.tokens + 1)

    def spend(self) -> bool:
        """Pays for one retry; returns False and takes nothing if there are too few tokens."""
        if self.tokens < self.cost:
            return False
        self.tokens -= self.cost
        return True


def backoff_ms(previous_ms: float, random: Random) -> float:
    """Decorrelated jitter: each wait depends on the previous wait, not on the attempt number."""
    return min(BACKOFF_CAP_MS, BACKOFF_BASE_MS + random.random() * (previous_ms * 3 - BACKOFF_BASE_MS))
