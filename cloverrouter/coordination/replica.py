"""One replica: events and the time go in, effects come out.

Roles: every replica is a follower; it may at the same time have a proposal under way, or be the head of one
epoch. A head that wants another view stops its epoch and proposes; its commands wait meanwhile. Whoever
promises a higher epoch to another gives up both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from cloverrouter.coordination.catch_up import CatchUpReceiver, Progress
from cloverrouter.coordination.context import Context, view_info
from cloverrouter.coordination.desk import Asked, Desk, Waiting
from cloverrouter.coordination.disk import DiskQueue
from cloverrouter.coordination.effects import (
    Answer,
    Effect,
    NoteKept,
    Outcome,
    Persist,
    ReplicaConfig,
    StateMachine,
    ViewChanged,
    ViewInfo,
)
from cloverrouter.coordination.follower import Follower
from cloverrouter.coordination.genesis_participant import GenesisParticipant
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
from cloverrouter.coordination.proposal import Phase, Plan, Proposal
from cloverrouter.coordination.roster import Roster
from cloverrouter.coordination.views import Member, decode_view
from cloverrouter.store import StoredReplica


class Replica:
    """One disk's part in the chain and in the agreement on its view.

    Every call gives the effects to carry out, in order. `persisted` answers each `Persist`, of which one is
    out at a time."""

    def __init__(
        self,
        me: Member,
        stored: StoredReplica,
        machine: StateMachine,
        config: ReplicaConfig,
        random: Random,
    ) -> None:
        """`me` has the identity of the stored disk; `machine` is in its first state."""
        if me.identity != stored.identity:
            raise ValueError("a replica has the identity of its disk")
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
        self._desk = Desk()
        self._head: Head | None = None
        self._proposal: Proposal | None = None
        self._is_reviewing = False  # the proposal is that of a head, for another view of its own
        self._lineage: dict[int, int] = {0: 0}
        self._sent = 0  # updates up to this were sent down the chain
        self._attempts = 0
        self._jitter = 0.0
        self._not_before = 0.0  # no try to become head before that
        self._now = 0.0
        self._told: ViewInfo | None = None
        self._genesis_participant = GenesisParticipant(self._context)
        self._follower = Follower(self._context, 0.0)
        self._catch_up = CatchUpReceiver(self._context)
        self._handlers = self._handler_table()

    # -- what is to be seen --

    @property
    def me(self) -> Member:
        """This replica."""
        return self._context.me

    @property
    def view_info(self) -> ViewInfo | None:
        """The view that this replica knows."""
        if self._head is not None:
            return self._head.info()
        view = self._context.view
        if view is None:
            return None
        contact = self._follower.contact
        is_heard = self._now - contact.heard_at < self._config.failure_timeout_s
        return view_info(self._context, view, is_heard and contact.is_active and contact.head == view.head)

    @property
    def committed(self) -> tuple[int, bytes | None]:
        """Number of the committed state, and the state unless newer updates are under way."""
        history = self._context.history
        if history.newest != history.committed:
            return history.committed, None
        return history.committed, history.snapshot().data

    @property
    def adoptable(self) -> bool:
        """Whether the disk is of the system's first start and no view has it yet. On a seed that says so a
        `GenesisProposer` has to run, also when its process was started again meanwhile."""
        return self._context.disk.meta.adoptable

    @property
    def lead_until(self) -> float | None:
        """Until when surely no other is head: None if this replica isn't or can't be sure."""
        return self._head.lead_until if self._head is not None else None

    @property
    def may_end(self) -> bool:
        """Whether the process may end as far as the others need it: it surely has no vote any more, or nobody
        is there who could take it over."""
        view = self._context.view
        if view is None:
            return True
        if view.voter(self.me.identity) is None:
            return self._context.settled
        return not self._roster.spares(self._now, view)

    @property
    def fleet_size(self) -> int:
        """The size of the fleet that was remembered last; 0: none."""
        return self._context.disk.meta.fleet_size

    def remember_fleet_size(self, now: float, size: int) -> None:
        """How many machines there are is kept for the next start, as nobody else may know it then."""
        if size != self.fleet_size:
            self._context.disk.note(now, fleet_size=size)

    @property
    def note(self) -> bytes:
        """The note that is on the disk for certain; empty: none."""
        return self._context.disk.durable.meta.note

    def keep_note(self, now: float, note: bytes) -> list[Effect]:
        """Write a note for the next head at this disk; `NoteKept` tells when it is there."""
        self._context.disk.change(note=note)
        return self._finish(now)

    @property
    def follows(self) -> int | None:
        """As head: the epoch of the last head that may have been in force before this one. None: no head.

        All of a chain store the state under its epoch before it is in force, and each majority of promises
        meets each chain: an epoch in between would have been found in one of the promises."""
        return self._head.follows if self._head is not None else None

    @property
    def catch_up(self) -> Progress | None:
        """As head: the long state that is handed to a member in parts."""
        return self._head.catch_up if self._head is not None else None

    # -- events --

    def start(self, now: float) -> list[Effect]:
        """The process starts."""
        self._now = now
        self._follower = Follower(self._context, now)
        self._draw_jitter()
        self._context.effects += self._context.history.start(self._stored)
        self._sent = self._context.history.newest
        self._stored = StoredReplica(self._stored.identity)  # the rest is held elsewhere now
        return self._finish(now)

    def tick(self, now: float) -> list[Effect]:
        """Time has passed; to be called every 50 ms."""
        self._look_at_clock(now)
        if self._head is not None:
            self._tick_head(now, self._head)
        elif self._proposal is not None:
            self._proposal.tick(now)
        else:
            self._stand_up(now)
        self._context.effects += self._desk.expire(now - self._config.wait_s)
        return self._finish(now)

    def receive(self, now: float, sender_ip: str, message: object) -> list[Effect]:
        """A message has come. What isn't for this disk is dropped."""
        self._look_at_clock(now)
        if getattr(message, "receiver", self.me.identity) == self.me.identity:
            self._take(now, sender_ip, message)
        return self._finish(now)

    def persisted(self, now: float, token: int, error: str | None = None) -> list[Effect]:
        """A record is on the disk, or was refused."""
        self._look_at_clock(now)
        before = self.note
        self._context.disk.done(now, token, error)
        if self.note != before:
            self._context.effects.append(NoteKept(self.note))
        return self._finish(now)

    def discovered(self, now: float, members: Iterable[Member]) -> list[Effect]:
        """Disks that are known from elsewhere to be there."""
        known = list(members)
        self._roster.discovered(now, known)
        for member in known:
            self._context.addresses[member.identity] = member.ip
        return self._finish(now)

    def submit(self, now: float, ticket: int, command: bytes) -> list[Effect]:
        """A command for the state machine, answered under its ticket."""
        if not self._leads_or_will():
            return self._answer(now, ticket, Outcome.NOT_HEAD)
        if len(self._desk.waiting) >= self._config.waiting:
            return self._answer(now, ticket, Outcome.UNAVAILABLE)
        self._desk.waiting.append(Waiting(ticket, command, now))
        return self._finish(now)

    def read(self, now: float, ticket: int) -> list[Effect]:
        """Ask for the committed state."""
        if not self._leads_or_will():
            return self._answer(now, ticket, Outcome.NOT_HEAD)
        if len(self._desk.asked) >= self._config.waiting:
            return self._answer(now, ticket, Outcome.UNAVAILABLE)
        self._desk.asked.append(Asked(ticket, 0, None, now))
        return self._finish(now)

    def resign(self, now: float) -> list[Effect]:
        """The process is about to end: let another be head, and leave the chain."""
        self._context.resigning = True
        if self._head is not None:
            self._head.beat(now)
        return self._finish(now)

    def _answer(self, now: float, ticket: int, outcome: Outcome) -> list[Effect]:
        self._context.effects.append(Answer(ticket, outcome))
        return self._finish(now)

    def _leads_or_will(self) -> bool:
        return self._head is not None or self._is_reviewing

    # -- time --

    def _look_at_clock(self, now: float) -> None:
        """After a freeze nothing that was not heard counts."""
        if now - self._now > self._config.failure_timeout_s / 2:
            self._follower.contact.forgive(now)
            self._roster.forgive(now)
            self._context.disk.forgive(now)
            if self._head is not None:
                self._head.rounds.forgive(now)
        self._now = now

    def _tick_head(self, now: float, head: Head) -> None:
        head.tick(now)
        if head.rounds.has_lost_quorum(now):
            self._step_down(now)
            return
        plan = head.plan(now)
        if plan is not None:
            self._review(now, head, plan)

    def _stand_up(self, now: float) -> None:
        due = self._follower.contact.stands_up_at(self._jitter)
        if due is None or now < due or now < self._not_before:
            return
        if self._context.disk.trouble_s(now) >= self._config.failure_timeout_s / 2:
            return
        self._attempts += 1
        self._note_silent_head()
        self._proposal = Proposal(self._context, now, self._attempts)

    def _note_silent_head(self) -> None:
        view, contact = self._context.view, self._follower.contact
        member = view.voter(contact.head) if view is not None and contact.head is not None else None
        if member is not None and member.identity != self.me.identity:
            self._roster.was_silent(member, contact.heard_at)

    def _draw_jitter(self) -> None:
        self._jitter = self._random.uniform(0, self._config.jitter_s)

    # -- roles --

    def _review(self, now: float, head: Head, plan: Plan) -> None:
        """The head stops its epoch, for another view."""
        if head.active:
            self._lineage[head.view.epoch] = self._context.history.newest
        self._head = None
        self._is_reviewing = True
        self._attempts += 1
        self._proposal = Proposal(self._context, now, self._attempts, plan)

    def _become_head(self, now: float, proposal: Proposal) -> None:
        context = self._context
        if proposal.fetched:
            self._lineage = {0: 0}
            context.effects += self._desk.give_up()
        # Whatever was handed over in the same epoch is a beginning of the state that goes on here.
        self._lineage[context.synced] = context.history.newest
        follows, view = context.synced, proposal.new_view()
        self._proposal, self._is_reviewing = None, False
        self._sent = context.history.newest
        self._follower.contact.hear(now, context.me.identity)
        self._head = Head(
            context, self._roster, self._desk, view, proposal.promises, self._lineage, now, follows
        )

    def _step_down(self, now: float) -> None:
        """Give up headship and proposal."""
        self._head = None
        self._proposal = None
        self._is_reviewing = False
        self._lineage = {0: 0}
        self._roster.forget()
        self._draw_jitter()
        self._not_before = now + self._config.retry_s + self._jitter
        self._context.effects += self._desk.give_up()

    def _yield_to(self, now: float, epoch: int) -> None:
        """Another has, or is about to have, this epoch."""
        if self._head is not None:
            own = self._head.view.epoch
        elif self._proposal is not None and self._proposal.phase is not Phase.CANVASSING:
            own = self._proposal.epoch
        else:
            return
        if own < epoch:
            self._step_down(now)

    # -- messages --

    def _take(self, now: float, ip: str, message: object) -> None:
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
            self._lineage = {0: 0}
            self._sent = self._context.history.newest

    def _on_catch_up_taken(self, now: float, ip: str, message: CatchUpTaken) -> None:
        if self._head is not None:
            self._head.caught_up(now, message)

    def _on_commit(self, now: float, ip: str, message: Commit) -> None:
        self._context.effects += self._follower.on_commit(message)

    def _on_fetch(self, now: float, ip: str, message: Fetch) -> None:
        self._follower.on_fetch(now, ip, message)

    def _on_heartbeat(self, now: float, ip: str, message: Heartbeat) -> None:
        self._yield_to(now, message.epoch)
        self._context.effects += self._follower.on_heartbeat(now, ip, message)
        if self._follower.contact.is_well(now):
            self._end_canvass()

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
            self._lineage = {0: 0}
            self._sent = self._context.history.newest

    def _on_canvass(self, now: float, ip: str, message: Canvass) -> None:
        if self._is_well_followed(now):
            return
        self._follower.on_canvass(now, ip, message)

    def _on_propose(self, now: float, ip: str, message: Propose) -> None:
        if self._is_well_followed(now):
            return
        if self._follower.on_propose(now, ip, message):
            self._yield_to(now, message.epoch)
            self._end_canvass()

    def _end_canvass(self) -> None:
        if self._proposal is not None and self._proposal.phase is Phase.CANVASSING:
            self._proposal = None

    def _is_well_followed(self, now: float) -> bool:
        """Whether this is the head, and a majority has answered it a moment ago."""
        if self._head is None or self._context.resigning:
            return False
        if self._context.disk.trouble_s(now) >= self._config.failure_timeout_s:
            return False
        return now - self._head.rounds.followed_at < self._config.sticky_s

    # -- the first view --

    def _on_genesis(self, now: float, ip: str, message: Genesis | GenesisQuery) -> None:
        if self._genesis_participant.on_genesis(now, ip, message):
            self._follower.contact.heard_at = now

    def _on_ballot(self, now: float, ip: str, message: SeedPrepare | SeedAccept) -> None:
        self._genesis_participant.on_ballot(ip, message)

    # -- what follows --

    def _finish(self, now: float) -> list[Effect]:
        """Do all that follows from what has happened."""
        context = self._context
        self._follower.flush(now)
        self._genesis_participant.flush()
        if self._proposal is not None:
            self._proposal.flush(now)
            self._look_at_proposal(now, self._proposal)
        if self._head is not None:
            self._work(now, self._head)
        following = context.disk.next(now, self._config.settle_s)
        if following is not None:
            context.effects.append(Persist(*following))
        self._tell_view()
        effects, context.effects = context.effects, []
        return effects

    def _look_at_proposal(self, now: float, proposal: Proposal) -> None:
        if proposal.phase is Phase.READY:
            self._become_head(now, proposal)
        elif proposal.phase is Phase.DEAD:
            self._step_down(now)

    def _work(self, now: float, head: Head) -> None:
        """The head goes on as far as it can."""
        head.flush(now)
        head.work(now)
        self._sent = head.forward(now, self._sent)
        head.ask_rounds(now)
        head.answer_asked()
        head.work(now)
        self._sent = head.forward(now, self._sent)

    def _tell_view(self) -> None:
        info = self.view_info
        if info is not None and info != self._told:
            self._told = info
            self._context.effects.append(ViewChanged(info))
