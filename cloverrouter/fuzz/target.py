"""What a fuzzer needs of one place that reads bytes, and how a broken property shows."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Protocol

from cloverrouter.errors import CypresswinchError


class PropertyBroken(CypresswinchError):
    """Something that has to hold for every input doesn't hold for this one."""


class Target(Protocol):
    """One place that reads bytes."""

    text: str
    """What is read there, in a line."""

    def __init__(self) -> None: ...

    def seeds(self) -> Sequence[bytes]:
        """Valid inputs to start from, always the same."""

    def mutate(self, data: bytes, random: Random) -> bytes:
        """A changed input, its structure kept for the most part."""

    def check(self, data: bytes) -> None:
        """Reads the input. Raises `PropertyBroken`, or lets out what the code under test must not raise."""

    def close(self) -> None:
        """Removes what the target keeps outside of its process's memory."""


def expect(holds: bool, text: str) -> None:
    """Raises `PropertyBroken` unless it holds."""
    if not holds:
        raise PropertyBroken(text)
