"""What became of the latest requests: kept in memory, and at the level `requests` written as actions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cloverrouter.daemon.logs import Log
from cloverrouter.router.ports import RequestRecord

KEPT_REQUESTS = 256
KEPT_REQUESTS_WHEN_LOGGED = 4096

Clock = Callable[[], float]


class RequestTrace:
    """One request: each step with its time, in seconds on the process's steady clock."""

    __slots__ = ("_clock", "began", "route", "service", "steps", "tenant")

    def __init__(self, clock: Clock, route: str, service: str, tenant: str | None) -> None:
        self._clock = clock
        self.began = clock()
        self.route = route
        self.service = service
        self.tenant = tenant
        self.steps: list[tuple[float, str, Any]] = []

    def sent(self, instance: str) -> None:
        self.steps.append((self._clock(), "sent", instance))

    def flowing(self) -> None:
        self.steps.append((self._clock(), "flowing", None))

    def attempt_ended(self, how: str) -> None:
        self.steps.append((self._clock(), "attempt-ended", how))

    def ended(self, status: int | None, how: str = "") -> None:
        self.steps.append((self._clock(), "ended", status if not how else f"{how}, {status or 'no answer'}"))

    def told(self) -> dict[str, Any]:
        """For people, with times in milliseconds since the request came."""
        return {
            "age-s": round(self._clock() - self.began, 3),
            "route": self.route,
            "service": self.service,
            "tenant": self.tenant,
            "steps": [
                {"at-ms": round(1000 * (at - self.began), 2), "step": step, "detail": detail}
                for at, step, detail in self.steps
            ],
        }


class LoggedRequest(RequestTrace):
    """A request that is also written to the log: an action, and inside it one for each attempt."""

    __slots__ = ("_action", "_attempt", "_log")

    def __init__(
        self, log: Log, clock: Clock, request_id: str, route: str, service: str, tenant: str | None
    ) -> None:
        super().__init__(clock, route, service, tenant)
        self._log = log
        self._action = log.start_action(
            "request", None, attempt_id=request_id, route=route, service=service, tenant=tenant
        )
        self._attempt: Any = None

    def sent(self, instance: str) -> None:
        super().sent(instance)
        self._attempt = self._log.start_action("attempt", self._action, instance=instance)

    def flowing(self) -> None:
        super().flowing()
        if self._attempt is not None:
            self._attempt.log("flowing")

    def attempt_ended(self, how: str) -> None:
        super().attempt_ended(how)
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.add_success_fields(how=how)
            attempt.finish()

    def ended(self, status: int | None, how: str = "") -> None:
        super().ended(status, how)
        self._action.add_success_fields(status=status, how=how)
        self._action.finish()


class RequestTraces:
    """The router's recorder: the newest requests by the attempt id that their client sent."""

    def __init__(self, clock: Clock, log: Log) -> None:
        self._clock = clock
        self._log = log
        self._kept = KEPT_REQUESTS_WHEN_LOGGED if log.logs_requests else KEPT_REQUESTS
        self._traces: dict[bytes, RequestTrace] = {}

    def begin(self, request_id: bytes, route: str, service: str, tenant: str | None) -> RequestRecord:
        if self._log.logs_requests:
            name = request_id.decode("latin-1")
            trace: RequestTrace = LoggedRequest(self._log, self._clock, name, route, service, tenant)
        else:
            trace = RequestTrace(self._clock, route, service, tenant)
        traces = self._traces
        traces[request_id] = trace
        if len(traces) > self._kept:
            del traces[next(iter(traces))]
        return trace

    def turned_away(self, request_id: bytes, status: int) -> None:
        if self._log.logs_requests:
            self._log.request("turned-away", attempt_id=request_id.decode("latin-1"), status=status)

    def find(self, request_id: str) -> dict[str, Any] | None:
        """What is remembered of a request, as JSON; None if nothing."""
        trace = self._traces.get(request_id.encode("latin-1", "replace"))
        return trace.told() if trace is not None else None
