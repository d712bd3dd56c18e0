"""Durable storage of a replica's state on a local disk, in an lmdb file."""

from cloverrouter.store.errors import StoreError, StoreFailed, StoreFull
from cloverrouter.store.records import Meta, Record, Snapshot, StoredReplica, Update

__all__ = ["Meta", "Record", "Snapshot", "StoreError", "StoreFailed", "StoreFull", "StoredReplica", "Update"]
