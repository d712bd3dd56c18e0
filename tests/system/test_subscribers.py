"""Numbers of news: a receipt for those of an earlier life acknowledges none of this one."""

from __future__ import annotations

from cloverrouter.control.subscribers import Subscribers


def numbers(now: float, count: int) -> set[int]:
    """Those that one life gives to news from then on."""
    subscribers = Subscribers()
    subscribers.heard(now, "10.0.0.1", agrees=True, list_length=0)
    found: set[int] = set()
    for step in range(count):
        for batch, _ in subscribers.queue(now + step * 0.05, [f"server-{step}"], source=""):
            found.add(batch.number)
    return found


def test_news_of_two_lives_never_have_the_same_number() -> None:
    first, second = numbers(100.0, 200), numbers(110.5, 200)
    assert len(first) == len(second) == 200
    assert not first & second
    assert max(first) < min(second)
