"""Just enough HTTP/1.1 for the stand-ins: reading and writing messages, and one call on a new connection."""

from __future__ import annotations

import asyncio
import json
from typing import Any


class BrokenOff(Exception):
    """The connection ended before a whole message had arrived."""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Returns first line and headers (names in lower case); None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise BrokenOff("inside a head") from error
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Returns first line, headers and body; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    return head[0], head[1], await read_body(reader, head[1])


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Returns the body that follows a head with these headers."""
    try:
        return await _read_body(reader, headers)
    except asyncio.IncompleteReadError as error:
        raise BrokenOff("inside a body") from error


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a message with Content-Length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: Any = None,
    if_match: str | None = None,
    within_s: float = 1.0,
) -> tuple[int, bytes]:
    """Calls once on a new connection; returns status and body. Raises OSError, BrokenOff or TimeoutError."""
    headers = {
        "Host": f"{address[0]}:{address[1]}",
        "Connection": "close",
        "Content-Type": "application/json",
    }
    if if_match is not None:
        headers["If-Match"] = if_match
    content = b"" if body is None else json.dumps(body).encode()
    async with asyncio.timeout(within_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(message(f"{method} {path} HTTP/1.1", headers, content))
            await writer.drain()
            answer = await read_message(reader)
        finally:
            writer.close()
    if answer is None:
        raise BrokenOff("no answer")
    return int(answer[0].split()[1]), answer[2]
