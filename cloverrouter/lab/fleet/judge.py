"""Checks what clients, servers and the operator observed against the contract. No I/O.

A *request* is one attempt of a client, with an attempt id of its own; an *operation* is what a client wants
done, over all its attempts. Rules are named as in the contract: MIXED, UNASKED, TWICE, REFUSED, ROUTE, ORDER,
CONFIG, DRAIN; QUOTA checks the tenants' limits.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

import attrs

from cloverrouter.lab.fleet.contract import NOT_EXECUTED_STATUSES, Event

MAX_FINDINGS_PER_RULE = 20  # findings kept with their text; all are counted


@attrs.frozen(slots=True)
class Request:
    """One attempt, as its client sent it. Times in seconds."""

    attempt_id: str
    operation_id: str
    route: str
    backends: frozenset[str]
    tenant: str
    idempotent: bool
    subject: str
    sent_at: float
    first_event: int = 1  # first expected event: above 1 when a stream is resumed
    tokens: int = 0  # charged to its tenant's quota
    zone: str = ""  # of the client


@attrs.define(slots=True)
class Run:
    """One execution of a request at a server. `total_events`: the length of a complete stream.

    `subject` is empty if it began before the body was read.
    """

    attempt_id: str
    instance: str
    backend: str
    signature: str
    tenant: str
    subject: str
    started_at: float
    carried_api_key: bool = False
    status: int = 200
    body: bytes | None = None
    total_events: int = 0


@attrs.frozen(slots=True)
class ObservedAnswer:
    """What a client received for an attempt. `status` is None if no head was received; `ended_at` in seconds.

    `was_interrupted`: the connection ended before the answer did.
    """

    status: int | None
    signature: str = ""
    body: bytes = b""
    events: tuple[Event, ...] = ()
    is_complete: bool = False
    is_stream: bool = False
    ended_at: float = 0.0
    was_interrupted: bool = False


@attrs.frozen(slots=True)
class Finding:
    """One violation of a rule."""

    rule: str
    text: str


@attrs.frozen(slots=True)
class QuotaRule:
    """The limits (tokens per second, burst) of tenants, checked over every span of `period_s` seconds."""

    limits: dict[str, tuple[float, float]]
    period_s: float
    overshoot: float
    tolerance: float

    def allowed_tokens(self, tenant: str) -> float:
        """Returns the tokens allowed in one span."""
        rate, burst = self.limits[tenant]
        return (rate * self.period_s + burst) * (1 + self.overshoot) + self.tolerance


@attrs.define(slots=True)
class Operation:
    """One logical request of a client, over all its attempts.

    `within_quota` is False if it may be refused because of its tenant's quota.
    """

    route: str
    started_at: float
    is_resumable: bool
    within_quota: bool = True
    attempts: int = 0
    served_at: float | None = None
    first_at: float | None = None
    last_status: int | None = None
    events: int = 0

    @property
    def latency_ms(self) -> float:
        """Returns the time to the complete answer, or to the first event of a stream."""
        assert self.served_at is not None
        return 1000 * ((self.first_at or self.served_at) - self.started_at)


class Judge:
    """Records observations, and reports violations of the contract."""

    def __init__(self) -> None:
        self.requests: dict[str, Request] = {}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.answers: dict[str, ObservedAnswer] = {}
        self.operations: dict[str, Operation] = {}
        self.findings: list[Finding] = []
        self.violation_counts: Counter[str] = Counter()
        self.acknowledged: dict[int, dict[str, Any]] = {}
        self.drained: dict[str, float] = {}  # by instance: when its drain was acknowledged, in seconds
        self.drain_grace_s = 2.0
        self.quota: QuotaRule | None = None

    def _record_violation(self, rule: str, text: str) -> None:
        self.violation_counts[rule] += 1
        if self.violation_counts[rule] <= MAX_FINDINGS_PER_RULE:
            self.findings.append(Finding(rule, text))

    # Observations

    def operation_started(self, operation_id: str, operation: Operation) -> None:
        """Records the start of an operation."""
        self.operations[operation_id] = operation

    def request_sent(self, request: Request) -> None:
        """Records an attempt of a client."""
        self.requests[request.attempt_id] = request
        self.operations[request.operation_id].attempts += 1

    def run_started(self, run: Run) -> None:
        """Records that a server starts to execute a request."""
        self.runs[run.attempt_id].append(run)
        request = self.requests.get(run.attempt_id)
        if request is None:
            self._record_violation("UNASKED", f"{run.instance} runs {run.attempt_id}, which no client sent")
            return
        self._check_run(run, request)

    def body_read_late(self, attempt_id: str, instance: str, subject: str) -> None:
        """Checks the body that a server read after its answer, where the connection brought all of it."""
        request = self.requests.get(attempt_id)
        if request is not None and subject != request.subject:
            self._record_violation("UNASKED", f"{instance} gets other bytes in place of {attempt_id}'s body")

    def draining_acknowledged(self, instance: str, at: float) -> None:
        """Records the time of the first acknowledged drain of a server."""
        self.drained.setdefault(instance, at)

    def answer_received(self, attempt_id: str, answer: ObservedAnswer) -> None:
        """Records the final answer to an attempt, or its end without one."""
        self.answers[attempt_id] = answer
        request = self.requests[attempt_id]
        self.operations[request.operation_id].last_status = answer.status
        if answer.status is not None and 200 <= answer.status < 300:
            self._check_success(request, answer)
        elif answer.signature:
            self._check_failure(request, answer)

    def configuration_acknowledged(self, version: int, document: dict[str, Any]) -> None:
        """Records an acknowledged configuration; each version may have only one content."""
        if version in self.acknowledged and self.acknowledged[version] != document:
            self._record_violation("CONFIG", f"two changes to version {version} are acknowledged")
        self.acknowledged[version] = document

    def configuration_read_back(self, document: dict[str, Any] | None) -> None:
        """Checks the configuration read from the fleet at the end; None if no read succeeded."""
        newest = max(self.acknowledged, default=0)
        if document is None:
            self._record_violation("CONFIG", "the configuration can't be read back")
        elif document.get("version", 0) < newest:
            self._record_violation(
                "CONFIG", f"read back: version {document.get('version')}, acknowledged: {newest}"
            )
        elif document.get("version") in self.acknowledged:
            different = differences(self.acknowledged[document["version"]], document)
            if different:
                self._record_violation(
                    "CONFIG", f"version {document['version']} differs in {', '.join(different)}"
                )

    def finish(self) -> None:
        """Runs the checks that need all observations: quotas, and answers that deny an execution."""
        for tenant in self.quota.limits if self.quota is not None else ():
            self._check_quota(tenant)
        for attempt_id, answer in self.answers.items():
            request = self.requests[attempt_id]
            runs = self.runs.get(attempt_id, ())
            if answer.status in NOT_EXECUTED_STATUSES and runs and not request.idempotent:
                self._record_violation(
                    "REFUSED", f"{attempt_id} was answered {answer.status}, and ran on {runs[0].instance}"
                )

    # Checks

    def _check_quota(self, tenant: str) -> None:
        """Checks the highest usage in any span against the tenant's limit."""
        assert self.quota is not None
        used = max_in_span(self.runs_of(tenant), self.quota.period_s)
        if used > self.quota.allowed_tokens(tenant):
            allowed = self.quota.allowed_tokens(tenant)
            span_s = self.quota.period_s
            self._record_violation("QUOTA", f"{tenant} ran {used:.0f} in {span_s:g} s, allowed {allowed:.0f}")

    def runs_of(self, tenant: str) -> list[tuple[float, int]]:
        """Returns the start time and the charged tokens of each of a tenant's runs, in order of time."""
        return sorted(
            (run.started_at, self.requests[run.attempt_id].tokens)
            for runs in self.runs.values()
            for run in runs
            if run.tenant == tenant and run.attempt_id in self.requests
        )

    def _check_run(self, run: Run, request: Request) -> None:
        if run.backend not in request.backends:
            self._record_violation("ROUTE", f"{run.backend} runs {run.attempt_id}, sent to {request.route}")
        if run.tenant != request.tenant:
            self._record_violation(
                "UNASKED", f"{run.attempt_id} runs as tenant {run.tenant!r}, sent by {request.tenant!r}"
            )
        if run.carried_api_key:
            self._record_violation(
                "UNASKED", f"{run.attempt_id} reached {run.instance} with the client's key"
            )
        if run.subject and run.subject != request.subject:
            self._record_violation("UNASKED", f"{run.attempt_id} runs with another body, method or path")
        if len(self.runs[run.attempt_id]) > 1 and not request.idempotent:
            first, *_, last = self.runs[run.attempt_id]
            self._record_violation(
                "TWICE", f"{run.attempt_id} runs on {first.instance} and on {last.instance}"
            )
        left_at = self.drained.get(run.instance)
        if left_at is not None and request.sent_at > left_at + self.drain_grace_s:
            self._record_violation("DRAIN", f"{run.attempt_id} reaches {run.instance} long after it left")

    def _check_success(self, request: Request, answer: ObservedAnswer) -> None:
        runs = {run.signature: run for run in self.runs.get(request.attempt_id, ())}
        run = runs.get(answer.signature)
        if run is None:
            self._record_violation(
                "MIXED",
                f"{request.attempt_id}: success with the signature {answer.signature!r} of none of its runs",
            )
        elif run.status >= 300:
            self._record_violation(
                "MIXED", f"{request.attempt_id}: success, where the server answered {run.status}"
            )
        elif answer.is_stream:
            self._check_stream(request, answer, runs)
        elif answer.is_complete and answer.body != run.body:
            self._record_violation("MIXED", f"{request.attempt_id}: another body than the server's")
        elif answer.is_complete:
            self._mark_served(request, answer)

    def _check_stream(self, request: Request, answer: ObservedAnswer, runs: dict[str, Run]) -> None:
        operation = self.operations[request.operation_id]
        ids = [event.event_id for event in answer.events]
        wanted = list(range(request.first_event, request.first_event + len(ids)))
        if ids != wanted:
            self._record_violation(
                "ORDER", f"{request.attempt_id}: events {ids[:8]}..., wanted from {request.first_event}"
            )
        signatures: list[str] = []
        for event in answer.events:
            subject, _, signature = event.data.rpartition(" ")
            if subject != f"{request.subject} {event.event_id}" or signature not in runs:
                self._record_violation(
                    "MIXED", f"{request.attempt_id}: event {event.event_id} is of another request"
                )
                return
            if not signatures or signatures[-1] != signature:
                signatures.append(signature)
        if len(signatures) > 1 and not operation.is_resumable:
            self._record_violation(
                "ORDER", f"{request.attempt_id}: pieces of {len(signatures)} runs are joined"
            )
        operation.events += len(ids)
        total = runs[answer.signature].total_events
        if answer.is_complete and request.first_event + len(ids) - 1 != total:
            self._record_violation(
                "ORDER", f"{request.attempt_id}: ended as complete after {ids[-1:]} of {total} events"
            )
        elif answer.is_complete:
            self._mark_served(request, answer)

    def _check_failure(self, request: Request, answer: ObservedAnswer) -> None:
        runs = {run.signature: run for run in self.runs.get(request.attempt_id, ())}
        run = runs.get(answer.signature)
        if run is not None and run.status != answer.status:
            self._record_violation(
                "MIXED", f"{request.attempt_id}: {answer.status} with the signature of a {run.status}"
            )

    def _mark_served(self, request: Request, answer: ObservedAnswer) -> None:
        self.operations[request.operation_id].served_at = answer.ended_at


def max_in_span(amounts: list[tuple[float, int]], span_s: float) -> float:
    """Returns the largest sum of amounts within any span of this length. Times must not decrease."""
    largest = total = first = 0
    for at, amount in amounts:
        total += amount
        while amounts[first][0] < at - span_s:
            total -= amounts[first][1]
            first += 1
        largest = max(largest, total)
    return largest


def differences(one: dict[str, Any], other: dict[str, Any]) -> list[str]:
    """Returns the sections that differ between two configurations, regardless of the order of named items."""
    return [key for key in sorted({*one, *other}) if _normalized(one.get(key)) != _normalized(other.get(key))]


def _normalized(value: Any) -> Any:
    if isinstance(value, list) and all(isinstance(item, dict) and "name" in item for item in value):
        return sorted(value, key=lambda item: str(item["name"]))
    return value
