"""A machine's partial view: a bounded, ever changing sample of the others, after CYCLON."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

import attrs

from cloverrouter.coordination.sampling_messages import AgedRecord, PeerRecord

MAX_AGE = 60.0


@attrs.define(slots=True)
class _Entry:
    record: PeerRecord
    told_at: float


class PartialView:
    """Up to `capacity` other machines, each with the moment at which it told of itself (steady clock,
    seconds).
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

    def take_oldest(self, now: float, zone: str | None = None) -> PeerRecord | None:
        """Removes the machine that has not told of itself for longest: the partner of the next shuffle. With
        `zone`, one of that zone if there is any."""
        self._drop_outdated(now)
        if not self._entries:
            return None
        near = [ip for ip, entry in self._entries.items() if entry.record.zone == zone]
        oldest = min(near or self._entries, key=lambda ip: self._entries[ip].told_at)
        return self._entries.pop(oldest).record

    def sample(self, now: float, count: int, without: str) -> tuple[AgedRecord, ...]:
        """Up to `count` entries drawn at random, none of them the machine `without`."""
        others = [entry for ip, entry in self._entries.items() if ip != without]
        chosen = others if len(others) <= count else self._random.sample(others, count)
        return tuple(AgedRecord(entry.record, _milliseconds(now - entry.told_at)) for entry in chosen)

    def merge(self, now: float, received: Iterable[AgedRecord], replaceable: Iterable[str]) -> None:
        """Takes in what came, first into free places, then in place of what was sent the other way."""
        replaceable = [ip for ip in replaceable if ip in self._entries]
        for aged in received:
            told_at = now - aged.age_ms / 1000
            if aged.record.ip == self._own_ip or now - told_at > MAX_AGE:
                continue
            if self._refresh(aged.record, told_at):
                continue
            if self.is_full():
                if not replaceable:
                    continue
                del self._entries[replaceable.pop()]
            self._entries[aged.record.ip] = _Entry(aged.record, told_at)

    def insert(self, now: float, record: PeerRecord) -> None:
        """Takes in a machine that was just heard itself, in place of a random one if the view is full."""
        if record.ip == self._own_ip or self._refresh(record, now):
            return
        if self.is_full():
            del self._entries[self._random.choice(list(self._entries))]
        self._entries[record.ip] = _Entry(record, now)

    def discard(self, ip: str) -> None:
        """Forgets the machine at `ip`, if it is here."""
        self._entries.pop(ip, None)

    def _refresh(self, record: PeerRecord, told_at: float) -> bool:
        entry = self._entries.get(record.ip)
        if entry is None:
            return False
        if record.is_newer_than(entry.record):
            entry.record = record
            entry.told_at = max(entry.told_at, told_at)
        return True

    def _drop_outdated(self, now: float) -> None:
        outdated = [ip for ip, entry in self._entries.items() if now - entry.told_at > MAX_AGE]
        for ip in outdated:
            del self._entries[ip]


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * 1000))
