"""A random source whose draws the search chooses: each draw is either low or high."""

from __future__ import annotations

from random import Random

LOW_DRAW, HIGH_DRAW = 0.02, 0.98


class Choices(Random):
    """Replaces the balancer's random source.

    `script` sets the result of each draw, low (0) or high (1); draws past its end are low. `drawn` records
    the results since the last call of `load_script`.
    """

    def __init__(self) -> None:
        super().__init__(0)
        self.script: tuple[int, ...] = ()
        self.drawn: list[int] = []

    def __reduce__(self) -> tuple[type[Choices], tuple[()]]:
        return Choices, ()  # the script and the draws are only used within one step

    def load_script(self, script: tuple[int, ...]) -> None:
        self.script, self.drawn = script, []

    def random(self) -> float:
        at = len(self.drawn)
        self.drawn.append(self.script[at] if at < len(self.script) else 0)
        return HIGH_DRAW if self.drawn[-1] else LOW_DRAW

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        low, high = (0, start) if stop is None else (start, stop)
        return high - 1 if self.random() > 0.5 else low


def next_script(drawn: list[int]) -> tuple[int, ...] | None:
    """Returns the script that follows the draws `drawn` in binary order, or None after the last one."""
    left = list(drawn)
    while left and left[-1] == 1:
        left.pop()
    return (*left[:-1], 1) if left else None
