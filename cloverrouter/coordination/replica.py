"""One replica as a deterministic core: events and the current time go in, effects come out.

Every replica is a follower; at the same time it may run an election, or be the head of one epoch. A head that
needs another view ends its epoch and runs an election; its commands wait meanwhile. A replica that promises a
higher epoch to another gives up both roles.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from cloverrouter.coordination.catch_up import CatchUpReceiver, Progress
from cloverrouter.coordination.context import Context, view_info
from cloverrouter.coordination.disk import DiskQueue
from cloverrouter.coordination.effects import (
    Answer,
    Effect,
    NoteStored,
    Outcome,
    Persist,
    ReplicaConfig,
    StateMachine,
    ViewChanged,
    ViewInfo,
)
from cloverrouter.coordination.follower import Follower
from cloverrouter.coordination.head import Head
from cloverrouter.coordination.history import History
from cloverrouter.coordination.messages import (
    Announce,
    Canvass,
    CatchUpPart,
    CatchUpTaken,
    Commit,
    Fetch,
    Forward,
    Genesis,
    GenesisQuery,
    Heartbeat,
    Install,
    Propose,
    Report,
    SeedAccept,
    SeedPrepare,
    Stored,
)
from cloverrouter.coordination.pending_calls import PendingCalls, PendingRead, QueuedCommand
from cloverrouter.coordination.proposal import Phase, Plan, Proposal
from cloverrouter.coordination.roster import Roster
from cloverrouter.coordination.seed_disk import SeedDisk
from cloverrouter.coordination.views import Member, decode_view
from cloverrouter.store import StoredReplica


class Replica:
    """One disk's part in the chain and in the agreement on its view.

    Every event method returns the effects to carry out, in order. Each `Persist` is answered by a call of
    `persisted`; at most one is outstanding.
    """

    def __init__(
        self,
        me: Member,
        stored: StoredReplica,
        machine: StateMachine,
        config: ReplicaConfig,
        random: Random,
    ) -> None:
        """`me` must have the identity of the stored disk; `machine` is in its initial state. Raises
        ValueError if the identities differ."""
        if me.identity != stored.identity:
            raise ValueError("the member's identity differs from the identity of the stored disk")
        self._stored = stored
        self._config = config
        self._random = random
        history = History(machine)
        disk = DiskQueue(
            stored, history.snapshot, config.disk_retry_s, config.failure_timeout_s / 2, config.compact_bytes
        )
        view = decode_view(stored.meta.view)
        self._context = Context(me, config, random, disk, history, view)
        self._context.seen_epoch = stored.meta.promised
        self._roster = Roster(me, config)
        self._pending = PendingCalls()
        self._head: Head | None = None
        self._proposal: Proposal | None = None
        self._is_changing_view = False  # the election is that of a head that changes its own view
        self._prefix_seqs: dict[int, int] = {0: 0}
        self._forwarded_seq = 0  # newest update sent down the chain
        self._attempts = 0
        self._jitter = 0.0
        self._no_election_before = 0.0  # no election starts before this time
        self._now = 0.0
        self._last_reported: ViewInfo | None = None
        self._seed_disk = SeedDisk(self._context)
        self._follower = Follower(self._context, 0.0)
        self._catch_up = CatchUpReceiver(self._context)
        self._handlers = self._handler_table()

    # -- published state --

    @property
    def me(self) -> Member:
        """This replica's identity and machine."""
        return self._context.me

    @property
    def view_info(self) -> ViewInfo | None:
        """The view that this replica knows; None before the first."""
        if self._head is not None:
            return self._head.info()
        view = self._context.view
        if view is None:
            return None
        contact = self._follower.contact
        is_heard = self._now - contact.last_contact_at < self._config.failure_timeout_s
        return view_info(self._context, view, is_heard and contact.is_active and contact.head == view.head)

    @property
    def committed(self) -> tuple[int, bytes | None]:
        """Sequence number of the committed state, and that state unless newer updates are uncommitted."""
        history = self._context.history
        if history.newest != history.committed:
            return history.committed, None
        return history.committed, history.snapshot().data

    @property
    def adoptable(self) -> bool:
        """Whether the disk is new and may take part in the bootstrap. On a seed with such a disk a
        `GenesisProposer` must run, also after a restart of the process."""
        return self._context.disk.meta.adoptable

    @property
    def lease_until(self) -> float | None:
        """Time until which surely no other replica is head; None if this replica is not the head or has no
        lease."""
        return self._head.lease_until if self._head is not None else None

    @property
    def may_end(self) -> bool:
        """Whether the process may exit as far as the other replicas need it: it surely has no vote any more,
        or there is no spare to replace it."""
        view = self._context.view
        if view is None:
            return True
        if view.voter(self.me.identity) is None:
            return self._context.settled
        return not self._roster.spares(self._now, view)

    @property
    def fleet_size(self) -> int:
        """The stored fleet size; 0: none."""
        return self._context.disk.meta.fleet_size

    def remember_fleet_size(self, now: float, size: int) -> None:
        """Stores the fleet size for the next start, when no other replica may know it."""
        if size != self.fleet_size:
            self._context.disk.set_meta_later(now, fleet_size=size)

    @property
    def note(self) -> bytes:
        """The durable note; empty: none."""
        return self._context.disk.durable.meta.note

    def store_note(self, now: float, note: bytes) -> list[Effect]:
        """Stores a note for the next head at this disk; `NoteStored` reports that it is durable."""
        self._context.disk.set_meta(note=note)
        return self._finish(now)

    @property
    def follows(self) -> int | None:
        """As head: the epoch of the last head whose view may have been in force before this one's. None: not
        the head.

        All chain members store the state under the head's epoch before its view is in force, and each
        majority of promises intersects each chain, so one of the promises would have shown an epoch in
        between.
        """
        return self._head.follows if self._head is not None else None

    @property
    def catch_up(self) -> Progress | None:
        """As head: progress of the chunked state transfer to a member, if any."""
        return self._head.catch_up if self._head is not None else None

    # -- events --

    def start(self, now: float) -> list[Effect]:
        """Starts the replica; called once."""
        self._now = now
        self._follower = Follower(self._context, now)
        self._draw_jitter()
        self._context.effects += self._context.history.start(self._stored)
        self._forwarded_seq = self._context.history.newest
        # release the memory; history and disk hold the content
        self._stored = StoredReplica(self._stored.identity)
        return self._finish(now)

    def tick(self, now: float) -> list[Effect]:
        """Handles the passing of time; to be called every 50 ms."""
        self._detect_freeze(now)
        if self._head is not None:
            self._tick_head(now, self._head)
        elif self._proposal is not None:
            self._proposal.tick(now)
        else:
            self._start_election_if_due(now)
        self._context.effects += self._pending.expire(now - self._config.queue_timeout_s)
        return self._finish(now)

    def receive(self, now: float, sender_ip: str, message: object) -> list[Effect]:
        """Handles a message; drops those for another disk identity."""
        self._detect_freeze(now)
        if getattr(message, "receiver", self.me.identity) == self.me.identity:
            self._dispatch(now, sender_ip, message)
        return self._finish(now)

    def persisted(self, now: float, token: int, error: str | None = None) -> list[Effect]:
        """Reports that the outstanding record is durable, or was refused with `error`."""
        self._detect_freeze(now)
        before = self.note
        self._context.disk.on_written(now, token, error)
        if self.note != before:
            self._context.effects.append(NoteStored(self.note))
        return self._finish(now)

    def discovered(self, now: float, members: Iterable[Member]) -> list[Effect]:
        """Reports the disks that service discovery currently finds."""
        known = list(members)
        self._roster.discovered(now, known)
        for member in known:
            self._context.addresses[member.identity] = member.ip
        return self._finish(now)

    def submit(self, now: float, ticket: int, command: bytes) -> list[Effect]:
        """Submits a command; its `Answer` carries the ticket."""
        if not self._accepts_calls():
            return self._answer(now, ticket, Outcome.NOT_HEAD)
        if len(self._pending.queued) >= self._config.max_queued:
            return self._answer(now, ticket, Outcome.UNAVAILABLE)
        self._pending.queued.append(QueuedCommand(ticket, command, now))
        return self._finish(now)

    def read(self, now: float, ticket: int) -> list[Effect]:
        """Requests the committed state; its `Answer` carries the ticket."""
        if not self._accepts_calls():
            return self._answer(now, ticket, Outcome.NOT_HEAD)
        if len(self._pending.reads) >= self._config.max_queued:
            return self._answer(now, ticket, Outcome.UNAVAILABLE)
        self._pending.reads.append(PendingRead(ticket, 0, None, now))
        return self._finish(now)

    def resign(self, now: float) -> list[Effect]:
        """Announces that the process is about to exit: another replica is to become head, and this one leaves
        the chain."""
        self._context.resigning = True
        if self._head is not None:
            self._head.start_round(now)
        return self._finish(now)

    def _answer(self, now: float, ticket: int, outcome: Outcome) -> list[Effect]:
        self._context.effects.append(Answer(ticket, outcome))
        return self._finish(now)

    def _accepts_calls(self) -> bool:
        return self._head is not None or self._is_changing_view

    # -- time --

    def _detect_freeze(self, now: float) -> None:
        """Detects a freeze of this process by the time since the last event, and restarts the timeouts on
        others' silence."""
        if now - self._now > self._config.failure_timeout_s / 2:
            self._follower.contact.reset_timeouts(now)
            self._roster.reset_timeouts(now)
            self._context.disk.reset_timeouts(now)
            if self._head is not None:
                self._head.rounds.reset_timeouts(now)
        self._now = now

    def _tick_head(self, now: float, head: Head) -> None:
        head.tick(now)
        if head.rounds.has_lost_quorum(now):
            self._step_down(now)
            return
        plan = head.plan(now)
        if plan is not None:
            self._start_view_change(now, head, plan)

    def _start_election_if_due(self, now: float) -> None:
        due = self._follower.contact.election_due_at(self._jitter)
        if due is None or now < due or now < self._no_election_before:
            return
        if self._context.disk.trouble_s(now) >= self._config.failure_timeout_s / 2:
            return
        self._attempts += 1
        self._record_silent_head()
        self._proposal = Proposal(self._context, now, self._attempts)

    def _record_silent_head(self) -> None:
        view, contact = self._context.view, self._follower.contact
        member = view.voter(contact.head) if view is not None and contact.head is not None else None
        if member is not None and member.identity != self.me.identity:
            self._roster.record_silence(member, contact.last_contact_at)

    def _draw_jitter(self) -> None:
        self._jitter = self._random.uniform(0, self._config.jitter_s)

    # -- roles --

    def _start_view_change(self, now: float, head: Head, plan: Plan) -> None:
        """Ends the head's epoch and starts the election of its next view."""
        if head.active:
            self._prefix_seqs[head.view.epoch] = self._context.history.newest
        self._head = None
        self._is_changing_view = True
        self._attempts += 1
        self._proposal = Proposal(self._context, now, self._attempts, plan)

    def _become_head(self, now: float, proposal: Proposal) -> None:
        context = self._context
        if proposal.has_fetched_state:
            self._prefix_seqs = {0: 0}
            context.effects += self._pending.fail_all()
        # Any state received in the same epoch is a prefix of the state that continues here.
        self._prefix_seqs[context.synced] = context.history.newest
        follows, view = context.synced, proposal.new_view()
        self._proposal, self._is_changing_view = None, False
        self._forwarded_seq = context.history.newest
        self._follower.contact.record_contact(now, context.me.identity)
        self._head = Head(
            context, self._roster, self._pending, view, proposal.promises, self._prefix_seqs, now, follows
        )

    def _step_down(self, now: float) -> None:
        """Gives up the head role and any election."""
        self._head = None
        self._proposal = None
        self._is_changing_view = False
        self._prefix_seqs = {0: 0}
        self._roster.clear()
        self._draw_jitter()
        self._no_election_before = now + self._config.retry_s + self._jitter
        self._context.effects += self._pending.fail_all()

    def _yield_to(self, now: float, epoch: int) -> None:
        """Steps down if another replica has, or is about to have, this higher epoch."""
        if self._head is not None:
            own = self._head.view.epoch
        elif self._proposal is not None and self._proposal.phase is not Phase.PRE_VOTE:
            own = self._proposal.epoch
        else:
            return
        if own < epoch:
            self._step_down(now)

    # -- messages --

    def _dispatch(self, now: float, ip: str, message: object) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(now, ip, message)
        elif self._proposal is not None:
            self._proposal.receive(now, message)

    def _handler_table(self) -> dict[type, Callable[[float, str, Any], None]]:
        return {
            Heartbeat: self._on_heartbeat,
            Report: self._on_report,
            CatchUpPart: self._on_catch_up_part,
            CatchUpTaken: self._on_catch_up_taken,
            Forward: self._on_forward,
            Stored: self._on_stored,
            Commit: self._on_commit,
            Install: self._on_view,
            Announce: self._on_view,
            Canvass: self._on_canvass,
            Propose: self._on_propose,
            Fetch: self._on_fetch,
            Genesis: self._on_genesis,
            GenesisQuery: self._on_genesis,
            SeedPrepare: self._on_ballot,
            SeedAccept: self._on_ballot,
        }

    def _on_forward(self, now: float, ip: str, message: Forward) -> None:
        self._context.effects += self._follower.on_forward(message)

    def _on_catch_up_part(self, now: float, ip: str, message: CatchUpPart) -> None:
        if self._head is None and self._catch_up.receive(ip, message):
            self._prefix_seqs = {0: 0}
            self._forwarded_seq = self._context.history.newest

    def _on_catch_up_taken(self, now: float, ip: str, message: CatchUpTaken) -> None:
        if self._head is not None:
            self._head.on_catch_up_taken(now, message)

    def _on_commit(self, now: float, ip: str, message: Commit) -> None:
        self._context.effects += self._follower.on_commit(message)

    def _on_fetch(self, now: float, ip: str, message: Fetch) -> None:
        self._follower.on_fetch(now, ip, message)

    def _on_heartbeat(self, now: float, ip: str, message: Heartbeat) -> None:
        self._yield_to(now, message.epoch)
        self._context.effects += self._follower.on_heartbeat(now, ip, message)
        if self._follower.contact.is_healthy(now):
            self._cancel_pre_vote()

    def _on_report(self, now: float, ip: str, message: Report) -> None:
        if self._head is not None:
            self._head.on_report(now, message)

    def _on_stored(self, now: float, ip: str, message: Stored) -> None:
        if self._head is not None:
            self._head.on_stored(message)
        else:
            self._follower.on_stored(message)

    def _on_view(self, now: float, ip: str, message: Install | Announce) -> None:
        if message.view.epoch >= self._context.epoch:
            self._yield_to(now, message.view.epoch)
        if isinstance(message, Announce):
            self._follower.on_announce(now, ip, message)
        elif self._follower.on_install(now, ip, message):
            self._prefix_seqs = {0: 0}
            self._forwarded_seq = self._context.history.newest

    def _on_canvass(self, now: float, ip: str, message: Canvass) -> None:
        if self._is_followed_head(now):
            return
        self._follower.on_canvass(now, ip, message)

    def _on_propose(self, now: float, ip: str, message: Propose) -> None:
        if self._is_followed_head(now):
            return
        if self._follower.on_propose(now, ip, message):
            self._yield_to(now, message.epoch)
            self._cancel_pre_vote()

    def _cancel_pre_vote(self) -> None:
        if self._proposal is not None and self._proposal.phase is Phase.PRE_VOTE:
            self._proposal = None

    def _is_followed_head(self, now: float) -> bool:
        """Returns whether this replica is a healthy head that a majority has answered within `sticky_s`."""
        if self._head is None or self._context.resigning:
            return False
        if self._context.disk.trouble_s(now) >= self._config.failure_timeout_s:
            return False
        return now - self._head.rounds.confirmed_started_at < self._config.sticky_s

    # -- bootstrap --

    def _on_genesis(self, now: float, ip: str, message: Genesis | GenesisQuery) -> None:
        if self._seed_disk.told(now, ip, message):
            self._follower.contact.last_contact_at = now

    def _on_ballot(self, now: float, ip: str, message: SeedPrepare | SeedAccept) -> None:
        self._seed_disk.asked(ip, message)

    # -- after each event --

    def _finish(self, now: float) -> list[Effect]:
        """Runs all steps that an event enables, and returns the effects."""
        context = self._context
        self._follower.flush(now)
        self._seed_disk.flush()
        if self._proposal is not None:
            self._proposal.flush(now)
            self._advance_proposal(now, self._proposal)
        if self._head is not None:
            self._advance_head(now, self._head)
        following = context.disk.next_record(now, self._config.lazy_write_s)
        if following is not None:
            context.effects.append(Persist(*following))
        self._publish_view()
        effects, context.effects = context.effects, []
        return effects

    def _advance_proposal(self, now: float, proposal: Proposal) -> None:
        if proposal.phase is Phase.READY:
            self._become_head(now, proposal)
        elif proposal.phase is Phase.DEAD:
            self._step_down(now)

    def _advance_head(self, now: float, head: Head) -> None:
        """Advances the head's commands, reads and updates as far as possible."""
        head.flush(now)
        head.decide_queued(now)
        self._forwarded_seq = head.forward(now, self._forwarded_seq)
        head.start_read_round(now)
        head.answer_reads()
        head.decide_queued(now)
        self._forwarded_seq = head.forward(now, self._forwarded_seq)

    def _publish_view(self) -> None:
        info = self.view_info
        if info is not None and info != self._last_reported:
            self._last_reported = info
            self._context.effects.append(ViewChanged(info))
