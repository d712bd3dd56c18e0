"""Limits of one of many instances: subsets, connections, probes, calls, starts, and the estimate."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.fleet.limits import Budget, FleetSizeEstimator, Share, limits
from cloverrouter.fleet.subset import STRATEGIES, golden_ratio_aperture, quality

SERVERS = [f"b{i}" for i in range(19)]
FLEETS = (50, 500, 5000)


@pytest.mark.parametrize("name", STRATEGIES)
def test_strategies_return_listed_servers_once_each(name: str) -> None:
    for instances, size in ((1, 3), (7, 5), (50, 19), (3, 40)):
        for number in range(instances):
            subset = STRATEGIES[name](SERVERS, min(size, len(SERVERS)), number, instances)
            assert len(set(subset)) == len(subset) == min(size, len(SERVERS)) and set(subset) <= set(SERVERS)
            assert subset == STRATEGIES[name](
                list(reversed(SERVERS)), min(size, len(SERVERS)), number, instances
            )


def test_golden_ring_is_even_and_stays_when_instances_come_and_go() -> None:
    for instances in (50, 500):
        measured = quality(golden_ratio_aperture, SERVERS, 5, instances)
        assert measured.most < 1.2 and measured.least > 0.8
        assert measured.instance_churn == measured.doubled_churn == 0
        assert measured.server_churn < 0.25 and measured.gaps_most < 1.3
    assert quality(STRATEGIES["rendezvous"], SERVERS, 5, 50).most > 1.3  # worse than the golden ratio


def test_total_use_does_not_grow_with_the_fleet() -> None:
    budget = Budget()
    for figure in ("connections", "probes", "calls"):
        totals = []
        for instances in FLEETS:
            rate_per_s = 250 / instances
            own = limits(Share(instances, 3, 19, rate_per_s), budget)
            if figure == "connections":  # idle connections to a server, at most
                busy = min(1.0, rate_per_s * own.idle_timeout_ms / 1000) if own.connections == 1 else 1.0
                totals.append(instances * own.connections * busy / 19)
            elif figure == "probes":  # CPU time of probes per second on a server, while none probes too often
                totals.append(
                    own.servers * instances / 19 / own.probe_interval_ms * 1000 * budget.probe_cost_ms
                )
            else:
                totals.append(instances * min(1.0, 1000 / own.poll_interval_ms))
        most = {"connections": budget.connections, "probes": budget.probe_work_ms_s, "calls": 500.0}[figure]
        assert max(totals) <= most * 1.001, figure
        if figure == "probes":
            assert max(totals[1:]) <= 1.2 * min(totals[1:])


def test_starts_are_spread_and_light_instances_close_idle_connections() -> None:
    budget = Budget()
    starts = sorted(limits(Share(5000, n, 12, identity=f"n{n}"), budget).start_delay_ms for n in range(5000))
    in_a_second = max(sum(at <= s < at + 1000 for s in starts) for at in range(0, 25_000, 500))
    assert in_a_second <= 1.2 * budget.starts_per_s and starts[-1] < budget.start_most_ms
    light = limits(Share(5000, 1, 12, rate_per_s=1 / 60), budget)
    assert light.connections == 1 and light.idle_timeout_ms < 60_000.0
    heavy = limits(Share(5000, 1, 12, rate_per_s=10.0), budget)
    assert heavy.servers == 12 and heavy.idle_timeout_ms < light.idle_timeout_ms
    # The limits follow when half of the instances stop, or twice as many start.
    parts = [limits(Share(n, 1, 12, 0.1), budget).poll_interval_ms for n in (250, 500, 1000)]
    assert parts == [5000.0, 10_000.0, 10_000.0]  # bounded, so that drains are seen
    assert (
        limits(Share(250, 1, 12, 0.1), budget).idle_timeout_ms
        >= limits(Share(500, 1, 12, 0.1), budget).idle_timeout_ms
    )


def test_instances_of_the_same_number_differ() -> None:
    budget = Budget()
    one, other = (limits(Share(500, 7, 19, identity=name), budget) for name in ("here", "there"))
    assert (
        one.ring_position != other.ring_position and abs(one.ring_position - other.ring_position) <= 1 / 500
    )
    assert one.start_delay_ms != other.start_delay_ms


@given(
    st.integers(1, 10**6),
    st.integers(0, 10**9),
    st.integers(0, 10_000),
    st.floats(0, 1e5),
    st.text(max_size=5),
)
def test_limits_are_in_range_for_any_fleet(
    instances: int, number: int, servers: int, rate_per_s: float, identity: str
) -> None:
    own = limits(Share(instances, number, servers, rate_per_s, identity), Budget())
    assert 0 <= own.ring_position < 1 and 0 <= own.start_delay_ms <= 30_000
    assert min(servers, 1) <= own.servers <= servers
    assert own.connections >= 1 and 200 <= own.idle_timeout_ms <= 60_000
    assert own.probe_interval_ms >= 1000 and 1000 <= own.poll_interval_ms <= 10_000


def test_instances_are_estimated_from_load_reports() -> None:
    estimate = FleetSizeEstimator(first=40)
    assert estimate.instances == 40
    for _ in range(400):
        estimate.add(50.0, 1)
        estimate.add(48.0, 0)
    assert estimate.instances == pytest.approx(98, rel=0.1)


def test_invalid_budget_is_refused() -> None:
    with pytest.raises(ValueError, match="connections: found 0, allowed more than 0"):
        Budget(connections=0)
    with pytest.raises(ValueError, match="ask_least_ms: found"):
        Budget(ask_least_ms=20_000.0)
