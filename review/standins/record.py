"""The record of a run: one line an event, with the seconds since its start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def seconds(self, at: float) -> float:
        return at - self._started

    def note(self, event: str, **facts: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{time.monotonic() - self._started:9.4f} {event} {text}\n")

    def close(self) -> None:
        self._file.close()
