"""Heartbeat rounds of a head: which of them a majority has answered, and the lease that follows from that."""

from __future__ import annotations

from cloverrouter.coordination.effects import ReplicaConfig
from cloverrouter.coordination.views import View, majority

# Start times of older rounds are dropped: replies to those come too late to extend the lease.
MAX_TRACKED_ROUNDS = 64


class HeartbeatRounds:
    """The heartbeat rounds of one head's epoch."""

    def __init__(self, me: str, view: View, config: ReplicaConfig, now: float) -> None:
        """`me` is the head's identity."""
        self.newest = 0
        self.confirmed = 0  # newest round that a majority of the voters, the head included, has answered
        self.confirmed_started_at = now  # start time of that round
        self._me = me
        self._view = view
        self._config = config
        self._started_at: dict[int, float] = {}
        self._acked_round: dict[str, int] = {}  # newest round answered by each voter
        self._quorum_seen_at = now  # as `confirmed_started_at`; moved forward after a freeze
        self._lease_from: float | None = None
        self._no_lease_round = 0  # newest round that told the others not to hold to this head

    def begin(self, now: float, is_fit: bool) -> int:
        """Starts the next round and returns its number. `is_fit`: the round extends the head's lease."""
        self.newest += 1
        self._started_at[self.newest] = now
        self._started_at.pop(self.newest - MAX_TRACKED_ROUNDS, None)
        if not is_fit:
            self._no_lease_round = self.newest
            self._lease_from = None
        self._confirm()
        return self.newest

    def on_answer(self, identity: str, number: int) -> None:
        """Records that a voter has answered a round, and thereby all rounds before it."""
        self._acked_round[identity] = max(number, self._acked_round.get(identity, 0))
        self._confirm()

    def _confirm(self) -> None:
        voters = [member.identity for member in self._view.voters]
        numbers = [self.newest if voter == self._me else self._acked_round.get(voter, 0) for voter in voters]
        confirmed = sorted(numbers, reverse=True)[majority(len(voters)) - 1]
        if confirmed <= self.confirmed:
            return
        self.confirmed = confirmed
        begun = self._started_at.get(confirmed)
        if begun is None:
            return
        self.confirmed_started_at = max(self.confirmed_started_at, begun)
        self._quorum_seen_at = max(self._quorum_seen_at, begun)
        if confirmed > self._no_lease_round:
            self._lease_from = begun

    @property
    def lease_until(self) -> float | None:
        """Time until which no other replica can become head, as the voters that answered promise nothing to
        others until then. None without such a lease."""
        return None if self._lease_from is None else self._lease_from + self._config.sticky_s

    def has_lost_quorum(self, now: float) -> bool:
        """Returns whether no majority has answered for `lost_quorum_s`."""
        return now - self._quorum_seen_at > self._config.lost_quorum_s

    def reset_timeouts(self, now: float) -> None:
        """Restarts the lost quorum timeout after a freeze of this process, during which no reply could
        arrive."""
        self._quorum_seen_at = max(self._quorum_seen_at, now)
