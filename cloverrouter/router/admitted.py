"""What is known of a request before anything is sent."""

from __future__ import annotations

import attrs

from cloverrouter.control.configuration import Route, Tenant
from cloverrouter.placement.prefix import NO_PROMPT, Prompt


@attrs.frozen(slots=True)
class Admitted:
    """What was found out about a request before anything was sent."""

    route: Route
    service: str
    tenant: Tenant | None
    tokens: int
    """What it counts for the tenant's quota."""
    prompt: Prompt = NO_PROMPT
    priority: int | None = None
    deadline: float = 0.0
    """When nobody waits for its answer any more, on the steady clock."""
