"""The acceptor and chain member part of a replica: grants promises, installs views and states, stores updates
and passes them on."""

from __future__ import annotations

from cloverrouter.coordination.context import Context
from cloverrouter.coordination.effects import Committed, Restored
from cloverrouter.coordination.head_contact import HeadContact
from cloverrouter.coordination.messages import (
    Announce,
    Canvass,
    Commit,
    Fetch,
    Forward,
    Heartbeat,
    Install,
    Promise,
    Propose,
    Refused,
    State,
    Stored,
    Support,
)


class Follower:
    """One replica as voter and chain member."""

    def __init__(self, context: Context, now: float) -> None:
        self._context = context
        self.contact = HeadContact(context, now)
        self._promise_due: tuple[int, str, str] | None = None  # epoch, proposer, address
        self._report_due: tuple[int, str, str] | None = None  # epoch, head, address
        self._upstream_stored_seq = 0  # newest update that all up to the predecessor have stored
        self._last_reported = 0  # newest sequence number sent in a `Stored`
        self._link_epoch = 0  # epoch of these two numbers

    # -- votes --

    def on_canvass(self, now: float, ip: str, message: Canvass) -> None:
        """Handles a pre-vote request."""
        context = self._context
        known = context.view.epoch if context.view is not None else 0
        granted = not self.contact.must_withhold_promise(now, message.sender) and message.view_epoch >= known
        reply = Support(
            sender=context.me.identity,
            receiver=message.sender,
            attempt=message.attempt,
            granted=granted and not self._disk_is_busy(now),
            promised=context.epoch,
            view=context.view,
            settled=context.settled,
        )
        context.send(ip, reply)

    def _disk_is_busy(self, now: float) -> bool:
        return self._context.disk.trouble_s(now) >= self._context.config.failure_timeout_s

    def on_propose(self, now: float, ip: str, message: Propose) -> bool:
        """Handles a prepare request. Returns whether a new promise was made."""
        context = self._context
        context.seen_epoch = max(context.seen_epoch, message.epoch)
        meta = context.disk.meta
        is_repeated = message.epoch == meta.promised and message.sender == meta.promised_to
        if not is_repeated and (
            message.epoch <= meta.promised or self.contact.must_withhold_promise(now, message.sender)
        ):
            refused = Refused(context.me.identity, message.sender, message.epoch, meta.promised)
            context.send(ip, refused)
            return False
        if not is_repeated:
            context.disk.set_meta(promised=message.epoch, promised_to=message.sender)
            self.contact.record_contact(now, message.sender)
        self._promise_due = (message.epoch, message.sender, ip)
        return not is_repeated

    def on_fetch(self, now: float, ip: str, message: Fetch) -> None:
        """Sends the state to the proposer that holds this replica's promise. The transfer of a large state
        takes a while."""
        context = self._context
        meta = context.disk.meta
        if message.epoch != meta.promised or message.sender != meta.promised_to:
            return
        self.contact.record_contact(now, message.sender)
        newest = context.history.snapshot()
        reply = State(
            sender=context.me.identity,
            receiver=message.sender,
            epoch=message.epoch,
            synced=meta.synced,
            seq=newest.seq,
            snapshot=newest.data,
        )
        context.send(ip, reply)

    # -- views and state --

    def on_install(self, now: float, ip: str, message: Install) -> bool:
        """Handles a view and state from a head. Returns whether they were installed by this message."""
        context = self._context
        view = message.view
        if not self._may_adopt(now, ip, message.sender, view.epoch):
            return False
        self.contact.record_contact(now, message.sender)
        self._report_due = (view.epoch, message.sender, ip)
        if context.synced == view.epoch:
            return False
        if message.snapshot is not None:
            context.history.replace(message.seq, message.snapshot)
            context.disk.replace(message.seq, message.snapshot)
        elif (context.synced, context.history.newest) == (message.from_synced, message.from_seq):
            for update in message.updates:
                context.disk.append(context.history.append(update), update)
        else:
            return False
        context.adopt_view(view, message.sender, synced=True)
        return True

    def on_announce(self, now: float, ip: str, message: Announce) -> bool:
        """Handles a view from a head whose chain this replica is not in. Returns whether it was adopted by
        this message."""
        context = self._context
        epoch = message.view.epoch
        if not self._may_adopt(now, ip, message.sender, epoch):
            return False
        self.contact.record_contact(now, message.sender)
        self._report_due = (epoch, message.sender, ip)
        if context.disk.durable.meta.view_epoch == epoch == context.epoch:
            return False
        context.adopt_view(message.view, message.sender, synced=False)
        return True

    def _may_adopt(self, now: float, ip: str, sender: str, epoch: int) -> bool:
        """Returns whether a view of this epoch from this head may be adopted; if a higher epoch was promised,
        reports that to the sender."""
        meta = self._context.disk.meta
        if epoch < meta.promised:
            self._context.report(now, ip, sender)
            return False
        return epoch > meta.promised or sender == meta.promised_to

    # -- updates --

    def on_forward(self, message: Forward) -> list[Committed | Restored]:
        """Stores updates from the predecessor and passes them on at once. Returns the commits that follow."""
        context = self._context
        if not self._is_in_chain(message.epoch):
            return []
        history = context.history
        fresh = message.updates[max(0, history.newest + 1 - message.first_seq) :]
        if fresh and message.first_seq <= history.newest + 1:
            first = history.newest + 1
            for update in fresh:
                context.disk.append(history.append(update), update)
            self._pass_on(message, first, fresh)
        self._record_upstream_stored(message.epoch, message.sender, message.stored)
        return self._commit(message.committed)

    def _pass_on(self, message: Forward, first: int, updates: tuple[bytes, ...]) -> None:
        context = self._context
        successor = self._successor()
        if successor is None or context.view is None:
            return
        passed = Forward(
            sender=context.me.identity,
            receiver=successor,
            epoch=message.epoch,
            first_seq=first,
            updates=updates,
            stored=self._stored_seq(),
            committed=message.committed,
        )
        self._send_to(successor, passed)

    def on_stored(self, message: Stored) -> None:
        """Handles the acknowledgement of the predecessor and all members before it."""
        if self._is_in_chain(message.epoch):
            self._record_upstream_stored(message.epoch, message.sender, message.seq)

    def on_commit(self, message: Commit) -> list[Committed | Restored]:
        """Handles a commit: the whole chain has stored these updates. Returns the commits that follow."""
        return self._commit(message.seq) if self._is_in_chain(message.epoch) else []

    def _commit(self, seq: int) -> list[Committed | Restored]:
        history = self._context.history
        return history.commit(min(seq, history.newest))

    def _is_in_chain(self, epoch: int) -> bool:
        """Returns whether this replica holds the state of that epoch and has promised no higher one."""
        return epoch == self._context.epoch == self._context.synced

    def _record_upstream_stored(self, epoch: int, sender: str, seq: int) -> None:
        self._reset_link(epoch)
        view = self._context.view
        if view is None or view.epoch != epoch or self._context.me.identity not in view.chain:
            return
        index = view.chain.index(self._context.me.identity)
        if index > 0 and view.chain[index - 1] == sender:
            self._upstream_stored_seq = max(self._upstream_stored_seq, seq)

    def _reset_link(self, epoch: int) -> None:
        if epoch != self._link_epoch:
            self._link_epoch, self._upstream_stored_seq, self._last_reported = epoch, 0, 0

    def _stored_seq(self) -> int:
        """Returns the newest update that all members from the head to this replica have stored."""
        durable = self._context.disk.durable
        if durable.meta.synced != self._link_epoch:
            return 0
        return min(self._upstream_stored_seq, durable.seq)

    def _successor(self) -> str | None:
        view = self._context.view
        if view is None or self._context.me.identity not in view.chain:
            return None
        index = view.chain.index(self._context.me.identity) + 1
        return view.chain[index] if index < len(view.chain) else None

    def _send_to(self, identity: str, message: object) -> None:
        view = self._context.view
        member = view.voter(identity) if view is not None else None
        if member is not None:
            self._context.send(self._context.address(member), message)

    # -- heartbeats --

    def on_heartbeat(self, now: float, ip: str, message: Heartbeat) -> list[Committed | Restored]:
        """Handles a heartbeat and replies with a report. Returns the commits that follow."""
        context = self._context
        context.seen_epoch = max(context.seen_epoch, message.epoch)
        known = context.view.epoch if context.view is not None else 0
        is_late = (message.epoch, message.round) < (context.round_epoch, context.round)
        if message.epoch < known or is_late:
            context.report(now, ip, message.sender)
            return []
        self.contact.on_heartbeat(now, message)
        # A head's lease must rest only on voters that still know of their promise after a power loss.
        promise = context.disk.durable.meta
        is_promised = message.epoch == context.epoch == promise.promised
        if is_promised and message.sender == promise.promised_to:
            context.round_epoch, context.round = message.epoch, message.round
        context.report(now, ip, message.sender)
        if message.active:
            context.active_epoch = max(context.active_epoch, message.epoch)
            if message.epoch == known and not context.settled:
                context.disk.set_meta_later(now, settled=True)
        if not self._is_in_chain(message.epoch):
            return []
        return self._commit(message.committed)

    # -- after a write has completed --

    def flush(self, now: float) -> None:
        """Sends the messages that were waiting for a write."""
        self._flush_promise()
        self._flush_report(now)
        self._flush_stored()

    def _flush_promise(self) -> None:
        context = self._context
        durable = context.disk.durable
        if self._promise_due is None:
            return
        epoch, proposer, ip = self._promise_due
        if epoch != context.epoch:
            self._promise_due = None
        elif durable.meta.promised == epoch:
            self._promise_due = None
            promise = Promise(
                sender=context.me.identity,
                receiver=proposer,
                epoch=epoch,
                synced=durable.meta.synced,
                seq=durable.seq,
                view=context.view,
                settled=context.settled,
            )
            context.send(ip, promise)

    def _flush_report(self, now: float) -> None:
        if self._report_due is None:
            return
        epoch, head, ip = self._report_due
        if epoch != self._context.epoch:
            self._report_due = None
        elif self._is_stored(epoch):
            self._report_due = None
            self._context.report(now, ip, head)

    def _is_stored(self, epoch: int) -> bool:
        wanted, durable = self._context.disk.meta, self._context.disk.durable.meta
        return durable.view_epoch == epoch == durable.promised and durable.synced == wanted.synced

    def _flush_stored(self) -> None:
        context = self._context
        view = context.view
        if view is None or not self._is_in_chain(view.epoch) or view.head == context.me.identity:
            return
        self._reset_link(view.epoch)
        seq = self._stored_seq()
        if seq <= self._last_reported:
            return
        self._last_reported = seq
        receiver = self._successor() or view.chain[0]
        self._send_to(receiver, Stored(context.me.identity, receiver, view.epoch, seq))
