"""The figures that the data plane keeps to; all are told by the deployment or have a sensible default."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class RouterBounds:
    """Bounds of one router."""

    pass_ms: float = 100.0
    """An event of a stream must have been passed on within this time."""
    deadline_grace_ms: float = 30.0
    """How long after the deadline the server's own answer is still waited for."""
    extra_sends: int = 2
    """Sends beyond a route's attempts, for attempts that surely never ran."""
    whole_answer_bytes: int = 131_072
    """Answers up to this size are passed on only when they are whole."""
    budget_share: float = 1.0
    """Kept for the daemon: the part of a service's retry allowance that this proxy may use."""
