"""What a replica keeps on its disk: the records that are written, and what is read back at a start."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class Ballot:
    """What a seed has said in the system's first start; 0 where it has said nothing."""

    promised: int = 0  # no ballot below this is taken part in
    accepted: int = 0  # the ballot whose voters were accepted
    voters: bytes = b""  # these, as an encoded view; opaque here


@attrs.frozen(slots=True)
class Meta:
    """The small facts of a replica. Epochs are 0 where there is none yet."""

    promised: int = 0  # no epoch below this is taken part in
    promised_to: str = ""  # identity of the proposer that the promise was given to
    synced: int = 0  # epoch in which snapshot and updates were handed over by a head
    view: bytes = b""  # view of the highest epoch that is known, encoded; opaque here
    view_epoch: int = 0  # its epoch
    settled: bool = False  # that view is known to have been in force
    committed: int = 0  # at least so many updates are committed
    fleet_size: int = 0  # how many machines there were, when last counted
    adoptable: bool = False  # never used since the system's first start: may take part in that
    ballot: Ballot = Ballot()
    note: bytes = b""  # what the head at this disk wants its successor there to know; opaque here


@attrs.frozen(slots=True)
class Snapshot:
    """The state after update `seq`."""

    seq: int
    data: bytes


@attrs.frozen(slots=True)
class Update:
    """One update: it leads from the state `seq - 1` to the state `seq`."""

    seq: int
    data: bytes


@attrs.frozen(slots=True)
class Record:
    """One synced transaction. A snapshot replaces the older one and all updates; `updates` follow it."""

    meta: Meta | None = None
    snapshot: Snapshot | None = None
    updates: tuple[Update, ...] = ()
    peers: tuple[str, ...] | None = None  # addresses of other proxies, for the next start


@attrs.frozen(slots=True)
class StoredReplica:
    """All that a disk holds."""

    identity: str  # 16 hexadecimal digits, drawn when the disk was first used
    meta: Meta = Meta()
    snapshot: Snapshot | None = None
    updates: tuple[Update, ...] = ()  # those after the snapshot, in order, without gaps
    peers: tuple[str, ...] = ()
    fresh: bool = False  # the identity was drawn just now
    damage: str = ""  # what was found when a damaged disk was emptied just now
