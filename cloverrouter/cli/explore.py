"""The `explore` command: checks every ordering of events against the real lifecycle and decision code."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import Parameter
from cyclopts.validators import Number

from cloverrouter.cli import explore_models, usage
from cloverrouter.explore import connections, model_trace, models, trace
from cloverrouter.explore.coordination.scope import ModelFault
from cloverrouter.explore.faults import FAULTS, Fault
from cloverrouter.explore.models import MODELS
from cloverrouter.explore.properties import PROPERTIES
from cloverrouter.explore.scope import SCOPES
from cloverrouter.explore.search import Report, Search
from cloverrouter.explore.trace import Counterexample

CONNECTION_SCOPE = "connection"
DEFAULT_TIME_LIMIT_S = 60.0


def _print_faults(as_json: bool) -> None:
    faults: dict[str, Fault | ModelFault] = {**FAULTS, **models.faults()}
    if as_json:
        rows = {n: {"text": f.text, "scope": f.scope, "shows": f.shows} for n, f in faults.items()}
        usage.print_line(msgspec.json.encode(rows).decode())
        return
    for name, fault in faults.items():
        usage.print_line(f"{name:26} {fault.text} (shows as: {', '.join(fault.shows)}; scope {fault.scope})")


def _scope_of(fault: str) -> str:
    return FAULTS[fault].scope if fault in FAULTS else models.faults()[fault].scope


def _check_fault(scope: str, fault: str | None) -> None:
    faults = MODELS[scope].faults if scope in MODELS else FAULTS
    if fault is not None and fault not in faults:
        raise usage.UsageError(f"--fault: {fault!r} is not a fault of the scope {scope}; see --list-faults")


def _replay(path: Path) -> None:
    if model_trace.is_model_trace(path):
        explore_models.replay(path)
    try:
        saved = trace.read(path)
    except trace.TraceError as error:
        raise usage.UsageError(str(error)) from error
    replayed = trace.play(SCOPES[saved.scope], saved.fault, saved.steps, verbose=True)
    if replayed is None:
        usage.print_error("this event sequence can no longer occur: the code has changed since it was saved")
        sys.exit(0)
    _print_timeline(saved, replayed.timeline)
    if not replayed.breaches:
        usage.print_line("nothing is broken any more")
    sys.exit(1 if replayed.breaches else 0)


def _explore_connection(as_json: bool) -> None:
    states, counterexample = connections.explore()
    if as_json:
        usage.print_line(
            msgspec.json.encode(
                {"scope": CONNECTION_SCOPE, "states": states, "found": counterexample}
            ).decode()
        )
    else:
        usage.print_line(f"scope {CONNECTION_SCOPE}: {states} states, complete")
        for number, event in enumerate(counterexample.events if counterexample is not None else (), 1):
            usage.print_line(f"{number:3}  {event}")
        usage.print_line(
            f"     BROKEN  {counterexample.breach}" if counterexample is not None else "every property held"
        )
    sys.exit(1 if counterexample is not None else 0)


def _print_timeline(counterexample: Counterexample, timeline: list[str]) -> None:
    usage.print_line(
        f"scope {counterexample.scope}"
        + (f", with the fault {counterexample.fault}" if counterexample.fault else "")
    )
    for line in timeline:
        usage.print_line(line)
    property_text = PROPERTIES.get(trace.property_of(counterexample.breach))
    if property_text:
        usage.print_line(f"the property: {property_text}")


def _print_progress(report: Report) -> None:
    line = f"{report.states} states, depth {report.depth}, {report.walks} walks, {report.rate:.0f} states/s"
    print(f"\r{line}", end="", file=sys.stderr, flush=True)


def explore(
    *,
    scope: Annotated[
        str | None, Parameter(validator=usage.one_of([*SCOPES, CONNECTION_SCOPE, *MODELS]))
    ] = None,
    seconds: Annotated[float | None, Parameter(validator=Number(gte=0.1))] = None,
    depth: Annotated[int | None, Parameter(validator=Number(gte=0))] = None,
    walks: Annotated[int | None, Parameter(validator=Number(gte=0))] = None,
    deviations: Annotated[int | None, Parameter(validator=Number(gte=0))] = None,
    seed: int = 1,
    fault: Annotated[str | None, Parameter(validator=usage.one_of([*FAULTS, *models.faults()]))] = None,
    list_faults: Annotated[bool, Parameter(negative="")] = False,
    replay: Path | None = None,
    save: Path | None = None,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
) -> None:
    """Check every ordering of events in a small model, then random orderings of larger depth.

    Exits 0 if every property held, 1 with a counterexample, 2 if the command or a file is wrong.

    Parameters
    ----------
    scope
        What to model: small, join, dial-out, ...; default small, or the fault's scope. 'connection': all
        states of one connection. 'coordination', ...: the core modules of the control plane.
    seconds
        Time limit; default 60, or the scope's.
    depth
        Depth up to which every ordering is explored; default the scope's.
    deviations
        Maximum number of deviations (delays, crashes, partitions) from the schedule in which everything
        arrives promptly and in order, in a control-plane scope; default the scope's.
    walks
        Number of random walks; default as many as the time limit allows.
    seed
        Random seed of the walks.
    fault
        Inject the fault of this name into the code under test.
    list_faults
        List the faults that can be injected.
    replay
        Replay a saved event sequence.
    save
        Save the counterexample, if one is found, to this file.
    as_json
        Print one JSON object instead of text.
    """
    if list_faults:
        _print_faults(as_json)
        return
    if replay is not None:
        _replay(replay)
    if scope == CONNECTION_SCOPE:
        _explore_connection(as_json)
    scope_name = scope or (_scope_of(fault) if fault is not None else "small")
    _check_fault(scope_name, fault)
    if scope_name in MODELS:
        explore_models.run(scope_name, fault, seconds, deviations, save, as_json)
    search = Search(
        SCOPES[scope_name], fault, seed, DEFAULT_TIME_LIMIT_S if seconds is None else seconds, depth, walks
    )
    if sys.stderr.isatty() and not as_json:
        search.progress = _print_progress
    report = search.run()
    if save is not None and report.found is not None:
        try:
            trace.write(report.found, save)
        except OSError as error:
            raise usage.UsageError(f"{save}: {error.strerror}") from error
    if as_json:
        usage.print_line(msgspec.json.encode(report).decode())
    else:
        _print_report(report)
    sys.exit(1 if report.found is not None else 0)


def _print_report(report: Report) -> None:
    completeness = "complete" if report.exhausted else f"complete, {report.left} states not explored"
    usage.print_line(
        f"scope {report.scope}: {report.states} states, {report.transitions} transitions, "
        f"depth {report.depth} {completeness}; {report.walks} walks of {report.walked} steps; "
        f"{report.seconds:.1f} s, {report.rate:.0f} states/s"
    )
    if report.found is None:
        usage.print_line("every property held")
        return
    scope = SCOPES[report.found.scope]
    replayed = trace.play(scope, report.found.fault, report.found.steps, verbose=True)
    _print_timeline(report.found, replayed.timeline if replayed is not None else [])
