"""The fleet's judge on scripted observations: what each rule reports, and what it accepts."""

from __future__ import annotations

import pytest

from cloverrouter.lab.fleet.contract import Event, event_data
from cloverrouter.lab.fleet.judge import (
    Judge,
    ObservedAnswer,
    Operation,
    QuotaRule,
    Request,
    Run,
    max_in_span,
)


class Scenario:
    """One operation with its attempts, runs and answers."""

    def __init__(self, idempotent: bool = False, is_resumable: bool = False) -> None:
        self.judge = Judge()
        self.idempotent = idempotent or is_resumable
        self.judge.operation_started("ask", Operation("kind", 10.0, is_resumable))

    def sends(self, attempt: str, first_event: int = 1) -> None:
        request = Request(
            attempt, "ask", "r", frozenset({"b"}), "t", self.idempotent, "subject", 10.0, first_event
        )
        self.judge.request_sent(request)

    def runs(
        self, attempt: str, signature: str, backend: str = "b", tenant: str = "t", events: int = 0
    ) -> Run:
        run = Run(attempt, "i-1", backend, signature, tenant, "subject", 10.1, total_events=events)
        self.judge.run_started(run)
        return run

    def streams(self, attempt: str, signatures: str, first: int = 1, is_complete: bool = True) -> None:
        """Reports an answer with one event per letter, each made by the run with that signature."""
        events = tuple(
            Event(number, event_data("subject", number, signature))
            for number, signature in enumerate(signatures, first)
        )
        self.judge.answer_received(
            attempt, ObservedAnswer(200, signatures[0], b"", events, is_complete, True, 11.0)
        )

    @property
    def broken(self) -> dict[str, int]:
        self.judge.finish()
        return dict(self.judge.violation_counts)


def test_a_whole_answer_is_served() -> None:
    scenario = Scenario()
    scenario.sends("a")
    run = scenario.runs("a", "s")
    run.body = b"hello"
    scenario.judge.answer_received("a", ObservedAnswer(200, "s", b"hello", is_complete=True, ended_at=10.5))
    assert scenario.broken == {} and scenario.judge.operations["ask"].latency_ms == pytest.approx(500)


@pytest.mark.parametrize(
    "answer",
    [
        ObservedAnswer(200, "s", b"other", is_complete=True),
        ObservedAnswer(200, "another", b"hello", is_complete=True),
        ObservedAnswer(200, "", b"hello", is_complete=True),
        ObservedAnswer(500, "s", b"", is_complete=True),
    ],
)
def test_an_answer_that_is_not_the_servers(answer: ObservedAnswer) -> None:
    scenario = Scenario()
    scenario.sends("a")
    scenario.runs("a", "s").body = b"hello"
    scenario.judge.answer_received("a", answer)
    assert scenario.broken == {"MIXED": 1} and scenario.judge.operations["ask"].served_at is None


def test_an_interrupted_answer_is_no_violation_and_not_served() -> None:
    scenario = Scenario()
    scenario.sends("a")
    scenario.runs("a", "s").body = b"hello"
    scenario.judge.answer_received("a", ObservedAnswer(200, "s", b"hel", is_complete=False))
    assert scenario.broken == {} and scenario.judge.operations["ask"].served_at is None


def test_a_success_for_a_run_that_failed() -> None:
    scenario = Scenario()
    scenario.sends("a")
    scenario.runs("a", "s").status = 500
    scenario.judge.answer_received("a", ObservedAnswer(200, "s", b"", is_complete=True))
    assert scenario.broken == {"MIXED": 1}


def test_a_non_idempotent_request_that_runs_twice() -> None:
    for idempotent, broken in ((False, {"TWICE": 1}), (True, {})):
        scenario = Scenario(idempotent=idempotent)
        scenario.sends("a")
        scenario.runs("a", "s")
        scenario.runs("a", "t")
        assert scenario.broken == broken


def test_a_request_answered_as_not_executed_that_ran() -> None:
    for status, broken in ((503, {"REFUSED": 1}), (502, {}), (421, {"REFUSED": 1})):
        scenario = Scenario()
        scenario.sends("a")
        scenario.judge.answer_received("a", ObservedAnswer(status, is_complete=True))
        scenario.runs("a", "s")  # executed after the answer
        assert scenario.broken == broken


