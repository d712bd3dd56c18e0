"""The interface between a fuzzer and the code under test, and the error for a violated property."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Protocol

from cloverrouter.errors import CypresswinchError


class PropertyBroken(CypresswinchError):
    """A property that must hold for every input does not hold for this one."""


class Target(Protocol):
    """One parser, or group of parsers, under test."""

    description: str
    """One-line description of the input and of the code that is tested."""

    def __init__(self) -> None: ...

    def seeds(self) -> Sequence[bytes]:
        """Returns the valid inputs that mutation starts from; the list is the same on every call."""

    def mutate(self, data: bytes, random: Random) -> bytes:
        """Returns a mutated copy of the input; most mutations keep its structure intact."""

    def check(self, data: bytes) -> None:
        """Feeds the input to the code under test.

        Raises `PropertyBroken` for a violated property. Unexpected exceptions of the code under test
        propagate.
        """

    def close(self) -> None:
        """Releases resources, such as temporary files and event loops."""


def expect(condition: bool, text: str) -> None:
    """Raises `PropertyBroken` with the text if the condition is false."""
    if not condition:
        raise PropertyBroken(text)
