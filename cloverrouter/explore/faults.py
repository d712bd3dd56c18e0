"""Seeded faults: variants of the shipped code with one defect each, which the search must find.

Each fault is a subclass that overrides the affected methods. The shipped modules have no switch for them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import cast

from cloverrouter.core.lifecycle import Attempt, Call, Lifecycle
from cloverrouter.core.states import (
    AbortAttempt,
    AttemptFinished,
    AttemptState,
    AttemptTimedOut,
    BodyConsumed,
    CallState,
    DeliverFailure,
    DeliverResponse,
    Effect,
    LifecycleEvent,
    NotifyBalancer,
    ProcessHalted,
    ReleaseCall,
    StreamHeldResponse,
)
from cloverrouter.decide import Attempt as Sent
from cloverrouter.decide import Endpoint, Request
from cloverrouter.explore.world import HedgingBalancer, World
from cloverrouter.interface import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsListed,
    EndpointState,
    Outcome,
    Send,
)

# Faults in the balancer


class RepeatsDialOut(HedgingBalancer):
    """Treats a reset connection as if the request had not been executed, and retries it."""

    def _may_send(self, request: Request, endpoint: Endpoint) -> bool:
        reset = [a for a in request.attempts if a.outcome is Outcome.RESET]
        for attempt in reset:
            attempt.outcome = Outcome.CONNECT_FAILED
        try:
            return super()._may_send(request, endpoint)
        finally:
            for attempt in reset:
                attempt.outcome = Outcome.RESET

    def _retry(self, request: Request) -> None:
        if not self._schedule_retry(request):
            self._give_up(request)


class HeldIgnoreDrains(HedgingBalancer):
    """Keeps using draining servers while requests are queued."""

    def _on_list(self, event: EndpointsListed) -> None:
        if self.queue:
            entries = tuple(
                replace(e, state=EndpointState.READY) if e.state is EndpointState.DRAINING else e
                for e in event.endpoints
            )
            event = replace(event, endpoints=entries)
        super()._on_list(event)


class ForgetsCordons(HedgingBalancer):
    """Lifts all cordons whenever a new server list arrives."""

    def _on_list(self, event: EndpointsListed) -> None:
        for name in list(self.membership.cordons):
            self.membership.cordon(self.now_ms, name, False)
        super()._on_list(event)


class LeavesItsBay(HedgingBalancer):
    """Repeats a keyed request on servers outside of its cell."""

    def _may_send(self, request: Request, endpoint: Endpoint) -> bool:
        attempts = request.attempts
        request.attempts = (
            [] if request.retryable() and len(attempts) < 3 and not request.in_flight else attempts
        )
        try:
            return super()._may_send(request, endpoint)
        finally:
            request.attempts = attempts


class NeverStops(HedgingBalancer):
    """Ignores the limit on the number of attempts."""

    def _may_send(self, request: Request, endpoint: Endpoint) -> bool:
        attempts = request.attempts
        request.attempts = attempts[:2]
        try:
            return super()._may_send(request, endpoint)
        finally:
            request.attempts = attempts

    def _retry(self, request: Request) -> None:
        if not (request.retryable() and self._schedule_retry(request)):
            self._give_up(request)


class LeaksInFlight(HedgingBalancer):
    """Does not decrement the in-flight count for attempts that it cancelled."""

    def _learn(
        self, request: Request, attempt: Sent, outcome: Outcome, latency_ms: float, reported: float
    ) -> None:
        if outcome is not Outcome.CANCELLED:
            super()._learn(request, attempt, outcome, latency_ms, reported)


class RetriesForFree(HedgingBalancer):
    """Does not charge the retry budget for retries after a backoff."""

    def _schedule_retry(self, request: Request) -> bool:
        tokens = self.budget.tokens
        scheduled = super()._schedule_retry(request)
        if scheduled:
            self.budget.tokens = tokens
        return scheduled


class HoldsTooLong(HedgingBalancer):
    """Lets queued requests expire 200 ms too late."""

    def _worthless_from_ms(self, request: Request) -> float:
        return super()._worthless_from_ms(request) + (200.0 if not request.attempts else 0.0)


class HoldsForEver(HedgingBalancer):
    """Sets no timer for a queued request."""

    def _enqueue(self, request: Request) -> None:
        super()._enqueue(request)
        self.actions = [a for a in self.actions if getattr(a, "token", None) != request.timer]


# Faults in the lifecycle


class AnswersLeft(Lifecycle):
    """Delivers a successful answer although the client has disconnected."""

    def _attempt_finished(self, now_ms: float, event: AttemptFinished) -> list[Effect]:
        call = self.calls.get(event.call)
        effects = super()._attempt_finished(now_ms, event)
        late = call is not None and call.state is CallState.LEFT and event.outcome is Outcome.OK
        return [DeliverResponse(event.call, event.answer), *effects] if late else effects

    def _client_disconnected(self, now_ms: float, call_id: int) -> list[Effect]:
        call = self.calls.get(call_id)
        if call is None or call.state.final:
            return []
        effects = [
            *self._make_final(now_ms, call, CallState.LEFT),
            NotifyBalancer(ClientDisconnected(call_id)),
        ]
        return effects + self._release_if_done(call)


class AnswersCopies(Lifecycle):
    """Also delivers the answer of a second, hedged copy."""

    def _attempt_finished(self, now_ms: float, event: AttemptFinished) -> list[Effect]:
        call = self.calls.get(event.call)
        was_final = call is not None and call.state is CallState.ANSWERED and event.attempt in call.in_flight
        effects = super()._attempt_finished(now_ms, event)
        again = was_final and event.outcome is Outcome.OK and event.answer is not None
        return [DeliverResponse(event.call, event.answer), *effects] if again else effects


class StaleTimers(Lifecycle):
    """Acts on the timeout of an attempt that has already ended."""

    def _attempt_timed_out(self, now_ms: float, call_id: int, number: int) -> list[Effect]:
        call = self.calls.get(call_id)
        if call is not None and number not in call.in_flight and not call.state.final:
            effects = self._make_final(now_ms, call, CallState.ANSWERED)
            return [*effects, DeliverFailure(call_id), *self._release_if_done(call)]
        return super()._attempt_timed_out(now_ms, call_id, number)


class CutsHeld(Lifecycle):
    """Aborts an attempt whose answer is being held when its timeout fires."""

    def _attempt_timed_out(self, now_ms: float, call_id: int, number: int) -> list[Effect]:
        attempt = self._find(call_id, number)
        if attempt is not None and attempt.state is AttemptState.HELD:
            attempt.state = AttemptState.WRITTEN
        return super()._attempt_timed_out(now_ms, call_id, number)


class CallsNothingBack(Lifecycle):
    """Does not abort unsent attempts when their server drains."""

    def _abort_unsent(self, now_ms: float, unwanted: Callable[[Attempt], bool]) -> list[Effect]:
        return []


class SendsAfterAnswers(Lifecycle):
    """Does not abort unsent attempts when their call is over."""

    def _make_final(self, now_ms: float, call: Call, state: CallState) -> list[Effect]:
        if not call.state.final:
            call.state = state
            self.open_calls -= 1
        return []

    def _client_disconnected(self, now_ms: float, call_id: int) -> list[Effect]:
        call = self.calls.get(call_id)
        if call is None or call.state.final:
            return []
        return [*self._make_final(now_ms, call, CallState.LEFT), NotifyBalancer(ClientDisconnected(call_id))]


class ForgetsSpentBodies(Lifecycle):
    """Does not report that part of the request body has been consumed."""

    def on(self, now_ms: float, event: LifecycleEvent) -> list[Effect]:
        return [] if isinstance(event, BodyConsumed) else super().on(now_ms, event)


class TakesWrittenForUnsent(Lifecycle):
    """Reports every aborted attempt as never executed."""

    def _abort(self, now_ms: float, call: Call, attempt: Attempt, outcome: Outcome) -> list[Effect]:
        self._end_attempt(call, attempt)
        ended = AttemptEnded(call.id, attempt.number, Outcome.CONNECT_FAILED, 0.0, call.state.final)
        return [AbortAttempt(call.id, attempt.number), NotifyBalancer(ended)]


class ForgetsEarly(Lifecycle):
    """Releases a call with its answer, even if attempts are still in flight."""

    def _release_if_done(self, call: Call) -> list[Effect]:
        if call.state.final and self.calls.pop(call.id, None) is not None:
            return [ReleaseCall(call.id)]
        return []


class PassesOnAnything(Lifecycle):
    """Starts streaming at an attempt's timeout, whether or not a response is held."""

    def on(self, now_ms: float, event: LifecycleEvent) -> list[Effect]:
        if isinstance(event, AttemptTimedOut):
            attempt = self._find(event.call, event.attempt)
            if attempt is not None and attempt.state is AttemptState.WRITTEN:
                return [StreamHeldResponse(event.call, event.attempt)]
        return super().on(now_ms, event)


