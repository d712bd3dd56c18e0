"""The acceptor of a seed in the system's first start (single-decree Paxos): promised and accepted ballots.

Promises must survive a restart, so the caller sends an answer only once the ballot that it depends on is on
the disk. A seed without a disk keeps its ballot in memory, and does not answer after its process restarted.
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


def handle_ballot(ballot: Ballot, message: SeedPrepare | SeedAccept) -> tuple[Ballot, Answer]:
    """Returns the ballot after a message, and the answer that may be sent once this ballot is stored.

    A number is promised only once: a proposer that was restarted uses its old numbers again, and an answer to
    its earlier ballot must not count for the new one.
    """
    if isinstance(message, SeedPrepare):
        if message.ballot <= ballot.promised:
            return ballot, SeedRefused(message.ballot, ballot.promised)
        promised = attrs.evolve(ballot, promised=message.ballot)
        return promised, SeedPrepared(message.ballot, ballot.accepted, accepted_voters(ballot))
    if message.ballot < ballot.promised:
        return ballot, SeedRefused(message.ballot, ballot.promised)
    view = View(GENESIS_EPOCH, message.voters, (), ())
    accepted = Ballot(message.ballot, message.ballot, encode_view(view))
    return accepted, SeedAccepted(message.ballot)


def covers(stored: Ballot, required: Ballot) -> bool:
    """Returns whether the stored ballot includes the one that an answer depends on."""
    return stored.promised >= required.promised and stored.accepted >= required.accepted


def accepted_voters(ballot: Ballot) -> tuple[Member, ...]:
    """Returns the accepted voters, or none if nothing was accepted."""
    view = decode_view(ballot.voters)
    return view.voters if view is not None else ()
