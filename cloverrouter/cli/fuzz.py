"""`fuzz`: mutated inputs for a place that reads bytes from outside."""

from __future__ import annotations

import importlib.util
import json
import sys
import time
from pathlib import Path
from typing import Annotated

import attrs
from cyclopts import Parameter
from cyclopts.validators import Number

from cloverrouter.cli import usage
from cloverrouter.fuzz import guided, plain, report
from cloverrouter.fuzz.targets import TARGETS

FOLDER = Path("found/fuzz")
LIBRARY = "atheris"


def fuzz(
    target: str | None = None,
    *,
    inputs: Annotated[int, Parameter(validator=Number(gte=1))] = 10_000,
    seed: int = 1,
    plain_inputs: Annotated[bool, Parameter(name="--plain", negative="")] = False,
    folder: Path = FOLDER,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
    progress: Annotated[bool, Parameter(negative="")] = False,
) -> None:
    """Mutated inputs for a place that reads bytes from outside.

    The coverage chooses which inputs to go on from, by atheris (extra `fuzz`). What is found is kept in a
    folder, and the run goes on. Exit code 1 if something was found.

    Parameters
    ----------
    target
        What reads the inputs; without it, all targets are listed.
    inputs
        How many inputs.
    seed
        Of the mutations. The same seed gives the same inputs with --plain, and nearly the same without.
    plain_inputs
        Without atheris: seeded mutations of the valid inputs, not guided by anything.
    folder
        Where an input is kept that broke something, with a text that says what.
    as_json
        The report as one line of JSON.
    progress
        The fuzzer's own lines as well.
    """
    if target is None:
        for name, make in sorted(TARGETS.items()):
            usage.say(f"{name:10} {make.description}")
        return
    if target not in TARGETS:
        raise usage.UsageError(f"no target {target}; there are {', '.join(sorted(TARGETS))}")
    if plain_inputs:
        result = _plain(target, inputs, seed, folder)
    else:
        result = _guided(target, inputs, seed, folder, progress)
    usage.say(json.dumps(attrs.asdict(result)) if as_json else _line(result))
    for file in result.found if not as_json else ():
        place = Path(file).with_suffix(".txt").read_text().partition("\n")[0]
        usage.say(f"found: {place}: {file}")
    sys.exit(usage.FOUND if result.found else usage.DONE)


def _plain(target: str, inputs: int, seed: int, folder: Path) -> report.Report:
    started = time.monotonic()
    found = plain.run_target(TARGETS[target], inputs, seed)
    files = tuple(str(report.save_finding(folder, target, each)) for each in found)
    return report.Report(target, inputs, time.monotonic() - started, None, None, None, files)


def _guided(target: str, inputs: int, seed: int, folder: Path, progress: bool) -> report.Report:
    if importlib.util.find_spec(LIBRARY) is None:
        raise usage.UsageError(
            f"{LIBRARY} is not installed; pip install 'cloverrouter[fuzz]', or use --plain"
        )
    try:
        return guided.run(target, inputs, seed, folder, usage.error_line if progress else _unheard)
    except guided.FuzzerFailed as error:
        raise usage.CommandFailed(str(error)) from error


def _unheard(line: str) -> None:
    """Nobody wants to see it."""


def _line(result: report.Report) -> str:
    text = f"{result.target}: {result.inputs} inputs in {result.seconds:.0f} s"
    if result.edges is not None:
        text += f", {result.edges} edges covered, {result.corpus} inputs kept for new coverage"
    return f"{text}; {len(result.found)} findings"
