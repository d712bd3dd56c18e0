"""The interface of the data plane that requests use."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from cloverrouter.http.body import Blocks
from cloverrouter.http.client import Call
from cloverrouter.placement.options import PlacementOptions
from cloverrouter.placement.pick import ServicePlacement
from cloverrouter.router.admitted_request import AdmittedRequest
from cloverrouter.router.attempt import Attempt
from cloverrouter.router.bounds import RouterBounds
from cloverrouter.router.ports import Budget, CallLater, Clock, Recorder
from cloverrouter.router.quota_charge import TenantQuotas
from cloverrouter.router.verdict import End


class HostedRequest(Protocol):
    """A request that is being processed, as its host sees it."""

    admitted: AdmittedRequest

    @property
    def arrived_at(self) -> float:
        """When the first byte of the request was read, on the monotonic clock."""
        ...

    def end_now(self) -> None:
        """Ends the request now."""
        ...

    def on_quota_update(self) -> None:
        """Retries now that the tenant's quota was updated."""
        ...


class RequestHost(TenantQuotas, Protocol):
    """Provides servers, timers, budgets and records for the requests of one proxy."""

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
        """Whether the process is shutting down: answers then close their connections."""
        ...

    def placement(self, service: str) -> ServicePlacement:
        """Returns the placement of a service, which picks its servers."""
        ...

    def may_begin(self, admitted: AdmittedRequest) -> bool:
        """Returns whether the request may be sent to a server now: it must end before the process does."""
        ...

    def next_attempt_number(self) -> int:
        """Returns the number for a new attempt."""
        ...

    def send(
        self,
        attempt: Attempt,
        message: bytes,
        request_id: bytes,
        refresh: Callable[[], bytes | None],
        body: Blocks,
    ) -> Call:
        """Starts a send; `refresh` returns the message for a connection that was established later, or
        None if the send is no longer wanted."""
        ...

    def register_quota_waiter(self, active_request: HostedRequest, tenant: str) -> None:
        """Registers the request for updates of its tenant's quota."""
        ...

    def on_first_data(self, attempt: Attempt, admitted: AdmittedRequest) -> None:
        """Records the first data of an answer's body."""
        ...

    def on_success(self, attempt: Attempt, admitted: AdmittedRequest) -> None:
        """Records a complete successful answer of the server."""
        ...

    def on_answered(self, active_request: HostedRequest) -> None:
        """Records that a server's complete answer was forwarded to the client."""
        ...

    def on_failure(self, attempt: Attempt, end: End, admitted: AdmittedRequest) -> None:
        """Records an attempt that ended without a successful answer."""
        ...

    def on_timeout(self, attempt: Attempt) -> None:
        """Records that a server did not answer before the deadline."""
        ...

    def on_finished(self, active_request: HostedRequest) -> None:
        """Removes a request that has ended."""
        ...