class BeginsTwice(Lifecycle):
    """Lets a second copy's answer begin while the first one is being streamed."""

    def _response_started(self, now_ms: float, call_id: int, number: int) -> list[Effect]:
        call = self.calls.get(call_id)
        kept = dict(call.in_flight) if call is not None else {}
        effects = super()._response_started(now_ms, call_id, number)
        if call is not None and effects:
            call.in_flight.update({n: a for n, a in kept.items() if n != number})
            for attempt in call.in_flight.values():
                if attempt.state is AttemptState.ENDED:
                    attempt.state = AttemptState.WRITTEN
            return [e for e in effects if not isinstance(e, AbortAttempt) and not _reports_ended_attempt(e)]
        return effects


class ForgetsLateRepeats(HedgingBalancer):
    """Sets no send deadline on a repeat, so it may go out after the deduplication window."""

    def _send(self, request: Request, endpoint: Endpoint) -> None:
        super()._send(request, endpoint)
        self.actions[-1] = replace(cast(Send, self.actions[-1]), send_within_ms=float("inf"))


class MissesLeaversThatWait(Lifecycle):
    """Ignores the disconnect of a client whose call has no attempt in flight."""

    def _client_disconnected(self, now_ms: float, call_id: int) -> list[Effect]:
        call = self.calls.get(call_id)
        return super()._client_disconnected(now_ms, call_id) if call is not None and call.in_flight else []


