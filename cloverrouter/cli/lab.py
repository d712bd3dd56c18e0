"""`lab`: play scenarios in simulated time, with the decision module and two baselines."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import msgspec
from cyclopts import App, Parameter
from cyclopts.validators import Number

from cloverrouter.cli import usage
from cloverrouter.lab import log, runner, scenario
from cloverrouter.lab import real as playing
from cloverrouter.lab.compare import Difference, paired
from cloverrouter.lab.result import Result
from cloverrouter.lab.runner import Row, Store, StoreError
from cloverrouter.lab.scenario import Scenario, ScenarioError

FIGURES: dict[str, Callable[[Result], float]] = {
    "worth": lambda r: r.verdict.worth,
    "worst 10 s": lambda r: r.verdict.worst,
    "p50 ms": lambda r: r.verdict.latency_ms.get("50", 0.0),
    "p99 ms": lambda r: r.verdict.latency_ms.get("99", 0.0),
    "wasted": lambda r: r.wasted,
    "us/ask": lambda r: r.decided_us,
    "broken": lambda r: float(len(r.verdict.broken)),
}


def _read_all(path: Path) -> dict[str, Scenario]:
    try:
        return scenario.read_all(path)
    except ScenarioError as error:
        raise usage.UsageError(str(error)) from error


def _read(path: Path) -> Scenario:
    """The only variant, or the first."""
    return next(iter(_read_all(path).values()))


def _log(told: Scenario, level: str | None) -> Scenario:
    """The scenario, with its log's level as the command line has it."""
    if level is not None:
        told = msgspec.structs.replace(told, log=msgspec.structs.replace(told.log, level=level))
    log.configure(told.log)
    return told


def _tell_json(value: Any) -> None:
    usage.say(msgspec.json.encode(value).decode())


lab = App(
    name="lab", help="Emulated bridge servers, lists and clients: try a configuration before a busy season."
)
Json = Annotated[bool, Parameter(name="--json", negative="")]
AtLeastOne = Annotated[int | None, Parameter(validator=Number(gte=1))]


@lab.command(name="list")
def list_(folder: Path = Path("deploy/lab"), /) -> None:
    """The scenarios in a folder."""
    paths = sorted(folder.glob("*.toml"))
    if not paths:
        raise usage.UsageError(f"{folder}: no scenario there")
    for path in paths:
        told = _read(path)
        text = path.read_text().splitlines()[0].lstrip("# ")
        usage.say(f"{path}  {told.fleet.servers} servers, {told.proxies} proxies, {told.seconds:g} s: {text}")


@lab.command
def check(files: tuple[Path, ...], /) -> None:
    """Check scenarios; nothing is played. Exits 2 at the first that is wrong."""
    for path in files:
        count = len(_read_all(path))
        usage.say(f"{path}: good" + (f", {count} variants" if count > 1 else ""))


@lab.command
def run(
    file: Path,
    /,
    *,
    processes: AtLeastOne = None,
    seeds: AtLeastOne = None,
    policies: Annotated[
        tuple[str, ...], Parameter(name="--policy", negative="", validator=usage.one_of(scenario.POLICIES))
    ] = (),
    out: Path | None = None,
    level: Annotated[str | None, Parameter(name="--log", validator=usage.one_of(log.LEVELS))] = None,
    real: Annotated[bool, Parameter(negative="")] = False,
    build: Annotated[tuple[str, ...], Parameter(negative="")] = (),
    as_json: Json = False,
) -> None:
    """Play a scenario with every policy and seed that it names.

    In real time it is the real proxy that is played, a run at a time, with each build in turn. Exits 0 if
    the project's own policy broke no rule, 1 if it did, a run failed or is void, 2 if the file is wrong.

    Parameters
    ----------
    processes
        Runs at a time; default all cores but two.
    seeds
        The first so many of the scenario's seeds.
    policies
        Only these: ours, least-in-flight, random.
    out
        Keep results here, and go on with what is there.
    level
        The log's level (debug, info, warning, error); default the file's.
    real
        In real time, with the real proxy over loopback sockets.
    build
        NAME=CHECKOUT: in real time, play the proxies of these, too.
    as_json
        One JSON object instead of a table.
    """
    variants = {label: _log(told, level) for label, told in _read_all(file).items()}
    if real:
        if policies not in ((), ("ours",)) or len(variants) > 1:
            raise usage.UsageError("--real plays the proxy alone, one variant: no --policy or vary")
        told = next(iter(variants.values()))
        builds = dict(_named(text) for text in build)
        told = msgspec.structs.replace(
            told, seeds=told.seeds[: seeds or len(told.seeds)], builds={**told.builds, **builds}
        )
        _run_real(told, out, as_json)
    if build:
        raise usage.UsageError("--build is for --real: simulated time plays this checkout's decisions")
    bad, tables = False, []
    for label, told in variants.items():
        told = msgspec.structs.replace(
            told, seeds=told.seeds[: seeds or len(told.seeds)], policies=policies or told.policies
        )
        folder = out / label.replace("/", "_") if out is not None and label else out
        results, errors = _play(told, processes, folder, as_json)
        rows = runner.rows(results)
        tables.append({"variant": label, "scenario": told, "rows": rows, "runs": results, "errors": errors})
        if not as_json:
            _table(told, label, rows)
            for text in errors:
                usage.error_line(f"failed: {text}")
        bad = bad or bool(errors) or any(row.broken for row in rows if row.policy == "ours")
    if as_json:
        _tell_json(tables if len(tables) > 1 else tables[0])
    sys.exit(1 if bad else 0)


