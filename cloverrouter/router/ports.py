"""What the data plane is handed from outside."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cloverrouter.http.client import Address, Call, CallListener

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
        listener: CallListener,
        expected_id: bytes = b"",
        id_header: bytes = b"",
        refresh: Callable[[], bytes | None] | None = None,
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


class RequestRecord(Protocol):
    """Hears what becomes of one request."""

    def sent(self, instance: str) -> None:
        """An attempt begins at this server."""
        ...

    def flowing(self) -> None:
        """The first part of a streamed answer goes to the client."""
        ...

    def attempt_ended(self, how: str) -> None:
        """The attempt under way is over."""
        ...

    def ended(self, status: int | None, how: str = "") -> None:
        """The request is over: the status of its answer, None if the client got no whole answer."""
        ...


class Recorder(Protocol):
    """Keeps what becomes of requests."""

    def begin(self, request_id: bytes, route: str, service: str, tenant: str | None) -> RequestRecord:
        """A request has been taken."""
        ...

    def turned_away(self, request_id: bytes, status: int) -> None:
        """A request was answered before it had a route and a tenant."""
        ...


class NoRecord:
    """Keeps nothing, as record and as recorder."""

    def begin(self, request_id: bytes, route: str, service: str, tenant: str | None) -> RequestRecord:
        return self

    def turned_away(self, request_id: bytes, status: int) -> None:
        return None

    def sent(self, instance: str) -> None:
        return None

    def flowing(self) -> None:
        return None

    def attempt_ended(self, how: str) -> None:
        return None

    def ended(self, status: int | None, how: str = "") -> None:
        return None


NO_RECORD = NoRecord()
