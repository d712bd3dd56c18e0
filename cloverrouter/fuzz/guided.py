"""Coverage-guided fuzzing by atheris (libFuzzer) in a child process."""

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
OUTPUT_TAIL_LINES = 30

_PROGRESS = re.compile(r"cov: (\d+) ft: (\d+) corp: (\d+)/")
_COMPLETED = re.compile(r"^Done (\d+) runs")


class FuzzerFailed(CypresswinchError):
    """The fuzzer process exited with an error code; the message holds the last lines of its output."""


def run(name: str, count: int, seed: int, folder: Path, on_line: Callable[[str], None]) -> Report:
    """Runs about `count` inputs of the named target and returns the report.

    `on_line` is called with each line of libFuzzer's output. Raises `FuzzerFailed` if the process fails.
    """
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as corpus:
        options = [
            f"-runs={count}", f"-seed={seed}", f"-max_len={MAX_BYTES}", f"-rss_limit_mb={MAX_MEMORY_MB}",
            f"-timeout={MAX_INPUT_S}", f"-artifact_prefix={folder}/{name}-", "-len_control=0", corpus,
        ]  # fmt: skip
        folder.mkdir(parents=True, exist_ok=True)
        before = set(folder.glob("*.input"))
        command = [sys.executable, "-m", "cloverrouter.fuzz.under_atheris", name, str(folder), *options]
        process = subprocess.Popen(command, stderr=subprocess.PIPE, stdout=subprocess.DEVNULL, text=True)
        assert process.stderr is not None
        lines: list[str] = []
        progress: tuple[int, ...] | None = None
        inputs = 0
        for line in process.stderr:
            lines = [*lines[-OUTPUT_TAIL_LINES:], line]
            on_line(line.rstrip())
            if (matched := _PROGRESS.search(line)) is not None:
                progress = tuple(int(number) for number in matched.groups())
            if (completed := _COMPLETED.search(line)) is not None:
                inputs = int(completed.group(1))
        exit_code = process.wait()
    if exit_code:
        raise FuzzerFailed(f"{name}: the fuzzer process exited with code {exit_code}\n{''.join(lines)}")
    edges, features, corpus_size = progress or (None, None, None)
    saved = tuple(str(path) for path in sorted(set(folder.glob("*.input")) - before))
    return Report(name, inputs, time.monotonic() - started, edges, features, corpus_size, saved)
