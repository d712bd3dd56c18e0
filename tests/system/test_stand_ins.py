"""The fleet's test doubles with each other, through a plain proxy: the judge finds the injected faults."""

from __future__ import annotations

import asyncio
import time

import attrs
import pytest

from cloverrouter.lab.fleet import deployment
from cloverrouter.lab.fleet.client import Client
from cloverrouter.lab.fleet.contract import subject_of
from cloverrouter.lab.fleet.figures import Tally
from cloverrouter.lab.fleet.judge import Judge, Operation, Request
from cloverrouter.lab.fleet.load import LoadGenerator
from cloverrouter.lab.fleet.model_server import LONG_REQUEST_BYTES, ModelServer
from cloverrouter.lab.fleet.operator import Operator, OrderRefused
from cloverrouter.lab.fleet.platform import NodeEndpoint, Platform
from cloverrouter.lab.fleet.registration import Registration
from cloverrouter.lab.fleet.wire import call, connect, read_body, read_head, render
from tests.system.plain_proxy import PlainProxy

PORTS = (8662, 8663, 8665)


class ProxyEnvironment:
    """One proxy, all servers of the demo, an operator and a client, in a loopback network of their own."""

    def __init__(self, prefix: str, faults: frozenset[str] = frozenset()) -> None:
        host = f"{prefix}.1"
        self.judge = Judge()
        specs = deployment.initial_servers(prefix)
        self.proxy = PlainProxy(host, len(specs), faults)
        self.control = [f"{host}:{PORTS[2]}"]
        self.operator = Operator(self.control, self.judge, 1)
        zone = deployment.ZONES[0]
        endpoint = NodeEndpoint("n1", zone, f"{host}:{PORTS[0]}", f"{host}:{PORTS[1]}")
        self.platform = Platform([endpoint], 1, check_interval_s=0.02)
        generator = LoadGenerator(deployment.TENANTS, 1)
        self.client = Client(zone, self.platform, generator, self.judge, time.monotonic)
        self.servers = [ModelServer(spec, self.judge, time.monotonic, 1) for spec in specs]
        self.registrations = [Registration(s, self.control, 0.2, self.judge, 1) for s in self.servers]

    async def __aenter__(self) -> ProxyEnvironment:
        await self.proxy.start(*PORTS)
        for server, registration in zip(self.servers, self.registrations, strict=True):
            await server.start()
            registration.start()
        self.platform.start()
        await self.operator.put(deployment.first_configuration())
        async with asyncio.timeout(10):
            await self.platform.wait_until_ready(1)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        self.platform.stop()
        for registration in self.registrations:
            registration.stop()
            registration.server.abort()
        self.proxy.close()


async def perform_all(environment: ProxyEnvironment, times: int = 4) -> None:
    await asyncio.gather(
        *(environment.client.perform(kind) for kind in deployment.KINDS for _ in range(times))
    )


def test_a_plain_proxy_keeps_the_rules() -> None:
    async def go() -> ProxyEnvironment:
        async with ProxyEnvironment("127.31.9") as environment:
            await perform_all(environment)
            await environment.operator.patch(deployment.added_route(8))
            await environment.client.perform(deployment.ADDED_KIND)
            await environment.operator.read_back()
        environment.judge.finish()
        return environment

    environment = asyncio.run(go())
    assert environment.judge.findings == []
    figures = Tally(environment.judge).figures()
    assert (
        figures.served == figures.operation_count == figures.within_quota == 17
        and figures.served_share == 1.0
    )
    assert {kind.name: kind.served for kind in figures.kinds}["caption"] == 4
    assert figures.events > 4 * 30


