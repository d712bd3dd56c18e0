"""What each mechanism of placement is worth: plays days of deployments with one of them switched off.

    python -m benchmarks.ablation BENCH SITE ... --days trouble-1 trouble-3 --seeds 11 12 13 --why "..."

Each switch of `placement/options.py` is played in a copy of the sources that are committed, with the same
days and seeds as the program with all of them on. Reports stay in a folder that isn't committed; a play whose
report is there is not repeated, so a run that was stopped goes on. What the bench notes of a play in the
copies' journals comes into this one. Writes a table as Markdown, and a plot beside it.
"""

from __future__ import annotations

import io
import json
import math
import shutil
import subprocess
import sys
import tarfile
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from itertools import product
from pathlib import Path
from statistics import mean, stdev

import attrs
from cyclopts import App

from cloverrouter.placement.options import PlacementOptions

ALL_ON = "all on"
FOLDER = Path("found/ablation")
OPTIONS_FILE = Path("cloverrouter/placement/options.py")
BUILT = Path("target/deps")
JOURNAL = Path("journal")
LINE_IN_USE = "IN_USE = PlacementOptions()"
SWITCHES = tuple(field.name for field in attrs.fields(PlacementOptions))


@attrs.frozen
class Play:
    """One day of a deployment, played with one switch off (or `ALL_ON`)."""

    switch: str
    site: Path
    day: str
    seed: int

    @property
    def pair(self) -> tuple[str, str, int]:
        """What is compared between switches: the same day with the same luck."""
        return (self.site.stem, self.day, self.seed)

    def report(self, folder: Path) -> Path:
        """Where the bench's report of it goes."""
        name = f"{self.site.stem}-{self.day}-{self.seed}.json"
        return folder / self.switch.replace(" ", "-") / name


@attrs.frozen
class Row:
    """What switching a mechanism off does on one deployment; differences of worth, of the same days."""

    switch: str
    site: str
    worth: float
    spread: float
    difference: float
    error: float
    """Standard error of the mean difference; not a number for a single pair."""
    pairs: int


def copy_sources(switch: str, folder: Path) -> Path:
    """The committed sources with the switch off, in a folder of their own."""
    target = folder / "sources" / switch.replace(" ", "-")
    shutil.rmtree(target, ignore_errors=True)
    archive = subprocess.run(["git", "archive", "HEAD"], capture_output=True, check=True).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as content:
        content.extractall(target, filter="data")
    if switch != ALL_ON:
        turn_off(target / OPTIONS_FILE, switch)
    if BUILT.is_dir():  # what the build installs is the same for all
        shutil.copytree(BUILT, target / BUILT)
        (target / BUILT).touch()
    for command in (("init", "-q"), ("add", "-A"), ("commit", "-q", "-m", f"Without {switch}")):
        subprocess.run(["git", *command], cwd=target, check=True)
    return target


def turn_off(options_file: Path, switch: str) -> None:
    """Changes the sources so that the program runs without one mechanism.

    Raises ValueError if the line that holds what is in use isn't there.
    """
    text = options_file.read_text()
    if LINE_IN_USE not in text:
        raise ValueError(f"{options_file}: no line {LINE_IN_USE!r}")
    options_file.write_text(text.replace(LINE_IN_USE, f"IN_USE = PlacementOptions({switch}=False)"))


def play(bench: Path, one: Play, sources: Path, folder: Path, why: str) -> None:
    """Plays it, unless its report is there."""
    report = one.report(folder).resolve()
    if report.exists():
        return
    report.parent.mkdir(parents=True, exist_ok=True)
    options = [
        "--seed",
        str(one.seed),
        "--jobs",
        "1",
        "--report",
        str(report),
        "--why",
        f"{why}: {one.switch}",
    ]
    command = [str(bench), "run", str(one.site), one.day, *options]
    with report.with_suffix(".txt").open("w") as output:
        subprocess.run(command, cwd=sources, stdout=output, stderr=subprocess.STDOUT, check=False)


def collect_journal(sources: Path, journal: Path) -> None:
    """Brings the entries over that the bench has written in a copy of the sources."""
    for entry in (sources / JOURNAL).glob("*.json"):
        if not (journal / entry.name).exists():
            shutil.copy(entry, journal)


