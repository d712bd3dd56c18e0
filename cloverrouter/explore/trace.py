"""Histories: played again, cut down to what matters, told as a numbered timeline, saved and read."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec

from cloverrouter.core.states import Effect
from cloverrouter.explore.faults import FAULTS, world_type
from cloverrouter.explore.properties import breaches
from cloverrouter.explore.scope import SCOPES, Scope
from cloverrouter.explore.world import World

FORM = 1


class Step(msgspec.Struct, frozen=True, array_like=True):
    """One event, and how the draws fell that the module made on it."""

    event: str
    draws: tuple[int, ...] = ()


class Counterexample(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A history at whose end a property does not hold."""

    form: int
    scope: str
    fault: str | None
    breach: str
    steps: tuple[Step, ...]


class TraceError(Exception):
    """A file that is no counterexample, or one that can't be played here."""


@dataclass(frozen=True, slots=True)
class Played:
    """A history as it was played: the breaches at its end, and how many steps were taken."""

    breaches: list[str]
    steps: int
    timeline: list[str]


def step(world: World, event: str, draws: tuple[int, ...]) -> tuple[list[int], list[str]]:
    """Make `event` happen; how the draws fell, and what is wrong after it."""
    try:
        drawn = world.apply(event, draws)
        return drawn, breaches(world)
    except Exception as error:  # whatever it is, no order of events may raise it
        return world.choices.drawn, [f"crash: {type(error).__name__}: {error}"]


def play(scope: Scope, fault: str | None, steps: tuple[Step, ...], tell: bool = False) -> Played | None:
    """Play a history from the start, up to its first breach. None if one of its events can't happen."""
    world = world_type(fault)(scope)
    timeline: list[str] = []
    if tell:
        _listen(world, timeline)
    for number, one in enumerate(steps, 1):
        if one.event not in world.enabled():
            return None
        timeline.append(f"{number:3}  {world.now_ms - 1000:7.1f} ms  {one.event}")
        _, wrong = step(world, one.event, one.draws)
        if wrong:
            timeline += [f"     BROKEN  {text}" for text in wrong]
            return Played(wrong, number, timeline)
    return Played([], len(steps), timeline)


def _listen(world: World, timeline: list[str]) -> None:
    """Have the timeline tell what follows from each event."""
    carry_out = world._carry_out

    def told(effect: Effect) -> None:
        fields = [getattr(effect, name) for name in getattr(effect, "__slots__", ())]
        shown = " ".join(f"{f:.0f}" if isinstance(f, float) else str(f) for f in fields)
        timeline.append(f"                      -> {type(effect).__name__} {shown}")
        carry_out(effect)

    world.engine._carry_out = told


def name_of(breach: str) -> str:
    return breach.partition(":")[0]


def shrink(scope: Scope, fault: str | None, steps: tuple[Step, ...]) -> tuple[Step, ...]:
    """The same breach with as few events as can be had by leaving out one, two or four in a row at a time."""
    first = play(scope, fault, steps)
    if first is None or not first.breaches:
        return steps
    wanted, steps = name_of(first.breaches[0]), steps[: first.steps]
    changed = True
    while changed:
        changed = False
        for size in (4, 2, 1):
            at = 0
            while at + size <= len(steps):
                shorter = steps[:at] + steps[at + size :]
                again = play(scope, fault, shorter)
                if again is not None and any(name_of(b) == wanted for b in again.breaches):
                    steps, changed = shorter[: again.steps], True
                else:
                    at += 1
    return steps


def write(found: Counterexample, path: Path) -> None:
    """Save it. Raises OSError."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")


def read(path: Path) -> Counterexample:
    """Raises TraceError, which names the file, what was found and what is allowed."""
    try:
        found = msgspec.json.decode(path.read_bytes(), type=Counterexample)
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror}") from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise TraceError(f"{path}: no counterexample: {error}") from error
    if found.form != FORM:
        raise TraceError(f"{path}: form: found {found.form}, this version reads {FORM}")
    if found.scope not in SCOPES:
        raise TraceError(f"{path}: scope: found {found.scope!r}, allowed are {', '.join(SCOPES)}")
    if found.fault is not None and found.fault not in FAULTS:
        raise TraceError(f"{path}: fault: found {found.fault!r}; see --list-faults")
    return found
