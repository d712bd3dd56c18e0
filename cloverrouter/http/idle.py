"""Idle connections to a server that wait for the next request."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar


class Reusable(Protocol):
    """A connection that can serve several requests in turn."""

    idle_since: float  # time on the loop's clock, in seconds

    def clean(self) -> bool:
        """Whether the next request may be sent on the connection: it is open and has no unread data."""
        ...

    def abort(self) -> None:
        """Closes the connection and removes it from its pool."""
        ...


C = TypeVar("C", bound=Reusable)


class IdlePool(Generic[C]):
    """The idle connections to one server. The last used is reused first, so that the others expire."""

    def __init__(self) -> None:
        self.idle: list[C] = []  # longest idle first

    def add_idle(self, connection: C, now_s: float) -> None:
        """Adds a connection that has become idle."""
        connection.idle_since = now_s
        self.idle.append(connection)

    def take_settled(self, settled_s: float) -> C | None:
        """Removes and returns a usable connection that became idle at `settled_s` or before, or None."""
        for connection in reversed(self.idle):
            if connection.idle_since <= settled_s:
                self.idle.remove(connection)
                if connection.clean():
                    return connection
                connection.abort()
                return self.take_settled(settled_s)
        return None

    def forget(self, connection: C) -> None:
        """Removes a connection, if it is here."""
        if connection in self.idle:
            self.idle.remove(connection)

    def drop_idle(self, idle_before_s: float = float("inf")) -> None:
        """Closes the connections that became idle before `idle_before_s`, by default all of them."""
        for connection in [c for c in self.idle if c.idle_since < idle_before_s]:
            connection.abort()


def close_longest_idle(pools: Iterable[IdlePool[C]]) -> bool:
    """Closes the connection that has been idle longest in any of the pools; False if none is idle."""
    idle = [pool.idle[0] for pool in pools if pool.idle]
    if not idle:
        return False
    min(idle, key=lambda connection: connection.idle_since).abort()
    return True
