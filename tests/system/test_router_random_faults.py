"""Runs the data plane against servers that fail at random, and checks the guarantees given to clients.

Each server that gets a request draws its behaviour; after each run the test compares what the clients got
with what the servers executed.
"""

from __future__ import annotations

from collections import defaultdict
from random import Random

import attrs
import pytest

from cloverrouter.http.client import Failure
from tests.system.router_world import (
    EVENTS,
    NOT_EXECUTED,
    SIGNED,
    ScriptedCall,
    ScriptedExchange,
    World,
    event,
)

ATTEMPTS = {"once": 1, "twice": 2, "again": 3, "talk": 1, "resume": 3}
REPEATABLE = {"again", "resume"}
STREAMS = {"talk", "resume"}
LAST_EVENT = 6
DEADLINE_MS = 2000
GRACE_MS = 40
STEP_MS = 40


@attrs.define(slots=True)
class ClientRequest:
    """A client's request, and what the servers did with it."""

    kind: str
    exchange: ScriptedExchange
    arrived_at: float
    ran: int = 0
    answered_at: float | None = None


class RandomFaultRun:
    """One run: random requests and random servers for a few simulated seconds."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.world = World().set_up(servers=5)
        self.world.budget.left = self.random.choice([0, 5, 1000])
        self.requests: list[ClientRequest] = []
        self.by_id: dict[bytes, ClientRequest] = {}
        self.calls_seen = 0
        self.pending: list[tuple[float, int, ScriptedCall]] = []
        self.steps: dict[int, int] = defaultdict(int)
        self.last_events: dict[int, int] = {}

    def execute(self) -> None:
        for _ in range(600):
            draw = self.random.random()
            if draw < 0.1 and len(self.requests) < 40:
                self.send_request()
            elif draw < 0.11:
                self.cancel_one_request()
            elif draw < 0.115:
                self.drain_server()
            self.schedule_new_calls()
            self.run_due_steps()
            self.world.clock.pass_ms(self.random.choice([1, 3, 10, STEP_MS]))
            self.record_answers()
        for _ in range((DEADLINE_MS + GRACE_MS) // STEP_MS + 1):
            self.world.clock.pass_ms(STEP_MS)
            self.record_answers()

    def send_request(self) -> None:
        kind = self.random.choice(list(ATTEMPTS))
        exchange = self.world.ask(f"/{kind}/x", (b"cypresswinch-prompt-prefix", b"aa:10,bb:5,cc:1"))
        request = ClientRequest(kind, exchange, self.world.clock())
        self.requests.append(request)
        self.by_id[exchange.request.header(b"cypresswinch-attempt-id") or b""] = request

    def cancel_one_request(self) -> None:
        waiting = [request for request in self.requests if not request.exchange.done]
        if waiting:
            self.random.choice(waiting).exchange.leave()

    def drain_server(self) -> None:
        service = self.random.choice(["desk", "model"])
        self.world.router.servers_changed([self.world.server(service, self.random.randrange(4), ready=False)])

    def schedule_new_calls(self) -> None:
        for call in self.world.calls[self.calls_seen :]:
            at = self.world.clock() + self.random.choice([0.0, 0.002, 0.05])
            self.pending.append((at, self.random.randrange(1 << 30), call))
        self.calls_seen = len(self.world.calls)

    def run_due_steps(self) -> None:
        now = self.world.clock()
        due = [item for item in self.pending if item[0] <= now]
        self.pending = [item for item in self.pending if item[0] > now]
        for _, seed, call in due:
            if not call.cancelled:
                self.server_step(call, Random(seed + self.steps[id(call)]))

    def server_step(self, call: ScriptedCall, random: Random) -> None:
        """Performs one action of a server on a request."""
        request = self.by_id[call.field(b"cypresswinch-attempt-id") or b""]
        number = self.steps[id(call)]
        self.steps[id(call)] += 1
        if number == 0:
            self.first_step(call, request, random)
        elif request.kind in STREAMS:
            self.stream_step(call, request, random)
        else:
            self.plain_step(call, random)

    def first_step(self, call: ScriptedCall, request: ClientRequest, random: Random) -> None:
        """The request arrives, or it fails to."""
        behaviour = random.choice(["unreached", "full", "misplaced", "broken", "run", "run", "run", "silent"])
        if behaviour == "unreached":
            call.fail(Failure.CONNECT_FAILED)
            return
        if not call.write():
            return
        if behaviour == "full":
            call.answer(503, NOT_EXECUTED)
        elif behaviour == "misplaced":
            call.answer(421)
        else:
            request.ran += 1
            if behaviour == "broken":
                call.fail(random.choice([Failure.BROKEN, Failure.SPOILT]))
            elif behaviour == "run":
                self.schedule_step(call, random)

    def plain_step(self, call: ScriptedCall, random: Random) -> None:
        behaviour = random.choice(["good", "good", "error", "cut", "unstamped"])
        if behaviour == "good":
            call.answer(200, SIGNED, body=b"whole")
        elif behaviour == "error":
            call.answer(500, SIGNED, body=b"error")
        elif behaviour == "cut":
            call.head(200, SIGNED, length=5)
            call.data(b"who")
            call.fail(Failure.BROKEN)
        else:
            call.head(200, length=5)

    def stream_step(self, call: ScriptedCall, request: ClientRequest, random: Random) -> None:
        """Sends the next event, or a part of it followed by a reset."""
        if id(call) not in self.last_events:
            self.last_events[id(call)] = int(call.field(b"last-event-id") or b"0")
            call.head(200, SIGNED, EVENTS)
        next_event = self.last_events[id(call)] + 1
        if next_event > LAST_EVENT:
            call.end()
            return
        if random.random() < 0.12:
            whole = event(next_event)
            call.data(whole[: random.randrange(len(whole))])
            call.fail(Failure.BROKEN)
            return
        call.data(event(next_event))
        self.last_events[id(call)] = next_event
        self.schedule_step(call, random)

    def schedule_step(self, call: ScriptedCall, random: Random) -> None:
        at = self.world.clock() + random.choice([0.001, 0.02, 0.1])
        self.pending.append((at, random.randrange(1 << 30), call))

    def record_answers(self) -> None:
        for request in self.requests:
            if request.answered_at is None and request.exchange.done:
                request.answered_at = self.world.clock()


@pytest.mark.parametrize("seed", range(150))
def test_what_clients_were_promised_holds(seed: int) -> None:
    run = RandomFaultRun(seed)
    run.execute()
    assert run.world.router.in_flight == 0
    whole = b"".join(event(number) for number in range(1, LAST_EVENT + 1))
    for request in run.requests:
        exchange = request.exchange
        assert exchange.done
        assert request.answered_at is not None
        assert request.answered_at - request.arrived_at <= (DEADLINE_MS + GRACE_MS + STEP_MS) / 1000
        assert request.ran <= ATTEMPTS[request.kind], "more servers than attempts"
        if request.kind not in REPEATABLE:
            assert request.ran <= 1, "ran twice"
        if exchange.status in (408, 421, 429, 503):
            assert request.ran == 0, "answered as not executed, but it ran"
            assert exchange.field(SIGNED[0]) is None
        if exchange.status == 200 and request.kind in STREAMS:
            assert whole.startswith(exchange.body) or request.kind == "talk"
            assert exchange.body == whole or not exchange.ended, "an incomplete stream looks complete"
        elif exchange.status == 200:
            assert exchange.body == b"whole"
        if exchange.status == 500:
            assert exchange.field(SIGNED[0]) is not None
    for call in run.world.calls:
        request = run.by_id[call.field(b"cypresswinch-attempt-id") or b""]
        finished = call.cancelled or not run.steps[id(call)] or request.exchange.done
        assert finished


def test_random_faults_reach_every_outcome() -> None:
    """Guards the test above, which would prove nothing if its servers never failed, or always did."""
    outcomes: dict[str, set[object]] = defaultdict(set)
    for seed in range(60):
        run = RandomFaultRun(seed)
        run.execute()
        for request in run.requests:
            outcomes[request.kind].add(request.exchange.status)
            outcomes[request.kind].add("aborted" if request.exchange.aborted else "not aborted")
            outcomes["runs"].add(request.ran)
    assert {200, 500, 502, 503, 504} <= outcomes["once"]
    assert {200, 500, 502, 503, 504} <= outcomes["again"]
    assert {200, 502, 503, 504, "aborted"} <= outcomes["talk"]
    assert {200, 502, 503, 504, "aborted"} <= outcomes["resume"]
    assert {0, 1, 2, 3} <= outcomes["runs"]
