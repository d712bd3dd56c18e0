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

GRACE_MS = 500.0
SLACK_MS = 50.0  # tolerance on the deduplication window
START_MS = 1000.0
PIECE = b"x" * 1000  # a piece of a request body that is not retained for retries
HEDGE = -1_000_000  # timer tokens up to this value request a hedged copy
Key = tuple[int, int]
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
class Wire:
    """An attempt in flight, as the simulated network and its server see it."""

    endpoint: str
    started_ms: float
    phase: Phase = Phase.CONNECTING


@dataclass(slots=True)
class Run:
    """A request that has reached a server completely."""

    attempt: int
    endpoint: str
    at_ms: float
    never_ran: bool = False  # the server answered that it did not execute the request


@dataclass(slots=True)
class Client:
    """A call as its client and an observer of the servers see it."""

    class_name: str
    deadline_ms: float | None
    body_left: bool  # part of its body has not arrived yet
    starts: int = 0
    upload: Upload | None = None  # a body that is not retained for retries
    body_kept_by: int | None = None  # the attempt that has consumed part of the body
    left: bool = False
    streaming: int | None = None  # the attempt whose answer the client is receiving
    given: list[str] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)

    @property
    def owed(self) -> bool:
        return not self.given and not self.left


@dataclass(slots=True)
class Server:
    """A server as announced by the server list and the operators."""

    cell: int
    state: EndpointState = EndpointState.READY
    cordoned: bool = False
    told_ms: float = 0.0  # when its current ban was announced

    @property
    def banned(self) -> bool:
        return self.cordoned or self.state is not EndpointState.READY


@dataclass(slots=True, order=True)
class Timer:
    due_ms: float
    order: int
    token: int | None = field(compare=False)  # token of a balancer timer; None for a timer of an attempt
    key: Key = field(compare=False, default=(0, 0))
    to_go_out: bool = field(compare=False, default=False)  # the time by which the attempt must have been sent


class HedgingBalancer(Balancer):
    """The shipped balancer, extended to send a hedged copy on request.

    The shipped one never hedges on its own, although the rules allow it. Everything else, including the
    check before each send, is unchanged.
    """

    def _on_timer(self, event: TimerFired) -> None:
        request = self.requests.get(HEDGE - event.token) if event.token <= HEDGE else None
        if request is None:
            super()._on_timer(event)
        elif not request.done and request.retryable() and request.out == 1:
            self._try_send(request)


