"""The fleet's judge on scripted observations: what each rule takes, and what it lets pass."""

from __future__ import annotations

import pytest

from cloverrouter.lab.fleet.contract import Event, event_data
from cloverrouter.lab.fleet.judge import AnswerSeen, Ask, Judge, QuotaRule, Request, Run, max_in_span


class Story:
    """One ask, its tries, runs and answers."""

    def __init__(self, idempotent: bool = False, resumable: bool = False) -> None:
        self.judge = Judge()
        self.idempotent = idempotent or resumable
        self.judge.ask_begins("ask", Ask("kind", 10.0, resumable))

    def sends(self, attempt: str, first_event: int = 1) -> None:
        request = Request(
            attempt, "ask", "r", frozenset({"b"}), "t", self.idempotent, "subject", 10.0, first_event
        )
        self.judge.request_sent(request)

    def runs(self, attempt: str, stamp: str, backend: str = "b", tenant: str = "t", events: int = 0) -> Run:
        run = Run(attempt, "i-1", backend, stamp, tenant, "subject", 10.1, total_events=events)
        self.judge.run_begins(run)
        return run

    def streams(self, attempt: str, stamps: str, first: int = 1, whole: bool = True) -> None:
        """An answer of as many events as letters, each made by the run with that stamp."""
        events = tuple(
            Event(number, event_data("subject", number, stamp)) for number, stamp in enumerate(stamps, first)
        )
        self.judge.answer_came(attempt, AnswerSeen(200, stamps[0], b"", events, whole, True, 11.0))

    @property
    def broken(self) -> dict[str, int]:
        self.judge.finish()
        return dict(self.judge.broken)


def test_a_whole_answer_is_served() -> None:
    story = Story()
    story.sends("a")
    run = story.runs("a", "s")
    run.body = b"hello"
    story.judge.answer_came("a", AnswerSeen(200, "s", b"hello", whole=True, ended_at=10.5))
    assert story.broken == {} and story.judge.asks["ask"].latency_ms == pytest.approx(500)


@pytest.mark.parametrize(
    "answer",
    [
        AnswerSeen(200, "s", b"other", whole=True),
        AnswerSeen(200, "another", b"hello", whole=True),
        AnswerSeen(200, "", b"hello", whole=True),
        AnswerSeen(500, "s", b"", whole=True),
    ],
)
def test_an_answer_that_is_not_the_servers(answer: AnswerSeen) -> None:
    story = Story()
    story.sends("a")
    story.runs("a", "s").body = b"hello"
    story.judge.answer_came("a", answer)
    assert story.broken == {"MIXED": 1} and story.judge.asks["ask"].served_at is None


def test_an_answer_that_was_cut_is_no_breach_and_not_served() -> None:
    story = Story()
    story.sends("a")
    story.runs("a", "s").body = b"hello"
    story.judge.answer_came("a", AnswerSeen(200, "s", b"hel", whole=False))
    assert story.broken == {} and story.judge.asks["ask"].served_at is None


def test_a_success_for_a_run_that_failed() -> None:
    story = Story()
    story.sends("a")
    story.runs("a", "s").status = 500
    story.judge.answer_came("a", AnswerSeen(200, "s", b"", whole=True))
    assert story.broken == {"MIXED": 1}


def test_what_may_run_once_runs_twice() -> None:
    for idempotent, broken in ((False, {"TWICE": 1}), (True, {})):
        story = Story(idempotent=idempotent)
        story.sends("a")
        story.runs("a", "s")
        story.runs("a", "t")
        assert story.broken == broken


def test_a_promise_that_is_not_kept() -> None:
    for status, broken in ((503, {"REFUSED": 1}), (502, {}), (421, {"REFUSED": 1})):
        story = Story()
        story.sends("a")
        story.judge.answer_came("a", AnswerSeen(status, whole=True))
        story.runs("a", "s")  # after the answer
        assert story.broken == broken


