"""Messages between the candidates for a singleton role and the voters (types 140 to 143).

Messages may be lost, duplicated or delayed.
"""

from __future__ import annotations

from cloverrouter.messages import message


@message(140)
class LeaseRequest:
    """Candidate or holder to each voter: requests the role or renews its lease."""

    role: str
    holder: str  # identifies one run of a process
    token: int  # the same in all renewals; each new lease has a higher one
    sent_at: float  # on the holder's clock, in seconds; only the holder interprets it


@message(141)
class LeaseGranted:
    """Voter to holder: grants the role until `lease_s` after `sent_at`, provided a majority grants it."""

    role: str
    holder: str
    token: int
    sent_at: float


@message(142)
class LeaseRefused:
    """Voter to candidate: another process has the role, the token is too low, or the voter just started."""

    role: str
    holder: str
    token: int
    highest_token: int  # the highest token that the voter has granted
    retry_after_s: float  # seconds until a request may succeed; 0: at once, with a higher token


@message(143)
class LeaseReleased:
    """Former holder or candidate to each voter: gives up the role, or grants that were no majority."""

    role: str
    holder: str
    token: int
