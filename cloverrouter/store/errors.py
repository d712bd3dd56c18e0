"""What can go wrong with a disk."""

from __future__ import annotations

from cloverrouter.errors import CypresswinchError


class StoreError(CypresswinchError):
    """The disk did not take or give what it was asked. What it held before is unchanged."""


class StoreFull(StoreError):
    """There is no room for a write; what is stored stays readable, and smaller writes may still succeed."""


class StoreFailed(StoreError):
    """The disk or its file refuses to work. The same call may succeed later."""
