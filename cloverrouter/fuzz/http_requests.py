"""Fuzz target: HTTP requests of clients, as parsed and as forwarded to servers."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from zlib import crc32

import attrs

from cloverrouter.fuzz.mutation import mutate_bytes, split_randomly
from cloverrouter.fuzz.target import expect
from cloverrouter.http.request import Request, RequestReader, ServerLimits
from cloverrouter.router import headers

LIMITS = ServerLimits(head_bytes=2000, body_bytes=4000)
TOKENS = (
    b"\r\n", b"\n", b"\r\n\r\n", b" ", b"\t", b":", b"\x00", b"Content-Length: 5\r\n",
    b"Content-Length: 0\r\n", b"Content-Length: " + b"9" * 5000 + b"\r\n",
    b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: x, chunked\r\n", b"0\r\n\r\n",
    b"5\r\nhello\r\n", b"ffffffffffffffffff\r\n", b"5;a=b\r\n", b"Host: x\r\n", b"Expect: 100-continue\r\n",
    b"Connection: close\r\n", b"Connection: host, x-a, cypresswinch-attempt-id\r\n", b"Upgrade: h2c\r\n",
    b"Connection: upgrade\r\n", b"HTTP/1.0", b"HTTP/2.0", b"GET / HTTP/1.1\r\n\r\n",
    b"CONNECT x:1 HTTP/1.1\r\n\r\n", b"http://x/", b"*", b"Authorization: Bearer \xff\r\n",
    b"Cypresswinch-Deadline-Ms: 1e400\r\n", b"Cypresswinch-Deadline-Ms: nan\r\n",
    b"Cypresswinch-Deadline-Ms: 1_0\r\n", b"Cypresswinch-Token-Usage: 1,2\r\n",
    b"Cypresswinch-Token-Usage: \xb2,99999999999999\r\n", b"X-A: " + b"a" * 1990 + b"\r\n", b" folded\r\n",
)  # fmt: skip
SEEDS = (
    b"GET /a/b?c=d HTTP/1.1\r\nHost: one.example\r\nCypresswinch-Attempt-Id: 1\r\n\r\n",
    b"POST /r0/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nCypresswinch-Deadline-Ms: 250.5\r\n"
    b"Cypresswinch-Token-Usage: 10, 20\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /r0/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5;x=y\r\nhello\r\n0\r\nT: v\r\n\r\n",
    b"PUT / HTTP/1.1\r\nhost: x\r\nContent-Length: 0\r\n\r\n"
    b"GET /b HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    b"DELETE /c HTTP/1.1\r\nHost: x\r\nConnection: close, x-a\r\nX-A: 1\r\nLast-Event-Id: 7\r\n\r\n",
)
STATUSES = (0, 400, 413, 431)


class HttpRequests:
    """The bytes that a client sends on one connection."""

    description = "HTTP requests of clients: parsing, limits, the request that is forwarded to a server"

    def seeds(self) -> Sequence[bytes]:
        return SEEDS

    def mutate(self, data: bytes, random: Random) -> bytes:
        return mutate_bytes(data, random, TOKENS)

    def check(self, data: bytes) -> None:
        whole, error = _read([data])
        split, split_error = _read(split_randomly(data, Random(crc32(data))))
        expect(error in STATUSES and split_error in STATUSES, f"unexpected status {error} or {split_error}")
        # 431 depends on the split, since raw bytes count against the limit only while the head is incomplete.
        if 431 not in (error, split_error):
            expect((split, split_error) == (whole, error), "split input gives different requests")
        for request in whole:
            _check_request(request)

    def close(self) -> None:
        """Does nothing: the target holds no resources."""


def _read(parts: Sequence[bytes], limits: ServerLimits = LIMITS) -> tuple[list[Request], int]:
    reader = RequestReader(limits, lambda: 0.0)
    for part in parts:
        reader.feed(memoryview(part))
        if reader.error or reader.is_last:
            break
    reader.close()
    return list(reader.ready), reader.error


def _check_request(request: Request) -> None:
    expect(request.target.startswith(b"/"), "the request target is not a path")
    expect(len(request.body) <= LIMITS.body_bytes, "the body exceeds its limit")
    for read in (headers.bearer_key, headers.has_single_attempt_id, headers.deadline_ms, headers.token_usage):
        read(request)
    headers.text(request, headers.PROMPT_PREFIX)
    head = headers.encode_request_head(request, "tenant", 3)
    requests, error = _read([head + b"x-sent: 1\r\n\r\n" + request.body], ServerLimits())
    expect(
        error == 0 and len(requests) == 1, f"the forwarded bytes are {len(requests)} requests, error {error}"
    )
    forwarded = requests[0]
    expect(
        (forwarded.method, forwarded.target, forwarded.body)
        == (request.method, request.target, request.body),
        "the forwarded request differs from the client's request",
    )
    common = [field for field in request.headers if field in forwarded.headers]
    expect(
        all(field in request.headers or field[0] in ADDED_FIELDS for field in forwarded.headers),
        "the forwarded request has an unexpected header field",
    )
    expect(attrs.evolve(request, headers=common).count(headers.AUTHORIZATION) == 0, "a secret is forwarded")


ADDED_FIELDS = (headers.TENANT, headers.PRIORITY, b"content-length", b"x-sent")
