"""The work of a machine whose disk counts for the quorum: replica, forwarded calls, publishing of updates."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from random import Random

import attrs

from cloverrouter.control.distribution_messages import Subscribe
from cloverrouter.control.forwarding import CallKind, HeadCall
from cloverrouter.control.orders import ConfigurationMachine, ReviewResult
from cloverrouter.control.publisher import Publisher, SnapshotWanted
from cloverrouter.coordination.effects import Committed, ReplicaConfig, Restored, ViewChanged, ViewInfo
from cloverrouter.coordination.replica import Replica
from cloverrouter.coordination.sampling_messages import ViewSummary, VoterAddress
from cloverrouter.coordination.views import Member
from cloverrouter.daemon.head_calls import HeadCalls
from cloverrouter.daemon.replica_driver import ReplicaDriver, ReplicaListener
from cloverrouter.daemon.settings import Settings
from cloverrouter.daemon.view_notice import ViewNotice
from cloverrouter.messages.sending import Send
from cloverrouter.store.errors import StoreError
from cloverrouter.store.records import StoredReplica
from cloverrouter.store.replica_store import ReplicaStore

MEGABYTE = 1024 * 1024
DISK_RETRY_S = 0.3
# After this many connectivity bounds without a confirmed view, an old state is published rather than none.
UNCONFIRMED_TIMEOUT_FACTOR = 2
THREADED_REVIEW_BYTES = 64 * 1024


@attrs.frozen(slots=True)
class RolePorts:
    """What the role needs of the process.

    `on_view` is called with each view that the replica learns, `on_note` with each note of `store_note` once
    it is on the disk.
    """

    send: Callable[[str, object], None]
    on_view: Callable[[ViewSummary], None]
    log_error: Callable[..., None]
    log_change: Callable[..., None]
    on_note: Callable[[bytes], None] = lambda _: None


class ReplicaRole:
    """One replica, with its disk, its publisher and the calls that it answers as head."""

    def __init__(self, settings: Settings, store: ReplicaStore, stored: StoredReplica, ports: RolePorts,
                 random: Random) -> None:  # fmt: skip
        self._loop = asyncio.get_running_loop()
        self._ports = ports
        self.identity = stored.identity
        self.publisher = Publisher(is_confirmed=False)
        self._publish_deadline_s = 0.0
        self._unconfirmed_timeout_s = UNCONFIRMED_TIMEOUT_FACTOR * settings.bounds.connectivity_s
        own_member = Member(stored.identity, settings.ip, settings.name, settings.zone)
        config = ReplicaConfig(settings.tolerated_machines, max_state_bytes=store.max_state_bytes)
        self._machine = ConfigurationMachine()
        self.replica = Replica(own_member, stored, self._machine, config, random)
        self._call_handler = HeadCalls(self.replica, ports.send)
        listener = ReplicaListener(
            ports.send,
            self._call_handler.deliver_answer,
            self._on_committed,
            self._on_restored,
            self._on_view_changed,
            lambda stored_note: ports.on_note(stored_note.note),
        )
        self._driver = ReplicaDriver(self.replica, store, listener)
        self._summary: ViewSummary | None = None
        self._snapshot_wanted = False
        self._reviewer = ThreadPoolExecutor(1, thread_name_prefix="review")
        self._reviews: dict[bytes, asyncio.Future[ReviewResult | None]] = {}
        self._review_tasks: dict[tuple[str, int], asyncio.Task[None]] = {}

    @staticmethod
    async def open(settings: Settings, ports: RolePorts, random: Random) -> ReplicaRole:
        """Returns the role for the replica on the disk. Retries until the disk can be read."""
        assert settings.data_directory is not None
        loop = asyncio.get_running_loop()
        while True:
            try:
                store = ReplicaStore.open(settings.data_directory, int(settings.disk_mb * MEGABYTE))
                stored = await loop.run_in_executor(None, store.load, settings.bootstrap)
                if stored.damage:
                    ports.log_error("disk-damaged", damage=stored.damage, identity=stored.identity)
                return ReplicaRole(settings, store, stored, ports, random)
            except StoreError as error:
                ports.log_error("disk-unusable", error=str(error))
                await asyncio.sleep(DISK_RETRY_S)

    def start(self, now: float) -> None:
        """Starts the replica and the publisher."""
        self._publish_deadline_s = now + self._unconfirmed_timeout_s
        self._publish(self.publisher.start(now, self.replica.fleet_size))
        self._driver.carry_out(self.replica.start(now))

    def tick(self, now: float) -> None:
        """Advances the replica and the publisher to `now`."""
        self._driver.carry_out(self.replica.tick(now))
        if self._snapshot_wanted:
            self._publish_snapshot(now)
        if now >= self._publish_deadline_s:
            self._publish(self.publisher.confirm(now))
        self._publish(self.publisher.tick(now))
        self.replica.remember_fleet_size(now, self.publisher.fleet_size(now))

    def receive(self, now: float, ip: str, message: object) -> None:
        """Handles a message of another replica."""
        self._driver.carry_out(self.replica.receive(now, ip, message))

    def receive_from_subscriber(self, now: float, ip: str, message: object) -> None:
        """Handles a message of a proxy's subscriber, which is sent the view before any committed update.

        A proxy that was disconnected may know old voters only. If it counted the offers of a majority of
        them, it would consider itself current although all of them may have been replaced.
        """
        if self._summary is not None and isinstance(message, Subscribe):
            self._ports.send(ip, ViewNotice(self._summary))
        if self._summary is not None and not self._is_voter(self._summary):
            return
        self._publish(self.publisher.receive(now, ip, message))

    def handle_call(self, now: float, ip: str, call: HeadCall) -> None:
        """Handles a proxy's call to the head.

        A long order is first reviewed on a separate thread: a head that sends nothing while it reviews is
        replaced, and so would be the next head that receives the order.
        """
        is_long = call.kind == CallKind.ORDER.value and len(call.command) >= THREADED_REVIEW_BYTES
        if not is_long or self.replica.lease_until is None:
            self._driver.carry_out(self._call_handler.handle_call(now, ip, call))
        elif (ip, call.ticket) not in self._review_tasks:
            self._review_tasks[ip, call.ticket] = self._loop.create_task(self._review(ip, call))

    async def _review(self, ip: str, call: HeadCall) -> None:
        try:
            reviewed = await self._start_review(call.command)
        finally:
            del self._review_tasks[ip, call.ticket]
        if reviewed is not None:
            self._machine.provide_review(reviewed)
        self._driver.carry_out(self._call_handler.handle_call(self._loop.time(), ip, call))

    def _start_review(self, command: bytes) -> asyncio.Future[ReviewResult | None]:
        """Returns the review of a long order; all callers that send it meanwhile share one review."""
        review = self._reviews.get(command)
        if review is None:
            review = self._loop.run_in_executor(self._reviewer, self._machine.prepare, command)
            self._reviews[command] = review
            review.add_done_callback(lambda _: self._reviews.pop(command, None))
        return asyncio.shield(review)

    def discovered(self, now: float, members: Iterable[Member]) -> None:
        """Passes the disk members that peer sampling knows to the replica."""
        self._driver.carry_out(self.replica.discovered(now, members))

    def store_note(self, now: float, note: bytes) -> None:
        """See `Replica.store_note`."""
        self._driver.carry_out(self.replica.store_note(now, note))

    def resign(self, now: float) -> None:
        """Gives up the replica's part in the chain before the process stops."""
        self._driver.carry_out(self.replica.resign(now))

    def close(self) -> None:
        for task in list(self._review_tasks.values()):
            task.cancel()
        self._reviewer.shutdown(wait=False, cancel_futures=True)
        self._driver.close()

    def _on_committed(self, event: Committed) -> None:
        self._publish(self.publisher.add_committed_update(self._loop.time(), event.seq, event.update))

    def _on_restored(self, event: Restored) -> None:
        self._publish(self.publisher.load_snapshot(self._loop.time(), event.seq, event.snapshot))

    def _publish(self, effects: Iterable[Send | SnapshotWanted]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._ports.send(effect.ip, effect.message)
            else:
                self._snapshot_wanted = True

    def _publish_snapshot(self, now: float) -> None:
        seq, snapshot = self.replica.committed
        if snapshot is not None:
            self._snapshot_wanted = False
            self._publish(self.publisher.load_snapshot(now, seq, snapshot))

    def _on_view_changed(self, event: ViewChanged) -> None:
        summary = self._summary = summary_of(event.view, self.replica.committed[0])
        self._ports.log_change(
            "view", epoch=summary.epoch, active=summary.active, head=summary.head,
            chain=[member.ip for member in event.view.chain],
        )  # fmt: skip
        if event.view.active and any(each.identity == self.identity for each in event.view.chain):
            self._publish(self.publisher.confirm(self._loop.time()))
        self._ports.on_view(summary)
        for ip in self.publisher.acknowledged():
            self._ports.send(ip, ViewNotice(summary))
        if not self._is_voter(summary):
            self.publisher.clear_subscriptions()

    def _is_voter(self, summary: ViewSummary) -> bool:
        return any(place.identity == self.identity for place in summary.voters)


def summary_of(view: ViewInfo, committed: int) -> ViewSummary:
    """Returns the summary of a view that is sent to other machines; `committed` is a sequence number."""
    voters = tuple(VoterAddress(member.ip, member.identity, member.zone) for member in view.voters)
    return ViewSummary(view.epoch, view.active, view.head_ip or "", voters, committed)
