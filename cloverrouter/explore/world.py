"""A simulated environment of the real engine, lifecycle and balancer, in which one event occurs at a time.

The world simulates the driver, the network, the servers, the clients, the server lists and the clock. Each
event has a name, so a history is a list of names. The world keeps its own record of the requests sent and
the answers delivered, and checks the properties against it instead of the state of the code under test.

Time advances only in `tick`, to the next timer, and in `wait`. Events that can occur at the same time are
therefore explored in every order.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

from cloverrouter.core.engine import Engine
from cloverrouter.core.lifecycle import Lifecycle
from cloverrouter.core.states import (
    AbortAttempt,
    AttemptFinished,
    AttemptTimedOut,
    BodyConsumed,
    DeliverFailure,
    DeliverRefusal,
    DeliverResponse,
    Effect,
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
from cloverrouter.decide import Balancer
from cloverrouter.explore.choices import Choices
from cloverrouter.explore.scope import Scope
from cloverrouter.interface import (
    Action,
    ClientDisconnected,
    Cordon,
    EndpointsListed,
    EndpointState,
    Event,
    ListedEndpoint,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    RequestCompleted,
    Send,
    SetTimer,
    Settings,
    ShareAssigned,
    TimerFired,
)
from cloverrouter.proxy.streams import Budget, Upload

DRAIN_GRACE_MS = 500.0
DEDUP_SLACK_MS = 50.0  # tolerance on the deduplication window
START_MS = 1000.0
BODY_PIECE = b"x" * 1000  # a piece of a request body that is not retained for retries
HEDGE_TOKEN_BASE = -1_000_000  # timer tokens up to this value request a hedged copy
AttemptKey = tuple[int, int]
OUTCOMES = {
    "ok": Outcome.OK,
    "error": Outcome.ERROR,
    "rejected": Outcome.REJECTED,
    "reset": Outcome.RESET,
    "spoilt": Outcome.SPOILT,
}


class Phase(Enum):
    """The actual phase of an attempt in the simulated network."""

    CONNECTING = "connecting"
    WRITING = "writing"
    SENT = "sent"
    HELD = "held"
    STREAMING = "streaming"


@dataclass(slots=True)
class Exchange:
    """An attempt in flight, as the simulated network and its server see it."""

    endpoint: str
    started_ms: float
    phase: Phase = Phase.CONNECTING


@dataclass(slots=True)
class Execution:
    """A request that has reached a server completely."""

    attempt: int
    endpoint: str
    at_ms: float
    not_executed: bool = False  # the server answered that it did not execute the request


@dataclass(slots=True)
class Client:
    """A call as its client and an observer of the servers see it."""

    class_name: str
    deadline_ms: float | None
    body_incomplete: bool  # part of its body has not arrived yet
    attempts_started: int = 0
    upload: Upload | None = None  # a body that is not retained for retries
    body_consumed_by: int | None = None  # the attempt that has consumed part of the body
    disconnected: bool = False
    streaming: int | None = None  # the attempt whose answer the client is receiving
    answers: list[str] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)

    @property
    def awaits_answer(self) -> bool:
        return not self.answers and not self.disconnected


@dataclass(slots=True)
class Server:
    """A server as announced by the server list and the operators."""

    cell: int
    state: EndpointState = EndpointState.READY
    cordoned: bool = False
    banned_since_ms: float = 0.0  # when its current ban was announced

    @property
    def banned(self) -> bool:
        return self.cordoned or self.state is not EndpointState.READY


@dataclass(slots=True, order=True)
class Timer:
    due_ms: float
    order: int
    token: int | None = field(compare=False)  # token of a balancer timer; None for a timer of an attempt
    key: AttemptKey = field(compare=False, default=(0, 0))
    # Whether it ends the time within which the attempt must be sent, instead of the attempt's timeout.
    is_send_window: bool = field(compare=False, default=False)


class HedgingBalancer(Balancer):
    """The shipped balancer, extended to send a hedged copy on request.

    The shipped one never hedges on its own, although the rules allow it. Everything else, including the
    check before each send, is unchanged.
    """

    def _on_timer(self, event: TimerFired) -> None:
        request = (
            self.requests.get(HEDGE_TOKEN_BASE - event.token) if event.token <= HEDGE_TOKEN_BASE else None
        )
        if request is None:
            super()._on_timer(event)
        elif not request.done and request.retryable() and request.in_flight == 1:
            self._try_send(request)


class World:
    """One state of the world. `enabled` lists the events that can occur next, and `apply` applies one."""

    lifecycle_type: type[Lifecycle] = Lifecycle
    balancer_type: type[HedgingBalancer] = HedgingBalancer
    engine_type: type[Engine] = Engine

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.now_ms = START_MS
        self.event_counts: dict[str, int] = {}  # number of events so far, by kind
        self.exchanges: dict[AttemptKey, Exchange] = {}
        self.ended_attempts: list[AttemptKey] = []  # ended attempts, for which late events may still arrive
        self.clients: dict[int, Client] = {}
        self.timers: list[Timer] = []
        self.order = 0
        self.breaches: list[str] = []
        self.successes = self.retries = 0
        self.halted = False  # the process has halted
        self.hedging = False  # a hedged copy is being requested
        self.servers = {f"s{i}": Server(cell) for i, cell in enumerate(scope.cells)}
        self.budget = Budget(0)
        self.choices = Choices()
        self.balancer = self.balancer_type(scope.settings, 1)
        self._use_choices()
        longest_ms = max(cls.deadline_ms for cls in scope.settings.classes)
        self.lifecycle = self.lifecycle_type(longest_ms)
        self.engine = self.engine_type(self.lifecycle, self._decide, self._clock, self._carry_out)
        self._send_server_list(ListKind.FULL, list(self.servers))

    def __getstate__(self) -> dict[str, object]:
        state = self.__dict__.copy()
        del state["scope"]  # identical in all states of a search; the search restores it
        return state

    def _use_choices(self) -> None:
        self.balancer.random = self.choices

    # Callbacks of the engine

    def _clock(self) -> float:
        return self.now_ms

    def _decide(self, now_ms: float, events: Sequence[Event]) -> Sequence[Action]:
        actions = self.balancer.handle(now_ms, events)
        for action in actions:
            # Checked here as well, because the lifecycle drops such an action and would hide the fault.
            if isinstance(action, Send) and self.servers[action.endpoint].banned:
                self.breach(
                    "drain", f"call {action.request_id} is directed to {action.endpoint}, which is banned"
                )
        return actions

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case StartAttempt():
                self._start_attempt(effect)
            case SetTimer(delay_ms, token):
                self._add_timer(self.now_ms + max(0.0, delay_ms), token)
            case SetAttemptTimeout(call, attempt, timeout_ms):
                self._cancel_timers((call, attempt))
                self._add_timer(self.now_ms + timeout_ms, None, (call, attempt))
            case AbortAttempt(call, attempt):
                self._abort_attempt((call, attempt))
            case StreamHeldResponse(call, attempt):
                exchange = self.exchanges.get((call, attempt))
                if exchange is None or exchange.phase is not Phase.HELD:
                    self.breach("held", f"asked to stream {call}/{attempt}, for which no response is held")
                else:
                    self._begin_response((call, attempt))
            case StartStreaming(call, attempt):
                self._cancel_timers((call, attempt))
                self.clients[call].streaming = attempt
            case DeliverResponse(call, answer):
                self._deliver(call, "served")
                if answer != f"answer {call}":
                    self.breach("answer", f"call {call} was served {answer!r}")
            case DeliverRefusal(call, _):
                self._deliver(call, "refused")
                if any(not execution.not_executed for execution in self.clients[call].executions):
                    self.breach("refusal", f"call {call} is refused, but may have been executed")
            case DeliverFailure(call):
                self._deliver(call, "failed")
            case ReleaseCall(call):
                if any(key[0] == call for key in self.exchanges):
                    self.breach("rest", f"call {call} is released with an attempt still in flight")
                if self.clients[call].awaits_answer:
                    self.breach("answer", f"call {call} is released without an answer")
            case _:
                pass  # effects on discovery and logs are not simulated

    def breach(self, name: str, text: str) -> None:
        self.breaches.append(f"{name}: {text}")

    def _start_attempt(self, start: StartAttempt) -> None:
        key, client = (start.call, start.attempt), self.clients[start.call]
        client.attempts_started += 1
        if client.attempts_started > 1 and not self.hedging:
            self.retries += 1  # a hedged copy is not a retry and costs no tokens
        self.exchanges[key] = Exchange(start.endpoint, self.now_ms)
        if self.halted:
            self.breach("halt", f"call {key[0]} is sent to {start.endpoint} after the process has halted")
        if client.awaits_answer is False:
            self.breach("answer", f"call {key[0]} is sent to {start.endpoint} after its final answer")
        if self.servers[start.endpoint].banned:
            self.breach("drain", f"call {key[0]} starts to {start.endpoint}, which may get no new requests")
        if client.attempts_started > self.scope.settings.limits.max_attempts:
            self.breach("attempts", f"call {key[0]} is sent {client.attempts_started} times")
        if client.body_consumed_by is not None:
            self.breach("body", f"call {key[0]} is sent again without a part of its body")
        if start.timeout_ms is not None:
            self._add_timer(self.now_ms + start.timeout_ms, None, key)
        if start.send_within_ms < float("inf"):
            self._add_timer(self.now_ms + start.send_within_ms, None, key, is_send_window=True)

    def _abort_attempt(self, key: AttemptKey) -> None:
        exchange, client = self.exchanges.pop(key), self.clients[key[0]]
        self._cancel_timers(key)
        self.ended_attempts.append(key)
        sending = exchange.phase in (Phase.HELD, Phase.STREAMING)
        if sending and client.awaits_answer and client.streaming in (None, key[1]):
            self.breach(
                "cut", f"the answer to call {key[0]} is cut off while {exchange.endpoint} still sends it"
            )

    def _deliver(self, call: int, what: str) -> None:
        client = self.clients[call]
        if client.answers:
            self.breach("answer", f"call {call} is {what} after it was {client.answers[-1]}")
        elif client.disconnected:
            self.breach("answer", f"call {call} is {what} after its client has disconnected")
        elif client.streaming is not None:
            self.breach("answer", f"call {call} is {what} in the middle of an answer")
        if client.deadline_ms is not None and self.now_ms > client.deadline_ms + 1e-6:
            late_ms = self.now_ms - client.deadline_ms
            self.breach("late", f"call {call} is {what} {late_ms:.0f} ms after its deadline")
        client.answers.append(what)
        self._drop_body(client)

    @staticmethod
    def _drop_body(client: Client) -> None:
        """Drops the body of a finished call, as the HTTP frontend does."""
        if client.upload is not None:
            client.upload.drop()

    # Timers

    def _add_timer(
        self, due_ms: float, token: int | None, key: AttemptKey = (0, 0), is_send_window: bool = False
    ) -> None:
        self.order += 1
        self.timers.append(Timer(due_ms, self.order, token, key, is_send_window))

    def _cancel_timers(self, key: AttemptKey) -> None:
        self.timers = [t for t in self.timers if t.token is not None or t.key != key or t.is_send_window]

    def pending_timers(self) -> list[Timer]:
        """Returns the timers that still have an effect, earliest first.

        The balancer can't cancel its timers; one whose token it no longer knows has no effect.
        """
        known_tokens = self.balancer.timers
        self.timers = sorted(
            t
            for t in self.timers
            if (
                t.token in known_tokens
                if t.token is not None
                else not t.is_send_window or self._is_unsent(t.key)
            )
        )
        return self.timers

    def _is_unsent(self, key: AttemptKey) -> bool:
        exchange = self.exchanges.get(key)
        return exchange is not None and exchange.phase in (Phase.CONNECTING, Phase.WRITING)

    # Events

    def enabled(self) -> list[str]:
        """Returns the names of the events that can occur in this state, within the limits of the scope."""
        names: list[str] = []
        arrivals = self.scope.arrivals
        if len(self.clients) < len(arrivals):
            names.append(f"arrive {len(self.clients)}")
        for call, client in self.clients.items():
            if client.body_incomplete and client.awaits_answer:
                names.append(f"body-end {call}")
            if client.awaits_answer:
                names.append(f"leave {call}")
                if (
                    self._count_exchanges(call) == 1
                    and client.class_name == "join"
                    and client.streaming is None
                ):
                    names.append(f"hedge {call}")
        for key, exchange in self.exchanges.items():
            names += [f"{what} {key[0]}/{key[1]}" for what in self._enabled_on_exchange(key, exchange)]
        for key in self.ended_attempts[-1:]:
            names += [f"late {key[0]}/{key[1]}", f"stale {key[0]}/{key[1]}"]
        for name, server in self.servers.items():
            if server.state is EndpointState.READY:
                names += [f"drain {name}", f"gone {name}"]
            else:
                names.append(f"back {name}")
            if server.state is not EndpointState.GONE:
                names.append(f"{'uncordon' if server.cordoned else 'cordon'} {name}")
        if not self.halted:
            names.append("halt")
        names.append("part" if self.balancer.share == 1.0 else "whole")
        timers = self.pending_timers()
        due = [t for t in timers if t.due_ms == timers[0].due_ms] if timers else []
        names += [f"tick {i}" for i in range(len(due))]
        if not timers or timers[0].due_ms > self.now_ms + self.scope.wait_ms:
            names.append("wait")
        event_limits = self.scope.event_limits
        return [
            n
            for n in names
            if self.event_counts.get(event_kind(n), 0) < event_limits.get(event_kind(n), 1_000_000)
        ]

    def _count_exchanges(self, call: int) -> int:
        return sum(key[0] == call for key in self.exchanges)

    def _enabled_on_exchange(self, key: AttemptKey, exchange: Exchange) -> list[str]:
        client = self.clients[key[0]]
        match exchange.phase:
            case Phase.CONNECTING | Phase.WRITING:
                names = ["refused"]
                late = self.now_ms - exchange.started_ms > self.scope.connect_ms
                if exchange.phase is Phase.CONNECTING and late:
                    return names
                if not client.body_incomplete:
                    names.append("written")
                elif client.body_consumed_by is None:
                    names.append("piece")
                return names
            case Phase.SENT:
                return [*self.scope.outcomes, "held", "begun"]
            case Phase.HELD:
                return ["ok", "begun", "reset"]
            case Phase.STREAMING:
                return ["ok", "reset"]

    def apply(self, name: str, script: tuple[int, ...] = ()) -> list[int]:
        """Applies the event `name`, with random draws set by `script`. Returns the results of the draws.

        Raises ValueError for an event that can't occur in this state, and any exception of the code under
        test.
        """
        kind, _, what = name.partition(" ")
        self.event_counts[kind] = self.event_counts.get(kind, 0) + 1
        self.choices.load_script(script)
        if "/" in what:
            call, _, attempt = what.partition("/")
            self._apply_network_event(kind, (int(call), int(attempt)))
        elif kind in ("arrive", "body-end", "leave", "hedge"):
            self._apply_client_event(kind, int(what))
        elif kind in ("drain", "gone", "back", "cordon", "uncordon"):
            self._apply_server_event(kind, what)
        elif kind == "halt":
            self.halted = True
            self.engine.handle(ProcessHalted())
        elif kind in ("part", "whole"):
            self.engine.handle(ShareAssigned(0.5 if kind == "part" else 1.0))
        elif kind == "tick":
            self._fire_timer(int(what))
        elif kind == "wait":
            self.now_ms += self.scope.wait_ms
            self._check_deadlines()
        else:
            raise ValueError(f"no such event: {name}")
        if self.halted:
            self._check_halted()
        return self.choices.drawn

    def _check_halted(self) -> None:
        for call, client in self.clients.items():
            if client.awaits_answer and client.streaming is None:
                self.breach("halt", f"call {call} has no answer after the process has halted")

    def _apply_network_event(self, kind: str, key: AttemptKey) -> None:
        if kind == "late":  # network events of an attempt that has already ended
            self.engine.handle(RequestWritten(*key))
            self.engine.handle(ResponseStarted(*key))
            self.engine.handle(AttemptFinished(*key, Outcome.OK, f"answer {key[0]}"))
            return
        if kind == "stale":  # a timer that was cancelled just before it fired
            self.engine.handle(AttemptTimedOut(*key))
            return
        exchange, client = self.exchanges.get(key), self.clients.get(key[0])
        if exchange is None or client is None:
            raise ValueError(f"{kind}: attempt {key[0]}/{key[1]} is not in flight")
        match kind:
            case "written":
                self._complete_request(key, exchange, client)
            case "piece":
                exchange.phase, client.body_consumed_by = Phase.WRITING, key[1]
                assert client.upload is not None
                client.upload.take()
            case "refused":
                self._end_attempt(key, Outcome.CONNECT_FAILED)
            case "held":
                exchange.phase = Phase.HELD
                self.engine.handle(ResponseHeld(*key))
            case "begun":
                self._begin_response(key)
            case _:
                if kind == "rejected":
                    for execution in client.executions:
                        execution.not_executed = execution.not_executed or execution.attempt == key[1]
                self._end_attempt(key, OUTCOMES[kind])

    def _complete_request(self, key: AttemptKey, exchange: Exchange, client: Client) -> None:
        exchange.phase = Phase.SENT
        while client.upload is not None and client.upload.take() is not None:
            client.body_consumed_by = key[1]
        server, settings = self.servers[exchange.endpoint], self.scope.settings
        if server.banned and self.now_ms > server.banned_since_ms + DRAIN_GRACE_MS:
            self.breach("drain", f"call {key[0]} is sent to {exchange.endpoint} after its grace period")
        if client.body_consumed_by not in (None, key[1]):
            self.breach("body", f"call {key[0]} is sent to {exchange.endpoint} without a part of its body")
        if not client.awaits_answer:
            self.breach("answer", f"call {key[0]} is sent to {exchange.endpoint} after its final answer")
        before = [execution for execution in client.executions if not execution.not_executed]
        cls = request_class(settings, client.class_name)
        if before and client.class_name == "dial-out":
            self.breach("repeat", f"dial-out {key[0]} may be executed a second time")
        elif before:
            first = before[0]
            if self.servers[first.endpoint].cell != server.cell:
                self.breach("repeat", f"call {key[0]} is repeated outside of its cell")
            if self.now_ms > first.at_ms + cls.dedup_window_ms + DEDUP_SLACK_MS:
                self.breach("repeat", f"call {key[0]} is repeated after its deduplication window")
        client.executions.append(Execution(key[1], exchange.endpoint, exchange.started_ms))
        self.engine.handle(RequestWritten(*key))

    def _begin_response(self, key: AttemptKey) -> None:
        exchange, client = self.exchanges[key], self.clients[key[0]]
        exchange.phase = Phase.STREAMING
        self.engine.handle(ResponseStarted(*key))
        if client.streaming != key[1] and key in self.exchanges:
            self._end_attempt(key, Outcome.SPOILT)  # the answer is unwanted, so the connection is closed

    def _end_attempt(self, key: AttemptKey, outcome: Outcome) -> None:
        exchange, client = self.exchanges.pop(key), self.clients[key[0]]
        self._cancel_timers(key)
        self.ended_attempts.append(key)
        if outcome is Outcome.OK:
            self.successes += 1
        if client.streaming == key[1] and client.awaits_answer:
            client.answers.append("streamed" if outcome is Outcome.OK else "cut")
            self._drop_body(client)
        early = outcome in (Outcome.RESET, Outcome.SPOILT) and exchange.phase in (
            Phase.CONNECTING,
            Phase.WRITING,
        )
        answer = f"answer {key[0]}" if exchange.phase is not Phase.STREAMING else None
        self.engine.handle(AttemptFinished(*key, Outcome.CONNECT_FAILED if early else outcome, answer))

    def _apply_client_event(self, kind: str, call: int) -> None:
        if kind == "arrive":
            arrival = self.scope.arrivals[call]
            cls = request_class(self.scope.settings, arrival.class_name)
            deadline_ms = None if arrival.uploading else self.now_ms + cls.deadline_ms
            client = self.clients[call] = Client(arrival.class_name, deadline_ms, arrival.uploading)
            if arrival.uploading:
                client.upload = Upload(self.budget, None, self._resume_reading)
                client.upload.on_consumed = partial(self._report_body_consumed, call)
                client.upload.feed(BODY_PIECE)
            self.engine.handle(
                RequestArrived(call, arrival.class_name, deadline_ms, uploading=arrival.uploading)
            )
            return
        client = self.clients[call]
        if kind == "leave":
            client.disconnected = True
            self.engine.handle(ClientDisconnected(call))
            self._drop_body(client)
        elif kind == "hedge":
            self.hedging = True
            self.engine.handle(TimerFired(HEDGE_TOKEN_BASE - call))
            self.hedging = False
        else:
            cls = request_class(self.scope.settings, client.class_name)
            client.body_incomplete, client.deadline_ms = False, self.now_ms + cls.deadline_ms
            if client.upload is not None:
                client.upload.feed(BODY_PIECE)
                client.upload.ended = True
            self.engine.handle(RequestCompleted(call, client.deadline_ms))

    def _report_body_consumed(self, call: int) -> None:
        self.engine.handle(BodyConsumed(call))

    def _resume_reading(self) -> None:
        """Does nothing: the simulated client connection is never paused."""

    def _apply_server_event(self, kind: str, name: str) -> None:
        server = self.servers[name]
        was_banned = server.banned
        match kind:
            case "cordon" | "uncordon":
                server.cordoned = kind == "cordon"
            case "drain":
                server.state = EndpointState.DRAINING
            case "gone":
                server.state = EndpointState.GONE
            case _:
                server.state = EndpointState.READY
        if server.banned and not was_banned:
            server.banned_since_ms = self.now_ms
        if kind in ("cordon", "uncordon"):
            self.engine.handle(Cordon(name, kind == "cordon"))
        else:
            self._send_server_list(ListKind.DELTA, [name])

    def _send_server_list(self, kind: ListKind, names: list[str]) -> None:
        entries = tuple(
            ListedEndpoint(name, "a", self.servers[name].cell, state=self.servers[name].state)
            for name in names
        )
        ready = {name for name, server in self.servers.items() if server.state is EndpointState.READY}
        self.engine.handle(
            TargetsListed(EndpointsListed(kind, entries), {name: name for name in sorted(ready)})
        )

    def _fire_timer(self, which: int) -> None:
        timers = self.pending_timers()
        if which >= len(timers):
            raise ValueError("tick: no such timer")
        timer = timers.pop(which)
        self.now_ms = max(self.now_ms, timer.due_ms)
        if timer.token is not None:
            self.engine.handle(TimerFired(timer.token))
        elif timer.is_send_window:
            self.engine.handle(SendWindowExpired(*timer.key))
        else:
            self.engine.handle(AttemptTimedOut(*timer.key))
        self._check_deadlines()

    def _check_deadlines(self) -> None:
        for call, client in self.clients.items():
            past = client.deadline_ms is not None and self.now_ms > client.deadline_ms + 1e-6
            if past and client.awaits_answer and client.streaming is None:
                self.breach("late", f"call {call} has no answer at its deadline")


def event_kind(name: str) -> str:
    return name.partition(" ")[0]


def request_class(settings: Settings, name: str) -> RequestClass:
    return next(cls for cls in settings.classes if cls.name == name)
