"""Crowds of clients that do not behave, against the client proxy's own process.

Each crowd must leave the process alive, within its memory and descriptors, and able to serve a call. Nothing
here depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from itertools import product
from string import ascii_lowercase

import pytest

from cloverrouter.proxy.messages import MAX_BUFFERED_BODY_BYTES
from tests.crowd_members import (
    PIECE_BYTES,
    Address,
    Crowd,
    Payload,
    allow_descriptors,
    chunk,
    chunks,
    descriptors,
    peak_kib,
    repeated,
    settle,
    whole,
)
from tests.sockets import Discovery, Host, Proxy, running

pytestmark = pytest.mark.crowd

MEMORY_MB = 72
SOCKETS = 1024
CLIENTS = 400  # of 512 connections
MAX_KIB = MEMORY_MB * 1_000_000 // 1024
MAX_TRIES = 600
TRY_INTERVAL_S = 0.1


def head(number: int, *fields: str, target: str = "/unsafe") -> bytes:
    lines = [f"POST {target} HTTP/1.1", "Host: x", f"X-Request-ID: r{number}", "X-Timeout-Ms: 2500", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


async def status_of_call(proxy: Proxy) -> int:
    """Makes an ordinary call as callers do: again after an error or a closed connection."""
    status = 0
    for _ in range(MAX_TRIES):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            status = (await (await proxy.client()).ask("/unsafe")).status
        if status == 200:
            break
        await asyncio.sleep(TRY_INTERVAL_S)
    return status


def face(payloads: Callable[[], Iterable[Payload]]) -> None:
    """Lets the crowd send; checks that the process lives, its bounds, and an ordinary call."""

    async def scenario() -> None:
        allow_descriptors()
        host, discovery = await Host("h").start(), await Discovery().start()
        limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
        async with running(discovery, [host], configuration={"limits": limits}) as proxy:
            ip, port = proxy.address.split(":")
            address: Address = (ip, int(port))
            crowd = Crowd(address, payloads())
            sending = asyncio.create_task(crowd.send())
            most_descriptors = 0
            while not sending.done():
                assert proxy.process.poll() is None, proxy.log()
                most_descriptors = max(most_descriptors, descriptors(proxy.process.pid))
                await asyncio.sleep(0.1)
            await sending
            await settle(proxy.process.pid)
            status = await status_of_call(proxy)
            assert proxy.process.poll() is None, proxy.log()
            peak = peak_kib(proxy.process.pid)
            await crowd.close()
            print(f"peak {peak} KiB of {MAX_KIB}, {most_descriptors} descriptors")
            assert peak <= MAX_KIB, f"{peak} KiB"
            assert most_descriptors <= SOCKETS
            assert status == 200

    asyncio.run(scenario())


def of_all(payload: Callable[[int], Payload]) -> Callable[[], Iterable[Payload]]:
    return lambda: map(payload, range(CLIENTS))


CHUNKED = "Transfer-Encoding: chunked"


@pytest.mark.parametrize("chunk_bytes", [1, 2, 16])
def test_many_uploads_in_tiny_chunks(chunk_bytes: int) -> None:
    """A piece of a body takes more memory than its length."""
    body = chunks(MAX_BUFFERED_BODY_BYTES + 20_000 * chunk_bytes, chunk_bytes)
    face(of_all(lambda number: whole(head(number, CHUNKED), body)))


def test_many_uploads_in_large_chunks() -> None:
    face(of_all(lambda number: repeated(head(number, CHUNKED), chunk(b"x" * PIECE_BYTES), 200)))


def test_many_bodies_that_stop_short_of_their_end() -> None:
    body = b"x" * (MAX_BUFFERED_BODY_BYTES - 1)
    length = f"Content-Length: {MAX_BUFFERED_BODY_BYTES}"
    face(of_all(lambda number: whole(head(number, length), body)))


def test_many_heads_of_tiny_fields() -> None:
    """Each field is an object of its own; the head is legal, its body never ends."""
    names = ["".join(letters) for letters in product(ascii_lowercase, repeat=3)][:4000]
    fields = [f"{name}:" for name in names]
    face(of_all(lambda number: whole(head(number, CHUNKED, *fields), b"")))


def test_trailers_without_end() -> None:
    def payload(number: int) -> Payload:
        start = head(number, CHUNKED) + b"1\r\nx\r\n0\r\nx-trailer: "
        return repeated(start, b"x" * PIECE_BYTES, 32)

    face(of_all(payload))


def test_health_checks_sent_ahead() -> None:
    message = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    face(of_all(lambda number: repeated(b"", message * 15, 2000)))


def test_bodies_sent_ahead() -> None:
    """Calls that wait behind another one on their connection."""
    size = MAX_BUFFERED_BODY_BYTES // 16
    length = f"Content-Length: {size}"

    def payload(number: int) -> Payload:
        calls = [head(16 * number + place, length) + b"x" * size for place in range(16)]
        return whole(b"".join(calls), b"")

    face(of_all(payload))
