"""Clients: they ask, read answers and streams, retry as the contract lets them, and tell the judge all."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from cloverrouter.lab.fleet.contract import PROMISES, Event, subject_of
from cloverrouter.lab.fleet.judge import AnswerSeen, Ask, Judge, Request
from cloverrouter.lab.fleet.load import Draws, Kind, Wish
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

FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})  # never asked again
CONNECT_S = 1.0
RETRY_PAUSE_S = 0.05
MOST_KEPT = 8  # connections kept by a client, each for later requests

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Frontends(Protocol):
    """Who says where new connections go."""

    def frontend(self, zone: str) -> str:
        """The address for a new connection from this zone."""
        ...


@attrs.define(slots=True)
class Try:
    """How one try went."""

    status: int | None = None
    head: Head | None = None
    events: list[Event] = attrs.field(factory=list)
    body: bytes = b""
    whole: bool = False
    was_sent: bool = False
    was_cut: bool = False
    first_event_at: float | None = None

    @property
    def served(self) -> bool:
        return self.whole and self.status is not None and 200 <= self.status < 300

    @property
    def retry_after_s(self) -> float:
        text = self.head.get("Retry-After") if self.head is not None else ""
        try:
            return max(0.0, float(text)) if text else 0.0
        except ValueError:
            return 0.0


class Client:
    """One client in one zone, with some connections that it keeps. `clock` gives seconds.

    `is_stubborn`: it goes on using its connections whatever answers say of their end.
    """

    def __init__(
        self,
        zone: str,
        platform: Frontends,
        draws: Draws,
        judge: Judge,
        clock: Callable[[], float],
        is_stubborn: bool = False,
    ) -> None:
        self.zone = zone
        self._is_stubborn = is_stubborn
        self._platform = platform
        self._draws = draws
        self._judge = judge
        self._clock = clock
        self._kept: list[Stream] = []

    async def ask(self, kind: Kind) -> None:
        """One wish with all its tries."""
        wish = self._draws.wish(kind)
        ask_id = self._draws.attempt_id()
        ask = Ask(kind.name, self._clock(), kind.resumable, kind.owed)
        self._judge.ask_begins(ask_id, ask)
        deadline = ask.asked_at + kind.deadline_ms / 1000
        events: list[Event] = []
        for number in range(kind.retries + 1):
            tried = await self._one_try(wish, ask_id, deadline, len(events), is_first=number == 0)
            events.extend(tried.events)
            ask.first_at = ask.first_at or tried.first_event_at
            left = deadline - self._clock()
            if tried.served or left <= 0 or not _may_retry(kind, tried):
                break
            await asyncio.sleep(min(left / 3, max(RETRY_PAUSE_S, tried.retry_after_s)))

    def close(self) -> None:
        for _, writer in self._kept:
            writer.close()
        self._kept.clear()

    async def _one_try(
        self, wish: Wish, ask_id: str, deadline: float, events_before: int, is_first: bool
    ) -> Try:
        attempt_id = self._draws.attempt_id()
        kind = wish.kind
        subject = subject_of("POST", wish.path, wish.body)
        request = Request(
            attempt_id=attempt_id,
            ask=ask_id,
            route=kind.route,
            backends=kind.backends,
            tenant=wish.tenant.name,
            idempotent=kind.idempotent or kind.resumable,
            subject=subject,
            sent_at=self._clock(),
            first_event=events_before + 1,
            tokens=sum(wish.tokens),
            zone=self.zone,
        )
        self._judge.request_sent(request)
        tried = Try()
        try:
            async with asyncio.timeout(max(0.01, deadline - self._clock())):
                await self._send_and_read(wish, attempt_id, deadline, events_before, is_first, tried)
        except TimeoutError:
            pass
        except (OSError, WireError):
            tried.was_cut = tried.was_sent
        stamp = tried.head.get("Cypresswinch-Server-Signature") if tried.head is not None else ""
        self._judge.answer_came(
            attempt_id,
            AnswerSeen(
                status=tried.status,
                stamp=stamp,
                body=tried.body,
                events=tuple(tried.events),
                whole=tried.whole,
                is_stream=kind.streaming,
                ended_at=self._clock(),
                was_cut=tried.was_cut,
            ),
        )
        return tried

    async def _send_and_read(
        self, wish: Wish, attempt_id: str, deadline: float, events_before: int, is_first: bool, tried: Try
    ) -> None:
        stream = await self._connection(may_reuse=is_first)
        reader, writer = stream
        keeps = False
        try:
            left_ms = max(1, int((deadline - self._clock()) * 1000))
            writer.write(_request_bytes(wish, attempt_id, left_ms, events_before))
            tried.was_sent = True
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                tried.was_cut = True
                return
            tried.head, tried.status = head, head.status
            await self._read_body(reader, head, wish.kind.streaming, tried)
            tried.whole = True
            keeps = (self._is_stubborn or not head.closes) and len(self._kept) < MOST_KEPT
        finally:
            if keeps:
                self._kept.append(stream)
            else:
                writer.close()

    async def _read_body(self, reader: asyncio.StreamReader, head: Head, streaming: bool, tried: Try) -> None:
        if not (streaming and head.status == 200):
            tried.body = b"".join([part async for part in body_parts(reader, head, is_answer=True)])
            return
        parser = EventParser()
        async for part in body_parts(reader, head, is_answer=True):
            for event in parser.feed(part):
                tried.first_event_at = tried.first_event_at or self._clock()
                tried.events.append(event)
        if parser.holds_part:
            raise WireError("the stream ended inside an event")

    async def _connection(self, may_reuse: bool) -> Stream:
        """A kept connection that is still open, or a new one."""
        while may_reuse and self._kept:
            reader, writer = self._kept.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
            writer.close()
        async with asyncio.timeout(CONNECT_S):
            return await connect(self._platform.frontend(self.zone))


def _request_bytes(wish: Wish, attempt_id: str, left_ms: int, events_before: int) -> bytes:
    headers = [
        ("Host", wish.kind.host),
        ("Cypresswinch-Attempt-Id", attempt_id),
        ("Cypresswinch-Deadline-Ms", str(left_ms)),
        ("Authorization", f"Bearer {wish.key}"),
        ("Cypresswinch-Tenant", "somebody-else"),  # the fleet's own word counts, never a client's
    ]
    if wish.kind.streaming:
        headers.append(("Cypresswinch-Model", "m"))
        headers.append(("Cypresswinch-Token-Usage", f"{wish.tokens[0]},{wish.tokens[1]}"))
        headers.append(("Cypresswinch-Prompt-Prefix", wish.prefix))
    if events_before:
        headers.append(("Last-Event-Id", str(events_before)))
    first = f"POST {wish.path} HTTP/1.1"
    if not wish.in_chunks:
        return render(first, [*headers, ("Content-Length", str(len(wish.body)))], wish.body)
    middle = len(wish.body) // 2
    body = render_chunk(wish.body[:middle]) + render_chunk(wish.body[middle:]) + render_chunk(b"")
    return render(first, [*headers, ("Transfer-Encoding", "chunked")], body)


def _may_retry(kind: Kind, tried: Try) -> bool:
    """Whether the contract lets a client ask again after such a try."""
    if tried.status in FINAL_STATUSES:
        return False
    if kind.idempotent or kind.resumable:
        return True
    return tried.status in PROMISES or not tried.was_sent
