"""The result of admitting a request, before anything is sent."""

from __future__ import annotations

import attrs

from cloverrouter.control.configuration import Route, Tenant
from cloverrouter.placement.prefix import NO_PROMPT, Prompt


@attrs.frozen(slots=True)
class AdmittedRequest:
    """A request that was admitted: its route, tenant and service, and what was read from its headers."""

    route: Route
    service: str
    tenant: Tenant | None
    tokens: int
    """Number of units charged against the tenant's quota: tokens, or 1 if its requests are counted."""
    prompt: Prompt = NO_PROMPT
    priority: int | None = None
    deadline: float = 0.0
    """Time on the monotonic clock after which the client no longer waits for the answer."""
