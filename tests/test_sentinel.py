"""Which servers are of no use: one proxy's watch, what proxies tell each other, and lies."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.fleet import news
from cloverrouter.fleet.news import MOST_BYTES, MOST_ENTRIES, News
from cloverrouter.fleet.sentinel import DOUBT_MS, LEFT_OUT_MOST, OWN_MS, Effect, Say, Sentinel, Verdict

NAMES = [f"b{i}" for i in range(10)]
ENTRIES = st.lists(
    st.tuples(st.binary(min_size=6, max_size=6), st.booleans(), st.integers(0, 5000)), max_size=MOST_ENTRIES
)


def watch(seed: int = 1, instances: int = 40) -> Sentinel:
    made = Sentinel(instances, Random(seed))
    made.listed(NAMES)
    return made


def said(effects: list[Effect]) -> list[News]:
    return [item for data in datagrams(effects) for item in news.read(data) or []]


def datagrams(effects: list[Effect]) -> list[bytes]:
    return [e.data for e in effects if isinstance(e, Say)]


def of(name: str, reached: bool, age_ms: float = 10.0) -> News:
    return News(news.key(name), reached, age_ms)


def told(*items: News) -> bytes:
    return news.write(items)


def test_refused_connection_leaves_a_server_out_and_is_told_once() -> None:
    one = watch()
    effects = one.refused(1001, "b1")
    assert effects[0] == Verdict("b1", False)
    assert said(effects) == [of("b1", False, 0)]
    assert one.refused(1002, "b1") == []  # in the same moment, again: nothing is new
    assert list(one.left_out) == ["b1"]


def test_slow_server_is_left_to_the_module_and_one_that_hangs_is_left_out() -> None:
    one = watch()
    one.answered(1500, "b1")
    assert one.unanswered(2000, "b1", sent_ms=1000) == []
    assert said(one.unanswered(3000, "b1", sent_ms=2000)) == [News(news.key("b1"), False, 1000, doubt=True)]
    assert one.tick(3000 + DOUBT_MS / 2) == []
    assert one.tick(3000 + DOUBT_MS) == [Verdict("b1", False)]


def doubt(fleet: list[Sentinel], doubter: Sentinel, now_ms: float, sent_ms: float) -> int:
    """One attempt has run out of time: what follows from it among all; the datagrams that were sent."""
    pending, count = datagrams(doubter.unanswered(now_ms, "b1", sent_ms)), 0
    while pending:
        data, count = pending.pop(0), count + 1
        for one in fleet:
            pending += datagrams(one.heard(now_ms, data)) if one is not doubter or count > 1 else []
    return count


def test_late_answer_of_a_server_that_answers_others_leaves_it_out_nowhere() -> None:
    """Danger: with traffic spread thin, each late answer has hundreds leave out a server that works."""
    fleet = [watch(seed, 200) for seed in range(200)]
    fleet[7].answered(1600, "b1")  # while the other's attempt was out, and more than 500 ms ago
    assert 0 < doubt(fleet, fleet[0], now_ms=2400, sent_ms=1500) <= 3
    for at in range(2400, 5000, 50):
        assert all(one.tick(at) == [] for one in fleet)
    # The next late answers of attempts sent before that was known cost no datagram.
    assert doubt(fleet, fleet[1], now_ms=2450, sent_ms=1550) == 0


def test_server_that_answers_nobody_is_left_out_by_all_within_moments() -> None:
    fleet = [watch(seed, 200) for seed in range(200)]
    for one in fleet:
        one.answered(1000, "b1")
    assert doubt(fleet, fleet[0], now_ms=2400, sent_ms=1500) == 1
    for one in fleet:
        assert one.tick(2400 + DOUBT_MS) == [Verdict("b1", False)]
    # Tried again in vain: no doubt any more, it stays out.
    again = next(at for at in range(2600, 30_000, 100) if fleet[3].tick(at))
    assert fleet[3].unanswered(again + 900, "b1", sent_ms=again)[0] == Verdict("b1", False)


def test_answer_that_comes_in_the_moment_of_doubt_ends_it_for_all() -> None:
    fleet = [watch(seed, 200) for seed in range(20)]
    assert doubt(fleet, fleet[0], now_ms=2400, sent_ms=1500) == 1
    for data in datagrams(fleet[5].answered(2440, "b1")):
        for one in fleet:
            one.heard(2445, data)
    assert all(one.tick(2400 + 2 * DOUBT_MS) == [] for one in fleet)
    assert not any(list(one.left_out) for one in fleet)


def test_doubt_of_a_server_that_leaves_the_list_is_dropped() -> None:
    one = watch()
    one.unanswered(3000, "b1", sent_ms=2000)
    one.listed([name for name in NAMES if name != "b1"])
    assert one.tick(4000) == []


def test_tried_again_after_its_rest_and_back_for_all_with_the_first_answer() -> None:
    one, other = watch(1), watch(2)
    for data in datagrams(one.refused(1000, "b1")):
        other.heard(50_000, data)
    at = next(at for at in range(1000, 30_000, 100) if one.tick(at))
    assert one.rest_ms / 2 <= at - 1000 <= 1.5 * one.rest_ms + 100
    assert list(other.left_out) == ["b1"]
    for data in datagrams(one.answered(at + 50, "b1")):
        assert other.heard(50_000 + at, data) == [Verdict("b1", True)]
    assert one.answered(at + 60, "b1") == []


def test_one_datagram_spares_the_others_and_keeps_them_away() -> None:
    """Forty that meet a server that hangs for a minute, each sending to it as soon as it may: without news
    each pays by itself; with them few do."""
    losses = {}
    for talk in (False, True):
        fleet = [watch(seed) for seed in range(40)]
        losses[talk] = 0
        for at in range(0, 60_000, 250):
            for number, one in enumerate(fleet):
                one.tick(at)
                if "b1" in one.left_out:
                    continue
                losses[talk] += 1
                for data in datagrams(one.unanswered(at, "b1", sent_ms=at - 900)):
                    for other in fleet[:number] + fleet[number + 1 :]:
                        if talk:
                            other.heard(at, data)
    assert losses[True] < losses[False] / 4


def test_news_that_come_late_change_nothing() -> None:
    one = watch()
    one.heard(10_000, told(of("b1", False, 10)))
    assert one.heard(10_100, told(of("b1", True, 5))) == [Verdict("b1", True)]
    assert one.heard(10_200, told(of("b1", False, 300))) == []  # seen before it was up again
    assert one.heard(10_300, told(of("b1", False, 60_000))) == []


def test_whoever_was_answered_lately_contradicts() -> None:
    one, other = watch(1), watch(2)
    one.answered(1100, "b1")
    effects = one.heard(1200, told(of("b1", False)))
    assert said(effects) == [of("b1", True, 0)] and not list(one.left_out)
    other.heard(1200, told(of("b1", False)))
    assert other.heard(1210, datagrams(effects)[0]) == [Verdict("b1", True)]
    assert one.heard(1200 + OWN_MS, told(of("b1", False, 0))) == [Verdict("b1", False)]  # by then it is old


def test_liar_can_leave_out_no_more_than_half_and_not_for_long() -> None:
    one = watch()
    lies = told(*(of(name, False) for name in NAMES))
    verdicts = [e for e in one.heard(5000, lies) if isinstance(e, Verdict)]
    assert 1 <= len(verdicts) <= LEFT_OUT_MOST * len(NAMES)
    assert len(one.tick(5000 + 1.5 * one.rest_ms)) == len(verdicts)
    assert not list(one.left_out)


def test_one_proxy_cut_off_from_all_goes_on_trying_half_of_them() -> None:
    one = watch()
    for name in NAMES:
        one.refused(1000, name)
    assert len(list(one.left_out)) == LEFT_OUT_MOST * len(NAMES)


def test_hearsay_about_servers_that_are_not_listed_is_no_news() -> None:
    one = watch()
    assert one.heard(1000, told(of("stranger", False), of("other", True))) == []
    one.heard(1000, told(of("b1", False)))
    one.listed(NAMES[2:])
    assert list(one.left_out) == []
    assert one.answered(1100, "b1") == one.refused(1100, "b1") == one.unanswered(1100, "b1", 0) == []


def test_the_larger_the_fleet_the_longer_the_rest_up_to_a_bound() -> None:
    rests = [watch(instances=n).rest_ms for n in (1, 5, 40, 400, 5000)]
    assert rests == sorted(rests) and rests[0] == 1000 and rests[-1] == rests[-2] == 10_000


@given(st.binary(max_size=400))
def test_foreign_datagrams_are_counted_and_dropped(data: bytes) -> None:
    one = watch()
    found = news.read(data)
    effects = one.heard(1000, data)
    assert one.unread == (found is None)
    assert not effects or found


@given(ENTRIES)
def test_news_come_out_as_they_went_in_and_fit(items: list[tuple[bytes, bool, int]]) -> None:
    sent = [News(server, reached, float(age_ms)) for server, reached, age_ms in items]
    data = news.write(sent)
    assert len(data) <= MOST_BYTES and news.read(data) == sent
    assert news.read(data[:-1]) is None and news.read(data + b"x") is None
    assert news.read(bytes([data[0], data[1] + 1]) + data[2:]) is None


def test_more_than_fits_is_refused() -> None:
    with pytest.raises(ValueError, match="allowed are"):
        news.write([of("b1", True)] * (MOST_ENTRIES + 1))
