"""The HTTP API of the control plane for operators and model servers: request routing and HTTP responses.

bottle's router selects the handler coroutine, which runs on the event loop of the server that received the
request. The operations themselves are implemented by a `ControlBackend`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol
from urllib.parse import unquote_to_bytes

import attrs
import bottle

from cloverrouter.control.document import compact
from cloverrouter.control.errors import Invalid, Redirected, Unavailable
from cloverrouter.control.metrics import CONTENT_TYPE, Metric, prometheus_text
from cloverrouter.control.orders import OrderReply
from cloverrouter.control.registration import check_id, read_registration

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_REGISTRATION_BYTES = 64 * 1024
MAX_CONCURRENT_ORDERS = 8
MAX_CONCURRENT_ORDER_BYTES = 2 * MAX_BODY_BYTES  # each order under way is held several times
MAX_CONCURRENT_READS = 2  # the document is held several times on its way from the head
ORDER_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 3.0
RETRY_AFTER_S = 0.5

JSON_TYPE = "application/json"

Headers = list[tuple[bytes, bytes]]

log = logging.getLogger(__name__)


class ControlRequest(Protocol):
    """The parts of an HTTP request that the API reads."""

    @property
    def method(self) -> bytes: ...

    @property
    def target(self) -> bytes:
        """The path and the query."""

    @property
    def body(self) -> bytes: ...

    @property
    def body_size(self) -> int:
        """The length of the body."""

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of the first header field of that name, which is given in lower case."""

    def count(self, name: bytes) -> int:
        """Returns the number of header fields of that name."""


class ControlExchange(Protocol):
    """A request that waits for its response."""

    @property
    def request(self) -> ControlRequest: ...

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends the complete response."""


@attrs.frozen(slots=True)
class RegisterReply:
    """The result of a server's registration."""

    heartbeat_endpoint: str | None = None
    """HOST:PORT where the server should send its heartbeats; None for no preference."""


class ControlBackend(Protocol):
    """The operations behind the API. The coroutines may raise `Unavailable` or `Redirected`."""

    async def order(self, method: str, if_match: str | None, body: bytes) -> OrderReply:
        """Decides on a configuration order. A reply with status 200 means that the change is committed."""

    async def read(self) -> bytes | None:
        """Returns the newest configuration as JSON, or None before the first one."""

    async def register(self, instance_id: str, body: dict[str, Any]) -> RegisterReply:
        """Registers a server. The fields of `body` are already validated."""

    async def withdraw(self, instance_id: str) -> bool:
        """Removes a server from the list of servers. Returns False if the server was not on the list."""

    def instances(self) -> dict[str, Any]:
        """Returns the list of servers as this process knows it."""

    def status(self) -> dict[str, Any]:
        """Returns the state of this process, for operators."""

    def view(self) -> dict[str, Any]:
        """Returns the replica chain and its voters as this process knows them."""

    def history(self) -> list[dict[str, Any]]:
        """Returns the latest changes of the configuration."""

    def trace(self, request_id: str) -> dict[str, Any] | None:
        """Returns the recorded steps of a request, or None if nothing is recorded."""

    def metrics(self) -> Iterable[Metric]:
        """Returns the metrics of this process."""