def _named(text: str) -> tuple[str, str]:
    name, equals, path = text.partition("=")
    if not (name and equals and path):
        raise usage.UsageError(f"--build: found {text!r}, allowed NAME=CHECKOUT")
    return name, path


def _store(folder: Path | None, told: Scenario, how: str) -> Store | None:
    """Where results are kept, if they are."""
    try:
        return Store(folder, told, how) if folder is not None else None
    except StoreError as error:
        raise usage.UsageError(str(error)) from error


def _play(
    told: Scenario, processes: int | None, folder: Path | None, quiet: bool
) -> tuple[list[Result], list[str]]:
    """All results of a scenario, kept ones too, and what failed."""
    store = _store(folder, told, "simulated")
    results: list[Result] = []
    errors: list[str] = []
    total, quiet = len(told.seeds) * len(told.policies), quiet or not sys.stderr.isatty()
    for outcome in runner.run(told, processes or max(1, (os.cpu_count() or 3) - 2), store):
        if isinstance(outcome, Result):
            results.append(outcome)
        else:
            errors.append(outcome)
        if not quiet:
            print(f"\r{len(results) + len(errors)} of {total} runs", end="", file=sys.stderr, flush=True)
    if not quiet:
        usage.error_line("")
    if store is not None:
        results = store.results()
        store.close()
    return sorted(results, key=lambda r: (told.policies.index(r.policy), r.seed)), errors


@lab.command
def report(folder: Path, /) -> None:
    """Write report.html, one file that needs nothing else, and report.json into a run folder."""
    try:
        from cloverrouter.lab import report as reporting
    except ModuleNotFoundError as error:
        raise usage.UsageError(
            f"{error.name} is not installed; pip install 'cloverrouter[report]'"
        ) from error
    try:
        told, revision, results = runner.read(folder)
        if not results:
            raise usage.UsageError(f"{folder}: no run in it has a result")
        text, data = reporting.page(told, revision, results)
        (folder / "report.html").write_text(text)
        (folder / "report.json").write_bytes(data)
    except (StoreError, OSError) as error:
        raise usage.UsageError(f"{folder}: {error}") from error
    usage.say(f"{folder / 'report.html'}")


@lab.command
def compare(
    first: Path,
    second: Path,
    /,
    *,
    policy: str = "ours",
    against: str | None = None,
    as_json: Json = False,
) -> None:
    """Compare two run folders seed by seed: the second less the first, with intervals of 95 %.

    Both may be the same folder, with two policies. Exits 0, or 2 if there is nothing to compare.

    Parameters
    ----------
    policy
        Of the first folder.
    against
        The second folder's policy; default the same.
    as_json
        One JSON object instead of a table.
    """
    figures: dict[str, Difference] = {}
    try:
        sides = [runner.read(first)[2], runner.read(second)[2]]
        for name, figure in FIGURES.items():
            one, other = (
                {r.seed: figure(r) for r in results if r.policy == of}
                for results, of in zip(sides, (policy, against or policy), strict=True)
            )
            figures[name] = paired(one, other)
    except (StoreError, ValueError) as error:
        raise usage.UsageError(f"{first}, {second}: {error}") from error
    if as_json:
        _tell_json(figures)
        return
    usage.say(f"{'':12}{'first':>10}{'second':>10}{'change':>10}  95 %")
    for name, d in figures.items():
        mark = "" if d.sure else "  (may be chance)"
        usage.say(
            f"{name:12}{d.first:10.3f}{d.second:10.3f}{d.mean:+10.3f}  {d.low:+.3f} to {d.high:+.3f}{mark}"
        )