class World:
    """One state of the world. `enabled` lists the events that can occur next, and `apply` applies one."""

    lifecycle_type: type[Lifecycle] = Lifecycle
    balancer_type: type[HedgingBalancer] = HedgingBalancer
    engine_type: type[Engine] = Engine

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.now_ms = START_MS
        self.used: dict[str, int] = {}  # number of events so far, by kind
        self.wires: dict[Key, Wire] = {}
        self.over: list[Key] = []  # ended attempts, for which late events may still arrive
        self.clients: dict[int, Client] = {}
        self.timers: list[Timer] = []
        self.order = 0
        self.breaches: list[str] = []
        self.oks = self.retries = 0
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
        self._list(ListKind.FULL, list(self.servers))

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
                self._start(effect)
            case SetTimer(delay_ms, token):
                self._add(self.now_ms + max(0.0, delay_ms), token)
            case SetAttemptTimeout(call, attempt, timeout_ms):
                self._drop_due((call, attempt))
                self._add(self.now_ms + timeout_ms, None, (call, attempt))
            case AbortAttempt(call, attempt):
                self._abandoned((call, attempt))
            case StreamHeldResponse(call, attempt):
                wire = self.wires.get((call, attempt))
                if wire is None or wire.phase is not Phase.HELD:
                    self.breach("held", f"asked to stream {call}/{attempt}, for which no response is held")
                else:
                    self._begin((call, attempt))
            case StartStreaming(call, attempt):
                self._drop_due((call, attempt))
                self.clients[call].streaming = attempt
            case DeliverResponse(call, answer):
                self._give(call, "served")
                if answer != f"answer {call}":
                    self.breach("answer", f"call {call} was served {answer!r}")
            case DeliverRefusal(call, _):
                self._give(call, "refused")
                if any(not run.never_ran for run in self.clients[call].runs):
                    self.breach("refusal", f"call {call} is refused, but may have been executed")
            case DeliverFailure(call):
                self._give(call, "failed")
            case ReleaseCall(call):
                if any(key[0] == call for key in self.wires):
                    self.breach("rest", f"call {call} is released with an attempt still in flight")
                if self.clients[call].owed:
                    self.breach("answer", f"call {call} is released without an answer")
            case _:
                pass  # effects on discovery and logs are not simulated

    def breach(self, name: str, text: str) -> None:
        self.breaches.append(f"{name}: {text}")

    def _start(self, start: StartAttempt) -> None:
        key, client = (start.call, start.attempt), self.clients[start.call]
        client.starts += 1
        if client.starts > 1 and not self.hedging:
            self.retries += 1  # a hedged copy is not a retry and costs no tokens
        self.wires[key] = Wire(start.endpoint, self.now_ms)
        if self.halted:
            self.breach("halt", f"call {key[0]} is sent to {start.endpoint} after the process has halted")
        if client.owed is False:
            self.breach("answer", f"call {key[0]} is sent to {start.endpoint} after its final answer")
        if self.servers[start.endpoint].banned:
            self.breach("drain", f"call {key[0]} starts to {start.endpoint}, which may get no new requests")
        if client.starts > self.scope.settings.limits.max_attempts:
            self.breach("attempts", f"call {key[0]} is sent {client.starts} times")
        if client.body_kept_by is not None:
            self.breach("body", f"call {key[0]} is sent again without a part of its body")
        if start.timeout_ms is not None:
            self._add(self.now_ms + start.timeout_ms, None, key)
        if start.send_within_ms < float("inf"):
            self._add(self.now_ms + start.send_within_ms, None, key, to_go_out=True)

    def _abandoned(self, key: Key) -> None:
        wire, client = self.wires.pop(key), self.clients[key[0]]
        self._drop_due(key)
        self.over.append(key)
        given = wire.phase in (Phase.HELD, Phase.STREAMING)
        if given and client.owed and client.streaming in (None, key[1]):
            self.breach(
                "cut", f"the answer to call {key[0]} is cut off while {wire.endpoint} still sends it"
            )

    def _give(self, call: int, what: str) -> None:
        client = self.clients[call]
        if client.given:
            self.breach("answer", f"call {call} is {what} after it was {client.given[-1]}")
        elif client.left:
            self.breach("answer", f"call {call} is {what} after its client has disconnected")
        elif client.streaming is not None:
            self.breach("answer", f"call {call} is {what} in the middle of an answer")
        if client.deadline_ms is not None and self.now_ms > client.deadline_ms + 1e-6:
            late_ms = self.now_ms - client.deadline_ms
            self.breach("late", f"call {call} is {what} {late_ms:.0f} ms after its deadline")
        client.given.append(what)
        self._drop_body(client)

    @staticmethod
    def _drop_body(client: Client) -> None:
        """Drops the body of a finished call, as the HTTP frontend does."""
        if client.upload is not None:
            client.upload.drop()

    # Timers

    def _add(self, due_ms: float, token: int | None, key: Key = (0, 0), to_go_out: bool = False) -> None:
        self.order += 1
        self.timers.append(Timer(due_ms, self.order, token, key, to_go_out))

    def _drop_due(self, key: Key) -> None:
        self.timers = [t for t in self.timers if t.token is not None or t.key != key or t.to_go_out]

    def live(self) -> list[Timer]:
        """Returns the timers that still have an effect, earliest first.

        The balancer can't cancel its timers; one whose token it no longer knows has no effect.
        """
        known = self.balancer.timers
        self.timers = sorted(
            t
            for t in self.timers
            if (t.token in known if t.token is not None else not t.to_go_out or self._unsent(t.key))
        )
        return self.timers

    def _unsent(self, key: Key) -> bool:
        wire = self.wires.get(key)
        return wire is not None and wire.phase in (Phase.CONNECTING, Phase.WRITING)

    # Events

    def enabled(self) -> list[str]:
        """Returns the names of the events that can occur in this state, within the limits of the scope."""
        names: list[str] = []
        arrivals = self.scope.arrivals
        if len(self.clients) < len(arrivals):
            names.append(f"arrive {len(self.clients)}")
        for call, client in self.clients.items():
            if client.body_left and client.owed:
                names.append(f"body-end {call}")
            if client.owed:
                names.append(f"leave {call}")
                if self._out(call) == 1 and client.class_name == "join" and client.streaming is None:
                    names.append(f"hedge {call}")
        for key, wire in self.wires.items():
            names += [f"{what} {key[0]}/{key[1]}" for what in self._can(key, wire)]
        for key in self.over[-1:]:
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
        timers = self.live()
        due = [t for t in timers if t.due_ms == timers[0].due_ms] if timers else []
        names += [f"tick {i}" for i in range(len(due))]
        if not timers or timers[0].due_ms > self.now_ms + self.scope.wait_ms:
            names.append("wait")
        most = self.scope.most
        return [n for n in names if self.used.get(kind_of(n), 0) < most.get(kind_of(n), 1_000_000)]

    def _out(self, call: int) -> int:
        return sum(key[0] == call for key in self.wires)

    def _can(self, key: Key, wire: Wire) -> list[str]:
        client = self.clients[key[0]]
        match wire.phase:
            case Phase.CONNECTING | Phase.WRITING:
                names = ["refused"]
                late = self.now_ms - wire.started_ms > self.scope.connect_ms
                if wire.phase is Phase.CONNECTING and late:
                    return names
                if not client.body_left:
                    names.append("written")
                elif client.body_kept_by is None:
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
        self.used[kind] = self.used.get(kind, 0) + 1
        self.choices.play(script)
        if "/" in what:
            call, _, attempt = what.partition("/")
            self._at_wire(kind, (int(call), int(attempt)))
        elif kind in ("arrive", "body-end", "leave", "hedge"):
            self._by_client(kind, int(what))
        elif kind in ("drain", "gone", "back", "cordon", "uncordon"):
            self._by_operator(kind, what)
        elif kind == "halt":
            self.halted = True
            self.engine.take(ProcessHalted())
        elif kind in ("part", "whole"):
            self.engine.take(ShareAssigned(0.5 if kind == "part" else 1.0))
        elif kind == "tick":
            self._tick(int(what))
        elif kind == "wait":
            self.now_ms += self.scope.wait_ms
            self._check_time()
        else:
            raise ValueError(f"no such event: {name}")
        if self.halted:
            self._check_halted()
        return self.choices.drawn

    def _check_halted(self) -> None:
        for call, client in self.clients.items():
            if client.owed and client.streaming is None:
                self.breach("halt", f"call {call} has no answer after the process has halted")

    def _at_wire(self, kind: str, key: Key) -> None:
        if kind == "late":  # network events of an attempt that has already ended
            self.engine.take(RequestWritten(*key))
            self.engine.take(ResponseStarted(*key))
            self.engine.take(AttemptFinished(*key, Outcome.OK, f"answer {key[0]}"))
            return
        if kind == "stale":  # a timer that was cancelled just before it fired
            self.engine.take(AttemptTimedOut(*key))
            return
        wire, client = self.wires.get(key), self.clients.get(key[0])
        if wire is None or client is None:
            raise ValueError(f"{kind}: attempt {key[0]}/{key[1]} is not in flight")
        match kind:
            case "written":
                self._written(key, wire, client)
            case "piece":
                wire.phase, client.body_kept_by = Phase.WRITING, key[1]
                assert client.upload is not None
                client.upload.take()
            case "refused":
                self._end(key, Outcome.CONNECT_FAILED)
            case "held":
                wire.phase = Phase.HELD
                self.engine.take(ResponseHeld(*key))
            case "begun":
                self._begin(key)
            case _:
                if kind == "rejected":
                    for run in client.runs:
                        run.never_ran = run.never_ran or run.attempt == key[1]
                self._end(key, OUTCOMES[kind])

    def _written(self, key: Key, wire: Wire, client: Client) -> None:
        wire.phase = Phase.SENT
        while client.upload is not None and client.upload.take() is not None:
            client.body_kept_by = key[1]
        server, settings = self.servers[wire.endpoint], self.scope.settings
        if server.banned and self.now_ms > server.told_ms + GRACE_MS:
            self.breach("drain", f"call {key[0]} is sent to {wire.endpoint} after its grace period")
        if client.body_kept_by not in (None, key[1]):
            self.breach("body", f"call {key[0]} is sent to {wire.endpoint} without a part of its body")
        if not client.owed:
            self.breach("answer", f"call {key[0]} is sent to {wire.endpoint} after its final answer")
        before = [run for run in client.runs if not run.never_ran]
        cls = class_of(settings, client.class_name)
        if before and client.class_name == "dial-out":
            self.breach("repeat", f"dial-out {key[0]} may be executed a second time")
        elif before:
            first = before[0]
            if self.servers[first.endpoint].cell != server.cell:
                self.breach("repeat", f"call {key[0]} is repeated outside of its cell")
            if self.now_ms > first.at_ms + cls.dedup_window_ms + SLACK_MS:
                self.breach("repeat", f"call {key[0]} is repeated after its deduplication window")
        client.runs.append(Run(key[1], wire.endpoint, wire.started_ms))
        self.engine.take(RequestWritten(*key))

    def _begin(self, key: Key) -> None:
        wire, client = self.wires[key], self.clients[key[0]]
        wire.phase = Phase.STREAMING
        self.engine.take(ResponseStarted(*key))
        if client.streaming != key[1] and key in self.wires:
            self._end(key, Outcome.SPOILT)  # the answer is unwanted, so the connection is closed

    def _end(self, key: Key, outcome: Outcome) -> None:
        wire, client = self.wires.pop(key), self.clients[key[0]]
        self._drop_due(key)
        self.over.append(key)
        if outcome is Outcome.OK:
            self.oks += 1
        if client.streaming == key[1] and client.owed:
            client.given.append("streamed" if outcome is Outcome.OK else "cut")
            self._drop_body(client)
        early = outcome in (Outcome.RESET, Outcome.SPOILT) and wire.phase in (
            Phase.CONNECTING,
            Phase.WRITING,
        )
        answer = f"answer {key[0]}" if wire.phase is not Phase.STREAMING else None
        self.engine.take(AttemptFinished(*key, Outcome.CONNECT_FAILED if early else outcome, answer))

    def _by_client(self, kind: str, call: int) -> None:
        if kind == "arrive":
            arrival = self.scope.arrivals[call]
            cls = class_of(self.scope.settings, arrival.class_name)
            deadline_ms = None if arrival.uploading else self.now_ms + cls.deadline_ms
            client = self.clients[call] = Client(arrival.class_name, deadline_ms, arrival.uploading)
            if arrival.uploading:
                client.upload = Upload(self.budget, None, self._read_on)
                client.upload.on_spent = partial(self._body_taken, call)
                client.upload.feed(PIECE)
            self.engine.take(
                RequestArrived(call, arrival.class_name, deadline_ms, uploading=arrival.uploading)
            )
            return
        client = self.clients[call]
        if kind == "leave":
            client.left = True
            self.engine.take(ClientDisconnected(call))
            self._drop_body(client)
        elif kind == "hedge":
            self.hedging = True
            self.engine.take(TimerFired(HEDGE - call))
            self.hedging = False
        else:
            cls = class_of(self.scope.settings, client.class_name)
            client.body_left, client.deadline_ms = False, self.now_ms + cls.deadline_ms
            if client.upload is not None:
                client.upload.feed(PIECE)
                client.upload.ended = True
            self.engine.take(RequestCompleted(call, client.deadline_ms))

    def _body_taken(self, call: int) -> None:
        self.engine.take(BodyConsumed(call))

    def _read_on(self) -> None:
        """Does nothing: the simulated client connection is never paused."""

    def _by_operator(self, kind: str, name: str) -> None:
        server = self.servers[name]
        was = server.banned
        match kind:
            case "cordon" | "uncordon":
                server.cordoned = kind == "cordon"
            case "drain":
                server.state = EndpointState.DRAINING
            case "gone":
                server.state = EndpointState.GONE
            case _:
                server.state = EndpointState.READY
        if server.banned and not was:
            server.told_ms = self.now_ms
        if kind in ("cordon", "uncordon"):
            self.engine.take(Cordon(name, kind == "cordon"))
        else:
            self._list(ListKind.DELTA, [name])

    def _list(self, kind: ListKind, names: list[str]) -> None:
        entries = tuple(
            ListedEndpoint(name, "a", self.servers[name].cell, state=self.servers[name].state)
            for name in names
        )
        ready = {name for name, server in self.servers.items() if server.state is EndpointState.READY}
        self.engine.take(
            TargetsListed(EndpointsListed(kind, entries), {name: name for name in sorted(ready)})
        )

    def _tick(self, which: int) -> None:
        timers = self.live()
        if which >= len(timers):
            raise ValueError("tick: no such timer")
        timer = timers.pop(which)
        self.now_ms = max(self.now_ms, timer.due_ms)
        if timer.token is not None:
            self.engine.take(TimerFired(timer.token))
        elif timer.to_go_out:
            self.engine.take(SendWindowExpired(*timer.key))
        else:
            self.engine.take(AttemptTimedOut(*timer.key))
        self._check_time()

    def _check_time(self) -> None:
        for call, client in self.clients.items():
            past = client.deadline_ms is not None and self.now_ms > client.deadline_ms + 1e-6
            if past and client.owed and client.streaming is None:
                self.breach("late", f"call {call} has no answer at its deadline")


def kind_of(name: str) -> str:
    return name.partition(" ")[0]


def class_of(settings: Settings, name: str) -> RequestClass:
    return next(cls for cls in settings.classes if cls.name == name)
