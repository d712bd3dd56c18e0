"""What is concluded about a request whose last byte was not sent yet, for each order of events.

A server may begin to execute a request once it has the head, and answer before it has read the whole body. So
only its own word proves that it did not run the request.
"""

from __future__ import annotations

from itertools import product

import pytest

from tests.system.reuse_world import ReuseWorld, answer, chunk, refusal, stream_head
from tests.system.router_world import event

PROMISES = (408, 421, 429, 503)
"""Status codes that promise that the request did not run."""
EVENTS = (
    "last byte",
    "interim",
    "success",
    "half a success",
    "the other half",
    "stream",
    "another's success",
    "failure",
    "refusal",
    "noise",
    "close",
    "reset",
    "deadline",
    "client leaves",
)
NOT_INSIDE_A_BODY = frozenset(EVENTS) - {
    "last byte",
    "the other half",
    "close",
    "reset",
    "deadline",
    "client leaves",
}
"""Bytes that would count as a part of the body whose first half was sent."""
DEPTH = 3


def is_possible(order: tuple[str, ...]) -> bool:
    """Returns whether a server can send these in this order, so that each is what its name says."""
    for place, what in enumerate(order):
        inside_a_body = place > 0 and "half a success" in order[:place]
        if what in NOT_INSIDE_A_BODY and inside_a_body:
            return False
        if what == "the other half" and not inside_a_body:
            return False
    return True


def apply(world: ReuseWorld, request: bytes, what: str) -> None:
    """Lets one event happen at the first connection of the request."""
    wire = world.wire
    match what:
        case "last byte":
            wire.finish_request()
        case "interim":
            wire.send_bytes(b"HTTP/1.1 100 Go\r\n\r\n")
        case "success":
            wire.send_bytes(answer(request, b"whole"))
        case "half a success":
            wire.send_bytes(answer(request, b"whole")[:-2])
        case "the other half":
            wire.send_bytes(answer(request, b"whole")[-2:])
        case "stream":
            wire.send_bytes(stream_head(request) + chunk(event(1)) + b"0\r\n\r\n")
        case "another's success":
            wire.send_bytes(answer(b"another", b"whole"))
        case "failure":
            wire.send_bytes(answer(request, b"whole", 500))
        case "refusal":
            wire.send_bytes(refusal(request))
        case "noise":
            wire.send_bytes(b"\x00\x01 noise\r\n\r\n")
        case "close":
            wire.close()
        case "reset":
            wire.reset()
        case "deadline":
            world.clock.pass_ms(3000)
        case "client leaves":
            assert world.exchange is not None
            world.exchange.leave()


def check(world: ReuseWorld, sends: int, refused: bool, order: tuple[str, ...]) -> None:
    exchange = world.exchange
    assert exchange is not None
    if refused:
        return  # the server's own word that it did not run the request: it may be sent again, or refused
    assert sends == 1, order
    assert exchange.status not in PROMISES, order
    if exchange.status == 200 and exchange.ended:
        assert exchange.body in (b"whole", event(1)), order


@pytest.mark.parametrize("kind", ["call", "stream"])
def test_a_request_that_may_run_once_is_sent_once_in_each_order_of_events(kind: str) -> None:
    """Guards against requests that ran at a second server after an early answer or reset of the first."""
    played = set()
    for order in filter(is_possible, product(EVENTS, repeat=DEPTH)):
        world = ReuseWorld()
        world.pool.blocked = True
        sends_before = len(world.pool.sent)
        world.ask_kind(kind)
        first, request = world.wire, world.request
        done: list[str] = []
        for what in order:
            if first.transport.aborted or world.exchange_is_done():
                break
            apply(world, request, what)
            done.append(what)
        if tuple(done) in played:
            continue
        played.add(tuple(done))
        world.clock.pass_ms(50)
        check(world, len(world.pool.sent) - sends_before, "refusal" in done, tuple(done))
    assert len(played) > len(EVENTS)


@pytest.mark.parametrize("kind", ["call", "repeatable call"])
def test_an_early_answer_reaches_the_client_whatever_follows(kind: str) -> None:
    """Guards against dropping an answer that comes before the last byte of its request is sent."""
    for before, after in product(("", "interim", "last byte"), ("", "close", "reset", "last byte")):
        world = ReuseWorld()
        world.pool.blocked = True
        world.ask_kind(kind)
        first, request = world.wire, world.request
        for what in (before, "success", after):
            if what and not (what == after and first.transport.aborted):
                apply(world, request, what)
        assert world.exchange is not None
        assert (world.exchange.status, world.exchange.body) == (200, b"whole"), (before, after)


def test_a_refund_is_not_given_for_a_request_that_may_have_run() -> None:
    """Guards against a quota refund for a request whose client left while its body was being sent."""
    world = ReuseWorld()
    world.pool.blocked = True
    exchange = world.ask_kind("call")
    refunded = len(world.world.quota.refunded)
    exchange.leave()
    assert len(world.world.quota.refunded) == refunded
