"""The messages of the registry (types 200 to 249)."""

from __future__ import annotations

from typing import ClassVar

from cloverrouter.messages.codec import message, nested


@nested
class ModelOnServer:
    """A model that a server announces."""

    name: str
    version: int
    adapters: tuple[str, ...] = ()


@nested
class InstanceRecord:
    """An instance (one start of a server) as the sender knows it.

    `state`: 0 ready, 1 draining, 2 gone. `age_ms`: the time since the server was last known to be alive, or,
    if it has ended, since that became known.
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
    lost_generation: int
    age_ms: int


@nested
class InstanceHeartbeat:
    """A heartbeat of a server whose record has not changed."""

    id: str
    sequence: int


@message(200)
class Announce:
    """Origin to voter: a changed record. Resent until acknowledged, if `wants_acknowledgement`."""

    record: InstanceRecord
    wants_acknowledgement: bool


@message(201)
class AnnounceAcknowledged:
    """Voter to origin: the record is in the voter's list and on its way to all its subscribers.

    If the server is draining or has ended, the record is on the voter's disk, too.

    `fingerprint`: that of the record received, so that an acknowledgement meant for an earlier process of the
    origin counts for that record only. `newer`: the voter's own record, if it has newer facts.
    """

    METRIC_LABELS: ClassVar[tuple[str, str]] = ("registry_messages", "AnnounceTaken")

    id: str
    fingerprint: int
    newer: tuple[InstanceRecord, ...]


@message(212)
class AnnounceRefused:
    """Voter to origin: the departure with this fingerprint is in the voter's list; its disk takes nothing."""

    id: str
    fingerprint: int


@message(202)
class HeartbeatBatch:
    """Origin to voter: the heartbeats received since the last batch."""

    METRIC_LABELS: ClassVar[tuple[str, str]] = ("registry_messages", "Beats")

    heartbeats: tuple[InstanceHeartbeat, ...]


@message(203)
class UnknownInstances:
    """Voter to origin: heartbeats of these servers arrived, but their records are missing; announce them."""

    ids: tuple[str, ...]


@message(204)
class InstanceUpdates:
    """Voter to subscriber: changed records. Resent until acknowledged."""

    METRIC_LABELS: ClassVar[tuple[str, str]] = ("registry_messages", "News")

    number: int
    records: tuple[InstanceRecord, ...]


@message(205)
class InstanceUpdatesAcknowledged:
    """Subscriber to voter: acknowledges the records sent under that number."""

    METRIC_LABELS: ClassVar[tuple[str, str]] = ("registry_messages", "NewsTaken")

    number: int


@message(206)
class Compare:
    """Subscriber to voter, periodically: the digest and length of its list of live servers.

    It also starts and renews the subscription.
    """

    digest: int
    count: int


@message(207)
class Same:
    """Voter to subscriber: the lists are equal. `next_ms`: after how long to compare again."""

    digest: int
    next_ms: int


@message(208)
class InstanceList:
    """One part of a list. If `wants_answer`, the receiver sends back what the sender lacks."""

    part: int
    parts: int
    records: tuple[InstanceRecord, ...]
    wants_answer: bool


@message(210)
class SilenceCheck:
    """Head to voter: asks when the voter last heard from these servers, which the head counts as overdue."""

    ids: tuple[str, ...]


@nested
class LivenessAge:
    """The time since the sender last knew a server to be alive."""

    id: str
    age_ms: int


@message(211)
class SilenceAnswer:
    """Voter to head: the answer to a `SilenceCheck`, for those servers that the voter knows."""

    servers: tuple[LivenessAge, ...]


@message(209)
class SilenceReport:
    """Head to all: the complete set of servers marked as silent."""

    ids: tuple[str, ...]
