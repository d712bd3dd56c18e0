"""What a balancer has come to know, for operators and for one that takes over. Nothing here decides."""

from __future__ import annotations

from cloverrouter.decide import Balancer
from cloverrouter.decide.budget import BUDGET_CAPACITY
from cloverrouter.interface import (
    BalancerState,
    EndpointCounts,
    EndpointEstimates,
    LatencyEstimates,
    Settings,
)


def census(balancer: Balancer, now_ms: float) -> EndpointCounts:
    """How many servers are listed, and how many of them are left out now for what they are."""
    endpoints = balancer.membership.endpoints.values()
    return EndpointCounts(len(endpoints), sum(e.avoided(now_ms) for e in endpoints))


def memory_of(balancer: Balancer) -> BalancerState:
    """For a balancer that takes over, before either is told its part."""
    members = balancer.membership
    return BalancerState(
        cordons=tuple(members.cordons),
        listed=tuple(members.names),
        back_ms=tuple(members.back_ms.items()),
        tokens=balancer.budget.tokens,
        peak_rate=balancer.warm_rate(),
        flow_limit=balancer.flow.limit,
        endpoints=tuple(
            EndpointEstimates(
                name,
                e.listed.started_ms,
                e.earned,
                e.slowness,
                e.limit,
                e.latency_ms,
                None if e.cold_credit_ms is None else e.cold_credit,
            )
            for name, e in members.endpoints.items()
        ),
        classes=tuple(
            LatencyEstimates(name, usual.mean_ms, usual.base_ms, usual.slow_ratio, usual.seen)
            for name, usual in balancer.latencies.items()
        ),
    )


def restored(settings: Settings, seed: int, memory: BalancerState | None) -> Balancer:
    """A new balancer that goes on with what the one before knew; figures that can't be are mended."""
    balancer = Balancer(settings, seed)
    if memory is None:
        return balancer
    members = balancer.membership
    members.cordons = dict.fromkeys(memory.cordons)
    members.names = dict.fromkeys(memory.listed)
    members.back_ms = dict(memory.back_ms)
    members.restored_estimates = {e.name: e for e in memory.endpoints}
    balancer.budget.tokens = min(BUDGET_CAPACITY, memory.tokens)
    balancer.restored_peak_rate, balancer.flow.limit = memory.peak_rate, memory.flow_limit
    for then in memory.classes:
        usual = balancer.latencies.get(then.name)
        if usual is not None:
            usual.mean_ms, usual.base_ms = max(0.01, then.mean_ms), max(0.01, then.base_ms)
            usual.slow_ratio, usual.seen = max(1.0, then.slow_ratio), then.seen
    return balancer
