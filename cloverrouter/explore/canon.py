"""State canonicalisation: a digest of everything in a world that can affect later events.

Times are relative to the current time, and measured values are rounded to three significant digits. Servers
are sorted by their state instead of their names, because servers of one cell are interchangeable. Data that
is only recorded for reports is left out. Rounding can give two slightly different worlds the same digest: the
search may then miss a breach, but it never reports a false one.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import xxhash

from cloverrouter.explore.world import World


def _round(value: float) -> float:
    """Rounds to three significant digits."""
    return float(f"{value:.3g}")


def _relative_ms(world: World, at_ms: float) -> float:
    """Returns the time from now to `at_ms`, negative for the past. Times over 10 s ago all count as equal."""
    return round(max(-10_000.0, at_ms - world.now_ms), 1)


def _timer_callback(timer: Any) -> Any:
    """Returns the callback of a balancer timer, with the ids of the requests that it is bound to."""
    if isinstance(timer, partial):
        return tuple(getattr(part, "id", None) or getattr(part, "__name__", "") for part in timer.args)
    return getattr(timer, "__name__", "")


def _server(world: World, name: str) -> tuple[Any, ...]:
    server, balancer_endpoint = world.servers[name], world.balancer.membership.endpoints.get(name)
    exchanges = tuple(
        (key, exchange.phase.value, _relative_ms(world, exchange.started_ms))
        for key, exchange in sorted(world.exchanges.items())
        if exchange.endpoint == name
    )
    executions = tuple(
        (call, execution.attempt, _relative_ms(world, execution.at_ms), execution.not_executed)
        for call, client in world.clients.items()
        for execution in client.executions
        if execution.endpoint == name
    )
    request_attempts = tuple(
        (request.id, number, a.outcome and a.outcome.value, _relative_ms(world, a.sent_ms), a.working)
        for request in world.balancer.requests.values()
        for number, a in enumerate(request.attempts)
        if a.endpoint.listed.name == name
    )
    endpoint_state: tuple[Any, ...] = ()
    if balancer_endpoint is not None:
        e = balancer_endpoint
        endpoint_state = (
            _round(e.earned), _round(e.slowness), _round(e.load_ratio), e.in_flight, _round(e.limit),
            _round(e.latency_ms), e.failures, max(0.0, _relative_ms(world, e.paused_until_ms)),
            _relative_ms(world, e.waiting_since_ms) if e.in_flight else 0,
            e.learned_ms is None, e.cordoned, e.unused,
            _round(e.cold_credit), e.listed.state.value, e.back_ms is None,
        )  # fmt: skip
    banned_ms = _relative_ms(world, server.banned_since_ms) if server.banned else 0
    return (
        server.cell,
        server.state.value,
        server.cordoned,
        banned_ms,
        endpoint_state,
        exchanges,
        executions,
        request_attempts,
    )


def digest(world: World) -> int:
    """Returns a 128-bit digest of the state of `world`."""
    balancer, lifecycle = world.balancer, world.lifecycle
    servers = tuple(sorted((_server(world, name) for name in world.servers), key=repr))
    clients = tuple(
        (
            client.class_name, client.deadline_ms and _relative_ms(world, client.deadline_ms),
            client.body_incomplete,
            client.body_consumed_by, client.disconnected, client.streaming, tuple(client.answers),
            client.attempts_started,
            client.upload is not None and client.upload.consumed,
        )
        for client in world.clients.values()
    )  # fmt: skip
    timers = tuple((_relative_ms(world, t.due_ms), (t.key, t.is_send_window) if t.token is None else
                    _timer_callback(balancer.timers[t.token])) for t in world.pending_timers())  # fmt: skip
    requests = tuple(
        (
            r.id, _relative_ms(world, r.arrived_ms), _relative_ms(world, r.deadline_ms),
            r.in_flight,
            _round(r.previous_wait_ms),
            r.timer is not None, r.done, r.streaming, r.uploading, len(r.attempts),
            _relative_ms(world, r.on_time_until_ms), _round(r.work),
        )
        for r in balancer.requests.values()
    )  # fmt: skip
    calls = tuple(
        (
            c.id,
            c.state.value,
            c.body_consumed,
            c.attempt_count,
            tuple((n, a.state.value) for n, a in c.in_flight.items()),
        )
        for c in lifecycle.calls.values()
    )
    latencies_by_class = tuple(
        (u.seen, _round(u.mean_ms), _round(u.base_ms), _round(u.slow_ratio))
        for u in balancer.latencies.values()
    )
    queued_ids = tuple(request.id for request in balancer.queue)
    global_state = (
        balancer.budget.tokens, balancer.share, _round(balancer.flow.limit), balancer.flow.in_flight,
        len(balancer.membership.ready), world.halted, world.successes, world.retries,
        tuple(world.ended_attempts[-1:]),
        tuple(sorted(
            (kind, n) for kind, n in world.event_counts.items() if kind in world.scope.event_limits
        )),
    )  # fmt: skip
    full_state = (servers, clients, timers, requests, calls, latencies_by_class, queued_ids, global_state)
    return xxhash.xxh3_128_intdigest(repr(full_state).encode())
