"""The parsers of the server and the client, fed by hand: no socket, no loop."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import pairwise
from typing import Any, cast

from cloverrouter.http.answer import Call
from cloverrouter.http.request import Request, RequestReader, ServerLimits
from cloverrouter.http.upstream import UpstreamConnection
from tests.system.peers import Answered


def chunked(pieces: list[bytes]) -> bytes:
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces if piece) + b"0\r\n\r\n"


def cut(message: bytes, places: Iterable[int]) -> list[bytes]:
    ends = sorted({place % (len(message) + 1) for place in places} | {0, len(message)})
    return [message[start:end] for start, end in pairwise(ends)]


def read(pieces: list[bytes], limits: ServerLimits | None = None) -> tuple[list[Request], int]:
    reader = RequestReader(limits or ServerLimits(), lambda: 0.0)
    for piece in pieces:
        reader.feed(memoryview(piece))
        if reader.error:
            break
    reader.close()
    return list(reader.ready), reader.error


class FakeTransport:
    """Takes what is written, and notes its end."""

    def __init__(self) -> None:
        self.ended = False

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def write(self, data: bytes) -> None: ...

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        self.ended = True


class FakeOwner:
    """A pool that keeps every connection."""

    idle_timeout_s = 60.0

    def __init__(self) -> None:
        self.buffer = memoryview(bytearray(64 * 1024))
        self.connections: set[object] = set()
        self.kept = 0

    def put(self, connection: object) -> None:
        self.kept += 1


class FakePool:
    address = ("127.0.0.1", 1)

    def forget(self, connection: object) -> None: ...


def answered_by(pieces: list[bytes], expected_id: bytes = b"") -> tuple[Answered, FakeOwner]:
    """What a call is told of an answer that comes in these pieces, and an orderly end behind them."""
    owner, answered, transport = FakeOwner(), Answered(), FakeTransport()
    connection = UpstreamConnection(cast(Any, owner), cast(Any, FakePool()), cast(Any, None))
    connection.connection_made(cast(Any, transport))
    connection.send(Call(b"POST / HTTP/1.1\r\n\r\n", answered, expected_id, b"x-id"))
    for piece in pieces:
        if transport.ended:
            break
        owner.buffer[: len(piece)] = piece
        connection.buffer_updated(len(piece))
    if not transport.ended:
        connection.eof_received()
    connection.connection_lost(None)
    assert answered.told.count("end") + answered.told.count("failure") == 1
    assert answered.told[-1] in ("end", "failure")
    return answered, owner
