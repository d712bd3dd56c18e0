"""The root of the exception tree: every error that this project raises on purpose descends from it."""

from __future__ import annotations


class CypresswinchError(Exception):
    """An error of this project's own."""
