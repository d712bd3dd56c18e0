"""A run that the coverage guides, by atheris (libFuzzer) in a process of its own."""

from __future__ import annotations

import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from cloverrouter.errors import CypresswinchError
from cloverrouter.fuzz.mutation import MAX_BYTES
from cloverrouter.fuzz.report import Report

MAX_MEMORY_MB = 1024
MAX_INPUT_S = 30
LAST_LINES = 30

_FIGURES = re.compile(r"cov: (\d+) ft: (\d+) corp: (\d+)/")
_DONE = re.compile(r"^Done (\d+) runs")


class FuzzerEnded(CypresswinchError):
    """The fuzzer's process ended before its last input; the text holds its last lines."""


def play(name: str, count: int, seed: int, folder: Path, told: Callable[[str], None]) -> Report:
    """Plays about so many inputs of a target. `told` gets libFuzzer's lines as they come."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as corpus:
        options = [
            f"-runs={count}", f"-seed={seed}", f"-max_len={MAX_BYTES}", f"-rss_limit_mb={MAX_MEMORY_MB}",
            f"-timeout={MAX_INPUT_S}", f"-artifact_prefix={folder}/{name}-", "-len_control=0", corpus,
        ]  # fmt: skip
        folder.mkdir(parents=True, exist_ok=True)
        before = set(folder.glob("*.input"))
        words = [sys.executable, "-m", "cloverrouter.fuzz.under_atheris", name, str(folder), *options]
        process = subprocess.Popen(words, stderr=subprocess.PIPE, stdout=subprocess.DEVNULL, text=True)
        assert process.stderr is not None
        lines: list[str] = []
        figures: tuple[int, ...] | None = None
        inputs = 0
        for line in process.stderr:
            lines = [*lines[-LAST_LINES:], line]
            told(line.rstrip())
            if (found := _FIGURES.search(line)) is not None:
                figures = tuple(int(figure) for figure in found.groups())
            if (done := _DONE.search(line)) is not None:
                inputs = int(done.group(1))
        code = process.wait()
    if code:
        raise FuzzerEnded(f"{name}: the fuzzer ended with {code}\n{''.join(lines)}")
    edges, features, size = figures or (None, None, None)
    kept = tuple(str(path) for path in sorted(set(folder.glob("*.input")) - before))
    return Report(name, inputs, time.monotonic() - started, edges, features, size, kept)
