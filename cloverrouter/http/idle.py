"""Connections to a server that have nothing to do, and wait for the next request."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar


class Reusable(Protocol):
    """A connection that can serve one request after another."""

    idle_since: float  # on the loop's clock, in seconds

    def clean(self) -> bool:
        """May a request go out here?"""
        ...

    def abort(self) -> None:
        """Close it, and forget it wherever it is idle."""
        ...


C = TypeVar("C", bound=Reusable)


class IdlePool(Generic[C]):
    """The idle connections to one server, the last used first: the others can age and go."""

    def __init__(self) -> None:
        self.idle: list[C] = []  # the longest there first

    def rest(self, connection: C, now_s: float) -> None:
        connection.idle_since = now_s
        self.idle.append(connection)

    def take_settled(self, settled_s: float) -> C | None:
        """A connection that has been idle since `settled_s` or longer, and that a request may go out on."""
        for connection in reversed(self.idle):
            if connection.idle_since <= settled_s:
                self.idle.remove(connection)
                if connection.clean():
                    return connection
                connection.abort()
                return self.take_settled(settled_s)
        return None

    def forget(self, connection: C) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    def drop_idle(self, since: float = float("inf")) -> None:
        for connection in [c for c in self.idle if c.idle_since < since]:
            connection.abort()


def close_longest_idle(pools: Iterable[IdlePool[C]]) -> bool:
    """Make room by the connection that has been idle longest, to whichever server; False if none is idle."""
    idle = [pool.idle[0] for pool in pools if pool.idle]
    if not idle:
        return False
    min(idle, key=lambda connection: connection.idle_since).abort()
    return True
