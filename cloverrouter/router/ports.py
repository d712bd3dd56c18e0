"""What the data plane is handed from outside."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cloverrouter.http.client import Address, Call, Listener

Clock = Callable[[], float]
"""Seconds on the process's steady clock."""
Log = Callable[..., None]
"""An event's name, and its fields by keyword."""


class Timer(Protocol):
    """Something that will be called, unless it is cancelled before."""

    def cancel(self) -> None:
        """Don't call it."""
        ...


CallLater = Callable[[float, Callable[[], None]], Timer]
"""Call something after so many seconds."""


class Pool(Protocol):
    """Connections to servers."""

    def send(
        self,
        address: Address,
        message: bytes,
        listener: Listener,
        expected_id: bytes = b"",
        id_header: bytes = b"",
        wanted: Callable[[], bool] = ...,
    ) -> Call:
        """Start a call."""
        ...

    def keep_only(self, addresses: set[Address]) -> None:
        """Where requests may still go."""
        ...


class Quota(Protocol):
    """The tenants' quotas, of which this proxy holds a share."""

    def admit(self, tenant: str, tokens: int, now: float, *, again: bool = False) -> float:
        """0.0: the request may run, and its tokens are taken. Otherwise seconds after which to ask again: a
        short while if more has been asked for, longer for a refusal. `again` if it was asked before."""
        ...

    def refund(self, tenant: str, tokens: int) -> None:
        """Give back the tokens of a request that surely never ran and never will."""
        ...


class Budget(Protocol):
    """What the proxy may send to a service beyond the first arrival of each request."""

    def earn(self, service: str) -> None:
        """A request was answered."""
        ...

    def spend(self, service: str) -> bool:
        """Pay for one more arrival of a request; False, and nothing spent, if that is not covered."""
        ...


def no_log(event: str, **fields: object) -> None:
    """Log nothing."""
