"""What clients, servers and operator have seen, and which rules it breaks. Pure: it is told everything.

One try of a client, with an attempt id of its own, is a *request*; the tries for one thing that a client
wants make up an *ask*. Rules are named as in the contract: MIXED, UNASKED, TWICE, REFUSED, ROUTE, ORDER,
CONFIG, DRAIN.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

import attrs

from cloverrouter.lab.fleet.contract import PROMISES, Event

MOST_NAMED = 20  # findings of one rule that are kept in words; all are counted


@attrs.frozen(slots=True)
class Request:
    """One try, as its client sent it. Times in seconds."""

    attempt_id: str
    ask: str
    route: str
    backends: frozenset[str]
    tenant: str
    idempotent: bool
    subject: str
    sent_at: float
    first_event: int = 1  # the first that is wanted: above 1 where a stream is resumed
    tokens: int = 0  # what it counts for its tenant's quota
    zone: str = ""  # of its client


@attrs.define(slots=True)
class Run:
    """A server's work on a request. `body` is what it sent, `total_events` how many a stream has in all."""

    attempt_id: str
    instance: str
    backend: str
    stamp: str
    tenant: str
    subject: str
    began_at: float
    carried_key: bool = False
    status: int = 200
    body: bytes | None = None
    total_events: int = 0


@attrs.frozen(slots=True)
class AnswerSeen:
    """What a client got for a try: `status` None if no head came. `ended_at` in seconds. `was_cut`: the
    connection ended before the answer did."""

    status: int | None
    stamp: str = ""
    body: bytes = b""
    events: tuple[Event, ...] = ()
    whole: bool = False
    is_stream: bool = False
    ended_at: float = 0.0
    was_cut: bool = False


@attrs.frozen(slots=True)
class Finding:
    """One breach."""

    rule: str
    text: str


@attrs.frozen(slots=True)
class QuotaRule:
    """What the tenants with a limit (rate a second, burst) may run in any span of `period_s`."""

    limits: dict[str, tuple[float, float]]
    period_s: float
    overshoot: float
    tolerance: float

    def most(self, tenant: str) -> float:
        """Tokens in one span."""
        rate, burst = self.limits[tenant]
        return (rate * self.period_s + burst) * (1 + self.overshoot) + self.tolerance


@attrs.define(slots=True)
class Ask:
    """What one client wanted, over all its tries. Not `owed`: it may be refused for its tenant's quota."""

    route: str
    asked_at: float
    resumable: bool
    owed: bool = True
    tries: int = 0
    served_at: float | None = None
    first_at: float | None = None
    last_status: int | None = None
    events: int = 0

    @property
    def latency_ms(self) -> float:
        """Up to the whole answer, or to the first event of a stream."""
        assert self.served_at is not None
        return 1000 * ((self.first_at or self.served_at) - self.asked_at)