def _run_real(told: Scenario, out: Path | None, as_json: bool) -> None:
    """Each seed with each build, one at a time: the builds of a seed directly after each other, so that what
    else the machine does meets them alike."""
    store = _store(out, told, "real")
    done = store.done() if store is not None else set()
    fresh: list[Result] = []
    if not as_json:
        usage.say(f"{told.name}, in real time: {told.fleet.servers} servers, {told.proxies} proxies")
        heads = ("seed", "worth", "worst10", "p50 ms", "p99 ms", "us/ask", "lab CPU")
        usage.say(f"{'build':16}{heads[0]:>6}" + "".join(f"{name:>9}" for name in heads[1:]))
    for seed in told.seeds:
        for build in told.builds or ("ours",):
            if (build, seed) in done:
                continue
            try:
                result = asyncio.run(playing.play(told, seed, build=build))
            except RuntimeError as error:
                usage.error_line(f"seed {seed}: {error}")
                sys.exit(1)
            fresh.append(result)
            if store is not None:
                # A void run is none: played again, it may say something.
                store.keep(build, seed, None if result.void else result, result.void)
            if not as_json:
                _line(result)
    results = store.results() if store is not None else fresh
    void = [r for r in fresh if r.void]
    if store is not None:
        store.close()
    if as_json:
        kept = results if store is None else [*results, *void]
        _tell_json({"scenario": told, "runs": kept, "rows": runner.rows(results)})
    sys.exit(1 if void or any(r.verdict.broken or r.died for r in results) else 0)


def _line(result: Result) -> None:
    lat, verdict = result.verdict.latency_ms, result.verdict
    usage.say(
        f"{result.policy:16}{result.seed:6}{verdict.worth:9.3f}{verdict.worst:9.3f}{lat.get('50', 0):9.0f}"
        f"{lat.get('99', 0):9.0f}{result.decided_us:9.0f}{result.lab_cpu:9.2f}  {'; '.join(result.amiss(3))}"
    )


@lab.command
def servers(file: Path, /) -> None:
    """Only the stand-ins, in real time: bridge servers and a discovery for each proxy, until interrupted.

    The first line is a JSON object with the configuration of each proxy; point real ones at them. What the
    scenario says goes wrong does so, counted from the start.
    """
    told = _log(_read(file), None)

    async def stand() -> None:
        world = playing.RealWorld(told, told.seeds[0])
        await world.listen()
        configs = [playing.config_of(told, world, i, f"127.0.0.1:{3000 + i}") for i in range(told.proxies)]
        _tell_json({"servers": world.table(), "proxies": configs})
        world.plan_faults()
        done = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, done.set)
        await done.wait()
        world.close()

    asyncio.run(stand())


def _table(told: Scenario, label: str, rows: list[Row]) -> None:
    name = f"{told.name}, {label}" if label else told.name
    usage.say(f"{name}: {told.fleet.servers} servers, {told.proxies} proxies, {told.seconds:g} s")
    head = ("policy", "runs", "worth", "least", "worst10", "p50 ms", "p99 ms", "att/ask", "refused", "wasted",
            "conns", "us/ask", "speed", "broken")  # fmt: skip
    usage.say(f"{head[0]:16}" + "".join(f"{name:>9}" for name in head[1:-1]) + f"  {head[-1]}")
    for r in rows:
        figures = (
            f"{r.runs:9}{r.worth:9.3f}{r.least:9.3f}{r.worst:9.3f}{r.p50_ms:9.0f}{r.p99_ms:9.0f}{r.attempts:9.2f}"
            f"{r.refused:9.3f}{r.wasted:9.3f}{r.connections:9.0f}{r.decided_us:9.0f}{r.speed:8.0f}x"
        )
        broken = ", ".join(f"{rule} {n}" for rule, n in r.broken.items()) or "-"
        usage.say(f"{r.policy:16}{figures}  {broken}")
        shares = {**r.by_class, **r.by_member}
        usage.say(" " * 16 + "  ".join(f"{name} {share:.3f}" for name, share in shares.items()))
