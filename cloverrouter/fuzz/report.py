"""What a run of one target gives, and where its findings are kept."""

from __future__ import annotations

import hashlib
from pathlib import Path

import attrs

from cloverrouter.fuzz.plain import Found


@attrs.frozen(slots=True)
class Report:
    """One run. The coverage is that of the program's own code, as the library counts it."""

    target: str
    inputs: int
    seconds: float
    edges: int | None
    features: int | None
    corpus: int | None
    found: tuple[str, ...]
    """The files of what was found, each with a text beside it."""


def keep(folder: Path, target: str, found: Found) -> Path:
    """Writes an input and what it broke; gives the input's file."""
    folder.mkdir(parents=True, exist_ok=True)
    name = f"{target}-{hashlib.sha256(found.data).hexdigest()[:12]}"
    path = folder / f"{name}.input"
    path.write_bytes(found.data)
    (folder / f"{name}.txt").write_text(f"{found.place}\n\n{found.text}", errors="replace")
    return path