@pytest.mark.parametrize(
    ("fault", "rule"),
    [
        ("twice", "TWICE"),
        ("wrong-service", "ROUTE"),
        ("tells-key", "UNASKED"),
        ("lies", "REFUSED"),
        ("skips", "ORDER"),
        ("forgets", "CONFIG"),
    ],
)
def test_injected_faults_are_found(fault: str, rule: str) -> None:
    async def go() -> Judge:
        net = "127.31." + str(10 + sum(map(ord, fault)) % 200)
        async with ProxyEnvironment(
            net, frozenset() if fault == "forgets" else frozenset({fault})
        ) as environment:
            environment.proxy.faults = frozenset({fault})
            if fault == "forgets":
                await environment.operator.patch(deployment.added_route(8))
                await environment.operator.read_back(within_s=0.5)
            else:
                await perform_all(environment, 2)
        environment.judge.finish()
        return environment.judge

    judge = asyncio.run(go())
    assert rule in judge.violation_counts, judge.violation_counts


@pytest.mark.parametrize(("rest", "findings"), [("its own", 0), ("another's", 1)])
def test_a_server_may_answer_a_long_request_before_it_has_read_it(rest: str, findings: int) -> None:
    """It runs the request at its head; the judge finds other bytes in place of the rest of the body."""

    async def go() -> Judge:
        judge = Judge()
        spec = attrs.evolve(deployment.server(deployment.DESK_SERVICE, 1, "127.31.239"), early_every=1)
        server = ModelServer(spec, judge, time.monotonic, 1)
        await server.start()
        own, other = b"a" * LONG_REQUEST_BYTES, b"b" * LONG_REQUEST_BYTES
        judge.operation_started("o", Operation("r", 0.0, False))
        subject = subject_of("POST", "/x/", own)
        judge.request_sent(Request("a1", "o", "r", frozenset({spec.backend}), "", False, subject, 0.0))
        reader, writer = await connect(spec.address)
        headers = [("Cypresswinch-Attempt-Id", "a1"), ("Content-Length", str(LONG_REQUEST_BYTES))]
        writer.write(render("POST /x/ HTTP/1.1", headers))
        answer = await read_head(reader)
        assert answer is not None and answer.status == 200
        await read_body(reader, answer, is_answer=True)
        assert [run.instance for run in judge.runs["a1"]] == [spec.instance_id]
        writer.write(own if rest == "its own" else other)
        writer.write(b"GET /health HTTP/1.1\r\n\r\n")
        health = await read_head(reader)
        assert health is not None and health.status == 200
        writer.close()
        server.abort()
        return judge

    judge = asyncio.run(go())
    assert judge.violation_counts.total() == judge.violation_counts["UNASKED"] == findings


def test_a_server_refuses_requests_for_another_instance_or_version() -> None:
    async def go() -> None:
        judge = Judge()
        spec = deployment.server(deployment.MODEL_SERVICE, 1, "127.31.240")
        server = ModelServer(spec, judge, time.monotonic, 1)
        await server.start()
        try:
            headers = {"Cypresswinch-Attempt-Id": "a1", "Cypresswinch-Expected-Instance": "i-other"}
            answer = await call(spec.address, "POST", "/x/", headers=headers)
            assert answer.status == 421 and answer.head.has("Cypresswinch-Not-Executed")
            answer = await call(spec.address, "POST", "/x/")
            assert answer.status == 400 and answer.head.has("Cypresswinch-Not-Executed")
            answer = await call(spec.address, "POST", "/x/", headers={**headers, "Expect-Version": "9"})
            assert answer.status == 421
            answer = await call(spec.address, "GET", "/health")
            assert answer.status == 200 and answer.head.get("Cypresswinch-Instance-Id") == spec.instance_id
            report = (await call(spec.address, "GET", "/-/report")).json()
            assert report["kv-cache-capacity"] == 60_000 and report["active-requests"] == 0
            server.drain()
            answer = await call(spec.address, "GET", "/health")
            assert answer.status == 503 and answer.head.closes
            assert judge.runs == {}
        finally:
            server.abort()

    asyncio.run(go())


def test_a_refused_order_raises() -> None:
    async def go() -> None:
        async with ProxyEnvironment("127.31.241") as environment:
            environment.operator.current = {"version": 1}
            with pytest.raises(OrderRefused, match="412"):
                await environment.operator.put(deployment.first_configuration(), within_s=2)

    asyncio.run(go())