def read_worth(one: Play, folder: Path) -> float | None:
    """The day's worth after prices, 0 where a rule broke; None if it was not played."""
    report = one.report(folder)
    if not report.exists():
        return None
    content = json.loads(report.read_text())
    return 0.0 if content["breaks"] or content["fault"] else float(content["G"])


def rows(plays: Iterable[Play], folder: Path) -> list[Row]:
    """A row for each switch and deployment; only days that were played both ways count."""
    worth = {one: found for one in plays if (found := read_worth(one, folder)) is not None}
    base = {one.pair: found for one, found in worth.items() if one.switch == ALL_ON}
    groups: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for one, found in worth.items():
        if one.pair in base:
            pairs = groups.setdefault((one.switch, one.site.stem), [])
            pairs.append((found, found - base[one.pair]))
    return [_row(switch, site, pairs) for (switch, site), pairs in groups.items()]


def _row(switch: str, site: str, pairs: Sequence[tuple[float, float]]) -> Row:
    worths = [worth for worth, _ in pairs]
    differences = [difference for _, difference in pairs]
    has_spread = len(pairs) > 1
    return Row(
        switch,
        site,
        mean(worths),
        stdev(worths) if has_spread else math.nan,
        mean(differences),
        stdev(differences) / math.sqrt(len(pairs)) if has_spread else math.nan,
        len(pairs),
    )


def table(found: Iterable[Row]) -> str:
    """The rows as Markdown."""
    head = ["| switched off | deployment | worth | spread | difference | ± | days |", "|---|" + "---|" * 6]
    lines = [
        f"| {row.switch} | {row.site} | {row.worth:.3f} | {row.spread:.3f} | {row.difference:+.4f} "
        f"| {row.error:.4f} | {row.pairs} |"
        for row in found
    ]
    return "\n".join([*head, *lines])


def plot(found: Iterable[Row], target: Path) -> None:
    """The differences with their errors, a panel for each deployment."""
    from matplotlib import pyplot

    shown = [row for row in found if row.switch != ALL_ON]
    sites = sorted({row.site for row in shown})
    figure, panels = pyplot.subplots(1, len(sites), sharey=True, squeeze=False, figsize=(4 * len(sites), 4))
    for panel, site in zip(panels[0], sites, strict=True):
        here = [row for row in shown if row.site == site]
        errors = [0.0 if math.isnan(row.error) else row.error for row in here]
        panel.barh([row.switch for row in here], [row.difference for row in here], xerr=errors)
        panel.axvline(0.0, color="black", linewidth=0.8)
        panel.set_title(site)
        panel.set_xlabel("difference of worth without it")
    figure.tight_layout()
    figure.savefig(target)


app = App(help="Plays days with one mechanism of placement switched off.")


@app.default
def main(
    bench: Path,
    site: list[Path],
    *,
    days: list[str],
    seeds: list[int],
    why: str,
    switches: list[str] | None = None,
    jobs: int = 4,
    folder: Path = FOLDER,
) -> int:
    """Plays each day with each seed and each switch, and writes `table.md` and `plot.svg`.

    Parameters
    ----------
    bench
        The bench's program.
    site
        The site files.
    days
        Names of their days.
    seeds
        The seeds to play each day with.
    why
        For the bench's journal.
    switches
        Which mechanisms to switch off, one at a time; all without.
    jobs
        How many days at a time.
    folder
        Where copies of the sources, reports, table and plot go.
    """
    off = switches if switches is not None else list(SWITCHES)
    sources = {switch: copy_sources(switch, folder) for switch in (ALL_ON, *off)}
    plays = [Play(*each) for each in product(sources, site, days, seeds)]
    with ThreadPoolExecutor(jobs) as pool:
        list(pool.map(lambda one: play(bench, one, sources[one.switch], folder, why), plays))
    for copy in sources.values():
        collect_journal(copy, JOURNAL)
    found = rows(plays, folder)
    text = table(found)
    (folder / "table.md").write_text(text + "\n")
    plot(found, folder / "plot.svg")
    print(text)
    return 0


if __name__ == "__main__":
    sys.exit(app())
