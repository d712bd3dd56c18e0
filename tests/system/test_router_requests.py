"""What is sent to a server, and what the client gets back if all goes well or if the request is rejected."""

from __future__ import annotations

import pytest

from cloverrouter.control.configuration import Configuration
from cloverrouter.http.client import ConnectionPool
from cloverrouter.placement.quota import QuotaHolder
from cloverrouter.router.ports import Pool, Quota
from tests.system.router_world import CHUNKED, CONFIGURATION, EVENTS, KEY, SIGNED, World, event, tenant


@pytest.fixture
def world() -> World:
    return World().set_up()


def test_method_path_body_and_headers_go_unchanged(world: World) -> None:
    exchange = world.ask("/once/a%2Fb?q=1&q=2", (b"x-own", b"1"), (b"x-own", b"2"), body=b"\x00\xff\r\n")
    call = world.last
    assert call.request_line == b"POST /once/a%2Fb?q=1&q=2 HTTP/1.1"
    assert call.body == b"\x00\xff\r\n"
    assert [value for name, value in call.fields if name == b"x-own"] == [b"1", b"2"]
    assert call.field(b"host") == b"front.example"
    assert call.field(b"content-length") == b"4"
    assert call.field(b"cypresswinch-attempt-id") == exchange.request.header(b"cypresswinch-attempt-id")


def test_the_server_s_answer_goes_back_unchanged(world: World) -> None:
    exchange = world.ask("/once/x")
    world.last.answer(
        201, SIGNED, (b"x-more", b"y"), (b"connection", b"x-hop"), (b"x-hop", b"1"), body=b"bytes"
    )
    assert (exchange.status, exchange.body, exchange.ended) == (201, b"bytes", True)
    assert exchange.headers == [SIGNED, (b"x-more", b"y")]
    assert world.budget.earned == 1
    assert world.router.in_flight == 0


def test_the_key_and_what_the_client_may_not_say_are_not_passed_on(world: World) -> None:
    world.ask(
        "/once/x",
        (b"cypresswinch-tenant", b"b"),
        (b"cypresswinch-expected-instance", b"other"),
        (b"priority", b"0"),
        (b"connection", b"close, x-secret, cypresswinch-attempt-id"),
        (b"x-secret", b"1"),
        (b"te", b"trailers"),
        (b"proxy-authorization", b"z"),
        (b"expect", b"100-continue"),
    )
    call = world.last
    assert call.field(b"cypresswinch-tenant") == b"a"
    assert call.field(b"cypresswinch-expected-instance") in (b"desk-0", b"desk-1", b"desk-2")
    for name in (b"authorization", b"connection", b"x-secret", b"te", b"proxy-authorization", b"expect"):
        assert call.field(name) is None
    assert KEY not in b"".join(value for _, value in call.fields)
    assert call.field(b"cypresswinch-attempt-id") is not None


def test_an_unknown_key_is_refused(world: World) -> None:
    assert world.ask("/once/x", key=b"nobody's").status == 401
    assert world.ask("/once/x", key=None).status == 401
    assert not world.calls


def test_an_anonymous_route_needs_no_key(world: World) -> None:
    world.ask("/open/x", (b"cypresswinch-tenant", b"a"), key=None)
    assert world.last.field(b"cypresswinch-tenant") is None
    world.ask("/open/x", key=b"nobody's")
    assert len(world.calls) == 2


def test_without_tenants_no_key_is_needed(world: World) -> None:
    world.router.configure(Configuration(4, CONFIGURATION.routes, CONFIGURATION.services))
    world.ask("/once/x", key=None)
    assert len(world.calls) == 1


@pytest.mark.parametrize(
    ("path", "host"),
    [
        ("/none/x", b"front.example"),
        ("/once", b"front.example"),
        ("/once/x", b"other.example"),
        ("/?a=/once/", b"front.example"),
    ],
)
def test_no_route(world: World, path: str, host: bytes) -> None:
    assert world.ask(path, host=host).status == 404


def test_a_request_without_an_id_or_with_two_is_malformed(world: World) -> None:
    assert world.ask("/once/x", attempt_id=b"").status == 400
    assert world.ask("/once/x", (b"cypresswinch-attempt-id", b"second")).status == 400
    assert not world.calls


def test_before_the_first_configuration_the_client_is_told_to_come_back() -> None:
    world = World()
    exchange = world.ask("/once/x")
    assert exchange.status == 503
    assert exchange.field(b"retry-after") is not None
    assert not world.router.ready()


def test_a_process_that_has_just_started_says_when_it_will_be_ready() -> None:
    world = World()
    waits = []
    for _ in range(4):
        exchange = world.ask("/once/x")
        waits.append(float(exchange.field(b"retry-after") or b"0"))
        world.clock.pass_ms(700)
    assert 1.3 <= waits[0] <= 1.6
    assert 0.6 <= waits[1] <= 0.9
    assert all(0.3 <= wait <= 0.6 for wait in waits[2:])


def test_the_deadline_is_the_lesser_of_the_client_s_and_the_route_s(world: World) -> None:
    world.ask("/once/x", (b"cypresswinch-deadline-ms", b"1500"))
    assert world.last.field(b"cypresswinch-deadline-ms") == b"1500"
    world.ask("/once/x", (b"cypresswinch-deadline-ms", b"15000"))
    assert world.last.field(b"cypresswinch-deadline-ms") == b"2000"
    for unreadable in (b"soon", b"nan", b"-5", b"inf"):
        world.ask("/once/x", (b"cypresswinch-deadline-ms", unreadable))
        assert world.last.field(b"cypresswinch-deadline-ms") == b"2000"


