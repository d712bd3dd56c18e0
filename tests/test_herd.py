"""Many proxies that start, or lose discovery, at the same time do not act at the same time."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest

from cloverrouter.proxy.config import UnixClock
from cloverrouter.proxy.discovery import DRAIN_GRACE_SHARE, MIN_BACKOFF_S, Watch
from tests.sockets import Discovery, Host, running

GRACE_MS = 500.0
MOST_S = DRAIN_GRACE_SHARE * GRACE_MS / 1000  # a change counts as announced even while no request is waiting
DEAD = ("127.0.0.1", 1)  # no listener there


def backoff_delays(seed: int, version: int | None, monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Returns the backoff delays of a proxy with this seed while discovery refuses a dozen connections."""
    slept: list[float] = []
    sleep = asyncio.sleep

    async def record(delay_s: float) -> None:
        slept.append(delay_s)
        await sleep(0)

    async def scene() -> None:
        failures: list[None] = []
        watch = Watch(DEAD, UnixClock(), True, lambda _: None, lambda: failures.append(None), Random(seed),
                      GRACE_MS)  # fmt: skip
        watch.version = version
        watch.start()
        async with asyncio.timeout(30):
            while len(failures) < 12:
                await sleep(0.001)
        watch.stop()

    with monkeypatch.context() as patch:
        patch.setattr("cloverrouter.proxy.discovery.asyncio.sleep", record)
        asyncio.run(scene())
    return slept


class WithPendingChange(Discovery):
    """Has a change that the proxy's own list lacks: the last server is gone."""

    def listing(self, since: int | None = None) -> dict[str, Any]:
        found = super().listing(since)
        if self.version == 1:
            last = list(self.entries.values())[-1]
            self.version, self.changes = 2, [(2, last["id"])]
            self.entries[last["id"]] = {**last, "state": "left"}
        return found


def test_started_with_an_old_list_nothing_is_sent_to_what_is_gone() -> None:
    """A change made while the proxy was down counts as announced from its start on."""

    async def scene() -> None:
        discovery = await WithPendingChange().start()
        stays, gone = await Host("stays").start(), await Host("gone").start()
        async with running(discovery, [stays, gone], settings={"discovery": "automatic"}) as proxy:
            client = await proxy.client()
            answers = [await client.ask("/unsafe") for _ in range(20)]
        assert [answer.status for answer in answers] == [200] * 20
        assert len(stays.seen) == 20 and not gone.seen
        assert discovery.calls[0].endswith("hold_ms=0")

    asyncio.run(scene())


def test_silent_agent_does_not_delay_a_start() -> None:
    """The proxy serves with the list that it has, and goes on requesting another."""

    async def scene() -> None:
        discovery = await Discovery().start()
        host = await Host("h").start()
        discovery.broken = [b""] * 3
        async with running(discovery, [host], settings={"discovery": "automatic"}) as proxy:
            answer = await (await proxy.client()).ask("/unsafe")
            assert answer.status == 200
            await discovery.wait_for_calls(4)

    asyncio.run(scene())


def test_proxy_without_a_list_asks_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    first_backoff = backoff_delays(1, None, monkeypatch)[0]
    assert MIN_BACKOFF_S <= first_backoff <= 3 * MIN_BACKOFF_S  # the first request was made before it


def test_calls_after_failures_are_spread_and_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    every = [backoff_delays(seed, None, monkeypatch) for seed in range(12)]
    assert all(MIN_BACKOFF_S <= wait <= MOST_S for slept in every for wait in slept)
    for nth in zip(*(slept[:10] for slept in every), strict=True):
        assert len(set(nth)) == len(every)  # not even at the upper bound
    assert any(wait > 0.9 * MOST_S for slept in every for wait in slept)
