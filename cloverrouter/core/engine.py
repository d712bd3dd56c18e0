"""The loop between the lifecycle and the decision module. Whoever drives it carries the effects out.

What happens changes the lifecycle at once, also while effects of something else are being carried out:
a byte that has gone out has gone out. The module is told in the order of the happenings, and never while
it is deciding.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from cloverrouter.core.lifecycle import Lifecycle
from cloverrouter.core.states import Effect, Happening, Tell
from cloverrouter.interface import Action, Event

Decide = Callable[[float, Sequence[Event]], Sequence[Action]]


class Engine:
    """Happenings in, effects out, with the module's decisions in between."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        decide: Decide,
        clock: Callable[[], float],
        carry_out: Callable[[Effect], None],
    ) -> None:
        """`clock` gives milliseconds and never runs backwards. `carry_out` does one effect, any but `Tell`;
        what it raises ends the loop and is passed on, as is what `decide` raises."""
        self.lifecycle = lifecycle
        self._decide = decide
        self._clock = clock
        self._carry_out = carry_out
        self._events: list[Event] = []
        self._deciding = False

    def take(self, happening: Happening) -> None:
        """Something has happened: do all that follows from it."""
        effects = self.lifecycle.on(self._clock(), happening)
        if effects:
            self._run(effects)
        if self._events and not self._deciding:
            self._settle()

    def _settle(self) -> None:
        self._deciding = True
        try:
            while self._events:
                events, self._events = self._events, []
                now_ms = self._clock()
                for action in self._decide(now_ms, events):
                    self._run(self.lifecycle.act(now_ms, action))
        finally:
            self._deciding = False

    def _run(self, effects: list[Effect]) -> None:
        for effect in effects:
            if type(effect) is Tell:
                self._events.append(effect.event)
            else:
                self._carry_out(effect)
