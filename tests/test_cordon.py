"""Cordons: operators exclude a server, whatever the lists say, until they end it, and across upgrades."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from dataclasses import replace
from typing import Any

import pytest

from cloverrouter.balancer_state import capture_state, count_endpoints, restore_balancer
from cloverrouter.interface import (
    Action,
    AttemptEnded,
    Cordon,
    CordonResult,
    EndpointsListed,
    EndpointState,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    Send,
    ShareAssigned,
)
from cloverrouter.proxy.handover import decode_state, encode_state
from tests.driver import SETTINGS, Driver, delta, endpoint, full
from tests.sockets import Discovery, Host, answer_ok, running
from tests.test_handover import free_port


def sent_to(actions: list[Action]) -> list[str]:
    return [action.endpoint for action in actions if isinstance(action, Send)]


def ask(driver: Driver, name: str, on: bool) -> bool:
    (answer,) = [a for a in driver.tell(Cordon(name, on)) if isinstance(a, CordonResult)]
    assert (answer.endpoint, answer.on) == (name, on)
    return answer.known


def encoded_state(driver: Driver) -> dict[str, Any]:
    """Returns the balancer's state as the next process receives it."""
    state: dict[str, Any] = json.loads(json.dumps(encode_state(capture_state(driver.balancer))))
    return state


def used(driver: Driver, count: int = 60) -> set[str]:
    before = sum(map(len, driver.sent.values()))
    driver.serve(count)
    every = [name for names in driver.sent.values() for name in names]
    return set(every[before:])


def test_cordoned_server_gets_no_first_tries() -> None:
    driver = Driver()
    assert used(driver) == {"s1", "s2", "s3"}
    assert ask(driver, "s1", True)
    assert ask(driver, "s1", True)  # repeated, it changes nothing
    assert used(driver) == {"s2", "s3"}


def test_cordoned_server_gets_no_retries() -> None:
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2")])
    request_id, actions = driver.request()
    (first,) = sent_to(actions)
    other = {"s1": "s2", "s2": "s1"}[first]
    ask(driver, other, True)
    driver.end(request_id, Outcome.ERROR)
    driver.wait(1900)
    assert set(driver.sent[request_id]) == {first}


def test_queued_request_does_not_go_to_a_cordoned_server() -> None:
    driver = Driver(endpoints=[endpoint("s1")])
    ask(driver, "s1", True)
    request_id, actions = driver.request()
    assert sent_to(actions) == []
    driver.wait(100)
    assert sent_to(driver.tell(full(endpoint("s1"), endpoint("s2")))) == ["s2"]
    assert driver.sent[request_id] == ["s2"]


def test_id_that_was_never_listed_is_refused() -> None:
    driver = Driver()
    assert not ask(driver, "s9", True)
    assert not ask(driver, "s9", False)
    driver.tell(full(endpoint("s1"), endpoint("s9")))
    assert "s9" in used(driver)  # the refusal has changed nothing
    driver.tell(full(endpoint("s1")))
    assert ask(driver, "s9", True)  # it was listed before


@pytest.mark.parametrize("change", ["full", "restart", "left and back", "restored", "drained and back"])
def test_cordon_outlives_what_the_lists_say(change: str) -> None:
    driver = Driver()
    ask(driver, "s1", True)
    everyone = [endpoint("s2"), endpoint("s3")]
    match change:
        case "full":
            driver.tell(full(endpoint("s1"), *everyone))
        case "restart":
            driver.tell(delta(endpoint("s1", started_ms=driver.now_ms - 50)))
        case "left and back":
            driver.tell(full(*everyone))
            driver.tell(delta(endpoint("s1", state=EndpointState.GONE)))
            driver.tell(delta(endpoint("s1", started_ms=driver.now_ms)))
        case "restored":
            driver.tell(EndpointsListed(ListKind.RESTORED, (endpoint("s1"), *everyone)))
        case "drained and back":
            driver.tell(delta(endpoint("s1", state=EndpointState.DRAINING)))
            driver.tell(delta(endpoint("s1")))
    driver.wait(20_000)
    assert used(driver) == {"s2", "s3"}
    assert ask(driver, "s1", False)
    assert "s1" in used(driver)


