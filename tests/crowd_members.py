"""Clients that do not behave: each sends what it can, reads nothing, and keeps its connection open."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import resource
import socket
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

RECEIVE_BUFFER_BYTES = 4096  # small, so that unread answers stay with the process under test
CHECK_INTERVAL_S = 0.25
QUIET_CHECKS = 4  # checks without progress after which a crowd has sent all that it can
SETTLED_CHECKS = 6
MAX_CHECKS = 80
PIECE_BYTES = 64 * 1024
MAX_DESCRIPTORS = 8192

Address = tuple[str, int]
Payload = Callable[[], Iterator[bytes]]


class Member:
    """One client of a crowd. Its connection may be refused or closed at any time."""

    def __init__(self, address: Address, payload: Payload) -> None:
        self.sent_bytes = 0
        self._address, self._payload = address, payload
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    async def send(self) -> None:
        """Connects and sends the payload as far as the server takes it."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_connect(self._sock, self._address)
            for piece in self._payload():
                await loop.sock_sendall(self._sock, piece)
                self.sent_bytes += len(piece)

    def close(self) -> None:
        self._sock.close()


class Crowd:
    """Clients that send at the same time."""

    def __init__(self, address: Address, payloads: Iterable[Payload]) -> None:
        self._members = [Member(address, payload) for payload in payloads]
        self._tasks: list[asyncio.Task[None]] = []

    async def send(self) -> None:
        """Lets all of them send until they have sent everything or are stuck; they stay connected."""
        self._tasks = [asyncio.create_task(member.send()) for member in self._members]
        quiet, before = 0, -1
        for _ in range(MAX_CHECKS):
            await asyncio.sleep(CHECK_INTERVAL_S)
            sent = sum(member.sent_bytes for member in self._members)
            quiet, before = (quiet + 1 if sent == before else 0), sent
            if quiet == QUIET_CHECKS or all(task.done() for task in self._tasks):
                return

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for member in self._members:
            member.close()


def allow_descriptors() -> None:
    """Lets this process and its children open as many descriptors as a crowd and its node need."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = MAX_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, MAX_DESCRIPTORS)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def pieces(data: bytes, size: int = PIECE_BYTES) -> list[bytes]:
    """Splits data into pieces of this size."""
    return [data[start : start + size] for start in range(0, len(data), size)]


def whole(head: bytes, body: bytes) -> Payload:
    """A head, and a body that is sent as fast as it is taken."""
    parts = [head, *pieces(body)]
    return lambda: iter(parts)


def repeated(head: bytes, piece: bytes, times: int) -> Payload:
    """A head, and a piece that follows it many times."""
    return lambda: itertools.chain([head], itertools.repeat(piece, times))


def chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def chunks(body_bytes: int, chunk_bytes: int) -> bytes:
    """Encodes a body in chunks of this size, without the last one that ends it."""
    return chunk(b"x" * chunk_bytes) * (body_bytes // chunk_bytes)


def tiny_fields(size: int) -> bytes:
    """Returns header fields of four bytes each, of this size together."""
    return b"a:\r\n" * (size // 4)


def peak_kib(pid: int) -> int:
    """Returns the most memory that a process has held so far (VmHWM), in KiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:"))


async def settle(pid: int, checks: int = SETTLED_CHECKS) -> None:
    """Waits until the peak of a process's memory has not grown for a while."""
    quiet, before = 0, 0
    for _ in range(MAX_CHECKS):
        await asyncio.sleep(CHECK_INTERVAL_S)
        peak = peak_kib(pid)
        quiet, before = (quiet + 1 if peak == before else 0), peak
        if quiet == checks:
            return


def descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
