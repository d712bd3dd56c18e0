"""`soak`: fleets of real processes under signals, restarts and changes in series, one run for each seed."""

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
    """Play runs of a fleet on this machine, with real processes that are struck again and again.

    SIGHUP, SIGTERM, SIGKILL, freezes, lost disks and changes of the configuration come in series that
    overlap, while clients go on using their connections until the process is gone. Exits 0 if no rule was
    broken, 1 otherwise.

    Parameters
    ----------
    seed
        Of the first run; each further run has the next one.
    runs
        How many, one after the other.
    seconds
        For how long each fleet is struck; a run takes about 25 s more.
    machines
        So many in each run, instead of a few that the seed draws.
    keep
        Keep the settings, disks and logs of runs that found something in this folder.
    """
    failed = []
    for number in range(seed, seed + runs):
        report = _played(number, seconds, machines, keep)
        _tell(report)
        if not report.passed:
            failed.append(number)
    usage.say(f"{runs} runs, {len(failed)} of them found something" + (f": seeds {failed}" if failed else ""))
    if failed:
        raise SystemExit(usage.FOUND)


def _played(seed: int, seconds: float, machines: int | None, keep: Path | None) -> Report:
    folder = Path(tempfile.mkdtemp(prefix=f"cypresswinch-soak-{seed}-"))
    try:
        report = asyncio.run(Soak(plan(seed, seconds, machines), folder, usage.say).run())
        if keep is not None and not report.passed:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return report


def _tell(report: Report) -> None:
    usage.say(
        f"seed {report.seed}: {report.machines} machines, {report.process_count} processes, "
        f"{report.early_signals} signals before the program's first line, "
        f"{report.confirmed} of {report.orders} orders confirmed, "
        f"{report.served} of {report.requests} requests served, own lag {report.lag_s:.2f} s: "
        f"{'nothing found' if report.passed else f'{len(report.findings)} findings'}"
    )
    usage.say("  answers: " + ", ".join(f"{word} x {count}" for word, count in report.statuses.items()))
    for finding in report.findings[:MAX_REPORTED_FINDINGS]:
        usage.say(f"  {finding.rule}: {finding.text}")
