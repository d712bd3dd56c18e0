"""Histories: replayed, shrunk, formatted as a numbered timeline, saved and read."""

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
    """One event, and the results of the random draws that the balancer made on it."""

    event: str
    draws: tuple[int, ...] = ()


class Counterexample(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A history after which a property does not hold."""

    form: int
    scope: str
    fault: str | None
    breach: str
    steps: tuple[Step, ...]


class TraceError(Exception):
    """A file that is not a counterexample, or one that this version can't replay."""


@dataclass(frozen=True, slots=True)
class Played:
    """A replayed history: the breaches at its end, the number of steps, and the formatted timeline."""

    breaches: list[str]
    steps: int
    timeline: list[str]


def step(world: World, event: str, draws: tuple[int, ...]) -> tuple[list[int], list[str]]:
    """Applies `event`. Returns the results of its random draws, and the breaches after it."""
    try:
        drawn = world.apply(event, draws)
        return drawn, breaches(world)
    except Exception as error:  # any exception is a breach: no order of events may raise one
        return world.choices.drawn, [f"crash: {type(error).__name__}: {error}"]


def play(scope: Scope, fault: str | None, steps: tuple[Step, ...], verbose: bool = False) -> Played | None:
    """Replays a history from the start up to its first breach. Returns None if an event is not enabled.

    With `verbose`, the timeline also contains the effects of each event.
    """
    world = world_type(fault)(scope)
    timeline: list[str] = []
    if verbose:
        _record_effects(world, timeline)
    for number, entry in enumerate(steps, 1):
        if entry.event not in world.enabled():
            return None
        timeline.append(f"{number:3}  {world.now_ms - 1000:7.1f} ms  {entry.event}")
        _, found_breaches = step(world, entry.event, entry.draws)
        if found_breaches:
            timeline += [f"     BROKEN  {text}" for text in found_breaches]
            return Played(found_breaches, number, timeline)
    return Played([], len(steps), timeline)


def _record_effects(world: World, timeline: list[str]) -> None:
    """Adds the effects of each event to the timeline."""
    carry_out = world._carry_out

    def record_and_carry_out(effect: Effect) -> None:
        fields = [getattr(effect, name) for name in getattr(effect, "__slots__", ())]
        field_texts = " ".join(f"{f:.0f}" if isinstance(f, float) else str(f) for f in fields)
        timeline.append(f"                      -> {type(effect).__name__} {field_texts}")
        carry_out(effect)

    world.engine._carry_out = record_and_carry_out


def property_of(breach: str) -> str:
    """Returns the name of the property that a breach text begins with."""
    return breach.partition(":")[0]


def shrink(scope: Scope, fault: str | None, steps: tuple[Step, ...]) -> tuple[Step, ...]:
    """Returns a shorter history with a breach of the same property.

    Removes runs of four, two and one events, until no removal preserves the breach.
    """
    first = play(scope, fault, steps)
    if first is None or not first.breaches:
        return steps
    property_name, steps = property_of(first.breaches[0]), steps[: first.steps]
    changed = True
    while changed:
        changed = False
        for size in (4, 2, 1):
            at = 0
            while at + size <= len(steps):
                shorter = steps[:at] + steps[at + size :]
                replayed = play(scope, fault, shorter)
                if replayed is not None and any(property_of(b) == property_name for b in replayed.breaches):
                    steps, changed = shorter[: replayed.steps], True
                else:
                    at += 1
    return steps


def write(found: Counterexample, path: Path) -> None:
    """Writes `found` as indented JSON. Raises OSError."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")


def read(path: Path) -> Counterexample:
    """Reads a saved counterexample.

    Raises TraceError, which names the file, the value found and the values allowed.
    """
    try:
        found = msgspec.json.decode(path.read_bytes(), type=Counterexample)
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror}") from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise TraceError(f"{path}: not a counterexample: {error}") from error
    if found.form != FORM:
        raise TraceError(f"{path}: form: found {found.form}, this version reads {FORM}")
    if found.scope not in SCOPES:
        raise TraceError(f"{path}: scope: found {found.scope!r}, allowed are {', '.join(SCOPES)}")
    if found.fault is not None and found.fault not in FAULTS:
        raise TraceError(f"{path}: fault: found {found.fault!r}; see --list-faults")
    return found
