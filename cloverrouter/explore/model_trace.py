"""Reads and writes saved counterexamples of the control-plane models."""

from __future__ import annotations

from pathlib import Path

import msgspec

from cloverrouter.explore.models import MODELS, faults
from cloverrouter.explore.trace import TraceError

FORM = "control-1"


class SavedTrace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An event sequence from a named start state, after which an invariant does not hold."""

    form: str
    scope: str
    fault: str | None
    breach: str
    start: str
    steps: tuple[str, ...]


def is_model_trace(path: Path) -> bool:
    """Returns whether the file declares the format of a control-plane counterexample."""
    try:
        found = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError):
        return False
    return isinstance(found, dict) and found.get("form") == FORM


def write(trace: SavedTrace, path: Path) -> None:
    """Writes `trace` as indented JSON. Raises OSError."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(trace), indent=1) + b"\n")


def read(path: Path) -> SavedTrace:
    """Reads a saved counterexample.

    Raises TraceError, which names the file, the value found and the values allowed.
    """
    try:
        found = msgspec.json.decode(path.read_bytes(), type=SavedTrace)
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror}") from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise TraceError(f"{path}: not a counterexample: {error}") from error
    if found.form != FORM:
        raise TraceError(f"{path}: form: found {found.form!r}, this version reads {FORM!r}")
    if found.scope not in MODELS:
        raise TraceError(f"{path}: scope: found {found.scope!r}, allowed are {', '.join(MODELS)}")
    if found.fault is not None and found.fault not in faults():
        raise TraceError(f"{path}: fault: found {found.fault!r}; see --list-faults")
    return found
