"""Durable state on a local disk, by lmdb."""

from cloverrouter.store.errors import StoreError, StoreFailed, StoreFull
from cloverrouter.store.records import Meta, Record, Snapshot, StoredReplica, Update

__all__ = ["Meta", "Record", "Snapshot", "StoreError", "StoreFailed", "StoreFull", "StoredReplica", "Update"]
