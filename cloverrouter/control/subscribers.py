"""The voter's part of the registry: who subscribes to it, and what each of them has not taken yet."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

RESEND_AFTER = 0.3
MAX_BATCHES = 64
BATCH_LENGTH = 100
SHORTEST_COMPARE_PERIOD = 2.0
COMPARES_A_SECOND = 100
EXPIRE_PERIODS = 3.5
LEAST_LISTS_A_WINDOW = 4
RECORDS_A_WINDOW = 40_000  # about 3 MB
LIST_WINDOW = 0.5


@attrs.frozen(slots=True)
class Batch:
    """Ids of instances whose records were sent, or are to be sent, under one number."""

    number: int
    ids: tuple[str, ...]
    sent_at: float


@attrs.define(slots=True)
class _Subscriber:
    heard_at: float
    batches: dict[int, Batch] = attrs.field(factory=dict)
    differed: bool = True


class Subscribers:
    """The machines that a voter passes news on to. News are numbered batches, sent again until taken."""

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
        """How often each is to compare its list: seldom enough that all together stay bounded."""
        return max(SHORTEST_COMPARE_PERIOD, len(self._subscribers) / COMPARES_A_SECOND)

    def clear(self) -> None:
        """This machine is no voter any more."""
        self._subscribers.clear()

    def heard(self, now: float, ip: str, *, agrees: bool, list_length: int) -> bool:
        """A subscriber compared its list; returns whether it is to be sent the whole list, which has that
        length.

        A single difference is mostly news that are under way, so only the second one in a row counts, or
        the first of a new subscriber.
        """
        subscriber = self._subscribers.get(ip)
        if subscriber is None:
            subscriber = self._subscribers[ip] = _Subscriber(now)
        subscriber.heard_at = now
        if agrees:
            subscriber.differed = False
            return False
        if not subscriber.differed:
            subscriber.differed = True
            return False
        return self._may_send_list(now, list_length)

    def queue(self, now: float, ids: Iterable[str], source: str) -> list[tuple[Batch, list[str]]]:
        """News for all subscribers but the one that they came from: what to send to whom."""
        ids = tuple(ids)
        to = [ip for ip in self._subscribers if ip != source]
        cuts = range(0, len(ids), BATCH_LENGTH)
        batches = [self._numbered(now, ids[start : start + BATCH_LENGTH]) for start in cuts]
        for ip in to:
            for batch in batches:
                self._await(self._subscribers[ip], batch)
        return [(batch, to) for batch in batches]

    def taken(self, ip: str, number: int) -> None:
        """A subscriber has the batch of that number."""
        subscriber = self._subscribers.get(ip)
        if subscriber is not None:
            subscriber.batches.pop(number, None)

    def to_resend(self, now: float) -> list[tuple[str, Batch]]:
        """Batches that were not taken in time, to be sent again under new numbers."""
        again = []
        for ip, subscriber in self._subscribers.items():
            late = [batch for batch in subscriber.batches.values() if now - batch.sent_at >= RESEND_AFTER]
            for batch in late:
                del subscriber.batches[batch.number]
                fresh = self._numbered(now, batch.ids)
                self._await(subscriber, fresh)
                again.append((ip, fresh))
        return again

    def expire(self, now: float) -> None:
        """Drops those that have not compared their lists for a while."""
        limit = EXPIRE_PERIODS * self.compare_period
        late = [ip for ip, subscriber in self._subscribers.items() if now - subscriber.heard_at > limit]
        for ip in late:
            del self._subscribers[ip]

    def _numbered(self, now: float, ids: tuple[str, ...]) -> Batch:
        # Above the numbers of an earlier life of this process, for which receipts may still come.
        self._number = max(self._number + 1, int(now * 1000))
        return Batch(self._number, ids, now)

    @staticmethod
    def _await(subscriber: _Subscriber, batch: Batch) -> None:
        subscriber.batches[batch.number] = batch
        if len(subscriber.batches) > MAX_BATCHES:
            # Too far behind for batches: the next comparison finds the difference.
            subscriber.batches.clear()
            subscriber.differed = True

    def _may_send_list(self, now: float, list_length: int) -> bool:
        """Whole lists are long: when all want one at once, some wait for their next comparison."""
        self._lists_sent = [at for at in self._lists_sent if now - at < LIST_WINDOW]
        most = max(LEAST_LISTS_A_WINDOW, RECORDS_A_WINDOW // max(list_length, 1))
        if len(self._lists_sent) >= most:
            return False
        self._lists_sent.append(now)
        return True
