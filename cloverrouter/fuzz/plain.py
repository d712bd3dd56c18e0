"""Fuzzing with seeded mutations and without a library: the same seed gives the same inputs.

Findings are deduplicated by code location and exception type, and the run continues after a finding.
"""

from __future__ import annotations

import resource
import time
import traceback
from collections.abc import Callable
from random import Random

import attrs

from cloverrouter.fuzz.target import PropertyBroken, Target, expect

MUTATIONS_END = 6  # exclusive upper bound
MAX_CPU_S = 2.0
MAX_MEMORY_GROWTH_KB = 128 * 1024


@attrs.frozen(slots=True)
class Finding:
    """An input that violated a property or raised an unexpected exception."""

    location: str
    """File and line of the innermost frame in this package, with the exception type."""
    traceback_text: str
    data: bytes


class Findings:
    """Findings of one run, one for each location."""

    def __init__(self) -> None:
        self.by_location: dict[str, Finding] = {}
        self._peak_kb = _peak_kb()

    def check(self, target: Target, data: bytes) -> Finding | None:
        """Checks one input, including its CPU time and memory use.

        Returns the finding if its location is new, otherwise None.
        """
        started = time.process_time()
        try:
            target.check(data)
            self._check_cost(time.process_time() - started)
        except RecursionError as error:  # its innermost frame varies with the recursion depth
            return self._record(f"RecursionError in {type(target).__name__}", error, data)
        except Exception as error:
            return self._record(_location_of(error), error, data)
        return None

    def _check_cost(self, spent_s: float) -> None:
        expect(spent_s <= MAX_CPU_S, f"one input took {spent_s:.1f} s of CPU time")
        before, self._peak_kb = self._peak_kb, _peak_kb()
        growth = self._peak_kb - before
        expect(growth <= MAX_MEMORY_GROWTH_KB, f"one input raised peak memory by {growth // 1024} MB")

    def _record(self, location: str, error: Exception, data: bytes) -> Finding | None:
        if location in self.by_location:
            return None
        finding = Finding(location, "".join(traceback.format_exception(error))[-4000:], data)
        self.by_location[location] = finding
        return finding


def _peak_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def _location_of(error: Exception) -> str:
    frames = [
        frame for frame in traceback.extract_tb(error.__traceback__) if "/cloverrouter/" in frame.filename
    ]
    if isinstance(error, PropertyBroken):
        frames = frames[:-1]  # the frame of `expect`
    last = frames[-1] if frames else None
    where = f"{last.filename.rpartition('/cloverrouter/')[2]}:{last.lineno}" if last is not None else "?"
    return f"{where} {type(error).__name__}"


def input_source(target: Target, seed: int) -> Callable[[], bytes]:
    """Returns a function that generates the next input on each call, beginning with the target's seeds."""
    random, seeds, produced = Random(seed), list(target.seeds()), 0

    def next_input() -> bytes:
        nonlocal produced
        produced += 1
        if produced <= len(seeds):
            return seeds[produced - 1]
        data = random.choice(seeds)
        for _ in range(random.randrange(1, MUTATIONS_END)):
            data = target.mutate(data, random)
        return data

    return next_input


def run_target(make: Callable[[], Target], count: int, seed: int) -> list[Finding]:
    """Creates a target, checks `count` inputs, closes the target and returns the findings."""
    target = make()
    try:
        return run(target, count, seed)
    finally:
        target.close()


def run(target: Target, count: int, seed: int) -> list[Finding]:
    """Checks `count` inputs of the target and returns the findings."""
    findings, next_input = Findings(), input_source(target, seed)
    for _ in range(count):
        findings.check(target, next_input())
    return list(findings.by_location.values())
