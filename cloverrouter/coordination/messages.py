"""What replicas say to one another. Each message names the disks that it is from and for, so that nothing
that was meant for a machine's lost disk is taken by its new one."""

from __future__ import annotations

from cloverrouter.coordination.views import Member, View
from cloverrouter.messages import message


@message(101)
class Canvass:
    """Would you follow me? Asked before an epoch is spent on it."""

    sender: str
    receiver: str
    attempt: int  # of this sender
    view_epoch: int  # of the view that it knows


@message(102)
class Support:
    """Answer to `Canvass`."""

    sender: str
    receiver: str
    attempt: int
    granted: bool
    promised: int  # highest epoch that the sender has promised
    view: View | None  # the view that the sender knows
    settled: bool


@message(103)
class Propose:
    """Promise me that you'll take part in no epoch below this one."""

    sender: str
    receiver: str
    epoch: int


@message(104)
class Promise:
    """The promise, durable. It tells what the sender holds, which no lower epoch can change any more."""

    sender: str
    receiver: str
    epoch: int
    synced: int  # epoch in which its state was handed over
    seq: int  # of its newest update
    view: View | None
    settled: bool


@message(105)
class Refused:
    """No promise, as a higher one was given, or the head is well."""

    sender: str
    receiver: str
    epoch: int
    promised: int


@message(106)
class Fetch:
    """The proposer asks the one with the newest state for it."""

    sender: str
    receiver: str
    epoch: int


@message(107)
class State:
    """Answer to `Fetch`: the state after update `seq`, handed over in epoch `synced`."""

    sender: str
    receiver: str
    epoch: int
    synced: int
    seq: int
    snapshot: bytes


@message(108)
class Install:
    """The head hands a member of its chain the view and the state: whole, or the updates that it lacks."""

    sender: str
    receiver: str
    view: View
    seq: int  # of the state handed over
    snapshot: bytes | None  # the state after `seq`; None: `updates` lead there from what the member holds
    from_synced: int  # what it must hold for that
    from_seq: int
    updates: tuple[bytes, ...]


@message(109)
class Announce:
    """The head tells a view to one who isn't in its chain."""

    sender: str
    receiver: str
    view: View


@message(110)
class Forward:
    """Updates on their way down the chain."""

    sender: str
    receiver: str
    epoch: int
    first_seq: int
    updates: tuple[bytes, ...]
    stored: int  # as in `Stored`
    committed: int


@message(111)
class Stored:
    """All from the head to the sender have stored the updates up to `seq`. The tail says it to the head."""

    sender: str
    receiver: str
    epoch: int
    seq: int


@message(112)
class Commit:
    """All of the chain have stored the updates up to `seq`."""

    sender: str
    receiver: str
    epoch: int
    seq: int


@message(113)
class Heartbeat:
    """The head is there."""

    sender: str
    receiver: str
    epoch: int
    round: int  # rises with each round that the head begins
    active: bool  # its view is in force
    committed: int
    trouble_ms: int  # its disk has been busy or failing that long
    resigning: bool  # it is about to leave


@message(114)
class Report:
    """Answer to `Heartbeat`; also sent when a view has become durable."""

    sender: str
    receiver: str
    round_epoch: int  # epoch of the newest heartbeat that was taken
    round: int  # and its round
    promised: int
    view_epoch: int  # of the newest view on the disk
    synced: int  # on the disk
    seq: int  # on the disk
    received_seq: int  # in memory
    trouble_ms: int
    resigning: bool


@message(120)
class GenesisQuery:
    """A seed asks a disk whether it is one of the system's first start."""

    receiver: str


@message(121)
class GenesisState:
    """Answer to `GenesisQuery` and `Genesis`."""

    member: Member
    adoptable: bool
    view_epoch: int  # of the view that it knows; 0: none
    voters: tuple[Member, ...]  # of that view


@message(122)
class Genesis:
    """The voters that the seeds have agreed on."""

    receiver: str
    voters: tuple[Member, ...]


@message(123)
class SeedPrepare:
    """A seed asks the seeds to promise a ballot."""

    ballot: int


@message(124)
class SeedPrepared:
    """Answer to `SeedPrepare`: what the sender has accepted, if anything."""

    ballot: int
    accepted_ballot: int
    voters: tuple[Member, ...]


@message(125)
class SeedAccept:
    """A seed asks the seeds to accept voters."""

    ballot: int
    voters: tuple[Member, ...]


@message(126)
class SeedAccepted:
    """Answer to `SeedAccept`."""

    ballot: int


@message(127)
class SeedRefused:
    """A higher ballot was promised."""

    ballot: int
    promised: int


@message(128)
class CatchUpPart:
    """The head hands a part of a long state to a member outside its chain."""

    sender: str
    receiver: str
    epoch: int  # of the head
    seq: int  # the state is the one after this update
    length: int  # of the whole, in bytes
    checksum: int  # of the whole: CRC-32
    offset: int
    data: bytes


@message(129)
class CatchUpTaken:
    """The member's answer: so many bytes of that state are there."""

    sender: str
    receiver: str
    epoch: int
    seq: int
    checksum: int
    taken: int


GENESIS_MESSAGES = (GenesisState, SeedPrepared, SeedAccepted, SeedRefused)
"""For a seed's `GenesisProposer`."""
BALLOT_MESSAGES = (SeedPrepare, SeedAccept)
"""For whoever keeps a seed's word: its replica, or its process where it has no disk."""
