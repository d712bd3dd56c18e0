"""The configuration in force in this process, built from the subscriber's snapshots and updates."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.errors import ControlError
from cloverrouter.control.orders import ConfigurationMachine
from cloverrouter.control.subscriber import Apply, Replace
from cloverrouter.control.updates import apply_frame
from cloverrouter.messages import MessageError

MAX_HISTORY = 64


class ConfigurationFeed:
    """Applies snapshots and updates, and calls `configure` with each new configuration.

    `on_error` logs an event with its fields. `history` holds the latest versions, oldest first.
    """

    def __init__(
        self, configure: Callable[[ConfigurationState], None], on_error: Callable[..., None]
    ) -> None:
        self._configure = configure
        self._on_error = on_error
        self.state = ConfigurationState()
        self.not_applied = 0
        self.history: deque[dict[str, Any]] = deque(maxlen=MAX_HISTORY)

    def apply(self, effect: Apply | Replace) -> bool:
        """Applies a snapshot or updates. Returns False on failure: all later updates would fail too."""
        try:
            state = self._state_after(effect)
        except (ControlError, MessageError, AttributeError, LookupError, TypeError, ValueError) as error:
            self.not_applied += 1
            text = f"{type(error).__name__}: {error}"
            self._on_error("configuration-not-applied", sequence=effect.sequence, error=text)
            return False
        if state.version == self.state.version:
            return True
        self.state = state
        self.history.append({"sequence": effect.sequence, "version": state.version, "at": time.time()})
        self._configure(state)
        return True

    def _state_after(self, effect: Apply | Replace) -> ConfigurationState:
        if isinstance(effect, Replace):
            machine = ConfigurationMachine()
            machine.restore(effect.snapshot)
            return machine.state
        return _apply_updates(self.state, effect.updates)


def _apply_updates(state: ConfigurationState, updates: Iterable[bytes]) -> ConfigurationState:
    for update in updates:
        state = apply_frame(state, update)
    return state
