"""Decisions of a client-side load balancer, as a library without I/O.

`Balancer` is imported on first access, because the fleet's program does not need all of it.
"""

from __future__ import annotations

# Avoids importing `typing`, which takes longer than everything else before a program's first line.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

    from cloverrouter.decide import Balancer

__all__ = ["Balancer"]
__version__ = "0.2.0"


def __getattr__(name: str) -> Any:
    if name == "Balancer":
        from cloverrouter.decide import Balancer

        return Balancer
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
