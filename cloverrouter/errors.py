"""The root of the exception hierarchy: every error that this project raises on purpose derives from it."""

from __future__ import annotations


class CypresswinchError(Exception):
    """Base class of this project's own errors."""
