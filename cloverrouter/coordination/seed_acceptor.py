"""A seed's word in the ballots of the system's first start: what it has promised and accepted.

Single-decree Paxos. The word has to outlast the process, so whoever embeds this sends an answer only once the
ballot that it rests on is on the disk. A seed without a disk keeps it in memory, and a process of it that was
started again answers nothing.
"""

from __future__ import annotations

import attrs

from cloverrouter.coordination.messages import (
    SeedAccept,
    SeedAccepted,
    SeedPrepare,
    SeedPrepared,
    SeedRefused,
)
from cloverrouter.coordination.views import GENESIS_EPOCH, Member, View, decode_view, encode_view
from cloverrouter.store.records import Ballot

Answer = SeedPrepared | SeedAccepted | SeedRefused


def decided(ballot: Ballot, message: SeedPrepare | SeedAccept) -> tuple[Ballot, Answer]:
    """The ballot after a message, and the answer that may go out once that is stored.

    A number is promised once only: a seed that was started again begins at its old numbers.
    """
    if isinstance(message, SeedPrepare):
        if message.ballot <= ballot.promised:
            return ballot, SeedRefused(message.ballot, ballot.promised)
        promised = attrs.evolve(ballot, promised=message.ballot)
        return promised, SeedPrepared(message.ballot, ballot.accepted, voters_of(ballot))
    if message.ballot < ballot.promised:
        return ballot, SeedRefused(message.ballot, ballot.promised)
    view = View(GENESIS_EPOCH, message.voters, (), ())
    accepted = Ballot(message.ballot, message.ballot, encode_view(view))
    return accepted, SeedAccepted(message.ballot)


def covers(stored: Ballot, wanted: Ballot) -> bool:
    """Whether a stored ballot holds all that an answer rests on."""
    return stored.promised >= wanted.promised and stored.accepted >= wanted.accepted


def voters_of(ballot: Ballot) -> tuple[Member, ...]:
    """The voters that were accepted; none if nothing was."""
    view = decode_view(ballot.voters)
    return view.voters if view is not None else ()
