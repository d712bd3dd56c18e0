"""Minimal HTTP/1.1 for the test doubles: heads, bodies and event streams over asyncio streams."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Iterable, Mapping
from typing import Any

import attrs

from cloverrouter.errors import CypresswinchError
from cloverrouter.lab.fleet.contract import Event

HEAD_LIMIT_BYTES = 64 * 1024
CHUNK_SIZE_LINE_BYTES = 1024


class WireError(CypresswinchError):
    """The peer sent malformed HTTP/1.1 or a malformed body."""


class ConnectionCut(WireError):
    """The connection closed inside a message."""


@attrs.frozen(slots=True)
class Head:
    """First line and headers of a request or an answer. Header names are case-insensitive."""

    first: tuple[str, str, str]
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str, default: str = "") -> str:
        """Returns the first value of a header, or the default."""
        lower = name.lower()
        return next((value for key, value in self.headers if key.lower() == lower), default)

    def has(self, name: str) -> bool:
        """Returns whether the header is present."""
        return any(key.lower() == name.lower() for key, _ in self.headers)

    @property
    def status(self) -> int:
        """Returns the status code of an answer."""
        return int(self.first[1])

    @property
    def closes(self) -> bool:
        """Returns whether the sender closes the connection after this message."""
        return "close" in self.get("Connection").lower()


def render(first: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    """Returns a whole message. The caller adds the headers that delimit the body."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def render_chunk(data: bytes) -> bytes:
    """Returns one chunk of a chunked body; empty data gives the last chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Returns the next head, or None if the connection closed before its first byte. Raises WireError."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ConnectionCut("the connection ended inside a head") from error
    except asyncio.LimitOverrunError as error:
        raise WireError("a message head is too long") from error
    lines = raw[:-4].decode("latin-1").split("\r\n")
    words = lines[0].split(" ", 2)
    if len(words) < 2:
        raise WireError(f"invalid start line: {lines[0][:80]!r}")
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon:
            raise WireError(f"invalid header line: {line[:80]!r}")
        headers.append((name, value.strip()))
    return Head((words[0], words[1], words[2] if len(words) > 2 else ""), tuple(headers))


async def body_parts(reader: asyncio.StreamReader, head: Head, is_answer: bool) -> AsyncIterator[bytes]:
    """Yields the body in pieces, as received. Raises ConnectionCut if it is incomplete."""
    try:
        if "chunked" in head.get("Transfer-Encoding").lower():
            async for part in _chunks(reader):
                yield part
        elif head.has("Content-Length"):
            async for part in _counted(reader, int(head.get("Content-Length"))):
                yield part
        elif is_answer and head.status >= 200 and head.status not in (204, 304):
            while part := await reader.read(64 * 1024):
                yield part
    except (asyncio.IncompleteReadError, OSError) as error:
        raise ConnectionCut("the connection ended inside a body") from error
    except (ValueError, asyncio.LimitOverrunError) as error:
        raise WireError(f"malformed body: {error}") from error


async def _chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    while True:
        line = await reader.readuntil(b"\r\n")
        if len(line) > CHUNK_SIZE_LINE_BYTES:
            raise WireError("a chunk's size line is too long")
        size = int(line.split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass  # trailers are ignored
            return
        yield await reader.readexactly(size)
        if await reader.readexactly(2) != b"\r\n":
            raise WireError("a chunk is not followed by CRLF")


async def _counted(reader: asyncio.StreamReader, length: int) -> AsyncIterator[bytes]:
    remaining = length
    while remaining:
        part = await reader.read(min(remaining, 64 * 1024))
        if not part:
            raise ConnectionCut("the connection ended inside a body")
        remaining -= len(part)
        yield part


async def read_body(reader: asyncio.StreamReader, head: Head, is_answer: bool) -> bytes:
    """Returns the whole body. Raises ConnectionCut or WireError."""
    return b"".join([part async for part in body_parts(reader, head, is_answer)])


def render_event(event: Event) -> bytes:
    """Returns an event in `text/event-stream` format."""
    return f"id: {event.event_id}\ndata: {event.data}\n\n".encode()


class EventParser:
    """Parses events from the bytes of a `text/event-stream` body, split anywhere."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events completed by this data."""
        *blocks, self._pending = (self._pending + data).split(b"\n\n")
        return [self._event(block) for block in blocks if block.strip()]

    @property
    def has_partial_event(self) -> bool:
        """Returns whether an incomplete event is pending."""
        return bool(self._pending.strip())

    @staticmethod
    def _event(block: bytes) -> Event:
        fields: dict[str, str] = {}
        for line in block.decode("utf-8", "replace").split("\n"):
            name, _, value = line.partition(":")
            fields[name] = value.removeprefix(" ")
        try:
            return Event(int(fields["id"]), fields.get("data", ""))
        except (KeyError, ValueError) as error:
            raise WireError(f"no event: {block[:80]!r}") from error


@attrs.frozen(slots=True)
class Answer:
    """A complete answer to a control call."""

    status: int
    head: Head
    body: bytes

    def json(self) -> Any:
        """Returns the body parsed as JSON. Raises WireError."""
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise WireError(f"invalid JSON body: {self.body[:80]!r}") from error


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection to `host:port`. Raises OSError."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port), limit=HEAD_LIMIT_BYTES)


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 1.0,
) -> Answer:
    """Makes one call over a new connection. `body` is sent as JSON, bytes unchanged.

    Raises OSError, WireError or TimeoutError.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await connect(address)
        try:
            raw = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
            lines = [("Host", address), ("Connection", "close"), ("Content-Length", str(len(raw)))]
            if body is not None:
                lines.append(("Content-Type", "application/json"))
            lines.extend((headers or {}).items())
            writer.write(render(f"{method} {path} HTTP/1.1", lines, raw))
            head = await read_head(reader)
            if head is None:
                raise ConnectionCut("the connection closed without an answer")
            return Answer(head.status, head, await read_body(reader, head, is_answer=True))
        finally:
            writer.close()
