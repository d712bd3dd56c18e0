"""What machines tell one another about themselves and others (message types 150 to 199)."""

from __future__ import annotations

from cloverrouter.messages.codec import message, nested


@nested
class PeerRecord:
    """One machine as it describes itself.

    `identity` is its disk's ("" without a disk); `counts`: it has a disk and counts for the quorum;
    `incarnation` rises with each start at an address, `heartbeat` with each of its shuffles: a higher pair
    is newer.
    """

    ip: str
    name: str
    zone: str
    identity: str = ""
    counts: bool = False
    incarnation: int = 0
    heartbeat: int = 0

    def is_newer_than(self, other: PeerRecord) -> bool:
        """True if this was told later by the machine at the address of both."""
        return (self.incarnation, self.heartbeat) > (other.incarnation, other.heartbeat)

    def told_again(self) -> PeerRecord:
        """The same with the next heartbeat."""
        return self._with(self.identity, self.counts, self.incarnation, self.heartbeat + 1)

    def with_incarnation(self, incarnation: int) -> PeerRecord:
        """The same as of another start."""
        return self._with(self.identity, self.counts, incarnation, self.heartbeat)

    def with_disk(self, identity: str, counts: bool) -> PeerRecord:
        """The same with this disk."""
        return self._with(identity, counts, self.incarnation, self.heartbeat)

    def _with(self, identity: str, counts: bool, incarnation: int, heartbeat: int) -> PeerRecord:
        return PeerRecord(self.ip, self.name, self.zone, identity, counts, incarnation, heartbeat)


@nested
class AgedRecord:
    """A machine's record, and how many milliseconds ago the machine told it, as far as the sender knows."""

    record: PeerRecord
    age_ms: int


@nested
class VoterPlace:
    """Where a voter of the chain's view lives."""

    ip: str
    identity: str
    zone: str


@nested
class ViewSummary:
    """The chain's membership view, as much of it as a machine needs to find the head and the voters."""

    epoch: int
    active: bool
    head: str
    voters: tuple[VoterPlace, ...]
    committed: int

    def order(self) -> tuple[int, bool, int]:
        """A summary with a higher order is newer. Epochs are unique to their proposers."""
        return (self.epoch, self.active, self.committed)

    def is_same_view(self, other: ViewSummary) -> bool:
        """True if at most the committed sequence number differs."""
        return (self.epoch, self.active) == (other.epoch, other.active)


@message(150)
class Shuffle:
    """Part of the sender's partial view, all disk members that it knows, and the newest view it has heard of.

    The answer to a shuffle is a shuffle with `is_answer`.
    """

    sender: PeerRecord
    entries: tuple[AgedRecord, ...]
    disks: tuple[AgedRecord, ...]
    view: ViewSummary | None
    is_answer: bool
