"""Randomness as an input: each draw is a choice that the search makes, of two outcomes."""

from __future__ import annotations

from random import Random

LOW, HIGH = 0.02, 0.98


class Choices(Random):
    """Stands in for the balancer's random source. `script` says how each draw falls, low (0) or high (1);
    past its end all fall low. `drawn` is how they fell since `play`."""

    def __init__(self) -> None:
        super().__init__(0)
        self.script: tuple[int, ...] = ()
        self.drawn: list[int] = []

    def __reduce__(self) -> tuple[type[Choices], tuple[()]]:
        return Choices, ()  # between two steps there is nothing to be kept

    def play(self, script: tuple[int, ...]) -> None:
        self.script, self.drawn = script, []

    def random(self) -> float:
        at = len(self.drawn)
        self.drawn.append(self.script[at] if at < len(self.script) else 0)
        return HIGH if self.drawn[-1] else LOW

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        low, high = (0, start) if stop is None else (start, stop)
        return high - 1 if self.random() > 0.5 else low


def next_script(drawn: list[int]) -> tuple[int, ...] | None:
    """The next way for draws to fall, after those in `drawn`; None when all have been played."""
    left = list(drawn)
    while left and left[-1] == 1:
        left.pop()
    return (*left[:-1], 1) if left else None
