"""Errors of reading and writing a disk."""

from __future__ import annotations

from cloverrouter.errors import CypresswinchError


class StoreError(CypresswinchError):
    """A read or write failed. The stored data is unchanged."""


class StoreFull(StoreError):
    """The disk or the lmdb map is full. Stored data stays readable, and smaller writes may succeed."""


class StoreFailed(StoreError):
    """The disk or the file returned an error. The same call may succeed later."""