def test_what_nobody_sent_or_not_there() -> None:
    story = Story()
    story.sends("a")
    story.runs("b", "s")
    story.runs("a", "s", backend="other")
    story.runs("a", "s", tenant="other")
    assert story.broken == {"UNASKED": 2, "ROUTE": 1, "TWICE": 1}


def test_a_stream_is_whole_and_in_order() -> None:
    story = Story()
    story.sends("a")
    story.runs("a", "s", events=3)
    story.streams("a", "sss")
    assert story.broken == {} and story.judge.asks["ask"].events == 3


def test_a_stream_that_ends_as_whole_before_its_last_event() -> None:
    story = Story()
    story.sends("a")
    story.runs("a", "s", events=3)
    story.streams("a", "ss")
    assert story.broken == {"ORDER": 1}


def test_a_stream_with_a_gap() -> None:
    story = Story()
    story.sends("a")
    story.runs("a", "s", events=3)
    story.streams("a", "ss", first=2, whole=False)
    assert story.broken == {"ORDER": 1}


def test_pieces_of_two_runs() -> None:
    for resumable, broken in ((False, {"TWICE": 1, "ORDER": 1}), (True, {})):
        story = Story(resumable=resumable)
        story.sends("a")
        story.runs("a", "s", events=4)
        story.runs("a", "t", events=4)
        story.streams("a", "sstt")
        assert story.broken == broken


def test_a_stream_continued_by_the_client() -> None:
    story = Story(resumable=True)
    story.sends("a")
    story.runs("a", "s", events=4)
    story.streams("a", "ss", whole=False)
    story.sends("b", first_event=3)
    story.runs("b", "t", events=4)
    story.streams("b", "tt", first=3)
    ask = story.judge.asks["ask"]
    assert story.broken == {} and ask.served_at == 11.0 and ask.events == 4 and ask.tries == 2


def test_a_server_that_left_gets_requests_only_for_a_while() -> None:
    for left_at, broken in ((9.0, {}), (7.0, {"DRAIN": 1})):
        story = Story()
        story.judge.drain_grace_s = 2.0
        story.judge.draining_acknowledged("i-1", left_at)
        story.sends("a")
        story.runs("a", "s")
        assert story.broken == broken


def test_configurations_read_back() -> None:
    judge = Judge()
    told = {"version": 3, "backends": [{"name": "a"}, {"name": "b"}], "limits": {"x": 1}}
    judge.configuration_acknowledged(3, told)
    judge.configuration_read_back({**told, "backends": [{"name": "b"}, {"name": "a"}]})
    judge.configuration_read_back({**told, "version": 4})  # a change without a clear answer
    assert not judge.broken
    judge.configuration_read_back({**told, "version": 2})
    judge.configuration_read_back({**told, "limits": {"x": 2}})
    judge.configuration_read_back(None)
    judge.configuration_acknowledged(3, {"version": 3})
    assert judge.broken == {"CONFIG": 4}
    assert judge.findings[1].text == "version 3 differs in limits"


def test_the_most_in_any_span() -> None:
    amounts = [(0.0, 5), (1.0, 5), (2.0, 5), (10.0, 7), (12.5, 7)]
    assert max_in_span(amounts, 2.0) == 15
    assert max_in_span(amounts, 1.5) == 10
    assert max_in_span(amounts, 2.5) == 15
    assert max_in_span([], 2.0) == 0


def test_a_tenant_that_runs_more_than_its_quota() -> None:
    for requests, broken in ((26, {}), (27, {"QUOTA": 1})):
        story = Story()
        story.judge.quota = QuotaRule({"t": (10.0, 5.0)}, period_s=2.0, overshoot=0.2, tolerance=22.0)
        for number in range(requests):  # allowed: (10 x 2 + 5) x 1.2 + 22 = 52
            name = f"a{number}"
            story.judge.request_sent(
                Request(name, "ask", "r", frozenset({"b"}), "t", False, "subject", 10.0, tokens=2)
            )
            story.runs(name, f"s{number}")
        assert story.broken == broken
