"""Messages between replicas. Each names the disk identity of its sender and its receiver, so that a message
meant for a disk that was lost is not accepted by the disk that replaced it in the same machine."""

from __future__ import annotations

from cloverrouter.coordination.views import Member, View
from cloverrouter.messages import message


@message(101)
class Canvass:
    """Pre-vote request: asks whether the receiver would grant a promise, before an epoch is used."""

    sender: str
    receiver: str
    attempt: int  # counts the sender's elections
    view_epoch: int  # of the newest view that the sender knows


@message(102)
class Support:
    """Pre-vote reply to `Canvass`."""

    sender: str
    receiver: str
    attempt: int
    granted: bool
    promised: int  # highest epoch that the sender has promised
    view: View | None  # newest view that the sender knows
    settled: bool


@message(103)
class Propose:
    """Prepare request: asks the receiver to take part in no epoch lower than this one."""

    sender: str
    receiver: str
    epoch: int


@message(104)
class Promise:
    """Reply to `Propose`, sent once the promise is durable. Its facts about the sender's state can no longer
    be changed by a lower epoch."""

    sender: str
    receiver: str
    epoch: int
    synced: int  # epoch in which the sender received its state
    seq: int  # sequence number of the sender's newest update
    view: View | None
    settled: bool


@message(105)
class Refused:
    """Negative reply to `Propose`: a higher epoch was promised, or the current head is healthy."""

    sender: str
    receiver: str
    epoch: int
    promised: int


@message(106)
class Fetch:
    """The proposer requests the state from the replica that holds the newest one."""

    sender: str
    receiver: str
    epoch: int


@message(107)
class State:
    """Reply to `Fetch`: the state after update `seq`, received in epoch `synced`."""

    sender: str
    receiver: str
    epoch: int
    synced: int
    seq: int
    snapshot: bytes


@message(108)
class Install:
    """The head sends a chain member the view and the state, either whole or as the updates that the member
    lacks."""

    sender: str
    receiver: str
    view: View
    seq: int  # of the state that results
    snapshot: bytes | None  # the state after `seq`; None: `updates` lead from the member's state to it
    from_synced: int  # the receiver's `synced` and newest `seq` that `updates` apply to
    from_seq: int
    updates: tuple[bytes, ...]


@message(109)
class Announce:
    """The head sends its view to a replica outside its chain."""

    sender: str
    receiver: str
    view: View


@message(110)
class Forward:
    """Updates passed from a chain member to its successor."""

    sender: str
    receiver: str
    epoch: int
    first_seq: int
    updates: tuple[bytes, ...]
    stored: int  # as `Stored.seq`
    committed: int


@message(111)
class Stored:
    """All chain members from the head to the sender have stored the updates up to `seq`. Sent to the
    successor; the tail sends it to the head."""

    sender: str
    receiver: str
    epoch: int
    seq: int


@message(112)
class Commit:
    """The whole chain has stored the updates up to `seq`."""

    sender: str
    receiver: str
    epoch: int
    seq: int


@message(113)
class Heartbeat:
    """Sent by the head once per round to the voters, old ones included, and to spares that may be needed."""

    sender: str
    receiver: str
    epoch: int
    round: int  # incremented with each round that the head starts
    active: bool  # the head's view is in force
    committed: int
    trouble_ms: int  # for how long the head's disk has been busy or failing
    resigning: bool  # the head's process is about to exit


@message(114)
class Report:
    """Reply to `Heartbeat`; also sent when a view has become durable."""

    sender: str
    receiver: str
    round_epoch: int  # epoch of the newest heartbeat that counts; see `Follower.on_heartbeat`
    round: int  # its round
    promised: int
    view_epoch: int  # of the newest durable view
    synced: int  # durable
    seq: int  # durable
    received_seq: int  # newest update in memory
    trouble_ms: int
    resigning: bool


@message(120)
class GenesisQuery:
    """A seed asks a disk whether it takes part in the bootstrap of the system."""

    receiver: str


@message(121)
class GenesisState:
    """Reply to `GenesisQuery` and `Genesis`."""

    member: Member
    adoptable: bool
    view_epoch: int  # of the view that the member knows; 0: none
    voters: tuple[Member, ...]  # of that view


@message(122)
class Genesis:
    """The initial voters that the seeds have agreed on."""

    receiver: str
    voters: tuple[Member, ...]


@message(123)
class SeedPrepare:
    """Asks a seed to promise a ballot (Paxos prepare)."""

    ballot: int


@message(124)
class SeedPrepared:
    """Reply to `SeedPrepare`: what the sender has accepted, if anything."""

    ballot: int
    accepted_ballot: int
    voters: tuple[Member, ...]


@message(125)
class SeedAccept:
    """Asks a seed to accept the initial voters (Paxos accept)."""

    ballot: int
    voters: tuple[Member, ...]


@message(126)
class SeedAccepted:
    """Reply to `SeedAccept`."""

    ballot: int


@message(127)
class SeedRefused:
    """Negative reply to `SeedPrepare` and `SeedAccept`: a higher ballot was promised."""

    ballot: int
    promised: int


@message(128)
class CatchUpPart:
    """The head sends a chunk of a large state to a voter outside its chain."""

    sender: str
    receiver: str
    epoch: int  # of the head's view
    seq: int  # sequence number of the state's last update
    length: int  # of the whole state, in bytes
    checksum: int  # CRC-32 of the whole state
    offset: int
    data: bytes


@message(129)
class CatchUpTaken:
    """Acknowledges the first `taken` bytes of that state."""

    sender: str
    receiver: str
    epoch: int
    seq: int
    checksum: int
    taken: int


GENESIS_MESSAGES = (GenesisState, SeedPrepared, SeedAccepted, SeedRefused)
"""Messages handled by a seed's `GenesisProposer`."""
BALLOT_MESSAGES = (SeedPrepare, SeedAccept)
"""Messages handled by a seed's acceptor: the replica, or the process itself if the seed has no disk."""
