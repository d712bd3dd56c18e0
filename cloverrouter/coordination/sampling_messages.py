"""Messages of peer sampling: the records that machines exchange of each other (message types 150 to 199)."""

from __future__ import annotations

from cloverrouter.messages.codec import message, nested


@nested
class PeerRecord:
    """A machine's description of itself.

    `identity` is that of its disk, or "" without a disk. `counts_for_quorum` says whether the disk
    counts for the quorum. `incarnation` rises with each start at an address, `heartbeat` with each shuffle;
    of two records the one with the higher pair (incarnation, heartbeat) is newer.
    """

    ip: str
    name: str
    zone: str
    identity: str = ""
    counts_for_quorum: bool = False
    incarnation: int = 0
    heartbeat: int = 0

    def is_newer_than(self, other: PeerRecord) -> bool:
        """Returns whether this record of the machine is newer than `other`, which has the same address."""
        return (self.incarnation, self.heartbeat) > (other.incarnation, other.heartbeat)

    def with_next_heartbeat(self) -> PeerRecord:
        """Returns a copy with the next heartbeat."""
        return self._with(self.identity, self.counts_for_quorum, self.incarnation, self.heartbeat + 1)

    def with_incarnation(self, incarnation: int) -> PeerRecord:
        """Returns a copy with another incarnation."""
        return self._with(self.identity, self.counts_for_quorum, incarnation, self.heartbeat)

    def with_disk(self, identity: str, counts_for_quorum: bool) -> PeerRecord:
        """Returns a copy with another disk."""
        return self._with(identity, counts_for_quorum, self.incarnation, self.heartbeat)

    def _with(self, identity: str, counts_for_quorum: bool, incarnation: int, heartbeat: int) -> PeerRecord:
        return PeerRecord(self.ip, self.name, self.zone, identity, counts_for_quorum, incarnation, heartbeat)


@nested
class AgedRecord:
    """A machine's record, and the milliseconds since the machine created it, as far as the sender knows."""

    record: PeerRecord
    age_ms: int


@nested
class VoterAddress:
    """The address, disk identity and zone of a voter in the chain's view."""

    ip: str
    identity: str
    zone: str


@nested
class ViewSummary:
    """The part of the chain's membership view that a machine needs to find the head and the voters."""

    epoch: int
    active: bool
    head: str  # address; "" without a head
    voters: tuple[VoterAddress, ...]
    committed: int  # sequence number

    def order(self) -> tuple[int, bool, int]:
        """Returns the sort key: of two summaries the one with the higher key is newer.

        Each epoch belongs to one proposer, so no two views share one.
        """
        return (self.epoch, self.active, self.committed)

    def is_same_view(self, other: ViewSummary) -> bool:
        """Returns whether at most the committed sequence number differs."""
        return (self.epoch, self.active) == (other.epoch, other.active)


@message(150)
class Shuffle:
    """A part of the sender's partial view, the disk members that it knows, and the newest membership view.

    A shuffle is answered by a shuffle with `is_answer`.
    """

    sender: PeerRecord
    entries: tuple[AgedRecord, ...]
    disks: tuple[AgedRecord, ...]
    view: ViewSummary | None
    is_answer: bool
