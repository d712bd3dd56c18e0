"""What a head knows of the others: who answers, whose disk works, and which view that calls for."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from cloverrouter.coordination.effects import ReplicaConfig
from cloverrouter.coordination.messages import Report
from cloverrouter.coordination.proposal import Plan
from cloverrouter.coordination.views import Member, View, least_chain

# A spare that nobody has spoken of for so long is none.
SPARE_SEEN_S = 6.0
# A head that learns of a higher promise waits so long for the one it was given to.
FENCED_WAIT_S = 0.3
MOST_RELAPSES = 5
# A member that has been well for so long has a clean record.
CLEAN_AFTER_S = 20.0


@attrs.define(slots=True)
class Peer:
    """One other disk, as the head sees it."""

    member: Member
    heard: float  # when it last answered, or when this was begun
    report: Report | None = None  # of this headship
    well_since: float | None = None
    in_chain: bool = False  # of the last view that this replica led
    relapses: int = 0  # how often it has left the chain lately
    fenced_since: float | None = None  # it has promised a higher epoch
    handed_at: float = 0.0  # when view and state were last sent to it
    repaired_at: float = 0.0  # when updates were last sent to it once more

    def is_well(self, now: float, config: ReplicaConfig) -> bool:
        """Whether it answers and its disk works, as far as is known."""
        if now - self.heard >= config.failure_timeout_s:
            return False
        report = self.report
        return report is None or not (
            report.resigning or report.trouble_ms >= config.failure_timeout_s * 1000
        )


class Roster:
    """All other disks that a replica knows."""

    def __init__(self, me: Member, config: ReplicaConfig) -> None:
        self._me = me
        self._config = config
        self.peers: dict[str, Peer] = {}
        self._spares: dict[str, tuple[Member, float]] = {}  # and when they were last spoken of

    def discovered(self, now: float, members: Iterable[Member]) -> None:
        """Disks that are known from elsewhere to be there."""
        for member in members:
            if member.identity != self._me.identity:
                self._spares[member.identity] = (member, now)

    def begin(self, now: float, view: View) -> None:
        """This replica leads a view: nothing has been heard in it yet."""
        for member in view.electorate(settled=False):
            if member.identity != self._me.identity:
                peer = self._peer(now, member)
                peer.heard = max(peer.heard, now) if member.identity in view.chain else peer.heard
        for peer in self.peers.values():
            self._enter_view(peer, view)
            peer.report = None
            peer.fenced_since = None
            peer.handed_at = peer.repaired_at = 0.0

    def _enter_view(self, peer: Peer, view: View) -> None:
        """One that is not in the new chain has to prove itself, and longer each time."""
        was_in_chain, peer.in_chain = peer.in_chain, peer.member.identity in view.chain
        if peer.in_chain:
            return
        peer.well_since = None
        if was_in_chain:
            peer.relapses = min(MOST_RELAPSES, peer.relapses + 1)

    def _peer(self, now: float, member: Member) -> Peer:
        peer = self.peers.get(member.identity)
        if peer is None:
            peer = self.peers[member.identity] = Peer(member, heard=now)
        return peer

    def forget(self) -> None:
        """This replica leads no more."""
        self.peers.clear()

    def was_silent(self, member: Member, since: float) -> None:
        """The head that was is silent since then."""
        self.peers[member.identity] = Peer(member, heard=since)

    def forgive(self, now: float) -> None:
        """The process was frozen: silence says nothing."""
        for peer in self.peers.values():
            peer.heard = max(peer.heard, now)

    def spares(self, now: float, view: View) -> list[Member]:
        """Disks without a vote that were spoken of lately."""
        for identity, (_, seen) in list(self._spares.items()):
            if now - seen > SPARE_SEEN_S:
                del self._spares[identity]
        voters = {member.identity for member in view.voters}
        return [member for identity, (member, _) in self._spares.items() if identity not in voters]

    def wanted_spares(self, now: float, view: View) -> list[Member]:
        """Spares that may be needed, so that it should be known whether they are well."""
        spares = self.spares(now, view)
        is_vacant = any(self._is_vacant(now, member) for member in view.voters)
        places = {member.ip for member in view.voters} | {member.name for member in view.voters}
        wanted = [spare for spare in spares if is_vacant or spare.ip in places or spare.name in places]
        for member in wanted:
            self._peer(now, member)
        return wanted

    def _is_vacant(self, now: float, member: Member) -> bool:
        """Whether a voter's place may have to be given to a spare."""
        if self._is_leaving(member) or self._is_stalled(member):
            return True
        return self.silent_s(now, member) >= self._config.failure_timeout_s / 2

    def _is_stalled(self, member: Member) -> bool:
        """Whether a voter answers and its disk takes nothing: it promises nothing either."""
        peer = self.peers.get(member.identity)
        if peer is None or peer.report is None:
            return False
        return peer.report.trouble_ms >= self._config.exchange_after_s * 1000

    def _is_leaving(self, member: Member) -> bool:
        """Whether a member has said that its process is about to end."""
        peer = self.peers.get(member.identity)
        return peer is not None and peer.report is not None and peer.report.resigning

    def silent_s(self, now: float, member: Member) -> float:
        """For how long a member has not answered."""
        peer = self.peers.get(member.identity)
        return now - peer.heard if peer is not None else 0.0

    def heard(self, now: float, report: Report, epoch: int) -> Peer | None:
        """A member has answered."""
        peer = self.peers.get(report.sender)
        if peer is None:
            return None
        peer.heard = now
        peer.report = report
        if report.promised > epoch:
            peer.fenced_since = now if peer.fenced_since is None else peer.fenced_since
        else:
            peer.fenced_since = None
        if peer.well_since is None and peer.is_well(now, self._config):
            peer.well_since = now
        return peer

    def mark(self, now: float) -> None:
        """Note who is not well."""
        for peer in self.peers.values():
            if not peer.is_well(now, self._config):
                peer.well_since = None
            elif peer.well_since is not None and now - peer.well_since > CLEAN_AFTER_S:
                peer.relapses = 0

    # -- the view that all this calls for --

    def plan(
        self, now: float, view: View, settled: bool, lacks_state: Callable[[Peer], bool] = lambda peer: False
    ) -> Plan | None:
        """The next view, if another one than this is called for. `lacks_state`: whether one is to be handed a
        long state before it joins the chain."""
        if settled:
            exchange = self._exchange(now, view, lacks_state)
            if exchange is not None:
                return exchange
        return self._regroup(now, view, lacks_state)

    def well_outside(self, now: float, view: View) -> list[Peer]:
        """Voters outside the chain that answer and whose disks work."""
        outside = (self.peers.get(member.identity) for member in view.voters)
        return [
            peer
            for peer in outside
            if peer is not None
            and peer.member.identity not in view.chain
            and peer.report is not None
            and peer.is_well(now, self._config)
        ]

    def _regroup(self, now: float, view: View, lacks_state: Callable[[Peer], bool]) -> Plan | None:
        """The same voters, another chain."""
        present = {self._me.identity}
        reasons: list[str] = []
        is_fenced = False
        for member in view.voters:
            peer = self.peers.get(member.identity)
            if peer is None:
                continue
            in_chain = member.identity in view.chain
            is_fit = peer.is_well(now, self._config)
            if not in_chain:
                is_fit = self._may_join(now, peer, view) and not lacks_state(peer)
            if is_fit:
                present.add(member.identity)
            if is_fit != in_chain:
                reasons.append(f"{member.name} {'joins' if is_fit else 'leaves'}")
            elif in_chain and self._is_fenced(now, peer):
                is_fenced = True
                reasons.append(f"{member.name} has promised more")
        if not reasons:
            return None
        chain = self._long_enough(now, view, present)
        if chain is None or (chain == set(view.chain) and not is_fenced):
            return None
        return Plan(view.epoch, view.voters, frozenset(chain), ", ".join(reasons))

    def _long_enough(self, now: float, view: View, fit: set[str], gone: str = "") -> set[str] | None:
        """A chain of those that are fit, made long enough by others that answer and whose disks work, though
        they leave or have yet to prove themselves. None if there are too few of them."""
        chain = set(fit)
        least = least_chain(len(view.voters), self._config.tolerance)
        for member in view.voters:
            if len(chain) >= least:
                break
            if member.identity != gone and self._may_help(now, member, view):
                chain.add(member.identity)
        return chain if len(chain) >= least else None

    def _may_help(self, now: float, member: Member, view: View) -> bool:
        peer = self.peers.get(member.identity)
        if peer is None or peer.report is None or now - peer.heard >= self._config.failure_timeout_s:
            return False
        if peer.report.trouble_ms >= self._config.failure_timeout_s * 500:
            return False
        return peer.report.view_epoch == view.epoch or self._is_fenced(now, peer)

    def _may_join(self, now: float, peer: Peer, view: View) -> bool:
        """Whether one outside the chain is to come in: well for a while, and its disk took this view."""
        report = peer.report
        if report is None or peer.well_since is None or not peer.is_well(now, self._config):
            return False
        if report.trouble_ms >= self._config.failure_timeout_s * 500:
            return False  # it would hold up everyone, and soon leave again
        if now - peer.well_since < self._config.rejoin_s * 2 ** max(0, peer.relapses - 1):
            return False
        return report.view_epoch == view.epoch or self._is_fenced(now, peer)

    def _is_fenced(self, now: float, peer: Peer) -> bool:
        return peer.fenced_since is not None and now - peer.fenced_since >= FENCED_WAIT_S

    def _exchange(self, now: float, view: View, lacks_state: Callable[[Peer], bool]) -> Plan | None:
        """A spare in the place of a voter that is lost or leaves, one at a time.

        One that leaves is exchanged while it still answers: its promise may be needed for that, if another
        disk is lost at the same moment."""
        config = self._config
        fit = [spare for spare in self.spares(now, view) if self._spare_is_fit(now, spare)]
        if not fit:
            return None
        lost = [member for member in view.voters if self._seems_lost(now, member)]
        leaving = [member for member in view.voters if self._is_leaving(member)]
        pair = (
            self._same_place(fit, lost)
            or self._longest_silent(now, fit, lost)
            or self._same_place(fit, leaving)
            or self._nearest(fit, leaving)
            or self._nearest(fit, [member for member in view.voters if self._is_stalled(member)])
        )
        if pair is None:
            return None
        gone, spare = pair
        voters = tuple(spare if member == gone else member for member in view.voters)
        fit_ones = {self._me.identity, spare.identity}
        for identity in view.chain:
            peer = self.peers.get(identity)
            if peer is not None and identity != gone.identity and peer.is_well(now, config):
                fit_ones.add(identity)
        chain = self._long_enough(now, view, fit_ones, gone.identity)
        if chain is None:
            return None
        is_long_enough = len(chain) > least_chain(len(voters), config.tolerance)
        if is_long_enough and lacks_state(self.peers[spare.identity]):
            chain.discard(spare.identity)  # it has the vote at once, and joins when it has the state
        return Plan(view.epoch, voters, frozenset(chain), f"{spare.name} in the place of {gone.name}")

    def _spare_is_fit(self, now: float, spare: Member) -> bool:
        peer = self.peers.get(spare.identity)
        return peer is not None and peer.report is not None and peer.is_well(now, self._config)

    def _seems_lost(self, now: float, member: Member) -> bool:
        if member.identity == self._me.identity:
            return False
        return self.silent_s(now, member) >= 2 * self._config.heartbeat_s

    def _same_place(self, fit: list[Member], lost: list[Member]) -> tuple[Member, Member] | None:
        """A machine that has lost its disk, or was put in another's place under its name."""
        for gone in lost:
            for spare in fit:
                if spare.ip == gone.ip or spare.name == gone.name:
                    return gone, spare
        return None

    def _longest_silent(
        self, now: float, fit: list[Member], lost: list[Member]
    ) -> tuple[Member, Member] | None:
        silent = [member for member in lost if self.silent_s(now, member) >= self._config.exchange_after_s]
        if not silent:
            return None
        gone = max(silent, key=lambda member: (self.silent_s(now, member), member.identity))
        return self._nearest(fit, [gone])

    @staticmethod
    def _nearest(fit: list[Member], gone: list[Member]) -> tuple[Member, Member] | None:
        """The first that goes, and a spare of its zone if there is one."""
        if not gone:
            return None
        spare = min(fit, key=lambda member: (member.zone != gone[0].zone, member.identity))
        return gone[0], spare
