"""The `explore` command for the control-plane models: searches a model or replays a saved event sequence."""

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
    """Searches one model, prints the result and exits: 1 if an invariant was violated, 0 otherwise."""
    scope = MODELS[name]
    limits = scope.limits
    if seconds is not None:
        limits = replace(limits, seconds=seconds)
    if deviations is not None:
        limits = replace(limits, deviations=deviations)
    with _fault_injected(fault):
        result = search(scope.model(), limits, _progress_printer(as_json))
    saved_trace = None
    if result.trace is not None:
        saved_trace = SavedTrace(
            FORM, name, fault, result.trace.breach, result.trace.start, result.trace.steps
        )
        _save(saved_trace, save)
    if as_json:
        usage.print_line(msgspec.json.encode({"scope": name, **msgspec.to_builtins(result)}).decode())
    else:
        _print_result(name, result, saved_trace)
    sys.exit(1 if saved_trace is not None else 0)


def replay(path: Path) -> None:
    """Replays a saved event sequence, prints it and exits: 1 if it violates an invariant, else 0."""
    try:
        saved_trace = model_trace.read(path)
    except TraceError as error:
        raise usage.UsageError(str(error)) from error
    is_broken = _print_timeline(saved_trace)
    if is_broken is None:
        usage.print_error("this event sequence can no longer occur: the code has changed since it was saved")
    elif not is_broken:
        usage.print_line("nothing is broken any more")
    sys.exit(1 if is_broken else 0)


def _fault_injected(fault: str | None) -> AbstractContextManager[Any]:
    return faults()[fault].seeded() if fault is not None else nullcontext()


def _save(saved_trace: SavedTrace, path: Path | None) -> None:
    if path is None:
        return
    try:
        model_trace.write(saved_trace, path)
    except OSError as error:
        raise usage.UsageError(f"{path}: {error.strerror}") from error


def _progress_printer(as_json: bool) -> Progress:
    if as_json or not sys.stderr.isatty():
        return lambda result: None

    def print_progress(result: Result) -> None:
        line = f"{result.states} states, {result.transitions} transitions, {result.seconds:.0f} s"
        print(f"\r{line}", end="", file=sys.stderr, flush=True)

    return print_progress


END_REASONS = {
    "bound": "every event sequence within the bounds",
    "time": "stopped at the time limit",
    "states": "stopped at the state limit",
    "breach": "stopped at a violation",
}


def _print_result(name: str, result: Result, saved_trace: SavedTrace | None) -> None:
    completeness = f"complete to {result.deviations} deviations" if result.deviations >= 0 else "incomplete"
    usage.print_line(
        f"scope {name}: {result.states} states, {result.transitions} transitions, depth {result.depth}; "
        f"{completeness}, {result.left} states not explored; "
        f"{END_REASONS[result.ended_by]}; {result.seconds:.1f} s"
    )
    if saved_trace is None:
        usage.print_line("every invariant held")
    else:
        _print_timeline(saved_trace)


def _print_timeline(saved_trace: SavedTrace) -> bool | None:
    """Replays and prints an event sequence.

    Returns whether it violates an invariant, or None if it can no longer occur.
    """
    scope = MODELS[saved_trace.scope]
    with _fault_injected(saved_trace.fault):
        replayed = play(scope.model(), saved_trace.start, saved_trace.steps, scope.step_notes)
    if replayed is None:
        return None
    usage.print_line(
        f"scope {saved_trace.scope}" + (f", with the fault {saved_trace.fault}" if saved_trace.fault else "")
    )
    for line in replayed.timeline:
        usage.print_line(line)
    invariant_text = scope.invariants.get(saved_trace.breach.partition(":")[0])
    if invariant_text and replayed.breaches:
        usage.print_line(f"the invariant: {invariant_text}")
    return bool(replayed.breaches)
