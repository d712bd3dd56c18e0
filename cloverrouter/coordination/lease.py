"""Leases for singleton roles: a majority of voters grants a role to at most one process at a time.

The holder counts its lease from the moment it sent the request, a voter from the moment it granted it, each
on its own monotonic clock and with a margin for clocks of different rates. The holder's lease therefore ends
before any voter may grant the role to another process. Code that acts for the role checks `holds` immediately
before each action, so that a process that was frozen does not act on an expired lease. A write that is
already under way cannot be checked and is fenced instead: it carries the holder's token, and is rejected
where a higher token was seen.

Voters persist the highest token that they have granted, and nothing else. A voter that has just started
therefore grants nothing until every lease that it may have granted before has expired.

Cost: each voter gets and answers `RENEWALS_PER_LEASE` requests per lease. With 3 voters and a lease of 2 s
that is 12 messages a second for each role.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import attrs

from cloverrouter.coordination.lease_messages import LeaseGranted, LeaseRefused, LeaseReleased, LeaseRequest
from cloverrouter.messages.sending import Send

CLOCK_MARGIN = 0.02  # fraction by which the rates of two clocks may differ
RENEWALS_PER_LEASE = 4
MAJORITY_TIMEOUT_S = 0.25  # a candidate without a majority by then releases its grants
MAX_BACKOFF_S = 1.0


@attrs.frozen(slots=True)
class StoreToken:
    """Effect of a voter: write this token to the disk, then call `token_stored`."""

    role: str
    token: int


@attrs.define(slots=True)
class _Grant:
    """The state of one role at a voter."""

    highest_token: int  # the highest token granted so far
    holder: str = ""  # empty: the role is free
    expires_at: float = 0.0
    pending_request: tuple[str, LeaseRequest] | None = None  # answered once its token is on the disk


class LeaseVoter:
    """One voter, for any number of roles.

    `tokens` holds the highest granted token by role, as read from the disk.
    """

    def __init__(self, now: float, lease_s: float, tokens: dict[str, int] | None = None) -> None:
        self._grant_s = lease_s * (1 + CLOCK_MARGIN)
        self._grants = {role: _Grant(token) for role, token in (tokens or {}).items()}
        self._no_grants_until = now + self._grant_s

    def receive(self, now: float, ip: str, message: object) -> list[Send | StoreToken]:
        """Handles a message of a candidate or holder."""
        if isinstance(message, LeaseRequest):
            return self._on_request(now, ip, message)
        if isinstance(message, LeaseReleased):
            self._on_released(message)
        return []

    def token_stored(self, now: float, role: str, token: int) -> list[Send | StoreToken]:
        """Handles that a token has been written to the disk: the request that waits for it is granted."""
        grant = self._grants[role]
        if grant.pending_request is None or grant.pending_request[1].token != token:
            return []
        ip, request = grant.pending_request
        grant.pending_request = None
        return [self._grant(now, ip, request)]

    def _on_request(self, now: float, ip: str, request: LeaseRequest) -> list[Send | StoreToken]:
        grant = self._grants.setdefault(request.role, _Grant(0))
        if now < self._no_grants_until:
            return [self._refuse(ip, request, grant, self._no_grants_until - now)]
        is_renewal = grant.holder == request.holder and grant.highest_token == request.token
        if is_renewal and grant.pending_request is not None:
            return []
        if is_renewal:
            return [self._grant(now, ip, request)]
        if grant.holder and now < grant.expires_at:
            return [self._refuse(ip, request, grant, grant.expires_at - now)]
        if request.token <= grant.highest_token:
            return [self._refuse(ip, request, grant, 0.0)]
        grant.highest_token, grant.holder, grant.expires_at = (
            request.token,
            request.holder,
            now + self._grant_s,
        )
        grant.pending_request = (ip, request)
        return [StoreToken(request.role, request.token)]

    def _grant(self, now: float, ip: str, request: LeaseRequest) -> Send:
        self._grants[request.role].expires_at = now + self._grant_s
        return Send(ip, LeaseGranted(request.role, request.holder, request.token, request.sent_at))

    def _refuse(self, ip: str, request: LeaseRequest, grant: _Grant, retry_after_s: float) -> Send:
        return Send(
            ip,
            LeaseRefused(request.role, request.holder, request.token, grant.highest_token, retry_after_s),
        )

    def _on_released(self, message: LeaseReleased) -> None:
        grant = self._grants.get(message.role)
        if grant is not None and (grant.holder, grant.highest_token) == (message.holder, message.token):
            grant.holder = ""
            grant.pending_request = None


class LeaseHolder:
    """A candidate for one role: it campaigns from `campaign` to `release`, and may hold the role meanwhile.

    `name` identifies this run of the process and is never reused.
    """

    def __init__(self, role: str, name: str, voters: Sequence[str], lease_s: float, random: Random) -> None:
        self._role = role
        self._name = name
        self._voters = tuple(voters)
        self._lease_s = lease_s
        self._random = random
        self._is_campaigning = False
        self._token = 0
        self._highest_token_seen = 0  # in own requests and refusals
        self._token_requested_at: float | None = None  # None: no grants are requested
        self._next_request_at = 0.0
        self._grant_sent_at: dict[str, float] = {}  # by voter: send time of the newest granted request

    @property
    def token(self) -> int:
        """The fencing token: higher than those of all earlier holders. Valid only while `holds` is true."""
        return self._token

    def holds(self, now: float) -> bool:
        """Returns whether this process certainly holds the role at this moment."""
        return now < self.held_until

    @property
    def held_until(self) -> float:
        """When the lease ends unless it is renewed; minus infinity without grants of a majority."""
        sent_times = sorted(self._grant_sent_at.values(), reverse=True)
        majority = len(self._voters) // 2 + 1
        if len(sent_times) < majority:
            return float("-inf")
        return sent_times[majority - 1] + self._lease_s * (1 - CLOCK_MARGIN)

    def campaign(self, now: float) -> list[Send]:
        """Starts to request the role."""
        self._is_campaigning = True
        self._next_request_at = now
        return self.tick(now)

    def release(self) -> list[Send]:
        """Releases the role at once. The caller must have stopped acting for it."""
        self._is_campaigning = False
        return self._release_grants()

    def tick(self, now: float) -> list[Send]:
        """Sends requests and renewals that are due; to be called about every 50 ms."""
        if not self._is_campaigning:
            return []
        if self._token_requested_at is not None and not self.holds(now):
            if now - self._token_requested_at < MAJORITY_TIMEOUT_S:
                return []
            backoff = self._random.uniform(0.2, 1.0) * MAX_BACKOFF_S
            self._next_request_at = max(self._next_request_at, now + backoff)
            return self._release_grants()
        return self._send_requests(now) if now >= self._next_request_at else []

    def receive(self, now: float, ip: str, message: object) -> list[Send]:
        """Handles a message of a voter."""
        if not isinstance(message, LeaseGranted | LeaseRefused):
            return []
        if (message.role, message.holder) != (self._role, self._name) or ip not in self._voters:
            return []
        if isinstance(message, LeaseRefused):
            self._on_refused(now, message)
        elif message.token == self._token and self._token_requested_at is not None:
            self._grant_sent_at[ip] = max(self._grant_sent_at.get(ip, float("-inf")), message.sent_at)
        return []

    def _send_requests(self, now: float) -> list[Send]:
        if self._token_requested_at is None:
            self._token = self._highest_token_seen = max(self._highest_token_seen, self._token) + 1
            self._token_requested_at = now
        self._next_request_at = now + self._lease_s / RENEWALS_PER_LEASE
        request = LeaseRequest(self._role, self._name, self._token, now)
        return [Send(ip, request) for ip in self._voters]

    def _on_refused(self, now: float, message: LeaseRefused) -> None:
        self._highest_token_seen = max(self._highest_token_seen, message.highest_token)
        if message.token == self._token and not self.holds(now):
            self._next_request_at = max(
                self._next_request_at,
                now + min(message.retry_after_s, MAX_BACKOFF_S),
            )

    def _release_grants(self) -> list[Send]:
        if self._token_requested_at is None:
            return []
        self._token_requested_at = None
        self._grant_sent_at.clear()
        released = LeaseReleased(self._role, self._name, self._token)
        return [Send(ip, released) for ip in self._voters]
