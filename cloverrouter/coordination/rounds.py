"""Rounds of a head's heartbeats: which of them a majority has answered, and what follows from that."""

from __future__ import annotations

from cloverrouter.coordination.effects import ReplicaConfig
from cloverrouter.coordination.views import View, majority

# Beginnings of older rounds are forgotten: their answers come too late to tell anything.
KEPT_ROUNDS = 64


class Rounds:
    """The rounds of one headship."""

    def __init__(self, me: str, view: View, config: ReplicaConfig, now: float) -> None:
        """`me` is the head's identity."""
        self.newest = 0
        self.confirmed = 0  # the newest that a majority of the voters, the head among them, has answered
        self.followed_at = now  # when that one was begun
        self._me = me
        self._view = view
        self._config = config
        self._begun: dict[int, float] = {}
        self._answered: dict[str, int] = {}  # the newest round of each voter
        self._heard_at = now  # as `followed_at`, but a freeze of this process does not count
        self._lead_from: float | None = None
        self._no_lead_round = 0  # the last in which the others were told not to hold to this head

    def begin(self, now: float, is_fit: bool) -> int:
        """The next round. `is_fit`: the others are to hold to this head. Gives its number."""
        self.newest += 1
        self._begun[self.newest] = now
        self._begun.pop(self.newest - KEPT_ROUNDS, None)
        if not is_fit:
            self._no_lead_round = self.newest
            self._lead_from = None
        self._confirm()
        return self.newest

    def answered(self, identity: str, number: int) -> None:
        """A voter that follows has answered a round, and so all before it."""
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
        """Until when no other can have become head: those that answered promise nothing to others so long."""
        return None if self._lead_from is None else self._lead_from + self._config.sticky_s

    def has_lost_quorum(self, now: float) -> bool:
        """Whether a majority has not answered for too long."""
        return now - self._heard_at > self._config.lost_quorum_s

    def forgive(self, now: float) -> None:
        """The process was frozen: silence says nothing."""
        self._heard_at = max(self._heard_at, now)
