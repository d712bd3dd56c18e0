"""News that a voter passes on: numbered, sent again until taken, also by a voter that was started again."""

from __future__ import annotations

from cloverrouter.control.subscribers import RESEND_AFTER, Subscribers

SUBSCRIBER = "10.0.0.9"


def started(now: float) -> Subscribers:
    """A voter's process, with one subscriber that has its list."""
    subscribers = Subscribers()
    subscribers.heard(now, SUBSCRIBER, agrees=True, list_length=0)
    return subscribers


def number_of(subscribers: Subscribers, now: float) -> int:
    ((batch, _),) = subscribers.queue(now, ["i-1"], source="")
    return batch.number


def test_a_receipt_for_the_process_before_takes_no_news_of_this_one() -> None:
    """The receipt was on its way when the voter started again; the news that it seems to name get lost."""
    before = started(100.0)
    late = [number_of(before, 100.0 + step / 1000) for step in range(50)]
    after = started(100.2)
    number_of(after, 100.2)
    for number in late:
        after.taken(SUBSCRIBER, number)
    assert [ip for ip, _ in after.to_resend(100.3 + RESEND_AFTER)] == [SUBSCRIBER]


def test_news_that_are_sent_again_have_a_number_of_their_own() -> None:
    subscribers = started(100.0)
    first = number_of(subscribers, 100.0)
    ((_, again),) = subscribers.to_resend(100.1 + RESEND_AFTER)
    assert again.number > first
    subscribers.taken(SUBSCRIBER, first)
    assert subscribers.to_resend(100.0 + 3 * RESEND_AFTER) != []
