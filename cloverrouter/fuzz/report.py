"""The result of fuzzing one target, and the files that its findings are saved to."""

from __future__ import annotations

import hashlib
from pathlib import Path

import attrs

from cloverrouter.fuzz.plain import Finding


@attrs.frozen(slots=True)
class Report:
    """Result of one run.

    `edges` and `features` are libFuzzer's coverage counters for the production code, and `corpus` is the
    number of inputs in its corpus; all three are None for a run without coverage.
    """

    target: str
    inputs: int
    seconds: float
    edges: int | None
    features: int | None
    corpus: int | None
    found: tuple[str, ...]
    """Paths of the saved inputs; a text file with the same stem describes each finding."""


def save_finding(folder: Path, target: str, finding: Finding) -> Path:
    """Writes the input and a text file with location and traceback; returns the path of the input file."""
    folder.mkdir(parents=True, exist_ok=True)
    name = f"{target}-{hashlib.sha256(finding.data).hexdigest()[:12]}"
    path = folder / f"{name}.input"
    path.write_bytes(finding.data)
    (folder / f"{name}.txt").write_text(f"{finding.location}\n\n{finding.traceback_text}", errors="replace")
    return path
