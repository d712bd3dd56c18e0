"""Signal handling from the program's first line to its end.

Stop and reload signals kill a process that does not handle them. `Signals` is therefore created before
anything large is imported, and `close` leaves the signals ignored: the interpreter restores the default
handlers while it exits.

The handlers must be C methods. A handler in Python can be interrupted by the next signal, so that a dense
series of signals nests without limit. The event loop's own handling writes each signal to a pipe; when that
pipe is full, the interpreter waits for a lock inside the handler, and the process hangs.
"""

from __future__ import annotations

import signal
import time

# Replaces the constant of `typing`, which is slow to import.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol
else:
    Protocol = object

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
ALL_SIGNALS = (*STOP_SIGNALS, RELOAD_SIGNAL)


class PlatformSignals(Protocol):
    """The signals that the process has received."""

    @property
    def handling_since_s(self) -> float:
        """Since when signals are handled, in seconds on the monotonic clock."""
        ...

    @property
    def stop_requested(self) -> bool:
        """Whether a signal has asked the process to stop."""
        ...

    def consume_reload_request(self) -> bool:
        """Returns whether a reload signal has arrived since the last call."""
        ...


class Signals:
    """Records which signals have arrived, for the process to poll."""

    def __init__(self) -> None:
        """Installs the handlers. Must run on the main thread."""
        # `dict.pop` as the handler removes the signal's number; it is called with the number and the frame.
        self._not_received = {int(number): None for number in ALL_SIGNALS}
        for number in ALL_SIGNALS:
            signal.signal(number, self._not_received.pop)
        self.handling_since_s = time.monotonic()
        """Earlier signals are not recorded; in seconds on the clock of the event loop."""

    @property
    def stop_requested(self) -> bool:
        """Whether a signal has asked the process to stop."""
        return any(int(number) not in self._not_received for number in STOP_SIGNALS)

    def consume_reload_request(self) -> bool:
        """Returns whether a reload signal has arrived since the last call."""
        is_requested = int(RELOAD_SIGNAL) not in self._not_received
        if is_requested:
            self._not_received[int(RELOAD_SIGNAL)] = None
        return is_requested

    @staticmethod
    def close() -> None:
        """Ignores all signals from now on: the process is exiting."""
        for number in ALL_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
