"""How committed configurations travel from voters to all machines (message types 250 to 299)."""

from __future__ import annotations

from cloverrouter.messages.codec import message

NOTHING = -1
PLAIN, DEFLATED = 0, 1


@message(250)
class Subscribe:
    """Subscriber to every voter, now and then: what it has (`NOTHING` at first). `wants_push`: this voter
    is its source.
    """

    have: int
    wants_push: bool


@message(251)
class Offer:
    """Voter to subscriber, at each change and every `every_ms`: the newest committed sequence number.

    `fleet_size`: how many machines subscribe to this voter; 0 while it can't know.
    """

    newest: int
    fleet_size: int
    every_ms: int


@message(252)
class Pull:
    """Subscriber to its source: wants what follows `have`."""

    have: int


@message(253)
class Delta:
    """Committed updates in order, the first of which has the sequence number `first`."""

    first: int
    updates: tuple[bytes, ...]
    newest: int


@message(254)
class PullPart:
    """Subscriber to its source: wants the part at `offset` of a snapshot or of a long update."""

    sequence: int
    is_snapshot: bool
    offset: int


@message(255)
class Part:
    """A part of a snapshot taken at `sequence`, or of the update of that number.

    `total` and `checksum` (CRC-32) are those of the whole as it is sent: `encoding` 0 plain, 1 deflated.
    """

    sequence: int
    is_snapshot: bool
    offset: int
    total: int
    checksum: int
    encoding: int
    data: bytes


@message(256)
class Acknowledge:
    """Subscriber to its source: it has put `sequence` in force."""

    sequence: int