class HaltsOnlyWhatIsOut(Lifecycle):
    """Does not answer calls without an attempt in flight when the process halts."""

    def _process_halted(self, now_ms: float) -> list[Effect]:
        kept = {number: call for number, call in self.calls.items() if not call.in_flight}
        for number in kept:
            del self.calls[number]
        effects = super()._process_halted(now_ms)
        self.calls.update(kept)
        return effects


class TakesMoreAtTheEnd(Lifecycle):
    """Continues to accept events after the process has halted."""

    def on(self, now_ms: float, event: LifecycleEvent) -> list[Effect]:
        effects = super().on(now_ms, event)
        if isinstance(event, ProcessHalted):
            self.halted = False
        return effects


def _reports_ended_attempt(effect: Effect) -> bool:
    return isinstance(effect, NotifyBalancer) and isinstance(effect.event, AttemptEnded)


@dataclass(frozen=True, slots=True)
class Fault:
    """One seeded fault, and the properties that it can violate."""

    shows: tuple[str, ...]
    scope: str  # the smallest scope in which the fault is found
    lifecycle: type[Lifecycle] = Lifecycle
    balancer: type[HedgingBalancer] = HedgingBalancer

    @property
    def text(self) -> str:
        """Returns the description of the fault: the doc comment of its class."""
        kind = self.lifecycle if self.lifecycle is not Lifecycle else self.balancer
        return (kind.__doc__ or "").strip()


FAULTS: dict[str, Fault] = {
    "repeats-dial-out": Fault(("repeat",), "dial-out", balancer=RepeatsDialOut),
    "held-ignore-drains": Fault(("drain",), "queue", balancer=HeldIgnoreDrains),
    "forgets-cordons": Fault(("drain",), "join", balancer=ForgetsCordons),
    "leaves-its-bay": Fault(("repeat",), "bays", balancer=LeavesItsBay),
    "never-stops": Fault(("attempts",), "join", balancer=NeverStops),
    "leaks-in-flight": Fault(("rest",), "join", balancer=LeaksInFlight),
    "retries-for-free": Fault(("tokens",), "join", balancer=RetriesForFree),
    "holds-too-long": Fault(("late",), "queue", balancer=HoldsTooLong),
    "holds-for-ever": Fault(("stuck", "late"), "queue", balancer=HoldsForEver),
    "answers-left": Fault(("answer",), "join", lifecycle=AnswersLeft),
    "answers-copies": Fault(("answer",), "join", lifecycle=AnswersCopies),
    "stale-timers": Fault(("answer", "rest"), "join", lifecycle=StaleTimers),
    "cuts-held": Fault(("cut",), "join", lifecycle=CutsHeld),
    "calls-nothing-back": Fault(("drain",), "slow", lifecycle=CallsNothingBack),
    "sends-after-answers": Fault(("answer",), "join", lifecycle=SendsAfterAnswers),
    "forgets-spent-bodies": Fault(("body",), "uploads", lifecycle=ForgetsSpentBodies),
    "takes-written-for-unsent": Fault(("refusal",), "dial-out", lifecycle=TakesWrittenForUnsent),
    "forgets-early": Fault(("rest", "answer"), "join", lifecycle=ForgetsEarly),
    "passes-on-anything": Fault(("held",), "join", lifecycle=PassesOnAnything),
    "forgets-late-repeats": Fault(("repeat",), "window", balancer=ForgetsLateRepeats),
    "misses-leavers-that-wait": Fault(("answer", "rest"), "queue", lifecycle=MissesLeaversThatWait),
    "halts-only-what-is-out": Fault(("halt",), "end", lifecycle=HaltsOnlyWhatIsOut),
    "takes-more-at-the-end": Fault(("halt",), "end", lifecycle=TakesMoreAtTheEnd),
    "begins-twice": Fault(("answer", "rest", "cut"), "join", lifecycle=BeginsTwice),
}


_world_types: dict[str, type[World]] = {}


def world_type(fault: str | None) -> type[World]:
    """Returns the World class whose code has this fault. Raises KeyError for an unknown fault."""
    if fault is None:
        return World
    if fault not in _world_types:
        seeded = FAULTS[fault]
        name = f"World_{fault.replace('-', '_')}"
        kind = type(name, (World,), {"lifecycle_type": seeded.lifecycle, "balancer_type": seeded.balancer})
        kind.__module__ = __name__
        globals()[name] = kind  # pickle looks the class up by its name in this module
        _world_types[fault] = kind
    return _world_types[fault]
