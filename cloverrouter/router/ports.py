"""The interfaces that the data plane needs from outside."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from cloverrouter.http.body import Blocks
from cloverrouter.http.client import Address, Call, CallListener

Clock = Callable[[], float]
"""Returns the time on the process's monotonic clock, in seconds."""
Log = Callable[..., None]
"""Called with the name of an event, and its fields as keywords."""


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancels the call."""
        ...


CallLater = Callable[[float, Callable[[], None]], Timer]
"""Schedules a call after a delay in seconds."""


class Pool(Protocol):
    """The connections to servers."""

    def send(
        self,
        address: Address,
        message: bytes,
        listener: CallListener,
        expected_id: bytes = b"",
        id_header: bytes = b"",
        refresh: Callable[[], bytes | None] | None = None,
        body: Blocks = (),
    ) -> Call:
        """Starts a call that sends `message` and then `body`."""
        ...

    def keep_only(self, addresses: set[Address]) -> None:
        """Sets the addresses that requests may still be sent to."""
        ...


class Quota(Protocol):
    """The quotas of the tenants, of which this proxy holds a share."""

    def admit(self, tenant: str, tokens: int, now: float, *, again: bool = False) -> float:
        """Returns 0.0 if the request may run, with its tokens charged. Otherwise returns the seconds after
        which to ask again: short if more quota was requested, longer if the request is rejected. `again`:
        this request has asked before."""
        ...

    def refund(self, tenant: str, tokens: int) -> None:
        """Returns the tokens of a request that certainly never ran and never will."""
        ...


class Budget(Protocol):
    """The retry budget: what the proxy may send to a service beyond the first arrival of each request."""

    def earn(self, service: str) -> None:
        """Credits the budget for an answered request."""
        ...

    def spend(self, service: str) -> bool:
        """Charges one more arrival of a request; returns False, and charges nothing, if the budget is
        exhausted."""
        ...


def no_log(event: str, **fields: object) -> None:
    """Discards a log event."""


class RequestRecord(Protocol):
    """Records the progress of one request."""

    def sent(self, instance: str) -> None:
        """Records that an attempt at this server begins."""
        ...

    def flowing(self) -> None:
        """Records that the first part of a streamed answer goes to the client."""
        ...

    def attempt_ended(self, how: str) -> None:
        """Records the end of the current attempt, and how it ended."""
        ...

    def ended(self, status: int | None, how: str = "") -> None:
        """Records the end of the request; `status` is that of its answer, None if the client got no
        complete answer."""
        ...


class Recorder(Protocol):
    """Records the progress of all requests."""

    def begin(self, request_id: bytes, route: str, service: str, tenant: str | None) -> RequestRecord:
        """Returns the record for a request that was admitted."""
        ...

    def turned_away(self, request_id: bytes, status: int) -> None:
        """Records a request that was rejected before it had a route and a tenant."""
        ...


class NoRecord:
    """A record and recorder that discards everything."""

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
