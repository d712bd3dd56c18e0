"""Seeded random numbers: one named stream for each source, so that adding a source shifts no other."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from math import exp, log
from random import Random


class Draws:
    """The streams of one run."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, name: str) -> Random:
        """The stream of this name, from its start; the same for the same seed and name on any machine."""
        return Random(f"{self.seed}/{name}")


def lognormal(random: Random, mean: float, spread: float) -> float:
    """Of this mean; `spread` is the standard deviation of its logarithm, 0: no spread."""
    if spread <= 0:
        return mean
    return exp(random.gauss(log(mean) - spread * spread / 2, spread))


class Zipf:
    """Ranks from 0 on, the first by far the most popular: weight 1 / (rank + 1) ** skew."""

    def __init__(self, count: int, skew: float) -> None:
        self._upto = list(accumulate(1 / (rank + 1) ** skew for rank in range(count)))

    def draw(self, random: Random) -> int:
        return min(bisect(self._upto, random.random() * self._upto[-1]), len(self._upto) - 1)


class Weighted:
    """Names by their weights."""

    def __init__(self, weights: dict[str, float]) -> None:
        self._names = list(weights)
        self._upto = list(accumulate(weights.values()))

    def draw(self, random: Random) -> str:
        at = bisect(self._upto, random.random() * self._upto[-1])
        return self._names[min(at, len(self._names) - 1)]
