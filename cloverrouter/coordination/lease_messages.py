"""What candidates for a singleton role and the voters say to each other. Messages may be lost, doubled or
late."""

from __future__ import annotations

from cloverrouter.messages import message


@message(140)
class LeaseRequest:
    """Candidate or holder to each voter: grant me the role, or go on granting it."""

    role: str
    holder: str  # names one life of a process
    token: int  # the same for all renewals; a new one is higher than all before
    sent_at: float  # on the holder's clock, which alone reads it


@message(141)
class LeaseGranted:
    """Voter to holder: the role is yours until `lease_s` after `sent_at`, if a majority says so."""

    role: str
    holder: str
    token: int
    sent_at: float


@message(142)
class LeaseRefused:
    """Voter to candidate: another has the role, or the token is too low."""

    role: str
    holder: str
    token: int
    highest: int  # token that the voter has granted
    free_in_s: float  # when asking may help; 0: with a higher token at once


@message(143)
class LeaseReleased:
    """Former holder or candidate to each voter: I have stopped, or never began."""

    role: str
    holder: str
    token: int
