"""The memory budget of the HTTP server, and what its connections are charged for."""

from __future__ import annotations

import asyncio

import pytest

from cloverrouter.control.checks import MAX_CONTAINERS
from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.errors import ConfigurationInvalid
from cloverrouter.control.review import MAX_FINDINGS, review_document
from cloverrouter.http.body import BLOCK_BYTES, BodyBuffer, join
from cloverrouter.http.memory import (
    MIN_BUDGET_BYTES,
    SMALL_CHARGE_BYTES,
    STALL_S,
    UNCHARGED_BYTES,
    MemoryBudget,
    budget_bytes,
)
from cloverrouter.http.request import RequestReader, ServerLimits
from cloverrouter.http.server import Exchange
from tests.system.http_world import chunked
from tests.system.peers import Peer, run_scenario, serve, until

CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


class Connection:
    """A connection that holds some memory."""

    def __init__(self, budget: MemoryBudget, stalled_since_s: float) -> None:
        self.stalled_since_s = stalled_since_s
        self.gave_way = False
        self._budget = budget

    def hold(self, size: int) -> None:
        self._budget.charge(self, size)

    def update_charge(self) -> None: ...

    def give_way(self) -> None:
        self.gave_way = True
        self.hold(0)


def test_the_longest_stalled_gives_way_first_and_only_as_many_as_needed() -> None:
    budget = MemoryBudget(1_000_000)
    connections = [Connection(budget, since_s) for since_s in (3.0, 1.0, 2.0, 10.0)]
    for connection in connections:
        connection.hold(300_000)
    assert not budget.has_room(300_000)
    assert budget.make_room(300_000, now_s=10.0)
    assert [connection.gave_way for connection in connections] == [False, True, True, False]
    assert budget.held_bytes == 600_000


def test_a_connection_that_has_just_made_progress_does_not_give_way() -> None:
    budget = MemoryBudget(100_000)
    active = Connection(budget, 10.0 - STALL_S / 2)
    active.hold(120_000)
    assert not budget.make_room(120_000, now_s=10.0)
    assert not active.gave_way


def test_small_requests_have_a_reserve() -> None:
    budget = MemoryBudget(1_000_000)
    Connection(budget, 0.0).hold(950_000)
    assert budget.has_room(SMALL_CHARGE_BYTES)
    assert not budget.has_room(SMALL_CHARGE_BYTES + 1)


def test_the_budget_follows_the_memory_of_the_settings() -> None:
    assert budget_bytes(10, 100) == MIN_BUDGET_BYTES
    assert budget_bytes(300, 2000) < budget_bytes(400, 2000) < 400_000_000
    assert budget_bytes(300, 2000) < budget_bytes(300, 1000)


