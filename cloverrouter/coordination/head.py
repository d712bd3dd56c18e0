"""The head of one epoch: brings its view into force, orders updates, and monitors the other members."""

from __future__ import annotations

from cloverrouter.coordination.catch_up import CatchUpSender, Progress
from cloverrouter.coordination.context import Context, view_info
from cloverrouter.coordination.effects import Answer, Outcome, ViewInfo
from cloverrouter.coordination.messages import (
    Announce,
    CatchUpTaken,
    Commit,
    Forward,
    Heartbeat,
    Install,
    Promise,
    Report,
    Stored,
)
from cloverrouter.coordination.pending_calls import PendingCalls, PendingRead, UncommittedCommand
from cloverrouter.coordination.proposal import Plan
from cloverrouter.coordination.roster import Peer, Roster
from cloverrouter.coordination.rounds import HeartbeatRounds
from cloverrouter.coordination.views import Member, View, is_majority

# The view and the state are sent again after this long without an acknowledgement.
VIEW_RESEND_S = 0.5
REPAIR_AFTER_S = 0.2
# Maximum total size of the updates in one message, unless a single update exceeds it.
FORWARD_BYTES = 1024 * 1024


class Head:
    """The head of one epoch, from the selection of the state to the next epoch."""

    def __init__(
        self,
        context: Context,
        roster: Roster,
        pending: PendingCalls,
        view: View,
        promises: dict[str, Promise],
        prefix_seqs: dict[int, int],
        now: float,
        follows: int,
    ) -> None:
        """`prefix_seqs`: maps an epoch to the newest update up to which states received in it are prefixes of
        this head's state.
        `follows`: see `Replica.follows`."""
        self.view = view
        self.follows = follows
        self.active = False
        self._context = context
        self._roster = roster
        self._pending = pending
        self._promises = promises
        self._prefix_seqs = prefix_seqs
        self._base_seq = context.history.newest
        self.rounds = HeartbeatRounds(context.me.identity, view, context.config, now)
        self._last_round_at = now
        self._last_forward_at = now  # when updates were last sent
        self._catch_up = CatchUpSender(context, view.epoch)
        self._tail_stored_seq = 0
        self._last_stored_sent = 0
        context.adopt_view(view, context.me.identity, synced=True)
        roster.begin(now, view)
        pending.reset_rounds()
        self._send_view_to_all(now)
        self.start_round(now)

    # -- bringing the view into force --

    @property
    def _others(self) -> list[Member]:
        me = self._context.me.identity
        return [member for member in self.view.electorate(settled=False) if member.identity != me]

    def _send_view_to_all(self, now: float) -> None:
        for member in self._others:
            peer = self._roster.peers.get(member.identity)
            if peer is not None:
                self._send_view(now, peer)

    def _send_view(self, now: float, peer: Peer) -> None:
        """Sends the view and the state to a chain member, or the view only to another replica."""
        if peer.view_sent_at and now - peer.view_sent_at < VIEW_RESEND_S:
            return
        peer.view_sent_at = now
        me, identity = self._context.me.identity, peer.member.identity
        if identity in self.view.chain:
            self._send(peer.member, self._install_for(identity))
        else:
            self._send(peer.member, Announce(me, identity, self.view))

    def _updates_from(self, synced: int, seq: int) -> tuple[bytes, ...] | None:
        """Returns the updates that lead to the newest state from the state `seq` of epoch `synced`; None if
        only the whole state does."""
        history = self._context.history
        last = history.newest if synced == self.view.epoch else self._prefix_seqs.get(synced, -1)
        return history.after(seq) if seq <= last else None

    def _install_for(self, identity: str) -> Install:
        promise = self._promises.get(identity)
        updates: tuple[bytes, ...] | None = None
        synced = seq = 0
        if promise is not None:
            synced, seq = promise.synced, promise.seq
            updates = self._updates_from(synced, seq)
        if updates is not None and self._context.history.newest != self._base_seq:
            updates = updates[: self._base_seq - seq]
        state = self._context.history.snapshot() if updates is None else None
        return Install(
            sender=self._context.me.identity,
            receiver=identity,
            view=self.view,
            seq=state.seq if state is not None else self._base_seq,
            snapshot=state.data if state is not None else None,
            from_synced=synced,
            from_seq=seq,
            updates=updates or (),
        )

    def _send(self, member: Member, message: object) -> None:
        self._context.send(self._context.address(member), message)

    def _is_in_force(self) -> bool:
        """Returns whether the whole chain has stored the view and the state, and a majority of the old voters
        the view."""
        epoch = self.view.epoch
        if not self._is_own_state_stored():
            return False
        for identity in self.view.chain[1:]:
            report = self._report(identity)
            if report is None or report.synced != epoch:
                return False
        if self._context.settled:
            return True
        holders = {self._context.me.identity}
        for member in self.view.old_voters:
            report = self._report(member.identity)
            if report is not None and report.view_epoch == epoch:
                holders.add(member.identity)
        return is_majority(self.view.old_voters, holders)

    def _is_own_state_stored(self) -> bool:
        return self._context.disk.durable.meta.synced == self.view.epoch

    def _report(self, identity: str) -> Report | None:
        """Returns the newest report of a member, if it has promised exactly this epoch."""
        peer = self._roster.peers.get(identity)
        report = peer.report if peer is not None else None
        return report if report is not None and report.promised == self.view.epoch else None

    # -- long states --

    @property
    def catch_up(self) -> Progress | None:
        """Progress of the chunked state transfer, if one is in progress."""
        return self._catch_up.progress

    def _lacks_long_state(self, peer: Peer) -> bool:
        """Returns whether a member needs a chunked state transfer before it joins the chain."""
        if not self._context.has_long_state or not self._catch_up.has_transfers_left(peer.member.identity):
            return False
        report = peer.report
        return report is None or self._updates_from(report.synced, report.seq) is None

    def on_catch_up_taken(self, now: float, message: CatchUpTaken) -> None:
        """Handles the acknowledgement of state chunks."""
        self._catch_up.on_taken(now, message)

    def _tick_catch_up(self, now: float) -> None:
        if not self.active:
            return
        wanted = self._roster.healthy_outside_chain(now, self.view)
        self._catch_up.tick(now, [peer.member for peer in wanted if self._lacks_long_state(peer)])

    # -- heartbeats and confirmation --

    def start_round(self, now: float) -> int:
        """Starts a heartbeat round and returns its number."""
        context = self._context
        self._last_round_at = now
        trouble_s = context.disk.trouble_s(now)
        is_fit = not context.resigning and trouble_s < context.config.failure_timeout_s
        number = self.rounds.begin(now, is_fit)
        for member in self._others + self._roster.wanted_spares(now, self.view):
            beat = Heartbeat(
                sender=context.me.identity,
                receiver=member.identity,
                epoch=self.view.epoch,
                round=number,
                active=self.active,
                committed=context.history.committed if self.active else 0,
                trouble_ms=int(trouble_s * 1000),
                resigning=context.resigning,
            )
            self._send(member, beat)
        return number

    def on_report(self, now: float, report: Report) -> None:
        """Handles a report; sends again what the member lacks."""
        peer = self._roster.on_report(now, report, self.view.epoch)
        self._context.seen_epoch = max(self._context.seen_epoch, report.promised)
        if peer is None or report.promised > self.view.epoch:
            return
        if report.round_epoch == self.view.epoch:
            self.rounds.on_answer(report.sender, report.round)
        in_chain = report.sender in self.view.chain
        behind = report.synced != self.view.epoch if in_chain else report.view_epoch != self.view.epoch
        if behind:
            self._send_view(now, peer)
        elif in_chain and self.active:
            self._repair(now, peer, report)

    @property
    def lease_until(self) -> float | None:
        """See `HeartbeatRounds.lease_until`. None also while the view is not in force."""
        return self.rounds.lease_until if self.active else None

    # -- commands --

    def decide_queued(self, now: float) -> None:
        """Evaluates queued commands up to the limit of uncommitted updates."""
        config = self._context.config
        pending = self._pending
        while self.active and pending.queued and len(pending.uncommitted) < config.max_in_flight:
            if pending.has_read_before(pending.queued[0].since):
                # A read is answered only while no update is uncommitted; later commands wait for it.
                return
            entry = pending.queued.popleft()
            self._decide(now, entry.ticket, entry.command)

    def _decide(self, now: float, ticket: int, command: bytes) -> None:
        context, pending = self._context, self._pending
        decision = context.history.decide(command)
        if decision.update is None:
            newest = context.history.newest
            pending.reads.append(PendingRead(ticket, newest, decision.reply, now))
            return
        if not self._has_room(len(decision.update)):
            too_large = PendingRead(ticket, context.history.newest, b"", now, outcome=Outcome.TOO_LARGE)
            pending.reads.append(too_large)
            return
        seq = context.history.append(decision.update)
        context.disk.append(seq, decision.update)
        pending.uncommitted.append(UncommittedCommand(ticket, seq, decision.reply))

    def _has_room(self, update_bytes: int) -> bool:
        """Returns whether the state has room for an update of that size, if needed after compaction."""
        context = self._context
        room = context.config.max_state_bytes - update_bytes
        if context.disk.state_bytes > room:
            context.disk.compact()
        return context.disk.state_bytes <= room

    def start_read_round(self, now: float) -> None:
        """Starts a heartbeat round for the reads that have arrived since the last one."""
        asked = [entry for entry in self._pending.reads if entry.round is None]
        if not asked or not self.active:
            return
        number = self.start_round(now)
        for entry in asked:
            entry.round = number

    def answer_reads(self) -> None:
        """Answers the reads whose round is confirmed."""
        history, pending = self._context.history, self._pending
        left: list[PendingRead] = []
        for entry in pending.reads:
            confirmed = entry.round is not None and entry.round <= self.rounds.confirmed
            if not self.active or not confirmed or history.committed < entry.seq:
                left.append(entry)
            elif entry.reply is not None:
                self._context.effects.append(Answer(entry.ticket, entry.outcome, entry.reply, entry.seq))
            elif history.newest == history.committed:
                state = history.snapshot()
                self._context.effects.append(Answer(entry.ticket, Outcome.DONE, state.data, state.seq))
            else:
                left.append(entry)
        pending.reads = left

    # -- the chain --

    def forward(self, now: float, sent: int) -> int:
        """Sends the updates after `sent` to the successor. Returns the newest update sent."""
        history = self._context.history
        if not self.active or len(self.view.chain) < 2 or history.newest <= sent:
            return history.newest
        updates = history.after(sent) or ()
        successor = self.view.voter(self.view.chain[1])
        if successor is not None:
            self._send_updates(successor, sent + 1, updates)
        self._last_forward_at = now
        return history.newest

    def _send_updates(self, member: Member, first: int, updates: tuple[bytes, ...]) -> None:
        for start, batch in _batches(updates):
            forward = Forward(
                sender=self._context.me.identity,
                receiver=member.identity,
                epoch=self.view.epoch,
                first_seq=first + start,
                updates=batch,
                stored=self._own_stored_seq(),
                committed=self._context.history.committed,
            )
            self._send(member, forward)

    def _own_stored_seq(self) -> int:
        durable = self._context.disk.durable
        return durable.seq if durable.meta.synced == self.view.epoch else 0

    def _repair(self, now: float, peer: Peer, report: Report) -> None:
        """Resends the updates that a member lacks, unless they were sent a moment ago."""
        history = self._context.history
        if report.received_seq >= history.newest or now - self._last_forward_at < REPAIR_AFTER_S:
            return
        if now - peer.repaired_at < REPAIR_AFTER_S:
            return
        updates = history.after(report.received_seq)
        if updates:
            peer.repaired_at = now
            self._send_updates(peer.member, report.received_seq + 1, updates)

    def on_stored(self, message: Stored) -> None:
        """Handles the tail's acknowledgement, which covers all members before it."""
        if message.epoch == self.view.epoch and message.sender == self.view.chain[-1]:
            self._tail_stored_seq = max(self._tail_stored_seq, message.seq)

    def _chain_stored_seq(self) -> int:
        """Returns the newest update that the whole chain has stored, from the tail's acknowledgement or the
        members' reports."""
        stored_seq = self._own_stored_seq()
        for identity in self.view.chain[1:]:
            report = self._report(identity)
            known = report.seq if report is not None and report.synced == self.view.epoch else 0
            stored_seq = min(stored_seq, known)
        return max(stored_seq, min(self._tail_stored_seq, self._own_stored_seq()))

    def flush(self, now: float) -> bool:
        """Commits and acknowledges after completed writes and received reports. Returns whether the view has
        just come into force."""
        begins = not self.active and self._is_in_force()
        if begins:
            self.active = True
            self._context.disk.set_meta_later(now, settled=True)
        if not self.active:
            return False
        self._send_stored()
        seq = self._chain_stored_seq()
        if seq > self._context.history.committed or begins:
            self._commit(now, seq)
        if begins:  # many replicas should know that the view is in force: see `View.old_voters`
            self.start_round(now)
        return begins

    def _send_stored(self) -> None:
        seq = self._own_stored_seq()
        if len(self.view.chain) < 2 or seq <= max(self._last_stored_sent, self._base_seq):
            return
        self._last_stored_sent = seq
        successor = self.view.voter(self.view.chain[1])
        if successor is not None:
            me = self._context.me.identity
            self._send(successor, Stored(me, successor.identity, self.view.epoch, seq))

    def _commit(self, now: float, seq: int) -> None:
        context = self._context
        context.effects += context.history.commit(seq)
        context.disk.set_meta_later(now, committed=context.history.committed)
        context.effects += self._pending.answers_to_committed(context.history.committed)
        for identity in self.view.chain[1:]:
            member = self.view.voter(identity)
            if member is not None:
                self._send(member, Commit(context.me.identity, identity, self.view.epoch, seq))

    # -- monitoring --

    def tick(self, now: float) -> None:
        """Sends heartbeats that are due, updates the members' health and continues state transfers."""
        if now - self._last_round_at >= self._context.config.heartbeat_s:
            self.start_round(now)
        self._roster.update_health(now)
        self._tick_catch_up(now)

    def plan(self, now: float) -> Plan | None:
        """Returns the next view that is needed, if any and if this disk works."""
        context = self._context
        if context.resigning or context.disk.trouble_s(now) >= context.config.failure_timeout_s / 2:
            return None
        return self._roster.plan(now, self.view, self.active, self._lacks_long_state)

    def info(self) -> ViewInfo:
        """Returns the published form of the view."""
        return view_info(self._context, self.view, self.active)


def _batches(updates: tuple[bytes, ...]) -> list[tuple[int, tuple[bytes, ...]]]:
    """Splits updates into batches, each with the index of its first update."""
    batches: list[tuple[int, tuple[bytes, ...]]] = []
    start, size = 0, 0
    for place, update in enumerate(updates):
        if place > start and size + len(update) > FORWARD_BYTES:
            batches.append((start, updates[start:place]))
            start, size = place, 0
        size += len(update)
    batches.append((start, updates[start:]))
    return batches
