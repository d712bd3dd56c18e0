"""Traces of the latest requests: kept in memory, and logged as eliot actions at the log level `requests`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cloverrouter.daemon.logs import Log
from cloverrouter.router.ports import RequestRecord

MAX_TRACES = 256
MAX_TRACES_WHEN_LOGGED = 4096

Clock = Callable[[], float]


def _id_text(request_id: bytes) -> str:
    """Returns a client's attempt id as text for the log."""
    return request_id.decode("utf-8", "backslashreplace")


class RequestTrace:
    """One request: each step with its time, in seconds on the process's monotonic clock."""

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

    def as_json(self) -> dict[str, Any]:
        """Returns the trace for operators, with times in milliseconds since the request arrived."""
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
    """A request that is also logged: as an action, with a nested action for each attempt."""

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
    """The router's recorder: the newest requests, by the attempt id that the client sent."""

    def __init__(self, clock: Clock, log: Log) -> None:
        self._clock = clock
        self._log = log
        self._max_traces = MAX_TRACES_WHEN_LOGGED if log.logs_requests else MAX_TRACES
        self._traces: dict[bytes, RequestTrace] = {}

    def begin(self, request_id: bytes, route: str, service: str, tenant: str | None) -> RequestRecord:
        if self._log.logs_requests:
            name = _id_text(request_id)
            trace: RequestTrace = LoggedRequest(self._log, self._clock, name, route, service, tenant)
        else:
            trace = RequestTrace(self._clock, route, service, tenant)
        traces = self._traces
        traces[request_id] = trace
        if len(traces) > self._max_traces:
            del traces[next(iter(traces))]
        return trace

    def turned_away(self, request_id: bytes, status: int) -> None:
        if self._log.logs_requests:
            self._log.request("turned-away", attempt_id=_id_text(request_id), status=status)

    def find(self, request_id: str) -> dict[str, Any] | None:
        """Returns the trace of a request as JSON, or None if it is unknown. Lone surrogates stand for bytes
        of the id that are not UTF-8."""
        trace = self._traces.get(request_id.encode("utf-8", "surrogateescape"))
        return trace.as_json() if trace is not None else None
