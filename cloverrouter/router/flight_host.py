"""What a flight needs of the data plane that it belongs to."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from cloverrouter.http.client import Call
from cloverrouter.placement.options import PlacementOptions
from cloverrouter.placement.pick import ServicePlacement
from cloverrouter.router.admitted import Admitted
from cloverrouter.router.attempt import Attempt
from cloverrouter.router.bounds import RouterBounds
from cloverrouter.router.ports import Budget, CallLater, Clock, Recorder
from cloverrouter.router.quota_turn import TenantQuotas
from cloverrouter.router.verdict import End


class HostedFlight(Protocol):
    """A flight, as its host sees it."""

    admitted: Admitted

    @property
    def arrived_at(self) -> float:
        """When the whole request had been read."""
        ...

    def cut_off(self) -> None:
        """No more can be done: end it."""
        ...

    def quota_woken(self) -> None:
        """News of the tenant's quota came."""
        ...


class FlightHost(TenantQuotas, Protocol):
    """Servers, timers, budgets and records for the flights of one proxy."""

    @property
    def clock(self) -> Clock: ...

    @property
    def call_later(self) -> CallLater: ...

    @property
    def random(self) -> Random: ...

    @property
    def bounds(self) -> RouterBounds: ...

    @property
    def budget(self) -> Budget: ...

    @property
    def options(self) -> PlacementOptions: ...

    @property
    def recorder(self) -> Recorder: ...

    @property
    def draining(self) -> bool:
        """The process is to end: answers end their connections."""
        ...

    def placement(self, service: str) -> ServicePlacement:
        """The servers of a service."""
        ...

    def may_begin(self, admitted: Admitted) -> bool:
        """Whether the request may be sent to a server now: it is to end before the process does."""
        ...

    def next_key(self) -> int:
        """A number for an attempt."""
        ...

    def send(
        self, attempt: Attempt, message: bytes, request_id: bytes, refresh: Callable[[], bytes | None]
    ) -> Call:
        """Start a send."""
        ...

    def waits_for_quota(self, flight: HostedFlight, tenant: str) -> None:
        """The flight is to hear of news about its tenant's quota."""
        ...

    def began(self, attempt: Attempt, admitted: Admitted) -> None:
        """The first part of an answer's body came."""
        ...

    def succeeded(self, attempt: Attempt, admitted: Admitted) -> None:
        """The server's own answer is whole."""
        ...

    def answered(self, flight: HostedFlight) -> None:
        """A server's whole answer went to the client."""
        ...

    def failed(self, attempt: Attempt, end: End, admitted: Admitted) -> None:
        """An attempt ended without an answer of worth."""
        ...

    def timed_out(self, attempt: Attempt) -> None:
        """A server did not answer in time."""
        ...

    def landed(self, flight: HostedFlight) -> None:
        """A flight is over."""
        ...
