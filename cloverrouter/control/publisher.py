"""The voter's side of distribution: what is committed, and who has it."""

from __future__ import annotations

from collections import deque

import attrs

from cloverrouter.control.distribution_messages import (
    NOTHING,
    Acknowledge,
    Delta,
    Offer,
    Pull,
    PullPart,
    Subscribe,
)
from cloverrouter.control.fleet_size import FleetSize
from cloverrouter.control.transfer import PART_BYTES, Package, pack
from cloverrouter.messages.sending import Send

WINDOW_COUNT = 256
WINDOW_BYTES = 2 * 1024 * 1024
PUSH_BYTES = 256 * 1024
MIN_OFFER_PERIOD_S = 0.5
MAX_OFFER_PERIOD_S = 1.0
MAX_OFFERS_PER_S = 200
SUBSCRIPTION_EXPIRY_S = 7.0
COUNTING_DELAY_S = 3.0
MAX_CACHED_PACKAGES = 3


@attrs.frozen(slots=True)
class SnapshotWanted:
    """The replica is to call `restored` with the newest committed state: the last snapshot is too old to
    build on.
    """


@attrs.define(slots=True)
class _Subscription:
    last_message_at: float
    acknowledged: int = NOTHING
    wants_push: bool = False
    last_pushed: int = NOTHING


Effect = Send | SnapshotWanted


