"""Clients: send requests, read answers, retry as the contract allows, and report all to the judge."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from cloverrouter.lab.fleet.contract import NOT_EXECUTED_STATUSES, Event, subject_of
from cloverrouter.lab.fleet.judge import Judge, ObservedAnswer, Operation, Request
from cloverrouter.lab.fleet.load import LoadGenerator, RequestKind, RequestTemplate
from cloverrouter.lab.fleet.wire import (
    EventParser,
    Head,
    WireError,
    body_parts,
    connect,
    read_head,
    render,
    render_chunk,
)

FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})  # never retried
CONNECT_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.05
MAX_IDLE_CONNECTIONS = 8  # idle keep-alive connections per client

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Frontends(Protocol):
    """Selects the frontend for a new connection."""

    def frontend(self, zone: str) -> str:
        """Returns the address for a new connection from this zone."""
        ...


@attrs.define(slots=True)
class Attempt:
    """The outcome of one attempt. Times in seconds."""

    status: int | None = None
    head: Head | None = None
    events: list[Event] = attrs.field(factory=list)
    body: bytes = b""
    is_complete: bool = False
    was_sent: bool = False
    was_interrupted: bool = False
    first_event_at: float | None = None

    @property
    def served(self) -> bool:
        """Returns whether a complete 2xx answer was received."""
        return self.is_complete and self.status is not None and 200 <= self.status < 300

    @property
    def retry_after_s(self) -> float:
        """Returns the answer's Retry-After in seconds, or 0."""
        text = self.head.get("Retry-After") if self.head is not None else ""
        try:
            return max(0.0, float(text)) if text else 0.0
        except ValueError:
            return 0.0


