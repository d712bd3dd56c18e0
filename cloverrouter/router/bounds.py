"""The figures that the data plane keeps to."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class RouterBounds:
    """Bounds of one router."""

    deadline_grace_ms: float = 30.0
    """How long after the deadline the server's own answer is still waited for."""
    extra_sends: int = 2
    """Sends beyond a route's attempts, for attempts that surely never ran."""
    whole_answer_bytes: int = 131_072
    """Answers up to this size are passed on only when they are whole."""
