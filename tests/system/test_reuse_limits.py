"""Limits on the reuse of idle connections that servers drop silently."""

from __future__ import annotations

import math

from cloverrouter.http.client import ConnectionPool, Failure
from cloverrouter.http.reuse import LIMIT_DURATION_S, ReuseLimits
from cloverrouter.placement.idle_resets import (
    MIN_REPORTERS,
    REPORT_INTERVAL_S,
    WINDOW_S,
    IdleResetAggregator,
    IdleResetReporter,
)
from cloverrouter.placement.trouble_messages import RestReport
from tests.system.peers import RecordingListener, Upstream, run_scenario

NOW = 50.0
MESSAGE = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def test_no_limit_before_any_reset() -> None:
    assert ReuseLimits[str]().limit_s("a", NOW) == math.inf


def test_reset_limits_reuse_at_that_server_for_a_while() -> None:
    limits = ReuseLimits[str]()
    limits.record_reset("a", 0.4, NOW)
    assert limits.limit_s("a", NOW + 1) < 0.4
    assert limits.limit_s("b", NOW + 1) == math.inf
    assert limits.limit_s("a", NOW + LIMIT_DURATION_S + 1) == math.inf


def test_resets_at_two_servers_limit_reuse_at_all() -> None:
    limits = ReuseLimits[str]()
    limits.record_reset("a", 3.0, NOW)
    limits.record_reset("b", 2.0, NOW + 1)
    assert limits.limit_s("c", NOW + 1) < 2.0


def test_resets_far_apart_do_not_limit_other_servers() -> None:
    limits = ReuseLimits[str]()
    limits.record_reset("a", 3.0, NOW)
    limits.record_reset("b", 2.0, NOW + 20)
    assert limits.limit_s("c", NOW + 20) == math.inf


def test_the_shortest_limit_applies() -> None:
    limits = ReuseLimits[str]()
    limits.record_reset("a", 0.2, NOW)
    limits.record_reset("a", 3.0, NOW + 1)
    assert limits.limit_s("a", NOW + 1) < 0.2


def test_repeated_reset_extends_the_limit() -> None:
    limits = ReuseLimits[str]()
    limits.record_reset("a", 0.4, NOW)
    again = NOW + LIMIT_DURATION_S + 1
    limits.record_reset("a", 0.4, again)
    assert limits.limit_s("a", again + LIMIT_DURATION_S + 1) < 0.4


def test_removed_server_has_no_limit() -> None:
    limits = ReuseLimits[str]()
    limits.record_reset("a", 0.4, NOW)
    limits.forget("a")
    assert limits.limit_s("a", NOW) == math.inf


def test_shared_limit_applies_to_all_servers_for_a_while() -> None:
    limits = ReuseLimits[str]()
    limits.apply_shared_limit(0.1, 5.0, NOW)
    limits.apply_shared_limit(0.3, 1.0, NOW)
    assert limits.limit_s("a", NOW + 4) == 0.1
    assert limits.limit_s("a", NOW + 6) == math.inf


def test_proxy_reports_the_shortest_idle_time_per_interval() -> None:
    reporter = IdleResetReporter()
    assert reporter.flush(NOW) is None
    reporter.record_reset(2.0)
    reporter.record_reset(0.4)
    assert reporter.flush(NOW) == RestReport(400)
    reporter.record_reset(3.0)
    assert reporter.flush(NOW + REPORT_INTERVAL_S / 2) is None
    assert reporter.flush(NOW + REPORT_INTERVAL_S) == RestReport(3000)


def test_warning_once_several_proxies_reported_resets() -> None:
    aggregator = IdleResetAggregator()
    warnings = [
        aggregator.receive(NOW, f"10.0.0.{index}", RestReport(400 + index)) for index in range(MIN_REPORTERS)
    ]
    assert warnings[:-1] == [None] * (MIN_REPORTERS - 1)
    warning = warnings[-1]
    assert warning is not None and warning.limit_ms == 200 and warning.for_ms > 0


def test_isolated_resets_cause_no_warning() -> None:
    aggregator = IdleResetAggregator()
    for index in range(20):
        assert aggregator.receive(NOW + index * WINDOW_S, f"10.0.0.{index}", RestReport(400)) is None
        assert aggregator.receive(NOW + index * WINDOW_S, f"10.0.0.{index}", RestReport(300)) is None


def test_after_an_idle_reset_connections_idle_as_long_are_not_reused() -> None:
    async def scenario() -> None:
        upstream = await Upstream().start()
        connections = ConnectionPool(8, 0.5, 60.0, settle_s=0.0)
        first, second = RecordingListener(), RecordingListener()
        for recorder in (first, second):
            connections.send(upstream.address, MESSAGE, recorder)
        for number, recorder in enumerate((first, second)):
            peer = await upstream.peer(number)
            await peer.head()
            peer.send(OK)
            await recorder.finished.wait()
        assert connections.idle(upstream.address) == 2
        lost = RecordingListener()
        call = connections.send(upstream.address, MESSAGE, lost)
        assert call.reused
        upstream.peers[1].reset()
        await lost.finished.wait()
        assert lost.failure is Failure.BROKEN  # the pool cannot know whether the request was executed
        assert not connections.send(upstream.address, MESSAGE, RecordingListener()).reused
        assert connections.idle(upstream.address) == 0
        connections.close()

    run_scenario(scenario())
