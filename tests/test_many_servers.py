"""Long server lists: a decision checks few servers, and draws from long lists keep the rules."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.decide import Endpoint
from cloverrouter.decide.membership import MAX_SCANNED
from cloverrouter.indexes import PairMean, RequestQueue, Ring
from cloverrouter.interface import (
    ClientDisconnected,
    Cordon,
    DedupScope,
    EndpointState,
    ListedEndpoint,
    Outcome,
    Refuse,
    RequestArrived,
    Send,
)
from tests.driver import KEYED, SETTINGS, UNSAFE, Driver, delta, endpoint, full

MANY = 600
LIST = [endpoint(f"s{i}", "abc"[i % 3], i % 6 // 3) for i in range(MANY)]


def looked_at(monkeypatch: pytest.MonkeyPatch, driver: Driver, ask: int) -> float:
    """Returns how many servers are checked per request, for `ask` requests served one after the other."""
    looks = 0
    has_slot = Endpoint.has_slot

    def counted(self: Endpoint, now_ms: float) -> bool:
        nonlocal looks
        looks += 1
        return has_slot(self, now_ms)

    with monkeypatch.context() as patched:
        patched.setattr(Endpoint, "has_slot", counted)
        driver.serve(ask)
    return looks / ask


def test_a_decision_looks_at_few_servers_however_many_there_are(monkeypatch: pytest.MonkeyPatch) -> None:
    few, many = Driver(endpoints=LIST[:10]), Driver(endpoints=LIST)
    assert looked_at(monkeypatch, many, 100) <= looked_at(monkeypatch, few, 100)
    for known in many.balancer.membership.endpoints.values():
        known.in_flight, known.limit = 5, 5.0  # all are full
    request, _ = many.request()
    assert request not in many.sent
    with monkeypatch.context() as patched:
        looks: list[str] = []

        def full_up(self: Endpoint, now_ms: float) -> bool:
            looks.append(self.listed.name)
            return False

        patched.setattr(Endpoint, "has_slot", full_up)
        many.request()
        many.request()
    assert len(looks) <= 2 * 2 * 2 * MAX_SCANNED
    # Responses free capacity, and the queued request gets it; few random draws would find these servers.
    for known in list(many.balancer.membership.endpoints.values())[:300]:
        known.in_flight = 0
    assert [a for a in many.tell() if isinstance(a, Send)]


def test_draws_follow_weights_and_a_change_of_the_list_touches_what_changed() -> None:
    heavy = [replace(e, weight=3.0) if i % 2 else e for i, e in enumerate(LIST)]
    driver = Driver(endpoints=heavy)
    ring = driver.balancer.membership.all
    assert ring.weight == MANY * 2
    sent: Counter[bool] = Counter()
    for _ in range(1500):
        request, _ = driver.request()
        sent[int(driver.sent[request][0][1:]) % 2 == 1] += 1
        driver.end(request, Outcome.OK)
    assert sent[True] / 1500 == pytest.approx(0.75, abs=0.05)
    others = [e for e in ring.members if e.listed.name != "s7"]
    driver.tell(delta(replace(heavy[7], state=EndpointState.DRAINING)))
    assert ring.members == others and ring.weight == MANY * 2 - 3
    driver.tell(delta(heavy[7]), full(*heavy))
    assert len(ring.members) == MANY and ring.weight == MANY * 2


def test_drained_and_cordoned_servers_get_nothing_among_many() -> None:
    driver = Driver(endpoints=LIST)
    banned = {f"s{i}" for i in range(0, MANY, 3)}
    driver.tell(*(Cordon(name, True) for name in sorted(banned)))
    drained = {f"s{i}" for i in range(1, MANY, 3)}
    driver.tell(
        delta(*(replace(e, state=EndpointState.DRAINING) for e in LIST if e.name in drained)), full(*LIST[2:])
    )
    driver.tell(delta(*(replace(e, state=EndpointState.DRAINING) for e in LIST if e.name in drained)))
    driver.serve(400)
    used = {name for sent in driver.sent.values() for name in sent}
    assert not used & (banned | drained) and len(used) > 100
    driver.tell(Cordon("s0", False), Cordon("s3", False))  # s0 is not listed any more
    driver.sent.clear()
    driver.serve(220)  # it warms up in 10 s, and by then has enough credit for a request
    assert ["s3"] in driver.sent.values()


@pytest.mark.parametrize("scope", list(DedupScope))
def test_repeats_stay_in_their_group_among_many_and_go_elsewhere(scope: DedupScope) -> None:
    config = replace(SETTINGS, classes=(replace(KEYED, dedup_scope=scope, dedup_window_ms=5000),))
    driver = Driver(config, LIST)
    by_name = {e.name: e for e in LIST}
    zones = set()
    for _ in range(10):
        request, _ = driver.request("keyed")
        driver.end(request, Outcome.ERROR)
        driver.wait(1500)
        home, there = (by_name[name] for name in driver.sent[request])
        assert home.name != there.name
        assert scope is DedupScope.ALL or home.zone == there.zone
        assert scope is not DedupScope.CELL or home.cell == there.cell
        zones.add(home.zone == there.zone)
        driver.end(request, Outcome.OK)
    assert zones == ({True, False} if scope is DedupScope.ALL else {True})
    lone = [replace(e, cell=9) if e.name == "s0" else e for e in LIST]
    driver = Driver(config, lone)
    for known in driver.balancer.membership.endpoints.values():
        known.in_flight = 0 if known.listed.name == "s0" else 9
    request, _ = driver.request("keyed")
    while request not in driver.sent:  # the only server with room is found after a few tries
        driver.tell()
    driver.end(request, Outcome.ERROR)
    driver.wait(1500)
    # A group of one server: with no alternative, the retry returns to it.
    assert driver.sent[request] == ["s0"] * (2 if scope is DedupScope.CELL else len(driver.sent[request]))


def test_expensive_crossings_are_avoided_while_local_servers_have_room() -> None:
    config = replace(SETTINGS, prices=replace(SETTINGS.prices, cross_zone=0.2))
    driver = Driver(config, LIST)
    driver.serve(100)
    assert {name for sent in driver.sent.values() for name in sent} <= {e.name for e in LIST if e.zone == "a"}
    for known in driver.balancer.membership.rings["a"].members:
        known.in_flight = 9
    request, _ = driver.request()
    assert int(driver.sent[request][0][1:]) % 3 != 0


def test_cold_servers_among_many_get_no_more_than_their_credit() -> None:
    listed = [replace(e, started_ms=1000.0) if i % 2 else e for i, e in enumerate(LIST)]
    driver = Driver(endpoints=listed)
    for _ in range(300):
        request, _ = driver.request()
        driver.wait(5)
        driver.end(request, Outcome.OK)
    to_cold = sum(int(sent[0][1:]) % 2 for sent in driver.sent.values())
    assert to_cold < 300 / 4
    assert driver.balancer.membership.cold_share(driver.now_ms) == 0.5
    driver.wait(10_000)
    assert driver.balancer.membership.cold_share(driver.now_ms) == 0


# Queued requests


def test_held_requests_go_when_a_pause_ends_with_no_other_traffic() -> None:
    """Without other events, a queued request would wait until its timeout although a server has room
    again."""
    driver = Driver(endpoints=[endpoint("s1")])
    server = driver.balancer.membership.endpoints["s1"]
    server.record_failure(driver.now_ms, 200.0, 1000.0)
    request, actions = driver.request()
    assert actions == [] and driver.wait(199) == []
    assert [a.request_id for a in driver.wait(2) if isinstance(a, Send)] == [request]
    cold = Driver(endpoints=[endpoint("s1", started_ms=1000.0)])
    requests = [cold.request()[0] for _ in range(3)]
    cold.wait(1900)
    assert set(requests) <= set(cold.sent) | {a.request_id for a in cold.log if isinstance(a, Refuse)}


def test_entries_no_longer_queued_are_removed_in_a_long_overload() -> None:
    driver = Driver(endpoints=[])
    for i in range(1000):
        driver.tell(RequestArrived(10_000 + i, "unsafe" if i % 2 else "safe"))
        driver.tell(ClientDisconnected(10_000 + i))
    assert len(driver.balancer.queue._ages) <= 2 * MAX_SCANNED
    assert not list(driver.balancer.queue) and not driver.balancer.timers


def test_check_timer_that_is_not_needed_is_dropped() -> None:
    driver = Driver(replace(SETTINGS, classes=(UNSAFE,)), endpoints=[endpoint("s1")])
    driver.balancer.membership.endpoints["s1"].record_failure(driver.now_ms, 200.0, 1000.0)
    request, _ = driver.request("unsafe")
    assert len(driver.balancer.timers) == 2
    driver.tell(ClientDisconnected(request))
    assert not driver.balancer.timers


# Data structures


@dataclass
class Thing:
    value: float
    arrived_ms: float
    on_time_until_ms: float
    attempts: list[int] = field(default_factory=list)
    queue_number: int = 0


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 9), st.booleans(), st.sampled_from("apgc")), max_size=60
    )
)
def test_queue_is_as_a_sorted_list(steps: list[tuple[int, int, bool, str]]) -> None:
    queue: RequestQueue[Thing] = RequestQueue()
    there: list[Thing] = []
    for now_ms, (value, until_ms, tried, what) in enumerate(steps):
        if what == "a":
            thing = Thing(value, now_ms, now_ms + until_ms, [1] if tried else [])
            queue.add(thing)
            there.append(thing)
        elif what == "g" and there:
            there.pop(value % len(there)).queue_number = 0
        elif what == "c":
            queue.compact(0)
        else:
            allowed = [t for t in there if tried or t.attempts]
            entry = queue.pop(now_ms, untried=tried)
            best = max(
                allowed, key=lambda t: (now_ms <= t.on_time_until_ms, t.value, t.queue_number), default=None
            )
            assert (entry and entry[2]) is best
            if entry is not None and until_ms % 2:
                queue.put_back([entry])
            elif best is not None:
                best.queue_number = 0
                there.remove(best)
        assert sorted(map(id, queue)) == sorted(map(id, there))
        assert queue.oldest() is min(there, key=lambda t: (t.arrived_ms, t.queue_number), default=None)


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 30), st.integers(0, 4)), max_size=80))
def test_ring_and_mean_are_as_counted_anew(steps: list[tuple[bool, int, int]]) -> None:
    ring: Ring[str] = Ring()
    mean, there = PairMean(), dict[str, float]()
    for add, number, weight in steps:
        name = f"s{number}"
        if add and name not in there:
            there[name] = weight
            ring.add(name, weight, name)
            mean.add(weight, 1.0)
        elif not add:
            ring.discard(name)
            if name in there:
                mean.add(there.pop(name), 1.0, -1)
        assert sorted(ring.members) == sorted(there) and ring.weight == sum(there.values())
        assert mean.means()[0] == pytest.approx(sum(there.values()) / len(there) if there else 1.0)
    again: Ring[str] = Ring()
    for name in reversed(list(there)):
        again.add(name, 1.0, name)
    assert again.members == ring.members  # independent of the order in which they were added


def test_an_entry_that_says_the_same_changes_nothing() -> None:
    driver = Driver(endpoints=LIST[:5])
    before = driver.balancer.membership.endpoints["s1"]
    driver.tell(full(*(ListedEndpoint(e.name, e.zone, e.cell) for e in LIST[:5])))
    assert driver.balancer.membership.endpoints["s1"] is before and before.limit == 4.0
