"""Seeded inputs one after the other, without any library: the same seed gives the same inputs.

What is found is kept once for each place in the code and kind of error, so that a run goes on after it.
"""

from __future__ import annotations

import resource
import time
import traceback
from collections.abc import Callable
from random import Random

import attrs

from cloverrouter.fuzz.target import PropertyBroken, Target, expect

MAX_CHAIN = 6
MAX_INPUT_S = 2.0
MAX_GROWTH_KB = 128 * 1024


@attrs.frozen(slots=True)
class Found:
    """An input for which something did not hold."""

    place: str
    """The deepest place in the program's own code, with the kind of error."""
    text: str
    data: bytes


class Findings:
    """What was found, one input for each place."""

    def __init__(self) -> None:
        self.by_place: dict[str, Found] = {}
        self._peak_kb = _peak_kb()

    def check(self, target: Target, data: bytes) -> Found | None:
        """Checks one input, its time and its memory too; gives what is new."""
        started = time.process_time()
        try:
            target.check(data)
            self._check_cost(time.process_time() - started)
        except RecursionError as error:  # its traceback differs with the depth
            return self._note(f"RecursionError in {type(target).__name__}", error, data)
        except Exception as error:
            return self._note(_place_of(error), error, data)
        return None

    def _check_cost(self, spent_s: float) -> None:
        expect(spent_s <= MAX_INPUT_S, f"one input took {spent_s:.1f} s of processor time")
        before, self._peak_kb = self._peak_kb, _peak_kb()
        growth = self._peak_kb - before
        expect(growth <= MAX_GROWTH_KB, f"one input took {growth // 1024} MB more than any before")

    def _note(self, place: str, error: Exception, data: bytes) -> Found | None:
        if place in self.by_place:
            return None
        found = Found(place, "".join(traceback.format_exception(error))[-4000:], data)
        self.by_place[place] = found
        return found


def _peak_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def _place_of(error: Exception) -> str:
    frames = [
        frame for frame in traceback.extract_tb(error.__traceback__) if "/cloverrouter/" in frame.filename
    ]
    if isinstance(error, PropertyBroken):
        frames = frames[:-1]  # that of `expect`
    last = frames[-1] if frames else None
    where = f"{last.filename.rpartition('/cloverrouter/')[2]}:{last.lineno}" if last is not None else "?"
    return f"{where} {type(error).__name__}"


def inputs(target: Target, seed: int) -> Callable[[], bytes]:
    """A function that gives one input after the other; the first ones are the target's seeds."""
    random, seeds, given = Random(seed), list(target.seeds()), 0

    def following() -> bytes:
        nonlocal given
        given += 1
        if given <= len(seeds):
            return seeds[given - 1]
        data = random.choice(seeds)
        for _ in range(random.randrange(1, MAX_CHAIN)):
            data = target.mutate(data, random)
        return data

    return following


def play_target(make: Callable[[], Target], count: int, seed: int) -> list[Found]:
    """Checks so many inputs of a target made for that."""
    target = make()
    try:
        return play(target, count, seed)
    finally:
        target.close()


def play(target: Target, count: int, seed: int) -> list[Found]:
    """Checks so many inputs; gives what was found."""
    findings, following = Findings(), inputs(target, seed)
    for _ in range(count):
        findings.check(target, following())
    return list(findings.by_place.values())
