"""`explore` for the models of control: search one, play a saved history, tell what was found."""

from __future__ import annotations

import sys
from contextlib import AbstractContextManager, nullcontext
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from cloverrouter.cli import usage
from cloverrouter.explore import model_trace
from cloverrouter.explore.coordination.search import Progress, Result, play, search
from cloverrouter.explore.model_trace import FORM, SavedTrace
from cloverrouter.explore.models import MODELS, faults
from cloverrouter.explore.trace import TraceError


def run(
    name: str,
    fault: str | None,
    seconds: float | None,
    deviations: int | None,
    save: Path | None,
    as_json: bool,
) -> None:
    """Search one model and tell. Ends the process."""
    scope = MODELS[name]
    limits = scope.limits
    if seconds is not None:
        limits = replace(limits, seconds=seconds)
    if deviations is not None:
        limits = replace(limits, deviations=deviations)
    with _seeded(fault):
        result = search(scope.model(), limits, _progress(as_json))
    found = None
    if result.trace is not None:
        found = SavedTrace(FORM, name, fault, result.trace.breach, result.trace.start, result.trace.steps)
        _save(found, save)
    if as_json:
        usage.say(msgspec.json.encode({"scope": name, **msgspec.to_builtins(result)}).decode())
    else:
        _tell(name, result, found)
    sys.exit(1 if found is not None else 0)


def replay(path: Path) -> None:
    """Play a saved history and tell. Ends the process."""
    try:
        found = model_trace.read(path)
    except TraceError as error:
        raise usage.UsageError(str(error)) from error
    is_broken = _timeline(found)
    if is_broken is None:
        usage.error_line("this history can't happen any more: the code has changed since it was saved")
    elif not is_broken:
        usage.say("nothing is broken any more")
    sys.exit(1 if is_broken else 0)


def _seeded(fault: str | None) -> AbstractContextManager[Any]:
    return faults()[fault].seeded() if fault is not None else nullcontext()


def _save(found: SavedTrace, path: Path | None) -> None:
    if path is None:
        return
    try:
        model_trace.write(found, path)
    except OSError as error:
        raise usage.UsageError(f"{path}: {error.strerror}") from error


def _progress(as_json: bool) -> Progress:
    if as_json or not sys.stderr.isatty():
        return lambda result: None

    def show(result: Result) -> None:
        line = f"{result.states} states, {result.transitions} transitions, {result.seconds:.0f} s"
        print(f"\r{line}", end="", file=sys.stderr, flush=True)

    return show


ENDED = {
    "bound": "every history within the bounds",
    "time": "ended by the time",
    "states": "ended by the number of states",
    "breach": "ended by a breach",
}


def _tell(name: str, result: Result, found: SavedTrace | None) -> None:
    whole = f"whole to {result.deviations} deviations" if result.deviations >= 0 else "not whole"
    usage.say(
        f"scope {name}: {result.states} states, {result.transitions} transitions, depth {result.depth}; "
        f"{whole}, {result.left} states not opened; "
        f"{ENDED[result.ended_by]}; {result.seconds:.1f} s"
    )
    if found is None:
        usage.say("every invariant held")
    else:
        _timeline(found)


def _timeline(found: SavedTrace) -> bool | None:
    """Tell a history. Gives whether it breaks something; None if it can't happen."""
    scope = MODELS[found.scope]
    with _seeded(found.fault):
        played = play(scope.model(), found.start, found.steps, scope.step_notes)
    if played is None:
        return None
    usage.say(f"scope {found.scope}" + (f", with the fault {found.fault}" if found.fault else ""))
    for line in played.timeline:
        usage.say(line)
    text = scope.invariants.get(found.breach.partition(":")[0])
    if text and played.breaches:
        usage.say(f"the invariant: {text}")
    return bool(played.breaches)