class Client:
    """One client in one zone, with a pool of keep-alive connections. `clock` returns seconds.

    `ignores_close`: it keeps using a connection after an answer with `Connection: close`.
    """

    def __init__(
        self,
        zone: str,
        platform: Frontends,
        generator: LoadGenerator,
        judge: Judge,
        clock: Callable[[], float],
        ignores_close: bool = False,
    ) -> None:
        self.zone = zone
        self._ignores_close = ignores_close
        self._platform = platform
        self._generator = generator
        self._judge = judge
        self._clock = clock
        self._idle_connections: list[Connection] = []

    async def perform(self, kind: RequestKind) -> None:
        """Draws one request of this kind and sends it, with retries until its deadline."""
        template = self._generator.draw_request(kind)
        operation_id = self._generator.attempt_id()
        operation = Operation(kind.name, self._clock(), kind.is_resumable, kind.within_quota)
        self._judge.operation_started(operation_id, operation)
        deadline = operation.started_at + kind.deadline_ms / 1000
        events: list[Event] = []
        for number in range(kind.retries + 1):
            attempt = await self._send_attempt(
                template, operation_id, deadline, len(events), is_first=number == 0
            )
            events.extend(attempt.events)
            operation.first_at = operation.first_at or attempt.first_event_at
            remaining_s = deadline - self._clock()
            if attempt.served or remaining_s <= 0 or not _may_retry(kind, attempt):
                break
            await asyncio.sleep(min(remaining_s / 3, max(RETRY_PAUSE_S, attempt.retry_after_s)))

    def close(self) -> None:
        """Closes all idle connections."""
        for _, writer in self._idle_connections:
            writer.close()
        self._idle_connections.clear()

    async def _send_attempt(
        self,
        template: RequestTemplate,
        operation_id: str,
        deadline: float,
        events_before: int,
        is_first: bool,
    ) -> Attempt:
        attempt_id = self._generator.attempt_id()
        kind = template.kind
        subject = subject_of("POST", template.path, template.body)
        request = Request(
            attempt_id=attempt_id,
            operation_id=operation_id,
            route=kind.route,
            backends=kind.backends,
            tenant=template.tenant.name,
            idempotent=kind.idempotent or kind.is_resumable,
            subject=subject,
            sent_at=self._clock(),
            first_event=events_before + 1,
            tokens=sum(template.tokens),
            zone=self.zone,
        )
        self._judge.request_sent(request)
        attempt = Attempt()
        try:
            async with asyncio.timeout(max(0.01, deadline - self._clock())):
                await self._send_and_read(template, attempt_id, deadline, events_before, is_first, attempt)
        except TimeoutError:
            pass
        except (OSError, WireError):
            attempt.was_interrupted = attempt.was_sent
        signature = attempt.head.get("Cypresswinch-Server-Signature") if attempt.head is not None else ""
        self._judge.answer_received(
            attempt_id,
            ObservedAnswer(
                status=attempt.status,
                signature=signature,
                body=attempt.body,
                events=tuple(attempt.events),
                is_complete=attempt.is_complete,
                is_stream=kind.streaming,
                ended_at=self._clock(),
                was_interrupted=attempt.was_interrupted,
            ),
        )
        return attempt

    async def _send_and_read(
        self,
        template: RequestTemplate,
        attempt_id: str,
        deadline: float,
        events_before: int,
        is_first: bool,
        attempt: Attempt,
    ) -> None:
        connection = await self._connection(may_reuse=is_first)
        reader, writer = connection
        is_reusable = False
        try:
            left_ms = max(1, int((deadline - self._clock()) * 1000))
            writer.write(_request_bytes(template, attempt_id, left_ms, events_before))
            attempt.was_sent = True
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                attempt.was_interrupted = True
                return
            attempt.head, attempt.status = head, head.status
            await self._read_body(reader, head, template.kind.streaming, attempt)
            attempt.is_complete = True
            is_reusable = (self._ignores_close or not head.closes) and len(
                self._idle_connections
            ) < MAX_IDLE_CONNECTIONS
        finally:
            if is_reusable:
                self._idle_connections.append(connection)
            else:
                writer.close()

    async def _read_body(
        self, reader: asyncio.StreamReader, head: Head, streaming: bool, attempt: Attempt
    ) -> None:
        if not (streaming and head.status == 200):
            attempt.body = b"".join([part async for part in body_parts(reader, head, is_answer=True)])
            return
        parser = EventParser()
        async for part in body_parts(reader, head, is_answer=True):
            for event in parser.feed(part):
                attempt.first_event_at = attempt.first_event_at or self._clock()
                attempt.events.append(event)
        if parser.has_partial_event:
            raise WireError("the event stream ended inside an event")

    async def _connection(self, may_reuse: bool) -> Connection:
        """Returns an idle connection that is still open, or a new one."""
        while may_reuse and self._idle_connections:
            reader, writer = self._idle_connections.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
            writer.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return await connect(self._platform.frontend(self.zone))


def _request_bytes(template: RequestTemplate, attempt_id: str, left_ms: int, events_before: int) -> bytes:
    headers = [
        ("Host", template.kind.host),
        ("Cypresswinch-Attempt-Id", attempt_id),
        ("Cypresswinch-Deadline-Ms", str(left_ms)),
        ("Authorization", f"Bearer {template.key}"),
        ("Cypresswinch-Tenant", "somebody-else"),  # the fleet must ignore a tenant named by a client
    ]
    if template.kind.streaming:
        headers.append(("Cypresswinch-Model", "m"))
        headers.append(("Cypresswinch-Token-Usage", f"{template.tokens[0]},{template.tokens[1]}"))
        headers.append(("Cypresswinch-Prompt-Prefix", template.prefix))
    if events_before:
        headers.append(("Last-Event-Id", str(events_before)))
    first = f"POST {template.path} HTTP/1.1"
    if not template.is_chunked:
        return render(first, [*headers, ("Content-Length", str(len(template.body)))], template.body)
    middle = len(template.body) // 2
    body = render_chunk(template.body[:middle]) + render_chunk(template.body[middle:]) + render_chunk(b"")
    return render(first, [*headers, ("Transfer-Encoding", "chunked")], body)


def _may_retry(kind: RequestKind, attempt: Attempt) -> bool:
    """Returns whether the contract allows a retry after this attempt."""
    if attempt.status in FINAL_STATUSES:
        return False
    if kind.idempotent or kind.is_resumable:
        return True
    return attempt.status in NOT_EXECUTED_STATUSES or not attempt.was_sent
