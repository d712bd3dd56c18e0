"""`explore`: play every ordering of events against the real lifecycle and the real decisions."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec

from cloverrouter.explore import connections, trace
from cloverrouter.explore.faults import FAULTS
from cloverrouter.explore.properties import PROPERTIES
from cloverrouter.explore.scope import SCOPES
from cloverrouter.explore.search import Report, Search
from cloverrouter.explore.trace import Counterexample

CONNECTION = "connection"


def _faults(as_json: bool) -> None:
    if as_json:
        rows = {n: {"text": f.text, "scope": f.scope, "shows": f.shows} for n, f in FAULTS.items()}
        click.echo(msgspec.json.encode(rows))
        return
    for name, fault in FAULTS.items():
        click.echo(f"{name:26} {fault.text} (shows as: {', '.join(fault.shows)}; scope {fault.scope})")


def _replay(path: Path) -> None:
    try:
        found = trace.read(path)
    except trace.TraceError as error:
        raise click.UsageError(str(error)) from error
    played = trace.play(SCOPES[found.scope], found.fault, found.steps, tell=True)
    if played is None:
        click.echo("this history can't happen any more: the code has changed since it was saved", err=True)
        sys.exit(0)
    _timeline(found, played.timeline)
    if not played.breaches:
        click.echo("nothing is broken any more")
    sys.exit(1 if played.breaches else 0)


def _connection(as_json: bool) -> None:
    states, found = connections.explore()
    if as_json:
        click.echo(msgspec.json.encode({"scope": CONNECTION, "states": states, "found": found}))
    else:
        click.echo(f"scope {CONNECTION}: {states} states, whole")
        for number, event in enumerate(found.events if found is not None else (), 1):
            click.echo(f"{number:3}  {event}")
        click.echo(f"     BROKEN  {found.breach}" if found is not None else "every property held")
    sys.exit(1 if found is not None else 0)


def _timeline(found: Counterexample, timeline: list[str]) -> None:
    click.echo(f"scope {found.scope}" + (f", with the fault {found.fault}" if found.fault else ""))
    for line in timeline:
        click.echo(line)
    text = PROPERTIES.get(trace.name_of(found.breach))
    if text:
        click.echo(f"the property: {text}")


def _progress(report: Report) -> None:
    line = f"{report.states} states, depth {report.depth}, {report.walks} walks, {report.rate:.0f} states/s"
    click.echo(f"\r{line}", nl=False, err=True)


@click.command()
@click.option(
    "--scope",
    type=click.Choice([*SCOPES, CONNECTION]),
    help="How large a world; default small, or the fault's. 'connection': one connection, whole.",
)
@click.option("--seconds", type=click.FloatRange(min=0.1), default=60.0, show_default=True, help="At most.")
@click.option("--depth", type=click.IntRange(min=0), help="Explored whole; default the scope's.")
@click.option("--walks", type=click.IntRange(min=0), help="Random walks; default as time allows.")
@click.option("--seed", type=int, default=1, show_default=True, help="Of the random walks.")
@click.option("--fault", type=click.Choice(list(FAULTS)), metavar="NAME", help="Seed this fault.")
@click.option("--list-faults", is_flag=True, help="Name the faults that can be seeded.")
@click.option("--replay", type=click.Path(path_type=Path), metavar="FILE", help="Play a saved history.")
@click.option("--save", type=click.Path(path_type=Path), metavar="FILE", help="Save what is found.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of text.")
def explore(
    scope: str | None,
    seconds: float,
    depth: int | None,
    walks: int | None,
    seed: int,
    fault: str | None,
    list_faults: bool,
    replay: Path | None,
    save: Path | None,
    as_json: bool,
) -> None:
    """Play every ordering of events in a small world, and random ones beyond.

    Exits 0 if every property held, 1 with a counterexample, 2 if the command or a file is wrong.
    """
    if list_faults:
        _faults(as_json)
        return
    if replay is not None:
        _replay(replay)
    if scope == CONNECTION:
        _connection(as_json)
    name = scope or (FAULTS[fault].scope if fault is not None else "small")
    search = Search(SCOPES[name], fault, seed, seconds, depth, walks)
    if sys.stderr.isatty() and not as_json:
        search.progress = _progress
    report = search.run()
    if save is not None and report.found is not None:
        try:
            trace.write(report.found, save)
        except OSError as error:
            raise click.UsageError(f"{save}: {error.strerror}") from error
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        _tell(report)
    sys.exit(1 if report.found is not None else 0)


def _tell(report: Report) -> None:
    whole = "whole" if report.exhausted else f"whole, {report.left} states not opened"
    click.echo(
        f"scope {report.scope}: {report.states} states, {report.transitions} transitions, "
        f"depth {report.depth} {whole}; {report.walks} walks of {report.walked} steps; "
        f"{report.seconds:.1f} s, {report.rate:.0f} states/s"
    )
    if report.found is None:
        click.echo("every property held")
        return
    scope = SCOPES[report.found.scope]
    played = trace.play(scope, report.found.fault, report.found.steps, tell=True)
    _timeline(report.found, played.timeline if played is not None else [])
