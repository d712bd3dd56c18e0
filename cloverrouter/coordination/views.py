"""The membership view: the voters, the chain, and the rules for quorums and epochs."""

from __future__ import annotations

from collections.abc import Iterable

from cloverrouter.messages import Decoder, encode, message, nested

# The low bits of an epoch identify its proposer, so that no two proposers ever choose the same epoch.
PROPOSER_BITS = 16
GENESIS_EPOCH = 1


@nested
class Member:
    """A participating disk and the machine it is in. A machine whose disk was wiped is a new member."""

    identity: str
    ip: str
    name: str
    zone: str


@message(100)
class View:
    """The voters and the chain from an epoch on."""

    epoch: int
    voters: tuple[Member, ...]
    chain: tuple[str, ...]  # identities, head first; empty in the initial view
    # The previous view's voters if they differ from `voters`. Until the view is known to have been in force,
    # a quorum needs a majority of them as well.
    old_voters: tuple[Member, ...]

    @property
    def head(self) -> str | None:
        """Identity of the head; None for the initial view."""
        return self.chain[0] if self.chain else None

    def voter(self, identity: str) -> Member | None:
        """Returns the voter with this identity."""
        for member in self.voters:
            if member.identity == identity:
                return member
        return None

    def electorate(self, settled: bool) -> tuple[Member, ...]:
        """Returns all members whose promises may count: the voters, and the old voters until the view is
        settled."""
        if settled:
            return self.voters
        known = {member.identity for member in self.voters}
        return self.voters + tuple(member for member in self.old_voters if member.identity not in known)

    def has_quorum(self, identities: Iterable[str], settled: bool) -> bool:
        """Returns whether these are a majority of the voters, and where required of the old voters."""
        present = set(identities)
        if not is_majority(self.voters, present):
            return False
        return settled or not self.old_voters or is_majority(self.old_voters, present)


def majority(count: int) -> int:
    """Returns the size of the smallest majority of `count` voters."""
    return count // 2 + 1


def is_majority(voters: tuple[Member, ...], identities: set[str]) -> bool:
    """Returns whether the identities contain more than half of the voters."""
    present = sum(1 for member in voters if member.identity in identities)
    return present >= majority(len(voters))


def min_chain_length(count: int, tolerance: int) -> int:
    """Returns the minimum chain length for `count` voters: every update is on more disks than may be lost,
    and every majority of the voters intersects the chain."""
    return min(count, max(tolerance + 1, count - majority(count) + 1))


def next_epoch(above: int, identity: str) -> int:
    """Returns the lowest epoch above `above` that belongs to this proposer."""
    counter = (above >> PROPOSER_BITS) + 1
    return counter << PROPOSER_BITS | int(identity, 16) & ((1 << PROPOSER_BITS) - 1)


def chain_order(head: Member, others: Iterable[Member]) -> tuple[str, ...]:
    """Returns the chain's identities in order: the head, then members of other zones than the head's, zone by
    zone."""
    ordered = sorted(others, key=lambda member: (member.zone == head.zone, member.zone, member.identity))
    return (head.identity, *(member.identity for member in ordered if member.identity != head.identity))


def election_order(view: View) -> tuple[str, ...]:
    """Returns the identities of the voters in the order in which they start elections when the head is
    silent."""
    others = sorted(
        (member for member in view.voters if member.identity not in view.chain),
        key=lambda member: (member.zone, member.identity),
    )
    return view.chain[1:] + tuple(member.identity for member in others)


def encode_view(view: View) -> bytes:
    """Returns the stored form of a view."""
    return encode(view)


def decode_view(data: bytes) -> View | None:
    """Parses a stored view; returns None for empty data. Raises MessageError."""
    for found in Decoder().feed(data):
        if isinstance(found, View):
            return found
    return None
