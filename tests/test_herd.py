"""Many proxies that start, or lose discovery, at one moment do not act as one."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from cloverrouter.proxy.config import UnixClock
from cloverrouter.proxy.discovery import FIRST_CALL_S, PUSHED_FIRST_S, PUSHED_MOST_S, Watch

DEAD = ("127.0.0.1", 1)  # nobody listens there


def waits(seed: int, version: int | None, monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """What a proxy with this seed waits for, with discovery refusing it a dozen times."""
    slept: list[float] = []
    sleep = asyncio.sleep

    async def record(delay_s: float) -> None:
        slept.append(delay_s)
        await sleep(0)

    async def scene() -> None:
        failures: list[None] = []
        watch = Watch(DEAD, UnixClock(), True, lambda _: None, lambda: failures.append(None), Random(seed))
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


def test_first_calls_of_many_are_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    firsts = [waits(seed, 7, monkeypatch)[0] for seed in range(12)]
    assert all(0 <= first <= FIRST_CALL_S for first in firsts)
    assert max(firsts) - min(firsts) > FIRST_CALL_S / 2
    assert len(set(firsts)) == 12


def test_proxy_without_a_list_asks_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    first_backoff = waits(1, None, monkeypatch)[0]
    assert PUSHED_FIRST_S <= first_backoff <= 3 * PUSHED_FIRST_S  # the call had been made before it


def test_calls_after_failures_are_spread_and_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    every = [waits(seed, None, monkeypatch) for seed in range(12)]
    assert all(PUSHED_FIRST_S <= wait <= PUSHED_MOST_S for slept in every for wait in slept)
    for nth in zip(*(slept[:10] for slept in every), strict=True):
        assert len(set(nth)) > 6  # some are at the bound
    assert any(wait > PUSHED_MOST_S / 2 for slept in every for wait in slept)
