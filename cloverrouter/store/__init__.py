"""Durable state on a local disk, by lmdb."""
