"""Quotas over a fleet: no window exceeds the limit, and few requests below the limit are refused."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.control.quota_pool import pool_rate_part
from cloverrouter.placement.quota_plan import (
    STANDBY_CAPACITY_PART,
    QuotaRules,
    TenantLimit,
    allowed_tokens,
    plan_tenant,
)
from tests.system.quota_world import Load, World

WARM_S = 4.0


def start_load(world: World, factor: float, mean_tokens: int = 9_000) -> list[Load]:
    world.run(WARM_S)
    return [Load(world, tenant, limit.rate * factor, mean_tokens) for tenant, limit in world.limits.items()]


@given(
    st.floats(0, 1e7),
    st.floats(0, 1e7),
    st.integers(1, 500),
    st.floats(0, 0.5),
    st.floats(0, 1e6),
    st.floats(1, 60),
)
def test_the_parts_of_a_plan_add_up_to_the_rule(
    rate: float, burst: float, fleet: int, overshoot: float, tolerance: float, window_s: float
) -> None:
    rules = QuotaRules(window_s, overshoot, tolerance)
    limit = TenantLimit(rate, burst)
    plan = plan_tenant(limit, rules, fleet)
    for standing_by in (0.0, 0.3, 1.0):
        rates = plan.rate * pool_rate_part(1 - standing_by) + standing_by * fleet * plan.own_rate
        pooled = plan.capacity * (1 - standing_by * STANDBY_CAPACITY_PART)
        rooms = pooled + standing_by * fleet * plan.own_capacity + fleet * plan.base_capacity
        assert rates * window_s + rooms + plan.debt <= allowed_tokens(limit, rules) * 0.991 + 1e-6
    assert min(plan.rate, plan.capacity, plan.debt, plan.base_capacity, plan.own_rate, plan.own_capacity) >= 0


@pytest.mark.parametrize(("proxies", "rate"), [(11, 60_000), (11, 280_000), (83, 280_000), (83, 2_000_000)])
def test_usual_load_is_not_refused(proxies: int, rate: int) -> None:
    world = World(1, proxies, {"a": TenantLimit(rate, rate)})
    start_load(world, 0.77)
    world.run(30)
    assert world.tallies["a"].refused_share() < 0.02
    assert world.worst_window("a") <= 1


@pytest.mark.parametrize(("proxies", "rate"), [(11, 60_000), (11, 280_000), (83, 280_000)])
def test_a_tenant_at_many_times_its_usual_gets_its_rate(proxies: int, rate: int) -> None:
    world = World(2, proxies, {"a": TenantLimit(rate, rate)})
    start_load(world, 7.5)
    world.run(30)
    used = world.tallies["a"].run / rate / 30
    assert 0.99 < used < 1.12
    assert world.worst_window("a") <= 1


def trouble(world: World, kind: str) -> None:
    """Injects a fault of that kind, with random numbers of the world's generator."""
    random = world.random
    some = random.sample(world.proxies, max(1, len(world.proxies) // 3))
    victim = some[0]
    if kind == "freeze":
        for proxy in some:
            proxy.frozen_until = world.now + random.uniform(0.3, 5)
    elif kind == "cut":
        for proxy in some:
            proxy.cut_until = world.now + random.uniform(0.3, 6)
    elif kind == "restart":
        world.restart(victim, random.uniform(0.1, 1))
    elif kind == "herd":
        for proxy in world.proxies:
            world.restart(proxy, random.uniform(0.3, 0.6))
    elif kind == "head":
        world.elect(random.choice(world.proxies))
    elif kind == "lost head":
        world.lose_head()
    elif kind == "view":
        world.change_view()
    elif kind == "lower":
        world.configure({t: TenantLimit(li.rate * 0.5, li.burst * 0.5) for t, li in world.limits.items()})
    if world.head is None or not world.awake(world.head) or world.now < world.head.cut_until:
        world.lose_head()
        when = world.now + random.uniform(0.7, 3)
        world.at(when, lambda: world.elect(random.choice(world.proxies)))


@settings(max_examples=40, deadline=None)
@given(
    st.integers(0, 2**32),
    st.sampled_from([3, 11, 30]),
    st.sampled_from([8_000, 60_000, 600_000]),
    st.sampled_from([0.8, 7.5]),
    st.lists(
        st.tuples(
            st.sampled_from(["freeze", "cut", "restart", "herd", "head", "lost head", "view"]),
            st.floats(0.1, 5),
        ),
        max_size=8,
    ),
    st.booleans(),
)
def test_no_window_is_exceeded_whatever_fails(
    seed: int, proxies: int, rate: int, factor: float, troubles: list[tuple[str, float]], notes: bool
) -> None:
    world = World(
        seed,
        proxies,
        {"a": TenantLimit(rate, rate)},
        loss=0.05,
        doubled=0.05,
        stalls=0.02,
        drift=0.003,
        notes=notes,
    )
    start_load(world, factor)
    world.run(2)
    for kind, pause in troubles:
        trouble(world, kind)
        world.run(pause)
    world.run(5)
    assert world.worst_window("a") <= 1
