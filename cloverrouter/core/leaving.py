"""How the process ends: what is still done at which moment after it has been told to, and when it is over.

The theory, before the table. Whatever was taken is owed an answer, and so is what comes while the process is
still there. A connection may be closed between two requests; a request that crosses such a close comes again
on a new connection. So the listener is the last thing that ends: as long as a connection is left that may be
closed, and for a moment after the last has been, there has to be a place to come again to. The end itself is
only in a look at which nothing is owed, nothing moves on the connections that are left, if any, and nobody
waits to be taken in.

    SERVING -> SENDING_AWAY -> FINISHING -> (CUTTING ->) OVER
    SENDING_AWAY, FINISHING, CUTTING -> HALTED -> OVER

| state | what is owed | what is done at each look |
| --- | --- | --- |
| SENDING_AWAY | new connections may still come, and calls run their course | quiet connections close |
| FINISHING | calls run their course | quiet connections close, in time those that never spoke, too |
| CUTTING | nothing but what is half-sent, or the rest of an answer that its client reads slowly | the same |
| HALTED | the rest of answers that have begun; all else was failed, as a kill comes next | the same |
| OVER | nothing | |

Nothing here knows a socket or a clock: whoever drives it says what there is to be seen.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# After SIGTERM connections go on coming for a while.
STILL_COMING_S = 0.5
# For half-sent requests and answers still being read, once nothing is owed; and again, for the errors that
# half-sent requests have earned then.
LAST_BYTES_S = 0.5
# A request that crosses the close of its connection comes again within so long, and is taken in.
COME_AGAIN_S = 0.15
# SIGKILL comes no sooner than the longest deadline, counted as so much where it is longer, and a while more.
LONGEST_COUNTED_S = 3.0
KILLED_AFTER_S = 0.7
# Who has connected and not spoken is waited for until then: what comes later has not all of its time.
SPEAK_S = KILLED_AFTER_S - 0.05
# What is still owed then is answered so long before that: late by as much as a busy machine's loop may be.
HALT_BEFORE_S = 0.15


class Stage(Enum):
    SERVING = "serving"
    SENDING_AWAY = "sending away"
    FINISHING = "finishing"
    CUTTING = "cutting"
    HALTED = "halted"
    OVER = "over"


class Do(Enum):
    CLOSE_QUIET = "close quiet"  # connections on which nothing is owed, if they have been quiet for a moment
    CLOSE_SILENT = "close silent"  # and those that have never said a word, likewise
    END_HALF_SENT = "end half-sent"  # an error is the answer to requests that do not come to their end
    HALT = "halt"  # answer all that is owed, at once
    TAKE_IN = "take in"  # is somebody waiting to be taken in? If nobody is, say so in the next look


@dataclass(slots=True)
class Seen:
    """What there is at one look."""

    owed: int  # calls without a final answer
    open: int  # client connections
    others_accept: bool = False  # another process takes in who comes
    nobody_waits: bool = False  # `TAKE_IN` has just found nobody
    taken_in: bool = False  # `TAKE_IN` has just found somebody
    moving: bool = False  # something is still going out on one of these, or has come unread


class Leaving:
    """One process's end. `look` is to be called every few hundredths of a second from `told` on."""

    __slots__ = ("_halt_s", "_open_s", "_owed_s", "_told_s", "stage")

    def __init__(self) -> None:
        self.stage = Stage.SERVING
        self._told_s = self._halt_s = self._owed_s = self._open_s = 0.0

    @property
    def over(self) -> bool:
        return self.stage is Stage.OVER

    def told(self, now_s: float, longest_deadline_s: float) -> None:
        """The process has been told to end. A second time changes nothing."""
        if self.stage is Stage.SERVING:
            self.stage = Stage.SENDING_AWAY
            self._told_s = self._owed_s = now_s
            killed_s = now_s + min(longest_deadline_s, LONGEST_COUNTED_S) + KILLED_AFTER_S
            self._halt_s = max(now_s + STILL_COMING_S, killed_s - HALT_BEFORE_S)

    def look(self, now_s: float, seen: Seen) -> list[Do]:
        """What is to be done now, in that order. Raises ValueError before `told`."""
        if self.stage is Stage.SERVING:
            raise ValueError("nobody has told the process to end")
        if self.stage is Stage.OVER:
            return []
        if seen.owed:
            self._owed_s = now_s
        if seen.open:
            self._open_s = now_s
        still_coming = not seen.others_accept and now_s < self._told_s + STILL_COMING_S
        if self.stage is Stage.SENDING_AWAY and not still_coming:
            self.stage = Stage.FINISHING
            self._owed_s = now_s
        if self.stage is Stage.SENDING_AWAY:
            return [Do.CLOSE_QUIET]
        if seen.taken_in:  # its request has as much time to come as one that crosses a close
            self._owed_s = max(self._owed_s, now_s + COME_AGAIN_S - 2 * LAST_BYTES_S)
        rest = [Do.CLOSE_QUIET]
        if now_s >= self._told_s + SPEAK_S:
            rest.append(Do.CLOSE_SILENT)
        if seen.owed and now_s >= self._halt_s and self.stage is not Stage.HALTED:
            self.stage = Stage.HALTED
            return [Do.HALT, Do.END_HALF_SENT, *rest]
        idle_s = now_s - self._owed_s
        # Danger: what a process cuts off by its own end is lost; what a kill finds under way is not. What its
        # client does not read ends by itself (`ClientConnection.check`).
        stuck = bool(seen.open) and idle_s >= 2 * LAST_BYTES_S and not seen.moving
        if not seen.owed and (stuck or not seen.open):
            if seen.others_accept or seen.nobody_waits:
                self.stage = Stage.OVER
                return []
            return [Do.TAKE_IN] if stuck or now_s >= self._open_s + COME_AGAIN_S else []
        if not seen.owed and idle_s >= LAST_BYTES_S and self.stage is Stage.FINISHING:
            self.stage = Stage.CUTTING
            return [Do.END_HALF_SENT, *rest]
        return rest
