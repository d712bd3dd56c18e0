"""Health reports between proxies, with real processes and with single components."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from cloverrouter.core.lifecycle import Lifecycle
from cloverrouter.core.states import AttemptFinished, NotifyBalancer, TargetsListed
from cloverrouter.fleet import health_reports
from cloverrouter.fleet.health_reports import HealthReport
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
from cloverrouter.proxy.peers import PeerSocket
from tests.driver import Driver, endpoint
from tests.sockets import SETTINGS, TIMEOUT_S, Client, Discovery, Host, Proxy, no_answer, running
from tests.test_operators import figures

BOUNDS = {**SETTINGS["bounds"], "peers": True}
CLASSES = [
    {"name": "unsafe", "aim_ms": 400, "deadline_ms": 800, "effect": "fragile", "worth": 1},
]


def test_unreachable_server_gets_nothing_until_it_is_reachable() -> None:
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2")])
    driver.tell(ProbeEnded("s1", Outcome.TIMEOUT, 0.0), ProbeEnded("never listed", Outcome.TIMEOUT, 0.0))
    driver.serve(30)
    assert {name for sent in driver.sent.values() for name in sent} == {"s2"}
    driver.tell(ProbeEnded("s1", Outcome.OK, 0.0))
    driver.serve(30)
    assert "s1" in {name for sent in driver.sent.values() for name in sent}


def test_restarted_server_is_reachable() -> None:
    driver = Driver(endpoints=[endpoint("s1")])
    driver.tell(ProbeEnded("s1", Outcome.TIMEOUT, 0.0))
    request, actions = driver.request()
    assert not any(isinstance(a, Send | Refuse) for a in actions)  # it is queued
    actions = driver.tell(
        EndpointsListed(ListKind.DELTA, (endpoint("s1", started_ms=driver.now_ms - 20_000),))
    )
    assert [a.request_id for a in actions if isinstance(a, Send)] == [request]


def test_latency_excludes_the_time_of_a_suspension() -> None:
    life = Lifecycle(2000.0)
    life.on(0.0, TargetsListed(EndpointsListed(ListKind.FULL), {"a": 1}))
    for call_id, sent_ms in ((1, 100.0), (2, 130.0)):
        life.on(sent_ms, RequestArrived(call_id, "safe"))
        life.act(sent_ms, Send(call_id, "a", 1000.0))
    life.untimed_until_ms = 100.0  # the process was suspended until then, for an unknown time
    told = [
        effect.event.latency_ms
        for call_id in (1, 2)
        for effect in life.on(150.0, AttemptFinished(call_id, 0, Outcome.ERROR, None, None))
        if isinstance(effect, NotifyBalancer) and isinstance(effect.event, AttemptEnded)
    ]
    assert told == [0.0, 20.0]


@pytest.mark.parametrize("invalid", ["nonsense", "10.0.0.1", "10.0.0.1:0", "name.example:5"])
def test_invalid_peer_address_is_refused(invalid: str) -> None:
    told = {"settings": {"ordinal": 0}, "peer_listen": "127.0.0.1:1", "peers": ["127.0.0.1:1", invalid]}
    with pytest.raises(ValueError):
        read_peers(told)


def test_peers_are_all_others_or_one_broadcast_address() -> None:
    told = {"settings": {"ordinal": 1}, "peer_listen": "127.0.0.1:1", "peers": ["127.0.0.2:1", "127.0.0.1:1"]}
    assert read_peers(told) == config.PeerSettings(("127.0.0.1", 1), (("127.0.0.2", 1),))
    assert read_peers({**told, "peers_all": "127.9.9.9:1"}) == config.PeerSettings(
        ("127.0.0.1", 1), (("127.9.9.9", 1),)
    )
    assert read_peers({"settings": {}}) is None


def test_proxy_works_without_the_peer_socket() -> None:
    async def scene() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", 0))
            peers = PeerSocket(config.PeerSettings(taken.getsockname(), ()), lambda data: None)
            await peers.open()
            peers.broadcast(b"x")
            peers.close()

    asyncio.run(scene())


@asynccontextmanager
async def two_proxies(
    discovery: Discovery, hosts: list[Host]
) -> AsyncIterator[tuple[list[Proxy], list[Client], list[str]]]:
    """Yields two proxies that are peers, a client of each, and the proxies' peer addresses."""
    ports = [f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}.{n}:7946" for n in (1, 2)]
    async with AsyncExitStack() as stack:
        proxies = []
        for number in (0, 1):
            settings = {"ordinal": number, "balancers": 2, "bounds": BOUNDS, "categories": CLASSES}
            told = {"peer_listen": ports[number], "peers": ports}
            proxies.append(
                await stack.enter_async_context(
                    running(discovery, hosts, settings=settings, configuration=told)
                )
            )
        # Last: a connection without a request is closed after two seconds; the second proxy may take longer.
        yield proxies, [await proxy.client() for proxy in proxies], ports


def test_only_one_proxy_loses_requests_to_a_hung_server() -> None:
    async def scene() -> None:
        discovery = await Discovery().start()
        hosts = [await Host(name).start() for name in ("well", "fine", "hangs")]
        hosts[2].respond = no_answer
        async with two_proxies(discovery, hosts) as (proxies, (first, second), _):
            async with asyncio.timeout(TIMEOUT_S):
                while not hosts[2].seen:
                    await first.ask("/unsafe", timeout_ms=500)
                # The second proxy excludes it after the time in which it may refute.
                while (await figures(proxies[1]))["proxy_cluster_unhealthy"] != 1:
                    await asyncio.sleep(0.01)
            lost = len(hosts[2].seen)
            for _ in range(12):  # well within the exclusion time
                answer = await second.ask("/unsafe", timeout_ms=500)
                assert answer.status == 200
            assert len(hosts[2].seen) == lost

    asyncio.run(scene())


def test_malformed_and_false_datagrams_do_no_harm() -> None:
    async def scene() -> None:
        discovery = await Discovery().start()
        hosts = [await Host(f"h{i}").start() for i in range(4)]
        false_report = health_reports.encode(
            [HealthReport(health_reports.server_key(host.name), False, 0.0) for host in hosts]
        )
        async with two_proxies(discovery, hosts) as (_, (first, _), ports):
            address, port = ports[0].split(":")
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as attacker:
                for data in (b"", b"x" * 256, false_report[:-1], bytes(60000), false_report):
                    attacker.sendto(data, (address, int(port)))
            for _ in range(10):
                assert (await first.ask("/unsafe", timeout_ms=500)).status == 200

    asyncio.run(scene())
