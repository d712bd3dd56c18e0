"""Fuzz target: server-sent event streams, whose relayed bytes must not depend on how they are split."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any, cast
from zlib import crc32

from cloverrouter.fuzz.mutation import mutate_bytes, split_randomly
from cloverrouter.fuzz.target import expect
from cloverrouter.router.events import EventSplitter, is_after
from cloverrouter.router.relay import StreamRelay

TOKENS = (
    b"\n", b"\r", b"\r\n", b"\n\n", b"\r\r", b"\r\n\r\n", b"\n\r", b"id: 7\n", b"id:8", b"id\n", b"id: \n",
    b"id: x", b"id: " + b"9" * 5000 + b"\n", b"data: a\n", b"data:\n", b":\n", b": id: 9\n",
    b"versions: 3\n", b"\xef\xbb\xbf", b"event: e\n", b"\x00", b"id: \xb2\n", b"id: -1\n", b"id: 1\x00\n",
    b"x" * 3000,
)  # fmt: skip
SEEDS = (
    b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    b"id: 1\r\ndata: a\r\n\r\n: note\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    b"versions: 3\nid: 5\ndata: a\ndata: b\n\ndata: no id\n\nid: 7\ndata: c",
    b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
)
LINE_BREAKS = b"\r\n"


class _Exchange:
    """Fake HTTP exchange whose client accepts all data."""

    def __init__(self) -> None:
        self.status = 0
        self.ended = False
        self.body = b""

    def begin(self, status: int, headers: object, length: int | None) -> None:
        self.status = status

    def write(self, data: bytes) -> None:
        self.body += data

    def end(self) -> None:
        self.ended = True


class EventStreams:
    """A stream relayed from its first byte, and the same stream resumed on another server."""

    description = "event streams of servers: splitting, event ids, resumption"

    def seeds(self) -> Sequence[bytes]:
        return SEEDS

    def mutate(self, data: bytes, random: Random) -> bytes:
        return mutate_bytes(data, random, TOKENS)

    def check(self, data: bytes) -> None:
        random = Random(crc32(data))
        parts = split_randomly(data, random)
        whole, split = _events([data]), _events(parts)
        expect(split == whole, f"split input gives {split}, unsplit input {whole}")
        for resumable in (False, True):
            _check_relay(data, parts, resumable)
        _check_resumed(parts, random)

    def close(self) -> None:
        """Does nothing: the target holds no resources."""


def _events(parts: Sequence[bytes]) -> tuple[list[bytes], bytes, bytes | None, bool]:
    """Returns the events without surrounding line breaks, the remainder, the last id and resumability."""
    splitter, found = EventSplitter(), list[bytes]()
    for part in parts:
        for event in splitter.feed(part):
            splitter.record_forwarded(event)
            found.append(event.strip(LINE_BREAKS))
    return (
        [event for event in found if event],
        splitter.remainder.lstrip(LINE_BREAKS),
        splitter.last_id,
        splitter.resumable,
    )


def _check_relay(data: bytes, parts: Sequence[bytes], resumable: bool) -> None:
    client = _Exchange()
    relay = StreamRelay(cast(Any, client), resumable)
    relay.on_head(200, [], None)
    for part in parts:
        relay.feed(part)
    relay.end()
    expect(client.body == data, "the client receives other bytes than the server sent")
    expect((client.status, client.ended) == (200, True), "the response was not started or not ended")


def _check_resumed(parts: Sequence[bytes], random: Random) -> None:
    """Checks resumption after a stream breaks off at a random piece and is sent again from its beginning.

    The client must not receive an event twice whose id it has already received.
    """
    client = _Exchange()
    relay = StreamRelay(cast(Any, client), resumable=True)
    relay.on_head(200, [], None)
    for part in parts[: random.randrange(len(parts) + 1)]:
        relay.feed(part)
    if not relay.can_continue:
        return
    length_before, last_id = len(client.body), relay.last_id
    relay.on_head(200, [], None)
    for part in parts:
        relay.feed(part)
    first = EventSplitter().feed(client.body[length_before:] + b"\n\n")[:1]
    expect(
        not first or not first[0].strip(LINE_BREAKS) or is_after(first[0], last_id),
        "an event is sent again after the stream is resumed",
    )
