"""`explore`: play every ordering of events against the real lifecycle and the real decisions."""

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

CONNECTION = "connection"
SECONDS = 60.0


def _faults(as_json: bool) -> None:
    known: dict[str, Fault | ModelFault] = {**FAULTS, **models.faults()}
    if as_json:
        rows = {n: {"text": f.text, "scope": f.scope, "shows": f.shows} for n, f in known.items()}
        usage.say(msgspec.json.encode(rows).decode())
        return
    for name, fault in known.items():
        usage.say(f"{name:26} {fault.text} (shows as: {', '.join(fault.shows)}; scope {fault.scope})")


def _scope_of(fault: str) -> str:
    return FAULTS[fault].scope if fault in FAULTS else models.faults()[fault].scope


def _check_fault(scope: str, fault: str | None) -> None:
    known = MODELS[scope].faults if scope in MODELS else FAULTS
    if fault is not None and fault not in known:
        raise usage.UsageError(f"--fault: {fault!r} is none of the scope {scope}; see --list-faults")


def _replay(path: Path) -> None:
    if model_trace.is_model_trace(path):
        explore_models.replay(path)
    try:
        found = trace.read(path)
    except trace.TraceError as error:
        raise usage.UsageError(str(error)) from error
    played = trace.play(SCOPES[found.scope], found.fault, found.steps, verbose=True)
    if played is None:
        usage.error_line("this history can't happen any more: the code has changed since it was saved")
        sys.exit(0)
    _timeline(found, played.timeline)
    if not played.breaches:
        usage.say("nothing is broken any more")
    sys.exit(1 if played.breaches else 0)


def _connection(as_json: bool) -> None:
    states, found = connections.explore()
    if as_json:
        usage.say(msgspec.json.encode({"scope": CONNECTION, "states": states, "found": found}).decode())
    else:
        usage.say(f"scope {CONNECTION}: {states} states, whole")
        for number, event in enumerate(found.events if found is not None else (), 1):
            usage.say(f"{number:3}  {event}")
        usage.say(f"     BROKEN  {found.breach}" if found is not None else "every property held")
    sys.exit(1 if found is not None else 0)


def _timeline(found: Counterexample, timeline: list[str]) -> None:
    usage.say(f"scope {found.scope}" + (f", with the fault {found.fault}" if found.fault else ""))
    for line in timeline:
        usage.say(line)
    text = PROPERTIES.get(trace.property_of(found.breach))
    if text:
        usage.say(f"the property: {text}")


def _progress(report: Report) -> None:
    line = f"{report.states} states, depth {report.depth}, {report.walks} walks, {report.rate:.0f} states/s"
    print(f"\r{line}", end="", file=sys.stderr, flush=True)


def explore(
    *,
    scope: Annotated[str | None, Parameter(validator=usage.one_of([*SCOPES, CONNECTION, *MODELS]))] = None,
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
    """Play every ordering of events in a small world, and random ones beyond.

    Exits 0 if every property held, 1 with a counterexample, 2 if the command or a file is wrong.

    Parameters
    ----------
    scope
        How large a world: small, join, dial-out, ...; default small, or the fault's. 'connection': one
        connection, whole. 'coordination', ...: the cores of control.
    seconds
        At most; default 60, or the scope's.
    depth
        Explored whole; default the scope's.
    deviations
        From the prompt schedule, in a scope of control; default the scope's.
    walks
        Random walks; default as time allows.
    seed
        Of the random walks.
    fault
        Seed the fault of this name.
    list_faults
        Name the faults that can be seeded.
    replay
        Play a saved history.
    save
        Save what is found.
    as_json
        One JSON object instead of text.
    """
    if list_faults:
        _faults(as_json)
        return
    if replay is not None:
        _replay(replay)
    if scope == CONNECTION:
        _connection(as_json)
    name = scope or (_scope_of(fault) if fault is not None else "small")
    _check_fault(name, fault)
    if name in MODELS:
        explore_models.run(name, fault, seconds, deviations, save, as_json)
    search = Search(SCOPES[name], fault, seed, SECONDS if seconds is None else seconds, depth, walks)
    if sys.stderr.isatty() and not as_json:
        search.progress = _progress
    report = search.run()
    if save is not None and report.found is not None:
        try:
            trace.write(report.found, save)
        except OSError as error:
            raise usage.UsageError(f"{save}: {error.strerror}") from error
    if as_json:
        usage.say(msgspec.json.encode(report).decode())
    else:
        _tell(report)
    sys.exit(1 if report.found is not None else 0)


def _tell(report: Report) -> None:
    whole = "whole" if report.exhausted else f"whole, {report.left} states not opened"
    usage.say(
        f"scope {report.scope}: {report.states} states, {report.transitions} transitions, "
        f"depth {report.depth} {whole}; {report.walks} walks of {report.walked} steps; "
        f"{report.seconds:.1f} s, {report.rate:.0f} states/s"
    )
    if report.found is None:
        usage.say("every property held")
        return
    scope = SCOPES[report.found.scope]
    played = trace.play(scope, report.found.fault, report.found.steps, verbose=True)
    _timeline(report.found, played.timeline if played is not None else [])
