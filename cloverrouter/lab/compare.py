"""Two runs of a scenario beside each other: how sure is it that one is better?"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from statistics import mean

DRAWS = 5000
SURE = 0.95


@dataclass(frozen=True, slots=True)
class Difference:
    """Of a figure, the second less the first, over pairs that share a seed."""

    pairs: int
    first: float
    second: float
    mean: float
    low: float  # between these it lies, as sure as `SURE` says
    high: float

    @property
    def sure(self) -> bool:
        """Does the interval leave out nought?"""
        return self.low > 0 or self.high < 0


def paired(first: dict[int, float], second: dict[int, float], seed: int = 1) -> Difference:
    """By the bootstrap over pairs: figures by seed, those seeds that both have.

    Raises ValueError if there are none.
    """
    seeds = sorted(first.keys() & second.keys())
    if not seeds:
        raise ValueError("the two have no seed in common")
    gaps = [second[s] - first[s] for s in seeds]
    random = Random(seed)
    means = sorted(mean(random.choices(gaps, k=len(gaps))) for _ in range(DRAWS))
    cut = (1 - SURE) / 2
    return Difference(
        len(seeds),
        mean(first[s] for s in seeds),
        mean(second[s] for s in seeds),
        mean(gaps),
        means[int(cut * DRAWS)],
        means[min(DRAWS - 1, int((1 - cut) * DRAWS))],
    )
