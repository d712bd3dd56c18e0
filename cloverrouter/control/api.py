"""The calls of the operator and of servers: which coroutine answers which, and what its outcome is in HTTP.

bottle's router finds the coroutine; it runs on the loop of the server that took the request. What the calls
do is the business of a `ControlBackend`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol
from urllib.parse import unquote

import attrs
import bottle

from cloverrouter.control.document import compact
from cloverrouter.control.errors import Invalid, Redirected, Unavailable
from cloverrouter.control.metrics import CONTENT_TYPE, Figure, prometheus_text
from cloverrouter.control.orders import OrderReply
from cloverrouter.control.registration import check_id, read_registration

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_ORDERS_UNDER_WAY = 8
ORDER_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 3.0
RETRY_AFTER_S = 0.5

JSON_TYPE = "application/json"

Headers = list[tuple[bytes, bytes]]

log = logging.getLogger(__name__)


class ControlRequest(Protocol):
    """What the API reads of a request."""

    @property
    def method(self) -> bytes: ...

    @property
    def target(self) -> bytes:
        """Path and query."""

    @property
    def body(self) -> bytes: ...

    def header(self, name: bytes) -> bytes | None:
        """The value of the first field of that name, in lower case."""

    def count(self, name: bytes) -> int:
        """How many fields of that name there are."""


class ControlExchange(Protocol):
    """A request that waits for its answer."""

    @property
    def request(self) -> ControlRequest: ...

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """The whole answer."""


@attrs.frozen(slots=True)
class RegisterReply:
    """What a server is told after its announcement."""

    heartbeat_endpoint: str | None = None
    """HOST:PORT for later announcements; None for no preference."""


class ControlBackend(Protocol):
    """What the calls do. The coroutines may raise `Unavailable` or `Redirected`."""

    async def order(self, method: str, if_match: str | None, body: bytes) -> OrderReply:
        """Decides on an order; a reply with status 200 says that it is safe."""

    async def read(self) -> bytes | None:
        """The newest configuration as JSON, or None before the first."""

    async def register(self, instance_id: str, body: dict[str, Any]) -> RegisterReply:
        """Takes a server's announcement, whose fields have been checked."""

    async def withdraw(self, instance_id: str) -> bool:
        """Takes a server from the list; false if it was not on it."""

    def instances(self) -> dict[str, Any]:
        """The list of servers as this process knows it."""

    def status(self) -> dict[str, Any]:
        """This process, for people."""

    def view(self) -> dict[str, Any]:
        """The chain and its voters as this process knows them."""

    def history(self) -> list[dict[str, Any]]:
        """The latest changes of the configuration."""

    def trace(self, request_id: str) -> dict[str, Any] | None:
        """What is remembered of a request."""

    def figures(self) -> Iterable[Figure]:
        """The metrics of this process."""


@attrs.frozen(slots=True)
class Answer:
    """What goes back."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def all_headers(self) -> Headers:
        """The fields, without those of the framing."""
        return [(b"Content-Type", self.content_type.encode()), *self.headers]


Handler = Callable[..., Awaitable[Answer]]


class ControlApi:
    """Answers the calls of the operator and of servers."""

    def __init__(self, backend: ControlBackend) -> None:
        self._backend = backend
        self._orders_under_way = 0
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
        """Sees to it that the exchange gets its answer."""
        task = asyncio.get_running_loop().create_task(self._serve(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, exchange: ControlExchange) -> None:
        answer = await self.answer(exchange.request)
        exchange.respond(answer.status, answer.all_headers(), answer.body)

    async def answer(self, request: ControlRequest) -> Answer:
        """The answer to a call; every error has one."""
        try:
            handler, arguments = self._found(request)
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
            log.exception("a call failed: %s %s", request.method, request.target)
            return _failure(500, "an error of the proxy's own; it is in its log")

    def _found(self, request: ControlRequest) -> tuple[Handler, dict[str, str]]:
        path = request.target.partition(b"?")[0].decode("latin-1")
        environment = {"REQUEST_METHOD": request.method.decode("latin-1"), "PATH_INFO": path}
        handler, arguments = self._router.match(environment)
        if len(request.body) > MAX_BODY_BYTES:
            raise bottle.HTTPError(413, f"the body has more than {MAX_BODY_BYTES} bytes")
        return handler, {name: unquote(value) for name, value in (arguments or {}).items()}

    async def _order(self, request: ControlRequest) -> Answer:
        # An order sent again may have been taken, so that it can't be told to be refused for want of room.
        if self._orders_under_way >= MAX_ORDERS_UNDER_WAY:
            raise Unavailable(f"{MAX_ORDERS_UNDER_WAY} orders are under way")
        if request.count(b"if-match") > 1:
            raise bottle.HTTPError(400, "more than one If-Match: an order builds on one version")
        match = request.header(b"if-match")
        if_match = None if match is None else match.decode("latin-1")
        self._orders_under_way += 1
        try:
            reply = await self._backend.order(request.method.decode("latin-1"), if_match, request.body)
        finally:
            self._orders_under_way -= 1
        return Answer(reply.status, reply.body)

    async def _read(self, request: ControlRequest) -> Answer:
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
        return Answer(200, prometheus_text(self._backend.figures()), CONTENT_TYPE)

    @staticmethod
    def _report(report: Callable[[], Any]) -> Handler:
        async def handler(request: ControlRequest) -> Answer:
            return _json(200, report())

        return handler


def _json(status: int, body: Any, headers: tuple[tuple[bytes, bytes], ...] = ()) -> Answer:
    return Answer(status, compact(body).encode("ascii"), headers=headers)


def _failure(status: int, text: str, headers: tuple[tuple[bytes, bytes], ...] = ()) -> Answer:
    return _json(status, {"error-message": text}, headers)


def _unavailable(text: str) -> Answer:
    return _failure(503, text, headers=((b"Retry-After", b"%g" % RETRY_AFTER_S),))


def _allow(error: bottle.HTTPError) -> tuple[tuple[bytes, bytes], ...]:
    methods = error.get_header("Allow")
    return () if methods is None else ((b"Allow", methods.encode()),)
