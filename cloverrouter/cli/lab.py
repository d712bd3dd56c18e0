"""The `lab` commands: run scenarios in simulated time against the decision module and two baseline policies,
or in real time against the client proxy."""

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
from cloverrouter.lab import real as real_time
from cloverrouter.lab.compare import Difference, paired
from cloverrouter.lab.result import Result
from cloverrouter.lab.runner import Row, Store, StoreError
from cloverrouter.lab.scenario import Scenario, ScenarioError

METRICS: dict[str, Callable[[Result], float]] = {
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


def _read_first(path: Path) -> Scenario:
    """Returns the first variant of a scenario file."""
    return next(iter(_read_all(path).values()))


def _configure_log(variant: Scenario, level: str | None) -> Scenario:
    """Configures logging; returns the scenario with the log level replaced if one is given."""
    if level is not None:
        variant = msgspec.structs.replace(variant, log=msgspec.structs.replace(variant.log, level=level))
    log.configure(variant.log)
    return variant


def _print_json(value: Any) -> None:
    usage.print_line(msgspec.json.encode(value).decode())


lab = App(
    name="lab",
    help="Simulate bridge servers, discovery and clients, to try a configuration before a load peak.",
)
Json = Annotated[bool, Parameter(name="--json", negative="")]
AtLeastOne = Annotated[int | None, Parameter(validator=Number(gte=1))]


@lab.command(name="list")
def list_(folder: Path = Path("deploy/lab"), /) -> None:
    """List the scenarios in a folder."""
    paths = sorted(folder.glob("*.toml"))
    if not paths:
        raise usage.UsageError(f"{folder}: no scenario there")
    for path in paths:
        variant = _read_first(path)
        description = path.read_text().splitlines()[0].lstrip("# ")
        usage.print_line(
            f"{path}  {variant.fleet.servers} servers, {variant.proxies} proxies, {variant.seconds:g} s: "
            f"{description}"
        )


@lab.command
def check(files: tuple[Path, ...], /) -> None:
    """Check scenarios without running them. Exits 2 at the first invalid one."""
    for path in files:
        count = len(_read_all(path))
        usage.print_line(f"{path}: good" + (f", {count} variants" if count > 1 else ""))


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
    """Run a scenario with each of its policies and seeds.

    In real time, the real proxy is run, one run at a time, with each build in turn. Exits 0 if the project's
    own policy broke no rule, 1 if it did or a run failed or is void, 2 if the file is invalid.

    Parameters
    ----------
    processes
        Number of parallel runs; default all cores but two.
    seeds
        Number of seeds to use, from the start of the scenario's list.
    policies
        Run only these policies: ours, least-in-flight, random.
    out
        Store results in this folder, and skip runs whose results it already holds.
    level
        Log level (debug, info, warning, error); default the file's.
    real
        Run the real proxy in real time over loopback sockets.
    build
        NAME=CHECKOUT: in real time, also run the proxy of this checkout.
    as_json
        Print one JSON object instead of a table.
    """
    variants = {label: _configure_log(variant, level) for label, variant in _read_all(file).items()}
    if real:
        if policies not in ((), ("ours",)) or len(variants) > 1:
            raise usage.UsageError(
                "--real runs only the proxy with a single variant; --policy and vary are not allowed"
            )
        variant = next(iter(variants.values()))
        extra_builds = dict(_parse_build(text) for text in build)
        variant = msgspec.structs.replace(
            variant,
            seeds=variant.seeds[: seeds or len(variant.seeds)],
            builds={**variant.builds, **extra_builds},
        )
        _run_real(variant, out, as_json)
    if build:
        raise usage.UsageError(
            "--build requires --real: simulated time runs only this checkout's decision code"
        )
    has_failed, reports = False, []
    for label, variant in variants.items():
        variant = msgspec.structs.replace(
            variant, seeds=variant.seeds[: seeds or len(variant.seeds)], policies=policies or variant.policies
        )
        folder = out / label.replace("/", "_") if out is not None and label else out
        results, errors = _run_variant(variant, processes, folder, as_json)
        rows = runner.rows(results)
        reports.append(
            {"variant": label, "scenario": variant, "rows": rows, "runs": results, "errors": errors}
        )
        if not as_json:
            _print_table(variant, label, rows)
            for text in errors:
                usage.print_error(f"failed: {text}")
        has_failed = has_failed or bool(errors) or any(row.broken for row in rows if row.policy == "ours")
    if as_json:
        _print_json(reports if len(reports) > 1 else reports[0])
    sys.exit(1 if has_failed else 0)


def _parse_build(text: str) -> tuple[str, str]:
    name, separator, path = text.partition("=")
    if not (name and separator and path):
        raise usage.UsageError(f"--build: found {text!r}, allowed NAME=CHECKOUT")
    return name, path


def _open_store(folder: Path | None, variant: Scenario, mode: str) -> Store | None:
    """Returns the store of results in the folder, or None without a folder."""
    try:
        return Store(folder, variant, mode) if folder is not None else None
    except StoreError as error:
        raise usage.UsageError(str(error)) from error


def _run_variant(
    variant: Scenario, processes: int | None, folder: Path | None, is_quiet: bool
) -> tuple[list[Result], list[str]]:
    """Runs a scenario; returns all its results, with those stored earlier, and the errors of failed runs."""
    store = _open_store(folder, variant, "simulated")
    results: list[Result] = []
    errors: list[str] = []
    total, is_quiet = len(variant.seeds) * len(variant.policies), is_quiet or not sys.stderr.isatty()
    for outcome in runner.run(variant, processes or max(1, (os.cpu_count() or 3) - 2), store):
        if isinstance(outcome, Result):
            results.append(outcome)
        else:
            errors.append(outcome)
        if not is_quiet:
            print(f"\r{len(results) + len(errors)} of {total} runs", end="", file=sys.stderr, flush=True)
    if not is_quiet:
        usage.print_error("")
    if store is not None:
        results = store.results()
        store.close()
    return sorted(results, key=lambda r: (variant.policies.index(r.policy), r.seed)), errors


@lab.command
def report(folder: Path, /) -> None:
    """Write report.html, a self-contained page, and report.json into a run folder."""
    try:
        from cloverrouter.lab import report as reporting
    except ModuleNotFoundError as error:
        raise usage.UsageError(
            f"{error.name} is not installed; pip install 'cloverrouter[report]'"
        ) from error
    try:
        variant, revision, results = runner.read(folder)
        if not results:
            raise usage.UsageError(f"{folder}: none of its runs has a result")
        html, json_data = reporting.page(variant, revision, results)
        (folder / "report.html").write_text(html)
        (folder / "report.json").write_bytes(json_data)
    except (StoreError, OSError) as error:
        raise usage.UsageError(f"{folder}: {error}") from error
    usage.print_line(f"{folder / 'report.html'}")


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
    """Compare two run folders seed by seed: second minus first, with 95 % confidence intervals.

    Both may be the same folder, with two policies. Exits 0, or 2 if there is nothing to compare.

    Parameters
    ----------
    policy
        Policy to take from the first folder.
    against
        Policy to take from the second folder; default the same.
    as_json
        Print one JSON object instead of a table.
    """
    figures: dict[str, Difference] = {}
    try:
        both_results = [runner.read(first)[2], runner.read(second)[2]]
        for name, figure in METRICS.items():
            first_values, second_values = (
                {r.seed: figure(r) for r in results if r.policy == policy_name}
                for results, policy_name in zip(both_results, (policy, against or policy), strict=True)
            )
            figures[name] = paired(first_values, second_values)
    except (StoreError, ValueError) as error:
        raise usage.UsageError(f"{first}, {second}: {error}") from error
    if as_json:
        _print_json(figures)
        return
    usage.print_line(f"{'':12}{'first':>10}{'second':>10}{'change':>10}  95 %")
    for name, d in figures.items():
        mark = "" if d.sure else "  (may be chance)"
        usage.print_line(
            f"{name:12}{d.first:10.3f}{d.second:10.3f}{d.mean:+10.3f}  {d.low:+.3f} to {d.high:+.3f}{mark}"
        )


def _run_real(variant: Scenario, out: Path | None, as_json: bool) -> None:
    """Runs each seed with each build, one run at a time, prints the results and exits.

    The builds of a seed run directly after each other, so that other load on the machine affects them alike.
    """
    store = _open_store(out, variant, "real")
    finished_runs = store.done() if store is not None else set()
    new_results: list[Result] = []
    if not as_json:
        usage.print_line(
            f"{variant.name}, in real time: {variant.fleet.servers} servers, {variant.proxies} proxies"
        )
        heads = ("seed", "worth", "worst10", "p50 ms", "p99 ms", "us/ask", "lab CPU")
        usage.print_line(f"{'build':16}{heads[0]:>6}" + "".join(f"{name:>9}" for name in heads[1:]))
    for seed in variant.seeds:
        for build in variant.builds or ("ours",):
            if (build, seed) in finished_runs:
                continue
            try:
                result = asyncio.run(real_time.play(variant, seed, build=build))
            except RuntimeError as error:
                usage.print_error(f"seed {seed}: {error}")
                sys.exit(1)
            new_results.append(result)
            if store is not None:
                # A void run has no result: the next call runs it again.
                store.keep(build, seed, None if result.void else result, result.void)
            if not as_json:
                _print_real_result(result)
    results = store.results() if store is not None else new_results
    void_results = [r for r in new_results if r.void]
    if store is not None:
        store.close()
    if as_json:
        reported = results if store is None else [*results, *void_results]
        _print_json({"scenario": variant, "runs": reported, "rows": runner.rows(results)})
    sys.exit(1 if void_results or any(r.verdict.broken or r.died for r in results) else 0)


def _print_real_result(result: Result) -> None:
    lat, verdict = result.verdict.latency_ms, result.verdict
    usage.print_line(
        f"{result.policy:16}{result.seed:6}{verdict.worth:9.3f}{verdict.worst:9.3f}{lat.get('50', 0):9.0f}"
        f"{lat.get('99', 0):9.0f}{result.decided_us:9.0f}{result.lab_cpu:9.2f}  {'; '.join(result.amiss(3))}"
    )


@lab.command
def servers(file: Path, /) -> None:
    """Run only the simulated servers and a discovery service per proxy, in real time, until interrupted.

    The first line of output is a JSON object with the servers' addresses and a configuration for each proxy;
    start real proxies with these. The scenario's faults are injected, timed from the start of the command.
    """
    variant = _configure_log(_read_first(file), None)

    async def serve() -> None:
        world = real_time.RealWorld(variant, variant.seeds[0])
        await world.listen()
        configs = [
            real_time.config_of(variant, world, i, f"127.0.0.1:{3000 + i}") for i in range(variant.proxies)
        ]
        _print_json({"servers": world.table(), "proxies": configs})
        world.plan_faults()
        stop_requested = asyncio.Event()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
        await stop_requested.wait()
        world.close()

    asyncio.run(serve())


def _print_table(variant: Scenario, label: str, rows: list[Row]) -> None:
    name = f"{variant.name}, {label}" if label else variant.name
    usage.print_line(
        f"{name}: {variant.fleet.servers} servers, {variant.proxies} proxies, {variant.seconds:g} s"
    )
    head = ("policy", "runs", "worth", "least", "worst10", "p50 ms", "p99 ms", "att/ask", "refused", "wasted",
            "conns", "us/ask", "speed", "broken")  # fmt: skip
    usage.print_line(f"{head[0]:16}" + "".join(f"{name:>9}" for name in head[1:-1]) + f"  {head[-1]}")
    for r in rows:
        figures = (
            f"{r.runs:9}{r.worth:9.3f}{r.least:9.3f}{r.worst:9.3f}{r.p50_ms:9.0f}{r.p99_ms:9.0f}{r.attempts:9.2f}"
            f"{r.refused:9.3f}{r.wasted:9.3f}{r.connections:9.0f}{r.decided_us:9.0f}{r.speed:8.0f}x"
        )
        broken = ", ".join(f"{rule} {n}" for rule, n in r.broken.items()) or "-"
        usage.print_line(f"{r.policy:16}{figures}  {broken}")
        shares = {**r.by_class, **r.by_member}
        usage.print_line(" " * 16 + "  ".join(f"{name} {share:.3f}" for name, share in shares.items()))
