"""Messages that distribute committed configurations from voters to all machines (types 250 to 299)."""

from __future__ import annotations

from cloverrouter.messages.codec import message

NOTHING = -1  # the sequence number of a machine without any state
PLAIN, DEFLATED = 0, 1  # values of `Part.encoding`


@message(250)
class Subscribe:
    """Subscriber to every voter, periodically: the newest sequence number that it has (`NOTHING` at first).

    `wants_push`: this voter is the subscriber's source.
    """

    have: int
    wants_push: bool


@message(251)
class Offer:
    """Voter to subscriber, at each change and every `every_ms`: the newest committed sequence number.

    `fleet_size`: number of machines that subscribe to this voter; 0 while unknown.
    """

    newest: int
    fleet_size: int
    every_ms: int


@message(252)
class Pull:
    """Subscriber to its source: requests the state after sequence number `have`."""

    have: int


@message(253)
class Delta:
    """Voter to subscriber: consecutive committed updates, the first with the sequence number `first`."""

    first: int
    updates: tuple[bytes, ...]
    newest: int


@message(254)
class PullPart:
    """Subscriber to its source: requests the part at byte `offset` of a snapshot or of a long update."""

    sequence: int
    is_snapshot: bool
    offset: int


@message(255)
class Part:
    """Voter to subscriber: a part of the snapshot as of `sequence`, or of the update with that number.

    `total` (bytes) and `checksum` (CRC-32) are those of the whole encoded content. `encoding`: `PLAIN` or
    `DEFLATED`.
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
    """Subscriber to its source: it has applied the state up to `sequence`."""

    sequence: int
