"""Crowds of clients that do not behave, against a node's own process.

Each crowd must leave the process alive, within its memory and descriptors, and able to serve a request.
Nothing here depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from tests.crowd_members import (
    PIECE_BYTES,
    Crowd,
    Payload,
    chunk,
    chunks,
    pieces,
    repeated,
    tiny_fields,
    whole,
)
from tests.system.crowd_node import (
    BODY_LIMIT_BYTES,
    EMPTY_PATH,
    KEYED_PATH,
    CrowdNode,
    crowd_node,
    request_head,
)

pytestmark = pytest.mark.crowd

CLIENTS = 180  # of the 188 connections for clients that 1,400 descriptors leave
READINESS_CLIENTS = 60  # of 64 connections
CONTROL_CLIENTS = 400  # of 512 connections
MIB = 1024 * 1024
CHUNKED = {"Transfer-Encoding": "chunked"}


def run(folder: Path, scenario: Callable[[CrowdNode], Awaitable[None]], **settings: Any) -> None:
    """Runs a scenario with a node of its own."""

    async def main() -> None:
        async with crowd_node(folder, **settings) as node:
            await scenario(node)

    asyncio.run(main())


def crowd_of(count: int, payload: Payload) -> list[Payload]:
    return [payload] * count


def post(path: str, length: int) -> bytes:
    return request_head("POST", path, Content_Length=str(length))


def face_clients(folder: Path, payload: Payload, count: int = CLIENTS) -> None:
    """A crowd of the same clients at the address for clients."""

    async def scenario(node: CrowdNode) -> None:
        await node.face(Crowd(node.frontend, crowd_of(count, payload)))

    run(folder, scenario)


# Bodies that stop just short of their end


@pytest.mark.parametrize("chunk_bytes", [1, 2, 16])
def test_many_bodies_in_tiny_chunks(tmp_path: Path, chunk_bytes: int) -> None:
    """A piece of a body takes more memory than its length."""
    head = request_head("POST", "/x", **CHUNKED)
    face_clients(tmp_path, whole(head, chunks(40_000 * min(chunk_bytes, 2), chunk_bytes)))


def face_two_listeners(folder: Path, payload: Callable[[bytes], Payload], **fields: str) -> None:
    """Crowds of the same clients at the address for clients and at the control plane."""
    to_servers = request_head("POST", "/x", **fields)
    to_control = request_head("PUT", "/-/instances/i-1", **fields)

    async def scenario(node: CrowdNode) -> None:
        await node.face(
            Crowd(node.frontend, crowd_of(CLIENTS, payload(to_servers))),
            Crowd(node.control, crowd_of(CONTROL_CLIENTS, payload(to_control))),
        )

    run(folder, scenario)


def test_many_bodies_in_large_chunks(tmp_path: Path) -> None:
    piece = chunk(b"x" * PIECE_BYTES)
    face_two_listeners(tmp_path, lambda head: repeated(head, piece, 63), **CHUNKED)


def test_many_bodies_of_legal_size_at_once(tmp_path: Path) -> None:
    body = b"x" * (BODY_LIMIT_BYTES - 1)
    face_two_listeners(tmp_path, lambda head: whole(head, body), Content_Length=str(BODY_LIMIT_BYTES))


def test_many_bodies_of_legal_size_piece_by_piece(tmp_path: Path) -> None:
    parts = pieces(b"x" * (BODY_LIMIT_BYTES - 1), 8 * 1460)

    def payload(head: bytes) -> Payload:
        return lambda: itertools.chain([head], parts)

    face_two_listeners(tmp_path, payload, Content_Length=str(BODY_LIMIT_BYTES))


def test_many_bodies_that_never_end_at_the_readiness_check(tmp_path: Path) -> None:
    head = request_head("POST", "/-/readiness", **CHUNKED)

    async def scenario(node: CrowdNode) -> None:
        payload = whole(head, chunks(MIB // 4, 2))
        await node.face(Crowd(node.readiness, crowd_of(READINESS_CLIENTS, payload)))

    run(tmp_path, scenario)


# Heads and trailers


def head_of_tiny_fields() -> bytes:
    """Returns a head whose names and values have 11,000 bytes, in as many fields."""
    return request_head("POST", "/x", **CHUNKED)[:-2] + tiny_fields(44_000) + b"\r\n"


def test_many_heads_of_tiny_fields(tmp_path: Path) -> None:
    """Each field is an object of its own; the head is legal, its body never ends."""
    face_clients(tmp_path, whole(head_of_tiny_fields(), b""))


def test_trailers_without_end(tmp_path: Path) -> None:
    head = request_head("POST", "/x", **CHUNKED) + b"1\r\nx\r\n0\r\nx-trailer: "
    face_clients(tmp_path, repeated(head, b"x" * PIECE_BYTES, 64))


# Requests sent ahead, answers unread


def test_requests_sent_ahead_at_the_path_that_says_ready(tmp_path: Path) -> None:
    message = b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n"

    async def scenario(node: CrowdNode) -> None:
        payload = repeated(b"", message * (PIECE_BYTES // len(message)), 64)
        await node.face(Crowd(node.readiness, crowd_of(READINESS_CLIENTS, payload)))

    run(tmp_path, scenario)


WITHOUT_SERVER = {
    400: b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",  # no attempt id
    401: request_head("GET", KEYED_PATH),
    404: request_head("GET", "/", Host="other.example"),
    503: request_head("GET", EMPTY_PATH),
}


@pytest.mark.parametrize("status", WITHOUT_SERVER)
def test_requests_sent_ahead_that_no_server_gets(tmp_path: Path, status: int) -> None:
    message = WITHOUT_SERVER[status]
    payload = repeated(b"", message * (PIECE_BYTES // len(message)), 32)

    async def scenario(node: CrowdNode) -> None:
        assert await node.send(message) == status
        await node.face(Crowd(node.frontend, crowd_of(CLIENTS, payload)))

    run(tmp_path, scenario)


def test_requests_sent_ahead_at_the_control_plane(tmp_path: Path) -> None:
    message = b"GET /-/nothing HTTP/1.1\r\nHost: x\r\n\r\n"

    async def scenario(node: CrowdNode) -> None:
        payload = repeated(b"", message * (PIECE_BYTES // len(message)), 16)
        await node.face(Crowd(node.control, crowd_of(CONTROL_CLIENTS, payload)))

    run(tmp_path, scenario)


def test_a_large_configuration_read_by_many_and_left_unread(tmp_path: Path) -> None:
    message = b"GET /-/configuration HTTP/1.1\r\nHost: x\r\n\r\n"

    async def scenario(node: CrowdNode) -> None:
        crowd = crowd_of(CONTROL_CLIENTS, whole(b"", message * 8))
        await node.face(Crowd(node.control, crowd), settled_checks=24)

    run(tmp_path, scenario, extra_routes=3000)


def test_large_answers_left_unread(tmp_path: Path) -> None:
    message = post("/size/130000", 0)
    face_clients(tmp_path, whole(b"", message * 64))


def test_streams_left_unread(tmp_path: Path) -> None:
    face_clients(tmp_path, whole(post("/stream", 0), b""))


@pytest.mark.parametrize("status", [400, 413, 431])
def test_requests_that_are_refused_and_go_on(tmp_path: Path, status: int) -> None:
    """Framing that is ambiguous, a body and a head over their limits, sent on after the refusal."""
    start = {
        400: request_head("POST", "/x", Content_Length="5", Transfer_Encoding="chunked"),
        413: post("/x", 64 * MIB),
        431: request_head("POST", "/x")[:-2] + b"x-large: ",
    }
    face_clients(tmp_path, repeated(start[status], b"x" * PIECE_BYTES, 64))


# Complete requests that wait for a server


def test_complete_bodies_that_wait(tmp_path: Path) -> None:
    face_clients(tmp_path, whole(post("/wait", MIB), b"x" * MIB))


def test_complete_bodies_in_tiny_chunks_that_wait(tmp_path: Path) -> None:
    head = request_head("POST", "/wait", **CHUNKED)
    face_clients(tmp_path, whole(head, chunks(60_000, 2) + b"0\r\n\r\n"))


# All at once


def test_crowds_of_all_kinds_at_once(tmp_path: Path) -> None:
    chunked_head = request_head("POST", "/x", **CHUNKED)
    ready = b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n" * 1600
    clients = [
        *crowd_of(30, whole(chunked_head, chunks(80_000, 2))),
        *crowd_of(30, whole(post("/x", MIB), b"x" * (MIB - 1))),
        *crowd_of(30, whole(post("/wait", MIB), b"x" * MIB)),
        *crowd_of(30, whole(head_of_tiny_fields(), b"")),
        *crowd_of(30, whole(b"", post("/size/130000", 0) * 64)),
        *crowd_of(20, whole(post("/stream", 0), b"")),
    ]
    put = request_head("PUT", "/-/instances/i-1", Content_Length=str(MIB))
    control = [
        *crowd_of(100, whole(put, b"x" * 100_000)),
        *crowd_of(100, whole(b"", b"GET /-/configuration HTTP/1.1\r\nHost: x\r\n\r\n" * 64)),
    ]

    async def scenario(node: CrowdNode) -> None:
        await node.face(
            Crowd(node.frontend, clients),
            Crowd(node.control, control),
            Crowd(node.readiness, crowd_of(READINESS_CLIENTS, repeated(b"", ready, 16))),
        )

    run(tmp_path, scenario)


# In calm


@pytest.mark.parametrize("chunk_bytes", [0, PIECE_BYTES, 1])
def test_a_single_body_of_the_largest_size_is_served_in_calm(tmp_path: Path, chunk_bytes: int) -> None:
    """With its length, and in chunks of 64 KB and of one byte."""
    if chunk_bytes:
        head = request_head("POST", "/x", **CHUNKED)
        message = head + chunks(BODY_LIMIT_BYTES, chunk_bytes) + b"0\r\n\r\n"
    else:
        message = post("/x", BODY_LIMIT_BYTES) + b"x" * BODY_LIMIT_BYTES

    async def scenario(node: CrowdNode) -> None:
        assert await node.send(message) == 200
        assert node.stand_in.received_bytes == BODY_LIMIT_BYTES
        await node.face()

    run(tmp_path, scenario)
