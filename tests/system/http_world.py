"""Feeds bytes to the request and response parsers directly, without sockets or an event loop."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import pairwise
from typing import Any, cast

from cloverrouter.http.call import Call
from cloverrouter.http.request import Request, RequestReader, ServerLimits
from cloverrouter.http.upstream import UpstreamConnection
from tests.system.peers import RecordingListener


def chunked(pieces: list[bytes]) -> bytes:
    """Encodes a body in chunks."""
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces if piece) + b"0\r\n\r\n"


def split_message(message: bytes, offsets: Iterable[int]) -> list[bytes]:
    """Splits a message at the given offsets, taken modulo its length."""
    ends = sorted({offset % (len(message) + 1) for offset in offsets} | {0, len(message)})
    return [message[start:end] for start, end in pairwise(ends)]


def parse_requests(pieces: list[bytes], limits: ServerLimits | None = None) -> tuple[list[Request], int]:
    """Returns the complete requests and the error status, 0 for none, that the pieces give."""
    reader = RequestReader(limits or ServerLimits(), lambda: 0.0)
    for piece in pieces:
        reader.feed(memoryview(piece))
        if reader.error:
            break
    reader.close()
    return list(reader.ready), reader.error


class FakeTransport:
    """Discards what is written and records `abort`."""

    def __init__(self) -> None:
        self.aborted = False

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def write(self, data: bytes) -> None: ...

    def is_closing(self) -> bool:
        return self.aborted

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.aborted = True


class FakeOwner:
    """A pool that counts the connections returned to it."""

    idle_timeout_s = 60.0

    def __init__(self) -> None:
        self.buffer = memoryview(bytearray(64 * 1024))
        self.connections: set[object] = set()
        self.returned_count = 0

    def put(self, connection: object) -> None:
        self.returned_count += 1


class FakePool:
    address = ("127.0.0.1", 1)

    def forget(self, connection: object) -> None: ...


def receive_response(pieces: list[bytes], expected_id: bytes = b"") -> tuple[RecordingListener, FakeOwner]:
    """Returns the events of a call whose response arrives in these pieces, followed by an orderly close."""
    owner, recorder, transport = FakeOwner(), RecordingListener(), FakeTransport()
    connection = UpstreamConnection(cast(Any, owner), cast(Any, FakePool()), cast(Any, None))
    connection.connection_made(cast(Any, transport))
    connection.send(Call(b"POST / HTTP/1.1\r\n\r\n", recorder, expected_id, b"x-id"))
    for piece in pieces:
        if transport.aborted:
            break
        owner.buffer[: len(piece)] = piece
        connection.buffer_updated(len(piece))
    if not transport.aborted:
        connection.eof_received()
    connection.connection_lost(None)
    assert recorder.events.count("end") + recorder.events.count("failure") == 1
    assert recorder.events[-1] in ("end", "failure")
    return recorder, owner