@attrs.frozen(slots=True)
class Answer:
    """An HTTP response."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def all_headers(self) -> Headers:
        """Returns the header fields, without those for message framing such as Content-Length."""
        return [(b"Content-Type", self.content_type.encode()), *self.headers]


Handler = Callable[..., Awaitable[Answer]]


class ControlApi:
    """Answers the API calls of operators and servers."""

    def __init__(self, backend: ControlBackend) -> None:
        self._backend = backend
        self._concurrent_orders = 0
        self._concurrent_order_bytes = 0
        self._reads = asyncio.Semaphore(MAX_CONCURRENT_READS)
        self._tasks: set[asyncio.Task[None]] = set()
        self._router = bottle.Router()
        for method, rule, handler in self._rules():
            self._router.add(rule, method, handler)

    def _rules(self) -> Iterable[tuple[str, str, Handler]]:
        yield "PUT", "/-/configuration", self._order
        yield "PATCH", "/-/configuration", self._order
        yield "GET", "/-/configuration", self._read
        yield "PUT", "/-/instances/<instance_id>", self._register
        yield "DELETE", "/-/instances/<instance_id>", self._withdraw
        yield "GET", "/-/trace/<request_id>", self._trace
        yield "GET", "/-/metrics", self._metrics
        for name in ("instances", "status", "view", "history"):
            yield "GET", f"/-/{name}", self._report(getattr(self._backend, name))

    def handle(self, exchange: ControlExchange) -> None:
        """Starts a task that answers the exchange."""
        task = asyncio.get_running_loop().create_task(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, exchange: ControlExchange) -> None:
        answer = await self.answer(exchange.request)
        exchange.respond(answer.status, answer.all_headers(), answer.body)

    async def answer(self, request: ControlRequest) -> Answer:
        """Returns the response to a request. Every error is turned into a response."""
        try:
            handler, arguments = self._match_route(request)
            async with asyncio.timeout(ORDER_TIMEOUT_S if handler == self._order else CALL_TIMEOUT_S):
                return await handler(request, **arguments)
        except bottle.HTTPError as error:
            return _failure(error.status_code, error.body, headers=_allow(error))
        except Invalid as error:
            return _json(400, error.body())
        except Redirected as redirect:
            return _failure(307, "ask there", headers=((b"Location", redirect.location.encode()),))
        except (Unavailable, TimeoutError) as error:
            return _unavailable(str(error) or "no answer in time")
        except Exception:
            log.exception("internal error while handling %s %s", request.method, request.target)
            return _failure(500, "an error of the proxy's own; it is in its log")

    def _match_route(self, request: ControlRequest) -> tuple[Handler, dict[str, str]]:
        path = request.target.partition(b"?")[0].decode("latin-1")
        environment = {"REQUEST_METHOD": request.method.decode("latin-1"), "PATH_INFO": path}
        handler, arguments = self._router.match(environment)
        is_registration = handler == self._register
        _check_size(request, MAX_REGISTRATION_BYTES if is_registration else MAX_BODY_BYTES)
        return handler, {name: _decode_segment(value) for name, value in (arguments or {}).items()}

    async def _order(self, request: ControlRequest) -> Answer:
        # The status is 503, not a refusal: the order may be a retry of one that was already accepted.
        size = request.body_size
        is_too_much = self._concurrent_order_bytes + size > MAX_CONCURRENT_ORDER_BYTES
        if is_too_much or self._concurrent_orders >= MAX_CONCURRENT_ORDERS:
            raise Unavailable(f"{self._concurrent_orders} orders are under way")
        if request.count(b"if-match") > 1:
            raise bottle.HTTPError(400, "more than one If-Match: an order builds on one version")
        match = request.header(b"if-match")
        if_match = None if match is None else match.decode("latin-1")
        self._concurrent_orders += 1
        self._concurrent_order_bytes += size
        try:
            reply = await self._backend.order(request.method.decode("latin-1"), if_match, request.body)
        finally:
            self._concurrent_orders -= 1
            self._concurrent_order_bytes -= size
        return Answer(reply.status, reply.body)

    async def _read(self, request: ControlRequest) -> Answer:
        async with self._reads:
            document = await self._backend.read()
        if document is None:
            return _failure(404, "there is no configuration yet")
        return Answer(200, document)

    async def _register(self, request: ControlRequest, instance_id: str) -> Answer:
        fields = read_registration(instance_id, request.body)
        reply = await self._backend.register(instance_id, fields)
        endpoint = reply.heartbeat_endpoint
        return _json(200, {} if endpoint is None else {"heartbeat-endpoint": endpoint})

    async def _withdraw(self, request: ControlRequest, instance_id: str) -> Answer:
        check_id(instance_id)
        return _json(200, {"known": await self._backend.withdraw(instance_id)})

    async def _trace(self, request: ControlRequest, request_id: str) -> Answer:
        found = self._backend.trace(request_id)
        return _failure(404, "nothing is remembered of that request") if found is None else _json(200, found)

    async def _metrics(self, request: ControlRequest) -> Answer:
        return Answer(200, prometheus_text(self._backend.metrics()), CONTENT_TYPE)

    @staticmethod
    def _report(report: Callable[[], Any]) -> Handler:
        async def handler(request: ControlRequest) -> Answer:
            return _json(200, report())

        return handler


def _decode_segment(segment: str) -> str:
    """Returns a path segment, given as Latin-1, as text. Bytes that are not UTF-8 become lone surrogates, so
    that different segments stay different."""
    return unquote_to_bytes(segment.encode("latin-1")).decode("utf-8", "surrogateescape")


def _check_size(request: ControlRequest, max_bytes: int) -> None:
    if request.body_size > max_bytes:
        raise bottle.HTTPError(413, f"the body has more than {max_bytes} bytes")


def _json(status: int, body: Any, headers: tuple[tuple[bytes, bytes], ...] = ()) -> Answer:
    return Answer(status, compact(body).encode("ascii"), headers=headers)


def _failure(status: int, text: str, headers: tuple[tuple[bytes, bytes], ...] = ()) -> Answer:
    return _json(status, {"error-message": text}, headers)


def _unavailable(text: str) -> Answer:
    return _failure(503, text, headers=((b"Retry-After", b"%g" % RETRY_AFTER_S),))


def _allow(error: bottle.HTTPError) -> tuple[tuple[bytes, bytes], ...]:
    methods = error.get_header("Allow")
    return () if methods is None else ((b"Allow", methods.encode()),)
