"""The event loop between the lifecycle and the decision module. The driver carries out the effects.

Events change the lifecycle immediately, even while the effects of another event are being carried out, since
bytes that were sent cannot be recalled. The decision module receives its events in order, and never while it
is deciding.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from cloverrouter.core.lifecycle import Lifecycle
from cloverrouter.core.states import Effect, LifecycleEvent, NotifyBalancer
from cloverrouter.interface import Action, Event

Decide = Callable[[float, Sequence[Event]], Sequence[Action]]


class Engine:
    """Handles events: asks the decision module and passes effects to the driver."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        decide: Decide,
        clock: Callable[[], float],
        carry_out: Callable[[Effect], None],
    ) -> None:
        """`clock` returns milliseconds and never runs backwards. `carry_out` performs any effect except
        `NotifyBalancer`. Exceptions of `carry_out` and `decide` end the loop and propagate."""
        self.lifecycle = lifecycle
        self._decide = decide
        self._clock = clock
        self._carry_out = carry_out
        self._events: list[Event] = []
        self._deciding = False

    def handle(self, event: LifecycleEvent) -> None:
        """Handles an event and everything that follows from it."""
        effects = self.lifecycle.on(self._clock(), event)
        if effects:
            self._run(effects)
        if self._events and not self._deciding:
            self._process_events()

    def _process_events(self) -> None:
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
            if type(effect) is NotifyBalancer:
                self._events.append(effect.event)
            else:
                self._carry_out(effect)
