"""How many requests a bad server costs in a fleet in which each proxy sends it only few."""

from __future__ import annotations

from random import Random

from cloverrouter.placement.failure_reports import FailureAggregator, FailureReporter
from cloverrouter.placement.pick import ServicePlacement
from cloverrouter.placement.prefix import NO_PROMPT
from cloverrouter.placement.servers import Server

PROXIES = 80
SERVERS = 30
REQUESTS_A_SECOND = 500
STEP_S = 0.05
DELAY_STEPS = 1
"""Steps that a report or a warning is in transit."""


class Fleet:
    """The proxies, the head's aggregator, and one server that fails a share of its requests until `until`."""

    def __init__(self, shares: bool, fail_part: float, until: float) -> None:
        self.random = Random(5)
        self.now = 100.0
        self.until = self.now + until
        self.fail_part = fail_part
        self.shares = shares
        self.proxies = [self._proxy(number) for number in range(PROXIES)]
        self.reporters = [FailureReporter(self.zone(number)) for number in range(PROXIES)]
        self.aggregator = FailureAggregator(lambda: PROXIES)
        self.requests_lost = 0
        self.at_bad = 0

    @staticmethod
    def zone(number: int) -> str:
        return ("east", "west", "north", "south")[number % 4]

    def _proxy(self, number: int) -> ServicePlacement:
        made = ServicePlacement(Random(number).random, self.zone(number))
        for place in range(SERVERS):
            made.update_server(
                Server(f"i-{place}", "app", ("10.0.0.1", place + 1), self.zone(place), 6, ready=True)
            )
        return made

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for _ in range(int(REQUESTS_A_SECOND * STEP_S)):
                self._request(self.random.randrange(PROXIES))
            if self.shares:
                self._exchange_reports()

    def _request(self, number: int) -> None:
        state = self.proxies[number].pick(NO_PROMPT, (), self.now, no_retry=True)
        assert state is not None
        is_bad = state.server.id == "i-0"
        self.at_bad += is_bad
        if is_bad and self.now < self.until and self.random.random() < self.fail_part:
            state.record_error(self.now)
            self.reporters[number].record_failure("i-0")
            self.requests_lost += 1
        else:
            state.record_success(self.now)

    def _exchange_reports(self) -> None:
        for number, reporter in enumerate(self.reporters):
            report = reporter.flush(self.now)
            if report is None:
                continue
            for warning in self.aggregator.receive(self.now, f"10.0.0.{number}", report):
                for place, proxy in enumerate(self.proxies):
                    if warning.zone in ("", self.zone(place)):
                        proxy.apply_warning(warning.ids, warning.for_ms / 1000, self.now)


def requests_lost(shares: bool, fail_part: float) -> int:
    fleet = Fleet(shares, fail_part, until=8.0)
    fleet.run(8.0)
    return fleet.requests_lost


def test_a_server_that_fails_everything_costs_few_requests() -> None:
    assert requests_lost(shares=True, fail_part=1.0) < 30 < requests_lost(shares=False, fail_part=1.0)


def test_a_grey_server_costs_less_than_without_warnings() -> None:
    assert 2 * requests_lost(shares=True, fail_part=0.4) < requests_lost(shares=False, fail_part=0.4)


def test_a_server_that_recovers_gets_its_part_again() -> None:
    fleet = Fleet(shares=True, fail_part=0.4, until=5.0)
    fleet.run(5.0)
    fleet.run(10.0)
    before = fleet.at_bad
    fleet.run(10.0)
    assert fleet.at_bad - before > 0.7 * 10 * REQUESTS_A_SECOND / SERVERS
