"""The `fuzz` command: feeds mutated inputs to code that parses untrusted bytes."""

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

DEFAULT_FOLDER = Path("found/fuzz")
FUZZER_LIBRARY = "atheris"


def fuzz(
    target: str | None = None,
    *,
    inputs: Annotated[int, Parameter(validator=Number(gte=1))] = 10_000,
    seed: int = 1,
    plain_inputs: Annotated[bool, Parameter(name="--plain", negative="")] = False,
    folder: Path = DEFAULT_FOLDER,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
    progress: Annotated[bool, Parameter(negative="")] = False,
) -> None:
    """Feed mutated inputs to code that parses untrusted bytes.

    Coverage feedback from atheris (extra `fuzz`) selects the inputs to mutate further. Findings are saved to
    a folder, and the run goes on. Exits 1 if there are findings.

    Parameters
    ----------
    target
        The code to test; without it, all targets are listed.
    inputs
        Number of inputs.
    seed
        Random seed of the mutations. The same seed gives the same inputs with --plain, and nearly the same
        without.
    plain_inputs
        Run without atheris: seeded mutations of valid inputs, without coverage feedback.
    folder
        Where each input that caused a failure is saved, with a text file that describes the failure.
    as_json
        Print the report as one line of JSON.
    progress
        Print the output of atheris to standard error.
    """
    if target is None:
        for name, target_class in sorted(TARGETS.items()):
            usage.print_line(f"{name:10} {target_class.description}")
        return
    if target not in TARGETS:
        raise usage.UsageError(f"no target {target}; there are {', '.join(sorted(TARGETS))}")
    if plain_inputs:
        result = _run_plain(target, inputs, seed, folder)
    else:
        result = _run_guided(target, inputs, seed, folder, progress)
    usage.print_line(json.dumps(attrs.asdict(result)) if as_json else _summary(result))
    for input_file in result.found if not as_json else ():
        location = Path(input_file).with_suffix(".txt").read_text().partition("\n")[0]
        usage.print_line(f"found: {location}: {input_file}")
    sys.exit(usage.EXIT_FINDINGS if result.found else usage.EXIT_OK)


def _run_plain(target: str, inputs: int, seed: int, folder: Path) -> report.Report:
    started_s = time.monotonic()
    findings = plain.run_target(TARGETS[target], inputs, seed)
    files = tuple(str(report.save_finding(folder, target, finding)) for finding in findings)
    return report.Report(target, inputs, time.monotonic() - started_s, None, None, None, files)


def _run_guided(target: str, inputs: int, seed: int, folder: Path, progress: bool) -> report.Report:
    if importlib.util.find_spec(FUZZER_LIBRARY) is None:
        raise usage.UsageError(
            f"{FUZZER_LIBRARY} is not installed; pip install 'cloverrouter[fuzz]', or use --plain"
        )
    try:
        return guided.run(target, inputs, seed, folder, usage.print_error if progress else _discard)
    except guided.FuzzerFailed as error:
        raise usage.CommandFailed(str(error)) from error


def _discard(line: str) -> None:
    """Ignores a line of output of the fuzzer."""


def _summary(result: report.Report) -> str:
    text = f"{result.target}: {result.inputs} inputs in {result.seconds:.0f} s"
    if result.edges is not None:
        text += f", {result.edges} edges covered, {result.corpus} inputs kept for new coverage"
    return f"{text}; {len(result.found)} findings"
