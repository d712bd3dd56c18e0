"""What machines tell one another about the servers (message types 200 to 249)."""

from __future__ import annotations

from cloverrouter.messages.codec import message, nested


@nested
class ModelOnServer:
    """One model as a server announces it."""

    name: str
    version: int
    adapters: tuple[str, ...] = ()


@nested
class InstanceRecord:
    """One start of a server, as it stands at the sender.

    `state`: 0 ready, 1 draining, 2 gone. `age_ms`: how long ago the sender knows that the server lived; for
    one that has ended, how long ago that became known.
    """

    id: str
    service: str
    address: str
    zone: str
    version: str
    capacity: int
    state: int
    warmup_ms: int
    sequence: int
    phase: str
    models: tuple[ModelOnServer, ...]
    generation: int
    lost: int
    age_ms: int


@nested
class Beat:
    """A heartbeat without news."""

    id: str
    sequence: int


@message(200)
class Announce:
    """Origin to voter: news of a server. Sent again until taken, where a receipt is wanted."""

    record: InstanceRecord
    wants_receipt: bool


@message(201)
class AnnounceTaken:
    """Voter to origin: the news is in the voter's list and on its way to all its subscribers.

    `fingerprint`: that of the record that was told, so that a receipt for an earlier life of the origin is
    worth no more than it says. `newer`: what the voter holds, if that is more than what it was told.
    """

    id: str
    fingerprint: int
    newer: tuple[InstanceRecord, ...]


@message(202)
class Beats:
    """Origin to voter: heartbeats of the last moments."""

    beats: tuple[Beat, ...]


@message(203)
class UnknownInstances:
    """Voter to origin: these servers' heartbeats say nothing to this voter; announce them."""

    ids: tuple[str, ...]


@message(204)
class News:
    """Voter to subscriber: changed records. Sent again until taken."""

    number: int
    records: tuple[InstanceRecord, ...]


@message(205)
class NewsTaken:
    """Subscriber to voter."""

    number: int


@message(206)
class Compare:
    """Subscriber to voter, now and then: the digest of its list of live servers. Makes and keeps the
    subscription.
    """

    digest: int
    count: int


@message(207)
class Same:
    """Voter to subscriber: the lists agree. `next_ms`: when to compare again."""

    digest: int
    next_ms: int


@message(208)
class InstanceList:
    """A list in parts. With `wants_answer`, the receiver sends back what the sender lacks."""

    part: int
    parts: int
    records: tuple[InstanceRecord, ...]
    wants_answer: bool


@message(210)
class SilenceCheck:
    """Head to voter: the head has not heard these servers for too long. When did the voter?"""

    ids: tuple[str, ...]


@nested
class HeardAgo:
    """How long ago the sender knows that a server lived."""

    id: str
    age_ms: int


@message(211)
class SilenceAnswer:
    """Voter to head: of all servers in the check that the voter knows."""

    servers: tuple[HeardAgo, ...]


@message(209)
class SilenceReport:
    """Head to all: all servers that have been silent for too long."""

    ids: tuple[str, ...]
