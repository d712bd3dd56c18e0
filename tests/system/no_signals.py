"""A platform that tells a node nothing."""

from __future__ import annotations

import time


class NoSignals:
    """In place of `daemon.signals.Signals`, which takes the signals of the whole process."""

    told_to_end = False

    def __init__(self) -> None:
        self.taken_since = time.monotonic()

    def settings_changed(self) -> bool:
        """No."""
        return False
