"""Heartbeat rounds of a head: which of them a majority has answered, and the lease that follows from that."""

from __future__ import annotations

from cloverrouter.coordination.effects import ReplicaConfig
from cloverrouter.coordination.views import View, majority

# Start times of older rounds are dropped: replies to those come too late to extend the lease.
MAX_TRACKED_ROUNDS = 64


class Rounds:
    """The heartbeat rounds of one head's epoch."""

    def __init__(self, me: str, view: View, config: ReplicaConfig, now: float) -> None:
        """`me` is the head's identity."""
        self.newest = 0
        self.confirmed = 0  # newest round that a majority of the voters, the head included, has answered
        self.followed_at = now  # start time of that round
        self._me = me
        self._view = view
        self._config = config
        self._begun: dict[int, float] = {}
        self._answered: dict[str, int] = {}  # newest round answered by each voter
        self._heard_at = now  # as `followed_at`; moved forward after a freeze
        self._lead_from: float | None = None
        self._no_lead_round = 0  # newest round that told the others not to hold to this head

    def begin(self, now: float, is_fit: bool) -> int:
        """Starts the next round and returns its number. `is_fit`: the round extends the head's lease."""
        self.newest += 1
        self._begun[self.newest] = now
        self._begun.pop(self.newest - MAX_TRACKED_ROUNDS, None)
        if not is_fit:
            self._no_lead_round = self.newest
            self._lead_from = None
        self._confirm()
        return self.newest

    def on_answer(self, identity: str, number: int) -> None:
        """Records that a voter has answered a round, and thereby all rounds before it."""
        self._answered[identity] = max(number, self._answered.get(identity, 0))
        self._confirm()

    def _confirm(self) -> None:
        voters = [member.identity for member in self._view.voters]
        numbers = [self.newest if voter == self._me else self._answered.get(voter, 0) for voter in voters]
        confirmed = sorted(numbers, reverse=True)[majority(len(voters)) - 1]
        if confirmed <= self.confirmed:
            return
        self.confirmed = confirmed
        begun = self._begun.get(confirmed)
        if begun is None:
            return
        self.followed_at = max(self.followed_at, begun)
        self._heard_at = max(self._heard_at, begun)
        if confirmed > self._no_lead_round:
            self._lead_from = begun

    @property
    def lead_until(self) -> float | None:
        """Time until which no other replica can become head, as the voters that answered promise nothing to
        others until then. None without such a lease."""
        return None if self._lead_from is None else self._lead_from + self._config.sticky_s

    def has_lost_quorum(self, now: float) -> bool:
        """Returns whether no majority has answered for `lost_quorum_s`."""
        return now - self._heard_at > self._config.lost_quorum_s

    def reset_timeouts(self, now: float) -> None:
        """Restarts the lost quorum timeout after a freeze of this process, during which no reply could
        arrive."""
        self._heard_at = max(self._heard_at, now)