def test_unsent_requests_and_wrong_service_or_tenant() -> None:
    scenario = Scenario()
    scenario.sends("a")
    scenario.runs("b", "s")
    scenario.runs("a", "s", backend="other")
    scenario.runs("a", "s", tenant="other")
    assert scenario.broken == {"UNASKED": 2, "ROUTE": 1, "TWICE": 1}


def test_a_stream_is_whole_and_in_order() -> None:
    scenario = Scenario()
    scenario.sends("a")
    scenario.runs("a", "s", events=3)
    scenario.streams("a", "sss")
    assert scenario.broken == {} and scenario.judge.operations["ask"].events == 3


def test_a_stream_that_ends_as_whole_before_its_last_event() -> None:
    scenario = Scenario()
    scenario.sends("a")
    scenario.runs("a", "s", events=3)
    scenario.streams("a", "ss")
    assert scenario.broken == {"ORDER": 1}


def test_a_stream_with_a_gap() -> None:
    scenario = Scenario()
    scenario.sends("a")
    scenario.runs("a", "s", events=3)
    scenario.streams("a", "ss", first=2, is_complete=False)
    assert scenario.broken == {"ORDER": 1}


def test_a_stream_with_events_of_two_runs() -> None:
    for is_resumable, broken in ((False, {"TWICE": 1, "ORDER": 1}), (True, {})):
        scenario = Scenario(is_resumable=is_resumable)
        scenario.sends("a")
        scenario.runs("a", "s", events=4)
        scenario.runs("a", "t", events=4)
        scenario.streams("a", "sstt")
        assert scenario.broken == broken


def test_a_stream_continued_by_the_client() -> None:
    scenario = Scenario(is_resumable=True)
    scenario.sends("a")
    scenario.runs("a", "s", events=4)
    scenario.streams("a", "ss", is_complete=False)
    scenario.sends("b", first_event=3)
    scenario.runs("b", "t", events=4)
    scenario.streams("b", "tt", first=3)
    operation = scenario.judge.operations["ask"]
    assert (
        scenario.broken == {}
        and operation.served_at == 11.0
        and operation.events == 4
        and operation.attempts == 2
    )


def test_a_drained_server_gets_requests_only_for_the_grace_period() -> None:
    for left_at, broken in ((9.0, {}), (7.0, {"DRAIN": 1})):
        scenario = Scenario()
        scenario.judge.drain_grace_s = 2.0
        scenario.judge.draining_acknowledged("i-1", left_at)
        scenario.sends("a")
        scenario.runs("a", "s")
        assert scenario.broken == broken


def test_configurations_read_back() -> None:
    judge = Judge()
    document = {"version": 3, "backends": [{"name": "a"}, {"name": "b"}], "limits": {"x": 1}}
    judge.configuration_acknowledged(3, document)
    judge.configuration_read_back({**document, "backends": [{"name": "b"}, {"name": "a"}]})
    judge.configuration_read_back({**document, "version": 4})  # a change without a definitive answer
    assert not judge.violation_counts
    judge.configuration_read_back({**document, "version": 2})
    judge.configuration_read_back({**document, "limits": {"x": 2}})
    judge.configuration_read_back(None)
    judge.configuration_acknowledged(3, {"version": 3})
    assert judge.violation_counts == {"CONFIG": 4}
    assert judge.findings[1].text == "version 3 differs in limits"


def test_the_highest_usage_in_any_span() -> None:
    amounts = [(0.0, 5), (1.0, 5), (2.0, 5), (10.0, 7), (12.5, 7)]
    assert max_in_span(amounts, 2.0) == 15
    assert max_in_span(amounts, 1.5) == 10
    assert max_in_span(amounts, 2.5) == 15
    assert max_in_span([], 2.0) == 0


def test_a_tenant_that_runs_more_than_its_quota() -> None:
    for requests, broken in ((26, {}), (27, {"QUOTA": 1})):
        scenario = Scenario()
        scenario.judge.quota = QuotaRule({"t": (10.0, 5.0)}, period_s=2.0, overshoot=0.2, tolerance=22.0)
        for number in range(requests):  # allowed: (10 x 2 + 5) x 1.2 + 22 = 52
            name = f"a{number}"
            scenario.judge.request_sent(
                Request(name, "ask", "r", frozenset({"b"}), "t", False, "subject", 10.0, tokens=2)
            )
            scenario.runs(name, f"s{number}")
        assert scenario.broken == broken
