"""A balancer's counts for operators, and its state for a successor process. Nothing here makes decisions."""

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


def count_endpoints(balancer: Balancer, now_ms: float) -> EndpointCounts:
    """Returns how many servers are listed, and how many of them are avoided now."""
    endpoints = balancer.membership.endpoints.values()
    return EndpointCounts(len(endpoints), sum(e.avoided(now_ms) for e in endpoints))


def capture_state(balancer: Balancer) -> BalancerState:
    """Returns the state for the balancer that takes over. To be called before either of them is assigned its
    share of the limits."""
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
            LatencyEstimates(name, latency.mean_ms, latency.base_ms, latency.slow_ratio, latency.seen)
            for name, latency in balancer.latencies.items()
        ),
    )


def restore_balancer(settings: Settings, seed: int, state: BalancerState | None) -> Balancer:
    """Returns a new balancer that continues from its predecessor's state; values out of range are clamped."""
    balancer = Balancer(settings, seed)
    if state is None:
        return balancer
    members = balancer.membership
    members.cordons = dict.fromkeys(state.cordons)
    members.names = dict.fromkeys(state.listed)
    members.back_ms = dict(state.back_ms)
    members.restored_estimates = {e.name: e for e in state.endpoints}
    balancer.budget.tokens = min(BUDGET_CAPACITY, state.tokens)
    balancer.restored_peak_rate, balancer.flow.limit = state.peak_rate, state.flow_limit
    for estimates in state.classes:
        latency = balancer.latencies.get(estimates.name)
        if latency is not None:
            latency.mean_ms, latency.base_ms = max(0.01, estimates.mean_ms), max(0.01, estimates.base_ms)
            latency.slow_ratio, latency.seen = max(1.0, estimates.slow_ratio), estimates.seen
    return balancer
