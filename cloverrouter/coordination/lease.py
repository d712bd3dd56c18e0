"""A role that at most one process has at a time: a lease granted by a majority of voters.

A holder counts its lease from when it sent the request, a voter from when the request came, each on its
own steady clock and with a margin for clocks of different rates; so a holder stops before any voter may
grant the role to another. Whoever acts for the role asks `holds` right before, also after a freeze.
What can't be asked in time (a write under way) is fenced: it carries the holder's token, and is refused
where a higher one was seen.

Voters keep the highest token that they granted on their disks, and nothing else: one that has just
started grants nothing until any lease that it may have granted before must be over.

Cost: a request and an answer a voter and `RENEWALS`-th of the lease; at 3 voters and 2 s, 12 messages a
second a role.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import attrs

from cloverrouter.coordination.lease_messages import LeaseGranted, LeaseRefused, LeaseReleased, LeaseRequest
from cloverrouter.messages.sending import Send

CLOCK_MARGIN = 0.02  # clocks may differ in rate by this part
RENEWALS = 4  # in a lease
ANSWERS_AWAITED_S = 0.25  # a candidate without a majority by then gives its grants back
LONGEST_PAUSE_S = 1.0


@attrs.frozen(slots=True)
class StoreToken:
    """Effect for a voter: write this to the disk, then call `stored`."""

    role: str
    token: int


@attrs.define(slots=True)
class _Grant:
    """What a voter granted for one role."""

    highest: int
    holder: str = ""  # none: the role is free here
    until: float = 0.0
    waiting: tuple[str, LeaseRequest] | None = None  # is answered once its token is on the disk


class LeaseVoter:
    """One voter, for any number of roles. `tokens`: the highest granted, by role, as read from the disk."""

    def __init__(self, now: float, lease_s: float, tokens: dict[str, int] | None = None) -> None:
        self._lasts_s = lease_s * (1 + CLOCK_MARGIN)
        self._grants = {role: _Grant(token) for role, token in (tokens or {}).items()}
        self._quiet_until = now + self._lasts_s

    def receive(self, now: float, ip: str, message: object) -> list[Send | StoreToken]:
        """A message of a candidate or holder."""
        if isinstance(message, LeaseRequest):
            return self._on_request(now, ip, message)
        if isinstance(message, LeaseReleased):
            self._on_released(message)
        return []

    def stored(self, now: float, role: str, token: int) -> list[Send | StoreToken]:
        """The token is on the disk."""
        grant = self._grants[role]
        if grant.waiting is None or grant.waiting[1].token != token:
            return []
        ip, request = grant.waiting
        grant.waiting = None
        return [self._granted(now, ip, request)]

    def _on_request(self, now: float, ip: str, request: LeaseRequest) -> list[Send | StoreToken]:
        grant = self._grants.setdefault(request.role, _Grant(0))
        if now < self._quiet_until:
            return [self._refused(ip, request, grant, self._quiet_until - now)]
        is_renewal = grant.holder == request.holder and grant.highest == request.token
        if is_renewal and grant.waiting is not None:
            return []
        if is_renewal:
            return [self._granted(now, ip, request)]
        if grant.holder and now < grant.until:
            return [self._refused(ip, request, grant, grant.until - now)]
        if request.token <= grant.highest:
            return [self._refused(ip, request, grant, 0.0)]
        grant.highest, grant.holder, grant.until = request.token, request.holder, now + self._lasts_s
        grant.waiting = (ip, request)
        return [StoreToken(request.role, request.token)]

    def _granted(self, now: float, ip: str, request: LeaseRequest) -> Send:
        self._grants[request.role].until = now + self._lasts_s
        return Send(ip, LeaseGranted(request.role, request.holder, request.token, request.sent_at))

    def _refused(self, ip: str, request: LeaseRequest, grant: _Grant, free_in_s: float) -> Send:
        return Send(ip, LeaseRefused(request.role, request.holder, request.token, grant.highest, free_in_s))

    def _on_released(self, message: LeaseReleased) -> None:
        grant = self._grants.get(message.role)
        if grant is not None and (grant.holder, grant.highest) == (message.holder, message.token):
            grant.holder = ""
            grant.waiting = None


class LeaseHolder:
    """A process that wants one role for itself, from `campaign` to `release`, and has it now and then.

    `name`: of this life of the process, never used by another.
    """

    def __init__(self, role: str, name: str, voters: Sequence[str], lease_s: float, random: Random) -> None:
        self._role = role
        self._name = name
        self._voters = tuple(voters)
        self._lease_s = lease_s
        self._random = random
        self._wants = False
        self._token = 0
        self._highest = 0  # token heard of
        self._begun: float | None = None  # when this token was first asked for
        self._next_request = 0.0
        self._granted: dict[str, float] = {}  # voter to when the newest request that it granted was sent

    @property
    def token(self) -> int:
        """What to fence with. Higher than those of all holders before; only of use while `holds`."""
        return self._token

    def holds(self, now: float) -> bool:
        """Whether the role is this process's, for sure, at this moment."""
        return now < self.held_until

    @property
    def held_until(self) -> float:
        """Until when the role is this process's, unless it is renewed; long ago if it is not."""
        sent = sorted(self._granted.values(), reverse=True)
        majority = len(self._voters) // 2 + 1
        if len(sent) < majority:
            return float("-inf")
        return sent[majority - 1] + self._lease_s * (1 - CLOCK_MARGIN)

    def campaign(self, now: float) -> list[Send]:
        """Want the role from now on."""
        self._wants = True
        self._next_request = now
        return self.tick(now)

    def release(self) -> list[Send]:
        """Whoever acts for the role has stopped: let another have it at once."""
        self._wants = False
        return self._give_back()

    def tick(self, now: float) -> list[Send]:
        """Call each 50 ms or so."""
        if not self._wants:
            return []
        if self._begun is not None and not self.holds(now):
            if now - self._begun < ANSWERS_AWAITED_S:
                return []
            pause = self._random.uniform(0.2, 1.0) * LONGEST_PAUSE_S
            self._next_request = max(self._next_request, now + pause)
            return self._give_back()
        return self._request(now) if now >= self._next_request else []

    def receive(self, now: float, ip: str, message: object) -> list[Send]:
        """A message of a voter."""
        if not isinstance(message, LeaseGranted | LeaseRefused):
            return []
        if (message.role, message.holder) != (self._role, self._name) or ip not in self._voters:
            return []
        if isinstance(message, LeaseRefused):
            self._on_refused(now, message)
        elif message.token == self._token and self._begun is not None:
            self._granted[ip] = max(self._granted.get(ip, float("-inf")), message.sent_at)
        return []

    def _request(self, now: float) -> list[Send]:
        if self._begun is None:
            self._token = self._highest = max(self._highest, self._token) + 1
            self._begun = now
        self._next_request = now + self._lease_s / RENEWALS
        request = LeaseRequest(self._role, self._name, self._token, now)
        return [Send(ip, request) for ip in self._voters]

    def _on_refused(self, now: float, message: LeaseRefused) -> None:
        self._highest = max(self._highest, message.highest)
        if message.token == self._token and not self.holds(now):
            self._next_request = max(self._next_request, now + min(message.free_in_s, LONGEST_PAUSE_S))

    def _give_back(self) -> list[Send]:
        if self._begun is None:
            return []
        self._begun = None
        self._granted.clear()
        released = LeaseReleased(self._role, self._name, self._token)
        return [Send(ip, released) for ip in self._voters]
