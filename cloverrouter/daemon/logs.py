"""The log of a process: eliot's JSON lines on standard output, at the level that the settings name.

Levels: `off`; `errors`; `changes` (errors, and changes of views, configurations and servers); `requests`
(all of these, and an action for each request). Eliot is loaded only when something is written.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from cloverrouter.daemon.settings import LOG_LEVELS

Write = Callable[..., None]


def _discard(message_type: str, **fields: Any) -> None:
    return None


class Log:
    """Writes events: `error`, `change` and `request` are functions that do nothing below their level."""

    def __init__(self, level: str, node_name: str) -> None:
        self._node_name = node_name
        rank = LOG_LEVELS.index(level)
        self.error = self._writer(node_name) if rank >= LOG_LEVELS.index("errors") else _discard
        self.change = self._writer(node_name) if rank >= LOG_LEVELS.index("changes") else _discard
        self.logs_requests = rank >= LOG_LEVELS.index("requests")
        self.request = self._writer(node_name) if self.logs_requests else _discard

    @staticmethod
    def _writer(node_name: str) -> Write:
        def write(message_type: str, **fields: Any) -> None:
            eliot = _eliot()
            eliot.log_message(message_type=message_type, node=node_name, **fields)

        return write

    def start_action(self, action_type: str, parent: Any, **fields: Any) -> Any:
        """Starts an eliot action that the caller finishes, nested in `parent` unless that is None."""
        eliot = _eliot()
        if parent is None:
            return eliot.start_task(action_type=action_type, node=self._node_name, **fields)
        with parent.context():
            return eliot.start_action(action_type=action_type, node=self._node_name, **fields)


_loaded: list[Any] = []


def _eliot() -> Any:
    if not _loaded:
        import eliot

        # Bytes, which are UTF-8 whatever the locale's encoding is.
        eliot.to_file(getattr(sys.stdout, "buffer", sys.stdout))
        _loaded.append(eliot)
    return _loaded[0]
