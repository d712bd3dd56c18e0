"""Updates that a voter sends: numbered and resent until acknowledged, also after a restart of the voter."""

from __future__ import annotations

from cloverrouter.control.subscribers import RESEND_AFTER_S, Subscribers

SUBSCRIBER = "10.0.0.9"


def started(now: float) -> Subscribers:
    """A voter's process with one subscriber whose list equals the voter's."""
    subscribers = Subscribers()
    subscribers.compared(now, SUBSCRIBER, agrees=True, list_length=0)
    return subscribers


def number_of(subscribers: Subscribers, now: float) -> int:
    ((batch, _),) = subscribers.queue(now, ["i-1"], source="")
    return batch.number


def test_a_receipt_for_the_process_before_takes_no_news_of_this_one() -> None:
    """An acknowledgement in flight during the voter's restart must not count for a new, lost batch."""
    before = started(100.0)
    earlier_numbers = [number_of(before, 100.0 + step / 1000) for step in range(50)]
    after = started(100.2)
    number_of(after, 100.2)
    for number in earlier_numbers:
        after.acknowledged(SUBSCRIBER, number)
    assert [ip for ip, _ in after.to_resend(100.3 + RESEND_AFTER_S)] == [SUBSCRIBER]


def test_a_resent_batch_has_a_new_number() -> None:
    subscribers = started(100.0)
    first = number_of(subscribers, 100.0)
    ((_, resent),) = subscribers.to_resend(100.1 + RESEND_AFTER_S)
    assert resent.number > first
    subscribers.acknowledged(SUBSCRIBER, first)
    assert subscribers.to_resend(100.0 + 3 * RESEND_AFTER_S) != []
