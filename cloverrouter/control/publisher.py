"""The voter's side of distribution: serves committed state and tracks which subscriber has it."""

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
MAX_UNACKNOWLEDGED_BYTES = 256 * 1024  # above it, updates are offered instead of pushed
MIN_OFFER_PERIOD_S = 0.5
MAX_OFFER_PERIOD_S = 1.0
MAX_OFFERS_PER_S = 200
SUBSCRIPTION_EXPIRY_S = 7.0
COUNTING_DELAY_S = 3.0
MAX_CACHED_PACKAGES = 3


@attrs.frozen(slots=True)
class SnapshotWanted:
    """Effect: the replica must call `load_snapshot` with the newest committed state, since the window of
    updates does not reach back to the last snapshot.
    """


@attrs.define(slots=True)
class _Subscription:
    last_message_at: float
    acknowledged: int = NOTHING
    wants_push: bool = False
    last_pushed: int = NOTHING


Effect = Send | SnapshotWanted


class Publisher:
    """The state machine on each replica, without I/O: the newest snapshot and a window of recent updates.

    A restarted replica may not know of the last committed updates. State that it handed out before a head has
    announced them could bring back a configuration that was replaced long ago. Therefore it offers nothing
    before it is confirmed.
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
        self._counting_starts_at = 0.0
        self._fleet_size = FleetSize()
        self._next_offer = 0.0

    @property
    def newest(self) -> int:
        """The newest committed sequence number known here, or `NOTHING`."""
        return self._newest

    def acknowledged(self) -> dict[str, int]:
        """Returns the newest acknowledged sequence number of each subscriber, by IP."""
        return {ip: each.acknowledged for ip, each in self._subscriptions.items()}

    def fleet_size(self, now: float) -> int:
        """Returns the number of recent subscribers; 0 for `COUNTING_DELAY_S` after a first start."""
        return self._fleet_size.largest(now)

    def start(self, now: float, remembered: int = 0) -> list[Effect]:
        """Counts subscribers from `COUNTING_DELAY_S` on. `remembered`: their number before the restart."""
        self._counting_starts_at = now + COUNTING_DELAY_S
        self._fleet_size.record_count(now, remembered)
        return []

    def confirm(self, now: float) -> list[Effect]:
        """Handles that all updates committed before the start are now known here: offers them to all."""
        if self._is_confirmed:
            return []
        self._is_confirmed = True
        return [self._offer(now, ip) for ip in self._subscriptions]

    @property
    def _offerable(self) -> int:
        return self._newest if self._is_confirmed else NOTHING

    def clear_subscriptions(self) -> None:
        """Drops all subscriptions: this machine is no longer a voter."""
        self._subscriptions.clear()

    def add_committed_update(self, now: float, sequence: int, update: bytes) -> list[Effect]:
        """Handles a committed update. Requests a snapshot if updates before it are missing."""
        if sequence <= self._newest:
            return []
        if sequence != self._newest + 1:
            return [SnapshotWanted()]
        self._updates.append((sequence, update))
        self._window_bytes += len(update)
        self._newest = sequence
        effects = self._trim()
        return effects + [self._push_or_offer(now, ip, each) for ip, each in self._subscriptions.items()]

    def load_snapshot(self, now: float, sequence: int, snapshot: bytes) -> list[Effect]:
        """Takes the committed state as of `sequence`: at the start, after a transfer or when requested."""
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
        """Sends the periodic offers if they are due. They also serve as heartbeats."""
        if now < self._next_offer:
            return []
        self._next_offer = now + self._offer_period()
        self._expire(now)
        if now >= self._counting_starts_at:
            self._fleet_size.record_count(now, len(self._subscriptions))
        return [self._offer(now, ip) for ip in self._subscriptions]

    def receive(self, now: float, ip: str, message: object) -> list[Effect]:
        """Handles a subscriber's message."""
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
                return self._answer_part_pull(now, ip, message)
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
        """Pushes the newest update to a subscriber that wants it and has its predecessor; else offers it."""
        sequence, update = self._updates[-1]
        has_previous = self._is_confirmed and sequence - 1 in (
            subscription.acknowledged,
            subscription.last_pushed,
        )
        if not (subscription.wants_push and has_previous and len(update) <= PART_BYTES):
            return self._offer(now, ip)
        if self._bytes_after(subscription.acknowledged) > MAX_UNACKNOWLEDGED_BYTES:
            return self._offer(now, ip)
        subscription.last_pushed = sequence
        return Send(ip, Delta(sequence, (update,), sequence))

    def _answer_pull(self, now: float, ip: str, have: int) -> list[Effect]:
        if have >= self._offerable:
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

    def _answer_part_pull(self, now: float, ip: str, message: PullPart) -> list[Effect]:
        if not self._is_confirmed:
            return [self._offer(now, ip)]
        package = self._find_package(message.sequence, message.is_snapshot)
        if package is None or not 0 <= message.offset < max(1, len(package.data)):
            return self._answer_pull(now, ip, self._subscriptions[ip].acknowledged)
        return [Send(ip, package.part(message.offset))]

    def _find_package(self, sequence: int, is_snapshot: bool) -> Package | None:
        """Returns a package whose transfer has begun, None if it is no longer available.

        Each use moves the package to the end of the eviction order, so that a subscriber on a slow link can
        finish its transfer while changes are frequent.
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
        """Returns the updates that follow `have` without a gap; empty if the window begins later."""
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
        """Returns whether the window holds all updates after `sequence`."""
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
        return Send(ip, Offer(self._offerable, self.fleet_size(now), every_ms))

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
