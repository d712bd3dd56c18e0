"""A machine's partial view: a bounded, continuously changing random sample of the other machines (CYCLON)."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

import attrs

from cloverrouter.coordination.sampling_messages import AgedRecord, PeerRecord

MAX_AGE_S = 60.0  # of a record


@attrs.define(slots=True)
class _Entry:
    record: PeerRecord
    created_at: float


class PartialView:
    """Up to `capacity` other machines, each with the time at which it created its record.

    Times are in seconds on this machine's monotonic clock.
    """

    def __init__(self, own_ip: str, capacity: int, random: Random) -> None:
        self._own_ip = own_ip
        self._capacity = capacity
        self._random = random
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, ip: object) -> bool:
        return ip in self._entries

    def __iter__(self) -> Iterator[PeerRecord]:
        return (entry.record for entry in self._entries.values())

    def is_full(self) -> bool:
        return len(self._entries) >= self._capacity

    def pop_oldest(self, now: float, zone: str | None = None) -> PeerRecord | None:
        """Removes and returns the machine with the oldest record, the partner of the next shuffle.

        With `zone`, a machine of that zone is preferred. Returns None if the view is empty.
        """
        self._drop_expired(now)
        if not self._entries:
            return None
        in_zone = [ip for ip, entry in self._entries.items() if entry.record.zone == zone]
        oldest = min(in_zone or self._entries, key=lambda ip: self._entries[ip].created_at)
        return self._entries.pop(oldest).record

    def sample(self, now: float, count: int, exclude: str) -> tuple[AgedRecord, ...]:
        """Returns up to `count` entries drawn at random, without that of the machine at `exclude`."""
        others = [entry for ip, entry in self._entries.items() if ip != exclude]
        chosen = others if len(others) <= count else self._random.sample(others, count)
        return tuple(AgedRecord(entry.record, _milliseconds(now - entry.created_at)) for entry in chosen)

    def merge(self, now: float, received: Iterable[AgedRecord], replaceable: Iterable[str]) -> None:
        """Merges received entries, first into free places, then in place of the entries `replaceable`.

        `replaceable` holds the addresses that were sent to the other side in the same exchange.
        """
        replaceable = [ip for ip in replaceable if ip in self._entries]
        for aged in received:
            created_at = now - aged.age_ms / 1000
            if aged.record.ip == self._own_ip or now - created_at > MAX_AGE_S:
                continue
            if self._refresh(aged.record, created_at):
                continue
            if self.is_full():
                if not replaceable:
                    continue
                del self._entries[replaceable.pop()]
            self._entries[aged.record.ip] = _Entry(aged.record, created_at)

    def insert(self, now: float, record: PeerRecord) -> None:
        """Adds a machine that has just sent a message, in place of a random one if the view is full."""
        if record.ip == self._own_ip or self._refresh(record, now):
            return
        if self.is_full():
            del self._entries[self._random.choice(list(self._entries))]
        self._entries[record.ip] = _Entry(record, now)

    def discard(self, ip: str) -> None:
        """Removes the machine at `ip` if it is in the view."""
        self._entries.pop(ip, None)

    def _refresh(self, record: PeerRecord, created_at: float) -> bool:
        entry = self._entries.get(record.ip)
        if entry is None:
            return False
        if record.is_newer_than(entry.record):
            entry.record = record
            entry.created_at = max(entry.created_at, created_at)
        return True

    def _drop_expired(self, now: float) -> None:
        expired = [ip for ip, entry in self._entries.items() if now - entry.created_at > MAX_AGE_S]
        for ip in expired:
            del self._entries[ip]


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * 1000))