class Judge:
    """Collects what is seen, and says what is wrong with it."""

    def __init__(self) -> None:
        self.requests: dict[str, Request] = {}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.answers: dict[str, AnswerSeen] = {}
        self.asks: dict[str, Ask] = {}
        self.findings: list[Finding] = []
        self.broken: Counter[str] = Counter()
        self.acknowledged: dict[int, dict[str, Any]] = {}
        self.drained: dict[str, float] = {}  # instance: when its leaving was acknowledged
        self.drain_grace_s = 2.0
        self.quota: QuotaRule | None = None

    def _break(self, rule: str, text: str) -> None:
        self.broken[rule] += 1
        if self.broken[rule] <= MOST_NAMED:
            self.findings.append(Finding(rule, text))

    # What is seen

    def ask_begins(self, ask_id: str, ask: Ask) -> None:
        self.asks[ask_id] = ask

    def request_sent(self, request: Request) -> None:
        self.requests[request.attempt_id] = request
        self.asks[request.ask].tries += 1

    def run_begins(self, run: Run) -> None:
        """A server starts to work on a request."""
        self.runs[run.attempt_id].append(run)
        request = self.requests.get(run.attempt_id)
        if request is None:
            self._break("UNASKED", f"{run.instance} runs {run.attempt_id}, which no client sent")
            return
        self._check_run(run, request)

    def draining_acknowledged(self, instance: str, at: float) -> None:
        self.drained.setdefault(instance, at)

    def answer_came(self, attempt_id: str, answer: AnswerSeen) -> None:
        """The final answer to a try, or its end without one."""
        self.answers[attempt_id] = answer
        request = self.requests[attempt_id]
        self.asks[request.ask].last_status = answer.status
        if answer.status is not None and 200 <= answer.status < 300:
            self._check_success(request, answer)
        elif answer.stamp:
            self._check_failure(request, answer)

    def configuration_acknowledged(self, version: int, document: dict[str, Any]) -> None:
        if version in self.acknowledged and self.acknowledged[version] != document:
            self._break("CONFIG", f"two changes to version {version} are acknowledged")
        self.acknowledged[version] = document

    def configuration_read_back(self, document: dict[str, Any] | None) -> None:
        """The newest configuration as the fleet tells it at the end; None if it did not come."""
        newest = max(self.acknowledged, default=0)
        if document is None:
            self._break("CONFIG", "the configuration can't be read back")
        elif document.get("version", 0) < newest:
            self._break("CONFIG", f"read back: version {document.get('version')}, acknowledged: {newest}")
        elif document.get("version") in self.acknowledged:
            different = differences(self.acknowledged[document["version"]], document)
            if different:
                self._break("CONFIG", f"version {document['version']} differs in {', '.join(different)}")

    def finish(self) -> None:
        """What can be told only when all is over: promises that were not kept, quotas."""
        for tenant in self.quota.limits if self.quota is not None else ():
            self._check_quota(tenant)
        for attempt_id, answer in self.answers.items():
            request = self.requests[attempt_id]
            runs = self.runs.get(attempt_id, ())
            if answer.status in PROMISES and runs and not request.idempotent:
                self._break(
                    "REFUSED", f"{attempt_id} was answered {answer.status}, and ran on {runs[0].instance}"
                )

    # Checks

    def _check_quota(self, tenant: str) -> None:
        """The most that ran in any span, against what the tenant may run."""
        assert self.quota is not None
        most = max_in_span(self.runs_of(tenant), self.quota.period_s)
        if most > self.quota.most(tenant):
            allowed = self.quota.most(tenant)
            span_s = self.quota.period_s
            self._break("QUOTA", f"{tenant} ran {most:.0f} in {span_s:g} s, allowed {allowed:.0f}")

    def runs_of(self, tenant: str) -> list[tuple[float, int]]:
        """When a tenant's requests ran, and what each counts for its quota, in order of time."""
        return sorted(
            (run.began_at, self.requests[run.attempt_id].tokens)
            for runs in self.runs.values()
            for run in runs
            if run.tenant == tenant and run.attempt_id in self.requests
        )

    def _check_run(self, run: Run, request: Request) -> None:
        if run.backend not in request.backends:
            self._break("ROUTE", f"{run.backend} runs {run.attempt_id}, sent to {request.route}")
        if run.tenant != request.tenant:
            self._break(
                "UNASKED", f"{run.attempt_id} runs as tenant {run.tenant!r}, sent by {request.tenant!r}"
            )
        if run.carried_key:
            self._break("UNASKED", f"{run.attempt_id} reached {run.instance} with the client's key")
        if run.subject != request.subject:
            self._break("UNASKED", f"{run.attempt_id} runs with another body, method or path")
        if len(self.runs[run.attempt_id]) > 1 and not request.idempotent:
            first, *_, last = self.runs[run.attempt_id]
            self._break("TWICE", f"{run.attempt_id} runs on {first.instance} and on {last.instance}")
        left_at = self.drained.get(run.instance)
        if left_at is not None and request.sent_at > left_at + self.drain_grace_s:
            self._break("DRAIN", f"{run.attempt_id} reaches {run.instance} long after it left")

    def _check_success(self, request: Request, answer: AnswerSeen) -> None:
        runs = {run.stamp: run for run in self.runs.get(request.attempt_id, ())}
        run = runs.get(answer.stamp)
        if run is None:
            self._break(
                "MIXED", f"{request.attempt_id}: success with the stamp {answer.stamp!r} of no run of it"
            )
        elif run.status >= 300:
            self._break("MIXED", f"{request.attempt_id}: success, where the server answered {run.status}")
        elif answer.is_stream:
            self._check_stream(request, answer, runs)
        elif answer.whole and answer.body != run.body:
            self._break("MIXED", f"{request.attempt_id}: another body than the server's")
        elif answer.whole:
            self._served(request, answer)

    def _check_stream(self, request: Request, answer: AnswerSeen, runs: dict[str, Run]) -> None:
        ask = self.asks[request.ask]
        ids = [event.event_id for event in answer.events]
        wanted = list(range(request.first_event, request.first_event + len(ids)))
        if ids != wanted:
            self._break(
                "ORDER", f"{request.attempt_id}: events {ids[:8]}..., wanted from {request.first_event}"
            )
        stamps: list[str] = []
        for event in answer.events:
            subject, _, stamp = event.data.rpartition(" ")
            if subject != f"{request.subject} {event.event_id}" or stamp not in runs:
                self._break("MIXED", f"{request.attempt_id}: event {event.event_id} is of another request")
                return
            if not stamps or stamps[-1] != stamp:
                stamps.append(stamp)
        if len(stamps) > 1 and not ask.resumable:
            self._break("ORDER", f"{request.attempt_id}: pieces of {len(stamps)} runs are joined")
        ask.events += len(ids)
        total = runs[answer.stamp].total_events
        if answer.whole and request.first_event + len(ids) - 1 != total:
            self._break(
                "ORDER", f"{request.attempt_id}: ended as complete after {ids[-1:]} of {total} events"
            )
        elif answer.whole:
            self._served(request, answer)

    def _check_failure(self, request: Request, answer: AnswerSeen) -> None:
        runs = {run.stamp: run for run in self.runs.get(request.attempt_id, ())}
        run = runs.get(answer.stamp)
        if run is not None and run.status != answer.status:
            self._break("MIXED", f"{request.attempt_id}: {answer.status} with the stamp of a {run.status}")

    def _served(self, request: Request, answer: AnswerSeen) -> None:
        self.asks[request.ask].served_at = answer.ended_at


def max_in_span(amounts: list[tuple[float, int]], span_s: float) -> float:
    """The largest sum of amounts whose times, which rise, lie within any span of this length."""
    largest = total = first = 0
    for at, amount in amounts:
        total += amount
        while amounts[first][0] < at - span_s:
            total -= amounts[first][1]
            first += 1
        largest = max(largest, total)
    return largest


def differences(one: dict[str, Any], other: dict[str, Any]) -> list[str]:
    """The sections of two configurations that are not the same; the order of named items does not count."""
    return [key for key in sorted({*one, *other}) if _plain(one.get(key)) != _plain(other.get(key))]


def _plain(value: Any) -> Any:
    if isinstance(value, list) and all(isinstance(item, dict) and "name" in item for item in value):
        return sorted(value, key=lambda item: str(item["name"]))
    return value
