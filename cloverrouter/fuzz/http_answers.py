"""Fuzz target: HTTP responses of servers, as reported to a call and as forwarded to a client."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from random import Random
from typing import Any, cast
from zlib import crc32

import attrs

from cloverrouter.fuzz.mutation import mutate_bytes, split_randomly
from cloverrouter.fuzz.target import expect
from cloverrouter.http.call import Call, Failure
from cloverrouter.http.exchange import BODILESS, Exchange
from cloverrouter.http.fields import Headers, end_to_end
from cloverrouter.http.request import Request
from cloverrouter.http.upstream import UpstreamConnection

REQUEST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
ID_HEADER = b"x-id"
TOKENS = (
    b"\r\n", b"\n", b"\r\n\r\n", b" ", b":", b"\x00", b"Content-Length: 5\r\n", b"Content-Length: 0\r\n",
    b"Content-Length: \r\n", b"Content-Length: +5\r\n", b"Content-Length: " + b"9" * 5000 + b"\r\n",
    b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: gzip\r\n", b"0\r\n\r\n", b"5\r\nhello\r\n",
    b"ffffffffffffffff1\r\n", b"Connection: close\r\n", b"Keep-Alive: timeout=5\r\n", b"X-Id: 7\r\n",
    b"X-Id: 8\r\n", b"Keep-Alive: timeout=" + b"9" * 5000 + b"\r\n", b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 204 No\r\n", b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n", b"HTTP/1.0 200 OK\r\n",
    b"HTTP/1.1 999 X\r\n", b"HTTP/1.1 304 N\r\n",
    b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok",
)  # fmt: skip
SEEDS = (
    b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 5\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nT: v\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\n\r\nhello",
    b"HTTP/1.1 503 Full\r\nX-Id: 7\r\nRetry-After: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok",
)


@attrs.define
class Outcome:
    """Call listener that records its callbacks, in order, and the response."""

    callbacks: list[str] = attrs.field(factory=list)
    status: int = 0
    headers: Headers = attrs.field(factory=list)
    length: int | None = None
    body: bytes = b""
    failure: Failure | None = None

    def on_written(self) -> None:
        self.callbacks.append("written")

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        self.callbacks.append("head")
        self.status, self.headers, self.length = status, headers, length

    def on_data(self, data: bytes) -> None:
        self.callbacks.append("data")
        self.body += data

    def on_end(self) -> None:
        self.callbacks.append("end")

    def on_failure(self, failure: Failure) -> None:
        self.callbacks.append("failure")
        self.failure = failure

    @property
    def is_complete(self) -> bool:
        return self.callbacks[-1] == "end"


class _Socket:
    """Fake transport that accepts all writes at once."""

    def __init__(self) -> None:
        self.ended = False
        self.written = b""

    def set_write_buffer_limits(self, high: int) -> None: ...

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.ended

    def abort(self) -> None:
        self.ended = True


class _ConnectionOwner:
    """Fake connection owner that accepts every returned connection for reuse."""

    idle_timeout_s = 60.0

    def __init__(self) -> None:
        self.buffer = memoryview(bytearray(64 * 1024))
        self.connections: set[object] = set()
        self.returned_count = 0

    def put(self, connection: object) -> None:
        self.returned_count += 1


class _ServerPool:
    address = ("127.0.0.1", 1)

    def forget(self, connection: object) -> None: ...


class _ClientConnection:
    """Fake client connection that collects the bytes of a response."""

    until_close = False

    def __init__(self) -> None:
        self.written = b""
        self.aborted = False

    def closes_after(self, request: Request) -> bool:
        return False

    def write_soon(self, data: bytes) -> None:
        self.written += data

    def flush(self) -> None: ...

    def response_written(self, close: bool) -> None: ...

    def abort(self) -> None:
        self.aborted = True


class HttpAnswers:
    """The bytes that a server sends on one connection after one request."""

    description = "HTTP responses of servers: parsing, framing, the response that is forwarded to a client"

    def __init__(self) -> None:
        logging.getLogger("cloverrouter.http.upstream").setLevel(logging.CRITICAL)

    def seeds(self) -> Sequence[bytes]:
        return SEEDS

    def mutate(self, data: bytes, random: Random) -> bytes:
        return mutate_bytes(data, random, TOKENS)

    def check(self, data: bytes) -> None:
        whole, split = read_response([data]), read_response(split_randomly(data, Random(crc32(data))))
        for outcome in (whole, split):
            _check_order(outcome)
        expect(whole.is_complete == split.is_complete, f"whole: {whole.callbacks}, split: {split.callbacks}")
        if whole.is_complete:
            same = (whole.status, whole.headers, whole.body) == (split.status, split.headers, split.body)
            expect(same, "split input gives a different response")
            _check_forwarded(whole)

    def close(self) -> None:
        """Does nothing: the target holds no resources."""


def read_response(parts: Sequence[bytes], expected_id: bytes = b"7") -> Outcome:
    """Returns the outcome of a call whose response arrives in these parts, followed by end of file."""
    owner, outcome, socket = _ConnectionOwner(), Outcome(), _Socket()
    connection = UpstreamConnection(cast(Any, owner), cast(Any, _ServerPool()), cast(Any, None))
    connection.connection_made(cast(Any, socket))
    connection.send(Call(REQUEST, outcome, expected_id, ID_HEADER))
    for part in parts:
        if socket.ended or owner.returned_count:
            break
        owner.buffer[: len(part)] = part
        connection.buffer_updated(len(part))
    if not socket.ended and not owner.returned_count:
        connection.eof_received()
    connection.connection_lost(None)
    return outcome


def _check_order(outcome: Outcome) -> None:
    callbacks = outcome.callbacks
    expect(callbacks.count("end") + callbacks.count("failure") == 1, f"callbacks {callbacks}")
    expect(callbacks[-1] in ("end", "failure") and callbacks.count("head") <= 1, f"callbacks {callbacks}")
    if outcome.is_complete:
        has_body = outcome.status not in BODILESS
        expect(
            not has_body or outcome.length in (None, len(outcome.body)),
            "the body of a complete response does not have the announced length",
        )
        ids = [value for name, value in outcome.headers if name == ID_HEADER]
        expect(ids == [b"7"], "the response belongs to another request")


def _check_forwarded(outcome: Outcome) -> None:
    """Checks that the forwarded response parses as the same response."""
    client = _ClientConnection()
    request = Request(b"POST", b"/", [], b"", 0.0)
    exchange = Exchange(request, cast(Any, client))
    exchange.begin(outcome.status, end_to_end(outcome.headers), outcome.length)
    exchange.write(outcome.body)
    exchange.end()
    if client.aborted:
        return
    reparsed = read_response([client.written])
    expect(reparsed.is_complete, f"the forwarded response is incomplete: {reparsed.callbacks}")
    expect(
        (reparsed.status, reparsed.body) == (outcome.status, outcome.body),
        "the forwarded response differs from the server's response",
    )