class Publisher:
    """The pure core on each replica. It holds the newest snapshot and a window of recent updates.

    Danger: a replica that was started again knows only of some updates that they are committed. Handed out
    before a head has told of the others, its state brings back what was replaced long ago. So it offers
    nothing before it is confirmed.
    """

    def __init__(self, is_confirmed: bool = True) -> None:
        self._is_confirmed = is_confirmed
        self._snapshot: tuple[int, bytes] | None = None
        self._updates: deque[tuple[int, bytes]] = deque()
        self._window_bytes = 0
        self._newest = NOTHING
        self._subscriptions: dict[str, _Subscription] = {}
        self._packages: dict[tuple[int, bool], Package] = {}
        self._awaiting_snapshot: set[str] = set()
        self._counts_from = 0.0
        self._fleet_size = FleetSize()
        self._next_offer = 0.0

    @property
    def newest(self) -> int:
        """The newest committed sequence number, or `NOTHING`."""
        return self._newest

    def acknowledged(self) -> dict[str, int]:
        """What each subscribed machine is known to have in force."""
        return {ip: each.acknowledged for ip, each in self._subscriptions.items()}

    def fleet_size(self, now: float) -> int:
        """How many machines have subscribed of late; 0 for a while after a first start."""
        return self._fleet_size.largest(now)

    def start(self, now: float, remembered: int = 0) -> list[Effect]:
        """Subscribers are counted after a while. `remembered`: how many there were when this voter ended."""
        self._counts_from = now + COUNTING_DELAY_S
        self._fleet_size.record_count(now, remembered)
        return []

    def confirm(self, now: float) -> list[Effect]:
        """All that was committed before is known here by now."""
        if self._is_confirmed:
            return []
        self._is_confirmed = True
        return [self._offer(now, ip) for ip in self._subscriptions]

    @property
    def _offered(self) -> int:
        return self._newest if self._is_confirmed else NOTHING

    def resign(self) -> None:
        """This machine is no voter any more."""
        self._subscriptions.clear()

    def committed(self, now: float, sequence: int, update: bytes) -> list[Effect]:
        """An update was committed. One that does not follow the last asks for a snapshot."""
        if sequence <= self._newest:
            return []
        if sequence != self._newest + 1:
            return [SnapshotWanted()]
        self._updates.append((sequence, update))
        self._window_bytes += len(update)
        self._newest = sequence
        effects = self._trim()
        return effects + [self._push_or_offer(now, ip, each) for ip, each in self._subscriptions.items()]

    def restored(self, now: float, sequence: int, snapshot: bytes) -> list[Effect]:
        """The committed state as of `sequence`, at the start, after a transfer, or because it was wanted."""
        if self._snapshot is not None and sequence <= self._snapshot[0]:
            return []
        self._snapshot = (sequence, snapshot)
        waiting, self._awaiting_snapshot = self._awaiting_snapshot, set()
        effects: list[Effect] = []
        if sequence > self._newest:
            self._updates.clear()
            self._window_bytes = 0
            self._newest = sequence
            effects += [self._offer(now, ip) for ip in self._subscriptions if ip not in waiting]
        for ip in waiting:
            effects += self._send_snapshot(ip)
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Offers to all now and then, which also tell them that they are in touch."""
        if now < self._next_offer:
            return []
        self._next_offer = now + self._offer_period()
        self._expire(now)
        if now >= self._counts_from:
            self._fleet_size.record_count(now, len(self._subscriptions))
        return [self._offer(now, ip) for ip in self._subscriptions]

    def receive(self, now: float, ip: str, message: object) -> list[Effect]:
        """A subscriber's message."""
        match message:
            case Subscribe():
                return self._handle_subscribe(now, ip, message)
            case Acknowledge():
                subscription = self._subscription(now, ip)
                subscription.acknowledged = max(subscription.acknowledged, message.sequence)
            case Pull():
                self._subscription(now, ip)
                return self._answer_pull(now, ip, message.have)
            case PullPart():
                self._subscription(now, ip)
                return self._part_pulled(now, ip, message)
        return []

    def _handle_subscribe(self, now: float, ip: str, message: Subscribe) -> list[Effect]:
        subscription = self._subscription(now, ip)
        if message.have < subscription.acknowledged:
            subscription.last_pushed = NOTHING
        subscription.acknowledged = message.have
        subscription.wants_push = message.wants_push
        return [self._offer(now, ip)]

    def _subscription(self, now: float, ip: str) -> _Subscription:
        subscription = self._subscriptions.setdefault(ip, _Subscription(now))
        subscription.last_message_at = now
        return subscription

    def _push_or_offer(self, now: float, ip: str, subscription: _Subscription) -> Send:
        """The newest update itself to those who have all before it and want it, an offer to the others."""
        sequence, update = self._updates[-1]
        has_previous = self._is_confirmed and sequence - 1 in (
            subscription.acknowledged,
            subscription.last_pushed,
        )
        if not (subscription.wants_push and has_previous and len(update) <= PART_BYTES):
            return self._offer(now, ip)
        if self._bytes_after(subscription.acknowledged) > PUSH_BYTES:
            return self._offer(now, ip)
        subscription.last_pushed = sequence
        return Send(ip, Delta(sequence, (update,), sequence))

    def _answer_pull(self, now: float, ip: str, have: int) -> list[Effect]:
        if have >= self._offered:
            return [self._offer(now, ip)]
        following = self._updates_after(have)
        if have == NOTHING or not following or self._is_snapshot_shorter(have):
            return self._send_snapshot(ip)
        if len(following[0][1]) > PART_BYTES:
            return [Send(ip, self._package(following[0][0], False, following[0][1]).part(0))]
        subscription = self._subscriptions[ip]
        updates, size = [], 0
        for sequence, update in following:
            size += len(update)
            if size > PART_BYTES:
                break
            updates.append(update)
            subscription.last_pushed = sequence
        return [Send(ip, Delta(have + 1, tuple(updates), self._newest))]

    def _send_snapshot(self, ip: str) -> list[Effect]:
        if self._snapshot is None or not self._can_extend(self._snapshot[0]):
            self._awaiting_snapshot.add(ip)
            return [SnapshotWanted()]
        sequence, snapshot = self._snapshot
        return [Send(ip, self._package(sequence, True, snapshot).part(0))]

    def _part_pulled(self, now: float, ip: str, message: PullPart) -> list[Effect]:
        if not self._is_confirmed:
            return [self._offer(now, ip)]
        package = self._package_again(message.sequence, message.is_snapshot)
        if package is None or not 0 <= message.offset < max(1, len(package.data)):
            return self._answer_pull(now, ip, self._subscriptions[ip].acknowledged)
        return [Send(ip, package.part(message.offset))]

    def _package_again(self, sequence: int, is_snapshot: bool) -> Package | None:
        """A package that was begun to be sent. One that is asked for stays, though newer ones come, so that
        who has a slow link gets through in a storm of changes.
        """
        known = self._packages.get((sequence, is_snapshot))
        if known is not None:
            return self._package(sequence, is_snapshot, known.data)
        if is_snapshot:
            if self._snapshot is not None and self._snapshot[0] == sequence:
                return self._package(sequence, True, self._snapshot[1])
            return None
        for number, update in self._updates_after(sequence - 1)[:1]:
            return self._package(number, False, update)
        return None

    def _package(self, sequence: int, is_snapshot: bool, data: bytes) -> Package:
        key = (sequence, is_snapshot)
        package = self._packages.pop(key, None) or pack(sequence, is_snapshot, data)
        self._packages[key] = package
        while len(self._packages) > MAX_CACHED_PACKAGES:
            del self._packages[next(iter(self._packages))]
        return package

    def _updates_after(self, have: int) -> list[tuple[int, bytes]]:
        """The updates that follow `have` without a gap; empty if the window does not reach back so far."""
        if not self._updates or have < self._updates[0][0] - 1:
            return []
        return [each for each in self._updates if each[0] > have]

    def _bytes_after(self, have: int) -> int:
        size = 0
        for sequence, update in reversed(self._updates):
            if sequence <= have:
                break
            size += len(update)
        return size

    def _is_snapshot_shorter(self, have: int) -> bool:
        if self._snapshot is None or self._snapshot[0] <= have or not self._can_extend(self._snapshot[0]):
            return False
        sequence, snapshot = self._snapshot
        return len(snapshot) + self._bytes_after(sequence) < self._bytes_after(have)

    def _can_extend(self, sequence: int) -> bool:
        """True if the window holds everything after that."""
        return sequence == self._newest or bool(self._updates_after(sequence))

    def _trim(self) -> list[Effect]:
        could_extend = self._snapshot is not None and self._can_extend(self._snapshot[0])
        while len(self._updates) > WINDOW_COUNT or (
            self._window_bytes > WINDOW_BYTES and len(self._updates) > 1
        ):
            self._window_bytes -= len(self._updates.popleft()[1])
        can_extend = self._snapshot is not None and self._can_extend(self._snapshot[0])
        return [SnapshotWanted()] if could_extend and not can_extend else []

    def _offer(self, now: float, ip: str) -> Send:
        every_ms = round(self._offer_period() * 1000)
        return Send(ip, Offer(self._offered, self.fleet_size(now), every_ms))

    def _offer_period(self) -> float:
        period = len(self._subscriptions) / MAX_OFFERS_PER_S
        return min(MAX_OFFER_PERIOD_S, max(MIN_OFFER_PERIOD_S, period))

    def _expire(self, now: float) -> None:
        late = [
            ip
            for ip, each in self._subscriptions.items()
            if now - each.last_message_at > SUBSCRIPTION_EXPIRY_S
        ]
        for ip in late:
            del self._subscriptions[ip]
