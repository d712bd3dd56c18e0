"""`lab`: play scenarios in simulated time, with the decision module and two baselines."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import msgspec

from cloverrouter.lab import runner, scenario
from cloverrouter.lab.runner import Row, Store, StoreError
from cloverrouter.lab.scenario import Scenario, ScenarioError
from cloverrouter.lab.simulate import Result


def _read(path: Path) -> Scenario:
    try:
        return scenario.read(path)
    except ScenarioError as error:
        raise click.UsageError(str(error)) from error


@click.group()
def lab() -> None:
    """Emulated bridge servers, lists and clients: try a configuration before a busy season."""


@lab.command("list")
@click.argument("folder", type=click.Path(path_type=Path), default=Path("deploy/lab"))
def list_(folder: Path) -> None:
    """The scenarios in a folder."""
    paths = sorted(folder.glob("*.toml"))
    if not paths:
        raise click.UsageError(f"{folder}: no scenario there")
    for path in paths:
        told = _read(path)
        text = path.read_text().splitlines()[0].lstrip("# ")
        click.echo(
            f"{path}  {told.fleet.servers} servers, {told.proxies} proxies, {told.seconds:g} s: {text}"
        )


@lab.command()
@click.argument("files", type=click.Path(path_type=Path), nargs=-1, required=True)
def check(files: tuple[Path, ...]) -> None:
    """Check scenarios; nothing is played. Exits 2 at the first that is wrong."""
    for path in files:
        _read(path)
        click.echo(f"{path}: good")


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--processes", type=click.IntRange(min=1), help="Runs at a time; default all cores but two.")
@click.option("--seeds", type=click.IntRange(min=1), help="The first so many of the scenario's seeds.")
@click.option("--policy", "policies", multiple=True, type=click.Choice(scenario.POLICIES), help="Only these.")
@click.option(
    "--out", type=click.Path(path_type=Path), help="Keep results here, and go on with what is there."
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
def run(
    file: Path,
    processes: int | None,
    seeds: int | None,
    policies: tuple[str, ...],
    out: Path | None,
    as_json: bool,
) -> None:
    """Play a scenario with every policy and seed that it names.

    Exits 0 if the project's own policy broke no rule, 1 if it did or a run failed, 2 if the file is wrong.
    """
    told = _read(file)
    told = msgspec.structs.replace(
        told, seeds=told.seeds[: seeds or len(told.seeds)], policies=policies or told.policies
    )
    try:
        store = Store(out, told) if out is not None else None
    except StoreError as error:
        raise click.UsageError(str(error)) from error
    results: list[Result] = []
    errors: list[str] = []
    total, quiet = len(told.seeds) * len(told.policies), as_json or not sys.stderr.isatty()
    for outcome in runner.run(told, processes or max(1, (os.cpu_count() or 3) - 2), store):
        if isinstance(outcome, Result):
            results.append(outcome)
        else:
            errors.append(outcome)
        if not quiet:
            click.echo(f"\r{len(results) + len(errors)} of {total} runs", nl=False, err=True)
    if not quiet:
        click.echo("", err=True)
    if store is not None:
        results = store.results()
        store.close()
    results.sort(key=lambda r: (told.policies.index(r.policy), r.seed))
    rows = runner.rows(results)
    if as_json:
        click.echo(msgspec.json.encode({"scenario": told, "rows": rows, "runs": results, "errors": errors}))
    else:
        _table(told, rows)
        for text in errors:
            click.echo(f"failed: {text}", err=True)
    ours = [row for row in rows if row.policy == "ours"]
    sys.exit(1 if errors or any(row.broken for row in ours) else 0)


def _table(told: Scenario, rows: list[Row]) -> None:
    click.echo(f"{told.name}: {told.fleet.servers} servers, {told.proxies} proxies, {told.seconds:g} s")
    head = ("policy", "runs", "worth", "least", "worst10", "p50 ms", "p99 ms", "att/ask", "refused", "wasted",
            "conns", "us/ask", "speed", "broken")  # fmt: skip
    click.echo(f"{head[0]:16}" + "".join(f"{name:>9}" for name in head[1:-1]) + f"  {head[-1]}")
    for r in rows:
        figures = (
            f"{r.runs:9}{r.worth:9.3f}{r.least:9.3f}{r.worst:9.3f}{r.p50_ms:9.0f}{r.p99_ms:9.0f}{r.attempts:9.2f}"
            f"{r.refused:9.3f}{r.wasted:9.3f}{r.connections:9.0f}{r.decided_us:9.0f}{r.speed:8.0f}x"
        )
        broken = ", ".join(f"{rule} {n}" for rule, n in r.broken.items()) or "-"
        click.echo(f"{r.policy:16}{figures}  {broken}")
        shares = {**r.by_class, **r.by_member}
        click.echo(" " * 16 + "  ".join(f"{name} {share:.3f}" for name, share in shares.items()))
