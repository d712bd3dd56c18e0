"""The voters as seen by a subscriber: which are live, what each offers, and which one to fetch from."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from random import Random

import attrs

from cloverrouter.control.distribution_messages import NOTHING, Offer

MIN_LEASE_S = 1.5
LEASE_OFFER_PERIODS = 2.5
FAILURE_PENALTY_S = 5.0
MAX_LAG_S = 1.0  # a voter that lags behind for longer is avoided


@attrs.frozen(slots=True)
class VoterAddress:
    """A voter's IP and its zone."""

    ip: str
    zone: str


@attrs.define(slots=True)
class _Voter:
    zone: str
    rank: float
    newest: int = NOTHING
    last_message_at: float = -math.inf
    last_report_at: float = -math.inf
    """Time of its last message that gave its newest committed sequence number."""
    lease_s: float = MIN_LEASE_S
    penalty_until: float = -math.inf
    behind_since: float = math.inf


class VoterChoice:
    """Tracks the state of all voters. A voter that failed to answer or lags behind is avoided as a source."""

    def __init__(self, own_ip: str, own_zone: str, random: Random) -> None:
        self._own_ip = own_ip
        self._own_zone = own_zone
        self._random = random
        self._voters: dict[str, _Voter] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(self._voters)

    def __contains__(self, ip: object) -> bool:
        return ip in self._voters

    def set_voters(self, voters: Sequence[VoterAddress]) -> None:
        """Replaces the list of voters; keeps the state of those that remain."""
        known = self._voters
        self._voters = {
            each.ip: known.get(each.ip) or _Voter(each.zone, self._random.random()) for each in voters
        }

    def record_message(self, now: float, ip: str) -> bool:
        """Renews the voter's lease; returns whether it had expired after earlier messages."""
        voter = self._voters[ip]
        is_back = not self._is_live(now, voter) and voter.last_message_at > -math.inf
        voter.last_message_at = now
        return is_back

    def record_offer(self, now: float, ip: str, offer: Offer) -> None:
        """Records the sequence number of an offer, and the lease that results from its period."""
        self.record_newest(now, ip, offer.newest)
        self._voters[ip].lease_s = max(MIN_LEASE_S, LEASE_OFFER_PERIODS * offer.every_ms / 1000)

    def record_newest(self, now: float, ip: str, newest: int) -> None:
        """Records that the voter has committed up to `newest`."""
        self._voters[ip].newest = max(self._voters[ip].newest, newest)
        self._voters[ip].last_report_at = now
        newest_of_all = self.newest_of_all()
        for voter in self._voters.values():
            if voter.newest >= newest_of_all:
                voter.behind_since = math.inf
            else:
                voter.behind_since = min(voter.behind_since, now)

    def record_failure(self, now: float, ip: str) -> None:
        """Avoids the voter for `FAILURE_PENALTY_S`, since it did not answer in time."""
        if ip in self._voters:
            self._voters[ip].penalty_until = now + FAILURE_PENALTY_S

    def newest(self, ip: str) -> int:
        """Returns the newest sequence number that the voter is known to have committed."""
        return self._voters[ip].newest

    def newest_of_all(self) -> int:
        """Returns the newest committed sequence number of all voters, `NOTHING` without one."""
        return max((voter.newest for voter in self._voters.values()), default=NOTHING)

    def silent_voters(self, now: float) -> list[str]:
        """Returns the voters whose leases have expired."""
        return [ip for ip, voter in self._voters.items() if not self._is_live(now, voter)]

    def majority_is_live(self, now: float) -> bool:
        """Returns whether more than half of the voters are within their leases."""
        return 2 * sum(self._is_live(now, voter) for voter in self._voters.values()) > len(self._voters)

    def majority_report_at(self) -> float:
        """Returns the latest time since which more than half of the voters have reported what they have
        committed; minus infinity if fewer have.
        """
        latest_first = sorted([voter.last_report_at for voter in self._voters.values()], reverse=True)
        return latest_first[len(latest_first) // 2] if latest_first else -math.inf

    def best_source(self, now: float, above: int | None = None) -> str | None:
        """Returns the preferred voter to fetch from, None without a candidate.

        Voters that failed or lag behind come last. Then live voters are preferred, then this machine itself,
        then voters in its zone; a rank that was drawn at random decides the rest. `above`: considers only
        voters that have committed more than that sequence number.
        """
        candidates = [ip for ip, voter in self._voters.items() if above is None or voter.newest > above]
        return min(candidates, key=lambda ip: self._preference(now, ip), default=None)

    def _preference(self, now: float, ip: str) -> tuple[bool, bool, bool, bool, float]:
        voter = self._voters[ip]
        is_avoided = now < voter.penalty_until or now - voter.behind_since > MAX_LAG_S
        is_far = voter.zone != self._own_zone
        return (is_avoided, not self._is_live(now, voter), ip != self._own_ip, is_far, voter.rank)

    @staticmethod
    def _is_live(now: float, voter: _Voter) -> bool:
        return now - voter.last_message_at <= voter.lease_s
