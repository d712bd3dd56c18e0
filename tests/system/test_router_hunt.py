"""Random servers against the data plane: whatever they do, what the clients were promised holds.

Each server that gets a request draws how it behaves; after each run the test compares what clients got with
what servers ran.
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
class Ask:
    """A request of a client, and what servers did with it."""

    kind: str
    exchange: ScriptedExchange
    asked_at: float
    ran: int = 0
    answered_at: float | None = None


class Hunt:
    """One run: random requests and random servers for a few simulated seconds."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.world = World().set_up(servers=5)
        self.world.budget.left = self.random.choice([0, 5, 1000])
        self.asks: list[Ask] = []
        self.by_id: dict[bytes, Ask] = {}
        self.seen = 0
        self.pending: list[tuple[float, int, ScriptedCall]] = []
        self.steps: dict[int, int] = defaultdict(int)
        self.places: dict[int, int] = {}

    def run(self) -> None:
        for _ in range(600):
            draw = self.random.random()
            if draw < 0.1 and len(self.asks) < 40:
                self.ask()
            elif draw < 0.11:
                self.leave()
            elif draw < 0.115:
                self.drain()
            self.take_up_calls()
            self.serve()
            self.world.clock.pass_ms(self.random.choice([1, 3, 10, STEP_MS]))
            self.note_answers()
        for _ in range((DEADLINE_MS + GRACE_MS) // STEP_MS + 1):
            self.world.clock.pass_ms(STEP_MS)
            self.note_answers()

    def ask(self) -> None:
        kind = self.random.choice(list(ATTEMPTS))
        exchange = self.world.ask(f"/{kind}/x", (b"cypresswinch-prompt-prefix", b"aa:10,bb:5,cc:1"))
        ask = Ask(kind, exchange, self.world.clock())
        self.asks.append(ask)
        self.by_id[exchange.request.header(b"cypresswinch-attempt-id") or b""] = ask

    def leave(self) -> None:
        waiting = [ask for ask in self.asks if not ask.exchange.done]
        if waiting:
            self.random.choice(waiting).exchange.leave()

    def drain(self) -> None:
        service = self.random.choice(["desk", "model"])
        self.world.router.servers_changed([self.world.server(service, self.random.randrange(4), ready=False)])

    def take_up_calls(self) -> None:
        for call in self.world.calls[self.seen :]:
            at = self.world.clock() + self.random.choice([0.0, 0.002, 0.05])
            self.pending.append((at, self.random.randrange(1 << 30), call))
        self.seen = len(self.world.calls)

    def serve(self) -> None:
        now = self.world.clock()
        due = [item for item in self.pending if item[0] <= now]
        self.pending = [item for item in self.pending if item[0] > now]
        for _, seed, call in due:
            if not call.cancelled:
                self.step(call, Random(seed + self.steps[id(call)]))

    def step(self, call: ScriptedCall, random: Random) -> None:
        """One thing that a server does with a request."""
        ask = self.by_id[call.field(b"cypresswinch-attempt-id") or b""]
        number = self.steps[id(call)]
        self.steps[id(call)] += 1
        if number == 0:
            self.first_step(call, ask, random)
        elif ask.kind in STREAMS:
            self.stream_step(call, ask, random)
        else:
            self.plain_step(call, random)

    def first_step(self, call: ScriptedCall, ask: Ask, random: Random) -> None:
        """The request arrives, or it doesn't."""
        fate = random.choice(["unreached", "full", "misplaced", "broken", "run", "run", "run", "silent"])
        if fate == "unreached":
            call.fail(Failure.CONNECT_FAILED)
            return
        if not call.write():
            return
        if fate == "full":
            call.answer(503, NOT_EXECUTED)
        elif fate == "misplaced":
            call.answer(421)
        else:
            ask.ran += 1
            if fate == "broken":
                call.fail(random.choice([Failure.BROKEN, Failure.SPOILT]))
            elif fate == "run":
                self.again(call, random)

    def plain_step(self, call: ScriptedCall, random: Random) -> None:
        fate = random.choice(["good", "good", "error", "cut", "unstamped"])
        if fate == "good":
            call.answer(200, SIGNED, body=b"whole")
        elif fate == "error":
            call.answer(500, SIGNED, body=b"error")
        elif fate == "cut":
            call.head(200, SIGNED, length=5)
            call.data(b"who")
            call.fail(Failure.BROKEN)
        else:
            call.head(200, length=5)

    def stream_step(self, call: ScriptedCall, ask: Ask, random: Random) -> None:
        """Send the next event, or half of it and a reset."""
        if id(call) not in self.places:
            self.places[id(call)] = int(call.field(b"last-event-id") or b"0")
            call.head(200, SIGNED, EVENTS)
        place = self.places[id(call)] + 1
        if place > LAST_EVENT:
            call.end()
            return
        if random.random() < 0.12:
            whole = event(place)
            call.data(whole[: random.randrange(len(whole))])
            call.fail(Failure.BROKEN)
            return
        call.data(event(place))
        self.places[id(call)] = place
        self.again(call, random)

    def again(self, call: ScriptedCall, random: Random) -> None:
        at = self.world.clock() + random.choice([0.001, 0.02, 0.1])
        self.pending.append((at, random.randrange(1 << 30), call))

    def note_answers(self) -> None:
        for ask in self.asks:
            if ask.answered_at is None and ask.exchange.done:
                ask.answered_at = self.world.clock()


@pytest.mark.parametrize("seed", range(150))
def test_what_clients_were_promised_holds(seed: int) -> None:
    hunt = Hunt(seed)
    hunt.run()
    assert hunt.world.router.in_flight == 0
    whole = b"".join(event(number) for number in range(1, LAST_EVENT + 1))
    for ask in hunt.asks:
        exchange = ask.exchange
        assert exchange.done
        assert ask.answered_at is not None
        assert ask.answered_at - ask.asked_at <= (DEADLINE_MS + GRACE_MS + STEP_MS) / 1000
        assert ask.ran <= ATTEMPTS[ask.kind], "more servers than attempts"
        if ask.kind not in REPEATABLE:
            assert ask.ran <= 1, "ran twice"
        if exchange.status in (408, 421, 429, 503):
            assert ask.ran == 0, "a promise was broken"
            assert exchange.field(SIGNED[0]) is None
        if exchange.status == 200 and ask.kind in STREAMS:
            assert whole.startswith(exchange.body) or ask.kind == "talk"
            assert exchange.body == whole or not exchange.ended, "a part looks whole"
        elif exchange.status == 200:
            assert exchange.body == b"whole"
        if exchange.status == 500:
            assert exchange.field(SIGNED[0]) is not None
    for call in hunt.world.calls:
        ask = hunt.by_id[call.field(b"cypresswinch-attempt-id") or b""]
        finished = call.cancelled or not hunt.steps[id(call)] or ask.exchange.done
        assert finished


def test_the_hunt_meets_every_end() -> None:
    """The test above would prove nothing if its servers were too kind, or too bad."""
    met: dict[str, set[object]] = defaultdict(set)
    for seed in range(60):
        hunt = Hunt(seed)
        hunt.run()
        for ask in hunt.asks:
            met[ask.kind].add(ask.exchange.status)
            met[ask.kind].add("aborted" if ask.exchange.aborted else "not aborted")
            met["runs"].add(ask.ran)
    assert {200, 500, 502, 503, 504} <= met["once"]
    assert {200, 500, 502, 503, 504} <= met["again"]
    assert {200, 502, 503, 504, "aborted"} <= met["talk"]
    assert {200, 502, 503, 504, "aborted"} <= met["resume"]
    assert {0, 1, 2, 3} <= met["runs"]
