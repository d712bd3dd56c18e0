"""Plays drawn days of trouble on the bench, several at a time, and collects what came of them.

    python -m benchmarks.play_days BENCH SITE ... --first 1 --last 40 --jobs 2 --why "..."

BENCH is the bench's program. The days are drawn by `benchmarks.trouble_days`; they and the bench's reports
go to a folder that isn't committed, since a seed gives the same day again. A day whose report is there
already is not played a second time. Prints a line a day as it ends (rules broken, shares served, worth) and
a table of all; exits 1 if a rule broke or a day failed.
"""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import attrs
from cyclopts import App

from benchmarks.trouble_days import day_toml, draw_day, read_site

FOLDER = Path("found/trouble-days")


@attrs.frozen
class Played:
    """What came of a day."""

    site: str
    seed: int
    breaks: dict[str, Any] | None  # None: the bench gave no report
    fault: str | None
    served: float
    score: float
    worst_window: float

    @property
    def passed(self) -> bool:
        """Whether it was played to its end and no rule broke."""
        return self.breaks is not None and not self.breaks and self.fault is None

    def line(self) -> str:
        """The day as a line of the table."""
        if self.breaks is None:
            verdict = "not played"
        else:
            verdict = ", ".join(f"{rule} {found}" for rule, found in self.breaks.items()) or "-"
        fault = f"; fault: {self.fault}" if self.fault else ""
        figures = f"{self.served:7.3f} {self.worst_window:7.3f} {self.score:7.3f}"
        return f"{self.site:<28} {self.seed:>8} {figures}  {verdict}{fault}"


HEAD = f"{'site':<28} {'seed':>8} {'served':>7} {'worst':>7} {'worth':>7}  rules broken"


def read_report(site: str, seed: int, report: Path) -> Played:
    """What a report of the bench says of a day."""
    if not report.exists():
        return Played(site, seed, None, None, 0.0, 0.0, 0.0)
    content = json.loads(report.read_text())
    windows = [window["worth"] for window in content["windows"] if window["worth"] is not None]
    return Played(
        site,
        seed,
        content["breaks"],
        content["fault"],
        content["served"] or 0.0,
        content["G"] or 0.0,
        min(windows, default=0.0),
    )


def play(bench: Path, site: Path, seed: int, heavy: bool, folder: Path, options: list[str]) -> Played:
    """Plays the day of a seed, unless its report is there."""
    stem = folder / f"{site.stem}-{seed}"
    report = stem.with_suffix(".json")
    if not report.exists():
        day = stem.with_suffix(".toml")
        day.write_text(day_toml(draw_day(read_site(site), seed, heavy)))
        command = [str(bench), "run", str(site), str(day), "--seed", str(seed), "--jobs", "1"]
        command += ["--report", str(report)]
        with stem.with_suffix(".txt").open("w") as output:
            subprocess.run([*command, *options], stdout=output, stderr=subprocess.STDOUT, check=False)
    return read_report(site.stem, seed, report)


def table(days: Iterable[Played]) -> str:
    """All days, and their sum."""
    played = list(days)
    passed = sum(day.passed for day in played)
    lines = [HEAD, *(day.line() for day in played), f"{len(played)} days, {passed} without a broken rule"]
    return "\n".join(lines)


app = App(help="Plays days of trouble on the bench.")


@app.default
def main(
    bench: Path,
    site: list[Path],
    *,
    first: int,
    last: int,
    why: str,
    jobs: int = 2,
    heavy: bool = False,
    small: bool = False,
    folder: Path = FOLDER,
) -> int:
    """Plays the days of a range of seeds on each site.

    Parameters
    ----------
    bench
        The bench's program.
    site
        The site files.
    first
        The first seed.
    last
        The last seed.
    why
        For the bench's journal.
    jobs
        How many days at a time.
    heavy
        About twice as many troubles of control a day. Wants a folder of its own.
    small
        Play the small twins of a large deployment's days.
    folder
        Where days and reports go.
    """
    options = ["--why", why, *(["--small"] if small else [])]
    folder.mkdir(parents=True, exist_ok=True)
    days = [(path, seed) for seed in range(first, last + 1) for path in site]
    ended: list[Played] = []
    with ThreadPoolExecutor(jobs) as pool:
        for day in pool.map(lambda drawn: play(bench, drawn[0], drawn[1], heavy, folder, options), days):
            print(day.line(), flush=True)
            ended.append(day)
    print(table(ended))
    return 0 if all(day.passed for day in ended) else 1


if __name__ == "__main__":
    sys.exit(app())
