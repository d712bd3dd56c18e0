"""A fleet of proxies without communication keeps the retry rule in every window, and backoff keeps the
deadline."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.placement.retries import Backoff, FleetRetryBudget, RetryBudgets

ALLOWANCE, RATIO, WINDOW_S = 62.0, 0.2, 10.0


class Fleet:
    """Proxies that each try to retry whatever fails, and many of which restart at once."""

    def __init__(self, seed: int, size: int, requests_per_s: float) -> None:
        self.random = Random(seed)
        self.size = size
        self.requests_per_s = requests_per_s
        self.now = 0.0
        self.budgets = [self.fresh() for _ in range(size)]
        self.weights = [self.random.paretovariate(1.2) for _ in range(size)]
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.wanted = 0

    def fresh(self) -> FleetRetryBudget:
        return FleetRetryBudget(ALLOWANCE, RATIO, WINDOW_S, self.size, self.now, self.random)

    def run(self, seconds: float, failing: float, storm: float = 0.0) -> None:
        """`failing`: share of arrivals that fail. `storm`: additional retry attempts a second."""
        end = self.now + seconds
        while True:
            self.now += self.random.expovariate(self.requests_per_s + storm)
            if self.now > end:
                self.now = end
                return
            budget = self.random.choices(self.budgets, self.weights)[0]
            if self.random.random() < storm / (storm + self.requests_per_s):
                self.retry(self.random.choice(self.budgets))
            else:
                self.requests.append(self.now)
                self.serve(budget, failing)

    def serve(self, budget: FleetRetryBudget, failing: float) -> None:
        for _ in range(3):
            if self.random.random() >= failing:
                budget.earn(self.now)
                return
            if not self.retry(budget):
                return

    def retry(self, budget: FleetRetryBudget) -> bool:
        self.wanted += 1
        if not budget.spend(self.now):
            return False
        self.retries.append(self.now)
        return True

    def restart(self, part: float) -> None:
        for index in range(self.size):
            if self.random.random() < part:
                self.budgets[index] = self.fresh()

    def worst_excess(self) -> float:
        """Returns by how much the worst window exceeds what the rule allows; negative if none does."""
        excess = -ALLOWANCE
        for index, end in enumerate(self.retries):
            start = end - WINDOW_S
            retries = sum(at > start for at in self.retries[: index + 1])
            most = max(
                sum(start - back < at <= end - back for at in self.requests)
                for back in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            excess = max(excess, retries - RATIO * most - ALLOWANCE)
        return excess


@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 2**32),
    st.sampled_from([1, 3, 11, 83, 350]),
    st.sampled_from([0.5, 5.0, 60.0]),
    st.lists(
        st.tuples(
            st.floats(0.3, 6),
            st.sampled_from([0.0, 0.05, 0.5, 1.0]),
            st.sampled_from([0.0, 0.0, 100.0]),
            st.sampled_from([0.0, 0.0, 0.5, 1.0]),
        ),
        min_size=1,
        max_size=8,
    ),
)
def test_a_fleet_without_communication_keeps_the_rule_through_failures_and_restarts(
    seed: int, size: int, requests_per_s: float, phases: list[tuple[float, float, float, float]]
) -> None:
    fleet = Fleet(seed, size, requests_per_s)
    fleet.run(12, 0.01)
    for seconds, failing, storm, restarted in phases:
        if restarted and fleet.now > 12:
            fleet.restart(restarted)
        fleet.run(max(seconds, 3.5 if restarted else 0), failing, storm)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize(
    ("size", "requests_per_s", "least"), [(11, 60, 0.98), (83, 60, 0.75), (83, 1_000, 0.98), (350, 60, 0.4)]
)
def test_a_usual_share_of_failures_is_retried(size: int, requests_per_s: float, least: float) -> None:
    """With less than one request a second, a proxy cannot store enough for all its retries."""
    fleet = Fleet(5, size, requests_per_s)
    fleet.run(15, 0.02)
    fleet.wanted = 0
    fleet.retries.clear()
    fleet.run(40, 0.02)
    assert len(fleet.retries) >= least * fleet.wanted


def test_a_fresh_proxy_has_little_to_spend() -> None:
    budget = FleetRetryBudget(ALLOWANCE, RATIO, WINDOW_S, 11, 0.0, Random(1))
    assert budget.available_retries(0.0) == pytest.approx(62 * 0.5 / 11 * 0.2)


def test_what_was_earned_lasts_one_window() -> None:
    budget = FleetRetryBudget(0.0, RATIO, WINDOW_S, 1, 0.0, Random(1))
    for _ in range(100):
        budget.earn(0.5)
    assert budget.available_retries(0.5) == pytest.approx(10)
    assert budget.available_retries(9.9) == pytest.approx(10)
    assert budget.available_retries(11) == 0


def test_services_have_budgets_of_their_own() -> None:
    budgets = RetryBudgets(ALLOWANCE, RATIO, WINDOW_S, 1, lambda: 1.0, Random(1))
    for _ in range(200):
        budgets.earn("one")
    assert sum(budgets.spend("one") for _ in range(100)) in (26, 27)  # 6.2 at the start, 20 earned
    assert sum(budgets.spend("other") for _ in range(100)) in (6, 7)


@given(st.integers(0, 2**32), st.floats(50, 30_000))
def test_waits_end_before_the_deadline(seed: int, deadline_ms: float) -> None:
    random, backoff, now = Random(seed), Backoff(deadline_ms), 0.0
    for _ in range(200):
        wait = backoff.next_ms(now, random)
        if wait is None:
            break
        assert 0 < wait <= 30_000
        now += wait
        assert now <= deadline_ms - 50 + 1e-6
    assert backoff.next_ms(deadline_ms - 50, random) is None


def test_a_first_wait_is_one_to_three_times_the_base() -> None:
    random = Random(3)
    waits = [Backoff(10_000, base_ms=10).next_ms(0, random) or 0 for _ in range(500)]
    assert min(waits) >= 10
    assert max(waits) <= 30
