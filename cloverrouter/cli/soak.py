"""The `soak` command: runs fleets of real processes under series of faults, one run for each seed."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter
from cyclopts.validators import Number

from cloverrouter.cli import usage
from cloverrouter.lab.soak.plan import plan
from cloverrouter.lab.soak.run import MAX_REPORTED_FINDINGS, Report, Soak


def soak(
    *,
    seed: int = 1,
    runs: Annotated[int, Parameter(validator=Number(gte=1))] = 1,
    seconds: Annotated[float, Parameter(validator=Number(gte=1.0))] = 25.0,
    machines: Annotated[int | None, Parameter(validator=Number(gte=3, lte=240))] = None,
    keep: Path | None = None,
) -> None:
    """Run fleets of real processes on this machine under repeated faults.

    SIGHUP, SIGTERM, SIGKILL, freezes, lost disks and configuration changes come in overlapping series, while
    clients keep using their connections until the process has exited. Exits 0 if no rule was broken, 1
    otherwise.

    Parameters
    ----------
    seed
        Random seed of the first run; each further run uses the next one.
    runs
        Number of runs, one after the other.
    seconds
        Duration of the faults in each run; a run takes about 25 s more.
    machines
        Number of machines in each run; default a small number drawn from the seed.
    keep
        Keep the settings, disks and logs of runs with findings in this folder.
    """
    failed_seeds = []
    for run_seed in range(seed, seed + runs):
        report = _run_one(run_seed, seconds, machines, keep)
        _print_report(report)
        if not report.passed:
            failed_seeds.append(run_seed)
    usage.print_line(
        f"{runs} runs, {len(failed_seeds)} of them with findings"
        + (f": seeds {failed_seeds}" if failed_seeds else "")
    )
    if failed_seeds:
        raise SystemExit(usage.EXIT_FINDINGS)


def _run_one(seed: int, seconds: float, machines: int | None, keep: Path | None) -> Report:
    folder = Path(tempfile.mkdtemp(prefix=f"cypresswinch-soak-{seed}-"))
    try:
        report = asyncio.run(Soak(plan(seed, seconds, machines), folder, usage.print_line).run())
        if keep is not None and not report.passed:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return report


def _print_report(report: Report) -> None:
    usage.print_line(
        f"seed {report.seed}: {report.machines} machines, {report.process_count} processes, "
        f"{report.early_signals} signals before program start, "
        f"{report.confirmed} of {report.orders} orders confirmed, "
        f"{report.served} of {report.requests} requests served, harness lag {report.lag_s:.2f} s: "
        f"{'no findings' if report.passed else f'{len(report.findings)} findings'}"
    )
    usage.print_line(
        "  answers: " + ", ".join(f"{word} x {count}" for word, count in report.statuses.items())
    )
    for finding in report.findings[:MAX_REPORTED_FINDINGS]:
        usage.print_line(f"  {finding.rule}: {finding.text}")
