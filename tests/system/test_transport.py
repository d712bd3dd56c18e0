"""Messages between processes over real loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from cloverrouter.daemon.transport import (
    MAX_RETRY_BACKOFF_S,
    RETRY_BACKOFF_S,
    STALE_CONNECT_S,
    ConnectBackoff,
    Transport,
)
from cloverrouter.messages import encode, message

HOSTS = ("127.31.9.1", "127.31.9.2")


@message(65010)
class Ping:
    number: int
    padding: bytes


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOSTS[0], 0))
        port: int = sock.getsockname()[1]
        return port


class Peer:
    """A transport that records its messages, link changes and errors."""

    def __init__(self, ip: str, port: int) -> None:
        self.received: asyncio.Queue[tuple[str, object]] = asyncio.Queue()
        self.links: list[tuple[str, bool]] = []
        self.errors: asyncio.Queue[Exception] = asyncio.Queue()
        self.transport = Transport(
            ip,
            port,
            lambda sender, found: self.received.put_nowait((sender, found)),
            lambda ip, up: self.links.append((ip, up)),
            lambda ip, error: self.errors.put_nowait(error),
        )


def test_messages_arrive_in_order_and_their_sender_is_known() -> None:
    async def run() -> None:
        port = free_port()
        first, second = (Peer(host, port) for host in HOSTS)
        await first.transport.listen()
        await second.transport.listen()
        sent = [Ping(number, b"x" * 100_000) for number in range(5)]
        for ping in sent:
            first.transport.send(HOSTS[1], ping)
        async with asyncio.timeout(10):
            received = [await second.received.get() for _ in sent]
        assert received == [(HOSTS[0], ping) for ping in sent]
        assert first.links == [(HOSTS[1], True)]
        first.transport.send(HOSTS[0], sent[0])
        async with asyncio.timeout(10):
            assert await first.received.get() == (HOSTS[0], sent[0])
        await first.transport.close()
        await second.transport.close()

    asyncio.run(run())


def test_a_peer_that_is_not_there_costs_the_message_only() -> None:
    async def run() -> None:
        port = free_port()
        first = Peer(HOSTS[0], port)
        await first.transport.listen()
        first.transport.send(HOSTS[1], Ping(1, b""))
        assert not first.transport.connected(HOSTS[1])
        second = Peer(HOSTS[1], port)
        await second.transport.listen()
        async with asyncio.timeout(10):
            while second.received.empty():
                first.transport.send(HOSTS[1], Ping(2, b""))
                await asyncio.sleep(0.01)
        await first.transport.close()
        await second.transport.close()

    asyncio.run(run())


def test_bytes_that_are_no_message_end_the_connection() -> None:
    async def run() -> None:
        port = free_port()
        first = Peer(HOSTS[0], port)
        await first.transport.listen()
        reader, writer = await asyncio.open_connection(HOSTS[0], port)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(10):
            await first.errors.get()
            assert await reader.read() == b""
        writer.close()
        await first.transport.close()

    asyncio.run(run())


def test_what_is_sent_in_a_batch_goes_out_in_one_write_and_is_counted_by_kind() -> None:
    async def run() -> None:
        port = free_port()
        first, second = (Peer(host, port) for host in HOSTS)
        await second.transport.listen()
        first.transport.send(HOSTS[1], Ping(0, b""))
        async with asyncio.timeout(10):
            await second.received.get()
            before = first.transport.writes
            with first.transport.batch():
                for number in (1, 2, 3):
                    with first.transport.batch():
                        first.transport.send(HOSTS[1], Ping(number, b"x"))
                assert first.transport.writes == before
            assert first.transport.writes == before + 1
            received = [await second.received.get() for _ in range(3)]
        assert received == [(HOSTS[0], Ping(number, b"x")) for number in (1, 2, 3)]
        assert first.transport.sent[Ping].messages == 4
        assert first.transport.sent[Ping].bytes == first.transport.bytes_sent
        await first.transport.close()
        await second.transport.close()

    asyncio.run(run())


def test_a_message_of_a_newer_kind_is_ignored_and_counted() -> None:
    async def run() -> None:
        port = free_port()
        second = Peer(HOSTS[1], port)
        await second.transport.listen()
        known_frame = encode(Ping(1, b""))
        newer_frame = known_frame[:5] + b"\xff\xfe" + known_frame[7:]
        _, writer = await asyncio.open_connection(HOSTS[1], port, local_addr=(HOSTS[0], 0))
        writer.write(newer_frame + newer_frame + known_frame)
        async with asyncio.timeout(10):
            assert await second.received.get() == (HOSTS[0], Ping(1, b""))
        assert second.transport.messages_skipped == 2
        writer.close()
        await second.transport.close()

    asyncio.run(run())


def backoffs_s(backoff: ConnectBackoff, refused: list[bool]) -> list[float]:
    """Returns the backoff after each of these consecutive failures, to 10 ms."""
    now_s, waits_s = 100.0, []
    for is_refused in refused:
        backoff.failed(now_s, refused=is_refused)
        steps = next(step for step in range(100) if backoff.may_try(now_s + step / 100 + 1e-6))
        waits_s.append(steps / 100)
        now_s += 1.0
    return waits_s


def test_a_machine_that_refuses_is_asked_again_soon_however_often_it_did() -> None:
    assert backoffs_s(ConnectBackoff(), [True] * 6) == [RETRY_BACKOFF_S] * 6


def test_waits_grow_where_nothing_answers() -> None:
    assert backoffs_s(ConnectBackoff(), [False] * 4) == [0.1, 0.2, MAX_RETRY_BACKOFF_S, MAX_RETRY_BACKOFF_S]


def test_a_machine_that_was_dark_and_refuses_now_is_up_again() -> None:
    backoff = ConnectBackoff()
    assert backoffs_s(backoff, [False, False, False, True, True]) == [0.1, 0.2, 0.4, 0.1, 0.1]
    backoff.reset()
    assert backoffs_s(backoff, [False]) == [RETRY_BACKOFF_S]


class UnansweredFirstConnect:
    """An event loop whose first connect gets no answer, and whose clock can be advanced."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.connects = 0
        self.clock_offset_s = 0.0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    def time(self) -> float:
        return self._loop.time() + self.clock_offset_s

    async def create_connection(self, *args: Any, **options: Any) -> Any:
        self.connects += 1
        if self.connects == 1:
            await asyncio.Event().wait()
        return await self._loop.create_connection(*args, **options)