@pytest.mark.parametrize(
    ("usage", "tokens"),
    [
        (b"1460,80", 1540),
        (b" 5 , 6 ", 11),
        (b"", 200),
        (b"7", 200),
        (b"a,b", 200),
        (b"-1,9", 200),
        (None, 200),
    ],
)
def test_the_quota_counts_tokens(world: World, usage: bytes | None, tokens: int) -> None:
    world.ask("/once/x", *([(b"cypresswinch-token-usage", usage)] if usage is not None else []))
    assert world.quota.taken == [("a", tokens)]


def test_beyond_the_quota_the_answer_is_429(world: World) -> None:
    world.quota.waits = [0.7]
    exchange = world.ask("/once/x")
    assert exchange.status == 429
    assert float(exchange.field(b"retry-after") or b"0") == pytest.approx(0.7)
    assert not world.calls


def test_a_request_waits_a_moment_for_its_quota(world: World) -> None:
    world.quota.waits = [0.02]
    world.ask("/once/x")
    assert not world.calls
    world.router.on_quota_update("a")
    assert len(world.calls) == 1
    world.clock.pass_ms(100)
    assert len(world.calls) == 1
    assert len(world.quota.taken) == 1


def test_news_of_the_quota_after_the_request_went_out_sends_it_no_second_time(world: World) -> None:
    world.quota.waits = [0.02]
    world.ask("/once/x")
    world.clock.pass_ms(25)
    assert len(world.calls) == 1
    world.router.on_quota_update("a")
    assert len(world.calls) == 1
    assert len(world.quota.taken) == 1


def test_a_request_does_not_wait_for_its_quota_for_long(world: World) -> None:
    world.quota.waits = [0.02] * 10
    exchange = world.ask("/once/x")
    world.clock.pass_ms(100)
    assert exchange.status == 429
    assert not world.calls


def test_the_tenant_s_priority_goes_before_the_route_s(world: World) -> None:
    world.ask("/once/x", key=b"key-of-b")
    first = world.last.field(b"priority")
    world.ask("/once/x", key=b"key-of-a")
    second = world.last.field(b"priority")
    assert first is not None
    assert second is not None
    assert 0 <= int(first) < int(second) <= 9


def test_a_tenant_without_limit_is_not_counted(world: World) -> None:
    free = tenant("a", rate_per_s=None)
    world.router.configure(Configuration(4, CONFIGURATION.routes, CONFIGURATION.services, tenants=(free,)))
    world.ask("/once/x")
    assert not world.quota.taken


def test_events_are_passed_on_as_they_come(world: World) -> None:
    exchange = world.ask("/talk/x")
    world.last.head(200, SIGNED, EVENTS)
    assert not exchange.headers  # the head is sent with the first event
    world.last.data(event(1))
    assert (exchange.status, exchange.body) == (200, event(1))
    world.last.data(event(2))
    assert exchange.body == event(1) + event(2)
    world.last.end()
    assert exchange.ended


def test_back_pressure_reaches_the_server(world: World) -> None:
    exchange = world.ask("/talk/x")
    world.last.stream(event(1))
    assert exchange.on_pause is not None
    assert exchange.on_resume is not None
    exchange.on_pause()
    exchange.on_resume()
    assert world.last.pauses == ["pause", "resume"]


def test_a_large_answer_is_passed_on_as_it_comes(world: World) -> None:
    exchange = world.ask("/once/x")
    size = 500_000
    world.last.head(200, SIGNED, length=size)
    world.last.data(b"x" * 1000)
    assert len(exchange.body) == 1000
    world.last.data(b"x" * (size - 1000))
    world.last.end()
    assert exchange.ended
    assert len(exchange.body) == size


def test_an_answer_counts_as_held_while_it_is_buffered(world: World) -> None:
    """One of unknown length is buffered first, and forwarded as it comes once it has outgrown the buffer."""
    exchange = world.ask("/once/x")
    world.last.head(200, SIGNED, CHUNKED)
    world.last.data(b"x" * 100_000)
    assert (exchange.held_answer_bytes, exchange.body) == (100_000, b"")
    world.last.data(b"x" * 100_000)
    assert (exchange.held_answer_bytes, len(exchange.body)) == (0, 200_000)
    world.last.end()
    assert exchange.ended


def test_the_answer_to_head_has_no_body(world: World) -> None:
    exchange = world.ask("/once/x", method=b"HEAD", body=b"")
    world.last.head(200, SIGNED, length=17)
    world.last.end()
    assert (exchange.status, exchange.body, exchange.ended) == (200, b"", True)


def test_while_draining_answers_end_their_connections(world: World) -> None:
    exchange = world.ask("/once/x")
    world.router.begin_shutdown(world.clock() + 7.0)
    world.last.answer(200, SIGNED, body=b"x")
    assert exchange.closed
    assert not world.router.ready()


def test_readiness_needs_servers(world: World) -> None:
    assert world.router.ready()
    bare = World()
    bare.router.configure(CONFIGURATION)
    assert not bare.router.ready()


def test_the_pool_and_the_quota_implement_the_ports() -> None:
    """Checked by mypy: the pool and the quota implement the ports."""
    pool: type[Pool] = ConnectionPool
    quota: Quota = QuotaHolder(1, 0.0)
    assert pool
    assert quota.admit("nobody", 1, 0.0) == 0.0
