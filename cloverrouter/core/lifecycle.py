"""State machine of calls and attempts: turns events and actions of the decision module into effects.

It keeps these rules, in whatever order events arrive:

1. A call gets one final answer. After that, nothing that happens to its attempts reaches the client.
2. A response that has started belongs to the client: its attempt no longer times out, and all other attempts
   of the call are aborted. It counts as started with its first bytes, even if these are held for a moment.
3. An attempt that is unsent when its call becomes final, or when its endpoint may get nothing new, is never
   sent.
4. An attempt that was aborted or has ended has no further effect.
5. A body that is not kept is sent by one attempt: while that is in flight, and once part of the body was
   consumed, no other attempt starts.
6. The outcome of an aborted attempt follows from its progress: if its last byte was sent it may have run,
   otherwise it certainly has not.
7. When the process halts, pending calls fail and nothing new starts.

Attempts move along these states; the decision module gets one event for each step to `ENDED`:

    CONNECTING -> WRITING -> WRITTEN -> HELD -> STREAMING -> ENDED
    (any state may be skipped, none is entered twice, and any may end)

| state of the attempt | broken, unusable or complete response | timeout | aborted |
| --- | --- | --- | --- |
| CONNECTING, WRITING | as reported | could not connect | not sent |
| WRITTEN | as reported | timed out | cancelled |
| HELD | as reported | continues: it is streamed | cancelled |
| STREAMING | as reported; the call is answered or truncated | continues | cancelled |

and calls along these:

    UPLOADING -> OPEN -> STREAMING -> ANSWERED | CUT
    (from any of the first three) -> LEFT; UPLOADING, OPEN -> ANSWERED
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cloverrouter.core.states import (
    FINAL,
    UNSENT,
    AbortAttempt,
    AttemptFinished,
    AttemptState,
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
    QueryDiscovery,
    ReleaseCall,
    RequestWritten,
    ResponseHeld,
    ResponseStarted,
    SendWindowExpired,
    SetAttemptTimeout,
    StartAttempt,
    StartStreaming,
    StreamHeldResponse,
    Target,
    TargetsListed,
    WriteLog,
)
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Cordon,
    CordonResult,
    Fail,
    Log,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    RequestCompleted,
    Send,
    SetTimeout,
    SetTimer,
    ShareAssigned,
    StreamStarted,
    Subscribe,
    TimerFired,
)


class Attempt:
    """One attempt, in flight or ended."""

    __slots__ = ("endpoint", "number", "sent_ms", "state", "target", "written_ms")

    def __init__(self, number: int, endpoint: str, target: Target, sent_ms: float) -> None:
        self.number = number
        self.endpoint = endpoint
        self.target = target
        self.sent_ms = sent_ms
        self.written_ms: float | None = None
        self.state = AttemptState.CONNECTING


class Call:
    """One call, until it is final and has no attempt in flight."""

    __slots__ = ("attempt_count", "body_consumed", "deadline_ms", "id", "in_flight", "state", "uploaded")

    def __init__(self, call_id: int, deadline_ms: float | None, uploading: bool) -> None:
        self.id = call_id
        self.deadline_ms = deadline_ms
        self.state = CallState.UPLOADING if uploading else CallState.OPEN
        self.uploaded = uploading  # its time starts with its last byte
        self.body_consumed = False
        self.attempt_count = 0
        self.in_flight: dict[int, Attempt] = {}


class Lifecycle:
    """All calls of one proxy, without side effects: time is a parameter and effects are returned.

    The state has changed completely when a method returns. The effects may be carried out one by one, and
    events that they cause may be handled in between.
    """

    def __init__(self, longest_ms: float) -> None:
        """`longest_ms` limits the time of every attempt, whatever the decision module requests."""
        self._longest_ms = longest_ms
        self._targets: dict[str, Target] = {}
        self.calls: dict[int, Call] = {}
        self.open_calls = 0  # calls that are not final
        self.halted = False
        # attempts sent up to then have no measurable latency, because the clock stood still
        self.untimed_until_ms = float("-inf")

    # Events

    def on(self, now_ms: float, event: LifecycleEvent) -> list[Effect]:
        """Returns the effects of an event, in order.

        Raises ValueError for the number of a call in use, and for an object that is no event.
        """
        # The three events of every request come first and use the cheapest checks.
        if type(event) is RequestWritten:
            self._request_written(now_ms, event.call, event.attempt)
            return []
        if type(event) is AttemptFinished:
            return self._attempt_finished(now_ms, event)
        if type(event) is RequestArrived:
            return self._request_arrived(event)
        match event:
            case TimerFired() | ShareAssigned() | Cordon() | ProbeEnded():
                return [NotifyBalancer(event)]
            case AttemptTimedOut(call_id, number):
                return self._attempt_timed_out(now_ms, call_id, number)
            case SendWindowExpired(call_id, number):
                return self._send_window_expired(now_ms, call_id, number)
            case ClientDisconnected(call_id):
                return self._client_disconnected(now_ms, call_id)
            case ResponseStarted(call_id, number):
                return self._response_started(now_ms, call_id, number)
            case ResponseHeld(call_id, number):
                attempt = self._find(call_id, number)
                if attempt is not None and attempt.state is AttemptState.WRITTEN:
                    attempt.state = AttemptState.HELD
                return []
            case RequestCompleted(call_id):
                return self._request_completed(event)
            case BodyConsumed(call_id):
                return self._body_consumed(call_id)
            case TargetsListed():
                return self._targets_listed(now_ms, event)
            case ProcessHalted():
                return self._process_halted(now_ms)
            case _:
                raise ValueError(f"not an event: {event!r}")

    def _find(self, call_id: int, number: int) -> Attempt | None:
        call = self.calls.get(call_id)
        return call.in_flight.get(number) if call is not None else None

    def _request_arrived(self, event: RequestArrived) -> list[Effect]:
        if event.request_id in self.calls:
            raise ValueError(f"call {event.request_id} arrived twice")
        if self.halted:
            return [DeliverRefusal(event.request_id, 0.0), ReleaseCall(event.request_id)]
        self.calls[event.request_id] = Call(event.request_id, event.deadline_ms, event.uploading)
        self.open_calls += 1
        return [NotifyBalancer(event)]

    def _process_halted(self, now_ms: float) -> list[Effect]:
        """Fails pending calls, which is a valid answer in every state of their attempts. Responses that are
        being streamed continue as long as the process does."""
        self.halted = True
        effects: list[Effect] = []
        for call in list(self.calls.values()):
            if not call.state.final and call.state is not CallState.STREAMING:
                effects += self._finish_call(now_ms, call, CallState.ANSWERED, DeliverFailure(call.id))
        return effects

    def _request_completed(self, event: RequestCompleted) -> list[Effect]:
        call = self.calls.get(event.request_id)
        if call is None or call.state.final:
            return []
        call.deadline_ms = event.deadline_ms
        if call.state is CallState.UPLOADING:
            call.state = CallState.OPEN
        return [NotifyBalancer(event)]

    def _body_consumed(self, call_id: int) -> list[Effect]:
        call = self.calls.get(call_id)
        if call is not None:
            call.body_consumed = True
            for attempt in call.in_flight.values():
                if attempt.state is AttemptState.CONNECTING:
                    attempt.state = AttemptState.WRITING
        return []

    def _request_written(self, now_ms: float, call_id: int, number: int) -> None:
        call = self.calls.get(call_id)
        attempt = call.in_flight.get(number) if call is not None else None
        if attempt is not None and attempt.state in UNSENT:
            attempt.state, attempt.written_ms = AttemptState.WRITTEN, now_ms

    def _client_disconnected(self, now_ms: float, call_id: int) -> list[Effect]:
        """Handles a disconnected client: its attempts are no longer needed."""
        call = self.calls.get(call_id)
        if call is None or call.state.final:
            return []
        return self._finish_call(now_ms, call, CallState.LEFT)

    def _response_started(self, now_ms: float, call_id: int, number: int) -> list[Effect]:
        call, attempt = self.calls.get(call_id), self._find(call_id, number)
        if call is None or attempt is None or call.state.final or attempt.state is AttemptState.STREAMING:
            return []
        if attempt.state.unsent or call.state is CallState.STREAMING:
            return []
        attempt.state, call.state = AttemptState.STREAMING, CallState.STREAMING
        effects: list[Effect] = [StartStreaming(call_id, number)]
        for other in list(call.in_flight.values()):
            if other is not attempt:
                effects += self._abort(now_ms, call, other, Outcome.CANCELLED)
        latency_ms = self._latency_ms(now_ms, call, attempt)
        return [*effects, NotifyBalancer(StreamStarted(call_id, number, latency_ms))]

    def _attempt_timed_out(self, now_ms: float, call_id: int, number: int) -> list[Effect]:
        call, attempt = self.calls.get(call_id), self._find(call_id, number)
        if call is None or attempt is None or attempt.state is AttemptState.STREAMING:
            return []
        if attempt.state is AttemptState.HELD and not call.state.final:
            return [StreamHeldResponse(call_id, number)]  # its first bytes arrived in time
        return self._abort_and_release(now_ms, call, attempt, Outcome.TIMEOUT)

    def _send_window_expired(self, now_ms: float, call_id: int, number: int) -> list[Effect]:
        call, attempt = self.calls.get(call_id), self._find(call_id, number)
        if call is None or attempt is None or not attempt.state.unsent:
            return []
        return self._abort_and_release(now_ms, call, attempt, Outcome.NOT_SENT)

    def _attempt_finished(self, now_ms: float, event: AttemptFinished) -> list[Effect]:
        call = self.calls.get(event.call)
        attempt = call.in_flight.get(event.attempt) if call is not None else None
        if call is None or attempt is None:
            return []
        latency_ms = self._latency_ms(now_ms, call, attempt)
        streamed = attempt.state is AttemptState.STREAMING
        self._end_attempt(call, attempt)
        effects: list[Effect] = []
        served = event.outcome is Outcome.OK
        if streamed:  # the part that arrived has been streamed
            effects = self._make_final(now_ms, call, CallState.ANSWERED if served else CallState.CUT)
        elif served and event.answer is not None and call.state not in FINAL:
            effects = self._make_final(now_ms, call, CallState.ANSWERED)
            effects.append(DeliverResponse(call.id, event.answer))
        if not call.in_flight:
            effects += self._release_if_done(call)
        effects.append(self._ended_notification(call, attempt, event.outcome, latency_ms, event.report))
        return effects

    def _targets_listed(self, now_ms: float, event: TargetsListed) -> list[Effect]:
        self._targets = dict(event.targets)
        effects: list[Effect] = [NotifyBalancer(event.event)]
        return effects + self._abort_unsent(now_ms, lambda a: self._targets.get(a.endpoint) != a.target)

    # Actions of the decision module

    def act(self, now_ms: float, action: Action) -> list[Effect]:
        """Returns the effects of an action, in order. Raises ValueError for an object that is no action."""
        match action:
            case Send():
                return self._send(now_ms, action)
            case SetTimer():
                return [action]
            case SetTimeout(call_id, number, timeout_ms):
                attempt = self._find(call_id, number)
                if attempt is None or attempt.state is AttemptState.STREAMING:
                    return []
                return [SetAttemptTimeout(call_id, number, timeout_ms)]
            case Refuse(call_id, retry_after_ms):
                return self._answer(now_ms, call_id, DeliverRefusal(call_id, retry_after_ms))
            case Fail(call_id):
                return self._answer(now_ms, call_id, DeliverFailure(call_id))
            case Cancel(call_id, number):
                call, attempt = self.calls.get(call_id), self._find(call_id, number)
                if call is None or attempt is None or attempt.state is AttemptState.STREAMING:
                    return []
                return self._abort_and_release(now_ms, call, attempt, Outcome.CANCELLED)
            case Probe(endpoint):  # no driver sends probes
                return [NotifyBalancer(ProbeEnded(endpoint, Outcome.NOT_SENT, 0.0))]
            case Subscribe():
                return [QueryDiscovery()]
            case Log(text):
                return [WriteLog(text)]
            case CordonResult(endpoint, on, known):
                effects: list[Effect] = [action]
                if on and known:
                    effects += self._abort_unsent(now_ms, lambda a: a.endpoint == endpoint)
                return effects
            case _:
                raise ValueError(f"not an action: {action!r}")

    def _send(self, now_ms: float, action: Send) -> list[Effect]:
        call, target = self.calls.get(action.request_id), self._targets.get(action.endpoint)
        if call is None:
            return [NotifyBalancer(AttemptEnded(action.request_id, 0, Outcome.NOT_SENT, 0.0, answered=True))]
        number, call.attempt_count = call.attempt_count, call.attempt_count + 1
        timeout_ms = action.timeout_ms or float("inf")
        if call.deadline_ms is not None:
            timeout_ms = min(timeout_ms, call.deadline_ms - now_ms)
        # A body that is not kept can be read by one attempt only; another one would send a part of it.
        body_in_use = call.body_consumed or (call.uploaded and call.in_flight)
        if call.state.final or body_in_use or target is None or min(timeout_ms, action.send_within_ms) <= 0:
            return [NotifyBalancer(AttemptEnded(call.id, number, Outcome.NOT_SENT, 0.0, call.state.final))]
        call.in_flight[number] = Attempt(number, action.endpoint, target, now_ms)
        uploading = call.state is CallState.UPLOADING
        due_ms = None if uploading else min(timeout_ms, self._longest_ms)
        # If the timeout comes first, it aborts the unsent attempt anyway.
        within_ms = (
            action.send_within_ms if due_ms is None or action.send_within_ms < due_ms else float("inf")
        )
        return [StartAttempt(call.id, number, action.endpoint, target, due_ms, within_ms)]

    def _answer(self, now_ms: float, call_id: int, answer: DeliverRefusal | DeliverFailure) -> list[Effect]:
        call = self.calls.get(call_id)
        if call is None or call.state.final or call.state is CallState.STREAMING:
            return []
        effects = self._make_final(now_ms, call, CallState.ANSWERED)
        return [*effects, answer, *self._release_if_done(call)]

    # Shared steps

    def _make_final(self, now_ms: float, call: Call, state: CallState) -> list[Effect]:
        """Makes the call final and aborts its unsent attempts, which must not be sent after that."""
        assert state in FINAL
        effects: list[Effect] = []
        if call.state in FINAL:
            return effects
        call.state = state
        self.open_calls -= 1
        for attempt in list(call.in_flight.values()):
            if attempt.state.unsent:
                effects += self._abort(now_ms, call, attempt, Outcome.NOT_SENT)
        return effects

    def _finish_call(self, now_ms: float, call: Call, state: CallState, *answer: Effect) -> list[Effect]:
        """Makes the call final, with this answer if one is needed, and aborts all its attempts."""
        effects = [
            *self._make_final(now_ms, call, state),
            *answer,
            NotifyBalancer(ClientDisconnected(call.id)),
        ]
        for attempt in list(call.in_flight.values()):
            effects += self._abort(now_ms, call, attempt, Outcome.CANCELLED)
        return effects + self._release_if_done(call)

    def _abort_and_release(
        self, now_ms: float, call: Call, attempt: Attempt, outcome: Outcome
    ) -> list[Effect]:
        """Aborts an attempt, which may be the last one of its call."""
        effects = self._abort(now_ms, call, attempt, outcome)
        return effects + self._release_if_done(call)

    def _abort(self, now_ms: float, call: Call, attempt: Attempt, outcome: Outcome) -> list[Effect]:
        """Aborts an attempt. One whose last byte was not sent has never run."""
        if attempt.state.unsent:
            outcome = Outcome.CONNECT_FAILED if outcome is Outcome.TIMEOUT else Outcome.NOT_SENT
        latency_ms = self._latency_ms(now_ms, call, attempt)
        self._end_attempt(call, attempt)
        notification = self._ended_notification(call, attempt, outcome, latency_ms, None)
        return [AbortAttempt(call.id, attempt.number), notification]

    @staticmethod
    def _end_attempt(call: Call, attempt: Attempt) -> None:
        attempt.state = AttemptState.ENDED
        del call.in_flight[attempt.number]

    @staticmethod
    def _ended_notification(
        call: Call, attempt: Attempt, outcome: Outcome, latency_ms: float, report: tuple[float, ...] | None
    ) -> Effect:
        return NotifyBalancer(
            AttemptEnded(
                call.id, attempt.number, outcome, latency_ms, call.state in FINAL, report, call.body_consumed
            )
        )

    def _latency_ms(self, now_ms: float, call: Call, attempt: Attempt) -> float:
        """Time since it was sent, or since the last byte of an upload; 0 if it cannot be measured."""
        since_ms = attempt.sent_ms
        if call.uploaded and attempt.written_ms is not None:
            since_ms = attempt.written_ms
        return max(0.0, now_ms - since_ms) if since_ms > self.untimed_until_ms else 0.0

    def _release_if_done(self, call: Call) -> list[Effect]:
        if call.state in FINAL and not call.in_flight and self.calls.pop(call.id, None) is not None:
            return [ReleaseCall(call.id)]
        return []

    def _abort_unsent(self, now_ms: float, unwanted: Callable[[Attempt], bool]) -> list[Effect]:
        """Aborts unsent attempts for which `unwanted` returns True. One that is still connecting to a
        draining endpoint could otherwise be sent after the grace period."""
        effects: list[Effect] = []
        for call in list(self.calls.values()):
            for attempt in list(call.in_flight.values()):
                if attempt.state.unsent and unwanted(attempt):
                    effects += self._abort(now_ms, call, attempt, Outcome.NOT_SENT)
            effects += self._release_if_done(call)
        return effects

    @property
    def targets(self) -> Mapping[str, Target]:
        """Where requests may go now, by endpoint."""
        return self._targets
