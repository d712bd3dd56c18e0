"""What the platform tells a process by signals, from the program's first line to its end.

Both signals end a process that doesn't handle them, so `Signals` is made before anything large is loaded, and
`close` leaves them ignored: the interpreter would set the system's defaults again while it ends.

Danger: the handlers are methods of C. Handlers in Python can be interrupted by the next signal and so nest
without end in a dense series; and the loop's own way, a pipe that each signal is written to, makes the
interpreter wait for a lock inside the handler when that pipe is full, and the process never goes on.
"""

from __future__ import annotations

import signal
import time

# Not that of `typing`, which takes long to load.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Protocol
else:
    Protocol = object

END_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
ALL_SIGNALS = (*END_SIGNALS, RELOAD_SIGNAL)


class PlatformSignals(Protocol):
    """What the platform has told the process."""

    @property
    def taken_since(self) -> float:
        """When signals began to be taken. Seconds on the steady clock."""
        ...

    @property
    def told_to_end(self) -> bool:
        """Whether the process was told to end."""
        ...

    def settings_changed(self) -> bool:
        """Whether the settings file has changed since this was last asked."""
        ...


class Signals:
    """Remembers which signals came. Whoever runs the process asks, again and again."""

    def __init__(self) -> None:
        """Takes the signals from now on. Only the main thread may do so."""
        # A signal takes its number out: `dict.pop` is called with the number and the frame, as its default.
        self._not_seen = {int(number): None for number in ALL_SIGNALS}
        for number in ALL_SIGNALS:
            signal.signal(number, self._not_seen.pop)
        self.taken_since = time.monotonic()
        """No signal has been taken before; seconds on the clock of the event loop."""

    @property
    def told_to_end(self) -> bool:
        """Whether the process was told to end."""
        return any(int(number) not in self._not_seen for number in END_SIGNALS)

    def settings_changed(self) -> bool:
        """Whether the settings file has changed since this was last asked."""
        has_changed = int(RELOAD_SIGNAL) not in self._not_seen
        if has_changed:
            self._not_seen[int(RELOAD_SIGNAL)] = None
        return has_changed

    @staticmethod
    def close() -> None:
        """Nothing counts any more: the process ends."""
        for number in ALL_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