def test_server_is_used_soon_after_its_cordon_but_as_a_cold_one() -> None:
    """Its listed start time is old, or missing, but it may have restarted during the cordon."""
    driver = Driver(endpoints=[endpoint(f"s{i}") for i in range(6)])
    driver.serve(300)
    ask(driver, "s1", True)
    driver.wait(3000)
    ask(driver, "s1", False)
    begun_ms = driver.now_ms
    before = len(driver.sent)
    while not any("s1" in names for names in list(driver.sent.values())[before:]):
        driver.serve(1)
        assert driver.now_ms - begun_ms < 5000
    # At first it gets far fewer requests than a warm server.
    counts = dict.fromkeys([f"s{i}" for i in range(6)], 0)
    before = len(driver.sent)
    driver.serve(40)
    for names in list(driver.sent.values())[before:]:
        counts[names[0]] += 1
    assert counts["s1"] <= 40 / 6 / 2
    assert driver.balancer.membership.endpoints["s1"].warmth(driver.now_ms) < 0.7


def test_repeated_uncordon_changes_nothing() -> None:
    driver = Driver()
    ask(driver, "s1", True)
    assert ask(driver, "s1", False)
    back_ms = driver.balancer.membership.endpoints["s1"].back_ms
    driver.wait(500)
    assert ask(driver, "s1", False)
    assert driver.balancer.membership.endpoints["s1"].back_ms == back_ms


def test_id_that_returns_after_its_cordon_ended_is_still_cold() -> None:
    driver = Driver()
    ask(driver, "s1", True)
    driver.tell(full(endpoint("s2")))
    assert ask(driver, "s1", False)
    driver.tell(full(endpoint("s1"), endpoint("s2")))
    assert driver.balancer.membership.endpoints["s1"].warmth(driver.now_ms) < 1


def test_cordons_random_walk() -> None:
    """Random events in random order: no new request goes to a cordoned server."""
    chance = random.Random(7)
    driver = Driver(endpoints=[endpoint(f"s{i}") for i in range(5)])
    cordoned: set[str] = set()
    for _ in range(600):
        name = f"s{chance.randrange(5)}"
        match chance.randrange(5):
            case 0:
                on = chance.random() < 0.5
                if ask(driver, name, on):
                    (cordoned.add if on else cordoned.discard)(name)
            case 1:
                driver.tell(full(*(endpoint(f"s{i}") for i in range(5) if chance.random() < 0.7)))
            case 2:
                driver.tell(delta(endpoint(name, started_ms=driver.now_ms)))
            case _:
                request_id, _ = driver.request(chance.choice(["safe", "keyed", "unsafe"]))
                if request_id in driver.sent:
                    driver.end(request_id, chance.choice([Outcome.OK, Outcome.ERROR, Outcome.REJECTED]))
        seen = len(driver.log)
        driver.wait(chance.random() * 200)
        assert not cordoned & set(sent_to(driver.log[seen:]))


def test_census_counts_what_is_avoided() -> None:
    driver = Driver()
    driver.tell(full(*(endpoint(f"s{i}") for i in range(4)), endpoint("s4", state=EndpointState.DRAINING)))
    ask(driver, "s1", True)
    found = count_endpoints(driver.balancer, driver.now_ms)
    assert (found.listed, found.avoided) == (5, 2)


# From one balancer to its successor


def test_successor_continues_from_the_state() -> None:
    driver = Driver(endpoints=[endpoint("s1"), endpoint("s2"), endpoint("s3", started_ms=900.0)])
    driver.serve(100)
    ask(driver, "s1", True)
    driver.balancer.budget.tokens = 42.0
    encoded: Any = encoded_state(driver)
    state = decode_state(encoded, driver.now_ms)
    after = restore_balancer(SETTINGS, 5, state)
    listed = (endpoint("s1"), endpoint("s2"), endpoint("s3", started_ms=900.5))
    after.handle(driver.now_ms, [EndpointsListed(ListKind.RESTORED, listed), ShareAssigned(0.5)])
    driver.tell(ShareAssigned(0.5))
    assert after.budget.tokens == driver.balancer.budget.tokens == 21.0  # half each, not all of it twice
    sent = sent_to(after.handle(driver.now_ms, [RequestArrived(i, "safe") for i in range(9)]))
    assert sent
    assert "s1" not in sent
    before = driver.balancer.membership.endpoints["s2"]
    assert after.membership.endpoints["s2"].earned == before.earned
    answers = after.handle(driver.now_ms, [Cordon("s9", True), Cordon("s3", True)])
    assert [a.known for a in answers if isinstance(a, CordonResult)] == [False, True]


