"""The rule for cold servers as a property: whatever the number of proxies, their traffic, the time at which
they learn of the start, and restarts of proxies, the sum of their requests stays within what a cold server
can bear."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.interface import Event
from tests.cold_world import ColdWorld, Plan

plans = st.builds(
    Plan,
    proxies=st.sampled_from((1, 2, 4, 9, 20, 60, 200)),
    servers=st.integers(6, 14),
    cold=st.integers(1, 6),
    load=st.floats(0.4, 1.2),
    traffic_sigma=st.sampled_from((0.0, 1.0, 1.8)),
    notice_spread_ms=st.sampled_from((0.0, 300.0, 2000.0)),
    killed=st.sampled_from((0.0, 0.5, 1.0)),
    seed=st.integers(0, 10_000),
)


@settings(max_examples=12, derandomize=True, deadline=None, database=None)
@given(plans)
def test_the_sum_sent_to_a_cold_server_stays_within_its_budget(plan: Plan) -> None:
    world = ColdWorld(plan)
    assert world.play() < 1.0
    assert world.served > 0


def test_the_simulation_detects_proxies_that_together_overload_a_cold_server() -> None:
    """The simulation must detect a violation: these proxies do not know that the server is cold, and prefer
    it."""

    class Eager(ColdWorld):
        def _tell(self, number: int, event: Event) -> None:
            for name, server in self.servers.items():
                known = self.proxies[number].membership.endpoints.get(name)
                if known is not None and server.started_ms is not None:
                    known.cold_until_ms, known.earned, known.slowness = float("-inf"), 1000.0, 1.0
            super()._tell(number, event)

    assert Eager(Plan(proxies=60, cold=1, load=1.1)).play() > 1.0
