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
    return float(f"{value:.3g}")


def _ago(world: World, at_ms: float) -> float:
    """Returns the time from now to `at_ms`, negative for the past. Times over 10 s ago all count as equal."""
    return round(max(-10_000.0, at_ms - world.now_ms), 1)


def _call_of(timer: Any) -> Any:
    """Returns the callback of a balancer timer, with the ids of the requests that it is bound to."""
    if isinstance(timer, partial):
        return tuple(getattr(part, "id", None) or getattr(part, "__name__", "") for part in timer.args)
    return getattr(timer, "__name__", "")


def _server(world: World, name: str) -> tuple[Any, ...]:
    told, known = world.servers[name], world.balancer.membership.endpoints.get(name)
    wires = tuple(
        (key, wire.phase.value, _ago(world, wire.started_ms))
        for key, wire in sorted(world.wires.items())
        if wire.endpoint == name
    )
    runs = tuple(
        (call, run.attempt, _ago(world, run.at_ms), run.never_ran)
        for call, client in world.clients.items()
        for run in client.runs
        if run.endpoint == name
    )
    tried = tuple(
        (request.id, number, a.outcome and a.outcome.value, _ago(world, a.sent_ms), a.working)
        for request in world.balancer.requests.values()
        for number, a in enumerate(request.attempts)
        if a.endpoint.listed.name == name
    )
    module: tuple[Any, ...] = ()
    if known is not None:
        e = known
        module = (
            _round(e.earned), _round(e.slowness), _round(e.strain), e.in_flight, _round(e.limit),
            _round(e.latency_ms), e.failures, max(0.0, _ago(world, e.paused_until_ms)),
            _ago(world, e.waiting_since_ms) if e.in_flight else 0, e.learned_ms is None, e.cordoned, e.unused,
            _round(e.cold_credit), e.listed.state.value, e.back_ms is None,
        )  # fmt: skip
    grace = _ago(world, told.told_ms) if told.banned else 0
    return (told.cell, told.state.value, told.cordoned, grace, module, wires, runs, tried)


def digest(world: World) -> int:
    """Returns a 128-bit digest of the state of `world`."""
    balancer, lifecycle = world.balancer, world.lifecycle
    servers = tuple(sorted((_server(world, name) for name in world.servers), key=repr))
    clients = tuple(
        (
            client.class_name, client.deadline_ms and _ago(world, client.deadline_ms), client.body_left,
            client.body_kept_by, client.left, client.streaming, tuple(client.given), client.starts,
            client.upload is not None and client.upload.spent,
        )
        for client in world.clients.values()
    )  # fmt: skip
    timers = tuple((_ago(world, t.due_ms), (t.key, t.to_go_out) if t.token is None else
                    _call_of(balancer.timers[t.token])) for t in world.live())  # fmt: skip
    requests = tuple(
        (
            r.id, _ago(world, r.arrived_ms), _ago(world, r.deadline_ms), r.out, _round(r.previous_wait_ms),
            r.timer is not None, r.done, r.streaming, r.uploading, len(r.attempts),
            _ago(world, r.on_time_until_ms), _round(r.work),
        )
        for r in balancer.requests.values()
    )  # fmt: skip
    calls = tuple(
        (
            c.id,
            c.state.value,
            c.body_consumed,
            c.attempt_count,
            tuple((n, a.state.value) for n, a in c.out.items()),
        )
        for c in lifecycle.calls.values()
    )
    usual = tuple(
        (u.seen, _round(u.mean_ms), _round(u.base_ms), _round(u.slow_ratio))
        for u in balancer.latencies.values()
    )
    held = tuple(request.id for request in balancer.queue)
    rest = (
        balancer.budget.tokens, balancer.share, _round(balancer.flow.limit), balancer.flow.out,
        len(balancer.membership.ready), world.halted, world.oks, world.retries, tuple(world.over[-1:]),
        tuple(sorted((kind, n) for kind, n in world.used.items() if kind in world.scope.most)),
    )  # fmt: skip
    whole = (servers, clients, timers, requests, calls, usual, held, rest)
    return xxhash.xxh3_128_intdigest(repr(whole).encode())