def test_a_body_in_pieces_is_what_it_was_in_blocks_of_bounded_size() -> None:
    for size in (1, 7, 1000, BLOCK_BYTES, BLOCK_BYTES + 1):
        buffer = BodyBuffer()
        pieces = [bytes([number % 251]) * size for number in range(3 * BLOCK_BYTES // size)]
        for piece in pieces:
            buffer.append(piece)
        blocks = buffer.blocks()
        assert join(blocks) == b"".join(pieces) and buffer.size == len(join(blocks))
        assert max(map(len, blocks)) <= max(size, BLOCK_BYTES)
        assert len(blocks) <= 4 or size > BLOCK_BYTES // 2


def test_what_is_held_counts_fields_and_bodies() -> None:
    reader = RequestReader(ServerLimits(), lambda: 0.0)
    reader.feed(memoryview(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + b"a:\r\n" * 1000 + b"\r\n"))
    assert reader.held_bytes > 160_000
    reader.feed(memoryview(chunked([b"xy"] * 10_000)[:-5]))
    assert 180_000 < reader.held_bytes < 260_000
    reader.feed(memoryview(b"0\r\n\r\n"))
    assert reader.held_bytes == reader.ready[0].held_bytes > 180_000
    request = reader.take()
    assert reader.held_bytes == 0 and request.body_size == 20_000
    reader.close()


@pytest.mark.parametrize("piece", [1000, 60_000])
def test_a_trailer_without_end_is_refused(piece: int) -> None:
    reader = RequestReader(ServerLimits(), lambda: 0.0)
    reader.feed(memoryview(CHUNKED_HEAD + b"1\r\nx\r\n0\r\nx-trailer: "))
    for _ in range(20):
        if not reader.error:
            reader.feed(memoryview(b"x" * piece))
    assert reader.error == 431
    reader.close()


def test_a_trailer_within_the_limit_of_a_head_is_accepted() -> None:
    reader = RequestReader(ServerLimits(), lambda: 0.0)
    reader.feed(memoryview(CHUNKED_HEAD + b"1\r\nx\r\n0\r\nx-trailer: "))
    for _ in range(10):
        reader.feed(memoryview(b"x" * 1000))
    reader.feed(memoryview(b"\r\n\r\n"))
    assert not reader.error and len(reader.ready) == 1
    reader.close()


def test_a_body_that_keeps_coming_does_not_time_out() -> None:
    async def scenario() -> None:
        server, handler, address = await serve(body_timeout_s=0.3)
        peer = await Peer.connect(address)
        piece = b"x" * 20_000
        peer.send(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (20 * len(piece)))
        for _ in range(20):
            peer.send(piece)
            await asyncio.sleep(0.05)
        exchange = await handler.request()
        assert exchange.request.body_size == 20 * len(piece)
        server.close()

    run_scenario(scenario())


def test_answers_given_at_once_pause_reading_when_unread() -> None:
    """Requests sent ahead to a handler that answers at once, whose answers nobody reads."""

    async def scenario() -> None:
        server, _, address = await serve(lambda exchange: exchange.respond(200, [], b"x" * 1000))
        peer = await Peer.connect(address)
        for _ in range(400):
            peer.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 100)
        await until(lambda: server.reading_paused)
        (connection,) = server.reading_paused
        reader = connection._reader
        assert reader is not None and len(reader.ready) < 3000
        for _ in range(40_000):
            assert (await peer.answer())[0] == 200
        server.close()

    run_scenario(scenario())


def test_an_unread_answer_beyond_the_budget_closes_its_connection() -> None:
    async def scenario() -> None:
        server, handler, address = await serve()
        server.budget.limit_bytes = 1_000_000
        peer = await Peer.connect(address)
        peer.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        exchange = await handler.request()
        exchange.respond(200, [], b"x" * 50_000_000)
        await until(lambda: server.connections == 0)
        assert server.budget.held_bytes == 0
        server.close()

    run_scenario(scenario())


def test_a_request_that_may_have_run_is_never_answered_503_for_memory() -> None:
    """What is sent behind it exceeds the budget: the connection closes without an answer."""

    async def scenario() -> None:
        server, handler, address = await serve()
        server.budget.limit_bytes = 20_000
        peer = await Peer.connect(address)
        peer.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await handler.request()
        peer.send(CHUNKED_HEAD + chunked([b"x" * 30_000])[:-5])
        assert await peer.read_to_close() == b""
        assert handler.events == ["gone"] and server.budget.held_bytes == 0
        server.close()

    run_scenario(scenario())


def test_a_buffered_answer_is_counted_until_it_is_sent() -> None:
    async def scenario() -> None:
        def hold(exchange: Exchange) -> None:
            exchange.hold_answer(UNCHARGED_BYTES * 2)

        server, handler, address = await serve(hold)
        peer = await Peer.connect(address)
        peer.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        exchange = await handler.request()
        assert server.budget.held_bytes > UNCHARGED_BYTES * 2
        exchange.respond(200)
        assert (await peer.answer())[0] == 200
        assert server.budget.held_bytes == 0
        server.close()

    run_scenario(scenario())


def test_a_stalled_request_makes_room_for_a_connection() -> None:
    async def scenario() -> None:
        server, _, address = await serve(lambda exchange: exchange.respond(200), max_connections=1)
        stalled = await Peer.connect(address)
        stalled.send(CHUNKED_HEAD)
        await asyncio.sleep(2 * STALL_S)
        peer = await Peer.connect(address)
        peer.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await peer.answer())[0] == 200
        assert (await stalled.answer())[0] == 503
        server.close()

    run_scenario(scenario())


def test_unread_answers_make_room_for_a_connection() -> None:
    """The readiness check is still answered when clients that read nothing have all connections."""

    async def scenario() -> None:
        server, _, address = await serve(
            lambda exchange: exchange.respond(200, [], b"x" * 1000), max_connections=1
        )
        blocked = await Peer.connect(address)
        for _ in range(400):
            blocked.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 100)
        await until(lambda: server.reading_paused)
        await asyncio.sleep(2 * STALL_S)
        peer = await Peer.connect(address)
        peer.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await peer.answer())[0] == 200
        server.close()

    run_scenario(scenario())


# Orders that take many times their size


def test_the_review_ends_after_many_findings() -> None:
    body = b'{"version":1,"route-table":[' + b"[]," * 100_000 + b"[]]}"
    with pytest.raises(ConfigurationInvalid) as caught:
        review_document(body, ConfigurationState())
    assert len(caught.value.findings) <= MAX_FINDINGS + 1


def test_a_document_of_too_many_containers_is_refused() -> None:
    body = b'{"version":1,"x":[' + b"[]," * MAX_CONTAINERS + b"[]]}"
    with pytest.raises(ConfigurationInvalid) as caught:
        review_document(body, ConfigurationState())
    assert [finding.place for finding in caught.value.findings] == [""]
