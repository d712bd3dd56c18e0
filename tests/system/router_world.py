"""A router with a fake clock, a connection pool whose calls the test answers, and exchanges that record
the answers to clients."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any, cast

import attrs

from cloverrouter.control.configuration import Configuration, Engine, Route, Service, Tenant
from cloverrouter.http.body import Blocks, join
from cloverrouter.http.client import Address, Call, CallListener, Failure, Headers
from cloverrouter.http.server import Exchange, Request
from cloverrouter.placement.servers import Server
from cloverrouter.router.bounds import RouterBounds
from cloverrouter.router.router import Router

KEY = b"key-of-a"
SIGNED = (b"cypresswinch-server-signature", b"stamp-1")
NOT_EXECUTED = (b"cypresswinch-not-executed", b"1")
EVENTS = (b"content-type", b"text/event-stream")
CHUNKED = (b"transfer-encoding", b"chunked")


class FakeClock:
    """A clock whose time advances only by `pass_ms`, which fires the timers that are due."""

    def __init__(self) -> None:
        self.now = 1000.0
        self._timers: list[tuple[float, int, FakeTimer]] = []
        self._order = count()

    def __call__(self) -> float:
        return self.now

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> FakeTimer:
        timer = FakeTimer(callback)
        heapq.heappush(self._timers, (self.now + delay_s, next(self._order), timer))
        return timer

    def pass_ms(self, span_ms: float) -> None:
        end = self.now + span_ms / 1000
        while self._timers and self._timers[0][0] <= end:
            self.now, _, timer = heapq.heappop(self._timers)
            if not timer.cancelled:
                timer.callback()
        self.now = end


class FakeTimer:
    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class ScriptedCall:
    """One send, which the test answers in place of the server."""

    def __init__(
        self,
        address: Address,
        message: bytes,
        listener: CallListener,
        refresh: Callable[[], bytes | None] | None,
        body: Blocks,
    ) -> None:
        self.address = address
        self.listener = listener
        self.refresh = refresh
        self.begun = False
        self.written = False
        self.reused = False
        self.cancelled = False
        self.pauses: list[str] = []
        self.message = message
        self.body = join(body)
        self._read(message)

    def _read(self, message: bytes) -> None:
        head, _, _ = message.partition(b"\r\n\r\n")
        self.request_line, *lines = head.split(b"\r\n")
        self.fields = [(name, value) for name, _, value in (line.partition(b": ") for line in lines)]

    def field(self, name: bytes) -> bytes | None:
        values = [value for own, value in self.fields if own == name]
        assert len(values) <= 1, f"{name!r} is repeated"
        return values[0] if values else None

    @property
    def instance(self) -> str:
        return (self.field(b"cypresswinch-expected-instance") or b"").decode()

    # Calls made by the router

    def cancel(self) -> None:
        self.cancelled = True

    def pause(self) -> None:
        self.pauses.append("pause")

    def resume(self) -> None:
        self.pauses.append("resume")

    # Actions of the server

    def begin(self) -> bool:
        """The connection is established: a part of the request goes out if it is still wanted."""
        message = self.refresh() if self.refresh is not None else self.message
        if message is None:
            self.fail(Failure.NOT_SENT)
            return False
        self._read(message)
        self.begun = True
        return True

    def write(self) -> bool:
        """The whole request goes out if it is still wanted."""
        if not self.begun and not self.begin():
            return False
        self.written = True
        self.listener.on_written()
        return True

    def head(self, status: int, *headers: tuple[bytes, bytes], length: int | None = None) -> None:
        if not self.written:
            self.write()
        self.listener.on_head(status, list(headers), length)

    def data(self, data: bytes) -> None:
        if not self.cancelled:
            self.listener.on_data(data)

    def end(self) -> None:
        if not self.cancelled:
            self.listener.on_end()

    def fail(self, failure: Failure) -> None:
        if not self.cancelled:
            self.listener.on_failure(failure)

    def answer(self, status: int, *headers: tuple[bytes, bytes], body: bytes = b"") -> None:
        self.head(status, *headers, length=len(body))
        if body:
            self.data(body)
        self.end()

    def stream(self, *events: bytes) -> None:
        """Sends the head of an event stream and its first events."""
        self.head(200, SIGNED, EVENTS, CHUNKED)
        for event in events:
            self.data(event)


class ScriptedPool:
    def __init__(self) -> None:
        self.calls: list[ScriptedCall] = []
        self.kept_addresses: set[Address] = set()

    def send(
        self,
        address: Address,
        message: bytes,
        listener: CallListener,
        expected_id: bytes = b"",
        id_header: bytes = b"",
        refresh: Callable[[], bytes | None] | None = None,
        body: Blocks = (),
    ) -> Call:
        call = ScriptedCall(address, message, listener, refresh, body)
        assert call.field(id_header) == expected_id
        self.calls.append(call)
        return cast(Call, call)

    def keep_only(self, addresses: set[Address]) -> None:
        self.kept_addresses = addresses

    @property
    def last(self) -> ScriptedCall:
        return self.calls[-1]


class ScriptedExchange:
    """Records what is sent to its client."""

    def __init__(self, request: Request) -> None:
        self.request = request
        self.on_disconnect: Callable[[], None] | None = None
        self.on_pause: Callable[[], None] | None = None
        self.on_resume: Callable[[], None] | None = None
        self.status: int | None = None
        self.headers: Headers = []
        self.body = b""
        self.ended = self.aborted = self.closed = self.left = False
        self.paused = False
        self.held_answer_bytes = 0

    @property
    def done(self) -> bool:
        return self.ended or self.aborted or self.left

    def field(self, name: bytes) -> bytes | None:
        return dict(self.headers).get(name)

    def client_gone(self) -> bool:
        return self.left

    def hold_answer(self, size: int) -> None:
        self.held_answer_bytes = size

    def respond(self, status: int, headers: Headers, body: bytes = b"", close: bool = False) -> None:
        if self.done:
            return
        assert self.status is None
        self.status, self.headers, self.body = status, headers, body
        self.ended, self.closed = True, close

    def begin(self, status: int, headers: Headers, length: int | None) -> None:
        if self.done:
            return
        assert self.status is None
        self.status, self.headers = status, headers

    def write(self, data: bytes) -> None:
        if not self.done:
            assert self.status is not None
            self.body += data

    def end(self) -> None:
        if not self.done:
            assert self.status is not None
            self.ended = True

    def abort(self) -> None:
        if not self.done:
            self.aborted = True

    # Actions of the client

    def leave(self) -> None:
        self.left = True
        if self.on_disconnect is not None:
            self.on_disconnect()


class FakeQuota:
    """Admits everything, unless `waits` holds the next results of `admit`."""

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.taken: list[tuple[str, int]] = []
        self.refunded: list[tuple[str, int]] = []

    def admit(self, tenant: str, tokens: int, now: float, *, again: bool = False) -> float:
        wait = self.waits.pop(0) if self.waits else 0.0
        if not wait:
            self.taken.append((tenant, tokens))
        return wait

    def refund(self, tenant: str, tokens: int) -> None:
        self.refunded.append((tenant, tokens))


class FakeBudget:
    """Counts what is spent, and covers `left` retries."""

    def __init__(self) -> None:
        self.left = 100
        self.spent = 0
        self.earned = 0

    def earn(self, service: str) -> None:
        self.earned += 1

    def spend(self, service: str) -> bool:
        if not self.left:
            return False
        self.left -= 1
        self.spent += 1
        return True


def route(name: str, **changes: Any) -> Route:
    """A non-idempotent route at ``/NAME/`` to the service `desk`."""
    defaults: dict[str, Any] = {
        "name": name,
        "host": "front.example",
        "prefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 200,
        "priority": 1,
        "targets": (("desk", 1),),
        "attempts": 1,
        "anonymous": False,
        "affinity": False,
        "resumable": False,
        "gap_aim_ms": None,
    }
    return Route(**(defaults | changes))


def tenant(name: str, **changes: Any) -> Tenant:
    defaults: dict[str, Any] = {
        "name": name,
        "keys": (f"key-of-{name}",),
        "priority": 1,
        "unit": "token_metering",
        "uncached_tokens": 200,
        "rate_per_s": 1000,
        "burst_size": 1000,
    }
    return Tenant(**(defaults | changes))


ENGINE = Engine(12, 10_000, 45, None, None, ("m",))
CONFIGURATION = Configuration(
    version=3,
    routes=(
        route("once"),
        route("twice", attempts=2),
        route("again", kind="idempotent", attempts=3),
        route("open", anonymous=True),
        route("talk", kind="streaming", targets=(("model", 1),), affinity=True),
        route("resume", kind="streaming", targets=(("model", 1),), affinity=True, resumable=True, attempts=3),
        route("split", targets=(("desk", 1), ("model", 3)), affinity=True),
    ),
    services=(Service("desk", "/health", None, None), Service("model", "/health", None, ENGINE)),
    tenants=(tenant("a"), tenant("b", priority=0)),
)


@attrs.define(slots=True)
class World:
    """A router with three servers for each service."""

    clock: FakeClock = attrs.field(factory=FakeClock)
    pool: ScriptedPool = attrs.field(factory=ScriptedPool)
    quota: FakeQuota = attrs.field(factory=FakeQuota)
    budget: FakeBudget = attrs.field(factory=FakeBudget)
    router: Router = attrs.field(init=False)
    _ids: int = 0

    def __attrs_post_init__(self) -> None:
        self.router = Router(
            self.clock,
            self.clock.call_later,
            Random(7),
            self.pool,
            "east",
            RouterBounds(),
            self.quota,
            self.budget,
        )

    def set_up(self, servers: int = 3) -> World:
        """Configures the router and adds servers."""
        self.router.configure(CONFIGURATION)
        for service in ("desk", "model"):
            self.router.servers_changed([self.server(service, place) for place in range(servers)])
        return self

    def slow_routes(self, timeout_ms: int) -> None:
        """Sets the timeout of all routes."""
        routes = tuple(attrs.evolve(one, timeout_ms=timeout_ms) for one in CONFIGURATION.routes)
        self.router.configure(attrs.evolve(CONFIGURATION, routes=routes))

    def server(self, service: str, place: int, **changes: Any) -> Server:
        defaults: dict[str, Any] = {
            "id": f"{service}-{place}",
            "service": service,
            "address": (f"10.0.{len(service)}.{place}", 80),
            "zone": ("east", "west", "north")[place % 3],
            "capacity": 12,
            "ready": True,
        }
        return Server(**(defaults | changes))

    def ask(
        self,
        path: str,
        *extra_headers: tuple[bytes, bytes],
        method: bytes = b"POST",
        body: bytes = b"question",
        key: bytes | None = KEY,
        host: bytes = b"front.example",
        attempt_id: bytes | None = None,
    ) -> ScriptedExchange:
        """Lets a client's request arrive, and returns its exchange."""
        self._ids += 1
        headers: Headers = [(b"host", host)]
        if attempt_id != b"":
            headers.append((b"cypresswinch-attempt-id", attempt_id or b"try-%d" % self._ids))
        if key is not None:
            headers.append((b"authorization", b"Bearer " + key))
        request = Request(method, path.encode(), headers + list(extra_headers), body, self.clock())
        exchange = ScriptedExchange(request)
        self.router.handle(cast(Exchange, exchange))
        return exchange

    @property
    def calls(self) -> list[ScriptedCall]:
        return self.pool.calls

    @property
    def last(self) -> ScriptedCall:
        return self.pool.last


def event(number: int, text: str = "word") -> bytes:
    return b"id: %d\ndata: %b\n\n" % (number, text.encode())
