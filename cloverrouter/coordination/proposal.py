"""One election: pre-vote, collect promises, fetch the newest state.

| phase | left when |
| --- | --- |
| PRE_VOTE | a quorum would promise; an epoch is used only then, so that a head others hear is not disturbed |
| RESERVING | the own promise is durable: the epoch is never used a second time |
| COLLECTING | a quorum has promised, and the slower voters had `collect_s` to answer |
| FETCHING | the newest state among the promises has arrived |
| READY | the replica makes it the head |
| DEAD | a higher epoch was seen, or this replica is no voter |
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import attrs

from cloverrouter.coordination.context import Context
from cloverrouter.coordination.messages import Canvass, Fetch, Promise, Propose, Refused, State, Support
from cloverrouter.coordination.views import Member, View, chain_order, min_chain_length, next_epoch


class Phase(Enum):
    """Phase of an election; see the table above."""

    PRE_VOTE = "canvassing"
    RESERVING = "reserving"
    COLLECTING = "collecting"
    FETCHING = "fetching"
    READY = "ready"
    DEAD = "dead"


@attrs.frozen(slots=True)
class Plan:
    """The next view that an active head intends."""

    base_epoch: int  # epoch of the view that it replaces
    voters: tuple[Member, ...]
    chain: frozenset[str]  # identities of the healthy members, the head included
    reason: str


class Proposal:
    """One election of this replica."""

    def __init__(self, context: Context, now: float, attempt: int, plan: Plan | None = None) -> None:
        """With the plan of an active head there is no pre-vote."""
        self._context = context
        self.plan = plan
        self.phase = Phase.PRE_VOTE
        self.epoch = 0
        self.has_fetched_state = False
        self.promises: dict[str, Promise] = {}
        self._attempt = attempt
        self._supporters = {context.me.identity}
        self._requested_at = now
        self._retry_s = context.config.retry_s
        self._quorum_at: float | None = None
        self._source: Promise | None = None  # promise of the replica that the state was requested from
        self._fetch_deadline = 0.0
        # how long one source may take; grows, as states may be large
        self._source_timeout_s = context.config.failure_timeout_s
        if plan is not None:
            self._reserve()
        else:
            self._send_requests(now)
            self._count_supporters()

    def receive(self, now: float, message: object) -> None:
        """Handles a reply to this election; ignores other messages."""
        if isinstance(message, Support):
            self.on_support(now, message)
        elif isinstance(message, Promise):
            self.on_promise(now, message)
        elif isinstance(message, Refused):
            self.on_refused(message)
        elif isinstance(message, State):
            self.on_state(message)

    # -- requests --

    def tick(self, now: float) -> None:
        """Repeats requests and handles timeouts."""
        if self.phase is Phase.COLLECTING:
            self._select_state(now)
        if self.phase is Phase.FETCHING and now >= self._fetch_deadline:
            self._abandon_source(now)
        elif now - self._requested_at >= self._retry_s:
            self._send_requests(now)

    def _send_requests(self, now: float) -> None:
        """Sends the current phase's request to all that have not answered."""
        self._requested_at = now
        if self.phase is Phase.PRE_VOTE:
            known = self._view.epoch
            for member in self._others(self._supporters):
                question = Canvass(self._context.me.identity, member.identity, self._attempt, known)
                self._context.send(self._context.address(member), question)
        elif self.phase is Phase.COLLECTING:
            for member in self._others(self.promises):
                propose = Propose(self._context.me.identity, member.identity, self.epoch)
                self._context.send(self._context.address(member), propose)
        elif self.phase is Phase.FETCHING:
            self._request_state()

    @property
    def _view(self) -> View:
        view = self._context.view
        assert view is not None
        return view

    def _others(self, answered: Iterable[str]) -> list[Member]:
        known = {*answered, self._context.me.identity}
        electorate = self._view.electorate(self._context.settled)
        return [member for member in electorate if member.identity not in known]

    def _check_is_voter(self) -> bool:
        if self._view.voter(self._context.me.identity) is not None:
            return True
        self.phase = Phase.DEAD
        return False

    # -- pre-vote --

    def on_support(self, now: float, message: Support) -> None:
        """Handles a pre-vote reply."""
        self._context.seen_epoch = max(self._context.seen_epoch, message.promised)
        if self.phase is not Phase.PRE_VOTE or message.attempt != self._attempt:
            return
        known = self._view.epoch
        self._context.learn_view(now, message.view, message.settled)
        if not self._check_is_voter():
            return
        if self._view.epoch > known:
            self._supporters = {self._context.me.identity}
            self._send_requests(now)
        elif message.granted:
            self._supporters.add(message.sender)
            self._count_supporters()

    def _count_supporters(self) -> None:
        if self._view.has_quorum(self._supporters, self._context.settled):
            self._reserve()

    # -- promises --

    def _reserve(self) -> None:
        context = self._context
        above = max(context.epoch, context.seen_epoch, self._view.epoch)
        self.epoch = next_epoch(above, context.me.identity)
        context.seen_epoch = self.epoch
        context.disk.set_meta(promised=self.epoch, promised_to=context.me.identity)
        self.phase = Phase.RESERVING

    def flush(self, now: float) -> None:
        """Continues after a completed write."""
        context = self._context
        durable = context.disk.durable
        if self.phase is not Phase.RESERVING or durable.meta.promised != self.epoch:
            return
        self.phase = Phase.COLLECTING
        own = Promise(
            sender=context.me.identity,
            receiver=context.me.identity,
            epoch=self.epoch,
            synced=durable.meta.synced,
            seq=durable.seq,
            view=context.view,
            settled=context.settled,
        )
        self.promises[context.me.identity] = own
        self._send_requests(now)
        self._select_state(now)

    def on_promise(self, now: float, message: Promise) -> None:
        """Handles a promise."""
        if message.epoch != self.epoch or self.phase is not Phase.COLLECTING:
            return
        if message.view is not None and message.view.epoch >= self.epoch:
            self.phase = Phase.DEAD
            return
        known = self._view.epoch
        self._context.learn_view(now, message.view, message.settled)
        if not self._check_is_voter():
            return
        self.promises[message.sender] = message
        if self._view.epoch > known:
            self._send_requests(now)
        self._select_state(now)

    def on_refused(self, message: Refused) -> None:
        """Handles a negative reply."""
        self._context.seen_epoch = max(self._context.seen_epoch, message.promised)
        if message.epoch == self.epoch and message.promised > self.epoch:
            self.phase = Phase.DEAD

    def _select_state(self, now: float) -> None:
        """Selects the newest state once a quorum has promised and the slower voters had time to answer."""
        if not self._has_quorum():
            return
        if self._quorum_at is None:
            self._quorum_at = now
        is_over = now - self._quorum_at >= self._promise_wait_s()
        if not is_over and not self._have_all_answered():
            return
        if not self._has_min_chain():
            return
        best = max(self.promises.values(), key=lambda promise: (promise.synced, promise.seq))
        own = self.promises[self._context.me.identity]
        if (best.synced, best.seq) == (own.synced, own.seq):
            self.phase = Phase.READY
            return
        self._fetch(now, best)

    def _has_quorum(self) -> bool:
        return self._view.has_quorum(self.promises, self._context.settled)

    def _has_min_chain(self) -> bool:
        return len(self._chain_members()) >= self._min_chain_length()

    def _promise_wait_s(self) -> float:
        """Returns how long further promises are awaited: longer with a plan, whose members were healthy a
        moment ago."""
        config = self._context.config
        return config.collect_s if self.plan is None else max(config.collect_s, config.failure_timeout_s / 2)

    def _have_all_answered(self) -> bool:
        if self.plan is not None and self._is_plan_current():
            voters = {member.identity for member in self._view.voters}
            return all(identity in self.promises for identity in self.plan.chain & voters)
        return not self._others(self.promises)

    # -- the newest state --

    def _fetch(self, now: float, source: Promise) -> None:
        self.phase = Phase.FETCHING
        self._source = source
        self._fetch_deadline = now + self._source_timeout_s
        self._retry_s = self._context.config.retry_s
        self._requested_at = now
        self._request_state()

    def _request_state(self) -> None:
        """Requests the state. The retry interval doubles, as each request causes a transfer of the whole
        state."""
        context, source = self._context, self._source
        members = [member for member in self._others(()) if source and member.identity == source.sender]
        if not members:
            self.phase = Phase.DEAD
            return
        self._retry_s *= 2
        question = Fetch(context.me.identity, members[0].identity, self.epoch)
        context.send(context.address(members[0]), question)

    def _abandon_source(self, now: float) -> None:
        """Continues without the source, which does not answer. Its state still counts if it arrives later."""
        if self._source is not None:
            self.promises.pop(self._source.sender, None)
        self._source_timeout_s *= 2
        self._quorum_at = None
        self._retry_s = self._context.config.retry_s
        self.phase = Phase.COLLECTING
        self._send_requests(now)

    def on_state(self, message: State) -> None:
        """Handles a state."""
        context, promise = self._context, self._source
        if self.phase not in (Phase.FETCHING, Phase.COLLECTING) or promise is None:
            return
        if message.epoch != self.epoch or message.sender != promise.sender:
            return
        if any((each.synced, each.seq) > (promise.synced, promise.seq) for each in self.promises.values()):
            return
        if (message.synced, message.seq) != (promise.synced, promise.seq):
            self.phase = Phase.DEAD
            return
        # still valid, even if the election went on without it meanwhile
        self.promises[promise.sender] = promise
        if not self._has_quorum() or not self._has_min_chain():
            return
        context.history.replace(message.seq, message.snapshot)
        context.disk.replace(message.seq, message.snapshot)
        context.disk.set_meta(synced=message.synced)
        self.has_fetched_state = True
        self.phase = Phase.READY

    # -- the new view --

    def _is_plan_current(self) -> bool:
        return self.plan is not None and self._view.epoch == self.plan.base_epoch

    def _voters(self) -> tuple[Member, ...]:
        if self.plan is not None and self._is_plan_current():
            return self.plan.voters
        return self._view.voters

    def _min_chain_length(self) -> int:
        return min_chain_length(len(self._voters()), self._context.config.tolerance)

    def _chain_members(self) -> list[Member]:
        """Returns the chain of the next view: the members that have promised; with a plan, the healthy ones
        of them and the new voter."""
        voters = self._voters()
        present = set(self.promises)
        if self.plan is not None and self._is_plan_current():
            present |= self.plan.chain - {member.identity for member in self._view.voters}
            planned = [member for member in voters if member.identity in self.plan.chain & present]
            if len(planned) >= self._min_chain_length():
                return planned
        members = [member for member in voters if member.identity in present]
        if not self._context.has_long_state:
            return members
        ready = [member for member in members if not self._lacks_state(member)]
        return ready if len(ready) >= self._min_chain_length() else members

    def _lacks_state(self, member: Member) -> bool:
        """Returns whether a member can only be brought up to date with the whole state; it then joins the
        chain later."""
        own, promise = self.promises.get(self._context.me.identity), self.promises.get(member.identity)
        if own is None or promise is None or promise is own:
            return False
        return promise.synced != own.synced or self._context.history.after(promise.seq) is None

    def new_view(self) -> View:
        """Returns the next view. Valid in phase READY only."""
        voters = self._voters()
        old: tuple[Member, ...] = ()
        if voters != self._view.voters:
            old = self._view.voters
        elif not self._context.settled:
            old = self._view.old_voters
        return View(self.epoch, voters, chain_order(self._context.me, self._chain_members()), old)