def test_a_peer_that_has_come_back_is_connected_to_as_soon_as_it_connects_to_here() -> None:
    async def run() -> None:
        port = free_port()
        first, second = (Peer(host, port) for host in HOSTS)
        loop = UnansweredFirstConnect()
        first.transport.loop = loop  # type: ignore[assignment]
        await first.transport.listen()
        await second.transport.listen()
        first.transport.send(HOSTS[1], Ping(1, b""))  # the peer does not answer
        await asyncio.sleep(0)
        assert loop.connects == 1
        loop.clock_offset_s = 2 * STALE_CONNECT_S
        second.transport.send(HOSTS[0], Ping(2, b""))
        async with asyncio.timeout(10):
            assert await first.received.get() == (HOSTS[1], Ping(2, b""))
            assert await second.received.get() == (HOSTS[0], Ping(1, b""))  # the first message is not lost
        assert loop.connects == 2
        await first.transport.close()
        await second.transport.close()

    asyncio.run(run())


def test_two_that_connect_to_each_other_at_once_connect_once_each() -> None:
    async def run() -> None:
        port = free_port()
        first, second = (Peer(host, port) for host in HOSTS)
        await first.transport.listen()
        await second.transport.listen()
        first.transport.send(HOSTS[1], Ping(1, b""))
        second.transport.send(HOSTS[0], Ping(2, b""))
        async with asyncio.timeout(10):
            await first.received.get()
            await second.received.get()
        assert first.links == [(HOSTS[1], True)]
        assert second.links == [(HOSTS[0], True)]
        assert len(first.transport.incoming) == len(second.transport.incoming) == 1
        await first.transport.close()
        await second.transport.close()

    asyncio.run(run())


def test_a_peer_that_was_given_up_is_tried_again_as_soon_as_it_connects_to_here() -> None:
    backoff = ConnectBackoff()
    backoff.failed(100.0, refused=False)
    assert not backoff.may_try(100.05)
    backoff.reset()
    assert backoff.may_try(100.05)
