"""A request and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverrouter.decide.budget import BACKOFF_BASE_MS
from cloverrouter.decide.endpoint import Endpoint
from cloverrouter.interface import DedupScope, Idempotency, ListedEndpoint, Outcome, RequestClass

NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    endpoint: Endpoint
    sent_ms: float
    outcome: Outcome | None = None  # None: in flight
    working: bool = False  # the server has the whole request and its response is pending

    def may_have_run(self) -> bool:
        return self.outcome not in NEVER_RAN


@dataclass(slots=True, eq=False)
class Request:
    """One client request until it is answered and has no attempt in flight."""

    id: int
    cls: RequestClass | None
    arrived_ms: float
    deadline_ms: float
    work: float  # expected, in a unit common to all requests
    value: float  # worth per expected work
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    previous_wait_ms: float = BACKOFF_BASE_MS
    repeat: bool = False  # marked as a retry by its client
    on_time_until_ms: float = 0.0  # if sent by then, it probably meets its aim
    timer: int | None = None  # token of its only pending timer
    queue_number: int = 0  # 0: not queued
    done: bool = False
    streaming: bool = False
    uploading: bool = False

    def retryable(self) -> bool:
        return self.cls is not None and self.cls.idempotency is not Idempotency.UNSAFE

    def first_possible_run(self) -> Attempt | None:
        return next((a for a in self.attempts if a.may_have_run()), None)

    def dedup_until_ms(self) -> float:
        """Returns when servers stop deduplicating a keyed request that may have run."""
        ran = self.first_possible_run()
        if ran is None or self.cls is None or self.cls.idempotency is not Idempotency.KEYED:
            return float("inf")
        return ran.sent_ms + self.cls.dedup_window_ms


def deduplicates(cls: RequestClass | None, home: ListedEndpoint, there: ListedEndpoint) -> bool:
    """Returns whether `there` deduplicates requests that may have run at `home`."""
    if cls is None or cls.idempotency is not Idempotency.KEYED or cls.dedup_scope is DedupScope.ALL:
        return True
    same_cell = cls.dedup_scope is DedupScope.ZONE or home.cell == there.cell
    return home.zone == there.zone and same_cell
