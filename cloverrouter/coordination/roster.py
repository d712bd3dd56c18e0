"""A head's knowledge of the other disks: which of them answer, whose disk works, and which change of the view
that requires."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from cloverrouter.coordination.effects import ReplicaConfig
from cloverrouter.coordination.messages import Report
from cloverrouter.coordination.proposal import Plan
from cloverrouter.coordination.views import Member, View, min_chain_length

# A spare that discovery has not reported for this long is dropped.
SPARE_TTL_S = 6.0
# A head that sees a promise of a higher epoch waits this long for a message of that proposer.
FENCED_WAIT_S = 0.3
MAX_RELAPSES = 5
# Relapses are forgotten after this time of good health.
RELAPSE_RESET_S = 20.0


@attrs.define(slots=True)
class Peer:
    """One other disk, as seen by the head."""

    member: Member
    last_heard_at: float  # time of its last answer, or of this object's creation
    report: Report | None = None  # newest report in this head's epoch
    healthy_since: float | None = None
    in_chain: bool = False  # in the chain of the last view that this replica led
    relapses: int = 0  # how often it has recently left the chain
    fenced_since: float | None = None  # since when its reports show a promise of a higher epoch
    view_sent_at: float = 0.0  # when the view or the state was last sent to it
    repaired_at: float = 0.0  # when updates were last resent to it

    def is_healthy(self, now: float, config: ReplicaConfig) -> bool:
        """Returns whether it answers and its disk works, as far as is known."""
        if now - self.last_heard_at >= config.failure_timeout_s:
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
        self._spares: dict[str, tuple[Member, float]] = {}  # with the time of their last discovery

    def discovered(self, now: float, members: Iterable[Member]) -> None:
        """Records the disks that service discovery currently finds."""
        for member in members:
            if member.identity != self._me.identity:
                self._spares[member.identity] = (member, now)

    def begin(self, now: float, view: View) -> None:
        """Prepares for a new view led by this replica, in which nothing has been received yet."""
        for member in view.electorate(settled=False):
            if member.identity != self._me.identity:
                peer = self._peer(now, member)
                peer.last_heard_at = (
                    max(peer.last_heard_at, now) if member.identity in view.chain else peer.last_heard_at
                )
        for peer in self.peers.values():
            self._update_for_view(peer, view)
            peer.report = None
            peer.fenced_since = None
            peer.view_sent_at = peer.repaired_at = 0.0

    def _update_for_view(self, peer: Peer, view: View) -> None:
        """Updates a peer for the new view: outside the chain it must be healthy for a while before it joins,
        longer after each relapse."""
        was_in_chain, peer.in_chain = peer.in_chain, peer.member.identity in view.chain
        if peer.in_chain:
            return
        peer.healthy_since = None
        if was_in_chain:
            peer.relapses = min(MAX_RELAPSES, peer.relapses + 1)

    def _peer(self, now: float, member: Member) -> Peer:
        peer = self.peers.get(member.identity)
        if peer is None:
            peer = self.peers[member.identity] = Peer(member, last_heard_at=now)
        return peer

    def clear(self) -> None:
        """Drops all peers, as this replica is not the head any more."""
        self.peers.clear()

    def record_silence(self, member: Member, since: float) -> None:
        """Records that the previous head has been silent since then."""
        self.peers[member.identity] = Peer(member, last_heard_at=since)

    def reset_timeouts(self, now: float) -> None:
        """Restarts the silence timeouts after a freeze of this process, during which nothing could be
        received."""
        for peer in self.peers.values():
            peer.last_heard_at = max(peer.last_heard_at, now)

    def spares(self, now: float, view: View) -> list[Member]:
        """Returns the recently discovered disks without a vote."""
        for identity, (_, seen) in list(self._spares.items()):
            if now - seen > SPARE_TTL_S:
                del self._spares[identity]
        voters = {member.identity for member in view.voters}
        return [member for identity, (member, _) in self._spares.items() if identity not in voters]

    def wanted_spares(self, now: float, view: View) -> list[Member]:
        """Returns the spares that may be needed, whose health the head should therefore know."""
        spares = self.spares(now, view)
        is_vacant = any(self._is_vacant(now, member) for member in view.voters)
        machines = {member.ip for member in view.voters} | {member.name for member in view.voters}
        wanted = [spare for spare in spares if is_vacant or spare.ip in machines or spare.name in machines]
        for member in wanted:
            self._peer(now, member)
        return wanted

    def _is_vacant(self, now: float, member: Member) -> bool:
        """Returns whether a voter may have to be replaced by a spare."""
        if self._is_leaving(member) or self._is_stalled(member):
            return True
        return self.silent_s(now, member) >= self._config.failure_timeout_s / 2

    def _is_stalled(self, member: Member) -> bool:
        """Returns whether a voter answers but its disk is stuck, so that it cannot make promises either."""
        peer = self.peers.get(member.identity)
        if peer is None or peer.report is None:
            return False
        return peer.report.trouble_ms >= self._config.replace_after_s * 1000

    def _is_leaving(self, member: Member) -> bool:
        """Returns whether a member has reported that its process is about to exit."""
        peer = self.peers.get(member.identity)
        return peer is not None and peer.report is not None and peer.report.resigning

    def silent_s(self, now: float, member: Member) -> float:
        """Returns for how long a member has not answered."""
        peer = self.peers.get(member.identity)
        return now - peer.last_heard_at if peer is not None else 0.0

    def on_report(self, now: float, report: Report, epoch: int) -> Peer | None:
        """Records a report; returns its peer, if known."""
        peer = self.peers.get(report.sender)
        if peer is None:
            return None
        peer.last_heard_at = now
        peer.report = report
        if report.promised > epoch:
            peer.fenced_since = now if peer.fenced_since is None else peer.fenced_since
        else:
            peer.fenced_since = None
        if peer.healthy_since is None and peer.is_healthy(now, self._config):
            peer.healthy_since = now
        return peer

    def update_health(self, now: float) -> None:
        """Updates since when each peer has been healthy."""
        for peer in self.peers.values():
            if not peer.is_healthy(now, self._config):
                peer.healthy_since = None
            elif peer.healthy_since is not None and now - peer.healthy_since > RELAPSE_RESET_S:
                peer.relapses = 0

    # -- the next view --

    def plan(
        self, now: float, view: View, settled: bool, lacks_state: Callable[[Peer], bool] = lambda peer: False
    ) -> Plan | None:
        """Returns the next view if another one than this is needed. `lacks_state`: whether a peer needs a
        chunked state transfer before it joins the chain."""
        if settled:
            exchange = self._replacement_plan(now, view, lacks_state)
            if exchange is not None:
                return exchange
        return self._chain_plan(now, view, lacks_state)

    def healthy_outside_chain(self, now: float, view: View) -> list[Peer]:
        """Returns the voters outside the chain that answer and whose disks work."""
        outside = (self.peers.get(member.identity) for member in view.voters)
        return [
            peer
            for peer in outside
            if peer is not None
            and peer.member.identity not in view.chain
            and peer.report is not None
            and peer.is_healthy(now, self._config)
        ]

    def _chain_plan(self, now: float, view: View, lacks_state: Callable[[Peer], bool]) -> Plan | None:
        """Returns a plan with the same voters and another chain, if needed."""
        present = {self._me.identity}
        reasons: list[str] = []
        is_fenced = False
        for member in view.voters:
            peer = self.peers.get(member.identity)
            if peer is None:
                continue
            in_chain = member.identity in view.chain
            is_fit = peer.is_healthy(now, self._config)
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
        chain = self._padded_chain(now, view, present)
        if chain is None or (chain == set(view.chain) and not is_fenced):
            return None
        return Plan(view.epoch, view.voters, frozenset(chain), ", ".join(reasons))

    def _padded_chain(self, now: float, view: View, fit: set[str], replaced: str = "") -> set[str] | None:
        """Returns a chain of the fit members, padded to the minimum length with others that answer and whose
        disks work, though they are leaving or have not been healthy long enough. None if there are too few.
        """
        chain = set(fit)
        least = min_chain_length(len(view.voters), self._config.tolerance)
        for member in view.voters:
            if len(chain) >= least:
                break
            if member.identity != replaced and self._may_pad_chain(now, member, view):
                chain.add(member.identity)
        return chain if len(chain) >= least else None

    def _may_pad_chain(self, now: float, member: Member, view: View) -> bool:
        peer = self.peers.get(member.identity)
        if peer is None or peer.report is None or now - peer.last_heard_at >= self._config.failure_timeout_s:
            return False
        if peer.report.trouble_ms >= self._config.failure_timeout_s * 500:
            return False
        return peer.report.view_epoch == view.epoch or self._is_fenced(now, peer)

    def _may_join(self, now: float, peer: Peer, view: View) -> bool:
        """Returns whether a voter outside the chain may join: it has been healthy for a while, and its disk
        holds this view."""
        report = peer.report
        if report is None or peer.healthy_since is None or not peer.is_healthy(now, self._config):
            return False
        if report.trouble_ms >= self._config.failure_timeout_s * 500:
            return False  # its slow disk would delay all commands, and it would soon leave again
        if now - peer.healthy_since < self._config.rejoin_s * 2 ** max(0, peer.relapses - 1):
            return False
        return report.view_epoch == view.epoch or self._is_fenced(now, peer)

    def _is_fenced(self, now: float, peer: Peer) -> bool:
        return peer.fenced_since is not None and now - peer.fenced_since >= FENCED_WAIT_S

    def _replacement_plan(self, now: float, view: View, lacks_state: Callable[[Peer], bool]) -> Plan | None:
        """Returns a plan that replaces one lost or leaving voter by a spare, if needed.

        A leaving voter is replaced while it still answers: its promise may be needed for that if another disk
        is lost at the same time.
        """
        config = self._config
        fit = [spare for spare in self.spares(now, view) if self._spare_is_fit(now, spare)]
        if not fit:
            return None
        lost = [member for member in view.voters if self._seems_lost(now, member)]
        leaving = [member for member in view.voters if self._is_leaving(member)]
        pair = (
            self._same_machine_pair(fit, lost)
            or self._longest_silent_pair(now, fit, lost)
            or self._same_machine_pair(fit, leaving)
            or self._nearest_pair(fit, leaving)
            or self._nearest_pair(fit, [member for member in view.voters if self._is_stalled(member)])
        )
        if pair is None:
            return None
        replaced, spare = pair
        voters = tuple(spare if member == replaced else member for member in view.voters)
        fit_identities = {self._me.identity, spare.identity}
        for identity in view.chain:
            peer = self.peers.get(identity)
            if peer is not None and identity != replaced.identity and peer.is_healthy(now, config):
                fit_identities.add(identity)
        chain = self._padded_chain(now, view, fit_identities, replaced.identity)
        if chain is None:
            return None
        is_long_enough = len(chain) > min_chain_length(len(voters), config.tolerance)
        if is_long_enough and lacks_state(self.peers[spare.identity]):
            chain.discard(spare.identity)  # it votes at once, and joins the chain when it has the state
        return Plan(view.epoch, voters, frozenset(chain), f"{spare.name} in the place of {replaced.name}")

    def _spare_is_fit(self, now: float, spare: Member) -> bool:
        peer = self.peers.get(spare.identity)
        return peer is not None and peer.report is not None and peer.is_healthy(now, self._config)

    def _seems_lost(self, now: float, member: Member) -> bool:
        if member.identity == self._me.identity:
            return False
        return self.silent_s(now, member) >= 2 * self._config.heartbeat_s

    def _same_machine_pair(self, fit: list[Member], lost: list[Member]) -> tuple[Member, Member] | None:
        """Returns a pair of a lost voter and a spare in the same machine with another disk, or in another
        machine under the same name."""
        for replaced in lost:
            for spare in fit:
                if spare.ip == replaced.ip or spare.name == replaced.name:
                    return replaced, spare
        return None

    def _longest_silent_pair(
        self, now: float, fit: list[Member], lost: list[Member]
    ) -> tuple[Member, Member] | None:
        silent = [member for member in lost if self.silent_s(now, member) >= self._config.replace_after_s]
        if not silent:
            return None
        replaced = max(silent, key=lambda member: (self.silent_s(now, member), member.identity))
        return self._nearest_pair(fit, [replaced])

    @staticmethod
    def _nearest_pair(fit: list[Member], replaced: list[Member]) -> tuple[Member, Member] | None:
        """Returns the first voter to replace with a spare, of the same zone if possible."""
        if not replaced:
            return None
        spare = min(fit, key=lambda member: (member.zone != replaced[0].zone, member.identity))
        return replaced[0], spare
