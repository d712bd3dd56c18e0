"""Idle connections that servers forget without a word."""

from __future__ import annotations

import math

from cloverrouter.http.client import ConnectionPool, Failure
from cloverrouter.http.rest import LEARNT_FOR_S, RestLimits
from cloverrouter.placement.idle_resets import (
    MIN_REPORTERS,
    REPORT_INTERVAL_S,
    WINDOW_S,
    IdleResetAggregator,
    IdleResetReporter,
)
from cloverrouter.placement.trouble_messages import RestReport
from tests.system.peers import Answered, Upstream, play

NOW = 50.0
MESSAGE = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def test_nothing_is_known_at_first() -> None:
    assert RestLimits[str]().limit_s("a", NOW) == math.inf


def test_a_loss_shortens_the_rest_at_that_server_for_a_while() -> None:
    rests = RestLimits[str]()
    rests.forgotten("a", 0.4, NOW)
    assert rests.limit_s("a", NOW + 1) < 0.4
    assert rests.limit_s("b", NOW + 1) == math.inf
    assert rests.limit_s("a", NOW + LEARNT_FOR_S + 1) == math.inf


def test_two_servers_that_forget_speak_for_all() -> None:
    rests = RestLimits[str]()
    rests.forgotten("a", 3.0, NOW)
    rests.forgotten("b", 2.0, NOW + 1)
    assert rests.limit_s("c", NOW + 1) < 2.0


def test_losses_far_apart_say_nothing_of_others() -> None:
    rests = RestLimits[str]()
    rests.forgotten("a", 3.0, NOW)
    rests.forgotten("b", 2.0, NOW + 20)
    assert rests.limit_s("c", NOW + 20) == math.inf


def test_the_shortest_rest_counts() -> None:
    rests = RestLimits[str]()
    rests.forgotten("a", 0.2, NOW)
    rests.forgotten("a", 3.0, NOW + 1)
    assert rests.limit_s("a", NOW + 1) < 0.2


def test_a_lesson_that_has_to_be_learnt_again_holds_longer() -> None:
    rests = RestLimits[str]()
    rests.forgotten("a", 0.4, NOW)
    again = NOW + LEARNT_FOR_S + 1
    rests.forgotten("a", 0.4, again)
    assert rests.limit_s("a", again + LEARNT_FOR_S + 1) < 0.4


def test_a_server_that_is_gone_is_forgotten() -> None:
    rests = RestLimits[str]()
    rests.forgotten("a", 0.4, NOW)
    rests.forget("a")
    assert rests.limit_s("a", NOW) == math.inf


def test_what_others_learnt_counts_for_all_servers_and_a_while() -> None:
    rests = RestLimits[str]()
    rests.told(0.1, 5.0, NOW)
    rests.told(0.3, 1.0, NOW)
    assert rests.limit_s("a", NOW + 4) == 0.1
    assert rests.limit_s("a", NOW + 6) == math.inf


def test_a_proxy_tells_the_shortest_rest_now_and_then() -> None:
    reporter = IdleResetReporter()
    assert reporter.flush(NOW) is None
    reporter.record_reset(2.0)
    reporter.record_reset(0.4)
    assert reporter.flush(NOW) == RestReport(400)
    reporter.record_reset(3.0)
    assert reporter.flush(NOW + REPORT_INTERVAL_S / 2) is None
    assert reporter.flush(NOW + REPORT_INTERVAL_S) == RestReport(3000)


def test_all_hear_of_it_once_several_proxies_lost_a_request_so() -> None:
    desk = IdleResetAggregator()
    told = [desk.receive(NOW, f"10.0.0.{place}", RestReport(400 + place)) for place in range(MIN_REPORTERS)]
    assert told[:-1] == [None] * (MIN_REPORTERS - 1)
    warning = told[-1]
    assert warning is not None and warning.limit_ms == 200 and warning.for_ms > 0


def test_resets_here_and_there_warn_nobody() -> None:
    desk = IdleResetAggregator()
    for place in range(20):
        assert desk.receive(NOW + place * WINDOW_S, f"10.0.0.{place}", RestReport(400)) is None
        assert desk.receive(NOW + place * WINDOW_S, f"10.0.0.{place}", RestReport(300)) is None


def test_after_a_reset_on_a_rested_connection_those_that_rested_as_long_are_not_used() -> None:
    async def scene() -> None:
        upstream = await Upstream().start()
        connections = ConnectionPool(8, 0.5, 60.0, settle_s=0.0)
        first, second = Answered(), Answered()
        for answered in (first, second):
            connections.send(upstream.address, MESSAGE, answered)
        for number, answered in enumerate((first, second)):
            peer = await upstream.peer(number)
            await peer.head()
            peer.send(OK)
            await answered.over.wait()
        assert connections.idle(upstream.address) == 2
        lost = Answered()
        call = connections.send(upstream.address, MESSAGE, lost)
        assert call.reused
        upstream.peers[1].reset()
        await lost.over.wait()
        assert lost.failure is Failure.BROKEN  # it may have run, for all that the pool can know
        assert not connections.send(upstream.address, MESSAGE, Answered()).reused
        assert connections.idle(upstream.address) == 0
        connections.close()

    play(scene())
