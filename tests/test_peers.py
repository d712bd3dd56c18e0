"""Proxies that tell each other of servers, as processes and as modules."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from cloverrouter.core.lifecycle import Lifecycle
from cloverrouter.core.states import AttemptFinished, NotifyBalancer, TargetsListed
from cloverrouter.fleet import news
from cloverrouter.fleet.news import HealthReport
from cloverrouter.interface import (
    AttemptEnded,
    EndpointsListed,
    ListKind,
    Outcome,
    ProbeEnded,
    Refuse,
    RequestArrived,
    Send,
)
from cloverrouter.proxy import config
from cloverrouter.proxy.config import read_peers
from cloverrouter.proxy.peers import Peers
from tests.driver import Driver, endpoint
from tests.sockets import LONG_S, SETTINGS, Client, Discovery, Host, Proxy, never, running
from tests.test_operators import figures

BOUNDS = {**SETTINGS["bounds"], "peers": True}
CLASSES = [
    {"name": "unsafe", "aim_ms": 400, "deadline_ms": 800, "effect": "fragile", "worth": 1},
]


def test_server_that_is_down_gets_nothing_until_it_is_up() -> None:
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2")])
    driver.tell(ProbeEnded("s1", Outcome.TIMEOUT, 0.0), ProbeEnded("never listed", Outcome.TIMEOUT, 0.0))
    driver.serve(30)
    assert {name for sent in driver.sent.values() for name in sent} == {"s2"}
    driver.tell(ProbeEnded("s1", Outcome.OK, 0.0))
    driver.serve(30)
    assert "s1" in {name for sent in driver.sent.values() for name in sent}


def test_server_started_anew_is_not_down() -> None:
    driver = Driver(endpoints=[endpoint("s1")])
    driver.tell(ProbeEnded("s1", Outcome.TIMEOUT, 0.0))
    request, actions = driver.request()
    assert not any(isinstance(a, Send | Refuse) for a in actions)  # it waits
    actions = driver.tell(
        EndpointsListed(ListKind.DELTA, (endpoint("s1", started_ms=driver.now_ms - 20_000),))
    )
    assert [a.request_id for a in actions if isinstance(a, Send)] == [request]


def test_what_a_stopped_clock_has_timed_is_told_as_no_time() -> None:
    life = Lifecycle(2000.0)
    life.on(0.0, TargetsListed(EndpointsListed(ListKind.FULL), {"a": 1}))
    for call_id, sent_ms in ((1, 100.0), (2, 130.0)):
        life.on(sent_ms, RequestArrived(call_id, "safe"))
        life.act(sent_ms, Send(call_id, "a", 1000.0))
    life.untimed_until_ms = 100.0  # it stood still there, for nobody knows how long
    told = [
        effect.event.latency_ms
        for call_id in (1, 2)
        for effect in life.on(150.0, AttemptFinished(call_id, 0, Outcome.ERROR, None, None))
        if isinstance(effect, NotifyBalancer) and isinstance(effect.event, AttemptEnded)
    ]
    assert told == [0.0, 20.0]


@pytest.mark.parametrize("spoilt", ["nonsense", "10.0.0.1", "10.0.0.1:0", "name.example:5"])
def test_address_of_a_peer_that_is_none_is_refused(spoilt: str) -> None:
    told = {"settings": {"ordinal": 0}, "peer_listen": "127.0.0.1:1", "peers": ["127.0.0.1:1", spoilt]}
    with pytest.raises(ValueError):
        read_peers(told)


def test_peers_are_all_but_the_own_or_one_address_for_all() -> None:
    told = {"settings": {"ordinal": 1}, "peer_listen": "127.0.0.1:1", "peers": ["127.0.0.2:1", "127.0.0.1:1"]}
    assert read_peers(told) == config.Peers(("127.0.0.1", 1), (("127.0.0.2", 1),))
    assert read_peers({**told, "peers_all": "127.9.9.9:1"}) == config.Peers(
        ("127.0.0.1", 1), (("127.9.9.9", 1),)
    )
    assert read_peers({"settings": {}}) is None


def test_without_a_socket_a_proxy_works_alone() -> None:
    async def scene() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", 0))
            peers = Peers(config.Peers(taken.getsockname(), ()), lambda data: None)
            await peers.open()
            peers.say(b"x")
            peers.close()

    asyncio.run(scene())


@asynccontextmanager
async def two(
    discovery: Discovery, hosts: list[Host]
) -> AsyncIterator[tuple[list[Proxy], list[Client], list[str]]]:
    """Two proxies that tell each other, a client of each, and where the proxies listen for that."""
    ports = [f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}.{n}:7946" for n in (1, 2)]
    async with AsyncExitStack() as stack:
        proxies, clients = [], []
        for number in (0, 1):
            settings = {"ordinal": number, "balancers": 2, "bounds": BOUNDS, "categories": CLASSES}
            told = {"peer_listen": ports[number], "peers": ports}
            proxies.append(
                await stack.enter_async_context(running(discovery, hosts, settings=settings, told=told))
            )
            clients.append(await proxies[-1].client())
        yield proxies, clients, ports


def test_one_proxy_pays_for_a_server_that_hangs_and_the_other_does_not() -> None:
    async def scene() -> None:
        discovery = await Discovery().start()
        hosts = [await Host(name).start() for name in ("well", "fine", "hangs")]
        hosts[2].respond = never
        async with two(discovery, hosts) as (proxies, (first, second), _):
            async with asyncio.timeout(LONG_S):
                while not hosts[2].seen:
                    await first.ask("/unsafe", timeout_ms=500)
                # Not before the other has had its moment to contradict.
                while (await figures(proxies[1]))["proxy_cluster_unhealthy"] != 1:
                    await asyncio.sleep(0.01)
            paid = len(hosts[2].seen)
            for _ in range(12):  # well within the time for which it is left out
                answer = await second.ask("/unsafe", timeout_ms=500)
                assert answer.status == 200
            assert len(hosts[2].seen) == paid

    asyncio.run(scene())


def test_foreign_and_lying_datagrams_stop_nothing() -> None:
    async def scene() -> None:
        discovery = await Discovery().start()
        hosts = [await Host(f"h{i}").start() for i in range(4)]
        false_report = news.encode([HealthReport(news.server_key(host.name), False, 0.0) for host in hosts])
        async with two(discovery, hosts) as (_, (first, _), ports):
            address, port = ports[0].split(":")
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as attacker:
                for data in (b"", b"x" * 256, false_report[:-1], bytes(60000), false_report):
                    attacker.sendto(data, (address, int(port)))
            for _ in range(10):
                assert (await first.ask("/unsafe", timeout_ms=500)).status == 200

    asyncio.run(scene())
