"""Coordination of a few machines with disks and many without: a library to embed. Pure cores only."""
