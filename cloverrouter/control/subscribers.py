"""A voter's subscribers, and the updates that each of them has not acknowledged yet."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

RESEND_AFTER_S = 0.3
MAX_UNACKNOWLEDGED_BATCHES = 64
"""A subscriber with more unacknowledged batches catches up by comparing lists instead."""
INSTANCES_PER_BATCH = 100
MIN_COMPARE_PERIOD_S = 2.0
MAX_COMPARES_PER_S = 100
EXPIRE_AFTER_PERIODS = 3.5
MIN_LISTS_PER_WINDOW = 4
MAX_RECORDS_PER_WINDOW = 40_000  # about 3 MB
LIST_WINDOW_S = 0.5
"""The window in which the number of whole lists sent is limited."""


@attrs.frozen(slots=True)
class Batch:
    """Ids of instances whose records are sent in one message, under its number."""

    number: int
    ids: tuple[str, ...]
    sent_at: float


@attrs.define(slots=True)
class _Subscriber:
    """A subscriber's unacknowledged batches, and whether its list differed when last compared."""

    compared_at: float
    batches: dict[int, Batch] = attrs.field(factory=dict)
    differed: bool = True


class Subscribers:
    """The machines that a voter sends updates to, in numbered batches that are resent until acknowledged."""

    def __init__(self) -> None:
        self._subscribers: dict[str, _Subscriber] = {}
        self._number = 0
        self._lists_sent: list[float] = []

    def __iter__(self) -> Iterator[str]:
        return iter(self._subscribers)

    def __len__(self) -> int:
        return len(self._subscribers)

    @property
    def compare_period(self) -> float:
        """The seconds between one subscriber's comparisons; it grows so that the total rate is bounded."""
        return max(MIN_COMPARE_PERIOD_S, len(self._subscribers) / MAX_COMPARES_PER_S)

    def clear(self) -> None:
        """Drops all subscribers, as this machine is no longer a voter."""
        self._subscribers.clear()

    def compared(self, now: float, ip: str, *, agrees: bool, list_length: int) -> bool:
        """Records a subscriber's comparison; returns whether to send it the list of `list_length` records.

        A single difference is mostly due to updates in flight, so the list is sent only after the second
        difference in a row, or the first one of a new subscriber.
        """
        subscriber = self._subscribers.get(ip)
        if subscriber is None:
            subscriber = self._subscribers[ip] = _Subscriber(now)
        subscriber.compared_at = now
        if agrees:
            subscriber.differed = False
            return False
        if not subscriber.differed:
            subscriber.differed = True
            return False
        return self._may_send_list(now, list_length)

    def queue(self, now: float, ids: Iterable[str], source: str) -> list[tuple[Batch, list[str]]]:
        """Queues updates for all subscribers but the source; returns the batches and their receivers."""
        ids = tuple(ids)
        receivers = [ip for ip in self._subscribers if ip != source]
        starts = range(0, len(ids), INSTANCES_PER_BATCH)
        batches = [self._new_batch(now, ids[start : start + INSTANCES_PER_BATCH]) for start in starts]
        for ip in receivers:
            for batch in batches:
                self._add_unacknowledged(self._subscribers[ip], batch)
        return [(batch, receivers) for batch in batches]

    def acknowledged(self, ip: str, number: int) -> None:
        """Records a subscriber's acknowledgement of the batch with that number."""
        subscriber = self._subscribers.get(ip)
        if subscriber is not None:
            subscriber.batches.pop(number, None)

    def to_resend(self, now: float) -> list[tuple[str, Batch]]:
        """Returns the batches that were not acknowledged in time, renumbered, to be sent again."""
        resends = []
        for ip, subscriber in self._subscribers.items():
            overdue = [
                batch for batch in subscriber.batches.values() if now - batch.sent_at >= RESEND_AFTER_S
            ]
            for batch in overdue:
                del subscriber.batches[batch.number]
                fresh = self._new_batch(now, batch.ids)
                self._add_unacknowledged(subscriber, fresh)
                resends.append((ip, fresh))
        return resends

    def expire(self, now: float) -> None:
        """Drops subscribers that have not compared their lists for several periods."""
        limit = EXPIRE_AFTER_PERIODS * self.compare_period
        expired = [ip for ip, subscriber in self._subscribers.items() if now - subscriber.compared_at > limit]
        for ip in expired:
            del self._subscribers[ip]

    def _new_batch(self, now: float, ids: tuple[str, ...]) -> Batch:
        # Above the numbers of an earlier process on this machine, whose acknowledgements may still arrive.
        self._number = max(self._number + 1, int(now * 1000))
        return Batch(self._number, ids, now)

    @staticmethod
    def _add_unacknowledged(subscriber: _Subscriber, batch: Batch) -> None:
        subscriber.batches[batch.number] = batch
        if len(subscriber.batches) > MAX_UNACKNOWLEDGED_BATCHES:
            # Too far behind for resends: the next comparison finds the difference.
            subscriber.batches.clear()
            subscriber.differed = True

    def _may_send_list(self, now: float, list_length: int) -> bool:
        """Limits how many whole lists are sent at once; other subscribers wait for their next comparison."""
        self._lists_sent = [at for at in self._lists_sent if now - at < LIST_WINDOW_S]
        max_lists = max(MIN_LISTS_PER_WINDOW, MAX_RECORDS_PER_WINDOW // max(list_length, 1))
        if len(self._lists_sent) >= max_lists:
            return False
        self._lists_sent.append(now)
        return True
