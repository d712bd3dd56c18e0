"""The state machine of calls and attempts: sequences of events, and the resulting effects."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from cloverrouter.core.engine import Engine
from cloverrouter.core.lifecycle import Lifecycle
from cloverrouter.core.states import (
    AbortAttempt,
    AttemptFinished,
    AttemptTimedOut,
    BodyConsumed,
    CallState,
    DeliverFailure,
    DeliverRefusal,
    DeliverResponse,
    Effect,
    LifecycleEvent,
    NotifyBalancer,
    ProcessHalted,
    ReleaseCall,
    RequestWritten,
    ResponseHeld,
    ResponseStarted,
    SendWindowExpired,
    SetAttemptTimeout,
    StartAttempt,
    StartStreaming,
    StreamHeldResponse,
    TargetsListed,
)
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    CordonResult,
    EndpointsListed,
    Event,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    RequestCompleted,
    Send,
    SetTimeout,
    StreamStarted,
)

LISTED = TargetsListed(EndpointsListed(ListKind.FULL), {"a": 1, "b": 2})


class Script:
    """Runs a sequence of events on one lifecycle; `notified` holds the last events for the module."""

    def __init__(self) -> None:
        self.life = Lifecycle(2000.0)
        self.now_ms = 0.0
        self.notified: list[Event] = []
        self.on(LISTED)

    def on(self, happening: LifecycleEvent) -> list[Effect]:
        return self._split(self.life.on(self.now_ms, happening))

    def act(self, *actions: Action) -> list[Effect]:
        return self._split([e for action in actions for e in self.life.act(self.now_ms, action)])

    def _split(self, effects: Sequence[Effect]) -> list[Effect]:
        self.notified = [e.event for e in effects if isinstance(e, NotifyBalancer)]
        return [e for e in effects if not isinstance(e, NotifyBalancer)]

    def sent(self, *endpoints: str, uploading: bool = False) -> Script:
        self.on(RequestArrived(1, "x", None if uploading else 1000.0, uploading=uploading))
        for endpoint in endpoints:
            self.act(Send(1, endpoint, 0.0 if uploading else 500.0))
        return self

    def outcomes(self) -> list[Outcome]:
        return [e.outcome for e in self.notified if isinstance(e, AttemptEnded)]


def test_a_call_is_served_and_forgotten() -> None:
    script = Script()
    assert script.on(RequestArrived(1, "x", 1000.0)) == []
    assert script.notified == [RequestArrived(1, "x", 1000.0)]
    assert script.act(Send(1, "a", 500.0)) == [StartAttempt(1, 0, "a", 1, 500.0)]
    assert script.on(RequestWritten(1, 0)) == []
    script.now_ms = 40.0
    assert script.on(AttemptFinished(1, 0, Outcome.OK, "answer", (1.0,))) == [
        DeliverResponse(1, "answer"),
        ReleaseCall(1),
    ]
    assert script.notified == [AttemptEnded(1, 0, Outcome.OK, 40.0, True, (1.0,))]
    assert script.life.open_calls == 0 and not script.life.calls


@pytest.mark.parametrize(("written", "outcome"), [(False, Outcome.CONNECT_FAILED), (True, Outcome.TIMEOUT)])
def test_time_up_says_what_may_have_run(written: bool, outcome: Outcome) -> None:
    script = Script().sent("a")
    if written:
        script.on(RequestWritten(1, 0))
    assert script.on(AttemptTimedOut(1, 0)) == [AbortAttempt(1, 0)]
    assert script.outcomes() == [outcome]
    assert script.on(AttemptTimedOut(1, 0)) == [] and not script.notified  # already ended


def test_an_answer_held_in_time_is_passed_on_and_has_no_more_time_limit() -> None:
    script = Script().sent("a")
    script.on(RequestWritten(1, 0))
    script.on(ResponseHeld(1, 0))
    assert script.on(AttemptTimedOut(1, 0)) == [StreamHeldResponse(1, 0)]
    assert script.on(ResponseStarted(1, 0)) == [StartStreaming(1, 0)]
    assert script.notified == [StreamStarted(1, 0, 0.0)]
    assert script.on(AttemptTimedOut(1, 0)) == []
    assert script.act(SetTimeout(1, 0, 5.0), Cancel(1, 0), Fail(1), Refuse(1)) == []
    assert script.on(AttemptFinished(1, 0, Outcome.OK)) == [ReleaseCall(1)]


@pytest.mark.parametrize(
    ("outcome", "state"), [(Outcome.OK, CallState.ANSWERED), (Outcome.RESET, CallState.CUT)]
)
def test_a_streamed_answer_ends_or_is_cut(outcome: Outcome, state: CallState) -> None:
    script = Script().sent("a")
    script.on(RequestWritten(1, 0))
    script.on(ResponseStarted(1, 0))
    call = script.life.calls[1]
    script.on(AttemptFinished(1, 0, outcome))
    assert call.state is state and script.life.open_calls == 0


def test_an_answer_before_the_request_is_out_is_not_wanted() -> None:
    script = Script().sent("a")
    assert script.on(ResponseStarted(1, 0)) == []
    script.on(ResponseHeld(1, 0))
    assert script.on(AttemptTimedOut(1, 0)) == [AbortAttempt(1, 0)]


def test_the_first_of_two_copies_to_begin_ends_the_other() -> None:
    script = Script().sent("a", "b")
    script.on(RequestWritten(1, 0))
    script.on(RequestWritten(1, 1))
    assert script.on(ResponseStarted(1, 1)) == [StartStreaming(1, 1), AbortAttempt(1, 0)]
    assert script.outcomes() == [Outcome.CANCELLED]
    assert script.on(ResponseStarted(1, 0)) == []
    assert script.on(AttemptFinished(1, 0, Outcome.OK, "late")) == []


def test_the_first_of_two_copies_to_answer_is_served_and_the_other_is_not() -> None:
    script = Script().sent("a", "b")
    script.on(RequestWritten(1, 0))
    assert script.on(AttemptFinished(1, 0, Outcome.OK, "one")) == [
        AbortAttempt(1, 1),
        DeliverResponse(1, "one"),
        ReleaseCall(1),
    ]
    assert script.outcomes() == [Outcome.NOT_SENT, Outcome.OK]  # it was not sent yet, and never will be


def test_a_copy_that_is_out_keeps_its_call_known_until_it_ends() -> None:
    script = Script().sent("a", "b")
    script.on(RequestWritten(1, 0))
    script.on(RequestWritten(1, 1))
    assert script.on(AttemptFinished(1, 0, Outcome.OK, "one")) == [DeliverResponse(1, "one")]
    assert script.on(AttemptFinished(1, 1, Outcome.OK, "two")) == [ReleaseCall(1)]
    assert script.notified == [AttemptEnded(1, 1, Outcome.OK, 0.0, True)]


def test_a_disconnected_client_aborts_its_attempts() -> None:
    script = Script().sent("a", "b")
    script.on(RequestWritten(1, 0))
    assert script.on(ClientDisconnected(1)) == [AbortAttempt(1, 1), AbortAttempt(1, 0), ReleaseCall(1)]
    assert script.outcomes() == [Outcome.NOT_SENT, Outcome.CANCELLED]
    assert script.on(AttemptFinished(1, 0, Outcome.OK, "late")) == [] == script.on(ClientDisconnected(1))


def test_unsent_attempts_are_aborted_when_their_server_is_no_longer_listed() -> None:
    script = Script().sent("a", "b")
    script.on(RequestWritten(1, 0))
    assert script.on(TargetsListed(EndpointsListed(ListKind.DELTA), {})) == [AbortAttempt(1, 1)]
    assert script.outcomes() == [Outcome.NOT_SENT]
    assert script.act(Send(1, "a", 500.0)) == []
    assert script.outcomes() == [Outcome.NOT_SENT]


def test_a_server_under_the_same_name_elsewhere_is_another() -> None:
    script = Script().sent("a")
    assert script.on(TargetsListed(EndpointsListed(ListKind.DELTA), {"a": 3, "b": 2})) == [AbortAttempt(1, 0)]


@pytest.mark.parametrize(("known", "effects"), [(True, [AbortAttempt(1, 0)]), (False, [])])
def test_a_cordon_aborts_unsent_attempts_only_of_a_known_endpoint(known: bool, effects: list[Effect]) -> None:
    script = Script().sent("a", "b")
    assert script.act(CordonResult("a", True, known))[1:] == effects


def test_refusal_and_failure_are_final() -> None:
    for action, given in ((Refuse(1, 250.0), DeliverRefusal(1, 250.0)), (Fail(1), DeliverFailure(1))):
        script = Script().sent("a")
        assert script.act(action, Fail(1)) == [AbortAttempt(1, 0), given, ReleaseCall(1)]


def test_time_of_an_upload_begins_with_its_last_byte() -> None:
    script = Script()
    script.on(RequestArrived(1, "x", None, uploading=True))
    assert script.act(Send(1, "a", 0.0)) == [StartAttempt(1, 0, "a", 1, None)]
    script.on(BodyConsumed(1))
    script.now_ms = 5000.0
    script.on(RequestCompleted(1, 5400.0))
    assert script.act(SetTimeout(1, 0, 400.0)) == [SetAttemptTimeout(1, 0, 400.0)]
    script.on(RequestWritten(1, 0))
    script.now_ms = 5030.0
    script.on(AttemptFinished(1, 0, Outcome.ERROR))
    assert script.notified == [AttemptEnded(1, 0, Outcome.ERROR, 30.0, False, None, True)]


def test_no_attempt_outlasts_the_deadline_or_the_longest_class() -> None:
    script = Script()
    script.on(RequestArrived(1, "x", 300.0))
    assert script.act(Send(1, "a", 500.0)) == [StartAttempt(1, 0, "a", 1, 300.0)]
    script.now_ms = 300.0
    assert script.act(Send(1, "b", 500.0)) == []
    assert script.outcomes() == [Outcome.NOT_SENT]
    script.on(RequestArrived(2, "x"))
    assert script.act(Send(2, "a", 9000.0)) == [StartAttempt(2, 0, "a", 1, 2000.0)]


def test_a_send_for_a_call_that_is_over_is_answered() -> None:
    script = Script()
    assert script.act(Send(7, "a", 500.0)) == []
    assert script.notified == [AttemptEnded(7, 0, Outcome.NOT_SENT, 0.0, answered=True)]


def test_misuse_by_the_driver_raises_value_error() -> None:
    script = Script().sent("a")
    with pytest.raises(ValueError, match="arrived twice"):
        script.on(RequestArrived(1, "x"))
    with pytest.raises(ValueError, match="not an event"):
        script.on("nonsense")  # type: ignore[arg-type]
    with pytest.raises(ValueError, match="not an action"):
        script.act("nonsense")  # type: ignore[arg-type]


def test_the_module_gets_no_events_while_it_decides() -> None:
    """An attempt that ends while it is being started is reported in the next round."""
    rounds: list[list[Event]] = []

    def decide(now_ms: float, events: Sequence[Event]) -> Sequence[Action]:
        rounds.append(list(events))
        arrived = any(isinstance(e, RequestArrived) for e in events)
        return [Send(1, "a", 500.0)] if arrived else [Fail(1)] if len(rounds) == 3 else []

    def carry_out(effect: Effect) -> None:
        done.append(effect)
        if isinstance(effect, StartAttempt):
            engine.handle(AttemptFinished(1, 0, Outcome.CONNECT_FAILED))

    done: list[Effect] = []
    engine = Engine(Lifecycle(2000.0), decide, lambda: 0.0, carry_out)
    engine.handle(LISTED)
    engine.handle(RequestArrived(1, "x", 1000.0))
    assert [type(events[0]) for events in rounds] == [EndpointsListed, RequestArrived, AttemptEnded]
    assert done == [StartAttempt(1, 0, "a", 1, 500.0), DeliverFailure(1), ReleaseCall(1)]


# Shutdown, and the limit on the sending time


def test_halt_fails_what_is_owed_and_starts_nothing_more() -> None:
    script = Script().sent("a")
    script.on(RequestWritten(1, 0))
    script.on(RequestArrived(2, "x", 1000.0))  # queued: it has no attempt in flight
    effects = script.on(ProcessHalted())
    assert effects == [
        DeliverFailure(1),
        AbortAttempt(1, 0),
        ReleaseCall(1),
        DeliverFailure(2),
        ReleaseCall(2),
    ]
    assert script.life.open_calls == 0
    assert script.on(RequestArrived(3, "x", 1000.0)) == [DeliverRefusal(3, 0.0), ReleaseCall(3)]
    assert not script.notified and script.life.open_calls == 0
    assert not script.act(Send(2, "b", 500.0))


def test_halt_leaves_an_answer_that_has_begun() -> None:
    script = Script().sent("a")
    script.on(RequestWritten(1, 0))
    script.on(ResponseStarted(1, 0))
    assert script.on(ProcessHalted()) == []
    assert script.on(AttemptFinished(1, 0, Outcome.OK)) == [ReleaseCall(1)]


@pytest.mark.parametrize("written", [False, True])
def test_attempt_not_sent_within_its_time_is_never_sent(written: bool) -> None:
    script = Script()
    script.on(RequestArrived(1, "x", 1000.0))
    (start,) = script.act(Send(1, "a", 500.0, 120.0))
    assert isinstance(start, StartAttempt) and start.send_within_ms == 120.0
    if written:
        script.on(RequestWritten(1, 0))
    script.now_ms = 120.0
    assert script.on(SendWindowExpired(1, 0)) == ([] if written else [AbortAttempt(1, 0)])
    assert script.outcomes() == ([] if written else [Outcome.NOT_SENT])


def test_send_whose_time_to_go_out_is_over_is_not_started() -> None:
    script = Script()
    script.on(RequestArrived(1, "x", 1000.0))
    assert script.act(Send(1, "a", 500.0, 0.0)) == []
    assert script.outcomes() == [Outcome.NOT_SENT]