@pytest.mark.parametrize("field", ["tokens", "cordons", "endpoints", "classes"])
@pytest.mark.parametrize("value", [None, "x", [None], -1, [[]], float("inf")])
def test_invalid_state_is_refused(field: str, value: Any) -> None:
    encoded = {**encoded_state(Driver()), field: value}
    with pytest.raises(ValueError):
        decode_state(encoded, 0.0)


def test_two_balancers_together_spend_one_cold_budget() -> None:
    """Two balancers with half of the limits each send a cold server no more than one alone may send."""

    def pushed(parts: list[float]) -> int:
        drivers = [
            Driver(endpoints=[endpoint("cold", started_ms=1000.0)], seed=i) for i, _ in enumerate(parts)
        ]
        for driver, part in zip(drivers, parts, strict=True):
            driver.balancer.restored_peak_rate = 2.0
            driver.tell(ShareAssigned(part))
            for _ in range(100):
                driver.request()
                driver.wait(20)
                for request_id, names in list(driver.sent.items()):
                    driver.tell(AttemptEnded(request_id, len(names) - 1, Outcome.OK, 20.0, True))
        return sum(len(driver.sent) for driver in drivers)

    alone = pushed([1.0])
    assert pushed([0.5, 0.5]) <= 1.25 * alone < pushed([1.0, 1.0])


def test_other_process_requests_count_against_the_limit() -> None:
    settings = replace(SETTINGS, limits=replace(SETTINGS.limits, max_open=100))
    driver = Driver(settings, [endpoint("s1")])
    for _ in range(60):
        driver.request()
    assert not [a for a in driver.log if isinstance(a, Refuse)]
    refusals = driver.tell(ShareAssigned(0.5, other_open_requests=40))
    assert len(refusals) == 15  # half of the excess; the other process refuses the other half
    assert all(isinstance(a, Refuse) for a in refusals)
    driver.tell(ShareAssigned(1.0))
    _, actions = driver.request()
    assert actions == []


# Over sockets


def test_operators_cordon_a_server_across_an_upgrade() -> None:
    async def scene() -> None:
        hosts = [await Host(f"h{i}", answer_ok).start() for i in range(2)]
        discovery = await Discovery().start()
        async with running(discovery, hosts) as proxy:

            async def only(count: int, *wanted: Host) -> None:
                for host in hosts:
                    host.seen.clear()
                client = await proxy.client()
                for _ in range(count):
                    answer = await client.ask("/keyed")
                    assert answer.status == 200
                    if answer.headers.get("connection") == "close":
                        client = await proxy.client()
                assert {host.name for host in hosts if host.seen} == {host.name for host in wanted}

            assert (await proxy.call("POST", "/admin/cordon", "nobody")).status == 404
            assert (await proxy.call("POST", "/admin/cordon", "h0")).status == 200
            assert (await proxy.call("POST", "/admin/cordon", "h0\n")).status == 200
            await only(10, hosts[1])
            old = proxy.process
            control = f"127.0.0.1:{free_port()}"
            proxy.start(PROXY_CONTROL=control)
            await proxy.wait_for_log("serves at", 2)
            await only(10, hosts[1])
            # A request to either process applies to both.
            assert (await proxy.call("POST", "/admin/uncordon", "h0", control)).status == 200
            await proxy.wait_for_log("h0 is uncordoned", 2)
            assert (await proxy.call("POST", "/admin/cordon", "h1")).status == 200
            await proxy.wait_for_log("h1 is cordoned", 2)
            await only(10, hosts[0])
            old.send_signal(signal.SIGTERM)
            assert await proxy.ended(old) == 0
            await only(10, hosts[0])

    asyncio.run(scene())
