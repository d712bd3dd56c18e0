"""Limits of the data plane."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class RouterBounds:
    """Limits of one router."""

    deadline_grace_ms: float = 30.0
    """How long after the deadline the router still waits for the server's own answer."""
    extra_sends: int = 2
    """Sends allowed beyond the route's attempts, for attempts that certainly did not run."""
    max_buffered_answer_bytes: int = 131_072
    """Answers up to this size are buffered and forwarded only when complete."""
