"""A source of signals for tests that never reports one."""

from __future__ import annotations

import time


class NoSignals:
    """Replaces `daemon.signals.Signals`, which handles the signals of the whole process."""

    stop_requested = False

    def __init__(self) -> None:
        self.handling_since_s = time.monotonic()

    def consume_reload_request(self) -> bool:
        """Returns False."""
        return False
